package command

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/demo"
	"github.com/banyanfront/banyanfront/internal/process"
)

func demoCommand() *ff.Command {
	flags := ff.NewFlagSet("demo")
	seed := flags.Uint64Long("seed", 1, "`SEED` of the load")
	level := flags.StringLong("log", "error", "least severe `LEVEL` that is logged: debug, info, warn or error")
	return &ff.Command{
		Name:      "demo",
		Usage:     "banyanfront demo [FLAGS]",
		ShortHelp: "run a small fleet in this process under load; exit status 1 if a request is lost or doubled",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := process.SetLogging(*level, "text"); err != nil {
				return usageErrorf("%v", err)
			}
			ctx, cancel := process.SignalContext(ctx)
			defer cancel()
			return demo.Run(ctx, os.Stdout, *seed)
		},
	}
}
