package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// Guards against members that acknowledge nothing once disks that were full have room again: one after the other, under proposals, in
// groups that keep so few entries that a member which was away mostly needs a snapshot. A leader whose disk is full has sent what it
// could not write, so that logs differ.
func TestFullDisksInTurnWithFewEntriesKept(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			c, folders, replicas, _ := startWithLeader(t, Options{SnapshotEntries: uint64(3 + random.IntN(10)), KeepEntries: uint64(1 + random.IntN(5)),
				Storage: storage.Options{SegmentBytes: int64(200 + random.IntN(2000))}})
			c.mu.Lock()
			c.delay = time.Millisecond
			c.mu.Unlock()
			for _, f := range folders {
				f.SyncDelay = time.Duration(random.IntN(20)) * time.Millisecond
			}
			proposals := 0
			propose := func() {
				r, id, size := replicas[random.IntN(len(replicas))], fmt.Sprint(proposals), random.IntN(300)
				proposals++
				go func() { _, _, _ = r.Propose(within(3*time.Second), id, make([]byte, size)) }()
			}
			for range 10 {
				full := random.IntN(len(replicas))
				if random.IntN(2) == 0 {
					for i, r := range replicas {
						if r == leaderOf(replicas) {
							full = i
						}
					}
				}
				faults := []faultfs.Fault{faultfs.NoSpace, faultfs.NoDataSpace, faultfs.ShortWrite, faultfs.FailedSync}
				folders[full].FailFrom(1+random.IntN(10), faults[random.IntN(len(faults))])
				for end := time.Now().Add(time.Duration(300+random.IntN(4000)) * time.Millisecond); time.Now().Before(end); {
					for range 1 + random.IntN(3) {
						propose()
						time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
					}
					time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				}
				folders[full].Repair()
				if random.IntN(2) == 0 { // else the next disk fills up at once
					time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
				}
			}
			time.Sleep(4 * time.Second)
			for i, r := range replicas {
				if _, _, err := r.Propose(within(2*time.Second), fmt.Sprint("end", i), nil); err != nil {
					t.Fatalf("seed %d: member %d proposes in vain: %v", seed, i, err)
				}
				if err := r.ReadBarrier(within(time.Second)); err != nil {
					t.Fatalf("seed %d: member %d reads in vain: %v", seed, i, err)
				}
			}
			time.Sleep(time.Second)
			for i, r := range replicas { // each one of them counts towards a majority again
				if own, first := r.Status(), replicas[0].Status(); own.Failure != nil || own.Commit != first.Commit {
					t.Fatalf("seed %d: member %d is at %d, member 0 at %d, failure: %v", seed, i, own.Commit, first.Commit, own.Failure)
				}
			}
		})
	}
}
