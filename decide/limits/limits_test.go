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

// simulation drives a limiter in virtual time.
type simulation struct {
	*Limiter
	now     time.Time
	tickets []*Ticket
}

func newSimulation(c Config) *simulation {
	return &simulation{Limiter: New(c, testStart, 1), now: testStart}
}

// fill admits requests until the limiter refuses one.
func (s *simulation) fill() {
	for {
		t, refusal := s.Admit(s.now)
		if refusal != Admitted {
			return
		}
		s.tickets = append(s.tickets, &t)
	}
}

// round fills the limit, reports a time to first token of d for all requests and ends them with the outcome.
func (s *simulation) round(d time.Duration, o Outcome) {
	s.fill()
	s.now = s.now.Add(d)
	for _, t := range s.tickets {
		s.FirstToken(s.now, t, d)
		s.now = s.now.Add(time.Millisecond)
	}
	for _, t := range s.tickets {
		s.Finished(s.now, t, o, 0)
	}
	s.tickets = nil
}

func (s *simulation) rounds(n int, d time.Duration) {
	for range n {
		s.round(d, Done)
	}
}

// Guards against a limit that does not adapt to the server: growth, backoff, return to slow start and upper bounds.
func TestLimitFollowsServer(t *testing.T) {
	cases := []struct {
		name      string
		config    Config
		run       func(s *simulation)
		low, high int
		phase     Phase
	}{
		{"just started", Config{}, func(*simulation) {}, 2, 2, SlowStart},
		{"grows while fast", Config{}, func(s *simulation) { s.rounds(350, fast) }, 64, 512, SlowStart},
		{"at most doubles in 12 s", Config{}, func(s *simulation) { s.rounds(115, fast) }, 2, 8, SlowStart},
		{"stays constant just below the bound", Config{}, func(s *simulation) { s.rounds(100, time.Second) }, 2, 2, SlowStart},
		{"first slow token in slow start", Config{InitialLimit: 8}, func(s *simulation) { s.fill(); s.FirstToken(s.now, s.tickets[0], slow) }, 4, 4, BackedOff},
		{"failure halves", Config{InitialLimit: 8}, func(s *simulation) { s.fill(); s.Finished(s.now, s.tickets[0], Failed, 0) }, 4, 4, BackedOff},
		{"overload halves", Config{InitialLimit: 8}, func(s *simulation) { s.fill(); s.Finished(s.now, s.tickets[0], Overload, 0) }, 4, 4, BackedOff},
		{"eight failures in one epoch halve once", Config{InitialLimit: 8}, func(s *simulation) { s.round(fast, Failed) }, 4, 4, BackedOff},
		{"cancellation leaves the limit unchanged", Config{InitialLimit: 8}, func(s *simulation) { s.fill(); s.Finished(s.now, s.tickets[0], Cancelled, 0) }, 8, 8, SlowStart},
		{"turns cold", Config{}, func(s *simulation) { s.rounds(350, fast); s.rounds(2, slow) }, 2, 2, SlowStart},
		{"turns cold before the first slow token", Config{}, func(s *simulation) {
			s.rounds(350, fast)
			for range 2 {
				s.fill()
				s.now = s.now.Add(1200 * time.Millisecond)
				s.fill()
				for _, ticket := range s.tickets { // callers cancel
					s.Finished(s.now, ticket, Cancelled, 0)
				}
				s.tickets = nil
			}
		}, 2, 2, SlowStart},
		{"slow from the start", Config{}, func(s *simulation) { s.rounds(10, slow) }, 1, 1, BackedOff},
		{"hangs", Config{}, func(s *simulation) { s.rounds(350, fast); s.fill(); s.now = s.now.Add(5 * time.Second); s.fill() }, 2, 2, SlowStart},
		{"announces a capacity of a billion", Config{Capacity: 1_000_000_000}, func(s *simulation) { s.rounds(1000, fast) }, 64, 512, Growth},
		{"announces a negative capacity", Config{Capacity: -5}, func(s *simulation) { s.rounds(350, fast) }, 64, 512, SlowStart},
		{"announces a capacity of one", Config{Capacity: 1}, func(s *simulation) { s.rounds(350, fast) }, 1, 1, Growth},
		{"lowers its announced capacity", Config{}, func(s *simulation) { s.rounds(350, fast); s.SetCapacity(10) }, 10, 10, SlowStart},
		{"reports negative times", Config{}, func(s *simulation) { s.rounds(100, -fast) }, 2, 2, SlowStart},
		{"unused limit does not grow", Config{InitialLimit: 8}, func(s *simulation) {
			for range 200 {
				ticket, _ := s.Admit(s.now)
				s.now = s.now.Add(fast)
				s.Finished(s.now, &ticket, Done, fast)
			}
		}, 8, 8, SlowStart},
		{"idle for 3 minutes", Config{Capacity: 64}, func(s *simulation) { s.rounds(500, fast); s.now = s.now.Add(3 * time.Minute); s.Tick(s.now) }, 32, 32, SlowStart},
		{"idle for 8 hours", Config{}, func(s *simulation) { s.rounds(350, fast); s.now = s.now.Add(8 * time.Hour); s.Tick(s.now) }, 2, 2, SlowStart},
		{"restarted with a new incarnation", Config{}, func(s *simulation) { s.rounds(350, fast); s.Reset(s.now, 2) }, 2, 2, SlowStart},
		{"same incarnation", Config{}, func(s *simulation) { s.rounds(350, fast); s.Reset(s.now, 1) }, 64, 512, SlowStart},
	}
	for _, c := range cases {
		s := newSimulation(c.config)
		c.run(s)
		if got := s.Limit(); got < c.low || got > c.high || s.Phase() != c.phase {
			t.Errorf("%s: limit %d in %s, want %d to %d in %s", c.name, got, s.Phase(), c.low, c.high, c.phase)
		}
	}
}

// Guards against reporting a server as serving that has never left slow start: the limiter of a slow server alternates
// between slow start and backoff.
func TestServerPhase(t *testing.T) {
	s := newSimulation(Config{Capacity: 16})
	for i := range 10 {
		if s.round(slow, Done); s.ServerPhase() != fleet.PhaseStarting {
			t.Errorf("serving after %d slow rounds", i+1)
		}
	}
	if s.rounds(500, fast); s.ServerPhase() != fleet.PhaseServing {
		t.Errorf("not serving at limit %d of 16", s.Limit())
	}
	s.round(fast, Failed)
	if s.ServerPhase() != fleet.PhaseServing {
		t.Error("not serving after one failure")
	}
}

// Guards against one long prompt in 50 halving the limit of a warm server: the target is a 95th percentile.
func TestLimitToleratesRareSlowTokens(t *testing.T) {
	s := newSimulation(Config{Capacity: 40})
	s.rounds(350, fast)
	s.rounds(40, 700*time.Millisecond)
	before := s.Limit()
	for i := range 2000 {
		d := 700 * time.Millisecond
		if i%50 == 0 {
			d = slow
		}
		s.fill()
		ticket := s.tickets[0]
		s.tickets = s.tickets[1:]
		s.now = s.now.Add(10 * time.Millisecond)
		s.Finished(s.now, ticket, Done, d)
	}
	if s.Limit() < before || s.Phase() != Growth {
		t.Errorf("limit %d in %s, was %d in growth", s.Limit(), s.Phase(), before)
	}
}

// Guards against a limit that soon returns to the value at which the server crashed.
func TestCrashedLimitIsNotReachedAgain(t *testing.T) {
	s := newSimulation(Config{})
	s.rounds(200, fast)
	s.fill()
	crashedAt := s.InFlight()
	for _, ticket := range s.tickets {
		s.Finished(s.now, ticket, Failed, 0)
	}
	s.tickets = nil
	s.Reset(s.now, 2)
	until := s.now.Add(minAvoidTime - time.Second)
	for s.now.Before(until) {
		s.round(fast, Done)
		if s.Limit() >= crashedAt {
			t.Fatalf("limit %d after %s, crashed at %d", s.Limit(), s.now.Sub(testStart), crashedAt)
		}
	}
}

// Guards against more requests in flight than the limit allows at admission, negative counts, a limit outside its bounds
// and growing memory, under random outcomes, restarts, repeated reports and a clock that moves backwards.
func TestLimitUnderRandomEvents(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newSimulation(Config{Capacity: rng.IntN(100)})
		incarnation := s.incarnation
		admitted := 0
		for range 5000 {
			s.now = s.now.Add(time.Duration(rng.IntN(220)-20) * time.Millisecond)
			switch k := rng.IntN(100); {
			case k < 55:
				if ticket, refusal := s.Admit(s.now); refusal == Admitted {
					s.tickets = append(s.tickets, &ticket)
					if admitted++; admitted > s.Limit() {
						t.Fatalf("seed %d: %d in flight, limit %d", seed, admitted, s.Limit())
					}
				}
			case k < 98 && len(s.tickets) > 0:
				i := rng.IntN(len(s.tickets))
				ticket := s.tickets[i]
				s.FirstToken(s.now, ticket, time.Duration(rng.IntN(1300))*time.Millisecond)
				if k < 90 {
					s.Finished(s.now, ticket, Outcome(rng.IntN(40)%23%4), fast)
					s.Finished(s.now, ticket, Failed, fast)
					admitted--
					s.tickets = append(s.tickets[:i], s.tickets[i+1:]...)
				}
			case k == 99:
				incarnation++
				s.Reset(s.now, incarnation)
			}
			if s.InFlight() != admitted || s.Limit() < 1 || s.Limit() > s.config.MaxLimit || s.waiting.count < 0 || len(s.waiting.requests) > maxWaitingRequests {
				t.Fatalf("seed %d: %d in flight, %d admitted, limit %d, %d waiting", seed, s.InFlight(), admitted, s.Limit(), s.waiting.count)
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
		t.Error("invalid limit, instances or position gives a share out of range")
	}
}
