package retry

import (
	"math"
	"time"
)

// Latency estimates from recent attempts when one is late: the 95th percentile of the time to the first token, over the
// last one to two windows.
type Latency struct {
	window            time.Duration
	begin             time.Time
	current, previous histogram
}

// histogram counts durations in buckets that grow by a quarter each, from 1 ms.
type histogram struct {
	counts [buckets]int
	total  int
}

const (
	buckets            = 64
	bucketGrowth       = 1.25
	lateQuantile       = 0.95
	minLatencySamples  = 20 // the 95th percentile of fewer samples is their maximum
	defaultLatencySpan = 10 * time.Second
)

// NewLatency returns an estimate over the window; 0 means 10 s.
func NewLatency(window time.Duration) *Latency {
	if window <= 0 {
		window = defaultLatencySpan
	}
	return &Latency{window: window}
}

// Observe records the time to the first token of an attempt.
func (l *Latency) Observe(now time.Time, took time.Duration) {
	l.roll(now)
	bucket := 0
	if took > time.Millisecond {
		bucket = int(math.Ceil(math.Log(took.Seconds()*1000) / math.Log(bucketGrowth)))
	}
	l.current.counts[min(bucket, buckets-1)]++
	l.current.total++
}

// Late returns the time after which an attempt is late. It reports false while too few attempts were observed.
func (l *Latency) Late(now time.Time) (time.Duration, bool) {
	l.roll(now)
	total := l.current.total + l.previous.total
	if total < minLatencySamples {
		return 0, false
	}
	need, sum := int(math.Ceil(lateQuantile*float64(total))), 0
	for bucket := range buckets {
		if sum += l.current.counts[bucket] + l.previous.counts[bucket]; sum >= need {
			return time.Duration(math.Pow(bucketGrowth, float64(bucket)) * float64(time.Millisecond)), true
		}
	}
	return 0, false
}

func (l *Latency) roll(now time.Time) {
	age := now.Sub(l.begin)
	if age < l.window {
		return
	}
	l.previous = l.current
	if age >= 2*l.window {
		l.previous = histogram{}
	}
	l.current, l.begin = histogram{}, now
}
