package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

var serverCounts = []int{12, 100, 300, 1000, 4200}

// sweep runs a benchmark at several sizes and prints a linear fit of each metric. measure returns the metrics of one size.
func sweep(b *testing.B, parameter string, sizes []int, target int, measure func(b *testing.B, n int) map[string]float64) {
	log.SetLevel(log.FatalLevel)
	points := make(map[string][]float64)
	var measuredSizes []float64
	for _, n := range sizes {
		var metrics map[string]float64
		ok := b.Run(fmt.Sprintf("%s=%d", parameter, n), func(b *testing.B) {
			metrics = measure(b, n)
			for unit, value := range metrics {
				b.ReportMetric(value, unit)
			}
		})
		if !ok {
			return
		}
		if metrics == nil {
			continue // the -bench pattern excludes this size
		}
		measuredSizes = append(measuredSizes, float64(n))
		for unit, value := range metrics {
			points[unit] = append(points[unit], value)
		}
	}
	if len(measuredSizes) < 2 {
		return
	}
	for unit, values := range points {
		fit := FitLine(measuredSizes, values)
		fmt.Printf("fit of %s %s: intercept %.4g, slope %.4g, residual %.3g, at %d: %.5g\n",
			b.Name(), unit, fit.Intercept, fit.Slope, fit.Residual, target, fit.At(float64(target)))
	}
}

func must[T any](b *testing.B) func(T, error) T {
	return func(value T, err error) T {
		if err != nil {
			b.Helper()
			b.Fatal(err)
		}
		return value
	}
}

// BenchmarkSnapshot measures the time to build one view of the control loop, and the heap size of the loop and of one view.
func BenchmarkSnapshot(b *testing.B) {
	sweep(b, "servers", serverCounts, LocalEngines, func(b *testing.B, n int) map[string]float64 {
		before := HeapBytes()
		loop := NewControlLoop(n)
		defer loop.Close()
		loopBytes := float64(HeapBytes() - before)
		firstView := loop.View()
		loop.RebuildView()
		totalBytes := float64(HeapBytes() - before)
		runtime.KeepAlive(firstView)
		for b.Loop() {
			loop.RebuildView()
		}
		return map[string]float64{"us/view": float64(b.Elapsed().Microseconds()) / float64(b.N),
			"heap-B": loopBytes, "view-B": totalBytes - loopBytes}
	})
}

// BenchmarkLoadReport measures encoding, decoding and applying one load report.
func BenchmarkLoadReport(b *testing.B) {
	loop := NewControlLoop(LocalEngines)
	defer loop.Close()
	payload := FrameBytes(&protocol.Load{Load: Load(1, 40_000)})
	i := 0
	for b.Loop() {
		i++
		load := Load(i%LocalEngines, uint64(i+1))
		data := must[[]byte](b)(protocol.Encode(0, &protocol.Load{Load: load}))
		_, m, err := protocol.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		loop.MessageReceived(loop.agents[i%LocalEngines], m)
	}
	loop.PublishState()
	b.ReportMetric(float64(payload), "payload-B")
	b.ReportMetric(float64(WireBytes(payload, true)), "wire-B")
}

// BenchmarkRoster measures the size of a roster and how many of 300 agents receive one after an agreed change that does not
// affect them.
func BenchmarkRoster(b *testing.B) {
	sweep(b, "members", []int{3, 10, 24, 100}, LocalInstances, func(b *testing.B, n int) map[string]float64 {
		loop := NewControlLoop(LocalEngines)
		defer loop.Close()
		for i := range n - 1 {
			loop.AddPeer(i+1, dataCentre)
		}
		time.Sleep(time.Second) // until a tick has sent the new addresses to all agents
		loop.PublishState()
		before := loop.RostersSent()
		changes := 0
		for b.Loop() {
			loop.PublishState()
			changes++
		}
		payload := FrameBytes(Roster(n))
		perChange := loop.RostersSent().Plus(before.Times(-1)).Times(1 / float64(changes))
		return map[string]float64{"payload-B": float64(payload), "wire-B": float64(WireBytes(payload, false)),
			"rosters/change": perChange.Messages}
	})
}

// BenchmarkHeartbeats measures the heartbeats of idle sessions at the accepting side, and the CPU time of both sides
// together.
func BenchmarkHeartbeats(b *testing.B) {
	sweep(b, "sessions", []int{3, 10, 30, 100, 300}, LocalEngines, func(b *testing.B, n int) map[string]float64 {
		heapBefore := HeapBytes()
		stackBefore := stackBytes()
		s, err := OpenSessions(n)
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		heap, stack := growth(heapBefore, HeapBytes()), growth(stackBefore, stackBytes())
		cpuBefore := ProcessCPUTime()
		const during = 5 * time.Second
		in, out := s.Heartbeats(during)
		cores := (ProcessCPUTime() - cpuBefore).Seconds() / (during + time.Second).Seconds()
		return map[string]float64{"messages/s": in.Messages + out.Messages, "payload-B/s": in.Payload + out.Payload,
			"wire-B/s": in.Wire + out.Wire, "core-%": 100 * cores, "heap-B": heap / 2, "stack-B": stack / 2}
	})
}

// growth returns the difference, which is negative if memory of an earlier measurement was freed in between.
func growth(before, after uint64) float64 { return float64(int64(after - before)) }

func stackBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.StackInuse
}

// BenchmarkStreamMemory measures the memory of open, idle streams on both sides together.
func BenchmarkStreamMemory(b *testing.B) {
	sweep(b, "streams", []int{300, 1000, 3000}, 1870, func(b *testing.B, n int) map[string]float64 {
		s, err := OpenSessions(1)
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		heapBefore, stackBefore := HeapBytes(), stackBytes()
		for i := range n {
			if _, err := s.Dialled[0].Open(context.Background(), &protocol.Open{Attempt: fmt.Sprint(i)}); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(500 * time.Millisecond)
		return map[string]float64{"heap-B": growth(heapBefore, HeapBytes()), "stack-B": growth(stackBefore, stackBytes())}
	})
}

// BenchmarkMembership measures the traffic that one member sends, in virtual time.
func BenchmarkMembership(b *testing.B) {
	sweep(b, "members", []int{3, 10, 24, 30, 100}, LocalInstances, func(b *testing.B, n int) map[string]float64 {
		m := must[*Members](b)(NewMembers(n, 1))
		cpuBefore := ProcessCPUTime()
		sent := must[Traffic](b)(m.Sent(time.Minute))
		cpuMicroseconds := float64((ProcessCPUTime() - cpuBefore).Microseconds()) / 60 / float64(n)
		return map[string]float64{"messages/s": sent.Messages, "payload-B/s": sent.Payload, "wire-B/s": sent.Wire, "cpu-us/s": cpuMicroseconds}
	})
}

// BenchmarkAgreedView measures encoding and decoding a whole view, and its heap size.
func BenchmarkAgreedView(b *testing.B) {
	sweep(b, "servers", serverCounts, Engines, func(b *testing.B, n int) map[string]float64 {
		view := View(n)
		var data []byte
		for b.Loop() {
			data = must[[]byte](b)(protocol.EncodeView(view))
			must[*statemachine.View](b)(protocol.DecodeView(data))
		}
		microseconds := float64(b.Elapsed().Microseconds()) / float64(b.N)
		before := HeapBytes()
		decoded := must[*statemachine.View](b)(protocol.DecodeView(data))
		heapBytes := float64(HeapBytes() - before)
		runtime.KeepAlive(decoded)
		return map[string]float64{"payload-B": float64(len(data)), "us/transfer": microseconds, "heap-B": heapBytes}
	})
}

// BenchmarkChange measures applying one change to a view of n servers.
func BenchmarkChange(b *testing.B) {
	sweep(b, "servers", serverCounts, Engines, func(b *testing.B, n int) map[string]float64 {
		view, change := View(n), Change()
		for b.Loop() {
			must[*statemachine.View](b)(view.Apply(change))
		}
		data := must[[]byte](b)(protocol.EncodeChange(change))
		return map[string]float64{"payload-B": float64(len(data)), "us/change": float64(b.Elapsed().Nanoseconds()) / 1000 / float64(b.N)}
	})
}

// BenchmarkFollowers measures the traffic per second of a source with n followers.
func BenchmarkFollowers(b *testing.B) {
	sweep(b, "followers", []int{0, 3, 10, 23, 100, 330}, LocalInstances-1, func(b *testing.B, n int) map[string]float64 {
		total := Total(must[Flow](b)(SourceFlow(n)))
		s := must[*Source](b)(NewSource(n, Engines))
		defer s.Close()
		cpuBefore := ProcessCPUTime()
		for range 100 {
			s.Poll()
		}
		cpuMicroseconds := float64((ProcessCPUTime() - cpuBefore).Microseconds()) / 100 * followerRequestsPerSec
		return map[string]float64{"messages/s": total.Messages, "payload-B/s": total.Payload, "wire-B/s": total.Wire, "cpu-us/s": cpuMicroseconds,
			"view-wire-B": s.Fetch().Wire}
	})
}

// BenchmarkClaims measures claims of 64 concurrent callers, with all voters in one process and their folders on this machine.
func BenchmarkClaims(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			log.SetLevel(log.FatalLevel)
			g := must[*Group](b)(NewGroup(b.TempDir(), voters))
			defer g.Close()
			cpuTime, claims := ProcessCPUTime(), 20_000
			cost := must[ClaimCost](b)(g.Propose(claims, 64))
			cpuTime = ProcessCPUTime() - cpuTime
			b.ReportMetric(cost.PerSecond, "claims/s")
			b.ReportMetric(cost.Syncs, "syncs/claim")
			b.ReportMetric(cost.DiskBytes, "disk-B/claim")
			b.ReportMetric(cost.Sent.Payload, "payload-B/claim")
			b.ReportMetric(cost.Sent.Messages, "messages/claim")
			b.ReportMetric(float64(cpuTime.Microseconds())/float64(claims), "cpu-us/claim")
			idle := g.Idle(3 * time.Second)
			b.ReportMetric(idle.Messages, "idle-messages/s")
			b.ReportMetric(idle.Wire, "idle-wire-B/s")
		})
	}
}

// BenchmarkKeyRecords measures the memory and the encoded size of key records.
func BenchmarkKeyRecords(b *testing.B) {
	sweep(b, "keys", []int{30_000, 100_000, 300_000}, 1_000_000, func(b *testing.B, n int) map[string]float64 {
		before := HeapBytes()
		s := statemachine.New(statemachine.Limits{})
		for i := range n {
			s.Apply(s.Index()+1, Claim(i))
		}
		heapBytes := float64(HeapBytes() - before)
		data := must[[]byte](b)(protocol.EncodeSnapshot(s.Export()))
		return map[string]float64{"heap-B": heapBytes, "snapshot-B": float64(len(data))}
	})
}

// BenchmarkPick measures one routing decision over n candidates with a full affinity table.
func BenchmarkPick(b *testing.B) {
	sweep(b, "candidates", serverCounts, LocalEngines, func(b *testing.B, n int) map[string]float64 {
		now := time.Unix(1_780_000_000, 0)
		s := &fleet.Snapshot{DataCentre: dataCentre, Instances: LocalInstances}
		for i := range n {
			a := Announcement(i)
			a.Models[0].Name = ModelName(0)
			load := Load(i, 1)
			load.Running = i % 32
			s.Servers = append(s.Servers, fleet.Server{Announcement: a, Load: load, Weight: 1})
		}
		s.Build()
		affinity := routing.NewAffinity(0, now)
		affinity.Sync(s, now)
		rng := rand.New(rand.NewPCG(1, 2))
		requests := make([]routing.Request, 256)
		for i := range requests {
			prefix := make([]uint64, routing.MaxPrefixBlocks)
			for j := range prefix {
				prefix[j] = rng.Uint64()
			}
			requests[i] = routing.Request{Target: fleet.Target{Name: ModelName(0)}, Priority: fleet.PriorityNormal, Prefix: prefix, Now: now}
			affinity.RecordSent(now, s.Servers[i%n].Server, prefix)
		}
		policy := routing.NewBalanced(affinity)
		i := 0
		for b.Loop() {
			i++
			policy.Pick(s, &requests[i%len(requests)], rng)
		}
		return map[string]float64{"us/pick": float64(b.Elapsed().Nanoseconds()) / 1000 / float64(b.N)}
	})
}

// BenchmarkAffinityTable measures the memory of the affinity table after a Sync with n servers.
func BenchmarkAffinityTable(b *testing.B) {
	sweep(b, "servers", serverCounts, LocalEngines, func(b *testing.B, n int) map[string]float64 {
		now := time.Unix(1_780_000_000, 0)
		s := &fleet.Snapshot{}
		for i := range n {
			s.Servers = append(s.Servers, fleet.Server{Announcement: Announcement(i)})
		}
		s.Build()
		before := HeapBytes()
		affinity := routing.NewAffinity(0, now)
		affinity.Sync(s, now)
		heapBytes := growth(before, HeapBytes())
		runtime.KeepAlive(affinity)
		runtime.KeepAlive(s)
		return map[string]float64{"heap-B": heapBytes}
	})
}

// BenchmarkAgentProcess measures the agent binary beside a stand-in engine, with sessions to n entry instances.
func BenchmarkAgentProcess(b *testing.B) {
	binary := must[string](b)(BuildAgent(b.TempDir()))
	sweep(b, "instances", []int{1, 3, 10, 24}, LocalInstances, func(b *testing.B, n int) map[string]float64 {
		p := must[*AgentProcess](b)(StartAgent(binary, b.TempDir(), n))
		defer p.Close()
		const during = 8 * time.Second
		before := must[time.Duration](b)(p.CPUTime())
		time.Sleep(during)
		used := must[time.Duration](b)(p.CPUTime()) - before
		return map[string]float64{"RSS-MB": float64(must[int](b)(p.ResidentBytes())) / (1 << 20),
			"core-%": 100 * used.Seconds() / during.Seconds()}
	})
}

// BenchmarkDaemonTraffic sums the control traffic of an entry instance at the target size, in both directions.
func BenchmarkDaemonTraffic(b *testing.B) {
	reports, _ := ReportRate(targetRate, 32, 1)
	flows := must[[]Flow](b)(InstanceFlows(reports))
	usual := Total(flows...)
	source := must[Flow](b)(SourceFlow(LocalInstances - 1))
	all := append(flows, source, SummaryFlow())
	all = append(all, HeartbeatFlows()...)
	for _, p := range all {
		sum := Total(p)
		fmt.Printf("%-26s %6.1f messages/s %8.0f payload B/s %8.0f wire B/s\n", p.Name, sum.Messages, sum.Payload, sum.Wire)
	}
	b.ReportMetric(usual.Wire, "usual-B/s")
	b.ReportMetric(usual.Wire+Total(source).Wire, "source-B/s")
	b.ReportMetric(usual.Wire+Total(SummaryFlow()).Wire, "representative-B/s")
	b.ReportMetric(usual.Wire+Total(source, SummaryFlow()).Wire, "lowest-B/s")
	b.ReportMetric(usual.Wire+Total(HeartbeatFlows()...).Wire, "usual-with-heartbeats-B/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkReportRate measures the rate of load reports of one engine at the target request rate, in virtual time.
func BenchmarkReportRate(b *testing.B) {
	for _, c := range []struct {
		name     string
		rate     float64
		capacity int
	}{{"idle", 0, 32}, {"target/capacity=16", targetRate, 16}, {"target/capacity=24", targetRate, 24}, {"target/capacity=32", targetRate, 32},
		{"half/capacity=32", targetRate / 2, 32}, {"target/capacity=64", targetRate, 64}} {
		b.Run(c.name, func(b *testing.B) {
			var reports, running float64
			for seed := range uint64(8) {
				r, n := ReportRate(c.rate, c.capacity, seed)
				reports, running = reports+r/8, running+n/8
			}
			b.ReportMetric(reports, "reports/s")
			b.ReportMetric(running, "running")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRejoin measures the cost until n agents have rejoined an entry instance that has restarted.
func BenchmarkRejoin(b *testing.B) {
	sweep(b, "agents", []int{3, 10, 30, 100, 300}, LocalEngines, func(b *testing.B, n int) map[string]float64 {
		r := must[RejoinCost](b)(Rejoin(n))
		return map[string]float64{"ms": float64(r.Duration.Milliseconds()), "cpu-ms": float64(r.CPUTime.Milliseconds()),
			"payload-B": r.Bytes}
	})
}
