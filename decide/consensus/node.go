package consensus

import (
	"slices"
	"time"
)

// Role is the role of a member in the current term.
type Role uint8

// Roles of a member. A member that is not a voter stays a follower.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// PersistedState is the state that a member loads from disk when it starts.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // contiguous; the first may be at or before Snapshot.Index
}

// configuration is a list of members and the index of the entry that set it. It applies from the moment that its entry
// is appended, before the entry is committed.
type configuration struct {
	index uint64
	Members
}

// Node is one member of a consensus group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  time.Time
	role Role

	hardState, savedHardState HardState
	leader                    ID
	lastLeaderContact         time.Time // time of the last message from the leader
	electionDeadline          time.Time
	nextHeartbeat             time.Time
	nextQuorumCheck           time.Time
	votes                     map[ID]bool

	log            raftLog
	snapshot       Snapshot // newest snapshot on disk
	pendingInstall *Snapshot
	// incomingSnapshot is the snapshot being received from incomingFrom; its Data holds the bytes received so far.
	incomingSnapshot *Chunk
	incomingFrom     ID
	configurations   []configuration

	durable          uint64 // highest index known to be durable
	peers            map[ID]*progress
	transferee       ID
	transferDeadline time.Time
	heartbeatRound   uint64
	newReads         []pendingRead // to be assigned to the next heartbeat round
	pendingReads     []pendingRead

	earlyMessages  []Message
	messages       []Message
	completedReads []Read
	refusals       []Refusal
}

// New returns a member with the given persisted state. It returns ErrNoIdentity or ErrGap.
func New(cfg Config, now time.Time, restored PersistedState) (*Node, error) {
	if cfg.ID == 0 {
		return nil, ErrNoIdentity
	}
	n := &Node{cfg: cfg.withDefaults(), now: now, hardState: restored.HardState, savedHardState: restored.HardState,
		snapshot: restored.Snapshot}
	snap := &n.snapshot
	entries := restored.Entries
	n.log = raftLog{prevIndex: snap.Index, prevTerm: snap.Term}
	if len(entries) > 0 {
		first, last := entries[0].Index, entries[len(entries)-1].Index
		if first > snap.Index+1 {
			return nil, ErrGap
		}
		// A log that does not contain the snapshot's last entry is obsolete: the snapshot came from the leader.
		agrees := last >= snap.Index && (first == snap.Index+1 || entries[snap.Index-first].Term == snap.Term)
		if snap.Index == 0 {
			agrees = first == 1
		}
		if agrees {
			n.log.entries = slices.Clone(entries)
			if first <= snap.Index {
				n.log.prevIndex, n.log.prevTerm = first-1, 0
				// The term of the entry before the first one is unknown, so the first entry becomes the boundary instead.
				n.log.compact(first)
			}
		}
	}
	// The snapshot with which a group is founded has a term in which no member has voted.
	if term := max(snap.Term, n.log.lastTerm()); term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, 0
	}
	n.log.stable = n.log.lastIndex()
	n.log.commit = min(max(n.hardState.Commit, snap.Index), n.log.lastIndex())
	n.log.applied = snap.Index
	n.configurations = []configuration{{snap.Index, snap.Members}}
	for i := range n.log.entries {
		if e := &n.log.entries[i]; e.Index > snap.Index {
			n.recordConfiguration(e)
		}
	}
	n.resetElectionDeadline()
	return n, nil
}

func (n *Node) recordConfiguration(e *Entry) {
	if e.Kind == EntryMembers && e.Members != nil {
		n.configurations = append(n.configurations, configuration{e.Index, *e.Members})
	}
}

// Members returns the current configuration, whether committed or not.
func (n *Node) Members() Members { return n.configurations[len(n.configurations)-1].Members }

// MembersAt returns the configuration as of an index that is not compacted.
func (n *Node) MembersAt(index uint64) Members {
	for i := len(n.configurations) - 1; i > 0; i-- {
		if n.configurations[i].index <= index {
			return n.configurations[i].Members
		}
	}
	return n.configurations[0].Members
}

// Tick advances the time. It should be called at least once per quarter of HeartbeatInterval.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.electionDeadline) {
		n.leader = 0
		n.resetElectionDeadline()
		if n.canCampaign() {
			n.campaign(true, false)
		}
	}
}

// Step handles a message from another member. Messages addressed to another identifier are dropped.
func (n *Node) Step(now time.Time, m Message) {
	n.now = now
	if m.To != n.cfg.ID || m.From == n.cfg.ID || !wellFormed(&m) || !n.checkTerm(&m) {
		return
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		n.stepVote(&m)
	case KindPreVoteReply, KindVoteReply:
		n.stepVoteReply(&m)
	case KindAppend, KindHeartbeat, KindCommit, KindSnapshot:
		n.acceptLeader(&m)
		switch m.Kind {
		case KindAppend:
			n.stepAppend(&m)
		case KindHeartbeat:
			n.acceptCommit(&m, n.log.lastIndex())
			n.send(Message{Kind: KindHeartbeatReply, To: m.From, Round: m.Round})
		case KindCommit:
			n.acceptCommit(&m, n.log.lastIndex())
		default:
			n.stepSnapshot(&m)
		}
	case KindAppendReply, KindHeartbeatReply, KindSnapshotReply:
		if p := n.peers[m.From]; n.role == Leader && p != nil {
			p.lastReply = now
			n.stepReply(&m, p)
		}
	case KindPropose:
		n.stepPropose(&m)
	case KindProposeReply:
		n.refusals = append(n.refusals, m.Refusals...)
	case KindRead:
		n.stepRead(&m)
	case KindReadReply:
		n.completedReads = append(n.completedReads, Read{ID: m.Round, Index: m.Index})
	case KindTimeoutNow:
		if n.canCampaign() && m.From == n.leader {
			n.campaign(false, true)
		}
	}
}

// wellFormed returns false for an Append whose entries are not contiguous or have a term above the message's.
func wellFormed(m *Message) bool {
	if m.Kind != KindAppend {
		return true
	}
	for i := range m.Entries {
		if e := &m.Entries[i]; e.Index != m.Index+1+uint64(i) || e.Term > m.Term {
			return false
		}
	}
	return true
}

// checkTerm compares the message's term with the current one and reports whether the message is to be handled.
func (n *Node) checkTerm(m *Message) bool {
	switch {
	case m.Term > n.hardState.Term:
		if m.Kind == KindPreVote || (m.Kind == KindPreVoteReply && !m.Reject) {
			return true // a pre-vote names a future term that no member has entered yet
		}
		if m.Kind == KindVote && !m.LeadershipTransfer && n.hasCurrentLeader() {
			return false // a member that lost contact with a working leader must not depose it
		}
		n.becomeFollower(m.Term, 0)
	case m.Term < n.hardState.Term:
		switch m.Kind {
		case KindAppend, KindHeartbeat, KindSnapshot:
			// Informs a leader of an older term about the newer term.
			n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true})
		case KindPreVote:
			n.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
		case KindPropose:
			n.stepPropose(m)
		}
		return false
	}
	return true
}

// commitTo raises the commit index.
func (n *Node) commitTo(index uint64) { n.log.commit = max(n.log.commit, index) }

func (n *Node) withHeader(m Message) Message {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	return m
}

// send queues a message to be sent after the sync.
func (n *Node) send(m Message) { n.messages = append(n.messages, n.withHeader(m)) }

// sendEarly queues a message that may be sent before the sync because it does not acknowledge anything. If the current
// term or vote is not on disk yet, the message is sent after the sync instead.
func (n *Node) sendEarly(m Message) {
	if n.hardState.Term != n.savedHardState.Term || n.hardState.Vote != n.savedHardState.Vote {
		n.send(m)
		return
	}
	n.earlyMessages = append(n.earlyMessages, n.withHeader(m))
}

// Ready returns the work of the caller. Advance must be called before any other method.
func (n *Node) Ready() Ready {
	n.startReads()
	r := Ready{EarlyMessages: n.earlyMessages, Messages: n.messages, Reads: n.completedReads, Refusals: n.refusals,
		Snapshot: n.pendingInstall}
	n.earlyMessages, n.messages, n.completedReads, n.refusals = nil, nil, nil, nil
	r.Entries = n.log.entriesAfter(n.log.stable, int(^uint(0)>>1))
	n.hardState.Commit = n.log.commit
	if n.hardState != n.savedHardState {
		hard := n.hardState
		r.HardState = &hard
	}
	r.MustSync = len(r.Entries) > 0 || n.hardState.Term != n.savedHardState.Term || n.hardState.Vote != n.savedHardState.Vote
	from := n.log.applied
	if r.Snapshot != nil {
		from = r.Snapshot.Index
	}
	if n.log.commit > from {
		first := from - n.log.prevIndex
		r.Committed = slices.Clip(n.log.entries[first : n.log.commit-n.log.prevIndex])
	}
	return r
}

// Advance confirms that the last Ready was carried out.
func (n *Node) Advance(r *Ready) {
	if r.HardState != nil {
		n.savedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.snapshot, n.pendingInstall = *r.Snapshot, nil
		n.log.applied = r.Snapshot.Index
	}
	if len(r.Committed) > 0 {
		n.log.applied = r.Committed[len(r.Committed)-1].Index
	}
	if len(r.Entries) > 0 {
		n.log.stable = r.Entries[len(r.Entries)-1].Index
		if n.role == Leader {
			n.maybeCommit()
		}
	}
	n.stepDownIfRemoved()
	n.advanceReplacements()
}

// Compact replaces the newest snapshot by one that the caller has written to disk. Of the entries up to it, at most
// keepEntries entries of about keepBytes in total are retained for members that lag behind.
func (n *Node) Compact(s Snapshot, keepEntries uint64, keepBytes int) {
	if s.Index <= n.snapshot.Index || s.Index > n.log.applied {
		return
	}
	n.snapshot = s
	for len(n.configurations) > 1 && n.configurations[1].index <= s.Index {
		n.configurations = n.configurations[1:]
	}
	last := s.Index
	for ; last > n.log.prevIndex && s.Index-last < keepEntries && keepBytes > 0; last-- {
		keepBytes -= n.log.entries[last-n.log.prevIndex-1].size()
	}
	n.log.compact(last)
}

// SnapshotMetadata returns the snapshot of the applied state with an empty Data.
func (n *Node) SnapshotMetadata() Snapshot {
	term, _ := n.log.term(n.log.applied)
	return Snapshot{Index: n.log.applied, Term: term, Members: n.MembersAt(n.log.applied)}
}

// EntriesAfter returns applied entries after index, at most limit bytes but at least one if there is any. It returns
// false if they are compacted.
func (n *Node) EntriesAfter(index uint64, limit int) ([]Entry, bool) {
	if index < n.log.prevIndex {
		return nil, false
	}
	entries := n.log.entriesAfter(index, limit)
	for len(entries) > 0 && entries[len(entries)-1].Index > n.log.applied {
		entries = entries[:len(entries)-1]
	}
	return entries, true
}

// NewestSnapshot returns the newest snapshot on disk.
func (n *Node) NewestSnapshot() Snapshot { return n.snapshot }

// Status is the state of a member for operators and tests.
type Status struct {
	ID                           ID
	Role                         Role
	Leader                       ID
	Term                         uint64
	Vote                         ID
	First, Last, Commit, Applied uint64
	Members                      Members
	// Match is, on the leader, the highest log index known to be on each member's disk.
	Match map[ID]uint64
}

// Status returns the current state of the member.
func (n *Node) Status() Status {
	s := Status{ID: n.cfg.ID, Role: n.role, Leader: n.leader, Term: n.hardState.Term, Vote: n.hardState.Vote,
		First: n.log.prevIndex + 1, Last: n.log.lastIndex(), Commit: n.log.commit, Applied: n.log.applied, Members: n.Members()}
	if n.role == Leader {
		s.Match = make(map[ID]uint64, len(n.peers))
		for id := range n.peers {
			s.Match[id] = n.matchIndex(id)
		}
	}
	return s
}

// LogTerm returns the term of an entry, and false if the entry is compacted or beyond the end of the log.
func (n *Node) LogTerm(index uint64) (uint64, bool) { return n.log.term(index) }
