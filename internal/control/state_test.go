package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// line is a session that keeps what is sent.
type line struct {
	hello     protocol.Hello
	full      bool // refuses messages
	sent      []protocol.Message
	revisions []uint64 // told without addresses
}

var _ transport.Session = (*line)(nil)

func (l *line) Peer() protocol.Hello   { return l.hello }
func (l *line) State() transport.State { return transport.StateLive }
func (l *line) GoAway(string)          {}
func (l *line) Close(string)           {}
func (l *line) Done() <-chan struct{}  { return nil }
func (l *line) Open(context.Context, *protocol.Open) (transport.Stream, error) {
	return nil, errors.New("no streams")
}
func (l *line) Send(m protocol.Message) error {
	if l.full {
		return errors.New("the queue is full")
	}
	l.sent = append(l.sent, m)
	return nil
}

// rosters returns the rosters that were sent since the last call.
// rosters returns the rosters with addresses; those without tell a newer revision only.
func (l *line) rosters() (rosters []*protocol.Roster) {
	for _, m := range l.sent {
		r, ok := m.(*protocol.Roster)
		switch {
		case ok && len(r.Addresses) > 0:
			rosters = append(rosters, r)
		case ok:
			l.revisions = append(l.revisions, r.Revision)
		}
	}
	l.sent = nil
	return rosters
}

// bench drives a control state in virtual time.
type bench struct {
	*state
	now    time.Time
	agents []*line
}

func newBench(agents int) *bench {
	b := &bench{state: newState(Config{Instance: "norte-1", DataCentre: "norte", Address: "10.0.0.1:7070"}), now: time.Now()} // the base of the virtual time; the failure detector takes its own from the clock
	for i := range agents {
		id := fmt.Sprintf("engine-%d", i)
		l := &line{hello: protocol.Hello{Instance: fleet.InstanceID(id), Agent: true}}
		b.agents = append(b.agents, l)
		b.announce(l)
		b.loaded(fleet.Load{Server: fleet.ServerID(id), Incarnation: 1, Sequence: 1, Limit: 32, Running: 8, Phase: fleet.PhaseServing}, b.now)
	}
	return b
}

func (b *bench) announce(l *line) {
	b.announced(l, fleet.Announcement{Server: fleet.ServerID(l.hello.Instance), Incarnation: 1, DataCentre: "norte", Capacity: 32,
		Models: []fleet.Model{{Name: "model"}}}, b.now)
}

// peer opens a session to another entry instance.
func (b *bench) peer(id fleet.InstanceID, centre fleet.DataCentre) *line {
	l := &line{hello: protocol.Hello{Instance: id, DataCentre: centre, Address: string(id) + ":7070"}}
	b.sessionOpened(l, b.now)
	return l
}

// takeOver runs until the instance represents its data centre.
func (b *bench) takeOver(t *testing.T) {
	for range 100 {
		if b.members.detector.Representative() == "norte-1" {
			return
		}
		b.run(tickInterval)
	}
	t.Fatal("the instance has not become the representative of its data centre")
}

func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(tickInterval)
		b.tick(b.now)
		b.tickMembers(b.now, nil)
	}
}

// agree puts an agreed state in force as Loop.SetAgreed does.
func (b *bench) agree(agreed Agreed) {
	b.agreed = agreed
	for _, known := range b.servers {
		b.sendRoster(known)
	}
}

// Guards against rosters without news, which filled 40 % of a daemon's budget at 4,300 changes a day, and against agents
// that are never told again.
func TestRosterWithoutNewsIsNotSent(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	b.run(time.Second)
	b.agents[0].rosters()
	for revision := range uint64(100) {
		b.agree(Agreed{Revision: revision + 1})
		b.run(time.Second)
	}
	is.Equal(len(b.agents[0].rosters()), 0)
	is.Equal(len(b.agents[0].revisions), 100) // the only instance tells the agent of each change, without addresses
	is.Equal(b.agents[0].revisions[99], uint64(100))
	b.run(rosterInterval)
	repeated := b.agents[0].rosters()
	is.Equal(len(repeated), 1)
	is.Equal(repeated[0].Revision, uint64(100))
}

// Guards against an agent that is not told at once what concerns it: that its server is withdrawn or taken back, a newer
// fencing token, or that an instance has come or gone.
func TestRosterNewsIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	b.run(time.Second)
	b.agents[0].rosters()
	b.agents[1].rosters()

	gone := &release.Config{WithdrawnServers: []release.Withdrawal{{Server: "engine-0", Note: 3}}}
	b.agree(Agreed{Revision: 7, Config: gone})
	told := b.agents[0].rosters()
	is.Equal(len(told), 1)
	is.True(told[0].Draining)
	is.Equal(told[0].Revision, uint64(7))
	is.Equal(len(b.agents[1].rosters()), 0)

	b.agree(Agreed{Revision: 8})
	told = b.agents[0].rosters()
	is.Equal(len(told), 1)
	is.True(!told[0].Draining)

	b.agree(Agreed{Revision: 9, Fencing: 5})
	is.Equal(len(b.agents[1].rosters()), 1)

	other := b.peer("norte-2", "norte")
	b.run(tickInterval)
	told = b.agents[1].rosters()
	is.Equal(len(told), 1)
	is.Equal(len(told[0].Addresses), 2)
	b.sessionChanged(other, transport.StateClosed, b.now)
	b.run(15 * time.Second) // membership removes the instance after 3 s of suspicion and 8 s more
	told = b.agents[1].rosters()
	is.Equal(len(told), 1)
	is.Equal(len(told[0].Addresses), 1)
}

// Guards against an agent that misses news: its queue was full, or it has opened another session.
func TestMissedRosterIsRepeated(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.run(time.Second)
	agent := b.agents[0]
	agent.rosters()
	agent.full = true
	b.agree(Agreed{Revision: 2, Fencing: 5})
	b.run(time.Second)
	agent.full = false
	b.run(tickInterval)
	told := agent.rosters()
	is.Equal(len(told), 1)
	is.Equal(told[0].Fencing, uint64(5))
	b.run(time.Second)
	is.Equal(len(agent.rosters()), 0)

	second := &line{hello: agent.hello}
	b.announce(second)
	is.Equal(len(second.rosters()), 1)
}

// summaries returns the summaries that were sent since the last call.
func (l *line) summaries() (summaries []*protocol.Summary) {
	for _, m := range l.sent {
		if s, ok := m.(*protocol.Summary); ok {
			summaries = append(summaries, s)
		}
	}
	l.sent = nil
	return summaries
}

// load reports running requests of an agent's server.
func (b *bench) load(agent int, sequence uint64, running int, phase fleet.Phase) {
	b.loaded(fleet.Load{Server: fleet.ServerID(b.agents[agent].hello.Instance), Incarnation: 1, Sequence: sequence, Limit: 32,
		Running: running, Phase: phase}, b.now)
}

// Guards against summaries without news, which cost the instance that sends them a third of its budget, and against a
// data centre whose summary expires although nothing has failed.
func TestSummaryWithoutNewsIsRefreshed(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	remote := b.peer("sur-1", "sur")
	b.run(2 * time.Second)
	remote.summaries()
	b.run(60 * time.Second)
	is.Equal(len(remote.summaries()), int(60*time.Second/summaryRefresh))
	is.True(summaryMaxAge > 3*summaryRefresh) // two summaries may be lost
}

// Guards against news that other data centres learn too late: fewer free slots, a server that leaves, no free slot left,
// and an instance that has just connected.
func TestSummaryNewsIsSentWithinASecond(t *testing.T) {
	is := is.New(t)
	b := newBench(10) // 240 free slots
	remote := b.peer("sur-1", "sur")
	b.run(5 * time.Second)
	remote.summaries()
	within := func() []*protocol.Summary {
		b.run(summaryInterval)
		return remote.summaries()
	}

	b.load(0, 2, 32, fleet.PhaseServing) // 24 of 240 slots less: below the step
	is.Equal(len(within()), 0)
	b.load(1, 2, 16, fleet.PhaseServing)
	told := within()
	is.Equal(len(told), 1)
	is.Equal(told[0].Targets[0].Free, 208)
	b.load(1, 3, 16, fleet.PhaseDraining)
	told = within()
	is.Equal(len(told), 1)
	is.Equal(told[0].Targets[0].Servers, 9)
	for i := range b.agents {
		b.load(i, 9, 32, fleet.PhaseServing)
	}
	told = within()
	is.Equal(len(told), 1)
	is.Equal(told[0].Targets[0].Free, 0)
	b.load(3, 10, 31, fleet.PhaseServing)
	is.Equal(within()[0].Targets[0].Free, 1)

	late := b.peer("este-1", "este")
	b.run(summaryInterval)
	is.Equal(len(late.summaries()), 1)
}

// Guards against an instance that takes over from the representative of its data centre and stays silent until its first
// refresh, and against other data centres that count the free slots of both meanwhile.
func TestSummaryAfterTakeover(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	remote := b.peer("sur-1", "sur")
	lower := b.peer("norte-0", "norte")
	b.run(3 * time.Second)
	is.Equal(len(remote.summaries()), 0)
	b.sessionChanged(lower, transport.StateClosed, b.now)
	b.takeOver(t)
	b.run(summaryInterval)
	is.Equal(len(remote.summaries()), 1)
	lower = &line{hello: protocol.Hello{Instance: "norte-0", DataCentre: "norte", Address: "norte-0:7070", Incarnation: 1}}
	b.sessionOpened(lower, b.now)
	b.run(summaryInterval)
	remote.summaries()
	b.sessionChanged(lower, transport.StateClosed, b.now)
	b.takeOver(t)
	b.run(summaryInterval)
	is.Equal(len(remote.summaries()), 1)

	next := b.peer("sur-2", "sur")
	targets := []fleet.Summary{{DataCentre: "sur", Name: "model", Servers: 1, Free: 10}}
	b.summarised(remote, &protocol.Summary{Targets: targets}, b.now)
	b.summarised(next, &protocol.Summary{Targets: targets}, b.now)
	is.Equal(b.view(b.now).RemoteSummaries, targets)
}

// Guards against agents that every instance of the data centre tells of each change, and against ones that none does.
func TestOneInstanceInformsEachAgent(t *testing.T) {
	is := is.New(t)
	b := newBench(0)
	b.peer("norte-2", "norte")
	other := newState(Config{Instance: "norte-2", DataCentre: "norte", Address: "norte-2:7070"})
	first := &line{hello: protocol.Hello{Instance: "norte-1", DataCentre: "norte", Address: "10.0.0.1:7070"}}
	other.sessionOpened(first, b.now)
	is.Equal(other.localAddresses(), b.localAddresses())
	here := 0
	for n := range 100 {
		id := fleet.ServerID(fmt.Sprintf("engine-%d", n))
		is.True(b.informs(id, b.localAddresses()) != other.informs(id, other.localAddresses()))
		if b.informs(id, b.localAddresses()) {
			here++
		}
	}
	is.True(here > 30 && here < 70)
}
