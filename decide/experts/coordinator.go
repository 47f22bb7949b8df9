package experts

import (
	"errors"
	"fmt"
	"time"
)

// CoordinatorConfig sets the times of a coordinator. Zero fields take the default.
type CoordinatorConfig struct {
	Margin         uint64        // steps between the highest step seen and the step of a change, default 64
	LoadTimeout    time.Duration // for loading weights on all ranks, default 60 s
	PrepareTimeout time.Duration // for the promises of all ranks, default 1 s: ranks may have to wait for it
	Resend         time.Duration // pause before a message without answer is sent again, default 200 ms
}

const (
	defaultMargin         = 64 // about 2 s of steps at 32 ms, room for a round trip and a log write
	defaultLoadTimeout    = time.Minute
	defaultPrepareTimeout = time.Second
	defaultResend         = 200 * time.Millisecond
)

// Phase is the stage of a change.
type Phase uint8

// Phases of a change.
const (
	PhaseIdle Phase = iota
	PhaseLoading
	PhasePreparing
	PhaseDeciding
	PhaseArming
)

// Coordinator leads the map changes of one group. Its state is in memory: what must outlast it is in the log.
type Coordinator struct {
	config   CoordinatorConfig
	ranks    int
	ledger   Ledger // newest agreed state seen
	token    uint64 // own fencing token, 0 without
	sequence uint64
	highest  uint64 // highest step reported by a rank, plus one

	phase    Phase
	change   ChangeID
	step     uint64
	epoch    uint64
	answered []bool // by rank, in the present phase
	until    time.Time
	resend   time.Time
	decision Decide
}

// Output is what the coordinator wants done.
type Output struct {
	Send    []Envelope
	Propose []Decide // to append to the log; repeated until the agreed state shows the outcome
}

// NewCoordinator returns a coordinator without a fencing token.
func NewCoordinator(ranks int, c CoordinatorConfig) *Coordinator {
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.LoadTimeout <= 0 {
		c.LoadTimeout = defaultLoadTimeout
	}
	if c.PrepareTimeout <= 0 {
		c.PrepareTimeout = defaultPrepareTimeout
	}
	if c.Resend <= 0 {
		c.Resend = defaultResend
	}
	return &Coordinator{config: c, ranks: ranks}
}

// Acquired gives the coordinator the fencing token that the log gave to it.
func (c *Coordinator) Acquired(token uint64) {
	if token > c.token {
		c.token, c.sequence, c.phase = token, 0, PhaseIdle
	}
}

// Phase returns the phase and identifier of the present change.
func (c *Coordinator) Phase() (Phase, ChangeID) { return c.phase, c.change }

// Begin starts a change and returns its identifier, under which the map must be available to the ranks. Each change costs
// a log entry even if it is aborted, so the caller begins at most one in each planning interval.
func (c *Coordinator) Begin(now time.Time) (ChangeID, Output, error) {
	switch {
	case c.token == 0 || c.ledger.Token != c.token:
		return ChangeID{}, Output{}, errors.New("no fencing token: acquire one through the agreement group")
	case c.phase != PhaseIdle:
		return ChangeID{}, Output{}, fmt.Errorf("change %v is under way: wait for its decision", c.change)
	}
	c.sequence = max(c.sequence, c.ledger.Decided) + 1
	c.change = ChangeID{Token: c.token, Sequence: c.sequence}
	c.epoch = c.ledger.Epoch
	c.enter(now, PhaseLoading, c.config.LoadTimeout)
	return c.change, c.Tick(now), nil
}

// enter starts a phase.
func (c *Coordinator) enter(now time.Time, p Phase, timeout time.Duration) {
	c.phase, c.answered = p, make([]bool, c.ranks)
	c.until, c.resend = now.Add(timeout), now
}

// Tick sends again what has no answer and ends phases that take too long.
func (c *Coordinator) Tick(now time.Time) Output {
	if (c.phase == PhaseLoading || c.phase == PhasePreparing) && !now.Before(c.until) {
		return c.decide(now, false)
	}
	if c.phase == PhaseIdle || now.Before(c.resend) {
		return Output{}
	}
	c.resend = now.Add(c.config.Resend)
	var out Output
	switch c.phase {
	case PhaseLoading:
		out.Send = c.toAll(Load{Change: c.change})
	case PhasePreparing:
		out.Send = c.toAll(Prepare{Change: c.change, Step: c.step})
	case PhaseDeciding:
		out.Propose = []Decide{c.decision}
	case PhaseArming:
		// A rank that restarts learns the decision when it joins, so sending need not go on for ever.
		if !now.Before(c.until) {
			c.phase = PhaseIdle
			break
		}
		outcome, step := c.ledger.Outcome(c.change)
		out.Send = c.toAll(Decided{Change: c.change, Committed: outcome == Committed, Step: step})
	}
	return out
}

// toAll addresses a message to the ranks that have not answered in this phase.
func (c *Coordinator) toAll(m Message) []Envelope {
	out := make([]Envelope, 0, c.ranks)
	for rank, done := range c.answered {
		if !done {
			out = append(out, Envelope{Rank: rank, Message: m})
		}
	}
	return out
}

// decide proposes the end of the change to the log.
func (c *Coordinator) decide(now time.Time, commit bool) Output {
	c.decision = Decide{Change: c.change, Commit: commit, Step: c.step, Epoch: c.epoch}
	c.enter(now, PhaseDeciding, 0)
	return c.Tick(now)
}

// Agreed takes the agreed state of the group. It may arrive late, repeated or out of order.
func (c *Coordinator) Agreed(now time.Time, l *Ledger) Output {
	if l.Index < c.ledger.Index {
		return Output{}
	}
	c.ledger = l.Clone()
	if c.phase == PhaseIdle || c.phase == PhaseArming {
		return Output{}
	}
	if outcome, _ := l.Outcome(c.change); outcome != Undecided {
		c.enter(now, PhaseArming, c.config.LoadTimeout)
		return c.Tick(now)
	}
	if l.Epoch != c.epoch && c.phase != PhaseDeciding {
		return c.decide(now, false) // a rank has restarted and knows nothing of the change
	}
	return Output{}
}

// Handle takes a report of a rank.
func (c *Coordinator) Handle(now time.Time, r Report) Output {
	if r.Rank < 0 || r.Rank >= c.ranks {
		return Output{}
	}
	c.highest = max(c.highest, r.Step)
	var out Output
	if r.Answer == AnswerWaiting || r.Answer == AnswerRefused && r.Pending != (ChangeID{}) {
		out = c.tell(r)
	}
	// A report of a process that has been replaced does not count.
	if r.Change != c.change || r.Rank >= len(c.ledger.Boots) || c.ledger.Boots[r.Rank] != r.Boot {
		return out
	}
	wanted := map[Phase]Answer{PhaseLoading: AnswerLoaded, PhasePreparing: AnswerPrepared, PhaseArming: AnswerArmed}
	if answer, ok := wanted[c.phase]; ok && answer == r.Answer {
		c.answered[r.Rank] = true
		return join(out, c.proceed(now))
	}
	if r.Answer == AnswerRefused && (c.phase == PhaseLoading || c.phase == PhasePreparing) && r.Pending == (ChangeID{}) {
		return join(out, c.decide(now, false))
	}
	return out
}

// proceed enters the next phase once all ranks have answered.
func (c *Coordinator) proceed(now time.Time) Output {
	for _, done := range c.answered {
		if !done {
			return Output{}
		}
	}
	switch c.phase {
	case PhaseLoading:
		c.step = max(c.highest, c.ledger.last().Step) + c.config.Margin
		c.enter(now, PhasePreparing, c.config.PrepareTimeout)
		return c.Tick(now)
	case PhasePreparing:
		return c.decide(now, true)
	default:
		c.phase = PhaseIdle
		return Output{}
	}
}

// tell answers a rank that waits for a decision. Any instance that holds the agreed state can do this.
func (c *Coordinator) tell(r Report) Output {
	outcome, step := c.ledger.Outcome(r.Pending)
	switch {
	case outcome != Undecided:
		return Output{Send: []Envelope{{Rank: r.Rank,
			Message: Decided{Change: r.Pending, Committed: outcome == Committed, Step: step}}}}
	case r.Pending.Token == c.token && r.Pending != c.change:
		// Left over from a change that this coordinator no longer leads.
		return Output{Propose: []Decide{{Change: r.Pending}}}
	}
	return Output{}
}

func join(a, b Output) Output {
	return Output{Send: append(a.Send, b.Send...), Propose: append(a.Propose, b.Propose...)}
}
