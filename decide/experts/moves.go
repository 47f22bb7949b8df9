package experts

import (
	"cmp"
	"slices"
)

// search is the planning state shared by the layers of one plan.
type search struct {
	config *PlannerConfig
	speeds []float64
	budget int   // replicas that may still be loaded, negative for no limit
	staged []int // replicas loaded, by rank

	candidates  []exchange   // buffer of improveEvenSplit
	loadChanges []loadChange // buffer of improveEvenSplit
}

// layerSearch is the planning state of one layer.
type layerSearch struct {
	index   int
	layer   Layer
	experts []float64 // load of each expert
	loads   []float64 // load of each rank
	onRank  [][]int   // experts by rank
	staged  []int     // replicas loaded in this layer, by rank
}

// indexByRank lists the experts on each rank.
func (l *layerSearch) indexByRank(s *search) {
	l.onRank = make([][]int, s.config.Ranks)
	for e, replicas := range l.layer {
		for _, r := range replicas {
			l.onRank[r.Rank] = append(l.onRank[r.Rank], e)
		}
	}
}

// run applies moves until all layers are balanced or a limit is reached. Each move goes to the layer with the largest
// skew, so that a small budget saves the most step time. limited reports whether a limit ended the search.
func (s *search) run(queue []*layerSearch, skews []float64) (moves []Move, limited bool) {
	for len(queue) > 0 {
		worst := 0
		for i := range queue {
			if skews[queue[i].index] > skews[queue[worst].index] {
				worst = i
			}
		}
		l := queue[worst]
		if s.budget == 0 {
			return moves, limited || skews[l.index] > s.config.StopSkew
		}
		var applied []Move
		ok := false
		if skews[l.index] > s.config.StopSkew {
			if s.config.EvenSplit {
				if applied, ok = s.improveEvenSplit(l); !ok && skews[l.index] > s.config.StartSkew {
					applied, ok = s.escapeLocalOptimum(l)
				}
			} else {
				applied, ok = s.improve(l)
			}
			limited = limited || !ok
		}
		if !ok {
			queue = slices.Delete(queue, worst, worst+1)
			continue
		}
		skews[l.index] = planningSkew(l.loads, s.speeds)
		moves = append(moves, applied...)
		s.countMoves(l, applied)
	}
	return moves, limited
}

// stagingFull reports whether a rank has reached its staging limit, in all or for this layer.
func (s *search) stagingFull(l *layerSearch, rank int) bool {
	return s.staged[rank] >= s.config.StagingPerRank || s.config.StagingPerLayer > 0 && l.staged[rank] >= s.config.StagingPerLayer
}

// countMoves charges moves to the limits.
func (s *search) countMoves(l *layerSearch, moves []Move) {
	for _, move := range moves {
		s.staged[move.Rank]++
		l.staged[move.Rank]++
		s.budget--
	}
}

// Limits of the search for one move: the first candidates nearly always contain a good one.
const (
	maxMoveTargets = 6 // least loaded ranks tried as the target
	maxMoveExperts = 4 // experts of the most loaded rank tried
	sweepsPerMove  = 6 // of balance, after each move tried
)

// improve applies one move that lowers the imbalance of the layer: it copies an expert of the most loaded rank to one
// of the least loaded ranks, in place of the replica with the least load there. It reports false if no candidate helps.
func (s *search) improve(l *layerSearch) ([]Move, bool) {
	hottest, targets := 0, make([]int, 0, len(l.loads))
	rankTime := func(r int) float64 { return l.loads[r] / planningSpeed(s.speeds, r) }
	for r := range l.loads {
		if rankTime(r) > rankTime(hottest) {
			hottest = r
		}
		if speedOf(s.speeds, r) > 0 && !s.stagingFull(l, r) {
			targets = append(targets, r)
		}
	}
	slices.SortFunc(targets, func(a, b int) int { return cmp.Or(cmp.Compare(rankTime(a), rankTime(b)), cmp.Compare(a, b)) })
	candidates := slices.Clone(l.onRank[hottest])
	loadOn := func(e, rank int) float64 {
		for _, r := range l.layer[e] {
			if r.Rank == rank {
				return r.Share * l.experts[e]
			}
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(loadOn(b, hottest), loadOn(a, hottest)), cmp.Compare(a, b))
	})
	total := 0.0
	for _, load := range l.experts {
		total += load
	}
	limit := rankTime(hottest) - minGainRatio*total/float64(len(l.loads))
	imbalance := s.imbalance(l.loads)
	for _, target := range targets[:min(maxMoveTargets, len(targets))] {
		if rankTime(target) >= limit {
			break
		}
		for _, e := range candidates[:min(maxMoveExperts, len(candidates))] {
			if loadOn(e, hottest) <= 0 || slices.Contains(l.onRank[target], e) {
				continue
			}
			evict := -1
			if len(l.onRank[target]) >= s.config.SlotsPerRank {
				if evict = l.evictionCandidate(target, loadOn); evict < 0 {
					break
				}
			}
			move := Move{Layer: l.index, Expert: e, Rank: target, Evict: evict}
			if s.tryMove(l, move, imbalance) {
				return []Move{move}, true
			}
		}
	}
	return nil, false
}

// evictionCandidate returns the expert with the least load on the rank among those with other replicas, -1 if there is
// none.
func (l *layerSearch) evictionCandidate(rank int, loadOn func(e, rank int) float64) int {
	least := -1
	for _, e := range l.onRank[rank] {
		if len(l.layer[e]) > 1 && (least < 0 || loadOn(e, rank) < loadOn(least, rank)) {
			least = e
		}
	}
	return least
}

// imbalance returns the sum of the squared loads of the ranks, each divided by the speed: the objective that Balance
// lowers. With several equally loaded ranks it falls with each good move, while the largest load falls only with the
// last of them.
func (s *search) imbalance(loads []float64) float64 {
	sum := 0.0
	for r, load := range loads {
		sum += load * load / planningSpeed(s.speeds, r)
	}
	return sum
}

// tryMove applies a move and undoes it unless the imbalance falls enough. imbalance is that before the move.
func (s *search) tryMove(l *layerSearch, m Move, imbalance float64) bool {
	savedLayer, loads := l.layer.clone(), slices.Clone(l.loads)
	l.layer[m.Expert] = insert(l.layer[m.Expert], Replica{Rank: m.Rank})
	if m.Evict >= 0 {
		e := m.Evict
		index := slices.IndexFunc(l.layer[e], func(r Replica) bool { return r.Rank == m.Rank })
		share := l.layer[e][index].Share
		l.layer[e] = slices.Delete(l.layer[e], index, index+1)
		loads[m.Rank] -= share * l.experts[e]
		remaining := &l.layer[e][0]
		remaining.Share += share
		loads[remaining.Rank] += share * l.experts[e]
	}
	balance(l.layer, l.experts, s.speeds, loads, sweepsPerMove)
	after := s.imbalance(loads)
	// The sum of the squares is least in a balanced layer: total² / ranks.
	if after >= imbalance*(1-minGainRatio/float64(len(loads))) {
		copy(l.layer, savedLayer)
		return false
	}
	l.loads = loads
	if m.Evict >= 0 {
		index := slices.Index(l.onRank[m.Rank], m.Evict)
		l.onRank[m.Rank] = slices.Delete(l.onRank[m.Rank], index, index+1)
	}
	l.onRank[m.Rank] = append(l.onRank[m.Rank], m.Expert)
	return true
}
