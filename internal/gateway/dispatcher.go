package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fairness"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/transport"
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

// placement is where an attempt goes: a backend server of the own data centre, or an entry instance of another one.
type placement struct {
	server     fleet.ServerID
	boot       fleet.Boot
	session    transport.Session
	dataCentre fleet.DataCentre // where the request is spilled to, empty if it stays
	counter    *fleet.Counter   // of the server, nil if the request is spilled
	release    func()
}

func (p *placement) spilled() bool { return p.dataCentre != "" }

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
			if view != synced {
				d.affinity.Sync(view.Snapshot, now)
				synced = view
			}
			d.pumpAll(view, now)
		}
	}
}

func (d *dispatcher) pumpAll(view *control.View, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for target, q := range d.queues {
		q.queue.SetSlots(localSlots(view, target))
		if len(q.waiting) > 0 {
			d.pump(q, view, now)
		}
	}
}

// localSlots returns the share of the target's limits that falls to this entry instance.
func localSlots(view *control.View, target fleet.Target) int {
	total := 0
	for _, i := range view.Candidates(target) {
		if server := &view.Servers[i]; server.Excluded == "" {
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

// placeNext tries to place a request and reports whether the servers are full for the others too. A request that avoids
// some servers, or wants an adapter that few of them have, says nothing about the rest.
func (d *dispatcher) placeNext(q *targetQueue, w *waiter, view *control.View, now time.Time) (full bool) {
	reason := d.place(q, w, view, now)
	return reason == routing.ReasonNoHeadroom && len(w.exclude) == 0 && len(w.avoid) == 0 && w.call.target.Adapter == ""
}

// place finds a placement for a request that was taken from the queue, refuses it, or keeps it as blocked.
func (d *dispatcher) place(q *targetQueue, w *waiter, view *control.View, now time.Time) routing.Reason {
	if w.gone {
		d.drop(q, w, now)
		return routing.ReasonChosen
	}
	request := routing.Request{
		Target:   w.call.target,
		Priority: w.call.priority,
		Prefix:   w.call.prefix,
		Exclude:  w.exclude,
		Avoid:    w.avoid,
		Spilled:  w.call.spilled,
		Now:      now,
	}
	decision := d.policy.Pick(view.Snapshot, &request, d.rng)
	if decision.Server < 0 && decision.DataCentre == "" && w.elsewhere == preferred && len(w.exclude) > 0 {
		// Nothing else is free, so a server that was tried is as good as waiting. A data centre that refused is not: its
		// instances have tried all that they can.
		request.Exclude = nil
		decision = d.policy.Pick(view.Snapshot, &request, d.rng)
	}
	if decision.Reason == routing.ReasonNoHeadroom && now.Sub(w.since) >= probeAfter {
		decision.Server = d.probe(view, w)
		w.since = now // the next probe is due as long after this one
	}
	if place, ok := d.resolve(decision, view); ok {
		d.grant(q, w, place, now)
		return routing.ReasonChosen
	}
	if err := unplaced(w, decision.Reason, view, now); err != nil {
		metricRefused(decision.Reason.String()).Inc()
		d.drop(q, w, now)
		w.result <- granted{err: err}
		return routing.ReasonChosen
	}
	q.blocked = append(q.blocked, w)
	return decision.Reason
}

// probe returns a server that reports to be full but at which this instance uses less than its share of the limit, -1 if
// there is none. Reports are samples: at a small limit each of them may show a full server that has been free in between.
// The agent refuses what it can't take, and its refusal carries a fresh report.
func (d *dispatcher) probe(view *control.View, w *waiter) int {
	candidates := view.Candidates(w.call.target)
	if len(candidates) == 0 {
		return -1
	}
	start := d.rng.IntN(len(candidates))
	for n := range candidates {
		i := candidates[(start+n)%len(candidates)]
		server := &view.Servers[i]
		share := max(server.Load.Limit/view.Instances, 1)
		if server.Excluded == "" && server.Load.Limit > 0 && server.Local.InFlight() < share && server.Serves(w.call.target) &&
			(w.elsewhere == preferred || !slices.Contains(w.exclude, server.Server)) && !view.LocalOut {
			metricProbes.Inc()
			return i
		}
	}
	return -1
}

// resolve turns a decision into a placement if there is a live session for it.
func (d *dispatcher) resolve(decision routing.Decision, view *control.View) (placement, bool) {
	if decision.DataCentre != "" {
		peers := view.Peers(decision.DataCentre)
		if len(peers) == 0 {
			return placement{}, false
		}
		session := peers[d.rng.IntN(len(peers))]
		return placement{session: session, dataCentre: decision.DataCentre}, true
	}
	if decision.Server < 0 {
		return placement{}, false
	}
	server := &view.Servers[decision.Server]
	session := view.Session(server.Server)
	if session == nil {
		return placement{}, false
	}
	return placement{server: server.Server, boot: server.Boot, session: session, counter: server.Local}, true
}

// grant hands a placement to a request.
func (d *dispatcher) grant(q *targetQueue, w *waiter, place placement, now time.Time) {
	d.unlist(q, w)
	counter := place.counter
	if !place.spilled() {
		d.affinity.Sent(now, place.server, w.call.prefix)
	}
	if counter != nil {
		counter.Begin()
	}
	var once sync.Once
	place.release = func() {
		once.Do(func() {
			if counter != nil {
				counter.End()
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			now := time.Now()
			q.queue.Done(now, w.id)
			d.pump(q, d.views.View(), now)
		})
	}
	w.result <- granted{place: place}
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

// servedElsewhere reports whether a data centre in reach has servers for the target, even if none is free now.
func servedElsewhere(view *control.View, target fleet.Target) bool {
	return slices.ContainsFunc(view.Remote, func(s fleet.Summary) bool { return s.Kind == target.Kind && s.Name == target.Name })
}

// unplaced returns the refusal of a request for which no server was found, or nil if it may wait.
func unplaced(w *waiter, reason routing.Reason, view *control.View, now time.Time) error {
	switch {
	case reason == routing.ReasonNoHeadroom:
		return nil
	case w.call.spilled && (reason == routing.ReasonLocalOut || reason == routing.ReasonUnknown):
		// The sender knows the target from this data centre, and may try another instance or data centre. An instance that
		// has just started does not know the servers yet.
		return problem.New(problem.NotRun, "this entry instance has no server for %q now (%s): retry later", w.call.target.Name, reason).
			After(defaultRetryAfter).WithRan(false)
	case reason == routing.ReasonLocalOut && !servedElsewhere(view, w.call.target):
		return problem.New(problem.NotRun, "this data centre is out, and no other one in reach has a server for %q: "+
			"send the request to an entry instance of another data centre", w.call.target.Name).
			After(defaultRetryAfter).WithRan(false)
	case reason == routing.ReasonUnknown && view.Known(w.call.target):
		// Only other data centres have it, and none of them can take the request now.
	case reason == routing.ReasonUnknown, reason == routing.ReasonVersion, reason == routing.ReasonRole:
		kind := "model"
		if w.call.target.Kind == fleet.KindService {
			kind = "service"
		}
		return problem.New(problem.UnknownModel, "no backend server has the %s %q (%s): check the name, or announce a server for it",
			kind, w.call.target.Name, reason).WithRan(false)
	}
	if now.Sub(w.begun) < maxUnplaced {
		return nil
	}
	return problem.New(problem.NotRun, "no backend server for %q takes work (%s): retry later", w.call.target.Name, reason).
		After(defaultRetryAfter).WithRan(false)
}
