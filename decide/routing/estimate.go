package routing

import (
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
	if l.FirstToken < 0 {
		l.FirstToken = 0
		faults++
	}
	if l.TokenInterval < 0 {
		l.TokenInterval = 0
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

// estimate is the believed state of one candidate.
type estimate struct {
	position int32
	limit    float32 // concurrency limit after weight and reserve
	running  float32 // requests running at the last report
	since    float32 // growth of this instance's own requests since then
	load     float32 // estimated load: 0 is idle, 1 is the limit
	share    float32 // free slots that this instance may take
}

// observe estimates one server from its report and this instance's own requests. kept is the share of the limit that
// the request's priority may use. It returns false if the report had impossible figures.
func (e *estimate) observe(server *fleet.Server, position int, kept, instances float32) bool {
	e.position = int32(position)
	load := &server.Load
	ok := believable(load)
	var kv float32
	if ok && load.Sequence > 0 && load.Boot == server.Boot {
		e.limit, e.running = float32(load.Limit), float32(load.Running)
		e.since = float32(server.Local.SinceReport())
		if w := server.Weight; w > 0 && w < 1 {
			e.limit *= max(float32(w), minWeight)
		}
		if load.KVUsed > kvPressure && load.KVUsed <= 1 {
			kv = float32(load.KVUsed)
		}
	} else {
		e.limit, e.running = unreportedLimit, 0
		e.since = float32(server.Local.InFlight())
	}
	e.limit = max(e.limit*kept, min(e.limit, 1))
	e.load = max((e.running+e.since)/max(e.limit, 1), kv, 0)
	// This instance's part of the slots free at the last report, less what it has taken since.
	e.share = (e.limit-e.running)/instances - e.since
	return ok
}

// free returns the free slots if no other instance has taken any since the last report.
func (e *estimate) free() float32 { return e.limit - e.running - e.since }
