// Package experiment compares the system's policies with named baselines on the same load and seed. Experiments run in
// virtual time, so the same seed gives the same figures on every machine.
package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Result is the outcome of one experiment: one row for each policy, one value for each column.
type Result struct {
	Name    string   `json:"name"`
	Load    string   `json:"load"` // description of load and sizes
	Seed    uint64   `json:"seed"`
	Columns []string `json:"columns"` // name and unit of each figure
	Rows    []Row    `json:"rows"`
}

// Row holds the figures of one policy.
type Row struct {
	Policy string    `json:"policy"` // "banyanfront" or the name of a baseline
	Values []float64 `json:"values"`
}

// Experiment is a named comparison of policies. Run returns one result for each scenario.
type Experiment struct {
	Name string
	Run  func(seed uint64) []Result
}

// WriteTable writes the results as text tables.
func WriteTable(w io.Writer, results []Result) error {
	for _, r := range results {
		fmt.Fprintf(w, "%s (seed %d): %s\n", r.Name, r.Seed, r.Load)
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprint(table, "policy\t")
		for _, column := range r.Columns {
			fmt.Fprint(table, column, "\t")
		}
		fmt.Fprintln(table)
		for _, row := range r.Rows {
			fmt.Fprint(table, row.Policy, "\t")
			for _, value := range row.Values {
				fmt.Fprint(table, strconv.FormatFloat(value, 'f', 3, 64), "\t")
			}
			fmt.Fprintln(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}

// WriteJSON writes the results as one JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(results)
}

// All returns all experiments.
func All() []Experiment {
	return []Experiment{Routing(), Ramping(), Overload(), Retries(), Rebalancing()}
}
