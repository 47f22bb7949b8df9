// Package membership finds out which entry instances and agents of a data centre live, answer late, are reachable in one
// direction only or are dead. It is a state machine over time and messages: each second an entry instance pings a few
// random members, asks others to probe a member that does not answer, and spreads what it has learned on the same
// messages. The lowest live identifier represents the data centre towards the others.
package membership

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// MessageKind tells the messages apart. Numbers are part of the wire format.
type MessageKind uint8

// Kinds of message.
const (
	Ping         MessageKind = 1 // asks for an Ack
	Ack          MessageKind = 2 // answers Ping or Probe
	ProbeRequest MessageKind = 3 // asks the receiver to probe Target
	Probe        MessageKind = 4 // a ping on behalf of Target, who does not hear the receiver
	ProbeResult  MessageKind = 5 // tells the asker that Target answered
	Sync         MessageKind = 6 // carries the whole table and asks for the receiver's
	SyncReply    MessageKind = 7 // carries the whole table
)

// Message is one message between two entry instances of a data centre.
type Message struct {
	Kind     MessageKind      `cbor:"1,keyasint"`
	From     fleet.InstanceID `cbor:"2,keyasint"`
	Sequence uint64           `cbor:"3,keyasint,omitempty"`
	// SilenceMS tells for how long pings to the receiver have gone unanswered, in milliseconds.
	SilenceMS uint32 `cbor:"4,keyasint,omitempty"`
	// Target is the member to probe (ProbeRequest, ProbeResult) or the asker (Probe, Ack to a Probe).
	Target fleet.InstanceID `cbor:"5,keyasint,omitempty"`
	// Agent says that Target is the agent of a backend server.
	Agent bool `cbor:"6,keyasint,omitempty"`
	// HeardMS tells how long ago the probed process heard from the asker, plus one; 0 stands for not lately.
	HeardMS uint32 `cbor:"7,keyasint,omitempty"`
	// Digest is the digest of the sender's state outside the log; a receiver with another one exchanges the state.
	Digest  uint64   `cbor:"8,keyasint,omitempty"`
	Updates []Update `cbor:"9,keyasint,omitempty"`
}

// Envelope is a message to be sent to a member.
type Envelope struct {
	To      fleet.InstanceID
	Address string // inner address of the member
	Message Message
}

// State is what the members tell each other about one of them. At one incarnation the higher state wins.
type State uint8

// States of a member.
const (
	Live State = iota
	Suspected
	Dead
	Left // it said that it stops
)

// Update tells the state of one member at one incarnation: the boot number, and a count that the member raises to refute
// a suspicion.
type Update struct {
	Instance fleet.InstanceID  `cbor:"1,keyasint"`
	Boot     fleet.Incarnation `cbor:"2,keyasint"`
	Refuted  uint32            `cbor:"3,keyasint,omitempty"`
	State    State             `cbor:"4,keyasint,omitempty"`
	Address  string            `cbor:"5,keyasint,omitempty"`
}

// newer reports whether the update goes before another one about the same member.
func (u Update) newer(other Update) bool {
	switch {
	case u.Boot != other.Boot:
		return u.Boot > other.Boot
	case u.Refuted != other.Refuted:
		return u.Refuted > other.Refuted
	default:
		return u.State > other.State
	}
}

// Condition is what one instance finds out about its own link to a member or agent.
type Condition uint8

// Conditions of a link.
const (
	Answering   Condition = iota
	Slow                  // answers late
	NotHearing            // it does not hear us, but we hear it or others reach it
	NotHeard              // we do not hear it, but it hears us
	Unreachable           // neither side hears the other, but others reach it
	Silent                // nobody who was asked reaches it
)

// String returns the condition in plain words.
func (c Condition) String() string {
	return [...]string{"answering", "slow", "does not hear us", "is not heard by us", "unreachable from here", "silent"}[c]
}

// OneWay reports whether others reach a process that we do not reach both ways.
func (c Condition) OneWay() bool { return c == NotHearing || c == NotHeard || c == Unreachable }

// Config holds the constants of the detector. Zero fields stand for the defaults.
type Config struct {
	Self    fleet.InstanceID
	Boot    fleet.Incarnation
	Address string

	Interval time.Duration // between two rounds of pings; default 1 s
	Fanout   int           // members pinged in a round, and asked to probe; default 3
	// SlowAfter is the time after which an answer counts as late and others are asked to probe. Default 500 ms: a hundred
	// times the round trip inside a data centre.
	SlowAfter time.Duration
	// SuspectAfter is the time after which a member without any answer is suspected. Default 3 s, as for a session.
	SuspectAfter time.Duration
	// DeadAfter is the time for which a suspected member can refute. Default 8 s, so that no pause of a few seconds
	// removes a member.
	DeadAfter time.Duration
	// ForgetAfter is the time for which a dead member's incarnation is remembered and the member is tried again. Default
	// 10 min, longer than the partitions that the design names.
	ForgetAfter time.Duration
	// SyncInterval is the time between two exchanges of whole tables with one member. Default 30 s.
	SyncInterval time.Duration
	// AgentInterval is the time between two load reports of an agent. Default 2 s.
	AgentInterval time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.Interval, time.Second)
	set(&c.SlowAfter, 500*time.Millisecond)
	set(&c.SuspectAfter, 3*time.Second)
	set(&c.DeadAfter, 8*time.Second)
	set(&c.ForgetAfter, 10*time.Minute)
	set(&c.SyncInterval, 30*time.Second)
	set(&c.AgentInterval, 2*time.Second)
	if c.Fanout == 0 {
		c.Fanout = 3
	}
	return c
}

// maxUpdates bounds the updates on one message, about 30 bytes each; a table exchange carries all.
const maxUpdates = 8

// maxTableUpdates bounds the updates of a table exchange.
const maxTableUpdates = 2000

// maxMembers bounds the table against a flood of invented identifiers.
const maxMembers = 2000
