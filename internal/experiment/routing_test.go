package experiment

import (
	"os"
	"testing"
)

// BenchmarkRouting prints the comparison at all sizes: go test -run xxx -bench Routing -benchtime 1x ./internal/experiment
func BenchmarkRouting(b *testing.B) { printOnce(b, Routing()) }

func printOnce(b *testing.B, e Experiment) {
	for b.Loop() {
		if err := WriteTable(os.Stdout, e.Run(1)); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a routing policy that misses the latency targets of the design page at the design peak, or gives up
// requests while engines have free slots.
func TestRoutingMeetsTargets(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		result := compareRouting(routingSize{engines: 12, entries: 4, organisations: 10, ratePerEngine: 1.02}, seed)
		row := result.Rows[0]
		if firstToken := row.Values[0]; firstToken > 1100 {
			t.Errorf("seed %d: first token p95 %.0f ms, target 1100 ms", seed, firstToken)
		}
		if interval := row.Values[1]; interval > 32 {
			t.Errorf("seed %d: token interval p95 %.1f ms, target 32 ms", seed, interval)
		}
		if gaveUp := row.Values[5]; gaveUp > 0 {
			t.Errorf("seed %d: %.1f of 1000 requests given up at the design peak, want none", seed, gaveUp)
		}
	}
}

// Guards against results that differ between two runs with the same seed.
func TestRoutingRepeats(t *testing.T) {
	size := routingSize{engines: 6, entries: 2, organisations: 5, ratePerEngine: 1.4}
	first, second := compareRouting(size, 9), compareRouting(size, 9)
	for i := range first.Rows {
		for j, value := range first.Rows[i].Values {
			if value != second.Rows[i].Values[j] {
				t.Errorf("%s, %s: %v then %v", first.Rows[i].Policy, first.Columns[j], value, second.Rows[i].Values[j])
			}
		}
	}
}
