package command

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// program describes the serve command of one program and its settings type.
type program[Settings any] struct {
	name    string
	help    string
	file    string // default settings file
	load    func(file string) (*Settings, []settings.Problem)
	logging func(*Settings) (level, format string)
	serve   func(context.Context, *Settings) error
}

// serveCommand returns the command that runs a program until SIGINT or SIGTERM.
func serveCommand[Settings any](p program[Settings]) *ff.Command {
	flags := ff.NewFlagSet("serve")
	file := settingsFlag(flags, p.file)
	return &ff.Command{
		Name:      "serve",
		Usage:     p.name + " serve [--settings FILE]",
		ShortHelp: p.help,
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			config, problems := p.load(*file)
			if err := invalidInputError(problems); err != nil {
				return err
			}
			if err := process.SetLogging(p.logging(config)); err != nil {
				return err
			}
			ctx, cancel := process.SignalContext(ctx)
			defer cancel()
			return p.serve(ctx, config)
		},
	}
}
