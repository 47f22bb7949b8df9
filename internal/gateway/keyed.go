package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/retry"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

const (
	// claimTimeout bounds the wait for a claim to be synced on a majority. A control instance that is cut off answers
	// nothing, and the caller should learn soon that the request was not run.
	claimTimeout = 5 * time.Second
	// settleTimeout is how long the outcome of an attempt is asked for after its caller's deadline.
	settleTimeout = 60 * time.Second
)

// serveKeyed runs a non-idempotent call at most once. An attempt is sent only under a claim that is synced on a
// majority, and a second attempt only after the first is proved not run.
func (g *Gateway) serveKeyed(ctx context.Context, c *call, answer *answerBuffer) error {
	var p progress
	return p.keyedRefusal(g.tryKeyed(ctx, c, &p, answer))
}

// tryKeyed makes attempts until one settles the call.
func (g *Gateway) tryKeyed(ctx context.Context, c *call, p *progress, answer *answerBuffer) error {
	replaces := ""
	for p.placements < maxPlacements {
		place, err := g.dispatcher.acquire(ctx, c, p.exclude, p.avoid, preferred)
		if err != nil {
			return err
		}
		var notRunAttempt string
		if place.spilled() {
			notRunAttempt, err = g.spillKeyed(ctx, c, place, p, answer)
		} else {
			notRunAttempt, err = g.runKeyed(ctx, c, place, replaces, p, answer)
		}
		place.release()
		p.note(place)
		if notRunAttempt == "" {
			return err
		}
		if notRunAttempt != spilledNotRun {
			replaces = notRunAttempt
		}
		g.forgetTried(c, p)
		if !g.retries.pause(ctx, p.placements, 0) {
			ran := false
			return deadlineError(c, &ran)
		}
	}
	return problem.New(problem.NotRun, "no backend server took the request (%s): retry later with the same key", p.last.reason).
		After(max(p.last.retryAfter, defaultRetryAfter)).WithRan(false)
}

// keyedRefusal withdraws the promise of a refusal that the call did not run, if the session was lost over which the call
// was passed to another data centre. The entry instance there goes on until the deadline and may still run it.
func (p *progress) keyedRefusal(err error) error {
	var refusal *problem.Error
	if !p.passedOn || !errors.As(err, &refusal) || refusal.Kind == problem.BadRequest || refusal.Ran == nil || *refusal.Ran {
		return err
	}
	return problem.New(problem.OutcomeUnknown, "the request was passed to another data centre, and the session to it was lost: "+
		"send it again with the same key, and look up its result before you use another key").After(max(refusal.RetryAfter, defaultRetryAfter))
}

// spilledNotRun stands for an attempt that another entry instance proved not run, or whose session was lost.
const spilledNotRun = "spilled"

// runKeyed claims the key for an attempt at the placement and runs it. If the attempt of the key is proved not run, it
// returns that attempt's identifier and another one may be made. Otherwise the error is the call's outcome.
func (g *Gateway) runKeyed(ctx context.Context, c *call, place placement, replaces string, p *progress, answer *answerBuffer) (string, error) {
	claim := Claim{
		Organisation: c.organisation,
		Key:          c.key,
		Digest:       c.digest,
		Attempt:      newAttemptID(),
		Server:       place.server,
		Boot:         place.boot,
		DataCentre:   g.config.DataCentre,
		Replaces:     replaces,
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	record, err := g.ledger.Claim(claimCtx, claim)
	cancel()
	switch {
	case err != nil:
		log.WithError(err).WithField("key", c.key).Warn("claim not accepted; the request was not run")
		return "", problem.New(problem.NotRun, "the claim of the key could not be recorded on a majority of control instances: "+
			"retry later with the same key").After(defaultRetryAfter).WithRan(false)
	case record.Digest != c.digest:
		return "", problem.New(problem.BadRequest, "the key was used for another request: use a new %s", HeaderIdempotencyKey).WithRan(false)
	case record.Attempt != claim.Attempt:
		place.release() // another attempt holds the key; its answer needs no slot
		return g.settle(ctx, c, record, answer)
	}
	p.last = g.attempt(ctx, c, place, claim.Attempt, answer)
	if p.last.end == retry.EndNotRun {
		return claim.Attempt, nil
	}
	if p.last.end == retry.EndDone {
		g.ledger.Finish(claim, protocol.OutcomeDone, p.last.status)
		g.retries.success()
		return "", answer.flush()
	}
	if p.last.err != nil {
		go g.recordLater(claim, record)
		return "", p.last.err
	}
	return g.settle(ctx, c, record, answer)
}

// settle finds out what became of the attempt in force and gives the caller its answer, if it is kept.
func (g *Gateway) settle(ctx context.Context, c *call, record Record, answer *answerBuffer) (string, error) {
	found := g.inquire(ctx, record)
	claim := Claim{Organisation: c.organisation, Key: c.key, Digest: record.Digest, Attempt: record.Attempt}
	situation := retry.Situation{Delivered: answer.started, MayResend: ctx.Err() == nil}
	switch {
	case found.Outcome == protocol.OutcomeNotRun:
		situation.End = retry.EndNotRun
	case found.Outcome == protocol.OutcomeDone && found.Kept:
		situation.End = retry.EndDone
	case found.Outcome == protocol.OutcomeDone || record.Outcome == protocol.OutcomeDone:
		situation.End = retry.EndDoneLost
	case found.Outcome == protocol.OutcomeRunning:
		situation.End = retry.EndRunning
	default:
		situation.End = retry.EndUnknown
	}
	if found.Outcome == protocol.OutcomeDone && record.Outcome != protocol.OutcomeDone {
		g.ledger.Finish(claim, protocol.OutcomeDone, found.Status)
	}
	switch retry.Classify(situation) {
	case retry.StepAnswer:
		return "", answer.complete(&found)
	case retry.StepRetry:
		return record.Attempt, nil
	case retry.StepRefuse:
		ran := false
		return "", deadlineError(c, &ran)
	case retry.StepAlreadyRun:
		return "", problem.New(problem.AlreadyRun, "the request ran before, with status %d, and its answer is no longer kept: "+
			"look up its result", max(found.Status, record.Status)).WithRan(true)
	case retry.StepAttach:
		go g.recordLater(claim, record)
		return "", problem.New(problem.DeadlineExceeded, "the request is still running: send it again with the same key to get its answer").
			After(defaultRetryAfter).WithRan(true)
	default:
		return "", problem.New(problem.OutcomeUnknown, "the agent that took the request does not answer or has restarted: "+
			"send it again with the same key, and look up its result before you use another key").After(defaultRetryAfter)
	}
}

// recordLater records the outcome of an attempt whose caller no longer waits.
func (g *Gateway) recordLater(claim Claim, record Record) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if found := g.inquire(ctx, record); found.Outcome == protocol.OutcomeDone {
		g.ledger.Finish(claim, found.Outcome, found.Status)
	}
}

// spillKeyed lets an entry instance of another data centre claim and run the call. After a lost session the key decides:
// the next round of the caller's loop finds the claim, if there is one.
func (g *Gateway) spillKeyed(ctx context.Context, c *call, place placement, p *progress, answer *answerBuffer) (string, error) {
	p.last = g.attempt(ctx, c, place, newAttemptID(), answer)
	switch {
	case p.last.err != nil:
		return "", p.last.err
	case p.last.end == retry.EndDone:
		return "", answer.flush()
	case p.last.end == retry.EndNotRun:
		return spilledNotRun, nil
	case p.last.end == retry.EndSessionLost:
		p.passedOn = true
		return spilledNotRun, nil
	default:
		return "", unknownProblem(p.last.reason)
	}
}
