package command

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/experiment"
)

func experimentCommand() *ff.Command {
	flags := ff.NewFlagSet("experiment")
	seed := flags.Uint64Long("seed", 1, "`SEED` of load and faults")
	asJSON := flags.BoolLong("json", "print JSON instead of tables")
	return &ff.Command{
		Name:      "experiment",
		Usage:     "banyanfront experiment [FLAGS] [NAME...]",
		ShortHelp: "compare the system's policies with baselines on the same load and seed",
		Flags:     flags,
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

// selected reports whether name is one of names. An empty list selects every name.
func selected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
