package consensus

import (
	"slices"
	"time"
)

// progress is what the leader knows about another member.
type progress struct {
	match    uint64 // highest entry known to be on the member's disk
	next     uint64 // next entry to send
	probing  bool   // the matching point is unknown: one message at a time
	waiting  bool   // a probe is under way
	inFlight []batch
	bytes    int    // sum over inFlight
	told     uint64 // commit index last sent
	sentAt   time.Time
	lastSeen time.Time
	round    uint64 // highest heartbeat round answered
	transfer *transfer
}

type batch struct {
	last  uint64
	bytes int
}

func (p *progress) probe(next uint64) {
	p.next, p.probing, p.waiting = max(next, p.match+1), true, false
	p.inFlight, p.bytes = nil, 0
}

// release forgets the batches that the member has acknowledged.
func (p *progress) release() {
	done := 0
	for done < len(p.inFlight) && p.inFlight[done].last <= p.match {
		p.bytes -= p.inFlight[done].bytes
		done++
	}
	p.inFlight = p.inFlight[done:]
}

// match returns how much of the log is known to be on the member's disk.
func (n *Node) match(id ID) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// appendOwn adds an entry to the leader's log.
func (n *Node) appendOwn(e Entry) {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.entries = append(n.log.entries, e)
	n.noteMembers(&e)
	if e.Kind == EntryMembers {
		n.syncPeers()
	}
}

// uncommittedBytes returns the size of the entries that the leader holds above the commit index, or a value above the
// limit as soon as it is exceeded.
func (n *Node) uncommittedBytes() int {
	size := 0
	for i := int(n.log.commit - n.log.prevIndex); i < len(n.log.entries) && size <= n.cfg.MaxUncommitted; i++ {
		size += n.log.entries[i].size()
	}
	return size
}

func (n *Node) broadcast() {
	for _, member := range n.Members().List {
		if p := n.peers[member.ID]; p != nil {
			n.replicate(member.ID, p)
		}
	}
}

// replicate sends what the member lacks, within the limit of bytes in flight.
func (n *Node) replicate(id ID, p *progress) {
	for p.transfer == nil && !(p.probing && p.waiting) && (p.probing || p.bytes < n.cfg.MaxInFlightBytes) {
		prevTerm, ok := n.log.term(p.next - 1)
		if !ok {
			n.startTransfer(id, p)
			return
		}
		entries := n.log.after(p.next-1, n.cfg.MaxBatchBytes)
		if len(entries) == 0 && !p.probing {
			if commit := min(n.log.commit, p.match); p.told < commit {
				p.told = commit
				n.sendEarly(Message{Kind: KindCommit, To: id, Commit: commit})
			}
			return
		}
		n.sendEarly(Message{Kind: KindAppend, To: id, Index: p.next - 1, LogTerm: prevTerm, Commit: n.log.commit, Entries: entries})
		p.sentAt, p.told = n.now, max(p.told, min(n.log.commit, p.next-1+uint64(len(entries))))
		if p.probing {
			p.waiting = true
		} else if len(entries) > 0 {
			size := sizeOf(entries)
			p.next += uint64(len(entries))
			p.bytes += size
			p.inFlight = append(p.inFlight, batch{p.next - 1, size})
		}
	}
}

func (n *Node) sendHeartbeats() {
	n.heartbeatDue = n.now.Add(n.cfg.Heartbeat)
	for _, member := range n.Members().List {
		if p := n.peers[member.ID]; p != nil {
			commit := min(n.log.commit, p.match)
			p.told = max(p.told, commit)
			n.sendEarly(Message{Kind: KindHeartbeat, To: member.ID, Commit: commit, Round: n.round})
		}
	}
}

// stepAppend handles entries from the leader. The reply is sent after the sync, so it acknowledges what is on disk.
func (n *Node) stepAppend(m *Message) {
	reply := Message{Kind: KindAppendReply, To: m.From}
	switch {
	case m.Index < n.log.commit:
		reply.Index = n.log.commit
	case n.log.matches(m.Index, m.LogTerm):
		reply.Index = n.appendFrom(m.Index, m.Entries)
		n.commitTo(min(m.Commit, reply.Index))
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.Hint = n.log.possibleMatch(min(m.Index, n.log.last()), m.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.Hint)
	}
	n.send(reply)
}

// appendFrom adds entries after prev and returns the last index that is known to match the leader's log.
func (n *Node) appendFrom(prev uint64, entries []Entry) uint64 {
	for i := range entries {
		e := &entries[i]
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			for len(n.members) > 1 && n.members[len(n.members)-1].index >= e.Index {
				n.members = n.members[:len(n.members)-1]
			}
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		for j := i; j < len(entries); j++ {
			n.noteMembers(&entries[j])
		}
		break
	}
	return prev + uint64(len(entries))
}

// stepReply handles the answers of a member to its leader.
func (n *Node) stepReply(m *Message, p *progress) {
	switch m.Kind {
	case KindHeartbeatReply:
		p.round = max(p.round, m.Round)
		n.answerReads()
		if n.now.Sub(p.sentAt) >= 2*n.cfg.Heartbeat {
			// Nothing was acknowledged although the member answers: the message or its reply was lost.
			switch {
			case p.transfer != nil:
				n.sendChunk(m.From, p)
			case p.match < n.log.last():
				p.probe(p.match + 1)
			}
		}
		n.replicate(m.From, p)
	case KindSnapshotReply:
		n.stepSnapshotReply(m, p)
	case KindAppendReply:
		if m.Reject {
			if m.Index > p.match && (!p.probing || m.Index == p.next-1) {
				p.probe(n.log.possibleMatch(m.Hint, m.LogTerm) + 1)
				n.replicate(m.From, p)
			}
			return
		}
		if m.Index > n.log.last() {
			return
		}
		p.match = max(p.match, m.Index)
		if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
			p.transfer = nil
			p.probe(p.match + 1)
		}
		if p.probing && m.Index >= p.next-1 {
			p.probing, p.waiting = false, false
		}
		p.next = max(p.next, p.match+1)
		p.release()
		n.maybeCommit()
		n.replicate(m.From, p)
		n.maybeTransfer()
	}
}

// maybeCommit raises the commit index to what a majority of voters has on disk. Only an entry of the current term may
// be counted: an earlier one can still be replaced by another leader.
func (n *Node) maybeCommit() {
	members := n.Members()
	matches := make([]uint64, 0, 8)
	for _, member := range members.List {
		if !member.Learner {
			matches = append(matches, n.match(member.ID))
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-members.majority()]
	if term, ok := n.log.term(index); index > n.log.commit && ok && term == n.hard.Term {
		n.log.commit = index
		n.broadcast()
	}
}
