package consensus

import (
	"slices"
	"time"
)

// progress is the leader's record of the replication to another member.
type progress struct {
	match            uint64 // highest entry known to be on the member's disk
	next             uint64 // next entry to send
	probing          bool   // the highest matching entry is unknown: one message at a time
	probeSent        bool   // a probe was sent and not answered
	inFlight         []inFlightBatch
	inFlightBytes    int       // total size of inFlight
	commitSent       uint64    // highest commit index sent
	durableSent      uint64    // highest durable index sent
	sentAt           time.Time // of the last Append or Chunk
	lastReply        time.Time // initially, for a voter, when this record was created
	ackedRound       uint64    // highest heartbeat round acknowledged
	snapshotTransfer *snapshotTransfer
}

type inFlightBatch struct {
	last  uint64
	bytes int
}

func (p *progress) probe(next uint64) {
	p.next, p.probing, p.probeSent = max(next, p.match+1), true, false
	p.inFlight, p.inFlightBytes = nil, 0
}

// releaseAcknowledged removes acknowledged batches from inFlight.
func (p *progress) releaseAcknowledged() {
	done := 0
	for done < len(p.inFlight) && p.inFlight[done].last <= p.match {
		p.inFlightBytes -= p.inFlight[done].bytes
		done++
	}
	p.inFlight = p.inFlight[done:]
}

// matchIndex returns the highest log index known to be on the member's disk.
func (n *Node) matchIndex(id ID) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// appendEntry appends an entry of the current term to the leader's log.
func (n *Node) appendEntry(e Entry) {
	e.Index, e.Term = n.log.lastIndex()+1, n.hardState.Term
	n.log.entries = append(n.log.entries, e)
	n.recordConfiguration(&e)
	if e.Kind == EntryMembers {
		n.syncPeers()
	}
}

// uncommittedBytes returns the size of the entries above the commit index. It stops counting once the sum exceeds
// MaxUncommittedBytes.
func (n *Node) uncommittedBytes() int {
	size := 0
	for i := int(n.log.commit - n.log.prevIndex); i < len(n.log.entries) && size <= n.cfg.MaxUncommittedBytes; i++ {
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

// replicate sends the entries or the snapshot that the member lacks, within the limit of bytes in flight.
func (n *Node) replicate(id ID, p *progress) {
	for p.snapshotTransfer == nil && !(p.probing && p.probeSent) && (p.probing || p.inFlightBytes < n.cfg.MaxInFlightBytes) {
		prevTerm, ok := n.log.term(p.next - 1)
		if !ok {
			n.startSnapshotTransfer(id, p)
			return
		}
		entries := n.log.entriesAfter(p.next-1, n.cfg.MaxBatchBytes)
		if len(entries) == 0 && !p.probing {
			if commit := min(n.log.commit, p.match); p.commitSent < commit || p.durableSent < min(n.durable, commit) {
				n.sendEarly(n.announceCommit(p, Message{Kind: KindCommit, To: id}, commit))
			}
			return
		}
		n.sendEarly(n.commitHeader(Message{Kind: KindAppend, To: id, Index: p.next - 1, LogTerm: prevTerm, Entries: entries}, n.log.commit))
		reached := min(n.log.commit, p.next-1+uint64(len(entries)))
		p.sentAt, p.commitSent, p.durableSent = n.now, max(p.commitSent, reached), max(p.durableSent, min(n.durable, reached))
		if p.probing {
			p.probeSent = true
		} else if len(entries) > 0 {
			size := totalSize(entries)
			p.next += uint64(len(entries))
			p.inFlightBytes += size
			p.inFlight = append(p.inFlight, inFlightBatch{p.next - 1, size})
		}
	}
}

func (n *Node) sendHeartbeats() {
	n.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval)
	for _, member := range n.Members().List {
		if p := n.peers[member.ID]; p != nil {
			n.sendEarly(n.announceCommit(p, Message{Kind: KindHeartbeat, To: member.ID, Round: n.heartbeatRound}, min(n.log.commit, p.match)))
		}
	}
}

// stepAppend handles entries from the leader. The reply is sent after the sync, so it acknowledges entries on disk.
func (n *Node) stepAppend(m *Message) {
	reply := Message{Kind: KindAppendReply, To: m.From}
	switch {
	case m.Index < n.log.commit:
		reply.Index = n.log.commit
	case n.log.matches(m.Index, m.LogTerm):
		reply.Index = n.appendFrom(m.Index, m.Entries)
		n.acceptCommit(m, reply.Index)
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.Hint = n.log.possibleMatch(min(m.Index, n.log.lastIndex()), m.LogTerm)
		reply.LogTerm, _ = n.log.term(reply.Hint)
	}
	n.send(reply)
}

// appendFrom appends entries after prev and returns the highest index known to match the leader's log.
func (n *Node) appendFrom(prev uint64, entries []Entry) uint64 {
	for i := range entries {
		e := &entries[i]
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.log.truncate(e.Index)
			for len(n.configurations) > 1 && n.configurations[len(n.configurations)-1].index >= e.Index {
				n.configurations = n.configurations[:len(n.configurations)-1]
			}
		}
		n.log.entries = append(n.log.entries, entries[i:]...)
		for j := i; j < len(entries); j++ {
			n.recordConfiguration(&entries[j])
		}
		break
	}
	return prev + uint64(len(entries))
}

// stepReply handles the replies of a member to its leader.
func (n *Node) stepReply(m *Message, p *progress) {
	switch m.Kind {
	case KindHeartbeatReply:
		p.ackedRound = max(p.ackedRound, m.Round)
		n.answerReads()
		if n.now.Sub(p.sentAt) >= 2*n.cfg.HeartbeatInterval {
			// The member replies to heartbeats but did not acknowledge the last message: that message or its reply was lost.
			switch {
			case p.snapshotTransfer != nil:
				n.sendChunk(m.From, p)
			case p.match < n.log.lastIndex():
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
		if m.Index > n.log.lastIndex() {
			return
		}
		p.match = max(p.match, m.Index)
		if p.snapshotTransfer != nil && p.match >= p.snapshotTransfer.snapshot.Index {
			p.snapshotTransfer = nil
			p.probe(p.match + 1)
		}
		if p.probing && m.Index >= p.next-1 {
			p.probing, p.probeSent = false, false
		}
		p.next = max(p.next, p.match+1)
		p.releaseAcknowledged()
		n.maybeCommit()
		n.replicate(m.From, p)
		n.maybeTransferLeadership()
	}
}

// maybeCommit raises the commit index to the highest entry that a majority of voters has on disk. Only an entry of the
// current term may be counted: an earlier one can still be overwritten by another leader.
func (n *Node) maybeCommit() {
	members := n.Members()
	matches := make([]uint64, 0, 8)
	for _, member := range members.List {
		if !member.Learner {
			matches = append(matches, n.matchIndex(member.ID))
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-members.majority()]
	if term, ok := n.log.term(index); index > n.log.commit && ok && term == n.hardState.Term {
		n.log.commit = index
		n.raiseDurable()
		n.broadcast()
	}
}
