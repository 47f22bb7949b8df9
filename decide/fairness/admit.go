package fairness

import (
	"fmt"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Reason is why an item was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// ReasonOverShare: the organisation's own waiting requests use its share of the slots until after the deadline.
	ReasonOverShare Reason = iota
	// ReasonDeadline: the deadline has passed or leaves less time than the request usually takes, even without waiting.
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

// Refusal is the error of an item that was not admitted. The item was not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // time until a retry can be admitted, 0 if a retry would not help
	Wait       time.Duration // expected wait in the queue
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
// on its share of the service rate, never on how many items other organisations have waiting.
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
		if o = q.addOrganisation(item.Organisation); o == nil {
			return &Refusal{Reason: ReasonFull, RetryAfter: q.config.Window}
		}
	}
	if refusal := q.checkAdmission(now, o, item); refusal != nil {
		q.removeIfIdle(o)
		return refusal
	}
	q.push(now, o, item)
	return nil
}

// checkAdmission returns nil if an item of a known organisation can be admitted, else the refusal.
func (q *Queue) checkAdmission(now time.Time, o *organisation, item Item) *Refusal {
	budget := item.Deadline.Sub(now)
	if q.meter.expectedSlotTime(item.Cost) > budget && len(q.running) > 0 {
		return &Refusal{Reason: ReasonDeadline}
	}
	costAhead := 0.0
	for level := int(item.Priority); level < priorityCount; level++ {
		costAhead += o.waitingCost[level]
	}
	rate := q.organisationRate(now, o)
	wait := time.Duration(0)
	if rate > 0 {
		wait = secondsToDuration(costAhead / rate)
	}
	// An organisation that has no items ahead of this one is within its share, whatever the estimated wait.
	if lateness := wait + q.reservedServiceTime(waitingItem{item, now}) - budget; lateness > 0 && costAhead > 0 {
		return &Refusal{Reason: ReasonOverShare, Wait: wait, RetryAfter: q.retryAfter(now, o, lateness, item.Cost/rate)}
	}
	if o.waitingCount >= q.reservedPlaces() && (q.sharedPlacesUsed >= q.sharedPlaces() ||
		o.waitingCount-q.reservedPlaces() >= q.sharedPlaces()-q.sharedPlacesUsed) {
		serviceTime := time.Duration(0)
		if rate > 0 {
			serviceTime = secondsToDuration(item.Cost / rate)
		}
		return &Refusal{Reason: ReasonFull, Wait: wait, RetryAfter: q.retryAfter(now, o, serviceTime, serviceTime.Seconds())}
	}
	return nil
}

// reservedServiceTime returns how long before its deadline an item must get a slot. It is at most three quarters of the
// time from offer to deadline: short deadlines would otherwise be refused on an idle system.
func (q *Queue) reservedServiceTime(w waitingItem) time.Duration {
	return min(q.meter.slotTimeBound(w.Cost), w.Deadline.Sub(w.offeredAt)*3/4)
}

// organisationRate returns the cost per second that the organisation can expect to be served: its weighted share of the
// service rate, or its recent rate if that was higher because others left capacity unused. 0 means unknown.
func (q *Queue) organisationRate(now time.Time, o *organisation) float64 {
	totalRate := q.meter.serviceRate()
	if totalRate == 0 {
		if perCost := q.meter.secondsPerCost(); perCost > 0 {
			totalRate = float64(q.slots) / perCost
		}
	}
	totalWeight := q.busyWeight
	if !o.busy {
		totalWeight += o.weight
	}
	recentRate := 0.0
	if o.waitingCount > 0 {
		recentRate = o.served.perSecond(now, q.config.Window)
	}
	return max(totalRate*o.weight/totalWeight, recentRate)
}

// retryAfter returns the time until a refused request should be retried, at least delay. It spreads the retries of an
// organisation at its service rate, turnSeconds apart. Without this, all of them would be retried at once.
func (q *Queue) retryAfter(now time.Time, o *organisation, delay time.Duration, turnSeconds float64) time.Duration {
	at := now.Add(delay)
	if o.nextRetryAt.After(at) {
		at = o.nextRetryAt
	}
	if limit := now.Add(q.config.MaxRetryAfter); at.After(limit) {
		at = limit
	}
	o.nextRetryAt = at.Add(secondsToDuration(turnSeconds))
	return max(at.Sub(now), minRetryAfter)
}

// minRetryAfter keeps callers from retrying in a tight loop.
const minRetryAfter = 100 * time.Millisecond

// reservedPlaces returns the number of places reserved for each organisation: half of the queue is divided evenly.
func (q *Queue) reservedPlaces() int { return max(q.config.MaxWaiting/2/q.config.MaxOrganisations, 1) }

// sharedPlaces returns the number of places that organisations share beyond their reserved ones. An organisation may use
// at most as many as remain free for others, so that none uses all.
func (q *Queue) sharedPlaces() int {
	return max(q.config.MaxWaiting-q.reservedPlaces()*q.config.MaxOrganisations, 0)
}

// removeIdle deletes the entries of idle organisations whose weight was not set.
func (q *Queue) removeIdle() {
	for name, o := range q.organisations {
		if o.waitingCount == 0 && o.runningCount == 0 && !o.weightSet {
			delete(q.organisations, name)
		}
	}
}
