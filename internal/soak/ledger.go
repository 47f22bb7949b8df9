package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
)

// outcome is what a caller saw of a request.
type outcome uint8

const (
	pending   outcome = iota
	answered          // a whole answer of a backend server
	refused           // a status that promises that the request has not run
	failed            // another status, or a stream that broke off
	cutOff            // the connection ended, or the deadline passed, without an answer
	abandoned         // the caller left
	outcomes          // number of outcomes
)

var outcomeNames = [outcomes]string{"pending", "answered", "refused", "failed", "cut off", "abandoned"}

// request is one request of a caller with what became of it on both sides.
type request struct {
	id       string
	route    *routes.Route
	entry    string
	sent     time.Time
	ended    time.Time
	outcome  outcome
	status   int
	sentIn   phase
	endedIn  phase
	arrivals []arrival
	runs     int
	lastWork time.Time // when a backend server worked on it last
}

// arrival is one arrival of a request at a backend server.
type arrival struct {
	life     string
	at       time.Time
	rejected bool // as not run
}

// phase is a part of a soak, in which different promises hold.
type phase uint8

const (
	starting  phase = iota
	faults          // faults overlap
	calm            // no fault for longer than recovery takes
	rolling         // entry instances are stopped and started one by one, nothing else happens
	aftermath       // after the final fault
)

// Violation is a broken promise.
type Violation struct {
	Rule   string
	Detail string
	At     time.Duration // from the start of the soak
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%7.2f s  %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// ledger collects what callers, backend servers and operators see.
type ledger struct {
	begun time.Time

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	phase      phase
	counts     map[string]int // events, for the report
}

func newLedger() *ledger {
	return &ledger{begun: time.Now(), requests: map[string]*request{}, counts: map[string]int{}}
}

// violate records a broken promise.
func (l *ledger) violate(rule, format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(rule, format, arguments...)
}

func (l *ledger) violateLocked(rule, format string, arguments ...any) {
	l.violations = append(l.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, arguments...), At: time.Since(l.begun)})
}

// count counts an event for the report.
func (l *ledger) count(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[event]++
}

func (l *ledger) enter(p phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = p
}

// in reports whether the present phase is one of some.
func (l *ledger) in(phases ...phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(phases, l.phase)
}

// sending records a request before it is sent.
func (l *ledger) sending(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent, r.sentIn = time.Now(), l.phase
	l.requests[r.id] = r
}

// ending records what the caller saw.
func (l *ledger) ending(r *request, o outcome, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.endedIn, r.outcome, r.status = time.Now(), l.phase, o, status
}

// arrived records that a request has reached a backend server. The returned function records what becomes of it there.
func (l *ledger) arrived(id, life string) func(ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.violateLocked("UNASKED", "a backend server got request %q, which no caller has sent", id)
		return func(bool) {}
	}
	n := len(r.arrivals)
	r.arrivals = append(r.arrivals, arrival{life: life, at: time.Now()})
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

// working records that a backend server still works on a request.
func (l *ledger) working(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.lastWork = time.Now()
	}
}

// recent counts the requests of callers that ended since a moment, and those of them that were answered.
func (l *ledger) recent(since time.Time) (ended, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.outcome != pending && r.outcome != abandoned && r.ended.After(since) {
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
	// leftWorkBound is how long backend servers may go on with a request whose caller has left.
	leftWorkBound = 500 * time.Millisecond
	// coldMultiplier and coldSlack bound what a cold backend server gets in one second, over its own rate.
	coldMultiplier = 1.5
	coldSlack      = 5
	// mostTried is the number of requests that may reach more servers than their route allows.
	mostTried = 3
)

// check goes through all requests once everything has ended.
func (l *ledger) check(retryRatio, retrySlack float64, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	overTried, left, leftWorking := 0, 0, 0
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
			l.violateLocked("TWICE", "request %s on route %s has run %d times: %v", r.id, r.route.Name, r.runs, r.arrivals)
		}
		if once && r.outcome == refused && r.runs > 0 {
			l.violateLocked("REFUSED", "request %s on route %s was refused with %d and has run", r.id, r.route.Name, r.status)
		}
		if len(r.arrivals) > r.route.MaxAttempts {
			overTried++
		}
		if r.sentIn == rolling && r.endedIn == rolling && r.outcome == cutOff && len(r.arrivals) > 0 {
			l.violateLocked("LOST", "request %s on route %s was cut off %.2f s after it was sent to %s, which was stopped as planned",
				r.id, r.route.Name, r.ended.Sub(r.sent).Seconds(), r.entry)
		}
		if r.sentIn == calm && r.outcome == abandoned {
			left++
			if r.lastWork.After(r.ended.Add(leftWorkBound)) {
				leftWorking++
			}
		}
	}
	if overTried > mostTried {
		l.violateLocked("BUDGET", "%d requests reached more backend servers than their route allows", overTried)
	}
	if leftWorking > 1+left/4 {
		l.violateLocked("GONE", "backend servers went on with %d of %d requests whose caller had left", leftWorking, left)
	}
	l.checkRepeats(sent, repeats, retryRatio, retrySlack, window)
}

// checkRepeats compares the repeats in each window with the retry budget. As in the rule, the requests of the window before
// count where there are more of them.
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
			l.violateLocked("BUDGET", "%d repeats in the %v from %.2f s, with %d requests", n, window, from.Sub(l.begun).Seconds(), requests)
			return
		}
	}
}
