// Package experts balances the experts of a lock-step group over its ranks: it detects slow and stalled ranks, plans
// the placement of expert replicas as popularity drifts, and switches all ranks to a new expert map at the same step.
package experts

import (
	"slices"
	"time"
)

// RankState is the health of one rank of a group.
type RankState uint8

// States of a rank.
const (
	RankHealthy RankState = iota
	RankSlow
	RankSilent // has not reported for longer than SilentAfter
)

// StragglerConfig sets the limits of a StragglerDetector. Zero fields take the default.
type StragglerConfig struct {
	Samples                  int           // recent step times of a rank over which the median is taken, default 5
	SlowRatio                float64       // a rank is slow above this multiple of the typical step time of the group, default 1.2
	RecoveredRatio           float64       // a slow rank is healthy again below this multiple, default 1.1
	RecoverAfter             time.Duration // time that a slow rank must stay below RecoveredRatio, default 10 s
	SilentAfter              time.Duration // a rank that has not reported for this long has stalled, default 5 s
	MaxWeightGrowthPerSecond float64       // maximum growth of the weight of the group per second, default 0.05
}

const (
	defaultSamples                  = 5
	defaultSlowRatio                = 1.2
	defaultRecoveredRatio           = 1.1
	defaultRecoverAfter             = 10 * time.Second
	defaultSilentAfter              = 5 * time.Second // two load reports, sent every 2 s, are missing
	defaultMaxWeightGrowthPerSecond = 0.05
	// noiseMarginDeviations is the least distance of the limit from the typical step time, in standard deviations. The
	// largest of 256 normally distributed values is rarely more than 4 standard deviations out, so noise alone makes no
	// rank slow.
	noiseMarginDeviations = 5
)

// StragglerDetector tracks the step times of the ranks of one group. The step time of a rank is its own compute time,
// without the wait for slower ranks; with that wait, all ranks would report the time of the slowest.
type StragglerDetector struct {
	config     StragglerConfig
	ranks      []rankSamples
	weight     float64
	assessedAt time.Time // when weight was computed
}

// rankSamples are the recent step times and the state of one rank.
type rankSamples struct {
	samples    []time.Duration // ring buffer
	next       int
	reportedAt time.Time
	slow       bool
	fastSince  time.Time // since when a slow rank has been fast enough, zero if it is not
}

// NewStragglerDetector returns a detector for a group in which all ranks are healthy at the given time.
func NewStragglerDetector(now time.Time, ranks int, c StragglerConfig) *StragglerDetector {
	if c.Samples <= 0 {
		c.Samples = defaultSamples
	}
	if c.SlowRatio <= 1 {
		c.SlowRatio = defaultSlowRatio
	}
	if c.RecoveredRatio <= 1 {
		c.RecoveredRatio = min(defaultRecoveredRatio, c.SlowRatio)
	}
	if c.RecoverAfter <= 0 {
		c.RecoverAfter = defaultRecoverAfter
	}
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
	}
	if c.MaxWeightGrowthPerSecond <= 0 {
		c.MaxWeightGrowthPerSecond = defaultMaxWeightGrowthPerSecond
	}
	d := &StragglerDetector{config: c, ranks: make([]rankSamples, ranks), weight: 1, assessedAt: now}
	for i := range d.ranks {
		d.ranks[i].reportedAt = now
	}
	return d
}

// Observe records a step time that a rank reported.
func (d *StragglerDetector) Observe(now time.Time, rank int, step time.Duration) {
	if rank < 0 || rank >= len(d.ranks) || step <= 0 {
		return
	}
	r := &d.ranks[rank]
	if len(r.samples) < d.config.Samples {
		r.samples = append(r.samples, step)
	} else {
		r.samples[r.next] = step
		r.next = (r.next + 1) % len(r.samples)
	}
	if now.After(r.reportedAt) {
		r.reportedAt = now
	}
}

// ResetRank discards the step times of a rank whose process has restarted.
func (d *StragglerDetector) ResetRank(now time.Time, rank int) {
	if rank >= 0 && rank < len(d.ranks) {
		d.ranks[rank] = rankSamples{reportedAt: now}
	}
}

// Health is the state of a group at one time.
type Health struct {
	States []RankState
	Speeds []float64 // speed of each rank relative to the typical one, at most 1; 0 for a silent rank
	Weight float64   // capacity of the group relative to a healthy one, 0 to 1
}

// Assess returns the health of the group. The weight falls at once and rises slowly, so that a group that has just
// recovered is not overloaded.
func (d *StragglerDetector) Assess(now time.Time) Health {
	h := Health{States: make([]RankState, len(d.ranks)), Speeds: make([]float64, len(d.ranks))}
	medians := make([]float64, 0, len(d.ranks))
	rankMedians := make([]float64, len(d.ranks))
	for i := range d.ranks {
		if len(d.ranks[i].samples) > 0 {
			rankMedians[i] = median(seconds(d.ranks[i].samples))
			medians = append(medians, rankMedians[i])
		}
	}
	typical := median(medians)
	for i := range medians {
		medians[i] = max(medians[i]-typical, typical-medians[i])
	}
	// The median absolute deviation times 1.48 estimates the standard deviation and ignores outliers.
	deviation := 1.48 * median(medians)
	limit := max(d.config.SlowRatio*typical, typical+noiseMarginDeviations*deviation)
	targetWeight := 1.0
	for i := range d.ranks {
		r := &d.ranks[i]
		h.Speeds[i] = 1
		if now.Sub(r.reportedAt) > d.config.SilentAfter {
			h.States[i], h.Speeds[i], targetWeight = RankSilent, 0, 0
			continue
		}
		if len(r.samples) == d.config.Samples {
			d.updateSlow(now, r, rankMedians[i], limit, d.config.RecoveredRatio*limit/d.config.SlowRatio)
		}
		if r.slow {
			h.States[i] = RankSlow
			h.Speeds[i] = min(typical/rankMedians[i], 1)
			targetWeight = min(targetWeight, h.Speeds[i])
		}
	}
	maxWeight := d.weight + d.config.MaxWeightGrowthPerSecond*max(now.Sub(d.assessedAt).Seconds(), 0)
	d.weight, d.assessedAt = min(targetWeight, maxWeight), now
	h.Weight = d.weight
	return h
}

// updateSlow moves a rank between healthy and slow.
func (d *StragglerDetector) updateSlow(now time.Time, r *rankSamples, rankMedian, slowLimit, recoveredLimit float64) {
	switch {
	case rankMedian > slowLimit:
		r.slow, r.fastSince = true, time.Time{}
	case !r.slow || rankMedian > recoveredLimit:
		r.fastSince = time.Time{}
	case r.fastSince.IsZero():
		r.fastSince = now
	case now.Sub(r.fastSince) >= d.config.RecoverAfter:
		r.slow, r.fastSince = false, time.Time{}
	}
}

func seconds(durations []time.Duration) []float64 {
	out := make([]float64, len(durations))
	for i, d := range durations {
		out[i] = d.Seconds()
	}
	return out
}

// median returns the middle of the sorted values, 0 if there are none. It does not modify values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
