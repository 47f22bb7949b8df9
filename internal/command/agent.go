package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/agent"
	"github.com/banyanfront/banyanfront/internal/rank"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// Agent returns the command line of banyanagent.
func Agent() *ff.Command {
	serve := serveCommand(program[settings.Agent]{
		name:    "banyanagent",
		help:    "run the agent beside a backend server until SIGINT or SIGTERM, then drain",
		file:    "agent.json",
		load:    settings.LoadAgent,
		logging: func(s *settings.Agent) (string, string) { return s.LogLevel, s.LogFormat },
		serve:   agent.Serve,
	})
	check := &ff.Command{
		Name:      "check",
		Usage:     "banyanagent check FILE...",
		ShortHelp: "check settings files; exit status 2 if one is invalid",
		Flags:     ff.NewFlagSet("check"),
		Exec: func(_ context.Context, args []string) error {
			return checkFiles(args, func(file string) []settings.Problem {
				_, problems := settings.LoadAgent(file)
				return problems
			})
		},
	}
	return &ff.Command{
		Name:      "banyanagent",
		Usage:     "banyanagent COMMAND",
		ShortHelp: "the process beside a backend server",
		Subcommands: []*ff.Command{
			serve,
			check,
			platformCommand("banyanagent", role{name: "rank", help: "run the process beside a rank of a lock-step group on the users' platform", serve: rank.Serve}),
		},
	}
}

// checkFiles checks all files, prints each valid one and returns the problems of the others in one error.
func checkFiles(files []string, check func(string) []settings.Problem) error {
	if len(files) == 0 {
		return usageErrorf("no file given: name at least one")
	}
	var problems []settings.Problem
	for _, file := range files {
		found := check(file)
		if len(found) == 0 {
			fmt.Println(file + ": ok")
		}
		problems = append(problems, found...)
	}
	return invalidInputError(problems)
}
