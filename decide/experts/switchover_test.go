package experts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// modelRank is an engine according to the platform description: it executes single orders and has no information about
// other ranks.
type modelRank struct {
	epoch           uint64
	current         uint64 // version of the map in use
	currentContent  string
	prepared        uint64
	preparedContent string // content of prepared
	highest         uint64
	armed           uint64
	armedStep       uint64
	holding         bool
	heldStep        uint64
}

// modelGroup runs decode steps and checks that none starts with two maps.
type modelGroup struct {
	t       *testing.T
	trace   string
	ranks   []*modelRank
	step    uint64
	epoch   uint64
	changes int // map changes that took effect
	// heldSteps is the number of steps, in time, for which the group has been held, and longestHold the most at once.
	heldSteps, holdLength, longestHold int
}

func newModelGroup(t *testing.T, ranks int, trace string) *modelGroup {
	g := &modelGroup{t: t, trace: trace, epoch: 1}
	for range ranks {
		g.ranks = append(g.ranks, &modelRank{epoch: 1})
	}
	return g
}

// execute executes an order at a rank.
func (g *modelGroup) execute(o RankOrder) OrderResult {
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
		r.highest, r.prepared, r.preparedContent = o.Version, o.Version, fmt.Sprint(o.Map)
		return OrderAccepted
	case OrderArm:
		if r.armed == o.Version && r.armedStep == o.Step {
			return OrderDone
		}
		if r.prepared != o.Version || o.Step <= g.step || r.armed != 0 {
			return OrderRefused
		}
		r.armed, r.armedStep = o.Version, o.Step
	case OrderDisarm:
		if r.current == o.Version {
			return OrderRefused
		}
		if r.armed == o.Version {
			r.armed = 0
		}
	case OrderHold:
		if r.holding && r.heldStep == o.Step {
			return OrderDone
		}
		if r.holding || o.Step <= g.step {
			return OrderRefused
		}
		r.holding, r.heldStep = true, o.Step
	case OrderRelease:
		if !r.holding || r.heldStep != o.Step {
			return OrderRefused
		}
		r.holding = false
	}
	return OrderDone
}

// startStep starts the next step unless a rank holds it.
func (g *modelGroup) startStep() {
	for _, r := range g.ranks {
		if r.holding && r.heldStep == g.step+1 {
			g.heldSteps++
			g.holdLength++
			g.longestHold = max(g.longestHold, g.holdLength)
			return
		}
	}
	g.step++
	g.holdLength = 0
	changed := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.current, r.currentContent, r.armed = r.armed, r.preparedContent, 0
			changed = true
		}
	}
	if changed {
		g.changes++
	}
	for _, r := range g.ranks {
		if r.current != g.ranks[0].current || r.currentContent != g.ranks[0].currentContent {
			g.t.Fatalf("%s: step %d starts with maps %d and %d", g.trace, g.step, g.ranks[0].current, r.current)
		}
	}
}

// restart simulates the restart of a rank: the group opens again in a new epoch with the first map.
func (g *modelGroup) restart() {
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = &modelRank{epoch: g.epoch}
	}
}

func (g *modelGroup) report(rank int) RankReport {
	r := g.ranks[rank]
	return RankReport{Rank: rank, Epoch: r.epoch, Open: true, Step: g.step, Map: r.current, Prepared: r.prepared,
		ArmedVersion: r.armed, ArmedStep: r.armedStep, Holding: r.holding, HeldStep: r.heldStep}
}

// delivery is the way in which an order and its answer are delivered.
type delivery uint8

const (
	answered       delivery = iota
	lost                    // never executed
	unanswered              // executed, but the answer is lost
	late                    // executed after modelDelayTicks, without an answer
	deliveryValues          // number of deliveries
	veryLate                // like late, after modelLongDelayTicks and more
)

// Times of the simulation: reports are as old as those of the engines of the platform.
const (
	modelTick           = 25 * time.Millisecond
	modelTicksPerStep   = 2
	modelReportLagTicks = 8 // age of reports
	modelDelayTicks     = 60
	modelLongDelayTicks = 80 // and up to 400 more: an order may be carried out 2 to 12 s later
	modelTicks          = 700
	modelFaultTicks     = 200 // ticks in which changes begin and faults are injected
)

// simulate runs coordinators against a group. deliveryOf chooses the delivery of the n-th order; event may inject a
// fault, such as a stopped coordinator, at each tick.
func simulate(t *testing.T, trace string, ranks, coordinators int, deliveryOf func(n int) delivery, event func(tick int, g *modelGroup, stoppedUntil []int)) *modelGroup {
	g := newModelGroup(t, ranks, trace)
	start := time.Unix(0, 0)
	switchovers := make([]*Switchover, coordinators)
	for i := range switchovers {
		switchovers[i] = NewSwitchover(SwitchoverConfig{Ranks: ranks}, start)
	}
	stoppedUntil := make([]int, coordinators) // tick until which a coordinator is stopped
	type delayed struct {
		at    int
		order RankOrder
	}
	var pending []delayed
	var history [][]RankReport
	version, orders := uint64(0), 0
	for tick := range modelTicks {
		now := start.Add(time.Duration(tick) * modelTick)
		if event != nil {
			event(tick, g, stoppedUntil)
		}
		remaining := pending[:0]
		for _, d := range pending {
			if d.at > tick {
				remaining = append(remaining, d)
				continue
			}
			g.execute(d.order)
		}
		pending = remaining
		if tick%modelTicksPerStep == 0 {
			g.startStep()
		}
		reports := make([]RankReport, ranks)
		for rank := range reports {
			reports[rank] = g.report(rank)
		}
		history = append(history, reports)
		for i, c := range switchovers {
			if tick < stoppedUntil[i] {
				continue
			}
			if tick >= modelReportLagTicks {
				for _, report := range history[tick-modelReportLagTicks] {
					c.HandleReport(now, report)
				}
			}
			if c.NeedsCurrentMap() {
				version++
				c.ProvideCurrentMap(version<<8+uint64(i), RankLists{{{0}, {1}}})
			}
			if c.Ready(now) && tick < modelFaultTicks {
				version = max(version, c.HighestChangeNumber()>>8) + 1
				c.Begin(now, version<<8+uint64(i), RankLists{{{int(version)}, {i}}})
			}
			for _, o := range c.Tick(now) {
				switch deliveryOf(orders) {
				case answered:
					c.HandleResult(now, o, g.execute(o))
				case unanswered:
					g.execute(o)
					c.HandleResult(now, o, OrderUnanswered)
				case late:
					pending = append(pending, delayed{tick + modelDelayTicks, o})
					c.HandleResult(now, o, OrderUnanswered)
				case veryLate:
					pending = append(pending, delayed{tick + modelLongDelayTicks + orders*37%400, o})
					c.HandleResult(now, o, OrderUnanswered)
				case lost:
					c.HandleResult(now, o, OrderUnanswered)
				}
				orders++
			}
		}
	}
	return g
}

// Guards against a change that never takes effect in the absence of faults.
func TestSwitchoverChangesTheMap(t *testing.T) {
	is := is.New(t)
	g := simulate(t, "no faults", 3, 1, func(int) delivery { return answered }, nil)
	is.True(g.changes >= 3)
	is.True(g.step > modelTicks/modelTicksPerStep*9/10) // holds do not cost steps
}

// Guards against a step with two maps, and against a group that stays blocked, for every combination of deliveries of
// the first five orders to two ranks.
func TestSwitchoverUnderAllOrderFaults(t *testing.T) {
	const exploredOrders = 5
	total := 1
	for range exploredOrders {
		total *= int(deliveryValues)
	}
	for code := range total {
		deliveries := make([]delivery, exploredOrders)
		for i, rest := 0, code; i < exploredOrders; i, rest = i+1, rest/int(deliveryValues) {
			deliveries[i] = delivery(rest % int(deliveryValues))
		}
		g := simulate(t, fmt.Sprint("deliveries ", deliveries), 2, 1, func(n int) delivery {
			if n < exploredOrders {
				return deliveries[n]
			}
			return answered
		}, nil)
		before := g.step
		for range 3 {
			g.startStep()
		}
		if g.step != before+3 {
			t.Fatalf("deliveries %v: the group stays held at step %d", deliveries, g.step)
		}
	}
}

// Guards against a step with two maps when several coordinators act at once, one of them stops in the middle of a
// change and resumes later, ranks restart, and any order is lost, late or unanswered.
func TestSwitchoverUnderFaults(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 7))
		faultRatio := []float64{0, 0.1, 0.35}[seed%3]
		restarts := seed%2 == 0
		g := simulate(t, fmt.Sprint("seed ", seed), 2+int(seed%3), 2, func(int) delivery {
			if r.Float64() < faultRatio {
				return delivery(1 + r.IntN(int(deliveryValues)-1))
			}
			return answered
		}, func(tick int, g *modelGroup, stoppedUntil []int) {
			if tick < modelFaultTicks && r.IntN(40) == 0 {
				stoppedUntil[r.IntN(len(stoppedUntil))] = tick + r.IntN(120)
			}
			if restarts && tick < modelFaultTicks && r.IntN(120) == 0 {
				g.restart()
			}
		})
		before := g.step
		for range 3 {
			g.startStep()
		}
		if g.step != before+3 {
			t.Fatalf("seed %d: the group stays held at step %d", seed, g.step)
		}
	}
}

// Guards against rank lists that lose or move an expert in conversion.
func TestRankListsRoundTrip(t *testing.T) {
	is := is.New(t)
	m, err := EvenMap(3, 12, 4, 5)
	is.NoErr(err)
	back, err := MapFromRankLists(m.RankLists(4), 12)
	is.NoErr(err)
	is.Equal(back.RankLists(4), m.RankLists(4))
	_, err = MapFromRankLists(RankLists{{{0}, {0}}}, 2)
	is.True(err != nil) // expert 1 is on no rank
}

// Guards against a group that keeps the first map for good after it has opened again: a change completed before does
// not apply in the new epoch.
func TestNewEpochDiscardsTheLastChange(t *testing.T) {
	is := is.New(t)
	g := newModelGroup(t, 2, "new epoch")
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	tick := 0
	runTicks := func(ticks int) {
		for range ticks {
			tick++
			now := time.Unix(0, 0).Add(time.Duration(tick) * modelTick)
			if tick%modelTicksPerStep == 0 {
				g.startStep()
			}
			for rank := range g.ranks {
				c.HandleReport(now, g.report(rank))
			}
			if c.Ready(now) && g.changes == 0 {
				c.Begin(now, 1, RankLists{{{0}, {1}}})
			}
			for _, o := range c.Tick(now) {
				c.HandleResult(now, o, g.execute(o))
			}
		}
	}
	runTicks(40)
	is.Equal(g.changes, 1)
	is.Equal(c.MapVersion(), uint64(2))
	g.restart()
	runTicks(30)
	is.Equal(c.MapVersion(), uint64(0))
	c.chooseStep(time.Unix(0, 0).Add(time.Duration(tick) * modelTick))
	is.True(c.step < g.step+20) // a step far ahead keeps the group on its map until then
	c.enterPhase(time.Unix(0, 0), switchIdle)
	is.True(c.Ready(time.Unix(0, 0).Add(time.Duration(tick) * modelTick)))
}

// Guards against a group that is held until a stalled rank resumes: that rank could neither be armed nor report it.
func TestNoStepIsHeldWhileARankIsSilent(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	now := time.Unix(1, 0)
	report := func(rank int) { c.HandleReport(now, RankReport{Rank: rank, Epoch: 1, Open: true, Step: 100}) }
	report(0)
	report(1)
	is.True(c.Ready(now))
	version := c.Begin(now, 1, RankLists{{{0}, {1}}})
	for _, o := range c.Tick(now) {
		c.HandleResult(now, o, OrderDone)
	}
	now = now.Add(maxReportAge + time.Millisecond)
	report(0) // rank 1 has prepared the map and not reported since
	is.Equal(len(c.Tick(now)), 0)
	is.Equal(c.Phase(), "preparing")
	report(1)
	orders := c.Tick(now)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Operation, OrderHold)
	is.Equal(c.ChangeVersion(), version)
}

// Guards against a process that has completed a change left behind by another one, and never begins a change again after
// that one has gone on to a newer map.
func TestLaterMapOfAnotherProcessIsRecognised(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	now := time.Unix(1, 0)
	report := func(change func(*RankReport)) {
		for rank := range 2 {
			r := RankReport{Rank: rank, Epoch: 1, Open: true, Step: uint64(now.UnixMilli() / 80), Map: 2}
			change(&r)
			c.HandleReport(now, r)
		}
	}
	for range 20 {
		report(func(r *RankReport) {
			r.Prepared, r.ArmedVersion, r.ArmedStep, r.Holding, r.HeldStep = 4, 4, 45, r.Rank == 0, 45
		})
		for _, o := range c.Tick(now) {
			c.HandleResult(now, o, OrderDone)
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(c.MapVersion(), uint64(4))
	now = now.Add(time.Minute)
	report(func(r *RankReport) { r.Map = 8 })
	is.Equal(c.MapVersion(), uint64(8))
	is.True(c.Ready(now))
}

// Guards against orders without end to a rank that refuses to hold a step: each refusal brought the next order at once.
func TestRefusedHoldsAreDelayed(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 1}, time.Unix(0, 0))
	now := time.Unix(1, 0)
	c.HandleReport(now, RankReport{Epoch: 1, Open: true, Step: 100})
	c.Begin(now, 1, RankLists{{{0}}})
	holds, lastStep := 0, uint64(0)
	for range 20 { // answers within 1 ms
		for _, o := range c.Tick(now) {
			result := OrderDone
			if o.Operation == OrderHold {
				is.True(o.Step > lastStep)
				holds, lastStep, result = holds+1, o.Step, OrderRefused
			}
			c.HandleResult(now, o, result)
		}
		now = now.Add(time.Millisecond)
	}
	is.Equal(holds, 2) // the second one with the knowledge that the first step has started
	now = now.Add(holdRetryDelay)
	is.Equal(len(c.Tick(now)), 1)
}

// Guards against a process that goes on arming ranks for good after another process has completed the change.
func TestChangeCompletedByAnotherProcessEnds(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	now := time.Unix(1, 0)
	report := func(change func(*RankReport)) {
		now = now.Add(100 * time.Millisecond)
		for rank := range 2 {
			r := RankReport{Rank: rank, Epoch: 1, Open: true, Step: 100}
			change(&r)
			c.HandleReport(now, r)
		}
	}
	report(func(*RankReport) {})
	version := c.Begin(now, 1, RankLists{{{0}, {1}}})
	for range 2 { // prepared, then held
		for _, o := range c.Tick(now) {
			c.HandleResult(now, o, OrderDone)
		}
	}
	is.Equal(c.Phase(), "arming")
	for range 20 {
		report(func(r *RankReport) { r.Step, r.Map, r.Prepared = 200, version, version })
		for _, o := range c.Tick(now) {
			is.Equal(o.Operation, OrderArm)
			c.HandleResult(now, o, OrderRefused)
		}
	}
	is.Equal(c.Phase(), "idle")
	is.True(c.Ready(now))
}

// maxHoldSteps is the longest time for which losses of orders may hold a group, 1 s in steps: less than it takes until the loss
// of a rank is noticed.
const maxHoldSteps = int(time.Second / (modelTicksPerStep * modelTick))

// Guards against a group that waits at a held step while orders to its ranks are lost, unanswered or carried out seconds later:
// nothing is served meanwhile. With such losses a map is changed less often, or not at all.
func TestGroupIsNotHeldLongWhileOrdersAreLost(t *testing.T) {
	for _, ratio := range []float64{0.1, 0.3, 0.5, 0.7, 0.9, 0.95} {
		longest, held, changes, tooLong := 0, 0, 0, 0
		const runs = 200
		for seed := range uint64(runs) {
			r := rand.New(rand.NewPCG(seed, 11))
			g := simulate(t, fmt.Sprint("ratio ", ratio, " seed ", seed), 12, 1, func(int) delivery {
				if r.Float64() < ratio {
					return veryLate
				}
				return answered
			}, nil)
			longest, held, changes = max(longest, g.longestHold), held+g.heldSteps, changes+g.changes
			if g.longestHold > maxHoldSteps {
				tooLong++
			}
		}
		t.Logf("%.0f of 100 orders lost: longest hold %d ms, held %.1f %% of the time, %.1f changes, %d of %d runs with a hold of over 1 s", 100*ratio,
			longest*modelTicksPerStep*int(modelTick/time.Millisecond), 100*float64(held)/float64(runs*modelTicks/modelTicksPerStep),
			float64(changes)/runs, tooLong, runs)
		if tooLong > runs/100 {
			t.Errorf("%.0f of 100 orders lost: %d of %d groups were held for over 1 s, the longest for %d steps", 100*ratio, tooLong, runs, longest)
		}
	}
}

// Guards against a group that stands still for longer than necessary after all processes that could release it were killed
// while a step was held: the waits of the new coordinator run side by side.
func TestLeftoverHoldIsReleasedAfterOneReportLag(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, start)
	lag := c.config.MaxReportLag
	for now := start; ; now = now.Add(modelTick) {
		for rank := range 2 {
			c.HandleReport(now, RankReport{Rank: rank, Epoch: 1, Open: true, Step: 40, Prepared: 4, ArmedVersion: 4, ArmedStep: 41, Holding: rank == 0, HeldStep: 41})
		}
		if orders := c.Tick(now); len(orders) > 0 {
			is.Equal(orders[0].Operation, OrderRelease)
			is.True(now.Sub(start) >= lag) // another process may still be at work
			break
		}
		if now.Sub(start) > lag+2*modelTick {
			t.Fatalf("%v after the reports of a held step, nothing has been done about it", now.Sub(start))
		}
	}
}

// Guards against maps that take effect seconds late: a step that a refused hold has shown to have started was extrapolated for
// good, so that slow steps or pauses in between moved the steps of all later changes further and further ahead.
func TestRefusedHoldDoesNotDelayLaterChanges(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 1}, time.Unix(0, 0))
	now, step := time.Unix(1, 0), uint64(100)
	report := func(after time.Duration) {
		now = now.Add(after)
		step++
		c.HandleReport(now, RankReport{Epoch: 1, Open: true, Step: step})
	}
	begin := func(number uint64) RankOrder {
		c.Begin(now, number, RankLists{{{0}}})
		for _, o := range c.Tick(now) {
			c.HandleResult(now, o, OrderDone)
		}
		orders := c.Tick(now)
		is.Equal(len(orders), 1)
		is.Equal(orders[0].Operation, OrderHold)
		return orders[0]
	}
	report(0)
	c.HandleResult(now, begin(1), OrderRefused)
	c.enterPhase(now, switchIdle)
	for range 40 {
		report(400 * time.Millisecond)
	}
	for range 40 {
		report(60 * time.Millisecond)
	}
	ahead := time.Duration(begin(2).Step-step) * 60 * time.Millisecond
	t.Logf("the map takes effect %v ahead", ahead)
	is.True(ahead <= c.config.LeadTime+c.config.MaxReportLag)
}

// Guards against a group that keeps the map it was formed with after the return of a rank whose engine answered no orders.
func TestNewEpochForgetsUnansweredOrders(t *testing.T) {
	is := is.New(t)
	c := NewSwitchover(SwitchoverConfig{Ranks: 2}, time.Unix(0, 0))
	now := time.Unix(1, 0)
	report := func(epoch uint64) {
		for rank := range 2 {
			c.HandleReport(now, RankReport{Rank: rank, Epoch: epoch, Open: true, Step: 100})
		}
	}
	report(1)
	c.Begin(now, 1, RankLists{{{0}, {1}}})
	for range 30 { // rank 1 does not answer
		for _, o := range c.Tick(now) {
			result := OrderUnanswered
			if o.Rank == 0 {
				result = OrderDone
			}
			c.HandleResult(now, o, result)
		}
		now = now.Add(c.config.ResendInterval)
		report(1)
	}
	c.AbortPreparing(now)
	now = now.Add(c.config.MaxReportLag)
	report(1)
	is.Equal(c.NotReadyReason(now), "too many orders to its ranks are unanswered")
	report(2)
	is.Equal(c.NotReadyReason(now), "")
}
