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

// defaultLate is when a first part is late while too few calls were seen to tell: the target of the time to first token.
// An instance with little traffic, where a stalled engine matters as much, never sees enough of them.
const defaultLate = 1100 * time.Millisecond

// minHedgePause lies between two tries to send a hedge.
const minHedgePause = 100 * time.Millisecond

// maxRacing bounds the attempts of one call that are under way at a time.
const maxRacing = 2

// errOvertaken ends an attempt whose rival has answered first.
var errOvertaken = errors.New("another attempt of the request has answered first")

// race lets one of several attempts of a call answer.
type race struct {
	mu     sync.Mutex
	winner *answerBuffer
	cancel map[*answerBuffer]context.CancelFunc
}

// enter returns the buffer and context of an attempt that takes part.
func (r *race) enter(ctx context.Context, answer *answerBuffer) (context.Context, *answerBuffer) {
	ctx, cancel := context.WithCancel(ctx)
	own := *answer
	own.race, own.held = r, nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[&own] = cancel
	return ctx, &own
}

// claim makes an attempt the winner unless there is one, and cancels its rivals.
func (r *race) claim(b *answerBuffer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = b
		for rival, cancel := range r.cancel {
			if rival != b {
				cancel()
			}
		}
	}
	return r.winner == b
}

func (r *race) won() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil
}

// finished is the end of one attempt of a race.
type finished struct {
	place  placement
	answer *answerBuffer
	ending ending
}

// raced sends an attempt to the placement and, if its first part is late and the budget allows it, a second one to
// another server (a hedge). The first to answer wins, and the other is cancelled. It returns where the attempts went.
func (g *Gateway) raced(ctx context.Context, c *call, place placement, p *progress, answer *answerBuffer) []finished {
	if answer.started || place.spilled() {
		ending := g.attempt(ctx, c, place, newAttemptID(), answer)
		place.release()
		return []finished{{place, answer, ending}}
	}
	r := &race{cancel: make(map[*answerBuffer]context.CancelFunc)}
	ends := make(chan finished, maxRacing)
	send := func(place placement) {
		ctx, own := r.enter(ctx, answer)
		ending := g.attempt(ctx, c, place, newAttemptID(), own)
		if ending.end == retry.EndDone && !serverFailed(ending.status) && !r.claim(own) {
			ending.err = errOvertaken
		}
		place.release()
		ends <- finished{place, own, ending}
	}
	go send(place)
	late := g.retries.lateness.late(c)
	timer := time.NewTimer(late)
	defer timer.Stop()
	open := 1
	tried := append(slices.Clone(p.exclude), place.server)
	var done []finished
	for open > 0 {
		select {
		case f := <-ends:
			open--
			done = append(done, f)
			timer.Reset(minHedgePause) // a hedge that was refused leaves the late attempt alone again
		case <-timer.C:
			if len(tried) >= len(g.views.View().Candidates(c.target)) {
				tried = []fleet.ServerID{place.server} // a server that refused may take it now
			}
			second, ok := placement{}, false
			if open < maxRacing {
				second, ok = g.hedge(ctx, c, r, tried, p.avoid)
			}
			if ok {
				open++
				tried = append(tried, second.server)
				go send(second)
				continue
			}
			timer.Reset(max(late, minHedgePause)) // the budget or a slot may be there by then
		}
	}
	return settleRace(r, done, answer)
}

// hedge returns a placement for a second attempt, if one is free at once and the budget allows it.
func (g *Gateway) hedge(ctx context.Context, c *call, r *race, tried []fleet.ServerID, avoid []fleet.DataCentre) (placement, bool) {
	if r.won() || !g.retries.allowHedge() {
		return placement{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*dispatchInterval)
	defer cancel()
	second, err := g.dispatcher.acquire(ctx, c, tried, avoid, required)
	if err != nil {
		return placement{}, false
	}
	metricRetries("hedge").Inc()
	return second, true
}

// settleRace puts the winner last, or any attempt if none has won, and takes over its answer.
func settleRace(r *race, done []finished, answer *answerBuffer) []finished {
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

// lateness estimates for each kind of call when its first part is late.
type lateness struct {
	mu      sync.Mutex
	byClass map[latenessClass]*retry.Latency
}

// latenessClass tells calls apart whose first parts take different times.
type latenessClass struct {
	target fleet.Target
	stream bool
	method string
}

// maxLatenessClasses bounds the estimates; names of targets come from callers.
const maxLatenessClasses = 1024

func classOf(c *call) latenessClass {
	return latenessClass{fleet.Target{Kind: c.target.Kind, Name: c.target.Name}, c.stream, c.method}
}

func (l *lateness) observe(c *call, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	class := classOf(c)
	estimate, ok := l.byClass[class]
	if !ok {
		if len(l.byClass) >= maxLatenessClasses {
			clear(l.byClass)
		}
		estimate = retry.NewLatency(0)
		l.byClass[class] = estimate
	}
	estimate.Observe(time.Now(), took)
}

// late returns the time after which the first part of a call's answer is late.
func (l *lateness) late(c *call) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if estimate, ok := l.byClass[classOf(c)]; ok {
		if late, known := estimate.HedgeDelay(time.Now()); known {
			return late
		}
	}
	return defaultLate
}
