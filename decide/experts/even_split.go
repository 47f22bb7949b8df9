package experts

import (
	"cmp"
	"slices"
)

// splitEvenly gives all replicas of each expert equal shares, for engines that cannot split tokens by share.
func splitEvenly(layer Layer) {
	for _, replicas := range layer {
		for i := range replicas {
			replicas[i].Share = 1 / float64(len(replicas))
		}
	}
}

// exchange is a change of one layer under equal shares. A replica of expert is added to rank to, in the slot of evict
// (-1 if a slot is free). If removeSource is set, the replica of expert on rank from is removed, and if swap is set
// too, evict takes its slot there.
type exchange struct {
	expert, from, to, evict int
	removeSource, swap      bool
}

// Limits of the searches for one exchange and for a way out of a local optimum.
const (
	maxExchangeSources = 3  // most loaded ranks tried as the source
	maxExchangeTargets = 8  // least loaded ranks tried as the target
	maxEscapeTargets   = 4  // ranks tried as the target of the forced copy of escapeLocalOptimum
	maxEscapeExchanges = 12 // exchanges that may follow the forced copy
)

// improveEvenSplit applies one exchange that lowers the imbalance of the layer: a copy, a transfer or a swap between one
// of the most and one of the least loaded ranks. It takes the most loaded rank that has such an exchange, and of its
// exchanges the one that lowers the imbalance most. Copies alone do not suffice under equal shares: the load
// of a popular expert on a rank falls only with more replicas, and that of an unpopular one only by moving it.
func (s *search) improveEvenSplit(l *layerSearch) ([]Move, bool) {
	byLoad := make([]int, len(l.loads))
	for r := range byLoad {
		byLoad[r] = r
	}
	rankTime := func(r int) float64 { return l.loads[r] / planningSpeed(s.speeds, r) }
	slices.SortFunc(byLoad, func(a, b int) int { return cmp.Or(cmp.Compare(rankTime(a), rankTime(b)), cmp.Compare(a, b)) })
	initial := s.imbalance(l.loads)
	lowest := initial * (1 - minGainRatio/float64(len(l.loads)))
	for i := len(byLoad) - 1; i >= max(len(byLoad)-maxExchangeSources, 0); i-- {
		var best exchange
		found := false
		for _, to := range byLoad[:min(maxExchangeTargets, i)] {
			s.candidates = s.appendExchanges(s.candidates[:0], l, byLoad[i], to)
			for _, x := range s.candidates {
				s.loadChanges = l.appendLoadChanges(s.loadChanges[:0], x)
				if after := initial + s.imbalanceChange(l, s.loadChanges); after < lowest {
					best, lowest, found = x, after, true
				}
			}
		}
		if found {
			return l.applyExchange(best), true
		}
	}
	return nil, false
}

// escapeLocalOptimum leaves a state that no single exchange improves: it copies the heaviest expert of the most loaded
// rank to a lightly loaded rank, although that overloads the target, and lets exchanges follow. For example, an expert
// whose two replicas each have 1.28 times the mean load of a rank needs a third one, which fits nowhere until its rank
// has given up half of its experts. All is undone unless the imbalance has fallen at the end.
func (s *search) escapeLocalOptimum(l *layerSearch) ([]Move, bool) {
	byLoad := make([]int, len(l.loads))
	for r := range byLoad {
		byLoad[r] = r
	}
	rankTime := func(r int) float64 { return l.loads[r] / planningSpeed(s.speeds, r) }
	slices.SortFunc(byLoad, func(a, b int) int { return cmp.Or(cmp.Compare(rankTime(a), rankTime(b)), cmp.Compare(a, b)) })
	hottest := byLoad[len(byLoad)-1]
	perReplica := func(e int) float64 { return l.experts[e] / float64(len(l.layer[e])) }
	heaviest := -1
	for _, e := range l.onRank[hottest] {
		if heaviest < 0 || perReplica(e) > perReplica(heaviest) {
			heaviest = e
		}
	}
	if heaviest < 0 {
		return nil, false
	}
	imbalanceBefore, savedBudget, savedStaged, savedLayerStaged := s.imbalance(l.loads), s.budget, s.staged, l.staged
	savedLayer, savedLoads, savedOnRank := l.layer.clone(), l.loads, l.onRank
	defer func() { s.budget, s.staged, l.staged = savedBudget, savedStaged, savedLayerStaged }()
	for _, to := range byLoad[:min(maxEscapeTargets, len(byLoad)-1)] {
		s.budget, s.staged, l.staged = savedBudget, savedStaged, savedLayerStaged
		evict := -1
		if len(l.onRank[to]) >= s.config.SlotsPerRank {
			evict = l.evictionCandidate(to, func(e, _ int) float64 { return perReplica(e) })
		}
		if slices.Contains(l.onRank[to], heaviest) || s.stagingFull(l, to) ||
			evict < 0 && len(l.onRank[to]) >= s.config.SlotsPerRank {
			continue
		}
		s.staged, l.staged = slices.Clone(savedStaged), slices.Clone(savedLayerStaged)
		l.onRank = make([][]int, len(savedOnRank))
		for r := range savedOnRank {
			l.onRank[r] = slices.Clone(savedOnRank[r])
		}
		moves := l.applyExchange(exchange{heaviest, hottest, to, evict, false, false})
		s.countMoves(l, moves)
		for range maxEscapeExchanges {
			next, ok := []Move(nil), false
			if s.budget != 0 {
				next, ok = s.improveEvenSplit(l)
			}
			if !ok {
				break
			}
			moves = append(moves, next...)
			s.countMoves(l, next)
		}
		if s.imbalance(l.loads) < imbalanceBefore*(1-minGainRatio/float64(len(savedLoads))) {
			return moves, true
		}
		copy(l.layer, savedLayer.clone())
		l.loads, l.onRank = savedLoads, savedOnRank
	}
	return nil, false
}

// appendExchanges appends the possible exchanges between two ranks within the limits.
func (s *search) appendExchanges(out []exchange, l *layerSearch, from, to int) []exchange {
	if s.stagingFull(l, to) {
		return out
	}
	for _, e := range l.onRank[from] {
		if slices.Contains(l.onRank[to], e) {
			continue
		}
		if len(l.onRank[to]) < s.config.SlotsPerRank {
			out = append(out, exchange{e, from, to, -1, false, false}, exchange{e, from, to, -1, true, false})
		}
		for _, f := range l.onRank[to] {
			if len(l.layer[f]) > 1 {
				out = append(out, exchange{e, from, to, f, false, false}, exchange{e, from, to, f, true, false})
			}
			if (s.budget < 0 || s.budget >= 2) && !s.stagingFull(l, from) &&
				!slices.Contains(l.onRank[from], f) {
				out = append(out, exchange{e, from, to, f, true, true})
			}
		}
	}
	return out
}

// loadChange is the change of the load of one rank.
type loadChange struct {
	rank   int
	change float64
}

// imbalanceChange returns by how much changes of the loads change the imbalance of a layer. Each rank occurs once.
func (s *search) imbalanceChange(l *layerSearch, changes []loadChange) float64 {
	sum := 0.0
	for _, c := range changes {
		sum += c.change * (2*l.loads[c.rank] + c.change) / planningSpeed(s.speeds, c.rank)
	}
	return sum
}

// appendLoadChanges appends the changes of the loads that an exchange causes, one for each rank.
func (l *layerSearch) appendLoadChanges(out []loadChange, x exchange) []loadChange {
	removeFrom, evictTo := -1, -1
	if x.removeSource {
		removeFrom = x.from
	}
	if x.swap {
		evictTo = x.from
	}
	out = l.appendReplicaChange(out, x.expert, x.to, removeFrom)
	if x.evict >= 0 {
		out = l.appendReplicaChange(out, x.evict, evictTo, x.to)
	}
	return out
}

// appendReplicaChange appends the changes of the loads if a replica of an expert is added to one rank and removed from
// another one, -1 for none.
func (l *layerSearch) appendReplicaChange(out []loadChange, expert, added, removed int) []loadChange {
	before := len(l.layer[expert])
	replicas := before
	if added >= 0 {
		replicas++
	}
	if removed >= 0 {
		replicas--
	}
	share := l.experts[expert] / float64(replicas)
	for _, r := range l.layer[expert] {
		out = addLoadChange(out, r.Rank, share-l.experts[expert]/float64(before))
	}
	if added >= 0 {
		out = addLoadChange(out, added, share)
	}
	if removed >= 0 {
		out = addLoadChange(out, removed, -share)
	}
	return out
}

// addLoadChange adds a change to that of its rank.
func addLoadChange(changes []loadChange, rank int, change float64) []loadChange {
	for i := range changes {
		if changes[i].rank == rank {
			changes[i].change += change
			return changes
		}
	}
	return append(changes, loadChange{rank, change})
}

// loadsAfter returns the loads of the ranks after an exchange.
func (l *layerSearch) loadsAfter(x exchange) []float64 {
	loads := slices.Clone(l.loads)
	for _, c := range l.appendLoadChanges(nil, x) {
		loads[c.rank] += c.change
	}
	return loads
}

// applyExchange applies an exchange and returns the replicas to load.
func (l *layerSearch) applyExchange(x exchange) []Move {
	l.loads = l.loadsAfter(x)
	l.addReplica(x.expert, x.to)
	moves := []Move{{Layer: l.index, Expert: x.expert, Rank: x.to, Evict: x.evict}}
	if x.removeSource {
		l.removeReplica(x.expert, x.from)
	}
	if x.evict >= 0 {
		if x.swap {
			l.addReplica(x.evict, x.from)
			moves = append(moves, Move{Layer: l.index, Expert: x.evict, Rank: x.from, Evict: x.expert})
		}
		l.removeReplica(x.evict, x.to)
	}
	splitEvenly(Layer{l.layer[x.expert]})
	if x.evict >= 0 {
		splitEvenly(Layer{l.layer[x.evict]})
	}
	return moves
}

func (l *layerSearch) addReplica(expert, rank int) {
	l.layer[expert] = insert(l.layer[expert], Replica{Rank: rank})
	l.onRank[rank] = append(l.onRank[rank], expert)
}

func (l *layerSearch) removeReplica(expert, rank int) {
	l.layer[expert] = slices.DeleteFunc(l.layer[expert], func(r Replica) bool { return r.Rank == rank })
	l.onRank[rank] = slices.DeleteFunc(l.onRank[rank], func(e int) bool { return e == expert })
}
