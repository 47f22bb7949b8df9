package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/standin"
)

// standinCommand returns the command that runs a stand-in backend server, to try the programs without real engines.
func standinCommand() *ff.Command {
	flags := ff.NewFlagSet("standin")
	listen := flags.StringLong("listen", "127.0.0.1:9000", "`ADDRESS` to listen on")
	model := flags.StringLong("model", "modelo-vidrio", "`NAME` of the engine's model")
	prefill := flags.DurationLong("prefill", 100*time.Millisecond, "time of a prefill")
	interval := flags.DurationLong("interval", 20*time.Millisecond, "time between tokens")
	cold := flags.DurationLong("cold", 0, "time for which the engine bears only a little load after its start")
	rateLimit := flags.Float64Long("rate-limit", 0, "limit of requests a second that each answer names, 0 for none")
	crashOn := flags.StringLong("crash-on", "", "`TEXT` in a request's body that crashes the stand-in")
	leaving := flags.StringLong("leaving", "", "`TEXT` by which each answer says that the stand-in leaves: 1, or what is to be ignored")
	quietOn := flags.StringLong("quiet-on", "", "`TEXT` in a request's body for which the stand-in rejects it with 503 and Retry-After")
	quiet := flags.StringLong("quiet", "1", "`TEXT` of that Retry-After, in seconds")
	down := flags.DurationLong("down", 2*time.Second, "time from such a crash to the next start")
	run := func(kind string, handler func() http.Handler) func(context.Context, []string) error {
		return func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageErrorf("%q is one argument too many", args[0])
			}
			ctx, cancel := process.SignalContext(ctx)
			defer cancel()
			fmt.Printf("stand-in %s listens on %s\n", kind, *listen)
			return standin.RunTroubled(ctx, *listen, handler, standin.Trouble{RateLimit: *rateLimit, CrashOn: *crashOn, Down: *down,
				Leaving: *leaving, QuietOn: *quietOn, Quiet: *quiet})
		}
	}
	return &ff.Command{
		Name:      "standin",
		Usage:     "banyanfront standin [FLAGS] engine|service [FLAGS]",
		ShortHelp: "run a stand-in model engine or plain service, to try the programs",
		Flags:     flags,
		Subcommands: []*ff.Command{
			{Name: "engine", Usage: "banyanfront standin engine [FLAGS]", ShortHelp: "run a stand-in model engine",
				Flags: ff.NewFlagSet("engine").SetParent(flags),
				Exec: run("engine", func() http.Handler {
					return standin.NewEngine(standin.EngineConfig{
						Name: *model, Models: []fleet.Model{{Name: *model}}, Prefill: *prefill, TokenInterval: *interval, Cold: *cold,
					})
				})},
			{Name: "service", Usage: "banyanfront standin service [FLAGS]", ShortHelp: "run a stand-in plain service",
				Flags: ff.NewFlagSet("service").SetParent(flags),
				Exec:  run("service", func() http.Handler { return standin.NewService(standin.ServiceConfig{Name: "service"}) })},
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageErrorf("name engine or service")
			}
			return usageErrorf("%q is no stand-in: name engine or service", args[0])
		},
	}
}
