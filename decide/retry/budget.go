// Package retry decides what follows when an attempt ends: answer, send again, resume, inquire or refuse. It also limits
// how much load retries and hedges may add.
package retry

import (
	"math/rand/v2"
	"time"
)

// BudgetConfig bounds the load that retries and hedges add. Zero fields take the default.
type BudgetConfig struct {
	Share      float64 // retries and hedges per successful request, default 0.1
	HedgeShare float64 // part of the budget that hedges may use, default 0.5
	PerSecond  float64 // allowance that needs no success, so that low traffic can retry; default 0.5
	Burst      float64 // largest saved allowance, default 20
}

const (
	defaultShare      = 0.1
	defaultHedgeShare = 0.5
	defaultPerSecond  = 0.5
	defaultBurst      = 20
)

// Budget is the allowance of retries and hedges of one entry instance. Retries may use all of it; hedges leave a part to
// retries, because a retry rescues a request that has failed and a hedge only one that is late.
type Budget struct {
	config BudgetConfig
	saved  float64
	at     time.Time
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) *Budget {
	if c.Share <= 0 {
		c.Share = defaultShare
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
	return &Budget{config: c, saved: c.Burst}
}

// Success adds the allowance that one successful request earns. A request that needed a retry or a hedge earns it too.
func (b *Budget) Success(now time.Time) {
	b.refill(now)
	b.saved = min(b.saved+b.config.Share, b.config.Burst)
}

// Retry takes the allowance of one retry or resume. It reports false if none is left.
func (b *Budget) Retry(now time.Time) bool { return b.take(now, 1) }

// Hedge takes the allowance of one hedge. It reports false if that would touch the part kept for retries.
func (b *Budget) Hedge(now time.Time) bool {
	return b.take(now, 1+(1-b.config.HedgeShare)*b.config.Burst)
}

// Left returns the allowance left.
func (b *Budget) Left(now time.Time) float64 {
	b.refill(now)
	return b.saved
}

func (b *Budget) take(now time.Time, needed float64) bool {
	b.refill(now)
	if b.saved < needed {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.at); !b.at.IsZero() && elapsed > 0 {
		b.saved = min(b.saved+elapsed.Seconds()*b.config.PerSecond, b.config.Burst)
	}
	if now.After(b.at) {
		b.at = now
	}
}

// Backoff is the pause before a retry. Zero fields take the default.
type Backoff struct {
	Base time.Duration // upper bound of the first pause, default 25 ms
	Max  time.Duration // upper bound of any pause, default 2 s
}

const (
	defaultBackoffBase = 25 * time.Millisecond
	defaultBackoffMax  = 2 * time.Second
)

// Delay returns a random pause before retry number n (from 1): uniform between 0 and Base doubled n-1 times, so that
// requests that failed together do not come back together. retryAfter is the server's request and is added.
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
