package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// retentionTime is how long a server without a session, or a target of another data centre, is kept. During that
	// time requests for it are refused as not run instead of as unknown.
	retentionTime = 10 * time.Minute
	// summaryInterval is how often a changed summary is sent to the other data centres, and summaryRefresh how often an
	// unchanged one is. 13 summaries sent and 13 received every second cost 9.8 KB/s.
	summaryInterval = time.Second
	summaryRefresh  = 4 * time.Second
	// A summary counts as changed if the free slots of a target differ by at least 1/summarySlotSteps of the value sent
	// last, or its time to first token by more than the share summaryTimeStepRatio of it.
	summarySlotSteps     = 8
	summaryTimeStepRatio = 0.25
	// rosterInterval is how often an unchanged roster is resent. A changed one is sent at once, and again on the next tick
	// if a session's queue was full. 300 rosters of 24 addresses every 30 s and after each agreed change cost 11.3 KB/s.
	rosterInterval = 5 * time.Minute
	// summaryMaxAge is the age from which a summary is ignored, so that its data centre gets no spilled requests: three
	// refreshes and one interval. The summary of a crashed instance is dropped with its session, after 5 s.
	summaryMaxAge = 3*summaryRefresh + summaryInterval
	// maxCapacityRequests bounds the capacity in an announcement; the largest engines in use batch a few hundred requests.
	maxCapacityRequests = 4096
)

// server is a backend server and the sessions to its agent.
type server struct {
	announcement        fleet.Announcement
	load                fleet.Load
	counter             *fleet.InFlightCounter
	sessions            []transport.Session
	lastSeen            time.Time
	sentRoster          *protocol.Roster  // last sent to all sessions, nil if one of them may lack it
	recordedStatus      serverStatus      // in the account
	recordedIncarnation fleet.Incarnation // incarnation when recordedStatus was recorded
}

// peer is an entry instance and the sessions to it.
type peer struct {
	hello             protocol.Hello
	sessions          []transport.Session
	summary           []fleet.Summary
	summaryReceivedAt time.Time // initially when the session opened
	hasNewestSummary  bool      // has been sent the newest summary of the local data centre
}

// state is the control state. Only the control goroutine uses it.
type state struct {
	config          Config
	servers         map[fleet.ServerID]*server
	peers           map[fleet.InstanceID]*peer
	members         members
	agreed          AgreedState
	remoteTargets   map[target]time.Time // when a summary of another data centre last listed the target
	rosterAddresses []string             // local addresses at the last tick
	groups          map[string]*group
	nextGroupCheck  time.Time
	agentRevision   uint64 // newest revision that an agent of the data centre has received
	nextRoster      time.Time
	nextSummary     time.Time
	summarySent     []fleet.Summary // newest summary, as sent to peers with hasNewestSummary
	summarySentAt   time.Time
	changed         bool // the view must be rebuilt after publishInterval
	publishNow      bool // the view must be rebuilt at once
}

func newState(config Config) *state {
	return &state{
		config:        config,
		servers:       make(map[fleet.ServerID]*server),
		peers:         make(map[fleet.InstanceID]*peer),
		remoteTargets: make(map[target]time.Time),
		groups:        make(map[string]*group),
		members:       newMembers(config),
	}
}

func (s *state) sessionOpened(session transport.Session, now time.Time) {
	hello := session.Peer()
	if hello.Agent {
		// The announcement identifies the agent. The hello only reports the newest revision that the agent has received.
		if hello.DataCentre == s.config.DataCentre && hello.Revision > s.agentRevision {
			s.agentRevision = hello.Revision
			s.publishNow = true
		}
		return
	}
	p, ok := s.peers[hello.Instance]
	if !ok {
		p = &peer{}
		s.peers[hello.Instance] = p
	}
	p.hello = hello
	p.summaryReceivedAt = now
	p.hasNewestSummary = false // it may have restarted
	p.sessions = append(p.sessions, session)
	s.memberConnected(hello, now)
	s.changed = true
}

func (s *state) sessionChanged(session transport.Session, health transport.State, now time.Time) {
	s.publishNow = true
	if health != transport.StateClosed {
		return
	}
	same := func(other transport.Session) bool { return other == session }
	hello := session.Peer()
	if p, ok := s.peers[hello.Instance]; ok && !hello.Agent {
		p.sessions = slices.DeleteFunc(p.sessions, same)
		if len(p.sessions) == 0 {
			delete(s.peers, hello.Instance)
		}
		return
	}
	for _, srv := range s.servers {
		before := len(srv.sessions)
		srv.sessions = slices.DeleteFunc(srv.sessions, same)
		if len(srv.sessions) < before {
			srv.lastSeen = now
		}
	}
}

// applyAnnouncement applies an announcement with its capacity clamped. One from an older incarnation of the server is
// ignored.
func (s *state) applyAnnouncement(session transport.Session, a fleet.Announcement, now time.Time) {
	if a.Server == "" || a.DataCentre != s.config.DataCentre {
		metricBadInput.Inc()
		log.WithFields(log.Fields{"server": a.Server, "dataCentre": a.DataCentre}).
			Warn("announcement refused: it names no server or another data centre; check the agent's settings")
		return
	}
	a.Capacity = min(max(a.Capacity, 0), maxCapacityRequests)
	srv, ok := s.servers[a.Server]
	switch {
	case !ok:
		srv = &server{counter: new(fleet.InFlightCounter)}
		s.servers[a.Server] = srv
	case a.Incarnation < srv.announcement.Incarnation:
		metricBadInput.Inc()
		return
	case a.Incarnation > srv.announcement.Incarnation:
		srv.counter = new(fleet.InFlightCounter)
		srv.sessions = nil
		srv.load = fleet.Load{}
	}
	srv.announcement = a
	srv.lastSeen = now
	if !slices.Contains(srv.sessions, session) {
		srv.sessions = append(srv.sessions, session)
	}
	srv.sentRoster = nil // the session or the agent is new and has no roster
	s.sendRoster(srv)
	s.changed = true
}

// applyLoad applies a load report unless it is outdated, from another incarnation, or invalid.
func (s *state) applyLoad(load fleet.Load, now time.Time) {
	srv, ok := s.servers[load.Server]
	if !ok || load.Incarnation != srv.announcement.Incarnation || load.Sequence <= srv.load.Sequence {
		return
	}
	if !validLoad(&load) {
		metricBadInput.Inc()
		return
	}
	if load.Phase == fleet.PhaseDraining && srv.load.Phase != fleet.PhaseDraining {
		s.publishNow = true
	}
	srv.load = load
	srv.lastSeen = now
	srv.counter.ReportReceived(load.Sequence)
	s.changed = true
}

// validLoad reports whether a load report's values are in range.
func validLoad(load *fleet.Load) bool {
	return load.Running >= 0 && load.Limit >= 0 && load.Limit <= maxCapacityRequests &&
		!math.IsNaN(load.KVUsed) && load.KVUsed >= 0 && load.KVUsed <= 1 &&
		load.TimeToFirstToken >= 0 && load.InterTokenLatency >= 0 && load.StepTime >= 0 &&
		load.Phase <= fleet.PhaseWithdrawn
}

// applySummary applies the summary of another data centre.
func (s *state) applySummary(session transport.Session, m *protocol.Summary, now time.Time) {
	hello := session.Peer()
	p, ok := s.peers[hello.Instance]
	if !ok || hello.DataCentre == s.config.DataCentre {
		return
	}
	for _, other := range s.peers {
		if other != p && other.hello.DataCentre == hello.DataCentre {
			other.summary = nil // p has taken over as the representative
		}
	}
	p.summary = p.summary[:0:0]
	for _, t := range m.Targets {
		if t.DataCentre != hello.DataCentre || t.Free < 0 || t.Servers < 0 {
			metricBadInput.Inc()
			continue
		}
		p.summary = append(p.summary, t)
		s.remoteTargets[target{t.Kind, t.Name}] = now
	}
	p.summaryReceivedAt = now
	s.changed = true
}

func (s *state) tick(now time.Time) {
	s.updateGroupWeights(now)
	for id, srv := range s.servers {
		if len(srv.sessions) == 0 && now.Sub(srv.lastSeen) > retentionTime {
			delete(s.servers, id)
			s.changed = true
		}
	}
	for t, listed := range s.remoteTargets {
		if now.Sub(listed) > retentionTime {
			delete(s.remoteTargets, t)
		}
	}
	addresses := s.localAddresses()
	changed, repeat := !slices.Equal(addresses, s.rosterAddresses), !now.Before(s.nextRoster)
	s.rosterAddresses = addresses
	if repeat {
		s.nextRoster = now.Add(rosterInterval)
	}
	for _, srv := range s.servers {
		if repeat {
			srv.sentRoster = nil
		}
		if changed || srv.sentRoster == nil {
			s.sendRoster(srv)
		}
	}
	if !now.Before(s.nextSummary) {
		s.nextSummary = now.Add(summaryInterval)
		s.sendSummaries(now)
		s.changed = true // the view drops summaries by age
	}
}

// sendRevision reports the revision of the agreed state to an agent, which passes it to entry instances that connect
// later. An entry instance that starts with the old state of an outdated voter thus learns that there is a newer one. One
// instance of the data centre does this for each agent.
func (s *state) sendRevision(srv *server) {
	if srv.sentRoster.Revision >= s.agreed.Revision || !s.informsAgent(srv.announcement.Server, srv.sentRoster.Addresses) {
		return
	}
	update := &protocol.Roster{Revision: s.agreed.Revision, Draining: srv.sentRoster.Draining, Fencing: srv.sentRoster.Fencing}
	sent := *srv.sentRoster
	sent.Revision = s.agreed.Revision
	for _, session := range srv.sessions {
		if session.Send(update) != nil {
			return // retried on the next change or tick
		}
	}
	srv.sentRoster = &sent
}

// informsAgent reports whether this instance, of those with the given addresses, is the one that reports revisions to the
// server's agent.
func (s *state) informsAgent(server fleet.ServerID, addresses []string) bool {
	chosen := xxhash.Sum64String(string(server)) % uint64(len(addresses))
	return addresses[chosen] == s.config.Address
}

// sendRoster sends an agent the addresses of the entry instances of its data centre, the fencing token and whether its
// server must drain, if one of these has changed. The agent needs the revision only to order these changes, so a newer
// revision alone causes no new roster.
func (s *state) sendRoster(srv *server) {
	roster := &protocol.Roster{
		Addresses: s.localAddresses(),
		Revision:  s.agreed.Revision,
		Draining:  s.agreed.exclusionReason(srv.announcement.Server) != "",
		Fencing:   s.agreed.Fencing,
	}
	if last := srv.sentRoster; last != nil && roster.Draining == last.Draining && roster.Fencing == last.Fencing &&
		slices.Equal(roster.Addresses, last.Addresses) {
		s.sendRevision(srv)
		return
	}
	srv.sentRoster = roster
	for _, session := range srv.sessions {
		if session.Send(roster) != nil {
			srv.sentRoster = nil // resent on the next tick
		}
	}
}

// localAddresses returns the inner addresses of the entry instances of the local data centre, including this one.
func (s *state) localAddresses() []string {
	addresses := []string{s.config.Address}
	for _, member := range s.members.detector.Members() {
		if member.Address != "" {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// sendSummaries sends the free capacity of the local data centre to the others, if it has changed or summaryRefresh has
// passed. Only the representative of the data centre does this.
func (s *state) sendSummaries(now time.Time) {
	if s.members.detector.Representative() != s.config.Instance {
		s.summarySentAt = time.Time{} // send at once when this instance becomes the representative
		return
	}
	targets := s.summary()
	due := now.Sub(s.summarySentAt) >= summaryRefresh || !slices.EqualFunc(s.summarySent, targets, similarSummary)
	if due {
		s.summarySent, s.summarySentAt = targets, now
	}
	summary := &protocol.Summary{Targets: s.summarySent}
	for _, p := range s.peers {
		if p.hello.DataCentre == s.config.DataCentre || p.hasNewestSummary && !due {
			continue
		}
		session := newestLive(p.sessions)
		p.hasNewestSummary = session != nil && session.Send(summary) == nil
	}
}

// similarSummary reports whether the summary of a target that was sent last is still accurate enough. Each change of the
// number of servers is reported, and each change to or from no free slot; other changes of free slots and times only from
// the steps above on.
func similarSummary(sent, current fleet.Summary) bool {
	free, firstToken := current.Free-sent.Free, current.FirstToken-sent.FirstToken
	return sent.Kind == current.Kind && sent.Name == current.Name && sent.Servers == current.Servers &&
		max(free, -free) < max(sent.Free/summarySlotSteps, 1) &&
		float64(firstToken.Abs()) <= summaryTimeStepRatio*float64(sent.FirstToken)
}

type target struct {
	kind fleet.Kind
	name string
}

// summary returns the totals of the servers that accept new work, for each model and service.
func (s *state) summary() []fleet.Summary {
	totals := make(map[target]*fleet.Summary)
	add := func(t target, srv *server) {
		total, ok := totals[t]
		if !ok {
			total = &fleet.Summary{DataCentre: s.config.DataCentre, Kind: t.kind, Name: t.name}
			totals[t] = total
		}
		total.Servers++
		total.Free += max(srv.load.Limit-srv.load.Running, 0)
		total.FirstToken = max(total.FirstToken, srv.load.TimeToFirstToken)
	}
	for _, srv := range s.servers {
		if s.exclusionReason(srv) != "" {
			continue
		}
		if srv.announcement.Kind == fleet.KindService {
			add(target{fleet.KindService, srv.announcement.Service}, srv)
		}
		for _, m := range srv.announcement.Models {
			add(target{fleet.KindEngine, m.Name}, srv)
		}
	}
	targets := make([]fleet.Summary, 0, len(totals))
	for _, total := range totals {
		targets = append(targets, *total)
	}
	slices.SortFunc(targets, func(a, b fleet.Summary) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return targets
}

// newestLive returns the newest live session, or nil.
func newestLive(sessions []transport.Session) transport.Session {
	for _, session := range slices.Backward(sessions) {
		if session.State() == transport.StateLive {
			return session
		}
	}
	return nil
}
