package experts

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)

// Guards against a slow or stalled rank that is not detected, and against a group that loses weight to noise, a single
// slow step or a lost report. Reports arrive every 2 s, with 8 % noise.
func TestStragglerDetector(t *testing.T) {
	const ranks, faulty = 256, 17
	for _, test := range []struct {
		name        string
		step        func(round int) time.Duration // in ms, of the faulty rank, 0 for no report; noise is added
		state       func(round int) RankState     // expected
		changeRound int                           // round of the change of state; it and the next 4 rounds are not checked
	}{
		{"healthy", func(int) time.Duration { return 30 }, func(int) RankState { return RankHealthy }, 0},
		{"one slow step", func(r int) time.Duration { return map[bool]time.Duration{true: 300, false: 30}[r == 20] },
			func(int) RankState { return RankHealthy }, 0},
		{"one lost report", func(r int) time.Duration { return map[bool]time.Duration{true: 0, false: 30}[r == 20] },
			func(int) RankState { return RankHealthy }, 0},
		{"slow from round 20", func(r int) time.Duration { return map[bool]time.Duration{true: 60, false: 30}[r >= 20] },
			func(r int) RankState { return map[bool]RankState{true: RankSlow}[r >= 20] }, 20},
		{"silent from round 20", func(r int) time.Duration { return map[bool]time.Duration{true: 0, false: 30}[r >= 20] },
			func(r int) RankState { return map[bool]RankState{true: RankSilent}[r >= 20] }, 20},
	} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			d := NewStragglerDetector(start, ranks, StragglerConfig{})
			for round := range 60 {
				now := start.Add(time.Duration(round) * 2 * time.Second)
				for rank := range ranks {
					step := time.Duration(30)
					if rank == faulty {
						step = test.step(round)
					}
					noise := 1 + 0.08*random.NormFloat64()
					d.Observe(now, rank, time.Duration(float64(step*time.Millisecond)*noise))
				}
				h := d.Assess(now.Add(time.Second))
				if round >= test.changeRound && round < test.changeRound+5 {
					continue
				}
				for rank, state := range h.States {
					want := RankHealthy
					if rank == faulty {
						want = test.state(round)
					}
					if state != want {
						t.Fatalf("%s, seed %d, round %d: rank %d is %d, want %d", test.name, seed, round, rank, state, want)
					}
				}
				if healthy := test.state(round) == RankHealthy; healthy && h.Weight != 1 || !healthy && h.Weight > 1/defaultSlowRatio {
					t.Fatalf("%s, seed %d, round %d: weight %.2f", test.name, seed, round, h.Weight)
				}
			}
		}
	}
}

// Guards against a group that receives full load at once after its stalled rank has recovered.
func TestWeightRecoversGradually(t *testing.T) {
	d := NewStragglerDetector(start, 4, StragglerConfig{})
	report := func(from, to, ranks int) (last float64) {
		for s := from; s < to; s++ {
			for rank := range ranks {
				d.Observe(start.Add(time.Duration(s)*time.Second), rank, 30*time.Millisecond)
			}
			last = d.Assess(start.Add(time.Duration(s) * time.Second)).Weight
		}
		return last
	}
	if got := report(0, 20, 3); got != 0 {
		t.Errorf("weight %v with a rank that reports nothing, want 0", got)
	}
	if got := report(20, 30, 4); got < 0.4 || got > 0.5 {
		t.Errorf("weight %v ten seconds after the recovery, want about 0.5", got)
	}
	if got := report(30, 45, 4); got != 1 {
		t.Errorf("weight %v at the end, want 1", got)
	}
}
