// Package settings reads the settings of both programs, and release notes, from JSON with comments. Every fault is
// reported with its file, line and remedy, and all faults of a file are reported at once.
package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File    string // name of the file as it was given
	Line    int    // line of the fault from 1, 0 if it concerns the whole file
	Column  int    // column in characters from 1, 0 if it concerns the whole file
	Path    string // field, for example "voters[1].address"; empty for the whole file
	Message string // what is wrong
	Remedy  string // what to do about it
}

// Error implements error in the form "file:line:column: path: message; remedy".
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
	}
	if p.Path != "" {
		b.WriteString(": " + p.Path)
	}
	b.WriteString(": " + p.Message)
	if p.Remedy != "" {
		b.WriteString("; " + p.Remedy)
	}
	return b.String()
}

var _ error = Problem{}
