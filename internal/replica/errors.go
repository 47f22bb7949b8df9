package replica

import (
	"errors"
)

// Kind classifies replica errors.
type Kind string

// Kinds of error.
//
// NoQuorum, Refused and Overloaded are certain: the command was neither appended to a log nor sent to another member, and
// never takes effect unless the caller proposes it again. With OutcomeUnknown the command may have been accepted, or may
// still be accepted until the log has grown by Options.DedupWindowEntries; to find out, propose it again with the same
// identifier.
const (
	NoQuorum       Kind = "no_quorum"       // no leader was known while the caller waited
	OutcomeUnknown Kind = "outcome_unknown" // the command was sent, and no result was received in time
	Refused        Kind = "refused"         // the command or change is not valid
	Overloaded     Kind = "overloaded"      // too many proposals are pending on this member
	StorageFailed  Kind = "storage_failed"  // this member's disk failed; as certain as NoQuorum
	Closed         Kind = "closed"          // the replica was closed; as certain as NoQuorum
)

// Error is a replica error; Detail contains a remedy.
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

// KindOf returns the kind of err, or "" if it is not a replica error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// CertainlyNotAccepted reports whether err guarantees that the command takes no effect unless it is proposed again.
func CertainlyNotAccepted(err error) bool {
	kind := KindOf(err)
	return kind != "" && kind != OutcomeUnknown
}
