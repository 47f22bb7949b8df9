package statemachine

import (
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Code classifies the result of a command.
type Code uint8

// Codes of a result.
const (
	OK         Code = iota // the command took effect
	Repeated               // the command has already taken effect; the original result is returned
	Existing               // a claim of the key exists and is returned
	KeyReused              // the idempotency key belongs to a different request
	Full                   // a table is full; nothing is evicted to make room
	Conflict               // another command came first; the result has the winner's record
	Refused                // the command violates a rule, stated in the findings or the detail
	Stale                  // a number, term or token is too old
	NotFound               // there is no claim of the key
	OutOfOrder             // the index has already been applied; the command has no effect
)

// Result is the outcome of one command.
type Result struct {
	Code        Code              `cbor:"1,keyasint"`
	Index       uint64            `cbor:"2,keyasint"`           // of the log entry that took effect; 0 for most rejections
	Detail      string            `cbor:"3,keyasint,omitempty"` // the error and its remedy, empty on success
	Note        *NoteRecord       `cbor:"4,keyasint,omitempty"` // accepted note with the number, or the newest note
	Findings    []release.Finding `cbor:"5,keyasint,omitempty"`
	Claim       *ClaimRecord      `cbor:"6,keyasint,omitempty"`
	DataCentre  *DataCentreRecord `cbor:"7,keyasint,omitempty"`
	Fencing     *FencingRecord    `cbor:"8,keyasint,omitempty"`
	Map         *MapDecision      `cbor:"9,keyasint,omitempty"`
	Count       int               `cbor:"10,keyasint,omitempty"` // records changed or deleted
	UsesDropped int               `cbor:"11,keyasint,omitempty"` // uses not recorded: invalid, or the table is full
	Change      *Change           `cbor:"-"`                     // change of the view to send to all daemons, or nil
}

// Accepted reports whether the command has taken effect, now or when it was first applied.
func (r *Result) Accepted() bool { return r.Code == OK || r.Code == Repeated }

// NoteRecord identifies an accepted release note. The operators' API encodes it to JSON under the field names.
type NoteRecord struct {
	Number uint64         `cbor:"1,keyasint"`
	Digest release.Digest `cbor:"2,keyasint"`
	Author string         `cbor:"3,keyasint"`
	Index  uint64         `cbor:"4,keyasint"`
	At     int64          `cbor:"5,keyasint"` // Unix seconds
}

// ClaimRecord is the current claim of a key and its outcome.
type ClaimRecord struct {
	Attempt     AttemptID         `cbor:"1,keyasint"`
	Server      fleet.ServerID    `cbor:"2,keyasint"`
	Incarnation fleet.Incarnation `cbor:"3,keyasint"`
	Outcome     Outcome           `cbor:"4,keyasint"`
	Status      uint16            `cbor:"5,keyasint,omitempty"`
	At          int64             `cbor:"6,keyasint"` // Unix seconds of the claim
}

// FencingRecord is the current fencing token of a scope. Tokens increase monotonically across all scopes.
type FencingRecord struct {
	Scope       string            `cbor:"1,keyasint"`
	Holder      fleet.InstanceID  `cbor:"2,keyasint"`
	Incarnation fleet.Incarnation `cbor:"3,keyasint"`
	Token       uint64            `cbor:"4,keyasint"`
	Previous    uint64            `cbor:"5,keyasint,omitempty"` // token that it replaced
}

// MapDecision commits all ranks of a group to an expert map version from a decode step on, or aborts the version.
type MapDecision struct {
	Group    string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	FromStep uint64 `cbor:"3,keyasint,omitempty"`
	Abort    bool   `cbor:"4,keyasint,omitempty"`
	Digest   []byte `cbor:"5,keyasint,omitempty"` // of the map, at most 64 bytes
}

// ExpertScope returns the fencing scope of a group's expert map.
func ExpertScope(group string) string { return "experts/" + group }
