package experts

import (
	"fmt"
	"slices"
)

// RankLists returns the experts that each rank holds, by set and rank.
func (m *Map) RankLists(ranks int) RankLists {
	lists := make(RankLists, len(m.Layers))
	for l, layer := range m.Layers {
		lists[l] = make([][]int, ranks)
		for expert, replicas := range layer {
			for _, r := range replicas {
				lists[l][r.Rank] = append(lists[l][r.Rank], expert)
			}
		}
	}
	return lists
}

// MapFromRankLists returns the map in which the tokens of each expert are split evenly over its replicas. It fails if
// an expert is out of range or on no rank.
func MapFromRankLists(lists RankLists, experts int) (*Map, error) {
	m := &Map{Layers: make([]Layer, len(lists))}
	for l, ranks := range lists {
		layer := make(Layer, experts)
		for rank, held := range ranks {
			for _, expert := range held {
				if expert < 0 || expert >= experts {
					return nil, fmt.Errorf("set %d: expert %d of rank %d does not exist", l, expert, rank)
				}
				layer[expert] = append(layer[expert], Replica{Rank: rank})
			}
		}
		for expert := range layer {
			if len(layer[expert]) == 0 {
				return nil, fmt.Errorf("set %d: expert %d is on no rank", l, expert)
			}
			slices.SortFunc(layer[expert], func(a, b Replica) int { return a.Rank - b.Rank })
		}
		splitEvenly(layer)
		m.Layers[l] = layer
	}
	return m, nil
}
