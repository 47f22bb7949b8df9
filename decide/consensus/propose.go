package consensus

import "time"

// ProposeResult is the result of Propose.
type ProposeResult uint8

// Results of Propose. NotSent means that this call neither appended nor sent the proposals, so the caller may retry or
// fail them safely.
const (
	NotSent ProposeResult = iota
	Appended
	Forwarded
)

// Propose appends entries to the log, or forwards them to the leader. Ready returns those that the leader refused.
func (n *Node) Propose(now time.Time, entries []Entry) ProposeResult {
	n.now = now
	switch {
	case n.role == Leader && n.transferee == 0:
		n.refusals = append(n.refusals, n.appendProposals(entries)...)
		return Appended
	case n.role == Leader || n.leader == 0:
		return NotSent
	}
	n.sendEarly(Message{Kind: KindPropose, To: n.leader, Entries: entries})
	return Forwarded
}

// stepPropose handles proposals that a member sent to the leader of m.Term. A refusal does not prove that the proposal
// is in no log: the network may have delivered an earlier copy.
func (n *Node) stepPropose(m *Message) {
	var refused []Refusal
	if n.role == Leader && m.Term == n.hardState.Term {
		refused = n.appendProposals(m.Entries)
	} else {
		for i := range m.Entries {
			refused = append(refused, Refusal{ID: m.Entries[i].ID, Reason: "not the leader"})
		}
	}
	if len(refused) > 0 {
		n.sendEarly(Message{Kind: KindProposeReply, To: m.From, Refusals: refused})
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
		case pending > n.cfg.MaxUncommittedBytes:
			refusal.Reason = "too many proposals wait for a majority; try again"
		case e.size() > MaxEntryBytes:
			refusal.Reason, refusal.Invalid = "the command is too large", true
		case e.Kind == EntryMembers && e.Change != nil:
			refusal.Reason, refusal.Invalid = n.changeMembers(e)
		case e.Kind == EntryCommand:
			n.appendEntry(e)
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

// pendingRead is a read barrier that the leader has not confirmed yet.
type pendingRead struct {
	id    uint64
	from  ID
	round uint64
	index uint64
}

// Read requests a read barrier. It returns false if no leader is known. The reply may be lost; the caller then repeats
// the request with the same identifier.
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

// startReads starts one heartbeat round for all new reads. It waits until the leader has committed an entry of its term,
// since its commit index may be outdated before that.
func (n *Node) startReads() {
	if term, _ := n.log.term(n.log.commit); n.role != Leader || len(n.newReads) == 0 || term != n.hardState.Term {
		return
	}
	n.heartbeatRound++
	for _, r := range n.newReads {
		r.round, r.index = n.heartbeatRound, n.log.commit
		n.pendingReads = append(n.pendingReads, r)
	}
	n.newReads = nil
	n.sendHeartbeats()
	n.answerReads()
}

// answerReads completes the reads whose heartbeat round a majority has acknowledged.
func (n *Node) answerReads() {
	members := n.Members()
	for len(n.pendingReads) > 0 {
		r, confirmed := n.pendingReads[0], 0
		for _, member := range members.List {
			p := n.peers[member.ID]
			if !member.Learner && (member.ID == n.cfg.ID || (p != nil && p.ackedRound >= r.round)) {
				confirmed++
			}
		}
		if confirmed < members.majority() {
			return
		}
		n.pendingReads = n.pendingReads[1:]
		if r.from == n.cfg.ID {
			n.completedReads = append(n.completedReads, Read{ID: r.id, Index: r.index})
		} else {
			n.sendEarly(Message{Kind: KindReadReply, To: r.from, Round: r.id, Index: r.index})
		}
	}
}

// Leadership is the leader of a term; ID is 0 if it is not known.
type Leadership struct {
	ID   ID
	Term uint64
}

// Leader returns the current term and its leader, if known.
func (n *Node) Leader() Leadership { return Leadership{n.leader, n.hardState.Term} }

// CanPropose reports whether Propose would append or forward proposals instead of returning NotSent.
func (n *Node) CanPropose() bool { return n.leader != 0 && (n.role != Leader || n.transferee == 0) }
