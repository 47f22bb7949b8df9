package consensus

import (
	"slices"
	"time"
)

// Role is a member's part in its term.
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

// Restored is what a member read from its disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // contiguous; may begin before Snapshot.Index
}

// membersAt is a configuration and the entry that set it. A configuration is in force as soon as its entry is appended.
type membersAt struct {
	index uint64
	Members
}

// Node is one member. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  time.Time
	role Role

	hard, savedHard HardState
	leader          ID
	leaderSeen      time.Time // last message from the leader
	electionDue     time.Time
	heartbeatDue    time.Time
	quorumDue       time.Time
	votes           map[ID]bool

	log      raftLog
	snapshot Snapshot // newest snapshot on disk
	install  *Snapshot
	// incoming is the snapshot being received from incomingFrom; its Data grows.
	incoming     *Chunk
	incomingFrom ID
	members      []membersAt

	peers      map[ID]*progress
	transferee ID
	transferBy time.Time
	round      uint64
	newReads   []pendingRead // wait for the next heartbeat round
	reads      []pendingRead

	early    []Message
	messages []Message
	answered []Read
	refused  []Refusal
}

// New returns a member with what was read from disk.
func New(cfg Config, now time.Time, restored Restored) (*Node, error) {
	if cfg.ID == 0 {
		return nil, ErrNoIdentity
	}
	n := &Node{cfg: cfg.withDefaults(), now: now, hard: restored.HardState, savedHard: restored.HardState,
		snapshot: restored.Snapshot}
	snap := &n.snapshot
	entries := restored.Entries
	n.log = raftLog{prevIndex: snap.Index, prevTerm: snap.Term}
	if len(entries) > 0 {
		first, last := entries[0].Index, entries[len(entries)-1].Index
		if first > snap.Index+1 {
			return nil, ErrGap
		}
		// A log that does not hold the snapshot's last entry was made obsolete by a snapshot from the leader.
		agrees := last >= snap.Index && (first == snap.Index+1 || entries[snap.Index-first].Term == snap.Term)
		if snap.Index == 0 {
			agrees = first == 1
		}
		if agrees {
			n.log.entries = slices.Clone(entries)
			if first <= snap.Index {
				n.log.prevIndex, n.log.prevTerm = first-1, 0
				// The term before the first entry is unknown; the first entry becomes the boundary instead.
				n.log.compact(first)
			}
		}
	}
	// The founding snapshot has a term that no member has voted in.
	if term := max(snap.Term, n.log.lastTerm()); term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
	}
	n.log.stable = n.log.last()
	n.log.commit = min(max(n.hard.Commit, snap.Index), n.log.last())
	n.log.applied = snap.Index
	n.members = []membersAt{{snap.Index, snap.Members}}
	for i := range n.log.entries {
		if e := &n.log.entries[i]; e.Index > snap.Index {
			n.noteMembers(e)
		}
	}
	n.resetElection()
	return n, nil
}

func (n *Node) noteMembers(e *Entry) {
	if e.Kind == EntryMembers && e.Members != nil {
		n.members = append(n.members, membersAt{e.Index, *e.Members})
	}
}

// Members returns the configuration in force.
func (n *Node) Members() Members { return n.members[len(n.members)-1].Members }

// MembersAt returns the configuration after an index that is not compacted.
func (n *Node) MembersAt(index uint64) Members {
	for i := len(n.members) - 1; i > 0; i-- {
		if n.members[i].index <= index {
			return n.members[i].Members
		}
	}
	return n.members[0].Members
}

// Tick passes the time on. It should be called at least every quarter of a heartbeat.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !now.Before(n.electionDue) {
		n.leader = 0
		n.resetElection()
		if n.mayLead() {
			n.campaign(true, false)
		}
	}
}

// Step takes a message from another member. Messages for another identifier are dropped.
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
		n.follow(&m)
		switch m.Kind {
		case KindAppend:
			n.stepAppend(&m)
		case KindHeartbeat:
			n.commitTo(min(m.Commit, n.log.last()))
			n.send(Message{Kind: KindHeartbeatReply, To: m.From, Round: m.Round})
		case KindCommit:
			n.commitTo(min(m.Commit, n.log.last()))
		default:
			n.stepSnapshot(&m)
		}
	case KindAppendReply, KindHeartbeatReply, KindSnapshotReply:
		if p := n.peers[m.From]; n.role == Leader && p != nil {
			p.lastSeen = now
			n.stepReply(&m, p)
		}
	case KindPropose:
		n.stepPropose(&m)
	case KindProposeReply:
		n.refused = append(n.refused, m.Refused...)
	case KindRead:
		n.stepRead(&m)
	case KindReadReply:
		n.answered = append(n.answered, Read{Round: m.Round, Index: m.Index})
	case KindTimeoutNow:
		if n.mayLead() && m.From == n.leader {
			n.campaign(false, true)
		}
	}
}

// wellFormed rejects an Append whose entries do not follow one another.
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

// checkTerm compares the message's term with the own one and reports whether the message is to be handled.
func (n *Node) checkTerm(m *Message) bool {
	switch {
	case m.Term > n.hard.Term:
		if m.Kind == KindPreVote || (m.Kind == KindPreVoteReply && !m.Reject) {
			return true // the term is only asked for, nobody holds it yet
		}
		if m.Kind == KindVote && !m.Force && n.hearsLeader() {
			return false // a member that lost sight of a working leader must not disturb it
		}
		n.becomeFollower(m.Term, 0)
	case m.Term < n.hard.Term:
		switch m.Kind {
		case KindAppend, KindHeartbeat, KindSnapshot:
			// Tells a leader of an old term, or one that this member overtook, about the newer term.
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

func (n *Node) message(m Message) Message {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	return m
}

// send queues a message that is sent after the sync.
func (n *Node) send(m Message) { n.messages = append(n.messages, n.message(m)) }

// sendEarly queues a message that may be sent before the sync: one that promises nothing about the own disk. The term
// it names must be on disk.
func (n *Node) sendEarly(m Message) {
	if n.hard.Term != n.savedHard.Term || n.hard.Vote != n.savedHard.Vote {
		n.send(m)
		return
	}
	n.early = append(n.early, n.message(m))
}

// Ready returns what the caller must carry out. Advance must follow before any other call.
func (n *Node) Ready() Ready {
	n.startReads()
	r := Ready{Early: n.early, Messages: n.messages, Reads: n.answered, Refused: n.refused, Snapshot: n.install}
	n.early, n.messages, n.answered, n.refused = nil, nil, nil, nil
	r.Entries = n.log.after(n.log.stable, int(^uint(0)>>1))
	n.hard.Commit = n.log.commit
	if n.hard != n.savedHard {
		hard := n.hard
		r.HardState = &hard
	}
	r.MustSync = len(r.Entries) > 0 || n.hard.Term != n.savedHard.Term || n.hard.Vote != n.savedHard.Vote
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

// Advance tells that the last Ready was carried out.
func (n *Node) Advance(r *Ready) {
	if r.HardState != nil {
		n.savedHard = *r.HardState
	}
	if r.Snapshot != nil {
		n.snapshot, n.install = *r.Snapshot, nil
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
	n.afterApply()
}

// Compact replaces the newest snapshot by one that the caller has put on disk. Of the entries before it, at most keep
// with at most keepBytes stay for members that lag behind.
func (n *Node) Compact(s Snapshot, keep uint64, keepBytes int) {
	if s.Index <= n.snapshot.Index || s.Index > n.log.applied {
		return
	}
	n.snapshot = s
	for len(n.members) > 1 && n.members[1].index <= s.Index {
		n.members = n.members[1:]
	}
	last := s.Index
	for ; last > n.log.prevIndex && s.Index-last < keep && keepBytes > 0; last-- {
		keepBytes -= n.log.entries[last-n.log.prevIndex-1].size()
	}
	n.log.compact(last)
}

// SnapshotAt returns a snapshot of the applied state without its data.
func (n *Node) SnapshotAt() Snapshot {
	term, _ := n.log.term(n.log.applied)
	return Snapshot{Index: n.log.applied, Term: term, Members: n.MembersAt(n.log.applied)}
}

// EntriesAfter returns committed entries after index, at most limit bytes but at least one, and false if they are
// compacted.
func (n *Node) EntriesAfter(index uint64, limit int) ([]Entry, bool) {
	if index < n.log.prevIndex {
		return nil, false
	}
	entries := n.log.after(index, limit)
	for len(entries) > 0 && entries[len(entries)-1].Index > n.log.applied {
		entries = entries[:len(entries)-1]
	}
	return entries, true
}

// NewestSnapshot returns the newest snapshot on disk.
func (n *Node) NewestSnapshot() Snapshot { return n.snapshot }

// Status is a view of a member for operators and tests.
type Status struct {
	ID                           ID
	Role                         Role
	Leader                       ID
	Term                         uint64
	Vote                         ID
	First, Last, Commit, Applied uint64
	Members                      Members
	// Match holds, on the leader, how much of the log each member is known to hold.
	Match map[ID]uint64
}

// Status returns a view of the member.
func (n *Node) Status() Status {
	s := Status{ID: n.cfg.ID, Role: n.role, Leader: n.leader, Term: n.hard.Term, Vote: n.hard.Vote,
		First: n.log.prevIndex + 1, Last: n.log.last(), Commit: n.log.commit, Applied: n.log.applied, Members: n.Members()}
	if n.role == Leader {
		s.Match = make(map[ID]uint64, len(n.peers))
		for id := range n.peers {
			s.Match[id] = n.match(id)
		}
	}
	return s
}

// LogTerm returns the term of an entry, and false if the entry is compacted or beyond the end of the log.
func (n *Node) LogTerm(index uint64) (uint64, bool) { return n.log.term(index) }
