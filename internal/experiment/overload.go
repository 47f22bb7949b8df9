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

// Overload compares the fair queue with early refusal with a plain queue and with a fair queue that refuses nothing, while
// callers offer three times the capacity and come back after a refusal or a late answer.
func Overload() Experiment {
	return Experiment{Name: "overload", Run: func(seed uint64) []Result {
		columns := []string{"useful % of maximum", "served in time % within share", "refused % within share",
			"recovery s", "all served again after s", "most waiting"}
		scenarios := []overloadScenario{
			{name: "overload", load: "3 times the capacity for 120 s, 1 large and 20 small organisations, 40 slots of " +
				"about 1 s, 10 s deadline, 3 retries a caller", small: 20, large: 1, within: 0.5, storm: 3, outage: 1},
			{name: "overload-210", load: "3 times the capacity for 120 s, 10 large and 200 small organisations, 40 slots " +
				"of about 1 s, 10 s deadline, 3 retries a caller", small: 200, large: 10, within: 0.5, storm: 3,
				outage: 1},
			{name: "overload-return", load: "a third of the slots is left for 120 s, then all return; 80 % load, 1 large " +
				"and 20 small organisations", small: 20, large: 1, within: 0.25, storm: overloadNormal,
				outage: 1.0 / 3},
		}
		var results []Result
		for _, scenario := range scenarios {
			result := Result{Name: scenario.name, Load: scenario.load, Seed: seed, Columns: columns}
			for _, policy := range []struct {
				name string
				make func() overloadQueue
			}{
				{"banyanfront", func() overloadQueue { return &fairOverload{queue: fairness.New(fairness.Config{})} }},
				{"fair queue without early refusal", func() overloadQueue { return newTurns() }},
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
	overloadSlots    = 40
	overloadService  = time.Second // mean slot time; lognormal
	overloadSigma    = 0.5
	overloadDeadline = 10 * time.Second
	overloadNormal   = 0.8 // load before and after the storm, share of the capacity
	overloadBegin    = 60 * time.Second
	overloadEnd      = 180 * time.Second
	overloadLast     = 480 * time.Second
	overloadSettle   = 10 * time.Second // left out of the figures at the begin of the storm
	overloadBin      = 10 * time.Second
	overloadTarget   = 0.95 // useful part of the maximum
	overloadRetries  = 3
	overloadPause    = time.Second // before a retry, if the refusal names no time
)

// overloadQueue is a queue under test.
type overloadQueue interface {
	// offer reports whether the request waits now, and when to come back if not.
	offer(now time.Time, item fairness.Item) (admitted bool, retryAfter time.Duration)
	next(now time.Time) (id string, ok bool)
	done(now time.Time, id string)
	expire(now time.Time) []fairness.Item
	slots(n int)
	waiting() int
}

// overloadScenario is one load.
type overloadScenario struct {
	name, load   string
	small, large int
	within       float64 // load of the small organisations together; each stays within its share at all times
	storm        float64 // offered load during the storm, share of the capacity
	outage       float64 // share of the slots that is left during the storm
}

// overloadRequest is one try of a caller.
type overloadRequest struct {
	small   bool
	item    fairness.Item
	arrived time.Duration
	tries   int
	ended   bool // the caller has an answer or a refusal, or has given up
}

// overloadRun is the state of one run.
type overloadRun struct {
	scenario                    overloadScenario
	timeline                    overloadTimeline
	queue                       overloadQueue
	random                      *rand.Rand
	open                        map[string]*overloadRequest
	running, sent, mostWaiting  int
	useful                      []time.Duration // slot time of answers in time, by bin
	within, withinOK, withinRef int
	offered, succeeded          []int // by bin of arrival
}

// run returns the figures of one policy.
func (s overloadScenario) run(seed uint64, queue overloadQueue) []float64 {
	r := &overloadRun{scenario: s, queue: queue, random: rand.New(rand.NewPCG(seed, 1)),
		open: make(map[string]*overloadRequest), offered: make([]int, overloadLast/overloadBin),
		succeeded: make([]int, overloadLast/overloadBin), useful: make([]time.Duration, overloadLast/overloadBin)}
	for org := range s.small + s.large {
		r.arrive(org)
	}
	r.tick()
	r.timeline.run(overloadLast)
	// While more is offered than the slots can bear, the system is up if nearly all slot time is useful; otherwise, if
	// nearly all requests are answered in time.
	useful, possible := 0.0, 0.0
	var recovery, allServed time.Duration
	for bin := range r.offered {
		begin := time.Duration(bin) * overloadBin
		busy := r.useful[bin].Seconds() / (overloadBin.Seconds() * float64(r.slots(begin)))
		served := float64(r.succeeded[bin]) / float64(max(r.offered[bin], 1))
		switch {
		case begin >= overloadBegin+overloadSettle && begin < overloadEnd:
			useful, possible = useful+busy, possible+1
		case begin >= overloadEnd && begin < overloadLast-2*overloadDeadline && served < overloadTarget:
			allServed = begin + overloadBin - overloadEnd
			if busy < overloadTarget {
				recovery = allServed
			}
		}
	}
	within := float64(max(r.within, 1))
	return []float64{100 * useful / possible, 100 * float64(r.withinOK) / within, 100 * float64(r.withinRef) / within,
		recovery.Seconds(), allServed.Seconds(), float64(r.mostWaiting)}
}

// slots returns the slots at a time.
func (r *overloadRun) slots(at time.Duration) int {
	if at >= overloadBegin && at < overloadEnd {
		return int(math.Round(overloadSlots * r.scenario.outage))
	}
	return overloadSlots
}

// arrive schedules the next request of an organisation.
func (r *overloadRun) arrive(org int) {
	now := r.timeline.now
	capacity := overloadSlots / overloadService.Seconds()
	load := overloadNormal
	if now >= overloadBegin && now < overloadEnd {
		load = r.scenario.storm
	}
	rate := r.scenario.within * capacity / float64(r.scenario.small)
	if org >= r.scenario.small {
		rate = (load - r.scenario.within) * capacity / float64(r.scenario.large)
	}
	gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	// The rate is taken anew at the begin and the end of the storm.
	for _, edge := range []time.Duration{overloadBegin, overloadEnd} {
		if now < edge && now+gap >= edge {
			r.timeline.at(edge, func() { r.arrive(org) })
			return
		}
	}
	r.timeline.at(now+gap, func() {
		r.try(org, 0)
		r.arrive(org)
	})
}

// try offers one request.
func (r *overloadRun) try(org, tries int) {
	now := r.timeline.now
	r.sent++
	request := &overloadRequest{small: org < r.scenario.small, arrived: now, tries: tries}
	request.item = fairness.Item{ID: strconv.Itoa(r.sent), Organisation: fleet.Organisation(strconv.Itoa(org)),
		Priority: fleet.PriorityNormal, Cost: 1, Deadline: overloadEpoch.Add(now + overloadDeadline)}
	if bin := int(now / overloadBin); bin < len(r.offered) {
		r.offered[bin]++
	}
	if r.counts(request) {
		r.within++
	}
	admitted, after := r.queue.offer(r.timeline.clock(), request.item)
	if !admitted {
		r.refused(org, request, after)
		return
	}
	r.open[request.item.ID] = request
	r.mostWaiting = max(r.mostWaiting, r.queue.waiting())
	r.timeline.at(now+overloadDeadline, func() {
		if !request.ended {
			request.ended = true
			r.again(org, tries, 0)
		}
	})
	r.dispatch()
}

// counts reports whether a request belongs to the figures of organisations within their share.
func (r *overloadRun) counts(request *overloadRequest) bool {
	return request.small && request.arrived >= overloadBegin+overloadSettle && request.arrived < overloadEnd
}

func (r *overloadRun) refused(org int, request *overloadRequest, after time.Duration) {
	request.ended = true
	if r.counts(request) {
		r.withinRef++
	}
	if after <= 0 {
		after = overloadPause
	}
	r.again(org, request.tries, after)
}

// again lets the caller come back.
func (r *overloadRun) again(org, tries int, after time.Duration) {
	if tries < overloadRetries {
		r.timeline.at(r.timeline.now+after, func() { r.try(org, tries+1) })
	}
}

// dispatch fills the free slots.
func (r *overloadRun) dispatch() {
	for r.running < r.slots(r.timeline.now) {
		id, ok := r.queue.next(r.timeline.clock())
		if !ok {
			break
		}
		request, begin := r.open[id], r.timeline.now
		r.running++
		took := time.Duration(math.Exp(overloadSigma*r.random.NormFloat64()-overloadSigma*overloadSigma/2) *
			float64(overloadService))
		r.timeline.at(begin+took, func() {
			r.running--
			r.queue.done(r.timeline.clock(), id)
			delete(r.open, id)
			if !request.ended {
				r.succeed(request, begin, took)
			}
			r.dispatch()
		})
	}
	for _, item := range r.queue.expire(r.timeline.clock()) {
		request := r.open[item.ID]
		delete(r.open, item.ID)
		if !request.ended {
			org, _ := strconv.Atoi(string(item.Organisation))
			r.refused(org, request, 0)
		}
	}
}

func (r *overloadRun) succeed(request *overloadRequest, begin, took time.Duration) {
	request.ended = true
	if bin := int(request.arrived / overloadBin); bin < len(r.succeeded) {
		r.succeeded[bin]++
	}
	if r.counts(request) {
		r.withinOK++
	}
	for at := begin; at < begin+took; {
		bin := at / overloadBin
		end := min(begin+took, (bin+1)*overloadBin)
		if int(bin) < len(r.useful) {
			r.useful[bin] += end - at
		}
		at = end
	}
}

// tick lets items expire and follows the number of slots.
func (r *overloadRun) tick() {
	r.queue.slots(r.slots(r.timeline.now))
	r.dispatch()
	r.timeline.at(r.timeline.now+100*time.Millisecond, r.tick)
}

// overloadEpoch is the begin of virtual time.
var overloadEpoch = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)

// overloadTimeline runs events in the order of their times, in the order of scheduling at equal times.
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
