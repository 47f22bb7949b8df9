// Package replica runs one member of the agreement group: it drives the replicated log of package consensus with a
// clock, a data folder and a transport, and applies what the group accepted to a state machine.
package replica

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// Transport carries encoded messages between members. It may lose, delay, repeat and reorder them. Send must not block.
// The receiving side passes the message to Replica.Receive.
type Transport interface {
	Send(to consensus.Member, message []byte)
}

// StateMachine is the application's state. The replica calls it from one goroutine, in the order of the log and with
// the same commands on each member. Equal states must give equal results on all members.
type StateMachine interface {
	// Apply carries out a command and returns its result, which the replica keeps for Options.Window entries.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state. The caller keeps the slice.
	Snapshot() []byte
	// Restore replaces the whole state; nil stands for the initial state.
	Restore(snapshot []byte) error
}

// Options set up a replica. FS, StateMachine and Transport are required; zero values of the rest take the defaults.
type Options struct {
	FS           storage.FS
	StateMachine StateMachine
	Transport    Transport
	Consensus    consensus.Config // ID and Rand are filled in
	Storage      storage.Options
	// SnapshotEntries and SnapshotBytes are how far the log grows beyond the newest snapshot before the next one.
	// Defaults: 16,384 entries, 16 MiB.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is how many entries before the newest snapshot are kept for members and daemons that lag behind, as
	// far as they fit into SnapshotBytes. Default: 8,192, about two days of configuration changes.
	KeepEntries uint64
	// Window is how many log entries the result of a proposal is remembered for. Default: 16,384.
	Window uint64
	// Retry is how long a proposal or read waits for an answer before it is sent again. Default: 500 ms.
	Retry time.Duration
	// MaxWaiting bounds the proposals that wait for their result on this member. Default: 16,384.
	MaxWaiting int
	// Logf reports rare events such as a failed disk. Default: none.
	Logf func(format string, args ...any)
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 16384
	DefaultSnapshotBytes   = 16 << 20
	DefaultKeepEntries     = 8192
	DefaultWindow          = 16384
	DefaultRetry           = 500 * time.Millisecond
	DefaultMaxWaiting      = 16384
)

func (o Options) withDefaults() Options {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.KeepEntries == 0 {
		o.KeepEntries = DefaultKeepEntries
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Retry == 0 {
		o.Retry = DefaultRetry
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if o.Consensus.HeartbeatInterval == 0 {
		o.Consensus.HeartbeatInterval = consensus.DefaultHeartbeatInterval
	}
	if o.Consensus.ElectionTimeout == 0 {
		o.Consensus.ElectionTimeout = consensus.DefaultElectionTimeout
	}
	if o.Consensus.Rand == nil {
		o.Consensus.Rand = mathrand.New(mathrand.NewPCG(randomUint64(), randomUint64()))
	}
	return o
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}
