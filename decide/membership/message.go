// Package membership detects which entry instances and agents of a data centre are live, slow, reachable in one direction
// only, or dead. It is a pure state machine in the manner of SWIM: each second an entry instance pings a few random
// members, asks others to probe a member that does not answer, and gossips changes of state in the same messages. The live
// instance with the lowest identifier represents its data centre towards the others.
package membership

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// MessageKind is the type of a message. Numbers are part of the wire format.
type MessageKind uint8

// Kinds of message.
const (
	Ping         MessageKind = 1 // requests an Ack
	Ack          MessageKind = 2 // answers Ping or Probe
	ProbeRequest MessageKind = 3 // requests that the receiver probe Target
	Probe        MessageKind = 4 // a ping on behalf of Target, which gets no answer from the receiver
	ProbeResult  MessageKind = 5 // informs the requester that Target answered
	Sync         MessageKind = 6 // contains the whole table and requests the receiver's
	SyncReply    MessageKind = 7 // contains the whole table
)

// Message is one message between two entry instances of a data centre.
type Message struct {
	Kind     MessageKind      `cbor:"1,keyasint"`
	From     fleet.InstanceID `cbor:"2,keyasint"`
	Sequence uint64           `cbor:"3,keyasint,omitempty"`
	// UnansweredMS is the time for which pings to the receiver have been unanswered, in milliseconds.
	UnansweredMS uint32 `cbor:"4,keyasint,omitempty"`
	// Target is the member to probe (ProbeRequest, ProbeResult) or the requester of the probe (Probe, Ack to a Probe).
	Target fleet.InstanceID `cbor:"5,keyasint,omitempty"`
	// TargetIsAgent is true if Target is the agent of a backend server.
	TargetIsAgent bool `cbor:"6,keyasint,omitempty"`
	// LastReceivedMS is the time in milliseconds since the probed process last received from the requester (an agent: since
	// the sender last received from it), plus one; 0 if not recently.
	LastReceivedMS uint32 `cbor:"7,keyasint,omitempty"`
	// Digest is the digest of the sender's state kept outside the consensus log. A receiver with a different digest
	// exchanges that state with the sender.
	Digest  uint64   `cbor:"8,keyasint,omitempty"`
	Updates []Update `cbor:"9,keyasint,omitempty"`
}

// Envelope is a message to be sent to a member.
type Envelope struct {
	To      fleet.InstanceID
	Address string // internal address of the member
	Message Message
}

// State is the gossiped state of a member. For the same incarnation and refutation count the higher state wins.
type State uint8

// States of a member.
const (
	Live State = iota
	Suspected
	Dead
	Left // announced that it is stopping
)

// Update is the state of one member, versioned by its incarnation and by a count that the member increments to refute a
// suspicion.
type Update struct {
	Instance    fleet.InstanceID  `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Refutations uint32            `cbor:"3,keyasint,omitempty"`
	State       State             `cbor:"4,keyasint,omitempty"`
	Address     string            `cbor:"5,keyasint,omitempty"`
}

// supersedes reports whether the update replaces another one about the same member.
func (u Update) supersedes(other Update) bool {
	switch {
	case u.Incarnation != other.Incarnation:
		return u.Incarnation > other.Incarnation
	case u.Refutations != other.Refutations:
		return u.Refutations > other.Refutations
	default:
		return u.State > other.State
	}
}

// Condition is the condition of this instance's link to a member or agent. It is not gossiped.
type Condition uint8

// Conditions of a link.
const (
	Answering    Condition = iota
	Slow                   // answers late
	OutboundLost           // it does not receive our messages, but we receive its messages
	InboundLost            // we do not receive its messages, but it receives ours (agent: others receive its messages)
	Unreachable            // neither side receives from the other, but others reach it
	Silent                 // no instance that was asked reaches it
)

// String returns the condition as it is logged.
func (c Condition) String() string {
	return [...]string{"answering", "slow", "does not hear us", "is not heard by us", "unreachable from here", "silent"}[c]
}

// LinkFailed reports whether the link fails in at least one direction although the process is live.
func (c Condition) LinkFailed() bool {
	return c == OutboundLost || c == InboundLost || c == Unreachable
}

// Config sets the parameters of a Detector. Zero values take the defaults.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	Address     string

	PingInterval time.Duration // between two rounds of pings. Default 1 s
	Fanout       int           // members pinged per round, and members asked to probe. Default 3
	// SlowAfter is the time after which an answer is considered late and others are asked to probe. Default 500 ms, a
	// hundred times the round-trip time within a data centre.
	SlowAfter time.Duration
	// SuspectAfter is the time after which a member that does not answer is suspected. Default 3 s, as for a session.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspected member has to refute the suspicion. Default 8 s, so that a pause of a few
	// seconds does not remove a member.
	DeadAfter time.Duration
	// ForgetAfter is the time for which a dead member is kept in the table with its incarnation and contacted again. Default
	// 10 min, longer than the partitions that the design covers.
	ForgetAfter time.Duration
	// SyncInterval is the mean time between two exchanges of the whole table with a random member. Default 30 s.
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
	set(&c.PingInterval, time.Second)
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

// maxUpdatesPerMessage bounds the updates in one message, about 30 bytes each. A table exchange contains all.
const maxUpdatesPerMessage = 8

// maxTableUpdates bounds the updates in a table exchange.
const maxTableUpdates = 2000

// maxMembers bounds the table in case a faulty instance sends invented identifiers.
const maxMembers = 2000
