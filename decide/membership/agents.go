package membership

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// maxAgents bounds the table of agents; the target size has 300 in a data centre.
const maxAgents = 4000

// agent is this instance's record of the agent of one backend server. Every entry instance of the data centre has a
// session to every agent, so the state of agents is not gossiped; other instances are asked only about a silent agent.
type agent struct {
	incarnation       fleet.Incarnation
	lastReceived      time.Time
	confirmedAt       time.Time // last time that another entry instance reported receiving from it while we did not
	probesRequestedAt time.Time
	condition         Condition
	dead              bool
}

// AgentMessageReceived records a message from an agent. sinceReceived is the time since the agent last received a message
// from this instance, as reported in its pings; 0 if not reported.
func (d *Detector) AgentMessageReceived(now time.Time, id fleet.ServerID, incarnation fleet.Incarnation, sinceReceived time.Duration) Output {
	var out Output
	d.compensatePause(now)
	a := d.agents[id]
	if a == nil {
		if len(d.agents) >= maxAgents {
			return out
		}
		a = &agent{incarnation: incarnation}
		d.agents[id] = a
		out.Changes = append(out.Changes, Change{Agent: id, Returned: true})
	} else if a.dead || incarnation > a.incarnation {
		out.Changes = append(out.Changes, Change{Agent: id, Returned: true})
	}
	if incarnation < a.incarnation {
		return out // a late message of an earlier incarnation
	}
	gap := now.Sub(a.lastReceived)
	a.incarnation, a.lastReceived, a.dead = incarnation, now, false
	switch {
	case sinceReceived >= d.config.SuspectAfter:
		d.setAgentCondition(id, a, OutboundLost, &out)
	case a.condition == Slow && gap > d.config.AgentInterval+d.config.SlowAfter:
		// remains slow until a report arrives on time
	default:
		d.setAgentCondition(id, a, Answering, &out)
	}
	return out
}

// RemoveAgent removes an agent that has announced that it is stopping.
func (d *Detector) RemoveAgent(id fleet.ServerID) { delete(d.agents, id) }

func (d *Detector) setAgentCondition(id fleet.ServerID, a *agent, c Condition, out *Output) {
	if a.condition != c {
		a.condition = c
		out.Changes = append(out.Changes, Change{Agent: id, Condition: c})
	}
}

// checkAgents updates the condition of each agent from the time since its last message.
func (d *Detector) checkAgents(now time.Time, out *Output) {
	slowAfter := d.config.AgentInterval + d.config.SlowAfter
	silentAfter := d.config.AgentInterval + d.config.SuspectAfter
	for _, id := range sortedAgents(d.agents) {
		a := d.agents[id]
		elapsed := now.Sub(a.lastReceived)
		switch {
		case a.dead:
			if elapsed > d.config.ForgetAfter {
				delete(d.agents, id)
			}
			continue
		case elapsed <= slowAfter:
			continue
		case elapsed <= silentAfter:
			if !a.condition.LinkFailed() {
				d.setAgentCondition(id, a, Slow, out)
			}
			continue
		}
		if now.Sub(a.probesRequestedAt) > d.config.AgentInterval {
			a.probesRequestedAt = now
			for _, helper := range d.pickLive(d.config.Fanout, "") {
				d.send(helper, Message{Kind: ProbeRequest, Target: fleet.InstanceID(id), TargetIsAgent: true}, out)
			}
		}
		switch {
		case now.Sub(a.confirmedAt) <= silentAfter:
			d.setAgentCondition(id, a, InboundLost, out)
		case elapsed > silentAfter+d.config.DeadAfter:
			a.dead = true
			a.condition = Silent
			out.Changes = append(out.Changes, Change{Agent: id, State: Dead, Condition: Silent, Removed: true})
		case now.Sub(a.probesRequestedAt) > d.config.SlowAfter || a.condition == Silent:
			d.setAgentCondition(id, a, Silent, out)
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
