package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

var (
	testStart = time.Unix(1_700_000_000, 0)
	fast      = 200 * time.Millisecond
	slow      = 1500 * time.Millisecond
)

// world drives a limiter in virtual time.
type world struct {
	*Limiter
	now     time.Time
	tickets []*Ticket
}

func newWorld(c Config) *world { return &world{Limiter: New(c, testStart, 1), now: testStart} }

// fill admits until the limiter refuses.
func (w *world) fill() {
	for {
		t, refusal := w.Admit(w.now)
		if refusal != Admitted {
			return
		}
		w.tickets = append(w.tickets, &t)
	}
}

// round fills the limit, lets all first tokens take d and ends the requests.
func (w *world) round(d time.Duration, o Outcome) {
	w.fill()
	w.now = w.now.Add(d)
	for _, t := range w.tickets {
		w.FirstToken(w.now, t, d)
		w.now = w.now.Add(time.Millisecond)
	}
	for _, t := range w.tickets {
		w.Finished(w.now, t, o, 0)
	}
	w.tickets = nil
}

func (w *world) rounds(n int, d time.Duration) {
	for range n {
		w.round(d, Done)
	}
}

// Guards against a limit that does not follow the server: growth, back-off, return to slow start and upper bounds.
func TestLimitFollowsServer(t *testing.T) {
	cases := []struct {
		name      string
		config    Config
		play      func(w *world)
		low, high int
		phase     Phase
	}{
		{"just started", Config{}, func(*world) {}, 2, 2, SlowStart},
		{"grows while fast", Config{}, func(w *world) { w.rounds(350, fast) }, 64, 512, SlowStart},
		{"at most doubles in 12 s", Config{}, func(w *world) { w.rounds(115, fast) }, 2, 8, SlowStart},
		{"rests below the bound", Config{}, func(w *world) { w.rounds(100, time.Second) }, 2, 2, SlowStart},
		{"first slow token in slow start", Config{Start: 8}, func(w *world) { w.fill(); w.FirstToken(w.now, w.tickets[0], slow) }, 4, 4, BackedOff},
		{"failure halves", Config{Start: 8}, func(w *world) { w.fill(); w.Finished(w.now, w.tickets[0], Failed, 0) }, 4, 4, BackedOff},
		{"overload halves", Config{Start: 8}, func(w *world) { w.fill(); w.Finished(w.now, w.tickets[0], Overload, 0) }, 4, 4, BackedOff},
		{"eight failures of one limit halve once", Config{Start: 8}, func(w *world) { w.round(fast, Failed) }, 4, 4, BackedOff},
		{"cancelling says nothing", Config{Start: 8}, func(w *world) { w.fill(); w.Finished(w.now, w.tickets[0], Cancelled, 0) }, 8, 8, SlowStart},
		{"turns cold", Config{}, func(w *world) { w.rounds(350, fast); w.rounds(2, slow) }, 2, 2, SlowStart},
		{"turns cold before the first slow token", Config{}, func(w *world) {
			w.rounds(350, fast)
			for range 2 {
				w.fill()
				w.now = w.now.Add(1200 * time.Millisecond)
				w.fill()
				for _, ticket := range w.tickets { // callers give up
					w.Finished(w.now, ticket, Cancelled, 0)
				}
				w.tickets = nil
			}
		}, 2, 2, SlowStart},
		{"slow from the start", Config{}, func(w *world) { w.rounds(10, slow) }, 1, 1, BackedOff},
		{"hangs", Config{}, func(w *world) { w.rounds(350, fast); w.fill(); w.now = w.now.Add(5 * time.Second); w.fill() }, 2, 2, SlowStart},
		{"announces a billion", Config{Capacity: 1_000_000_000}, func(w *world) { w.rounds(1000, fast) }, 64, 512, Growth},
		{"announces less than nothing", Config{Capacity: -5}, func(w *world) { w.rounds(350, fast) }, 64, 512, SlowStart},
		{"announces one", Config{Capacity: 1}, func(w *world) { w.rounds(350, fast) }, 1, 1, Growth},
		{"lowers its announcement", Config{}, func(w *world) { w.rounds(350, fast); w.Announced(10) }, 10, 10, SlowStart},
		{"reports negative times", Config{}, func(w *world) { w.rounds(100, -fast) }, 2, 2, SlowStart},
		{"unused limit does not grow", Config{Start: 8}, func(w *world) {
			for range 200 {
				ticket, _ := w.Admit(w.now)
				w.now = w.now.Add(fast)
				w.Finished(w.now, &ticket, Done, fast)
			}
		}, 8, 8, SlowStart},
		{"idle for 3 minutes", Config{Capacity: 64}, func(w *world) { w.rounds(500, fast); w.now = w.now.Add(3 * time.Minute); w.Tick(w.now) }, 32, 32, SlowStart},
		{"idle for a night", Config{}, func(w *world) { w.rounds(350, fast); w.now = w.now.Add(8 * time.Hour); w.Tick(w.now) }, 2, 2, SlowStart},
		{"new boot", Config{}, func(w *world) { w.rounds(350, fast); w.Reset(w.now, 2) }, 2, 2, SlowStart},
		{"same boot", Config{}, func(w *world) { w.rounds(350, fast); w.Reset(w.now, 1) }, 64, 512, SlowStart},
	}
	for _, c := range cases {
		w := newWorld(c.config)
		c.play(w)
		if got := w.Limit(); got < c.low || got > c.high || w.Phase() != c.phase {
			t.Errorf("%s: limit %d in %s, want %d to %d in %s", c.name, got, w.Phase(), c.low, c.high, c.phase)
		}
	}
}

// Guards against reporting a server as warm that has never been: slow ones alternate between slow start and back-off.
func TestServerPhase(t *testing.T) {
	w := newWorld(Config{Capacity: 16})
	for i := range 10 {
		if w.round(slow, Done); w.ServerPhase() != fleet.PhaseStarting {
			t.Errorf("serving after %d slow rounds", i+1)
		}
	}
	if w.rounds(500, fast); w.ServerPhase() != fleet.PhaseServing {
		t.Errorf("not serving at limit %d of 16", w.Limit())
	}
	w.round(fast, Failed)
	if w.ServerPhase() != fleet.PhaseServing {
		t.Error("not serving after one failure")
	}
}

// Guards against one long prompt in 50 halving the limit of a warm server: the target is a 95th percentile.
func TestLimitToleratesRareSlowTokens(t *testing.T) {
	w := newWorld(Config{Capacity: 40})
	w.rounds(350, fast)
	w.rounds(40, 700*time.Millisecond)
	before := w.Limit()
	for i := range 2000 {
		d := 700 * time.Millisecond
		if i%50 == 0 {
			d = slow
		}
		w.fill()
		ticket := w.tickets[0]
		w.tickets = w.tickets[1:]
		w.now = w.now.Add(10 * time.Millisecond)
		w.Finished(w.now, ticket, Done, d)
	}
	if w.Limit() < before || w.Phase() != Growth {
		t.Errorf("limit %d in %s, was %d in growth", w.Limit(), w.Phase(), before)
	}
}

// Guards against reaching again a limit at which the server has just died.
func TestLimitAvoidsDeath(t *testing.T) {
	w := newWorld(Config{})
	w.rounds(200, fast)
	w.fill()
	died := w.InFlight()
	for _, ticket := range w.tickets {
		w.Finished(w.now, ticket, Failed, 0)
	}
	w.tickets = nil
	w.Reset(w.now, 2)
	till := w.now.Add(firstAvoid - time.Second)
	for w.now.Before(till) {
		w.round(fast, Done)
		if w.Limit() >= died {
			t.Fatalf("limit %d after %s, died at %d", w.Limit(), w.now.Sub(testStart), died)
		}
	}
}

// Guards against more in flight than the limit allows at admission, negative counts, a limit outside its bounds and
// memory that grows, under random outcomes, restarts, repeated reports and a clock that jumps back.
func TestLimitUnderRandomEvents(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(Config{Capacity: rng.IntN(100)})
		boot := w.boot
		admitted := 0
		for range 5000 {
			w.now = w.now.Add(time.Duration(rng.IntN(220)-20) * time.Millisecond)
			switch k := rng.IntN(100); {
			case k < 55:
				if ticket, refusal := w.Admit(w.now); refusal == Admitted {
					w.tickets = append(w.tickets, &ticket)
					if admitted++; admitted > w.Limit() {
						t.Fatalf("seed %d: %d in flight, limit %d", seed, admitted, w.Limit())
					}
				}
			case k < 98 && len(w.tickets) > 0:
				i := rng.IntN(len(w.tickets))
				ticket := w.tickets[i]
				w.FirstToken(w.now, ticket, time.Duration(rng.IntN(1300))*time.Millisecond)
				if k < 90 {
					w.Finished(w.now, ticket, Outcome(rng.IntN(40)%23%4), fast)
					w.Finished(w.now, ticket, Failed, fast)
					admitted--
					w.tickets = append(w.tickets[:i], w.tickets[i+1:]...)
				}
			case k == 99:
				boot++
				w.Reset(w.now, boot)
			}
			if w.InFlight() != admitted || w.Limit() < 1 || w.Limit() > w.config.Ceiling || w.waiting.count < 0 || len(w.waiting.queue) > maxWaiting {
				t.Fatalf("seed %d: %d in flight, %d admitted, limit %d, %d waiting", seed, w.InFlight(), admitted, w.Limit(), w.waiting.count)
			}
		}
	}
}

// Guards against shares that add up to more than the limit, and against an instance that never gets a slot.
func TestShare(t *testing.T) {
	for limit := range 50 {
		for _, instances := range []int{1, 2, 4, 24} {
			got := make([]int, instances)
			for turn := range uint64(instances) {
				sum := 0
				for position := range instances {
					share := Share(limit, instances, position, turn)
					got[position] += share
					sum += share
				}
				if sum != limit {
					t.Errorf("limit %d, %d instances, turn %d: shares add up to %d", limit, instances, turn, sum)
				}
			}
			for position, n := range got {
				if n != limit {
					t.Errorf("limit %d, %d instances: instance %d got %d slots in %d turns, want %d", limit, instances, position, n, instances, limit)
				}
			}
		}
	}
	if Share(-1, 4, 0, 0) != 0 || Share(4, 0, 0, 0) != 4 || Share(4, -1, 0, 0) != 4 || Share(4, 4, -1, 0) != 0 {
		t.Error("impossible limit, instances or position are not bounded")
	}
}
