// Package limits learns how many requests one backend server bears at a time. The agent beside the server asks before
// it forwards a request and reports how the request went; the limit follows the server's time to first token and its
// failures. An announced capacity bounds the limit from above and is not trusted otherwise.
package limits

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Phase is a stage of the limiter.
type Phase uint8

// Phases of a limiter.
const (
	SlowStart Phase = iota // the server has just started or turned cold: the limit starts low and grows fast
	Growth                 // the server is warm: the limit grows slowly
	BackedOff              // the limit was halved and is held for a while
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
	Admitted     Refusal = iota
	AboveLimit           // as many requests are in flight as the limit allows
	ServerSilent         // requests wait for their first token far beyond the bound: the server may hang
)

// String returns the refusal in words.
func (r Refusal) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case AboveLimit:
		return "concurrency limit reached"
	case ServerSilent:
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
	Overload                 // the server said that it has too much to do
	Cancelled                // the caller or the entry instance ended it; says nothing about the server
)

// Ticket belongs to one admitted request. The caller keeps it and passes it to FirstToken and Finished.
type Ticket struct {
	number   uint64
	epoch    uint64 // of the limiter when the request was admitted
	boot     fleet.Incarnation
	admitted bool
	answered bool // the first token was reported
}

// Config holds a limiter's settings. The zero value of a field means its default.
type Config struct {
	// Bound is the target of the time to first token. Default 1.1 s.
	Bound time.Duration
	// Start is the limit of a server that has just started. Default 2.
	Start int
	// Ceiling bounds the limit, whatever the server announces. Default 512.
	Ceiling int
	// Capacity is what the server announces to bear; an upper bound if positive, ignored otherwise.
	Capacity int
}

const (
	defaultBound   = 1100 * time.Millisecond
	defaultStart   = 2
	defaultCeiling = 512
)

func (c Config) withDefaults() Config {
	if c.Bound <= 0 {
		c.Bound = defaultBound
	}
	if c.Start <= 0 {
		c.Start = defaultStart
	}
	if c.Ceiling <= 0 {
		c.Ceiling = defaultCeiling
	}
	if c.Capacity > 0 {
		c.Ceiling = min(c.Ceiling, c.Capacity)
	}
	c.Start = min(c.Start, c.Ceiling)
	return c
}
