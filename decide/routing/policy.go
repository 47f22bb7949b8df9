package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// sample is the number of candidates examined at a time. 300 took 20 µs in BenchmarkPick, mostly waiting for memory;
	// the bound of a decision is 5 µs.
	sample = 48
	// enough is the number of candidates with a slot within this instance's share that ends the search.
	enough = 4
	// maxExamined bounds the candidates of one decision when most are full or lack the target.
	maxExamined = 1024
	// turnover is the expected share of the running requests that ends, and so is replaced by new ones, between two
	// load reports. The choice is spread over as many slots as all instances fill in that time.
	turnover = 0.5
	// affinitySlack is how much more load, as a share of the limit, is accepted for a server that holds the whole
	// prefix.
	affinitySlack = 0.15
)

// reserve is the share of a server's limit that is kept free of requests of each priority.
var reserve = [...]float32{fleet.PriorityLow: 0.15, fleet.PriorityNormal: 0.05, fleet.PriorityHigh: 0}

// Balanced is the system's own policy.
type Balanced struct {
	affinity *Affinity
	latency  atomic.Pointer[map[fleet.DataCentre]time.Duration]
}

var _ Policy = (*Balanced)(nil)

// New returns the system's policy. affinity may be nil.
func New(affinity *Affinity) *Balanced { return &Balanced{affinity: affinity} }

// SetLatency replaces the measured network latency to other data centres. The map must not be changed afterwards.
func (b *Balanced) SetLatency(latency map[fleet.DataCentre]time.Duration) { b.latency.Store(&latency) }

// Pick implements Policy.
func (b *Balanced) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	if s.Evacuated {
		return b.spill(s, r, rng, none(ReasonLocalOut))
	}
	p := pick{
		snapshot:  s,
		request:   r,
		rng:       rng,
		positions: s.Candidates(r.Target),
		instances: float32(max(s.Instances, 1)),
		kept:      1 - reserve[min(int(r.Priority), len(reserve)-1)],
		decision:  none(ReasonUnknown),
		beyond:    -1,
	}
	p.search()
	d := &p.decision
	switch {
	case p.count > 0:
		level := p.level()
		if b.affinity == nil || len(r.Prefix) == 0 || !p.holder(b.affinity, level) {
			p.choose(level)
		}
		d.Reason = ReasonChosen
	case p.beyond >= 0:
		// Every free slot belongs to another instance's share. The agent refuses what is too much, so trying one costs a
		// round trip at most.
		d.Server, d.Reason = p.beyond, ReasonChosen
		d.Explain.OverShare = true
	default:
		d.Explain.Dropped[ReasonNoHeadroom] = d.Explain.Considered
		d.Reason = lastReason(&d.Explain.Dropped)
		return b.spill(s, r, rng, *d)
	}
	return *d
}

// pick is the working state of one decision.
type pick struct {
	snapshot  *fleet.Snapshot
	request   *Request
	rng       *rand.Rand
	positions []int
	instances float32
	kept      float32

	within    [sample + enough]estimate // candidates with a slot within this instance's share
	count     int
	usual     float32 // highest limit counted on
	beyond    int     // random server with a free slot beyond the share, -1 if none
	beyondFew int
	decision  Decision
}

// search examines candidates until enough have a free slot. Each pass takes one candidate of each run of neighbours, a
// random one, so that all are equally likely, neighbours (which often share a group) are not examined together, and a
// regular order of the servers cannot hide some of them.
func (p *pick) search() {
	n := len(p.positions)
	stride := (n + sample - 1) / sample
	var word uint64
	if stride > 1 {
		word = p.rng.Uint64()
	}
	examined := 0
	for pass := 0; pass < stride && p.count < enough && examined < maxExamined; pass++ {
		state := word
		for first := 0; first < n; first += stride {
			// SplitMix64 gives each run its own start; passes go on from there. A plain multiplicative sequence is too
			// regular: it preferred every third server.
			state += 0x9E3779B97F4A7C15
			mixed := (state ^ state>>30) * 0xBF58476D1CE4E5B9
			mixed = (mixed ^ mixed>>27) * 0x94D049BB133111EB
			at := int(mixed>>32*uint64(stride)>>32) + pass
			if at >= stride {
				at -= stride
			}
			if first+at < n {
				p.examine(p.positions[first+at])
				examined++
			}
		}
	}
}

func (p *pick) examine(position int) {
	server := &p.snapshot.Servers[position]
	x := &p.decision.Explain
	if reason := filter(server, p.request); reason != ReasonChosen {
		x.Dropped[reason]++
		return
	}
	x.Considered++
	e := &p.within[min(p.count, len(p.within)-1)]
	if !e.observe(server, position, p.kept, p.instances) {
		x.Distrusted++
	}
	switch {
	case e.share > 0:
		p.count = min(p.count+1, len(p.within))
	case e.free > 0:
		p.beyondFew++
		if p.rng.IntN(p.beyondFew) == 0 {
			p.beyond = position
		}
	}
}

// level bounds outliers and returns the load up to which the candidates are filled.
func (p *pick) level() float32 {
	all := p.within[:p.count]
	p.usual = highestUsual(all)
	var levels histogram
	for i := range all {
		if all[i].limit > p.usual {
			all[i].bound(p.usual, p.instances)
		}
		levels.add(&all[i])
	}
	return levels.level()
}

// choose picks one of the candidates at random, with a weight by the free slots below the level, so that instances that
// see the same reports do not all choose the same server.
func (p *pick) choose(level float32) {
	var total float32
	for i := range p.count {
		total += p.within[i].chance(level)
	}
	point := p.rng.Float32() * total
	last := &p.within[0]
	for i := range p.count {
		w := p.within[i].chance(level)
		if w <= 0 {
			continue
		}
		last = &p.within[i]
		if point -= w; point < 0 {
			break
		}
	}
	p.take(last)
}

// chance returns the weight of a server in the random choice: its free slots below the level.
func (e *estimate) chance(level float32) float32 {
	if e.share <= 0 {
		return 0 // an outlier whose bounded limit is used up
	}
	return max(level-e.load, 0) * e.limit
}

func (p *pick) take(e *estimate) {
	p.decision.Server = int(e.position)
	p.decision.Explain.Load = e.load
}

// holder picks a server that may hold the request's prefix, if one has a free slot within this instance's share and is
// not much more loaded than the level. All instances prefer the same holder, so the load is extrapolated: each of them
// is taken to have sent there what this one has.
func (p *pick) holder(affinity *Affinity, level float32) bool {
	var found [ways]int32
	blocks, n := affinity.deepest(p.snapshot, p.request.Prefix, p.request.Now, &found)
	p.decision.Explain.Holders = uint16(n)
	var best estimate
	lowest := level + affinitySlack*float32(blocks)/float32(min(len(p.request.Prefix), MaxPrefixBlocks))
	for _, position := range found[:n] {
		server := &p.snapshot.Servers[position]
		if filter(server, p.request) != ReasonChosen {
			continue
		}
		var e estimate
		e.observe(server, int(position), p.kept, p.instances)
		if e.limit > p.usual {
			e.bound(p.usual, p.instances)
		}
		if e.share <= 0 {
			continue
		}
		if load := max((e.running+e.since*p.instances)/max(e.limit, 1), e.load); load < lowest {
			best, lowest = e, load
		}
	}
	if best.limit == 0 {
		return false
	}
	p.decision.Explain.Blocks = uint16(blocks)
	p.take(&best)
	return true
}
