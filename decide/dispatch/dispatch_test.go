package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
)

var start = time.Unix(1000, 0)

func config() Config {
	return Config{DataCentre: "near", AnnounceEvery: time.Second, RetryRatio: 0.2, RetrySlack: 40,
		RetryWindow: 10 * time.Second}
}

func engine() *routes.Engine {
	return &routes.Engine{Slots: 12, Stride: 4, StepTime: 4550 * time.Microsecond, StepTimePerRequest: 905 * time.Microsecond,
		UsualAnswer: 97, Sets: 3, FormTime: 600 * time.Millisecond}
}

// dispatcher knows n ready servers of service s, in a lock-step group if grouped.
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

// Guards against work on servers that leave, or in data centres that are taken out.
func TestLeavingAndEvacuatedServersGetNothing(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, false)
	leaving := d.servers["i0"].announced
	leaving.State = registry.Draining
	d.SetServers(start, []*registry.Record{{Announcement: leaving, ReceivedAt: start}, {Announcement: d.servers["i1"].announced, ReceivedAt: start}})
	for range 10 {
		c, refusal := d.Pick(start, Need{Service: "s"})
		is.Equal(refusal, nil)
		is.Equal(c.Server.Server, "i1")
	}
	d.SetEvacuated([]string{"near"})
	_, refusal := d.Pick(start, Need{Service: "s"})
	is.Equal(refusal.Reason, Evacuated)
}

// Guards against a cold server that is pushed over: entry instances that cannot see each other, each with the number of
// instances it knew last, stay in sum below what the server bears; a lone survivor still sends.
func TestColdRateHoldsInSumOverInstances(t *testing.T) {
	is := is.New(t)
	const rate, tolerated = 20.0, 1.5
	for _, c := range []struct{ knew, live int }{{4, 4}, {4, 5}, {1, 1}} {
		arrivals := []time.Time{}
		for i := range c.live {
			d := dispatcher(1, false)
			d.SetInstances(c.knew)
			cold := d.servers["i0"].announced
			cold.ColdRemaining = time.Minute
			d.SetServers(start, []*registry.Record{{Announcement: cold, ReceivedAt: start.Add(time.Second)}})
			for ms := range 5000 {
				now := start.Add(time.Second + time.Duration(ms+i)*time.Millisecond)
				if choice, _ := d.Pick(now, Need{Service: "s"}); choice != nil {
					choice.End()
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
		is.True(float64(most) <= rate*tolerated)               // instances in sum
		is.True(len(arrivals) >= int(5*rate*coldShare*0.9)-10) // the rate is used
	}
}

// Guards against retries that in sum exceed the budget of a service.
func TestRetryBudgetHoldsInSum(t *testing.T) {
	is := is.New(t)
	const instances, requests = 4, 100
	retries := 0
	for range instances {
		d := dispatcher(12, false)
		d.SetInstances(instances)
		for i := range requests {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			d.Arrived(now, "s")
			for range 3 {
				if c, _ := d.Pick(now, Need{Service: "s", Repeat: true}); c != nil {
					c.End()
					retries++
				}
			}
		}
	}
	is.True(retries <= int(0.2*instances*requests+40))
	is.True(retries >= int(0.2*instances*requests*0.8)) // the budget is there to be used
}

// Guards against a server that fails and is tried again and again, and against one that is never tried again.
func TestFailedServerIsAvoidedForAWhile(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, false)
	c, _ := d.Pick(start, Need{Service: "s"})
	c.End()
	d.Failed(start, c)
	_, refusal := d.Pick(start.Add(time.Millisecond), Need{Service: "s"})
	is.Equal(refusal.Reason, Unreachable)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= avoidMost)
	c, refusal = d.Pick(start.Add(avoidFirst), Need{Service: "s"})
	is.Equal(refusal, nil)
	d.Succeeded(c)
	is.Equal(d.servers["i0"].failures, 0)
}

// Guards against requests that wait at a lock-step group which has lost a rank: the group is refused as a whole, at once.
func TestGroupWithALostRankIsClosedAsAWhole(t *testing.T) {
	is := is.New(t)
	d := dispatcher(3, true)
	c, _ := d.Pick(start, Need{Service: "s"})
	d.GroupFailed(start, c)
	_, refusal := d.Pick(start.Add(time.Millisecond), Need{Service: "s"})
	is.Equal(refusal.Reason, GroupClosed)
	is.True(refusal.RetryAfter >= shortestReturn)
	again, refusal := d.Pick(start.Add(2*time.Second), Need{Service: "s"})
	is.Equal(refusal, nil)
	d.Succeeded(again)
}

// Guards against a service that never leaves an overload (pattern: more streams arrive than the group bears, and each one
// admitted makes every pass longer): with admission by pace the pauses stay within their bound, and more streams end in time
// than without.
func TestAdmissionByPaceUnderLastingOverload(t *testing.T) {
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
		need := Need{Service: "s"}
		if limited {
			need.LongestPause = bound
		}
		e := engine()
		now := start
		for now.Before(start.Add(30 * time.Second)) {
			n := float64(len(running)) / 12
			stretch := 1.3
			if now.Sub(start)%(4*time.Second) < time.Second {
				stretch = 2 // demand for experts has just shifted
			}
			pass := time.Duration(stretch * float64(e.Stride) * float64(e.StepTime+time.Duration(n*float64(e.StepTimePerRequest))))
			now = now.Add(pass)
			rest := running[:0]
			for _, s := range running {
				d.PauseSeen(now, s.choice, pass)
				s.late = s.late || pass > bound
				if s.events--; s.events > 0 {
					rest = append(rest, s)
					continue
				}
				s.choice.End()
				if !s.late {
					inTime[limited]++
				}
			}
			running = rest
			for range int(90*pass.Seconds() + r.Float64()) {
				if c, _ := d.Pick(now, need); c != nil {
					running = append(running, &stream{choice: c, events: 12 + r.IntN(25)})
				}
			}
		}
	}
	t.Logf("streams in time: %d with admission by pace, %d without", inTime[true], inTime[false])
	is.True(inTime[true] > 2*inTime[false])
}

// Guards against idle engines: however slow the passes look, half of the slots are used.
func TestAdmissionByPaceLeavesHalfOfTheSlotsOpen(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, true)
	first, _ := d.Pick(start, Need{Service: "s", LongestPause: 120 * time.Millisecond})
	for i := range 20 {
		d.PauseSeen(start.Add(time.Duration(i)*100*time.Millisecond), first, 5*time.Second)
	}
	admitted := 1
	for range 20 {
		if c, _ := d.Pick(start.Add(2*time.Second), Need{Service: "s", LongestPause: 120 * time.Millisecond}); c != nil {
			admitted++
		}
	}
	is.Equal(admitted, 6)
}

// Guards against an admitted request whose server broke off and that is given up because the pace admits no new ones.
func TestAdmissionByPaceLetsRetriesThrough(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, true)
	need := Need{Service: "s", LongestPause: 120 * time.Millisecond}
	first, _ := d.Pick(start, need)
	for i := range 20 {
		d.PauseSeen(start.Add(time.Duration(i)*100*time.Millisecond), first, 5*time.Second)
	}
	now := start.Add(2 * time.Second)
	for {
		if _, refusal := d.Pick(now, need); refusal != nil {
			break
		}
	}
	need.Repeat = true
	_, refusal := d.Pick(now, need)
	is.Equal(refusal, nil)
}

// Guards against callers that are told to come back to a group that is still closed (pattern: a data centre is cut off for
// seconds and all ranks stand still): the longer the group has been closed, the later they are asked to return.
func TestRetryAfterGrowsWithTheOutageOfAGroup(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, true)
	c, _ := d.Pick(start, Need{Service: "s"})
	var last time.Duration
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		d.GroupFailed(start.Add(after), c)
		_, refusal := d.Pick(start.Add(after+time.Millisecond), Need{Service: "s"})
		is.Equal(refusal.Reason, GroupClosed)
		is.True(refusal.RetryAfter > last)
		is.True(refusal.RetryAfter <= longestReturn)
		last = refusal.RetryAfter
	}
	d.Succeeded(c)
	d.GroupFailed(start.Add(10*time.Second), c)
	_, refusal := d.Pick(start.Add(10*time.Second+time.Millisecond), Need{Service: "s"})
	is.True(refusal.RetryAfter < last)
}

// Guards against a server that answers every request with an error at once: it seems idle, so it would draw most of the
// requests although the others serve.
func TestServerThatAnswersWithErrorsIsAvoided(t *testing.T) {
	is := is.New(t)
	d := dispatcher(4, false)
	type open struct {
		choice *Choice
		until  time.Time
	}
	var running []open
	wasted := 0
	for ms := range 10000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		running = slices.DeleteFunc(running, func(o open) bool {
			if o.until.After(now) {
				return false
			}
			o.choice.End()
			d.Succeeded(o.choice)
			return true
		})
		if ms%20 != 0 {
			continue
		}
		choice, refusal := d.Pick(now, Need{Service: "s"})
		is.Equal(refusal, nil)
		if choice.Server.Server == "i0" {
			choice.End()
			d.Erred(now, choice)
			wasted++
			continue
		}
		running = append(running, open{choice, now.Add(400 * time.Millisecond)})
	}
	is.True(wasted <= 10)
}

// Guards against servers that are all given up for errors that are due to the requests.
func TestErrorsOfAllServersExcludeFewOfThem(t *testing.T) {
	is := is.New(t)
	d := dispatcher(4, false)
	for range 40 {
		choice, refusal := d.Pick(start, Need{Service: "s"})
		is.Equal(refusal, nil)
		choice.End()
		d.Erred(start, choice)
	}
	excluded := 0
	for _, s := range d.servers {
		if start.Before(s.avoidUntil) {
			excluded++
		}
	}
	is.True(excluded <= 2)
}

// Guards against a server that is given up for a single error, which may be due to the request.
func TestSingleErrorExcludesNoServer(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, false)
	choice, _ := d.Pick(start, Need{Service: "s"})
	d.Erred(start, choice)
	_, refusal := d.Pick(start, Need{Service: "s"})
	is.Equal(refusal, nil)
	d.Succeeded(choice)
	is.Equal(d.servers["i0"].errors, 0)
}

// Guards against a stream that is moved from a server which is no slower than others, or without budget for it, and against
// one that stays at a server that has hung.
func TestServerHasHungIfOthersOfItsGroupGoOn(t *testing.T) {
	is := is.New(t)
	const silence = time.Second
	for _, c := range []struct {
		name                 string
		own, peer, elsewhere time.Duration // since something came from the server, from one of its group, from another group
		spent                bool          // the retry budget is used up
		hung                 bool
	}{
		{"others of the group go on", 2 * time.Second, 100 * time.Millisecond, time.Minute, false, true},
		{"it answers other requests", 100 * time.Millisecond, 100 * time.Millisecond, time.Minute, false, false},
		{"the whole group stands still", 2 * time.Second, 2 * time.Second, 100 * time.Millisecond, false, false},
		{"no budget is left", 2 * time.Second, 100 * time.Millisecond, time.Minute, true, false},
	} {
		d := dispatcher(3, true)
		other := d.servers["i2"]
		other.announced.Group.Name = "other"
		now := start.Add(time.Hour)
		choice, refusal := d.Pick(start, Need{Service: "s", Tried: []string{"i1", "i2"}})
		is.Equal(refusal, nil)
		choice.state.activeAt, d.servers["i1"].activeAt, other.activeAt = now.Add(-c.own), now.Add(-c.peer), now.Add(-c.elsewhere)
		for c.spent && d.MayRetry(now, "s") {
			d.budget("s").retry(now)
		}
		if got := d.Hung(now, choice, silence); got != c.hung {
			t.Errorf("%s: hung is %v", c.name, got)
		}
	}
}
