package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
)

// Guards against a group of three that acknowledges nothing, though two members work: one of them wrote entries as an isolated leader
// that the others have replaced and, up to one of those, compacted; the leader after that is lost the moment it is back.
func TestIsolatedLeaderWithALongTailCatchesUp(t *testing.T) {
	for tail := 1; tail <= 40; tail += 3 {
		synctest.Test(t, func(t *testing.T) {
			c, _, replicas, isolated := startWithLeader(t, Options{SnapshotEntries: 5, KeepEntries: 1})
			cut := func(r *Replica) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.delay, c.partitioned = time.Millisecond, map[consensus.ID]bool{r.Status().ID: true}
			}
			cut(isolated)
			for i := range tail {
				go func() { _, _, _ = isolated.Propose(within(3*time.Second), fmt.Sprint("lost", i), nil) }()
			}
			time.Sleep(5 * time.Second)
			var others []*Replica
			var next *Replica // the leader of the others
			for _, r := range replicas {
				if r != isolated {
					others = append(others, r)
				}
				if r != isolated && r.Status().Role == consensus.Leader {
					next = r
				}
			}
			for i := range 20 {
				if _, _, err := others[i%2].Propose(within(3*time.Second), fmt.Sprint(i), nil); err != nil {
					t.Fatalf("tail %d: %v", tail, err)
				}
			}
			cut(next)
			time.Sleep(5 * time.Second)
			for _, r := range replicas {
				if r == next {
					continue
				}
				if _, _, err := r.Propose(within(3*time.Second), fmt.Sprint("end", r.Status().ID), nil); err != nil {
					t.Fatalf("tail %d: after %d messages: %v", tail, c.messages, err)
				}
			}
		})
	}
}
