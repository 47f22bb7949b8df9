//go:build !race

package world

import "testing"

// parallel lets a test run beside others.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
}
