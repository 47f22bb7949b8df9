// Package consensus is a replicated log in the manner of Raft, as a pure state machine. It holds no goroutine, clock,
// file or socket: the caller passes in the time and received messages, and carries out what Ready returns.
//
// A member identifier stands for one life of one data folder. It is drawn at random when the folder is created, stored
// in it, and named as sender and receiver in every message. A member that lost its folder therefore cannot speak as its
// old self: it has a new identifier, enters as a learner, and votes only after it has caught up. Identifiers of removed
// members stay in the configuration and are never admitted again.
package consensus

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ID identifies one member for one life of its data folder. 0 means none.
type ID uint64

// Member is one member of the group.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint,omitempty"`
	Learner bool   `cbor:"3,keyasint,omitempty"` // receives the log and does not vote
	// Promote asks the leader to make the learner a voter as soon as it has caught up.
	Promote bool `cbor:"4,keyasint,omitempty"`
	// Replaces names a voter that the leader removes just before it promotes this learner.
	Replaces ID `cbor:"5,keyasint,omitempty"`
}

// Members is the configuration of the group. Values are shared and must not be changed.
type Members struct {
	List []Member `cbor:"1,keyasint"`
	// Removed holds former members, which are never admitted again. The oldest are dropped beyond maxRemoved.
	Removed []ID `cbor:"2,keyasint,omitempty"`
}

// Find returns the member with the identifier, or nil.
func (m Members) Find(id ID) *Member {
	for i := range m.List {
		if m.List[i].ID == id {
			return &m.List[i]
		}
	}
	return nil
}

// IsVoter reports whether the member exists and votes.
func (m Members) IsVoter(id ID) bool {
	member := m.Find(id)
	return member != nil && !member.Learner
}

// Voters returns the number of voters.
func (m Members) Voters() int {
	n := 0
	for i := range m.List {
		if !m.List[i].Learner {
			n++
		}
	}
	return n
}

func (m Members) majority() int { return m.Voters()/2 + 1 }

// EntryKind tells log entries apart.
type EntryKind uint8

// Kinds of log entry. A leader starts its term with EntryNoop.
const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint,omitempty"`
	Term  uint64    `cbor:"2,keyasint,omitempty"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	ID    string    `cbor:"4,keyasint,omitempty"` // identifies the proposal across retries
	// Expires is the last index at which the command takes effect, 0 for no limit. It bounds how late a repeated
	// proposal can enter the log.
	Expires uint64   `cbor:"5,keyasint,omitempty"`
	Data    []byte   `cbor:"6,keyasint,omitempty"`
	Members *Members `cbor:"7,keyasint,omitempty"` // new configuration, set by the leader
	Change  *Change  `cbor:"8,keyasint,omitempty"` // requested change of the configuration
}

// entryOverhead is added to the payload when entries are counted against byte limits.
const entryOverhead = 32

func (e *Entry) size() int { return len(e.Data) + len(e.ID) + entryOverhead }

func sizeOf(entries []Entry) int {
	n := 0
	for i := range entries {
		n += entries[i].size()
	}
	return n
}

// HardState must be on disk before any message of the same Ready is sent. Commit is a hint and needs no sync.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state of the application after Index. Data is shared and must not be changed.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint,omitempty"`
}

// Kind tells messages apart on the wire. Numbers are never reused.
type Kind uint8

// Kinds of message.
const (
	KindPreVote        Kind = 1
	KindPreVoteReply   Kind = 2
	KindVote           Kind = 3
	KindVoteReply      Kind = 4
	KindAppend         Kind = 5
	KindAppendReply    Kind = 6
	KindHeartbeat      Kind = 7
	KindHeartbeatReply Kind = 8
	KindSnapshot       Kind = 9
	KindSnapshotReply  Kind = 10
	KindPropose        Kind = 11
	KindProposeReply   Kind = 12
	KindRead           Kind = 13
	KindReadReply      Kind = 14
	KindTimeoutNow     Kind = 15
	KindCommit         Kind = 16 // tells a higher commit index, without a reply
)

// Message is one message between members.
type Message struct {
	Kind    Kind      `cbor:"1,keyasint"`
	From    ID        `cbor:"2,keyasint"`
	To      ID        `cbor:"3,keyasint"`
	Term    uint64    `cbor:"4,keyasint"`
	Index   uint64    `cbor:"5,keyasint,omitempty"` // Append: entry before Entries; replies: highest matching entry
	LogTerm uint64    `cbor:"6,keyasint,omitempty"` // term of Index
	Commit  uint64    `cbor:"7,keyasint,omitempty"`
	Entries []Entry   `cbor:"8,keyasint,omitempty"`
	Reject  bool      `cbor:"9,keyasint,omitempty"`
	Hint    uint64    `cbor:"10,keyasint,omitempty"` // rejected Append: highest index that may match
	Round   uint64    `cbor:"11,keyasint,omitempty"` // heartbeat round, or identifier of a read
	Force   bool      `cbor:"12,keyasint,omitempty"` // election asked for by the leader
	Chunk   *Chunk    `cbor:"13,keyasint,omitempty"`
	Refused []Refusal `cbor:"14,keyasint,omitempty"`
}

// Chunk is a part of a snapshot. The reply carries only Index and Offset, the number of bytes held.
type Chunk struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint,omitempty"`
	Members Members `cbor:"3,keyasint"`
	Total   int     `cbor:"4,keyasint,omitempty"`
	Offset  int     `cbor:"5,keyasint,omitempty"`
	Data    []byte  `cbor:"6,keyasint,omitempty"`
}

// Refusal tells that a copy of a proposal was not added to the log.
type Refusal struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// Invalid says that a repetition makes no sense.
	Invalid bool `cbor:"3,keyasint,omitempty"`
}

// Read is the answer to a read barrier: once Index is applied, a local read is linearizable.
type Read struct {
	Round uint64
	Index uint64
}

// Ready is what the caller must carry out, in this order: send Early; write Snapshot, Entries and HardState and sync
// them; send Messages; install Snapshot; apply Committed; answer Reads and Refused; call Advance.
type Ready struct {
	Early     []Message // promise nothing about this member's disk
	Snapshot  *Snapshot
	Entries   []Entry
	HardState *HardState
	MustSync  bool
	Messages  []Message
	Committed []Entry
	Reads     []Read
	Refused   []Refusal
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Early) == 0 && r.Snapshot == nil && len(r.Entries) == 0 && r.HardState == nil && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.Refused) == 0
}

// Defaults of Config.
const (
	// DefaultElectionTimeout keeps detection (at most twice this) and one election below the 3 s of refused claims that
	// the design allows after the loss of a leader.
	DefaultElectionTimeout  = 800 * time.Millisecond
	DefaultHeartbeat        = 200 * time.Millisecond
	DefaultMaxBatchBytes    = 256 << 10 // well below the 1 MiB limit of a protocol message
	DefaultMaxInFlightBytes = 1 << 20
	DefaultMaxUncommitted   = 16 << 20
	DefaultMaxSnapshotBytes = 128 << 20 // half of a daemon's control-plane memory
	// MaxEntryBytes leaves room for the envelope within the 1 MiB limit of a protocol message.
	MaxEntryBytes = 768 << 10
	// maxRemoved bounds the list of former members; identifiers are random, so a reuse is an error, not a chance.
	maxRemoved = 1024
)

// Config sets the parameters of a Node. Zero values take the defaults.
type Config struct {
	ID               ID
	Rand             *rand.Rand
	ElectionTimeout  time.Duration // a follower waits this long to twice this long without a leader
	Heartbeat        time.Duration
	MaxBatchBytes    int // entries in one Append, and one part of a snapshot
	MaxInFlightBytes int // entries sent to one member and not acknowledged
	MaxUncommitted   int // bytes of uncommitted entries above which the leader refuses proposals
	MaxSnapshotBytes int
}

func (c Config) withDefaults() Config {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	set(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	set(&c.MaxInFlightBytes, DefaultMaxInFlightBytes)
	set(&c.MaxUncommitted, DefaultMaxUncommitted)
	set(&c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return c
}

// Errors of New.
var (
	ErrNoIdentity = errors.New("consensus: the member has no identifier; create the data folder first")
	ErrGap        = errors.New("consensus: entries between the snapshot and the log are missing; replace the member")
)
