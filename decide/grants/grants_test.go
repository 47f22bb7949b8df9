package grants

import (
	"slices"
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
				g.Update(at, limits)
				servers, retryAfter := g.Grant(at, 3)
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

// Guards against permits of one server only while others of the service have some, and against permits for servers without a limit or
// of servers that are gone.
func TestPermitsComeFromAllServers(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Update(start, []Limit{{"a", 4}, {"b", 4}, {"none", 0}, {"gone", 4}})
	servers, retryAfter := g.Grant(start, 1)
	is.Equal(len(servers), 0) // none is saved up at the start
	is.True(retryAfter > 0)
	g.Update(start, []Limit{{"a", 4}, {"b", 4}, {"none", 0}})
	servers, retryAfter = g.Grant(start.Add(time.Second), 4)
	slices.Sort(servers)
	is.Equal(servers, []string{"a", "a", "b", "b"})
	is.Equal(retryAfter, time.Duration(0))
	servers, retryAfter = New().Grant(start, 1)
	is.Equal(len(servers), 0)
	is.Equal(retryAfter, time.Duration(0)) // nothing is known of limits
}

// Guards against a lower limit that begins only after permits at the higher one, and against a higher one that waits for one at
// the lower.
func TestNextPermitFollowsTheLimit(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		before, after float64
		wait          time.Duration // of the next permit, at the limit after
	}{{10, 1, time.Second}, {0.2, 10, 100 * time.Millisecond}} {
		g := New()
		g.Update(start, []Limit{{"a", c.before}})
		g.Update(start, []Limit{{"a", c.after}})
		servers, _ := g.Grant(start.Add(time.Duration(0.99*float64(c.wait)/UsedRatio)), 1)
		is.Equal(len(servers), 0)
		servers, _ = g.Grant(start.Add(time.Duration(1.01*float64(c.wait)/UsedRatio)), 1)
		is.Equal(len(servers), 1)
	}
}

// Guards against a Retry-After that brings all callers back at once: the more requests find no permit, the later.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	is := is.New(t)
	g := New()
	g.Update(start, []Limit{{"a", 2}})
	_, few := g.Grant(start, 1)
	_, many := g.Grant(start.Add(10*time.Millisecond), 8)
	is.True(few > 0)
	is.True(many > 3*few)
	_, later := g.Grant(start.Add(10*time.Second), 3)
	is.True(later < many)
}
