package edge

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/backendhttp"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/platform"
)

// hangTimeoutObjectives is the number of objectives without a response after which a safe request is retried on another
// server: a server that takes twice the objective has most likely hung.
const hangTimeoutObjectives = 2

// servePlain serves a call that is not a stream: it tries servers until one responds or no further attempt is allowed.
func (c *call) servePlain() {
	var refusal *dispatch.Refusal
	for {
		var a *attempt
		a, refusal = c.startAttempt(c.header.Clone(), c.headTimeout())
		if refusal != nil {
			break
		}
		if a != nil && c.forwardResponse(a) {
			return
		}
		if !c.mayRetry() {
			break
		}
	}
	c.endWithoutResponse(refusal)
}

// headTimeout returns how long to wait for the head of a response: a safe request that hangs is cancelled while there is
// time to retry it on another server. 0 means until the deadline of the call.
func (c *call) headTimeout() time.Duration {
	timeout := hangTimeoutObjectives * c.route.Objective
	if c.route.Kind != routes.Safe || c.countedAttempts+1 >= c.route.MaxAttempts || time.Until(c.deadline) < 2*timeout {
		return 0
	}
	return timeout
}

// forwardResponse forwards the response to the caller. It reports false if the response cannot be used and another attempt
// may follow.
func (c *call) forwardResponse(a *attempt) bool {
	if c.handleRejection(a) {
		return false
	}
	response := a.response
	c.countedAttempts++
	c.mayHaveRun = true
	c.tried = append(c.tried, a.choice.Server.Server)
	held, limit := c.holdAnswer(response.Length)
	defer held.Close()
	body, err := readAll(response.Body, response.Length, limit)
	held.Shrink(int64(len(body)))
	unread := errors.Is(err, errTooLong) // the rest of a long body is forwarded as it arrives, if the response may be forwarded
	if unread {
		err = nil
		defer func() {
			if unread {
				c.release(a, false)
			}
		}()
	} else {
		c.release(a, err == nil)
	}
	if err != nil {
		c.lastError = err.Error()
		c.recordResult(a, "broken off")
		c.recordBrokenOff(a)
		log.WithFields(log.Fields{"request": c.id, "server": a.choice.Server.Server, "status": response.Status, "error": c.lastError,
			"parts": c.parts()}).Warn("answer broken off")
		return false
	}
	success := response.Status >= 200 && response.Status < 300
	if success && response.Header.Get(platform.HeaderSeal) == "" {
		c.lastError = "response without a seal"
		c.recordResult(a, "unsealed")
		c.recordFailure(a)
		return false
	}
	c.recordStatus(a)
	switch {
	case success && unread:
		c.recordVouched(time.Now(), c.promptParts)
	case success:
		c.recordAnswered()
	}
	c.recordResult(a, strconv.Itoa(response.Status))
	unproved := promisesNotRun(response.Status) // the server did not prove that the request has not run
	if (response.Status >= 500 || unproved) && c.route.Repeatable() && c.mayRetry() && c.budgetAllows() {
		log.WithFields(log.Fields{"request": c.id, "server": a.choice.Server.Server, "status": response.Status}).
			Info("server error; retrying on another server")
		return false
	}
	if unproved {
		c.outcome = "unproved_refusal"
		c.respondLocally(http.StatusBadGateway, 0)
		return true
	}
	c.outcome = "answered"
	if unread {
		unread = false
		c.forwardUnbuffered(a, body)
		return true
	}
	c.writeHead(response, int64(len(body)))
	if _, err := c.w.Write(body); err != nil {
		c.outcome, c.lastError = "caller_left", err.Error()
	}
	return true
}

// holdAnswer takes memory for an answer that is buffered until it is complete, and returns the number of bytes that may be buffered. A
// longer answer is forwarded as it arrives. held is nil if the answer is small.
func (c *call) holdAnswer(length int64) (held *intake.Transfer, limit int64) {
	if length >= 0 && length <= freeAnswerBytes {
		return nil, freeAnswerBytes
	}
	wanted := int64(maxBufferedBytes)
	if length >= 0 {
		wanted = min(wanted, length)
	}
	controller := http.NewResponseController(c.w)
	held = c.proxy.config.Gate.Open(c.organisation, func() { _ = controller.SetWriteDeadline(time.Unix(1, 0)) })
	if !held.TakeNow(wanted) {
		return held, freeAnswerBytes
	}
	return held, wanted
}

// freeAnswerBytes is the size of an answer up to which it takes nothing from the memory budget.
const freeAnswerBytes = 8 << 10

// recordStatus records the status of a complete response as a success or an error of the server. A 504 is neither: it
// reports that the deadline has passed.
func (c *call) recordStatus(a *attempt) {
	var avoidedFor time.Duration
	c.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) {
		switch status := a.response.Status; {
		case status < 500:
			d.RecordSuccess(a.choice)
		case status != http.StatusGatewayTimeout:
			avoidedFor = d.RecordError(now, a.choice)
		}
	})
	if avoidedFor > 0 {
		log.WithFields(log.Fields{"request": c.id, "server": a.choice.Server.Server, "status": a.response.Status,
			"avoidedMs": avoidedFor.Milliseconds()}).Warn("the server answers with errors and is avoided")
	}
}

// budgetAllows reports whether the retry budget of the service allows another attempt.
func (c *call) budgetAllows() (allowed bool) {
	c.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { allowed = d.MayRetry(now, c.service) })
	return allowed
}

// promisesNotRun reports whether callers interpret the status as a promise that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// writeHead sends the head of a server's response to the caller. length is that of the body in bytes, -1 if unknown.
func (c *call) writeHead(response *backendhttp.Response, length int64) {
	header := c.w.Header()
	for name, values := range backendhttp.EndToEnd(response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from detecting a type
	}
	header.Del("Content-Length")
	if length >= 0 && c.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.status = response.Status
	c.w.WriteHeader(response.Status)
}

// forwardUnbuffered forwards a response that is too long to be buffered, of which prefix was read already. If it is
// truncated, the caller's connection is aborted.
func (c *call) forwardUnbuffered(a *attempt, prefix []byte) {
	c.writeHead(a.response, a.response.Length)
	rest := &errorRecorder{r: a.response.Body}
	_, err := c.w.Write(prefix)
	if err == nil {
		_, err = io.Copy(c.w, rest)
	}
	c.release(a, err == nil)
	if err == nil {
		return
	}
	c.outcome, c.lastError = "caller_left", err.Error()
	if rest.err != nil {
		c.outcome = "broken_off"
		c.recordBrokenOff(a)
	}
	panic(http.ErrAbortHandler)
}

// errorRecorder keeps the error of a reader, to tell it from that of the writer its data is copied to.
type errorRecorder struct {
	r   io.Reader
	err error
}

func (e *errorRecorder) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if err != nil && err != io.EOF {
		e.err = err
	}
	return n, err
}
