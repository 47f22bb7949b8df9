package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/direct"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

// call is one request of a caller.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context // ends when the caller leaves, or at the limit
	id      string
	view    *View
	route   *routes.Route
	service string
	org     string
	arrived time.Time
	limit   time.Time // the caller has its answer by then
	late    bool      // the caller has waited for longer than the objective before
	body    []byte
	header  http.Header // passed on, without what differs between attempts

	tried     []string // servers that a whole or partial request was sent to
	sends     int      // attempts that count against the route's bound
	ran       bool     // an attempt may have run
	lastError string
	refused   string   // why no further server was chosen
	attempts  []string // for the log
	outcome   string
	status    int
}

// attempt is the exchange with one server.
type attempt struct {
	choice  *dispatch.Choice
	answer  *direct.Answer
	started time.Time
	cancel  context.CancelFunc
	watch   *watch // nil if nobody watches the attempt
}

// refuse ends the call before it has run.
func (c *call) refuse(refusal *dispatch.Refusal) {
	c.outcome = "refused:" + string(refusal.Reason)
	c.answerOwn(http.StatusServiceUnavailable, refusal.RetryAfter)
}

// answerOwn answers without a server. A status that promises that the request has not run is used only if that is certain.
func (c *call) answerOwn(status int, retryAfter time.Duration) {
	c.status = status
	if retryAfter > 0 {
		c.w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.w.Header().Set(platform.HeaderRequestID, c.id)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// endUnanswered ends a call for which no server is left.
func (c *call) endUnanswered(refusal *dispatch.Refusal) {
	if refusal != nil {
		c.refused = string(refusal.Reason)
	}
	switch {
	case c.r.Context().Err() != nil:
		c.outcome = "caller_left"
		panic(http.ErrAbortHandler)
	case c.ran && time.Now().After(c.limit):
		c.outcome = "timeout"
		c.answerOwn(http.StatusGatewayTimeout, 0)
	case c.ran:
		c.outcome = "unknown"
		c.answerOwn(http.StatusBadGateway, 0)
	default:
		if refusal == nil {
			refusal = &dispatch.Refusal{Reason: dispatch.Unreachable, RetryAfter: shortRetry}
		}
		c.refuse(refusal)
	}
}

// shortRetry is the Retry-After where nothing tells when a server can be had: a caller's way to another entry instance takes
// longer than most short faults.
const shortRetry = 200 * time.Millisecond

// mayTryAgain reports whether the route and what has happened so far allow another attempt.
func (c *call) mayTryAgain() bool {
	if c.ctx.Err() != nil || c.sends >= c.route.MaxAttempts {
		return false
	}
	return !c.ran || c.route.Repeatable()
}

// begin chooses a server and sends the request there. patience bounds the wait for the head of the answer, 0 for no bound. It
// returns a refusal if no server was chosen, and neither that nor an attempt if the server gave no answer.
func (c *call) begin(header http.Header, patience time.Duration) (*attempt, *dispatch.Refusal) {
	need := dispatch.Request{Service: c.service, Tried: c.tried, Retry: len(c.tried) > 0, Objective: c.route.Objective,
		MaxEventGap: c.route.LongestPause, ObjectiveMissed: c.late}
	choice, refusal := c.gate.pick(need)
	if refusal != nil && refusal.RetryAfter <= c.route.Objective/briefWaitPart && process.Sleep(c.ctx, refusal.RetryAfter) {
		choice, refusal = c.gate.pick(need)
	}
	if refusal != nil {
		return nil, refusal
	}
	header.Set(platform.HeaderExpectServer, choice.Server.Server)
	header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, time.Until(c.limit).Milliseconds()), 10))
	ctx, cancel := context.WithCancel(c.ctx)
	a := &attempt{choice: choice, started: time.Now(), cancel: cancel}
	if patience > 0 {
		defer time.AfterFunc(patience, cancel).Stop()
	}
	if c.route.Kind == routes.Stream {
		a.watch = c.watchFor(a)
	}
	answer, failure := c.gate.client.Do(ctx, choice.Server.Server, choice.Server.Address, c.gate.connections(c.view, c.service), &direct.Request{
		ID: c.id, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body,
	})
	if failure != nil {
		c.failed(a, failure)
		return nil, nil
	}
	a.answer = answer
	c.gate.told(choice, answer.Header)
	return a, nil
}

// briefWaitPart is the part of a route's objective that a call may wait for a place.
const briefWaitPart = 10

// release gives the connection and the place of an attempt back. complete says that the answer was read to its end.
func (c *call) release(a *attempt, complete bool) {
	if a.answer != nil {
		a.answer.Close(complete)
	}
	a.watch.stop()
	a.cancel()
	c.gate.with(func(time.Time, *dispatch.Dispatcher) { a.choice.Release() })
}

// distrust notes that the server of an attempt could not be reached, broke off, or answered what cannot be used.
func (c *call) distrust(a *attempt) {
	c.gate.with(func(now time.Time, d *dispatch.Dispatcher) { d.RecordFailure(now, a.choice) })
}

// failed takes in an attempt without an answer.
func (c *call) failed(a *attempt, failure *direct.Failure) {
	c.release(a, false)
	server := a.choice.Server.Server
	c.lastError = failure.Err.Error()
	c.note(a, "failed")
	metrics.GetOrCreateCounter(`banyanfront_edge_attempts_total{result="failed"}`).Inc()
	if failure.Sent {
		c.sends++
		c.ran = true
		c.tried = append(c.tried, server)
	}
	if c.ctx.Err() != nil {
		return // the caller left or the time is over, which says nothing about the server
	}
	c.distrust(a)
	log.WithFields(log.Fields{"request": c.id, "server": server, "sent": failure.Sent, "error": c.lastError,
		"heardMs": a.started.Sub(a.choice.AnnouncedAt).Milliseconds(), "load": a.choice.Load,
		"afterMs": time.Since(a.started).Milliseconds()}).Warn("attempt failed")
}

// rejected takes in an answer that promises that the request has not run. It reports false if the answer makes no such
// promise.
func (c *call) rejected(a *attempt) bool {
	answer := a.answer
	misdirected := answer.Status == http.StatusMisdirectedRequest
	if !misdirected && answer.Header.Get(platform.HeaderNotRun) == "" {
		return false
	}
	server := a.choice.Server.Server
	c.tried = append(c.tried, server)
	fields := log.Fields{"request": c.id, "server": server, "status": answer.Status, "load": a.choice.Load,
		"told": answer.Header.Get(platform.HeaderLoad), "faulty": answer.Header.Get(platform.HeaderFaultyServer),
		"heardMs": a.started.Sub(a.choice.AnnouncedAt).Milliseconds(), "afterMs": time.Since(a.started).Milliseconds()}
	_, err := readAll(answer.Body, maxBuffered)
	c.release(a, err == nil)
	faulty := answer.Header.Get(platform.HeaderFaultyServer)
	switch {
	case misdirected:
		c.gate.with(func(now time.Time, d *dispatch.Dispatcher) { d.RecordMisdirected(now, a.choice) })
	case faulty != "":
		c.sends++
		c.gate.with(func(now time.Time, d *dispatch.Dispatcher) { d.RecordGroupFailure(now, a.choice) })
	default:
		c.sends++
	}
	c.note(a, "rejected")
	metrics.GetOrCreateCounter(`banyanfront_edge_attempts_total{result="rejected"}`).Inc()
	log.WithFields(fields).Info("attempt rejected as not run")
	return true
}

// note adds an attempt to the line that is logged at the end of the call.
func (c *call) note(a *attempt, result string) {
	c.attempts = append(c.attempts, a.choice.Server.Server+" "+result+" after "+
		strconv.FormatInt(time.Since(a.started).Milliseconds(), 10)+" ms")
}

// logEnd writes the line of the call.
func (c *call) logEnd() {
	fields := log.Fields{"request": c.id, "organisation": c.org, "outcome": c.outcome, "status": c.status,
		"ms": time.Since(c.arrived).Milliseconds(), "attempts": strings.Join(c.attempts, "; ")}
	if c.view != nil {
		fields["version"] = c.view.Table.Version
		fields["versionAgeMs"] = c.arrived.Sub(c.view.Since).Milliseconds()
	}
	if c.route != nil {
		fields["route"], fields["service"] = c.route.Name, c.service
	}
	if c.lastError != "" {
		fields["error"] = c.lastError
	}
	if c.refused != "" {
		fields["noServer"] = c.refused
	}
	log.WithFields(fields).Info("request ended")
}
