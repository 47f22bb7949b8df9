package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/banyanfront/banyanfront/decide/fairness"
	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Overload compares the fair queue with early refusal with a FIFO queue and with a fair queue that refuses nothing. Callers
// offer three times the capacity, or the normal load while only a third of the slots is left, and retry after a refusal or
// a timeout.
func Overload() Experiment {
	return Experiment{Name: "overload", Run: func(seed uint64) []Result {
		columns := []string{"useful % of maximum", "served in time % within share", "refused % within share",
			"recovery s", "all served again after s", "most waiting"}
		scenarios := []overloadScenario{
			{name: "overload", load: "3 times the capacity for 120 s, 1 large and 20 small organisations, 40 slots of " +
				"about 1 s, 10 s deadline, 3 retries a caller", small: 20, large: 1, smallLoad: 0.5, offeredLoad: 3, slotsLeftRatio: 1},
			{name: "overload-210", load: "3 times the capacity for 120 s, 10 large and 200 small organisations, 40 slots " +
				"of about 1 s, 10 s deadline, 3 retries a caller", small: 200, large: 10, smallLoad: 0.5, offeredLoad: 3,
				slotsLeftRatio: 1},
			{name: "overload-return", load: "a third of the slots is left for 120 s, then all return; 80 % load, 1 large " +
				"and 20 small organisations", small: 20, large: 1, smallLoad: 0.25, offeredLoad: overloadNormalRatio,
				slotsLeftRatio: 1.0 / 3},
		}
		var results []Result
		for _, scenario := range scenarios {
			result := Result{Name: scenario.name, Load: scenario.load, Seed: seed, Columns: columns}
			for _, policy := range []struct {
				name string
				make func() overloadQueue
			}{
				{"banyanfront", func() overloadQueue { return &fairOverload{queue: fairness.New(fairness.Config{})} }},
				{"fair queue without early refusal", func() overloadQueue { return newRoundRobinOverload() }},
				{"first in, first out", func() overloadQueue { return &fifoOverload{} }},
			} {
				result.Rows = append(result.Rows, Row{Policy: policy.name, Values: scenario.run(seed, policy.make())})
			}
			results = append(results, result)
		}
		return results
	}}
}

// Sizes of the overload experiment.
const (
	overloadSlots       = 40
	overloadServiceTime = time.Second // mean service time; lognormal distribution
	overloadSigma       = 0.5
	overloadDeadline    = 10 * time.Second
	overloadNormalRatio = 0.8 // offered load before and after the overload period, as a share of the capacity
	overloadStart       = 60 * time.Second
	overloadEnd         = 180 * time.Second
	overloadRunEnd      = 480 * time.Second
	overloadSettleTime  = 10 * time.Second // excluded from the figures at the start of the overload period
	overloadBinWidth    = 10 * time.Second
	overloadTargetRatio = 0.95 // share of the maximum from which the system counts as recovered
	overloadMaxRetries  = 3
	overloadRetryDelay  = time.Second // if the refusal has no RetryAfter
)

// overloadQueue is a queue under test.
type overloadQueue interface {
	// offer reports whether the request was enqueued and, if not, after which delay to retry.
	offer(now time.Time, item fairness.Item) (admitted bool, retryAfter time.Duration)
	next(now time.Time) (id string, ok bool)
	done(now time.Time, id string)
	expire(now time.Time) []fairness.Item
	setSlots(n int)
	waiting() int
}

// overloadScenario is one load pattern.
type overloadScenario struct {
	name, load     string
	small, large   int
	smallLoad      float64 // of all small organisations, as a share of the capacity; each is always within its fair share
	offeredLoad    float64 // total load during the overload period, as a share of the capacity
	slotsLeftRatio float64 // share of the slots available during the overload period
}

// overloadRequest is one attempt of a caller.
type overloadRequest struct {
	small   bool
	item    fairness.Item
	arrived time.Duration
	retries int
	ended   bool // the caller has received an answer or a refusal, or has timed out
}

// overloadRun is the state of one run.
type overloadRun struct {
	scenario                                             overloadScenario
	timeline                                             overloadTimeline
	queue                                                overloadQueue
	random                                               *rand.Rand
	pending                                              map[string]*overloadRequest
	running, sent, maxWaiting                            int
	usefulTime                                           []time.Duration // slot time of answers in time, by bin
	withinShare, withinShareAnswered, withinShareRefused int
	offered, succeeded                                   []int // requests by bin of arrival
}

// run returns the figures of one policy.
func (s overloadScenario) run(seed uint64, queue overloadQueue) []float64 {
	r := &overloadRun{scenario: s, queue: queue, random: rand.New(rand.NewPCG(seed, 1)),
		pending: make(map[string]*overloadRequest), offered: make([]int, overloadRunEnd/overloadBinWidth),
		succeeded:  make([]int, overloadRunEnd/overloadBinWidth),
		usefulTime: make([]time.Duration, overloadRunEnd/overloadBinWidth)}
	for org := range s.small + s.large {
		r.arrive(org)
	}
	r.tick()
	r.timeline.run(overloadRunEnd)
	// While the offered load exceeds the capacity, the system counts as recovered if nearly all slot time is useful;
	// otherwise, if nearly all requests are answered before their deadline.
	usefulSum, maxUsefulSum := 0.0, 0.0
	var recovery, timeToAllServed time.Duration
	for bin := range r.offered {
		begin := time.Duration(bin) * overloadBinWidth
		usefulRatio := r.usefulTime[bin].Seconds() / (overloadBinWidth.Seconds() * float64(r.slots(begin)))
		servedRatio := float64(r.succeeded[bin]) / float64(max(r.offered[bin], 1))
		switch {
		case begin >= overloadStart+overloadSettleTime && begin < overloadEnd:
			usefulSum, maxUsefulSum = usefulSum+usefulRatio, maxUsefulSum+1
		case begin >= overloadEnd && begin < overloadRunEnd-2*overloadDeadline && servedRatio < overloadTargetRatio:
			timeToAllServed = begin + overloadBinWidth - overloadEnd
			if usefulRatio < overloadTargetRatio {
				recovery = timeToAllServed
			}
		}
	}
	within := float64(max(r.withinShare, 1))
	return []float64{100 * usefulSum / maxUsefulSum, 100 * float64(r.withinShareAnswered) / within,
		100 * float64(r.withinShareRefused) / within, recovery.Seconds(), timeToAllServed.Seconds(), float64(r.maxWaiting)}
}

// slots returns the number of slots at a time.
func (r *overloadRun) slots(at time.Duration) int {
	if at >= overloadStart && at < overloadEnd {
		return int(math.Round(overloadSlots * r.scenario.slotsLeftRatio))
	}
	return overloadSlots
}

// arrive schedules the next request of an organisation.
func (r *overloadRun) arrive(org int) {
	now := r.timeline.now
	capacity := overloadSlots / overloadServiceTime.Seconds()
	load := overloadNormalRatio
	if now >= overloadStart && now < overloadEnd {
		load = r.scenario.offeredLoad
	}
	rate := r.scenario.smallLoad * capacity / float64(r.scenario.small)
	if org >= r.scenario.small {
		rate = (load - r.scenario.smallLoad) * capacity / float64(r.scenario.large)
	}
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	// The rate changes at the start and the end of the overload period, so the gap is drawn anew there.
	for _, edge := range []time.Duration{overloadStart, overloadEnd} {
		if now < edge && now+gap >= edge {
			r.timeline.at(edge, func() { r.arrive(org) })
			return
		}
	}
	r.timeline.at(now+gap, func() {
		r.sendRequest(org, 0)
		r.arrive(org)
	})
}

// sendRequest offers one request to the queue.
func (r *overloadRun) sendRequest(org, retries int) {
	now := r.timeline.now
	r.sent++
	request := &overloadRequest{small: org < r.scenario.small, arrived: now, retries: retries}
	request.item = fairness.Item{ID: strconv.Itoa(r.sent), Organisation: fleet.Organisation(strconv.Itoa(org)),
		Priority: fleet.PriorityNormal, Cost: 1, Deadline: overloadEpoch.Add(now + overloadDeadline)}
	if bin := int(now / overloadBinWidth); bin < len(r.offered) {
		r.offered[bin]++
	}
	if r.isWithinShare(request) {
		r.withinShare++
	}
	admitted, after := r.queue.offer(r.timeline.clock(), request.item)
	if !admitted {
		r.requestRefused(org, request, after)
		return
	}
	r.pending[request.item.ID] = request
	r.maxWaiting = max(r.maxWaiting, r.queue.waiting())
	r.timeline.at(now+overloadDeadline, func() {
		if !request.ended {
			request.ended = true
			r.retryLater(org, retries, 0)
		}
	})
	r.dispatch()
}

// isWithinShare reports whether a request counts in the figures of organisations within their share.
func (r *overloadRun) isWithinShare(request *overloadRequest) bool {
	return request.small && request.arrived >= overloadStart+overloadSettleTime && request.arrived < overloadEnd
}

func (r *overloadRun) requestRefused(org int, request *overloadRequest, after time.Duration) {
	request.ended = true
	if r.isWithinShare(request) {
		r.withinShareRefused++
	}
	if after <= 0 {
		after = overloadRetryDelay
	}
	r.retryLater(org, request.retries, after)
}

// retryLater schedules the next attempt of the caller, if it has any left.
func (r *overloadRun) retryLater(org, retries int, delay time.Duration) {
	if retries < overloadMaxRetries {
		r.timeline.at(r.timeline.now+delay, func() { r.sendRequest(org, retries+1) })
	}
}

// dispatch fills the free slots from the queue and removes expired requests.
func (r *overloadRun) dispatch() {
	for r.running < r.slots(r.timeline.now) {
		id, ok := r.queue.next(r.timeline.clock())
		if !ok {
			break
		}
		request, begin := r.pending[id], r.timeline.now
		r.running++
		serviceTime := time.Duration(math.Exp(overloadSigma*r.random.NormFloat64()-overloadSigma*overloadSigma/2) *
			float64(overloadServiceTime))
		r.timeline.at(begin+serviceTime, func() {
			r.running--
			r.queue.done(r.timeline.clock(), id)
			delete(r.pending, id)
			if !request.ended {
				r.recordAnswer(request, begin, serviceTime)
			}
			r.dispatch()
		})
	}
	for _, item := range r.queue.expire(r.timeline.clock()) {
		request := r.pending[item.ID]
		delete(r.pending, item.ID)
		if !request.ended {
			org, _ := strconv.Atoi(string(item.Organisation))
			r.requestRefused(org, request, 0)
		}
	}
}

func (r *overloadRun) recordAnswer(request *overloadRequest, begin, serviceTime time.Duration) {
	request.ended = true
	if bin := int(request.arrived / overloadBinWidth); bin < len(r.succeeded) {
		r.succeeded[bin]++
	}
	if r.isWithinShare(request) {
		r.withinShareAnswered++
	}
	for at := begin; at < begin+serviceTime; {
		bin := at / overloadBinWidth
		end := min(begin+serviceTime, (bin+1)*overloadBinWidth)
		if int(bin) < len(r.usefulTime) {
			r.usefulTime[bin] += end - at
		}
		at = end
	}
}

// tick updates the number of slots and expires requests every 100 ms.
func (r *overloadRun) tick() {
	r.queue.setSlots(r.slots(r.timeline.now))
	r.dispatch()
	r.timeline.at(r.timeline.now+100*time.Millisecond, r.tick)
}

// overloadEpoch is the start of virtual time.
var overloadEpoch = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)

// overloadTimeline is an event queue in virtual time. Events at the same time run in the order of scheduling.
type overloadTimeline struct {
	now    time.Duration
	events overloadEvents
	count  int
}

type overloadEvent struct {
	at    time.Duration
	order int
	run   func()
}

func (t *overloadTimeline) clock() time.Time { return overloadEpoch.Add(t.now) }

func (t *overloadTimeline) at(when time.Duration, run func()) {
	t.count++
	heap.Push(&t.events, overloadEvent{at: max(when, t.now), order: t.count, run: run})
}

func (t *overloadTimeline) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at < until {
		event := heap.Pop(&t.events).(overloadEvent)
		t.now = event.at
		event.run()
	}
}

type overloadEvents []overloadEvent

var _ heap.Interface = (*overloadEvents)(nil)

func (e overloadEvents) Len() int { return len(e) }
func (e overloadEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e overloadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *overloadEvents) Push(x any)   { *e = append(*e, x.(overloadEvent)) }
func (e *overloadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
