// Package limits estimates the concurrency limit of one backend server: how many requests it can serve at a time. The
// agent on the server's machine asks the limiter before it forwards a request and reports the outcome; the limit adapts
// to the server's time to first token and its failures. An announced capacity is only an upper bound of the limit.
package limits

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Phase is a phase of the limiter.
type Phase uint8

// Phases of a limiter.
const (
	SlowStart Phase = iota // just started or turned cold: the limit starts low and at most doubles in slowStartDoublingTime
	Growth                 // warm: the limit at most doubles in growthDoublingTime
	BackedOff              // the limit was halved and stays constant for a while
)

// String returns the phase in words.
func (p Phase) String() string {
	switch p {
	case SlowStart:
		return "slow start"
	case Growth:
		return "growth"
	case BackedOff:
		return "backed off"
	}
	return "unknown phase"
}

// Refusal says why a request was not admitted. A refused request did not run.
type Refusal uint8

// Refusals.
const (
	Admitted      Refusal = iota
	AboveLimit            // as many requests are in flight as the limit allows
	ServerStalled         // no first token for far longer than the bound while requests wait for theirs: the server may hang
)

// String returns the refusal in words.
func (r Refusal) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case AboveLimit:
		return "concurrency limit reached"
	case ServerStalled:
		return "server gives no first token"
	}
	return "unknown refusal"
}

// Outcome is how a request ended at the server.
type Outcome uint8

// Outcomes.
const (
	Done      Outcome = iota // the server answered, whatever the status
	Failed                   // the server failed: connection lost, broken answer, status 5xx
	Overload                 // the server reported that it is overloaded
	Cancelled                // the caller or the entry instance cancelled it; does not affect the limit
)

// Ticket belongs to one admitted request. The caller keeps it and passes it to FirstToken and Finished.
type Ticket struct {
	number             uint64
	epoch              uint64 // of the limiter when the request was admitted
	incarnation        fleet.Incarnation
	admitted           bool
	firstTokenReported bool
}

// Config holds a limiter's settings. The zero value of a field means its default.
type Config struct {
	// FirstTokenBound is the target for the 95th percentile of the time to first token. Default 1.1 s.
	FirstTokenBound time.Duration
	// InitialLimit is the limit, in requests, of a server that has just started. Default 2.
	InitialLimit int
	// MaxLimit is the upper bound of the limit, in requests, whatever the server announces. Default 512.
	MaxLimit int
	// Capacity is the announced number of requests that the server can serve at a time; an upper bound of the limit if
	// positive, ignored otherwise.
	Capacity int
}

const (
	defaultFirstTokenBound = 1100 * time.Millisecond
	defaultInitialLimit    = 2
	defaultMaxLimit        = 512
)

func (c Config) withDefaults() Config {
	if c.FirstTokenBound <= 0 {
		c.FirstTokenBound = defaultFirstTokenBound
	}
	if c.InitialLimit <= 0 {
		c.InitialLimit = defaultInitialLimit
	}
	if c.MaxLimit <= 0 {
		c.MaxLimit = defaultMaxLimit
	}
	if c.Capacity > 0 {
		c.MaxLimit = min(c.MaxLimit, c.Capacity)
	}
	c.InitialLimit = min(c.InitialLimit, c.MaxLimit)
	return c
}
