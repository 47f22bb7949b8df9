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

// Shape and pace of the stand-in engines' groups.
const (
	groupSets       = 2
	groupExperts    = 8
	groupPlacements = 6
	groupSpare      = 2
	passTime        = 25 * time.Millisecond
	formTime        = 500 * time.Millisecond
	copyTime        = 60 * time.Millisecond
	// demandShift is how long the demand for experts stays the same.
	demandShift = 2 * time.Second
	// choicesPerPass is the number of experts that the requests of one rank choose in a pass and set.
	choicesPerPass = 40
	// While faults are brought about, two in so many orders are lost: usually, and during a fault of that kind.
	seldomLost = 16
	mostlyLost = 3
	// mostOrderDelay bounds how late an order is carried out whose answer was lost.
	mostOrderDelay = 2 * time.Second
)

// errGroupBroken says that a pass did not end because a rank is gone.
var errGroupBroken = errors.New("the group is broken")

// group is a lock-step group of stand-in engines: all ranks make each pass together.
type group struct {
	name   string
	ledger *ledger

	mu      sync.Mutex
	random  *rand.Rand
	epoch   uint64
	open    bool
	formed  time.Time // when all ranks were back, zero if one is missing
	step    uint64
	ranks   []*rankState
	passed  chan struct{} // closed at the end of a pass, and when the group breaks
	running int
}

// rankState is one rank of a group.
type rankState struct {
	alive, frozen bool
	loseOrders    bool
	inUse         uint64
	lists         experts.RankLists // of the map in use
	highest       uint64
	copying       uint64
	prepared      uint64
	preparedLists experts.RankLists
	armed, armedAt,
	held uint64
	holds  bool
	picked []uint64
}

func newGroup(name string, size int, seed uint64, l *ledger) *group {
	g := &group{name: name, ledger: l, random: rand.New(rand.NewPCG(seed, 0x6701)), passed: make(chan struct{})}
	for range size {
		g.ranks = append(g.ranks, &rankState{picked: make([]uint64, groupSets*groupExperts)})
	}
	return g
}

// firstMap assigns the experts in turn.
func firstMap(size int) experts.RankLists {
	lists := make(experts.RankLists, groupSets)
	for set := range lists {
		lists[set] = make([][]int, size)
		for e := range groupExperts {
			lists[set][e%size] = append(lists[set][e%size], e)
		}
	}
	return lists
}

// run makes passes until the context ends.
func (g *group) run(ctx context.Context) {
	tick := time.NewTicker(passTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			g.pass(time.Now())
			g.mu.Unlock()
		}
	}
}

// pass begins the next pass if all ranks can.
func (g *group) pass(now time.Time) {
	for _, r := range g.ranks {
		if !r.alive {
			g.formed = time.Time{}
			if g.open {
				g.open = false
				g.endPass()
			}
			return
		}
	}
	if !g.open {
		g.form(now)
		return
	}
	if g.running == 0 {
		return
	}
	for _, r := range g.ranks {
		if r.frozen || r.holds && r.held == g.step+1 {
			return
		}
	}
	g.step++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == g.step {
			r.inUse, r.lists, r.armed = r.armed, r.preparedLists, 0
		}
	}
	for i, r := range g.ranks[1:] {
		if first := g.ranks[0]; r.inUse != first.inUse || !reflect.DeepEqual(r.lists, first.lists) {
			g.ledger.violate("MAP", "pass %d of group %s begins with map %d on rank 0 and map %d on rank %d", g.step, g.name, first.inUse, r.inUse, i+1)
		}
	}
	g.choose(now)
	g.endPass()
}

// form opens the group in a new epoch, some time after all ranks are back.
func (g *group) form(now time.Time) {
	if g.formed.IsZero() {
		g.formed = now
	}
	if now.Sub(g.formed) < formTime {
		return
	}
	g.open, g.epoch = true, g.epoch+1
	for _, r := range g.ranks {
		picked := r.picked
		*r = rankState{alive: true, frozen: r.frozen, loseOrders: r.loseOrders, highest: r.highest, lists: firstMap(len(g.ranks)), picked: picked}
	}
	g.ledger.count("groups opened")
}

func (g *group) endPass() {
	close(g.passed)
	g.passed = make(chan struct{})
}

// choose adds the experts that the requests of this pass choose. A few are chosen far more often than the others.
func (g *group) choose(now time.Time) {
	shift := int(now.Sub(g.ledger.begun) / demandShift)
	for _, r := range g.ranks {
		for set := range groupSets {
			for range choicesPerPass {
				favoured := int(math.Abs(g.random.NormFloat64()))
				r.picked[set*groupExperts+(favoured+shift+3*set)%groupExperts]++
			}
		}
	}
}

// work waits for a number of passes.
func (g *group) work(ctx context.Context, passes int) error {
	for range passes {
		g.mu.Lock()
		open, passed := g.open, g.passed
		g.mu.Unlock()
		if !open {
			return errGroupBroken
		}
		select {
		case <-passed:
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

// enter counts a request that the group works on; leave ends it.
func (g *group) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

func (g *group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// setRank changes the state of a rank.
func (g *group) setRank(rank int, f func(*rankState)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.ranks[rank])
}

// restarted makes a rank one that has just started and knows nothing.
func (g *group) restarted(rank int) {
	g.setRank(rank, func(r *rankState) {
		*r = rankState{alive: true, lists: firstMap(len(g.ranks)), picked: make([]uint64, groupSets*groupExperts)}
	})
}

// report returns the state of a rank.
func (g *group) report(rank int) experts.RankReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	return experts.RankReport{Rank: rank, Epoch: g.epoch, Open: g.open, Step: g.step, Map: r.inUse, Prepared: r.prepared,
		ArmedVersion: r.armed, ArmedStep: r.armedAt, Holding: r.holds, HeldStep: r.held, StepTimeRatio: 1}
}

// demand returns the epoch with how often the requests of a rank have chosen each expert.
func (g *group) demand(rank int) (uint64, []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch, append([]uint64(nil), g.ranks[rank].picked...)
}

// holding returns the epoch, the map in use and the experts that a rank holds.
func (g *group) holding(rank int) (epoch, version uint64, held [][]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, set := range g.ranks[rank].lists {
		held = append(held, set[rank])
	}
	return g.epoch, g.ranks[rank].inUse, held
}

// order takes an order. lost says that its answer must not be sent; it may then be carried out later.
func (g *group) order(o experts.RankOrder, rank int) (result experts.OrderResult, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	outOf := mostlyLost
	if !g.ranks[rank].loseOrders {
		outOf = seldomLost
	}
	if g.ledger.in(faults) {
		switch g.random.IntN(outOf) {
		case 0: // carried out, the answer is lost
			g.carryOut(o, rank)
			return 0, true
		case 1:
			delay := time.Duration(g.random.Int64N(int64(mostOrderDelay)))
			time.AfterFunc(delay, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.carryOut(o, rank)
			})
			return 0, true
		}
	}
	return g.carryOut(o, rank), false
}

// carryOut does what an order asks.
func (g *group) carryOut(o experts.RankOrder, rank int) experts.OrderResult {
	r := g.ranks[rank]
	if o.Epoch != g.epoch || !g.open || !r.alive {
		return experts.OrderRefused
	}
	switch o.Operation {
	case experts.OrderPrepare:
		return g.prepare(o, rank)
	case experts.OrderArm:
		switch {
		case r.armed == o.Version && r.armedAt == o.Step:
			return experts.OrderDone
		case r.prepared != o.Version || o.Step <= g.step || r.armed != 0:
			return experts.OrderRefused
		}
		r.armed, r.armedAt = o.Version, o.Step
	case experts.OrderDisarm:
		switch {
		case r.inUse == o.Version:
			return experts.OrderRefused
		case r.armed != o.Version:
			return experts.OrderDone
		}
		r.armed = 0
	case experts.OrderHold:
		switch {
		case r.holds && r.held == o.Step:
			return experts.OrderDone
		case r.holds || o.Step <= g.step:
			return experts.OrderRefused
		}
		r.holds, r.held = true, o.Step
	case experts.OrderRelease:
		if !r.holds || r.held != o.Step {
			return experts.OrderDone
		}
		r.holds = false
	}
	return experts.OrderAccepted
}

// prepare begins to copy the experts of a map.
func (g *group) prepare(o experts.RankOrder, rank int) experts.OrderResult {
	r := g.ranks[rank]
	switch {
	case r.prepared == o.Version:
		return experts.OrderDone
	case r.copying == o.Version:
		return experts.OrderAccepted
	case o.Version <= r.highest || r.armed != 0 || !wellFormed(o.Map, len(g.ranks)):
		return experts.OrderRefused
	}
	for set := range o.Map {
		added := 0
		for _, e := range o.Map[set][rank] {
			if !slices.Contains(r.lists[set][rank], e) {
				added++
			}
		}
		if added > groupSpare {
			return experts.OrderRefused
		}
	}
	r.highest, r.copying, r.prepared = o.Version, o.Version, 0
	epoch := g.epoch
	time.AfterFunc(copyTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.epoch == epoch && r == g.ranks[rank] && r.copying == o.Version {
			r.copying, r.prepared, r.preparedLists = 0, o.Version, o.Map
			g.ledger.count("maps prepared")
		}
	})
	return experts.OrderAccepted
}

// wellFormed reports whether a map names each expert on some rank and overfills none.
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
			if len(list) > groupPlacements {
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
