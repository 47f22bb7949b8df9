package capacity

import (
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Flow is one kind of control traffic of an entry instance, per second.
type Flow struct {
	Name    string
	In, Out Traffic
}

// followerRequestsPerSec is the request rate of a follower to its source; corresponds to agreement.tickInterval.
const followerRequestsPerSec = 2

// changesPerSec is the rate of configuration changes at the target.
const changesPerSec = float64(ChangesPerDay) / secondsPerDay

// SourceFlow returns the traffic of an instance with n followers of the agreed state.
func SourceFlow(followers int) (Flow, error) {
	s, err := NewSource(followers, Engines)
	if err != nil {
		return Flow{}, err
	}
	defer s.Close()
	answers := s.Poll()
	change, err := s.Change()
	return Flow{"agreed state to followers", requestTraffic(followers).Times(followerRequestsPerSec),
		answers.Times(followerRequestsPerSec).Plus(change.Times(changesPerSec))}, err
}

// Rates of the control messages of an entry instance at the target size, as the packages send them.
const (
	// rosterRefreshesPerSec is the rate of roster refreshes to each agent; corresponds to control.rosterInterval.
	rosterRefreshesPerSec = 1.0 / 300
	// rostersPerChange is the number of agents that receive a roster after an agreed change. A change that withdraws a server
	// affects one agent; BenchmarkRoster shows that the others receive none.
	rostersPerChange = 1
	// summariesPerSec is the rate of unchanged summaries to each other data centre; corresponds to control.summaryRefresh.
	summariesPerSec = 1.0 / 4
	// peerSessions is the number of sessions with other instances: within the data centre both sides dial, and each
	// instance dials five voters.
	peerSessions = 2*(LocalInstances-1) + 5
)

// heartbeats returns the traffic of the accepting side of n idle sessions. The dialling side sends the pings.
func heartbeats(name string, n float64) Flow {
	p := Flow{Name: name}
	p.In.Add(n, FrameBytes(&protocol.Ping{Sequence: 40_000, SilenceMS: 1000}), true)
	p.Out.Add(n, FrameBytes(&protocol.Pong{Sequence: 40_000}), false)
	return p
}

// InstanceFlows returns the control traffic of an entry instance without followers. reports is the rate of load reports
// per second of one agent.
func InstanceFlows(reports float64) ([]Flow, error) {
	loadReports := Flow{Name: "load reports"}
	loadReports.In.Add(LocalEngines*reports, FrameBytes(&protocol.Load{Load: Load(1, 40_000)}), true)
	rosters := Flow{Name: "rosters"}
	rosters.Out.Add(LocalEngines*rosterRefreshesPerSec+rostersPerChange*changesPerSec, FrameBytes(Roster(LocalInstances)), false)
	members, err := NewMembers(LocalInstances, 1)
	if err != nil {
		return nil, err
	}
	gossip, err := members.Sent(30 * time.Second)
	if err != nil {
		return nil, err
	}
	source, err := SourceFlow(1)
	agreedState := Flow{"agreed state", source.Out, source.In}
	return []Flow{loadReports, rosters, {"membership", gossip, gossip}, agreedState}, err
}

// HeartbeatFlows returns the heartbeat traffic of an entry instance.
func HeartbeatFlows() []Flow {
	return []Flow{heartbeats("heartbeats of agents", LocalEngines), heartbeats("heartbeats of instances", peerSessions)}
}

// SummaryFlow returns the summaries that the representative of a data centre exchanges with the other data centres.
func SummaryFlow() Flow {
	p := Flow{Name: "summaries"}
	size := FrameBytes(&protocol.Summary{Targets: Summaries()})
	p.In.Add((DataCentres-1)*summariesPerSec, size, true)
	p.Out.Add((DataCentres-1)*summariesPerSec, size, false)
	return p
}

// Total returns the sum of all flows in both directions.
func Total(flows ...Flow) (sum Traffic) {
	for _, p := range flows {
		sum = sum.Plus(p.In).Plus(p.Out)
	}
	return sum
}
