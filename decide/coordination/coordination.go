// Package coordination decides which control instance coordinates each lock-step group, that is, receives the reports of
// its ranks and changes its expert maps. The groups are spread over the instances, so that the work of each instance
// depends on its share of the groups and not on the size of the fleet. The assignments are agreed on in the replicated log;
// an assignment's log index fences the changes of earlier coordinators.
package coordination

import (
	"cmp"
	"slices"

	"github.com/banyanfront/banyanfront/decide/controlstate"
)

// Instance is a control instance that answers.
type Instance struct {
	Address    string
	DataCentre string
	Leads      bool // leads the agreement group, which is work too
}

// Costs of an instance's duties, relative to each other. A deputy receives reports without the demand and sends no orders.
const (
	coordinatorCost = 2
	deputyCost      = 1
	leaderCost      = 2
	// maxCostDifference is the difference between two instances above which a group moves: a move interrupts the changes of
	// the group for about a second.
	maxCostDifference = 3
)

// planner is the state of one decision.
type planner struct {
	instances map[string]Instance
	cost      map[string]int // by address
	current   map[string]controlstate.Coordinator
	changes   []controlstate.Coordinator
}

// Next returns the assignments that change, none if all is well. groups are the groups that report, instances the ones that
// answer. A deputy succeeds a lost coordinator, as it has the state of the group. If removeUnknown is set, assignments of
// other groups are removed.
func Next(current []controlstate.Coordinator, groups []string, instances []Instance, removeUnknown bool) []controlstate.Coordinator {
	p := planner{instances: map[string]Instance{}, cost: map[string]int{}, current: map[string]controlstate.Coordinator{}}
	for _, i := range instances {
		p.instances[i.Address] = i
		if i.Leads {
			p.cost[i.Address] = leaderCost
		}
	}
	for _, c := range current {
		p.current[c.Group] = c
		p.cost[c.Instance] += coordinatorCost
		p.cost[c.Deputy] += deputyCost
	}
	for _, group := range slices.Sorted(slices.Values(groups)) {
		p.assign(group)
	}
	if removeUnknown {
		for _, c := range current {
			if !slices.Contains(groups, c.Group) {
				p.changes = append(p.changes, controlstate.Coordinator{Group: c.Group})
			}
		}
	}
	if len(p.changes) == 0 {
		p.rebalance(groups)
	}
	return p.changes
}

// answers reports whether the instance at an address answers.
func (p *planner) answers(address string) bool {
	_, ok := p.instances[address]
	return ok
}

// assign replaces the coordinator and the deputy of a group where they do not answer.
func (p *planner) assign(group string) {
	next := p.current[group]
	next.Group = group
	if !p.answers(next.Instance) {
		next.Instance = ""
		if p.answers(next.Deputy) {
			next.Instance, next.Deputy = next.Deputy, ""
		} else {
			next.Instance = p.cheapest("", "")
		}
	}
	if next.Instance == "" {
		return // no instance answers
	}
	if !p.answers(next.Deputy) || next.Deputy == next.Instance {
		next.Deputy = p.cheapest(next.Instance, p.instances[next.Instance].DataCentre)
	}
	p.change(next)
}

// change records an assignment if it differs from the current one.
func (p *planner) change(next controlstate.Coordinator) {
	before := p.current[next.Group]
	if next.Instance == before.Instance && next.Deputy == before.Deputy {
		return
	}
	p.cost[before.Instance] -= coordinatorCost
	p.cost[before.Deputy] -= deputyCost
	p.cost[next.Instance] += coordinatorCost
	p.cost[next.Deputy] += deputyCost
	p.current[next.Group] = next
	p.changes = append(p.changes, next)
}

// cheapest returns the instance with the lowest cost other than the excluded one, "" if there is none. Instances outside the
// given data centre are preferred.
func (p *planner) cheapest(excluded, avoidedDataCentre string) string {
	var candidates []Instance
	for _, i := range p.instances {
		if i.Address != excluded {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	sameDataCentre := func(i Instance) int {
		if avoidedDataCentre != "" && i.DataCentre == avoidedDataCentre {
			return 1
		}
		return 0
	}
	return slices.MinFunc(candidates, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(sameDataCentre(a), sameDataCentre(b)), cmp.Compare(p.cost[a.Address], p.cost[b.Address]),
			cmp.Compare(a.Address, b.Address))
	}).Address
}

// rebalance moves one group from an instance to the cheapest one if their costs differ by too much.
func (p *planner) rebalance(groups []string) {
	target := p.cheapest("", "")
	for _, group := range slices.Sorted(slices.Values(groups)) {
		c := p.current[group]
		if c.Instance == "" || c.Instance == target || p.cost[c.Instance]-p.cost[target] <= maxCostDifference {
			continue
		}
		if c.Deputy == target {
			c.Deputy = c.Instance
		}
		c.Instance = target
		p.change(c)
		return
	}
}
