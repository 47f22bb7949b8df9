package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/limits"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// keyedGrace is how long a keyed attempt may run past its caller's deadline: aborting it would make its outcome
	// unknown.
	keyedGrace = 60 * time.Second
	// maxKeptAnswerBytes limits one kept answer, so that it fits in an InquiryResult message.
	maxKeptAnswerBytes = protocol.MaxMessageBytes / 2
	// refusedRetryAfter is the delay after which a refused request may be tried on this server again.
	refusedRetryAfter = 250 * time.Millisecond
	answerBufferBytes = 64 << 10
)

// StreamOpened implements transport.Handler. It runs one attempt.
func (a *Agent) StreamOpened(st transport.Stream, open *protocol.Open) {
	defer st.Close("attempt ended")
	end := a.runAttempt(st, open)
	load := a.nextLoad(time.Now())
	end.Load = &load
	metricAttempts(end.Outcome).Inc()
	_ = st.Send(context.Background(), &end)
}

// runAttempt checks whether an attempt may run, runs it and returns its outcome.
func (a *Agent) runAttempt(st transport.Stream, open *protocol.Open) protocol.End {
	keyed := open.Key != ""
	if open.Incarnation != a.config.Incarnation {
		return notRun("the agent has restarted since the attempt was addressed to it: choose again from a newer snapshot")
	}
	record, first := a.attempts.begin(open.Attempt, keyed, time.Now())
	if !first {
		if record.barred {
			return notRun("the attempt was inquired about before it arrived and is barred: use a new attempt")
		}
		return protocol.End{Outcome: protocol.OutcomeRunning, Reason: "the attempt was received before: inquire about it"}
	}
	ticket, refused := a.admit(time.Now())
	if refused != nil {
		a.attempts.finish(record, protocol.OutcomeNotRun, answer{}, time.Now())
		return refused.end()
	}
	run := execution{agent: a, stream: st, open: open, ticket: &ticket, started: time.Now()}
	end := run.run()
	a.recordFinished(&ticket, run.limiterOutcome(end.Outcome))
	a.attempts.finish(record, end.Outcome, run.answer, time.Now())
	if run.streamLost && end.Outcome == protocol.OutcomeDone {
		// A part of the answer was not sent, so the stream must not end as if the answer were complete.
		if keyed {
			return protocol.End{Outcome: protocol.OutcomeRunning, Reason: "the answer could not be sent: inquire about it"}
		}
		return protocol.End{Outcome: protocol.OutcomeFailed, Reason: "the answer could not be sent"}
	}
	return end
}

func notRun(reason string) protocol.End { return refuse(reason).end() }

// execution is one admitted attempt.
type execution struct {
	agent        *Agent
	stream       transport.Stream
	open         *protocol.Open
	ticket       *limits.Ticket
	answer       answer
	started      time.Time
	lastReceived time.Time
	cancelled    bool // by the entry instance
	streamLost   bool // sending to the stream failed; a keyed attempt continues
	offset       uint64
}

// run sends the attempt to the backend server and forwards the answer to the stream.
func (e *execution) run() protocol.End {
	ctx, cancel := e.runContext()
	defer cancel()
	res := e.agent.backend.do(ctx, e.open)
	if res.err != nil {
		return e.classifyError(res.err, res.sent)
	}
	defer res.Body.Close()
	e.agent.recordNamedLimit(e.started, res.StatusCode, res.Header)
	e.answer.kept = e.open.Key != ""
	e.offset = e.open.ResumeFrom
	headers := answerHeaders(res.Header)
	e.answer.status, e.answer.headers = res.StatusCode, headers
	e.send(ctx, &protocol.Head{Status: res.StatusCode, Headers: headers})
	var err error
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		err = e.forwardEvents(ctx, res.Body)
	} else {
		err = e.forwardBody(ctx, res.Body)
	}
	if err != nil {
		return e.classifyError(err, true)
	}
	return protocol.End{Outcome: protocol.OutcomeDone}
}

// runContext returns a context that ends with the caller's deadline or with the stream. The context of a keyed attempt
// ends keyedGrace after the deadline, whether or not the stream is open.
func (e *execution) runContext() (context.Context, context.CancelFunc) {
	limit := time.Duration(e.open.DeadlineMS) * time.Millisecond
	if e.open.Key != "" {
		return context.WithTimeout(context.Background(), limit+keyedGrace)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		// The entry instance sends nothing but Cancel or the end of the stream.
		_, _ = e.stream.Receive(ctx)
		cancel()
	}()
	return ctx, cancel
}

// classifyError returns the outcome for an error of the backend server. A request has certainly not run only if no byte of
// it was sent.
func (e *execution) classifyError(err error, sent bool) protocol.End {
	switch {
	case !sent && !errors.Is(err, context.Canceled):
		e.agent.markDown()
		return notRun("the backend server does not accept connections: " + err.Error())
	case e.open.Key != "":
		log.WithError(err).WithField("attempt", e.open.Attempt).Warn("backend server failed during a keyed attempt; its outcome is unknown")
		return protocol.End{Outcome: protocol.OutcomeUnknown, Reason: err.Error()}
	case errors.Is(err, context.Canceled):
		e.cancelled = true
		return protocol.End{Outcome: protocol.OutcomeFailed, Reason: "cancelled by the entry instance"}
	default:
		return protocol.End{Outcome: protocol.OutcomeFailed, Reason: err.Error()}
	}
}

func (e *execution) forwardEvents(ctx context.Context, body io.Reader) error {
	events := newEventReader(body)
	for {
		part, tokens, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		e.recordLatency(tokens)
		e.send(ctx, &protocol.Data{Offset: e.offset, Payload: part, Tokens: tokens})
		e.offset += uint64(tokens)
		if e.streamLost && e.open.Key == "" {
			return context.Canceled
		}
	}
}

// answerBuffers is a pool of read buffers. A buffer may be reused after Send, which encodes the message before it returns.
var answerBuffers = sync.Pool{New: func() any { return new([answerBufferBytes]byte) }}

func (e *execution) forwardBody(ctx context.Context, body io.Reader) error {
	buf := answerBuffers.Get().(*[answerBufferBytes]byte)
	defer answerBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			e.recordLatency(0)
			e.send(ctx, &protocol.Data{Offset: e.offset, Payload: buf[:n]})
			e.offset += uint64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if e.streamLost && e.open.Key == "" {
			return context.Canceled
		}
	}
}

// recordLatency records the time to first token for the first data of an answer, and the inter-token latency afterwards.
func (e *execution) recordLatency(tokens int) {
	if e.answer.status >= http.StatusInternalServerError {
		return // a refusal is immediate and no measure of the time to first token
	}
	now := time.Now()
	if e.lastReceived.IsZero() {
		timeToFirstToken := max(now.Sub(e.started), 1)
		e.agent.recordFirstToken(e.ticket, timeToFirstToken)
		e.agent.meter.observeFirstToken(timeToFirstToken)
		metricFirstToken.Update(timeToFirstToken.Seconds())
	} else {
		e.agent.meter.observeTokens(now.Sub(e.lastReceived), tokens)
	}
	e.lastReceived = now
}

// limiterOutcome returns the outcome of an attempt for the concurrency limiter.
func (e *execution) limiterOutcome(outcome protocol.Outcome) limits.Outcome {
	switch {
	case e.cancelled:
		return limits.Cancelled
	case e.answer.status == http.StatusTooManyRequests || e.answer.status == http.StatusServiceUnavailable:
		return limits.Overload
	case e.answer.status >= http.StatusInternalServerError, outcome != protocol.OutcomeDone:
		return limits.Failed
	}
	return limits.Done
}

// send sends a message to the entry instance and keeps the answer of a keyed attempt. A lost stream is not an error
// for a keyed attempt: its answer is kept for a later inquiry.
func (e *execution) send(ctx context.Context, m protocol.Message) {
	if data, ok := m.(*protocol.Data); ok && e.answer.kept {
		e.answer.body = append(e.answer.body, data.Payload...)
		if len(e.answer.body) > maxKeptAnswerBytes {
			e.answer.body, e.answer.kept = nil, false
		}
	}
	if e.streamLost {
		return
	}
	if err := e.stream.Send(ctx, m); err != nil {
		e.streamLost = true
	}
}

// hopByHopHeaders are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func answerHeaders(h http.Header) []protocol.Header {
	headers := make([]protocol.Header, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, protocol.Header{Name: name, Value: value})
		}
	}
	return headers
}
