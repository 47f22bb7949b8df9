package membership

import (
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Receive handles a message of another entry instance.
func (d *Detector) Receive(now time.Time, message *Message) Output {
	var out Output
	if message.From == d.config.Self {
		return out
	}
	d.forgivePause(now)
	for _, update := range message.Updates {
		d.learn(now, update, &out)
	}
	from := d.members[message.From]
	if from == nil {
		if message.Kind == Ping { // it knows us but we have forgotten it: exchange tables over the session it used
			d.sendTable(&member{Member: Member{Update: Update{Instance: message.From}}}, Sync, &out)
		}
		return out
	}
	from.LastHeard = now
	if message.Digest != d.digest && (message.Kind == Ping || message.Kind == Sync) {
		out.Differ = append(out.Differ, message.From)
	}
	switch message.Kind {
	case Ping:
		silence := time.Duration(message.SilenceMS) * time.Millisecond
		if silence >= d.config.SuspectAfter/2 && now.Add(-silence).After(d.resumed) { // else it was our pause
			d.condition(from, NotHearing, &out)
		}
		d.send(from, Message{Kind: Ack, Sequence: message.Sequence}, &out)
	case Probe:
		ack := Message{Kind: Ack, Sequence: message.Sequence, Target: message.Target}
		if asker := d.members[message.Target]; asker != nil && now.Sub(asker.LastHeard) <= d.config.SuspectAfter {
			ack.HeardMS = 1 + milliseconds(now.Sub(asker.LastHeard))
		}
		d.send(from, ack, &out)
	case Ack:
		d.acknowledged(now, from, message, &out)
	case ProbeRequest:
		d.probeFor(now, from, message, &out)
	case ProbeResult:
		d.probed(now, message)
	case Sync:
		d.sendTable(from, SyncReply, &out)
	}
	return out
}

func (d *Detector) acknowledged(now time.Time, from *member, message *Message, out *Output) {
	if p, ok := d.probes[message.Sequence]; ok && p.target == from.Instance {
		delete(d.probes, message.Sequence)
		if asker := d.members[p.asker]; asker != nil {
			d.send(asker, Message{Kind: ProbeResult, Sequence: p.askerSequence, Target: p.target, HeardMS: message.HeardMS}, out)
		}
		return
	}
	if from.silent.IsZero() {
		return
	}
	from.RoundTrip = now.Sub(from.silent)
	if message.Sequence == from.sequence {
		from.RoundTrip = now.Sub(from.sent)
	}
	from.silent = time.Time{}
	if from.RoundTrip > d.config.SlowAfter {
		d.condition(from, Slow, out)
	} else {
		d.condition(from, Answering, out)
	}
}

// probeFor probes a member on behalf of another, or tells how long ago an agent was heard.
func (d *Detector) probeFor(now time.Time, asker *member, message *Message, out *Output) {
	if message.Agent {
		a := d.agents[fleet.ServerID(message.Target)]
		if a != nil && now.Sub(a.heard) <= 2*d.config.AgentInterval {
			d.send(asker, Message{Kind: ProbeResult, Sequence: message.Sequence, Target: message.Target, Agent: true,
				HeardMS: 1 + milliseconds(now.Sub(a.heard))}, out)
		}
		return
	}
	target := d.members[message.Target]
	if target == nil || target.State == Left {
		return
	}
	d.sequence++
	d.probes[d.sequence] = probe{message.Target, asker.Instance, message.Sequence, now}
	d.send(target, Message{Kind: Probe, Sequence: d.sequence, Target: asker.Instance}, out)
}

func (d *Detector) probed(now time.Time, message *Message) {
	if message.Agent {
		if a := d.agents[fleet.ServerID(message.Target)]; a != nil {
			a.confirmed = now
		}
		return
	}
	m := d.members[message.Target]
	if m == nil || m.silent.IsZero() {
		return
	}
	m.confirmed = now
	heard := now.Add(-time.Duration(message.HeardMS) * time.Millisecond)
	m.hearsUs = message.HeardMS > 0 && heard.After(m.waiting.Add(-d.config.SlowAfter))
}

// learn merges an update. News is spread further; a suspicion of this instance itself is refuted.
func (d *Detector) learn(now time.Time, update Update, out *Output) {
	if update.Instance == d.config.Self {
		d.refute(update)
		return
	}
	m := d.members[update.Instance]
	if m == nil {
		if len(d.members) >= maxMembers || update.State >= Dead {
			return
		}
		m = &member{Member: Member{Update: update, Since: now, LastHeard: now}}
		d.add(m)
		m.spread = d.transmissions()
		out.Changes = append(out.Changes, Change{Instance: update.Instance, State: update.State, Returned: true})
		return
	}
	if !update.newer(m.Update) {
		return
	}
	if update.Address == "" {
		update.Address = m.Address
	}
	before := m.State
	restarted := update.Boot != m.Boot
	m.Update, m.Since, m.spread = update, now, d.transmissions()
	if restarted || (before >= Dead && update.State < Dead) {
		m.silent, m.Condition = time.Time{}, Answering
	}
	if before == update.State && !restarted {
		return
	}
	d.urgent = true
	out.Changes = append(out.Changes, Change{
		Instance: m.Instance, State: m.State, Condition: m.Condition,
		Removed:  before < Dead && update.State >= Dead,
		Returned: update.State < Dead && (before >= Dead || restarted),
	})
}

// refute answers a suspicion of this instance with a higher incarnation.
func (d *Detector) refute(update Update) {
	if d.leaving || update.Boot != d.self.Boot || update.State == Live || update.Refuted < d.self.Refuted {
		return
	}
	d.self.Refuted = update.Refuted + 1
	d.selfLeft = d.transmissions()
	d.urgent = true
}

// Members returns all members that are not dead, without this instance, sorted by identifier.
func (d *Detector) Members() []Member {
	var result []Member
	for _, id := range d.ids {
		if m := d.members[id]; m.State < Dead {
			result = append(result, m.Member)
		}
	}
	return result
}

// Member returns what is known about one member; ok is false if nothing is.
func (d *Detector) Member(id fleet.InstanceID) (m Member, ok bool) {
	if known := d.members[id]; known != nil {
		return known.Member, true
	}
	return Member{}, false
}

// Instances returns the number of entry instances that are live, with this one, at least 1.
func (d *Detector) Instances() int {
	n := 1
	for _, m := range d.members {
		if m.State < Dead {
			n++
		}
	}
	return n
}

// Representative returns the lowest identifier that is live and not suspected. For a moment two instances may both
// represent the data centre; the others then hear the same summary twice.
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
