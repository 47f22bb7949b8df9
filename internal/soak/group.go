package soak

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/experts"
)

// Dimensions and times of the groups of stand-in engines.
const (
	groupSets            = 2
	groupExperts         = 8
	groupMaxPlacements   = 6
	groupMaxAddedExperts = 2
	stepTime             = 25 * time.Millisecond
	formTime             = 500 * time.Millisecond
	copyTime             = 60 * time.Millisecond
	// demandShiftInterval is the time after which the distribution of chosen experts shifts.
	demandShiftInterval = 2 * time.Second
	// choicesPerStep is the number of experts that the requests of one rank choose per decode step and set.
	choicesPerStep = 40
	// While faults are injected, the answers to two in usualOrderLossRange orders are lost, or to two in faultOrderLossRange
	// during a fault of kind LoseOrders.
	usualOrderLossRange = 16
	faultOrderLossRange = 3
	// maxOrderDelay is the longest delay until an order whose answer was lost is executed.
	maxOrderDelay = 2 * time.Second
)

// errGroupBroken means that a decode step was not completed because a rank has ended.
var errGroupBroken = errors.New("the group is broken")

// group is a lock-step group of stand-in engines: all ranks run each decode step together.
type group struct {
	name   string
	ledger *ledger

	mu            sync.Mutex
	random        *rand.Rand
	epoch         uint64
	open          bool
	completeSince time.Time // when the last missing rank started, zero if a rank is missing
	step          uint64
	ranks         []*rankState
	stepDone      chan struct{} // closed at the end of a step, and when the group breaks
	requests      int
}

// rankState is one rank of a group.
type rankState struct {
	alive, frozen   bool
	loseOrders      bool
	mapVersion      uint64
	mapLists        experts.RankLists // of the expert map in use
	highestVersion  uint64
	copyingVersion  uint64
	preparedVersion uint64
	preparedLists   experts.RankLists
	armedVersion, armedStep,
	heldStep uint64
	holding      bool
	expertCounts []uint64
}

func newGroup(name string, size int, seed uint64, l *ledger) *group {
	g := &group{name: name, ledger: l, random: rand.New(rand.NewPCG(seed, 0x6701)), stepDone: make(chan struct{})}
	for range size {
		g.ranks = append(g.ranks, &rankState{expertCounts: make([]uint64, groupSets*groupExperts)})
	}
	return g
}

// initialMap assigns the experts to the ranks in turn.
func initialMap(size int) experts.RankLists {
	lists := make(experts.RankLists, groupSets)
	for set := range lists {
		lists[set] = make([][]int, size)
		for e := range groupExperts {
			lists[set][e%size] = append(lists[set][e%size], e)
		}
	}
	return lists
}

// run runs decode steps until the context ends.
func (g *group) run(ctx context.Context) {
	tick := time.NewTicker(stepTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			g.runStep(time.Now())
			g.mu.Unlock()
		}
	}
}

// runStep runs the next decode step if the group has requests and no rank is frozen or holds the step. It records a
// violation if the ranks use different expert maps.
func (g *group) runStep(now time.Time) {
	for _, r := range g.ranks {
		if !r.alive {
			g.completeSince = time.Time{}
			if g.open {
				g.open = false
				g.endStep()
			}
			return
		}
	}
	if !g.open {
		g.form(now)
		return
	}
	if g.requests == 0 {
		return
	}
	for _, r := range g.ranks {
		if r.frozen || r.holding && r.heldStep == g.step+1 {
			return
		}
	}
	g.step++
	for _, r := range g.ranks {
		if r.armedVersion != 0 && r.armedStep == g.step {
			r.mapVersion, r.mapLists, r.armedVersion = r.armedVersion, r.preparedLists, 0
		}
	}
	for i, r := range g.ranks[1:] {
		if first := g.ranks[0]; r.mapVersion != first.mapVersion || !reflect.DeepEqual(r.mapLists, first.mapLists) {
			g.ledger.recordViolation("MAP", "step %d of group %s uses map %d on rank 0 and map %d on rank %d", g.step, g.name, first.mapVersion, r.mapVersion, i+1)
		}
	}
	g.chooseExperts(now)
	g.endStep()
}

// form opens the group in a new epoch, formTime after all ranks have started.
func (g *group) form(now time.Time) {
	if g.completeSince.IsZero() {
		g.completeSince = now
	}
	if now.Sub(g.completeSince) < formTime {
		return
	}
	g.open, g.epoch = true, g.epoch+1
	for _, r := range g.ranks {
		expertCounts := r.expertCounts
		*r = rankState{alive: true, frozen: r.frozen, loseOrders: r.loseOrders, highestVersion: r.highestVersion, mapLists: initialMap(len(g.ranks)), expertCounts: expertCounts}
	}
	g.ledger.count("groups opened")
}

func (g *group) endStep() {
	close(g.stepDone)
	g.stepDone = make(chan struct{})
}

// chooseExperts counts the experts that the requests choose in this step. A few are chosen far more often than the others.
func (g *group) chooseExperts(now time.Time) {
	shift := int(now.Sub(g.ledger.start) / demandShiftInterval)
	for _, r := range g.ranks {
		for set := range groupSets {
			for range choicesPerStep {
				expert := int(math.Abs(g.random.NormFloat64()))
				r.expertCounts[set*groupExperts+(expert+shift+3*set)%groupExperts]++
			}
		}
	}
}

// awaitSteps waits until a number of decode steps have ended, or returns errGroupBroken.
func (g *group) awaitSteps(ctx context.Context, steps int) error {
	for range steps {
		g.mu.Lock()
		open, stepDone := g.open, g.stepDone
		g.mu.Unlock()
		if !open {
			return errGroupBroken
		}
		select {
		case <-stepDone:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		return errGroupBroken
	}
	return nil
}

// addRequest counts a running request of the group; removeRequest ends it.
func (g *group) addRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
}

func (g *group) removeRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests--
}

// setRank changes the state of a rank.
func (g *group) setRank(rank int, f func(*rankState)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.ranks[rank])
}

// resetRank sets a rank to the state after its start.
func (g *group) resetRank(rank int) {
	g.setRank(rank, func(r *rankState) {
		*r = rankState{alive: true, mapLists: initialMap(len(g.ranks)), expertCounts: make([]uint64, groupSets*groupExperts)}
	})
}

// report returns the state of a rank.
func (g *group) report(rank int) experts.RankReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	return experts.RankReport{Rank: rank, Epoch: g.epoch, Open: g.open, Step: g.step, Map: r.mapVersion, Prepared: r.preparedVersion,
		ArmedVersion: r.armedVersion, ArmedStep: r.armedStep, Holding: r.holding, HeldStep: r.heldStep, StepTimeRatio: 1}
}

// expertCounts returns the epoch and, for each expert, how often the requests of a rank have chosen it.
func (g *group) expertCounts(rank int) (uint64, []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch, append([]uint64(nil), g.ranks[rank].expertCounts...)
}

// heldExperts returns the epoch, the version of the map in use and the experts of each set that a rank holds.
func (g *group) heldExperts(rank int) (epoch, version uint64, held [][]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, set := range g.ranks[rank].mapLists {
		held = append(held, set[rank])
	}
	return g.epoch, g.ranks[rank].mapVersion, held
}

// handleOrder executes an order. If answerLost is set, the answer must not be sent, and the order may be executed later.
func (g *group) handleOrder(o experts.RankOrder, rank int) (result experts.OrderResult, answerLost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lossRange := faultOrderLossRange
	if !g.ranks[rank].loseOrders {
		lossRange = usualOrderLossRange
	}
	if g.ledger.inPhase(underFaults) {
		switch g.random.IntN(lossRange) {
		case 0: // executed, but the answer is lost
			g.execute(o, rank)
			return 0, true
		case 1:
			delay := time.Duration(g.random.Int64N(int64(maxOrderDelay)))
			time.AfterFunc(delay, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.execute(o, rank)
			})
			return 0, true
		}
	}
	return g.execute(o, rank), false
}

// execute executes an order.
func (g *group) execute(o experts.RankOrder, rank int) experts.OrderResult {
	r := g.ranks[rank]
	if o.Epoch != g.epoch || !g.open || !r.alive {
		return experts.OrderRefused
	}
	switch o.Operation {
	case experts.OrderPrepare:
		return g.prepare(o, rank)
	case experts.OrderArm:
		switch {
		case r.armedVersion == o.Version && r.armedStep == o.Step:
			return experts.OrderDone
		case r.preparedVersion != o.Version || o.Step <= g.step || r.armedVersion != 0:
			return experts.OrderRefused
		}
		r.armedVersion, r.armedStep = o.Version, o.Step
	case experts.OrderDisarm:
		switch {
		case r.mapVersion == o.Version:
			return experts.OrderRefused
		case r.armedVersion != o.Version:
			return experts.OrderDone
		}
		r.armedVersion = 0
	case experts.OrderHold:
		switch {
		case r.holding && r.heldStep == o.Step:
			return experts.OrderDone
		case r.holding || o.Step <= g.step:
			return experts.OrderRefused
		}
		r.holding, r.heldStep = true, o.Step
	case experts.OrderRelease:
		if !r.holding || r.heldStep != o.Step {
			return experts.OrderDone
		}
		r.holding = false
	}
	return experts.OrderAccepted
}

// prepare starts to copy the experts of a map, which takes copyTime.
func (g *group) prepare(o experts.RankOrder, rank int) experts.OrderResult {
	r := g.ranks[rank]
	switch {
	case r.preparedVersion == o.Version:
		return experts.OrderDone
	case r.copyingVersion == o.Version:
		return experts.OrderAccepted
	case o.Version <= r.highestVersion || r.armedVersion != 0 || !wellFormed(o.Map, len(g.ranks)):
		return experts.OrderRefused
	}
	for set := range o.Map {
		added := 0
		for _, e := range o.Map[set][rank] {
			if !slices.Contains(r.mapLists[set][rank], e) {
				added++
			}
		}
		if added > groupMaxAddedExperts {
			return experts.OrderRefused
		}
	}
	r.highestVersion, r.copyingVersion, r.preparedVersion = o.Version, o.Version, 0
	epoch := g.epoch
	time.AfterFunc(copyTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.epoch == epoch && r == g.ranks[rank] && r.copyingVersion == o.Version {
			r.copyingVersion, r.preparedVersion, r.preparedLists = 0, o.Version, o.Map
			g.ledger.count("maps prepared")
		}
	})
	return experts.OrderAccepted
}

// wellFormed reports whether a map places each expert on at least one rank and at most groupMaxPlacements on each.
func wellFormed(m experts.RankLists, size int) bool {
	if len(m) != groupSets {
		return false
	}
	for _, set := range m {
		var placed [groupExperts]bool
		if len(set) != size {
			return false
		}
		for _, list := range set {
			if len(list) > groupMaxPlacements {
				return false
			}
			for _, e := range list {
				if e < 0 || e >= groupExperts {
					return false
				}
				placed[e] = true
			}
		}
		for _, ok := range placed {
			if !ok {
				return false
			}
		}
	}
	return true
}
