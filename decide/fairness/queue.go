// Package fairness holds the requests that wait for a slot on one entry instance. Organisations share the slots by
// weight (start-time fair queueing over the cost of their requests), each organisation serves its own requests by
// priority, and a request that would miss its deadline is refused at once, as not run.
package fairness

import (
	"fmt"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Item is one waiting request.
type Item struct {
	ID           string
	Organisation fleet.Organisation
	Priority     fleet.Priority
	Cost         float64   // expected slot time in any unit that all items share, for example tokens; at least 1
	Deadline     time.Time // when the caller stops waiting for the answer
}

// Config bounds a queue. Zero fields take the default.
type Config struct {
	MaxWaiting       int           // items waiting in all, default 8192
	MaxOrganisations int           // organisations with items or a weight, default 1024
	Window           time.Duration // half of the time over which rates are measured, default 2 s
	MaxRetryAfter    time.Duration // longest retry time in a refusal, default 30 s
}

const (
	defaultMaxWaiting       = 8192
	defaultMaxOrganisations = 1024
	defaultWindow           = 2 * time.Second
	defaultMaxRetryAfter    = 30 * time.Second
	priorities              = int(fleet.PriorityHigh) + 1
)

// Queue is a weighted fair queue. It is a state machine without locks: one caller at a time.
type Queue struct {
	config        Config
	organisations map[fleet.Organisation]*organisation
	active        []*organisation // organisations with waiting items, in order of their first item
	running       map[string]run
	waiting       map[string]struct{}
	shared        int     // waiting items above their organisation's reserved places
	busyWeight    float64 // weights of the organisations that have items waiting or running
	busy          int     // their number
	virtual       float64 // virtual time: start tag of the item served last
	slots         int
	meter         meter
	expired       []Item // items that Next found too late, until Expire returns them
}

// organisation holds the waiting items and the account of one organisation.
type organisation struct {
	name     fleet.Organisation
	weight   float64
	explicit bool // the weight was set, so that the entry is kept while idle
	finish   float64
	levels   [priorities][]waiter
	cost     [priorities]float64 // cost waiting at each priority
	count    int
	running  int
	busy     bool      // counted in the queue's busyWeight
	served   window    // cost handed out while the organisation had items waiting
	returnAt time.Time // when the last refused request was told to come back
}

// waiter is a waiting item with the time of its offer.
type waiter struct {
	Item
	offered time.Time
}

// run is an item that holds a slot.
type run struct {
	organisation *organisation
	cost         float64
	started      time.Time
}

// New returns an empty queue.
func New(c Config) *Queue {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.MaxOrganisations <= 0 {
		c.MaxOrganisations = defaultMaxOrganisations
	}
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	return &Queue{
		config:        c,
		organisations: make(map[fleet.Organisation]*organisation),
		running:       make(map[string]run),
		waiting:       make(map[string]struct{}),
		meter:         newMeter(c.Window),
	}
}

// SetWeight sets the organisation's weight relative to the default of 1. A weight of 0 or less restores the default. It
// fails if the queue already knows as many organisations as it may.
func (q *Queue) SetWeight(name fleet.Organisation, weight float64) error {
	o := q.organisations[name]
	if weight <= 0 {
		if o != nil {
			q.reweigh(o, 1)
			o.explicit = false
			q.forget(o)
		}
		return nil
	}
	if o == nil {
		if o = q.add(name); o == nil {
			return fmt.Errorf("weight of organisation %q: the queue holds at most %d organisations: raise MaxOrganisations",
				name, q.config.MaxOrganisations)
		}
	}
	q.reweigh(o, weight)
	o.explicit = true
	return nil
}

func (q *Queue) reweigh(o *organisation, weight float64) {
	if o.busy {
		q.busyWeight += weight - o.weight
	}
	o.weight = weight
}

// occupy keeps busyWeight up to date after the organisation's waiting or running items have changed. The sum is kept in
// the order of events, because a sum over the map would differ in the last digit from run to run.
func (q *Queue) occupy(o *organisation) {
	busy := o.count > 0 || o.running > 0
	switch {
	case busy && !o.busy:
		q.busy++
		q.busyWeight += o.weight
	case !busy && o.busy:
		if q.busy--; q.busy == 0 {
			q.busyWeight = 0 // drops the rounding error
		} else {
			q.busyWeight -= o.weight
		}
	}
	o.busy = busy
}

// SetSlots tells how many requests this entry instance may have running at a time. It is used to estimate the wait until
// the rate of service under load has been measured. 0 means unknown.
func (q *Queue) SetSlots(slots int) { q.slots = max(slots, 0) }

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of items that Next handed out and Done has not ended.
func (q *Queue) Running() int { return len(q.running) }

// Next hands out the next item when a slot is free; Done must be called when the item gives the slot back. Items that
// can no longer be answered in time are skipped and returned by the next call of Expire.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.meter.advance(now, len(q.waiting) > 0)
	for len(q.active) > 0 {
		o := q.active[0]
		for _, other := range q.active[1:] {
			if max(other.finish, q.virtual) < max(o.finish, q.virtual) {
				o = other
			}
		}
		w := q.pop(o)
		// With nothing running the estimate may be out of date, so the item is tried: this is how the queue learns that
		// servers have become fast again.
		if !w.Deadline.After(now) || (len(q.running) > 0 && now.Add(q.reserve(w)).After(w.Deadline)) {
			q.expired = append(q.expired, w.Item)
			q.forget(o)
			continue
		}
		start := max(o.finish, q.virtual)
		q.virtual = start
		o.finish = start + w.Cost/o.weight
		o.served.add(now, q.config.Window, w.Cost)
		o.running++
		q.running[w.ID] = run{organisation: o, cost: w.Cost, started: now}
		// The organisation served goes behind its equals, so that ties take turns.
		q.rotate(o)
		return w.Item, true
	}
	return Item{}, false
}

// Done ends an item that Next handed out, whatever its outcome. The organisation is charged for the slot time that the
// item took rather than for the cost it stated.
func (q *Queue) Done(now time.Time, id string) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.meter.advance(now, len(q.waiting) > 0)
	took := now.Sub(r.started)
	if perCost := q.meter.timePerCost(); perCost > 0 {
		actual := took.Seconds() / perCost
		r.organisation.finish += (min(actual, maxCorrection*r.cost) - r.cost) / r.organisation.weight
	}
	q.meter.done(r.cost, took)
	r.organisation.running--
	q.forget(r.organisation)
	if len(q.running) == 0 && len(q.active) == 0 {
		q.settle()
	}
}

// settle closes all accounts when the queue falls idle: nobody waited, so nobody owes anybody service.
func (q *Queue) settle() {
	for _, o := range q.organisations {
		q.virtual = max(q.virtual, o.finish)
	}
	q.sweep()
}

// maxCorrection bounds the charge for one item to a multiple of its stated cost, so that a single hung server does not
// exclude the organisation whose request it held.
const maxCorrection = 4

// Expire returns the items that left the queue because they can no longer be answered in time. They were not run.
func (q *Queue) Expire(now time.Time) []Item {
	q.meter.advance(now, len(q.waiting) > 0)
	expired := q.expired
	q.expired = nil
	for i := len(q.active) - 1; i >= 0; i-- {
		o := q.active[i]
		for level := range o.levels {
			kept := o.levels[level][:0]
			for _, w := range o.levels[level] {
				if w.Deadline.After(now) {
					kept = append(kept, w)
					continue
				}
				expired = append(expired, w.Item)
				q.removed(o, level, w)
			}
			clear(o.levels[level][len(kept):])
			o.levels[level] = kept
		}
		if o.count == 0 {
			q.deactivate(o)
			q.forget(o)
		}
	}
	return expired
}

// Cancel removes a waiting item whose caller has gone. It reports whether the item was waiting; if so, it was not run.
func (q *Queue) Cancel(now time.Time, name fleet.Organisation, id string) bool {
	o := q.organisations[name]
	if _, ok := q.waiting[id]; !ok || o == nil {
		return false
	}
	q.meter.advance(now, true)
	for level, waiters := range o.levels {
		for i, w := range waiters {
			if w.ID != id {
				continue
			}
			o.levels[level] = append(waiters[:i:i], waiters[i+1:]...)
			q.removed(o, level, w)
			if o.count == 0 {
				q.deactivate(o)
				q.forget(o)
			}
			return true
		}
	}
	return false
}

// add makes the entry of an organisation, or returns nil if there are too many.
func (q *Queue) add(name fleet.Organisation) *organisation {
	if len(q.organisations) >= q.config.MaxOrganisations {
		q.sweep()
	}
	if len(q.organisations) >= q.config.MaxOrganisations {
		return nil
	}
	o := &organisation{name: name, weight: 1}
	q.organisations[name] = o
	return o
}

// push appends an item to its organisation's level.
func (q *Queue) push(now time.Time, o *organisation, item Item) {
	if o.count == 0 {
		q.active = append(q.active, o)
	}
	level := int(item.Priority)
	o.levels[level] = append(o.levels[level], waiter{Item: item, offered: now})
	o.cost[level] += item.Cost
	o.count++
	if o.count > q.reserved() {
		q.shared++
	}
	q.waiting[item.ID] = struct{}{}
	q.occupy(o)
}

// pop takes the oldest item of the highest priority.
func (q *Queue) pop(o *organisation) waiter {
	level := priorities - 1
	for len(o.levels[level]) == 0 {
		level--
	}
	w := o.levels[level][0]
	o.levels[level][0] = waiter{}
	o.levels[level] = o.levels[level][1:]
	if len(o.levels[level]) == 0 {
		o.levels[level] = nil
	}
	q.removed(o, level, w)
	if o.count == 0 {
		q.deactivate(o)
	}
	return w
}

// removed accounts for an item that left the organisation's level.
func (q *Queue) removed(o *organisation, level int, w waiter) {
	if o.count > q.reserved() {
		q.shared--
	}
	o.count--
	o.cost[level] -= w.Cost
	if len(o.levels[level]) == 0 {
		o.cost[level] = 0 // drops the rounding error
	}
	delete(q.waiting, w.ID)
}

// deactivate takes an organisation without waiting items out of the active list.
func (q *Queue) deactivate(o *organisation) {
	for i, other := range q.active {
		if other == o {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// rotate moves an active organisation to the end of the active list.
func (q *Queue) rotate(o *organisation) {
	if o.count > 0 {
		q.deactivate(o)
		q.active = append(q.active, o)
	}
}

// forget drops the entry of an idle organisation once the virtual time has passed its account.
func (q *Queue) forget(o *organisation) {
	q.occupy(o)
	if o.count == 0 && o.running == 0 && !o.explicit && o.finish <= q.virtual {
		delete(q.organisations, o.name)
	}
}
