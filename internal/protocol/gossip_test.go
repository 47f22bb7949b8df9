package protocol

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/membership"
)

// messageOverheadBytes is the overhead of one message: WebSocket frame, TLS record, TCP and IP headers.
const messageOverheadBytes = 8 + 22 + 32 + 20

// controlBudgetBytesPerSecond is the traffic budget of one entry instance for the control plane.
const controlBudgetBytesPerSecond = 28 << 10

// gossipSimulation runs the failure detectors of one data centre and counts the messages between them.
type gossipSimulation struct {
	detectors              map[fleet.InstanceID]*membership.Detector
	order                  []fleet.InstanceID
	messages, bytes        int
	largestBytes, removals int
}

func newGossipSimulation(members int, now time.Time) *gossipSimulation {
	g := &gossipSimulation{detectors: make(map[fleet.InstanceID]*membership.Detector)}
	for i := range members {
		id := fleet.InstanceID(fmt.Sprintf("ub-north-front-%03d", i))
		g.order = append(g.order, id)
		g.detectors[id] = membership.New(membership.Config{Self: id, Incarnation: 1_780_000_000, Address: fmt.Sprintf("10.20.30.%d:7070", i)},
			rand.New(rand.NewPCG(uint64(i), 7)), now)
	}
	for _, id := range g.order {
		g.deliver(now, id, g.detectors[id].Join(now, g.order[0], 1_780_000_000, "10.20.30.0:7070"))
	}
	return g
}

// deliver delivers the messages of an output, and those that they cause, without delay.
func (g *gossipSimulation) deliver(now time.Time, from fleet.InstanceID, out membership.Output) {
	for _, c := range out.Changes {
		if c.Removed {
			g.removals++
		}
	}
	for _, envelope := range out.Send {
		data, err := EncodeGossip(&envelope.Message)
		if err != nil {
			panic(err)
		}
		message, err := DecodeGossip(data)
		if err != nil {
			panic(err)
		}
		g.messages++
		g.bytes += len(data) + messageOverheadBytes
		g.largestBytes = max(g.largestBytes, len(data))
		if to := g.detectors[envelope.To]; to != nil {
			g.deliver(now, envelope.To, to.Receive(now, message))
		}
	}
}

// run advances the time by d in ticks of 250 ms and returns the new time.
func (g *gossipSimulation) run(now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(250 * time.Millisecond)
		for _, id := range g.order {
			if detector := g.detectors[id]; detector != nil {
				g.deliver(now, id, detector.Tick(now))
			}
		}
	}
	return now
}

// trafficPerSecond returns the bytes and messages that one entry instance sends and receives per second, over a run of d.
func (g *gossipSimulation) trafficPerSecond(d time.Duration) (bytes, messages float64) {
	n := float64(len(g.order)) * d.Seconds()
	return 2 * float64(g.bytes) / n, 2 * float64(g.messages) / n
}

// Guards against membership traffic that exceeds the budget of an entry instance, with and without failing members.
func TestMembershipFitsInBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := newGossipSimulation(24, now)
	now = g.run(now, 30*time.Second)
	g.bytes, g.messages = 0, 0
	g.detectors[g.order[3]], g.detectors[g.order[4]] = nil, nil
	g.run(now, time.Minute)
	bytes, _ := g.trafficPerSecond(time.Minute)
	is.True(bytes < controlBudgetBytesPerSecond)
	is.Equal(g.removals, 2*22)
}

// BenchmarkMembership reports the bytes and messages that one entry instance sends and receives per second, over three
// minutes of virtual time without failures, and in the ten seconds after a tenth of the members fail.
func BenchmarkMembership(b *testing.B) {
	for _, members := range []int{3, 10, 30, 100, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			for b.Loop() {
				now := time.Unix(1000, 0)
				g := newGossipSimulation(members, now)
				now = g.run(now, time.Minute)
				g.bytes, g.messages = 0, 0
				now = g.run(now, 3*time.Minute)
				bytes, messages := g.trafficPerSecond(3 * time.Minute)
				b.ReportMetric(bytes, "B/s")
				b.ReportMetric(messages, "messages/s")
				b.ReportMetric(float64(g.largestBytes), "largest-B")
				if g.removals > 0 {
					b.Fatal("false removal")
				}
				for i := range max(members/10, 1) {
					g.detectors[g.order[i]] = nil
				}
				g.bytes = 0
				g.run(now, 10*time.Second)
				bytes, _ = g.trafficPerSecond(10 * time.Second)
				b.ReportMetric(bytes, "failing-B/s")
			}
		})
	}
}

// BenchmarkControlTraffic reports the bytes that one entry instance sends and receives per second at the target size,
// without membership messages: load reports of 300 agents every 2 s, and the summaries of 14 data centres with 8 targets.
// The busiest entry instance forwards the summary of one other data centre to 23 members. Payload figures exclude headers.
func BenchmarkControlTraffic(b *testing.B) {
	load := fleet.Load{Server: "ub-north-engine-0123", Incarnation: 1_780_000_000, Sequence: 100_000, Running: 12, Limit: 32, KVUsed: 0.75,
		TimeToFirstToken: 300 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, StepTime: 18 * time.Millisecond, Phase: fleet.PhaseServing}
	var targets []fleet.Summary
	for i := range 8 {
		targets = append(targets, fleet.Summary{DataCentre: "ub-north", Kind: fleet.KindEngine, Name: fmt.Sprintf("sutra-model-%d", i),
			Servers: 50, Free: 700, FirstToken: 300 * time.Millisecond})
	}
	for b.Loop() {
		report, err := agreedEncMode.Marshal(&load)
		if err != nil {
			b.Fatal(err)
		}
		summary, err := agreedEncMode.Marshal(&Summary{Sequence: 100_000, Targets: targets})
		if err != nil {
			b.Fatal(err)
		}
		reports := 300 / 2 * (len(report) + messageOverheadBytes)
		one := len(summary) + messageOverheadBytes
		b.ReportMetric(float64(len(report)), "report-B")
		b.ReportMetric(float64(len(summary)), "summary-B")
		b.ReportMetric(float64(reports), "reports-B/s")
		b.ReportMetric(float64(reports+13*one), "usual-B/s")
		b.ReportMetric(float64(reports+13*one+23*one), "busiest-B/s")
		b.ReportMetric(float64(300/2*len(report)+(13+23)*len(summary)), "busiest-payload-B/s")
	}
}
