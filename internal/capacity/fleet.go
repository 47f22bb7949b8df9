package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// incarnation is an incarnation number of the usual encoded size: nanoseconds since 1970.
const incarnation fleet.Incarnation = 1_780_000_000_000_000_000

const dataCentre fleet.DataCentre = "rosario-norte"

// ModelName returns the name of one of the models that are always in use.
func ModelName(i int) string { return fmt.Sprintf("modelo-vidrio-%d", i%Models) }

// InstanceID returns the identifier of an entry instance.
func InstanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("norte-entry-%03d", i)) }

// Address returns the inner address of an entry instance.
func Address(i int) string { return fmt.Sprintf("10.1.%d.%d:7070", i/200, 10+i%200) }

// Announcement returns the announcement of an engine.
func Announcement(i int) fleet.Announcement {
	return fleet.Announcement{
		Server: fleet.ServerID(fmt.Sprintf("norte-engine-%04d", i)), Incarnation: incarnation, DataCentre: dataCentre, Capacity: 32,
		Models:  []fleet.Model{{Name: ModelName(i), Version: "7", Adapters: []string{"cotizaciones"}}},
		Resumes: true, ChecksFencing: true,
	}
}

// Load returns a load report of an engine with field values of typical size.
func Load(i int, sequence uint64) fleet.Load {
	return fleet.Load{
		Server: Announcement(i).Server, Incarnation: incarnation, Sequence: sequence, Running: 11, Limit: 32,
		TimeToFirstToken: 412_345_678, InterTokenLatency: 27_654_321, Phase: fleet.PhaseServing,
	}
}

// Roster returns the roster for an agent of a data centre with n entry instances.
func Roster(n int) *protocol.Roster {
	r := &protocol.Roster{Revision: 1_000_000, Fencing: 40_000}
	for i := range n {
		r.Addresses = append(r.Addresses, Address(i))
	}
	return r
}

// Summaries returns the summaries of a data centre that serves all models.
func Summaries() []fleet.Summary {
	var targets []fleet.Summary
	for i := range Models {
		targets = append(targets, fleet.Summary{
			DataCentre: dataCentre, Name: ModelName(i), Servers: 50, Free: 480, FirstToken: 412_345_678,
		})
	}
	return targets
}

// View returns an agreed state whose release notes list n servers.
func View(n int) *statemachine.View {
	config := &release.Config{Number: ChangesPerDay, Author: "turno-noche"}
	for i := range n {
		config.Servers = append(config.Servers, release.Server{
			ID: Announcement(i).Server, DataCentre: dataCentre, Kind: release.KindEngine,
			Models: []release.ExpectedModel{{Name: ModelName(i), Version: "7", Adapters: []string{"cotizaciones"}}},
		})
	}
	for i := range Models {
		config.Models = append(config.Models, release.Model{Name: ModelName(i), Version: "7"})
	}
	return &statemachine.View{Revision: 1_000_000, Config: config}
}

// Change returns a change by a release note that adds one server.
func Change() *statemachine.Change {
	return &statemachine.Change{Previous: 1_000_000, Index: 1_000_001, Note: &release.Note{
		Number: ChangesPerDay, Author: "turno-noche", Comment: "adds an engine after a repair",
		Servers: release.ServerChanges{Add: View(1).Config.Servers},
	}}
}

// Claim returns the command that claims the key of an order.
func Claim(i int) *statemachine.ClaimKey {
	c := statemachine.Claim{
		Organisation: fleet.Organisation(fmt.Sprintf("organisation-%03d", i%Organisations)),
		Key:          fmt.Sprintf("pedido-2026-%08d", i), Incarnation: incarnation,
		Server: fleet.ServerID(string(dataCentre) + "/" + string(Announcement(i%Engines).Server)),
	}
	for b := range 8 {
		c.Attempt[b] = byte((i + 1) >> (8 * b))
		c.Digest[b] = byte((i + 1) >> (8 * b))
	}
	return &statemachine.ClaimKey{Claim: c, At: 1_780_000_000 + int64(i/RequestsPerSec)}
}

// countingSession is a fake session whose peer never answers. It counts the rosters and agreed states sent.
type countingSession struct {
	hello                 protocol.Hello
	rosters, agreedStates Traffic
}

var _ transport.Session = (*countingSession)(nil)

func (s *countingSession) Peer() protocol.Hello   { return s.hello }
func (s *countingSession) State() transport.State { return transport.StateLive }
func (s *countingSession) GoAway(string)          {}
func (s *countingSession) Close(string)           {}
func (s *countingSession) Done() <-chan struct{}  { return nil }

func (s *countingSession) Open(context.Context, *protocol.Open) (transport.Stream, error) {
	return nil, &transport.SessionLost{Reason: "a counting session opens no streams"}
}

func (s *countingSession) Send(m protocol.Message) error {
	switch m.Type() {
	case protocol.TypeRoster:
		s.rosters.Add(1, FrameBytes(m), false)
	case protocol.TypeState:
		s.agreedStates.Add(1, FrameBytes(m), false)
	}
	return nil
}

// ControlLoop is the control loop of an entry instance with n engines.
type ControlLoop struct {
	*control.Loop
	agents []*countingSession
	cancel context.CancelFunc
}

// NewControlLoop starts a control loop and announces n engines to it.
func NewControlLoop(n int) *ControlLoop {
	loop := control.New(control.Config{Instance: InstanceID(0), Incarnation: incarnation, DataCentre: dataCentre,
		Address: Address(0)})
	ctx, cancel := context.WithCancel(context.Background())
	go loop.Run(ctx)
	l := &ControlLoop{Loop: loop, cancel: cancel}
	for i := range n {
		a := Announcement(i)
		s := &countingSession{hello: protocol.Hello{Instance: fleet.InstanceID(a.Server), DataCentre: dataCentre, Agent: true}}
		l.agents = append(l.agents, s)
		loop.MessageReceived(s, &protocol.Announce{Announcement: a})
		loop.MessageReceived(s, &protocol.Load{Load: Load(i, 1)})
		if i%1000 == 999 {
			l.PublishState() // drains the queue, which drops load reports when it is full
		}
	}
	l.PublishState()
	return l
}

// RebuildView makes the loop build a new view and waits for it.
func (l *ControlLoop) RebuildView() {
	before := l.View()
	l.StateChanged(l.agents[0], transport.StateLive)
	for l.View() == before {
		runtime.Gosched()
	}
}

// RostersSent returns the traffic of all rosters sent to the agents so far.
func (l *ControlLoop) RostersSent() (sum Traffic) {
	for _, s := range l.agents {
		sum = sum.Plus(s.rosters)
	}
	return sum
}

// PublishState sets a newer agreed state and waits until the view contains it.
func (l *ControlLoop) PublishState() {
	before := l.View()
	l.SetAgreedState(control.AgreedState{Revision: before.Revision + 1})
	for l.View().Revision <= before.Revision {
		runtime.Gosched()
	}
}

// ReportLoad applies a newer load report of one engine.
func (l *ControlLoop) ReportLoad(i int, sequence uint64) {
	l.MessageReceived(l.agents[i], &protocol.Load{Load: Load(i, sequence)})
}

// AddPeer adds a session to another entry instance.
func (l *ControlLoop) AddPeer(i int, centre fleet.DataCentre) *countingSession {
	s := &countingSession{hello: protocol.Hello{Instance: InstanceID(i), DataCentre: centre, Address: Address(i),
		Incarnation: incarnation}}
	l.SessionOpened(s)
	return s
}

// Close stops the loop.
func (l *ControlLoop) Close() { l.cancel() }

// HeapBytes returns the size of the live heap after a garbage collection.
func HeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
