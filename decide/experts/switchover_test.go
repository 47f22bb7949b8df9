package experts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// modelRank is an engine as the platform describes it: it carries out orders one by one and knows nothing of other ranks.
type modelRank struct {
	epoch    uint64
	used     uint64 // version of the map in use
	content  string
	prepared uint64
	pending  string // content of prepared
	highest  uint64
	armed    uint64
	step     uint64
	holds    bool
	held     uint64
}

// modelGroup makes passes and checks that none begins on two maps.
type modelGroup struct {
	t     *testing.T
	trace string
	ranks []*modelRank
	pass  uint64
	epoch uint64
	maps  int // changes of map that took effect
}

func newModelGroup(t *testing.T, ranks int, trace string) *modelGroup {
	g := &modelGroup{t: t, trace: trace, epoch: 1}
	for range ranks {
		g.ranks = append(g.ranks, &modelRank{epoch: 1})
	}
	return g
}

// order carries out an order at a rank.
func (g *modelGroup) order(o RankOrder) OrderResult {
	r := g.ranks[o.Rank]
	if o.Epoch != r.epoch {
		return OrderRefused
	}
	switch o.Operation {
	case OrderPrepare:
		if o.Version == r.prepared {
			return OrderDone
		}
		if o.Version <= r.highest || r.armed != 0 {
			return OrderRefused
		}
		r.highest, r.prepared, r.pending = o.Version, o.Version, fmt.Sprint(o.Map)
		return OrderBegun
	case OrderArm:
		if r.armed == o.Version && r.step == o.Step {
			return OrderDone
		}
		if r.prepared != o.Version || o.Step <= g.pass || r.armed != 0 {
			return OrderRefused
		}
		r.armed, r.step = o.Version, o.Step
	case OrderDisarm:
		if r.used == o.Version {
			return OrderRefused
		}
		if r.armed == o.Version {
			r.armed = 0
		}
	case OrderHold:
		if r.holds && r.held == o.Step {
			return OrderDone
		}
		if r.holds || o.Step <= g.pass {
			return OrderRefused
		}
		r.holds, r.held = true, o.Step
	case OrderRelease:
		if !r.holds || r.held != o.Step {
			return OrderRefused
		}
		r.holds = false
	}
	return OrderDone
}

// makePass begins the next pass unless a rank holds it.
func (g *modelGroup) makePass() {
	for _, r := range g.ranks {
		if r.holds && r.held == g.pass+1 {
			return
		}
	}
	g.pass++
	changed := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.step == g.pass {
			r.used, r.content, r.armed = r.armed, r.pending, 0
			changed = true
		}
	}
	if changed {
		g.maps++
	}
	for _, r := range g.ranks {
		if r.used != g.ranks[0].used || r.content != g.ranks[0].content {
			g.t.Fatalf("%s: pass %d begins on maps %d and %d", g.trace, g.pass, g.ranks[0].used, r.used)
		}
	}
}

// restart ends a rank's process: the group opens again in a new epoch with the first map.
func (g *modelGroup) restart() {
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = &modelRank{epoch: g.epoch}
	}
}

func (g *modelGroup) report(rank int) RankReport {
	r := g.ranks[rank]
	return RankReport{Rank: rank, Epoch: r.epoch, Open: true, Step: g.pass, Map: r.used, Prepared: r.prepared,
		ArmedVersion: r.armed, ArmedStep: r.step, Holds: r.holds, Held: r.held}
}

// fate is what becomes of an order.
type fate uint8

const (
	answered   fate = iota
	lost            // never carried out
	unheard         // carried out, without an answer
	late            // carried out after lateness, without an answer
	fateValues      // number of fates
)

// modelTimes of the simulation: reports are as old as those of the platform's engines.
const (
	modelStep    = 25 * time.Millisecond
	modelPass    = 2 // steps
	modelLag     = 8 // steps by which reports are late
	modelLate    = 60
	modelSteps   = 700
	modelTrouble = 200 // steps in which changes begin and faults happen
)

// play runs coordinators against a group. fateOf says what becomes of the n-th order; event may disturb the group, or stop
// a coordinator, at each step.
func play(t *testing.T, trace string, ranks, coordinators int, fateOf func(n int) fate, event func(step int, g *modelGroup, stopped []int)) *modelGroup {
	g := newModelGroup(t, ranks, trace)
	start := time.Unix(0, 0)
	changes := make([]*Switchover, coordinators)
	for i := range changes {
		changes[i] = NewSwitchover(SwitchoverConfig{Ranks: ranks}, start)
	}
	stopped := make([]int, coordinators) // step until which a coordinator stands still
	type delayed struct {
		at    int
		order RankOrder
	}
	var pending []delayed
	var history [][]RankReport
	version, orders := uint64(0), 0
	for step := range modelSteps {
		now := start.Add(time.Duration(step) * modelStep)
		if event != nil {
			event(step, g, stopped)
		}
		rest := pending[:0]
		for _, d := range pending {
			if d.at > step {
				rest = append(rest, d)
				continue
			}
			g.order(d.order)
		}
		pending = rest
		if step%modelPass == 0 {
			g.makePass()
		}
		reports := make([]RankReport, ranks)
		for rank := range reports {
			reports[rank] = g.report(rank)
		}
		history = append(history, reports)
		for i, c := range changes {
			if step < stopped[i] {
				continue
			}
			if step >= modelLag {
				for _, report := range history[step-modelLag] {
					c.Report(now, report)
				}
			}
			if c.NeedsCurrent() {
				version++
				c.Clear(version<<8+uint64(i), Lists{{{0}, {1}}})
			}
			if c.Ready(now) && step < modelTrouble {
				version = max(version, c.Highest()>>8) + 1
				c.Begin(now, version<<8+uint64(i), Lists{{{int(version)}, {i}}})
			}
			for _, o := range c.Tick(now) {
				switch fateOf(orders) {
				case answered:
					c.Answer(now, o, g.order(o))
				case unheard:
					g.order(o)
					c.Answer(now, o, OrderUnanswered)
				case late:
					pending = append(pending, delayed{step + modelLate, o})
					c.Answer(now, o, OrderUnanswered)
				case lost:
					c.Answer(now, o, OrderUnanswered)
				}
				orders++
			}
		}
	}
	return g
}

// Guards against a change that never takes effect although nothing fails.
func TestSwitchoverChangesTheMap(t *testing.T) {
	is := is.New(t)
	g := play(t, "calm", 3, 1, func(int) fate { return answered }, nil)
	is.True(g.maps >= 3)
	is.True(g.pass > modelSteps/modelPass*9/10) // holds do not cost passes
}

// Guards against a pass on two maps, and against a group that stands still for good, whatever becomes of the orders of a
// change: all fates of the first five orders to two ranks.
func TestSwitchoverExhaustsFatesOfOrders(t *testing.T) {
	const explored = 5
	total := 1
	for range explored {
		total *= int(fateValues)
	}
	for code := range total {
		fates := make([]fate, explored)
		for i, rest := 0, code; i < explored; i, rest = i+1, rest/int(fateValues) {
			fates[i] = fate(rest % int(fateValues))
		}
		g := play(t, fmt.Sprint("fates ", fates), 2, 1, func(n int) fate {
			if n < explored {
				return fates[n]
			}
			return answered
		}, nil)
		before := g.pass
		for range 3 {
			g.makePass()
		}
		if g.pass != before+3 {
			t.Fatalf("fates %v: the group is held for good at pass %d", fates, g.pass)
		}
	}
}

// Guards against a pass on two maps when several coordinators act at once, one of them stands still in the middle of a
// change and goes on later, ranks restart, and any order is lost, late or unanswered.
func TestSwitchoverUnderFaults(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 7))
		share := []float64{0, 0.1, 0.35}[seed%3]
		restarts := seed%2 == 0
		g := play(t, fmt.Sprint("seed ", seed), 2+int(seed%3), 2, func(int) fate {
			if r.Float64() < share {
				return fate(1 + r.IntN(int(fateValues)-1))
			}
			return answered
		}, func(step int, g *modelGroup, stopped []int) {
			if step < modelTrouble && r.IntN(40) == 0 {
				stopped[r.IntN(len(stopped))] = step + r.IntN(120)
			}
			if restarts && step < modelTrouble && r.IntN(120) == 0 {
				g.restart()
			}
		})
		before := g.pass
		for range 3 {
			g.makePass()
		}
		if g.pass != before+3 {
			t.Fatalf("seed %d: the group is held for good at pass %d", seed, g.pass)
		}
	}
}

// Guards against expert lists that lose or move an expert on the way to the ranks.
func TestListsRoundTrip(t *testing.T) {
	is := is.New(t)
	m, err := Even(3, 12, 4, 5)
	is.NoErr(err)
	back, err := FromLists(m.Lists(4), 12)
	is.NoErr(err)
	is.Equal(back.Lists(4), m.Lists(4))
	_, err = FromLists(Lists{{{0}, {0}}}, 2)
	is.True(err != nil) // expert 1 is nowhere
}

// Guards against a group that keeps the first map for good after it has opened again: a change that was completed before
// says nothing about the new epoch.
func TestNewEpochForgetsTheLastChange(t *testing.T) {
	is := is.New(t)
	g := newModelGroup(t, 2, "new epoch")
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	step := 0
	run := func(steps int) {
		for range steps {
			step++
			now := time.Unix(0, 0).Add(time.Duration(step) * modelStep)
			if step%modelPass == 0 {
				g.makePass()
			}
			for rank := range g.ranks {
				c.Report(now, g.report(rank))
			}
			if c.Ready(now) && g.maps == 0 {
				c.Begin(now, 1, Lists{{{0}, {1}}})
			}
			for _, o := range c.Tick(now) {
				c.Answer(now, o, g.order(o))
			}
		}
	}
	run(40)
	is.Equal(g.maps, 1)
	is.Equal(c.InUse(), uint64(2))
	g.restart()
	run(30)
	is.Equal(c.InUse(), uint64(0))
	c.chooseStep(time.Unix(0, 0).Add(time.Duration(step) * modelStep))
	is.True(c.step < g.pass+20) // a step far ahead keeps the group on its map until then
	c.enter(time.Unix(0, 0), switchIdle)
	is.True(c.Ready(time.Unix(0, 0).Add(time.Duration(step) * modelStep)))
}

// Guards against a group that is held until a rank comes back whose machine stands still: it could neither be armed nor tell
// so.
func TestNoStepIsHeldWhileARankIsSilent(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	now := time.Unix(1, 0)
	tell := func(rank int) { c.Report(now, RankReport{Rank: rank, Epoch: 1, Open: true, Step: 100}) }
	tell(0)
	tell(1)
	is.True(c.Ready(now))
	version := c.Begin(now, 1, Lists{{{0}, {1}}})
	for _, o := range c.Tick(now) {
		c.Answer(now, o, OrderDone)
	}
	now = now.Add(silentRank + time.Millisecond)
	tell(0) // rank 1 has prepared the map and says nothing since
	is.Equal(len(c.Tick(now)), 0)
	is.Equal(c.Phase(), "preparing")
	tell(1)
	orders := c.Tick(now)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Operation, OrderHold)
	is.Equal(c.Version(), version)
}
