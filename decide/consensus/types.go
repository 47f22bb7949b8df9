// Package consensus implements the Raft consensus algorithm as a pure state machine. It uses no goroutines, clock, files
// or sockets: the caller passes in the time and received messages, and carries out what Ready returns.
//
// A member identifier stands for one incarnation of one data folder. It is drawn at random when the folder is created,
// stored in it, and sent as sender and receiver in every message. A member that lost its folder therefore cannot act
// under its old identity: it has a new identifier, joins as a learner, and votes only after it has caught up.
// Identifiers of removed members stay in the configuration and are never admitted again.
package consensus

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ID identifies one incarnation of a member's data folder. 0 means none.
type ID uint64

// Member is one member of the group.
type Member struct {
	ID      ID     `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint,omitempty"`
	Learner bool   `cbor:"3,keyasint,omitempty"` // receives the log and does not vote
	// Promote asks the leader to make the learner a voter as soon as it has caught up.
	Promote bool `cbor:"4,keyasint,omitempty"`
	// Replaces names the member that the leader takes out just after it has promoted this learner: a voter that has asked
	// for it becomes a learner, another one is removed.
	Replaces ID `cbor:"5,keyasint,omitempty"`
	// Retiring is set for a voter that has asked that a learner replace it.
	Retiring bool `cbor:"6,keyasint,omitempty"`
}

// Members is the configuration of the group. Values are shared and must not be changed.
type Members struct {
	List []Member `cbor:"1,keyasint"`
	// Removed lists former members, which are never admitted again. The oldest are dropped beyond maxRemovedMembers.
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

// IsVoter reports whether the member exists and is a voter.
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

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entry. A new leader first appends EntryNoop.
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

// entryOverheadBytes is added to the size of each entry's payload when byte limits are checked.
const entryOverheadBytes = 32

func (e *Entry) size() int { return len(e.Data) + len(e.ID) + entryOverheadBytes }

func totalSize(entries []Entry) int {
	n := 0
	for i := range entries {
		n += entries[i].size()
	}
	return n
}

// HardState must be on disk before Messages of the same Ready are sent. Commit is a hint and needs no sync.
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

// Kind is the type of a message on the wire. Numbers are never reused.
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
	KindCommit         Kind = 16 // announces a higher commit index; has no reply
)

// Message is one message between members.
type Message struct {
	Kind               Kind      `cbor:"1,keyasint"`
	From               ID        `cbor:"2,keyasint"`
	To                 ID        `cbor:"3,keyasint"`
	Term               uint64    `cbor:"4,keyasint"`
	Index              uint64    `cbor:"5,keyasint,omitempty"` // Append: entry before Entries; replies: highest matching entry
	LogTerm            uint64    `cbor:"6,keyasint,omitempty"` // term of Index
	Commit             uint64    `cbor:"7,keyasint,omitempty"`
	Entries            []Entry   `cbor:"8,keyasint,omitempty"`
	Reject             bool      `cbor:"9,keyasint,omitempty"`
	Hint               uint64    `cbor:"10,keyasint,omitempty"` // rejected Append: highest index that may match
	Round              uint64    `cbor:"11,keyasint,omitempty"` // heartbeat round; Read and ReadReply: identifier of the read
	LeadershipTransfer bool      `cbor:"12,keyasint,omitempty"` // Vote: the leader requested the election
	Chunk              *Chunk    `cbor:"13,keyasint,omitempty"`
	Refusals           []Refusal `cbor:"14,keyasint,omitempty"`
	NotDurable         uint64    `cbor:"15,keyasint,omitempty"` // how many entries up to Commit must not be acknowledged yet
}

// Chunk is a part of a snapshot. The reply contains only Index and Offset, the number of bytes received so far.
type Chunk struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint,omitempty"`
	Members Members `cbor:"3,keyasint"`
	Total   int     `cbor:"4,keyasint,omitempty"`
	Offset  int     `cbor:"5,keyasint,omitempty"`
	Data    []byte  `cbor:"6,keyasint,omitempty"`
}

// Refusal reports that a copy of a proposal was not appended to the log.
type Refusal struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// Invalid is true if the proposal should not be retried.
	Invalid bool `cbor:"3,keyasint,omitempty"`
}

// Read is the result of a read barrier: once Index is applied, a local read is linearizable.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready lists the work of the caller, in this order: send EarlyMessages; write Snapshot, Entries and HardState and sync
// them; send Messages; install Snapshot; apply Committed; report Reads and Refusals to their callers; call Advance.
type Ready struct {
	EarlyMessages []Message // may be sent before the sync, since they do not acknowledge anything
	Snapshot      *Snapshot
	Entries       []Entry
	HardState     *HardState
	MustSync      bool // false if of Entries and HardState only the commit index has changed
	Messages      []Message
	Committed     []Entry
	Reads         []Read
	Refusals      []Refusal
}

// Empty reports whether the caller has no work to do.
func (r *Ready) Empty() bool {
	return len(r.EarlyMessages) == 0 && r.Snapshot == nil && len(r.Entries) == 0 && r.HardState == nil && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.Refusals) == 0
}

// Defaults of Config.
const (
	// DefaultElectionTimeout keeps failure detection (at most twice this) plus one election below the 3 s for which the
	// design allows claims to be refused after the loss of a leader.
	DefaultElectionTimeout     = 800 * time.Millisecond
	DefaultHeartbeatInterval   = 200 * time.Millisecond
	DefaultMaxBatchBytes       = 256 << 10 // well below the 1 MiB limit of a protocol message
	DefaultMaxInFlightBytes    = 1 << 20
	DefaultMaxUncommittedBytes = 16 << 20
	DefaultMaxSnapshotBytes    = 128 << 20 // half of the control-plane memory of a process
	// MaxEntryBytes leaves room for the envelope within the 1 MiB limit of a protocol message.
	MaxEntryBytes = 768 << 10
	// maxRemovedMembers bounds the list of former members. Identifiers are random, so an old one can reappear only by
	// mistake, not by chance.
	maxRemovedMembers = 1024
)

// Config sets the parameters of a Node. Zero values take the defaults.
type Config struct {
	ID                  ID
	Rand                *rand.Rand
	ElectionTimeout     time.Duration // a follower starts an election after 1 to 2 times this without a leader
	HeartbeatInterval   time.Duration
	MaxBatchBytes       int // of the entries in one Append, and of one Chunk
	MaxInFlightBytes    int // of entries sent to one member and not acknowledged
	MaxUncommittedBytes int // size of uncommitted entries above which the leader refuses proposals
	MaxSnapshotBytes    int // size above which a snapshot from the leader is ignored
	// ToleratedLosses is the number of disks whose loss at once must not take anything acknowledged. Entries that would not
	// survive it are committed, but not yet durable. Default: 0, for which each committed entry is durable.
	ToleratedLosses int
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
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	set(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	set(&c.MaxInFlightBytes, DefaultMaxInFlightBytes)
	set(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	set(&c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	return c
}

// Errors of New.
var (
	ErrNoIdentity = errors.New("consensus: the member has no identifier; create the data folder first")
	ErrGap        = errors.New("consensus: entries between the snapshot and the log are missing; replace the member")
)
