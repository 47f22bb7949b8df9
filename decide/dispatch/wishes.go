package dispatch

import (
	"time"
)

// Servers say in their responses what they want of this entry instance: no new requests, since they leave, or none for a while.
// Both hold whatever the announcements say, until that incarnation of the server has ended or the time has passed. An instance that
// restarts begins without them.

const (
	// leavingCost is the penalty of a server that leaves: it is chosen only if no other one can be.
	leavingCost = 100
	// wishesKeptFor is how long the wishes of a server that is no longer announced are kept: it may have been forgotten by mistake.
	wishesKeptFor = 10 * time.Minute
	// maxQuiet limits the time for which a server can ask for no requests. One that still wants none rejects the next request.
	maxQuiet = time.Hour
	// Callers refused during that time return over a part of it, at most maxQuietSpread.
	quietSpreadDivisor = 4
	maxQuietSpread     = time.Second
)

// wishes are what one incarnation of a server has asked of this instance.
type wishes struct {
	startedAtMillis int64
	leavingSince    time.Time // zero unless it leaves
	quietUntil      time.Time // it wants no requests until then
	knownAt         time.Time // when the incarnation was last announced, or last said something
}

// RecordLeaving records that the server said in its response that it leaves. It reports whether that is news.
func (d *Dispatcher) RecordLeaving(now time.Time, c *Choice) bool {
	w := d.recordWish(now, c)
	if w == nil || !w.leavingSince.IsZero() {
		return false
	}
	w.leavingSince = now
	return true
}

// RecordQuiet records that the server rejected a request and wants no others for a duration. A later word lengthens the time and
// does not shorten it: the time that an earlier one has named still counts. It reports whether the time has changed.
func (d *Dispatcher) RecordQuiet(now time.Time, c *Choice, duration time.Duration) bool {
	w := d.recordWish(now, c)
	until := now.Add(min(duration, maxQuiet))
	if w == nil || !until.After(w.quietUntil) {
		return false
	}
	w.quietUntil = until
	return true
}

// quietFor returns for how long a server wants no requests, 0 if it takes them.
func (d *Dispatcher) quietFor(now time.Time, s *server) time.Duration {
	if w := d.wishesOf(s); w != nil {
		return max(0, w.quietUntil.Sub(now))
	}
	return 0
}

// spreadQuiet returns the Retry-After of a request that only servers which want none for a duration could take. The callers come
// back over a while after that, so that their requests do not arrive together.
func (d *Dispatcher) spreadQuiet(duration time.Duration) time.Duration {
	return duration + time.Duration(d.random.Float64()*float64(min(duration/quietSpreadDivisor, maxQuietSpread)))
}

// recordWish returns the wishes of the server of a choice, nil if a later incarnation is known.
func (d *Dispatcher) recordWish(now time.Time, c *Choice) *wishes {
	w := d.wishes[c.Server.Server]
	if w == nil || w.startedAtMillis < c.Server.StartedAtMillis {
		w = &wishes{startedAtMillis: c.Server.StartedAtMillis}
		d.wishes[c.Server.Server] = w
	}
	if w.startedAtMillis != c.Server.StartedAtMillis {
		return nil
	}
	w.knownAt = now
	return w
}

// wishesOf returns what the present incarnation of a server has asked, nil if nothing.
func (d *Dispatcher) wishesOf(s *server) *wishes {
	if w := d.wishes[s.announcement.Server]; w != nil && w.startedAtMillis == s.announcement.StartedAtMillis {
		return w
	}
	return nil
}

// expireWishes forgets the wishes of incarnations that have ended. servers are those announced now.
func (d *Dispatcher) expireWishes(now time.Time, servers map[string]*server) {
	for id, w := range d.wishes {
		s := servers[id]
		switch {
		case s != nil && s.announcement.StartedAtMillis == w.startedAtMillis:
			w.knownAt = now
		case s != nil && s.announcement.StartedAtMillis > w.startedAtMillis, now.Sub(w.knownAt) > wishesKeptFor && now.After(w.quietUntil):
			delete(d.wishes, id)
		}
	}
}

// leavingExclusion returns why a server that leaves must not be chosen, "" if it may. Requests that their caller sent before the
// server's drain time was over may still go there, if no other server can take them.
func (d *Dispatcher) leavingExclusion(now time.Time, s *server, request *Request) (Reason, time.Duration) {
	w := d.wishesOf(s)
	if w == nil || w.leavingSince.IsZero() {
		return "", 0
	}
	arrivedAt := request.ArrivedAt
	if arrivedAt.IsZero() {
		arrivedAt = now
	}
	if arrivedAt.After(w.leavingSince.Add(d.config.DrainTime)) {
		return Evacuated, maxRetryAfter
	}
	return "", 0
}

// leaves reports whether the server has said that it leaves.
func (d *Dispatcher) leaves(s *server) bool {
	w := d.wishesOf(s)
	return w != nil && !w.leavingSince.IsZero()
}
