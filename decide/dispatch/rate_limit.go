package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/grants"
)

// Two kinds of servers take only a number of requests a second from all entry instances together: those that are cold, and those
// that name a limit in their responses because they are in need. Each instance sends its part of that rate, or what it has permits
// for, and tells the others what a server has named: an instance that sends few requests would learn it late.

const (
	// limitNewsRatio is the relative change of a limit that is told to the other instances.
	limitNewsRatio = 0.1
	// While few requests come, unused permissions of all instances add up to those of lapseTime and lapseRequests more.
	lapseTime     = 500 * time.Millisecond
	lapseRequests = 4
)

// Limit is the requests a second that one incarnation of a server takes from all entry instances together.
type Limit struct {
	Server            string
	StartedAtMillis   int64
	RequestsPerSecond float64 // 0 for no limit
}

// namedLimit is the limit that a server has named.
type namedLimit struct {
	requestsPerSecond float64   // 0 for none
	told              float64   // what the other instances know
	namedAt           time.Time // when it was last named, to any instance
}

func (d *Dispatcher) isCold(now time.Time, s *server) bool {
	return now.Before(s.coldUntil) && d.coldRate(s) > 0
}

// coldRate returns the rate that a server accepts while it is cold, in requests per second, 0 for no limit.
func (d *Dispatcher) coldRate(s *server) float64 {
	if d.table == nil {
		return 0
	}
	service := d.table.Service(s.announcement.Service)
	if service == nil {
		return 0
	}
	return service.ColdRate
}

// allowedRate returns the rate that all instances together may send to a server now, in requests per second, and the reason for
// it. The rate is 0 if there is no limit.
func (d *Dispatcher) allowedRate(now time.Time, s *server) (rate float64, reason Reason) {
	if d.isCold(now, s) {
		rate, reason = d.coldRate(s), Cold
	}
	if limit := s.limit.requestsPerSecond; limit > 0 && (rate == 0 || limit < rate) {
		rate, reason = limit, Limited
	}
	return grants.UsedRatio * rate, reason
}

// RecordCold records that a server reported to be cold for the remaining time.
func (d *Dispatcher) RecordCold(now time.Time, c *Choice, remaining time.Duration) {
	if remaining > 0 {
		c.state.coldUntil = now.Add(remaining)
	}
}

// RecordLimit records the limit that a server named in its response to an attempt, 0 if it named none. It reports whether that is
// news for the other instances.
func (d *Dispatcher) RecordLimit(now time.Time, c *Choice, requestsPerSecond float64) (limit Limit, news bool) {
	l := &c.state.limit
	if requestsPerSecond <= 0 && !c.PickedAt.After(l.namedAt) {
		return Limit{}, false // the response may be older than the one with the limit
	}
	l.requestsPerSecond = requestsPerSecond
	if requestsPerSecond > 0 {
		l.namedAt = now
	}
	if math.Abs(requestsPerSecond-l.told) <= limitNewsRatio*l.told {
		return Limit{}, false
	}
	l.told = requestsPerSecond
	return Limit{c.Server.Server, c.Server.StartedAtMillis, requestsPerSecond}, true
}

// SetLimit records what a server has named to another instance.
func (d *Dispatcher) SetLimit(now time.Time, limit Limit) {
	s := d.servers[limit.Server]
	if s == nil || s.announcement.StartedAtMillis != limit.StartedAtMillis {
		return
	}
	s.limit = namedLimit{limit.RequestsPerSecond, limit.RequestsPerSecond, now}
}

// LimitedServers returns the number of servers of a service that name a limit.
func (d *Dispatcher) LimitedServers(service string) int {
	limited := 0
	for _, s := range d.byService[service] {
		if s.limit.requestsPerSecond > 0 {
			limited++
		}
	}
	return limited
}

// Limits returns the limits that the servers have named.
func (d *Dispatcher) Limits() []Limit {
	var limits []Limit
	for _, s := range d.servers {
		if s.limit.requestsPerSecond > 0 {
			limits = append(limits, Limit{s.announcement.Server, s.announcement.StartedAtMillis, s.limit.requestsPerSecond})
		}
	}
	return limits
}

// rateLimiter permits this instance's part of the requests to a server: one an interval, the first of them at a random time,
// since the instances learn of a limit together. A permission that is not used lapses before the next one where many instances
// share the rate: otherwise each would keep one, and all could use them at once.
type rateLimiter struct {
	interval time.Duration // 0 before the first use
	nextAt   time.Time
}

// wait returns how long the next request must wait, 0 if it may be sent now. rate is that of all instances and part that of this
// one, in requests per second.
func (l *rateLimiter) wait(now time.Time, rate, part float64, random *rand.Rand) time.Duration {
	interval := time.Duration(float64(time.Second) / part)
	switch {
	case l.interval == 0:
		l.nextAt = now.Add(time.Duration(random.Float64() * (1/part - 1/rate) * float64(time.Second)))
	case l.interval != interval && l.nextAt.After(now):
		l.nextAt = now.Add(time.Duration(float64(l.nextAt.Sub(now)) * float64(interval) / float64(l.interval)))
	}
	l.interval = interval
	lapse := lapseTime + time.Duration(lapseRequests/rate*float64(time.Second))
	if overdue := now.Sub(l.nextAt) - lapse; overdue > 0 && interval > lapse {
		l.nextAt = l.nextAt.Add((overdue + interval - 1) / interval * interval)
	}
	return max(0, l.nextAt.Sub(now))
}

// take uses the permission for a request that is sent now.
func (l *rateLimiter) take(now time.Time) { l.nextAt = now.Add(l.interval) }
