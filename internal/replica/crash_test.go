package replica

import (
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// Guards against a crash at some write or sync after which a member cannot start, forgets a vote or loses what was
// acknowledged: the first member crashes at each operation of a run in turn, with snapshots and compaction.
func TestCrashAtEachOperation(t *testing.T) {
	crashes := 0
	for at := 1; ; at++ {
		s := newSim(1, 3, nil)
		s.nodes[0].fs.FailAt(at, faultfs.Crash)
		stop := false
		s.clients(2, &stop)
		crashed := s.until(5*time.Second, func() bool { return s.nodes[0].driver == nil })
		s.until(4*time.Second, never)
		stop = true
		s.until(5*time.Second, never)
		if s.finish(); s.violation != nil {
			t.Fatalf("crash at operation %d: %v", at, s.violation)
		}
		if !crashed {
			break
		}
		crashes++
	}
	t.Log(crashes, "crash points")
	if crashes < 50 {
		t.Error("the scenario has too few crash points")
	}
}
