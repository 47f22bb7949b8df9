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
	// claimTimeout limits the wait for a claim to be synced to disk on a majority. A partitioned control instance does not
	// answer, and the caller should learn soon that the request was not run.
	claimTimeout = 5 * time.Second
	// outcomeTimeout limits the inquiries for the outcome of an attempt whose caller no longer waits.
	outcomeTimeout = 60 * time.Second
)

// serveKeyed runs a non-idempotent call at most once. An attempt is sent only under a claim that is synced to disk on a
// majority, and a second attempt only after the first is proved not to have run.
func (g *Gateway) serveKeyed(ctx context.Context, c *call, answer *answerBuffer) error {
	var p progress
	return p.keyedRefusal(g.tryKeyed(ctx, c, &p, answer))
}

// tryKeyed makes attempts until the outcome of the call is determined.
func (g *Gateway) tryKeyed(ctx context.Context, c *call, p *progress, answer *answerBuffer) error {
	replaces := ""
	for p.placements < maxPlacements {
		place, err := g.dispatcher.acquire(ctx, c, p.triedServers, p.triedDataCentres, preferOther)
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
		p.recordAttempt(place)
		if notRunAttempt == "" {
			return err
		}
		if notRunAttempt != spilledNotRun {
			replaces = notRunAttempt
		}
		g.resetTriedServers(c, p)
		if !g.retries.waitBackoff(ctx, p.placements, 0) {
			ran := false
			return deadlineError(c, &ran)
		}
	}
	return problem.New(problem.NotRun, "no backend server took the request (%s): retry later with the same key", p.lastResult.reason).
		WithRetryAfter(max(p.lastResult.retryAfter, defaultRetryAfter)).WithRan(false)
}

// keyedRefusal replaces a refusal which states that the call did not run, if the session over which the call was spilled
// to another data centre was lost: the entry instance there continues until the deadline and may still run it.
func (p *progress) keyedRefusal(err error) error {
	var refusal *problem.Error
	if !p.spillSessionLost || !errors.As(err, &refusal) || refusal.Kind == problem.BadRequest || refusal.Ran == nil || *refusal.Ran {
		return err
	}
	return problem.New(problem.OutcomeUnknown, "the request was passed to another data centre, and the session to it was lost: "+
		"send it again with the same key, and look up its result before you use another key").WithRetryAfter(max(refusal.RetryAfter, defaultRetryAfter))
}

// spilledNotRun stands for the identifier of an attempt that was spilled to another data centre and proved not to have run
// there, or whose session was lost.
const spilledNotRun = "spilled"

// runKeyed claims the key for an attempt at the placement and runs it. If the attempt recorded for the key is proved not
// to have run, it returns that attempt's identifier, and another attempt may be made. Otherwise the error is the call's
// outcome.
func (g *Gateway) runKeyed(ctx context.Context, c *call, place placement, replaces string, p *progress, answer *answerBuffer) (string, error) {
	claim := Claim{
		Organisation: c.organisation,
		Key:          c.key,
		Digest:       c.digest,
		Attempt:      newAttemptID(),
		Server:       place.server,
		Boot:         place.incarnation,
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
			"retry later with the same key").WithRetryAfter(defaultRetryAfter).WithRan(false)
	case record.Digest != c.digest:
		return "", problem.New(problem.BadRequest, "the key was used for another request: use a new %s", HeaderIdempotencyKey).WithRan(false)
	case record.Attempt != claim.Attempt:
		place.release() // the key is claimed by another attempt; waiting for its answer needs no slot
		return g.resolveOutcome(ctx, c, record, answer)
	}
	p.lastResult = g.attempt(ctx, c, place, claim.Attempt, answer)
	if p.lastResult.end == retry.EndNotRun {
		return claim.Attempt, nil
	}
	if p.lastResult.end == retry.EndDone {
		g.ledger.Finish(claim, protocol.OutcomeDone, p.lastResult.status)
		g.retries.recordSuccess()
		return "", answer.flush()
	}
	if p.lastResult.err != nil {
		go g.recordOutcomeLater(claim, record)
		return "", p.lastResult.err
	}
	return g.resolveOutcome(ctx, c, record, answer)
}

// resolveOutcome determines the outcome of the recorded attempt and sends the caller its answer if the agent has kept it.
// It returns the attempt's identifier if the attempt is proved not to have run.
func (g *Gateway) resolveOutcome(ctx context.Context, c *call, record ClaimRecord, answer *answerBuffer) (string, error) {
	found := g.inquire(ctx, record)
	claim := Claim{Organisation: c.organisation, Key: c.key, Digest: record.Digest, Attempt: record.Attempt}
	situation := retry.Situation{Delivered: answer.headSent, MayResend: ctx.Err() == nil}
	switch {
	case found.Outcome == protocol.OutcomeNotRun:
		situation.End = retry.EndNotRun
	case found.Outcome == protocol.OutcomeDone && found.HasAnswer:
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
		return "", answer.sendKept(&found)
	case retry.StepRetry:
		return record.Attempt, nil
	case retry.StepRefuse:
		ran := false
		return "", deadlineError(c, &ran)
	case retry.StepAlreadyRun:
		return "", problem.New(problem.AlreadyRun, "the request ran before, with status %d, and its answer is no longer kept: "+
			"look up its result", max(found.Status, record.Status)).WithRan(true)
	case retry.StepAttach:
		go g.recordOutcomeLater(claim, record)
		return "", problem.New(problem.DeadlineExceeded, "the request is still running: send it again with the same key to get its answer").
			WithRetryAfter(defaultRetryAfter).WithRan(true)
	default:
		return "", problem.New(problem.OutcomeUnknown, "the agent that took the request does not answer or has restarted: "+
			"send it again with the same key, and look up its result before you use another key").WithRetryAfter(defaultRetryAfter)
	}
}

// recordOutcomeLater inquires for and records the outcome of an attempt whose caller no longer waits.
func (g *Gateway) recordOutcomeLater(claim Claim, record ClaimRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	if found := g.inquire(ctx, record); found.Outcome == protocol.OutcomeDone {
		g.ledger.Finish(claim, found.Outcome, found.Status)
	}
}

// spillKeyed passes the call to an entry instance of another data centre, which claims the key and runs it. If the session
// is lost, another attempt is safe: its own claim returns the record of the claim made there, if there is one.
func (g *Gateway) spillKeyed(ctx context.Context, c *call, place placement, p *progress, answer *answerBuffer) (string, error) {
	p.lastResult = g.attempt(ctx, c, place, newAttemptID(), answer)
	switch {
	case p.lastResult.err != nil:
		return "", p.lastResult.err
	case p.lastResult.end == retry.EndDone:
		return "", answer.flush()
	case p.lastResult.end == retry.EndNotRun:
		return spilledNotRun, nil
	case p.lastResult.end == retry.EndSessionLost:
		p.spillSessionLost = true
		return spilledNotRun, nil
	default:
		return "", unknownProblem(p.lastResult.reason)
	}
}
