// Package history records the events of a run as observed by callers and backend servers, and checks the record against
// the guarantees of docs/design.md, one checker per guarantee. No check of requests or executions relies on data that the
// load balancer reports about itself.
package history

import (
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Result is the outcome of a request for its caller.
type Result string

// Results of a request.
const (
	Answered Result = "answered"
	NotRun   Result = "not_run"   // refused, with the guarantee that it did not run
	Unknown  Result = "unknown"   // refused without that guarantee
	NoAnswer Result = "no_answer" // the connection broke
	// Unreachable: the connection was not accepted, so the request was not sent.
	Unreachable Result = "unreachable"
)

// Request is one try of a request as observed by its caller. Times are since the start of the run.
type Request struct {
	ID       string           // same for all tries of one keyed request
	Keyed    bool             // sent with an idempotency key, so it must not run twice
	Instance fleet.InstanceID // that the caller sent it to
	Begun    time.Duration
	Ended    time.Duration
	Result   Result
	Complete bool // the answer is complete and belongs to this request
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
	Aborted    bool // the connection closed while it ran
}

// DataCentreChange is an accepted command that evacuates or restores a data centre.
type DataCentreChange struct {
	DataCentre fleet.DataCentre
	Evacuated  bool // false if it was restored
	AcceptedAt time.Duration
	// ReachableAt is when all entry instances were reachable again: AcceptedAt if they were reachable then, negative while
	// they are not.
	ReachableAt time.Duration
}

// Departure is a planned departure of a backend server.
type Departure struct {
	Server fleet.ServerID
	At     time.Duration
	Until  time.Duration // when it returned, 0 if it did not
}

// Stop is a planned stop of an entry instance or agent.
type Stop struct {
	Instance fleet.InstanceID
	Server   fleet.ServerID
	From, To time.Duration
}

// Start is a start of a backend server, with the number of its crashes under load while it was cold.
type Start struct {
	Server      fleet.ServerID
	At          time.Duration
	ColdCrashes int
}

// ConfigurationChange is an accepted change of the configuration.
type ConfigurationChange struct {
	Revision    uint64
	At          time.Duration
	ReachableAt time.Duration // as in DataCentreChange
}

// RevisionSample is the revision of the configuration that was active at an instance at one time.
type RevisionSample struct {
	Instance fleet.InstanceID
	Revision uint64
	At       time.Duration
}

// Step is one decode step of a rank of a lock-step group.
type Step struct {
	Group   string
	Rank    int
	Number  uint64
	Version uint64 // of the expert map
}

// History is the record of one run.
type History struct {
	Requests             []Request
	Runs                 []Run
	DataCentreChanges    []DataCentreChange
	Departures           []Departure
	Stops                []Stop
	Starts               []Start
	ConfigurationChanges []ConfigurationChange
	RevisionSamples      []RevisionSample
	Steps                []Step
	Faults               []string // injected faults with their times, for reports
	End                  time.Duration
}

// Recorder collects a history from many goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Record calls add with the history, under the recorder's lock.
func (r *Recorder) Record(add func(*History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.history)
}

// History returns the recorded history. It must not be called before the last call of Record has returned.
func (r *Recorder) History() *History { return &r.history }

// Violation is a broken guarantee.
type Violation struct {
	Guarantee string // G1 to G9
	Detail    string
}

// Check runs all checkers.
func Check(h *History) []Violation {
	return slices.Concat(
		SameExpertMap(h), NoCrashWhileCold(h), NoWorkAfterEvacuation(h), CompleteAnswers(h), NotRunNeverRan(h), AtMostOnce(h),
		NoWorkAfterDeparture(h), GracefulStops(h), ConfigurationConverges(h),
	)
}
