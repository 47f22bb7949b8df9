package experiment

import (
	"testing"

	"github.com/banyanfront/banyanfront/decide/limits"
)

// BenchmarkRamping prints the comparison: go test -run xxx -bench Ramping -benchtime 1x ./internal/experiment
func BenchmarkRamping(b *testing.B) { printOnce(b, Ramping()) }

// Guards against a limit that crashes a cold server although its time to first token rises under load, misses the target
// for the time to first token, or never reaches the full rate, whatever the announced capacity.
func TestRampingSurvivesColdStart(t *testing.T) {
	for seed := range uint64(10) {
		for _, c := range rampCases[:3] {
			figures := runRamp(c, seed, &adaptiveLimit{limits.New(limits.Config{Capacity: c.announcedCapacity}, rampStart, 1)})
			failed, crashes, full, firstToken := figures[0], figures[1], figures[2], figures[5]
			if failed > 0 || crashes > 0 || full < 0 || firstToken > 1100 {
				t.Errorf("seed %d, %s: %.0f failed, %.0f crashes, full rate after %.0f s, first token p95 %.0f ms",
					seed, c.name, failed, crashes, full, firstToken)
			}
		}
	}
}
