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

// Guards against a group that gets as much work as its healthy peers although one rank slows all of them, and against one
// that is flooded at once when the rank has recovered.
func TestSlowRankLowersTheWeightOfItsGroup(t *testing.T) {
	is := is.New(t)
	b := newBench(0)
	sequence := uint64(0)
	report := func(rank int, step time.Duration) {
		sequence++
		b.loaded(fleet.Load{Server: fleet.ServerID(fmt.Sprintf("rank-%d", rank)), Incarnation: 1, Sequence: sequence,
			Limit: 8, StepTime: step, Phase: fleet.PhaseServing}, b.now)
	}
	for rank := range 4 {
		id := fmt.Sprintf("rank-%d", rank)
		l := &line{hello: protocol.Hello{Instance: fleet.InstanceID(id), Agent: true}}
		b.agents = append(b.agents, l)
		b.announced(l, fleet.Announcement{Server: fleet.ServerID(id), Incarnation: 1, DataCentre: "norte", Capacity: 8,
			Models: []fleet.Model{{Name: "model"}}, Group: "g", Rank: rank, Ranks: 4}, b.now)
		report(rank, 30*time.Millisecond)
	}
	weight := func() float64 { return b.view(b.now).Servers[0].Weight }
	b.run(10 * time.Second)
	is.Equal(weight(), 1.0)

	report(2, 90*time.Millisecond)
	b.run(8 * time.Second)
	slow := weight()
	is.True(slow < 0.6) // the slowest rank takes three times as long

	report(2, 30*time.Millisecond)
	b.run(2 * time.Second)
	is.True(weight() < 0.9) // not at once
	b.run(time.Minute)
	is.Equal(weight(), 1.0)

	b.sessionChanged(b.agents[1], transport.StateClosed, b.now)
	b.run(10 * time.Second)
	is.True(weight() < 0.1) // a rank that cannot be reached stalls the group
}

// Guards against groups that never get work because their engines report no step times, and against an announcement
// whose rank does not exist.
func TestGroupsWithoutStepTimesCountAsHealthy(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.announced(b.agents[0], fleet.Announcement{Server: "engine-0", Incarnation: 2, DataCentre: "norte", Capacity: 8,
		Models: []fleet.Model{{Name: "model"}}, Group: "g", Rank: 9, Ranks: 4}, b.now)
	b.run(time.Minute)
	is.Equal(b.view(b.now).Servers[0].Weight, 1.0)
	b.announced(b.agents[0], fleet.Announcement{Server: "engine-0", Incarnation: 3, DataCentre: "norte", Capacity: 8,
		Models: []fleet.Model{{Name: "model"}}, Group: "g", Rank: 0, Ranks: 4}, b.now)
	b.run(time.Minute)
	is.Equal(b.view(b.now).Servers[0].Weight, 1.0)
}
