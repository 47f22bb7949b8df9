package command

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/internal/edge"
	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// Front returns the command line of banyanfront.
func Front() *ff.Command {
	return &ff.Command{
		Name:      "banyanfront",
		Usage:     "banyanfront COMMAND",
		ShortHelp: "a load balancer for expert-parallel model groups",
		Subcommands: []*ff.Command{
			serveCommand(program[settings.Front]{
				name:    "banyanfront",
				help:    "run an entry instance until SIGINT or SIGTERM, then drain",
				file:    "front.json",
				load:    settings.LoadFront,
				logging: func(s *settings.Front) (string, string) { return s.LogLevel, s.LogFormat },
				serve:   entry.Serve,
			}),
			platformCommand("banyanfront", role{name: "entry", help: "run an entry instance on the users' platform", serve: edge.Serve}),
			platformCommand("banyanfront", role{name: "control", help: "run a control instance on the users' platform", listens: true, serve: directory.Serve}),
			frontCheckCommand(),
			noteCommand(),
			configurationCommand(),
			dataCentreCommand(),
			statusCommand(),
			accountCommand(),
			dependentsCommand(),
			experimentCommand(),
			soakCommand(),
			demoCommand(),
			standinCommand(),
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
