package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/backendhttp"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

// call is one request of a caller.
type call struct {
	proxy           *Proxy
	w               http.ResponseWriter
	r               *http.Request
	ctx             context.Context // ends when the caller disconnects, or at the deadline
	id              string
	view            *View
	route           *routes.Route
	service         string
	organisation    string
	priority        int // 0 is the most urgent
	arrived         time.Time
	waitsSince      time.Time // when the caller last received something, or sent the request
	deadline        time.Time // the caller expects the response by then
	objectiveMissed bool      // the caller had waited for longer than the objective before it sent this request
	body            *intake.Body
	header          http.Header     // forwarded to the server, without headers that differ between attempts
	parts           func() []string // of the prompt that other requests may share, and the whole request; see package quarantine
	promptParts     []string

	tried           []string // servers that the request was sent to, whole or in part
	countedAttempts int      // attempts that count towards the route's MaxAttempts
	mayHaveRun      bool     // an attempt may have run on its server
	answerBegun     bool     // an answer to this prompt has begun, here or where the caller resumes it from
	endedEngine     bool     // an engine ended before an answer began, perhaps because of this call
	lastError       string
	refusalReason   string   // why no further server was chosen, empty if not refused
	attemptResults  []string // one entry an attempt, for the log
	outcome         string
	status          int
	denied          bool // the view does not allow the call
}

// attempt is an exchange with one server.
type attempt struct {
	choice   *dispatch.Choice
	response *backendhttp.Response
	started  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	watchdog *watchdog // nil if the attempt is not monitored
	// withdrawn is set if the attempt was cancelled because a part of the prompt has been quarantined.
	withdrawn atomic.Bool
	cancelled bool // before its release: by the caller, a timeout, the watchdog, or as withdrawn
	// answeringSince is when the first event of its answer was forwarded, zero before. vouches is set once the answer has gone on for
	// long enough to vouch for the parts of the prompt.
	answeringSince time.Time
	vouches        bool
}

// refuse responds to a call that has not run on any server.
func (c *call) refuse(refusal *dispatch.Refusal) {
	c.outcome = "refused:" + string(refusal.Reason)
	c.respondLocally(http.StatusServiceUnavailable, refusal.RetryAfter)
}

// respondLocally sends a response without a body that does not come from a server. retryAfter is omitted if 0. status must not
// promise that the request has not run unless that is certain.
func (c *call) respondLocally(status int, retryAfter time.Duration) {
	c.status = status
	if c.body == nil && c.r.ContentLength != 0 {
		intake.Refuse(c.w)
	}
	if retryAfter > 0 {
		c.w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.w.Header().Set(platform.HeaderRequestID, c.id)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// endWithoutResponse ends a call that no server has responded to and that is not retried. refusal is nil if a server was
// chosen for the last attempt.
func (c *call) endWithoutResponse(refusal *dispatch.Refusal) {
	if refusal != nil {
		c.refusalReason = string(refusal.Reason)
	}
	switch {
	case c.r.Context().Err() != nil:
		c.outcome = "caller_left"
		panic(http.ErrAbortHandler)
	case c.mayHaveRun && time.Now().After(c.deadline):
		c.outcome = "timeout"
		c.respondLocally(http.StatusGatewayTimeout, 0)
	case c.mayHaveRun:
		c.outcome = "unknown"
		c.respondLocally(http.StatusBadGateway, 0)
	default:
		if refusal == nil {
			refusal = &dispatch.Refusal{Reason: dispatch.Unreachable, RetryAfter: defaultRetryAfter}
		}
		c.refuse(refusal)
	}
}

// defaultRetryAfter is the Retry-After if it is unknown when a server becomes available. Most short faults are over before
// a caller has reached another entry instance.
const defaultRetryAfter = 200 * time.Millisecond

// mayRetry reports whether the route and the attempts so far allow another attempt.
func (c *call) mayRetry() bool {
	if c.ctx.Err() != nil || c.countedAttempts >= c.route.MaxAttempts || c.endedEngine {
		return false
	}
	return !c.mayHaveRun || c.route.Repeatable()
}

// startAttempt chooses a server and sends the request there. headTimeout limits the wait for the head of the response, 0
// means no limit. It returns a refusal if no server was chosen, and neither an attempt nor a refusal if the attempt
// failed.
func (c *call) startAttempt(header http.Header, headTimeout time.Duration) (*attempt, *dispatch.Refusal) {
	if refusal := c.awaitTrial(); refusal != nil {
		return nil, refusal
	}
	if refusal := c.proxy.quarantineRefusal(c); refusal != nil {
		return nil, refusal
	}
	request := dispatch.Request{Service: c.service, Priority: c.priority, Tried: c.tried, Retry: len(c.tried) > 0, Objective: c.route.Objective,
		MaxEventGap: c.route.LongestPause, ObjectiveMissed: c.objectiveMissed, ArrivedAt: c.arrived}
	choice, refusal := c.chooseServer(request)
	if refusal != nil {
		return nil, refusal
	}
	header.Set(platform.HeaderExpectServer, choice.Server.Server)
	header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	ctx, cancel := context.WithCancel(c.ctx)
	a := &attempt{choice: choice, started: time.Now(), ctx: ctx, cancel: cancel}
	c.proxy.parts.await(a, c)
	if headTimeout > 0 {
		defer time.AfterFunc(headTimeout, cancel).Stop()
	}
	if c.route.Kind == routes.Stream {
		a.watchdog = c.startWatchdog(a)
	}
	response, failure := c.proxy.client.Do(ctx, choice.Server.Server, choice.Server.Address, c.proxy.connectionLimit(c.view, c.service), &backendhttp.Request{
		ID: c.id, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body.Pieces,
	})
	if failure != nil {
		c.handleFailure(a, failure)
		return nil, nil
	}
	a.response = response
	c.proxy.recordReport(choice, response)
	return a, nil
}

// chooseServer chooses the server for an attempt. It waits for one as far as that may still serve the caller.
func (c *call) chooseServer(request dispatch.Request) (*dispatch.Choice, *dispatch.Refusal) {
	if c.proxy.config.Dispatch.CompetingCallers && !c.proxy.hasLimitedServers(c.service) {
		choice, refusal := c.chooseInTurn(request)
		if refusal != nil {
			return nil, refusal
		}
		if refusal = c.proxy.quarantineRefusal(c); refusal != nil { // a part of the prompt may be quarantined meanwhile
			c.proxy.withDispatcher(func(time.Time, *dispatch.Dispatcher) { choice.Release() })
			return nil, refusal
		}
		return choice, nil
	}
	choice, refusal, answered := c.proxy.pick(request)
	if refusal != nil && c.awaitCapacity(refusal, answered) {
		request.Again = true
		choice, refusal, _ = c.proxy.pick(request)
	}
	return choice, refusal
}

// awaitCapacity waits until a server may have become available, and reports false if that takes too long. permits is closed once
// those that were asked for are granted or refused, and nil if none were.
func (c *call) awaitCapacity(refusal *dispatch.Refusal, permits <-chan struct{}) bool {
	limit := c.route.Objective / capacityWaitDivisor
	if permits == nil {
		return refusal.RetryAfter <= limit && process.Sleep(c.ctx, refusal.RetryAfter)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-permits:
		return true
	case <-timer.C:
	case <-c.ctx.Done():
	}
	return false
}

// capacityWaitDivisor limits the wait for capacity: if no server can be chosen now, a call waits once, for at most the
// route's objective divided by it.
const capacityWaitDivisor = 10

// release ends an attempt: it frees its connection and its in-flight slot. complete states that the response was read to
// its end.
func (c *call) release(a *attempt, complete bool) {
	if a.response != nil {
		a.response.Close(complete)
	}
	a.watchdog.stop()
	c.proxy.parts.forget(a, c)
	a.cancelled = a.ctx.Err() != nil
	a.cancel()
	c.proxy.withDispatcher(func(time.Time, *dispatch.Dispatcher) {
		a.choice.Release()
		c.proxy.serveWaitingLocked(c.service)
	})
}

// recordFailure records that the server of an attempt was unreachable, or that its response was truncated or unusable.
func (c *call) recordFailure(a *attempt) {
	c.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.RecordFailure(now, a.choice) })
}

// serverAtFault reports whether a broken attempt counts against its server: not if the caller disconnected, the deadline passed
// or a part of the prompt was quarantined.
func (c *call) serverAtFault(a *attempt) bool { return c.ctx.Err() == nil && !a.withdrawn.Load() }

// recordBrokenOff records that a server broke off its response, and reports whether it is at fault.
func (c *call) recordBrokenOff(a *attempt) bool {
	if !c.serverAtFault(a) {
		return false
	}
	c.recordFailure(a)
	c.checkEngineEnd(a)
	return true
}

// recordUnreachable records that the server's machine gave no answer.
func (c *call) recordUnreachable(a *attempt) {
	lost := false
	c.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { lost = d.RecordUnreachable(now, a.choice) })
	if lost {
		log.WithFields(log.Fields{"dataCentre": a.choice.Server.DataCentre, "request": c.id}).
			Warn("data centre lost: its servers accept no connections; requests for it are refused until one does")
	}
}

// handleFailure ends an attempt that received no response.
func (c *call) handleFailure(a *attempt, failure *backendhttp.Failure) {
	c.release(a, false)
	server := a.choice.Server.Server
	c.lastError = failure.Err.Error()
	c.recordResult(a, "failed")
	metrics.GetOrCreateCounter(`banyanfront_edge_attempts_total{result="failed"}`).Inc()
	if failure.Sent {
		c.countedAttempts++
		c.mayHaveRun = true
		c.tried = append(c.tried, server)
	}
	if !c.serverAtFault(a) {
		return
	}
	if failure.Unreachable() {
		c.recordUnreachable(a)
	} else {
		c.recordFailure(a)
		if failure.Sent {
			c.checkEngineEnd(a)
		}
	}
	log.WithFields(log.Fields{"request": c.id, "server": server, "sent": failure.Sent, "error": c.lastError,
		"heardMs": a.started.Sub(a.choice.AnnouncedAt).Milliseconds(), "load": a.choice.Load, "parts": c.parts(),
		"afterMs": time.Since(a.started).Milliseconds()}).Warn("attempt failed")
}

// handleRejection ends an attempt whose response promises that the request has not run. It reports false if the response
// makes no such promise, or does not name the request.
func (c *call) handleRejection(a *attempt) bool {
	response := a.response
	if !response.Identified {
		return false
	}
	misdirected := response.Status == http.StatusMisdirectedRequest
	if !misdirected && response.Header.Get(platform.HeaderNotRun) == "" {
		return false
	}
	server := a.choice.Server.Server
	c.tried = append(c.tried, server)
	fields := log.Fields{"request": c.id, "server": server, "status": response.Status, "load": a.choice.Load,
		"told": response.Header.Get(platform.HeaderLoad), "faulty": response.Header.Get(platform.HeaderFaultyServer),
		"heardMs": a.started.Sub(a.choice.AnnouncedAt).Milliseconds(), "afterMs": time.Since(a.started).Milliseconds()}
	complete := false
	if response.Framed { // else its end may be long in coming, and the connection is not reused
		_, err := readAll(response.Body, response.Length, maxBufferedBytes)
		complete = err == nil
	}
	c.release(a, complete)
	faulty := response.Header.Get(platform.HeaderFaultyServer)
	switch {
	case misdirected:
		c.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.RecordMisdirected(now, a.choice) })
	case faulty != "":
		c.countedAttempts++
		c.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.RecordGroupFailure(now, a.choice) })
	default:
		c.countedAttempts++
	}
	c.recordResult(a, "rejected")
	metrics.GetOrCreateCounter(`banyanfront_edge_attempts_total{result="rejected"}`).Inc()
	log.WithFields(fields).Info("attempt rejected as not run")
	return true
}

// recordResult adds the result of an attempt to the log line that is written at the end of the call.
func (c *call) recordResult(a *attempt, result string) {
	c.attemptResults = append(c.attemptResults, a.choice.Server.Server+" "+result+" after "+
		strconv.FormatInt(time.Since(a.started).Milliseconds(), 10)+" ms")
}

// logEnd writes the log line of the call.
func (c *call) logEnd() {
	fields := log.Fields{"request": c.id, "organisation": c.organisation, "outcome": c.outcome, "status": c.status,
		"ms": time.Since(c.arrived).Milliseconds(), "attempts": strings.Join(c.attemptResults, "; ")}
	if c.view != nil {
		fields["version"] = c.view.Table.Version
		fields["versionAgeMs"] = c.arrived.Sub(c.view.InstalledAt).Milliseconds()
	}
	if c.denied {
		if age, ok := c.proxy.confirmations.age(time.Now()); ok {
			fields["confirmedMs"] = age.Milliseconds()
		}
	}
	if c.route != nil {
		fields["route"], fields["service"] = c.route.Name, c.service
	}
	if c.lastError != "" {
		fields["error"] = c.lastError
	}
	if c.refusalReason != "" {
		fields["noServer"] = c.refusalReason
	}
	log.WithFields(fields).Info("request ended")
}
