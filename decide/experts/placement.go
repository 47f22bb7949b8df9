package experts

import (
	"cmp"
	"fmt"
	"slices"
)

// Replica is one copy of an expert on a rank, with the share of the tokens of the expert that is routed to it.
type Replica struct {
	Rank  int
	Share float64 // 0 to 1; the shares of an expert add up to 1
}

// Layer holds the replicas of each expert of one layer, sorted by rank.
type Layer [][]Replica

// Map is an expert map: the ranks on which the experts of each layer run. A published map is immutable.
type Map struct{ Layers []Layer }

// Clone returns a deep copy.
func (m *Map) Clone() *Map {
	out := &Map{Layers: make([]Layer, len(m.Layers))}
	for l, layer := range m.Layers {
		out.Layers[l] = layer.clone()
	}
	return out
}

func (l Layer) clone() Layer {
	out := make(Layer, len(l))
	for e := range l {
		out[e] = slices.Clone(l[e])
	}
	return out
}

// Loads returns the load of each rank for the given loads of the experts.
func (l Layer) Loads(experts []float64, ranks int) []float64 {
	out := make([]float64, ranks)
	for e, replicas := range l {
		for _, r := range replicas {
			out[r.Rank] += experts[e] * r.Share
		}
	}
	return out
}

// Skew returns the time of the slowest rank divided by the mean, 1 if all are equal or there is no load. Ranks of speed
// 0 are excluded: a stalled rank lowers the weight of the group instead.
func Skew(loads, speeds []float64) float64 {
	highest, sum, speed := 0.0, 0.0, 0.0
	for r, load := range loads {
		if s := speedOf(speeds, r); s > 0 {
			highest, sum, speed = max(highest, load/s), sum+load, speed+s
		}
	}
	if sum <= 0 {
		return 1
	}
	return highest * speed / sum
}

// planningSkew is Skew with stalled ranks counted as very slow, so that load left on them raises it.
func planningSkew(loads, speeds []float64) float64 {
	highest, sum, speed := 0.0, 0.0, 0.0
	for r, load := range loads {
		s := planningSpeed(speeds, r)
		highest, sum, speed = max(highest, load/s), sum+load, speed+s
	}
	if sum <= 0 {
		return 1
	}
	return highest * speed / sum
}

// speedOf returns the speed of a rank; speeds is nil if all are equal.
func speedOf(speeds []float64, rank int) float64 {
	if speeds == nil {
		return 1
	}
	return speeds[rank]
}

// planningSpeed is the speed of a rank, at least minSpeedRatio: a stalled rank with the only replica of an expert keeps the
// load of that expert until the planner has copied it to another rank.
func planningSpeed(speeds []float64, rank int) float64 {
	return max(speedOf(speeds, rank), minSpeedRatio)
}

const minSpeedRatio = 0.01

// EvenMap returns a map that divides the slots evenly among the experts, regardless of popularity.
func EvenMap(layers, experts, ranks, slotsPerRank int) (*Map, error) {
	slots := ranks * slotsPerRank
	if layers < 1 || experts < 1 || ranks < 1 || slots < experts {
		return nil, fmt.Errorf("%d ranks with %d slots each cannot hold %d experts of %d layers: add slots or ranks",
			ranks, slotsPerRank, experts, layers)
	}
	layer := make(Layer, experts)
	for slot := range slots {
		e := slot % experts
		// After each multiple of both the experts and the ranks, the rank shifts by one, so that the replicas of an
		// expert are on different ranks.
		rank := (slot + slot/lcm(experts, ranks)) % ranks
		if !slices.ContainsFunc(layer[e], func(r Replica) bool { return r.Rank == rank }) {
			layer[e] = append(layer[e], Replica{Rank: rank})
		}
	}
	for e := range layer {
		slices.SortFunc(layer[e], func(a, b Replica) int { return cmp.Compare(a.Rank, b.Rank) })
		for i := range layer[e] {
			layer[e][i].Share = 1 / float64(len(layer[e]))
		}
	}
	out := &Map{Layers: make([]Layer, layers)}
	for l := range out.Layers {
		out.Layers[l] = layer.clone()
	}
	return out, nil
}

func lcm(a, b int) int {
	x, y := a, b
	for y != 0 {
		x, y = y, x%y
	}
	return a / x * b
}

// Limits of Balance: further sweeps changed the skew of 256 ranks by less than 0.1 %.
const (
	maxSweeps        = 24
	convergenceRatio = 1e-3 // stop when no load changes by more than this part of the mean load of a rank
)

// Balance sets the shares so that the largest load of a rank is as small as the replicas allow, and returns the loads
// of the ranks. It loads no weights: only the split of the tokens changes. Each expert in turn moves its load to its
// least loaded ranks (block coordinate descent on the sum of squares, which is convex, so the sweeps converge to the
// best split).
func Balance(layer Layer, experts, speeds []float64, ranks int) []float64 {
	loads := layer.Loads(experts, ranks)
	balance(layer, experts, speeds, loads, maxSweeps)
	return loads
}

// balance updates the shares and loads in place.
func balance(layer Layer, experts, speeds, loads []float64, sweeps int) {
	total := 0.0
	for _, load := range experts {
		total += load
	}
	if total <= 0 {
		return
	}
	limit := convergenceRatio * total / float64(len(loads))
	for range sweeps {
		change := 0.0
		for e := range layer {
			if len(layer[e]) > 1 && experts[e] > 0 {
				change = max(change, waterFill(layer[e], experts[e], speeds, loads))
			}
		}
		if change < limit {
			return
		}
	}
}

// waterFill redistributes the load of one expert: it fills the ranks of its replicas to a common level. It returns the
// largest change of the load of a rank.
func waterFill(replicas []Replica, load float64, speeds, loads []float64) float64 {
	const inlineReplicas = 8
	var buffer [inlineReplicas]int
	order := buffer[:0]
	for i, r := range replicas {
		loads[r.Rank] -= load * r.Share
		order = append(order, i)
	}
	relativeLoad := func(i int) float64 {
		rank := replicas[i].Rank
		return loads[rank] / planningSpeed(speeds, rank)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(relativeLoad(a), relativeLoad(b)) })
	// Find the number of least loaded ranks that receive load, and the level to which they are filled.
	sum, speed, level := load, 0.0, 0.0
	filled := 0
	for filled < len(order) && (filled == 0 || relativeLoad(order[filled]) < level) {
		rank := replicas[order[filled]].Rank
		sum, speed = sum+loads[rank], speed+planningSpeed(speeds, rank)
		level = sum / speed
		filled++
	}
	change := 0.0
	for n, i := range order {
		r := &replicas[i]
		share := 0.0
		if n < filled {
			share = max(level*planningSpeed(speeds, r.Rank)-loads[r.Rank], 0) / load
		}
		change = max(change, max(share-r.Share, r.Share-share)*load)
		r.Share = share
		loads[r.Rank] += share * load
	}
	return change
}
