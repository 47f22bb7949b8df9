package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// sampleSize is the number of candidates examined in one pass. 300 took 20 µs in BenchmarkPick, mostly waiting for
	// memory; a decision may take 5 µs.
	sampleSize = 48
	// enoughCandidates is the number of candidates with a free slot within this instance's share that ends the search.
	enoughCandidates = 4
	// maxExamined bounds the candidates examined for one decision when most are full or lack the target.
	maxExamined = 1024
	// turnoverRatio is the part of the running requests expected to end, and be replaced by new ones, between two load
	// reports. The choice is spread over as many slots as all instances fill in that time.
	turnoverRatio = 0.5
	// affinitySlackRatio is the additional load, as a part of the limit, accepted for a server that holds the whole prefix.
	affinitySlackRatio = 0.15
)

// reservedRatio is the part of a server's limit that requests of each priority may not use.
var reservedRatio = [...]float32{fleet.PriorityLow: 0.15, fleet.PriorityNormal: 0.05, fleet.PriorityHigh: 0}

// Balanced is the production policy: it spreads requests by estimated load and prefers servers that hold the prompt's
// prefix.
type Balanced struct {
	affinity *Affinity
	latency  atomic.Pointer[map[fleet.DataCentre]time.Duration]
}

var _ Policy = (*Balanced)(nil)

// NewBalanced returns the production policy. Without affinity (nil) it ignores prefixes.
func NewBalanced(affinity *Affinity) *Balanced { return &Balanced{affinity: affinity} }

// SetLatency replaces the measured network latencies to other data centres. The map must not be modified afterwards.
func (b *Balanced) SetLatency(latency map[fleet.DataCentre]time.Duration) { b.latency.Store(&latency) }

// Pick implements Policy.
func (b *Balanced) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	if s.Evacuated {
		return b.spillOver(s, r, rng, noServer(ReasonLocalEvacuated))
	}
	p := pick{
		snapshot:    s,
		request:     r,
		rng:         rng,
		positions:   s.Candidates(r.Target),
		instances:   float32(max(s.Instances, 1)),
		usableRatio: 1 - reservedRatio[min(int(r.Priority), len(reservedRatio)-1)],
		decision:    noServer(ReasonUnknown),
		overShare:   -1,
	}
	p.search()
	d := &p.decision
	switch {
	case p.count > 0:
		level := p.fillLevel()
		if b.affinity == nil || len(r.Prefix) == 0 || !p.chooseHolder(b.affinity, level) {
			p.chooseRandom(level)
		}
		d.Reason = ReasonChosen
	case p.overShare >= 0:
		// Every free slot belongs to another instance's share. The agent refuses excess requests, so an attempt costs at most a
		// round trip.
		d.Server, d.Reason = p.overShare, ReasonChosen
		d.Explain.OverShare = true
	default:
		d.Explain.Dropped[ReasonNoHeadroom] = d.Explain.Considered
		d.Reason = lastDropReason(&d.Explain.Dropped)
		return b.spillOver(s, r, rng, *d)
	}
	return *d
}

// pick is the working state of one decision.
type pick struct {
	snapshot    *fleet.Snapshot
	request     *Request
	rng         *rand.Rand
	positions   []int
	instances   float32
	usableRatio float32

	candidates     [sampleSize + enoughCandidates]estimate // candidates with a slot within this instance's share
	count          int
	outlierLimit   float32 // highest limit used
	overShare      int     // random server with a free slot beyond this instance's share, -1 if none
	overShareCount int
	decision       Decision
}

// search examines candidates until enough have a free slot. Each pass examines one random candidate of each run of stride
// neighbours, so that all are equally likely, neighbours (which often share a group) are not examined together, and no
// server is missed because of a regular order of the servers.
func (p *pick) search() {
	n := len(p.positions)
	stride := (n + sampleSize - 1) / sampleSize
	var seed uint64
	if stride > 1 {
		seed = p.rng.Uint64()
	}
	examined := 0
	for pass := 0; pass < stride && p.count < enoughCandidates && examined < maxExamined; pass++ {
		state := seed
		for first := 0; first < n; first += stride {
			// SplitMix64 gives each run its own offset, from which the passes continue. A plain multiplicative sequence is too
			// regular: it preferred every third server.
			state += 0x9E3779B97F4A7C15
			mixed := (state ^ state>>30) * 0xBF58476D1CE4E5B9
			mixed = (mixed ^ mixed>>27) * 0x94D049BB133111EB
			offset := int(mixed>>32*uint64(stride)>>32) + pass
			if offset >= stride {
				offset -= stride
			}
			if first+offset < n {
				p.examine(p.positions[first+offset])
				examined++
			}
		}
	}
}

func (p *pick) examine(position int) {
	server := &p.snapshot.Servers[position]
	explain := &p.decision.Explain
	if reason := filterReason(server, p.request); reason != ReasonChosen {
		explain.Dropped[reason]++
		return
	}
	explain.Considered++
	e := &p.candidates[min(p.count, len(p.candidates)-1)]
	if !e.update(server, position, p.usableRatio, p.instances) {
		explain.Implausible++
	}
	switch {
	case e.freeShare > 0:
		p.count = min(p.count+1, len(p.candidates))
	case e.free > 0:
		p.overShareCount++
		if p.rng.IntN(p.overShareCount) == 0 {
			p.overShare = position
		}
	}
}

// fillLevel lowers the limits of outliers and returns the load up to which the candidates are filled.
func (p *pick) fillLevel() float32 {
	all := p.candidates[:p.count]
	p.outlierLimit = outlierLimit(all)
	var histogram loadHistogram
	for i := range all {
		if all[i].limit > p.outlierLimit {
			all[i].setLimit(p.outlierLimit, p.instances)
		}
		histogram.add(&all[i])
	}
	return histogram.fillLevel()
}

// chooseRandom picks one of the candidates at random, weighted by the free slots below the level, so that instances with
// the same reports do not all choose the same server.
func (p *pick) chooseRandom(level float32) {
	var total float32
	for i := range p.count {
		total += p.candidates[i].randomWeight(level)
	}
	point := p.rng.Float32() * total
	last := &p.candidates[0]
	for i := range p.count {
		w := p.candidates[i].randomWeight(level)
		if w <= 0 {
			continue
		}
		last = &p.candidates[i]
		if point -= w; point < 0 {
			break
		}
	}
	p.setServer(last)
}

// randomWeight returns the weight of a server in the random choice: its free slots below the level.
func (e *estimate) randomWeight(level float32) float32 {
	if e.freeShare <= 0 {
		return 0 // an outlier whose lowered limit is used up
	}
	return max(level-e.load, 0) * e.limit
}

func (p *pick) setServer(e *estimate) {
	p.decision.Server = int(e.position)
	p.decision.Explain.Load = e.load
}

// chooseHolder picks a server that may hold the request's prefix, if one has a free slot within this instance's share and
// a load not far above the level. All instances prefer the same holder, so the load is extrapolated: each of them is
// assumed to have sent as many requests there as this one. It returns false if it picked none.
func (p *pick) chooseHolder(affinity *Affinity, level float32) bool {
	var found [ways]int32
	blocks, n := affinity.deepestMatch(p.snapshot, p.request.Prefix, p.request.Now, &found)
	p.decision.Explain.Holders = uint16(n)
	var best estimate
	lowest := level + affinitySlackRatio*float32(blocks)/float32(min(len(p.request.Prefix), MaxPrefixBlocks))
	for _, position := range found[:n] {
		server := &p.snapshot.Servers[position]
		if filterReason(server, p.request) != ReasonChosen {
			continue
		}
		var e estimate
		e.update(server, int(position), p.usableRatio, p.instances)
		if e.limit > p.outlierLimit {
			e.setLimit(p.outlierLimit, p.instances)
		}
		if e.freeShare <= 0 {
			continue
		}
		if load := max((e.running+e.sinceReport*p.instances)/max(e.limit, 1), e.load); load < lowest {
			best, lowest = e, load
		}
	}
	if best.limit == 0 {
		return false
	}
	p.decision.Explain.Blocks = uint16(blocks)
	p.setServer(&best)
	return true
}
