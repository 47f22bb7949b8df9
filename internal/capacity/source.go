package capacity

import (
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Source is an instance without a disk that serves the agreed state to followers.
type Source struct {
	loop      *ControlLoop
	service   *agreement.Service
	followers []*countingSession
}

type noSessions struct{}

func (noSessions) Session(string) transport.Session { return nil }

// NewSource returns a source whose view lists the given number of servers.
func NewSource(followers, servers int) (*Source, error) {
	loop := NewControlLoop(0)
	service, err := agreement.New(agreement.Config{Instance: InstanceID(0), Incarnation: incarnation, DataCentre: dataCentre,
		Address: Address(0)}, nil, noSessions{}, loop.Loop)
	if err != nil {
		return nil, err
	}
	s := &Source{loop: loop, service: service}
	for i := range followers {
		s.followers = append(s.followers, &countingSession{hello: protocol.Hello{Instance: InstanceID(i + 1), DataCentre: dataCentre}})
	}
	view := View(servers)
	data, err := protocol.EncodeView(view)
	s.service.MessageReceived(&countingSession{}, &protocol.State{Index: view.Revision, Snapshot: data})
	return s, err
}

// Poll makes each follower request changes once and returns the traffic of the answers.
func (s *Source) Poll() Traffic {
	before := s.sentTraffic()
	index := s.service.View().Revision
	for _, f := range s.followers {
		s.service.MessageReceived(f, &protocol.State{Request: true, Index: index})
	}
	return s.sentTraffic().Plus(before.Times(-1))
}

// Change applies a change and returns the traffic to the followers.
func (s *Source) Change() (Traffic, error) {
	before := s.sentTraffic()
	change := Change()
	change.Previous = s.service.View().Revision
	change.Index = change.Previous + 1
	data, err := protocol.EncodeChange(change)
	s.service.MessageReceived(&countingSession{}, &protocol.State{From: change.Previous, Index: change.Index, Entries: [][]byte{data}})
	return s.sentTraffic().Plus(before.Times(-1)), err
}

// Fetch makes a new follower request the whole view and returns the traffic to it.
func (s *Source) Fetch() Traffic {
	f := &countingSession{}
	s.service.MessageReceived(f, &protocol.State{Request: true})
	return f.agreedStates
}

func (s *Source) sentTraffic() (sum Traffic) {
	for _, f := range s.followers {
		sum = sum.Plus(f.agreedStates)
	}
	return sum
}

// Close stops the control loop of the source.
func (s *Source) Close() { s.loop.Close() }

// Revision returns the revision of the view of the source.
func (s *Source) Revision() uint64 { return s.service.View().Revision }

var _ agreement.Sessions = noSessions{}

// requestTraffic returns the traffic of one request from each of n followers.
func requestTraffic(n int) (t Traffic) {
	t.Add(float64(n), FrameBytes(&protocol.State{Request: true, Index: View(0).Revision}), true)
	return t
}
