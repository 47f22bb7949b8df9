package capacity

import (
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Source is an instance without a disk that others follow.
type Source struct {
	table     *Table
	service   *agreement.Service
	followers []*quietSession
}

type noSessions struct{}

func (noSessions) Session(string) transport.Session { return nil }

// NewSource returns a source that holds a view with n servers.
func NewSource(followers, servers int) (*Source, error) {
	t := NewTable(0)
	service, err := agreement.New(agreement.Config{Instance: InstanceID(0), Incarnation: boot, DataCentre: dataCentre, Address: Address(0)},
		nil, noSessions{}, t.Loop)
	if err != nil {
		return nil, err
	}
	s := &Source{table: t, service: service}
	for i := range followers {
		s.followers = append(s.followers, &quietSession{hello: protocol.Hello{Instance: InstanceID(i + 1), DataCentre: dataCentre}})
	}
	view := View(servers)
	data, err := protocol.EncodeView(view)
	s.service.MessageReceived(&quietSession{}, &protocol.State{Index: view.Revision, Snapshot: data})
	return s, err
}

// Poll lets all followers ask for changes and returns what they are answered.
func (s *Source) Poll() Traffic {
	before := s.sent()
	index := s.service.View().Revision
	for _, f := range s.followers {
		s.service.MessageReceived(f, &protocol.State{Request: true, Index: index})
	}
	return s.sent().Sum(before.Each(-1))
}

// Change applies a change and returns what the followers are sent.
func (s *Source) Change() (Traffic, error) {
	before := s.sent()
	change := Change()
	change.Previous = s.service.View().Revision
	change.Index = change.Previous + 1
	data, err := protocol.EncodeChange(change)
	s.service.MessageReceived(&quietSession{}, &protocol.State{From: change.Previous, Index: change.Index, Entries: [][]byte{data}})
	return s.sent().Sum(before.Each(-1)), err
}

// Fetch lets a new follower fetch the whole view and returns what it is sent.
func (s *Source) Fetch() Traffic {
	f := &quietSession{}
	s.service.MessageReceived(f, &protocol.State{Request: true})
	return f.states
}

func (s *Source) sent() (sum Traffic) {
	for _, f := range s.followers {
		sum = sum.Sum(f.states)
	}
	return sum
}

// Close ends the source's loop.
func (s *Source) Close() { s.table.Close() }

// Revision returns the revision that the source holds.
func (s *Source) Revision() uint64 { return s.service.View().Revision }

var _ agreement.Sessions = noSessions{}

// requested returns what n followers send in one round of requests.
func requested(n int) (t Traffic) {
	t.Add(float64(n), Frame(&protocol.State{Request: true, Index: View(0).Revision}), true)
	return t
}
