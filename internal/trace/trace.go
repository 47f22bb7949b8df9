// Package trace holds recorded or generated traffic with what happened to the fleet and what must come of it: a file
// format in JSON lines, a recorder for entry instances, and the replay of a trace against a fleet.
//
// The first line of a file is a Header. Each further line has a type: a Request, an Event or an Outcome. Times are whole
// milliseconds since the start of the trace. A trace holds no prompt, no key and no body, only lengths and digests.
package trace

import "slices"

// Version is the version of the format.
const Version = 1

// Header is the first line of a trace.
type Header struct {
	Version int    `json:"version"`
	Name    string `json:"name,omitempty"`
	// Fleet is what the trace is replayed against. Recorded traces have none; see Trace.Complete.
	Fleet []DataCentre `json:"fleet,omitempty"`
}

// DataCentre is a data centre of the fleet with the number of its processes. Entry instances are named
// "DATACENTRE-entry-1", "-2" and so on, engines "DATACENTRE-MODEL-1" and plain services "DATACENTRE-SERVICE-1".
type DataCentre struct {
	Name     string `json:"name"`
	Entries  int    `json:"entries"`
	Model    string `json:"model,omitempty"`
	Engines  int    `json:"engines,omitempty"`
	Service  string `json:"service,omitempty"`
	Services int    `json:"services,omitempty"`
}

// Request is one request of a caller.
type Request struct {
	AtMS         int64  `json:"at"`
	Organisation string `json:"org"`
	Target       string `json:"target"` // model or plain service
	Method       string `json:"method"`
	Path         string `json:"path"` // as the caller sent it, without its query
	// Key is a digest of the idempotency key, empty if the request has none. A second request with the key of an earlier
	// one is a repetition.
	Key        string `json:"key,omitempty"`
	Stream     bool   `json:"stream,omitempty"`
	Prompt     int    `json:"prompt,omitempty"` // bytes
	Tokens     int    `json:"tokens,omitempty"` // asked for at most
	DeadlineMS int64  `json:"deadline,omitempty"`
	DataCentre string `json:"dc"` // of the entry instance that the caller is closest to
}

// EventKind is a kind of event.
type EventKind string

// Events that happen to the fleet, with the fields that they need.
const (
	Out       EventKind = "out"       // DataCentre is taken out
	In        EventKind = "in"        // DataCentre is brought back
	Drain     EventKind = "drain"     // the agent of Server stops as planned
	Down      EventKind = "down"      // Server and its agent die
	Up        EventKind = "up"        // Server and its agent start after Drain or Down
	Cold      EventKind = "cold"      // Server turns cold without warning
	Crash     EventKind = "crash"     // Instance dies
	Restart   EventKind = "restart"   // Instance starts after Crash
	Slow      EventKind = "slow"      // Server takes Factor times as long; 1 ends it
	Partition EventKind = "partition" // DataCentre is cut off from the others
	Heal      EventKind = "heal"      // all partitions end
	Silent    EventKind = "silent"    // open connections of Instance and Server go silent for good
)

// Event is one thing that happens to the fleet.
type Event struct {
	AtMS       int64     `json:"at"`
	Kind       EventKind `json:"event"`
	DataCentre string    `json:"dc,omitempty"`
	Server     string    `json:"server,omitempty"`
	Instance   string    `json:"instance,omitempty"`
	Factor     float64   `json:"factor,omitempty"`
}

// OutcomeKind is a kind of stated outcome.
type OutcomeKind string

// Outcomes that a trace can state.
const (
	// NoneLost: each keyed request to Target is answered in the end, as its caller repeats it with the same key.
	NoneLost OutcomeKind = "none lost"
	// NoneTwice: no keyed request to Target runs twice.
	NoneTwice OutcomeKind = "none twice"
	// AnsweredWithin: a share of at least Share of the requests to Target is answered whole within WithinMS; a
	// WithinMS of 0 means their deadline.
	AnsweredWithin OutcomeKind = "answered within"
	// FirstToken: a share of the streams of Target has its first token within WithinMS.
	FirstToken OutcomeKind = "first token within"
	// TokenInterval: a share of the answered streams of Target has a mean time between tokens of at most WithinMS.
	TokenInterval OutcomeKind = "token interval within"
	// NothingNew: DataCentre begins no request from WithinMS after its out was accepted until its in.
	NothingNew OutcomeKind = "nothing new"
)

// Window is a part of the trace, by the time at which a request is sent.
type Window struct {
	FromMS int64 `json:"from"`
	ToMS   int64 `json:"to"`
}

// Outcome is a bound that a replay must keep.
type Outcome struct {
	Kind       OutcomeKind `json:"outcome"`
	Target     string      `json:"target,omitempty"`
	DataCentre string      `json:"dc,omitempty"`
	Share      float64     `json:"share,omitempty"` // 0 to 1
	WithinMS   int64       `json:"within,omitempty"`
	Except     []Window    `json:"except,omitempty"`
}

// Trace is a whole trace, requests and events each in order of time.
type Trace struct {
	Header   Header
	Requests []Request
	Events   []Event
	Outcomes []Outcome
}

// Size of the fleet that Complete assumes in each data centre: today's fleet of design.md, section 1, over three.
const (
	defaultEntries  = 2
	defaultEngines  = 4
	defaultServices = 1
)

// Complete gives a trace without a fleet one in which each data centre that its requests name serves the model and
// the plain service that are called first.
func (t *Trace) Complete() {
	if len(t.Header.Fleet) > 0 {
		return
	}
	var model, service string
	var names []string
	for _, r := range t.Requests {
		switch {
		case r.service() && service == "":
			service = r.Target
		case !r.service() && model == "":
			model = r.Target
		}
		names = append(names, r.DataCentre)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		d := DataCentre{Name: name, Entries: defaultEntries, Model: model, Service: service}
		if model != "" {
			d.Engines = defaultEngines
		}
		if service != "" {
			d.Services = defaultServices
		}
		t.Header.Fleet = append(t.Header.Fleet, d)
	}
}
