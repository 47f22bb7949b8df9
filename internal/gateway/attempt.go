package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/banyanfront/banyanfront/decide/retry"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// stallTimeout is how long a streamed answer may make no progress before it is resumed at another server, if the retry
// budget allows it. At the target inter-token latency of 32 ms, 30 tokens are overdue by then.
const stallTimeout = time.Second

// errStalled means that a stream has made no progress for stallTimeout.
var errStalled = errors.New("the stream makes no progress")

// attemptResult describes how an attempt ended.
type attemptResult struct {
	end          retry.End
	status       int
	reason       string
	retryAfter   time.Duration
	retryCharged bool  // the retry budget was charged for the next attempt
	err          error // ends the call at once: the caller disconnected, its deadline passed, or another instance refused it
}

// newAttemptID returns a random unique identifier.
func newAttemptID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// attempt sends one attempt to its placement and writes the answer to the buffer.
func (g *Gateway) attempt(ctx context.Context, c *call, place placement, id string, answer *answerBuffer) attemptResult {
	open := c.openMessage(id, place, 0)
	if answer.headSent {
		open.ResumeFrom = answer.offset
	}
	if place.spilled() {
		open.Spill = &protocol.Spill{Kind: c.target.Kind, Name: c.target.Name, Adapter: c.target.Adapter, Version: c.target.Version}
	}
	st, err := place.session.Open(ctx, open)
	if err != nil {
		return attemptResult{end: openErrorEnd(err), reason: err.Error()}
	}
	defer st.Close("the entry instance has left the attempt")
	status := 0
	sentAt := time.Now()
	firstDataObserved := false
	for {
		m, err := receive(ctx, st, answer.headSent)
		if errors.Is(err, errStalled) {
			if c.idempotent() && answer.stream && g.resumable(c.target) && g.retries.allowRetry() {
				return attemptResult{end: retry.EndSessionLost, reason: err.Error(), retryCharged: true}
			}
			continue
		}
		if err != nil {
			return g.receiveErrorResult(ctx, c, err)
		}
		switch message := m.(type) {
		case *protocol.Head:
			status = message.Status
			g.notifyServerUsed(c, &place)
			err = answer.setHead(message)
		case *protocol.Data:
			if !firstDataObserved {
				firstDataObserved = true
				g.retries.latencies.observe(c, time.Since(sentAt))
			}
			err = answer.addData(message)
		case *protocol.End:
			if message.Load != nil {
				g.views.ObserveLoad(*message.Load)
			}
			return resultOf(message, status)
		}
		if errors.Is(err, errCallerDisconnected) || errors.Is(err, errLostRace) {
			return attemptResult{end: retry.EndSessionLost, err: err}
		}
		if err != nil {
			return attemptResult{end: retry.EndFailed, reason: err.Error()}
		}
	}
}

// openErrorEnd classifies the error of opening a stream.
func openErrorEnd(err error) retry.End {
	var refused *transport.OpenRefused
	if errors.As(err, &refused) || neverSent(err) {
		return retry.EndNotRun
	}
	return retry.EndSessionLost
}

// neverSent reports whether the session was lost before the attempt was sent.
func neverSent(err error) bool {
	var lost *transport.SessionLost
	return errors.As(err, &lost) && lost.NotRun()
}

// receive returns the next message. If the head of the answer has been sent to the caller and no message arrives within
// stallTimeout, it returns errStalled.
func receive(ctx context.Context, st transport.Stream, headSent bool) (protocol.Message, error) {
	if !headSent {
		return st.Receive(ctx)
	}
	limited, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	m, err := st.Receive(limited)
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		return nil, errStalled
	}
	return m, err
}

// receiveErrorResult classifies an attempt whose End message did not arrive.
func (g *Gateway) receiveErrorResult(ctx context.Context, c *call, err error) attemptResult {
	if neverSent(err) {
		return attemptResult{end: retry.EndNotRun, reason: err.Error()}
	}
	if ctx.Err() == nil {
		return attemptResult{end: retry.EndSessionLost, reason: err.Error()}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return attemptResult{end: retry.EndSessionLost, err: deadlineError(c, nil)}
	}
	return attemptResult{end: retry.EndSessionLost, err: errCallerDisconnected}
}

// resultOf translates the End message of an agent or of another entry instance.
func resultOf(m *protocol.End, status int) attemptResult {
	e := attemptResult{status: status, reason: m.Reason, retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond}
	switch m.Outcome {
	case protocol.OutcomeDone:
		e.end = retry.EndDone
	case protocol.OutcomeNotRun:
		e.end = retry.EndNotRun
	case protocol.OutcomeFailed:
		e.end = retry.EndFailed
	case protocol.OutcomeRunning:
		e.end = retry.EndRunning
	default:
		e.end = retry.EndUnknown
	}
	if m.Kind != "" && m.Kind != string(problem.NotRun) {
		p := &problem.Error{Kind: problem.Kind(m.Kind), Detail: m.Reason, RetryAfter: e.retryAfter}
		if e.end == retry.EndNotRun {
			p = p.WithRan(false)
		}
		e.err = p
	}
	return e
}

// serverFailed reports whether a status means that the server failed, so that an idempotent request may be retried.
func serverFailed(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
