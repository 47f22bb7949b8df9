package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/rank"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// Dimensions and times of the model groups.
const (
	modelSets     = 2
	modelExperts  = 16
	modelSlots    = 6
	modelStepTime = 25 * time.Millisecond
	modelCopyTime = 60 * time.Millisecond
	// modelReportLag is the age of an engine's report, as on the platform.
	modelReportLag = 200 * time.Millisecond
	// modelShiftInterval is the time after which other experts are in demand.
	modelShiftInterval = 3 * time.Second
)

// modelGroup is a lock-step group of engines in memory.
type modelGroup struct {
	t    *testing.T
	name string
	mu   sync.Mutex

	ranks []*modelEngine
	step  uint64
	steppedAt,
	started time.Time
	longest  time.Duration // longest time without a step
	changes  int
	loseHalf bool // half of the answers to orders are lost
	random   *rand.Rand
}

// modelEngine is one rank of a modelGroup. Fields are guarded by the group's mutex.
type modelEngine struct {
	group             *modelGroup
	rank              int
	current, prepared uint64
	lists, next       experts.RankLists
	preparedAt        time.Time
	armed, armedStep  uint64
	holding           bool
	heldStep          uint64
	counts            []uint64
	history           []experts.RankReport // one a step, for reports that lag
	requests          int                  // running, as reported
}

func newModelGroup(t *testing.T, name string, size int, seed uint64) *modelGroup {
	even, err := experts.EvenMap(modelSets, modelExperts, size, modelSlots)
	if err != nil {
		t.Fatal(err)
	}
	g := &modelGroup{t: t, name: name, random: rand.New(rand.NewPCG(seed, 3)), started: time.Now(), steppedAt: time.Now()}
	for i := range size {
		g.ranks = append(g.ranks, &modelEngine{group: g, rank: i, lists: even.RankLists(size), counts: make([]uint64, modelSets*modelExperts)})
	}
	return g
}

// run runs decode steps until the context ends.
func (g *modelGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(modelStepTime)
		g.runStep()
	}
}

func (g *modelGroup) runStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.longest = max(g.longest, time.Since(g.steppedAt))
	for _, r := range g.ranks {
		r.history = append(r.history, experts.RankReport{Rank: r.rank, Epoch: 1, Open: true, Step: g.step, Map: r.current, Prepared: r.ready(),
			ArmedVersion: r.armed, ArmedStep: r.armedStep, Holding: r.holding, HeldStep: r.heldStep})
	}
	for _, r := range g.ranks {
		if r.holding && r.heldStep == g.step+1 {
			return
		}
	}
	g.step, g.steppedAt = g.step+1, time.Now()
	hot := int(time.Since(g.started) / modelShiftInterval)
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.current, r.lists, r.armed = r.armed, r.next, 0
			if r.rank == 0 {
				g.changes++
			}
		}
		if first := g.ranks[0]; r.current != first.current || !reflect.DeepEqual(r.lists, first.lists) {
			g.t.Errorf("%s: step %d uses map %d on rank 0 and %d on rank %d", g.name, g.step, first.current, r.current, r.rank)
		}
		for i := range r.counts {
			popularity := (7*(i%modelExperts) + 5*hot) % modelExperts
			r.counts[i] += uint64(max(2, 200>>popularity))
		}
	}
}

// ready returns the version whose experts are copied.
func (e *modelEngine) ready() uint64 {
	if time.Now().Before(e.preparedAt) {
		return 0
	}
	return e.prepared
}

// Report implements rank.Engine.
func (e *modelEngine) Report(context.Context) (*platform.EngineReport, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	r := &platform.EngineReport{Born: 1, Group: e.group.name, Size: len(e.group.ranks), Running: e.requests}
	if n := len(e.history); n > 0 {
		r.RankReport = e.history[max(0, n-1-int(modelReportLag/modelStepTime))]
	} else {
		r.RankReport = experts.RankReport{Rank: e.rank, Epoch: 1, Open: true}
	}
	return r, nil
}

// ExpertCounts implements rank.Engine.
func (e *modelEngine) ExpertCounts(context.Context) (uint64, []uint64, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return 1, slices.Clone(e.counts), nil
}

// HeldExperts implements rank.Engine.
func (e *modelEngine) HeldExperts(context.Context) (uint64, uint64, [][]int, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	var held [][]int
	for _, ranks := range e.lists {
		held = append(held, ranks[e.rank])
	}
	return 1, e.current, held, nil
}

// Order implements rank.Engine.
func (e *modelEngine) Order(_ context.Context, o experts.RankOrder) (experts.OrderResult, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	result := e.execute(o)
	if e.group.loseHalf && e.group.random.IntN(2) == 0 {
		return experts.OrderUnanswered, errors.New("the answer is lost")
	}
	return result, nil
}

func (e *modelEngine) execute(o experts.RankOrder) experts.OrderResult {
	switch o.Operation {
	case experts.OrderPrepare:
		if o.Version == e.prepared {
			if time.Now().Before(e.preparedAt) {
				return experts.OrderAccepted
			}
			return experts.OrderDone
		}
		if o.Version < e.prepared || e.armed != 0 {
			return experts.OrderRefused
		}
		e.prepared, e.next, e.preparedAt = o.Version, o.Map, time.Now().Add(modelCopyTime)
		return experts.OrderAccepted
	case experts.OrderArm:
		if e.armed == o.Version && e.armedStep == o.Step {
			return experts.OrderDone
		}
		if e.ready() != o.Version || o.Step <= e.group.step || e.armed != 0 {
			return experts.OrderRefused
		}
		e.armed, e.armedStep = o.Version, o.Step
	case experts.OrderDisarm:
		if e.current == o.Version {
			return experts.OrderRefused
		}
		if e.armed == o.Version {
			e.armed = 0
		}
	case experts.OrderHold:
		if e.holding && e.heldStep == o.Step {
			return experts.OrderDone
		}
		if e.holding || o.Step <= e.group.step {
			return experts.OrderRefused
		}
		e.holding, e.heldStep = true, o.Step
	case experts.OrderRelease:
		if !e.holding || e.heldStep != o.Step {
			return experts.OrderRefused
		}
		e.holding = false
	}
	return experts.OrderDone
}

// setLoseHalf sets whether half of the answers to orders are lost.
func (g *modelGroup) setLoseHalf(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loseHalf = on
}

// setRequests sets the number of requests that run at a rank.
func (g *modelGroup) setRequests(rank, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[rank].requests = requests
}

// progress returns the number of map changes and the longest time without a step.
func (g *modelGroup) progress() (changes int, longest time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes, g.longest
}

// startRanks runs the group's engines and the rank processes beside them until the context ends.
func (f *controlFleet) startRanks(ctx context.Context, g *modelGroup, running *sync.WaitGroup, seeds ...string) {
	running.Go(func() { g.run(ctx) })
	settings := &platform.Settings{Service: "s", BackendServer: "engine", InnerPorts: [2]uint16{1, 1}}
	for _, seed := range seeds {
		settings.Seeds = append(settings.Seeds, netip.AddrPortFrom(netip.MustParseAddrPort(seed).Addr(), 2))
	}
	for _, e := range g.ranks {
		hello := protocol.Hello{Version: protocol.Version, Instance: fleet.InstanceID(fmt.Sprint(g.name, "-", e.rank)), Rank: true}
		dial := func(address string, _ transport.Handler) transport.ConnectFunc {
			return func(_ context.Context, h transport.Handler) (transport.Session, error) {
				return f.connect(&controlNode{}, address, hello, h)
			}
		}
		running.Go(func() { rank.Run(ctx, settings, e, dial, nil) })
	}
}

// coordinatorOf returns the instance that coordinates a group, according to the agreed state.
func (f *controlFleet) coordinatorOf(group string) *controlNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := controlstate.Coordinator{}
	for _, n := range f.nodes {
		if c := n.State().Coordinator(group); c.Lease > newest.Lease {
			newest = c
		}
	}
	return f.nodes[newest.Instance]
}

// maxHold is the longest time that a group may run no step: callers abandon a stream after a gap of 2 s.
const maxHold = 2 * time.Second

// Guards against a fleet whose groups all depend on the leader, and against a group that stays held, changes its map no
// more or uses two maps when its coordinator is lost at any moment of a change and answers to orders are lost.
func TestGroupsOutliveTheirCoordinators(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 4))
			f := newControlFleet(t, 5)
			f.decode = func([]byte) (*routes.Configuration, error) {
				return &routes.Configuration{Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Sets: modelSets, Experts: modelExperts,
					MaxPlacements: modelSlots, Spare: 2, ExpertCopyTime: modelCopyTime}}}}, nil
			}
			defer f.stopAll()
			addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
			f.startFounders(addresses...)
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			groups := []*modelGroup{newModelGroup(t, "g1", 4, seed), newModelGroup(t, "g2", 5, seed)}
			for _, g := range groups {
				f.startRanks(ctx, g, &running, addresses...)
			}
			time.Sleep(5 * time.Second)
			is.NoErr(f.commit(1))
			time.Sleep(4 * time.Second)
			is.True(f.coordinatorOf("s/g1") != nil && f.coordinatorOf("s/g2") != nil)
			is.True(f.coordinatorOf("s/g1") != f.coordinatorOf("s/g2"))
			for loss := range 4 {
				var before []int
				for _, g := range groups {
					g.setLoseHalf(random.IntN(2) == 0)
					changes, _ := g.progress()
					is.True(changes > 0)
					before = append(before, changes)
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				lost := f.coordinatorOf(fmt.Sprint("s/g", 1+random.IntN(2)))
				f.crash(lost)
				time.Sleep(3 * modelShiftInterval)
				for i, g := range groups {
					changes, longest := g.progress()
					if changes == before[i] {
						t.Fatalf("seed %d, loss %d: group %s has changed its map no more", seed, loss, g.name)
					}
					if longest > maxHold {
						t.Fatalf("seed %d, loss %d: group %s was held for %v", seed, loss, g.name, longest)
					}
				}
				f.start(lost.address, lost.disk, false, addresses...)
				time.Sleep(2 * time.Second)
			}
		})
	}
}

// Guards against a restarted coordinator that issues a number again for another map: it knows nothing of orders that are
// still on their way. It acts only under a lease granted after its start.
func TestRestartedCoordinatorNeedsANewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControlFleet(t, 3)
		defer f.stopAll()
		addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		f.startFounders(addresses...)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		f.startRanks(ctx, newModelGroup(t, "g1", 4, 1), &running, addresses...)
		time.Sleep(8 * time.Second)
		for range 3 {
			n := f.coordinatorOf("s/g1")
			before := n.State().Coordinator("s/g1").Lease
			f.crash(n)
			time.Sleep(silentAfter / 4) // too short for the leader to notice
			n = f.start(n.address, n.disk, false, addresses...)
			issued := make(chan uint64)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				n.groups.post(func(time.Time) {
					lease := uint64(0)
					if g := n.groups.byName["s/g1"]; g != nil && g.role != noRole {
						lease = g.numbers.Lease
					}
					issued <- lease
				})
				if lease := <-issued; lease != 0 && lease <= before {
					t.Fatalf("the restarted instance acts under lease %d from before its start, %d", lease, before)
				}
			}
			after := f.coordinatorOf("s/g1").State().Coordinator("s/g1")
			is.True(after.Lease > before)
		}
	})
}

// Guards against numbers that are issued again after the state of the groups was discarded.
func TestChangeNumbersOutliveThePauseOfAProcess(t *testing.T) {
	is := is.New(t)
	d, err := New(Config{Address: "a", Founders: []string{"b"}, Voters: 1, AnnounceInterval: time.Second,
		Hello: func() protocol.Hello { return protocol.Hello{} }}, emptyDisk(1))
	is.NoErr(err)
	defer d.Close()
	d.stateMachine.state.Store(&controlstate.State{Coordinators: []controlstate.Coordinator{{Group: "s/g", Instance: "a", Lease: 3}}})
	gs, now := d.groups, time.Now()
	report := func() uint64 {
		gs.handleReport(now, &orderSession{}, &protocol.Rank{Service: "s", Group: "g", Size: 1, Report: experts.RankReport{Epoch: 1, Open: true}})
		g := gs.byName["s/g"]
		if g.role == noRole {
			return 0
		}
		number, ok := g.numbers.Next(0)
		is.True(ok)
		return number
	}
	is.Equal(report(), uint64(0)) // whether the lease is from before the start is not known yet
	gs.leasesConfirmed(now, controlstate.State{Coordinators: []controlstate.Coordinator{{Group: "s/g", Lease: 2}}})
	first := report()
	is.True(first > 0)
	gs.tick(now)
	gs.tick(now.Add(maxTickGap + 1)) // a pause: the state is discarded
	is.Equal(len(gs.byName), 0)
	is.True(report() > first)
	gs.earlierLease = 3
	gs.tick(now.Add(maxTickGap + 2))
	is.Equal(report(), uint64(0))
	is.Equal(len(gs.renewLeases(d.State().Coordinators)), 1)
}

// orderSession records the orders sent to a rank process.
type orderSession struct {
	transport.Session
	orders []experts.RankOrder
}

func (s *orderSession) Send(m protocol.Message) error {
	if order, ok := m.(*protocol.RankOrder); ok {
		s.orders = append(s.orders, order.Order)
	}
	return nil
}

// Guards against a step that is held while the process is too late to send the orders that end the hold.
func TestNoStepIsHeldWhileTheLoopIsLate(t *testing.T) {
	is := is.New(t)
	d, err := New(Config{Address: "a", Founders: []string{"b"}, Voters: 1, AnnounceInterval: time.Second,
		Hello: func() protocol.Hello { return protocol.Hello{} }}, emptyDisk(1))
	is.NoErr(err)
	defer d.Close()
	gs, session := d.groups, &orderSession{}
	now := time.Now()
	g := newGroup(now.Add(-time.Second), "s", "g", 1)
	g.role, g.numbers = coordinator, &experts.ChangeNumbers{Lease: 1}
	g.ranks[0] = &groupRank{session: session}
	g.switchover.HandleReport(now, experts.RankReport{Epoch: 1, Open: true, Step: 5})
	g.switchover.Begin(now, 1, experts.RankLists{{{0}}})
	gs.advance(now, g)
	is.Equal(len(session.orders), 1)
	g.switchover.HandleResult(now, session.orders[0], experts.OrderDone)
	gs.late = true
	gs.advance(now, g)
	is.Equal(len(session.orders), 1)
	gs.late = false
	gs.advance(now, g)
	is.Equal(len(session.orders), 2)
	is.Equal(session.orders[1].Operation, experts.OrderHold)
	gs.late = true // a step is held: the orders that release it do not wait
	g.switchover.HandleResult(now, session.orders[1], experts.OrderDone)
	gs.advance(now, g)
	is.Equal(len(session.orders), 3)
	is.Equal(session.orders[2].Operation, experts.OrderArm)
}
