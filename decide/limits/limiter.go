package limits

import (
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// startDoubling is the shortest time in which the limit doubles in slow start. Some engines die from overload without
	// slower first tokens before, so the growth leaves them time to warm up.
	startDoubling = 12 * time.Second
	// doubling is the same after slow start. An engine shows overload in its time to first token only after requests have
	// queued, so growth leaves time to see it.
	doubling = 4 * time.Second
	// hold is how long the limit rests after a halving: long enough for a request of the lower limit to show its first
	// token.
	hold = 2 * time.Second
	// fastShare and steadyShare are the shares of the bound up to which the smoothed time to first token allows fast and
	// slow growth. Between steadyShare and the bound the limit stays, which avoids a sawtooth at the server's true limit.
	fastShare   = 0.5
	steadyShare = 0.8
	// smoothing is the weight of one first token: one long prompt must not end the fast growth.
	smoothing = 1.0 / 8
	// slowBudget is the credit that a good first token gives against a slow one. The target is a 95th percentile, so one
	// slow first token in 20 is within it.
	slowBudget = 1.0 / 19
	// slowEnough is the number of slow first tokens beyond the budget that halves the limit of a warm server.
	slowEnough = 2
	// coldStreak is the number of halvings without goodEnough good first tokens between them that indicates a cold server.
	coldStreak = 2
	goodEnough = 3
	// coldFactor times the bound is a first token that counts as slowEnough slow ones, and the time without any first token
	// while requests wait after which no more are admitted.
	coldFactor = 4
	// idleHalving is the time without any request in flight in which the limit halves: a server may turn cold while nothing
	// shows it.
	idleHalving = 2 * time.Minute
	// crashWindow is how long after a decrease the limit before it is held responsible for a crash.
	crashWindow = 30 * time.Second
	// firstAvoid is how long a limit at which the server died is not reached again; it doubles with each further death up
	// to maxAvoid, because each attempt costs all requests in flight.
	firstAvoid = time.Minute
	maxAvoid   = time.Hour
	// avoidMargin is the share of the avoided limit that is allowed meanwhile.
	avoidMargin = 0.7
)

// Limiter learns the concurrency limit of one server. It is not safe for concurrent use.
type Limiter struct {
	given    Config
	config   Config // with defaults
	boot     fleet.Incarnation
	limit    float64
	phase    Phase
	warm     bool // has left slow start since the last cold start
	inFlight int
	epoch    uint64 // grows with each decrease; what requests of earlier epochs show says nothing about the present limit

	grownAt   time.Time
	decreased time.Time
	before    float64 // limit before the last decrease
	slow      float64 // slow first tokens beyond the budget
	good      int     // good first tokens of this epoch
	smooth    float64 // smoothed time to first token as a share of the bound
	streak    int     // halvings without goodEnough good first tokens between them
	waiting   waiting // requests of this boot without a first token
	heard     time.Time
	active    time.Time // last admission or end of a request, or last halving for idleness

	avoid     float64 // limit at which the server died, 0 if none
	avoidTill time.Time
	avoidFor  time.Duration
}

// New returns a limiter in slow start.
func New(config Config, now time.Time, boot fleet.Incarnation) *Limiter {
	l := &Limiter{given: config, config: config.withDefaults(), boot: boot, active: now}
	l.limit = float64(l.config.Start)
	l.cold(now)
	l.before = 0
	return l
}

// Reset starts over for a new boot of the server. If the earlier boot ended with requests in flight or soon after a
// failure, its limit is avoided for a while. Requests of the earlier boot stay counted until they are finished, so that
// a server that was taken for dead by mistake is not overloaded; what they show is ignored.
func (l *Limiter) Reset(now time.Time, boot fleet.Incarnation) {
	if boot == l.boot {
		return
	}
	top := 0.0
	if l.before > 0 && now.Sub(l.decreased) < crashWindow {
		top = l.before
	}
	if l.inFlight > 0 {
		top = max(top, float64(l.inFlight))
	}
	if top > float64(l.config.Start) {
		l.avoidFor = min(max(l.avoidFor*2, firstAvoid), maxAvoid)
		l.avoid, l.avoidTill = top, now.Add(l.avoidFor)
	}
	l.boot = boot
	l.waiting.clear()
	l.limit = float64(l.config.Start)
	l.cold(now)
	l.before = 0
}

// Announced takes over a changed capacity that the server announces.
func (l *Limiter) Announced(capacity int) {
	l.given.Capacity = capacity
	l.config = l.given.withDefaults()
	l.limit = min(l.limit, float64(l.config.Ceiling))
}

// Tick applies what follows from the time alone. The agent calls it before it reports the limit; Admit calls it too.
func (l *Limiter) Tick(now time.Time) {
	l.overdue(now)
	if l.waiting.count > 0 && now.Sub(l.heard) > coldFactor*l.config.Bound && l.limit > float64(l.config.Start) {
		l.cold(now)
	}
	for l.inFlight == 0 && now.Sub(l.active) >= idleHalving && l.limit > float64(l.config.Start) {
		l.decrease(now, max(l.limit/2, float64(l.config.Start)), SlowStart)
		l.before, l.warm = 0, false
		l.active = l.active.Add(idleHalving)
	}
}

// Admit asks whether one more request may be forwarded. Each admitted request must be reported to Finished.
func (l *Limiter) Admit(now time.Time) (Ticket, Refusal) {
	l.Tick(now)
	if l.waiting.count > 0 && now.Sub(l.heard) > coldFactor*l.config.Bound {
		return Ticket{}, ServerSilent
	}
	if l.inFlight >= l.Limit() {
		return Ticket{}, AboveLimit
	}
	if l.waiting.count == 0 {
		l.heard = now
	}
	l.inFlight++
	l.active = now
	number := l.waiting.add(now, l.epoch)
	return Ticket{number: number, epoch: l.epoch, boot: l.boot, admitted: true}, Admitted
}

// overdue counts requests that have waited for their first token for longer than the bound as slow, without waiting for
// the token: a server that has turned cold may take many more requests before it shows one.
func (l *Limiter) overdue(now time.Time) {
	for {
		epoch, ok := l.waiting.overdue(now.Add(-l.config.Bound))
		if !ok {
			return
		}
		if epoch == l.epoch {
			l.slowToken(now, 1)
		}
	}
}

// FirstToken reports the time to first token of an admitted request as soon as it is known. A caller that does not see
// first tokens gives the time to Finished instead.
func (l *Limiter) FirstToken(now time.Time, t *Ticket, firstToken time.Duration) {
	if firstToken < 0 || !t.admitted || t.answered || t.boot != l.boot {
		return
	}
	t.answered = true
	counted := l.waiting.remove(t.number)
	l.heard = now
	switch {
	case t.epoch != l.epoch:
	case firstToken > coldFactor*l.config.Bound:
		l.slowToken(now, slowEnough)
	case counted:
	case firstToken > l.config.Bound:
		l.slowToken(now, 1)
	default:
		l.good++
		l.slow = max(l.slow-slowBudget, 0)
		if l.good >= goodEnough {
			l.streak = 0
		}
		l.grow(now, firstToken)
	}
}

// slowToken counts slow first tokens and halves the limit if they are more than the budget.
func (l *Limiter) slowToken(now time.Time, n float64) {
	l.slow += n
	if l.phase == SlowStart || l.slow >= slowEnough {
		l.halve(now)
	}
}

// Finished reports the end of an admitted request. firstToken is its time to first token, 0 if there was none or if
// FirstToken has reported it. Further calls with the same ticket do nothing.
func (l *Limiter) Finished(now time.Time, t *Ticket, outcome Outcome, firstToken time.Duration) {
	if !t.admitted {
		return
	}
	if firstToken > 0 {
		l.FirstToken(now, t, firstToken)
	}
	t.admitted = false
	l.inFlight--
	l.active = now
	if t.boot != l.boot {
		return
	}
	if !t.answered {
		l.waiting.remove(t.number)
	}
	if (outcome == Failed || outcome == Overload) && t.epoch == l.epoch {
		l.halve(now)
	}
}

// Limit returns the requests that may be in flight, at least 1.
func (l *Limiter) Limit() int { return max(int(l.limit), 1) }

// InFlight returns the admitted requests that are not finished.
func (l *Limiter) InFlight() int { return l.inFlight }

// Phase returns the stage of the limiter.
func (l *Limiter) Phase() Phase { return l.phase }

// ServerPhase returns the phase that a load report gives for a server that is not leaving.
func (l *Limiter) ServerPhase() fleet.Phase {
	if l.warm {
		return fleet.PhaseServing
	}
	return fleet.PhaseStarting
}

// cold returns to slow start at the starting limit, or at the present one if that is lower.
func (l *Limiter) cold(now time.Time) {
	l.decrease(now, min(l.limit, float64(l.config.Start)), SlowStart)
	l.streak, l.warm = 0, false
}

// halve halves the limit, or returns to the starting limit if the last halving has not helped.
func (l *Limiter) halve(now time.Time) {
	l.streak++
	if l.streak >= coldStreak {
		l.cold(now)
		return
	}
	l.decrease(now, l.limit/2, BackedOff)
}

func (l *Limiter) decrease(now time.Time, limit float64, phase Phase) {
	l.before, l.decreased = max(l.limit, 1), now
	l.limit, l.phase = max(limit, 1), phase
	l.grownAt = now
	l.slow, l.good, l.smooth = 0, 0, 0
	l.epoch++
}

// grow raises the limit after a good first token, if the limit is in use.
func (l *Limiter) grow(now time.Time, firstToken time.Duration) {
	if l.phase == BackedOff && now.Sub(l.decreased) >= hold {
		// A server that has shown overload in its first tokens is likely to show it again, so slow start is over even if
		// the server is still warming up.
		l.phase, l.grownAt, l.warm = Growth, now, true
	}
	quality := float64(firstToken) / float64(l.config.Bound)
	if l.smooth == 0 {
		l.smooth = quality
	}
	l.smooth += (quality - l.smooth) * smoothing
	if l.phase == BackedOff || l.smooth > steadyShare || float64(l.inFlight) < l.limit/2 {
		l.grownAt = now
		return
	}
	double := doubling
	if l.phase == SlowStart {
		double = startDoubling
	}
	// The growth of one doubling time at most is made up for at once.
	elapsed := min(max(float64(now.Sub(l.grownAt))/float64(double), 0), 1)
	step := min(1, l.limit*(math.Exp2(elapsed)-1))
	if l.smooth > fastShare {
		step = min(step, 1/l.limit)
		if l.phase == SlowStart {
			l.phase, l.warm = Growth, true
		}
	}
	l.grownAt = now
	top := l.top(now)
	if l.limit+step >= top {
		step = max(top-l.limit, 0)
		if l.phase == SlowStart && top >= float64(l.config.Ceiling) {
			l.phase, l.warm = Growth, true
		}
	}
	l.limit += step
}

// top returns the highest limit that may be reached now.
func (l *Limiter) top(now time.Time) float64 {
	top := float64(l.config.Ceiling)
	if l.avoid > 0 && now.Before(l.avoidTill) {
		top = min(top, max(l.avoid*avoidMargin, float64(l.config.Start)))
	}
	return top
}
