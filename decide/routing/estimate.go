package routing

import (
	"math/bits"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// maxPlausibleLimit is the highest concurrency limit accepted from a report. Engines batch up to a few hundred requests; a
	// report above this is ignored.
	maxPlausibleLimit = 1024
	// defaultLimit is the limit assumed for a server without a plausible report of its current incarnation. An agent in slow
	// start admits at least this.
	defaultLimit = 1
	// kvPressureRatio is the KV cache utilisation above which it counts as load: beyond it an engine preempts requests.
	kvPressureRatio = 0.9
	// outlierFactor times the median limit, rounded up to a power of two, is the highest limit used: one server that reports
	// far more than its peers must not attract all requests.
	outlierFactor = 2
	// coldSampleLimit bounds the limits if the sample has no warm server to take the median of.
	coldSampleLimit = 32
	// minWeight is the lowest weight of a group: it still gets some requests, so that its step time shows its recovery.
	minWeight = 0.05
)

// plausible reports whether the figures that determine a server's free slots are possible.
func plausible(l *fleet.Load) bool {
	return l.Limit >= 0 && l.Limit <= maxPlausibleLimit && l.Running >= 0 && l.Running <= 2*maxPlausibleLimit
}

// SanitiseLoad returns the load report with impossible figures replaced by ones that attract no requests, and the number of
// replaced figures. The control goroutine calls it for each report received and counts the faults.
func SanitiseLoad(l fleet.Load) (fleet.Load, int) {
	faults := 0
	if !plausible(&l) {
		// A server that reports impossible slots gets the fewest requests until it reports possible ones.
		l.Limit, l.Running = defaultLimit, defaultLimit
		faults++
	}
	if !(l.KVUsed >= 0 && l.KVUsed <= 1) {
		l.KVUsed = 1
		faults++
	}
	if l.TimeToFirstToken < 0 {
		l.TimeToFirstToken = 0
		faults++
	}
	if l.InterTokenLatency < 0 {
		l.InterTokenLatency = 0
		faults++
	}
	if l.StepTime < 0 {
		l.StepTime = 0
		faults++
	}
	if l.Phase > fleet.PhaseWithdrawn {
		l.Phase = fleet.PhaseDraining
		faults++
	}
	return l, faults
}

// IsNewer reports whether the load report next replaces last. Reports of an earlier incarnation, duplicate and reordered
// ones do not.
func IsNewer(last, next fleet.Load) bool {
	return next.Incarnation > last.Incarnation || (next.Incarnation == last.Incarnation && next.Sequence > last.Sequence)
}

// estimate is the estimated state of one candidate.
type estimate struct {
	position    int32
	limit       float32 // concurrency limit after weight and the part reserved for higher priorities
	running     float32 // requests running at the last report
	sinceReport float32 // net increase of this instance's own requests since then
	load        float32 // estimated load: 0 is idle, 1 is the limit
	freeShare   float32 // free slots that this instance may take
	free        float32 // free slots if no other instance has taken any since the last report
	kvLoad      float32 // load by KV cache, 0 up to kvPressureRatio
	warm        bool
}

// update estimates one server from its report and this instance's own requests. usableRatio is the part of the limit open
// to the request's priority. update returns false if the report had impossible figures.
func (e *estimate) update(server *fleet.Server, position int, usableRatio, instances float32) bool {
	load, local := &server.Load, server.Counter
	ok := plausible(load)
	own := local.InFlight()
	*e = estimate{position: int32(position)}
	if !ok || load.Sequence == 0 || load.Incarnation != server.Incarnation {
		e.sinceReport = float32(own)
		e.setLimit(defaultLimit, instances)
		return ok
	}
	since := local.GrowthSinceReport()
	limit := load.Limit
	if server.Capacity > 0 {
		limit = min(limit, server.Capacity)
	}
	// At least what this instance had in flight there was running.
	e.running, e.sinceReport = float32(max(load.Running, own-since)), float32(since)
	e.warm = load.Phase == fleet.PhaseServing
	if load.KVUsed > kvPressureRatio && load.KVUsed <= 1 {
		e.kvLoad = float32(load.KVUsed)
	}
	if w := server.Weight; w > 0 && w < 1 {
		usableRatio *= max(float32(w), minWeight)
	}
	if limit > 0 {
		e.setLimit(max(float32(limit)*usableRatio, 1), instances)
	}
	return true
}

// setLimit sets the limit, and the load and free slots that follow from it.
func (e *estimate) setLimit(limit, instances float32) {
	e.limit = limit
	e.load = max((e.running+e.sinceReport)/max(limit, 1), e.kvLoad, 0)
	// This instance's part of the slots free at the last report, less the requests that it has added since.
	e.freeShare = (limit-e.running)/instances - e.sinceReport
	e.free = limit - e.running - e.sinceReport
}

// outlierLimit returns the highest limit that is used, given those of the sample: 2 to 4 times the median of the warm
// servers.
func outlierLimit(all []estimate) float32 {
	var counts [16]int
	warm := 0
	for i := range all {
		if all[i].warm {
			counts[bits.Len16(uint16(all[i].limit))]++
			warm++
		}
	}
	if warm == 0 {
		return coldSampleLimit
	}
	cumulative := 0
	for length, n := range counts {
		if cumulative += n; 2*cumulative >= warm {
			return outlierFactor * float32(int(1)<<length)
		}
	}
	return maxPlausibleLimit
}
