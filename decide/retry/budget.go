// Package retry decides the next step when an attempt ends: answer, retry, resume, inquire or refuse. It also limits the
// load that retries and hedges add.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig limits the load that retries and hedges add. Zero fields take the default.
type BudgetConfig struct {
	PerSuccess float64 // allowance earned per successful request, default 0.1
	HedgeShare float64 // part of the budget that hedges may use, default 0.5
	PerSecond  float64 // allowance earned per second even without successes, so that low traffic can retry; default 0.5
	Burst      float64 // maximum allowance, default 20
}

const (
	defaultPerSuccess = 0.1
	defaultHedgeShare = 0.5
	defaultPerSecond  = 0.5
	defaultBurst      = 20
)

// Budget is the allowance of one entry instance for retries and hedges, a token bucket. Retries may use all of it. Hedges
// leave a part for retries, because a retry saves a failed request and a hedge only speeds up a slow one.
type Budget struct {
	config     BudgetConfig
	available  float64
	refilledAt time.Time
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	if c.PerSuccess <= 0 {
		c.PerSuccess = defaultPerSuccess
	}
	if c.HedgeShare <= 0 {
		c.HedgeShare = defaultHedgeShare
	}
	if c.PerSecond <= 0 {
		c.PerSecond = defaultPerSecond
	}
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	return &Budget{config: c, available: c.Burst}
}

// AddSuccess adds the allowance that one successful request earns. A request that needed a retry or a hedge earns it too.
func (b *Budget) AddSuccess(now time.Time) {
	b.refill(now)
	b.available = min(b.available+b.config.PerSuccess, b.config.Burst)
}

// TakeRetry deducts one retry or resume from the allowance. It returns false, and deducts nothing, if none is left.
func (b *Budget) TakeRetry(now time.Time) bool { return b.take(now, 1) }

// TakeHedge deducts one hedge from the allowance. It returns false, and deducts nothing, if that would use the part
// reserved for retries.
func (b *Budget) TakeHedge(now time.Time) bool {
	return b.take(now, 1+(1-b.config.HedgeShare)*b.config.Burst)
}

// Available returns the remaining allowance, in retries.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.available
}

func (b *Budget) take(now time.Time, needed float64) bool {
	b.refill(now)
	if b.available < needed {
		return false
	}
	b.available--
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.available = min(b.available+elapsed.Seconds()*b.config.PerSecond, b.config.Burst)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Backoff is the delay before a retry. Zero fields take the default.
type Backoff struct {
	Base time.Duration // upper bound of the first delay, default 25 ms
	Max  time.Duration // upper bound of any delay, default 2 s
}

const (
	defaultBackoffBase = 25 * time.Millisecond
	defaultBackoffMax  = 2 * time.Second
)

// Delay returns a random delay before retry number n (from 1): uniform between 0 and Base doubled n-1 times, at most Max,
// so that requests that failed together are not retried together. retryAfter, the delay requested by the server, is added.
func (b Backoff) Delay(n int, retryAfter time.Duration, random *rand.Rand) time.Duration {
	if b.Base <= 0 {
		b.Base = defaultBackoffBase
	}
	if b.Max <= 0 {
		b.Max = defaultBackoffMax
	}
	bound := b.Base
	for i := 1; i < n && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	return max(retryAfter, 0) + time.Duration(random.Int64N(int64(bound)+1))
}
