// Package command defines the command lines of both programs.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/banyanfront/banyanfront/internal/settings"
)

// Exit statuses of both programs.
const (
	exitFailed  = 1
	exitInvalid = 2 // settings, a release note or the command line are invalid
)

// invalidInput is the error for settings or a release note with problems.
type invalidInput struct {
	problems []settings.Problem
}

func (e *invalidInput) Error() string { return fmt.Sprintf("%d problems found", len(e.problems)) }

// usageError is the error for an invalid command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// Report prints an error and returns the exit status for it.
func Report(w io.Writer, err error) int {
	var invalidErr *invalidInput
	if errors.As(err, &invalidErr) {
		for _, p := range invalidErr.problems {
			fmt.Fprintln(w, p.Error())
		}
		return exitInvalid
	}
	fmt.Fprintln(w, "error:", err)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		return exitInvalid
	}
	return exitFailed
}

// invalidInputError returns an invalidInput with the problems, or nil if there are none.
func invalidInputError(problems []settings.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &invalidInput{problems}
}

// settingsFlag adds the flag for the path of the settings file, with name as default.
func settingsFlag(flags *ff.FlagSet, name string) *string {
	return flags.String('s', "settings", name, "settings `FILE` in JSON with comments")
}

// Main parses the arguments, runs the selected command and returns the exit status of the process.
func Main(root *ff.Command, args []string) int {
	err := root.ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprint(os.Stderr, ffhelp.Command(root.GetSelected()))
		return 0
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(os.Stderr, ffhelp.Command(root.GetSelected()))
		if len(args) > 0 {
			return Report(os.Stderr, usageErrorf("%q is no command; name one of those above", args[len(args)-1]))
		}
		return 0
	default:
		return Report(os.Stderr, err)
	}
}
