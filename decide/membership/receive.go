package membership

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Receive handles a message from another entry instance.
func (d *Detector) Receive(now time.Time, message *Message) Output {
	var out Output
	if message.From == d.config.Self {
		return out
	}
	d.compensatePause(now)
	for _, update := range message.Updates {
		d.applyUpdate(now, update, &out)
	}
	from := d.members[message.From]
	if from == nil {
		if message.Kind == Ping { // removed here, but the sender still lists us: exchange tables over its session
			d.sendTable(&member{Member: Member{Update: Update{Instance: message.From}}}, Sync, &out)
		}
		return out
	}
	from.LastReceived = now
	if message.Digest != d.digest && (message.Kind == Ping || message.Kind == Sync) {
		out.DigestMismatches = append(out.DigestMismatches, message.From)
	}
	switch message.Kind {
	case Ping:
		unanswered := time.Duration(message.UnansweredMS) * time.Millisecond
		if unanswered >= d.config.SuspectAfter/2 && now.Add(-unanswered).After(d.pauseEnd) { // otherwise our own pause is the cause
			d.setCondition(from, OutboundLost, &out)
		}
		d.send(from, Message{Kind: Ack, Sequence: message.Sequence}, &out)
	case Probe:
		ack := Message{Kind: Ack, Sequence: message.Sequence, Target: message.Target}
		if requester := d.members[message.Target]; requester != nil && now.Sub(requester.LastReceived) <= d.config.SuspectAfter {
			ack.LastReceivedMS = 1 + milliseconds(now.Sub(requester.LastReceived))
		}
		d.send(from, ack, &out)
	case Ack:
		d.handleAck(now, from, message, &out)
	case ProbeRequest:
		d.handleProbeRequest(now, from, message, &out)
	case ProbeResult:
		d.handleProbeResult(now, message)
	case Sync:
		d.sendTable(from, SyncReply, &out)
	}
	return out
}

func (d *Detector) handleAck(now time.Time, from *member, message *Message, out *Output) {
	if p, ok := d.probes[message.Sequence]; ok && p.target == from.Instance {
		delete(d.probes, message.Sequence)
		if requester := d.members[p.requester]; requester != nil {
			d.send(requester, Message{Kind: ProbeResult, Sequence: p.requesterSequence, Target: p.target,
				LastReceivedMS: message.LastReceivedMS}, out)
		}
		return
	}
	if from.unansweredSince.IsZero() {
		return
	}
	from.RoundTrip = now.Sub(from.unansweredSince)
	if message.Sequence == from.pingSequence {
		from.RoundTrip = now.Sub(from.pingSent)
	}
	from.unansweredSince = time.Time{}
	if from.RoundTrip > d.config.SlowAfter {
		d.setCondition(from, Slow, out)
	} else {
		d.setCondition(from, Answering, out)
	}
}

// handleProbeRequest probes a member on behalf of another, or reports the time since an agent's last message.
func (d *Detector) handleProbeRequest(now time.Time, requester *member, message *Message, out *Output) {
	if message.TargetIsAgent {
		a := d.agents[fleet.ServerID(message.Target)]
		if a != nil && now.Sub(a.lastReceived) <= 2*d.config.AgentInterval {
			d.send(requester, Message{Kind: ProbeResult, Sequence: message.Sequence, Target: message.Target, TargetIsAgent: true,
				LastReceivedMS: 1 + milliseconds(now.Sub(a.lastReceived))}, out)
		}
		return
	}
	target := d.members[message.Target]
	if target == nil || target.State == Left {
		return
	}
	d.sequence++
	d.probes[d.sequence] = probe{message.Target, requester.Instance, message.Sequence, now}
	d.send(target, Message{Kind: Probe, Sequence: d.sequence, Target: requester.Instance}, out)
}

func (d *Detector) handleProbeResult(now time.Time, message *Message) {
	if message.TargetIsAgent {
		if a := d.agents[fleet.ServerID(message.Target)]; a != nil {
			a.confirmedAt = now
		}
		return
	}
	m := d.members[message.Target]
	if m == nil || m.unansweredSince.IsZero() {
		return
	}
	m.confirmedAt = now
	receivedAt := now.Add(-time.Duration(message.LastReceivedMS) * time.Millisecond)
	m.receivesUs = message.LastReceivedMS > 0 && receivedAt.After(m.waitStart.Add(-d.config.SlowAfter))
}

// applyUpdate merges an update. If it is new it is passed on; a suspicion of this instance itself is refuted.
func (d *Detector) applyUpdate(now time.Time, update Update, out *Output) {
	if update.Instance == d.config.Self {
		d.refute(update)
		return
	}
	m := d.members[update.Instance]
	if m == nil {
		if len(d.members) >= maxMembers || update.State >= Dead {
			return
		}
		m = &member{Member: Member{Update: update, StateSince: now, LastReceived: now}}
		d.addMember(m)
		m.transmissionsLeft = d.transmissionLimit()
		out.Changes = append(out.Changes, Change{Instance: update.Instance, State: update.State, Returned: true})
		return
	}
	if !update.supersedes(m.Update) {
		return
	}
	if update.Address == "" {
		update.Address = m.Address
	}
	previous := m.State
	restarted := update.Incarnation != m.Incarnation
	m.Update, m.StateSince, m.transmissionsLeft = update, now, d.transmissionLimit()
	if restarted || (previous >= Dead && update.State < Dead) {
		m.unansweredSince, m.Condition = time.Time{}, Answering
	}
	if previous == update.State && !restarted {
		return
	}
	d.pingOnNextTick = true
	out.Changes = append(out.Changes, Change{
		Instance: m.Instance, State: m.State, Condition: m.Condition,
		Removed:  previous < Dead && update.State >= Dead,
		Returned: update.State < Dead && (previous >= Dead || restarted),
	})
}

// refute answers a suspicion of this instance with a higher refutation count.
func (d *Detector) refute(update Update) {
	if d.leaving || update.Incarnation != d.self.Incarnation || update.State == Live || update.Refutations < d.self.Refutations {
		return
	}
	d.self.Refutations = update.Refutations + 1
	d.selfTransmissionsLeft = d.transmissionLimit()
	d.pingOnNextTick = true
}

// Members returns all members that are not dead and have not left, without this instance, sorted by identifier.
func (d *Detector) Members() []Member {
	var result []Member
	for _, id := range d.sortedIDs {
		if m := d.members[id]; m.State < Dead {
			result = append(result, m.Member)
		}
	}
	return result
}

// Member returns the record of one member; ok is false if there is none.
func (d *Detector) Member(id fleet.InstanceID) (m Member, ok bool) {
	if record := d.members[id]; record != nil {
		return record.Member, true
	}
	return Member{}, false
}

// InstanceCount returns the number of entry instances that are not dead and have not left, including this one.
func (d *Detector) InstanceCount() int {
	n := 1
	for _, m := range d.members {
		if m.State < Dead {
			n++
		}
	}
	return n
}

// Representative returns the lowest identifier of the instances that are live and not suspected. Two instances may both
// represent the data centre for a short time; the other data centres then receive the same summary twice.
func (d *Detector) Representative() fleet.InstanceID {
	var ids []fleet.InstanceID
	if !d.leaving {
		ids = append(ids, d.config.Self)
	}
	for id, m := range d.members {
		if m.State == Live {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return slices.Min(ids)
}
