package experts

import (
	"maps"
	"slices"
	"time"
)

// This file drives a change of map on engines that keep no promise of their own: a rank takes orders one by one, an order
// may be lost, and it may be carried out seconds after it was given up. The safety rests on three facts of the engines:
//
//   - A rank that holds a step keeps the whole group from beginning that pass until it is released.
//   - A rank arms only the version that it has prepared last, and prepares only versions higher than all before.
//   - A restart of any rank begins a new epoch, in which nothing is prepared, armed or held and old orders are refused.
//
// A step is held before the first rank is armed for it, and released only once all ranks are known to be armed alike, or
// none is and none can be any more because all have prepared a newer version. So no pass begins on two maps, whichever
// orders are lost, late or repeated, and whoever sends them.

// Lists are the experts of a map by set and rank.
type Lists [][][]int

// Operation is what an order asks a rank to do.
type Operation string

// Operations.
const (
	OrderPrepare Operation = "prepare"
	OrderArm     Operation = "arm"
	OrderDisarm  Operation = "disarm"
	OrderHold    Operation = "hold"
	OrderRelease Operation = "release"
)

// RankOrder is an order to one rank.
type RankOrder struct {
	Rank      int       `cbor:"1,keyasint"`
	Operation Operation `cbor:"2,keyasint"`
	Version   uint64    `cbor:"3,keyasint,omitempty"`
	Step      uint64    `cbor:"4,keyasint,omitempty"`
	Epoch     uint64    `cbor:"5,keyasint"`
	Map       Lists     `cbor:"6,keyasint,omitempty"`
}

// OrderResult says what became of an order.
type OrderResult uint8

// Results of an order.
const (
	OrderUnanswered OrderResult = iota // it may be carried out at any later time
	OrderBegun                         // carried out at once, or, for a preparation, in some time
	OrderDone                          // the state that was ordered holds
	OrderRefused                       // it does not fit the rank's state or its epoch
)

// RankReport is what a rank reports of itself. It is some hundred milliseconds old when it is read.
type RankReport struct {
	Rank         int     `cbor:"1,keyasint"`
	Epoch        uint64  `cbor:"2,keyasint"`
	Open         bool    `cbor:"3,keyasint,omitempty"` // the group makes passes
	Step         uint64  `cbor:"4,keyasint,omitempty"` // last pass that was begun
	Map          uint64  `cbor:"5,keyasint,omitempty"` // version in use
	Prepared     uint64  `cbor:"6,keyasint,omitempty"` // version whose experts are complete, 0 for none
	ArmedVersion uint64  `cbor:"7,keyasint,omitempty"` // 0 if not armed
	ArmedStep    uint64  `cbor:"8,keyasint,omitempty"`
	Holds        bool    `cbor:"9,keyasint,omitempty"`
	Held         uint64  `cbor:"10,keyasint,omitempty"`
	Pace         float64 `cbor:"11,keyasint,omitempty"` // above 1 for a slow engine
}

// SwitchoverConfig sets the times of a Switchover. Zero fields take the default.
type SwitchoverConfig struct {
	Ranks int
	// Resend is the pause before an order without effect is sent again, default 150 ms.
	Resend time.Duration
	// Lead is the time between holding a step and its pass, in which the ranks are armed, default 120 ms.
	Lead time.Duration
	// PrepareTimeout is the time for preparing all ranks, after which the change is given up, default 10 s.
	PrepareTimeout time.Duration
	// Settle is how long reports may be older than an order that was carried out, default 600 ms.
	Settle time.Duration
}

// unknownPass is taken for the time of a pass until reports have shown it: that of an engine with half of its slots in use.
const unknownPass = 80 * time.Millisecond

// silentRank is the age of a rank's last report beyond which no step is held: the rank reports every 120 ms, and one that
// stands still would keep the group from passing until it goes on.
const silentRank = 400 * time.Millisecond

// longestPass bounds the time that a pass is taken to last.
const longestPass = 500 * time.Millisecond

// paceWeight is the number of reports over which the time of a pass is averaged.
const paceWeight = 8

// switchPhase is the stage of a change.
type switchPhase uint8

const (
	switchIdle      switchPhase = iota
	switchPreparing             // all ranks copy the experts of the map
	switchHolding               // one rank is asked to hold a step
	switchArming                // the step is held; all ranks are armed for it
	switchReleasing             // all ranks are armed; the step is released
	switchClearing              // no rank may be armed any more: all prepare a newer version, then the step is released
)

func (p switchPhase) String() string {
	return [...]string{"idle", "preparing", "holding", "arming", "releasing", "clearing"}[p]
}

type switchRank struct {
	state    RankReport
	at       time.Time // of the report
	stepAt   time.Time // of the first report of the newest step
	prepared uint64    // version that the rank has accepted to prepare
	complete bool      // and has prepared
	armed    bool      // for the change's version and step
	refused  time.Time // when arming was refused first
	sent     time.Time // of the last order
}

// Switchover changes the map of one group. It is not safe for concurrent use.
type Switchover struct {
	config SwitchoverConfig
	began  time.Time // when this process took over
	epoch  uint64
	ranks  map[int]*switchRank

	released struct { // the change that was completed last, version 0 for none, and when its step is due
		version uint64
		at      time.Time
	}
	left struct { // what an earlier change has left, as reported
		step  uint64
		since time.Time
	}

	phase     switchPhase
	since     time.Time
	version   uint64
	lists     Lists
	step      uint64
	holder    int
	completed bool          // the step that is released puts the version in force
	extra     uint64        // passes beyond the lead that a hold needs, as refusals have shown
	passed    time.Duration // of one pass, as seen in reports
}

// NewSwitchover returns a Switchover that knows nothing of the group yet.
func NewSwitchover(config SwitchoverConfig, now time.Time) *Switchover {
	if config.Resend <= 0 {
		config.Resend = 150 * time.Millisecond
	}
	if config.Lead <= 0 {
		config.Lead = 120 * time.Millisecond
	}
	if config.PrepareTimeout <= 0 {
		config.PrepareTimeout = 10 * time.Second
	}
	if config.Settle <= 0 {
		config.Settle = 600 * time.Millisecond
	}
	return &Switchover{config: config, began: now, ranks: map[int]*switchRank{}}
}

// Phase names the stage of the present change for logs, "idle" if there is none.
func (s *Switchover) Phase() string { return s.phase.String() }

// Version returns the version of the present or last change.
func (s *Switchover) Version() uint64 { return s.version }

// Epoch returns the newest epoch of the group that was reported.
func (s *Switchover) Epoch() uint64 { return s.epoch }

// Report takes in what a rank says of itself.
func (s *Switchover) Report(now time.Time, state RankReport) {
	if state.Epoch < s.epoch {
		return
	}
	if state.Epoch > s.epoch {
		s.epoch = state.Epoch
		clear(s.ranks)
		s.extra = 0
		s.released.version, s.left.since = 0, time.Time{}
		s.phase, s.lists = switchIdle, nil
	}
	r := s.ranks[state.Rank]
	if r == nil {
		r = &switchRank{}
		s.ranks[state.Rank] = r
	}
	if passes := state.Step - r.state.Step; state.Step > r.state.Step {
		if !r.stepAt.IsZero() {
			pass := min(now.Sub(r.stepAt)/time.Duration(passes), longestPass) // a longer pause is a stall
			if s.passed == 0 {
				s.passed = pass
			}
			s.passed += (pass - s.passed) / paceWeight
		}
		r.stepAt = now
	}
	r.state, r.at = state, now
}

// Answer takes in what became of an order.
func (s *Switchover) Answer(now time.Time, o RankOrder, result OrderResult) {
	r := s.ranks[o.Rank]
	if r == nil || o.Epoch != s.epoch || s.phase == switchIdle {
		return
	}
	switch {
	case o.Operation == OrderPrepare && o.Version == s.version && (result == OrderBegun || result == OrderDone):
		r.prepared = o.Version
		r.complete = r.complete || result == OrderDone
	case o.Operation == OrderPrepare && o.Version == s.version && result == OrderRefused && s.phase == switchPreparing && r.prepared != s.version:
		s.enter(now, switchIdle) // another version is ahead, or the rank is armed: look again
	case o.Operation == OrderHold && s.phase == switchHolding && o.Step == s.step:
		switch result {
		case OrderBegun, OrderDone:
			s.enter(now, switchArming)
		case OrderRefused:
			// The pass has begun: reports are older than assumed, but not by more than they ever are.
			s.extra = min(s.extra+1, uint64(s.config.Settle/s.pass())+2)
			s.chooseStep(now)
		}
	case o.Operation == OrderArm && s.phase == switchArming && o.Version == s.version && o.Step == s.step:
		switch result {
		case OrderBegun, OrderDone:
			r.armed = true
		case OrderRefused:
			if !r.armed && r.refused.IsZero() {
				r.refused = now
			}
		}
	case o.Operation == OrderRelease && s.phase == switchReleasing && o.Step == s.step && result != OrderUnanswered:
		s.enter(now, switchIdle)
		if s.completed {
			s.released.version, s.released.at = s.version, now.Add(s.untilStep(now))
		}
	case o.Operation == OrderRelease && s.phase == switchClearing && o.Step == s.step && (result == OrderBegun || result == OrderDone):
		s.enter(now, switchIdle)
	}
}

func (s *Switchover) enter(now time.Time, p switchPhase) {
	s.phase, s.since = p, now
	s.released.version = 0
	for _, r := range s.ranks {
		r.sent, r.refused = time.Time{}, time.Time{}
	}
}

// Abandon gives up a change of which no rank can have been armed yet.
func (s *Switchover) Abandon(now time.Time) {
	if s.phase == switchPreparing {
		s.enter(now, switchIdle)
	}
}

// Ready reports whether a change may begin: all ranks have reported lately in one open epoch, on one map, and nothing is
// left of an earlier change.
func (s *Switchover) Ready(now time.Time) bool { return s.Obstacle(now) == "" }

// Obstacle says why no change may begin, or "".
func (s *Switchover) Obstacle(now time.Time) string {
	switch {
	case s.phase != switchIdle:
		return "a change is under way"
	case len(s.ranks) != s.config.Ranks:
		return "not all ranks have reported"
	case now.Sub(s.began) < s.config.Settle:
		return "the group has been known for a short time only"
	}
	// Reports from before the step of the last change show the state before it.
	stale := func(r *switchRank) bool {
		return s.released.version != 0 && r.at.Before(s.released.at.Add(s.config.Settle))
	}
	settled := now.Sub(s.since) >= s.config.Settle
	if s.released.version != 0 && now.Before(s.released.at) {
		return "the step of the last change is not due"
	}
	var first *switchRank
	for _, r := range s.ranks {
		if !r.state.Open {
			return "the group is not open"
		}
		if now.Sub(r.at) > 2*s.config.Settle {
			return "a rank has not reported lately"
		}
		if stale(r) {
			continue
		}
		if r.state.Holds || r.state.ArmedVersion != 0 {
			return "an earlier change has left something"
		}
		if first == nil {
			first = r
		}
		if r.state.Map != first.state.Map || !settled && r.state.Map != s.version && s.released.version == 0 {
			return "the ranks report different maps"
		}
	}
	return ""
}

// Highest returns the highest number that any rank has reported.
func (s *Switchover) Highest() uint64 {
	highest := s.version
	for _, r := range s.ranks {
		highest = max(highest, r.state.Map, r.state.Prepared, r.state.ArmedVersion)
	}
	return highest / 2
}

// Versions of the engines are made of the caller's numbers: those that are armed are even. An odd one is only prepared, so
// that a rank which has prepared it can be armed for nothing.
func armable(version uint64) bool { return version != 0 && version%2 == 0 }

// Begin starts a change to a map. No other change may ever use the number, and Ready must hold. It returns the version that
// the ranks will report.
func (s *Switchover) Begin(now time.Time, number uint64, lists Lists) uint64 {
	s.version, s.lists = number*2, lists
	s.extra -= min(s.extra, 1)
	for _, r := range s.ranks {
		r.prepared, r.complete, r.armed, r.refused = 0, false, false, time.Time{}
	}
	s.enter(now, switchPreparing)
	return s.version
}

// InUse returns the version of the map that all ranks use, as far as it is known.
func (s *Switchover) InUse() uint64 {
	if s.released.version != 0 {
		return s.released.version
	}
	for _, r := range s.ranks {
		return r.state.Map
	}
	return 0
}

// untilStep estimates the time until the group begins the step of the change.
func (s *Switchover) untilStep(now time.Time) time.Duration {
	if highest := s.present(now); s.step >= highest {
		return time.Duration(s.step-highest+1) * s.pass()
	}
	return 0
}

// pass returns the time of a pass.
func (s *Switchover) pass() time.Duration {
	if s.passed == 0 {
		return unknownPass
	}
	return max(s.passed, time.Millisecond)
}

// present estimates the pass that the group is making.
func (s *Switchover) present(now time.Time) uint64 {
	pass, highest := s.pass(), uint64(0)
	for _, r := range s.ranks {
		highest = max(highest, r.state.Step+uint64(now.Sub(r.at)/pass))
	}
	return highest
}

// chooseStep picks the step of the change, far enough ahead for all ranks to be armed before its pass.
func (s *Switchover) chooseStep(now time.Time) {
	pass := s.pass()
	s.step = s.present(now) + max(2, uint64(s.config.Lead/pass)) + s.extra
	if s.phase != switchHolding {
		s.enter(now, switchHolding)
	}
	for _, r := range s.ranks {
		r.sent = time.Time{}
	}
}

// Tick returns the orders that are due.
func (s *Switchover) Tick(now time.Time) []RankOrder {
	switch s.phase {
	case switchIdle:
		return s.recover(now)
	case switchPreparing:
		done := true
		for _, r := range s.ranks {
			done = done && (r.complete || r.state.Prepared == s.version) && now.Sub(r.at) < silentRank
		}
		if done {
			s.chooseStep(now)
			return s.Tick(now)
		}
		if now.Sub(s.since) > s.config.PrepareTimeout {
			s.enter(now, switchIdle)
			return nil
		}
		return s.toAll(now, func(r *switchRank) (RankOrder, bool) {
			return RankOrder{Operation: OrderPrepare, Version: s.version, Map: s.lists}, r.prepared != s.version && r.state.Prepared != s.version
		})
	case switchHolding:
		if r := s.ranks[s.holder]; r != nil && r.state.Holds && r.state.Held != s.step && r.at.After(s.since.Add(s.config.Settle)) {
			s.enter(now, switchIdle) // another change is in the way; it is finished first
			return nil
		}
		return s.toAll(now, func(r *switchRank) (RankOrder, bool) {
			return RankOrder{Operation: OrderHold, Step: s.step}, r.state.Rank == s.holder
		})
	case switchArming:
		all := true
		for _, r := range s.ranks {
			r.armed = r.armed || r.state.ArmedVersion == s.version && r.state.ArmedStep == s.step
			all = all && r.armed
			if !r.armed && !r.refused.IsZero() && r.at.After(r.refused.Add(s.config.Settle)) && r.state.Prepared != s.version {
				s.clear(now) // this rank can never be armed for the version
				return nil
			}
		}
		if all || s.armedAlike() {
			s.completed = all
			s.enter(now, switchReleasing)
			return s.Tick(now)
		}
		return s.toAll(now, func(r *switchRank) (RankOrder, bool) {
			return RankOrder{Operation: OrderArm, Version: s.version, Step: s.step}, !r.armed
		})
	case switchReleasing:
		return s.release(now)
	case switchClearing:
		return s.clearing(now)
	}
	return nil
}

// release sends the release to the rank that holds the step.
func (s *Switchover) release(now time.Time) []RankOrder {
	return s.toAll(now, func(r *switchRank) (RankOrder, bool) {
		return RankOrder{Operation: OrderRelease, Step: s.step}, r.state.Rank == s.holder
	})
}

// armedAlike reports whether all ranks say that they are armed for one version and step, not before the held one. Nothing
// can then disarm one of them, so the held step may be released.
func (s *Switchover) armedAlike() bool {
	first := s.ranks[s.holder]
	if first == nil || first.state.ArmedVersion == 0 || first.state.ArmedStep < s.step {
		return false
	}
	for _, r := range s.ranks {
		if r.state.ArmedVersion != first.state.ArmedVersion || r.state.ArmedStep != first.state.ArmedStep {
			return false
		}
	}
	return len(s.ranks) == s.config.Ranks
}

// toAll returns the orders for the ranks that need one and have had none lately.
func (s *Switchover) toAll(now time.Time, order func(*switchRank) (RankOrder, bool)) []RankOrder {
	var orders []RankOrder
	for _, rank := range slices.Sorted(maps.Keys(s.ranks)) {
		r := s.ranks[rank]
		o, needed := order(r)
		if !needed || now.Sub(r.sent) < s.config.Resend {
			continue
		}
		r.sent = now
		o.Rank, o.Epoch = rank, s.epoch
		orders = append(orders, o)
	}
	return orders
}
