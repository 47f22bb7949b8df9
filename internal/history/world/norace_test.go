//go:build !race

package world

import "testing"

// parallel lets a test run in parallel with others.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
}
