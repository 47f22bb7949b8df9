// Package history records what happened in a run, at the callers and at the backend servers, and checks it afterwards
// against the guarantees of docs/design.md, one checker each. Nothing that the load balancer says about itself is
// believed.
package history

import (
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Result is how a request ended for its caller.
type Result string

// Results of a request.
const (
	Answered Result = "answered"
	NotRun   Result = "not_run"   // refused with the promise that it did not run
	Unknown  Result = "unknown"   // refused without a promise
	NoAnswer Result = "no_answer" // the connection broke
	// Unreachable: the connection was not accepted, so the request was not sent.
	Unreachable Result = "unreachable"
)

// Request is one request as its caller saw it. Times are since the start of the run.
type Request struct {
	ID       string // same for all tries of one keyed request
	Keyed    bool
	Instance fleet.InstanceID // that the caller asked
	Begun    time.Duration
	Ended    time.Duration
	Result   Result
	Complete bool // the answer is the whole answer to this request
	Crashed  bool // the instance crashed before it answered
	Detail   string
}

// Run is one execution as a backend server recorded it.
type Run struct {
	Request    string // identifier of the request
	Server     fleet.ServerID
	DataCentre fleet.DataCentre
	Begun      time.Duration
	Ended      time.Duration
	Cut        bool // the connection ended while it ran
}

// Centre is a data centre taken out or brought back.
type Centre struct {
	DataCentre fleet.DataCentre
	Out        bool
	Accepted   time.Duration
	Reached    time.Duration // when all entry instances could be reached again, Accepted if they always could
}

// Leave is a backend server whose planned departure began.
type Leave struct {
	Server fleet.ServerID
	At     time.Duration
	Until  time.Duration // when it came back, 0 if it did not
}

// Stop is a planned stop of an entry instance or agent.
type Stop struct {
	Instance fleet.InstanceID
	Server   fleet.ServerID
	From, To time.Duration
}

// Start is a start of a backend server, with how often it fell over under load while it was cold.
type Start struct {
	Server fleet.ServerID
	At     time.Duration
	Falls  int
}

// Accept is an accepted change of the configuration.
type Accept struct {
	Revision uint64
	At       time.Duration
	Reached  time.Duration // when all entry instances could be reached again, At if they always could
}

// InForce is a sighting of the configuration in force at an instance.
type InForce struct {
	Instance fleet.InstanceID
	Revision uint64
	At       time.Duration
}

// Step is one step of a rank of a lock-step group.
type Step struct {
	Group   string
	Rank    int
	Number  uint64
	Version uint64 // of the expert map
}

// History is what happened in one run.
type History struct {
	Requests []Request
	Runs     []Run
	Centres  []Centre
	Leaves   []Leave
	Stops    []Stop
	Starts   []Start
	Accepts  []Accept
	InForce  []InForce
	Steps    []Step
	Faults   []string // what was done to the fleet, with times, for the reader
	End      time.Duration
}

// Recorder collects a history from many goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Record adds events.
func (r *Recorder) Record(add func(*History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.history)
}

// History returns what was recorded. It must be called when nothing is recorded any more.
func (r *Recorder) History() *History { return &r.history }

// Violation is a broken guarantee.
type Violation struct {
	Guarantee string // G1 to G9
	Detail    string
}

// Check runs all checkers.
func Check(h *History) []Violation {
	return slices.Concat(
		SameMap(h), BearableStart(h), NoWorkWhenOut(h), WholeAnswers(h), NotRunHolds(h), AtMostOnce(h), NoWorkWhenLeaving(h),
		GracefulStops(h), InForceForGood(h),
	)
}
