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

// leaveTimeout bounds how long Leave waits for the control goroutine.
const leaveTimeout = time.Second

// AddressSink receives the inner addresses of the entry instances of the local data centre to which this instance must keep
// sessions, in addition to those in the settings. It is called on the control goroutine and must not block.
type AddressSink func(addresses []string)

// SetAddressSink sets the receiver of the addresses of discovered members.
func (l *Loop) SetAddressSink(sink AddressSink) { l.addresses.Store(&sink) }

// Leave announces to the other entry instances of the data centre that this one stops, so that they redistribute its
// share at once. It must be called after the last call has ended.
func (l *Loop) Leave() {
	applied := make(chan struct{})
	go l.Post(func(s *state, now time.Time) {
		s.membersChanged(now, s.members.detector.Leave(now))
		close(applied)
	})
	select {
	case <-applied:
	case <-l.done:
	case <-time.After(leaveTimeout):
	}
}

// removedMember is a member that was removed without having left.
type removedMember struct {
	address      string
	recordedLost bool // the account records it as lost
}

// members tracks the entry instances of the local data centre.
type members struct {
	detector      *membership.Detector
	sinkAddresses []string // last passed to the AddressSink
	// removed holds members that were removed without having left. They are dialled until the detector forgets them, so
	// that the two sides of a partition reconnect when it heals.
	removed       map[fleet.InstanceID]removedMember
	degradedLinks map[fleet.InstanceID]bool // reachable in one direction only, or only through other members
}

func newMembers(config Config) members {
	h := fnv.New64a()
	_, _ = h.Write([]byte(config.Instance)) // never fails
	random := rand.New(rand.NewPCG(h.Sum64(), uint64(config.Incarnation)))
	return members{
		detector:      membership.New(membership.Config{Self: config.Instance, Incarnation: config.Incarnation, Address: config.Address}, random, time.Now()),
		removed:       make(map[fleet.InstanceID]removedMember),
		degradedLinks: make(map[fleet.InstanceID]bool),
	}
}

// memberConnected adds an instance of the local data centre when its session opens.
func (s *state) memberConnected(hello protocol.Hello, now time.Time) {
	if hello.DataCentre == s.config.DataCentre {
		s.membersChanged(now, s.members.detector.Join(now, hello.Instance, hello.Incarnation, hello.Address))
	}
}

// applyGossip applies a membership message. It must come over a session to the instance that sent it.
func (s *state) applyGossip(session transport.Session, m *membership.Message, now time.Time) {
	hello := session.Peer()
	if hello.Agent || hello.DataCentre != s.config.DataCentre || m.From != hello.Instance {
		metricBadInput.Inc()
		return
	}
	s.membersChanged(now, s.members.detector.Receive(now, m))
}

// membersChanged sends the messages and applies the changes that the detector returns. A message to a member without a
// live session is dropped; the protocol tolerates lost messages.
func (s *state) membersChanged(now time.Time, out membership.Output) {
	for i := range out.Send {
		envelope := &out.Send[i]
		p := s.peers[envelope.To]
		if p == nil {
			continue
		}
		session := newestLive(p.sessions)
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

// memberChanged records one change in the account and keeps the address of a removed member.
func (s *state) memberChanged(now time.Time, change membership.Change) {
	id := change.Instance
	if id == "" {
		return
	}
	record := func(kind account.Kind, subject, reason string) {
		s.config.Account.Record(account.Entry{Time: now, Kind: kind, Subject: subject, Reason: reason})
	}
	wasLost := s.members.removed[id].recordedLost || s.config.Account.WasOpen(account.InstanceLost, string(id))
	switch {
	case change.Removed && change.State == membership.Left:
		record(account.DrainEnded, string(id), "the instance has stopped as planned; the others carry its share")
	case change.Removed:
		// When a partition of a single instance heals, its gossip that all others are dead removes each of them for up to
		// a second. If there is a live session to the member, the removal is spurious and is not recorded in the account.
		p := s.peers[id]
		lost := removedMember{recordedLost: p == nil || newestLive(p.sessions) == nil}
		if member, ok := s.members.detector.Member(id); ok {
			lost.address = member.Address
		}
		s.members.removed[id] = lost
		if lost.recordedLost {
			record(account.InstanceLost, string(id), "no other instance of the data centre reaches it; the others carry its share")
		}
	case change.Returned:
		delete(s.members.removed, id)
		if wasLost {
			record(account.InstanceReturned, string(id), "")
		}
	}
	link := string(s.config.Instance) + " to " + string(id)
	degraded := !change.Removed && change.Condition.LinkFailed()
	switch {
	case degraded && !s.members.degradedLinks[id]:
		s.members.degradedLinks[id] = true
		record(account.LinkDegraded, link, "the other side "+change.Condition.String())
	case !degraded && s.members.degradedLinks[id] && (change.Removed || change.Condition <= membership.Slow):
		delete(s.members.degradedLinks, id)
		record(account.LinkRecovered, link, "")
	}
}

// tickMembers advances the detector and passes the addresses to dial to the sink when they have changed.
func (s *state) tickMembers(now time.Time, sink *AddressSink) {
	s.membersChanged(now, s.members.detector.Tick(now))
	if sink == nil {
		return
	}
	addresses := s.dialledAddresses()
	if !slices.Equal(addresses, s.members.sinkAddresses) {
		s.members.sinkAddresses = addresses
		(*sink)(addresses)
	}
}

// dialledAddresses returns the addresses to keep sessions to. Of two members, the one with the lower identifier dials, so
// that there is one session between them.
func (s *state) dialledAddresses() []string {
	var addresses []string
	for _, member := range s.members.detector.Members() {
		if member.Address != "" && member.Instance > s.config.Instance {
			addresses = append(addresses, member.Address)
		}
	}
	for id, lost := range s.members.removed {
		member, ok := s.members.detector.Member(id)
		if !ok || member.State != membership.Dead {
			delete(s.members.removed, id)
			continue
		}
		if lost.address != "" && id > s.config.Instance {
			addresses = append(addresses, lost.address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
