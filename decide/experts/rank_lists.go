package experts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// maxRankListEntries limits the sets, ranks and experts of one encoded list: 256 ranks with 64 experts in 256 sets.
const maxRankListEntries = 4 << 20

// Encode returns the lists in a compact form: the number of sets, for each set the number of ranks, and for each rank the
// number of experts and the experts, as unsigned varints.
func (l RankLists) Encode() []byte {
	out := binary.AppendUvarint(nil, uint64(len(l)))
	for _, ranks := range l {
		out = binary.AppendUvarint(out, uint64(len(ranks)))
		for _, held := range ranks {
			out = binary.AppendUvarint(out, uint64(len(held)))
			for _, expert := range held {
				out = binary.AppendUvarint(out, uint64(expert))
			}
		}
	}
	return out
}

// ErrMalformedRankLists reports rank lists that cannot be decoded.
var ErrMalformedRankLists = errors.New("malformed rank lists; run the same version on control instances and rank processes")

// DecodeRankLists decodes the result of Encode.
func DecodeRankLists(data []byte) (RankLists, error) {
	entries := 0
	next := func() (int, error) {
		v, n := binary.Uvarint(data)
		if entries++; n <= 0 || v > maxRankListEntries || entries > maxRankListEntries {
			return 0, ErrMalformedRankLists
		}
		data = data[n:]
		return int(v), nil
	}
	// Each element takes a byte or more, so a length beyond the remaining bytes is malformed.
	length := func() (int, error) {
		n, err := next()
		if err == nil && n > len(data) {
			err = ErrMalformedRankLists
		}
		return n, err
	}
	sets, err := length()
	if err != nil {
		return nil, err
	}
	lists := make(RankLists, sets)
	for set := range lists {
		ranks, err := length()
		if err != nil {
			return nil, err
		}
		lists[set] = make([][]int, ranks)
		for rank := range lists[set] {
			count, err := length()
			if err != nil {
				return nil, err
			}
			held := make([]int, count)
			for i := range held {
				if held[i], err = next(); err != nil {
					return nil, err
				}
			}
			lists[set][rank] = held
		}
	}
	return lists, nil
}

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
