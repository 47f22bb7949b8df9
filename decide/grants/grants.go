// Package grants divides the request rates of servers that name a limit among the entry instances.
//
// The limit of a server holds for the sum over all instances. A fixed part for each is next to nothing where many instances
// share a low limit, and what one does not use the others lack. So the instances ask for permits when they have requests, and
// one process grants for a service: at most the rate of each server, and no more than a second's worth is ever unused.
package grants

import (
	"cmp"
	"slices"
	"time"
)

const (
	// UsedRatio is the part of a server's rate that is used. The rest covers instances that cannot ask, or do not know of each
	// other.
	UsedRatio = 0.9
	// PermitLifetime is the time in which a permit must be used.
	PermitLifetime = time.Second
	// maxUnused limits the permits that a server saves up while nobody asks, as a time at its rate, and one more.
	maxUnused = 500 * time.Millisecond
	// backlogWindow is the time over which unmet requests are counted for the Retry-After of the next.
	backlogWindow = time.Second
	// forgetAfter is the time after which a server is dropped for which nobody asks.
	forgetAfter = time.Minute
)

// Limit is the requests a second that a server takes.
type Limit struct {
	Server            string
	RequestsPerSecond float64
}

// Granter grants permits. It is not safe for concurrent use.
type Granter struct {
	servers map[string]*bucket
	backlog map[string]*backlog // by service
}

// bucket holds the permits of one server that can be granted.
type bucket struct {
	permits float64
	filled  time.Time
}

// backlog counts what was asked for in vain.
type backlog struct {
	since        time.Time
	unmet        int
	unmetAverage float64 // of the last window
}

// New returns a granter without servers.
func New() *Granter { return &Granter{servers: map[string]*bucket{}, backlog: map[string]*backlog{}} }

// Grant grants up to wanted permits for the servers of a service, one server name each, those with most permits first. If there
// are fewer, retryAfter is the estimated time until the requests without one can be served.
func (g *Granter) Grant(now time.Time, service string, limits []Limit, wanted int) (servers []string, retryAfter time.Duration) {
	type entry struct {
		Limit
		*bucket
	}
	var open []entry
	sum := 0.0
	for _, l := range limits {
		if l.RequestsPerSecond <= 0 {
			continue
		}
		open = append(open, entry{l, g.fill(now, l)})
		sum += UsedRatio * l.RequestsPerSecond
	}
	slices.SortFunc(open, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.permits, a.permits), cmp.Compare(a.Server, b.Server))
	})
	for met := true; met && len(servers) < wanted; {
		met = false
		for _, e := range open {
			if e.permits >= 1 && len(servers) < wanted {
				e.permits--
				servers = append(servers, e.Server)
				met = true
			}
		}
	}
	unmet := g.recordUnmet(now, service, wanted-len(servers))
	if len(servers) < wanted && sum > 0 {
		retryAfter = time.Duration((1 + unmet) / sum * float64(time.Second))
	}
	return servers, retryAfter
}

// fill adds the permits of a server since the last call. A server begins without any: until its limit was known, it got more.
func (g *Granter) fill(now time.Time, l Limit) *bucket {
	b := g.servers[l.Server]
	if b == nil {
		b = &bucket{filled: now}
		g.servers[l.Server] = b
	}
	rate := UsedRatio * l.RequestsPerSecond
	b.permits = min(b.permits+max(0, now.Sub(b.filled).Seconds())*rate, 1+maxUnused.Seconds()*rate)
	b.filled = now
	return b
}

// recordUnmet counts requests without a permit, and returns how many there are in a window.
func (g *Granter) recordUnmet(now time.Time, service string, unmet int) float64 {
	b := g.backlog[service]
	if b == nil {
		b = &backlog{since: now}
		g.backlog[service] = b
	}
	if age := now.Sub(b.since); age >= backlogWindow {
		b.unmetAverage = float64(b.unmet) * float64(backlogWindow) / float64(age)
		b.since, b.unmet = now, 0
	}
	b.unmet += unmet
	return max(b.unmetAverage, float64(b.unmet))
}

// Expire drops servers and services for which nobody has asked for long.
func (g *Granter) Expire(now time.Time) {
	for server, b := range g.servers {
		if now.Sub(b.filled) > forgetAfter {
			delete(g.servers, server)
		}
	}
	for service, b := range g.backlog {
		if now.Sub(b.since) > forgetAfter {
			delete(g.backlog, service)
		}
	}
}
