package capacity

import (
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Part is one kind of control traffic of a daemon, in a second.
type Part struct {
	Name    string
	In, Out Traffic
}

// sizes of the messages that a follower of the agreed state and its source exchange.
func followerTraffic() (request, answer, change Traffic, err error) {
	request.Add(1, Frame(&protocol.State{Request: true, Index: 1_000_000}), true)
	answer.Add(1, Frame(&protocol.State{From: 1_000_000, Index: 1_000_000}), false)
	encoded, err := protocol.EncodeChange(Change())
	change.Add(1, Frame(&protocol.State{From: 1_000_000, Index: 1_000_001, Entries: [][]byte{encoded}}), false)
	return request, answer, change, err
}

// followInterval is how often a follower asks its source, agreement.tickInterval.
const followsPerSec = 2

// changesPerSec is the rate of configuration changes at the target.
const changesPerSec = float64(ChangesPerDay) / secondsPerDay

// FollowerParts returns the traffic of a daemon that follows another one, and of the one that the others of its data
// centre follow.
func FollowerParts(followers int) (follower, source Part, err error) {
	request, answer, change, err := followerTraffic()
	follower = Part{"agreed state", answer.Each(followsPerSec).Sum(change.Each(changesPerSec)), request.Each(followsPerSec)}
	n := float64(followers)
	source = Part{"agreed state to followers", follower.Out.Each(n), follower.In.Each(n)}
	return follower, source, err
}

// Rates of the messages that a daemon of the target size exchanges for control, as the packages send them.
const (
	// rosterRepeats is how often a roster is repeated to each agent: control.rosterInterval.
	rosterRepeats = 1.0 / 300
	// rostersPerChange is the number of agents that an agreed change concerns. One that withdraws a server concerns one;
	// BenchmarkRoster shows that the others get none.
	rostersPerChange = 1
	// summariesPerSec is the rate to each other data centre without news: control.summaryRefresh.
	summariesPerSec = 1.0 / 4
	// peerSessions are the sessions to other instances: both sides dial inside the data centre, and each daemon dials
	// five voters.
	peerSessions = 2*(LocalInstances-1) + 5
)

// heartbeats returns what the accepting side of n idle sessions receives and sends. The ping comes from the dialling
// side.
func heartbeats(name string, n float64) Part {
	p := Part{Name: name}
	p.In.Add(n, Frame(&protocol.Ping{Sequence: 40_000, SilenceMS: 1000}), true)
	p.Out.Add(n, Frame(&protocol.Pong{Sequence: 40_000}), false)
	return p
}

// DaemonParts returns the control traffic of an entry instance that no other one follows, at a rate of load reports of
// one agent.
func DaemonParts(reports float64) ([]Part, error) {
	load := Part{Name: "load reports"}
	load.In.Add(LocalEngines*reports, Frame(&protocol.Load{Load: Load(1, 40_000)}), true)
	rosters := Part{Name: "rosters"}
	rosters.Out.Add(LocalEngines*rosterRepeats+rostersPerChange*changesPerSec, Frame(Roster(LocalInstances)), false)
	members, err := NewMembers(LocalInstances, 1)
	if err != nil {
		return nil, err
	}
	gossip, err := members.Sent(30 * time.Second)
	if err != nil {
		return nil, err
	}
	follower, _, err := FollowerParts(0)
	return []Part{load, rosters, {"membership", gossip, gossip}, follower}, err
}

// HeartbeatParts returns the heartbeats of an entry instance.
func HeartbeatParts() []Part {
	return []Part{heartbeats("heartbeats of agents", LocalEngines), heartbeats("heartbeats of instances", peerSessions)}
}

// SummaryPart returns what the instance that represents its data centre exchanges with the other data centres.
func SummaryPart() Part {
	p := Part{Name: "summaries"}
	size := Frame(&protocol.Summary{Targets: Summaries()})
	p.In.Add((DataCentres-1)*summariesPerSec, size, true)
	p.Out.Add((DataCentres-1)*summariesPerSec, size, false)
	return p
}

// Total returns the sum of both directions.
func Total(parts ...Part) (sum Traffic) {
	for _, p := range parts {
		sum = sum.Sum(p.In).Sum(p.Out)
	}
	return sum
}
