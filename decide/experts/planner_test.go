package experts

import (
	"math"
	"math/rand/v2"
	"testing"
)

// zipf returns Zipf-distributed loads of experts in a random order of popularity.
func zipf(n int, exponent float64, random *rand.Rand) []float64 {
	loads := make([]float64, n)
	for rank, e := range random.Perm(n) {
		loads[e] = 1000 / math.Pow(float64(rank+1), exponent)
	}
	return loads
}

// Guards against a map that a rank refuses because too many experts of one layer are new to it.
func TestPlannerRespectsStagingPerLayer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	config := PlannerConfig{Layers: 3, Experts: 32, Ranks: 8, SlotsPerRank: 6, StagingPerRank: 12, StagingPerLayer: 2, EvenSplit: true}
	even, err := EvenMap(3, 32, 8, 6)
	if err != nil {
		t.Fatal(err)
	}
	p, err := NewPlanner(config, even)
	if err != nil {
		t.Fatal(err)
	}
	maxAdded := 0
	for range 20 {
		plan, err := p.Plan([][]float64{zipf(32, 1.2, random), zipf(32, 0.9, random), zipf(32, 0.6, random)}, nil)
		if err != nil {
			t.Fatal(err)
		}
		loaded, added := map[[2]int]int{}, map[int]int{}
		for _, m := range plan.Moves {
			added[m.Rank]++
			maxAdded = max(maxAdded, added[m.Rank])
			if loaded[[2]int{m.Layer, m.Rank}]++; loaded[[2]int{m.Layer, m.Rank}] > config.StagingPerLayer {
				t.Errorf("rank %d loads more than %d experts of layer %d", m.Rank, config.StagingPerLayer, m.Layer)
			}
		}
		p.Adopt(plan)
	}
	if maxAdded <= config.StagingPerLayer {
		t.Errorf("no rank loads more than %d experts over all layers, so the bound was not tested", maxAdded)
	}
}

// Guards against a layer that stays unbalanced, a plan beyond its byte, staging or slot limit, an expert without a
// replica, and moves without need (hysteresis). The target skew is 1.05.
func TestPlanner(t *testing.T) {
	for _, size := range []struct {
		ranks, slots int
		even         bool
	}{{16, 6, false}, {256, 2, false}, {16, 6, true}, {256, 3, true}} {
		for _, exponent := range []float64{0.6, 0.9, 1.2} {
			random := rand.New(rand.NewPCG(1, 1))
			config := PlannerConfig{Layers: 2, Experts: 64, Ranks: size.ranks, SlotsPerRank: size.slots, ExpertBytes: 40,
				BytesPerInterval: 2000, StagingPerRank: 4, EvenSplit: size.even}
			even, err := EvenMap(2, 64, size.ranks, size.slots)
			if err != nil {
				t.Fatal(err)
			}
			p, err := NewPlanner(config, even)
			if err != nil {
				t.Fatal(err)
			}
			loads := [][]float64{zipf(64, exponent, random), zipf(64, exponent, random)}
			plan := Plan{}
			for range 20 {
				if plan, err = p.Plan(loads, nil); err != nil {
					t.Fatal(err)
				}
				perRank := map[int]int{}
				for _, m := range plan.Moves {
					if perRank[m.Rank]++; perRank[m.Rank] > config.StagingPerRank {
						t.Errorf("rank %d loads more than %d experts", m.Rank, config.StagingPerRank)
					}
				}
				if plan.Bytes > config.BytesPerInterval {
					t.Errorf("%d bytes, budget %d", plan.Bytes, config.BytesPerInterval)
				}
				p.Adopt(plan)
				if err := config.check(p.Current()); err != nil {
					t.Fatal(err)
				}
			}
			for l, layer := range p.Current().Layers {
				if skew := Skew(layer.Loads(loads[l], size.ranks), nil); skew > 1.05 {
					t.Errorf("%+v, exponent %v, layer %d: skew %.3f", size, exponent, l, skew)
				}
			}
			if len(plan.Moves) > 0 {
				t.Errorf("%+v, exponent %v: still moves %d experts under constant load", size, exponent, len(plan.Moves))
			}
		}
	}
}

// Guards against a slow rank that keeps its full load, and a stalled one that keeps load that others can take.
func TestPlannerRelievesSlowRank(t *testing.T) {
	even, _ := EvenMap(1, 64, 16, 6)
	p, err := NewPlanner(PlannerConfig{Layers: 1, Experts: 64, Ranks: 16, SlotsPerRank: 6, ExpertBytes: 1}, even)
	if err != nil {
		t.Fatal(err)
	}
	loads := [][]float64{zipf(64, 0.9, rand.New(rand.NewPCG(1, 1)))}
	speeds := make([]float64, 16)
	for r := range speeds {
		speeds[r] = 1
	}
	speeds[3], speeds[7] = 0.5, 0
	for range 5 {
		plan, err := p.Plan(loads, speeds)
		if err != nil {
			t.Fatal(err)
		}
		p.Adopt(plan)
	}
	ranks := p.Current().Layers[0].Loads(loads[0], 16)
	if skew := Skew(ranks, speeds); skew > 1.05 {
		t.Errorf("skew %.3f by speed", skew)
	}
	if ranks[3] > 0.6*ranks[0] {
		t.Errorf("rank of half speed has load %.0f, others %.0f", ranks[3], ranks[0])
	}
}

// BenchmarkPlan plans for the target size after a sudden shift of the loads in all layers (flip), without a limit and with a
// budget of 680 experts (30 GB), and when nothing has changed.
func BenchmarkPlan(b *testing.B) {
	for _, name := range []string{"flip", "flip-30GB", "steady"} {
		b.Run(name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			even, _ := EvenMap(60, 64, 256, 2)
			loads := make([][]float64, 60)
			for l := range loads {
				loads[l] = zipf(64, 0.9, random)
			}
			config := PlannerConfig{Layers: 60, Experts: 64, Ranks: 256, SlotsPerRank: 2, ExpertBytes: 44 << 20}
			if name == "flip-30GB" {
				config.BytesPerInterval = 680 * config.ExpertBytes
			}
			p, _ := NewPlanner(config, even)
			if name == "steady" {
				for range 5 {
					plan, _ := p.Plan(loads, nil)
					p.Adopt(plan)
				}
			}
			for b.Loop() {
				plan, err := p.Plan(loads, nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(plan.Moves)), "moves")
			}
		})
	}
}

// Guards against a search whose estimate of an exchange differs from its effect.
func TestEstimatedImbalanceMatchesTheExchange(t *testing.T) {
	const layers, experts, ranks, slots = 1, 32, 8, 5
	even, err := EvenMap(layers, experts, ranks, slots)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(2, 1))
	speeds := []float64{1, 1, 0.5, 1, 1, 1, 1, 0.8}
	s := &search{config: &PlannerConfig{Ranks: ranks, SlotsPerRank: slots, StagingPerRank: 8}, speeds: speeds, budget: -1, staged: make([]int, ranks)}
	l := &layerSearch{layer: even.Layers[0].clone(), experts: zipf(experts, 1, random), staged: make([]int, ranks)}
	splitEvenly(l.layer)
	l.loads = l.layer.Loads(l.experts, ranks)
	l.indexByRank(s)
	tried := 0
	for range 40 {
		from, to := random.IntN(ranks), random.IntN(ranks)
		candidates := s.appendExchanges(nil, l, from, to)
		if from == to || len(candidates) == 0 {
			continue
		}
		x := candidates[random.IntN(len(candidates))]
		before := s.imbalance(l.loads)
		change := s.imbalanceChange(l, l.appendLoadChanges(nil, x))
		l.applyExchange(x)
		if fresh := l.layer.Loads(l.experts, ranks); math.Abs(s.imbalance(fresh)-before-change) > 1e-6*before {
			t.Fatalf("%+v: imbalance %v, expected %v", x, s.imbalance(fresh), before+change)
		}
		tried++
	}
	if tried < 20 {
		t.Fatalf("only %d exchanges were possible", tried)
	}
}
