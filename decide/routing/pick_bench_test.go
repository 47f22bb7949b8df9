package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

var testStart = time.Unix(1_700_000_000, 0)

// testSnapshot returns a snapshot of n warm engines with a concurrency limit of 20, on average half used.
func testSnapshot(n, instances int) *fleet.Snapshot {
	rng := rand.New(rand.NewPCG(7, 7))
	s := &fleet.Snapshot{DataCentre: "here", Instances: instances}
	for i := range n {
		id := fleet.ServerID(fmt.Sprintf("engine-%04d", i))
		s.Servers = append(s.Servers, fleet.Server{
			Announcement: fleet.Announcement{Server: id, Incarnation: 1, Models: []fleet.Model{{Name: "model", Version: "1", Adapters: []string{"a", "b"}}}},
			Load:         fleet.Load{Server: id, Incarnation: 1, Sequence: 1, Limit: 20, Running: rng.IntN(20), Phase: fleet.PhaseServing},
			Weight:       1,
			Counter:      new(fleet.InFlightCounter),
		})
	}
	return s.Build()
}

func testPrefix(seed uint64, n int) []uint64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = rng.Uint64()
	}
	return blocks
}

// BenchmarkPick measures one decision with adapter, version, an exclusion and a prefix of full length. The bound is 5 µs
// and no allocation. In the last case every server is full, so that all are examined.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name string
		n    int
		full bool
	}{{"candidates=12", 12, false}, {"candidates=300", 300, false}, {"all of 300 full", 300, true}} {
		b.Run(c.name, func(b *testing.B) {
			s := testSnapshot(c.n, 24)
			affinity := NewAffinity(0, testStart)
			affinity.Sync(s, testStart)
			requests := make([]Request, 256)
			for i := range requests {
				requests[i] = Request{
					Target: fleet.Target{Name: "model", Adapter: "b", Version: "1"}, Priority: fleet.PriorityNormal,
					Prefix: testPrefix(uint64(i), MaxPrefixBlocks), TriedServers: []fleet.ServerID{"engine-0003"}, Now: testStart,
				}
				affinity.RecordSent(testStart, s.Servers[i%c.n].Server, requests[i].Prefix[:MaxPrefixBlocks/2])
			}
			for i := range s.Servers {
				if c.full {
					s.Servers[i].Load.Running = 20
				}
			}
			policy, rng := NewBalanced(affinity), rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				policy.Pick(s, &requests[i%len(requests)], rng)
			}
		})
	}
}

// BenchmarkAffinityApply measures one cache event of 16 blocks.
func BenchmarkAffinityApply(b *testing.B) {
	s := testSnapshot(300, 24)
	a := NewAffinity(0, testStart)
	a.Sync(s, testStart)
	e := CacheEvent{Server: "engine-0002", Incarnation: 1, Stored: testPrefix(1, 16)}
	b.ReportAllocs()
	for b.Loop() {
		e.Sequence++
		a.Apply(testStart, &e)
	}
}
