// Package fleet defines the value types that the decision packages share: backend servers, their announcements and
// load reports, and the immutable snapshot on which routing decisions are based.
package fleet

import "time"

// ServerID identifies a backend server across restarts.
type ServerID string

// InstanceID identifies one of the load balancer's own processes across restarts.
type InstanceID string

// DataCentre names a data centre.
type DataCentre string

// Organisation names a customer.
type Organisation string

// Incarnation numbers the starts of a process: it increases with every start under the same identifier.
type Incarnation uint64

// Kind distinguishes model engines from plain services.
type Kind uint8

// Kinds of backend servers.
const (
	KindEngine Kind = iota
	KindService
)

// Role is the stage of inference that a model engine runs.
type Role uint8

// Roles of a model engine. RoleMixed runs both prefill and decode.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

// Phase is a backend server's lifecycle state.
type Phase uint8

// Phases of a backend server. PhaseServing receives new requests, PhaseStarting as many as its concurrency limit allows;
// the others receive none.
const (
	PhaseStarting Phase = iota
	PhaseServing
	PhaseDraining
	PhaseWithdrawn
)

// Priority orders the requests of one organisation; a higher value is served first.
type Priority uint8

// Priorities that a caller can request.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// Model is a model or adapter that an engine has loaded.
type Model struct {
	Name     string   `cbor:"1,keyasint" json:"name"`
	Version  string   `cbor:"2,keyasint,omitempty" json:"version,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
}

// Target is the destination of a request: a model with an optional adapter and version, or a plain service. Agreed
// snapshots encode it under the field names.
type Target struct {
	Kind    Kind
	Name    string
	Adapter string
	Version string
}

// Announcement describes a backend server, as sent by the agent that runs next to it. Announcements are the only source
// of backend servers; there is no configured list.
type Announcement struct {
	Server        ServerID    `cbor:"1,keyasint"`
	Incarnation   Incarnation `cbor:"2,keyasint"`
	DataCentre    DataCentre  `cbor:"3,keyasint"`
	Kind          Kind        `cbor:"4,keyasint"`
	Service       string      `cbor:"5,keyasint,omitempty"`
	Models        []Model     `cbor:"6,keyasint,omitempty"`
	Role          Role        `cbor:"7,keyasint,omitempty"`
	Capacity      int         `cbor:"8,keyasint"`            // concurrency limit that the server announces
	Group         string      `cbor:"9,keyasint,omitempty"`  // lock-step group of ranks, empty if none
	Rank          int         `cbor:"10,keyasint,omitempty"` // rank within Group
	Ranks         int         `cbor:"11,keyasint,omitempty"` // number of ranks in Group
	Resumes       bool        `cbor:"12,keyasint,omitempty"` // resumes a stream at a given token
	ChecksFencing bool        `cbor:"13,keyasint,omitempty"` // refuses orders with an outdated fencing token
}

// Load is a backend server's load as its agent last reported it. Reports arrive late and may be lost.
type Load struct {
	Server            ServerID      `cbor:"1,keyasint"`
	Incarnation       Incarnation   `cbor:"2,keyasint"`
	Sequence          uint64        `cbor:"3,keyasint"` // increases with each report of one incarnation
	Running           int           `cbor:"4,keyasint"` // in-flight requests admitted by the agent
	Limit             int           `cbor:"5,keyasint"` // concurrency limit of the agent
	KVUsed            float64       `cbor:"6,keyasint"` // KV cache utilisation, 0 to 1
	TimeToFirstToken  time.Duration `cbor:"7,keyasint"` // recent
	InterTokenLatency time.Duration `cbor:"8,keyasint"` // recent
	StepTime          time.Duration `cbor:"9,keyasint"` // recent decode step time of this rank
	Phase             Phase         `cbor:"10,keyasint"`
	Refused           uint64        `cbor:"11,keyasint,omitempty"` // requests refused above Limit in this incarnation
}

// Summary reports one data centre's capacity for a target to the other data centres. The operators' API encodes it to
// JSON under the field names.
type Summary struct {
	DataCentre DataCentre    `cbor:"1,keyasint"`
	Kind       Kind          `cbor:"2,keyasint"`
	Name       string        `cbor:"3,keyasint"`
	Servers    int           `cbor:"4,keyasint"`
	Free       int           `cbor:"5,keyasint"` // free slots over all serving servers
	FirstToken time.Duration `cbor:"6,keyasint"` // median of the servers' recent times to first token
}
