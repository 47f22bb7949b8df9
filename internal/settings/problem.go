// Package settings reads the settings of both programs, and release notes, from JSON with comments. Every problem is
// reported with its file, line and remedy, and all problems of a file are reported together.
package settings

import (
	"fmt"
	"strings"
)

// Problem is an error in a settings file.
type Problem struct {
	File    string // name of the file as given by the caller
	Line    int    // line from 1, 0 if the problem concerns the whole file
	Column  int    // column in characters from 1, 0 if the problem concerns the whole file
	Path    string // path of the field, for example "voters[1].address"; empty for the whole file
	Message string // what is wrong
	Remedy  string // how to correct it
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
