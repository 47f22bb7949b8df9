package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/controlstate"
)

// settle applies the assignments until none changes, and returns the state and the number of rounds.
func settle(t *testing.T, s controlstate.State, groups []string, instances []Instance) (controlstate.State, int) {
	t.Helper()
	for round := range 100 {
		changes := Next(s.Coordinators, groups, instances, true)
		if len(changes) == 0 {
			return s, round
		}
		s, _ = s.Apply(s.Index+uint64(round)+1, controlstate.Command{Coordinate: changes})
	}
	t.Fatalf("assignments keep changing: %v", s.Coordinators)
	return s, 0
}

func instancesAt(addresses ...string) []Instance {
	var out []Instance
	for i, a := range addresses {
		out = append(out, Instance{Address: a, DataCentre: fmt.Sprint("dc", i%3), Leads: i == 0})
	}
	return out
}

// Guards against one instance that coordinates all groups, which its processor cannot carry at 192 engines.
func TestGroupsAreSpread(t *testing.T) {
	is := is.New(t)
	s, rounds := settle(t, controlstate.State{}, []string{"g1", "g2", "g3"}, instancesAt("a", "b", "c", "d", "e"))
	is.Equal(rounds, 1)
	coordinators := map[string]int{}
	for _, c := range s.Coordinators {
		coordinators[c.Instance]++
		is.True(c.Deputy != "" && c.Deputy != c.Instance)
	}
	is.Equal(len(coordinators), 3)
	is.Equal(coordinators["a"], 0) // the leader has other work
}

// Guards against a successor without the state of the group while the deputy has it.
func TestDeputySucceedsLostCoordinator(t *testing.T) {
	is := is.New(t)
	s, _ := settle(t, controlstate.State{}, []string{"g"}, instancesAt("a", "b", "c"))
	before := s.Coordinators[0]
	var rest []Instance
	for _, i := range instancesAt("a", "b", "c") {
		if i.Address != before.Instance {
			rest = append(rest, i)
		}
	}
	s, _ = settle(t, s, []string{"g"}, rest)
	is.Equal(s.Coordinators[0].Instance, before.Deputy)
	is.True(s.Coordinators[0].Deputy != before.Instance)
}

// Guards against groups without a coordinator or deputy that answers, against uneven shares, and against assignments that
// keep changing, as instances fail and return and groups come and go.
func TestAssignmentsUnderFailures(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		all := instancesAt("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")[:2+random.IntN(11)]
		s := controlstate.State{}
		for range 20 {
			var alive []Instance
			for _, i := range all {
				if random.IntN(3) > 0 {
					i.Leads = len(alive) == 0
					alive = append(alive, i)
				}
			}
			var groups []string
			for g := range random.IntN(17) {
				groups = append(groups, fmt.Sprint("group", g))
			}
			s, _ = settle(t, s, groups, alive)
			if len(alive) == 0 {
				continue
			}
			if len(s.Coordinators) != len(groups) {
				t.Fatalf("seed %d: %d groups, %d assignments", seed, len(groups), len(s.Coordinators))
			}
			shares, cost := map[string]int{}, map[string]int{alive[0].Address: leaderCost}
			for _, c := range s.Coordinators {
				shares[c.Instance]++
				cost[c.Instance] += coordinatorCost
				cost[c.Deputy] += deputyCost
			}
			mean := float64(len(groups)*(coordinatorCost+deputyCost)+leaderCost) / float64(len(alive))
			answers := map[string]bool{"": len(alive) == 1}
			for _, i := range alive {
				answers[i.Address] = true
				if shares[i.Address] > 0 && float64(cost[i.Address]) > mean+maxCostDifference {
					t.Fatalf("seed %d: %s coordinates %d of %d groups at cost %d, mean %.1f", seed, i.Address, shares[i.Address], len(groups), cost[i.Address], mean)
				}
			}
			for _, c := range s.Coordinators {
				if !answers[c.Instance] || c.Instance == "" || !answers[c.Deputy] || c.Deputy == c.Instance {
					t.Fatalf("seed %d: %+v, alive %v", seed, c, alive)
				}
			}
		}
	}
}
