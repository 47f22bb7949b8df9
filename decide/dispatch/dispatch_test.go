package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
)

var start = time.Unix(1000, 0)

func config() Config {
	return Config{DataCentre: "near", AnnounceInterval: time.Second, RetryRatio: 0.2, RetrySlack: 40,
		RetryWindow: 10 * time.Second}
}

func engine() *routes.Engine {
	return &routes.Engine{Slots: 12, Stride: 4, StepTime: 4550 * time.Microsecond, StepTimePerRequest: 905 * time.Microsecond,
		UsualAnswer: 97, Sets: 3, FormTime: 600 * time.Millisecond}
}

// dispatcher returns a dispatcher with n ready servers of service s, in one lock-step group if grouped.
func dispatcher(n int, grouped bool) *Dispatcher {
	d := New(config())
	d.SetTable(routes.Compile(&routes.Configuration{Services: []routes.Service{{Name: "s", ColdRate: 20, Engine: engine()}}}))
	var known []*registry.Record
	for i := range n {
		a := registry.Announcement{Server: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: "near", Slots: 12}
		if grouped {
			a.Group = registry.Group{Name: "g", Rank: i, Size: n}
		}
		known = append(known, &registry.Record{Announcement: a, ReceivedAt: start})
	}
	d.SetServers(start, known)
	return d
}

// Guards against new requests to draining servers and to servers in evacuated data centres.
func TestDrainingAndEvacuatedServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, false)
	draining := d.servers["i0"].announcement
	draining.State = registry.Draining
	d.SetServers(start, []*registry.Record{{Announcement: draining, ReceivedAt: start}, {Announcement: d.servers["i1"].announcement, ReceivedAt: start}})
	for range 10 {
		c, refusal := d.Pick(start, Request{Service: "s"})
		is.Equal(refusal, nil)
		is.Equal(c.Server.Server, "i1")
	}
	d.SetEvacuated([]string{"near"})
	_, refusal := d.Pick(start, Request{Service: "s"})
	is.Equal(refusal.Reason, Evacuated)
}

// Guards against the overload of a cold server: entry instances that are partitioned from each other, each with the last
// known number of instances, must together stay below the rate that the server tolerates. A single instance must still
// send.
func TestInstancesTogetherKeepColdRate(t *testing.T) {
	is := is.New(t)
	const rate, tolerated = 20.0, 1.5
	for _, c := range []struct{ known, live int }{{4, 4}, {4, 5}, {1, 1}} {
		arrivals := []time.Time{}
		for i := range c.live {
			d := dispatcher(1, false)
			d.SetInstances(c.known)
			cold := d.servers["i0"].announcement
			cold.ColdRemaining = time.Minute
			d.SetServers(start, []*registry.Record{{Announcement: cold, ReceivedAt: start.Add(time.Second)}})
			for ms := range 5000 {
				now := start.Add(time.Second + time.Duration(ms+i)*time.Millisecond)
				if choice, _ := d.Pick(now, Request{Service: "s"}); choice != nil {
					choice.Release()
					arrivals = append(arrivals, now)
				}
			}
		}
		most := 0
		for _, from := range arrivals {
			n := 0
			for _, at := range arrivals {
				if !at.Before(from) && at.Before(from.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
		is.True(float64(most) <= rate*tolerated)                      // all instances together
		is.True(len(arrivals) >= int(5*rate*grants.UsedRatio*0.9)-10) // the rate is used
	}
}

// Guards against retries of several instances that together exceed the retry budget of a service.
func TestInstancesTogetherKeepRetryBudget(t *testing.T) {
	is := is.New(t)
	const instances, requests = 4, 100
	retries := 0
	for range instances {
		d := dispatcher(12, false)
		d.SetInstances(instances)
		for i := range requests {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			d.RecordRequest(now, "s")
			for range 3 {
				if c, _ := d.Pick(now, Request{Service: "s", Retry: true}); c != nil {
					c.Release()
					retries++
				}
			}
		}
	}
	is.True(retries <= int(0.2*instances*requests+40))
	is.True(retries >= int(0.2*instances*requests*0.8)) // most of the budget can be used
}

// Guards against continuous attempts at a failed server, and against one that is never tried again.
func TestFailedServerIsAvoidedTemporarily(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, false)
	c, _ := d.Pick(start, Request{Service: "s"})
	c.Release()
	d.RecordFailure(start, c)
	_, refusal := d.Pick(start.Add(time.Millisecond), Request{Service: "s"})
	is.Equal(refusal.Reason, Unreachable)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= maxAvoidance)
	c, refusal = d.Pick(start.Add(minAvoidance), Request{Service: "s"})
	is.Equal(refusal, nil)
	d.RecordSuccess(c)
	is.Equal(d.servers["i0"].consecutiveFailures, 0)
}

// Guards against requests that wait at a lock-step group which has lost a rank: all of its ranks are excluded at once.
func TestGroupWithALostRankIsClosedAsAWhole(t *testing.T) {
	is := is.New(t)
	d := dispatcher(3, true)
	c, _ := d.Pick(start, Request{Service: "s"})
	d.RecordGroupFailure(start, c)
	_, refusal := d.Pick(start.Add(time.Millisecond), Request{Service: "s"})
	is.Equal(refusal.Reason, GroupClosed)
	is.True(refusal.RetryAfter >= minRetryAfter)
	again, refusal := d.Pick(start.Add(2*time.Second), Request{Service: "s"})
	is.Equal(refusal, nil)
	d.RecordSuccess(again)
}

// Guards against a service that never recovers from an overload: more streams arrive than the group's capacity, and each
// admitted stream makes every decode step longer. With admission by event gap, more than twice as many streams keep all
// of their event gaps within the bound as without.
func TestAdmissionByEventGapUnderSustainedOverload(t *testing.T) {
	is := is.New(t)
	const bound = 120 * time.Millisecond
	inTime := map[bool]int{}
	for _, limited := range []bool{true, false} {
		r := rand.New(rand.NewPCG(3, 3))
		d := dispatcher(12, true)
		type stream struct {
			choice *Choice
			events int
			late   bool
		}
		var running []*stream
		need := Request{Service: "s"}
		if limited {
			need.MaxEventGap = bound
		}
		e := engine()
		now := start
		for now.Before(start.Add(30 * time.Second)) {
			n := float64(len(running)) / 12
			slowdown := 1.3
			if now.Sub(start)%(4*time.Second) < time.Second {
				slowdown = 2 // demand for experts has just shifted
			}
			gap := time.Duration(slowdown * float64(e.Stride) * float64(e.StepTime+time.Duration(n*float64(e.StepTimePerRequest))))
			now = now.Add(gap)
			rest := running[:0]
			for _, s := range running {
				d.RecordEventGap(now, s.choice, gap)
				s.late = s.late || gap > bound
				if s.events--; s.events > 0 {
					rest = append(rest, s)
					continue
				}
				s.choice.Release()
				if !s.late {
					inTime[limited]++
				}
			}
			running = rest
			for range int(90*gap.Seconds() + r.Float64()) {
				if c, _ := d.Pick(now, need); c != nil {
					running = append(running, &stream{choice: c, events: 12 + r.IntN(25)})
				}
			}
		}
	}
	t.Logf("streams in time: %d with admission by event gap, %d without", inTime[true], inTime[false])
	is.True(inTime[true] > 2*inTime[false])
}

// Guards against idle engines: half of the slots are open however long the event gaps are.
func TestAdmissionByEventGapKeepsHalfOfTheSlotsOpen(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, true)
	first, _ := d.Pick(start, Request{Service: "s", MaxEventGap: 120 * time.Millisecond})
	for i := range 20 {
		d.RecordEventGap(start.Add(time.Duration(i)*100*time.Millisecond), first, 5*time.Second)
	}
	admitted := 1
	for range 20 {
		if c, _ := d.Pick(start.Add(2*time.Second), Request{Service: "s", MaxEventGap: 120 * time.Millisecond}); c != nil {
			admitted++
		}
	}
	is.Equal(admitted, 6)
}

// Guards against the loss of an admitted request whose server broke off while the event gaps allow no new requests.
func TestAdmissionByEventGapAdmitsRetries(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, true)
	need := Request{Service: "s", MaxEventGap: 120 * time.Millisecond}
	first, _ := d.Pick(start, need)
	for i := range 20 {
		d.RecordEventGap(start.Add(time.Duration(i)*100*time.Millisecond), first, 5*time.Second)
	}
	now := start.Add(2 * time.Second)
	for {
		if _, refusal := d.Pick(now, need); refusal != nil {
			break
		}
	}
	need.Retry = true
	_, refusal := d.Pick(now, need)
	is.Equal(refusal, nil)
}

// Guards against callers that are told to retry while a group is still closed, as when a data centre is partitioned for
// seconds and all ranks stall: Retry-After grows with the time for which the group has been closed.
func TestRetryAfterGrowsWithGroupOutage(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, true)
	c, _ := d.Pick(start, Request{Service: "s"})
	var last time.Duration
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		d.RecordGroupFailure(start.Add(after), c)
		_, refusal := d.Pick(start.Add(after+time.Millisecond), Request{Service: "s"})
		is.Equal(refusal.Reason, GroupClosed)
		is.True(refusal.RetryAfter > last)
		is.True(refusal.RetryAfter <= maxRetryAfter)
		last = refusal.RetryAfter
	}
	d.RecordSuccess(c)
	d.RecordGroupFailure(start.Add(10*time.Second), c)
	_, refusal := d.Pick(start.Add(10*time.Second+time.Millisecond), Request{Service: "s"})
	is.True(refusal.RetryAfter < last)
}

// Guards against a server that answers every request with an error at once: it seems idle, so it would attract most of the
// requests although the others serve them.
func TestServerThatAnswersWithErrorsIsAvoided(t *testing.T) {
	is := is.New(t)
	d := dispatcher(4, false)
	type openRequest struct {
		choice *Choice
		until  time.Time
	}
	var running []openRequest
	wasted := 0
	for ms := range 10000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		running = slices.DeleteFunc(running, func(o openRequest) bool {
			if o.until.After(now) {
				return false
			}
			o.choice.Release()
			d.RecordSuccess(o.choice)
			return true
		})
		if ms%20 != 0 {
			continue
		}
		choice, refusal := d.Pick(now, Request{Service: "s"})
		is.Equal(refusal, nil)
		if choice.Server.Server == "i0" {
			choice.Release()
			d.RecordError(now, choice)
			wasted++
			continue
		}
		running = append(running, openRequest{choice, now.Add(400 * time.Millisecond)})
	}
	is.True(wasted <= 10)
}

// Guards against the exclusion of all servers for errors that are due to the requests.
func TestErrorsOfAllServersExcludeAtMostHalf(t *testing.T) {
	is := is.New(t)
	d := dispatcher(4, false)
	for range 40 {
		choice, refusal := d.Pick(start, Request{Service: "s"})
		is.Equal(refusal, nil)
		choice.Release()
		d.RecordError(start, choice)
	}
	excluded := 0
	for _, s := range d.servers {
		if start.Before(s.avoidUntil) {
			excluded++
		}
	}
	is.True(excluded <= 2)
}

// Guards against the exclusion of a server for a single error, which may be due to the request.
func TestSingleErrorExcludesNoServer(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, false)
	choice, _ := d.Pick(start, Request{Service: "s"})
	d.RecordError(start, choice)
	_, refusal := d.Pick(start, Request{Service: "s"})
	is.Equal(refusal, nil)
	d.RecordSuccess(choice)
	is.Equal(d.servers["i0"].consecutiveErrors, 0)
}

// Guards against moving a stream from a server that is no slower than others, or without retry budget, and against
// leaving one at a hung server.
func TestServerIsHungIfOthersOfItsGroupProgress(t *testing.T) {
	is := is.New(t)
	const silence = time.Second
	for _, c := range []struct {
		name                 string
		own, peer, elsewhere time.Duration // since data came from the server, from one of its group, from another group
		spent                bool          // the retry budget is exhausted
		hung                 bool
	}{
		{"others of the group progress", 2 * time.Second, 100 * time.Millisecond, time.Minute, false, true},
		{"it answers other requests", 100 * time.Millisecond, 100 * time.Millisecond, time.Minute, false, false},
		{"the whole group is stalled", 2 * time.Second, 2 * time.Second, 100 * time.Millisecond, false, false},
		{"no budget is left", 2 * time.Second, 100 * time.Millisecond, time.Minute, true, false},
	} {
		d := dispatcher(3, true)
		other := d.servers["i2"]
		other.announcement.Group.Name = "other"
		now := start.Add(time.Hour)
		choice, refusal := d.Pick(start, Request{Service: "s", Tried: []string{"i1", "i2"}})
		is.Equal(refusal, nil)
		choice.state.lastActivityAt, d.servers["i1"].lastActivityAt, other.lastActivityAt = now.Add(-c.own), now.Add(-c.peer), now.Add(-c.elsewhere)
		for c.spent && d.MayRetry(now, "s") {
			d.retryBudgetFor("s").addRetry(now)
		}
		if got := d.IsHung(now, choice, silence); got != c.hung {
			t.Errorf("%s: hung is %v", c.name, got)
		}
	}
}

// Guards against streams that are taken for hung and sent again while their group is slow, which slows it further: prompts are
// read between the decode steps.
func TestFirstEventTakesLongerInASlowGroup(t *testing.T) {
	is := is.New(t)
	const bound = 150 * time.Millisecond
	d := dispatcher(1, true)
	c, _ := d.Pick(start, Request{Service: "s"})
	is.Equal(d.Slowdown(start, c, bound), 1.0) // nothing known
	for at := start; at.Before(start.Add(2 * time.Second)); at = at.Add(100 * time.Millisecond) {
		d.RecordEventGap(at, c, bound/2)
	}
	is.Equal(d.Slowdown(start.Add(2*time.Second), c, bound), 1.0)
	for at := start.Add(2 * time.Second); at.Before(start.Add(3 * time.Second)); at = at.Add(100 * time.Millisecond) {
		d.RecordEventGap(at, c, 2*bound)
	}
	is.True(d.Slowdown(start.Add(3*time.Second), c, bound) > 3.9)
	is.Equal(d.Slowdown(start.Add(5*time.Second), c, bound), 1.0) // outdated
	is.Equal(d.Slowdown(start.Add(3*time.Second), c, 0), 1.0)     // the route has no bound
}

// Guards against a burst of a less urgent kind that fills the servers: room is kept for the more urgent requests that arrive meanwhile, and
// none where callers do not compete.
func TestRoomIsKeptForUrgentRequests(t *testing.T) {
	is := is.New(t)
	for _, competing := range []bool{false, true} {
		c := config()
		c.CompetingCallers = competing
		d := New(c)
		d.SetTable(routes.Compile(&routes.Configuration{Services: []routes.Service{{Name: "s"}}}))
		d.SetServers(start, []*registry.Record{{ReceivedAt: start, Announcement: registry.Announcement{Server: "i", Service: "s", Address: "10.0.0.1:1", Slots: 10}}})
		for i := range 8 { // 4 a second
			d.RecordArrival(start.Add(time.Duration(i)*200*time.Millisecond), "s", 0)
		}
		now := start.Add(1600 * time.Millisecond)
		admitted := func(priority int) (n int) {
			for {
				if _, refusal := d.Pick(now, Request{Service: "s", Priority: priority}); refusal != nil {
					is.Equal(refusal.Reason, Full)
					return n
				}
				n++
			}
		}
		patient, urgent := admitted(2), admitted(0)
		if competing {
			is.Equal(patient, 9) // of 11, without the 2 that arrive while room cannot be had back
			is.Equal(urgent, 2)
		} else {
			is.Equal(patient, 15)
			is.Equal(urgent, 0)
		}
	}
}
