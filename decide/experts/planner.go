package experts

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// PlannerConfig describes a group and limits its planner. Zero limits take the default.
type PlannerConfig struct {
	Layers, Experts, Ranks int
	SlotsPerRank           int     // experts of one layer that a rank holds at most
	ExpertBytes            int64   // weights of one expert
	BytesPerInterval       int64   // weights that the store delivers to this group in one interval; 0 for no limit
	StagingPerRank         int     // experts that a rank loads in one interval beside those it holds, default 16
	SparePerLayer          int     // experts of one layer that a rank loads in one interval, 0 for no limit beside StagingPerRank
	Start                  float64 // skew, as a mean over the layers, at which rebalancing begins, default 1.03
	Stop                   float64 // skew at which it ends, default 1.01
	Smoothing              float64 // weight of the newest loads in the average, default 0.5
	EvenSplit              bool    // the engines split an expert's tokens evenly over its replicas, whatever the shares
}

const (
	defaultStagingPerRank = 16
	defaultStart          = 1.03 // leaves room below the target of 1.05 for drift until the next interval
	defaultStop           = 1.01
	defaultSmoothing      = 0.5
	// layerMargin: rebalancing also begins when one layer is this many times as far from even as Start allows the mean. The
	// step time is the sum over the layers, so the mean decides; judging each layer alone would change the map of a
	// model of 60 layers in nearly every interval.
	layerMargin = 5
	// flipChange is the part of a layer's load that must have moved between experts since the average was formed for the
	// average to be dropped: after a sudden flip it would be wrong for several intervals.
	flipChange = 0.2
	// minGain is the least fall of a layer's largest load, as a share of the mean, for which a replica is worth its bytes.
	minGain = 1e-3
)

// Move loads a replica of an expert onto a rank.
type Move struct {
	Layer, Expert, Rank int
	Evict               int // expert whose replica gives up its slot there, -1 if a slot was free
}

// Plan is the outcome of one interval.
type Plan struct {
	Map     *Map // the map to put in force, nil if the present one stays
	Moves   []Move
	Bytes   int64
	Before  float64 // skew of the present map, as a mean over the layers
	Skew    float64 // mean over the layers, as predicted for the smoothed loads
	Limited bool    // the byte budget, staging or slots ended the planning before all layers were balanced
}

// Planner keeps the map of one group balanced.
type Planner struct {
	config  PlannerConfig
	current *Map
	loads   [][]float64 // smoothed, by layer and expert
	moving  bool        // the skew has passed Start and not yet come down to Stop
}

// NewPlanner returns a planner for a group that runs the given map.
func NewPlanner(c PlannerConfig, current *Map) (*Planner, error) {
	if c.StagingPerRank <= 0 {
		c.StagingPerRank = defaultStagingPerRank
	}
	if c.Start <= 1 {
		c.Start = defaultStart
	}
	if c.Stop <= 1 {
		c.Stop = min(defaultStop, c.Start)
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

// check reports whether the map fits the group.
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

// Current returns the map that the planner believes in force. The caller must not change it.
func (p *Planner) Current() *Map { return p.current }

// Plan proposes the next map. loads are the tokens that each expert of each layer received in the interval; speeds are
// the ranks' relative speeds (Health.Speeds), nil if all are equal. The plan takes effect for the planner only when it
// is passed to Adopt, so that an aborted change leaves it as it was.
func (p *Planner) Plan(loads [][]float64, speeds []float64) (Plan, error) {
	if err := p.observe(loads, speeds); err != nil {
		return Plan{}, err
	}
	before, worst := 0.0, 0.0
	for l, layer := range p.current.Layers {
		skew := planningSkew(p.rankLoads(layer, l), speeds)
		before, worst = before+skew/float64(p.config.Layers), max(worst, skew)
	}
	if !p.moving && before <= p.config.Start && worst-1 <= layerMargin*(p.config.Start-1) {
		return Plan{Before: before, Skew: before}, nil
	}
	next := p.current.Clone()
	w := work{config: &p.config, speeds: speeds, staged: make([]int, p.config.Ranks)}
	if p.config.ExpertBytes > 0 && p.config.BytesPerInterval > 0 {
		w.budget = int(p.config.BytesPerInterval / p.config.ExpertBytes)
	} else {
		w.budget = -1
	}
	queue := make([]*layerWork, 0, p.config.Layers)
	skews := make([]float64, p.config.Layers)
	for l, layer := range next.Layers {
		work := &layerWork{index: l, layer: layer, experts: p.loads[l], staged: make([]int, p.config.Ranks)}
		if p.config.EvenSplit {
			spread(layer)
			work.loads = p.rankLoads(layer, l)
		} else {
			work.loads = Balance(layer, p.loads[l], speeds, p.config.Ranks)
		}
		if skews[l] = planningSkew(work.loads, speeds); skews[l] > p.config.Stop {
			work.prepare(&w)
			queue = append(queue, work)
		}
	}
	plan := Plan{Before: before}
	plan.Moves, plan.Limited = w.run(queue, skews)
	plan.Bytes = int64(len(plan.Moves)) * p.config.ExpertBytes
	for _, skew := range skews {
		plan.Skew += skew / float64(len(skews))
	}
	// An end of moves without the goal means that slots are short: the next ones wait for a skew above Start again.
	p.moving = plan.Skew > p.config.Stop && len(plan.Moves) > 0
	if len(plan.Moves) > 0 || before-plan.Skew > minGain {
		plan.Map = next
	}
	return plan, nil
}

// rankLoads returns the load of each rank for the smoothed popularity of a layer.
func (p *Planner) rankLoads(layer Layer, l int) []float64 {
	return layer.Loads(p.loads[l], p.config.Ranks)
}

// Adopt records that the plan's map was decided.
func (p *Planner) Adopt(plan Plan) {
	if plan.Map != nil {
		p.current = plan.Map.Clone()
	}
}

// observe adds the newest loads to the averages.
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
			continue // nothing ran: keep what is known
		}
		fresh := make([]float64, len(layer))
		moved := 0.0
		for e := range layer {
			fresh[e] = max(layer[e], 0) / total
			if p.loads[l] != nil {
				moved += max(fresh[e]-p.loads[l][e], 0)
			}
		}
		if p.loads[l] == nil || moved > flipChange {
			p.loads[l] = fresh
			continue
		}
		for e := range fresh {
			p.loads[l][e] += p.config.Smoothing * (fresh[e] - p.loads[l][e])
		}
	}
	return nil
}

// insert adds a replica in the order of ranks.
func insert(replicas []Replica, r Replica) []Replica {
	at, _ := slices.BinarySearchFunc(replicas, r.Rank, func(a Replica, rank int) int { return cmp.Compare(a.Rank, rank) })
	return slices.Insert(replicas, at, r)
}
