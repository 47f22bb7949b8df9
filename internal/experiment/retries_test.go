package experiment

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against retries and hedges that add more load than the budget allows, against retries that prolong a fault, and
// against a budget too small to improve the success rate.
func TestRetriesMeetTargets(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			t.Parallel()
			results := Retries().Run(seed + 1)
			if testing.Verbose() {
				_ = WriteTable(os.Stdout, results)
			}
			for _, r := range results {
				v := figures(t, r)
				// The budget: a tenth of the successes, plus half a retry per second without any successes.
				if v["attempts a request"] > 1.11 || v["attempts a request after it"] > 1.11 {
					t.Errorf("%s, seed %d: %.3f and %.3f attempts a request", r.Name, r.Seed, v["attempts a request"],
						v["attempts a request after it"])
				}
				// Servers without a concurrency limit first process their stale queues, with or without retries.
				if !strings.HasSuffix(r.Name, "-plain") && v["recovery s"] > (retryDeadline+retryTimeout).Seconds() {
					t.Errorf("%s, seed %d: recovery took %.0f s", r.Name, r.Seed, v["recovery s"])
				}
				// While all servers are overloaded, retries cannot raise the success rate.
				none := r.Rows[2].Values[0]
				if !strings.HasPrefix(r.Name, "retries-slow") && v["success % during the fault"] < none {
					t.Errorf("%s, seed %d: fewer successes than without retries", r.Name, r.Seed)
				}
			}
		})
	}
}
