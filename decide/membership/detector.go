package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Change says that the state or condition of a member or agent has changed.
type Change struct {
	Instance  fleet.InstanceID // member, empty for an agent
	Agent     fleet.ServerID   // agent, empty for a member
	State     State
	Condition Condition
	Removed   bool // dead or left
	Returned  bool // live again, or new
}

// Output is what a step asks the shell to do.
type Output struct {
	Send    []Envelope
	Changes []Change
	// Differ names members whose digest of the state outside the log differs from ours: exchange that state with them.
	Differ []fleet.InstanceID
}

// Member is what the detector knows about one entry instance.
type Member struct {
	Update
	Condition Condition
	Since     time.Time // of State
	LastHeard time.Time
	RoundTrip time.Duration // of the last answer
}

// member adds the detector's own bookkeeping.
type member struct {
	Member
	silent    time.Time // first unanswered ping, zero if all are answered
	waiting   time.Time // silent, or when the member was last judged while silent
	asked     bool      // others were asked to probe since waiting
	confirmed time.Time // when another reached it since waiting
	hearsUs   bool      // the confirmation said that it hears us
	sequence  uint64    // of the last ping
	sent      time.Time // of the last ping
	spread    int       // messages that still carry its update
}

// probe remembers on whose behalf a member or agent is probed.
type probe struct {
	target, asker fleet.InstanceID
	askerSequence uint64
	sent          time.Time
}

// Detector is the state machine. It is owned by one goroutine.
type Detector struct {
	config   Config
	random   *rand.Rand
	self     Update
	members  map[fleet.InstanceID]*member
	ids      []fleet.InstanceID // of members, sorted, so that equal seeds give equal runs
	order    []fleet.InstanceID // members to ping next, shuffled anew when used up
	probes   map[uint64]probe
	agents   map[fleet.ServerID]*agent
	sequence uint64
	digest   uint64
	leaving  bool
	urgent   bool // news about a failure or a refutation waits to be spread

	lastTick  time.Time
	resumed   time.Time // end of this process's last pause
	nextRound time.Time
	nextSync  time.Time
	selfLeft  int // messages that still carry our own update
}

// New returns a detector that knows only itself.
func New(config Config, random *rand.Rand, now time.Time) *Detector {
	config = config.withDefaults()
	return &Detector{
		config: config, random: random, members: make(map[fleet.InstanceID]*member), probes: make(map[uint64]probe),
		agents: make(map[fleet.ServerID]*agent), lastTick: now, nextRound: now, nextSync: now.Add(config.SyncInterval),
		self: Update{Instance: config.Self, Boot: config.Boot, Address: config.Address}, selfLeft: 1,
	}
}

// Join adds an entry instance that a session or the settings have told about, and exchanges tables with it.
func (d *Detector) Join(now time.Time, id fleet.InstanceID, boot fleet.Incarnation, address string) Output {
	var out Output
	if id == d.config.Self {
		return out
	}
	d.learn(now, Update{Instance: id, Boot: boot, Address: address}, &out)
	if m := d.members[id]; m != nil {
		d.sendTable(m, Sync, &out)
	}
	return out
}

// Leave tells a few members that this instance stops. They spread it.
func (d *Detector) Leave(now time.Time) Output {
	d.leaving = true
	d.self.State = Left
	var out Output
	for _, m := range d.pick(2*d.config.Fanout, "") {
		d.ping(now, m, &out)
	}
	return out
}

// SetDigest sets the digest of the state outside the log that pings carry. A new one is told to a few members on the next
// tick, so that an out reaches all of them in a few ticks instead of a few rounds.
func (d *Detector) SetDigest(digest uint64) {
	if d.digest != digest {
		d.digest, d.urgent = digest, true
	}
}

// Next returns the time at which Tick must be called at the latest.
func (d *Detector) Next() time.Time {
	return d.lastTick.Add(min(d.config.Interval, d.config.SlowAfter) / 2)
}

// Tick advances the time.
func (d *Detector) Tick(now time.Time) Output {
	var out Output
	d.forgivePause(now)
	d.lastTick = now
	for _, id := range slices.Clone(d.ids) { // check may remove a member
		d.check(now, d.members[id], &out)
	}
	d.checkAgents(now, &out)
	for sequence, p := range d.probes { // the order does not matter: expired probes are only dropped
		if now.Sub(p.sent) > d.config.SuspectAfter {
			delete(d.probes, sequence)
		}
	}
	if d.urgent { // once in a tick, so that a burst of news costs no burst of messages
		d.urgent = false
		for _, m := range d.pick(d.config.Fanout, "") {
			d.ping(now, m, &out)
		}
	}
	if !now.Before(d.nextRound) && !d.leaving {
		d.nextRound = now.Add(d.config.Interval)
		d.round(now, &out)
	}
	if !now.Before(d.nextSync) && !d.leaving {
		d.nextSync = now.Add(d.config.SyncInterval/2 + time.Duration(d.random.Int64N(int64(d.config.SyncInterval))))
		for _, m := range d.pick(1, "") {
			d.sendTable(m, Sync, &out)
		}
		d.retryRemoved(&out)
	}
	return out
}

// forgivePause moves all waiting times forward by the time for which this process did not run, so that its own pause does
// not look like the silence of all others. Messages that waited meanwhile may be handled before the next tick.
func (d *Detector) forgivePause(now time.Time) {
	gap := now.Sub(d.lastTick)
	if gap <= d.config.Interval {
		return
	}
	d.lastTick, d.resumed = now, now
	for _, m := range d.members {
		if !m.silent.IsZero() {
			m.silent, m.waiting, m.confirmed = m.silent.Add(gap), m.waiting.Add(gap), m.confirmed.Add(gap)
		}
		m.sent, m.Since, m.LastHeard = m.sent.Add(gap), m.Since.Add(gap), m.LastHeard.Add(gap)
	}
	for _, a := range d.agents {
		a.heard, a.confirmed = a.heard.Add(gap), a.confirmed.Add(gap)
	}
}

// check judges one member by the time that has passed.
func (d *Detector) check(now time.Time, m *member, out *Output) {
	switch m.State {
	case Dead, Left:
		if now.Sub(m.Since) > d.config.ForgetAfter {
			d.forget(m.Instance)
		}
		return
	case Suspected:
		if now.Sub(m.Since) > d.config.DeadAfter {
			update := m.Update
			update.State = Dead
			d.learn(now, update, out)
			return
		}
	}
	if m.silent.IsZero() {
		return
	}
	waited := now.Sub(m.waiting)
	if waited > d.config.SlowAfter && !m.asked {
		m.asked = true
		for _, helper := range d.pick(d.config.Fanout, m.Instance) {
			d.send(helper, Message{Kind: ProbeRequest, Sequence: m.sequence, Target: m.Instance}, out)
		}
	}
	if waited > d.config.SuspectAfter {
		d.judge(now, m, out)
		m.asked, m.waiting = false, now // asks and judges again while the silence lasts
	}
	if now.Sub(m.sent) >= d.config.Interval {
		d.ping(now, m, out)
	}
}

// judge decides about a member that has not answered for SuspectAfter.
func (d *Detector) judge(now time.Time, m *member, out *Output) {
	heard := m.LastHeard.After(m.waiting)
	reached := m.confirmed.After(m.waiting)
	switch {
	case reached && !m.hearsUs && !heard:
		d.condition(m, Unreachable, out)
	case reached && m.hearsUs && !heard:
		d.condition(m, NotHeard, out)
	case heard:
		d.condition(m, NotHearing, out)
	default:
		d.condition(m, Silent, out)
		if m.State == Live {
			update := m.Update
			update.State = Suspected
			d.learn(now, update, out)
		}
	}
}

func (d *Detector) condition(m *member, c Condition, out *Output) {
	if m.Condition != c {
		m.Condition = c
		out.Changes = append(out.Changes, Change{Instance: m.Instance, State: m.State, Condition: c})
	}
}

// round pings the next members of a shuffled order, so that each is pinged once before any is pinged again.
func (d *Detector) round(now time.Time, out *Output) {
	for range min(d.config.Fanout, len(d.members)) {
		if m := d.nextMember(); m != nil && m.silent.IsZero() {
			d.ping(now, m, out)
		}
	}
}

func (d *Detector) nextMember() *member {
	for refilled := false; ; {
		for len(d.order) > 0 {
			m := d.members[d.order[0]]
			d.order = d.order[1:]
			if m != nil && m.State <= Suspected {
				return m
			}
		}
		if refilled {
			return nil
		}
		refilled = true
		d.order = slices.Clone(d.ids)
		d.random.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
}

func (d *Detector) ping(now time.Time, m *member, out *Output) {
	d.sequence++
	m.sequence, m.sent = d.sequence, now
	message := Message{Kind: Ping, Sequence: m.sequence, Digest: d.digest}
	if m.silent.IsZero() {
		m.silent, m.waiting, m.asked = now, now, false
	}
	message.SilenceMS = milliseconds(now.Sub(m.silent))
	d.send(m, message, out)
}

// retryRemoved exchanges tables with one dead member, so that two sides of a healed partition find each other again.
func (d *Detector) retryRemoved(out *Output) {
	var dead []*member
	for _, id := range d.ids {
		if m := d.members[id]; m.State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		d.sendTable(dead[d.random.IntN(len(dead))], Sync, out)
	}
}

// pick returns up to n random members that are not removed, without the given one.
func (d *Detector) pick(n int, except fleet.InstanceID) []*member {
	var candidates []*member
	for _, id := range d.ids {
		if m := d.members[id]; m.State == Live && id != except && m.Condition <= Slow {
			candidates = append(candidates, m)
		}
	}
	d.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

func (d *Detector) add(m *member) {
	d.members[m.Instance] = m
	i, _ := slices.BinarySearch(d.ids, m.Instance)
	d.ids = slices.Insert(d.ids, i, m.Instance)
}

func (d *Detector) forget(id fleet.InstanceID) {
	delete(d.members, id)
	if i, ok := slices.BinarySearch(d.ids, id); ok {
		d.ids = slices.Delete(d.ids, i, i+1)
	}
}

// send adds the updates that the receiver may not know and queues the message.
func (d *Detector) send(to *member, message Message, out *Output) {
	message.From = d.config.Self
	if to.State != Live { // it must learn what is said of it to refute it
		message.Updates = append(message.Updates, to.Update)
	}
	if d.selfLeft > 0 || d.leaving {
		d.selfLeft--
		message.Updates = append(message.Updates, d.self)
	}
	message.Updates = append(message.Updates, d.toSpread(to.Instance)...)
	out.Send = append(out.Send, Envelope{To: to.Instance, Address: to.Address, Message: message})
}

// toSpread returns the updates that were sent least often, which are the latest.
func (d *Detector) toSpread(except fleet.InstanceID) []Update {
	var fresh []*member
	for _, m := range d.members {
		if m.spread > 0 && m.Instance != except {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.spread, a.spread), cmp.Compare(a.Instance, b.Instance))
	})
	var result []Update
	for _, m := range fresh[:min(len(fresh), maxUpdates)] {
		m.spread--
		result = append(result, m.Update)
	}
	return result
}

// transmissions is the number of messages that carry an update: with each of n members sending it that often to random
// others, the share that misses it is below 1 in n squared. Table exchanges reach the rest.
func (d *Detector) transmissions() int { return 3 * bits.Len(uint(len(d.members)+1)) }

func (d *Detector) sendTable(to *member, kind MessageKind, out *Output) {
	message := Message{Kind: kind, From: d.config.Self, Digest: d.digest, Updates: []Update{d.self}}
	for _, id := range d.ids {
		if len(message.Updates) < maxTableUpdates {
			message.Updates = append(message.Updates, d.members[id].Update)
		}
	}
	out.Send = append(out.Send, Envelope{To: to.Instance, Address: to.Address, Message: message})
}

func milliseconds(d time.Duration) uint32 { return uint32(min(max(d.Milliseconds(), 0), 1<<31)) }
