package routing

import (
	"math/bits"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// maxLimit is the highest concurrency limit believed. Engines batch up to a few hundred requests; a report above
	// this is treated as no report.
	maxLimit = 1024
	// unreportedLimit is the limit assumed for a server without a believable report of its present boot: what an agent
	// in slow start admits at least.
	unreportedLimit = 1
	// kvPressure is the used share of the KV cache above which it counts as load: beyond it an engine preempts requests.
	kvPressure = 0.9
	// outlier times the usual limit, rounded up to a power of two, is the highest limit counted on: one server that
	// claims far more than its peers must not attract all requests.
	outlier = 2
	// outlierStart bounds limits while no server of the sample is warm and so none tells what is usual.
	outlierStart = 32
	// minWeight bounds the weight of a group from below, so that its recovery can be seen in its step time.
	minWeight = 0.05
)

// believable reports whether the figures that decide about a server's free slots are possible.
func believable(l *fleet.Load) bool {
	return l.Limit >= 0 && l.Limit <= maxLimit && l.Running >= 0 && l.Running <= 2*maxLimit
}

// CleanLoad returns the load report with impossible figures replaced by ones that attract no work, and how many figures
// it replaced. The control goroutine calls it for each report received and counts the faults.
func CleanLoad(l fleet.Load) (fleet.Load, int) {
	faults := 0
	if !believable(&l) {
		// A server that reports impossible slots gets the least work until it reports possible ones.
		l.Limit, l.Running = unreportedLimit, unreportedLimit
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

// Newer reports whether the load report next replaces last. Reports of an earlier boot, repeated and overtaken ones do
// not.
func Newer(last, next fleet.Load) bool {
	return next.Incarnation > last.Incarnation || (next.Incarnation == last.Incarnation && next.Sequence > last.Sequence)
}

// estimate is the believed state of one candidate.
type estimate struct {
	position int32
	limit    float32 // concurrency limit after weight and reserve
	running  float32 // requests running at the last report
	since    float32 // growth of this instance's own requests since then
	load     float32 // estimated load: 0 is idle, 1 is the limit
	share    float32 // free slots that this instance may take
	free     float32 // free slots if no other instance has taken any since the last report
	kv       float32 // load by KV cache, 0 below kvPressure
	warm     bool
}

// observe estimates one server from its report and this instance's own requests. It returns false if the report had
// impossible figures.
func (e *estimate) observe(server *fleet.Server, position int, kept, instances float32) bool {
	load, local := &server.Load, server.Counter
	ok := believable(load)
	own := local.InFlight()
	*e = estimate{position: int32(position)}
	if !ok || load.Sequence == 0 || load.Incarnation != server.Incarnation {
		e.since = float32(own)
		e.bound(unreportedLimit, instances)
		return ok
	}
	since := local.GrowthSinceReport()
	limit := load.Limit
	if server.Capacity > 0 {
		limit = min(limit, server.Capacity)
	}
	// At least what this instance had in flight there was running.
	e.running, e.since = float32(max(load.Running, own-since)), float32(since)
	e.warm = load.Phase == fleet.PhaseServing
	if load.KVUsed > kvPressure && load.KVUsed <= 1 {
		e.kv = float32(load.KVUsed)
	}
	if w := server.Weight; w > 0 && w < 1 {
		kept *= max(float32(w), minWeight)
	}
	if limit > 0 {
		e.bound(max(float32(limit)*kept, 1), instances)
	}
	return true
}

// bound sets the limit and what follows from it.
func (e *estimate) bound(limit, instances float32) {
	e.limit = limit
	e.load = max((e.running+e.since)/max(limit, 1), e.kv, 0)
	// This instance's part of the slots free at the last report, less what it has taken since.
	e.share = (limit-e.running)/instances - e.since
	e.free = limit - e.running - e.since
}

// highestUsual returns the highest limit that is counted on, given those of the sample: 2 to 4 times the median of
// the warm servers.
func highestUsual(all []estimate) float32 {
	var counts [16]int
	warm := 0
	for i := range all {
		if all[i].warm {
			counts[bits.Len16(uint16(all[i].limit))]++
			warm++
		}
	}
	if warm == 0 {
		return outlierStart
	}
	seen := 0
	for length, n := range counts {
		if seen += n; 2*seen >= warm {
			return outlier * float32(int(1)<<length)
		}
	}
	return maxLimit
}
