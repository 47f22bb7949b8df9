package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Guards against a filter that fails to drop a server, and against a wrong reason when no server is left.
func TestPickFilters(t *testing.T) {
	target := fleet.Target{Name: "model", Adapter: "b", Version: "1"}
	cases := []struct {
		name   string
		change func(s *fleet.Snapshot, server *fleet.Server, r *Request)
		want   Reason
	}{
		{"eligible", func(*fleet.Snapshot, *fleet.Server, *Request) {}, ReasonChosen},
		{"unknown name", func(_ *fleet.Snapshot, _ *fleet.Server, r *Request) { r.Target.Name = "other" }, ReasonUnknown},
		{"adapter", func(_ *fleet.Snapshot, _ *fleet.Server, r *Request) { r.Target.Adapter = "z" }, ReasonVersion},
		{"version", func(_ *fleet.Snapshot, _ *fleet.Server, r *Request) { r.Target.Version = "2" }, ReasonVersion},
		{"role", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) { v.Role = fleet.RoleDecode }, ReasonRole},
		{"draining", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) { v.Load.Phase = fleet.PhaseDraining }, ReasonNotServing},
		{"withdrawn", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) { v.Load.Phase = fleet.PhaseWithdrawn }, ReasonNotServing},
		{"excluded", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) { v.ExclusionReason = "dead" }, ReasonExcluded},
		{"tried", func(_ *fleet.Snapshot, v *fleet.Server, r *Request) {
			r.TriedServers = append(r.TriedServers, v.Server)
		}, ReasonTried},
		{"full", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) { v.Load.Running = 20 }, ReasonNoHeadroom},
		{"limit 0", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) { v.Load.Limit, v.Load.Running = 0, 0 }, ReasonNoHeadroom},
		{"limit 0, own request ended", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) {
			v.Load.Limit, v.Load.Running = 0, 0
			v.Counter.End()
		}, ReasonNoHeadroom},
		{"starting with a free slot", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) {
			v.Load.Phase, v.Load.Limit, v.Load.Running = fleet.PhaseStarting, 2, 1
		}, ReasonChosen},
		{"starting at its limit", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) {
			v.Load.Phase, v.Load.Limit, v.Load.Running = fleet.PhaseStarting, 2, 2
		}, ReasonNoHeadroom},
		{"filled by this instance since the report", func(_ *fleet.Snapshot, v *fleet.Server, _ *Request) {
			v.Load.Running = 0
			for range 20 {
				v.Counter.Begin()
			}
		}, ReasonNoHeadroom},
		{"data centre evacuated", func(s *fleet.Snapshot, _ *fleet.Server, _ *Request) { s.Evacuated = true }, ReasonLocalEvacuated},
	}
	for _, c := range cases {
		for _, n := range []int{1, 60, 300} {
			s := testSnapshot(n, 4)
			r := &Request{Target: target, Priority: fleet.PriorityHigh, Now: testStart}
			for i := range s.Servers {
				s.Servers[i].Load.Running = min(s.Servers[i].Load.Running, 19)
				c.change(s, &s.Servers[i], r)
			}
			d := NewBalanced(nil).Pick(s, r, rand.New(rand.NewPCG(1, 1)))
			if d.Reason != c.want || (d.Server >= 0) != (c.want == ReasonChosen) {
				t.Errorf("%s, %d servers: server %d, reason %q, want %q", c.name, n, d.Server, d.Reason, c.want)
			}
			for _, p := range []Policy{new(RoundRobin), LeastRequests{}, PowerOfTwo{}} {
				want := c.want
				if want == ReasonNoHeadroom {
					want = ReasonChosen // baselines ignore limits
				}
				if d := p.Pick(s, r, rand.New(rand.NewPCG(1, 1))); d.Reason != want {
					t.Errorf("%s, %T: reason %q, want %q", c.name, p, d.Reason, want)
				}
			}
		}
	}
}

// Guards against missing the only eligible server among many, which a sample may not include.
func TestPickFindsTheOnlyEligibleServer(t *testing.T) {
	s := testSnapshot(300, 24)
	for i := range s.Servers {
		if i != 217 {
			s.Servers[i].ExclusionReason = "dead"
		}
	}
	s.Servers[217].Load.Running = 19
	for seed := range uint64(50) {
		r := &Request{Target: fleet.Target{Name: "model"}, Priority: fleet.PriorityHigh, Now: testStart}
		if d := NewBalanced(nil).Pick(s, r, rand.New(rand.NewPCG(seed, 1))); d.Server != 217 {
			t.Fatalf("seed %d: server %d, reason %q, want 217", seed, d.Server, d.Reason)
		}
	}
}

// Guards against a sample that misses idle servers at regular positions: about as many requests must go to them as to idle
// servers at random positions.
func TestPickFindsIdleServersAtRegularPositions(t *testing.T) {
	busy := func(idle func(i int) bool) (n int) {
		s := testSnapshot(300, 24)
		for i := range s.Servers {
			s.Servers[i].Load.Running = 17
			if idle(i) {
				s.Servers[i].Load.Running = 0
			}
		}
		for seed := range uint64(1000) {
			r := &Request{Target: fleet.Target{Name: "model"}, Priority: fleet.PriorityHigh}
			if d := NewBalanced(nil).Pick(s, r, rand.New(rand.NewPCG(seed, 1))); s.Servers[d.Server].Load.Running > 0 {
				n++
			}
		}
		return n
	}
	order := rand.New(rand.NewPCG(1, 1)).Perm(300)
	for period := 2; period <= 12; period++ {
		regular, random := busy(func(i int) bool { return i%period == 0 }), busy(func(i int) bool { return order[i]%period == 0 })
		if regular > random+100 || random > regular+100 {
			t.Errorf("each %d-th server idle: %d of 1000 requests went to a busy one, %d if the idle ones are at random positions", period, regular, random)
		}
	}
}

// sendAll has each of the instances send n requests before the next load reports and returns the number of requests sent to
// each server.
func sendAll(build func() *fleet.Snapshot, instances, n int, prefix []uint64, policy func(*fleet.Snapshot) Policy) []int {
	sent := make([]int, len(build().Servers))
	for instance := range instances {
		s := build()
		p := policy(s)
		rng := rand.New(rand.NewPCG(uint64(instance), 5))
		for range n {
			r := &Request{Target: fleet.Target{Name: "model"}, Priority: fleet.PriorityNormal, Prefix: prefix, Now: testStart}
			if d := p.Pick(s, r, rng); d.Server >= 0 {
				s.Servers[d.Server].Counter.Begin()
				sent[d.Server]++
			}
		}
	}
	return sent
}

// Guards against a thundering herd: 24 instances have the same stale reports, in which one server is idle, holds a popular
// prefix, or reports an impossible limit or load.
func TestPickAvoidsStampede(t *testing.T) {
	const instances, each = 24, 25 // 300 requests a second for 2 s
	hot := testPrefix(1, 20)
	impossible := []fleet.Load{
		{Limit: 1_000_000_000}, {Limit: math.MaxInt}, {Limit: 20, Running: -5}, {Limit: -1}, {Limit: 20, Running: math.MinInt},
		{Limit: 1000, KVUsed: math.NaN()}, {Limit: 1024}, {Limit: 20, KVUsed: math.Inf(-1)},
	}
	cases := []fleet.Load{{Limit: 20}}
	cases = append(cases, impossible...)
	for i, load := range cases {
		for _, prefix := range [][]uint64{nil, hot} {
			build := func() *fleet.Snapshot {
				s := testSnapshot(300, instances)
				for i := range s.Servers {
					s.Servers[i].Load.Running = 10
				}
				load.Server, load.Incarnation, load.Sequence, load.Phase = s.Servers[0].Server, 1, 1, fleet.PhaseServing
				s.Servers[0].Load = load
				return s
			}
			sent := sendAll(build, instances, each, prefix, func(s *fleet.Snapshot) Policy {
				affinity := NewAffinity(0, testStart)
				affinity.Sync(s, testStart)
				affinity.RecordSent(testStart, s.Servers[0].Server, hot)
				return NewBalanced(affinity)
			})
			// A plausible limit counts as at most 4 times that of the other servers, an impossible one as a single slot. Each
			// instance may round its share up to a whole request.
			most := load.Limit + instances
			if load.Limit < 0 || load.Running < 0 || load.Limit > maxPlausibleLimit {
				most = instances
			}
			if most = min(most, 4*20+instances); sent[0] > most {
				t.Errorf("case %d, prefix %t: %d of %d requests went to one server, want at most %d", i, prefix != nil, sent[0], instances*each, most)
			}
		}
	}
}

// Guards against an instance that keeps filling a server whose reports have stopped.
func TestPickStopsAtStaleReport(t *testing.T) {
	build := func() *fleet.Snapshot {
		s := testSnapshot(12, 4)
		for i := range s.Servers {
			s.Servers[i].Load.Running = 18
		}
		s.Servers[3].Load.Running = 0 // the last report received
		return s
	}
	sent := sendAll(build, 4, 100, nil, func(*fleet.Snapshot) Policy { return NewBalanced(nil) })
	if sent[3] > 4*20 {
		t.Errorf("%d requests sent on one stale report of 20 free slots, want at most 20 by each of 4 instances", sent[3])
	}
	share := sendAll(build, 4, 5, nil, func(*fleet.Snapshot) Policy { return NewBalanced(nil) })
	if share[3] > 20 {
		t.Errorf("%d requests sent within the shares of 20 free slots", share[3])
	}
}

// Guards against spill-over to a data centre that is evacuated, was tried, or is not known to serve the target, against a
// wrong choice from an invalid summary, and against forwarding a request twice.
func TestPickSpillsOver(t *testing.T) {
	summary := func(dc fleet.DataCentre, free int) fleet.Summary {
		return fleet.Summary{DataCentre: dc, Name: "model", Servers: 10, Free: free, FirstToken: 300 * time.Millisecond}
	}
	cases := []struct {
		name   string
		remote []fleet.Summary
		change func(s *fleet.Snapshot, r *Request)
		want   fleet.DataCentre
	}{
		{name: "headroom", remote: []fleet.Summary{summary("near", 5)}, want: "near"},
		{name: "local data centre is evacuated", remote: []fleet.Summary{summary("near", 5)}, want: "near",
			change: func(s *fleet.Snapshot, _ *Request) { s.Evacuated = true }},
		{name: "none has headroom", remote: []fleet.Summary{summary("near", 0), summary("far", -3)}},
		{name: "evacuated data centre is not in the snapshot"},
		{name: "tried", remote: []fleet.Summary{summary("near", 5), summary("far", 1)}, want: "far",
			change: func(_ *fleet.Snapshot, r *Request) { r.TriedDataCentres = []fleet.DataCentre{"near"} }},
		{name: "already forwarded", remote: []fleet.Summary{summary("near", 5)},
			change: func(_ *fleet.Snapshot, r *Request) { r.Spilled = true }},
		{name: "local data centre", remote: []fleet.Summary{summary("here", 5)}},
		{name: "no servers", remote: []fleet.Summary{{DataCentre: "near", Name: "model", Free: 5}}},
		{name: "other target", remote: []fleet.Summary{{DataCentre: "near", Name: "other", Servers: 1, Free: 5}}},
		{name: "negative time", want: "near", remote: []fleet.Summary{
			{DataCentre: "near", Name: "model", Servers: 1, Free: math.MaxInt, FirstToken: math.MinInt64}}},
	}
	for _, c := range cases {
		s := testSnapshot(12, 4)
		s.RemoteSummaries = c.remote
		for i := range s.Servers {
			s.Servers[i].Load.Running = 20
		}
		r := &Request{Target: fleet.Target{Name: "model"}, Now: testStart}
		if c.change != nil {
			c.change(s, r)
		}
		d := NewBalanced(nil).Pick(s, r, rand.New(rand.NewPCG(1, 1)))
		if d.DataCentre != c.want || d.Server != -1 || (d.Reason == ReasonChosen) != (c.want != "") {
			t.Errorf("%s: data centre %q, server %d, reason %q, want %q", c.name, d.DataCentre, d.Server, d.Reason, c.want)
		}
	}
}

// Guards against spilling all requests to one data centre, and against preferring a distant one to a nearby one with the
// same headroom.
func TestPickSpillsByCost(t *testing.T) {
	s := &fleet.Snapshot{DataCentre: "here", RemoteSummaries: []fleet.Summary{
		{DataCentre: "near", Name: "model", Servers: 10, Free: 50}, {DataCentre: "also near", Name: "model", Servers: 10, Free: 50},
		{DataCentre: "far", Name: "model", Servers: 10, Free: 50},
	}}
	policy := NewBalanced(nil)
	policy.SetLatency(map[fleet.DataCentre]time.Duration{"near": time.Millisecond, "also near": time.Millisecond, "far": 100 * time.Millisecond})
	rng := rand.New(rand.NewPCG(1, 1))
	count := map[fleet.DataCentre]int{}
	for range 1000 {
		count[policy.Pick(s.Build(), &Request{Target: fleet.Target{Name: "model"}}, rng).DataCentre]++
	}
	if count["near"] < 300 || count["also near"] < 300 || count["far"] > 100 {
		t.Errorf("spread of 1000 spilled requests: %v", count)
	}
}

// Guards against low-priority requests that take the last slots, and against a full share for a group with a slow rank.
func TestPickPriorityAndWeight(t *testing.T) {
	s := testSnapshot(12, 1)
	for i := range s.Servers {
		s.Servers[i].Load.Running = 18
	}
	for priority, want := range map[fleet.Priority]Reason{fleet.PriorityLow: ReasonNoHeadroom, fleet.PriorityNormal: ReasonChosen, fleet.PriorityHigh: ReasonChosen, 200: ReasonChosen} {
		d := NewBalanced(nil).Pick(s, &Request{Target: fleet.Target{Name: "model"}, Priority: priority}, rand.New(rand.NewPCG(1, 1)))
		if d.Reason != want {
			t.Errorf("priority %d with 2 of 20 slots free: %q, want %q", priority, d.Reason, want)
		}
	}
	sent := sendAll(func() *fleet.Snapshot {
		s := testSnapshot(12, 4)
		for i := range s.Servers {
			s.Servers[i].Load.Running = 5
		}
		s.Servers[5].Weight = 0.5
		return s
	}, 4, 12, nil, func(*fleet.Snapshot) Policy { return NewBalanced(nil) })
	others := -sent[5]
	for _, n := range sent {
		others += n
	}
	if sent[5]*11*3 > others*2 {
		t.Errorf("slow group got %d requests, the other 11 servers %d in total", sent[5], others)
	}
}
