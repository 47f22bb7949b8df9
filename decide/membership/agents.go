package membership

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// maxAgents bounds the table of agents; the target size has 300 in a data centre.
const maxAgents = 4000

// agent is what this instance knows about the agent of one backend server. Every entry instance of the data centre has a
// session to every agent, so agents are not spread by gossip; others are asked only about a silent one.
type agent struct {
	boot      fleet.Incarnation
	heard     time.Time
	confirmed time.Time // when another entry instance heard it while we did not
	asked     time.Time
	condition Condition
	dead      bool
}

// AgentHeard notes a message of an agent. silence is how long ago the agent has heard from this instance, as its pings
// tell; 0 if it does not say.
func (d *Detector) AgentHeard(now time.Time, id fleet.ServerID, boot fleet.Incarnation, silence time.Duration) Output {
	var out Output
	d.forgivePause(now)
	a := d.agents[id]
	if a == nil {
		if len(d.agents) >= maxAgents {
			return out
		}
		a = &agent{boot: boot}
		d.agents[id] = a
		out.Changes = append(out.Changes, Change{Agent: id, Returned: true})
	} else if a.dead || boot > a.boot {
		out.Changes = append(out.Changes, Change{Agent: id, Returned: true})
	}
	if boot < a.boot {
		return out // a late message of an earlier process
	}
	gap := now.Sub(a.heard)
	a.boot, a.heard, a.dead = boot, now, false
	switch {
	case silence >= d.config.SuspectAfter:
		d.agentCondition(id, a, NotHearing, &out)
	case a.condition == Slow && gap > d.config.AgentInterval+d.config.SlowAfter:
		// stays slow until a report is on time
	default:
		d.agentCondition(id, a, Answering, &out)
	}
	return out
}

// AgentLeft forgets an agent that has said that it stops.
func (d *Detector) AgentLeft(id fleet.ServerID) { delete(d.agents, id) }

func (d *Detector) agentCondition(id fleet.ServerID, a *agent, c Condition, out *Output) {
	if a.condition != c {
		a.condition = c
		out.Changes = append(out.Changes, Change{Agent: id, Condition: c})
	}
}

// checkAgents judges agents by the time since their last message.
func (d *Detector) checkAgents(now time.Time, out *Output) {
	slowAfter := d.config.AgentInterval + d.config.SlowAfter
	silentAfter := d.config.AgentInterval + d.config.SuspectAfter
	for _, id := range sortedAgents(d.agents) {
		a := d.agents[id]
		silent := now.Sub(a.heard)
		switch {
		case a.dead:
			if silent > d.config.ForgetAfter {
				delete(d.agents, id)
			}
			continue
		case silent <= slowAfter:
			continue
		case silent <= silentAfter:
			if !a.condition.OneWay() {
				d.agentCondition(id, a, Slow, out)
			}
			continue
		}
		if now.Sub(a.asked) > d.config.AgentInterval {
			a.asked = now
			for _, helper := range d.pick(d.config.Fanout, "") {
				d.send(helper, Message{Kind: ProbeRequest, Target: fleet.InstanceID(id), Agent: true}, out)
			}
		}
		switch {
		case now.Sub(a.confirmed) <= silentAfter:
			d.agentCondition(id, a, NotHeard, out)
		case silent > silentAfter+d.config.DeadAfter:
			a.dead = true
			a.condition = Silent
			out.Changes = append(out.Changes, Change{Agent: id, State: Dead, Condition: Silent, Removed: true})
		case now.Sub(a.asked) > d.config.SlowAfter || a.condition == Silent:
			d.agentCondition(id, a, Silent, out)
		}
	}
}

func sortedAgents(agents map[fleet.ServerID]*agent) []fleet.ServerID {
	ids := make([]fleet.ServerID, 0, len(agents))
	for id := range agents {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// AgentCondition returns the condition of an agent; ok is false if it is unknown or dead.
func (d *Detector) AgentCondition(id fleet.ServerID) (c Condition, ok bool) {
	a := d.agents[id]
	if a == nil || a.dead {
		return Silent, false
	}
	return a.condition, true
}
