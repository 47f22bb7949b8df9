package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/retry"
)

// defaultHedgeDelay is the hedge delay while too few calls were observed to estimate one: the target of the time to first
// token. An instance with little traffic, where a stalled engine matters as much, never observes enough of them.
const defaultHedgeDelay = 1100 * time.Millisecond

// minHedgeInterval is the minimum time between two tries to send a hedge.
const minHedgeInterval = 100 * time.Millisecond

// maxConcurrentAttempts limits the in-flight attempts of one call.
const maxConcurrentAttempts = 2

// errLostRace ends an attempt if another attempt of the call has answered first.
var errLostRace = errors.New("another attempt of the request has answered first")

// race ensures that only one of several concurrent attempts of a call answers.
type race struct {
	mu      sync.Mutex
	winner  *answerBuffer
	cancels map[*answerBuffer]context.CancelFunc
}

// join adds an attempt to the race and returns its context and its own answer buffer.
func (r *race) join(ctx context.Context, answer *answerBuffer) (context.Context, *answerBuffer) {
	ctx, cancel := context.WithCancel(ctx)
	buffer := *answer
	buffer.race, buffer.buffered = r, nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[&buffer] = cancel
	return ctx, &buffer
}

// tryWin makes the attempt with buffer b the winner unless there is one already, and then cancels the other attempts.
// It reports whether b is the winner.
func (r *race) tryWin(b *answerBuffer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = b
		for other, cancel := range r.cancels {
			if other != b {
				cancel()
			}
		}
	}
	return r.winner == b
}

func (r *race) hasWinner() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// finishedAttempt is an ended attempt of a race.
type finishedAttempt struct {
	place  placement
	answer *answerBuffer
	result attemptResult
}

// runWithHedge sends an attempt to the placement and, if the first part of its answer is not received within the hedge
// delay and the budget allows it, a second one to another server (a hedge). The first to answer wins, and the other is
// cancelled. It returns all attempts, the winner last. Resumed streams and spilled requests are not hedged.
func (g *Gateway) runWithHedge(ctx context.Context, c *call, place placement, p *progress, answer *answerBuffer) []finishedAttempt {
	if answer.headSent || place.spilled() {
		result := g.attempt(ctx, c, place, newAttemptID(), answer)
		place.release()
		return []finishedAttempt{{place, answer, result}}
	}
	r := &race{cancels: make(map[*answerBuffer]context.CancelFunc)}
	finished := make(chan finishedAttempt, maxConcurrentAttempts)
	send := func(place placement) {
		ctx, own := r.join(ctx, answer)
		result := g.attempt(ctx, c, place, newAttemptID(), own)
		if result.end == retry.EndDone && !serverFailed(result.status) && !r.tryWin(own) {
			result.err = errLostRace
		}
		place.release()
		finished <- finishedAttempt{place, own, result}
	}
	go send(place)
	delay := g.retries.latencies.hedgeDelay(c)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	inFlight := 1
	tried := append(slices.Clone(p.triedServers), place.server)
	var done []finishedAttempt
	for inFlight > 0 {
		select {
		case f := <-finished:
			inFlight--
			done = append(done, f)
			timer.Reset(minHedgeInterval) // if the hedge was refused, the remaining attempt may need another one
		case <-timer.C:
			if len(tried) >= len(g.views.View().Candidates(c.target)) {
				tried = []fleet.ServerID{place.server} // a server that refused may accept it now
			}
			hedge, ok := placement{}, false
			if inFlight < maxConcurrentAttempts {
				hedge, ok = g.acquireHedge(ctx, c, r, tried, p.triedDataCentres)
			}
			if ok {
				inFlight++
				tried = append(tried, hedge.server)
				go send(hedge)
				continue
			}
			timer.Reset(max(delay, minHedgeInterval)) // by then the budget may allow a hedge or a slot may be free
		}
	}
	return finishRace(r, done, answer)
}

// acquireHedge returns a placement for a hedge if the budget allows it and one is free within two dispatch intervals.
func (g *Gateway) acquireHedge(ctx context.Context, c *call, r *race, triedServers []fleet.ServerID,
	triedDataCentres []fleet.DataCentre) (placement, bool) {
	if r.hasWinner() || !g.retries.allowHedge() {
		return placement{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*dispatchInterval)
	defer cancel()
	place, err := g.dispatcher.acquire(ctx, c, triedServers, triedDataCentres, requireOther)
	if err != nil {
		return placement{}, false
	}
	metricRetries("hedge").Inc()
	return place, true
}

// finishRace moves the winner, or any attempt if none has won, to the end and copies its buffer to answer.
func finishRace(r *race, done []finishedAttempt, answer *answerBuffer) []finishedAttempt {
	for i, f := range done {
		if f.answer == r.winner {
			done[i], done[len(done)-1] = done[len(done)-1], done[i]
		}
	}
	last := &done[len(done)-1]
	*answer = *last.answer
	answer.race = nil
	last.answer = answer
	return done
}

// firstPartLatencies estimates the latency of the first part of an answer for each class of calls.
type firstPartLatencies struct {
	mu      sync.Mutex
	byClass map[latencyClass]*retry.Latency
}

// latencyClass groups calls with similar latency of the first part.
type latencyClass struct {
	target fleet.Target
	stream bool
	method string
}

// maxLatencyClasses limits the estimates, because callers choose the names of targets. Beyond it all are discarded.
const maxLatencyClasses = 1024

func latencyClassOf(c *call) latencyClass {
	return latencyClass{fleet.Target{Kind: c.target.Kind, Name: c.target.Name}, c.stream, c.method}
}

func (l *firstPartLatencies) observe(c *call, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	class := latencyClassOf(c)
	estimate, ok := l.byClass[class]
	if !ok {
		if len(l.byClass) >= maxLatencyClasses {
			clear(l.byClass)
		}
		estimate = retry.NewLatency(0)
		l.byClass[class] = estimate
	}
	estimate.Observe(time.Now(), latency)
}

// hedgeDelay returns how long to wait for the first part of the answer before a hedge is sent.
func (l *firstPartLatencies) hedgeDelay(c *call) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if estimate, ok := l.byClass[latencyClassOf(c)]; ok {
		if delay, known := estimate.HedgeDelay(time.Now()); known {
			return delay
		}
	}
	return defaultHedgeDelay
}
