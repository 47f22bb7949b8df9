package bootstrap

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// node is a simulated voter. members is the member list in its folder, nil before it belongs to a group.
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

// Guards against forming two agreement groups while reports are lost, delayed and duplicated and a voter loses its folder at
// a random time. The first version failed within the first 2,000 seeds: a coordinator that lost its folder formed a second
// group on a delayed report of a voter that had meanwhile adopted the first list.
func TestFoundingNeverFormsTwoGroups(t *testing.T) {
	instances := []fleet.InstanceID{"a", "b", "c"}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nextID := uint64(0)
		newNode := func(instance fleet.InstanceID) *node {
			nextID++
			self := Member{Instance: instance, ID: nextID}
			return &node{voter: NewVoter(self, instances), self: self}
		}
		nodes := []*node{newNode("a"), newNode("b"), newNode("c")}
		failed, lostAt := rng.IntN(3), rng.IntN(40)
		now := time.Unix(0, 0)
		var groups [][]Member // lists that a majority of their members held at the same time
		var inFlight []Report
		for round := range 60 {
			now = now.Add(time.Second)
			if round == lostAt {
				nodes[failed] = newNode(instances[failed])
			}
			for _, n := range nodes {
				if rng.IntN(3) > 0 {
					inFlight = append(inFlight, n.report())
				}
			}
			for _, n := range nodes {
				for _, r := range inFlight {
					if rng.IntN(2) == 0 {
						n.voter.ReceiveReport(now, r)
					}
				}
			}
			inFlight = inFlight[max(0, len(inFlight)-3):] // some reports arrive one round later
			for _, n := range nodes {
				if n.members != nil {
					continue
				}
				switch step, members := n.voter.NextStep(now); step {
				case FormGroup:
					n.members = members
				case RenewID:
					*n = *newNode(n.self.Instance)
				}
			}
			groups = addGroups(groups, nodes)
		}
		if len(groups) > 1 {
			t.Fatalf("seed %d: groups %v", seed, groups)
		}
	}
}

// addGroups appends the member lists that a majority of their members currently hold.
func addGroups(groups [][]Member, nodes []*node) [][]Member {
	for _, n := range nodes {
		count := 0
		for _, other := range nodes {
			if n.members != nil && slices.Equal(n.members, other.members) {
				count++
			}
		}
		known := slices.ContainsFunc(groups, func(g []Member) bool { return slices.Equal(g, n.members) })
		if count > len(nodes)/2 && !known {
			groups = append(groups, n.members)
		}
	}
	return groups
}

// Guards against a bootstrap that never completes although all voters are running.
func TestFoundingCompletesWhenAllVotersReport(t *testing.T) {
	is := is.New(t)
	instances := []fleet.InstanceID{"b", "a"}
	a := NewVoter(Member{Instance: "a", ID: 1}, instances)
	b := NewVoter(Member{Instance: "b", ID: 2}, instances)
	now := time.Unix(0, 0)
	step, _ := a.NextStep(now)
	is.Equal(step, Wait)
	b.ReceiveReport(now, a.Report())
	a.ReceiveReport(now, b.Report())
	step, members := a.NextStep(now)
	is.Equal(step, FormGroup)
	b.ReceiveReport(now, Report{Self: a.self, Founded: true, Members: members})
	step, _ = b.NextStep(now)
	is.Equal(step, FormGroup)
	replacement := NewVoter(Member{Instance: "b", ID: 3}, instances)
	replacement.ReceiveReport(now, Report{Self: a.self, Founded: true, Members: members})
	step, _ = replacement.NextStep(now)
	is.Equal(step, JoinGroup)
}
