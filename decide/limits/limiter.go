package limits

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// doubling is the shortest time in which the limit doubles in slow start. A cold engine shows overload in its time
	// to first token only after requests have queued, so the growth leaves time to see it.
	doubling = 4 * time.Second
	// hold is how long the limit rests after a halving.
	hold = 2 * time.Second
	// coldStreak is the number of halvings without a good first token between them that indicates a cold server.
	coldStreak = 2
	// coldFactor times the bound is a first token so late that one indicates a cold server.
	coldFactor = 4
	// silentFactor times the bound without any first token while requests wait for one indicates a hung server.
	silentFactor = 4
	// fastShare is the share of the bound below which a first token allows the growth of slow start.
	fastShare = 0.5
	// firstAvoid is how long a limit at which the server failed is not tried again; it doubles with each further
	// failure, up to maxAvoid.
	firstAvoid = time.Minute
	maxAvoid   = time.Hour
)

// Limiter learns the concurrency limit of one server. It is not safe for concurrent use.
type Limiter struct {
	config   Config
	boot     fleet.Boot
	limit    float64
	phase    Phase
	inFlight int
	epoch    uint64 // grows with each decrease; evidence from earlier epochs is void

	since     time.Time // of the phase
	grownAt   time.Time // last growth in slow start
	streak    int       // halvings since the last good first token
	waiting   int       // admitted requests without a first token
	heard     time.Time // last first token, or admission while none waited
	avoid     float64   // limit at which the server failed, 0 if none
	avoidTill time.Time
	avoidFor  time.Duration
}

// New returns a limiter in slow start.
func New(config Config, now time.Time, boot fleet.Boot) *Limiter {
	l := &Limiter{config: config.withDefaults()}
	l.Reset(now, boot)
	return l
}

// Reset starts over for a new boot of the server. Requests of the earlier boot stay counted until they are finished, so
// that a server that was taken for dead by mistake is not overloaded; their outcomes are ignored.
func (l *Limiter) Reset(now time.Time, boot fleet.Boot) {
	l.boot = boot
	l.avoid, l.avoidFor, l.waiting = 0, 0, 0
	l.cold(now)
}

// Admit asks whether one more request may be forwarded. An admitted request must be reported to Finished exactly once.
func (l *Limiter) Admit(now time.Time) (Ticket, Refusal) {
	if l.waiting > 0 && now.Sub(l.heard) > silentFactor*l.config.Bound {
		if l.phase != SlowStart || l.limit > float64(l.config.Start) {
			l.cold(now)
		}
		return Ticket{}, ServerSilent
	}
	if l.inFlight >= l.Limit() {
		return Ticket{}, AboveLimit
	}
	if l.waiting == 0 {
		l.heard = now
	}
	l.inFlight++
	l.waiting++
	return Ticket{epoch: l.epoch, at: now, boot: uint64(l.boot)}, Admitted
}

// FirstToken reports the time to first token of an admitted request as soon as it is known. It is optional; Finished is
// then given 0.
func (l *Limiter) FirstToken(now time.Time, t Ticket, firstToken time.Duration) {
	if t.boot != uint64(l.boot) {
		return
	}
	l.waiting = max(l.waiting-1, 0)
	l.heard = now
	switch {
	case t.epoch != l.epoch:
	case firstToken > coldFactor*l.config.Bound:
		l.cold(now)
	case firstToken > l.config.Bound:
		l.halve(now)
	default:
		l.streak = 0
		l.grow(now, firstToken)
	}
}

// Finished reports the end of an admitted request. firstToken is 0 if there was none or if FirstToken has reported it.
func (l *Limiter) Finished(now time.Time, t Ticket, outcome Outcome, firstToken time.Duration) {
	l.inFlight = max(l.inFlight-1, 0)
	if t.boot != uint64(l.boot) {
		return
	}
	if firstToken > 0 {
		l.FirstToken(now, t, firstToken)
	}
	if outcome == Failed || outcome == Overload {
		l.waiting = min(l.waiting, l.inFlight)
		if t.epoch != l.epoch {
			return
		}
		l.avoidLimit(now)
		l.halve(now)
	}
	l.waiting = min(l.waiting, l.inFlight)
}

// Limit returns the requests that may be in flight, at least 1.
func (l *Limiter) Limit() int { return max(int(l.limit), 1) }

// InFlight returns the admitted requests that are not finished.
func (l *Limiter) InFlight() int { return l.inFlight }

// Phase returns the stage of the limiter.
func (l *Limiter) Phase() Phase { return l.phase }

// ServerPhase returns the phase that a load report gives for a server that is not leaving.
func (l *Limiter) ServerPhase() fleet.Phase {
	if l.phase == SlowStart {
		return fleet.PhaseStarting
	}
	return fleet.PhaseServing
}

// cold returns to the starting limit.
func (l *Limiter) cold(now time.Time) {
	l.limit = float64(l.config.Start)
	l.phase, l.since, l.grownAt = SlowStart, now, now
	l.streak = 0
	l.epoch++
}

func (l *Limiter) halve(now time.Time) {
	l.streak++
	if l.streak >= coldStreak {
		l.cold(now)
		return
	}
	l.limit = max(l.limit/2, 1)
	l.phase, l.since = BackedOff, now
	l.epoch++
}

func (l *Limiter) avoidLimit(now time.Time) {
	l.avoidFor = min(max(l.avoidFor*2, firstAvoid), maxAvoid)
	l.avoid, l.avoidTill = l.limit, now.Add(l.avoidFor)
}

// grow raises the limit after a good first token, if the limit is in use.
func (l *Limiter) grow(now time.Time, firstToken time.Duration) {
	if float64(l.inFlight) < l.limit/2 {
		return
	}
	top := float64(l.config.Ceiling)
	if l.avoid > 0 && now.Before(l.avoidTill) {
		top = min(top, max(l.avoid*0.9, 1))
	}
	switch l.phase {
	case SlowStart:
		if firstToken > time.Duration(float64(l.config.Bound)*fastShare) {
			l.phase, l.since = Growth, now
			return
		}
		// One more for each good first token, but not faster than the doubling time.
		allowed := l.limit * (float64(now.Sub(l.grownAt)) / float64(doubling))
		l.limit += min(1, allowed)
		l.grownAt = now
	case BackedOff:
		if now.Sub(l.since) < hold {
			return
		}
		l.phase, l.since = Growth, now
		fallthrough
	case Growth:
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, top)
}
