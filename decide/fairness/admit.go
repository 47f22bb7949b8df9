package fairness

import (
	"fmt"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Reason tells why an item was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// ReasonOverShare: the organisation's own waiting requests fill its share until after the deadline.
	ReasonOverShare Reason = iota
	// ReasonDeadline: the deadline is shorter than the request usually takes, whatever waits.
	ReasonDeadline
	// ReasonFull: the organisation's places in the queue are taken.
	ReasonFull
	// ReasonDuplicate: an item with this identifier waits or runs.
	ReasonDuplicate
)

// String returns the reason as a word for metrics.
func (r Reason) String() string {
	return [...]string{"over_share", "deadline", "full", "duplicate"}[r]
}

// Refusal tells why an item was not admitted. The item was not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when a place is expected, 0 if a retry is of no use
	Wait       time.Duration // the wait that was expected in the queue
}

// Error implements error.
func (r *Refusal) Error() string {
	switch r.Reason {
	case ReasonOverShare:
		return fmt.Sprintf("the organisation's waiting requests fill its share for %v: retry in %v or raise its weight",
			r.Wait.Round(time.Millisecond), r.RetryAfter.Round(time.Millisecond))
	case ReasonDeadline:
		return "the request usually takes longer than its deadline allows: set a later deadline"
	case ReasonFull:
		return fmt.Sprintf("the organisation's places in the queue are taken: retry in %v",
			r.RetryAfter.Round(time.Millisecond))
	default:
		return "a request with this identifier is already waiting or running: use another identifier"
	}
}

var _ error = (*Refusal)(nil)

// Offer admits an item and returns nil, or refuses it. The decision depends on the organisation's own waiting items and
// on its share of the rate of service, never on what other organisations have waiting.
func (q *Queue) Offer(now time.Time, item Item) *Refusal {
	item.Cost = max(item.Cost, 1)
	item.Priority = min(item.Priority, fleet.PriorityHigh)
	q.meter.advance(now, len(q.waiting) > 0)
	_, waits := q.waiting[item.ID]
	if _, runs := q.running[item.ID]; runs || waits {
		return &Refusal{Reason: ReasonDuplicate}
	}
	if !item.Deadline.After(now) {
		return &Refusal{Reason: ReasonDeadline}
	}
	o := q.organisations[item.Organisation]
	if o == nil {
		if o = q.add(item.Organisation); o == nil {
			return &Refusal{Reason: ReasonFull, RetryAfter: q.config.Window}
		}
	}
	if refusal := q.judge(now, o, item); refusal != nil {
		q.forget(o)
		return refusal
	}
	q.push(now, o, item)
	return nil
}

// judge decides on an item of a known organisation.
func (q *Queue) judge(now time.Time, o *organisation, item Item) *Refusal {
	budget := item.Deadline.Sub(now)
	if q.meter.expected(item.Cost) > budget && len(q.running) > 0 {
		return &Refusal{Reason: ReasonDeadline}
	}
	ahead := 0.0
	for level := int(item.Priority); level < priorities; level++ {
		ahead += o.cost[level]
	}
	rate := q.rate(now, o)
	wait := time.Duration(0)
	if rate > 0 {
		wait = seconds(ahead / rate)
	}
	// An organisation with nothing waiting ahead is within its share and always gets its turn.
	if late := wait + q.reserve(waiter{item, now}) - budget; late > 0 && ahead > 0 {
		return &Refusal{Reason: ReasonOverShare, Wait: wait, RetryAfter: q.retryAfter(now, o, late, item.Cost/rate)}
	}
	if o.count >= q.reserved() && (q.shared >= q.sharedPlaces() || o.count-q.reserved() >= q.sharedPlaces()-q.shared) {
		after := time.Duration(0)
		if rate > 0 {
			after = seconds(item.Cost / rate)
		}
		return &Refusal{Reason: ReasonFull, Wait: wait, RetryAfter: q.retryAfter(now, o, after, after.Seconds())}
	}
	return nil
}

// reserve is the part of the item's time that is kept for its service. It never takes more than three quarters of the
// time from offer to deadline: short deadlines would otherwise be refused on an idle system.
func (q *Queue) reserve(w waiter) time.Duration {
	return min(q.meter.bound(w.Cost), w.Deadline.Sub(w.offered)*3/4)
}

// rate is the cost per second that the organisation can count on: its weighted share of the rate of service, or what it
// received lately if others left it more. 0 means unknown.
func (q *Queue) rate(now time.Time, o *organisation) float64 {
	total := q.meter.rate()
	if total == 0 {
		if perCost := q.meter.timePerCost(); perCost > 0 {
			total = float64(q.slots) / perCost
		}
	}
	weights := q.busyWeight
	if !o.busy {
		weights += o.weight
	}
	received := 0.0
	if o.count > 0 {
		received = o.served.perSecond(now, q.config.Window)
	}
	return max(total*o.weight/weights, received)
}

// retryAfter spreads the return of refused requests over the organisation's rate, as if each of them would come back
// and take its turn. Without this, all of them would come back at once.
func (q *Queue) retryAfter(now time.Time, o *organisation, late time.Duration, turn float64) time.Duration {
	at := now.Add(late)
	if o.returnAt.After(at) {
		at = o.returnAt
	}
	if limit := now.Add(q.config.MaxRetryAfter); at.After(limit) {
		at = limit
	}
	o.returnAt = at.Add(seconds(turn))
	return max(at.Sub(now), minRetryAfter)
}

// minRetryAfter keeps callers from retrying in a tight loop.
const minRetryAfter = 100 * time.Millisecond

// reserved is the number of places that every organisation has for itself: half of the queue is divided evenly.
func (q *Queue) reserved() int { return max(q.config.MaxWaiting/2/q.config.MaxOrganisations, 1) }

// sharedPlaces is the number of places that organisations use beyond their reserved ones. An organisation takes at most
// as many as are left for others, so that no one takes all.
func (q *Queue) sharedPlaces() int {
	return max(q.config.MaxWaiting-q.reserved()*q.config.MaxOrganisations, 0)
}

// sweep drops idle organisations whose weight is the default.
func (q *Queue) sweep() {
	for name, o := range q.organisations {
		if o.count == 0 && o.running == 0 && !o.explicit {
			delete(q.organisations, name)
		}
	}
}
