package experiment

import (
	"fmt"
	"os"
	"testing"
)

// figures returns the values of the system's policy by column.
func figures(t *testing.T, r Result) map[string]float64 {
	t.Helper()
	if r.Rows[0].Policy != "banyanfront" {
		t.Fatalf("%s: first row is %q", r.Name, r.Rows[0].Policy)
	}
	values := map[string]float64{}
	for i, column := range r.Columns {
		values[column] = r.Rows[0].Values[i]
	}
	return values
}

// Guards against goodput below 95 % of the maximum at three times the capacity, against refusals of organisations within
// their share, and against an overload that persists through retries after its cause has ended.
func TestOverloadMeetsTargets(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			results := Overload().Run(seed + 1)
			if testing.Verbose() {
				_ = WriteTable(os.Stdout, results)
			}
			for _, r := range results {
				v := figures(t, r)
				if v["useful % of maximum"] < 95 {
					t.Errorf("%s, seed %d: useful %.1f %% of the maximum", r.Name, r.Seed, v["useful % of maximum"])
				}
				// With a third of the slots, random bursts of a small organisation briefly exceed its share.
				if r.Name != "overload-return" && v["refused % within share"] > 0 {
					t.Errorf("%s, seed %d: %.2f %% refused within their share", r.Name, r.Seed, v["refused % within share"])
				}
				if v["recovery s"] > overloadDeadline.Seconds() {
					t.Errorf("%s, seed %d: recovery took %.0f s", r.Name, r.Seed, v["recovery s"])
				}
			}
		})
	}
}
