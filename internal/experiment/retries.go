package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/banyanfront/banyanfront/decide/retry"
)

// Retries compares the shared budget of retries and hedges with unlimited retries and with no retries, while servers fail,
// are slow for a time, or have a long latency tail.
func Retries() Experiment {
	return Experiment{Name: "retries", Run: func(seed uint64) []Result {
		var results []Result
		for _, scenario := range []retryScenario{
			{name: "retries-failing", load: "4 of 12 servers fail every attempt for 40 s, load 60 %", loadRatio: 0.6,
				failingServers: 4, serviceTimeFactor: 1, maxWaiting: retryMaxWaiting},
			{name: "retries-failing-plain", load: "as before, but servers without an agent's limit queue everything",
				loadRatio: 0.6, failingServers: 4, serviceTimeFactor: 1, maxWaiting: math.MaxInt},
			{name: "retries-slow", load: "all 12 servers are 5 times slower for 20 s, load 80 %", loadRatio: 0.8,
				serviceTimeFactor: 5, shortFault: true, maxWaiting: retryMaxWaiting},
			{name: "retries-slow-plain", load: "as before, but servers without an agent's limit queue everything",
				loadRatio: 0.8, serviceTimeFactor: 5, shortFault: true, maxWaiting: math.MaxInt},
			{name: "retries-tail", load: "no fault, 1 of 100 attempts takes 20 times as long, load 50 %", loadRatio: 0.5,
				serviceTimeFactor: 1, tailRatio: 0.01, maxWaiting: retryMaxWaiting},
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
	retryServers       = 12
	retrySlots         = 4
	retryServiceTime   = 100 * time.Millisecond // mean; exponential distribution
	retryFailureTime   = 20 * time.Millisecond  // from the start of service until an attempt fails
	retryTimeout       = time.Second            // of an attempt
	retryDeadline      = 4 * time.Second        // of a request
	retryFaultStart    = 20 * time.Second
	retryFaultEnd      = 60 * time.Second
	retryShortFaultEnd = 40 * time.Second
	retryRunEnd        = 140 * time.Second
	retryBinWidth      = time.Second
	retryTailFactor    = 20
	retryMaxWaiting    = 8                      // queue length of a server whose agent limits concurrency
	retryDelay         = 100 * time.Millisecond // of the policy with unlimited retries
)

// retryScenario is one fault and load.
type retryScenario struct {
	name, load        string
	loadRatio         float64 // offered load, relative to the capacity without faults
	failingServers    int     // servers that fail during the fault
	serviceTimeFactor float64 // during the fault, at all servers
	shortFault        bool    // the fault ends at retryShortFaultEnd
	maxWaiting        int     // queue length of a server; further attempts are refused as not run
	tailRatio         float64 // share of attempts that take retryTailFactor times as long, during the whole run
}

// retryRequest is one request of a caller.
type retryRequest struct {
	call       *retry.Call
	arrived    time.Duration
	lastServer int // server of the last attempt
	ended      bool
	inFlight   []*retryAttempt
}

// retryAttempt is one attempt at a server.
type retryAttempt struct {
	id       string
	request  *retryRequest
	server   int
	sent     time.Duration
	ended    bool // from the caller's view; the server may still run it
	running  bool
	released bool // the slot was released, or the attempt left the queue
}

// retryServer serves attempts in the order of their arrival.
type retryServer struct {
	running int
	queue   []*retryAttempt
}

// retryRun is the state of one run.
type retryRun struct {
	scenario           retryScenario
	policyName         string
	policy             *retry.Policy
	random             *rand.Rand
	timeline           overloadTimeline
	servers            [retryServers]retryServer
	attemptCount       int
	offered, succeeded []int // requests by bin of arrival
	attempts           [2]int
	requests           [2]int // during and after the fault
	latencies          []time.Duration
}

func (s retryScenario) faultEnd() time.Duration {
	if s.shortFault {
		return retryShortFaultEnd
	}
	return retryFaultEnd
}

// run returns the figures of one policy.
func (s retryScenario) run(seed uint64, policy string) []float64 {
	r := &retryRun{scenario: s, policyName: policy, random: rand.New(rand.NewPCG(seed, 2)),
		policy:  &retry.Policy{Budget: retry.NewBudget(retry.BudgetConfig{}), Latency: retry.NewLatency(0)},
		offered: make([]int, retryRunEnd/retryBinWidth+1), succeeded: make([]int, retryRunEnd/retryBinWidth+1)}
	r.arrive()
	r.timeline.run(retryRunEnd)
	offered, succeeded, recovery := 0, 0, time.Duration(0)
	for bin := range r.offered {
		begin := time.Duration(bin) * retryBinWidth
		switch {
		case begin >= retryFaultStart && begin < s.faultEnd():
			offered, succeeded = offered+r.offered[bin], succeeded+r.succeeded[bin]
		case begin >= s.faultEnd() && begin < retryRunEnd-2*retryDeadline &&
			float64(r.succeeded[bin]) < overloadTargetRatio*float64(r.offered[bin]):
			recovery = begin + retryBinWidth - s.faultEnd()
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

// period returns -1 before the fault, 0 during it and 1 after it.
func (r *retryRun) period(at time.Duration) int {
	switch {
	case at < retryFaultStart:
		return -1
	case at < r.scenario.faultEnd():
		return 0
	}
	return 1
}

// arrive sends the first attempt of a request and schedules the next request.
func (r *retryRun) arrive() {
	now := r.timeline.now
	rate := r.scenario.loadRatio * retryServers * retrySlots / retryServiceTime.Seconds()
	r.timeline.at(now+time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	request := &retryRequest{arrived: now, lastServer: -1,
		call: r.policy.NewCall(true, r.timeline.clock().Add(retryDeadline))}
	r.offered[now/retryBinWidth]++
	if period := r.period(now); period >= 0 {
		r.requests[period]++
	}
	r.send(request, false)
	if at, ok := request.call.HedgeAt(r.timeline.clock()); ok && r.policyName == "banyanfront" {
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
	r.attemptCount++
	a := &retryAttempt{id: strconv.Itoa(r.attemptCount), request: request, sent: now}
	if hedge && !request.call.StartHedge(r.timeline.clock(), a.id) {
		return
	} else if !hedge {
		request.call.AttemptSent(a.id)
	}
	for a.server = r.random.IntN(retryServers); a.server == request.lastServer; {
		a.server = r.random.IntN(retryServers)
	}
	request.lastServer = a.server
	request.inFlight = append(request.inFlight, a)
	if period := r.period(request.arrived); period >= 0 {
		r.attempts[period]++
	}
	r.timeline.at(now+retryTimeout, func() { r.attemptEnded(a, retry.EndUnknown) })
	server := &r.servers[a.server]
	if server.running >= retrySlots && len(server.queue) >= r.scenario.maxWaiting {
		a.released = true
		r.attemptEnded(a, retry.EndNotRun)
		return
	}
	server.queue = append(server.queue, a)
	r.fillSlots(server)
}

// fillSlots starts queued attempts on the free slots of a server.
func (r *retryRun) fillSlots(server *retryServer) {
	for server.running < retrySlots && len(server.queue) > 0 {
		a := server.queue[0]
		server.queue = server.queue[1:]
		if a.released {
			continue
		}
		a.running = true
		server.running++
		serviceTime, end := time.Duration(r.random.ExpFloat64()*float64(retryServiceTime)), retry.EndDone
		if r.random.Float64() < r.scenario.tailRatio {
			serviceTime *= retryTailFactor
		}
		if r.period(r.timeline.now) == 0 {
			serviceTime = time.Duration(float64(serviceTime) * r.scenario.serviceTimeFactor)
			if a.server < r.scenario.failingServers {
				serviceTime, end = retryFailureTime, retry.EndFailed
			}
		}
		r.timeline.at(r.timeline.now+serviceTime, func() {
			r.release(a)
			r.attemptEnded(a, end)
		})
	}
}

// release frees the slot of an attempt. Servers continue attempts that time out; only the losers of a hedge are cancelled.
func (r *retryRun) release(a *retryAttempt) {
	if a.released {
		return
	}
	a.released = true
	if a.running {
		server := &r.servers[a.server]
		server.running--
		r.fillSlots(server)
	}
}

// attemptEnded handles the end of an attempt: it retries, waits for another attempt, or ends the request.
func (r *retryRun) attemptEnded(a *retryAttempt, end retry.End) {
	request := a.request
	if a.ended || request.ended {
		return
	}
	a.ended = true
	now := r.timeline.now
	request.inFlight = slices.DeleteFunc(request.inFlight, func(other *retryAttempt) bool { return other == a })
	if end == retry.EndDone {
		r.policy.Latency.Observe(r.timeline.clock(), now-a.sent)
		if now < request.arrived+retryDeadline {
			r.succeeded[request.arrived/retryBinWidth]++
			if r.period(request.arrived) >= 0 {
				r.latencies = append(r.latencies, now-request.arrived)
			}
		}
	}
	switch {
	case r.policyName == "banyanfront":
		d := request.call.AttemptEnded(r.timeline.clock(), a.id, retry.AttemptEnd{End: end, OtherServer: true}, r.random)
		for _, other := range request.inFlight {
			if slices.Contains(d.Cancel, other.id) {
				r.release(other)
			}
		}
		switch d.Step {
		case retry.StepRetry:
			r.timeline.at(now+d.Delay, func() { r.send(request, false) })
		case retry.StepWait:
		default:
			request.ended = true
		}
	case end == retry.EndDone || r.policyName == "no retries":
		request.ended = true
	default:
		r.timeline.at(now+retryDelay, func() { r.send(request, false) })
	}
}
