package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/banyanfront/banyanfront/decide/retry"
)

// Retries compares the shared budget of retries and hedges with unlimited retries and with none, while servers fail, are
// slow for a while, or are late now and then.
func Retries() Experiment {
	return Experiment{Name: "retries", Run: func(seed uint64) []Result {
		var results []Result
		for _, scenario := range []retryScenario{
			{name: "retries-failing", load: "4 of 12 servers fail every attempt for 40 s, load 60 %", share: 0.6,
				failing: 4, slow: 1, waiting: retryWaiting},
			{name: "retries-failing-plain", load: "as before, but servers without an agent's limit queue everything",
				share: 0.6, failing: 4, slow: 1, waiting: math.MaxInt},
			{name: "retries-slow", load: "all 12 servers are 5 times slower for 20 s, load 80 %", share: 0.8, slow: 5,
				short: true, waiting: retryWaiting},
			{name: "retries-slow-plain", load: "as before, but servers without an agent's limit queue everything",
				share: 0.8, slow: 5, short: true, waiting: math.MaxInt},
			{name: "retries-tail", load: "no fault, 1 of 100 attempts takes 20 times as long, load 50 %", share: 0.5, slow: 1,
				tail: 0.01, waiting: retryWaiting},
		} {
			result := Result{Name: scenario.name, Load: scenario.load + "; 4 slots of 0.1 s a server, attempts time out " +
				"after 1 s, requests after 4 s", Seed: seed, Columns: []string{"success % during the fault",
				"attempts a request", "attempts a request after it", "recovery s", "p99 ms"}}
			for _, policy := range []string{"banyanfront", "unlimited retries", "no retries"} {
				result.Rows = append(result.Rows, Row{Policy: policy, Values: scenario.run(seed, policy)})
			}
			results = append(results, result)
		}
		return results
	}}
}

// Sizes of the retry experiment.
const (
	retryServers  = 12
	retrySlots    = 4
	retryService  = 100 * time.Millisecond // mean, exponential
	retryFailure  = 20 * time.Millisecond  // time to a failure
	retryTimeout  = time.Second            // of an attempt
	retryDeadline = 4 * time.Second        // of a request
	retryBegin    = 20 * time.Second
	retryEnd      = 60 * time.Second
	retryShortEnd = 40 * time.Second
	retryLast     = 140 * time.Second
	retryBin      = time.Second
	retryTail     = 20
	retryWaiting  = 8                      // attempts that wait at a server with an agent's limit
	retryPause    = 100 * time.Millisecond // before an unlimited retry
)

// retryScenario is one fault.
type retryScenario struct {
	name, load string
	share      float64 // of the capacity without faults
	failing    int     // servers that fail during the fault
	slow       float64 // factor of all service times during the fault
	short      bool    // the fault ends early
	waiting    int     // attempts that wait at a server; more are refused as not run
	tail       float64 // share of attempts that take retryTail times as long, at all times
}

// retryRequest is one request of a caller.
type retryRequest struct {
	call     *retry.Call
	arrived  time.Duration
	last     int // server of the last attempt
	ended    bool
	inFlight []*retryAttempt
}

// retryAttempt is one attempt at a server.
type retryAttempt struct {
	id      string
	request *retryRequest
	server  int
	sent    time.Duration
	ended   bool // for the caller's side
	running bool
	freed   bool // the slot was given back, or the attempt left the queue
}

// retryServer serves attempts in the order of their arrival.
type retryServer struct {
	running int
	queue   []*retryAttempt
}

// retryRun is the state of one run.
type retryRun struct {
	scenario           retryScenario
	policy             string
	shared             *retry.Policy
	random             *rand.Rand
	timeline           overloadTimeline
	servers            [retryServers]retryServer
	count              int
	offered, succeeded []int // by bin of arrival
	attempts           [2]int
	requests           [2]int // during and after the fault
	latencies          []time.Duration
}

func (s retryScenario) end() time.Duration {
	if s.short {
		return retryShortEnd
	}
	return retryEnd
}

// run returns the figures of one policy.
func (s retryScenario) run(seed uint64, policy string) []float64 {
	r := &retryRun{scenario: s, policy: policy, random: rand.New(rand.NewPCG(seed, 2)),
		shared:  &retry.Policy{Budget: retry.NewBudget(retry.BudgetConfig{}), Latency: retry.NewLatency(0)},
		offered: make([]int, retryLast/retryBin+1), succeeded: make([]int, retryLast/retryBin+1)}
	r.arrive()
	r.timeline.run(retryLast)
	offered, succeeded, recovery := 0, 0, time.Duration(0)
	for bin := range r.offered {
		begin := time.Duration(bin) * retryBin
		switch {
		case begin >= retryBegin && begin < s.end():
			offered, succeeded = offered+r.offered[bin], succeeded+r.succeeded[bin]
		case begin >= s.end() && begin < retryLast-2*retryDeadline &&
			float64(r.succeeded[bin]) < overloadTarget*float64(r.offered[bin]):
			recovery = begin + retryBin - s.end()
		}
	}
	slices.Sort(r.latencies)
	p99 := 0.0
	if n := len(r.latencies); n > 0 {
		p99 = float64(r.latencies[n*99/100].Milliseconds())
	}
	amplification := func(i int) float64 { return float64(r.attempts[i]) / float64(max(r.requests[i], 1)) }
	return []float64{100 * float64(succeeded) / float64(offered), amplification(0), amplification(1), recovery.Seconds(), p99}
}

// period returns 0 during the fault, 1 after it and -1 before.
func (r *retryRun) period(at time.Duration) int {
	switch {
	case at < retryBegin:
		return -1
	case at < r.scenario.end():
		return 0
	}
	return 1
}

// arrive sends the first attempt of a request and schedules the next request.
func (r *retryRun) arrive() {
	now := r.timeline.now
	rate := r.scenario.share * retryServers * retrySlots / retryService.Seconds()
	r.timeline.at(now+time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	request := &retryRequest{arrived: now, last: -1,
		call: r.shared.NewCall(true, r.timeline.clock().Add(retryDeadline))}
	r.offered[now/retryBin]++
	if period := r.period(now); period >= 0 {
		r.requests[period]++
	}
	r.send(request, false)
	if at, ok := request.call.HedgeAt(r.timeline.clock()); ok && r.policy == "banyanfront" {
		r.timeline.at(at.Sub(overloadEpoch), func() {
			if !request.ended && len(request.inFlight) == 1 {
				r.send(request, true)
			}
		})
	}
}

// send sends an attempt to a random server other than the last one.
func (r *retryRun) send(request *retryRequest, hedge bool) {
	now := r.timeline.now
	if request.ended || now >= request.arrived+retryDeadline {
		return
	}
	r.count++
	a := &retryAttempt{id: strconv.Itoa(r.count), request: request, sent: now}
	if hedge && !request.call.StartHedge(r.timeline.clock(), a.id) {
		return
	} else if !hedge {
		request.call.AttemptSent(a.id)
	}
	for a.server = r.random.IntN(retryServers); a.server == request.last; {
		a.server = r.random.IntN(retryServers)
	}
	request.last = a.server
	request.inFlight = append(request.inFlight, a)
	if period := r.period(request.arrived); period >= 0 {
		r.attempts[period]++
	}
	r.timeline.at(now+retryTimeout, func() { r.end(a, retry.EndUnknown) })
	server := &r.servers[a.server]
	if server.running >= retrySlots && len(server.queue) >= r.scenario.waiting {
		a.freed = true
		r.end(a, retry.EndNotRun)
		return
	}
	server.queue = append(server.queue, a)
	r.serve(server)
}

// serve fills the slots of a server.
func (r *retryRun) serve(server *retryServer) {
	for server.running < retrySlots && len(server.queue) > 0 {
		a := server.queue[0]
		server.queue = server.queue[1:]
		if a.freed {
			continue
		}
		a.running = true
		server.running++
		took, end := time.Duration(r.random.ExpFloat64()*float64(retryService)), retry.EndDone
		if r.random.Float64() < r.scenario.tail {
			took *= retryTail
		}
		if r.period(r.timeline.now) == 0 {
			took = time.Duration(float64(took) * r.scenario.slow)
			if a.server < r.scenario.failing {
				took, end = retryFailure, retry.EndFailed
			}
		}
		r.timeline.at(r.timeline.now+took, func() {
			r.free(a)
			r.end(a, end)
		})
	}
}

// free gives the slot of an attempt back. Servers go on with attempts that time out; only losers of a hedge are cancelled.
func (r *retryRun) free(a *retryAttempt) {
	if a.freed {
		return
	}
	a.freed = true
	if a.running {
		server := &r.servers[a.server]
		server.running--
		r.serve(server)
	}
}

// end takes the end of an attempt.
func (r *retryRun) end(a *retryAttempt, end retry.End) {
	request := a.request
	if a.ended || request.ended {
		return
	}
	a.ended = true
	now := r.timeline.now
	request.inFlight = slices.DeleteFunc(request.inFlight, func(other *retryAttempt) bool { return other == a })
	if end == retry.EndDone {
		r.shared.Latency.Observe(r.timeline.clock(), now-a.sent)
		if now < request.arrived+retryDeadline {
			r.succeeded[request.arrived/retryBin]++
			if r.period(request.arrived) >= 0 {
				r.latencies = append(r.latencies, now-request.arrived)
			}
		}
	}
	switch {
	case r.policy == "banyanfront":
		d := request.call.AttemptEnded(r.timeline.clock(), a.id, retry.AttemptEnd{End: end, OtherServer: true}, r.random)
		for _, other := range request.inFlight {
			if slices.Contains(d.Cancel, other.id) {
				r.free(other)
			}
		}
		switch d.Step {
		case retry.StepRetry:
			r.timeline.at(now+d.Delay, func() { r.send(request, false) })
		case retry.StepWait:
		default:
			request.ended = true
		}
	case end == retry.EndDone || r.policy == "no retries":
		request.ended = true
	default:
		r.timeline.at(now+retryPause, func() { r.send(request, false) })
	}
}
