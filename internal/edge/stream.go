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

// relay is a stream on its way to the caller.
type relay struct {
	*call
	headPassed bool
	last       string // identifier of the last event that was passed on; the caller's own at first
	events     int
	passedAt   time.Time // when the last event was passed on
}

// serveStream passes events on as they come. A resumable stream that breaks off goes on at another server.
func (c *call) serveStream() {
	s := &relay{call: c, last: c.r.Header.Get(platform.HeaderLastEvent)}
	var refusal *dispatch.Refusal
	for {
		header := c.header.Clone()
		if s.last != "" {
			header.Set(platform.HeaderLastEvent, s.last)
		}
		var a *attempt
		a, refusal = c.begin(header, 0)
		if refusal != nil {
			break
		}
		if a != nil && s.pass(a) {
			return
		}
		if !c.mayTryAgain() {
			break
		}
	}
	if !s.headPassed {
		c.endUnanswered(refusal)
		return
	}
	c.outcome = "stream_broken_off"
	if refusal != nil {
		c.outcome += ":" + string(refusal.Reason)
	}
	panic(http.ErrAbortHandler)
}

// pass relays the events of one attempt. It reports false if the stream may go on elsewhere.
func (s *relay) pass(a *attempt) bool {
	answer := a.answer
	if s.rejected(a) {
		return false
	}
	if answer.Status < 200 || answer.Status >= 300 {
		if s.headPassed {
			s.sends++
			s.ran = true
			s.tried = append(s.tried, a.choice.Server.Server)
			s.judge(a)
			s.finish(a, false, strconv.Itoa(answer.Status))
			return false
		}
		return s.finishPlain(a)
	}
	s.sends++
	s.ran = true
	s.tried = append(s.tried, a.choice.Server.Server)
	if answer.Header.Get(platform.HeaderSeal) == "" {
		s.lastError = "the answer bears no seal"
		s.finish(a, false, "unsealed")
		s.distrust(a)
		return false
	}
	reader := newEventReader(answer.Body)
	s.passedAt = time.Time{}
	for {
		event, err := reader.next()
		if err != nil {
			return s.ended(a, err)
		}
		if !s.due(event) {
			continue
		}
		if event.number > 0 && s.lastNumber() > 0 && event.number > s.lastNumber()+1 {
			s.lastError = "an event is missing after " + s.last
			s.finish(a, false, "gap")
			s.distrust(a)
			return false
		}
		if err := s.write(a, event); err != nil {
			s.outcome, s.lastError = "caller_left", err.Error()
			s.finish(a, false, "caller left")
			return true
		}
	}
}

// lastNumber returns the number of the last event that was passed on, 0 if there is none.
func (s *relay) lastNumber() int64 {
	n, err := strconv.ParseInt(s.last, 10, 64)
	if err != nil {
		return 0 // identifiers that are no numbers are compared with nothing
	}
	return n
}

// due reports whether the caller does not have the event yet.
func (s *relay) due(e *event) bool { return e.number == 0 || e.number > s.lastNumber() }

func (s *relay) write(a *attempt, e *event) error {
	if !s.headPassed {
		s.headPassed = true
		s.passHead(a.answer, -1)
		s.gate.with(func(_ time.Time, d *dispatch.Dispatcher) { d.RecordSuccess(a.choice) })
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return err
	}
	s.events++
	now := time.Now()
	a.watch.event(now)
	if !s.passedAt.IsZero() {
		s.gate.with(func(_ time.Time, d *dispatch.Dispatcher) { d.RecordEventGap(now, a.choice, now.Sub(s.passedAt)) })
	}
	s.passedAt = now
	if e.id != "" {
		s.last = e.id
	}
	return nil
}

// finish gives the attempt's connection and place back.
func (s *relay) finish(a *attempt, complete bool, result string) {
	s.release(a, complete)
	s.note(a, result)
}

// ended takes in the end of an attempt's stream.
func (s *relay) ended(a *attempt, err error) bool {
	if errors.Is(err, errStreamEnd) {
		s.finish(a, true, "complete at "+s.last)
		if !s.headPassed {
			s.headPassed = true
			s.passHead(a.answer, -1)
		}
		s.outcome = "answered"
		return true
	}
	s.lastError = err.Error()
	s.finish(a, false, "broken off at "+s.last)
	if s.ctx.Err() == nil {
		s.distrust(a)
		log.WithFields(log.Fields{"request": s.id, "server": a.choice.Server.Server, "last": s.last, "events": s.events,
			"error": s.lastError, "resumable": s.route.Resumable}).Warn("stream broken off")
	}
	if !s.route.Resumable && s.headPassed {
		s.outcome = "stream_broken_off"
		panic(http.ErrAbortHandler)
	}
	return false
}
