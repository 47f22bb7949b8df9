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

// stallTimeout is how long a streamed answer may make no progress before it is resumed elsewhere, if the retry budget
// allows it. The target is 32 ms between tokens, so 30 of them are late by then.
const stallTimeout = time.Second

// errStalled says that a stream has made no progress for stallTimeout.
var errStalled = errors.New("the stream makes no progress")

// ending is how an attempt ended.
type ending struct {
	end        retry.End
	status     int
	reason     string
	retryAfter time.Duration
	paid       bool  // the retry budget was charged for what follows
	err        error // ends the call at once: the caller is gone, its deadline passed, or another instance refused it
}

// newAttemptID returns an identifier that no other attempt has.
func newAttemptID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// attempt sends one attempt to its placement and adds the answer to the buffer.
func (g *Gateway) attempt(ctx context.Context, c *call, place placement, id string, answer *answerBuffer) ending {
	open := c.openMessage(id, place, 0)
	if answer.started {
		open.ResumeFrom = answer.offset
	}
	if place.spilled() {
		open.Spill = &protocol.Spill{Kind: c.target.Kind, Name: c.target.Name, Adapter: c.target.Adapter, Version: c.target.Version}
	}
	st, err := place.session.Open(ctx, open)
	if err != nil {
		return ending{end: openFailed(err), reason: err.Error()}
	}
	defer st.Close("the entry instance has left the attempt")
	status := 0
	begun := time.Now()
	observed := false
	for {
		m, err := receive(ctx, st, answer.started)
		if errors.Is(err, errStalled) {
			if c.idempotent() && answer.stream && g.resumable(c.target) && g.retries.allow() {
				return ending{end: retry.EndSessionLost, reason: err.Error(), paid: true}
			}
			continue
		}
		if err != nil {
			return g.receiveFailed(ctx, c, err)
		}
		switch message := m.(type) {
		case *protocol.Head:
			status = message.Status
			g.used(c, &place)
			err = answer.head(message)
		case *protocol.Data:
			if !observed {
				observed = true
				g.retries.lateness.observe(c, time.Since(begun))
			}
			err = answer.add(message)
		case *protocol.End:
			if message.Load != nil {
				g.views.ObserveLoad(*message.Load)
			}
			return endingOf(message, status)
		}
		if errors.Is(err, errCallerGone) || errors.Is(err, errOvertaken) {
			return ending{end: retry.EndSessionLost, err: err}
		}
		if err != nil {
			return ending{end: retry.EndFailed, reason: err.Error()}
		}
	}
}

// openFailed classifies a stream that could not be opened.
func openFailed(err error) retry.End {
	var refused *transport.Refused
	if errors.As(err, &refused) || neverSent(err) {
		return retry.EndNotRun
	}
	return retry.EndSessionLost
}

// neverSent reports whether the session was lost before the attempt left this instance.
func neverSent(err error) bool {
	var lost *transport.SessionLost
	return errors.As(err, &lost) && lost.NotRun()
}

// receive returns the next message, or errStalled if the caller has seen a part of the answer and the next is late.
func receive(ctx context.Context, st transport.Stream, started bool) (protocol.Message, error) {
	if !started {
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

// receiveFailed classifies an attempt whose end did not arrive.
func (g *Gateway) receiveFailed(ctx context.Context, c *call, err error) ending {
	if neverSent(err) {
		return ending{end: retry.EndNotRun, reason: err.Error()}
	}
	if ctx.Err() == nil {
		return ending{end: retry.EndSessionLost, reason: err.Error()}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ending{end: retry.EndSessionLost, err: deadlineError(c, nil)}
	}
	return ending{end: retry.EndSessionLost, err: errCallerGone}
}

// endingOf translates the end that an agent or another entry instance reports.
func endingOf(m *protocol.End, status int) ending {
	e := ending{status: status, reason: m.Reason, retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond}
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

// serverFailed reports whether an answer says that the server could not serve an idempotent request.
func serverFailed(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
