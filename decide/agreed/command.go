// Package agreed is the state machine that every voter builds from the replicated log: release notes, data centres,
// key records of non-idempotent requests, fencing tokens, expert map decisions and recorded uses of servers. The same
// commands at the same indexes give the same state and results on every voter; times are carried in the commands.
package agreed

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

// Kind tells commands apart on disk and on the wire. Numbers are never reused.
type Kind uint8

// Kinds of command.
const (
	KindPublishNote    Kind = 1
	KindTakeOut        Kind = 2
	KindBringIn        Kind = 3
	KindClaimKey       Kind = 4
	KindReplaceClaim   Kind = 5
	KindRecordOutcomes Kind = 6
	KindGrantFencing   Kind = 7
	KindDecideMap      Kind = 8
	KindExpireKeys     Kind = 9
	KindRegisterUses   Kind = 10
)

// PublishNote publishes a release note.
type PublishNote struct {
	Note     release.Note             `cbor:"1,keyasint"`
	Observed []release.ObservedTarget `cbor:"2,keyasint,omitempty"` // from Impact on the proposing instance
	At       int64                    `cbor:"3,keyasint"`           // Unix seconds at the proposing instance
}

// TakeOut enters into the log that a data centre was taken out. The proposing instance chose the term by NextOut.
type TakeOut struct {
	Record CentreRecord `cbor:"1,keyasint"`
}

// BringIn brings a data centre back. SeenTerm is the highest term that the operator's instance has seen for it.
type BringIn struct {
	Name     fleet.DataCentre `cbor:"1,keyasint"`
	SeenTerm uint64           `cbor:"2,keyasint"`
	Author   string           `cbor:"3,keyasint"`
	Reason   string           `cbor:"4,keyasint,omitempty"`
	At       int64            `cbor:"5,keyasint"` // Unix seconds
}

// Attempt identifies one attempt of a request.
type Attempt [16]byte

// String returns the form in which messages carry the identifier.
func (a Attempt) String() string { return hex.EncodeToString(a[:]) }

// ParseAttempt reads the form of String.
func ParseAttempt(s string) (Attempt, error) {
	var a Attempt
	if len(s) != 2*len(a) {
		return a, errors.New("attempt identifier must have 32 hexadecimal digits")
	}
	_, err := hex.Decode(a[:], []byte(s))
	return a, err
}

// RequestDigest is the digest of a request's method, path and body, at least 128 bits of a cryptographic hash.
type RequestDigest [16]byte

// Claim is the intent to run one attempt of a keyed request on one boot of an agent.
type Claim struct {
	Organisation fleet.Organisation `cbor:"1,keyasint"`
	Key          string             `cbor:"2,keyasint"`
	Digest       RequestDigest      `cbor:"3,keyasint"`
	Attempt      Attempt            `cbor:"4,keyasint"`
	Server       fleet.ServerID     `cbor:"5,keyasint"`
	Boot         fleet.Boot         `cbor:"6,keyasint"`
}

// ClaimKey claims a key. An existing claim is returned instead of a second one being made, unless its attempt is
// recorded as not run.
type ClaimKey struct {
	Claim Claim `cbor:"1,keyasint"`
	At    int64 `cbor:"2,keyasint"` // Unix seconds
}

// ReplaceClaim replaces the claim of an attempt that its agent has proved not run and barred.
type ReplaceClaim struct {
	NotRun Attempt `cbor:"1,keyasint"` // attempt of the claim to be replaced
	Claim  Claim   `cbor:"2,keyasint"`
	At     int64   `cbor:"3,keyasint"` // Unix seconds
}

// Outcome tells how the attempt of a claim ended.
type Outcome uint8

// Outcomes of a claimed attempt.
const (
	Pending Outcome = iota // no outcome is recorded
	Done                   // it ran and ended with a status
	NotRun                 // it was proved not run
	Unknown                // the agent's boot ended before it reported an end
)

// RecordOutcomes appends outcomes in a batch.
type RecordOutcomes struct {
	Outcomes []AttemptOutcome `cbor:"1,keyasint"`
}

// AttemptOutcome is the outcome of one attempt.
type AttemptOutcome struct {
	Organisation fleet.Organisation `cbor:"1,keyasint"`
	Key          string             `cbor:"2,keyasint"`
	Attempt      Attempt            `cbor:"3,keyasint"`
	Outcome      Outcome            `cbor:"4,keyasint"`
	Status       uint16             `cbor:"5,keyasint,omitempty"` // HTTP status if Done
}

// GrantFencing asks for the fencing token of a scope, for example the experts of one group. Replaces is the token that
// the holder believes to be in force, so that two instances do not take the scope from each other unnoticed.
type GrantFencing struct {
	Scope    string           `cbor:"1,keyasint"`
	Holder   fleet.InstanceID `cbor:"2,keyasint"`
	Boot     fleet.Boot       `cbor:"3,keyasint"`
	Replaces uint64           `cbor:"4,keyasint,omitempty"` // 0 if none was granted yet
}

// DecideMap decides on an expert map version that all ranks of a group have been asked to prepare.
type DecideMap struct {
	Decision MapDecision `cbor:"1,keyasint"`
	Fencing  uint64      `cbor:"2,keyasint"` // token of scope ExpertScope(group)
}

// ExpireKeys drops key records that are older than their retention at the given time.
type ExpireKeys struct {
	Now int64 `cbor:"1,keyasint"` // Unix seconds at the leader
}

// RegisterUses records which organisations used which servers. Uses are merged by their latest time.
type RegisterUses struct {
	Uses []release.Use `cbor:"1,keyasint"`
	At   int64         `cbor:"2,keyasint"` // Unix seconds
}

// Kind implements Command.
func (*PublishNote) Kind() Kind { return KindPublishNote }

// Kind implements Command.
func (*TakeOut) Kind() Kind { return KindTakeOut }

// Kind implements Command.
func (*BringIn) Kind() Kind { return KindBringIn }

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
	_ Command = (*TakeOut)(nil)
	_ Command = (*BringIn)(nil)
	_ Command = (*ClaimKey)(nil)
	_ Command = (*ReplaceClaim)(nil)
	_ Command = (*RecordOutcomes)(nil)
	_ Command = (*GrantFencing)(nil)
	_ Command = (*DecideMap)(nil)
	_ Command = (*ExpireKeys)(nil)
	_ Command = (*RegisterUses)(nil)
)
