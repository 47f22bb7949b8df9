package experts

import (
	"maps"
	"slices"
	"time"
)

// This file runs a map change on engines without a commit protocol: a rank executes single orders, an order may be
// lost, and it may be executed seconds after it timed out. Safety rests on three properties of the engines:
//
//   - A rank that holds a step keeps the whole group from starting that step until it is released.
//   - A rank arms only the version that it prepared last, and prepares only versions higher than all before.
//   - A restart of any rank starts a new epoch, in which nothing is prepared, armed or held and orders of earlier
//     epochs are refused.
//
// A step is held before the first rank is armed for it, and released only once all ranks are known to be armed
// identically, or once none is armed and none can be, because all have prepared a newer version. So no step starts with
// two maps, whichever orders are lost, late or repeated, and whichever process sends them.

// RankLists are the experts that each rank holds, by set and rank. A set is a layer of a Map.
type RankLists [][][]int

// Operation is the kind of an order to a rank.
type Operation string

// Operations of an order.
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
	Map       RankLists `cbor:"6,keyasint,omitempty"`
}

// OrderResult is the result of an order.
type OrderResult uint8

// Results of an order.
const (
	OrderUnanswered OrderResult = iota // no answer; the order may still be executed at any later time
	OrderAccepted                      // executed at once, or, for a preparation, started
	OrderDone                          // the ordered state has been reached
	OrderRefused                       // the order does not fit the state of the rank or its epoch
)

// RankReport is the state that a rank reports. It is some hundred milliseconds old when it is read.
type RankReport struct {
	Rank          int     `cbor:"1,keyasint"`
	Epoch         uint64  `cbor:"2,keyasint"`
	Open          bool    `cbor:"3,keyasint,omitempty"` // the group runs decode steps
	Step          uint64  `cbor:"4,keyasint,omitempty"` // last step started
	Map           uint64  `cbor:"5,keyasint,omitempty"` // version in use
	Prepared      uint64  `cbor:"6,keyasint,omitempty"` // version whose experts are completely copied, 0 for none
	ArmedVersion  uint64  `cbor:"7,keyasint,omitempty"` // 0 if not armed
	ArmedStep     uint64  `cbor:"8,keyasint,omitempty"`
	Holding       bool    `cbor:"9,keyasint,omitempty"`
	HeldStep      uint64  `cbor:"10,keyasint,omitempty"`
	StepTimeRatio float64 `cbor:"11,keyasint,omitempty"` // step time relative to a normal engine, above 1 for a slow one
}

// SwitchoverConfig sets the size of the group and the times of a Switchover. Zero times take the default.
type SwitchoverConfig struct {
	Ranks int
	// ResendInterval is the interval at which an order without effect is sent again, default 150 ms. While a step is held, the
	// whole group may wait for it, and the interval is HeldResendInterval, default 50 ms.
	ResendInterval     time.Duration
	HeldResendInterval time.Duration
	// LeadTime is the time from holding a step to its planned start, in which the ranks are armed, default 120 ms.
	LeadTime time.Duration
	// PrepareTimeout is the time for preparing all ranks, after which the change is aborted, default 10 s.
	PrepareTimeout time.Duration
	// MaxReportLag is the longest delay until the reports show an executed order, default 600 ms.
	MaxReportLag time.Duration
}

// defaultStepTime is the step time assumed until reports have shown it: that of an engine with half of its slots in
// use.
const defaultStepTime = 80 * time.Millisecond

// holdRetryDelay is the delay after repeated refusals to hold a step: a rank that holds another step refuses all.
const holdRetryDelay = 40 * time.Millisecond

// maxReportAge is the age of the last report of a rank beyond which no step is held: ranks report every 120 ms, and a
// stalled rank would block the group at the held step until it resumes.
const maxReportAge = 400 * time.Millisecond

// maxStepTime is the upper bound of a step time sample; a longer time is a stall.
const maxStepTime = 500 * time.Millisecond

// stepTimeWindowReports is the number of reports over which the step time is averaged.
const stepTimeWindowReports = 8

// switchPhase is the stage of a map change.
type switchPhase uint8

const (
	switchIdle      switchPhase = iota
	switchPreparing             // all ranks copy the experts of the map
	switchHolding               // one rank is asked to hold a step
	switchArming                // the step is held; all ranks are armed for it
	switchReleasing             // all ranks are armed identically, or none can be; the step is released
	switchClearing              // ranks are kept from being armed: all prepare a newer version, then the step is released
)

func (p switchPhase) String() string {
	return [...]string{"idle", "preparing", "holding", "arming", "releasing", "clearing"}[p]
}

type switchRank struct {
	report          RankReport
	reportedAt      time.Time // when report arrived
	stepReportedAt  time.Time // first report of the newest step
	prepareAccepted uint64    // version that the rank has accepted to prepare
	prepareDone     bool      // the rank has completed the preparation
	armed           bool      // for the version and step of the change
	armRefusedAt    time.Time // when arming was first refused
	sentAt          time.Time // last order
}

// Switchover changes the map of one group. It is not safe for concurrent use.
type Switchover struct {
	config    SwitchoverConfig
	startedAt time.Time // when this process took over
	epoch     uint64
	ranks     map[int]*switchRank

	lastChange struct { // the last completed change, version 0 for none, and when its step is due
		version uint64
		dueAt   time.Time
	}
	leftoverHold struct { // step held for an earlier change, according to the reports
		step  uint64
		since time.Time
	}

	phase        switchPhase
	phaseSince   time.Time
	heldSince    time.Time // begin of the phases in which a step is held, zero before and after
	version      uint64
	lists        RankLists
	step         uint64
	holder       int    // rank that holds the step
	allArmed     bool   // the map changes at the released step
	extraSteps   uint64 // steps added to the lead time because holds were refused
	refusedHolds int    // in this change
	// startedStep is the highest step that a refused hold has shown to have started, and stepStartedBy when.
	startedStep   uint64
	stepStartedBy time.Time
	meanStepTime  time.Duration // moving average according to the reports
	answers       answerRatio
}

// NewSwitchover returns a Switchover without any state of the group.
func NewSwitchover(config SwitchoverConfig, now time.Time) *Switchover {
	if config.ResendInterval <= 0 {
		config.ResendInterval = 150 * time.Millisecond
	}
	if config.HeldResendInterval <= 0 {
		config.HeldResendInterval = 50 * time.Millisecond
	}
	if config.LeadTime <= 0 {
		config.LeadTime = 120 * time.Millisecond
	}
	if config.PrepareTimeout <= 0 {
		config.PrepareTimeout = 10 * time.Second
	}
	if config.MaxReportLag <= 0 {
		config.MaxReportLag = 600 * time.Millisecond
	}
	return &Switchover{config: config, startedAt: now, ranks: map[int]*switchRank{}}
}

// Phase returns the name of the current phase for logs, "idle" if there is none.
func (s *Switchover) Phase() string { return s.phase.String() }

// ChangeVersion returns the version of the current or last change.
func (s *Switchover) ChangeVersion() uint64 { return s.version }

// Epoch returns the newest epoch that a rank has reported.
func (s *Switchover) Epoch() uint64 { return s.epoch }

// HandleReport processes a report of a rank.
func (s *Switchover) HandleReport(now time.Time, report RankReport) {
	if report.Epoch < s.epoch {
		return
	}
	if report.Epoch > s.epoch {
		s.epoch = report.Epoch
		clear(s.ranks)
		s.extraSteps, s.startedStep, s.answers = 0, 0, answerRatio{}
		s.lastChange.version, s.leftoverHold.since = 0, time.Time{}
		s.phase, s.lists, s.heldSince = switchIdle, nil, time.Time{}
	}
	r := s.ranks[report.Rank]
	if r == nil {
		r = &switchRank{}
		s.ranks[report.Rank] = r
	}
	if steps := report.Step - r.report.Step; report.Step > r.report.Step {
		if !r.stepReportedAt.IsZero() {
			duration := min(now.Sub(r.stepReportedAt)/time.Duration(steps), maxStepTime) // a longer time is a stall
			if s.meanStepTime == 0 {
				s.meanStepTime = duration
			}
			s.meanStepTime += (duration - s.meanStepTime) / stepTimeWindowReports
		}
		r.stepReportedAt = now
	}
	r.report, r.reportedAt = report, now
	if s.lastChange.version != 0 && report.Map != s.lastChange.version && now.After(s.lastChange.dueAt.Add(s.config.MaxReportLag)) {
		s.lastChange.version = 0 // another process has changed the map since
	}
}

// HandleResult processes the result of an order.
func (s *Switchover) HandleResult(now time.Time, o RankOrder, result OrderResult) {
	r := s.ranks[o.Rank]
	if r != nil && result != OrderUnanswered {
		s.answers.recordAnswer(now)
	}
	if r == nil || o.Epoch != s.epoch || s.phase == switchIdle {
		return
	}
	switch {
	case o.Operation == OrderPrepare && o.Version == s.version && (result == OrderAccepted || result == OrderDone):
		r.prepareAccepted = o.Version
		r.prepareDone = r.prepareDone || result == OrderDone
	case o.Operation == OrderPrepare && o.Version == s.version && result == OrderRefused && s.phase == switchPreparing && r.prepareAccepted != s.version:
		s.enterPhase(now, switchIdle) // another version is ahead, or the rank is armed: start over from the reports
	case o.Operation == OrderHold && s.phase == switchHolding && o.Step == s.step:
		switch result {
		case OrderAccepted, OrderDone:
			s.enterPhase(now, switchArming)
		case OrderRefused:
			// The step has started: reports are older than assumed, but not by more than MaxReportLag.
			s.extraSteps = min(s.extraSteps+1, uint64(s.config.MaxReportLag/s.stepTime())+2)
			s.startedStep, s.stepStartedBy = max(s.startedStep, s.step), now
			if s.refusedHolds++; s.refusedHolds == 1 {
				s.chooseStep(now)
			}
		}
	case o.Operation == OrderArm && s.phase == switchArming && o.Version == s.version && o.Step == s.step:
		switch result {
		case OrderAccepted, OrderDone:
			r.armed = true
		case OrderRefused:
			if !r.armed && r.armRefusedAt.IsZero() {
				r.armRefusedAt = now
			}
		}
	case o.Operation == OrderRelease && s.phase == switchReleasing && o.Step == s.step && result != OrderUnanswered:
		s.enterPhase(now, switchIdle)
		if s.allArmed {
			s.lastChange.version, s.lastChange.dueAt = s.version, now.Add(s.timeUntilStep(now))
		}
	case o.Operation == OrderRelease && s.phase == switchClearing && o.Step == s.step && (result == OrderAccepted || result == OrderDone):
		s.enterPhase(now, switchIdle)
	}
}

func (s *Switchover) enterPhase(now time.Time, p switchPhase) {
	switch {
	case p < switchArming:
		s.heldSince = time.Time{}
	case s.heldSince.IsZero():
		s.heldSince = now
	}
	s.phase, s.phaseSince = p, now
	s.lastChange.version = 0
	for _, r := range s.ranks {
		r.sentAt, r.armRefusedAt = time.Time{}, time.Time{}
	}
}

// MayWait reports whether no step is held for a change of this process, so that its next order can wait.
func (s *Switchover) MayWait() bool { return s.phase <= switchPreparing }

// HeldSince returns since when a step is held for a change, as far as this process knows; the zero time if none is.
func (s *Switchover) HeldSince() time.Time { return s.heldSince }

// AbortPreparing aborts a change in the preparing phase, in which no rank can have been armed yet.
func (s *Switchover) AbortPreparing(now time.Time) {
	if s.phase == switchPreparing {
		s.enterPhase(now, switchIdle)
	}
}

// Ready reports whether a change may begin: all ranks have reported recently, in one open epoch and on one map, and no
// order of an earlier change remains in effect.
func (s *Switchover) Ready(now time.Time) bool { return s.NotReadyReason(now) == "" }

// NotReadyReason returns the reason why no change may begin, "" if one may.
func (s *Switchover) NotReadyReason(now time.Time) string {
	switch {
	case s.phase != switchIdle:
		return "a change is in progress"
	case len(s.ranks) != s.config.Ranks:
		return "not all ranks have reported"
	case now.Sub(s.startedAt) < s.config.MaxReportLag:
		return "this process took over the group too recently"
	case s.expectedHold(now) > maxExpectedHold:
		return "too many orders to its ranks are unanswered"
	}
	// Reports from before the step of the last change show the state before it.
	outdated := func(r *switchRank) bool {
		return s.lastChange.version != 0 && r.reportedAt.Before(s.lastChange.dueAt.Add(s.config.MaxReportLag))
	}
	settled := now.Sub(s.phaseSince) >= s.config.MaxReportLag
	if s.lastChange.version != 0 && now.Before(s.lastChange.dueAt) {
		return "the step of the last change is not due yet"
	}
	var first *switchRank
	for _, r := range s.ranks {
		if !r.report.Open {
			return "the group is not open"
		}
		if now.Sub(r.reportedAt) > 2*s.config.MaxReportLag {
			return "a rank has not reported recently"
		}
		if outdated(r) {
			continue
		}
		if r.report.Holding || r.report.ArmedVersion != 0 {
			return "an earlier change left a rank armed or holding a step"
		}
		if first == nil {
			first = r
		}
		if r.report.Map != first.report.Map || !settled && r.report.Map != s.version && s.lastChange.version == 0 {
			return "the ranks report different maps"
		}
	}
	return ""
}

// HighestChangeNumber returns the highest change number in use, according to the reports and the current change.
func (s *Switchover) HighestChangeNumber() uint64 {
	highest := s.version
	for _, r := range s.ranks {
		highest = max(highest, r.report.Map, r.report.Prepared, r.report.ArmedVersion)
	}
	return highest / 2
}

// armable reports whether ranks can be armed for a version. The versions in orders are derived from the change numbers of
// the caller: even ones can be armed, odd ones are only prepared, so that a rank that has prepared one cannot be armed.
func armable(version uint64) bool { return version != 0 && version%2 == 0 }

// Begin starts a change to a map. The number must not be used for any other change, and Ready must hold. It returns the
// version that the ranks will report.
func (s *Switchover) Begin(now time.Time, number uint64, lists RankLists) uint64 {
	s.version, s.lists = number*2, lists
	s.extraSteps -= min(s.extraSteps, 1)
	s.refusedHolds = 0
	for _, r := range s.ranks {
		r.prepareAccepted, r.prepareDone, r.armed, r.armRefusedAt = 0, false, false, time.Time{}
	}
	s.enterPhase(now, switchPreparing)
	return s.version
}

// MapVersion returns the version of the map in use, 0 if no rank has reported. It holds for all ranks if Ready does.
func (s *Switchover) MapVersion() uint64 {
	if s.lastChange.version != 0 {
		return s.lastChange.version
	}
	for _, r := range s.ranks {
		return r.report.Map
	}
	return 0
}

// timeUntilStep estimates the time until the group starts the step of the change.
func (s *Switchover) timeUntilStep(now time.Time) time.Duration {
	if current := s.currentStep(now); s.step >= current {
		return time.Duration(s.step-current+1) * s.stepTime()
	}
	return 0
}

// stepTime returns the mean step time, or defaultStepTime if it is unknown.
func (s *Switchover) stepTime() time.Duration {
	if s.meanStepTime == 0 {
		return defaultStepTime
	}
	return max(s.meanStepTime, time.Millisecond)
}

// currentStep estimates the step that the group is running.
func (s *Switchover) currentStep(now time.Time) uint64 {
	duration, highest := s.stepTime(), uint64(0)
	for _, r := range s.ranks {
		highest = max(highest, r.report.Step+uint64(now.Sub(r.reportedAt)/duration))
	}
	if s.startedStep > 0 && now.Sub(s.stepStartedBy) <= s.config.MaxReportLag { // later on, the reports are newer
		highest = max(highest, s.startedStep+uint64(now.Sub(s.stepStartedBy)/duration))
	}
	return highest
}

// chooseStep picks the step of the change, far enough ahead for all ranks to be armed before it starts.
func (s *Switchover) chooseStep(now time.Time) {
	duration := s.stepTime()
	s.step = s.currentStep(now) + max(2, uint64(s.config.LeadTime/duration)) + s.extraSteps
	if s.phase != switchHolding {
		s.enterPhase(now, switchHolding)
	}
	for _, r := range s.ranks {
		r.sentAt = time.Time{}
	}
}

// stepWasReleased reports whether reports from well after the begin of the phase show that the rank does not hold the step:
// another process has completed or undone the change.
func (s *Switchover) stepWasReleased() bool {
	r := s.ranks[s.holder]
	return r != nil && r.reportedAt.After(s.phaseSince.Add(s.config.MaxReportLag)) && !(r.report.Holding && r.report.HeldStep == s.step)
}

// Tick returns the orders that are due.
func (s *Switchover) Tick(now time.Time) []RankOrder {
	if s.phase >= switchArming && s.stepWasReleased() {
		s.enterPhase(now, switchIdle)
	}
	switch s.phase {
	case switchIdle:
		return s.recoverChange(now)
	case switchPreparing:
		prepared := true
		for _, r := range s.ranks {
			prepared = prepared && (r.prepareDone || r.report.Prepared == s.version) && now.Sub(r.reportedAt) < maxReportAge
		}
		if prepared && s.expectedHold(now) > maxExpectedHold {
			s.enterPhase(now, switchIdle)
			return nil
		}
		if prepared {
			s.chooseStep(now)
			return s.Tick(now)
		}
		if now.Sub(s.phaseSince) > s.config.PrepareTimeout {
			s.enterPhase(now, switchIdle)
			return nil
		}
		return s.ordersFor(now, func(r *switchRank) (RankOrder, bool) {
			return RankOrder{Operation: OrderPrepare, Version: s.version, Map: s.lists}, r.prepareAccepted != s.version && r.report.Prepared != s.version
		})
	case switchHolding:
		if r := s.ranks[s.holder]; r != nil && r.report.Holding && r.report.HeldStep != s.step && r.reportedAt.After(s.phaseSince.Add(s.config.MaxReportLag)) {
			s.enterPhase(now, switchIdle) // finish the other change first
			return nil
		}
		if s.startedStep >= s.step {
			if now.Sub(s.stepStartedBy) < holdRetryDelay {
				return nil
			}
			s.chooseStep(now)
		}
		return s.ordersFor(now, func(r *switchRank) (RankOrder, bool) {
			return RankOrder{Operation: OrderHold, Step: s.step}, r.report.Rank == s.holder
		})
	case switchArming:
		allArmed := true
		for _, r := range s.ranks {
			r.armed = r.armed || r.report.ArmedVersion == s.version && r.report.ArmedStep == s.step
			allArmed = allArmed && r.armed
			if !r.armed && !r.armRefusedAt.IsZero() && r.reportedAt.After(r.armRefusedAt.Add(s.config.MaxReportLag)) && r.report.Prepared != s.version {
				s.startClearing(now) // this rank can never be armed for the version
				return nil
			}
		}
		if allArmed || s.armedIdentically() {
			s.allArmed = allArmed
			s.enterPhase(now, switchReleasing)
			return s.Tick(now)
		}
		return s.ordersFor(now, func(r *switchRank) (RankOrder, bool) {
			return RankOrder{Operation: OrderArm, Version: s.version, Step: s.step}, !r.armed
		})
	case switchReleasing:
		return s.releaseOrders(now)
	case switchClearing:
		return s.clearingOrders(now)
	}
	return nil
}

// releaseOrders returns the release for the rank that holds the step.
func (s *Switchover) releaseOrders(now time.Time) []RankOrder {
	return s.ordersFor(now, func(r *switchRank) (RankOrder, bool) {
		return RankOrder{Operation: OrderRelease, Step: s.step}, r.report.Rank == s.holder
	})
}

// armedIdentically reports whether all ranks report that they are armed for the same version and step, not before the
// held one. Then no order can disarm one of them, so the held step may be released.
func (s *Switchover) armedIdentically() bool {
	first := s.ranks[s.holder]
	if first == nil || first.report.ArmedVersion == 0 || first.report.ArmedStep < s.step {
		return false
	}
	for _, r := range s.ranks {
		if r.report.ArmedVersion != first.report.ArmedVersion || r.report.ArmedStep != first.report.ArmedStep {
			return false
		}
	}
	return len(s.ranks) == s.config.Ranks
}

// ordersFor returns the orders for the ranks that need one and have been sent none within the resend interval.
func (s *Switchover) ordersFor(now time.Time, order func(*switchRank) (RankOrder, bool)) []RankOrder {
	var orders []RankOrder
	interval := s.config.ResendInterval
	if s.phase >= switchArming {
		interval = s.config.HeldResendInterval
	}
	for _, rank := range slices.Sorted(maps.Keys(s.ranks)) {
		r := s.ranks[rank]
		o, needed := order(r)
		if !needed || now.Sub(r.sentAt) < interval {
			continue
		}
		r.sentAt = now
		s.answers.recordOrder(now)
		o.Rank, o.Epoch = rank, s.epoch
		orders = append(orders, o)
	}
	return orders
}
