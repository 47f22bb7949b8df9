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
	// dispatchInterval is how often the queues are checked in addition to each arrival and each freed slot.
	dispatchInterval = 10 * time.Millisecond
	// maxPlacementWait limits the wait for a server while none accepts work at all; then the request is refused as not run.
	maxPlacementWait = 5 * time.Second
	// probeAfter is how long a request waits while all servers report to be full before it is sent to one of them anyway.
	probeAfter = 250 * time.Millisecond
	// maxBlockedRequests limits the requests taken from a queue for which no server was found.
	maxBlockedRequests = 16
	// bytesPerCostUnit converts the size of a request body to its cost in the queue. The minimum cost is 1.
	bytesPerCostUnit = 4096
	// maxQueues limits the targets that have a queue, because callers choose the names. Above it, empty queues are removed.
	maxQueues = 256
	// defaultRetryAfter is the retry delay sent with a refusal if no better estimate is available.
	defaultRetryAfter = time.Second
)

// waiter is a request that waits for a placement.
type waiter struct {
	id               string
	call             *call
	triedServers     []fleet.ServerID
	triedDataCentres []fleet.DataCentre
	probeWaitStart   time.Time // when it was queued or last probed a full server
	enqueuedAt       time.Time
	// exclusionMode says whether the tried servers may be used if no other is free.
	exclusionMode exclusionMode
	cancelled     bool
	result        chan placementResult // buffered for the one result
}

// exclusionMode says how strictly a request must go to a server that it has not tried.
type exclusionMode uint8

const (
	preferOther  exclusionMode = iota // use a tried server if no other is free
	requireOther                      // a hedge: never the server of the first attempt
)

type placementResult struct {
	place placement
	err   error
}

// targetQueue has the queued requests for one model or service.
type targetQueue struct {
	queue   *fairness.Queue
	waiting map[string]*waiter
	blocked []*waiter // taken from the queue, but no server was found yet
}

// dispatcher assigns servers to queued requests as slots become free, with fair queueing among organisations.
type dispatcher struct {
	config   Config
	views    ViewSource
	policy   *routing.Balanced
	affinity *routing.Affinity

	mu                    sync.Mutex
	rng                   *rand.Rand
	queues                map[fleet.Target]*targetQueue
	lastWaiterID          uint64
	waitingByOrganisation map[fleet.Organisation]int // numbers of waiting requests
}

func newDispatcher(config Config, views ViewSource) *dispatcher {
	affinity := routing.NewAffinity(0, time.Now())
	policy := routing.NewBalanced(affinity)
	policy.SetLatency(config.Latency)
	return &dispatcher{
		config:                config,
		views:                 views,
		policy:                policy,
		affinity:              affinity,
		rng:                   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		queues:                make(map[fleet.Target]*targetQueue),
		waitingByOrganisation: make(map[fleet.Organisation]int),
	}
}

// run dispatches queued requests every dispatchInterval until the context ends.
func (d *dispatcher) run(ctx context.Context) {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	var lastView *control.View
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			view := d.views.View()
			d.dispatchAll(view, view != lastView, now)
			lastView = view
		}
	}
}

// dispatchAll dispatches from all queues. If the view is new, it first updates the prefix affinity and the queues' slots.
func (d *dispatcher) dispatchAll(view *control.View, isNew bool, now time.Time) {
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
			d.dispatch(q, view, now)
		}
	}
}

// localSlots returns this entry instance's share of the concurrency limits of the target's servers.
func localSlots(view *control.View, target fleet.Target) int {
	total := 0
	for _, i := range view.Candidates(target) {
		if server := &view.Servers[i]; server.ExclusionReason == "" {
			total += server.Load.Limit
		}
	}
	return total / view.Instances
}

// acquire queues a request and waits until it has a placement, is refused, or the context ends.
func (d *dispatcher) acquire(ctx context.Context, c *call, triedServers []fleet.ServerID, triedDataCentres []fleet.DataCentre,
	mode exclusionMode) (placement, error) {
	now := time.Now()
	w := &waiter{call: c, triedServers: triedServers, triedDataCentres: triedDataCentres, probeWaitStart: now, enqueuedAt: now,
		exclusionMode: mode, result: make(chan placementResult, 1)}
	d.mu.Lock()
	q, err := d.enqueue(w, now)
	if err == nil {
		d.dispatch(q, d.views.View(), now)
	}
	d.mu.Unlock()
	if err != nil {
		return placement{}, err
	}
	select {
	case got := <-w.result:
		return got.place, got.err
	case <-ctx.Done():
		return placement{}, d.cancel(q, w)
	}
}

// enqueue adds a request to the queue of its target, or returns its refusal.
func (d *dispatcher) enqueue(w *waiter, now time.Time) (*targetQueue, error) {
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
	if d.waitingByOrganisation[w.call.organisation] >= d.config.QueueMax {
		metricRefused("queue_max").Inc()
		return nil, problem.New(problem.OverShare, "%d requests of your organisation wait at this entry instance: send fewer at a time",
			d.config.QueueMax).WithRetryAfter(defaultRetryAfter).WithRan(false)
	}
	d.lastWaiterID++
	w.id = strconv.FormatUint(d.lastWaiterID, 36)
	refusal := q.queue.Offer(now, fairness.Item{
		ID:           w.id,
		Organisation: w.call.organisation,
		Priority:     w.call.priority,
		Cost:         max(1, float64(len(w.call.body))/bytesPerCostUnit),
		Deadline:     w.call.deadline,
	})
	if refusal != nil {
		metricRefused(refusal.Reason.String()).Inc()
		return nil, refusalProblem(refusal)
	}
	q.waiting[w.id] = w
	d.waitingByOrganisation[w.call.organisation]++
	return q, nil
}

// dropIdleQueues removes queues without queued or running requests.
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
			r.Reason).WithRetryAfter(retryAfter).WithRan(false)
	default:
		return problem.New(problem.NotRun, "the answer would come after the deadline (%s): raise %s or retry later",
			r.Reason, HeaderDeadline).WithRetryAfter(retryAfter).WithRan(false)
	}
}

// cancel removes a request whose caller has disconnected or whose deadline has passed. It did not run.
func (d *dispatcher) cancel(q *targetQueue, w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case got := <-w.result:
		if got.err == nil {
			go got.place.release() // in a goroutine, because it acquires the lock
		}
	default:
		w.cancelled = true
		if q.queue.Cancel(time.Now(), w.call.organisation, w.id) {
			d.removeWaiting(q, w)
		}
	}
	ran := false
	return deadlineError(w.call, &ran)
}

// dispatch places queued requests while servers have free slots. The caller holds the lock.
func (d *dispatcher) dispatch(q *targetQueue, view *control.View, now time.Time) {
	for _, item := range q.queue.Expire(now) {
		if w := q.waiting[item.ID]; w != nil {
			d.removeWaiting(q, w)
			w.result <- placementResult{err: problem.New(problem.NotRun,
				"no server was free in time for the deadline: raise %s or retry later", HeaderDeadline).
				WithRetryAfter(defaultRetryAfter).WithRan(false)}
		}
	}
	blocked := q.blocked
	q.blocked = nil
	full := false
	for _, w := range blocked {
		full = d.placeNext(q, w, view, now) || full
	}
	for !full && len(q.blocked) < maxBlockedRequests {
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

// removeWaiting removes a request from the waiting ones.
func (d *dispatcher) removeWaiting(q *targetQueue, w *waiter) {
	if _, ok := q.waiting[w.id]; !ok {
		return
	}
	delete(q.waiting, w.id)
	if d.waitingByOrganisation[w.call.organisation]--; d.waitingByOrganisation[w.call.organisation] == 0 {
		delete(d.waitingByOrganisation, w.call.organisation)
	}
}

// drop removes a request that was taken from the queue and frees its slot there.
func (d *dispatcher) drop(q *targetQueue, w *waiter, now time.Time) {
	d.removeWaiting(q, w)
	q.queue.Done(now, w.id)
}
