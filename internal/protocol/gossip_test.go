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

// messageOverhead is the bytes around one message: WebSocket frame, TLS record, TCP and IP headers.
const messageOverhead = 8 + 22 + 32 + 20

// controlBudget is the control plane's budget of one daemon in bytes a second.
const controlBudget = 28 << 10

// gossipTraffic counts what the members of one data centre send each other.
type gossipTraffic struct {
	nodes             map[fleet.InstanceID]*membership.Detector
	order             []fleet.InstanceID
	messages, bytes   int
	largest, removals int
}

func newGossip(members int, now time.Time) *gossipTraffic {
	g := &gossipTraffic{nodes: make(map[fleet.InstanceID]*membership.Detector)}
	for i := range members {
		id := fleet.InstanceID(fmt.Sprintf("ub-north-front-%03d", i))
		g.order = append(g.order, id)
		g.nodes[id] = membership.New(membership.Config{Self: id, Incarnation: 1_780_000_000, Address: fmt.Sprintf("10.20.30.%d:7070", i)},
			rand.New(rand.NewPCG(uint64(i), 7)), now)
	}
	for _, id := range g.order {
		g.deliver(now, id, g.nodes[id].Join(now, g.order[0], 1_780_000_000, "10.20.30.0:7070"))
	}
	return g
}

// deliver sends the messages of a step, and those that they cause, without delay.
func (g *gossipTraffic) deliver(now time.Time, from fleet.InstanceID, out membership.Output) {
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
		g.bytes += len(data) + messageOverhead
		g.largest = max(g.largest, len(data))
		if to := g.nodes[envelope.To]; to != nil {
			g.deliver(now, envelope.To, to.Receive(now, message))
		}
	}
}

// run advances the time by ticks of 250 ms and returns the time after it.
func (g *gossipTraffic) run(now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(250 * time.Millisecond)
		for _, id := range g.order {
			if x := g.nodes[id]; x != nil {
				g.deliver(now, id, x.Tick(now))
			}
		}
	}
	return now
}

// perDaemon returns bytes and messages that one daemon sends and receives in a second.
func (g *gossipTraffic) perDaemon(d time.Duration) (bytes, messages float64) {
	n := float64(len(g.order)) * d.Seconds()
	return 2 * float64(g.bytes) / n, 2 * float64(g.messages) / n
}

// Guards against membership traffic that does not fit in the budget of a daemon, in quiet times and while members fail.
func TestMembershipFitsInBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := newGossip(24, now)
	now = g.run(now, 30*time.Second)
	g.bytes, g.messages = 0, 0
	g.nodes[g.order[3]], g.nodes[g.order[4]] = nil, nil
	g.run(now, time.Minute)
	bytes, _ := g.perDaemon(time.Minute)
	is.True(bytes < controlBudget)
	is.Equal(g.removals, 2*22)
}

// BenchmarkMembership reports the bytes and messages that one daemon sends and receives in a second, over three quiet
// minutes of virtual time, and in the ten seconds after a tenth of the members fail.
func BenchmarkMembership(b *testing.B) {
	for _, members := range []int{3, 10, 30, 100, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			for b.Loop() {
				now := time.Unix(1000, 0)
				g := newGossip(members, now)
				now = g.run(now, time.Minute)
				g.bytes, g.messages = 0, 0
				now = g.run(now, 3*time.Minute)
				bytes, messages := g.perDaemon(3 * time.Minute)
				b.ReportMetric(bytes, "B/s")
				b.ReportMetric(messages, "messages/s")
				b.ReportMetric(float64(g.largest), "largest-B")
				if g.removals > 0 {
					b.Fatal("false removal")
				}
				for i := range max(members/10, 1) {
					g.nodes[g.order[i]] = nil
				}
				g.bytes = 0
				g.run(now, 10*time.Second)
				bytes, _ = g.perDaemon(10 * time.Second)
				b.ReportMetric(bytes, "failing-B/s")
			}
		})
	}
}

// BenchmarkControlTraffic reports the bytes that one daemon of the target size sends and receives in a second without
// membership: load reports of 300 agents every 2 s, and the summaries of 14 data centres with 8 targets. The busiest
// daemon passes on the summary of one other data centre to 23 members. Payload figures leave out headers.
func BenchmarkControlTraffic(b *testing.B) {
	load := fleet.Load{Server: "ub-north-engine-0123", Incarnation: 1_780_000_000, Sequence: 100_000, Running: 12, Limit: 32, KVUsed: 0.75,
		TimeToFirstToken: 300 * time.Millisecond, InterTokenLatency: 20 * time.Millisecond, StepTime: 18 * time.Millisecond, Phase: fleet.PhaseServing}
	var targets []fleet.Summary
	for i := range 8 {
		targets = append(targets, fleet.Summary{DataCentre: "ub-north", Kind: fleet.KindEngine, Name: fmt.Sprintf("sutra-model-%d", i),
			Servers: 50, Free: 700, FirstToken: 300 * time.Millisecond})
	}
	for b.Loop() {
		report, err := agreedEncoding.Marshal(&load)
		if err != nil {
			b.Fatal(err)
		}
		summary, err := agreedEncoding.Marshal(&Summary{Sequence: 100_000, Targets: targets})
		if err != nil {
			b.Fatal(err)
		}
		reports := 300 / 2 * (len(report) + messageOverhead)
		one := len(summary) + messageOverhead
		b.ReportMetric(float64(len(report)), "report-B")
		b.ReportMetric(float64(len(summary)), "summary-B")
		b.ReportMetric(float64(reports), "reports-B/s")
		b.ReportMetric(float64(reports+13*one), "usual-B/s")
		b.ReportMetric(float64(reports+13*one+23*one), "busiest-B/s")
		b.ReportMetric(float64(300/2*len(report)+(13+23)*len(summary)), "busiest-payload-B/s")
	}
}
