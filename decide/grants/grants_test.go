package grants

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Guards against permits that together exceed the limit of a server, after a pause too, and against limits that are not granted
// while instances ask.
func TestPermitsKeepTheLimit(t *testing.T) {
	for _, limit := range []float64{0.2, 1, 2.5, 40} {
		is := is.New(t)
		g := New()
		var granted []time.Time
		limits := []Limit{{"a", limit}}
		ask := func(from, to time.Duration) {
			for at := start.Add(from); at.Before(start.Add(to)); at = at.Add(10 * time.Millisecond) {
				servers, retryAfter := g.Grant(at, "s", limits, 3)
				is.True(len(servers) == 3 || retryAfter > 0)
				for range servers {
					granted = append(granted, at)
				}
			}
		}
		ask(0, 20*time.Second)
		is.True(float64(len(granted)) >= 20*limit*UsedRatio-1)
		ask(50*time.Second, 60*time.Second)
		for i, first := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at.Before(first.Add(4 * time.Second)) {
					n++
				}
			}
			// With what is unused from the second before, the servers get no more than they tolerate.
			is.True(float64(n)+limit*PermitLifetime.Seconds() <= 1.5*4*limit+5)
		}
	}
}

// Guards against permits of one server while others of the service have more, and against servers without a limit.
func TestPermitsComeFromTheServersWithMost(t *testing.T) {
	is := is.New(t)
	g := New()
	limits := []Limit{{"a", 4}, {"b", 4}, {"none", 0}}
	g.Grant(start, "s", limits, 1)
	servers, retryAfter := g.Grant(start.Add(time.Second), "s", limits, 3)
	is.Equal(servers, []string{"a", "b", "a"})
	is.Equal(retryAfter, time.Duration(0))
	servers, _ = g.Grant(start.Add(time.Second), "s", limits, 1)
	is.Equal(servers, []string{"b"})
	servers, retryAfter = g.Grant(start.Add(time.Second), "other", nil, 1)
	is.Equal(len(servers), 0)
	is.Equal(retryAfter, time.Duration(0)) // nothing is known of its limits
}

// Guards against a Retry-After that brings all callers back at once: the more requests find no permit, the later.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	is := is.New(t)
	g := New()
	limits := []Limit{{"a", 2}}
	_, few := g.Grant(start, "s", limits, 1)
	_, many := g.Grant(start.Add(10*time.Millisecond), "s", limits, 8)
	is.True(few > 0)
	is.True(many > 3*few)
	_, later := g.Grant(start.Add(10*time.Second), "s", limits, 3)
	is.True(later < many)
}

// Guards against memory that grows with each server that ever named a limit.
func TestServersAreForgotten(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Grant(start, "s", []Limit{{"a", 2}}, 1)
	g.Expire(start.Add(forgetAfter / 2))
	is.Equal(len(g.servers), 1)
	g.Expire(start.Add(2 * forgetAfter))
	is.Equal(len(g.servers)+len(g.backlog), 0)
}
