package edge

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/platform"
)

// relay forwards one stream to the caller, over one or more attempts.
type relay struct {
	*call
	headSent    bool
	lastEventID string // identifier of the last event that was forwarded; initially that sent by the caller
	events      int
	lastEventAt time.Time // when the last event of this attempt was forwarded
	received    bool      // an event of this attempt was received
}

// errNoEvent reports a stream that ended with its connection before the first event. Where events have come, such an end
// between two of them is the end of the stream; without any, nothing tells it from an engine that ended as it began to write.
var errNoEvent = errors.New("the connection ended before the first event")

// errRepeatedEvents reports a server that repeats events without end. A resumed stream repeats a few at most.
var errRepeatedEvents = errors.New("more than 1 MiB of events that were received before")

// serveStream forwards events as they arrive. A resumable stream that is truncated is resumed on another server.
func (c *call) serveStream() {
	s := &relay{call: c, lastEventID: c.r.Header.Get(platform.HeaderLastEvent)}
	c.answerBegun = s.lastEventID != ""
	var refusal *dispatch.Refusal
	for {
		header := c.header.Clone()
		if s.lastEventID != "" {
			header.Set(platform.HeaderLastEvent, s.lastEventID)
		}
		var a *attempt
		a, refusal = c.startAttempt(header, 0)
		if refusal != nil {
			break
		}
		if a != nil && s.forward(a) {
			return
		}
		if !c.mayRetry() {
			break
		}
	}
	if !s.headSent {
		c.endWithoutResponse(refusal)
		return
	}
	c.outcome = "stream_broken_off"
	if refusal != nil {
		c.outcome += ":" + string(refusal.Reason)
	}
	panic(http.ErrAbortHandler)
}

// forward forwards the events of one attempt. It reports false if the stream may be resumed on another server.
func (s *relay) forward(a *attempt) bool {
	response := a.response
	if s.handleRejection(a) {
		return false
	}
	if response.Status < 200 || response.Status >= 300 {
		if s.headSent {
			s.countedAttempts++
			s.mayHaveRun = true
			s.tried = append(s.tried, a.choice.Server.Server)
			s.recordStatus(a)
			s.finish(a, false, strconv.Itoa(response.Status))
			return false
		}
		return s.forwardResponse(a)
	}
	s.countedAttempts++
	s.mayHaveRun = true
	s.tried = append(s.tried, a.choice.Server.Server)
	if response.Header.Get(platform.HeaderSeal) == "" {
		s.lastError = "response without a seal"
		s.finish(a, false, "unsealed")
		s.recordFailure(a)
		return false
	}
	reader := newEventReader(response.Body)
	s.lastEventAt, s.received = time.Time{}, false
	repeatedBytes := 0
	for {
		event, err := reader.next()
		if errors.Is(err, errStreamEnd) && !response.Framed && !s.received {
			err = errNoEvent
		}
		if err != nil {
			return s.handleEnd(a, err)
		}
		s.received = true
		if !s.isNew(event) {
			if repeatedBytes += len(event.raw); repeatedBytes > maxEventBytes {
				return s.handleEnd(a, errRepeatedEvents)
			}
			continue
		}
		if event.number > 0 && s.lastEventNumber() > 0 && event.number > s.lastEventNumber()+1 {
			s.lastError = "event missing after " + s.lastEventID
			s.finish(a, false, "gap")
			s.recordFailure(a)
			return false
		}
		if err := s.writeEvent(a, event); err != nil {
			s.outcome, s.lastError = "caller_left", err.Error()
			s.finish(a, false, "caller left")
			return true
		}
	}
}

// lastEventNumber returns the number of the last event that was forwarded, 0 if there is none.
func (s *relay) lastEventNumber() int64 {
	n, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if err != nil {
		return 0 // identifiers that are not numbers are not compared
	}
	return n
}

// isNew reports whether the event has not been forwarded to the caller yet.
func (s *relay) isNew(e *event) bool { return e.number == 0 || e.number > s.lastEventNumber() }

// writeEvent sends an event to the caller, after the head of the response if that has not been sent yet.
func (s *relay) writeEvent(a *attempt, e *event) error {
	if !s.headSent {
		s.headSent = true
		s.writeHead(a.response, -1)
		s.proxy.withDispatcher(func(_ time.Time, d *dispatch.Dispatcher) { d.RecordSuccess(a.choice) })
	}
	s.recordAnswering(a)
	if _, err := s.w.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return err
	}
	s.events++
	now := time.Now()
	a.watchdog.recordEvent(now)
	if !s.lastEventAt.IsZero() {
		s.proxy.withDispatcher(func(_ time.Time, d *dispatch.Dispatcher) { d.RecordEventGap(now, a.choice, now.Sub(s.lastEventAt)) })
	}
	s.lastEventAt, s.waitsSince = now, now
	if e.id != "" {
		s.lastEventID = e.id
	}
	return nil
}

// finish releases an attempt and records its result for the log.
func (s *relay) finish(a *attempt, complete bool, result string) {
	s.release(a, complete)
	s.recordResult(a, result)
}

// handleEnd handles the end of an attempt's stream. It reports false if the stream may be resumed on another server.
func (s *relay) handleEnd(a *attempt, err error) bool {
	if errors.Is(err, errStreamEnd) {
		s.finish(a, true, "complete at "+s.lastEventID)
		if s.answerBegun {
			s.recordAnswered()
		}
		if !s.headSent {
			s.headSent = true
			s.writeHead(a.response, -1)
		}
		s.outcome = "answered"
		return true
	}
	s.lastError = err.Error()
	s.finish(a, false, "broken off at "+s.lastEventID)
	if s.recordBrokenOff(a) {
		log.WithFields(log.Fields{"request": s.id, "server": a.choice.Server.Server, "last": s.lastEventID, "events": s.events,
			"error": s.lastError, "resumable": s.route.Resumable, "parts": s.parts()}).Warn("stream broken off")
	}
	if !s.route.Resumable && s.headSent {
		s.outcome = "stream_broken_off"
		panic(http.ErrAbortHandler)
	}
	return false
}
