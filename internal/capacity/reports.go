package capacity

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/limits"
	"github.com/banyanfront/banyanfront/internal/agent"
)

// reportInterval is the default of settings.Agent.ReportInterval, and maxReportAge the longest time between two reports.
const (
	reportInterval = 2 * time.Second
	maxReportAge   = agent.RefreshIntervals * reportInterval
)

// completions is a heap of the running requests by the time at which they end.
type completions []completion

type completion struct {
	at     time.Time
	ticket limits.Ticket
}

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// ReportRate simulates an engine with the given capacity in virtual time and returns its load reports per second and its
// mean number of running requests. Requests arrive as a Poisson process with the given rate per second. The number of
// tokens of an answer is exponentially distributed with mean 325, as at the target. The limiter is the real one.
func ReportRate(rate float64, capacity int, seed uint64) (reports, meanRunning float64) {
	const warmUp, during = 10 * time.Minute, time.Hour
	start := time.Unix(1_780_000_000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	limiter := limits.New(limits.Config{FirstTokenBound: FirstTokenBound, Capacity: capacity}, start, incarnation)
	timeToFirstToken, interTokenLatency := 400*time.Millisecond, 27*time.Millisecond
	var running completions
	var reported fleet.Load
	var reportedAt time.Time
	count, samples, runningSum := 0, 0, 0
	exponential := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	report := func(now time.Time, load fleet.Load) {
		reported, reportedAt = load, now
		if now.Sub(start) > warmUp {
			count++
		}
	}
	currentLoad := func(now time.Time) fleet.Load {
		limiter.Tick(now)
		return fleet.Load{Running: limiter.InFlight(), Limit: limiter.Limit(), TimeToFirstToken: timeToFirstToken,
			InterTokenLatency: interTokenLatency, Phase: limiter.ServerPhase()}
	}
	nextArrival := func(now time.Time) time.Time {
		if rate <= 0 {
			return now.Add(warmUp + during)
		}
		return now.Add(exponential(time.Duration(float64(time.Second) / rate)))
	}
	arrival := nextArrival(start)
	for tick := start; tick.Sub(start) < warmUp+during; tick = tick.Add(reportInterval) {
		end := tick.Add(reportInterval)
		for arrival.Before(end) || len(running) > 0 && running[0].at.Before(end) {
			if len(running) > 0 && running[0].at.Before(arrival) {
				completed := heap.Pop(&running).(completion)
				limiter.Finished(completed.at, &completed.ticket, limits.Done, 0)
			} else {
				now := arrival
				arrival = nextArrival(now)
				if ticket, refusal := limiter.Admit(now); refusal == limits.Admitted {
					firstTokenAfter := 200*time.Millisecond + time.Duration(rng.Int64N(int64(400*time.Millisecond)))
					timeToFirstToken += (firstTokenAfter - timeToFirstToken) / 10 // the same smoothing as in the agent
					limiter.FirstToken(now.Add(firstTokenAfter), &ticket, firstTokenAfter)
					heap.Push(&running, completion{now.Add(firstTokenAfter + exponential(TokensPerSec/RequestsPerSec*TokenInterval)), ticket})
				}
			}
			if load := currentLoad(end); load.Limit < reported.Limit {
				report(end, load)
			}
		}
		load := currentLoad(end)
		if end.Sub(reportedAt) >= maxReportAge || agent.SignificantChange(&reported, &load) {
			report(end, load)
		}
		samples, runningSum = samples+1, runningSum+load.Running
	}
	return perSecond(count, during), float64(runningSum) / float64(samples)
}

func perSecond(n int, d time.Duration) float64 { return float64(n) / d.Seconds() }
