package consensus

import (
	"slices"
	"time"
)

func (n *Node) resetElectionDeadline() {
	jitter := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = n.now.Add(n.cfg.ElectionTimeout + jitter)
}

// resetCampaignDeadline sets when an election without a result is retried. The time is shorter than a follower's election
// timeout, because the leader is already known to be lost and only the replies of the other voters are pending.
func (n *Node) resetCampaignDeadline() {
	minimum := n.cfg.ElectionTimeout / 4
	n.electionDeadline = n.now.Add(minimum + time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout-minimum))))
}

// canCampaign reports whether the member is a voter and has no snapshot to install. A voter that knows of its demotion as
// long as that is not committed counts as well: it may be the only one left that the others can elect, as its log is newer
// than theirs. Its own vote counts by its newest configuration only, so it does not count then.
func (n *Node) canCampaign() bool {
	isVoter := func(m Members) bool { return m.IsVoter(n.cfg.ID) }
	return n.pendingInstall == nil && slices.ContainsFunc(n.possibleConfigurations(), isVoter)
}

// hasCurrentLeader reports whether a message from the leader arrived within the minimum election timeout, or the member
// itself is the leader. A leader that loses its majority steps down, so being leader is sufficient.
func (n *Node) hasCurrentLeader() bool {
	return n.role == Leader || (n.leader != 0 && n.now.Sub(n.lastLeaderContact) < n.cfg.ElectionTimeout)
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, 0
	}
	if n.role != Follower {
		n.resetElectionDeadline()
	}
	n.role, n.leader = Follower, leader
	n.peers, n.votes, n.transferee = nil, nil, 0
	n.pendingReads, n.newReads = nil, nil
}

// acceptLeader accepts the sender as leader of the current term.
func (n *Node) acceptLeader(m *Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
}

// campaign requests votes. A pre-vote (pre) does not raise the term, so that a member that cannot win does not disrupt
// the group. force is true if the leader requested the election in order to transfer its leadership.
func (n *Node) campaign(pre, force bool) {
	n.leader = 0
	n.votes = map[ID]bool{n.cfg.ID: true}
	kind, term := KindPreVote, n.hardState.Term+1
	if pre {
		n.role = PreCandidate
	} else {
		n.role, kind = Candidate, KindVote
		n.hardState.Term, n.hardState.Vote = term, n.cfg.ID
	}
	n.resetCampaignDeadline()
	if n.countVotes() {
		return
	}
	for _, member := range n.Members().List {
		if member.ID != n.cfg.ID && !member.Learner {
			n.send(Message{Kind: kind, To: member.ID, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
				LeadershipTransfer: force})
		}
	}
}

func (n *Node) stepVote(m *Message) {
	pre := m.Kind == KindPreVote
	grant := n.log.upToDate(m.Index, m.LogTerm)
	kind, term := KindVoteReply, n.hardState.Term
	if pre {
		kind = KindPreVoteReply
		grant = grant && m.Term > n.hardState.Term && !n.hasCurrentLeader()
		if grant {
			term = m.Term
		}
	} else {
		grant = grant && n.role != Leader && (n.hardState.Vote == 0 || n.hardState.Vote == m.From)
		if grant {
			n.hardState.Vote = m.From
			n.resetElectionDeadline()
		}
	}
	n.send(Message{Kind: kind, To: m.From, Term: term, Reject: !grant})
}

func (n *Node) stepVoteReply(m *Message) {
	pre := m.Kind == KindPreVoteReply
	switch {
	case pre && (n.role != PreCandidate || (!m.Reject && m.Term != n.hardState.Term+1)):
		return
	case !pre && n.role != Candidate:
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// countVotes starts the election after a won pre-vote, or becomes leader, if a majority granted its votes.
func (n *Node) countVotes() bool {
	members, granted := n.Members(), 0
	for id, grant := range n.votes {
		if grant && members.IsVoter(id) {
			granted++
		}
	}
	if granted < members.majority() {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(false, false)
	} else {
		n.becomeLeader()
	}
	return true
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.votes = nil
	n.peers = make(map[ID]*progress)
	n.syncPeers()
	n.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval)
	n.nextQuorumCheck = n.now.Add(n.cfg.ElectionTimeout)
	// Entries of earlier terms can be committed only together with one of the current term.
	n.appendEntry(Entry{Kind: EntryNoop})
	n.broadcast()
}

// tickLeader sends heartbeats, steps down if a majority does not reply, ends a leadership transfer that timed out and
// advances replacements.
func (n *Node) tickLeader() {
	if !n.now.Before(n.nextQuorumCheck) {
		n.nextQuorumCheck = n.now.Add(n.cfg.ElectionTimeout)
		members := n.Members()
		if n.activeVoters(members) < members.majority() {
			n.becomeFollower(n.hardState.Term, 0)
			return
		}
	}
	if n.transferee != 0 && !n.now.Before(n.transferDeadline) {
		n.transferee = 0
	}
	if !n.now.Before(n.nextHeartbeat) {
		n.sendHeartbeats()
		n.advanceReplacements()
		if n.raiseDurable() {
			n.broadcast()
		}
	}
}

// activeVoters returns the number of voters that replied within the last election timeout, including this member.
func (n *Node) activeVoters(members Members) int {
	active := 0
	for _, member := range members.List {
		if !member.Learner && n.isRunning(member.ID) {
			active++
		}
	}
	return active
}

// TransferLeadership transfers the leadership to the given voter, or if to is 0 to the one with the most complete log. It
// reports whether a transfer started. New proposals are refused until it ends, at most one election timeout later.
func (n *Node) TransferLeadership(now time.Time, to ID) bool {
	n.now = now
	if n.role != Leader {
		return false
	}
	members := n.Members()
	for _, member := range members.List {
		p := n.peers[member.ID]
		if to != 0 || member.Learner || p == nil || n.now.Sub(p.lastReply) > n.cfg.ElectionTimeout {
			continue
		}
		if best := n.peers[n.transferee]; best == nil || p.match > best.match {
			n.transferee = member.ID
		}
	}
	if to != 0 && to != n.cfg.ID && members.IsVoter(to) {
		n.transferee = to
	}
	if n.transferee == 0 {
		return false
	}
	n.transferDeadline = n.now.Add(n.cfg.ElectionTimeout)
	n.maybeTransferLeadership()
	return true
}

// maybeTransferLeadership requests that the transferee start an election once it has the whole log.
func (n *Node) maybeTransferLeadership() {
	if p := n.peers[n.transferee]; p != nil && p.match == n.log.lastIndex() {
		n.sendEarly(Message{Kind: KindTimeoutNow, To: n.transferee})
	}
}
