// Package waiting holds the requests for which no server can be chosen now, until one can or they can no longer be served in time. It
// answers bursts, in which urgent requests go first, and servers that are all out of reach for a moment.
package waiting

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Request describes a request that may wait.
type Request struct {
	Priority int // 0 is the most urgent
	// Begun states that the caller has received a part of the answer, which is lost if the rest does not follow.
	Begun bool
	// Objective is when the request must have begun to be on time, zero if it cannot be late.
	Objective time.Time
	// Until is when it must have begun to be served at all.
	Until time.Time
}

// Late reports whether the request will miss its objective on any server.
func (r *Request) Late(now time.Time) bool { return !r.Objective.IsZero() && now.After(r.Objective) }

// Before reports whether a request is to be served before another one: those whose answer has begun, then those that can be on time
// by priority and by the time left, then the late ones likewise. So the pace is kept for those who can still be on time, and the
// others take the room between them.
func (r *Request) Before(now time.Time, o *Request) bool {
	if r.Begun != o.Begun {
		return r.Begun
	}
	if late := r.Late(now); late != o.Late(now) {
		return !late
	}
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.Until.After(o.Until)
}

// Waiter is a request in a queue. The value is the caller's.
type Waiter[V any] struct {
	Request
	Value V
}

// Queue holds the requests that wait for one service at one instance. It is not safe for concurrent use.
type Queue[V any] struct {
	waiters []*Waiter[V]
}

// Len returns the number of requests that wait.
func (q *Queue[V]) Len() int { return len(q.waiters) }

// Enter adds a request. If more than limit wait then, it returns the one that would be served last, which must be rejected: it could
// not be served in time.
func (q *Queue[V]) Enter(now time.Time, r Request, value V, limit int) (w, rejected *Waiter[V]) {
	w = &Waiter[V]{Request: r, Value: value}
	q.waiters = append(q.waiters, w)
	if len(q.waiters) <= limit {
		return w, nil
	}
	last := w
	for _, other := range q.waiters {
		if last.Before(now, &other.Request) {
			last = other
		}
	}
	q.Remove(last)
	return w, last
}

// Remove takes a request out, and reports whether it was in the queue.
func (q *Queue[V]) Remove(w *Waiter[V]) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(o *Waiter[V]) bool { return o == w })
	return len(q.waiters) < before
}

// InOrder returns the requests in the order in which they are to be served.
func (q *Queue[V]) InOrder(now time.Time) []*Waiter[V] {
	ordered := slices.Clone(q.waiters)
	slices.SortStableFunc(ordered, func(x, y *Waiter[V]) int {
		switch {
		case x.Before(now, &y.Request):
			return -1
		case y.Before(now, &x.Request):
			return 1
		}
		return 0
	})
	return ordered
}

// MayPass reports whether a request that has just arrived may be sent although others wait: none of them comes before it.
func (q *Queue[V]) MayPass(now time.Time, r *Request) bool {
	return !slices.ContainsFunc(q.waiters, func(w *Waiter[V]) bool { return w.Before(now, r) })
}

// minWaiters is the number of requests that may wait however few arrive.
const minWaiters = 8

// repeatRatio allows for bursts, and for callers who come again.
const repeatRatio = 3

// Limit returns how many requests may wait at an instance to which some a second arrive usually, if each may wait for the given time. A
// longer queue means that they arrive faster than they are ever served.
func Limit(perSecond float64, wait time.Duration) int {
	return max(minWaiters, int(math.Ceil(repeatRatio*perSecond*wait.Seconds())))
}

// Patience is how long a caller waits for the first event of a stream, or for the rest of an answer.
type Patience struct {
	FirstEvent time.Duration // 0 if the caller waits until its deadline
}

// startObjectives is the number of objectives that an answer takes to begin after an outage or in a burst, when many are started at once.
const startObjectives = 2

// LatestStart returns until when a request may wait that arrived at a time: its answer takes a few objectives to begin, which must come
// before the caller loses patience, and answer in all, which must come before the deadline.
func (p Patience) LatestStart(arrived, deadline time.Time, objective, answer time.Duration) time.Time {
	end := deadline.Add(-max(answer, objective))
	if p.FirstEvent > 0 {
		if patient := arrived.Add(p.FirstEvent - startObjectives*objective); patient.Before(end) {
			end = patient
		}
	}
	return end
}

// ReturnAfter returns the Retry-After of a request whose wait has ended without a server. expected is the time until a server is
// expected again; a caller waits for a third of the time left at most, and needs the rest for its answer.
func ReturnAfter(left, expected time.Duration) time.Duration {
	return cmp.Or(min(expected, left/callerWaitDivisor), expected)
}

// callerWaitDivisor is the part of the time left that callers wait for at most.
const callerWaitDivisor = 3
