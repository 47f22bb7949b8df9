package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// maxConsidered bounds the cost of a decision. With more candidates, a random run of this many is examined.
	maxConsidered = 512
	// fewest and fewShare give the number of least loaded servers among which the choice is random: at least fewest,
	// or one in fewShare.
	fewest   = 3
	fewShare = 4
	// affinitySlack is how much more load, as a share of the limit, is accepted for a server that holds the whole
	// prefix.
	affinitySlack = 0.25

	buckets     = 64   // histogram of loads
	bucketRange = 1.25 // loads above this share the last bucket
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
	if s.LocalOut {
		return b.spill(s, r, rng, none(ReasonLocalOut))
	}
	d := none(ReasonUnknown)
	var scratch [maxConsidered]estimate
	few := b.candidates(s, r, rng, &d.Explain, &scratch)
	if d.Explain.Considered == 0 {
		d.Reason = lastReason(&d.Explain.Dropped)
		return b.spill(s, r, rng, d)
	}
	if !b.choose(s, r, rng, few, &d) {
		d.Explain.Dropped[ReasonNoHeadroom] = d.Explain.Considered
		d.Reason = ReasonNoHeadroom
		return b.spill(s, r, rng, d)
	}
	return d
}

// candidates filters the servers that have the target's name and estimates their load.
func (b *Balanced) candidates(s *fleet.Snapshot, r *Request, rng *rand.Rand, x *Explain, scratch *[maxConsidered]estimate) []estimate {
	positions := s.Candidates(r.Target)
	start := 0
	if len(positions) > maxConsidered {
		start = rng.IntN(len(positions))
	}
	n := 0
	for i := range min(len(positions), maxConsidered) {
		at := start + i
		if at >= len(positions) {
			at -= len(positions)
		}
		server := &s.Servers[positions[at]]
		if reason := filter(server, r); reason != ReasonChosen {
			x.Dropped[reason]++
			continue
		}
		e, ok := observe(server, positions[at])
		if !ok {
			x.Distrusted++
		}
		scratch[n] = e
		n++
	}
	x.Considered = uint16(n)
	return scratch[:n]
}

// choose picks one of the estimates. It returns false if none has a free slot.
func (b *Balanced) choose(s *fleet.Snapshot, r *Request, rng *rand.Rand, all []estimate, d *Decision) bool {
	instances := float32(max(s.Instances, 1))
	kept := 1 - reserve[min(int(r.Priority), len(reserve)-1)]
	var histogram [buckets]uint16
	within, over := 0, 0
	for i := range all {
		e := &all[i]
		e.limit = max(e.limit*kept, min(e.limit, 1))
		switch {
		case e.share(instances) > 0:
			histogram[bucket(e.load())]++
			within++
		case e.free() > 0:
			over++
		}
	}
	if within+over == 0 {
		return false
	}
	if within == 0 {
		// Every free slot belongs to another instance's share. The agents refuse what is too much, so trying one costs
		// a round trip at most.
		d.Explain.OverShare = true
		d.Explain.Few = uint16(over)
		k := rng.IntN(over)
		for i := range all {
			if e := &all[i]; e.free() > 0 {
				if k == 0 {
					return take(d, e)
				}
				k--
			}
		}
		return false
	}
	// The level is the load below which the best few lie.
	few := max(fewest, within/fewShare)
	cut, count := 0, 0
	for cut < buckets {
		count += int(histogram[cut])
		cut++
		if count >= few {
			break
		}
	}
	level := float32(cut) * bucketRange / buckets
	if b.affinity != nil && len(r.Prefix) > 0 && b.holder(s, r, rng, all, instances, level, d) {
		return true
	}
	// The choice among the best few is random, with a weight by the free slots below the level, so that instances that
	// see the same reports do not all choose the same server.
	var total float32
	for i := range all {
		total += chance(&all[i], instances, level)
	}
	point := rng.Float32() * total
	var last *estimate
	for i := range all {
		w := chance(&all[i], instances, level)
		if w <= 0 {
			continue
		}
		last = &all[i]
		if point -= w; point < 0 {
			break
		}
	}
	d.Explain.Few = uint16(count)
	return last != nil && take(d, last)
}

// chance returns the weight of a server in the random choice: its free slots below the level.
func chance(e *estimate, instances, level float32) float32 {
	if e.share(instances) <= 0 {
		return 0
	}
	return max(level-e.load(), 0) * e.limit
}

func bucket(load float32) int {
	return min(int(load*buckets/bucketRange), buckets-1)
}

func take(d *Decision, e *estimate) bool {
	d.Server, d.Reason = int(e.position), ReasonChosen
	d.Explain.Load = e.load()
	return true
}

// holder picks a server that may hold the request's prefix, if one has a free slot within this instance's share and is
// not much more loaded than the best few. All instances prefer the same holder, so the load is extrapolated: each of
// them is taken to have sent there what this one has.
func (b *Balanced) holder(s *fleet.Snapshot, r *Request, rng *rand.Rand, all []estimate, instances, level float32, d *Decision) bool {
	var found [ways]int32
	blocks, n := b.affinity.deepest(s, r.Prefix, r.Now, &found)
	d.Explain.Holders = uint16(n)
	if n == 0 {
		return false
	}
	allowed := level + affinitySlack*float32(blocks)/float32(min(len(r.Prefix), MaxPrefixBlocks))
	var best *estimate
	bestLoad := allowed
	start := rng.IntN(n)
	for i := range n {
		position := found[(start+i)%n]
		for j := range all {
			e := &all[j]
			if e.position != position || e.share(instances) <= 0 {
				continue
			}
			if load := (e.running + e.since*instances) / max(e.limit, 1); load < bestLoad && e.load() < bestLoad {
				best, bestLoad = e, max(load, 0)
			}
		}
	}
	if best == nil {
		return false
	}
	d.Explain.Blocks = uint16(blocks)
	return take(d, best)
}
