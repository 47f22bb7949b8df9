package experiment

import "testing"

// BenchmarkRamping prints the comparison: go test -run xxx -bench Ramping -benchtime 1x ./internal/experiment
func BenchmarkRamping(b *testing.B) { printOnce(b, Ramping()) }
