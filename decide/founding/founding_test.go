package founding

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// node is a voter in the test: its folder, and what it has founded.
type node struct {
	voter   *Voter
	self    Member
	members []Member
}

func (n *node) report() Report {
	r := n.voter.Report()
	r.Founded, r.Members = n.members != nil, n.members
	return r
}

// Guards against two agreement groups while reports are lost and repeated late, and a voter loses its folder at a random
// moment. The first version failed within the first 2,000 seeds: a decider that lost its folder founded a second group on a late report
// of a voter that had meanwhile taken over the first list.
func TestFoundingNeverMakesTwoGroups(t *testing.T) {
	instances := []fleet.InstanceID{"a", "b", "c"}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nextID := uint64(0)
		start := func(instance fleet.InstanceID) *node {
			nextID++
			self := Member{Instance: instance, ID: nextID}
			return &node{voter: NewVoter(self, instances), self: self}
		}
		nodes := []*node{start("a"), start("b"), start("c")}
		loser, lostAt := rng.IntN(3), rng.IntN(40)
		now := time.Unix(0, 0)
		var groups [][]Member // lists that a majority of their members held at the same time
		var inFlight []Report
		for round := range 60 {
			now = now.Add(time.Second)
			if round == lostAt {
				nodes[loser] = start(instances[loser])
			}
			for _, n := range nodes {
				if rng.IntN(3) > 0 {
					inFlight = append(inFlight, n.report())
				}
			}
			for _, n := range nodes {
				for _, r := range inFlight {
					if rng.IntN(2) == 0 {
						n.voter.Heard(now, r)
					}
				}
			}
			inFlight = inFlight[max(0, len(inFlight)-3):] // some reports arrive a round late
			for _, n := range nodes {
				if n.members != nil {
					continue
				}
				switch step, members := n.voter.Next(now); step {
				case Found:
					n.members = members
				case Renew:
					*n = *start(n.self.Instance)
				}
			}
			groups = addGroups(groups, nodes)
		}
		if len(groups) > 1 {
			t.Fatalf("seed %d: groups %v", seed, groups)
		}
	}
}

// addGroups adds the lists that a majority of their members hold now.
func addGroups(groups [][]Member, nodes []*node) [][]Member {
	for _, n := range nodes {
		holders := 0
		for _, other := range nodes {
			if n.members != nil && slices.Equal(n.members, other.members) {
				holders++
			}
		}
		known := slices.ContainsFunc(groups, func(g []Member) bool { return slices.Equal(g, n.members) })
		if holders > len(nodes)/2 && !known {
			groups = append(groups, n.members)
		}
	}
	return groups
}

// Guards against a founding that never ends when all voters are up.
func TestFoundingEndsWhenAllVotersAreHeard(t *testing.T) {
	is := is.New(t)
	instances := []fleet.InstanceID{"b", "a"}
	a := NewVoter(Member{Instance: "a", ID: 1}, instances)
	b := NewVoter(Member{Instance: "b", ID: 2}, instances)
	now := time.Unix(0, 0)
	step, _ := a.Next(now)
	is.Equal(step, Wait)
	b.Heard(now, a.Report())
	a.Heard(now, b.Report())
	step, members := a.Next(now)
	is.Equal(step, Found)
	b.Heard(now, Report{Self: a.self, Founded: true, Members: members})
	step, _ = b.Next(now)
	is.Equal(step, Found)
	lost := NewVoter(Member{Instance: "b", ID: 3}, instances)
	lost.Heard(now, Report{Self: a.self, Founded: true, Members: members})
	step, _ = lost.Next(now)
	is.Equal(step, Join)
}
