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

// followsPerSec is how often a follower asks its source: agreement.tickInterval.
const followsPerSec = 2

// changesPerSec is the rate of configuration changes at the target.
const changesPerSec = float64(ChangesPerDay) / secondsPerDay

// SourcePart returns the traffic of an instance with the followers.
func SourcePart(followers int) (Part, error) {
	s, err := NewSource(followers, Engines)
	if err != nil {
		return Part{}, err
	}
	defer s.Close()
	answers := s.Poll()
	change, err := s.Change()
	return Part{"agreed state to followers", requested(followers).Each(followsPerSec),
		answers.Each(followsPerSec).Sum(change.Each(changesPerSec))}, err
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
	one, err := SourcePart(1)
	follower := Part{"agreed state", one.Out, one.In}
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
