package fairness

import (
	"fmt"
	"math"
	"math/rand/v2"
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

// Guards against a large organisation that starves small ones, and against weights that have no effect.
func TestSharesFollowWeights(t *testing.T) {
	for _, test := range []struct {
		weight         float64
		served, smalls int
	}{{1, 25, 75}, {5, 62, 38}} {
		is := is.New(t)
		q := New(Config{})
		is.NoErr(q.SetWeight("large", test.weight))
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

// Guards against a request of low priority that is served before one of high priority of the same organisation.
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

// Guards against requests that are queued although they cannot be answered in time, against a refusal because of another
// organisation's load, and against refused callers that all retry at once.
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

// Guards against serving requests whose deadline has passed, and against an expired item that is lost.
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

// Guards against unbounded memory: 210 organisations offer far more than the queue holds. An organisation that offers its
// first items later must still get its reserved places.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	q := New(Config{MaxWaiting: 2048, MaxOrganisations: 256})
	for n := range 100 {
		for org := range 210 {
			q.Offer(start, item(fmt.Sprint("org", org, "-"), n, time.Hour))
		}
	}
	is.True(q.Waiting() <= 2048)
	for n := range q.reservedPlaces() {
		is.True(q.Offer(start, item("late", n, time.Hour)) == nil)
	}
	for q.Waiting() > 0 {
		next, ok := q.Next(start)
		is.True(ok)
		q.Done(at(time.Second), next.ID)
	}
	is.Equal(len(q.organisations), 0)
	is.Equal(q.sharedPlacesUsed, 0)
}

// Guards against requests refused long after a period of slow service has ended: its service times must expire.
func TestOldServiceTimesExpire(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	is.True(q.Offer(start, item("a", 0, time.Hour)) == nil)
	is.True(q.Offer(start, item("a", 1, time.Hour)) == nil)
	q.Next(start)
	q.Next(start)
	q.Done(at(time.Minute), "a0") // a minute each; one still runs
	refusal := q.Offer(at(time.Minute), item("a", 2, 70*time.Second))
	is.True(refusal != nil)
	is.Equal(refusal.Reason, ReasonDeadline)
	is.True(q.Offer(at(65*time.Second), item("a", 3, 75*time.Second)) == nil)
	_, ok := q.Next(at(65 * time.Second))
	is.True(ok)
}

// Guards against an item that is lost or returned twice, and against counters that drift from the waiting items, under
// random calls in any order.
func TestEveryItemIsRemovedOnce(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		q := New(Config{MaxWaiting: 64, MaxOrganisations: 8})
		waiting, running := map[string]Item{}, []string{}
		remove := func(i Item) {
			if _, ok := waiting[i.ID]; !ok {
				t.Fatalf("seed %d: item %s was removed twice or had been refused", seed, i.ID)
			}
			delete(waiting, i.ID)
		}
		now := start
		for n := range 2000 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			i := item(string(rune('a'+random.IntN(10))), n, 0)
			_ = q.SetWeight(i.Organisation, []float64{0, 0.3, 1.7}[random.IntN(3)])
			i.Priority, i.Cost = fleet.Priority(random.IntN(4)), 10*random.Float64()
			i.Deadline = now.Add(time.Duration(random.IntN(8000)-500) * time.Millisecond)
			switch random.IntN(6) {
			case 0, 1, 2:
				if q.Offer(now, i) == nil {
					waiting[i.ID] = i
				}
			case 3:
				if next, ok := q.Next(now); ok {
					remove(next)
					running = append(running, next.ID)
				}
			case 4:
				if len(running) > 0 {
					q.Done(now, running[0])
					running = running[1:]
				}
			case 5:
				for _, expired := range q.Expire(now) {
					remove(expired)
				}
				for id, candidate := range waiting {
					if random.IntN(20) == 0 && q.Cancel(now, candidate.Organisation, id) {
						remove(candidate)
					}
					break
				}
			}
			if q.Waiting()+len(q.expired) != len(waiting) || q.Waiting() > 64 || q.Running() != len(running) {
				t.Fatalf("seed %d: %d wait, want %d", seed, q.Waiting(), len(waiting)-len(q.expired))
			}
			shared, weight := 0, 0.0
			for _, o := range q.organisations {
				shared += max(o.waitingCount-q.reservedPlaces(), 0)
				if o.waitingCount > 0 || o.runningCount > 0 {
					weight += o.weight
				}
			}
			if math.Abs(weight-q.busyWeight) > 1e-9 {
				t.Fatalf("seed %d: weight %v counted as busy, want %v", seed, q.busyWeight, weight)
			}
			if shared != q.sharedPlacesUsed || len(q.organisations) > 8 {
				t.Fatalf("seed %d: %d shared places counted, %d used", seed, q.sharedPlacesUsed, shared)
			}
		}
	}
}
