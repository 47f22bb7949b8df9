package experiment

import (
	"testing"

	"github.com/banyanfront/banyanfront/decide/limits"
)

// BenchmarkRamping prints the comparison: go test -run xxx -bench Ramping -benchtime 1x ./internal/experiment
func BenchmarkRamping(b *testing.B) { printOnce(b, Ramping()) }

// Guards against a limit that kills a cold server whose first tokens slow down under load, misses the target of the time
// to first token, or never reaches the full rate, whatever capacity is announced.
func TestRampingBearsColdStart(t *testing.T) {
	for seed := range uint64(10) {
		for _, c := range rampCases[:3] {
			figures := rampPlay(c, seed, &learned{limits.New(limits.Config{Capacity: c.announce}, rampStart, 1)})
			failed, deaths, full, firstToken := figures[0], figures[1], figures[2], figures[5]
			if failed > 0 || deaths > 0 || full < 0 || firstToken > 1100 {
				t.Errorf("seed %d, %s: %.0f failed, %.0f deaths, full rate after %.0f s, first token p95 %.0f ms",
					seed, c.name, failed, deaths, full, firstToken)
			}
		}
	}
}
