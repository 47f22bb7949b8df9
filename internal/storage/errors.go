package storage

import (
	"errors"
	"fmt"
)

// Kind tells storage errors apart.
type Kind string

// Kinds of storage error.
const (
	Corrupt    Kind = "corrupt"     // synced data has changed or is missing
	NewVersion Kind = "new_version" // written by a newer release
	Locked     Kind = "locked"      // another process uses the folder
	NoFolder   Kind = "no_folder"   // the folder was not created yet
	Exists     Kind = "exists"      // the folder was created before
	ReadOnly   Kind = "read_only"   // a write or sync failed; nothing more is promised until restart
	TooLarge   Kind = "too_large"   // record or snapshot above the length bound
	Failed     Kind = "failed"      // the file system refused an operation while the folder was opened
)

var remedies = map[Kind]string{
	Corrupt:    "replace this member: move the folder away, start with an empty one and add the new member identifier",
	NewVersion: "start the release that wrote the file, or a newer one",
	Locked:     "stop the other process that uses this folder, or set another dataFolder",
	NoFolder:   "create the folder first",
	Exists:     "use the folder as it is, or choose an empty one",
	ReadOnly:   "free space or replace the disk, then restart the process",
	TooLarge:   "split the command",
	Failed:     "check that the disk is mounted and writable, then restart the process",
}

// Error is a storage error with its place and remedy.
type Error struct {
	Kind   Kind
	File   string
	Offset int64 // place in File, -1 if none
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

// Remedy returns what the operator can do.
func (e *Error) Remedy() string { return remedies[e.Kind] }

// KindOf returns the kind of err, empty if it is no storage error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
