package experiment

import (
	"fmt"
	"os"
	"testing"
)

// Guards against imbalance between ranks while popularity drifts (target skew 1.05 in the steady state), against a planner
// that loads as many bytes as a full re-placement, and against a search that stops in a local minimum after a flip.
func TestRebalancingMeetsTargets(t *testing.T) {
	for _, group := range rebalancingGroups {
		for _, exponent := range rebalancingExponents {
			t.Run(fmt.Sprint(group.ranks, "ranks", exponent), func(t *testing.T) {
				t.Parallel()
				r := group.compare(1, exponent)
				if testing.Verbose() {
					_ = WriteTable(os.Stdout, []Result{r})
				}
				v := figures(t, r)
				if v["steady skew mean"] > rebalancingTargetSkew {
					t.Errorf("%s: steady skew %.3f", r.Load, v["steady skew mean"])
				}
				// With engines that split load evenly, 256 ranks with 2 slots miss the target; see docs/notes/experts.md.
				if even := r.Rows[3].Values; group.ranks == 16 && (even[0] > rebalancingTargetSkew || int(even[2]) >= group.intervals/(rebalancingFlips+1)) {
					t.Errorf("%s: even split: steady skew %.3f, settled after %.0f intervals", r.Load, even[0], even[2])
				}
				if full := r.Rows[2].Values[3]; v["GB/h of a 60-layer model"] >= full {
					t.Errorf("%s: %.0f GB/h, full re-placement %.0f", r.Load, v["GB/h of a 60-layer model"], full)
				}
			})
		}
	}
}
