package consensus

import "time"

// Carried tells what became of proposals.
type Carried uint8

// Results of Propose. Held means that nothing was sent: the caller may try again or give up with certainty.
const (
	Held Carried = iota
	Appended
	Forwarded
)

// Propose adds entries to the log, or sends them to the leader. Refused ones are returned by Ready.
func (n *Node) Propose(now time.Time, entries []Entry) Carried {
	n.now = now
	switch {
	case n.role == Leader && n.transferee == 0:
		n.refused = append(n.refused, n.appendProposals(entries)...)
		return Appended
	case n.role == Leader || n.leader == 0:
		return Held
	}
	n.sendEarly(Message{Kind: KindPropose, To: n.leader, Entries: entries})
	return Forwarded
}

// stepPropose handles proposals that a member sent to the leader of m.Term. A refusal is no proof that the proposal is
// in no log: the network may have delivered an earlier copy.
func (n *Node) stepPropose(m *Message) {
	var refused []Refusal
	if n.role == Leader && m.Term == n.hard.Term {
		refused = n.appendProposals(m.Entries)
	} else {
		for i := range m.Entries {
			refused = append(refused, Refusal{ID: m.Entries[i].ID, Reason: "not the leader"})
		}
	}
	if len(refused) > 0 {
		n.sendEarly(Message{Kind: KindProposeReply, To: m.From, Refused: refused})
	}
}

func (n *Node) appendProposals(entries []Entry) (refused []Refusal) {
	pending := n.uncommittedBytes()
	for i := range entries {
		e := entries[i]
		refusal := Refusal{ID: e.ID}
		e.Members = nil
		switch {
		case n.transferee != 0:
			refusal.Reason = "the leader is handing over"
		case pending > n.cfg.MaxUncommitted:
			refusal.Reason = "too many proposals wait for a majority; try again"
		case e.size() > MaxEntryBytes:
			refusal.Reason, refusal.Invalid = "the command is too large", true
		case e.Kind == EntryMembers && e.Change != nil:
			refusal.Reason, refusal.Invalid = n.changeMembers(e)
		case e.Kind == EntryCommand:
			n.appendOwn(e)
			pending += e.size()
		default:
			refusal.Reason, refusal.Invalid = "malformed proposal", true
		}
		if refusal.Reason != "" {
			refused = append(refused, refusal)
		}
	}
	n.broadcast()
	return refused
}

// pendingRead is a read barrier that the leader has not answered yet.
type pendingRead struct {
	id    uint64
	from  ID
	round uint64
	index uint64
}

// Read asks for a read barrier. It reports false if no leader is known. The answer may be lost; the caller repeats the
// request with the same identifier.
func (n *Node) Read(now time.Time, id uint64) bool {
	n.now = now
	switch {
	case n.role == Leader:
		n.newReads = append(n.newReads, pendingRead{id: id, from: n.cfg.ID})
	case n.leader != 0:
		n.sendEarly(Message{Kind: KindRead, To: n.leader, Round: id})
	default:
		return false
	}
	return true
}

func (n *Node) stepRead(m *Message) {
	if n.role == Leader {
		n.newReads = append(n.newReads, pendingRead{id: m.Round, from: m.From})
	}
}

// startReads opens one heartbeat round for all new reads. The commit index is current only once the leader has
// committed an entry of its term.
func (n *Node) startReads() {
	if term, _ := n.log.term(n.log.commit); n.role != Leader || len(n.newReads) == 0 || term != n.hard.Term {
		return
	}
	n.round++
	for _, r := range n.newReads {
		r.round, r.index = n.round, n.log.commit
		n.reads = append(n.reads, r)
	}
	n.newReads = nil
	n.sendHeartbeats()
	n.answerReads()
}

// answerReads answers the reads whose round a majority has confirmed.
func (n *Node) answerReads() {
	members := n.Members()
	for len(n.reads) > 0 {
		r, confirmed := n.reads[0], 0
		for _, member := range members.List {
			p := n.peers[member.ID]
			if !member.Learner && (member.ID == n.cfg.ID || (p != nil && p.round >= r.round)) {
				confirmed++
			}
		}
		if confirmed < members.majority() {
			return
		}
		n.reads = n.reads[1:]
		if r.from == n.cfg.ID {
			n.answered = append(n.answered, Read{Round: r.id, Index: r.index})
		} else {
			n.sendEarly(Message{Kind: KindReadReply, To: r.from, Round: r.id, Index: r.index})
		}
	}
}

// Leadership is a leader and its term; ID is 0 if no leader is known.
type Leadership struct {
	ID   ID
	Term uint64
}

// Leader returns the known leader.
func (n *Node) Leader() Leadership { return Leadership{n.leader, n.hard.Term} }

// CanPropose reports whether Propose would hand proposals to a leader.
func (n *Node) CanPropose() bool { return n.leader != 0 && (n.role != Leader || n.transferee == 0) }
