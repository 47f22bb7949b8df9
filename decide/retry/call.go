package retry

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy is the retry policy and state shared by all requests of an entry instance.
type Policy struct {
	Budget      *Budget
	Backoff     Backoff
	Latency     *Latency // determines when to hedge; nil disables hedging
	MaxAttempts int      // maximum attempts of one request, including hedges and resumes; 0 means 4
}

const defaultMaxAttempts = 4

// Call tracks the attempts of one request and the facts that Classify needs.
type Call struct {
	policy       *Policy
	idempotent   bool
	deadline     time.Time
	attempts     int
	inFlight     []string
	cancelled    []string // attempts that lost to another; their ends are ignored
	mayHaveRun   bool
	delivered    uint64 // tokens (bytes, if the answer is no token stream) that the caller has received
	finished     bool
	hedgeAttempt string // identifier of the hedge, if any
}

// NewCall returns the Call of a request that has not been sent.
func (p *Policy) NewCall(idempotent bool, deadline time.Time) *Call {
	return &Call{policy: p, idempotent: idempotent, deadline: deadline}
}

// AttemptSent records that an attempt is about to be sent. It must be called before the first byte is sent.
func (c *Call) AttemptSent(attempt string) {
	c.attempts++
	c.inFlight = append(c.inFlight, attempt)
}

// Delivered returns the number of tokens that the caller has received. A resumed attempt starts after them.
func (c *Call) Delivered() uint64 { return c.delivered }

// Deliver must be called for each part of an answer before it is sent to the caller. skip is the number of leading tokens
// of the part that the caller already has; cancel lists the attempts to cancel because this one has won. ok is false if
// the part must not be delivered: it belongs to a losing attempt, or tokens before it are missing.
func (c *Call) Deliver(attempt string, offset, tokens uint64) (skip uint64, cancel []string, ok bool) {
	if c.finished || !slices.Contains(c.inFlight, attempt) || offset > c.delivered {
		return 0, nil, false
	}
	if offset+tokens <= c.delivered {
		return tokens, nil, true
	}
	skip = c.delivered - offset
	c.delivered = offset + tokens
	return skip, c.cancelOthers(attempt), true
}

// cancelOthers marks all in-flight attempts but one as cancelled and returns them.
func (c *Call) cancelOthers(attempt string) []string {
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

// AttemptEnd describes how an attempt ended and which steps are possible.
type AttemptEnd struct {
	End         End
	RetryAfter  time.Duration // delay requested by the server
	OtherServer bool          // another server can accept the request
	CanResume   bool          // the answer is a token stream, and a reachable server can resume it
	CanInquire  bool          // the agent is reachable and has not been asked about this attempt yet
}

// Decision is the next step with its parameters.
type Decision struct {
	Step   Step
	Delay  time.Duration // for StepRetry and StepResume: delay before the new attempt is sent
	From   uint64        // for StepResume: number of tokens that the caller has
	Cancel []string      // attempts to cancel now
}

// AttemptEnded decides the next step when an attempt has ended.
func (c *Call) AttemptEnded(now time.Time, attempt string, e AttemptEnd, random *rand.Rand) Decision {
	at := slices.Index(c.inFlight, attempt)
	if c.finished || at < 0 {
		return Decision{Step: StepWait} // a losing attempt, or a repeated end
	}
	delay := c.policy.Backoff.Delay(c.attempts, e.RetryAfter, random)
	step := Classify(Situation{
		End: e.End, Idempotent: c.idempotent, Delivered: c.delivered > 0, CanResume: e.CanResume, CanInquire: e.CanInquire,
		MayHaveRun: c.mayHaveRun, OtherInFlight: len(c.inFlight) > 1,
		MayResend: e.OtherServer && c.attempts < c.policy.maxAttempts() && now.Add(delay).Before(c.deadline) &&
			c.policy.Budget.Available(now) >= 1,
	})
	decision := Decision{Step: step}
	switch step {
	case StepInquire, StepAttach:
		return decision // the attempt stays in flight
	case StepRetry, StepResume:
		c.policy.Budget.TakeRetry(now)
		decision.Delay, decision.From = delay, c.delivered
	case StepAnswer:
		decision.Cancel = c.cancelOthers(attempt)
		c.policy.Budget.AddSuccess(now)
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

// NoFurtherAttempt returns the step to take when no further attempt can be sent, for example because the deadline passed
// during the delay before a retry. The request is refused as not run only if no attempt of it can have run.
func (c *Call) NoFurtherAttempt() Step {
	if len(c.inFlight) > 0 {
		return StepWait
	}
	c.finished = true
	if c.mayHaveRun {
		return StepUnknown
	}
	return StepRefuse
}

// HedgeAt returns when to hedge an attempt sent at the given time. It returns false if the request must not be hedged.
func (c *Call) HedgeAt(sent time.Time) (time.Time, bool) {
	if c.policy.Latency == nil || !c.mayHedge() {
		return time.Time{}, false
	}
	delay, ok := c.policy.Latency.HedgeDelay(sent)
	return sent.Add(delay), ok && sent.Add(delay).Before(c.deadline)
}

// StartHedge reports whether to send a second attempt now; if so, it deducts the hedge from the budget and records the
// attempt. Only an idempotent request of which the caller has received nothing is hedged, and only once.
func (c *Call) StartHedge(now time.Time, attempt string) bool {
	if !c.mayHedge() || len(c.inFlight) != 1 || !now.Before(c.deadline) || !c.policy.Budget.TakeHedge(now) {
		return false
	}
	c.hedgeAttempt = attempt
	c.AttemptSent(attempt)
	return true
}

func (c *Call) mayHedge() bool {
	return c.idempotent && c.delivered == 0 && c.hedgeAttempt == "" && !c.finished && c.attempts < c.policy.maxAttempts()
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return p.MaxAttempts
}
