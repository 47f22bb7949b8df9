// Package statemachine is the replicated state machine of the agreement group: release notes, evacuated data centres, key
// records of non-idempotent requests, fencing tokens, expert map decisions and recorded uses of servers. It is
// deterministic: the same commands at the same indexes give the same state and results on every member, and times come
// from the commands.
package statemachine

import (
	"encoding/hex"
	"errors"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Command is one entry of the log.
type Command interface {
	Kind() Kind
}

// Kind identifies the type of a command on disk and on the wire. Numbers are never reused.
type Kind uint8

// Kinds of commands.
const (
	KindPublishNote        Kind = 1
	KindEvacuateDataCentre Kind = 2
	KindRestoreDataCentre  Kind = 3
	KindClaimKey           Kind = 4
	KindReplaceClaim       Kind = 5
	KindRecordOutcomes     Kind = 6
	KindGrantFencing       Kind = 7
	KindDecideMap          Kind = 8
	KindExpireKeys         Kind = 9
	KindRegisterUses       Kind = 10
)

// PublishNote publishes a release note.
type PublishNote struct {
	Note     release.Note             `cbor:"1,keyasint"`
	Observed []release.ObservedTarget `cbor:"2,keyasint,omitempty"` // from Impact on the proposing instance
	At       int64                    `cbor:"3,keyasint"`           // Unix seconds at the proposing instance
}

// EvacuateDataCentre logs the evacuation of a data centre. The proposing instance creates the record with NextEvacuation.
type EvacuateDataCentre struct {
	Record DataCentreRecord `cbor:"1,keyasint"`
}

// RestoreDataCentre ends the evacuation of a data centre. ObservedTerm is the highest term of the data centre's record
// known to the operator's instance; the command conflicts if the group has a higher one.
type RestoreDataCentre struct {
	Name         fleet.DataCentre `cbor:"1,keyasint"`
	ObservedTerm uint64           `cbor:"2,keyasint"`
	Author       string           `cbor:"3,keyasint"`
	Reason       string           `cbor:"4,keyasint,omitempty"`
	At           int64            `cbor:"5,keyasint"` // Unix seconds
}

// AttemptID identifies one attempt of a request.
type AttemptID [16]byte

// String returns the identifier as 32 hexadecimal digits, its form in messages.
func (a AttemptID) String() string { return hex.EncodeToString(a[:]) }

// ParseAttemptID parses the 32 hexadecimal digits that AttemptID.String returns.
func ParseAttemptID(s string) (AttemptID, error) {
	var a AttemptID
	if len(s) != 2*len(a) {
		return a, errors.New("attempt identifier must have 32 hexadecimal digits")
	}
	_, err := hex.Decode(a[:], []byte(s))
	return a, err
}

// RequestDigest is the digest of a request's method, path and body, at least 128 bits of a cryptographic hash.
type RequestDigest [16]byte

// Claim is the intent to run one attempt of a keyed request on one incarnation of an agent.
type Claim struct {
	Organisation fleet.Organisation `cbor:"1,keyasint"`
	Key          string             `cbor:"2,keyasint"`
	Digest       RequestDigest      `cbor:"3,keyasint"`
	Attempt      AttemptID          `cbor:"4,keyasint"`
	Server       fleet.ServerID     `cbor:"5,keyasint"`
	Incarnation  fleet.Incarnation  `cbor:"6,keyasint"`
}

// ClaimKey claims a key. If the key is already claimed, the existing claim is returned, unless its attempt is recorded
// as not run.
type ClaimKey struct {
	Claim Claim `cbor:"1,keyasint"`
	At    int64 `cbor:"2,keyasint"` // Unix seconds
}

// ReplaceClaim replaces the claim of an attempt that its agent has proven not run and will refuse from then on.
type ReplaceClaim struct {
	NotRun AttemptID `cbor:"1,keyasint"` // attempt of the claim to be replaced
	Claim  Claim     `cbor:"2,keyasint"`
	At     int64     `cbor:"3,keyasint"` // Unix seconds
}

// Outcome is how a claimed attempt ended.
type Outcome uint8

// Outcomes of a claimed attempt.
const (
	Pending Outcome = iota // no outcome is recorded
	Done                   // the attempt ran and ended with a status
	NotRun                 // the attempt is proven not run
	Unknown                // the agent's incarnation ended before it reported an outcome
)

// RecordOutcomes records a batch of outcomes.
type RecordOutcomes struct {
	Outcomes []AttemptOutcome `cbor:"1,keyasint"`
}

// AttemptOutcome is the outcome of one attempt.
type AttemptOutcome struct {
	Organisation fleet.Organisation `cbor:"1,keyasint"`
	Key          string             `cbor:"2,keyasint"`
	Attempt      AttemptID          `cbor:"3,keyasint"`
	Outcome      Outcome            `cbor:"4,keyasint"`
	Status       uint16             `cbor:"5,keyasint,omitempty"` // HTTP status if Done
}

// GrantFencing requests the fencing token of a scope, for example the experts of one group. Replaces is the token that
// the holder expects to be current (compare-and-swap), so that no instance takes over the scope unnoticed.
type GrantFencing struct {
	Scope       string            `cbor:"1,keyasint"`
	Holder      fleet.InstanceID  `cbor:"2,keyasint"`
	Incarnation fleet.Incarnation `cbor:"3,keyasint"`
	Replaces    uint64            `cbor:"4,keyasint,omitempty"` // 0 if none was granted yet
}

// DecideMap commits or aborts an expert map version that all ranks of a group have been asked to prepare.
type DecideMap struct {
	Decision MapDecision `cbor:"1,keyasint"`
	Fencing  uint64      `cbor:"2,keyasint"` // fencing token of scope ExpertScope(group)
}

// ExpireKeys deletes key records that are older than their retention at the given time.
type ExpireKeys struct {
	Now int64 `cbor:"1,keyasint"` // Unix seconds at the leader
}

// RegisterUses records which organisations used which servers. Of repeated uses the latest time is kept.
type RegisterUses struct {
	Uses []release.Use `cbor:"1,keyasint"`
	At   int64         `cbor:"2,keyasint"` // Unix seconds
}

// Kind implements Command.
func (*PublishNote) Kind() Kind { return KindPublishNote }

// Kind implements Command.
func (*EvacuateDataCentre) Kind() Kind { return KindEvacuateDataCentre }

// Kind implements Command.
func (*RestoreDataCentre) Kind() Kind { return KindRestoreDataCentre }

// Kind implements Command.
func (*ClaimKey) Kind() Kind { return KindClaimKey }

// Kind implements Command.
func (*ReplaceClaim) Kind() Kind { return KindReplaceClaim }

// Kind implements Command.
func (*RecordOutcomes) Kind() Kind { return KindRecordOutcomes }

// Kind implements Command.
func (*GrantFencing) Kind() Kind { return KindGrantFencing }

// Kind implements Command.
func (*DecideMap) Kind() Kind { return KindDecideMap }

// Kind implements Command.
func (*ExpireKeys) Kind() Kind { return KindExpireKeys }

// Kind implements Command.
func (*RegisterUses) Kind() Kind { return KindRegisterUses }

var (
	_ Command = (*PublishNote)(nil)
	_ Command = (*EvacuateDataCentre)(nil)
	_ Command = (*RestoreDataCentre)(nil)
	_ Command = (*ClaimKey)(nil)
	_ Command = (*ReplaceClaim)(nil)
	_ Command = (*RecordOutcomes)(nil)
	_ Command = (*GrantFencing)(nil)
	_ Command = (*DecideMap)(nil)
	_ Command = (*ExpireKeys)(nil)
	_ Command = (*RegisterUses)(nil)
)
