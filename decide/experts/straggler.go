// Package experts balances the experts of a lock-step group over its ranks: it detects slow and stalled ranks, plans
// where replicas of experts go as their popularity drifts, and changes the expert map on all ranks at one step.
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
	RankSilent // has reported nothing for too long
)

// WatchConfig sets the limits of a Watch. Zero fields take the default.
type WatchConfig struct {
	Samples      int           // recent step times of a rank whose median counts, default 5
	Slow         float64       // a rank is slow above this multiple of the group's typical step time, default 1.2
	Recovered    float64       // and healthy again below this multiple, default 1.1
	RecoverAfter time.Duration // once it has stayed below for so long, default 10 s
	Silent       time.Duration // a rank that reports nothing for so long has stalled, default 5 s
	Return       float64       // growth of the group's weight per second, default 0.05
}

const (
	defaultSamples      = 5
	defaultSlow         = 1.2
	defaultRecovered    = 1.1
	defaultRecoverAfter = 10 * time.Second
	defaultSilent       = 5 * time.Second // two load reports, sent every 2 s, are missing
	defaultReturn       = 0.05
	// noiseMargin raises the limit to this many spreads above typical. The largest of 256 normal values is rarely more
	// than 4 standard deviations out, so noise alone makes no rank slow.
	noiseMargin = 5
)

// Watch follows the step times of the ranks of one group. The step time of a rank is the time it computes itself,
// without the wait for slower ranks; with that wait, all ranks would report the time of the slowest.
type Watch struct {
	config WatchConfig
	ranks  []watched
	weight float64
	at     time.Time // when weight was computed
}

// watched is what is known about one rank.
type watched struct {
	samples []time.Duration // ring
	next    int
	heard   time.Time
	slow    bool
	below   time.Time // since when a slow rank has been fast enough, zero if it is not
}

// NewWatch returns a watch over a group in which all ranks are healthy at the given time.
func NewWatch(now time.Time, ranks int, c WatchConfig) *Watch {
	if c.Samples <= 0 {
		c.Samples = defaultSamples
	}
	if c.Slow <= 1 {
		c.Slow = defaultSlow
	}
	if c.Recovered <= 1 {
		c.Recovered = min(defaultRecovered, c.Slow)
	}
	if c.RecoverAfter <= 0 {
		c.RecoverAfter = defaultRecoverAfter
	}
	if c.Silent <= 0 {
		c.Silent = defaultSilent
	}
	if c.Return <= 0 {
		c.Return = defaultReturn
	}
	w := &Watch{config: c, ranks: make([]watched, ranks), weight: 1, at: now}
	for i := range w.ranks {
		w.ranks[i].heard = now
	}
	return w
}

// Observe records a step time that a rank reported.
func (w *Watch) Observe(now time.Time, rank int, step time.Duration) {
	if rank < 0 || rank >= len(w.ranks) || step <= 0 {
		return
	}
	r := &w.ranks[rank]
	if len(r.samples) < w.config.Samples {
		r.samples = append(r.samples, step)
	} else {
		r.samples[r.next] = step
		r.next = (r.next + 1) % len(r.samples)
	}
	if now.After(r.heard) {
		r.heard = now
	}
}

// Restarted forgets the step times of a rank whose process has restarted.
func (w *Watch) Restarted(now time.Time, rank int) {
	if rank >= 0 && rank < len(w.ranks) {
		w.ranks[rank] = watched{heard: now}
	}
}

// Health is the state of a group at one time.
type Health struct {
	States []RankState
	Speeds []float64 // speed of each rank relative to the typical one, at most 1; 0 for a silent rank
	Weight float64   // share of work that the group can bear relative to a healthy one, 0 to 1
}

// Assess returns the health of the group. The weight falls at once and rises slowly, so that a group that has just
// recovered is not flooded.
func (w *Watch) Assess(now time.Time) Health {
	h := Health{States: make([]RankState, len(w.ranks)), Speeds: make([]float64, len(w.ranks))}
	medians := make([]float64, 0, len(w.ranks))
	smooth := make([]float64, len(w.ranks))
	for i := range w.ranks {
		if len(w.ranks[i].samples) > 0 {
			smooth[i] = median(seconds(w.ranks[i].samples))
			medians = append(medians, smooth[i])
		}
	}
	typical := median(medians)
	for i := range medians {
		medians[i] = max(medians[i]-typical, typical-medians[i])
	}
	// The median absolute deviation times 1.48 estimates the standard deviation and ignores outliers.
	spread := 1.48 * median(medians)
	limit := max(w.config.Slow*typical, typical+noiseMargin*spread)
	target := 1.0
	for i := range w.ranks {
		r := &w.ranks[i]
		h.Speeds[i] = 1
		if now.Sub(r.heard) > w.config.Silent {
			h.States[i], h.Speeds[i], target = RankSilent, 0, 0
			continue
		}
		if len(r.samples) == w.config.Samples {
			w.judge(now, r, smooth[i], limit, w.config.Recovered*limit/w.config.Slow)
		}
		if r.slow {
			h.States[i] = RankSlow
			h.Speeds[i] = min(typical/smooth[i], 1)
			target = min(target, h.Speeds[i])
		}
	}
	risen := w.weight + w.config.Return*max(now.Sub(w.at).Seconds(), 0)
	w.weight, w.at = min(target, risen), now
	h.Weight = w.weight
	return h
}

// judge moves a rank between healthy and slow.
func (w *Watch) judge(now time.Time, r *watched, smooth, slow, recovered float64) {
	switch {
	case smooth > slow:
		r.slow, r.below = true, time.Time{}
	case !r.slow || smooth > recovered:
		r.below = time.Time{}
	case r.below.IsZero():
		r.below = now
	case now.Sub(r.below) >= w.config.RecoverAfter:
		r.slow, r.below = false, time.Time{}
	}
}

func seconds(durations []time.Duration) []float64 {
	out := make([]float64, len(durations))
	for i, d := range durations {
		out[i] = d.Seconds()
	}
	return out
}

// median returns the middle of the values, 0 if there are none. It leaves their order alone.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
