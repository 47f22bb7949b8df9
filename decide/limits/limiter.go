package limits

import (
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// slowStartDoublingTime is the shortest time in which the limit doubles in slow start. Some engines crash under
	// overload without slower first tokens beforehand, so the growth leaves them time to warm up.
	slowStartDoublingTime = 12 * time.Second
	// growthDoublingTime is the shortest time in which the limit doubles after slow start. An engine shows overload in its
	// time to first token only after requests have queued, so growth leaves time to detect it.
	growthDoublingTime = 4 * time.Second
	// backoffHold is how long the limit stays constant after a halving: long enough for a request admitted under the lower
	// limit to return its first token.
	backoffHold = 2 * time.Second
	// fastGrowthMaxRatio and growthMaxRatio are the highest ratios of the smoothed time to first token to its bound at
	// which the limit still grows fast and still grows at all. Between growthMaxRatio and the bound the limit stays
	// constant, which avoids a sawtooth at the server's true limit.
	fastGrowthMaxRatio = 0.5
	growthMaxRatio     = 0.8
	// smoothingWeight is the weight of one first token in the moving average: one long prompt must not end the fast growth.
	smoothingWeight = 1.0 / 8
	// slowTokenCredit is the part of a slow first token that a good one offsets. The target is a 95th percentile, so one
	// slow first token in 20 is within it.
	slowTokenCredit = 1.0 / 19
	// slowTokensToHalve is the number of slow first tokens beyond the tolerated share that halves the limit of a warm
	// server.
	slowTokensToHalve = 2
	// halvingsToRestart is the number of halvings without goodTokensToRecover good first tokens between them that indicates
	// a cold server, so that slow start begins again.
	halvingsToRestart   = 2
	goodTokensToRecover = 3
	// stallFactor times the bound is the time after which a server counts as stalled: a first token that takes longer counts
	// as slowTokensToHalve slow ones, and no request is admitted after such a time without any first token while requests
	// wait for theirs.
	stallFactor = 4
	// idleHalvingInterval is the time without any request in flight after which the limit halves: a server may turn cold
	// without any request to reveal it.
	idleHalvingInterval = 2 * time.Minute
	// crashWindow is how long after a decrease a crash is attributed to the limit before the decrease.
	crashWindow = 30 * time.Second
	// minAvoidTime is how long a limit at which the server crashed is not reached again; it doubles with each further crash
	// up to maxAvoidTime, because each crash loses all requests in flight.
	minAvoidTime = time.Minute
	maxAvoidTime = time.Hour
	// avoidedLimitRatio is the share of the avoided limit that may be reached meanwhile.
	avoidedLimitRatio = 0.7
)

// Limiter estimates the concurrency limit of one server. It is not safe for concurrent use.
type Limiter struct {
	configured  Config
	config      Config // with defaults
	incarnation fleet.Incarnation
	limit       float64
	phase       Phase
	warm        bool // slow start has ended since the last cold start
	inFlight    int
	epoch       uint64 // grows with each decrease; results of earlier epochs do not apply to the current limit and are ignored

	grownAt       time.Time
	decreasedAt   time.Time
	limitBefore   float64   // limit before the last decrease
	slowTokens    float64   // slow first tokens beyond the tolerated share
	goodTokens    int       // good first tokens of this epoch
	smoothedRatio float64   // moving average of the time to first token as a ratio of the bound, 0 if none
	halvings      int       // halvings without goodTokensToRecover good first tokens between them
	waiting       waitQueue // requests to this incarnation without a first token
	lastProgress  time.Time // time of the last first token, or of a later admission while no request waited for one
	lastActive    time.Time // last admission or end of a request, or last halving while idle

	avoidedLimit float64 // limit at which the server crashed, 0 if none
	avoidUntil   time.Time
	avoidTime    time.Duration
}

// New returns a limiter in slow start.
func New(config Config, now time.Time, incarnation fleet.Incarnation) *Limiter {
	l := &Limiter{configured: config, config: config.withDefaults(), incarnation: incarnation, lastActive: now}
	l.limit = float64(l.config.InitialLimit)
	l.restartSlowStart(now)
	l.limitBefore = 0
	return l
}

// Reset begins slow start for a new incarnation of the server. If the earlier incarnation ended with requests in flight or
// soon after a failure, its limit is avoided for a while. Requests to the earlier incarnation count as in flight until
// they are finished, so that a server wrongly declared dead is not overloaded; their results are ignored.
func (l *Limiter) Reset(now time.Time, incarnation fleet.Incarnation) {
	if incarnation == l.incarnation {
		return
	}
	crashLimit := 0.0
	if l.limitBefore > 0 && now.Sub(l.decreasedAt) < crashWindow {
		crashLimit = l.limitBefore
	}
	if l.inFlight > 0 {
		crashLimit = max(crashLimit, float64(l.inFlight))
	}
	if crashLimit > float64(l.config.InitialLimit) {
		l.avoidTime = min(max(l.avoidTime*2, minAvoidTime), maxAvoidTime)
		l.avoidedLimit, l.avoidUntil = crashLimit, now.Add(l.avoidTime)
	}
	l.incarnation = incarnation
	l.waiting.clear()
	l.limit = float64(l.config.InitialLimit)
	l.restartSlowStart(now)
	l.limitBefore = 0
}

// SetCapacity applies a capacity that the server has newly announced.
func (l *Limiter) SetCapacity(capacity int) {
	l.configured.Capacity = capacity
	l.config = l.configured.withDefaults()
	l.limit = min(l.limit, float64(l.config.MaxLimit))
}

// Tick applies the effects of elapsed time: overdue first tokens, stalls and idleness. The agent calls it before it
// reports the limit; Admit calls it too.
func (l *Limiter) Tick(now time.Time) {
	l.countOverdue(now)
	if l.waiting.count > 0 && now.Sub(l.lastProgress) > stallFactor*l.config.FirstTokenBound &&
		l.limit > float64(l.config.InitialLimit) {
		l.restartSlowStart(now)
	}
	for l.inFlight == 0 && now.Sub(l.lastActive) >= idleHalvingInterval && l.limit > float64(l.config.InitialLimit) {
		l.decrease(now, max(l.limit/2, float64(l.config.InitialLimit)), SlowStart)
		l.limitBefore, l.warm = 0, false
		l.lastActive = l.lastActive.Add(idleHalvingInterval)
	}
}

// Admit decides whether one more request may be forwarded. Each admitted request must be reported to Finished.
func (l *Limiter) Admit(now time.Time) (Ticket, Refusal) {
	l.Tick(now)
	if l.waiting.count > 0 && now.Sub(l.lastProgress) > stallFactor*l.config.FirstTokenBound {
		return Ticket{}, ServerStalled
	}
	if l.inFlight >= l.Limit() {
		return Ticket{}, AboveLimit
	}
	if l.waiting.count == 0 {
		l.lastProgress = now
	}
	l.inFlight++
	l.lastActive = now
	number := l.waiting.add(now, l.epoch)
	return Ticket{number: number, epoch: l.epoch, incarnation: l.incarnation, admitted: true}, Admitted
}

// countOverdue counts requests that have waited for their first token for longer than the bound as slow, without waiting
// for the token: a server that has turned cold may accept many more requests before it returns one.
func (l *Limiter) countOverdue(now time.Time) {
	for {
		epoch, ok := l.waiting.takeOverdue(now.Add(-l.config.FirstTokenBound))
		if !ok {
			return
		}
		if epoch == l.epoch {
			l.addSlowTokens(now, 1)
		}
	}
}

// FirstToken reports the time to first token of an admitted request as soon as it is known. A caller that does not observe
// first tokens as they arrive passes the time to Finished instead.
func (l *Limiter) FirstToken(now time.Time, t *Ticket, firstToken time.Duration) {
	if firstToken < 0 || !t.admitted || t.firstTokenReported || t.incarnation != l.incarnation {
		return
	}
	t.firstTokenReported = true
	overdue := l.waiting.remove(t.number)
	l.lastProgress = now
	switch {
	case t.epoch != l.epoch:
	case firstToken > stallFactor*l.config.FirstTokenBound:
		l.addSlowTokens(now, slowTokensToHalve)
	case overdue:
	case firstToken > l.config.FirstTokenBound:
		l.addSlowTokens(now, 1)
	default:
		l.goodTokens++
		l.slowTokens = max(l.slowTokens-slowTokenCredit, 0)
		if l.goodTokens >= goodTokensToRecover {
			l.halvings = 0
		}
		l.grow(now, firstToken)
	}
}

// addSlowTokens counts slow first tokens. It halves the limit at the first one in slow start, later at slowTokensToHalve.
func (l *Limiter) addSlowTokens(now time.Time, n float64) {
	l.slowTokens += n
	if l.phase == SlowStart || l.slowTokens >= slowTokensToHalve {
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
	l.lastActive = now
	if t.incarnation != l.incarnation {
		return
	}
	if !t.firstTokenReported {
		l.waiting.remove(t.number)
	}
	if (outcome == Failed || outcome == Overload) && t.epoch == l.epoch {
		l.halve(now)
	}
}

// Limit returns the number of requests that may be in flight, at least 1.
func (l *Limiter) Limit() int { return max(int(l.limit), 1) }

// InFlight returns the number of admitted requests that are not finished.
func (l *Limiter) InFlight() int { return l.inFlight }

// Phase returns the phase of the limiter.
func (l *Limiter) Phase() Phase { return l.phase }

// ServerPhase returns the phase that a load report gives for a server that is not draining.
func (l *Limiter) ServerPhase() fleet.Phase {
	if l.warm {
		return fleet.PhaseServing
	}
	return fleet.PhaseStarting
}

// restartSlowStart enters slow start at the initial limit, or at the current one if that is lower.
func (l *Limiter) restartSlowStart(now time.Time) {
	l.decrease(now, min(l.limit, float64(l.config.InitialLimit)), SlowStart)
	l.halvings, l.warm = 0, false
}

// halve halves the limit, or restarts slow start if the last halving has not helped.
func (l *Limiter) halve(now time.Time) {
	l.halvings++
	if l.halvings >= halvingsToRestart {
		l.restartSlowStart(now)
		return
	}
	l.decrease(now, l.limit/2, BackedOff)
}

func (l *Limiter) decrease(now time.Time, limit float64, phase Phase) {
	l.limitBefore, l.decreasedAt = max(l.limit, 1), now
	l.limit, l.phase = max(limit, 1), phase
	l.grownAt = now
	l.slowTokens, l.goodTokens, l.smoothedRatio = 0, 0, 0
	l.epoch++
}

// grow raises the limit after a good first token if at least half of the limit is in use.
func (l *Limiter) grow(now time.Time, firstToken time.Duration) {
	if l.phase == BackedOff && now.Sub(l.decreasedAt) >= backoffHold {
		// A server that has shown overload in its first tokens is likely to show it again, so slow start is over even if
		// the server is still warming up.
		l.phase, l.grownAt, l.warm = Growth, now, true
	}
	ratio := float64(firstToken) / float64(l.config.FirstTokenBound)
	if l.smoothedRatio == 0 {
		l.smoothedRatio = ratio
	}
	l.smoothedRatio += (ratio - l.smoothedRatio) * smoothingWeight
	if l.phase == BackedOff || l.smoothedRatio > growthMaxRatio || float64(l.inFlight) < l.limit/2 {
		l.grownAt = now
		return
	}
	doublingTime := growthDoublingTime
	if l.phase == SlowStart {
		doublingTime = slowStartDoublingTime
	}
	// After a pause without first tokens, at most the growth of one doubling time is applied at once.
	elapsed := min(max(float64(now.Sub(l.grownAt))/float64(doublingTime), 0), 1)
	increase := min(1, l.limit*(math.Exp2(elapsed)-1))
	if l.smoothedRatio > fastGrowthMaxRatio {
		increase = min(increase, 1/l.limit)
		if l.phase == SlowStart {
			l.phase, l.warm = Growth, true
		}
	}
	l.grownAt = now
	bound := l.upperBound(now)
	if l.limit+increase >= bound {
		increase = max(bound-l.limit, 0)
		if l.phase == SlowStart && bound >= float64(l.config.MaxLimit) {
			l.phase, l.warm = Growth, true
		}
	}
	l.limit += increase
}

// upperBound returns the highest limit that may be reached at the given time.
func (l *Limiter) upperBound(now time.Time) float64 {
	bound := float64(l.config.MaxLimit)
	if l.avoidedLimit > 0 && now.Before(l.avoidUntil) {
		bound = min(bound, max(l.avoidedLimit*avoidedLimitRatio, float64(l.config.InitialLimit)))
	}
	return bound
}
