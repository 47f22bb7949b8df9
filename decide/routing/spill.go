package routing

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// defaultLatency is assumed for a data centre whose latency has not been measured, as for a distant region.
	defaultLatency = 150 * time.Millisecond
	// maxTimeToFirstToken bounds a summary's time to first token.
	maxTimeToFirstToken = time.Minute
	// minCost keeps the cost of a nearby, idle data centre above zero.
	minCost = 5 * time.Millisecond
)

// spillOver picks another data centre by cost and headroom and enters it in the decision d. It returns d unchanged if
// there is none or if the request has already been forwarded once.
func (b *Balanced) spillOver(s *fleet.Snapshot, r *Request, rng *rand.Rand, d Decision) Decision {
	if r.Spilled {
		return d
	}
	var total float64
	for i := range s.RemoteSummaries {
		total += b.remoteWeight(s, r, &s.RemoteSummaries[i])
	}
	if total <= 0 {
		return d
	}
	point := rng.Float64() * total
	for i := range s.RemoteSummaries {
		w := b.remoteWeight(s, r, &s.RemoteSummaries[i])
		if w <= 0 {
			continue
		}
		d.DataCentre, d.Reason = s.RemoteSummaries[i].DataCentre, ReasonChosen
		if point -= w; point < 0 {
			break
		}
	}
	return d
}

// remoteWeight returns the weight of a data centre in the random choice: its headroom divided by the square of its cost.
// Because of the square, a nearby data centre is preferred until it has little headroom; the random choice keeps the
// entry instances of all data centres from filling the same one within the second between two summaries.
func (b *Balanced) remoteWeight(s *fleet.Snapshot, r *Request, summary *fleet.Summary) float64 {
	if summary.Kind != r.Target.Kind || summary.Name != r.Target.Name || summary.DataCentre == s.DataCentre ||
		summary.Servers <= 0 || summary.Free <= 0 || slices.Contains(r.TriedDataCentres, summary.DataCentre) {
		return 0
	}
	free := min(summary.Free, min(summary.Servers, maxHandles)*maxPlausibleLimit)
	latency := defaultLatency
	if known := b.latency.Load(); known != nil {
		if l, ok := (*known)[summary.DataCentre]; ok && l >= 0 {
			latency = l
		}
	}
	cost := (minCost + latency + min(max(summary.FirstToken, 0), maxTimeToFirstToken)).Seconds()
	return float64(free) / (cost * cost)
}

// serverPosition returns the position of the server in the snapshot, -1 if it is not there.
func serverPosition(s *fleet.Snapshot, id fleet.ServerID) int {
	i := sort.Search(len(s.Servers), func(i int) bool { return s.Servers[i].Server >= id })
	if i < len(s.Servers) && s.Servers[i].Server == id {
		return i
	}
	return -1
}
