package experts

import (
	"cmp"
	"slices"
)

// work is the state that the layers of one plan share.
type work struct {
	config *PlannerConfig
	speeds []float64
	budget int   // replicas that may still be loaded, negative for no limit
	staged []int // replicas loaded per rank
}

// layerWork is one layer while moves are planned.
type layerWork struct {
	index   int
	layer   Layer
	experts []float64 // loads
	loads   []float64 // of the ranks
	held    [][]int   // experts by rank
	staged  []int     // replicas loaded per rank
}

// prepare lists the experts that each rank holds.
func (l *layerWork) prepare(w *work) {
	l.held = make([][]int, w.config.Ranks)
	for e, replicas := range l.layer {
		for _, r := range replicas {
			l.held[r.Rank] = append(l.held[r.Rank], e)
		}
	}
}

// run makes moves until all layers are balanced or a limit is reached. Each move goes to the layer with the largest skew,
// so that a small budget is spent where it saves most step time.
func (w *work) run(queue []*layerWork, skews []float64) (moves []Move, limited bool) {
	for len(queue) > 0 {
		at := 0
		for i := range queue {
			if skews[queue[i].index] > skews[queue[at].index] {
				at = i
			}
		}
		l := queue[at]
		if w.budget == 0 {
			return moves, limited || skews[l.index] > w.config.Stop
		}
		var made []Move
		ok := false
		if skews[l.index] > w.config.Stop {
			if w.config.EvenSplit {
				if made, ok = w.improveEven(l); !ok && skews[l.index] > w.config.Start {
					made, ok = w.leap(l)
				}
			} else {
				made, ok = w.improve(l)
			}
			limited = limited || !ok
		}
		if !ok {
			queue = slices.Delete(queue, at, at+1)
			continue
		}
		skews[l.index] = planningSkew(l.loads, w.speeds)
		moves = append(moves, made...)
		w.spend(l, made)
	}
	return moves, limited
}

// loadsNoMore reports whether a rank has loaded as many replicas as it may.
func (w *work) loadsNoMore(l *layerWork, rank int) bool {
	return w.staged[rank] >= w.config.StagingPerRank || w.config.SparePerLayer > 0 && l.staged[rank] >= w.config.SparePerLayer
}

// spend counts moves against the limits.
func (w *work) spend(l *layerWork, moves []Move) {
	for _, move := range moves {
		w.staged[move.Rank]++
		l.staged[move.Rank]++
		w.budget--
	}
}

// Limits of the search for one move: the first candidates nearly always contain a good one.
const (
	coldTries  = 6
	hotTries   = 4
	moveSweeps = 6
)

// improve makes the move that lowers the layer's largest load: it copies an expert of the most loaded rank to one of the
// least loaded ranks, in place of the replica there that carries least. It reports false if none of the candidates helps.
func (w *work) improve(l *layerWork) ([]Move, bool) {
	hot, cold := 0, make([]int, 0, len(l.loads))
	level := func(r int) float64 { return l.loads[r] / planningSpeed(w.speeds, r) }
	for r := range l.loads {
		if level(r) > level(hot) {
			hot = r
		}
		if speedOf(w.speeds, r) > 0 && !w.loadsNoMore(l, r) {
			cold = append(cold, r)
		}
	}
	slices.SortFunc(cold, func(a, b int) int { return cmp.Or(cmp.Compare(level(a), level(b)), cmp.Compare(a, b)) })
	candidates := slices.Clone(l.held[hot])
	carries := func(e, rank int) float64 {
		for _, r := range l.layer[e] {
			if r.Rank == rank {
				return r.Share * l.experts[e]
			}
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(carries(b, hot), carries(a, hot)), cmp.Compare(a, b))
	})
	total := 0.0
	for _, load := range l.experts {
		total += load
	}
	goal := level(hot) - minGain*total/float64(len(l.loads))
	squares := w.squares(l.loads)
	for _, to := range cold[:min(coldTries, len(cold))] {
		if level(to) >= goal {
			break
		}
		for _, e := range candidates[:min(hotTries, len(candidates))] {
			if carries(e, hot) <= 0 || slices.Contains(l.held[to], e) {
				continue
			}
			evict := -1
			if len(l.held[to]) >= w.config.SlotsPerRank {
				if evict = l.leastNeeded(to, carries); evict < 0 {
					break
				}
			}
			move := Move{Layer: l.index, Expert: e, Rank: to, Evict: evict}
			if w.try(l, move, squares) {
				return []Move{move}, true
			}
		}
	}
	return nil, false
}

// leastNeeded returns the expert on the rank that has other replicas and carries least there, -1 if there is none.
func (l *layerWork) leastNeeded(rank int, carries func(e, rank int) float64) int {
	least := -1
	for _, e := range l.held[rank] {
		if len(l.layer[e]) > 1 && (least < 0 || carries(e, rank) < carries(least, rank)) {
			least = e
		}
	}
	return least
}

// squares sums the squares of the ranks' loads by speed: the measure that Balance lowers. Where several ranks are equally
// loaded it falls with each good move, while the largest load falls only with the last.
func (w *work) squares(loads []float64) float64 {
	sum := 0.0
	for r, load := range loads {
		sum += load * load / planningSpeed(w.speeds, r)
	}
	return sum
}

// try makes the move and keeps it if the loads are more even then.
func (w *work) try(l *layerWork, m Move, squares float64) bool {
	before, loads := l.layer.clone(), slices.Clone(l.loads)
	l.layer[m.Expert] = insert(l.layer[m.Expert], Replica{Rank: m.Rank})
	if m.Evict >= 0 {
		e := m.Evict
		at := slices.IndexFunc(l.layer[e], func(r Replica) bool { return r.Rank == m.Rank })
		share := l.layer[e][at].Share
		l.layer[e] = slices.Delete(l.layer[e], at, at+1)
		loads[m.Rank] -= share * l.experts[e]
		first := &l.layer[e][0]
		first.Share += share
		loads[first.Rank] += share * l.experts[e]
	}
	balance(l.layer, l.experts, w.speeds, loads, moveSweeps)
	after := w.squares(loads)
	// The mean square of a balanced layer is total² / ranks, the least possible.
	if after >= squares*(1-minGain/float64(len(loads))) {
		copy(l.layer, before)
		return false
	}
	l.loads = loads
	if m.Evict >= 0 {
		at := slices.Index(l.held[m.Rank], m.Evict)
		l.held[m.Rank] = slices.Delete(l.held[m.Rank], at, at+1)
	}
	l.held[m.Rank] = append(l.held[m.Rank], m.Expert)
	return true
}
