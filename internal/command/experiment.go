package command

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/experiment"
	"github.com/banyanfront/banyanfront/platform"
)

func experimentCommand() *ff.Command {
	flags := ff.NewFlagSet("experiment")
	seed := flags.Uint64Long("seed", 1, "`SEED` of load and faults")
	asJSON := flags.BoolLong("json", "print JSON instead of tables")
	return &ff.Command{
		Name:        "experiment",
		Usage:       "banyanfront experiment [FLAGS] [NAME...]",
		ShortHelp:   "compare the system's policies with baselines on the same load and seed",
		Flags:       flags,
		Subcommands: []*ff.Command{lossCommand(flags)},
		Exec: func(_ context.Context, args []string) error {
			var results []experiment.Result
			for _, e := range experiment.All() {
				if selected(e.Name, args) {
					results = append(results, e.Run(*seed)...)
				}
			}
			if len(results) == 0 {
				return usageErrorf("no experiment has that name: run without names for all")
			}
			if *asJSON {
				return experiment.WriteJSON(os.Stdout, results)
			}
			return experiment.WriteTable(os.Stdout, results)
		},
	}
}

func lossCommand(parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:      "loss",
		Usage:     "banyanfront experiment loss FILE",
		ShortHelp: "split the worth that callers lost on a day of the platform by cause and second, from the output of that day with all logs",
		Flags:     ff.NewFlagSet("loss").SetParent(parent),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("name the file with the output of one day, played with the logs of all processes")
			}
			output, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			windows, lines := platform.ParseDay(string(output))
			if len(windows) == 0 {
				return usageErrorf("%s has no table that begins with %q: play one day, and keep all of its output", args[0], platform.WindowHeader)
			}
			return experiment.WriteLoss(os.Stdout, experiment.SplitLoss(windows, lines))
		},
	}
}

// selected reports whether name is one of names. An empty list selects every name.
func selected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
