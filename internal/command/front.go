package command

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// Front returns the command line of banyanfront.
func Front() *ff.Command {
	return &ff.Command{
		Name:      "banyanfront",
		Usage:     "banyanfront COMMAND",
		ShortHelp: "a load balancer for expert-parallel model groups",
		Subcommands: []*ff.Command{
			serveCommand(),
			frontCheckCommand(),
			noteCommand(),
			dataCentreCommand(),
			statusCommand(),
			accountCommand(),
			dependentsCommand(),
			experimentCommand(),
			demoCommand(),
			standinCommand(),
		},
	}
}

func serveCommand() *ff.Command {
	flags := ff.NewFlagSet("serve")
	file := settingsFlag(flags, "front.json")
	return &ff.Command{
		Name:      "serve",
		Usage:     "banyanfront serve [--settings FILE]",
		ShortHelp: "run an entry instance until SIGINT or SIGTERM, then drain",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			config, problems := settings.LoadFront(*file)
			if err := invalidOr(problems); err != nil {
				return err
			}
			if err := process.SetLogging(config.LogLevel, config.LogFormat); err != nil {
				return err
			}
			ctx, cancel := process.Signals(ctx)
			defer cancel()
			return entry.Serve(ctx, config)
		},
	}
}

func frontCheckCommand() *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "banyanfront check FILE...",
		ShortHelp: "check settings files and release notes; exit status 2 if one is invalid",
		LongHelp:  "A file with a \"number\" is checked as a release note, one with a \"backend\" as an agent's settings, any other as an entry instance's settings.",
		Flags:     ff.NewFlagSet("check"),
		Exec: func(_ context.Context, args []string) error {
			return checkFiles(args, settings.CheckFile)
		},
	}
}
