package experts

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkPlanAfterShift measures a plan for a group of 64 ranks with 12 layers of 256 experts after other experts have come
// into demand. The coordinator has about a quarter of a core for it.
func BenchmarkPlanAfterShift(b *testing.B) {
	const layers, experts, ranks, slots = 12, 256, 64, 5
	even, err := EvenMap(layers, experts, ranks, slots)
	if err != nil {
		b.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	var loads [][]float64
	for range layers {
		loads = append(loads, zipf(experts, 0.63, random))
	}
	config := PlannerConfig{Layers: layers, Experts: experts, Ranks: ranks, SlotsPerRank: slots, StagingPerRank: 4, StagingPerLayer: 2,
		StartSkew: 1.3, StopSkew: 1.2, EvenSplit: true, Smoothing: 1}
	for b.Loop() {
		p, err := NewPlanner(config, even)
		if err != nil {
			b.Fatal(err)
		}
		if plan, err := p.Plan(loads, nil); err != nil || len(plan.Moves) == 0 {
			b.Fatal(len(plan.Moves), err)
		}
	}
}
