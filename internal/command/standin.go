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
	cold := flags.DurationLong("cold", 0, "time after its start in which the engine serves only a few requests at once")
	return &ff.Command{
		Name:      "standin",
		Usage:     "banyanfront standin [FLAGS] engine|service",
		ShortHelp: "run a stand-in model engine or plain service, to try the programs",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("name engine or service")
			}
			var handler http.Handler
			switch args[0] {
			case "engine":
				handler = standin.NewEngine(standin.EngineConfig{
					Name: *model, Models: []fleet.Model{{Name: *model}}, Prefill: *prefill, TokenInterval: *interval, Cold: *cold,
				})
			case "service":
				handler = standin.NewService(standin.ServiceConfig{Name: "service"})
			default:
				return usageErrorf("%q is no stand-in: name engine or service", args[0])
			}
			ctx, cancel := process.SignalContext(ctx)
			defer cancel()
			fmt.Printf("stand-in %s listens on %s\n", args[0], *listen)
			return standin.Run(ctx, *listen, handler)
		},
	}
}
