package control

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/membership"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// leaveTimeout bounds the wait for the control goroutine to tell the others that this instance stops.
const leaveTimeout = time.Second

// AddressSink receives the inner addresses of the entry instances of the own data centre to which this instance keeps
// sessions, beside those that the settings name. It is called on the control goroutine and must not block.
type AddressSink func(addresses []string)

// SetAddressSink sets who keeps sessions to the members that this instance learns about.
func (l *Loop) SetAddressSink(sink AddressSink) { l.addresses.Store(&sink) }

// Leave tells the other entry instances of the data centre that this one stops, so that its share goes to them at once.
// It is called after the last call has ended.
func (l *Loop) Leave() {
	told := make(chan struct{})
	go l.Post(func(s *state, now time.Time) {
		s.membersChanged(now, s.members.detector.Leave(now))
		close(told)
	})
	select {
	case <-told:
	case <-l.done:
	case <-time.After(leaveTimeout):
	}
}

type deadMember struct {
	address  string
	recorded bool // the account lists it as lost
}

// members is what the control loop knows of the entry instances of its data centre.
type members struct {
	detector *membership.Detector
	dialled  []string // addresses that the sink was told last
	// dead holds members that were removed without a word. They are dialled until the detector forgets them, so that the
	// two sides of a partition find each other again.
	dead     map[fleet.InstanceID]deadMember
	degraded map[fleet.InstanceID]bool // reached in one direction only, or through others only
}

func newMembers(config Config) members {
	h := fnv.New64a()
	_, _ = h.Write([]byte(config.Instance)) // never fails
	random := rand.New(rand.NewPCG(h.Sum64(), uint64(config.Boot)))
	return members{
		detector: membership.New(membership.Config{Self: config.Instance, Incarnation: config.Boot, Address: config.Address}, random, time.Now()),
		dead:     make(map[fleet.InstanceID]deadMember),
		degraded: make(map[fleet.InstanceID]bool),
	}
}

// memberConnected adds an instance whose session tells that it lives.
func (s *state) memberConnected(hello protocol.Hello, now time.Time) {
	if hello.DataCentre == s.config.DataCentre {
		s.membersChanged(now, s.members.detector.Join(now, hello.Instance, hello.Incarnation, hello.Address))
	}
}

// gossiped applies a membership message that came over a session to its sender.
func (s *state) gossiped(session transport.Session, m *membership.Message, now time.Time) {
	hello := session.Peer()
	if hello.Agent || hello.DataCentre != s.config.DataCentre || m.From != hello.Instance {
		metricBadInput.Inc()
		return
	}
	s.membersChanged(now, s.members.detector.Receive(now, m))
}

// membersChanged carries out what the detector asks for. A message that finds no session is dropped like a lost one.
func (s *state) membersChanged(now time.Time, out membership.Output) {
	for i := range out.Send {
		envelope := &out.Send[i]
		p := s.peers[envelope.To]
		if p == nil {
			continue
		}
		session := best(p.sessions)
		if session == nil {
			continue
		}
		data, err := protocol.EncodeGossip(&envelope.Message)
		if err != nil {
			log.WithError(err).Error("a membership message could not be encoded")
			continue
		}
		_ = session.Send(&protocol.Gossip{Payload: data})
	}
	for _, change := range out.Changes {
		s.memberChanged(now, change)
	}
	if len(out.Changes) > 0 {
		s.changed = true
	}
}

// memberChanged writes one change to the account and keeps the address of a dead member.
func (s *state) memberChanged(now time.Time, change membership.Change) {
	id := change.Instance
	if id == "" {
		return
	}
	record := func(kind account.Kind, subject, reason string) {
		s.config.Account.Record(account.Entry{Time: now, Kind: kind, Subject: subject, Reason: reason})
	}
	wasLost := s.members.dead[id].recorded || s.config.Account.WasOpen(account.InstanceLost, string(id))
	switch {
	case change.Removed && change.State == membership.Left:
		record(account.DrainEnded, string(id), "the instance has stopped as planned; the others carry its share")
	case change.Removed:
		// After a partition of one instance, its word that all others are dead removes each of them for up to a second. A
		// live session tells that this is not so, and the account leaves it out.
		p := s.peers[id]
		lost := deadMember{recorded: p == nil || best(p.sessions) == nil}
		if member, ok := s.members.detector.Member(id); ok {
			lost.address = member.Address
		}
		s.members.dead[id] = lost
		if lost.recorded {
			record(account.InstanceLost, string(id), "no other instance of the data centre reaches it; the others carry its share")
		}
	case change.Returned:
		delete(s.members.dead, id)
		if wasLost {
			record(account.InstanceReturned, string(id), "")
		}
	}
	link := string(s.config.Instance) + " to " + string(id)
	degraded := !change.Removed && change.Condition.LinkFailed()
	switch {
	case degraded && !s.members.degraded[id]:
		s.members.degraded[id] = true
		record(account.LinkDegraded, link, "the other side "+change.Condition.String())
	case !degraded && s.members.degraded[id] && (change.Removed || change.Condition <= membership.Slow):
		delete(s.members.degraded, id)
		record(account.LinkRecovered, link, "")
	}
}

// tickMembers advances the detector and hands the addresses to be dialled to the sink.
func (s *state) tickMembers(now time.Time, sink *AddressSink) {
	s.membersChanged(now, s.members.detector.Tick(now))
	if sink == nil {
		return
	}
	addresses := s.dialledAddresses()
	if !slices.Equal(addresses, s.members.dialled) {
		s.members.dialled = addresses
		(*sink)(addresses)
	}
}

// dialledAddresses returns the addresses to keep sessions to. Of two members the one with the lower identifier dials, so
// that one session joins them.
func (s *state) dialledAddresses() []string {
	var addresses []string
	for _, member := range s.members.detector.Members() {
		if member.Address != "" && member.Instance > s.config.Instance {
			addresses = append(addresses, member.Address)
		}
	}
	for id, lost := range s.members.dead {
		member, known := s.members.detector.Member(id)
		if !known || member.State != membership.Dead {
			delete(s.members.dead, id)
			continue
		}
		if lost.address != "" && id > s.config.Instance {
			addresses = append(addresses, lost.address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
