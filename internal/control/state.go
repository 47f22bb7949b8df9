package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// forgetAfter is how long a server without a session is remembered for the account.
	forgetAfter = 10 * time.Minute
	// summaryInterval is how often other data centres learn what is free here.
	summaryInterval = time.Second
	// rosterInterval is how often a roster is repeated that an agent may have missed. Changes are sent at once.
	rosterInterval = 30 * time.Second
	// summaryMaxAge is after how long a data centre without a summary gets no spilled requests.
	summaryMaxAge = 5 * time.Second
	// maxCapacity bounds what an announcement can claim; the largest engines of the field batch a few hundred.
	maxCapacity = 4096
)

// server is one backend server and the sessions to its agent.
type server struct {
	announcement fleet.Announcement
	load         fleet.Load
	counter      *fleet.Counter
	sessions     []transport.Session
	lastSeen     time.Time
	recorded     standing   // that the account shows
	recordedBoot fleet.Boot // boot number at that time
}

// peer is an entry instance and the sessions to it.
type peer struct {
	hello    protocol.Hello
	sessions []transport.Session
	summary  []fleet.Summary
	heard    time.Time
}

// state is the control state. Only the control goroutine touches it.
type state struct {
	config      Config
	servers     map[fleet.ServerID]*server
	peers       map[fleet.InstanceID]*peer
	members     members
	agreed      Agreed
	roster      []string // addresses that agents were told last
	nextRoster  time.Time
	nextSummary time.Time
	changed     bool
	urgent      bool
}

func newState(config Config) *state {
	return &state{
		config:  config,
		servers: make(map[fleet.ServerID]*server),
		peers:   make(map[fleet.InstanceID]*peer),
		members: newMembers(config),
	}
}

func (s *state) sessionOpened(session transport.Session, now time.Time) {
	hello := session.Peer()
	if hello.Agent {
		return // an agent is known by its announcement
	}
	p, ok := s.peers[hello.Instance]
	if !ok {
		p = &peer{}
		s.peers[hello.Instance] = p
	}
	p.hello = hello
	p.heard = now
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
		known = &server{counter: new(fleet.Counter)}
		s.servers[a.Server] = known
	case a.Boot < known.announcement.Boot:
		metricBadInput.Inc()
		return
	case a.Boot > known.announcement.Boot:
		known.counter = new(fleet.Counter)
		known.sessions = nil
		known.load = fleet.Load{}
	}
	known.announcement = a
	known.lastSeen = now
	if !slices.Contains(known.sessions, session) {
		known.sessions = append(known.sessions, session)
	}
	s.sendRoster(known)
	s.changed = true
}

// loaded applies a load report unless it is older than the one known, of another boot, or nonsense.
func (s *state) loaded(load fleet.Load, now time.Time) {
	known, ok := s.servers[load.Server]
	if !ok || load.Boot != known.announcement.Boot || load.Sequence <= known.load.Sequence {
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
	known.counter.Reported(load.Sequence)
	s.changed = true
}

// sane reports whether a load report's figures can be true.
func sane(load *fleet.Load) bool {
	return load.Running >= 0 && load.Limit >= 0 && load.Limit <= maxCapacity &&
		!math.IsNaN(load.KVUsed) && load.KVUsed >= 0 && load.KVUsed <= 1 &&
		load.FirstToken >= 0 && load.TokenInterval >= 0 && load.StepTime >= 0 &&
		load.Phase <= fleet.PhaseWithdrawn
}

// summarised applies the summary of another data centre.
func (s *state) summarised(session transport.Session, m *protocol.Summary, now time.Time) {
	hello := session.Peer()
	p, ok := s.peers[hello.Instance]
	if !ok || hello.DataCentre == s.config.DataCentre {
		return
	}
	p.summary = p.summary[:0:0]
	for _, target := range m.Targets {
		if target.DataCentre != hello.DataCentre || target.Free < 0 || target.Servers < 0 {
			metricBadInput.Inc()
			continue
		}
		p.summary = append(p.summary, target)
	}
	p.heard = now
	s.changed = true
}

func (s *state) tick(now time.Time) {
	for id, known := range s.servers {
		if len(known.sessions) == 0 && now.Sub(known.lastSeen) > forgetAfter {
			delete(s.servers, id)
			s.changed = true
		}
	}
	if addresses := s.localAddresses(); !slices.Equal(addresses, s.roster) || !now.Before(s.nextRoster) {
		s.roster = addresses
		s.nextRoster = now.Add(rosterInterval)
		for _, known := range s.servers {
			s.sendRoster(known)
		}
	}
	if !now.Before(s.nextSummary) {
		s.nextSummary = now.Add(summaryInterval)
		s.sendSummaries()
		s.changed = true // ages of summaries
	}
}

// sendRoster tells an agent the entry instances of its data centre and whether its server takes new work.
func (s *state) sendRoster(known *server) {
	roster := &protocol.Roster{
		Addresses: s.localAddresses(),
		Revision:  s.agreed.Revision,
		Draining:  s.agreed.excluded(known.announcement.Server) != "",
		Fencing:   s.agreed.Fencing,
	}
	for _, session := range known.sessions {
		_ = session.Send(roster) // the next one repeats it
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

// sendSummaries tells the other data centres what is free here. Only the representative of the data centre does.
func (s *state) sendSummaries() {
	if s.members.detector.Representative() != s.config.Instance {
		return
	}
	summary := &protocol.Summary{Targets: s.summary()}
	for _, p := range s.peers {
		if p.hello.DataCentre == s.config.DataCentre {
			continue
		}
		if session := best(p.sessions); session != nil {
			_ = session.Send(summary)
		}
	}
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
		total.FirstToken = max(total.FirstToken, known.load.FirstToken)
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
