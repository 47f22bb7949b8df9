package consensus

import "time"

func (n *Node) resetElection() {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDue = n.now.Add(n.cfg.ElectionTimeout + spread)
}

// resetCampaign sets when an election without a result is tried again. That is sooner than for a follower: the leader is
// known to be lost, and only an answer of the others is awaited.
func (n *Node) resetCampaign() {
	least := n.cfg.ElectionTimeout / 4
	n.electionDue = n.now.Add(least + time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout-least))))
}

// mayLead reports whether the member votes in the configuration in force.
func (n *Node) mayLead() bool { return n.Members().IsVoter(n.cfg.ID) && n.install == nil }

// hearsLeader reports whether the leader spoke within the shortest election timeout, or the member leads itself. A
// leader that loses its majority steps down, so the answer of a leader is current.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || (n.leader != 0 && n.now.Sub(n.leaderSeen) < n.cfg.ElectionTimeout)
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
	}
	if n.role != Follower {
		n.resetElection()
	}
	n.role, n.leader = Follower, leader
	n.peers, n.votes, n.transferee = nil, nil, 0
	n.reads, n.newReads = nil, nil
}

// follow accepts the sender as leader of the current term.
func (n *Node) follow(m *Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderSeen = n.now
	n.resetElection()
}

// campaign asks for votes. A pre-vote asks without raising the term, so that a member that cannot win does not disturb
// the others. force is set when the leader asked for the election.
func (n *Node) campaign(pre, force bool) {
	n.leader = 0
	n.votes = map[ID]bool{n.cfg.ID: true}
	kind, term := KindPreVote, n.hard.Term+1
	if pre {
		n.role = PreCandidate
	} else {
		n.role, kind = Candidate, KindVote
		n.hard.Term, n.hard.Vote = term, n.cfg.ID
	}
	n.resetCampaign()
	if n.countVotes() {
		return
	}
	for _, member := range n.Members().List {
		if member.ID != n.cfg.ID && !member.Learner {
			n.send(Message{Kind: kind, To: member.ID, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
		}
	}
}

func (n *Node) stepVote(m *Message) {
	pre := m.Kind == KindPreVote
	grant := n.log.upToDate(m.Index, m.LogTerm)
	kind, term := KindVoteReply, n.hard.Term
	if pre {
		kind = KindPreVoteReply
		grant = grant && m.Term > n.hard.Term && !n.hearsLeader()
		if grant {
			term = m.Term
		}
	} else {
		grant = grant && n.role != Leader && (n.hard.Vote == 0 || n.hard.Vote == m.From)
		if grant {
			n.hard.Vote = m.From
			n.resetElection()
		}
	}
	n.send(Message{Kind: kind, To: m.From, Term: term, Reject: !grant})
}

func (n *Node) stepVoteReply(m *Message) {
	pre := m.Kind == KindPreVoteReply
	switch {
	case pre && (n.role != PreCandidate || (!m.Reject && m.Term != n.hard.Term+1)):
		return
	case !pre && n.role != Candidate:
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// countVotes moves on to the next stage if a majority granted its votes.
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
	n.heartbeatDue = n.now.Add(n.cfg.Heartbeat)
	n.quorumDue = n.now.Add(n.cfg.ElectionTimeout)
	// Entries of earlier terms are committed only together with one of the current term.
	n.appendOwn(Entry{Kind: EntryNoop})
	n.broadcast()
}

// tickLeader sends heartbeats, steps down without a majority and moves a transfer or a repair forward.
func (n *Node) tickLeader() {
	if !n.now.Before(n.quorumDue) {
		n.quorumDue = n.now.Add(n.cfg.ElectionTimeout)
		members := n.Members()
		if n.activeVoters(members) < members.majority() {
			n.becomeFollower(n.hard.Term, 0)
			return
		}
	}
	if n.transferee != 0 && !n.now.Before(n.transferBy) {
		n.transferee = 0
	}
	if !n.now.Before(n.heartbeatDue) {
		n.sendHeartbeats()
		n.promoteLearners()
	}
}

// activeVoters counts the voters that answered within the last election timeout.
func (n *Node) activeVoters(members Members) int {
	active := 0
	for _, member := range members.List {
		if member.Learner {
			continue
		}
		p := n.peers[member.ID]
		if member.ID == n.cfg.ID || (p != nil && n.now.Sub(p.lastSeen) <= n.cfg.ElectionTimeout) {
			active++
		}
	}
	return active
}

// TransferLeadership asks the best voter, or the given one, to take over. It reports whether a transfer started. New
// proposals are refused until it ends, at most one election timeout later.
func (n *Node) TransferLeadership(now time.Time, to ID) bool {
	n.now = now
	if n.role != Leader {
		return false
	}
	members := n.Members()
	for _, member := range members.List {
		p := n.peers[member.ID]
		if to != 0 || member.Learner || p == nil || n.now.Sub(p.lastSeen) > n.cfg.ElectionTimeout {
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
	n.transferBy = n.now.Add(n.cfg.ElectionTimeout)
	n.maybeTransfer()
	return true
}

// maybeTransfer starts the successor's election once it holds the whole log.
func (n *Node) maybeTransfer() {
	if p := n.peers[n.transferee]; p != nil && p.match == n.log.last() {
		n.sendEarly(Message{Kind: KindTimeoutNow, To: n.transferee})
	}
}
