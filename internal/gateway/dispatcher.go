package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fairness"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/problem"
)

const (
	// dispatchInterval is how often waiting requests are looked at when nothing else gives them a slot.
	dispatchInterval = 10 * time.Millisecond
	// maxUnplaced bounds the wait for a server while none takes work at all; then the caller is refused as not run.
	maxUnplaced = 5 * time.Second
	// probeAfter is how long a request waits for full servers before it is sent to one of them all the same.
	probeAfter = 250 * time.Millisecond
	// maxBlocked bounds the requests taken from the queue for which no server was found.
	maxBlocked = 16
	// bytesPerCost converts request size to queue cost; a cost of 1 is a request of this size or less.
	bytesPerCost = 4096
	// maxQueues bounds the targets that have a queue; names come from callers.
	maxQueues = 256
	// defaultRetryAfter is given with a refusal when nothing better is known.
	defaultRetryAfter = time.Second
)

// waiter is a request that waits for a placement.
type waiter struct {
	id      string
	call    *call
	exclude []fleet.ServerID
	avoid   []fleet.DataCentre
	since   time.Time // when it began to wait, or was last sent to a full server
	begun   time.Time
	// elsewhere says whether the servers to exclude may be used after all.
	elsewhere elsewhere
	gone      bool
	result    chan granted // takes one result
}

// elsewhere says how strictly a request must go to another server than those it excludes.
type elsewhere uint8

const (
	preferred elsewhere = iota // if one is free
	required                   // a second attempt beside the first
)

type granted struct {
	place placement
	err   error
}

// targetQueue holds the requests for one model or service.
type targetQueue struct {
	queue   *fairness.Queue
	waiting map[string]*waiter
	blocked []*waiter // taken from the queue, but no server was found yet
}

// dispatcher gives waiting requests a server as slots become free, fairly among organisations.
type dispatcher struct {
	config   Config
	views    Views
	policy   *routing.Balanced
	affinity *routing.Affinity

	mu     sync.Mutex
	rng    *rand.Rand
	queues map[fleet.Target]*targetQueue
	serial uint64
	counts map[fleet.Organisation]int // waiting requests
}

func newDispatcher(config Config, views Views) *dispatcher {
	affinity := routing.NewAffinity(0, time.Now())
	policy := routing.New(affinity)
	policy.SetLatency(config.Latency)
	return &dispatcher{
		config:   config,
		views:    views,
		policy:   policy,
		affinity: affinity,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		queues:   make(map[fleet.Target]*targetQueue),
		counts:   make(map[fleet.Organisation]int),
	}
}

// run looks at the waiting requests until the context ends.
func (d *dispatcher) run(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	var synced *control.View
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			view := d.views.View()
			d.pumpAll(view, view != synced, now)
			synced = view
		}
	}
}

// pumpAll looks at all queues. What depends on the view alone is taken over when the view is new.
func (d *dispatcher) pumpAll(view *control.View, isNew bool, now time.Time) {
	if isNew {
		d.affinity.Sync(view.Snapshot, now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for target, q := range d.queues {
		if isNew {
			q.queue.SetSlots(localSlots(view, target))
		}
		if len(q.waiting) > 0 {
			d.pump(q, view, now)
		}
	}
}

// localSlots returns the share of the target's limits that falls to this entry instance.
func localSlots(view *control.View, target fleet.Target) int {
	total := 0
	for _, i := range view.Candidates(target) {
		if server := &view.Servers[i]; server.ExclusionReason == "" {
			total += server.Load.Limit
		}
	}
	return total / view.Instances
}

// acquire waits until the request has a placement, is refused, or the context ends.
func (d *dispatcher) acquire(ctx context.Context, c *call, exclude []fleet.ServerID, avoid []fleet.DataCentre, rule elsewhere) (placement, error) {
	now := time.Now()
	w := &waiter{call: c, exclude: exclude, avoid: avoid, since: now, begun: now, elsewhere: rule, result: make(chan granted, 1)}
	d.mu.Lock()
	q, err := d.offer(w, now)
	if err == nil {
		d.pump(q, d.views.View(), now)
	}
	d.mu.Unlock()
	if err != nil {
		return placement{}, err
	}
	select {
	case got := <-w.result:
		return got.place, got.err
	case <-ctx.Done():
		return placement{}, d.abandon(q, w)
	}
}

// offer puts a request into the queue of its target.
func (d *dispatcher) offer(w *waiter, now time.Time) (*targetQueue, error) {
	target := fleet.Target{Kind: w.call.target.Kind, Name: w.call.target.Name}
	q, ok := d.queues[target]
	if !ok {
		if len(d.queues) >= maxQueues {
			d.dropIdleQueues()
		}
		q = &targetQueue{queue: fairness.New(fairness.Config{}), waiting: make(map[string]*waiter)}
		for _, o := range d.config.Organisations {
			q.queue.SetWeight(o.Name, o.Weight)
		}
		q.queue.SetSlots(localSlots(d.views.View(), target))
		d.queues[target] = q
	}
	if d.counts[w.call.organisation] >= d.config.QueueMax {
		metricRefused("queue_max").Inc()
		return nil, problem.New(problem.OverShare, "%d requests of your organisation wait at this entry instance: send fewer at a time",
			d.config.QueueMax).After(defaultRetryAfter).WithRan(false)
	}
	d.serial++
	w.id = strconv.FormatUint(d.serial, 36)
	refusal := q.queue.Offer(now, fairness.Item{
		ID:           w.id,
		Organisation: w.call.organisation,
		Priority:     w.call.priority,
		Cost:         max(1, float64(len(w.call.body))/bytesPerCost),
		Deadline:     w.call.deadline,
	})
	if refusal != nil {
		metricRefused(refusal.Reason.String()).Inc()
		return nil, refusalProblem(refusal)
	}
	q.waiting[w.id] = w
	d.counts[w.call.organisation]++
	return q, nil
}

// dropIdleQueues removes queues without requests.
func (d *dispatcher) dropIdleQueues() {
	for target, q := range d.queues {
		if len(q.waiting) == 0 && q.queue.Running() == 0 {
			delete(d.queues, target)
		}
	}
}

func refusalProblem(r *fairness.Refusal) error {
	retryAfter := max(r.RetryAfter, defaultRetryAfter)
	switch r.Reason {
	case fairness.ReasonOverShare, fairness.ReasonFull:
		return problem.New(problem.OverShare, "your organisation's waiting requests fill its share (%s): send fewer at a time",
			r.Reason).After(retryAfter).WithRan(false)
	default:
		return problem.New(problem.NotRun, "the answer would come after the deadline (%s): raise %s or retry later",
			r.Reason, HeaderDeadline).After(retryAfter).WithRan(false)
	}
}

// abandon takes a request out whose caller has gone or whose deadline has passed. It did not run.
func (d *dispatcher) abandon(q *targetQueue, w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case got := <-w.result:
		if got.err == nil {
			go got.place.release() // takes the lock
		}
	default:
		w.gone = true
		if q.queue.Cancel(time.Now(), w.call.organisation, w.id) {
			d.unlist(q, w)
		}
	}
	ran := false
	return deadlineError(w.call, &ran)
}

// pump gives placements to waiting requests while servers take them. The caller holds the lock.
func (d *dispatcher) pump(q *targetQueue, view *control.View, now time.Time) {
	for _, item := range q.queue.Expire(now) {
		if w := q.waiting[item.ID]; w != nil {
			d.unlist(q, w)
			w.result <- granted{err: problem.New(problem.NotRun,
				"no server was free in time for the deadline: raise %s or retry later", HeaderDeadline).
				After(defaultRetryAfter).WithRan(false)}
		}
	}
	blocked := q.blocked
	q.blocked = nil
	full := false
	for _, w := range blocked {
		full = d.placeNext(q, w, view, now) || full
	}
	for !full && len(q.blocked) < maxBlocked {
		item, ok := q.queue.Next(now)
		if !ok {
			return
		}
		w := q.waiting[item.ID]
		if w == nil {
			q.queue.Done(now, item.ID)
			continue
		}
		full = d.placeNext(q, w, view, now)
	}
}

// unlist takes a request from the list of waiting ones.
func (d *dispatcher) unlist(q *targetQueue, w *waiter) {
	if _, ok := q.waiting[w.id]; !ok {
		return
	}
	delete(q.waiting, w.id)
	if d.counts[w.call.organisation]--; d.counts[w.call.organisation] == 0 {
		delete(d.counts, w.call.organisation)
	}
}

func (d *dispatcher) drop(q *targetQueue, w *waiter, now time.Time) {
	d.unlist(q, w)
	q.queue.Done(now, w.id)
}
