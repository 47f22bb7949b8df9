package agreed

import (
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Code says what became of a command.
type Code uint8

// Codes of a result.
const (
	OK           Code = iota // the command took effect
	Repeated                 // the command had taken effect before; the result is that of the first time
	Existing                 // a claim of the key exists and is returned
	OtherRequest             // the key was used for another request
	Full                     // no room for another key record or name; nothing was forgotten to make room
	Conflict                 // another command came first; the result shows the winner
	Refused                  // the command breaks a rule that the findings or the detail name
	Stale                    // a number, term or token is too old
	NotFound                 // there is no claim of the key
	OutOfOrder               // the index had been applied before; nothing was done
)

// Result is the outcome of one command.
type Result struct {
	Code     Code              `cbor:"1,keyasint"`
	Index    uint64            `cbor:"2,keyasint"`           // of the log entry that took effect
	Detail   string            `cbor:"3,keyasint,omitempty"` // what is wrong and the remedy, empty for OK and Repeated
	Note     *NoteRecord       `cbor:"4,keyasint,omitempty"` // the note in force under the number
	Findings []release.Finding `cbor:"5,keyasint,omitempty"`
	Claim    *ClaimRecord      `cbor:"6,keyasint,omitempty"`
	Centre   *CentreRecord     `cbor:"7,keyasint,omitempty"`
	Fencing  *FencingRecord    `cbor:"8,keyasint,omitempty"`
	Map      *MapDecision      `cbor:"9,keyasint,omitempty"`
	Count    int               `cbor:"10,keyasint,omitempty"` // records changed or dropped
	Lost     int               `cbor:"11,keyasint,omitempty"` // uses that found no room
	Change   *Change           `cbor:"-"`                     // what daemons must learn, nil if nothing
}

// Accepted reports whether the command is in force, now or since an earlier time.
func (r *Result) Accepted() bool { return r.Code == OK || r.Code == Repeated }

// NoteRecord remembers an accepted release note.
type NoteRecord struct {
	Number uint64         `cbor:"1,keyasint"`
	Digest release.Digest `cbor:"2,keyasint"`
	Author string         `cbor:"3,keyasint"`
	Index  uint64         `cbor:"4,keyasint"`
	At     int64          `cbor:"5,keyasint"` // Unix seconds
}

// ClaimRecord is what the group knows about a key.
type ClaimRecord struct {
	Attempt Attempt        `cbor:"1,keyasint"`
	Server  fleet.ServerID `cbor:"2,keyasint"`
	Boot    fleet.Boot     `cbor:"3,keyasint"`
	Outcome Outcome        `cbor:"4,keyasint"`
	Status  uint16         `cbor:"5,keyasint,omitempty"`
	At      int64          `cbor:"6,keyasint"` // Unix seconds of the claim
}

// FencingRecord is the token in force for a scope. Tokens grow over all scopes.
type FencingRecord struct {
	Scope    string           `cbor:"1,keyasint"`
	Holder   fleet.InstanceID `cbor:"2,keyasint"`
	Boot     fleet.Boot       `cbor:"3,keyasint"`
	Token    uint64           `cbor:"4,keyasint"`
	Previous uint64           `cbor:"5,keyasint,omitempty"` // token that this one replaced
}

// MapDecision says that all ranks of a group use an expert map version from a step on, or that none does.
type MapDecision struct {
	Group    string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	FromStep uint64 `cbor:"3,keyasint,omitempty"`
	Abort    bool   `cbor:"4,keyasint,omitempty"`
	Digest   []byte `cbor:"5,keyasint,omitempty"` // of the map, at most 64 bytes
}

// ExpertScope names the fencing scope of a group's expert map.
func ExpertScope(group string) string { return "experts/" + group }
