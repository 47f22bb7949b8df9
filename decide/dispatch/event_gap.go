package dispatch

import (
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
)

const (
	// gapBinWidth is the time over which event gaps are averaged: all streams of a group get their events from the same decode
	// steps.
	gapBinWidth = 100 * time.Millisecond
	// gapBins is the number of bins kept, 4 s in all. Shifts in the demand for experts slow the decode steps for about a
	// second, every few seconds, and a request that runs for two seconds meets the slowest of them.
	gapBins = 40
	// slowBinRank selects the third-slowest bin as the measure of slowdown, so that a single outlier does not decide.
	slowBinRank = 3
	// maxGapAge is the age of the newest event gap beyond which the recorded gaps no longer limit admission.
	maxGapAge = time.Second
	// gapMarginRatio is the part of the maximum event gap that is planned for: gaps vary with the prompts prefilled meanwhile.
	gapMarginRatio = 0.95
	// maxWaitRatio is the part of a route's objective that a request may wait at a server before its execution starts.
	maxWaitRatio = 0.5
	// minSlotsRatio is the part of a server's slots that is open at any event gap: below it refusals would leave engines idle.
	minSlotsRatio = 0.5
	// recentGapBins is the number of bins whose mean shows whether a group keeps the maximum event gap now: a few decode
	// steps.
	recentGapBins = 4
	// slowGroupCost is added to the cost of the servers of a group that does not, as a part of a server's slots: half of them,
	// like minSlotsRatio. A group that has just opened again has an unbalanced expert map for a second or two.
	slowGroupCost = 0.5
	// missedObjectiveRatio is the part of the concurrency limit open to requests that will miss their objective anyway.
	missedObjectiveRatio = 0.8
)

// eventGaps holds the recent event gaps in the streams of a lock-step group, or of a single engine. An engine sends one
// event of a stream every Stride decode steps.
type eventGaps struct {
	newestAt  time.Time        // time of the newest gap
	newestBin int64            // in bin widths since the Unix epoch
	seconds   [gapBins]float64 // sum of the gaps in each bin
	counts    [gapBins]int
	loads     [gapBins]float64 // sum of the mean server loads, in requests, one addend per gap

	ranks   []*server // the group's current servers; empty for a single engine
	summary gapSummary
}

// gapSummary summarises the recorded gaps for an engine. It is cached until the next gap, since each choice needs it once
// for each server of the group.
type gapSummary struct {
	engine      *routes.Engine // nil if there is no summary
	meanSeconds float64
	slowdown    float64 // see eventGaps.slowdown
}

// record adds a gap between two events of one stream, with the mean load of the servers.
func (g *eventGaps) record(now time.Time, gap time.Duration, load float64) {
	bin := now.UnixNano() / int64(gapBinWidth)
	for g.newestBin = max(g.newestBin, bin-gapBins); g.newestBin < bin; {
		g.newestBin++
		i := g.newestBin % gapBins
		g.seconds[i], g.counts[i], g.loads[i] = 0, 0, 0
	}
	i := bin % gapBins
	g.seconds[i] += gap.Seconds()
	g.loads[i] += load
	g.counts[i]++
	g.newestAt = now
	g.summary.engine = nil
}

// fresh reports whether the newest gap is recent enough.
func (g *eventGaps) fresh(now time.Time) bool {
	return !g.newestAt.IsZero() && now.Sub(g.newestAt) < maxGapAge
}

// recentSeconds returns the mean of the gaps of the last recentGapBins bins, 0 if there are none.
func (g *eventGaps) recentSeconds(now time.Time) float64 {
	sum, n := 0.0, 0
	for bin := now.UnixNano()/int64(gapBinWidth) - recentGapBins + 1; bin <= g.newestBin; bin++ {
		i := bin % gapBins
		sum, n = sum+g.seconds[i], n+g.counts[i]
	}
	return sum / float64(max(n, 1))
}

// meanSeconds returns the mean of the recorded gaps.
func (g *eventGaps) meanSeconds() float64 {
	sum, n := 0.0, 0
	for i, count := range g.counts {
		sum, n = sum+g.seconds[i], n+count
	}
	return sum / float64(max(n, 1))
}

// slowdown returns the ratio of the slow gaps to those that the engine's description gives for their load. The additional
// time, due to prefill, expert imbalance or a slow rank, is taken to grow with the number of requests like the rest.
func (g *eventGaps) slowdown(e *routes.Engine) float64 {
	var slowest [slowBinRank]float64
	for i, count := range g.counts {
		if count == 0 {
			continue
		}
		n := float64(count)
		ratio := g.seconds[i] / n / (float64(e.Stride) * (e.StepTime.Seconds() + e.StepTimePerRequest.Seconds()*max(g.loads[i]/n, 1)))
		for rank := range slowest {
			if ratio > slowest[rank] {
				ratio, slowest[rank] = slowest[rank], ratio
			}
		}
	}
	return slowest[slowBinRank-1]
}

// summaryFor returns the summary of the recorded gaps for an engine.
func (g *eventGaps) summaryFor(e *routes.Engine) *gapSummary {
	if g.summary.engine != e {
		g.summary = gapSummary{engine: e, meanSeconds: g.meanSeconds(), slowdown: g.slowdown(e)}
	}
	return &g.summary
}

// maxRequestsForGap returns how many requests an engine can decode at once while its slow event gaps stay within maxGap.
func (g *eventGaps) maxRequestsForGap(e *routes.Engine, maxGap time.Duration) float64 {
	slowdown := g.summaryFor(e).slowdown
	if e.StepTimePerRequest <= 0 || slowdown <= 0 {
		return math.Inf(1)
	}
	step, perRequest := e.StepTime.Seconds(), e.StepTimePerRequest.Seconds()
	return (maxGap.Seconds()*gapMarginRatio/(slowdown*float64(e.Stride)) - step) / perRequest
}

// RecordEventGap records the time between two events of a stream from the chosen server.
func (d *Dispatcher) RecordEventGap(now time.Time, c *Choice, gap time.Duration) {
	d.RecordActivity(now, c)
	c.state.gaps.record(now, gap, d.groupLoad(now, c.state))
}

// groupKey is the key of a lock-step group in the maps of a Dispatcher.
func groupKey(service, group string) string { return service + "\x00" + group }

// usualGapRatio is the part of the longest event gap that a group keeps in usual times: prompts are read between its decode
// steps, so that a first event takes as many times longer as the steps do.
const usualGapRatio = 0.5

// Slowdown returns by how much longer than usual a first event from the group of the chosen server takes now, at least 1.
func (d *Dispatcher) Slowdown(now time.Time, c *Choice, maxGap time.Duration) float64 {
	if maxGap <= 0 {
		return 1
	}
	return max(1, c.state.gaps.recentSeconds(now)/(usualGapRatio*maxGap.Seconds()))
}

// gapsFor returns the event gaps of a server's group, or of the server if it is in none.
func (d *Dispatcher) gapsFor(s *server) *eventGaps {
	key := groupKey(s.announcement.Service, s.announcement.Group.Name)
	if s.announcement.Group.Name == "" {
		key = s.announcement.Service + "\x00\x00" + s.announcement.Server
	}
	g := d.gapsByGroup[key]
	if g == nil {
		g = &eventGaps{}
		d.gapsByGroup[key] = g
	}
	return g
}

// concurrencyLimit returns how many requests may run and wait at a server at once.
func (d *Dispatcher) concurrencyLimit(now time.Time, s *server, request *Request) float64 {
	slots := float64(slots(s))
	limit := slots * (1 + serverQueueRatio)
	if d.config.CompetingCallers {
		limit = slots * (1 + competingQueueRatio) // the others wait here, where the most urgent goes first
	}
	service := d.table.Service(s.announcement.Service)
	if service == nil || service.Engine == nil {
		return limit
	}
	e := service.Engine
	g := s.gaps
	if request.Retry {
		// A request that was admitted before is not limited further: if it were refused now, its work so far would be lost.
		return limit
	}
	if !g.fresh(now) && d.config.CompetingCallers && request.MaxEventGap > 0 && e.Sets > 0 {
		// A group that has just opened is slow at first, and its first events show how slow.
		return slots * minSlotsRatio
	}
	if !g.fresh(now) {
		return limit
	}
	if request.Objective > 0 && e.UsualAnswer > 0 {
		// A slot becomes free each time one of the running requests ends.
		runSeconds := g.summaryFor(e).meanSeconds * e.UsualAnswer / float64(e.Stride)
		limit = min(limit, slots+maxWaitRatio*request.Objective.Seconds()*slots/runSeconds)
	}
	if request.MaxEventGap > 0 {
		limit = min(limit, max(slots*minSlotsRatio, g.maxRequestsForGap(e, request.MaxEventGap)))
	}
	if request.ObjectiveMissed {
		limit *= missedObjectiveRatio
	}
	return limit
}

// groupLoad returns the mean load, in requests, of the servers that run decode steps together with a server. Requests
// beyond a server's slots do not count.
func (d *Dispatcher) groupLoad(now time.Time, s *server) float64 {
	if s.announcement.Group.Name == "" {
		return min(d.load(now, s), float64(slots(s)))
	}
	total := 0.0
	for _, rank := range s.gaps.ranks {
		total += min(d.load(now, rank), float64(slots(rank)))
	}
	return total / float64(max(len(s.gaps.ranks), 1))
}
