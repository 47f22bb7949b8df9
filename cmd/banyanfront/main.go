// Command banyanfront runs an entry instance and holds the operators' commands. See docs/design.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/banyanfront/banyanfront/internal/command"
)

func main() {
	root := command.Front()
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	os.Exit(exit(root, err))
}

// exit prints the error and returns the exit status.
func exit(root *ff.Command, err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrHelp), errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(os.Stderr, ffhelp.Command(root))
		return 0
	default:
		return command.Report(os.Stderr, err)
	}
}
