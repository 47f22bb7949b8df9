package fairness

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 5, 7, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func item(org string, n int, deadline time.Duration) Item {
	return Item{ID: fmt.Sprint(org, n), Organisation: fleet.Organisation(org), Priority: fleet.PriorityNormal, Cost: 1,
		Deadline: at(deadline)}
}

// Guards against a large organisation that starves small ones, and against weights without effect.
func TestSharesFollowWeights(t *testing.T) {
	for _, test := range []struct {
		weight         float64
		served, smalls int
	}{{1, 25, 75}, {5, 62, 38}} {
		is := is.New(t)
		q := New(Config{})
		q.SetWeight("large", test.weight)
		for n := range 200 {
			is.True(q.Offer(start, item("large", n, time.Hour)) == nil)
		}
		for _, org := range []string{"a", "b", "c"} {
			for n := range 50 {
				is.True(q.Offer(start, item(org, n, time.Hour)) == nil)
			}
		}
		large := 0
		for range 100 {
			next, ok := q.Next(start)
			is.True(ok)
			if next.Organisation == "large" {
				large++
			}
		}
		if large < test.served-1 || large > test.served+1 {
			t.Errorf("weight %v: large organisation got %d of 100, want about %d", test.weight, large, test.served)
		}
	}
}

// Guards against a low priority that is served before a high one of the same organisation.
func TestPrioritiesWithinOrganisation(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	for n, p := range []fleet.Priority{fleet.PriorityLow, fleet.PriorityHigh, fleet.PriorityNormal, fleet.PriorityHigh} {
		i := item("a", n, time.Minute)
		i.Priority = p
		is.True(q.Offer(start, i) == nil)
	}
	for _, want := range []string{"a1", "a3", "a2", "a0"} {
		next, _ := q.Next(start)
		is.Equal(next.ID, want)
	}
}

// Guards against requests that are queued although they cannot be answered in time, against a refusal for another
// organisation's load, and against refused callers that all come back at once.
func TestEarlyRefusalIsForTheOrganisationsOwnLoad(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.SetSlots(1)
	serve := func(now time.Duration) {
		next, ok := q.Next(at(now))
		is.True(ok)
		q.Done(at(now+time.Second), next.ID)
	}
	is.True(q.Offer(start, item("large", 0, time.Minute)) == nil)
	serve(0)
	var refusals []*Refusal
	for n := 1; n < 40; n++ {
		if r := q.Offer(at(time.Second), item("large", n, 11*time.Second)); r != nil {
			refusals = append(refusals, r)
		}
	}
	is.True(len(refusals) > 25) // one slot, one second each, ten seconds left
	for i, r := range refusals {
		is.Equal(r.Reason, ReasonOverShare)
		if i > 0 {
			is.True(r.RetryAfter > refusals[i-1].RetryAfter || r.RetryAfter >= 29*time.Second)
		}
	}
	is.True(q.Offer(at(time.Second), item("small", 0, 4*time.Second)) == nil) // within its share
	serve(time.Second)
	serve(2 * time.Second)
	_, waits := q.waiting["small0"]
	is.True(!waits) // its turn comes after at most one request of the large organisation
}

// Guards against a queue that hands out requests nobody waits for any more, and against a lost expired item.
func TestExpiredItemsAreReturnedOnce(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	is.True(q.Offer(start, item("a", 0, time.Second)) == nil)
	is.True(q.Offer(start, item("a", 1, time.Second)) == nil)
	is.True(q.Offer(start, item("b", 0, time.Minute)) == nil)
	next, ok := q.Next(at(2 * time.Second))
	is.True(ok)
	is.Equal(next.ID, "b0")
	is.Equal(len(q.Expire(at(2*time.Second))), 2)
	is.Equal(len(q.Expire(at(2*time.Second))), 0)
	is.Equal(q.Waiting(), 0)
}

// Guards against unbounded memory: 210 organisations offer far more than the queue holds, and one that comes late must
// still find its reserved places.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	q := New(Config{MaxWaiting: 2048, MaxOrganisations: 256})
	for n := range 100 {
		for org := range 210 {
			q.Offer(start, item(fmt.Sprint("org", org, "-"), n, time.Hour))
		}
	}
	is.True(q.Waiting() <= 2048)
	for n := range q.reserved() {
		is.True(q.Offer(start, item("late", n, time.Hour)) == nil)
	}
	for q.Waiting() > 0 {
		next, ok := q.Next(start)
		is.True(ok)
		q.Done(at(time.Second), next.ID)
	}
	is.Equal(len(q.organisations), 0)
	is.Equal(q.shared, 0)
}
