package replica

import (
	"errors"
)

// Kind tells replica errors apart.
type Kind string

// Kinds of error.
//
// NoQuorum, Refused and Overloaded are certain: the command was handed to no log and to no other member, and never
// takes effect unless the caller proposes it again. OutcomeUnknown is not: the command may have been accepted or may
// still be, until the log has grown by Options.Window entries; proposing it again with the same identifier tells.
const (
	NoQuorum       Kind = "no_quorum"       // no leader was known for as long as the caller waited
	OutcomeUnknown Kind = "outcome_unknown" // the command left this member, and no result came back in time
	Refused        Kind = "refused"         // the command or change is not valid
	Overloaded     Kind = "overloaded"      // too many proposals wait on this member
	StorageFailed  Kind = "storage_failed"  // this member's disk failed; as certain as NoQuorum
	Closed         Kind = "closed"          // the replica was closed; as certain as NoQuorum
)

// Error is a replica error with a remedy in its text.
type Error struct {
	Kind   Kind
	Detail string
	Err    error // cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	text := "replica: " + string(e.Kind) + ": " + e.Detail
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of err, empty if it is no replica error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// CertainlyNotAccepted reports whether err promises that the command takes no effect unless it is proposed again.
func CertainlyNotAccepted(err error) bool {
	kind := KindOf(err)
	return kind != "" && kind != OutcomeUnknown
}
