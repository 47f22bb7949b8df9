package waiting

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// request returns one of a priority that must begin within an objective and before until, in milliseconds.
func request(priority, objective, until int) Request {
	return Request{Priority: priority, Objective: at(objective), Until: at(until)}
}

func names(q *Queue[string], now time.Time) (list []string) {
	for _, w := range q.InOrder(now) {
		list = append(list, w.Value)
	}
	return list
}

// Guards against a burst of a patient kind that urgent requests wait behind, and against late requests that make others late.
func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	q := &Queue[string]{}
	for _, w := range []struct {
		name string
		r    Request
	}{
		{"patient", request(2, 1000, 3000)},
		{"urgent, late", request(0, 100, 1500)},
		{"urgent", request(0, 500, 1500)},
		{"urgent, more time", request(0, 500, 1600)},
		{"usual", request(1, 300, 1500)},
		{"begun", Request{Priority: 2, Begun: true, Until: at(1000)}},
	} {
		q.Enter(at(0), w.r, w.name, 10)
	}
	is.Equal(names(q, at(200)), []string{"begun", "urgent, more time", "urgent", "usual", "patient", "urgent, late"})
	is.True(q.MayPass(at(200), &Request{Priority: 0, Begun: true, Until: at(500)}))
	urgent := request(0, 350, 1500)
	is.True(!q.MayPass(at(200), &urgent)) // the answer of one has begun
}

// Guards against requests that wait though they cannot be served in time: of those over the limit, the last in order is rejected at
// once, which need not be the newest.
func TestMoreThanCanBeServedAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	q := &Queue[string]{}
	_, rejected := q.Enter(at(0), request(2, 1000, 3000), "patient", 2)
	is.Equal(rejected, nil)
	_, rejected = q.Enter(at(1), request(1, 500, 1500), "usual", 2)
	is.Equal(rejected, nil)
	w, rejected := q.Enter(at(2), request(0, 500, 1500), "urgent", 2)
	is.Equal(rejected.Value, "patient")
	is.True(q.Remove(w))
	is.True(!q.Remove(w))
	_, rejected = q.Enter(at(3), request(2, 1000, 3000), "patient again", 1)
	is.Equal(rejected.Value, "patient again")
	is.Equal(names(q, at(3)), []string{"usual"})
}

// Guards against callers who are rejected for a short outage of all servers: those who arrive within their patience before its end wait
// for it, and the limit admits all of them.
func TestOutageWithinPatience(t *testing.T) {
	is := is.New(t)
	patience := Patience{FirstEvent: 2 * time.Second}
	arrivals := 100.0 // a second
	wait := patience.LatestStart(at(0), at(8000), 500*time.Millisecond, 3*time.Second).Sub(at(0))
	is.Equal(wait, time.Second)
	q := &Queue[int]{}
	rejections := 0
	for i := range int(arrivals * wait.Seconds()) {
		now := at(i * 1000 / int(arrivals))
		if _, rejected := q.Enter(now, Request{Until: now.Add(wait)}, i, Limit(arrivals, wait)); rejected != nil {
			rejections++
		}
	}
	is.Equal(rejections, 0)
	is.Equal(len(q.InOrder(at(1000))), int(arrivals*wait.Seconds()))
}

// Guards against waits that end after the caller's own.
func TestLatestStart(t *testing.T) {
	is := is.New(t)
	is.Equal(Patience{}.LatestStart(at(0), at(1200), 120*time.Millisecond, 0), at(1080))
	is.Equal(Patience{FirstEvent: 2 * time.Second}.LatestStart(at(0), at(8000), 500*time.Millisecond, 3*time.Second), at(1000))
	// One that has come back has no time to wait if its answer would be cut off by the deadline.
	is.Equal(Patience{FirstEvent: 2 * time.Second}.LatestStart(at(0), at(3500), 500*time.Millisecond, 3*time.Second), at(500))
	is.Equal(ReturnAfter(6*time.Second, 5*time.Second), 2*time.Second)
	is.Equal(ReturnAfter(6*time.Second, 100*time.Millisecond), 100*time.Millisecond)
}
