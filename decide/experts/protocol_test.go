package experts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// bench runs ranks, coordinators and a log over a network that loses, repeats, delays and reorders messages.
type bench struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Time
	calm   bool // no loss and no restarts
	lag    uint64
	loss   int // percent of messages
	death  int // percent of events that may restart a process
	speed  int // percent of events that deliver a message; the fewer, the later messages arrive

	net          []func()
	history      []Ledger // agreed state after each log entry
	ranks        []*Rank
	zombies      []*Rank // replaced processes that still answer messages but run no step
	boots        []fleet.Incarnation
	next         []uint64 // step of each rank to run next
	coordinators []*Coordinator
	names        []string
	maps         map[uint64]ChangeID // used by the first rank that ran the step
	blocked      int
	restarts     int
}

func newBench(t *testing.T, seed uint64, ranks int) *bench {
	b := &bench{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 42)), now: start, maps: map[uint64]ChangeID{},
		ranks: make([]*Rank, ranks), zombies: make([]*Rank, ranks), boots: make([]fleet.Incarnation, ranks), next: make([]uint64, ranks),
		coordinators: make([]*Coordinator, 2), names: make([]string, 2)}
	b.lag, b.loss, b.death = b.random.Uint64N(3), b.random.IntN(25), b.random.IntN(5)
	b.speed = 5 + b.random.IntN(55)
	b.history = []Ledger{NewLedger(ranks, ChangeID{})}
	for r := range ranks {
		b.restartRank(r)
	}
	for c := range b.coordinators {
		b.restartCoordinator(c)
	}
	return b
}

func (b *bench) chance(percent int) bool { return b.random.IntN(100) < percent }

func (b *bench) send(deliver func()) {
	if !b.calm && b.chance(b.loss) {
		return
	}
	const mostInFlight = 200
	if n := len(b.net); n > mostInFlight {
		b.net[b.random.IntN(n)] = b.net[n-1]
		b.net = b.net[:n-1]
	}
	b.net = append(b.net, deliver)
	if b.chance(15) {
		b.net = append(b.net, deliver)
	}
}

// propose appends to the log if the proposal arrives.
func (b *bench) propose(apply func(*Ledger, uint64)) {
	b.send(func() {
		l := b.history[len(b.history)-1].Clone()
		apply(&l, uint64(len(b.history)))
		b.history = append(b.history, l)
	})
}

// view returns an agreed state: the newest one in calm, otherwise often an old one.
func (b *bench) view() *Ledger {
	at := len(b.history) - 1
	if !b.calm {
		at -= b.random.IntN(min(at+1, 6))
	}
	return &b.history[at]
}

func (b *bench) restartRank(r int) {
	b.boots[r]++
	b.restarts++
	b.zombies[r] = b.ranks[r]
	b.ranks[r] = NewRank(r, b.boots[r])
	if b.next[r] > 0 && b.chance(50) {
		b.next[r]-- // the step is repeated
	}
}

func (b *bench) restartCoordinator(c int) {
	b.restarts++
	b.coordinators[c] = NewCoordinator(len(b.ranks), CoordinatorConfig{Margin: 1 + b.random.Uint64N(6)})
	b.names[c] = fmt.Sprint(c, "-", b.restarts)
}

func (b *bench) output(c int, o Output) {
	for _, e := range o.Send {
		b.send(func() {
			rank := b.ranks[e.Rank]
			if zombie := b.zombies[e.Rank]; zombie != nil && !b.calm && b.chance(20) {
				rank = zombie
			}
			if report, ok := rank.Handle(e.Message); ok {
				b.report(report)
				// The worst moment for a restart: a promise was given and will be forgotten.
				if report.Answer == AnswerPrepared && !b.calm && b.chance(4*b.death) {
					b.restartRank(e.Rank)
				}
			}
		})
	}
	for _, d := range o.Propose {
		b.propose(func(l *Ledger, index uint64) { l.Apply(index, d) })
	}
}

func (b *bench) report(r Report) {
	for c := range b.coordinators {
		b.send(func() { b.output(c, b.coordinators[c].Handle(b.now, r)) })
	}
}

// run makes the step of one rank, if it may, and checks G1.
func (b *bench) run(r int) {
	step := b.next[r]
	for _, other := range b.next {
		if step > other+b.lag {
			return // lock-step, with a slack that is harder than the real groups
		}
	}
	used, permission := b.ranks[r].Start(step)
	if permission != StepAllowed {
		b.blocked++
		return
	}
	if first, ok := b.maps[step]; ok && first != used {
		b.t.Fatalf("seed %d: G1: step %d runs with map %v on one rank and %v on rank %d", b.seed, step, first, used, r)
	}
	b.maps[step] = used
	b.next[r]++
}

// event makes one random thing happen.
func (b *bench) event() {
	b.now = b.now.Add(time.Duration(b.random.IntN(60)) * time.Millisecond)
	if len(b.net) > 0 && (b.chance(b.speed) || b.calm && b.chance(50)) {
		at := b.random.IntN(len(b.net))
		deliver := b.net[at]
		b.net[at] = b.net[len(b.net)-1]
		b.net = b.net[:len(b.net)-1]
		deliver()
		return
	}
	r, c := b.random.IntN(len(b.ranks)), b.random.IntN(len(b.coordinators))
	rank, coordinator := b.ranks[r], b.coordinators[c]
	switch b.random.IntN(7) {
	case 0, 1:
		b.run(r)
	case 2:
		rank.Agreed(b.view())
		if _, permission := rank.Start(b.next[r]); permission == WaitForJoin {
			boot := b.boots[r]
			b.propose(func(l *Ledger, index uint64) { l.Join(index, r, boot) })
		}
	case 3:
		if zombie := b.zombies[r]; zombie != nil && !b.calm && b.chance(20) {
			rank = zombie
		}
		for _, wanted := range rank.Wanted() {
			if b.chance(70) {
				b.report(rank.Loaded(wanted))
			}
		}
		if report, ok := rank.Ask(); ok {
			b.report(report)
		}
	case 4:
		b.output(c, coordinator.Tick(b.now))
	case 5:
		l := b.view()
		if l.Holder == b.names[c] {
			coordinator.Acquired(l.Token)
		}
		b.output(c, coordinator.Agreed(b.now, l))
		name := b.names[c]
		if l.Holder != name && (c == 0 || !b.calm) && b.chance(10) {
			b.propose(func(l *Ledger, index uint64) { l.Acquire(index, name) })
		}
		if b.chance(60) {
			if _, out, err := coordinator.Begin(b.now); err == nil {
				b.output(c, out)
			}
		}
	case 6:
		if !b.calm && b.chance(b.death) {
			b.restartRank(r)
		} else if !b.calm && b.chance(b.death) {
			b.restartCoordinator(c)
		}
	}
}

// Guards against a step in which two ranks use different expert maps (G1), whatever message is lost, late, repeated or
// out of order and whichever rank or coordinator restarts, and against a group that stays blocked once the failures end.
func TestMapChangeProtocol(t *testing.T) {
	commits, blocked, restarts := 0, 0, 0
	seeds := uint64(1500)
	if testing.Short() {
		seeds = 100
	}
	for seed := range seeds {
		b := newBench(t, seed, 4)
		for range 4000 {
			b.event()
		}
		b.calm = true
		before := b.history[len(b.history)-1].last().Change
		// A change decided after the failures ended must be in force on all ranks.
		inForce := func() bool {
			completed := slices.Min(b.next)
			return completed > 0 && b.maps[completed-1].Compare(before) > 0
		}
		for event := 0; event < 20000 && !inForce(); event++ {
			b.event()
		}
		if !inForce() {
			t.Fatalf("seed %d: no change took effect after the failures ended: %v, steps %v", seed, before, b.next)
		}
		distinct := map[ChangeID]bool{}
		for _, used := range b.maps {
			distinct[used] = true
		}
		commits, blocked, restarts = commits+len(distinct)-1, blocked+b.blocked, restarts+b.restarts
	}
	t.Logf("%d seeds: %d changes took effect, %d starts of a step waited, %d restarts", seeds, commits, blocked, restarts)
	if commits < int(seeds) || blocked < int(seeds) || restarts < int(seeds) {
		t.Error("the failures left the protocol untried")
	}
}
