package capacity

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/limits"
	"github.com/banyanfront/banyanfront/internal/agent"
)

// reportInterval is the default of settings.Agent.ReportInterval, and refreshAfter the longest time without a report.
const (
	reportInterval = 2 * time.Second
	refreshAfter   = agent.RefreshIntervals * reportInterval
)

// endings are the times at which the running requests end.
type endings []ending

type ending struct {
	at     time.Time
	ticket limits.Ticket
}

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// ReportRate returns the load reports a second of an engine with the capacity, in virtual time, and the mean of its
// running requests. Requests arrive at random at the rate; their answers have an exponential number of tokens, 325 on
// average as at the target. The limit is that of the real limiter.
func ReportRate(rate float64, capacity int, seed uint64) (reports, running float64) {
	const warmUp, during = 10 * time.Minute, time.Hour
	start := time.Unix(1_780_000_000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	limiter := limits.New(limits.Config{FirstTokenBound: FirstTokenBound, Capacity: capacity}, start, boot)
	first, interval := 400*time.Millisecond, 27*time.Millisecond
	var open endings
	var told fleet.Load
	var toldAt time.Time
	count, samples, sum := 0, 0, 0
	after := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	report := func(now time.Time, load fleet.Load) {
		told, toldAt = load, now
		if now.Sub(start) > warmUp {
			count++
		}
	}
	measure := func(now time.Time) fleet.Load {
		limiter.Tick(now)
		return fleet.Load{Running: limiter.InFlight(), Limit: limiter.Limit(), TimeToFirstToken: first, InterTokenLatency: interval,
			Phase: limiter.ServerPhase()}
	}
	next := func(now time.Time) time.Time {
		if rate <= 0 {
			return now.Add(warmUp + during)
		}
		return now.Add(after(time.Duration(float64(time.Second) / rate)))
	}
	arrival := next(start)
	for tick := start; tick.Sub(start) < warmUp+during; tick = tick.Add(reportInterval) {
		end := tick.Add(reportInterval)
		for arrival.Before(end) || len(open) > 0 && open[0].at.Before(end) {
			if len(open) > 0 && open[0].at.Before(arrival) {
				done := heap.Pop(&open).(ending)
				limiter.Finished(done.at, &done.ticket, limits.Done, 0)
			} else {
				now := arrival
				arrival = next(now)
				if ticket, refusal := limiter.Admit(now); refusal == limits.Admitted {
					took := 200*time.Millisecond + time.Duration(rng.Int64N(int64(400*time.Millisecond)))
					first += (took - first) / 10 // the weight of the agent's meter
					limiter.FirstToken(now.Add(took), &ticket, took)
					heap.Push(&open, ending{now.Add(took + after(TokensPerSec/RequestsPerSec*TokenInterval)), ticket})
				}
			}
			if load := measure(end); load.Limit < told.Limit {
				report(end, load)
			}
		}
		load := measure(end)
		if end.Sub(toldAt) >= refreshAfter || agent.SignificantChange(&told, &load) {
			report(end, load)
		}
		samples, sum = samples+1, sum+load.Running
	}
	return perSecond(count, during), float64(sum) / float64(samples)
}

func perSecond(n int, d time.Duration) float64 { return float64(n) / d.Seconds() }
