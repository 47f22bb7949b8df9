//go:build race

package world

import "testing"

// parallel does nothing under the race detector, so tests run one at a time: with several bubbles at a time its runtime (Go
// 1.26.8) failed with "CHECK failed: tsan_rtl.cpp:346" and reported no race.
func parallel(*testing.T) {}
