package retry

import (
	"math"
	"time"
)

// Latency estimates the hedge delay from recent attempts: the 95th percentile of the time to first token over the last one
// to two windows.
type Latency struct {
	window            time.Duration
	windowStart       time.Time
	current, previous histogram
}

// histogram counts durations in buckets whose upper bounds grow by a quarter each, starting at 1 ms.
type histogram struct {
	counts [bucketCount]int
	total  int
}

const (
	bucketCount          = 64
	bucketGrowth         = 1.25
	hedgeQuantile        = 0.95
	minLatencySamples    = 20 // with fewer samples, the 95th percentile is the maximum
	defaultLatencyWindow = 10 * time.Second
)

// NewLatency returns an estimator with the given window; 0 means 10 s.
func NewLatency(window time.Duration) *Latency {
	if window <= 0 {
		window = defaultLatencyWindow
	}
	return &Latency{window: window}
}

// Observe records the time to first token of an attempt.
func (l *Latency) Observe(now time.Time, elapsed time.Duration) {
	l.rotate(now)
	bucket := 0
	if elapsed > time.Millisecond {
		bucket = int(math.Ceil(math.Log(elapsed.Seconds()*1000) / math.Log(bucketGrowth)))
	}
	l.current.counts[min(bucket, bucketCount-1)]++
	l.current.total++
}

// HedgeDelay returns the time without a first token after which an attempt should be hedged. It returns false while there
// are fewer than 20 samples.
func (l *Latency) HedgeDelay(now time.Time) (time.Duration, bool) {
	l.rotate(now)
	total := l.current.total + l.previous.total
	if total < minLatencySamples {
		return 0, false
	}
	rank, sum := int(math.Ceil(hedgeQuantile*float64(total))), 0
	for bucket := range bucketCount {
		if sum += l.current.counts[bucket] + l.previous.counts[bucket]; sum >= rank {
			return time.Duration(math.Pow(bucketGrowth, float64(bucket)) * float64(time.Millisecond)), true
		}
	}
	return 0, false
}

func (l *Latency) rotate(now time.Time) {
	age := now.Sub(l.windowStart)
	if age < l.window {
		return
	}
	l.previous = l.current
	if age >= 2*l.window {
		l.previous = histogram{}
	}
	l.current, l.windowStart = histogram{}, now
}
