// Package admission decides how much room the servers keep free of less urgent requests. It answers the burst of a patient kind: without
// it, such a burst fills the servers up to what the pace of their streams bears, and the urgent requests that follow find them full.
package admission

import "time"

const (
	// binWidth and bins are the window in which arrivals are counted: long enough for some dozens at an instance of a large fleet, short
	// enough for bursts of a few seconds.
	binWidth = 250 * time.Millisecond
	bins     = 8
	// priorities is the number of priorities that are told apart; all above share the last one.
	priorities = 10
	// Reaction is the time for which room that was given to a less urgent request cannot be had back: the loads of the servers are up to
	// 0.3 s old, and a request that runs ends by itself only.
	Reaction = 500 * time.Millisecond
	// maxShare bounds the room that is kept free, as a part of what a server bears: beyond it the least urgent would be starved.
	maxShare = 0.3
)

// Arrivals counts the requests for a service at one instance by priority, in a sliding window. The zero value has none.
type Arrivals struct {
	newest int64 // bin, in bin widths since the Unix epoch
	counts [bins][priorities]int
}

// Record counts a request.
func (a *Arrivals) Record(now time.Time, priority int) {
	a.advance(now)
	a.counts[a.newest%bins][clamp(priority)]++
}

// MoreUrgent returns the requests a second that are more urgent than a priority.
func (a *Arrivals) MoreUrgent(now time.Time, priority int) float64 {
	a.advance(now)
	n := 0
	for i := range a.counts {
		for p := range clamp(priority) {
			n += a.counts[i][p]
		}
	}
	return float64(n) / (bins * binWidth.Seconds())
}

func (a *Arrivals) advance(now time.Time) {
	bin := now.UnixNano() / int64(binWidth)
	for a.newest = max(a.newest, bin-bins); a.newest < bin; {
		a.newest++
		a.counts[a.newest%bins] = [priorities]int{}
	}
}

func clamp(priority int) int { return min(max(priority, 0), priorities-1) }

// Headroom returns the requests that each of some servers keeps free, for more urgent requests that arrive at a rate at all instances
// together, in a second.
func Headroom(moreUrgentPerSecond float64, servers int) float64 {
	return moreUrgentPerSecond * Reaction.Seconds() / float64(max(servers, 1))
}

// Limit returns how many requests a server may hold so that a request is admitted, if it bears limit.
func Limit(limit, headroom float64) float64 { return limit - min(headroom, maxShare*limit) }
