package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Change is a change of the state or condition of a member or agent.
type Change struct {
	Instance  fleet.InstanceID // member, empty for an agent
	Agent     fleet.ServerID   // agent, empty for a member
	State     State
	Condition Condition
	Removed   bool // now dead or left
	Returned  bool // new, live again, or restarted
}

// Output lists the messages that the caller must send and the events that it must handle.
type Output struct {
	Send    []Envelope
	Changes []Change
	// DigestMismatches lists members whose digest of the state kept outside the consensus log differs from ours. The caller
	// exchanges that state with them.
	DigestMismatches []fleet.InstanceID
}

// Member is the detector's public record of one entry instance.
type Member struct {
	Update
	Condition    Condition
	StateSince   time.Time // time of the last change of State
	LastReceived time.Time
	RoundTrip    time.Duration // of the last acknowledged ping
}

// member adds internal fields to Member.
type member struct {
	Member
	unansweredSince   time.Time // time of the first unanswered ping, zero if all were answered
	waitStart         time.Time // unansweredSince, or the last call of classify if later
	probesRequested   bool      // other members were asked to probe it since waitStart
	confirmedAt       time.Time // time of the last successful probe by another member
	receivesUs        bool      // that probe reported that it receives our messages
	pingSequence      uint64    // of the last ping
	pingSent          time.Time // of the last ping
	transmissionsLeft int       // number of further messages that include its update
}

// probe is a probe of target sent on behalf of requester.
type probe struct {
	target, requester fleet.InstanceID
	requesterSequence uint64
	sent              time.Time
}

// Detector is the failure detector of one entry instance. It is not safe for concurrent use.
type Detector struct {
	config         Config
	random         *rand.Rand
	self           Update
	members        map[fleet.InstanceID]*member
	sortedIDs      []fleet.InstanceID // keys of members; sorted so that runs with equal seeds are equal
	pingOrder      []fleet.InstanceID // members to ping next, refilled and shuffled when empty
	probes         map[uint64]probe
	agents         map[fleet.ServerID]*agent
	sequence       uint64
	digest         uint64
	leaving        bool
	pingOnNextTick bool // a state change, refutation or new digest is to be sent

	lastTick              time.Time
	pauseEnd              time.Time // end of the last pause of this process
	nextRound             time.Time
	nextSync              time.Time
	selfTransmissionsLeft int // number of further messages that include our own update
}

// New returns a detector whose only known instance is its own.
func New(config Config, random *rand.Rand, now time.Time) *Detector {
	config = config.withDefaults()
	return &Detector{
		config: config, random: random, members: make(map[fleet.InstanceID]*member), probes: make(map[uint64]probe),
		agents: make(map[fleet.ServerID]*agent), lastTick: now, nextRound: now, nextSync: now.Add(config.SyncInterval),
		self: Update{Instance: config.Self, Incarnation: config.Incarnation, Address: config.Address}, selfTransmissionsLeft: 1,
	}
}

// Join adds an entry instance known from a session or the settings, and exchanges tables with it.
func (d *Detector) Join(now time.Time, id fleet.InstanceID, incarnation fleet.Incarnation, address string) Output {
	var out Output
	if id == d.config.Self {
		return out
	}
	d.applyUpdate(now, Update{Instance: id, Incarnation: incarnation, Address: address}, &out)
	if m := d.members[id]; m != nil {
		d.sendTable(m, Sync, &out)
	}
	return out
}

// Leave notifies a few members that this instance is stopping. They pass it on to the others.
func (d *Detector) Leave(now time.Time) Output {
	d.leaving = true
	d.self.State = Left
	var out Output
	for _, m := range d.pickLive(2*d.config.Fanout, "") {
		d.ping(now, m, &out)
	}
	return out
}

// SetDigest sets the digest of the state kept outside the consensus log, which is sent in pings. After a change, a few
// members are pinged on the next tick, so that an evacuation reaches all members in a few ticks instead of a few rounds.
func (d *Detector) SetDigest(digest uint64) {
	if d.digest != digest {
		d.digest, d.pingOnNextTick = digest, true
	}
}

// NextTick returns the latest time for the next call of Tick.
func (d *Detector) NextTick() time.Time {
	return d.lastTick.Add(min(d.config.PingInterval, d.config.SlowAfter) / 2)
}

// Tick advances the time.
func (d *Detector) Tick(now time.Time) Output {
	var out Output
	d.compensatePause(now)
	d.lastTick = now
	for _, id := range slices.Clone(d.sortedIDs) { // checkMember may remove a member
		d.checkMember(now, d.members[id], &out)
	}
	d.checkAgents(now, &out)
	for sequence, p := range d.probes { // in any order, since expired probes are only deleted
		if now.Sub(p.sent) > d.config.SuspectAfter {
			delete(d.probes, sequence)
		}
	}
	if d.pingOnNextTick { // at most once per tick, so that a burst of changes causes no burst of messages
		d.pingOnNextTick = false
		for _, m := range d.pickLive(d.config.Fanout, "") {
			d.ping(now, m, &out)
		}
	}
	if !now.Before(d.nextRound) && !d.leaving {
		d.nextRound = now.Add(d.config.PingInterval)
		d.pingRound(now, &out)
	}
	if !now.Before(d.nextSync) && !d.leaving {
		d.nextSync = now.Add(d.config.SyncInterval/2 + time.Duration(d.random.Int64N(int64(d.config.SyncInterval))))
		for _, m := range d.pickLive(1, "") {
			d.sendTable(m, Sync, &out)
		}
		d.syncWithDeadMember(&out)
	}
	return out
}

// compensatePause shifts all timestamps by the time for which this process did not run, so that its own pause does not
// look like a failure of all other members. It is also called before a received message is handled, since messages that
// queued up during the pause may be handled before the next tick.
func (d *Detector) compensatePause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if gap <= d.config.PingInterval {
		return
	}
	d.lastTick, d.pauseEnd = now, now
	for _, m := range d.members {
		if !m.unansweredSince.IsZero() {
			m.unansweredSince, m.waitStart, m.confirmedAt = m.unansweredSince.Add(gap), m.waitStart.Add(gap), m.confirmedAt.Add(gap)
		}
		m.pingSent, m.StateSince, m.LastReceived = m.pingSent.Add(gap), m.StateSince.Add(gap), m.LastReceived.Add(gap)
	}
	for _, a := range d.agents {
		a.lastReceived, a.confirmedAt = a.lastReceived.Add(gap), a.confirmedAt.Add(gap)
	}
}

// checkMember applies the timeouts to one member and sends pings and probe requests that are due.
func (d *Detector) checkMember(now time.Time, m *member, out *Output) {
	switch m.State {
	case Dead, Left:
		if now.Sub(m.StateSince) > d.config.ForgetAfter {
			d.removeMember(m.Instance)
		}
		return
	case Suspected:
		if now.Sub(m.StateSince) > d.config.DeadAfter {
			update := m.Update
			update.State = Dead
			d.applyUpdate(now, update, out)
			return
		}
	}
	if m.unansweredSince.IsZero() {
		return
	}
	waited := now.Sub(m.waitStart)
	if waited > d.config.SlowAfter && !m.probesRequested {
		m.probesRequested = true
		for _, helper := range d.pickLive(d.config.Fanout, m.Instance) {
			d.send(helper, Message{Kind: ProbeRequest, Sequence: m.pingSequence, Target: m.Instance}, out)
		}
	}
	if waited > d.config.SuspectAfter {
		d.classify(now, m, out)
		m.probesRequested, m.waitStart = false, now // repeats both until the member answers
	}
	if now.Sub(m.pingSent) >= d.config.PingInterval {
		d.ping(now, m, out)
	}
}

// classify sets the condition of a member that has not answered for SuspectAfter, and suspects it if nobody reaches it.
func (d *Detector) classify(now time.Time, m *member, out *Output) {
	received := m.LastReceived.After(m.waitStart)
	reached := m.confirmedAt.After(m.waitStart)
	switch {
	case reached && !m.receivesUs && !received:
		d.setCondition(m, Unreachable, out)
	case reached && m.receivesUs && !received:
		d.setCondition(m, InboundLost, out)
	case received:
		d.setCondition(m, OutboundLost, out)
	default:
		d.setCondition(m, Silent, out)
		if m.State == Live {
			update := m.Update
			update.State = Suspected
			d.applyUpdate(now, update, out)
		}
	}
}

func (d *Detector) setCondition(m *member, c Condition, out *Output) {
	if m.Condition != c {
		m.Condition = c
		out.Changes = append(out.Changes, Change{Instance: m.Instance, State: m.State, Condition: c})
	}
}

// pingRound pings the next members in a shuffled order, so that each is pinged once before any is pinged again.
func (d *Detector) pingRound(now time.Time, out *Output) {
	for range min(d.config.Fanout, len(d.members)) {
		if m := d.nextPingTarget(); m != nil && m.unansweredSince.IsZero() {
			d.ping(now, m, out)
		}
	}
}

func (d *Detector) nextPingTarget() *member {
	for refilled := false; ; {
		for len(d.pingOrder) > 0 {
			m := d.members[d.pingOrder[0]]
			d.pingOrder = d.pingOrder[1:]
			if m != nil && m.State <= Suspected {
				return m
			}
		}
		if refilled {
			return nil
		}
		refilled = true
		d.pingOrder = slices.Clone(d.sortedIDs)
		d.random.Shuffle(len(d.pingOrder), func(i, j int) { d.pingOrder[i], d.pingOrder[j] = d.pingOrder[j], d.pingOrder[i] })
	}
}

func (d *Detector) ping(now time.Time, m *member, out *Output) {
	d.sequence++
	m.pingSequence, m.pingSent = d.sequence, now
	message := Message{Kind: Ping, Sequence: m.pingSequence, Digest: d.digest}
	if m.unansweredSince.IsZero() {
		m.unansweredSince, m.waitStart, m.probesRequested = now, now, false
	}
	message.UnansweredMS = milliseconds(now.Sub(m.unansweredSince))
	d.send(m, message, out)
}

// syncWithDeadMember exchanges tables with a random dead member, so that the sides of a healed partition merge again.
func (d *Detector) syncWithDeadMember(out *Output) {
	var dead []*member
	for _, id := range d.sortedIDs {
		if m := d.members[id]; m.State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		d.sendTable(dead[d.random.IntN(len(dead))], Sync, out)
	}
}

// pickLive returns up to n random live members whose link works, excluding the given one.
func (d *Detector) pickLive(n int, except fleet.InstanceID) []*member {
	var candidates []*member
	for _, id := range d.sortedIDs {
		if m := d.members[id]; m.State == Live && id != except && m.Condition <= Slow {
			candidates = append(candidates, m)
		}
	}
	d.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

func (d *Detector) addMember(m *member) {
	d.members[m.Instance] = m
	i, _ := slices.BinarySearch(d.sortedIDs, m.Instance)
	d.sortedIDs = slices.Insert(d.sortedIDs, i, m.Instance)
}

func (d *Detector) removeMember(id fleet.InstanceID) {
	delete(d.members, id)
	if i, ok := slices.BinarySearch(d.sortedIDs, id); ok {
		d.sortedIDs = slices.Delete(d.sortedIDs, i, i+1)
	}
}

// send adds updates that the receiver may not have and queues the message.
func (d *Detector) send(to *member, message Message, out *Output) {
	message.From = d.config.Self
	if to.State != Live { // the receiver can refute only what it is informed of
		message.Updates = append(message.Updates, to.Update)
	}
	if d.selfTransmissionsLeft > 0 || d.leaving {
		d.selfTransmissionsLeft--
		message.Updates = append(message.Updates, d.self)
	}
	message.Updates = append(message.Updates, d.updatesToSend(to.Instance)...)
	out.Send = append(out.Send, Envelope{To: to.Instance, Address: to.Address, Message: message})
}

// updatesToSend returns the updates that were sent least often, which are the newest.
func (d *Detector) updatesToSend(except fleet.InstanceID) []Update {
	var pending []*member
	for _, m := range d.members {
		if m.transmissionsLeft > 0 && m.Instance != except {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.transmissionsLeft, a.transmissionsLeft), cmp.Compare(a.Instance, b.Instance))
	})
	var result []Update
	for _, m := range pending[:min(len(pending), maxUpdatesPerMessage)] {
		m.transmissionsLeft--
		result = append(result, m.Update)
	}
	return result
}

// transmissionLimit returns the number of messages in which an update is sent. If each of n members sends it that often to
// random others, the fraction that misses it is below 1 in n squared. Table exchanges reach the rest.
func (d *Detector) transmissionLimit() int { return 3 * bits.Len(uint(len(d.members)+1)) }

func (d *Detector) sendTable(to *member, kind MessageKind, out *Output) {
	message := Message{Kind: kind, From: d.config.Self, Digest: d.digest, Updates: []Update{d.self}}
	for _, id := range d.sortedIDs {
		if len(message.Updates) < maxTableUpdates {
			message.Updates = append(message.Updates, d.members[id].Update)
		}
	}
	out.Send = append(out.Send, Envelope{To: to.Instance, Address: to.Address, Message: message})
}

func milliseconds(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), 1<<31)) }
