package experiment

import (
	"os"
	"testing"
)

// Guards against ranks that stay uneven while popularity drifts (target 1.05 in the steady state), and against a planner
// that loads as much as a full re-placement.
func TestRebalancingMeetsTargets(t *testing.T) {
	t.Parallel()
	results := Rebalancing().Run(1)
	if testing.Verbose() {
		_ = WriteTable(os.Stdout, results)
	}
	for _, r := range results {
		v := figures(t, r)
		if v["steady skew mean"] > rebalancingTarget {
			t.Errorf("%s, %s: steady skew %.3f", r.Name, r.Load, v["steady skew mean"])
		}
		if full := r.Rows[2].Values[3]; v["GB/h of a 60-layer model"] >= full {
			t.Errorf("%s, %s: %.0f GB/h, full re-placement %.0f", r.Name, r.Load, v["GB/h of a 60-layer model"], full)
		}
	}
}
