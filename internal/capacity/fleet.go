package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// boot is a boot number of the usual size: nanoseconds since 1970.
const boot fleet.Incarnation = 1_780_000_000_000_000_000

const dataCentre fleet.DataCentre = "rosario-norte"

// ModelName returns the name of one of the models in steady use.
func ModelName(i int) string { return fmt.Sprintf("modelo-vidrio-%d", i%Models) }

// InstanceID returns the identifier of an entry instance.
func InstanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("norte-entry-%03d", i)) }

// Address returns the inner address of an entry instance.
func Address(i int) string { return fmt.Sprintf("10.1.%d.%d:7070", i/200, 10+i%200) }

// Announcement returns the announcement of an engine.
func Announcement(i int) fleet.Announcement {
	return fleet.Announcement{
		Server: fleet.ServerID(fmt.Sprintf("norte-engine-%04d", i)), Incarnation: boot, DataCentre: dataCentre, Capacity: 32,
		Models:  []fleet.Model{{Name: ModelName(i), Version: "7", Adapters: []string{"cotizaciones"}}},
		Resumes: true, ChecksFencing: true,
	}
}

// Load returns the load report of an engine that has run for a while.
func Load(i int, sequence uint64) fleet.Load {
	return fleet.Load{
		Server: Announcement(i).Server, Incarnation: boot, Sequence: sequence, Running: 11, Limit: 32,
		TimeToFirstToken: 412_345_678, InterTokenLatency: 27_654_321, Phase: fleet.PhaseServing,
	}
}

// Roster returns what an agent of a data centre with n entry instances is told.
func Roster(n int) *protocol.Roster {
	r := &protocol.Roster{Revision: 1_000_000, Fencing: 40_000}
	for i := range n {
		r.Addresses = append(r.Addresses, Address(i))
	}
	return r
}

// Summaries returns what a data centre with all models tells the others.
func Summaries() []fleet.Summary {
	var targets []fleet.Summary
	for i := range Models {
		targets = append(targets, fleet.Summary{
			DataCentre: dataCentre, Name: ModelName(i), Servers: 50, Free: 480, FirstToken: 412_345_678,
		})
	}
	return targets
}

// View returns the agreed state with n servers named by notes.
func View(n int) *agreed.View {
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
	return &agreed.View{Revision: 1_000_000, Config: config}
}

// Change returns a change by a note that adds one server.
func Change() *agreed.Change {
	return &agreed.Change{Previous: 1_000_000, Index: 1_000_001, Note: &release.Note{
		Number: ChangesPerDay, Author: "turno-noche", Comment: "adds an engine after a repair",
		Servers: release.ServerChanges{Add: View(1).Config.Servers},
	}}
}

// Claim returns a claim of an order, and Outcome the record of its end.
func Claim(i int) *agreed.ClaimKey {
	c := agreed.Claim{
		Organisation: fleet.Organisation(fmt.Sprintf("organisation-%03d", i%Organisations)),
		Key:          fmt.Sprintf("pedido-2026-%08d", i), Incarnation: boot,
		Server: fleet.ServerID(string(dataCentre) + "/" + string(Announcement(i%Engines).Server)),
	}
	for b := range 8 {
		c.Attempt[b] = byte((i + 1) >> (8 * b))
		c.Digest[b] = byte((i + 1) >> (8 * b))
	}
	return &agreed.ClaimKey{Claim: c, At: 1_780_000_000 + int64(i/RequestsPerSec)}
}

// quietSession is a session whose peer is never heard of again. It counts the rosters and agreed states that are sent.
type quietSession struct {
	hello           protocol.Hello
	rosters, states Traffic
}

var _ transport.Session = (*quietSession)(nil)

func (s *quietSession) Peer() protocol.Hello   { return s.hello }
func (s *quietSession) State() transport.State { return transport.StateLive }
func (s *quietSession) GoAway(string)          {}
func (s *quietSession) Close(string)           {}
func (s *quietSession) Done() <-chan struct{}  { return nil }

func (s *quietSession) Open(context.Context, *protocol.Open) (transport.Stream, error) {
	return nil, &transport.SessionLost{Reason: "a quiet session opens no streams"}
}

func (s *quietSession) Send(m protocol.Message) error {
	switch m.Type() {
	case protocol.TypeRoster:
		s.rosters.Add(1, Frame(m), false)
	case protocol.TypeState:
		s.states.Add(1, Frame(m), false)
	}
	return nil
}

// Table is the control loop of an entry instance with n engines.
type Table struct {
	*control.Loop
	agents []*quietSession
	cancel context.CancelFunc
}

// NewTable starts a loop and announces n engines to it.
func NewTable(n int) *Table {
	loop := control.New(control.Config{Instance: InstanceID(0), Incarnation: boot, DataCentre: dataCentre, Address: Address(0)})
	ctx, cancel := context.WithCancel(context.Background())
	go loop.Run(ctx)
	t := &Table{Loop: loop, cancel: cancel}
	for i := range n {
		a := Announcement(i)
		s := &quietSession{hello: protocol.Hello{Instance: fleet.InstanceID(a.Server), DataCentre: dataCentre, Agent: true}}
		t.agents = append(t.agents, s)
		loop.MessageReceived(s, &protocol.Announce{Announcement: a})
		loop.MessageReceived(s, &protocol.Load{Load: Load(i, 1)})
		if i%1000 == 999 {
			t.Publish() // empties the queue, which drops load reports when it is full
		}
	}
	t.Publish()
	return t
}

// Rebuild makes the loop build a view and waits for it.
func (t *Table) Rebuild() {
	before := t.View()
	t.StateChanged(t.agents[0], transport.StateLive)
	for t.View() == before {
		runtime.Gosched()
	}
}

// Rosters returns what the agents were sent in rosters so far.
func (t *Table) Rosters() (sum Traffic) {
	for _, s := range t.agents {
		sum = sum.Sum(s.rosters)
	}
	return sum
}

// Publish puts a newer agreed state in force and waits until it is in the view.
func (t *Table) Publish() {
	before := t.View()
	t.SetAgreedState(control.AgreedState{Revision: before.Revision + 1})
	for t.View().Revision <= before.Revision {
		runtime.Gosched()
	}
}

// Observe applies a newer load report of one engine.
func (t *Table) Observe(i int, sequence uint64) {
	t.MessageReceived(t.agents[i], &protocol.Load{Load: Load(i, sequence)})
}

// Peer adds a session to another entry instance.
func (t *Table) Peer(i int, centre fleet.DataCentre) *quietSession {
	s := &quietSession{hello: protocol.Hello{Instance: InstanceID(i), DataCentre: centre, Address: Address(i), Incarnation: boot}}
	t.SessionOpened(s)
	return s
}

// Close stops the loop.
func (t *Table) Close() { t.cancel() }

// Heap returns the live heap after a collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
