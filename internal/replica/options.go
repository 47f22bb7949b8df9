// Package replica runs one member of the agreement group: it drives the replicated log of package consensus with a
// clock, a data folder and a transport, and applies committed entries to a state machine.
package replica

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// Transport sends encoded messages to other members. It may lose, delay, duplicate and reorder them. Send must not
// block. The receiver passes the message to Replica.Receive.
type Transport interface {
	Send(to consensus.Member, message []byte)
}

// StateMachine is the application's state. The replica calls it from one goroutine, in log order and with the same
// commands on each member. It must be deterministic: equal states must give equal results on all members.
type StateMachine interface {
	// Apply applies a command and returns its result, which the replica keeps for Options.DedupWindowEntries.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state, nil if it could not be encoded. The caller may retain the slice.
	Snapshot() []byte
	// Restore replaces the whole state; nil means the initial state.
	Restore(snapshot []byte) error
}

// Options configure a replica. FS, StateMachine and Transport are required; zero values of the others select defaults.
type Options struct {
	FS           storage.FS
	StateMachine StateMachine
	Transport    Transport
	Consensus    consensus.Config // ID and Rand are filled in
	Storage      storage.Options
	// SnapshotEntries and SnapshotBytes limit the growth of the log since the newest snapshot; at either, the next one is
	// taken. Defaults: 16,384 entries, 16 MiB.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is the number of entries before the newest snapshot that are kept for members and followers that
	// lag behind, as far as they fit into SnapshotBytes. Default: 8,192, about two days of configuration changes.
	KeepEntries uint64
	// DedupWindowEntries is the number of log entries for which the result of a proposal is kept. Default: 16,384.
	DedupWindowEntries uint64
	// RetryInterval is the time without a reply after which a proposal or read is sent again. Default: 500 ms.
	RetryInterval time.Duration
	// MaxPendingProposals limits the proposals without a result on this member. Default: 16,384.
	MaxPendingProposals int
	// Logf logs rare events such as a failed disk. Default: no logging.
	Logf func(format string, args ...any)
}

// Defaults of Options.
const (
	DefaultSnapshotEntries     = 16384
	DefaultSnapshotBytes       = 16 << 20
	DefaultKeepEntries         = 8192
	DefaultDedupWindowEntries  = 16384
	DefaultRetryInterval       = 500 * time.Millisecond
	DefaultMaxPendingProposals = 16384
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
	if o.DedupWindowEntries == 0 {
		o.DedupWindowEntries = DefaultDedupWindowEntries
	}
	if o.RetryInterval == 0 {
		o.RetryInterval = DefaultRetryInterval
	}
	if o.MaxPendingProposals == 0 {
		o.MaxPendingProposals = DefaultMaxPendingProposals
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
