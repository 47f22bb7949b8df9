package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
)

// outcome is the result of a request as its caller observed it.
type outcome uint8

const (
	pending      outcome = iota
	answered             // complete answer of a backend server
	refused              // status that guarantees that the request has not run
	failed               // another status, or a truncated stream
	cutOff               // connection closed or deadline exceeded before an answer
	abandoned            // by the caller
	outcomeCount         // number of outcomes
)

var outcomeNames = [outcomeCount]string{"pending", "answered", "refused", "failed", "cut off", "abandoned"}

// request is one request of a caller, as recorded by the caller and by backend servers.
type request struct {
	id         string
	route      *routes.Route
	entry      string
	sent       time.Time
	ended      time.Time
	outcome    outcome
	status     int
	harmful    bool // it, or a part of its prompt, ends servers; it is not owed an answer
	sentPhase  phase
	endedPhase phase
	arrivals   []arrival
	runs       int
	lastWork   time.Time // when a backend server last worked on it
}

// arrival is one arrival of a request at a backend server.
type arrival struct {
	incarnation string
	at          time.Time
	rejected    bool // answered as not run
}

// phase is a phase of a soak. The phases differ in the guarantees that are checked.
type phase uint8

const (
	starting        phase = iota
	underFaults           // faults overlap
	faultFree             // no fault, after the system has recovered
	rollingRestart        // entry instances are restarted one by one, without other faults
	afterFinalFault       // from the final fault on
)

// Violation is a violation of one of the system's guarantees.
type Violation struct {
	Rule   string
	Detail string
	At     time.Duration // from the start of the soak
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%7.2f s  %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// ledger records what callers, backend servers and operators observe.
type ledger struct {
	start time.Time

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	phase      phase
	counts     map[string]int       // events, for the report
	startedAt  map[string]time.Time // last start of each process
	parts      []*harmfulPart
}

// harmfulPart is a part of prompts that ends each engine that begins an answer on it, or a request that ends each server that
// begins to run it.
type harmfulPart struct {
	name         string
	maxEnds      int // of servers, by which the system must know it
	ends         []time.Time
	lateArrivals int // at servers, not under faults but also after the final one, later than stableWindow after the end number maxEnds
}

// harmfulRequest is the name of the harmfulPart that is a whole request. Its repeats have harmfulRequestPath and
// harmfulRequestBody in common.
const (
	harmfulRequest     = "request"
	harmfulRequestPath = "harmful"
	harmfulRequestBody = "the body of a harmful request"
)

func newLedger() *ledger {
	return &ledger{start: time.Now(), requests: map[string]*request{}, counts: map[string]int{}, startedAt: map[string]time.Time{}}
}

// recordViolation records the violation of a guarantee.
func (l *ledger) recordViolation(rule, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(rule, format, arguments...)
}

func (l *ledger) recordViolationLocked(rule, format string, arguments ...any) {
	l.violations = append(l.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, arguments...), At: time.Since(l.start)})
}

// count counts an event for the report.
func (l *ledger) count(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[event]++
}

func (l *ledger) enterPhase(p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = p
}

// inPhase reports whether the current phase is one of phases.
func (l *ledger) inPhase(phases ...phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(phases, l.phase)
}

// recordSent records a request before it is sent.
func (l *ledger) recordSent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent, r.sentPhase = time.Now(), l.phase
	l.requests[r.id] = r
}

// recordEnd records the outcome of a request at its caller, and the status or 0.
func (l *ledger) recordEnd(r *request, o outcome, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.endedPhase, r.outcome, r.status = time.Now(), l.phase, o, status
}

// recordArrival records that a request has reached a backend server. The returned function records if it runs there.
func (l *ledger) recordArrival(id, incarnation string) func(ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.recordViolationLocked("UNASKED", "a backend server got request %q, which no caller has sent", id)
		return func(bool) {}
	}
	n := len(r.arrivals)
	r.arrivals = append(r.arrivals, arrival{incarnation: incarnation, at: time.Now()})
	return func(ran bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !ran {
			r.arrivals[n].rejected = true
			return
		}
		r.runs++
		r.lastWork = time.Now()
	}
}

// recordWork records that a backend server still works on a request.
func (l *ledger) recordWork(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.lastWork = time.Now()
	}
}

// addHarmfulPart adds a part of prompts that ends engines from now on.
func (l *ledger) addHarmfulPart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts = append(l.parts, &harmfulPart{name: fmt.Sprintf("bad%d", len(l.parts)+1), maxEnds: maxHarmfulEnds})
}

// addHarmfulRequest makes a request end servers from now on.
func (l *ledger) addHarmfulRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts = append(l.parts, &harmfulPart{name: harmfulRequest, maxEnds: maxRequestEnds})
}

// hasHarmfulRequest reports whether a request ends servers.
func (l *ledger) hasHarmfulRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.parts, func(p *harmfulPart) bool { return p.name == harmfulRequest })
}

// harmfulPart returns the newest harmful part, empty if there is none.
func (l *ledger) harmfulPart() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range slices.Backward(l.parts) {
		if p.name != harmfulRequest {
			return p.name
		}
	}
	return ""
}

// harmfulPartIn returns the harmful part of a prompt, empty if it has none.
func (l *ledger) harmfulPartIn(prompt string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.parts {
		if strings.Contains(prompt, p.name+":") {
			return p.name
		}
	}
	return ""
}

func (l *ledger) recordHarmfulArrival(part string) {
	l.updatePart(part, func(p *harmfulPart) {
		known := len(p.ends) >= p.maxEnds && time.Since(p.ends[p.maxEnds-1]) > stableWindow
		if known && l.phase != underFaults {
			p.lateArrivals++
		}
	})
}

func (l *ledger) recordHarmfulEnd(part string) {
	l.updatePart(part, func(p *harmfulPart) {
		p.ends = append(p.ends, time.Now())
		l.counts["servers ended by "+harmfulKind(part)]++
	})
}

// harmfulEndSince reports whether a server has ended since a time under a harmful request or part.
func (l *ledger) harmfulEndSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.parts, func(p *harmfulPart) bool { return len(p.ends) > 0 && p.ends[len(p.ends)-1].After(since) })
}

// harmfulKind names what a harmful part is, for the report.
func harmfulKind(part string) string {
	if part == harmfulRequest {
		return "a request"
	}
	return "a part of a prompt"
}

func (l *ledger) updatePart(name string, update func(p *harmfulPart)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.parts {
		if p.name == name {
			update(p)
		}
	}
}

// endedSince returns the number of requests that ended after a time, without abandoned ones, and how many were answered.
func (l *ledger) endedSince(since time.Time) (ended, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.outcome != pending && r.outcome != abandoned && !r.harmful && r.ended.After(since) {
			ended++
			if r.outcome == answered {
				served++
			}
		}
	}
	return ended, served
}

// Bounds of the checks.
const (
	// maxWorkAfterAbandon is how long backend servers may continue to work on a request after its caller has abandoned it.
	maxWorkAfterAbandon = 500 * time.Millisecond
	// A cold backend server may get coldRequestsPerSecond times coldMultiplier, plus coldSlackRequests, in one second.
	coldMultiplier    = 1.5
	coldSlackRequests = 5
	// After maxHarmfulEnds ends of engines on one part of a prompt, or maxRequestEnds under one request, and stableWindow more,
	// maxLateArrivals requests with it may reach servers at most.
	maxHarmfulEnds  = 5
	maxRequestEnds  = 3
	maxLateArrivals = 3
	stableWindow    = 3 * time.Second
	// maxOverAttempted is the number of requests that may reach more servers than their route allows.
	maxOverAttempted = 3
)

// checkRequests checks all requests after the end of the deployment.
func (l *ledger) checkRequests(retryRatio, retrySlack float64, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	overAttempted, abandonedRequests, stillWorkedOn := 0, 0, 0
	var sent, repeats []time.Time
	for _, r := range l.requests {
		sent = append(sent, r.sent)
		for i, a := range r.arrivals {
			if i > 0 {
				repeats = append(repeats, a.at)
			}
		}
		once := !r.route.Repeatable()
		if once && r.runs > 1 {
			l.recordViolationLocked("TWICE", "request %s on route %s has run %d times: %v", r.id, r.route.Name, r.runs, r.arrivals)
		}
		if once && r.outcome == refused && r.runs > 0 {
			l.recordViolationLocked("REFUSED", "request %s on route %s was refused with %d and has run", r.id, r.route.Name, r.status)
		}
		if len(r.arrivals) > r.route.MaxAttempts {
			overAttempted++
		}
		if r.sentPhase == rollingRestart && r.endedPhase == rollingRestart && r.outcome == cutOff && len(r.arrivals) > 0 {
			l.recordViolationLocked("LOST", "request %s on route %s was cut off %.2f s after it was sent to %s, which was stopped as planned",
				r.id, r.route.Name, r.ended.Sub(r.sent).Seconds(), r.entry)
		}
		if r.sentPhase == faultFree && r.outcome == abandoned {
			abandonedRequests++
			if r.lastWork.After(r.ended.Add(maxWorkAfterAbandon)) {
				stillWorkedOn++
			}
		}
	}
	for _, p := range l.parts {
		if p.lateArrivals > maxLateArrivals {
			l.recordViolationLocked("BUDGET", "%s under which %d servers had ended reached servers %d times more; %d ended in all",
				harmfulKind(p.name), p.maxEnds, p.lateArrivals, len(p.ends))
		}
	}
	if overAttempted > maxOverAttempted {
		l.recordViolationLocked("BUDGET", "%d requests reached more backend servers than their route allows", overAttempted)
	}
	if stillWorkedOn > 1+abandonedRequests/4 {
		l.recordViolationLocked("GONE", "backend servers continued to work on %d of %d requests that their callers had abandoned", stillWorkedOn, abandonedRequests)
	}
	l.checkRepeats(sent, repeats, retryRatio, retrySlack, window)
}

// checkRepeats compares the repeats in each window with the retry budget. Like the budget itself, it uses the requests of
// the previous window if there were more of them.
func (l *ledger) checkRepeats(sent, repeats []time.Time, ratio, slack float64, window time.Duration) {
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeats, time.Time.Compare)
	within := func(times []time.Time, from time.Time) int {
		low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		high, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
		return high - low
	}
	for _, from := range repeats {
		requests := max(within(sent, from), within(sent, from.Add(-window/2)), within(sent, from.Add(-window)))
		if n := within(repeats, from); float64(n) > ratio*float64(requests)+slack {
			l.recordViolationLocked("BUDGET", "%d repeats in the %v from %.2f s, with %d requests", n, window, from.Sub(l.start).Seconds(), requests)
			return
		}
	}
}
