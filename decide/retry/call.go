package retry

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy holds what all requests of an entry instance share.
type Policy struct {
	Budget      *Budget
	Backoff     Backoff
	Latency     *Latency // when to hedge; nil for never
	MaxAttempts int      // attempts of one request, hedges and resumes included; 0 means 4
}

const defaultMaxAttempts = 4

// Call follows the attempts of one request and keeps the facts that Classify needs.
type Call struct {
	policy     *Policy
	idempotent bool
	deadline   time.Time
	attempts   int
	inFlight   []string
	cancelled  []string // losers whose ends are ignored
	mayHaveRun bool
	seen       uint64 // tokens, or bytes of another answer, that the caller has received
	finished   bool
	hedge      string // identifier of the hedge, if any
}

// NewCall returns the call of a request that has not been sent.
func (p *Policy) NewCall(idempotent bool, deadline time.Time) *Call {
	return &Call{policy: p, idempotent: idempotent, deadline: deadline}
}

// Sent records that an attempt is about to be sent. It must be called before the first byte leaves.
func (c *Call) Sent(attempt string) {
	c.attempts++
	c.inFlight = append(c.inFlight, attempt)
}

// Seen returns how many tokens the caller has received: a resumed attempt starts after them.
func (c *Call) Seen() uint64 { return c.seen }

// Deliver is called for each part of an answer before it goes to the caller. It returns how many leading tokens of the
// part the caller already has, and the attempts to cancel because this one has won. It reports false if the part must
// not be delivered: it belongs to a loser, or tokens before it are missing.
func (c *Call) Deliver(attempt string, offset, tokens uint64) (skip uint64, cancel []string, ok bool) {
	if c.finished || !slices.Contains(c.inFlight, attempt) || offset > c.seen {
		return 0, nil, false
	}
	if offset+tokens <= c.seen {
		return tokens, nil, true
	}
	skip = c.seen - offset
	c.seen = offset + tokens
	return skip, c.keep(attempt), true
}

// keep cancels all attempts in flight but one.
func (c *Call) keep(attempt string) []string {
	var losers []string
	for _, other := range c.inFlight {
		if other != attempt {
			losers = append(losers, other)
		}
	}
	if len(losers) > 0 {
		c.mayHaveRun = true
		c.cancelled = append(c.cancelled, losers...)
		c.inFlight = []string{attempt}
	}
	return losers
}

// Ending tells how an attempt ended and what could follow.
type Ending struct {
	End         End
	RetryAfter  time.Duration // asked for by the server
	OtherServer bool          // another server can take the request
	Resumes     bool          // the answer is a token stream, and a server in reach resumes it
	CanInquire  bool          // the agent is in reach and was not asked about this attempt yet
}

// Decision is the next step with what it needs.
type Decision struct {
	Step   Step
	Pause  time.Duration // for StepRetry and StepResume: wait before the new attempt is sent
	From   uint64        // for StepResume: tokens that the caller has
	Cancel []string      // attempts to cancel now
}

// Ended decides what follows the end of an attempt.
func (c *Call) Ended(now time.Time, attempt string, e Ending, random *rand.Rand) Decision {
	at := slices.Index(c.inFlight, attempt)
	if c.finished || at < 0 {
		return Decision{Step: StepWait} // a loser, or a repeated end
	}
	pause := c.policy.Backoff.Delay(c.attempts, e.RetryAfter, random)
	step := Classify(Situation{
		End: e.End, Idempotent: c.idempotent, Seen: c.seen > 0, Resumes: e.Resumes, CanInquire: e.CanInquire,
		MayHaveRun: c.mayHaveRun, Racing: len(c.inFlight) > 1,
		MayResend: e.OtherServer && c.attempts < c.policy.maxAttempts() && now.Add(pause).Before(c.deadline) &&
			c.policy.Budget.Left(now) >= 1,
	})
	decision := Decision{Step: step}
	switch step {
	case StepInquire, StepAttach:
		return decision // the attempt stays in flight
	case StepRetry, StepResume:
		c.policy.Budget.Retry(now)
		decision.Pause, decision.From = pause, c.seen
	case StepAnswer:
		decision.Cancel = c.keep(attempt)
		c.policy.Budget.Success(now)
	}
	if e.End != EndNotRun {
		c.mayHaveRun = true
	}
	if at = slices.Index(c.inFlight, attempt); at >= 0 {
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
	}
	switch step {
	case StepAnswer, StepRefuse, StepAlreadyRun, StepUnknown:
		c.finished = true
	}
	return decision
}

// Unsent decides what to answer when no further attempt can be sent, for example because the deadline passed during the
// pause before a retry: the request is refused as not run only if no attempt of it can have run.
func (c *Call) Unsent() Step {
	if len(c.inFlight) > 0 {
		return StepWait
	}
	c.finished = true
	if c.mayHaveRun {
		return StepUnknown
	}
	return StepRefuse
}

// HedgeAt returns when to hedge an attempt sent at the given time. It reports false if the request must not be hedged.
func (c *Call) HedgeAt(sent time.Time) (time.Time, bool) {
	if c.policy.Latency == nil || !c.mayHedge() {
		return time.Time{}, false
	}
	late, ok := c.policy.Latency.Late(sent)
	return sent.Add(late), ok && sent.Add(late).Before(c.deadline)
}

// Hedge reports whether to send a second attempt now, and takes its allowance. Only an idempotent request of which the
// caller has seen nothing is hedged, and only once.
func (c *Call) Hedge(now time.Time, attempt string) bool {
	if !c.mayHedge() || len(c.inFlight) != 1 || !now.Before(c.deadline) || !c.policy.Budget.Hedge(now) {
		return false
	}
	c.hedge = attempt
	c.Sent(attempt)
	return true
}

func (c *Call) mayHedge() bool {
	return c.idempotent && c.seen == 0 && c.hedge == "" && !c.finished && c.attempts < c.policy.maxAttempts()
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return p.MaxAttempts
}
