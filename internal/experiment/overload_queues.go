package experiment

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fairness"
	"github.com/banyanfront/banyanfront/decide/fleet"
)

// fairOverload adapts fairness.Queue, the queue of the system.
type fairOverload struct{ queue *fairness.Queue }

func (q *fairOverload) offer(now time.Time, item fairness.Item) (bool, time.Duration) {
	if refusal := q.queue.Offer(now, item); refusal != nil {
		return false, refusal.RetryAfter
	}
	return true, 0
}

func (q *fairOverload) next(now time.Time) (string, bool) {
	item, ok := q.queue.Next(now)
	return item.ID, ok
}

func (q *fairOverload) done(now time.Time, id string)        { q.queue.Done(now, id) }
func (q *fairOverload) expire(now time.Time) []fairness.Item { return q.queue.Expire(now) }
func (q *fairOverload) setSlots(n int)                       { q.queue.SetSlots(n) }
func (q *fairOverload) waiting() int                         { return q.queue.Waiting() }

// fifoOverload is a baseline: one unbounded FIFO queue that also serves requests whose callers have timed out.
type fifoOverload struct{ items []string }

func (q *fifoOverload) offer(_ time.Time, item fairness.Item) (bool, time.Duration) {
	q.items = append(q.items, item.ID)
	return true, 0
}

func (q *fifoOverload) next(time.Time) (string, bool) {
	if len(q.items) == 0 {
		return "", false
	}
	id := q.items[0]
	q.items = q.items[1:]
	return id, true
}

func (q *fifoOverload) done(time.Time, string)           {}
func (q *fifoOverload) expire(time.Time) []fairness.Item { return nil }
func (q *fifoOverload) setSlots(int)                     {}
func (q *fifoOverload) waiting() int                     { return len(q.items) }

// roundRobinOverload is a baseline: round robin over the organisations. It refuses nothing and drops a request only once
// its deadline has passed.
type roundRobinOverload struct {
	organisations map[fleet.Organisation][]fairness.Item
	order         []fleet.Organisation // with queued items, the next to serve first
	count         int
	expired       []fairness.Item
}

func newRoundRobinOverload() *roundRobinOverload {
	return &roundRobinOverload{organisations: make(map[fleet.Organisation][]fairness.Item)}
}

func (q *roundRobinOverload) offer(_ time.Time, item fairness.Item) (bool, time.Duration) {
	if len(q.organisations[item.Organisation]) == 0 {
		q.order = append(q.order, item.Organisation)
	}
	q.organisations[item.Organisation] = append(q.organisations[item.Organisation], item)
	q.count++
	return true, 0
}

func (q *roundRobinOverload) next(now time.Time) (string, bool) {
	for len(q.order) > 0 {
		name := q.order[0]
		item := q.organisations[name][0]
		q.organisations[name] = q.organisations[name][1:]
		q.count--
		expired := !item.Deadline.After(now)
		if expired {
			q.expired = append(q.expired, item)
		}
		if len(q.organisations[name]) == 0 {
			q.order = q.order[1:]
		} else if !expired {
			q.order = append(q.order[1:], name)
		}
		if !expired {
			return item.ID, true
		}
	}
	return "", false
}

func (q *roundRobinOverload) done(time.Time, string) {}
func (q *roundRobinOverload) setSlots(int)           {}
func (q *roundRobinOverload) waiting() int           { return q.count }

func (q *roundRobinOverload) expire(time.Time) []fairness.Item {
	expired := q.expired
	q.expired = nil
	return expired
}
