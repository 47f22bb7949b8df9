package edge

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/decide/waiting"
)

// waitingCall is a call that waits for a server. Its fields are guarded by the lock of the dispatcher.
type waitingCall struct {
	route   *routes.Route
	request dispatch.Request
	choice  *dispatch.Choice  // set once a server was chosen
	refusal *dispatch.Refusal // of the last try
	done    chan struct{}     // closed once choice is set or the call was rejected
}

// waitingRoom holds the calls of one service that wait for a server.
type waitingRoom struct {
	queue   waiting.Queue[*waitingCall]
	refusal *dispatch.Refusal // of the last try for the first in the queue; nil while the queue is empty
	retry   *time.Timer       // tries again when a server that is excluded for a time may be chosen
}

// waitable reports whether a server may become available while a call waits. For a closed group calls do not wait: most outages last
// longer than their callers' patience, and the backlog would delay those who come after the return.
func waitable(reason dispatch.Reason) bool {
	switch reason {
	case dispatch.Full, dispatch.Unreachable, dispatch.Cold, dispatch.NoServers:
		return true
	}
	return false
}

// roomFor returns the waiting room of a service. The lock is held.
func (f *fleetState) roomFor(service string) *waitingRoom {
	room := f.rooms[service]
	if room == nil {
		room = &waitingRoom{}
		room.retry = time.AfterFunc(time.Hour, func() { f.serveWaiting(service) })
		room.retry.Stop()
		f.rooms[service] = room
		metrics.GetOrCreateGauge(fmt.Sprintf("banyanfront_edge_waiting{service=%q}", service), func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(room.queue.Len())
		})
	}
	return room
}

// chooseInTurn chooses the server for an attempt. If there is none now, or if calls that come before this one wait, the call waits
// until a server is chosen for it or it can no longer be served in time.
func (c *call) chooseInTurn(request dispatch.Request) (*dispatch.Choice, *dispatch.Refusal) {
	p, now := c.proxy, time.Now()
	latest := c.patience().LatestStart(c.waitsSince, c.deadline, c.route.Objective, c.answerTime())
	turn := waiting.Request{Priority: c.priority, Begun: c.answerBegun, Until: latest}
	if c.route.Objective > 0 {
		turn.Objective = c.arrived.Add(c.route.Objective / waitRatio)
		if c.objectiveMissed {
			turn.Objective = c.arrived
		}
	}
	p.mu.Lock()
	room := p.roomFor(c.service)
	var choice *dispatch.Choice
	var refusal *dispatch.Refusal
	if room.queue.MayPass(now, &turn) {
		if choice, refusal = p.dispatcher.Pick(now, request); refusal != nil {
			room.refusal = refusal
		}
	} else {
		refusal = cmp.Or(room.refusal, &dispatch.Refusal{Reason: dispatch.Full, RetryAfter: minTurnRetry})
	}
	if refusal == nil || !waitable(refusal.Reason) || !now.Before(latest) {
		p.mu.Unlock()
		return choice, c.returnAfter(refusal)
	}
	w := &waitingCall{route: c.route, request: request, refusal: refusal, done: make(chan struct{})}
	limit := waiting.Limit(p.dispatcher.ArrivalRate(now, c.service), latest.Sub(now))
	place, rejected := room.queue.Enter(now, turn, w, limit)
	if rejected != nil {
		close(rejected.Value.done)
	}
	room.retryAfter(refusal.RetryAfter)
	p.mu.Unlock()
	return c.await(room, place)
}

const (
	// waitRatio is the part of the objective by which a call must have got a server to be on time; the server needs the rest.
	waitRatio = 2
	// minTurnRetry is how soon the queue is looked at again if nothing else makes it move.
	minTurnRetry = 50 * time.Millisecond
)

// await waits until a call has its server, is rejected for others, or must have begun.
func (c *call) await(room *waitingRoom, place *waiting.Waiter[*waitingCall]) (*dispatch.Choice, *dispatch.Refusal) {
	p, w := c.proxy, place.Value
	ctx, cancel := context.WithDeadline(c.ctx, place.Until)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	p.mu.Lock()
	if room.queue.Remove(place) && room.refusal != nil {
		w.refusal = room.refusal // newer than that of its own last try
	}
	choice, refusal := w.choice, w.refusal
	if choice != nil && c.ctx.Err() != nil {
		choice.Release()
		choice = nil
		p.serveWaitingLocked(c.service)
	}
	p.mu.Unlock()
	if choice == nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_edge_waited_total{result="rejected",priority="%d"}`, c.priority)).Inc()
		return nil, c.returnAfter(refusal)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_edge_waited_total{result="served",priority="%d"}`, c.priority)).Inc()
	return choice, nil
}

// returnAfter returns a refusal with the Retry-After for a caller that has some of its time left.
func (c *call) returnAfter(refusal *dispatch.Refusal) *dispatch.Refusal {
	if refusal == nil {
		return nil
	}
	return &dispatch.Refusal{Reason: refusal.Reason, RetryAfter: waiting.ReturnAfter(time.Until(c.deadline), refusal.RetryAfter)}
}

// answerTime returns how long an answer of usual length takes if its pauses are as long as the route allows.
func (c *call) answerTime() time.Duration {
	service := c.view.Table.Service(c.service)
	if c.route.Kind != routes.Stream || service == nil || service.Engine == nil || service.Engine.Stride == 0 {
		return c.route.Objective
	}
	events := service.Engine.UsualAnswer / float64(service.Engine.Stride)
	return c.route.Objective + time.Duration(events*float64(c.route.LongestPause))
}

// patience returns how long the caller waits.
func (c *call) patience() waiting.Patience {
	return waiting.Patience{FirstEvent: c.route.FirstEventPatience}
}

// retryAfter has the room looked at again after a time at the latest.
func (r *waitingRoom) retryAfter(d time.Duration) { r.retry.Reset(max(d, minTurnRetry)) }

// serveWaiting chooses servers for the calls of a service that wait, in their order.
func (f *fleetState) serveWaiting(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveWaitingLocked(service)
}

// serveWaitingLocked is serveWaiting with the lock held.
func (f *fleetState) serveWaitingLocked(service string) {
	room := f.rooms[service]
	if room == nil || room.queue.Len() == 0 {
		return
	}
	now := time.Now()
	next := time.Duration(0)
	var refused []*routes.Route // calls of one route find the same servers
	// Less urgent calls, which may have to meet less, do not take the room for which an urgent one waits that can be on time.
	leastUrgent := math.MaxInt
	room.refusal = nil
	for _, place := range room.queue.InOrder(now) {
		w := place.Value
		if place.Priority > leastUrgent || slices.Contains(refused, w.route) {
			continue
		}
		w.request.ObjectiveMissed = place.Late(now)
		choice, refusal := f.dispatcher.Pick(now, w.request)
		if refusal != nil {
			w.refusal = refusal
			if room.refusal == nil {
				room.refusal = refusal
			}
			if refusal.Reason != dispatch.Tried {
				refused = append(refused, w.route)
			}
			if refusal.Reason == dispatch.Full && !place.Late(now) {
				leastUrgent = min(leastUrgent, place.Priority)
			}
			if next == 0 || refusal.RetryAfter < next {
				next = refusal.RetryAfter
			}
			continue
		}
		room.queue.Remove(place)
		w.choice = choice
		close(w.done)
	}
	if room.queue.Len() > 0 {
		room.retryAfter(next)
	}
}

// serveAllWaitingLocked is serveWaiting for all services, after a change of the servers or their groups. The lock is held.
func (f *fleetState) serveAllWaitingLocked() {
	for service := range f.rooms {
		f.serveWaitingLocked(service)
	}
}
