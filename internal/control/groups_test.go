package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Guards against a group that gets as much work as healthy groups although one rank slows all of its ranks, and against a
// group that gets its full share at once when the rank has recovered.
func TestSlowRankLowersTheWeightOfItsGroup(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	sequence := uint64(0)
	report := func(rank int, step time.Duration) {
		sequence++
		h.applyLoad(fleet.Load{Server: fleet.ServerID(fmt.Sprintf("rank-%d", rank)), Incarnation: 1, Sequence: sequence,
			Limit: 8, StepTime: step, Phase: fleet.PhaseServing}, h.now)
	}
	for rank := range 4 {
		id := fmt.Sprintf("rank-%d", rank)
		session := &recordingSession{hello: protocol.Hello{Instance: fleet.InstanceID(id), Agent: true}}
		h.agents = append(h.agents, session)
		h.applyAnnouncement(session, fleet.Announcement{Server: fleet.ServerID(id), Incarnation: 1, DataCentre: "norte", Capacity: 8,
			Models: []fleet.Model{{Name: "model"}}, Group: "g", Rank: rank, Ranks: 4}, h.now)
		report(rank, 30*time.Millisecond)
	}
	weight := func() float64 { return h.view(h.now).Servers[0].Weight }
	h.run(10 * time.Second)
	is.Equal(weight(), 1.0)

	report(2, 90*time.Millisecond)
	h.run(8 * time.Second)
	slow := weight()
	is.True(slow < 0.6) // the slowest rank takes three times as long

	report(2, 30*time.Millisecond)
	h.run(2 * time.Second)
	is.True(weight() < 0.9) // not at once
	h.run(time.Minute)
	is.Equal(weight(), 1.0)

	h.sessionChanged(h.agents[1], transport.StateClosed, h.now)
	h.run(10 * time.Second)
	is.True(weight() < 0.1) // an unreachable rank stalls the group
}

// Guards against groups that get no work because their engines report no step times, and against an announcement whose
// rank is out of range.
func TestGroupsWithoutStepTimesCountAsHealthy(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.applyAnnouncement(h.agents[0], fleet.Announcement{Server: "engine-0", Incarnation: 2, DataCentre: "norte", Capacity: 8,
		Models: []fleet.Model{{Name: "model"}}, Group: "g", Rank: 9, Ranks: 4}, h.now)
	h.run(time.Minute)
	is.Equal(h.view(h.now).Servers[0].Weight, 1.0)
	h.applyAnnouncement(h.agents[0], fleet.Announcement{Server: "engine-0", Incarnation: 3, DataCentre: "norte", Capacity: 8,
		Models: []fleet.Model{{Name: "model"}}, Group: "g", Rank: 0, Ranks: 4}, h.now)
	h.run(time.Minute)
	is.Equal(h.view(h.now).Servers[0].Weight, 1.0)
}
