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
	"github.com/banyanfront/banyanfront/internal/direct"
	"github.com/banyanfront/banyanfront/platform"
)

// silentObjectives is the number of objectives after which a safe request is tried elsewhere: a server that takes twice the
// time in which an answer counts has most likely hung.
const silentObjectives = 2

// servePlain brings a call to servers until one answers or none is left.
func (c *call) servePlain() {
	var refusal *dispatch.Refusal
	for {
		var a *attempt
		a, refusal = c.begin(c.header.Clone(), c.patience())
		if refusal != nil {
			break
		}
		if a != nil && c.finishPlain(a) {
			return
		}
		if !c.mayTryAgain() {
			break
		}
	}
	c.endUnanswered(refusal)
}

// patience returns how long the head of an answer is awaited: a safe request that hangs is cut off while another server can
// still be tried. 0 means that it is awaited to the end.
func (c *call) patience() time.Duration {
	patience := silentObjectives * c.route.Objective
	if c.route.Kind != routes.Safe || c.sends+1 >= c.route.MaxAttempts || time.Until(c.limit) < 2*patience {
		return 0
	}
	return patience
}

// finishPlain passes the answer on. It reports false if the answer cannot be used and another attempt may follow.
func (c *call) finishPlain(a *attempt) bool {
	if c.rejected(a) {
		return false
	}
	answer := a.answer
	c.sends++
	body, err := readAll(answer.Body, maxBuffered)
	if errors.Is(err, errTooLong) {
		c.passOnLong(a, body)
		return true
	}
	c.release(a, err == nil)
	c.ran = true
	c.tried = append(c.tried, a.choice.Server.Server)
	if err != nil {
		c.lastError = err.Error()
		c.note(a, "broken off")
		if c.ctx.Err() == nil {
			c.distrust(a)
		}
		log.WithFields(log.Fields{"request": c.id, "server": a.choice.Server.Server, "status": answer.Status, "error": c.lastError}).
			Warn("answer broken off")
		return false
	}
	success := answer.Status >= 200 && answer.Status < 300
	if success && answer.Header.Get(platform.HeaderSeal) == "" {
		c.lastError = "the answer bears no seal"
		c.note(a, "unsealed")
		c.distrust(a)
		return false
	}
	c.judge(a)
	c.note(a, strconv.Itoa(answer.Status))
	if answer.Status >= 500 && c.route.Repeatable() && c.mayTryAgain() && c.budgetAllows() {
		log.WithFields(log.Fields{"request": c.id, "server": a.choice.Server.Server, "status": answer.Status}).
			Info("the server failed the request; another one is tried")
		return false
	}
	if promisesNotRun(answer.Status) {
		// The server promises nothing, so its status must not promise it either.
		c.outcome = "unproved_refusal"
		c.answerOwn(http.StatusBadGateway, 0)
		return true
	}
	c.outcome = "answered"
	c.passHead(answer, int64(len(body)))
	if _, err := c.w.Write(body); err != nil {
		c.outcome, c.lastError = "caller_left", err.Error()
	}
	return true
}

// judge takes in what the status of a whole answer says about the server. A deadline that has passed says nothing.
func (c *call) judge(a *attempt) {
	var avoided time.Duration
	c.gate.with(func(now time.Time, d *dispatch.Dispatcher) {
		switch status := a.answer.Status; {
		case status < 500:
			d.RecordSuccess(a.choice)
		case status != http.StatusGatewayTimeout:
			avoided = d.RecordError(now, a.choice)
		}
	})
	if avoided > 0 {
		log.WithFields(log.Fields{"request": c.id, "server": a.choice.Server.Server, "status": a.answer.Status,
			"avoidedMs": avoided.Milliseconds()}).Warn("the server answers with errors and is avoided")
	}
}

// budgetAllows reports whether the retry budget of the service allows another attempt.
func (c *call) budgetAllows() (allowed bool) {
	c.gate.with(func(now time.Time, d *dispatch.Dispatcher) { allowed = d.MayRetry(now, c.service) })
	return allowed
}

// promisesNotRun reports whether callers take the status as a promise that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// passHead writes the head of a server's answer. length is -1 if it is not known.
func (c *call) passHead(answer *direct.Answer, length int64) {
	header := c.w.Header()
	for name, values := range direct.EndToEnd(answer.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	header.Del("Content-Length")
	if length >= 0 && c.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.status = answer.Status
	c.w.WriteHeader(answer.Status)
}

// passOnLong passes on an answer that is too long to be held back. If it breaks off, so does the caller's connection.
func (c *call) passOnLong(a *attempt, begun []byte) {
	answer := a.answer
	c.outcome = "answered"
	c.ran = true
	c.passHead(answer, answer.Length)
	_, err := c.w.Write(begun)
	if err == nil {
		_, err = io.Copy(c.w, answer.Body)
	}
	c.release(a, err == nil)
	c.note(a, strconv.Itoa(answer.Status))
	if err != nil {
		c.outcome, c.lastError = "broken_off", err.Error()
		panic(http.ErrAbortHandler)
	}
}
