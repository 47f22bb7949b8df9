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
	// forgetAfter is how long a server without a session, or a target of another data centre, is remembered: requests for
	// it are refused as not run meanwhile, not as unknown.
	forgetAfter = 10 * time.Minute
	// summaryInterval is how often other data centres learn what has changed here, and summaryRefresh how often they learn
	// it without a change. 13 summaries sent and 13 received every second cost 9.8 KB/s.
	summaryInterval = time.Second
	summaryRefresh  = 4 * time.Second
	// summarySteps is the number of steps in which free slots are told, and summaryTimeStep the share by which a time has
	// to change.
	summarySteps    = 8
	summaryTimeStep = 0.25
	// rosterInterval is how often a roster without news is repeated. News are sent at once, and again on the next tick if a
	// session's queue was full. 300 rosters of 24 addresses every 30 s and after each agreed change cost 11.3 KB/s.
	rosterInterval = 5 * time.Minute
	// summaryMaxAge is after how long a data centre without a summary gets no spilled requests: three refreshes and one
	// interval. An instance that dies takes its summary along when its session is given up, after 5 s.
	summaryMaxAge = 3*summaryRefresh + summaryInterval
	// maxCapacity bounds what an announcement can claim; the largest engines of the field batch a few hundred.
	maxCapacity = 4096
)

// server is one backend server and the sessions to its agent.
type server struct {
	announcement fleet.Announcement
	load         fleet.Load
	counter      *fleet.InFlightCounter
	sessions     []transport.Session
	lastSeen     time.Time
	roster       *protocol.Roster  // that all sessions were sent last, nil if one of them may lack it
	recorded     standing          // that the account shows
	recordedBoot fleet.Incarnation // boot number at that time
}

// peer is an entry instance and the sessions to it.
type peer struct {
	hello    protocol.Hello
	sessions []transport.Session
	summary  []fleet.Summary
	heard    time.Time
	informed bool // was sent the newest summary of the own data centre
}

// state is the control state. Only the control goroutine touches it.
type state struct {
	config        Config
	servers       map[fleet.ServerID]*server
	peers         map[fleet.InstanceID]*peer
	members       members
	agreed        Agreed
	known         map[target]time.Time // when other data centres last told of a target
	roster        []string             // addresses of the last tick
	groups        map[string]*group
	nextGroups    time.Time
	agentRevision uint64 // newest agreed state that an agent of the data centre has heard of
	nextRoster    time.Time
	nextSummary   time.Time
	summarySent   []fleet.Summary // that informed peers hold
	summaryAt     time.Time
	changed       bool
	urgent        bool
}

func newState(config Config) *state {
	return &state{
		config:  config,
		servers: make(map[fleet.ServerID]*server),
		peers:   make(map[fleet.InstanceID]*peer),
		known:   make(map[target]time.Time),
		groups:  make(map[string]*group),
		members: newMembers(config),
	}
}

func (s *state) sessionOpened(session transport.Session, now time.Time) {
	hello := session.Peer()
	if hello.Agent {
		// The agent is known by its announcement; here it tells which agreed state it has heard of.
		if hello.DataCentre == s.config.DataCentre && hello.Revision > s.agentRevision {
			s.agentRevision = hello.Revision
			s.urgent = true
		}
		return
	}
	p, ok := s.peers[hello.Instance]
	if !ok {
		p = &peer{}
		s.peers[hello.Instance] = p
	}
	p.hello = hello
	p.heard = now
	p.informed = false // it may have started anew
	p.sessions = append(p.sessions, session)
	s.memberConnected(hello, now)
	s.changed = true
}

func (s *state) sessionChanged(session transport.Session, health transport.State, now time.Time) {
	s.urgent = true
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
	for _, known := range s.servers {
		before := len(known.sessions)
		known.sessions = slices.DeleteFunc(known.sessions, same)
		if len(known.sessions) < before {
			known.lastSeen = now
		}
	}
}

// announced applies an announcement. Its figures are bounded, and an older boot of the same server changes nothing.
func (s *state) announced(session transport.Session, a fleet.Announcement, now time.Time) {
	if a.Server == "" || a.DataCentre != s.config.DataCentre {
		metricBadInput.Inc()
		log.WithFields(log.Fields{"server": a.Server, "dataCentre": a.DataCentre}).
			Warn("announcement refused: it names no server or another data centre; check the agent's settings")
		return
	}
	a.Capacity = min(max(a.Capacity, 0), maxCapacity)
	known, ok := s.servers[a.Server]
	switch {
	case !ok:
		known = &server{counter: new(fleet.InFlightCounter)}
		s.servers[a.Server] = known
	case a.Incarnation < known.announcement.Incarnation:
		metricBadInput.Inc()
		return
	case a.Incarnation > known.announcement.Incarnation:
		known.counter = new(fleet.InFlightCounter)
		known.sessions = nil
		known.load = fleet.Load{}
	}
	known.announcement = a
	known.lastSeen = now
	if !slices.Contains(known.sessions, session) {
		known.sessions = append(known.sessions, session)
	}
	known.roster = nil // the session is new to the agent, or the agent is
	s.sendRoster(known)
	s.changed = true
}

// loaded applies a load report unless it is older than the one known, of another boot, or nonsense.
func (s *state) loaded(load fleet.Load, now time.Time) {
	known, ok := s.servers[load.Server]
	if !ok || load.Incarnation != known.announcement.Incarnation || load.Sequence <= known.load.Sequence {
		return
	}
	if !sane(&load) {
		metricBadInput.Inc()
		return
	}
	if load.Phase == fleet.PhaseDraining && known.load.Phase != fleet.PhaseDraining {
		s.urgent = true
	}
	known.load = load
	known.lastSeen = now
	known.counter.ReportReceived(load.Sequence)
	s.changed = true
}

// sane reports whether a load report's figures can be true.
func sane(load *fleet.Load) bool {
	return load.Running >= 0 && load.Limit >= 0 && load.Limit <= maxCapacity &&
		!math.IsNaN(load.KVUsed) && load.KVUsed >= 0 && load.KVUsed <= 1 &&
		load.TimeToFirstToken >= 0 && load.InterTokenLatency >= 0 && load.StepTime >= 0 &&
		load.Phase <= fleet.PhaseWithdrawn
}

// summarised applies the summary of another data centre.
func (s *state) summarised(session transport.Session, m *protocol.Summary, now time.Time) {
	hello := session.Peer()
	p, ok := s.peers[hello.Instance]
	if !ok || hello.DataCentre == s.config.DataCentre {
		return
	}
	for _, other := range s.peers {
		if other != p && other.hello.DataCentre == hello.DataCentre {
			other.summary = nil // p has taken over from it
		}
	}
	p.summary = p.summary[:0:0]
	for _, t := range m.Targets {
		if t.DataCentre != hello.DataCentre || t.Free < 0 || t.Servers < 0 {
			metricBadInput.Inc()
			continue
		}
		p.summary = append(p.summary, t)
		s.known[target{t.Kind, t.Name}] = now
	}
	p.heard = now
	s.changed = true
}

func (s *state) tick(now time.Time) {
	s.watchGroups(now)
	for id, known := range s.servers {
		if len(known.sessions) == 0 && now.Sub(known.lastSeen) > forgetAfter {
			delete(s.servers, id)
			s.changed = true
		}
	}
	for t, told := range s.known {
		if now.Sub(told) > forgetAfter {
			delete(s.known, t)
		}
	}
	addresses := s.localAddresses()
	changed, repeat := !slices.Equal(addresses, s.roster), !now.Before(s.nextRoster)
	s.roster = addresses
	if repeat {
		s.nextRoster = now.Add(rosterInterval)
	}
	for _, known := range s.servers {
		if repeat {
			known.roster = nil
		}
		if changed || known.roster == nil {
			s.sendRoster(known)
		}
	}
	if !now.Before(s.nextSummary) {
		s.nextSummary = now.Add(summaryInterval)
		s.sendSummaries(now)
		s.changed = true // ages of summaries
	}
}

// sendRevision tells an agent which agreed state is in force, so that an entry instance that starts next to a voter with an
// old state learns of it. One instance of the data centre does it for each agent.
func (s *state) sendRevision(known *server) {
	if known.roster.Revision >= s.agreed.Revision || !s.informs(known.announcement.Server, known.roster.Addresses) {
		return
	}
	brief := &protocol.Roster{Revision: s.agreed.Revision, Draining: known.roster.Draining, Fencing: known.roster.Fencing}
	sent := *known.roster
	sent.Revision = s.agreed.Revision
	for _, session := range known.sessions {
		if session.Send(brief) != nil {
			return // the next change or tick repeats it
		}
	}
	known.roster = &sent
}

// informs reports whether this instance is the one, of those with the addresses, that keeps the server's agent informed.
func (s *state) informs(server fleet.ServerID, addresses []string) bool {
	chosen := xxhash.Sum64String(string(server)) % uint64(len(addresses))
	return addresses[chosen] == s.config.Address
}

// sendRoster tells an agent the entry instances of its data centre and whether its server takes new work, unless it was
// told before. A newer revision alone is no news: the agent needs it only to order what else changes.
func (s *state) sendRoster(known *server) {
	roster := &protocol.Roster{
		Addresses: s.localAddresses(),
		Revision:  s.agreed.Revision,
		Draining:  s.agreed.excluded(known.announcement.Server) != "",
		Fencing:   s.agreed.Fencing,
	}
	if told := known.roster; told != nil && roster.Draining == told.Draining && roster.Fencing == told.Fencing &&
		slices.Equal(roster.Addresses, told.Addresses) {
		s.sendRevision(known)
		return
	}
	known.roster = roster
	for _, session := range known.sessions {
		if session.Send(roster) != nil {
			known.roster = nil // the next tick repeats it
		}
	}
}

// localAddresses returns the inner addresses of the entry instances of the own data centre.
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

// sendSummaries tells the other data centres what is free here, if it has changed or they have not heard it for a while.
// Only the representative of the data centre does.
func (s *state) sendSummaries(now time.Time) {
	if s.members.detector.Representative() != s.config.Instance {
		s.summaryAt = time.Time{} // to be sent at once when this instance takes over
		return
	}
	targets := s.summary()
	news := now.Sub(s.summaryAt) >= summaryRefresh || !slices.EqualFunc(s.summarySent, targets, sameSummary)
	if news {
		s.summarySent, s.summaryAt = targets, now
	}
	summary := &protocol.Summary{Targets: s.summarySent}
	for _, p := range s.peers {
		if p.hello.DataCentre == s.config.DataCentre || p.informed && !news {
			continue
		}
		session := best(p.sessions)
		p.informed = session != nil && session.Send(summary) == nil
	}
}

// sameSummary reports whether another data centre can go on with what it was told of a target. A server more or less is
// told, and other figures in steps, which tell the first and the last free slot.
func sameSummary(told, now fleet.Summary) bool {
	free, first := now.Free-told.Free, now.FirstToken-told.FirstToken
	return told.Kind == now.Kind && told.Name == now.Name && told.Servers == now.Servers &&
		max(free, -free) < max(told.Free/summarySteps, 1) &&
		float64(first.Abs()) <= summaryTimeStep*float64(told.FirstToken)
}

type target struct {
	kind fleet.Kind
	name string
}

// summary adds up the servers that take new work, for each model and service.
func (s *state) summary() []fleet.Summary {
	totals := make(map[target]*fleet.Summary)
	add := func(t target, known *server) {
		total, ok := totals[t]
		if !ok {
			total = &fleet.Summary{DataCentre: s.config.DataCentre, Kind: t.kind, Name: t.name}
			totals[t] = total
		}
		total.Servers++
		total.Free += max(known.load.Limit-known.load.Running, 0)
		total.FirstToken = max(total.FirstToken, known.load.TimeToFirstToken)
	}
	for _, known := range s.servers {
		if s.excluded(known) != "" {
			continue
		}
		if known.announcement.Kind == fleet.KindService {
			add(target{fleet.KindService, known.announcement.Service}, known)
		}
		for _, m := range known.announcement.Models {
			add(target{fleet.KindEngine, m.Name}, known)
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

// best returns a live session, the newest first, or nil.
func best(sessions []transport.Session) transport.Session {
	for _, session := range slices.Backward(sessions) {
		if session.State() == transport.StateLive {
			return session
		}
	}
	return nil
}
