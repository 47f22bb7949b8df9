// Package grants divides the request rates of servers that name a limit among the entry instances.
//
// The limit of a server holds for the sum over all instances. A fixed part for each is next to nothing where many instances
// share a low limit, and what one does not use the others lack. So the instances ask for permits when they have requests, and
// one process grants for a service: at most the rate of each server, and no more than a second's worth is ever unused.
//
// Two other bounds are kept by the same permits: suspected requests are sent one at a time by all instances together (NewTrials), and an agent
// through which all requests to its server pass grants to itself (NamedLimit).
package grants

import (
	"container/heap"
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
)

// TrialInterval is the interval of permits for suspected requests, which are sent one at a time.
const TrialInterval = time.Second

// NewTrials returns a granter for suspected requests that are sent one at a time, by all entry instances together. The first is permitted
// at once. ratio is the part of the permits that is granted, see DeputyRatio.
func NewTrials(now time.Time, key string, ratio float64) *Granter {
	g := New()
	g.Update(now.Add(-time.Duration(float64(TrialInterval)/ratio)), []Limit{{key, ratio / (UsedRatio * TrialInterval.Seconds())}})
	return g
}

// Limit is the requests a second that a server takes.
type Limit struct {
	Server            string
	RequestsPerSecond float64
}

// Granter grants permits for the servers of one service. It is not safe for concurrent use.
type Granter struct {
	servers map[string]*server
	order   order
	rate    float64 // of all servers, in permits a second
	// unmet counts what was asked for in vain since unmetSince, and unmetBefore in the window before.
	unmet       int
	unmetBefore float64
	unmetSince  time.Time
}

// server is a server with a limit.
type server struct {
	name   string
	rate   float64   // permits a second
	nextAt time.Time // of its next permit; in the past if some are saved up
}

// interval returns the time between two permits.
func (s *server) interval() time.Duration { return time.Duration(float64(time.Second) / s.rate) }

// New returns a granter without servers.
func New() *Granter { return &Granter{servers: map[string]*server{}} }

// Update replaces the servers and their limits. A server that is new has no permit yet: until its limit was known, it got more.
func (g *Granter) Update(now time.Time, limits []Limit) {
	servers := make(map[string]*server, len(limits))
	g.order, g.rate = g.order[:0], 0
	for _, l := range limits {
		if l.RequestsPerSecond <= 0 {
			continue
		}
		rate := UsedRatio * l.RequestsPerSecond
		s := g.servers[l.Server]
		switch {
		case s == nil:
			s = &server{name: l.Server, rate: rate}
			s.nextAt = now.Add(s.interval())
		case s.rate != rate && s.nextAt.After(now):
			s.nextAt = now.Add(time.Duration(float64(s.nextAt.Sub(now)) * s.rate / rate))
		}
		s.rate = rate
		servers[l.Server] = s
		g.order = append(g.order, s)
		g.rate += rate
	}
	g.servers = servers
	heap.Init(&g.order)
}

// Grant grants up to wanted permits, one server name each, those first that have waited longest. If there are fewer, retryAfter is
// the estimated time until the requests without one can be served.
func (g *Granter) Grant(now time.Time, wanted int) (servers []string, retryAfter time.Duration) {
	for len(servers) < wanted && len(g.order) > 0 && !g.order[0].nextAt.After(now) {
		s := g.order[0]
		servers = append(servers, s.name)
		if earliest := now.Add(-maxUnused); s.nextAt.Before(earliest) {
			s.nextAt = earliest
		}
		s.nextAt = s.nextAt.Add(s.interval())
		heap.Fix(&g.order, 0)
	}
	backlog := g.recordUnmet(now, wanted-len(servers))
	if len(servers) < wanted && g.rate > 0 {
		retryAfter = time.Duration((1 + backlog) / g.rate * float64(time.Second))
	}
	return servers, retryAfter
}

// recordUnmet counts requests without a permit, and returns how many there are in a window.
func (g *Granter) recordUnmet(now time.Time, unmet int) float64 {
	if age := now.Sub(g.unmetSince); age >= backlogWindow {
		g.unmetBefore = float64(g.unmet) * float64(backlogWindow) / float64(age)
		g.unmetSince, g.unmet = now, 0
	}
	g.unmet += unmet
	return max(g.unmetBefore, float64(g.unmet))
}

// order is a heap of servers by the time of their next permit.
type order []*server

var _ heap.Interface = (*order)(nil)

func (o order) Len() int           { return len(o) }
func (o order) Less(i, j int) bool { return o[i].nextAt.Before(o[j].nextAt) }
func (o order) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *order) Push(x any)        { *o = append(*o, x.(*server)) }
func (o *order) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
