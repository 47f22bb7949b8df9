package experts

import (
	"cmp"
	"slices"
)

// spread sets equal shares for all replicas of each expert: the split of an engine that cannot follow shares.
func spread(layer Layer) {
	for _, replicas := range layer {
		for i := range replicas {
			replicas[i].Share = 1 / float64(len(replicas))
		}
	}
}

// exchange is a change of one layer under equal shares. Expert goes to rank To, where Evict gives up its slot. If Leave is
// set, Expert leaves From, and if Swap is set too, Evict takes its slot there.
type exchange struct {
	expert, from, to, evict int
	leave, swap             bool
}

// Limits of the search for one exchange.
const (
	evenHotTries  = 3
	evenColdTries = 8
	leapTries     = 4  // ranks to which a leap copies
	leapExchanges = 12 // exchanges that follow the copy
)

// improveEven makes the exchange that evens out the layer most: a copy, a transfer or a swap between one of the most and
// one of the least loaded ranks. Copies alone do not suffice here, because a popular expert's share on a rank can only be
// lowered by replicas, and an unpopular one's only by moving it.
func (w *work) improveEven(l *layerWork) ([]Move, bool) {
	order := make([]int, len(l.loads))
	for r := range order {
		order[r] = r
	}
	level := func(r int) float64 { return l.loads[r] / planningSpeed(w.speeds, r) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(level(a), level(b)), cmp.Compare(a, b)) })
	squares := w.squares(l.loads)
	least := squares * (1 - minGain/float64(len(l.loads)))
	for i := len(order) - 1; i >= max(len(order)-evenHotTries, 0); i-- {
		var best exchange
		found := false
		for _, to := range order[:min(evenColdTries, i)] {
			for _, x := range w.exchanges(l, order[i], to) {
				if after := w.squares(l.after(x)); after < least {
					best, least, found = x, after, true
				}
			}
		}
		if found {
			return l.apply(best), true
		}
	}
	return nil, false
}

// leap leaves a state that no single exchange improves: it copies the heaviest expert of the most loaded rank to a cold rank
// although that rank becomes too full, and lets exchanges follow. For example, an expert whose two replicas each carry 1.28
// of the mean needs a third one, which fits nowhere until its rank has given up half of its experts. All is undone unless
// the layer is more even at last.
func (w *work) leap(l *layerWork) ([]Move, bool) {
	order := make([]int, len(l.loads))
	for r := range order {
		order[r] = r
	}
	level := func(r int) float64 { return l.loads[r] / planningSpeed(w.speeds, r) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(level(a), level(b)), cmp.Compare(a, b)) })
	hot := order[len(order)-1]
	per := func(e int) float64 { return l.experts[e] / float64(len(l.layer[e])) }
	heaviest := -1
	for _, e := range l.held[hot] {
		if heaviest < 0 || per(e) > per(heaviest) {
			heaviest = e
		}
	}
	if heaviest < 0 {
		return nil, false
	}
	before, budget, staged, stagedHere := w.squares(l.loads), w.budget, w.staged, l.staged
	layer, loads, held := l.layer.clone(), l.loads, l.held
	defer func() { w.budget, w.staged, l.staged = budget, staged, stagedHere }()
	for _, to := range order[:min(leapTries, len(order)-1)] {
		w.budget, w.staged, l.staged = budget, staged, stagedHere
		evict := -1
		if len(l.held[to]) >= w.config.SlotsPerRank {
			evict = l.leastNeeded(to, func(e, _ int) float64 { return per(e) })
		}
		if slices.Contains(l.held[to], heaviest) || w.loadsNoMore(l, to) ||
			evict < 0 && len(l.held[to]) >= w.config.SlotsPerRank {
			continue
		}
		w.staged, l.staged = slices.Clone(staged), slices.Clone(stagedHere)
		l.held = make([][]int, len(held))
		for r := range held {
			l.held[r] = slices.Clone(held[r])
		}
		moves := l.apply(exchange{heaviest, hot, to, evict, false, false})
		w.spend(l, moves)
		for range leapExchanges {
			more, ok := []Move(nil), false
			if w.budget != 0 {
				more, ok = w.improveEven(l)
			}
			if !ok {
				break
			}
			moves = append(moves, more...)
			w.spend(l, more)
		}
		if w.squares(l.loads) < before*(1-minGain/float64(len(loads))) {
			return moves, true
		}
		copy(l.layer, layer.clone())
		l.loads, l.held = loads, held
	}
	return nil, false
}

// exchanges lists the possible exchanges between two ranks within the limits.
func (w *work) exchanges(l *layerWork, from, to int) []exchange {
	if w.loadsNoMore(l, to) {
		return nil
	}
	var out []exchange
	for _, e := range l.held[from] {
		if slices.Contains(l.held[to], e) {
			continue
		}
		if len(l.held[to]) < w.config.SlotsPerRank {
			out = append(out, exchange{e, from, to, -1, false, false}, exchange{e, from, to, -1, true, false})
		}
		for _, f := range l.held[to] {
			if len(l.layer[f]) > 1 {
				out = append(out, exchange{e, from, to, f, false, false}, exchange{e, from, to, f, true, false})
			}
			if (w.budget < 0 || w.budget >= 2) && !w.loadsNoMore(l, from) &&
				!slices.Contains(l.held[from], f) {
				out = append(out, exchange{e, from, to, f, true, true})
			}
		}
	}
	return out
}

// after returns the loads of the ranks after an exchange.
func (l *layerWork) after(x exchange) []float64 {
	loads := slices.Clone(l.loads)
	shift := func(expert int, added, removed int) {
		n := len(l.layer[expert])
		size := n
		if added >= 0 {
			size++
		}
		if removed >= 0 {
			size--
		}
		for _, r := range l.layer[expert] {
			loads[r.Rank] += l.experts[expert] * (1/float64(size) - 1/float64(n))
		}
		if added >= 0 {
			loads[added] += l.experts[expert] / float64(size)
		}
		if removed >= 0 {
			loads[removed] -= l.experts[expert] / float64(size)
		}
	}
	leave, back := -1, -1
	if x.leave {
		leave = x.from
	}
	if x.swap {
		back = x.from
	}
	shift(x.expert, x.to, leave)
	if x.evict >= 0 {
		shift(x.evict, back, x.to)
	}
	return loads
}

// apply makes an exchange and returns the replicas to load.
func (l *layerWork) apply(x exchange) []Move {
	l.loads = l.after(x)
	l.add(x.expert, x.to)
	moves := []Move{{Layer: l.index, Expert: x.expert, Rank: x.to, Evict: x.evict}}
	if x.leave {
		l.remove(x.expert, x.from)
	}
	if x.evict >= 0 {
		if x.swap {
			l.add(x.evict, x.from)
			moves = append(moves, Move{Layer: l.index, Expert: x.evict, Rank: x.from, Evict: x.expert})
		}
		l.remove(x.evict, x.to)
	}
	spread(Layer{l.layer[x.expert]})
	if x.evict >= 0 {
		spread(Layer{l.layer[x.evict]})
	}
	return moves
}

func (l *layerWork) add(expert, rank int) {
	l.layer[expert] = insert(l.layer[expert], Replica{Rank: rank})
	l.held[rank] = append(l.held[rank], expert)
}

func (l *layerWork) remove(expert, rank int) {
	l.layer[expert] = slices.DeleteFunc(l.layer[expert], func(r Replica) bool { return r.Rank == rank })
	l.held[rank] = slices.DeleteFunc(l.held[rank], func(e int) bool { return e == expert })
}
