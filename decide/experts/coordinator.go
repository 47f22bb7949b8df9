package experts

import (
	"errors"
	"fmt"
	"time"
)

// CoordinatorConfig sets the margins and timeouts of a coordinator. Zero fields take the default.
type CoordinatorConfig struct {
	StepMargin     uint64        // steps between the highest reported step and the step of a change, default 64
	LoadTimeout    time.Duration // for loading weights on all ranks, and for delivering the decision, default 60 s
	PrepareTimeout time.Duration // for the promises of all ranks, default 1 s: ranks may block until it expires
	ResendInterval time.Duration // interval at which unanswered messages are sent again, default 200 ms
}

const (
	defaultStepMargin     = 64 // about 2 s at 32 ms a step: enough for a round trip and a log write
	defaultLoadTimeout    = time.Minute
	defaultPrepareTimeout = time.Second
	defaultResendInterval = 200 * time.Millisecond
)

// Phase is the stage of a map change.
type Phase uint8

// Phases of a map change, in order.
const (
	PhaseIdle Phase = iota
	PhaseLoading
	PhasePreparing
	PhaseDeciding
	PhaseArming
)

// Coordinator runs the map changes of one group. Its state is in memory only; all that must survive a restart is in the
// log.
type Coordinator struct {
	config   CoordinatorConfig
	ranks    int
	state    GroupState // newest agreed state received
	token    uint64     // own fencing token, 0 for none
	sequence uint64
	nextStep uint64 // one past the highest step reported by a rank

	phase    Phase
	change   ChangeID
	step     uint64
	epoch    uint64
	answered []bool // by rank, in the current phase
	deadline time.Time
	resendAt time.Time
	decision Decision
}

// Output lists the messages to send and the decisions to propose.
type Output struct {
	Send    []Envelope
	Propose []Decision // to append to the log; repeated until the agreed state shows the outcome
}

// NewCoordinator returns a coordinator without a fencing token.
func NewCoordinator(ranks int, c CoordinatorConfig) *Coordinator {
	if c.StepMargin == 0 {
		c.StepMargin = defaultStepMargin
	}
	if c.LoadTimeout <= 0 {
		c.LoadTimeout = defaultLoadTimeout
	}
	if c.PrepareTimeout <= 0 {
		c.PrepareTimeout = defaultPrepareTimeout
	}
	if c.ResendInterval <= 0 {
		c.ResendInterval = defaultResendInterval
	}
	return &Coordinator{config: c, ranks: ranks}
}

// SetToken sets the fencing token that the log granted to this coordinator. A token that is not newer is ignored.
func (c *Coordinator) SetToken(token uint64) {
	if token > c.token {
		c.token, c.sequence, c.phase = token, 0, PhaseIdle
	}
}

// Phase returns the phase and identifier of the current change.
func (c *Coordinator) Phase() (Phase, ChangeID) { return c.phase, c.change }

// Begin starts a map change and returns its identifier, under which the ranks must be able to fetch the map. It fails
// without a fencing token and while a change is in progress. Each change costs a log entry even if it is aborted, so
// the caller begins at most one per planning interval.
func (c *Coordinator) Begin(now time.Time) (ChangeID, Output, error) {
	switch {
	case c.token == 0 || c.state.Token != c.token:
		return ChangeID{}, Output{}, errors.New("no fencing token: acquire one through the agreement group")
	case c.phase != PhaseIdle:
		return ChangeID{}, Output{}, fmt.Errorf("change %v is in progress: wait for its decision", c.change)
	}
	c.sequence = max(c.sequence, c.state.LastDecided) + 1
	c.change = ChangeID{Token: c.token, Sequence: c.sequence}
	c.epoch = c.state.Epoch
	c.enterPhase(now, PhaseLoading, c.config.LoadTimeout)
	return c.change, c.Tick(now), nil
}

// enterPhase starts a phase.
func (c *Coordinator) enterPhase(now time.Time, p Phase, timeout time.Duration) {
	c.phase, c.answered = p, make([]bool, c.ranks)
	c.deadline, c.resendAt = now.Add(timeout), now
}

// Tick sends unanswered messages again and aborts a change whose phase has timed out.
func (c *Coordinator) Tick(now time.Time) Output {
	if (c.phase == PhaseLoading || c.phase == PhasePreparing) && !now.Before(c.deadline) {
		return c.proposeDecision(now, false)
	}
	if c.phase == PhaseIdle || now.Before(c.resendAt) {
		return Output{}
	}
	c.resendAt = now.Add(c.config.ResendInterval)
	var out Output
	switch c.phase {
	case PhaseLoading:
		out.Send = c.toUnanswered(Load{Change: c.change})
	case PhasePreparing:
		out.Send = c.toUnanswered(Prepare{Change: c.change, Step: c.step})
	case PhaseDeciding:
		out.Propose = []Decision{c.decision}
	case PhaseArming:
		// A rank that restarts receives the decision when it joins, so sending may stop at the deadline.
		if !now.Before(c.deadline) {
			c.phase = PhaseIdle
			break
		}
		outcome, step := c.state.Outcome(c.change)
		out.Send = c.toUnanswered(Decided{Change: c.change, Committed: outcome == Committed, Step: step})
	}
	return out
}

// toUnanswered addresses a message to the ranks that have not answered in this phase.
func (c *Coordinator) toUnanswered(m Message) []Envelope {
	envelopes := make([]Envelope, 0, c.ranks)
	for rank, answered := range c.answered {
		if !answered {
			envelopes = append(envelopes, Envelope{Rank: rank, Message: m})
		}
	}
	return envelopes
}

// proposeDecision proposes to the log to commit or abort the change.
func (c *Coordinator) proposeDecision(now time.Time, commit bool) Output {
	c.decision = Decision{Change: c.change, Commit: commit, Step: c.step, Epoch: c.epoch}
	c.enterPhase(now, PhaseDeciding, 0)
	return c.Tick(now)
}

// UpdateState receives the agreed state of the group. It may arrive late, repeated or out of order.
func (c *Coordinator) UpdateState(now time.Time, state *GroupState) Output {
	if state.Index < c.state.Index {
		return Output{}
	}
	c.state = state.Clone()
	if c.phase == PhaseIdle || c.phase == PhaseArming {
		return Output{}
	}
	if outcome, _ := state.Outcome(c.change); outcome != Undecided {
		c.enterPhase(now, PhaseArming, c.config.LoadTimeout)
		return c.Tick(now)
	}
	if state.Epoch != c.epoch && c.phase != PhaseDeciding {
		return c.proposeDecision(now, false) // a rank has restarted and has no record of the change
	}
	return Output{}
}

// HandleReport processes a report of a rank.
func (c *Coordinator) HandleReport(now time.Time, report Report) Output {
	if report.Rank < 0 || report.Rank >= c.ranks {
		return Output{}
	}
	c.nextStep = max(c.nextStep, report.NextStep)
	var out Output
	if report.Answer == AnswerWaiting || report.Answer == AnswerRefused && report.Pending != (ChangeID{}) {
		out = c.answerPending(report)
	}
	// Ignore reports of a process that has been replaced.
	if report.Change != c.change || report.Rank >= len(c.state.Incarnations) || c.state.Incarnations[report.Rank] != report.Incarnation {
		return out
	}
	expected := map[Phase]Answer{PhaseLoading: AnswerLoaded, PhasePreparing: AnswerPrepared, PhaseArming: AnswerArmed}
	if answer, ok := expected[c.phase]; ok && answer == report.Answer {
		c.answered[report.Rank] = true
		return mergeOutputs(out, c.advance(now))
	}
	if report.Answer == AnswerRefused && (c.phase == PhaseLoading || c.phase == PhasePreparing) && report.Pending == (ChangeID{}) {
		return mergeOutputs(out, c.proposeDecision(now, false))
	}
	return out
}

// advance enters the next phase once all ranks have answered.
func (c *Coordinator) advance(now time.Time) Output {
	for _, answered := range c.answered {
		if !answered {
			return Output{}
		}
	}
	switch c.phase {
	case PhaseLoading:
		c.step = max(c.nextStep, c.state.lastCommit().Step) + c.config.StepMargin
		c.enterPhase(now, PhasePreparing, c.config.PrepareTimeout)
		return c.Tick(now)
	case PhasePreparing:
		return c.proposeDecision(now, true)
	default:
		c.phase = PhaseIdle
		return Output{}
	}
}

// answerPending answers a rank that waits for a decision. Any instance that has the agreed state can do this.
func (c *Coordinator) answerPending(report Report) Output {
	outcome, step := c.state.Outcome(report.Pending)
	switch {
	case outcome != Undecided:
		return Output{Send: []Envelope{{Rank: report.Rank,
			Message: Decided{Change: report.Pending, Committed: outcome == Committed, Step: step}}}}
	case report.Pending.Token == c.token && report.Pending != c.change:
		// Left over from a change that this coordinator no longer runs.
		return Output{Propose: []Decision{{Change: report.Pending}}}
	}
	return Output{}
}

func mergeOutputs(a, b Output) Output {
	return Output{Send: append(a.Send, b.Send...), Propose: append(a.Propose, b.Propose...)}
}
