package replica

import (
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// BenchmarkPropose measures proposals of 200 bytes (the size of a claim) with folders on disk and all voters in one
// process.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64, 512} {
			b.Run(fmt.Sprintf("voters=%d/callers=%d", voters, callers), func(b *testing.B) {
				dir := b.TempDir()
				c, replicas := startGroup(b, voters, func(i int) storage.FS {
					return must(storage.OS(filepath.Join(dir, strconv.Itoa(i))))
				}, Options{})
				if _, _, err := replicas[0].Propose(within(10*time.Second), "first", nil); err != nil {
					b.Fatal(err)
				}
				leader := leaderOf(replicas)
				c.mu.Lock()
				messages, bytes := c.messages, c.bytes
				c.mu.Unlock()
				before := leader.Status().Storage
				command := make([]byte, 200)
				var next atomic.Int64
				var wait sync.WaitGroup
				b.ResetTimer()
				for range callers {
					wait.Go(func() {
						for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
							if _, _, err := leader.Propose(within(30*time.Second), strconv.FormatInt(n, 10), command); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				wait.Wait()
				b.StopTimer()
				n := float64(b.N)
				after := leader.Status().Storage
				c.mu.Lock()
				defer c.mu.Unlock()
				b.ReportMetric(n/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(after.Syncs-before.Syncs)/n, "syncs/proposal")
				b.ReportMetric(float64(after.Bytes-before.Bytes)/n, "disk-B/proposal")
				b.ReportMetric(float64(c.bytes-bytes)/n, "net-B/proposal")
				b.ReportMetric(float64(c.messages-messages)/n, "messages/proposal")
			})
		}
	}
}

// BenchmarkIdle measures the messages and bytes that a group without proposals sends per second of virtual time.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ voters, learners int }{{3, 0}, {3, 2}, {5, 0}, {5, 7}} {
		b.Run(fmt.Sprintf("voters=%d/learners=%d", size.voters, size.learners), func(b *testing.B) {
			s := newSim(1, size.voters, nil)
			s.runUntil(3*time.Second, never)
			for i := range size.learners {
				fresh := s.add()
				fresh.start()
				s.nodes[0].driver.propose(consensus.Entry{Kind: consensus.EntryMembers, ID: fmt.Sprint("m", i),
					Change: &consensus.Change{Add: &consensus.Member{ID: fresh.id}}}, func(outcome) {})
				s.runUntil(3*time.Second, never)
			}
			messages, bytes, seconds := s.messages, s.bytes, 60
			for b.Loop() {
				s.runUntil(time.Duration(seconds)*time.Second, never)
			}
			n := float64(b.N * seconds)
			b.ReportMetric(float64(s.messages-messages)/n, "messages/s")
			b.ReportMetric(float64(s.bytes-bytes)/n, "B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// outage returns how long a group has no working leader after its leader has crashed.
func outage(seed uint64, voters int) time.Duration {
	s := newSim(seed, voters, nil)
	var old *simNode
	findLeader := func() bool {
		for _, n := range s.nodes {
			if n == old || n.driver == nil {
				continue
			}
			if status := n.driver.node.Status(); status.Role == consensus.Leader && status.Commit == status.Last {
				old = n
				return true
			}
		}
		return false
	}
	s.runUntil(10*time.Second, findLeader)
	s.runUntil(time.Duration(seed%200)*5*time.Millisecond, never)
	old.crash(time.Hour)
	from := s.now
	s.runUntil(time.Minute, findLeader)
	return s.now - from
}

// BenchmarkElection measures the outage after the loss of the leader over 1,000 seeds in virtual time.
func BenchmarkElection(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			var sum, longest time.Duration
			const seeds = 1000
			for b.Loop() {
				sum, longest = 0, 0
				for seed := range uint64(seeds) {
					d := outage(seed, voters)
					sum, longest = sum+d, max(longest, d)
				}
			}
			b.ReportMetric(float64(sum.Milliseconds())/seeds, "mean-ms")
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// largeState is a state machine whose snapshot has size bytes.
type largeState struct {
	counter
	size int
}

func (l *largeState) Snapshot() []byte     { return make([]byte, l.size) }
func (l *largeState) Restore([]byte) error { return nil }

// BenchmarkSnapshotPause measures the longest proposal while snapshots of a large state are written to disk.
func BenchmarkSnapshotPause(b *testing.B) {
	for _, mib := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("MiB=%d", mib), func(b *testing.B) {
			dir := must(storage.OS(b.TempDir()))
			_, replicas := startGroup(b, 1, func(int) storage.FS { return dir },
				Options{StateMachine: &largeState{size: mib << 20}, SnapshotEntries: 1000})
			var longest time.Duration
			n := 0
			for b.Loop() {
				from := time.Now()
				if _, _, err := replicas[0].Propose(within(30*time.Second), strconv.Itoa(n), nil); err != nil {
					b.Fatal(err)
				}
				if n++; n > 1 { // the first waits for the election
					longest = max(longest, time.Since(from))
				}
			}
			b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
		})
	}
}
