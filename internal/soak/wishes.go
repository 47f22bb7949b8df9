package soak

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

const (
	// lingerTime is how long a server that leaves still serves after drainTime.
	lingerTime = 3 * time.Second
	// quietTime is the time for which a server asks an entry instance for no requests. Of those that arrive later than
	// quietNoticeTime after that and before its end, maxQuietArrivals are tolerated.
	quietTime        = 1500 * time.Millisecond
	quietNoticeTime  = 500 * time.Millisecond
	maxQuietArrivals = 2
	quietOneIn       = 4
)

// wishRecord records what an incarnation has told entry instances about itself, and the requests that it got from them.
type wishRecord struct {
	mu       sync.Mutex
	leaving  []exchange // answered with the statement that it leaves
	quiet    []exchange // rejected with the wish for no requests
	arrivals []exchange
}

// exchange is a request from a life of an entry instance.
type exchange struct {
	request        string
	entry          string
	entryStartedAt time.Time
	at             time.Time
}

func (e *exchange) sameLife(other *exchange) bool {
	return e.entry == other.entry && e.entryStartedAt.Equal(other.entryStartedAt)
}

func (r *wishRecord) recordArrival(e exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, e)
}

// sayLeaving adds to an answer that the server leaves.
func (r *wishRecord) sayLeaving(header http.Header, e exchange) {
	header.Set(platform.HeaderLeaving, "1")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, e)
}

// askForQuiet adds to a rejection that the server wants no requests for quietTime.
func (r *wishRecord) askForQuiet(header http.Header, e exchange) {
	header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(quietTime.Seconds(), 'f', -1, 64))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quiet = append(r.quiet, e)
}

// check returns the requests that came although the server had said that it leaves, and the most that came in a time of
// quiet. passedOn returns when a request was sent by its caller, and when an answer to it reached the caller, the zero time if none did.
func (r *wishRecord) check(passedOn func(request string) (sent, answered time.Time)) (late, mostInQuiet int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var toldLeaving []exchange // by answers that reached their callers, at that time
	for _, told := range r.leaving {
		if _, answered := passedOn(told.request); !answered.IsZero() {
			told.at = answered
			toldLeaving = append(toldLeaving, told)
		}
	}
	for _, a := range r.arrivals {
		sent, _ := passedOn(a.request)
		if slices.ContainsFunc(toldLeaving, func(told exchange) bool { return told.sameLife(&a) && sent.After(told.at.Add(drainTime)) }) {
			late++
		}
	}
	for _, told := range r.quiet {
		n := 0
		for _, a := range r.arrivals {
			if after := a.at.Sub(told.at); told.sameLife(&a) && after >= quietNoticeTime && after < quietTime {
				n++
			}
		}
		mostInQuiet = max(mostInQuiet, n)
	}
	return late, mostInQuiet
}

// passedOn returns when a request was sent, and the time at which a backend server's answer to it reached its caller.
func (l *ledger) passedOn(id string) (sent, answeredAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return time.Time{}, time.Time{}
	}
	if r.outcome == answered {
		answeredAt = r.ended
	}
	return r.sent, answeredAt
}

// leave says in all answers that the current incarnation leaves, announces nothing, serves on for a while and ends.
func (s *server) leave() {
	inc := s.currentIncarnation()
	if inc == nil || inc.leaving.Swap(true) {
		return
	}
	time.Sleep(drainTime + lingerTime)
	s.crash()
}

// checkWishes checks that what the incarnation has said of itself was heeded.
func (inc *incarnation) checkWishes() {
	s := inc.server
	late, mostInQuiet := inc.wishes.check(s.ledger.passedOn)
	if late > 0 {
		s.ledger.recordViolation("DRAIN", "%d requests reached the server %s that were sent over %v after it had said that it leaves", late, inc.id, drainTime)
	}
	if mostInQuiet > maxQuietArrivals && s.proxy.healthySince(inc.started) { // withheld requests arrive late
		s.ledger.recordViolation("BUDGET", "%d requests reached the server %s from an instance that it had asked for quiet", mostInQuiet, inc.id)
	}
}
