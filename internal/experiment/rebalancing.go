package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/banyanfront/banyanfront/decide/experts"
)

// Rebalancing compares the planner of expert placement with a static map and with a full re-placement at each interval,
// while the popularity of experts drifts over a day and changes abruptly at flips.
func Rebalancing() Experiment {
	return Experiment{Name: "rebalancing", Run: func(seed uint64) []Result {
		var results []Result
		for _, group := range rebalancingGroups {
			for _, exponent := range rebalancingExponents {
				results = append(results, group.compare(seed, exponent))
			}
		}
		return results
	}}
}

// Sizes of the rebalancing experiment. The simulated layers get a proportional share of the byte budget of 60 layers.
const (
	rebalancingExperts           = 64
	rebalancingModelLayers       = 60
	rebalancingExpertMB          = 44     // 3 matrices of 7168 by 2048 with 8-bit weights
	rebalancingBudgetMB          = 30_000 // read from the store by one group in an interval of 30 s: 1 GB/s
	rebalancingIntervalsPerDay   = 2880   // of 30 s
	rebalancingTokensPerInterval = 2e6    // tokens routed in each layer; sets the sampling noise
	rebalancingSettleIntervals   = 40     // after the start or a flip, excluded from the steady state
	rebalancingTargetSkew        = 1.05
	rebalancingFlips             = 3 // spread evenly over the run
)

// Groups and Zipf exponents of the rebalancing experiment.
var (
	rebalancingGroups = []rebalancingGroup{
		{ranks: 16, slots: 6, layers: 4, intervals: 480},
		{ranks: 256, slots: 2, layers: 2, intervals: 240},
	}
	rebalancingExponents = []float64{0.6, 0.9, 1.2}
)

// rebalancingGroup is a group of ranks.
type rebalancingGroup struct{ ranks, slots, layers, intervals int }

// compare runs all policies on the same load with a Zipf exponent.
func (g rebalancingGroup) compare(seed uint64, exponent float64) Result {
	result := Result{
		Name: "rebalancing-" + strconv.Itoa(g.ranks), Seed: seed,
		Load: strconv.Itoa(g.ranks) + " ranks with " + strconv.Itoa(g.slots) + " slots, 64 experts a layer, Zipf exponent " +
			strconv.FormatFloat(exponent, 'f', 1, 64) + ", daily drift, 3 flips, intervals of 30 s, budget 1 GB/s",
		Columns: []string{"steady skew mean", "steady skew p99", "settle intervals", "GB/h of a 60-layer model",
			"skew mean in all", "map changes/h"},
	}
	for _, policy := range []struct {
		name string
		make func(rebalancingGroup) rebalancingPolicy
	}{
		{"banyanfront", func(g rebalancingGroup) rebalancingPolicy { return newPlannedPlacement(g, false) }},
		{"static map", func(g rebalancingGroup) rebalancingPolicy { return &staticPlacement{g.evenMap()} }},
		{"full re-placement", func(g rebalancingGroup) rebalancingPolicy {
			return &fullPlacement{group: g, expertMap: g.evenMap()}
		}},
		{"banyanfront, engines split evenly",
			func(g rebalancingGroup) rebalancingPolicy { return newPlannedPlacement(g, true) }},
	} {
		result.Rows = append(result.Rows, Row{Policy: policy.name, Values: g.run(seed, exponent, policy.make(g))})
	}
	return result
}

func (g rebalancingGroup) evenMap() *experts.Map {
	m, err := experts.EvenMap(g.layers, rebalancingExperts, g.ranks, g.slots)
	if err != nil {
		panic(err) // the sizes are constants
	}
	return m
}

// rebalancingPolicy chooses the expert map of the next interval from the loads of the previous one.
type rebalancingPolicy interface {
	current() *experts.Map
	// next returns the number of expert replicas loaded and whether the map changes.
	next(loads [][]float64) (replicas int, changes bool)
}

// run returns the figures of one policy.
func (g rebalancingGroup) run(seed uint64, exponent float64, policy rebalancingPolicy) []float64 {
	popularity := newPopularity(rand.New(rand.NewPCG(seed, 3)), g.layers, exponent)
	var steady []float64
	meanSkew, replicasLoaded, mapChanges, maxIntervalsToSettle, maxIntervalsUnsettled := 0.0, 0, 0, 0, 0
	sinceFlip := 0 // intervals since the start or the last flip
	settled := false
	for interval := range g.intervals {
		if interval > 0 && interval%(g.intervals/(rebalancingFlips+1)) == 0 {
			popularity.flip()
			sinceFlip, settled = 0, false
		}
		actual := popularity.shares(interval)
		skew := 0.0
		for l, layer := range policy.current().Layers {
			skew += experts.Skew(layer.Loads(actual[l], g.ranks), nil) / float64(g.layers)
		}
		meanSkew += skew / float64(g.intervals)
		if sinceFlip >= rebalancingSettleIntervals {
			steady = append(steady, skew)
		}
		if !settled && skew <= rebalancingTargetSkew {
			settled = true
			maxIntervalsToSettle = max(maxIntervalsToSettle, sinceFlip)
		}
		sinceFlip++
		if !settled {
			maxIntervalsUnsettled = max(maxIntervalsUnsettled, sinceFlip)
		}
		replicas, mapChanged := policy.next(popularity.sample(actual))
		replicasLoaded += replicas
		if mapChanged {
			mapChanges++
		}
	}
	slices.Sort(steady)
	steadyMean := 0.0
	for _, skew := range steady {
		steadyMean += skew / float64(len(steady))
	}
	hours := float64(g.intervals) * 24 / rebalancingIntervalsPerDay
	gigabytesPerHour := float64(replicasLoaded) * rebalancingExpertMB / 1000 * rebalancingModelLayers / float64(g.layers) / hours
	return []float64{steadyMean, steady[len(steady)*99/100], float64(max(maxIntervalsToSettle, maxIntervalsUnsettled)), gigabytesPerHour, meanSkew,
		float64(mapChanges) / hours}
}

// popularity models the load of the experts of each layer: a Zipf distribution with a daily drift and abrupt flips.
type popularity struct {
	random   *rand.Rand
	exponent float64
	rankOf   [][]int     // popularity rank of each expert, by layer
	phase    [][]float64 // of the daily drift of each expert, by layer
}

// popularityDrift is the amplitude of the daily drift of the logarithm of an expert's popularity: an expert is at most 2.7
// times as popular as at the opposite time of the day.
const popularityDrift = 0.5

func newPopularity(random *rand.Rand, layers int, exponent float64) *popularity {
	p := &popularity{random: random, exponent: exponent}
	for range layers {
		phases := make([]float64, rebalancingExperts)
		for e := range phases {
			phases[e] = 2 * math.Pi * random.Float64()
		}
		p.rankOf = append(p.rankOf, random.Perm(rebalancingExperts))
		p.phase = append(p.phase, phases)
	}
	return p
}

// flip permutes the popularity ranks of a random quarter of the experts of each layer.
func (p *popularity) flip() {
	for _, order := range p.rankOf {
		chosen := p.random.Perm(rebalancingExperts)[:rebalancingExperts/4]
		first := order[chosen[0]]
		for i := range chosen[:len(chosen)-1] {
			order[chosen[i]] = order[chosen[i+1]]
		}
		order[chosen[len(chosen)-1]] = first
	}
}

// shares returns the share of the tokens that each expert of each layer receives in an interval.
func (p *popularity) shares(interval int) [][]float64 {
	out := make([][]float64, len(p.rankOf))
	for l := range out {
		out[l] = make([]float64, rebalancingExperts)
		total := 0.0
		for e := range out[l] {
			angle := 2*math.Pi*float64(interval)/rebalancingIntervalsPerDay + p.phase[l][e]
			out[l][e] = math.Exp(popularityDrift*math.Sin(angle)) / math.Pow(float64(p.rankOf[l][e]+1), p.exponent)
			total += out[l][e]
		}
		for e := range out[l] {
			out[l][e] /= total
		}
	}
	return out
}

// sample returns token counts with sampling noise, as a group would measure them.
func (p *popularity) sample(shares [][]float64) [][]float64 {
	out := make([][]float64, len(shares))
	for l := range out {
		out[l] = make([]float64, rebalancingExperts)
		for e, share := range shares[l] {
			mean := share * rebalancingTokensPerInterval
			out[l][e] = max(mean+math.Sqrt(mean)*p.random.NormFloat64(), 0)
		}
	}
	return out
}

// plannedPlacement adapts experts.Planner, the planner of the system.
type plannedPlacement struct{ planner *experts.Planner }

func newPlannedPlacement(g rebalancingGroup, evenSplit bool) rebalancingPolicy {
	planner, err := experts.NewPlanner(experts.PlannerConfig{
		Layers: g.layers, Experts: rebalancingExperts, Ranks: g.ranks, SlotsPerRank: g.slots, ExpertBytes: rebalancingExpertMB,
		BytesPerInterval: rebalancingBudgetMB * int64(g.layers) / rebalancingModelLayers,
		StagingPerRank:   max(16*g.layers/rebalancingModelLayers, 1), EvenSplit: evenSplit,
	}, g.evenMap())
	if err != nil {
		panic(err) // the sizes are constants
	}
	return &plannedPlacement{planner}
}

func (p *plannedPlacement) current() *experts.Map { return p.planner.Current() }

func (p *plannedPlacement) next(loads [][]float64) (int, bool) {
	plan, err := p.planner.Plan(loads, nil)
	if err != nil {
		panic(err) // the sizes are constants
	}
	p.planner.Adopt(plan)
	return len(plan.Moves), plan.Map != nil
}

// staticPlacement is a baseline: the first map is never changed.
type staticPlacement struct{ expertMap *experts.Map }

func (p *staticPlacement) current() *experts.Map        { return p.expertMap }
func (p *staticPlacement) next([][]float64) (int, bool) { return 0, false }

// fullPlacement is a baseline: at each interval it places every layer anew, the most popular experts first, regardless of
// which experts the ranks have loaded and without a byte budget.
type fullPlacement struct {
	group     rebalancingGroup
	expertMap *experts.Map
}

func (p *fullPlacement) current() *experts.Map { return p.expertMap }

func (p *fullPlacement) next(loads [][]float64) (int, bool) {
	loaded := 0
	next := &experts.Map{}
	for l, layer := range loads {
		placed := p.group.place(layer)
		experts.Balance(placed, layer, nil, p.group.ranks)
		for e, replicas := range placed {
			for _, r := range replicas {
				if !slices.ContainsFunc(p.expertMap.Layers[l][e], func(o experts.Replica) bool { return o.Rank == r.Rank }) {
					loaded++
				}
			}
		}
		next.Layers = append(next.Layers, placed)
	}
	p.expertMap = next
	return loaded, true
}

// place gives each expert replicas in proportion to its load and assigns the heaviest replicas first, to the least loaded
// ranks.
func (g rebalancingGroup) place(loads []float64) experts.Layer {
	counts := make([]int, len(loads))
	for e := range counts {
		counts[e] = 1
	}
	for range g.ranks*g.slots - len(loads) {
		most := -1
		for e := range loads {
			if counts[e] < g.ranks && (most < 0 || loads[e]/float64(counts[e]) > loads[most]/float64(counts[most])) {
				most = e
			}
		}
		counts[most]++
	}
	order := make([]int, len(loads))
	for e := range order {
		order[e] = e
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(loads[b]/float64(counts[b]), loads[a]/float64(counts[a])), cmp.Compare(a, b))
	})
	layer, used, sums := make(experts.Layer, len(loads)), make([]int, g.ranks), make([]float64, g.ranks)
	for _, e := range order {
		ranks := make([]int, 0, g.ranks)
		for r := range g.ranks {
			if used[r] < g.slots {
				ranks = append(ranks, r)
			}
		}
		slices.SortFunc(ranks, func(a, b int) int { return cmp.Or(cmp.Compare(sums[a], sums[b]), cmp.Compare(a, b)) })
		ranks = ranks[:min(counts[e], len(ranks))]
		slices.Sort(ranks)
		for _, r := range ranks {
			share := 1 / float64(len(ranks))
			layer[e] = append(layer[e], experts.Replica{Rank: r, Share: share})
			used[r]++
			sums[r] += share * loads[e]
		}
	}
	return layer
}
