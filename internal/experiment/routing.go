package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
)

const (
	routingWarmUp       = 20 * time.Second // excluded from the figures
	routingEnd          = 50 * time.Second
	reportInterval      = 2 * time.Second
	reportLossRatio     = 0.02
	cacheEventDelay     = time.Second
	cacheEventLossRatio = 0.1
	meanAnswerTokens    = 325 // 1.4 million tokens/s divided by 4,300 requests/s
	networkDelay        = 2 * time.Millisecond
	refusalRetryDelay   = 250 * time.Millisecond
	maxImmediateRetries = 3
	routingDeadline     = 10 * time.Second
	slowEngineEvery     = 20 // one in slowEngineEvery engines is in a group with a slow rank
	slowEngineWeight    = 1 / slowFactor
)

// routingSize is the size and load of one run.
type routingSize struct {
	engines, entries, organisations int
	ratePerEngine                   float64 // requests per second per engine
}

// Routing compares the system's routing policy with the same policy without affinity and with baselines.
func Routing() Experiment {
	sizes := []routingSize{
		{engines: 12, entries: 4, organisations: 10, ratePerEngine: 1.02},
		{engines: 12, entries: 4, organisations: 10, ratePerEngine: 1.4},
		{engines: 300, entries: 24, organisations: 210, ratePerEngine: 1.02},
		{engines: 300, entries: 24, organisations: 210, ratePerEngine: 1.4},
	}
	return Experiment{Name: "routing", Run: func(seed uint64) []Result {
		var results []Result
		for _, size := range sizes {
			results = append(results, compareRouting(size, seed))
		}
		return results
	}}
}

func compareRouting(size routingSize, seed uint64) Result {
	result := Result{
		Name: "routing",
		Load: fmt.Sprintf("%d engines, %d entry instances, %.2f requests/s per engine (design peak 1.02), %d organisations",
			size.engines, size.entries, size.ratePerEngine, size.organisations),
		Seed: seed,
		Columns: []string{"first token p95 (ms), target 1100", "token interval p95 (ms), target 32", "prefix hit share",
			"load max/mean", "refusals per 1000", "given up per 1000"},
	}
	policies := []struct {
		name  string
		build func(*routing.Affinity) routing.Policy
	}{
		{"banyanfront", func(a *routing.Affinity) routing.Policy { return routing.NewBalanced(a) }},
		{"banyanfront without affinity", func(*routing.Affinity) routing.Policy { return routing.NewBalanced(nil) }},
		{"round robin", func(*routing.Affinity) routing.Policy { return new(routing.RoundRobin) }},
		{"least requests", func(*routing.Affinity) routing.Policy { return routing.LeastRequests{} }},
		{"power of two", func(*routing.Affinity) routing.Policy { return routing.PowerOfTwo{} }},
	}
	result.Rows = make([]Row, len(policies))
	var running sync.WaitGroup
	for i, p := range policies {
		running.Go(func() {
			run := newRoutingRun(size, seed, p.build, i == 0)
			run.run()
			result.Rows[i] = Row{Policy: p.name, Values: run.figures()}
		})
	}
	running.Wait()
	return result
}

type routingEventKind uint8

const (
	routingArrival routingEventKind = iota
	routingAttempt
	routingStepEnd
	routingReport
	routingCacheEvent
	routingSample
)

type routingEvent struct {
	at    time.Duration
	order uint64 // breaks ties, so that runs are reproducible
	kind  routingEventKind
	index int // of the engine or request
	cache *routing.CacheEvent
}

type routingEventQueue []routingEvent

func (q routingEventQueue) Len() int      { return len(q) }
func (q routingEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *routingEventQueue) Push(x any)   { *q = append(*q, x.(routingEvent)) }
func (q routingEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q *routingEventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// routingRequest is one request in the simulation.
type routingRequest struct {
	arrived time.Duration
	entry   int
	server  int
	tokens  int
	blocks  []uint64
	tried   []fleet.ServerID
}

type routingRun struct {
	size     routingSize
	start    time.Time
	now      time.Duration
	queue    routingEventQueue
	order    uint64
	rng      *rand.Rand // for the load, the same for each policy
	noise    *rand.Rand // for losses and delays
	prompts  promptSource
	engines  []*modelEngine
	entries  []*modelEntry
	requests []routingRequest

	firstTokens                []time.Duration
	tokenIntervals             [1000]uint64 // token intervals in steps of 0.25 ms
	promptBlocks, cachedBlocks int
	loadRatioSum               float64
	samples                    int
	refusals                   int
	gaveUp, total              int
}

func newRoutingRun(size routingSize, seed uint64, build func(*routing.Affinity) routing.Policy, affinity bool) *routingRun {
	r := &routingRun{
		size:  size,
		start: time.Unix(1_700_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 1)),
		noise: rand.New(rand.NewPCG(seed, 2)),
	}
	r.prompts = promptSource{rng: r.rng, organisations: size.organisations}
	for i := range size.engines {
		r.engines = append(r.engines, &modelEngine{slow: i%slowEngineEvery == slowEngineEvery/2})
	}
	for i := range size.entries {
		entry := &modelEntry{rng: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		entry.snapshot = r.snapshot()
		if affinity {
			entry.affinity = routing.NewAffinity(0, r.start)
			entry.affinity.Sync(entry.snapshot, r.start)
		}
		entry.policy = build(entry.affinity)
		r.entries = append(r.entries, entry)
	}
	for i := range size.engines {
		r.push(time.Duration(r.noise.Int64N(int64(reportInterval))), routingReport, i, nil)
	}
	r.push(0, routingArrival, 0, nil)
	r.push(routingWarmUp, routingSample, 0, nil)
	return r
}

func (r *routingRun) snapshot() *fleet.Snapshot {
	s := &fleet.Snapshot{DataCentre: "local", Instances: r.size.entries}
	for i, engine := range r.engines {
		id := fleet.ServerID(fmt.Sprintf("engine-%04d", i))
		server := fleet.Server{
			Announcement: fleet.Announcement{Server: id, Incarnation: 1, Models: []fleet.Model{{Name: "model"}}, Capacity: engineLimit},
			Load:         fleet.Load{Server: id, Incarnation: 1, Sequence: 1, Limit: engineLimit, Phase: fleet.PhaseServing},
			Weight:       1,
		}
		if engine.slow {
			server.Weight = slowEngineWeight
		}
		s.Servers = append(s.Servers, server)
	}
	return s.Build()
}

func (r *routingRun) push(at time.Duration, kind routingEventKind, index int, cache *routing.CacheEvent) {
	r.order++
	heap.Push(&r.queue, routingEvent{at: at, order: r.order, kind: kind, index: index, cache: cache})
}

// run processes the events in order until routingEnd.
func (r *routingRun) run() {
	for len(r.queue) > 0 {
		event := heap.Pop(&r.queue).(routingEvent)
		if event.at > routingEnd {
			return
		}
		r.now = event.at
		switch event.kind {
		case routingArrival:
			r.arrive()
		case routingAttempt:
			r.attempt(event.index)
		case routingStepEnd:
			r.finishStep(event.index)
		case routingReport:
			r.report(event.index)
		case routingCacheEvent:
			for _, entry := range r.entries {
				if entry.affinity != nil {
					entry.affinity.Apply(r.start.Add(r.now), event.cache)
				}
			}
		case routingSample:
			r.sample()
		}
	}
}

// arrive creates a request at a random entry instance: the platform's load balancer in front of them has no session
// affinity.
func (r *routingRun) arrive() {
	tokens := max(int(r.rng.ExpFloat64()*meanAnswerTokens), 8)
	r.requests = append(r.requests, routingRequest{
		arrived: r.now, entry: r.rng.IntN(r.size.entries), tokens: tokens, blocks: r.prompts.next(),
	})
	r.push(r.now+networkDelay, routingAttempt, len(r.requests)-1, nil)
	rate := r.size.ratePerEngine * float64(r.size.engines)
	r.push(r.now+time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), routingArrival, 0, nil)
}

func (r *routingRun) attempt(index int) {
	request := &r.requests[index]
	entry := r.entries[request.entry]
	if r.now-request.arrived > routingDeadline {
		r.gaveUp++
		return
	}
	d := entry.policy.Pick(entry.snapshot, &routing.Request{
		Target: fleet.Target{Name: "model"}, Priority: fleet.PriorityNormal, Prefix: request.blocks,
		TriedServers: request.tried, Now: r.start.Add(r.now),
	}, entry.rng)
	if d.Reason != routing.ReasonChosen {
		request.tried = request.tried[:0]
		r.push(r.now+refusalRetryDelay, routingAttempt, index, nil)
		return
	}
	job := &modelJob{request: index, blocks: request.blocks, tokensLeft: request.tokens}
	if !r.engines[d.Server].admit(job) {
		r.refusals++
		request.tried = append(request.tried, entry.snapshot.Servers[d.Server].Server)
		wait := networkDelay
		if len(request.tried) > maxImmediateRetries {
			request.tried, wait = request.tried[:0], refusalRetryDelay
		}
		r.push(r.now+wait, routingAttempt, index, nil)
		return
	}
	request.server = d.Server
	server := &entry.snapshot.Servers[d.Server]
	server.Counter.Begin()
	if entry.affinity != nil {
		entry.affinity.RecordSent(r.start.Add(r.now), server.Server, request.blocks)
	}
	if r.afterWarmUp() {
		r.total++
		r.promptBlocks += len(job.blocks)
		r.cachedBlocks += job.cached
	}
	r.startStep(d.Server)
}

func (r *routingRun) afterWarmUp() bool { return r.now >= routingWarmUp }

func (r *routingRun) startStep(index int) {
	engine := r.engines[index]
	if engine.busy || engine.inFlight() == 0 {
		return
	}
	r.push(r.now+engine.startStep(), routingStepEnd, index, nil)
}

func (r *routingRun) finishStep(index int) {
	engine := r.engines[index]
	engine.busy = false
	blocks := engine.computing
	kept := engine.decodes[:0]
	for _, job := range engine.decodes {
		if r.afterWarmUp() {
			r.tokenIntervals[min(int((r.now-job.lastToken)/(250*time.Microsecond)), len(r.tokenIntervals)-1)]++
		}
		job.lastToken = r.now
		if job.tokensLeft--; job.tokensLeft > 0 {
			kept = append(kept, job)
		} else {
			r.requestEnded(index, job)
		}
	}
	engine.decodes = kept
	if blocks > 0 {
		r.recordPrefill(index, blocks)
	}
	r.startStep(index)
}

// recordPrefill records the prompt blocks computed in a step and starts decoding once the prompt is complete.
func (r *routingRun) recordPrefill(index, blocks int) {
	engine := r.engines[index]
	job := engine.prefills[0]
	if job.computed += blocks; job.computed < len(job.blocks) {
		return
	}
	engine.prefills = slices.Delete(engine.prefills, 0, 1)
	job.lastToken = r.now
	request := &r.requests[job.request]
	if r.afterWarmUp() {
		r.firstTokens = append(r.firstTokens, r.now+networkDelay-request.arrived)
	}
	stored, evicted := engine.cache.add(job.blocks)
	engine.events++
	if r.noise.Float64() >= cacheEventLossRatio {
		event := &routing.CacheEvent{
			Server: r.entries[0].snapshot.Servers[index].Server, Incarnation: 1, Sequence: engine.events, Stored: stored, Removed: evicted,
		}
		r.push(r.now+cacheEventDelay, routingCacheEvent, index, event)
	}
	engine.decodes = append(engine.decodes, job)
}

func (r *routingRun) requestEnded(index int, job *modelJob) {
	r.entries[r.requests[job.request].entry].snapshot.Servers[index].Counter.End()
}

// report sends an engine's load to all entry instances.
func (r *routingRun) report(index int) {
	engine := r.engines[index]
	engine.sequence++
	r.push(r.now+reportInterval, routingReport, index, nil)
	if r.noise.Float64() < reportLossRatio {
		return
	}
	id := r.entries[0].snapshot.Servers[index].Server
	load := fleet.Load{
		Server: id, Incarnation: 1, Sequence: engine.sequence + 1, Running: engine.inFlight(), Limit: engineLimit, Phase: fleet.PhaseServing,
	}
	for _, entry := range r.entries {
		entry.applyReport(load, index)
	}
}

// sample records the ratio of the highest to the mean load of the engines.
func (r *routingRun) sample() {
	highest, sum := 0, 0
	for _, engine := range r.engines {
		highest = max(highest, engine.inFlight())
		sum += engine.inFlight()
	}
	if sum > 0 {
		r.loadRatioSum += float64(highest) * float64(len(r.engines)) / float64(sum)
		r.samples++
	}
	r.push(r.now+time.Second, routingSample, 0, nil)
}

func (r *routingRun) figures() []float64 {
	perThousand := func(n int) float64 { return float64(n) * 1000 / float64(max(len(r.requests), 1)) }
	return []float64{
		quantileMS(r.firstTokens, 0.95),
		r.intervalMS(0.95),
		float64(r.cachedBlocks) / float64(max(r.promptBlocks, 1)),
		r.loadRatioSum / float64(max(r.samples, 1)),
		perThousand(r.refusals),
		perThousand(r.gaveUp),
	}
}

func (r *routingRun) intervalMS(q float64) float64 {
	var total uint64
	for _, n := range r.tokenIntervals {
		total += n
	}
	var count uint64
	for i, n := range r.tokenIntervals {
		if count += n; float64(count) >= q*float64(total) {
			return float64(i+1) / 4
		}
	}
	return 0
}

func quantileMS(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(q*float64(len(values)-1))]) / float64(time.Millisecond)
}
