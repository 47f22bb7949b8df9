package storage

import (
	"errors"
	"fmt"
)

// Kind classifies storage errors.
type Kind string

// Kinds of storage error.
const (
	Corrupt    Kind = "corrupt"     // synced data is damaged or missing
	NewVersion Kind = "new_version" // written by a newer release
	Locked     Kind = "locked"      // another process uses the folder
	NoFolder   Kind = "no_folder"   // the folder has not been created yet
	Exists     Kind = "exists"      // the folder has already been created
	ReadOnly   Kind = "read_only"   // a write or sync failed; the store accepts nothing until it is opened again
	TooLarge   Kind = "too_large"   // the record or snapshot exceeds its length limit
	Failed     Kind = "failed"      // a file system operation failed while the folder was created or opened
)

var remedies = map[Kind]string{
	Corrupt:    "replace this member: move the folder away, start with an empty one and add the new member identifier",
	NewVersion: "start the release that wrote the file, or a newer one",
	Locked:     "stop the other process that uses this folder, or set another dataFolder",
	NoFolder:   "create the folder first",
	Exists:     "use the folder as it is, or choose an empty one",
	ReadOnly:   "free space, after which the member takes part again by itself; replace a disk that keeps failing",
	TooLarge:   "split the command",
	Failed:     "check that the disk is mounted and writable, then restart the process",
}

// Error is a storage error with its position and remedy.
type Error struct {
	Kind   Kind
	File   string
	Offset int64 // position in File, -1 if none
	Detail string
	Err    error // cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	place := e.File
	if e.Offset >= 0 {
		place = fmt.Sprintf("%s at offset %d", e.File, e.Offset)
	}
	text := fmt.Sprintf("storage: %s: %s: %s", e.Kind, place, e.Detail)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: " + remedies[e.Kind]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Remedy returns the action that the operator should take.
func (e *Error) Remedy() string { return remedies[e.Kind] }

// KindOf returns the kind of err, or "" if it is not a storage error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
