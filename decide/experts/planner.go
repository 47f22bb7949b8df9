package experts

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// PlannerConfig describes a group and the limits of its planner. Zero limits take the default.
type PlannerConfig struct {
	Layers, Experts, Ranks int
	SlotsPerRank           int     // experts of one layer that a rank holds at most
	ExpertBytes            int64   // size of the weights of one expert
	BytesPerInterval       int64   // bytes of weights that the store delivers to this group per interval; 0 for no limit
	StagingPerRank         int     // experts that a rank loads per interval in addition to those it holds, default 16
	StagingPerLayer        int     // experts of one layer that a rank loads per interval, 0 for no limit other than StagingPerRank
	StartSkew              float64 // skew, as a mean over the layers, above which rebalancing starts, default 1.03
	StopSkew               float64 // skew at which rebalancing stops, default 1.01
	Smoothing              float64 // weight of the newest loads in the moving average, default 0.5
	EvenSplit              bool    // the engines split the tokens of an expert evenly over its replicas and ignore the shares
}

const (
	defaultStagingPerRank = 16
	defaultStartSkew      = 1.03 // leaves headroom below the target of 1.05 for drift until the next interval
	defaultStopSkew       = 1.01
	defaultSmoothing      = 0.5
	// layerMarginRatio: rebalancing also starts when the skew of one layer exceeds 1 by this many times the excess that
	// StartSkew allows for the mean. The step time is the sum over the layers, so the mean decides; a limit on each
	// layer alone would change the map of a model of 60 layers in nearly every interval.
	layerMarginRatio = 5
	// resetShiftRatio is the part of the load of a layer that must have shifted between experts, compared with the moving
	// average, for the average to be discarded: after a sudden shift it would be wrong for several intervals.
	resetShiftRatio = 0.2
	// minGainRatio is the smallest reduction of the largest load of a layer, relative to the mean, that justifies
	// loading a replica.
	minGainRatio = 1e-3
)

// Move loads a replica of an expert onto a rank.
type Move struct {
	Layer, Expert, Rank int
	Evict               int // expert whose replica gives up its slot there, -1 if a slot is free
}

// Plan is the result of planning for one interval.
type Plan struct {
	Map     *Map // the map to switch to, nil to keep the current one
	Moves   []Move
	Bytes   int64
	Before  float64 // skew of the current map, as a mean over the layers
	Skew    float64 // predicted mean over the layers for the smoothed loads
	Limited bool    // the byte budget, staging or slots ended the planning before all layers were balanced
}

// Planner keeps the map of one group balanced.
type Planner struct {
	config      PlannerConfig
	current     *Map
	loads       [][]float64 // moving average, by layer and expert
	rebalancing bool        // the skew has exceeded StartSkew and not yet fallen to StopSkew
}

// NewPlanner returns a planner for a group that uses the given map. It fails if the map does not fit the group.
func NewPlanner(c PlannerConfig, current *Map) (*Planner, error) {
	if c.StagingPerRank <= 0 {
		c.StagingPerRank = defaultStagingPerRank
	}
	if c.StartSkew <= 1 {
		c.StartSkew = defaultStartSkew
	}
	if c.StopSkew <= 1 {
		c.StopSkew = min(defaultStopSkew, c.StartSkew)
	}
	if c.Smoothing <= 0 || c.Smoothing > 1 {
		c.Smoothing = defaultSmoothing
	}
	if c.BytesPerInterval < 0 || c.ExpertBytes < 0 {
		return nil, errors.New("the byte budget and the bytes of an expert must not be negative")
	}
	if err := c.check(current); err != nil {
		return nil, err
	}
	return &Planner{config: c, current: current.Clone(), loads: make([][]float64, c.Layers)}, nil
}

// check returns an error if the map does not fit the group.
func (c *PlannerConfig) check(m *Map) error {
	if m == nil || len(m.Layers) != c.Layers {
		return fmt.Errorf("the map must have %d layers", c.Layers)
	}
	for l, layer := range m.Layers {
		if len(layer) != c.Experts {
			return fmt.Errorf("layer %d must have %d experts, has %d", l, c.Experts, len(layer))
		}
		used := make([]int, c.Ranks)
		for e, replicas := range layer {
			if len(replicas) == 0 {
				return fmt.Errorf("layer %d: expert %d is on no rank", l, e)
			}
			for i, r := range replicas {
				if r.Rank < 0 || r.Rank >= c.Ranks || i > 0 && replicas[i-1].Rank >= r.Rank {
					return fmt.Errorf("layer %d: the ranks of expert %d must be distinct, sorted and below %d", l, e, c.Ranks)
				}
				if used[r.Rank]++; used[r.Rank] > c.SlotsPerRank {
					return fmt.Errorf("layer %d: rank %d holds more than %d experts", l, r.Rank, c.SlotsPerRank)
				}
			}
		}
	}
	return nil
}

// Current returns the map last passed to NewPlanner or Adopt. The caller must not modify it.
func (p *Planner) Current() *Map { return p.current }

// Plan proposes the next map. loads are the tokens that each expert of each layer received in the interval; speeds are
// the relative speeds of the ranks (Health.Speeds), nil if all are equal. The planner uses the map of the plan only
// once the plan is passed to Adopt, so an aborted change leaves its state unchanged.
func (p *Planner) Plan(loads [][]float64, speeds []float64) (Plan, error) {
	if err := p.observe(loads, speeds); err != nil {
		return Plan{}, err
	}
	before, worst := 0.0, 0.0
	for l, layer := range p.current.Layers {
		skew := planningSkew(p.rankLoads(layer, l), speeds)
		before, worst = before+skew/float64(p.config.Layers), max(worst, skew)
	}
	if !p.rebalancing && before <= p.config.StartSkew && worst-1 <= layerMarginRatio*(p.config.StartSkew-1) {
		return Plan{Before: before, Skew: before}, nil
	}
	next := p.current.Clone()
	s := search{config: &p.config, speeds: speeds, staged: make([]int, p.config.Ranks)}
	if p.config.ExpertBytes > 0 && p.config.BytesPerInterval > 0 {
		s.budget = int(p.config.BytesPerInterval / p.config.ExpertBytes)
	} else {
		s.budget = -1
	}
	queue := make([]*layerSearch, 0, p.config.Layers)
	skews := make([]float64, p.config.Layers)
	for l, layer := range next.Layers {
		ls := &layerSearch{index: l, layer: layer, experts: p.loads[l], staged: make([]int, p.config.Ranks)}
		if p.config.EvenSplit {
			splitEvenly(layer)
			ls.loads = p.rankLoads(layer, l)
		} else {
			ls.loads = Balance(layer, p.loads[l], speeds, p.config.Ranks)
		}
		if skews[l] = planningSkew(ls.loads, speeds); skews[l] > p.config.StopSkew {
			ls.indexByRank(&s)
			queue = append(queue, ls)
		}
	}
	plan := Plan{Before: before}
	plan.Moves, plan.Limited = s.run(queue, skews)
	plan.Bytes = int64(len(plan.Moves)) * p.config.ExpertBytes
	for _, skew := range skews {
		plan.Skew += skew / float64(len(skews))
	}
	// No more moves above StopSkew means that slots are short: wait until the skew exceeds StartSkew again.
	p.rebalancing = plan.Skew > p.config.StopSkew && len(plan.Moves) > 0
	if len(plan.Moves) > 0 || before-plan.Skew > minGainRatio {
		plan.Map = next
	}
	return plan, nil
}

// rankLoads returns the load of each rank for the smoothed loads of a layer.
func (p *Planner) rankLoads(layer Layer, l int) []float64 {
	return layer.Loads(p.loads[l], p.config.Ranks)
}

// Adopt records that the change to the map of the plan was committed.
func (p *Planner) Adopt(plan Plan) {
	if plan.Map != nil {
		p.current = plan.Map.Clone()
	}
}

// observe adds the newest loads to the moving averages.
func (p *Planner) observe(loads [][]float64, speeds []float64) error {
	if len(loads) != p.config.Layers || speeds != nil && len(speeds) != p.config.Ranks {
		return fmt.Errorf("loads of %d layers and speeds of %d ranks are needed", p.config.Layers, p.config.Ranks)
	}
	for l := range loads {
		if len(loads[l]) != p.config.Experts {
			return fmt.Errorf("layer %d: loads of %d experts are needed, got %d", l, p.config.Experts, len(loads[l]))
		}
	}
	for l, layer := range loads {
		total := 0.0
		for _, load := range layer {
			total += max(load, 0)
		}
		if total <= 0 {
			if p.loads[l] == nil {
				p.loads[l] = make([]float64, p.config.Experts)
			}
			continue // no tokens in this interval: keep the average
		}
		fresh := make([]float64, len(layer))
		shifted := 0.0
		for e := range layer {
			fresh[e] = max(layer[e], 0) / total
			if p.loads[l] != nil {
				shifted += max(fresh[e]-p.loads[l][e], 0)
			}
		}
		if p.loads[l] == nil || shifted > resetShiftRatio {
			p.loads[l] = fresh
			continue
		}
		for e := range fresh {
			p.loads[l][e] += p.config.Smoothing * (fresh[e] - p.loads[l][e])
		}
	}
	return nil
}

// insert adds a replica and keeps the order by rank.
func insert(replicas []Replica, r Replica) []Replica {
	at, _ := slices.BinarySearchFunc(replicas, r.Rank, func(a Replica, rank int) int { return cmp.Compare(a.Rank, rank) })
	return slices.Insert(replicas, at, r)
}
