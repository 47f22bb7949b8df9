// Package fairness queues the requests that wait for a slot on one entry instance. Organisations share the slots by
// weight (start-time fair queueing over the cost of their requests), the requests of one organisation are served by
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
	Cost         float64   // expected slot time in a unit common to all items, for example tokens; at least 1
	Deadline     time.Time // when the caller stops waiting for the answer
}

// Config holds the bounds of a queue. Fields that are zero take their default.
type Config struct {
	MaxWaiting       int           // waiting items of all organisations, default 8192
	MaxOrganisations int           // organisations with items or a weight, default 1024
	Window           time.Duration // window length; rates are measured over the current and the previous window, default 2 s
	MaxRetryAfter    time.Duration // upper bound of Refusal.RetryAfter, default 30 s
}

const (
	defaultMaxWaiting       = 8192
	defaultMaxOrganisations = 1024
	defaultWindow           = 2 * time.Second
	defaultMaxRetryAfter    = 30 * time.Second
	priorityCount           = int(fleet.PriorityHigh) + 1
)

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	config           Config
	organisations    map[fleet.Organisation]*organisation
	active           []*organisation // organisations with waiting items; among equal finish tags the first is served first
	running          map[string]runningItem
	waiting          map[string]struct{}
	sharedPlacesUsed int     // waiting items beyond their organisation's reserved places
	busyWeight       float64 // sum of the weights of organisations with items waiting or running
	busyCount        int     // number of organisations with items waiting or running
	virtualTime      float64 // start tag of the item served last
	slots            int
	meter            meter
	expired          []Item // items that Next skipped as too late, until Expire returns them
}

// organisation holds the waiting items and the fair-queueing state of one organisation.
type organisation struct {
	name         fleet.Organisation
	weight       float64
	weightSet    bool // SetWeight has set the weight; the entry is kept while idle
	finishTag    float64
	levels       [priorityCount][]waitingItem
	waitingCost  [priorityCount]float64 // cost waiting at each priority
	waitingCount int
	runningCount int
	busy         bool      // counted in the queue's busyWeight
	served       window    // cost of the items that Next has returned
	nextRetryAt  time.Time // earliest retry of the next refused request, so that retries are spread
}

// waitingItem is a waiting item with the time at which it was offered.
type waitingItem struct {
	Item
	offeredAt time.Time
}

// runningItem is an item that occupies a slot.
type runningItem struct {
	organisation *organisation
	cost         float64
	startedAt    time.Time
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
		running:       make(map[string]runningItem),
		waiting:       make(map[string]struct{}),
		meter:         newMeter(c.Window),
	}
}

// SetWeight sets the organisation's weight relative to the default of 1. A weight of 0 or less restores the default. It
// fails if the queue already has MaxOrganisations organisations.
func (q *Queue) SetWeight(name fleet.Organisation, weight float64) error {
	o := q.organisations[name]
	if weight <= 0 {
		if o != nil {
			q.changeWeight(o, 1)
			o.weightSet = false
			q.removeIfIdle(o)
		}
		return nil
	}
	if o == nil {
		if o = q.addOrganisation(name); o == nil {
			return fmt.Errorf("weight of organisation %q: the queue holds at most %d organisations: raise MaxOrganisations",
				name, q.config.MaxOrganisations)
		}
	}
	q.changeWeight(o, weight)
	o.weightSet = true
	return nil
}

func (q *Queue) changeWeight(o *organisation, weight float64) {
	if o.busy {
		q.busyWeight += weight - o.weight
	}
	o.weight = weight
}

// updateBusy updates busyCount and busyWeight after the organisation's waiting or running items have changed. The sum of
// weights is kept in the order of events, because a sum over the map would differ in the last digit between runs.
func (q *Queue) updateBusy(o *organisation) {
	busy := o.waitingCount > 0 || o.runningCount > 0
	switch {
	case busy && !o.busy:
		q.busyCount++
		q.busyWeight += o.weight
	case !busy && o.busy:
		if q.busyCount--; q.busyCount == 0 {
			q.busyWeight = 0 // clears the rounding error
		} else {
			q.busyWeight -= o.weight
		}
	}
	o.busy = busy
}

// SetSlots sets how many requests this entry instance may have running at a time. The number serves to estimate the wait
// until the service rate under load has been measured. 0 means unknown.
func (q *Queue) SetSlots(slots int) { q.slots = max(slots, 0) }

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of items that Next has returned and that Done has not ended.
func (q *Queue) Running() int { return len(q.running) }

// Next returns the item to be served next; the caller calls it when a slot is free, and Done when the item releases the
// slot. Items that can no longer be answered in time are skipped and returned by the next call of Expire.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.meter.advance(now, len(q.waiting) > 0)
	for len(q.active) > 0 {
		o := q.active[0]
		for _, other := range q.active[1:] {
			if max(other.finishTag, q.virtualTime) < max(o.finishTag, q.virtualTime) {
				o = other
			}
		}
		w := q.pop(o)
		// With nothing running the estimate may be out of date, so the item is tried: only new measurements can show that
		// servers have become fast again.
		if !w.Deadline.After(now) || (len(q.running) > 0 && now.Add(q.reservedServiceTime(w)).After(w.Deadline)) {
			q.expired = append(q.expired, w.Item)
			q.removeIfIdle(o)
			continue
		}
		start := max(o.finishTag, q.virtualTime)
		q.virtualTime = start
		o.finishTag = start + w.Cost/o.weight
		o.served.add(now, q.config.Window, w.Cost)
		o.runningCount++
		q.running[w.ID] = runningItem{organisation: o, cost: w.Cost, startedAt: now}
		// The served organisation moves behind others with the same tag, so that ties are served in turn.
		q.moveToEnd(o)
		return w.Item, true
	}
	return Item{}, false
}

// Done ends an item that Next has returned, whatever its outcome. The organisation is charged for the slot time that the
// item used rather than for its stated cost.
func (q *Queue) Done(now time.Time, id string) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.meter.advance(now, len(q.waiting) > 0)
	slotTime := now.Sub(r.startedAt)
	if perCost := q.meter.secondsPerCost(); perCost > 0 {
		actual := slotTime.Seconds() / perCost
		r.organisation.finishTag += (min(actual, maxChargeRatio*r.cost) - r.cost) / r.organisation.weight
	}
	q.meter.recordEnd(r.cost, slotTime)
	r.organisation.runningCount--
	q.removeIfIdle(r.organisation)
	if len(q.running) == 0 && len(q.active) == 0 {
		q.endBusyPeriod()
	}
}

// endBusyPeriod sets the virtual time to the highest finish tag when the queue becomes idle, so that service before the
// idle period puts no organisation at a disadvantage after it.
func (q *Queue) endBusyPeriod() {
	for _, o := range q.organisations {
		q.virtualTime = max(q.virtualTime, o.finishTag)
	}
	q.removeIdle()
}

// maxChargeRatio bounds the charge for one item to a multiple of its stated cost, so that a single hung server does not
// exclude the organisation whose request it was serving.
const maxChargeRatio = 4

// Expire removes the items whose deadline has passed and returns them with those that Next has skipped. They were not
// run.
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
				q.accountRemoval(o, level, w)
			}
			clear(o.levels[level][len(kept):])
			o.levels[level] = kept
		}
		if o.waitingCount == 0 {
			q.deactivate(o)
			q.removeIfIdle(o)
		}
	}
	return expired
}

// Cancel removes a waiting item whose caller has disconnected. It reports whether the item was waiting; if so, it was not
// run.
func (q *Queue) Cancel(now time.Time, name fleet.Organisation, id string) bool {
	o := q.organisations[name]
	if _, ok := q.waiting[id]; !ok || o == nil {
		return false
	}
	q.meter.advance(now, true)
	for level, items := range o.levels {
		for i, w := range items {
			if w.ID != id {
				continue
			}
			o.levels[level] = append(items[:i:i], items[i+1:]...)
			q.accountRemoval(o, level, w)
			if o.waitingCount == 0 {
				q.deactivate(o)
				q.removeIfIdle(o)
			}
			return true
		}
	}
	return false
}

// addOrganisation adds an entry for the organisation, or returns nil if there are too many.
func (q *Queue) addOrganisation(name fleet.Organisation) *organisation {
	if len(q.organisations) >= q.config.MaxOrganisations {
		q.removeIdle()
	}
	if len(q.organisations) >= q.config.MaxOrganisations {
		return nil
	}
	o := &organisation{name: name, weight: 1}
	q.organisations[name] = o
	return o
}

// push appends an item to its organisation's queue of the item's priority.
func (q *Queue) push(now time.Time, o *organisation, item Item) {
	if o.waitingCount == 0 {
		q.active = append(q.active, o)
	}
	level := int(item.Priority)
	o.levels[level] = append(o.levels[level], waitingItem{Item: item, offeredAt: now})
	o.waitingCost[level] += item.Cost
	o.waitingCount++
	if o.waitingCount > q.reservedPlaces() {
		q.sharedPlacesUsed++
	}
	q.waiting[item.ID] = struct{}{}
	q.updateBusy(o)
}

// pop removes and returns the organisation's oldest item of the highest priority.
func (q *Queue) pop(o *organisation) waitingItem {
	level := priorityCount - 1
	for len(o.levels[level]) == 0 {
		level--
	}
	w := o.levels[level][0]
	o.levels[level][0] = waitingItem{}
	o.levels[level] = o.levels[level][1:]
	if len(o.levels[level]) == 0 {
		o.levels[level] = nil
	}
	q.accountRemoval(o, level, w)
	if o.waitingCount == 0 {
		q.deactivate(o)
	}
	return w
}

// accountRemoval updates the counters after an item was removed from the organisation's queue of that priority.
func (q *Queue) accountRemoval(o *organisation, level int, w waitingItem) {
	if o.waitingCount > q.reservedPlaces() {
		q.sharedPlacesUsed--
	}
	o.waitingCount--
	o.waitingCost[level] -= w.Cost
	if len(o.levels[level]) == 0 {
		o.waitingCost[level] = 0 // clears the rounding error
	}
	delete(q.waiting, w.ID)
}

// deactivate removes an organisation from the active list.
func (q *Queue) deactivate(o *organisation) {
	for i, other := range q.active {
		if other == o {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// moveToEnd moves an organisation to the end of the active list if it has waiting items.
func (q *Queue) moveToEnd(o *organisation) {
	if o.waitingCount > 0 {
		q.deactivate(o)
		q.active = append(q.active, o)
	}
}

// removeIfIdle deletes the entry of an idle organisation without a set weight once the virtual time has reached its
// finish tag.
func (q *Queue) removeIfIdle(o *organisation) {
	q.updateBusy(o)
	if o.waitingCount == 0 && o.runningCount == 0 && !o.weightSet && o.finishTag <= q.virtualTime {
		delete(q.organisations, o.name)
	}
}
