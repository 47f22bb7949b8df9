// Package trace implements traces of recorded or generated requests, with the events that occur in the fleet and the
// outcomes that a replay must meet: a file format in JSON lines, a recorder for entry instances, and the replay of a trace
// against a fleet.
//
// The first line of a file is a Header. Each further line has a type: a Request, an Event or an Outcome. Times are whole
// milliseconds since the start of the trace. A trace contains no prompts, keys or bodies, only their lengths and digests.
package trace

import "slices"

// Version is the version of the file format.
const Version = 1

// Header is the first line of a trace.
type Header struct {
	Version int    `json:"version"`
	Name    string `json:"name,omitempty"`
	// Fleet describes the fleet that the trace is replayed against. Recorded traces have none; see Trace.SetDefaultFleet.
	Fleet []DataCentre `json:"fleet,omitempty"`
}

// DataCentre is a data centre of the fleet with the number of its processes by kind. Entry instances are named
// "DATACENTRE-entry-1", "-2" and so on, engines "DATACENTRE-MODEL-1" and plain services "DATACENTRE-SERVICE-1".
type DataCentre struct {
	Name           string `json:"name"`
	EntryInstances int    `json:"entries"`
	Model          string `json:"model,omitempty"`
	Engines        int    `json:"engines,omitempty"`
	Service        string `json:"service,omitempty"`
	Services       int    `json:"services,omitempty"`
}

// Request is one request of a caller.
type Request struct {
	AtMS         int64  `json:"at"`
	Organisation string `json:"org"`
	Target       string `json:"target"` // model or plain service
	Method       string `json:"method"`
	Path         string `json:"path"` // as the caller sent it, without the query
	// Key is a digest of the idempotency key, empty if the request has none. A later request with the same key is a retry.
	Key         string `json:"key,omitempty"`
	Stream      bool   `json:"stream,omitempty"`
	PromptBytes int    `json:"prompt,omitempty"`
	MaxTokens   int    `json:"tokens,omitempty"`
	DeadlineMS  int64  `json:"deadline,omitempty"`
	DataCentre  string `json:"dc"` // of the entry instance closest to the caller
}

// EventKind is a kind of event in the fleet.
type EventKind string

// Kinds of events, with the fields that they require.
const (
	Evacuate  EventKind = "out"       // DataCentre is evacuated
	Restore   EventKind = "in"        // DataCentre is restored
	Drain     EventKind = "drain"     // the agent of Server stops gracefully
	Down      EventKind = "down"      // Server and its agent are killed
	Up        EventKind = "up"        // Server and its agent start after Drain or Down
	Cold      EventKind = "cold"      // Server becomes cold without reporting it
	Crash     EventKind = "crash"     // Instance crashes
	Restart   EventKind = "restart"   // Instance starts after Crash
	Slow      EventKind = "slow"      // Server is slower by Factor; 1 restores its speed
	Partition EventKind = "partition" // DataCentre is partitioned from all others
	Heal      EventKind = "heal"      // all partitions end
	Silent    EventKind = "silent"    // open connections between Instance and Server transmit nothing more, without closing
)

// Event is a change or fault of the fleet.
type Event struct {
	AtMS       int64     `json:"at"`
	Kind       EventKind `json:"event"`
	DataCentre string    `json:"dc,omitempty"`
	Server     string    `json:"server,omitempty"`
	Instance   string    `json:"instance,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
}

// OutcomeKind is a kind of expected outcome.
type OutcomeKind string

// Kinds of outcomes that a trace can require.
const (
	// NoLostRequests: each keyed request to Target is eventually answered, as its caller retries it with the same key.
	NoLostRequests OutcomeKind = "none lost"
	// NoDuplicateRuns: no keyed request to Target runs twice.
	NoDuplicateRuns OutcomeKind = "none twice"
	// AnsweredWithin: at least Share of the requests to Target get a complete answer within WithinMS, or within their
	// deadline if WithinMS is 0.
	AnsweredWithin OutcomeKind = "answered within"
	// TimeToFirstToken: at least Share of the streams of Target get their first token within WithinMS.
	TimeToFirstToken OutcomeKind = "first token within"
	// InterTokenLatency: at least Share of the answered streams of Target have a mean inter-token latency of at most
	// WithinMS.
	InterTokenLatency OutcomeKind = "token interval within"
	// NoNewRequests: DataCentre starts no request from WithinMS after its evacuation was accepted until it is restored.
	NoNewRequests OutcomeKind = "nothing new"
)

// Window is an interval of the trace, ToMS exclusive. A request belongs to it by the time at which it is sent.
type Window struct {
	FromMS int64 `json:"from"`
	ToMS   int64 `json:"to"`
}

// Outcome is an expected outcome that a replay must meet.
type Outcome struct {
	Kind       OutcomeKind `json:"outcome"`
	Target     string      `json:"target,omitempty"`
	DataCentre string      `json:"dc,omitempty"`
	Share      float64     `json:"share,omitempty"` // 0 to 1
	WithinMS   int64       `json:"within,omitempty"`
	Except     []Window    `json:"except,omitempty"`
}

// Trace is a complete trace. Requests and events are each sorted by time.
type Trace struct {
	Header   Header
	Requests []Request
	Events   []Event
	Outcomes []Outcome
}

// Processes that SetDefaultFleet assumes in each data centre: the current fleet of docs/design.md, section 1, divided by
// three.
const (
	defaultEntryInstances = 2
	defaultEngines        = 4
	defaultServices       = 1
)

// SetDefaultFleet adds a fleet to a trace that has none. It has each data centre that a request names, and each serves
// the model and the plain service that are requested first.
func (t *Trace) SetDefaultFleet() {
	if len(t.Header.Fleet) > 0 {
		return
	}
	var model, service string
	var names []string
	for _, r := range t.Requests {
		switch {
		case r.toPlainService() && service == "":
			service = r.Target
		case !r.toPlainService() && model == "":
			model = r.Target
		}
		names = append(names, r.DataCentre)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		d := DataCentre{Name: name, EntryInstances: defaultEntryInstances, Model: model, Service: service}
		if model != "" {
			d.Engines = defaultEngines
		}
		if service != "" {
			d.Services = defaultServices
		}
		t.Header.Fleet = append(t.Header.Fleet, d)
	}
}
