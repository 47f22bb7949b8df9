// Package fleet holds the value types that the decision packages share: backend servers, their announcements and
// load reports, and the immutable snapshot that every traffic decision reads.
package fleet

import "time"

// ServerID identifies a backend server across restarts.
type ServerID string

// InstanceID identifies one of the system's own processes across restarts.
type InstanceID string

// DataCentre names a data centre.
type DataCentre string

// Organisation names a customer.
type Organisation string

// Boot is the incarnation of a process: it grows with every start of the same identifier.
type Boot uint64

// Kind tells model engines from plain services.
type Kind uint8

// Kinds of backend server.
const (
	KindEngine Kind = iota
	KindService
)

// Role is the part of a request's work that a model engine takes.
type Role uint8

// Roles of a model engine. RoleMixed takes prefill and decode.
const (
	RoleMixed Role = iota
	RolePrefill
	RoleDecode
)

// Phase is a backend server's stage of life.
type Phase uint8

// Phases of a backend server. Only PhaseServing receives new work; PhaseStarting receives what its limit allows.
const (
	PhaseStarting Phase = iota
	PhaseServing
	PhaseDraining
	PhaseWithdrawn
)

// Priority orders the requests of one organisation; a higher value is served first.
type Priority uint8

// Priorities that a caller can ask for.
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

// Target is what a request asks for: a model with an optional adapter and version, or a plain service.
type Target struct {
	Kind    Kind
	Name    string
	Adapter string
	Version string
}

// Announcement is what an agent tells about the backend server beside it. There is no list of backend servers.
type Announcement struct {
	Server        ServerID   `cbor:"1,keyasint"`
	Boot          Boot       `cbor:"2,keyasint"`
	DataCentre    DataCentre `cbor:"3,keyasint"`
	Kind          Kind       `cbor:"4,keyasint"`
	Service       string     `cbor:"5,keyasint,omitempty"`
	Models        []Model    `cbor:"6,keyasint,omitempty"`
	Role          Role       `cbor:"7,keyasint,omitempty"`
	Capacity      int        `cbor:"8,keyasint"`            // concurrent requests that the server claims to bear
	Group         string     `cbor:"9,keyasint,omitempty"`  // group of ranks in lock-step, empty if none
	Rank          int        `cbor:"10,keyasint,omitempty"` // rank within Group
	Ranks         int        `cbor:"11,keyasint,omitempty"` // number of ranks in Group
	Resumes       bool       `cbor:"12,keyasint,omitempty"` // resumes a stream at a given token
	ChecksFencing bool       `cbor:"13,keyasint,omitempty"` // refuses orders with an old fencing token
}

// Load is a backend server's load as its agent last reported it. Reports arrive late and may be lost.
type Load struct {
	Server        ServerID      `cbor:"1,keyasint"`
	Boot          Boot          `cbor:"2,keyasint"`
	Sequence      uint64        `cbor:"3,keyasint"` // grows with each report of one boot
	Running       int           `cbor:"4,keyasint"` // requests admitted by the agent and not finished
	Limit         int           `cbor:"5,keyasint"` // requests that the agent admits at a time
	KVUsed        float64       `cbor:"6,keyasint"` // used share of the KV cache, 0 to 1
	FirstToken    time.Duration `cbor:"7,keyasint"` // recent time to first token
	TokenInterval time.Duration `cbor:"8,keyasint"` // recent time between tokens
	StepTime      time.Duration `cbor:"9,keyasint"` // recent step time of this rank
	Phase         Phase         `cbor:"10,keyasint"`
	Refused       uint64        `cbor:"11,keyasint,omitempty"` // requests refused above the limit since boot
}

// Summary is what one data centre tells the others about a target.
type Summary struct {
	DataCentre DataCentre    `cbor:"1,keyasint"`
	Kind       Kind          `cbor:"2,keyasint"`
	Name       string        `cbor:"3,keyasint"`
	Servers    int           `cbor:"4,keyasint"`
	Free       int           `cbor:"5,keyasint"` // free slots over all serving servers
	FirstToken time.Duration `cbor:"6,keyasint"` // median of the servers' recent times to first token
}
