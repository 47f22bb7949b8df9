package consensus

import "slices"

// An acknowledged change must survive the loss of a number of disks, even if everything else loses power at the same
// moment: what is left has to elect a leader by itself, and that leader has to have the change. A committed entry is on a
// majority of voters, and so on one member at least of each majority that can elect a leader. What remains is whether
// enough voters come back for such a majority, under each configuration that may be the newest one on a remaining disk.

// lossesBorne returns how many disks may be lost at once, whichever of the configurations is the newest one on the remaining
// disks. It is negative if the group cannot elect a leader even now. running reports whether a member is known to run.
func lossesBorne(configurations []Members, running func(ID) bool) int {
	departed := func(id ID) bool {
		// The configuration that takes a departed member out no longer names its successor, so an earlier one has to.
		return slices.ContainsFunc(configurations, func(m Members) bool { return m.hasDeparted(id, running) })
	}
	borne := configurations[0].spareVoters(departed)
	for _, m := range configurations[1:] {
		borne = min(borne, m.spareVoters(departed))
	}
	return borne
}

// spareVoters returns how many of the voters that have not departed are left over after a majority of all voters. A voter that is
// silent for another reason either comes back with its disk or is one of the losses, so it counts.
func (m Members) spareVoters(departed func(ID) bool) int {
	remaining := 0
	for i := range m.List {
		if !m.List[i].Learner && !departed(m.List[i].ID) {
			remaining++
		}
	}
	return remaining - m.majority()
}

// hasDeparted reports whether a member has gone for good as far as the configuration knows: a running member replaces it.
func (m Members) hasDeparted(id ID, running func(ID) bool) bool {
	return slices.ContainsFunc(m.List, func(other Member) bool { return other.Replaces == id && running(other.ID) })
}

// possibleConfigurations returns those that may be the newest one on the disk of a voter whose log has all committed
// entries: the last committed one and those after it.
func (n *Node) possibleConfigurations() []Members {
	var possible []Members
	for i, c := range n.configurations {
		if i+1 == len(n.configurations) || n.configurations[i+1].index > n.log.commit {
			possible = append(possible, c.Members)
		}
	}
	return possible
}

// isRunning reports whether the member is this one or has replied to this leader recently.
func (n *Node) isRunning(id ID) bool {
	p := n.peers[id]
	return id == n.cfg.ID || p != nil && n.now.Sub(p.lastReply) <= n.cfg.ElectionTimeout
}

// Durable returns the index up to which committed entries may be acknowledged: they survive the tolerated losses. The
// leader determines it, and the other members learn it from the leader. It never falls, since later configurations bear the
// tolerated losses, too (see checkVoters).
func (n *Node) Durable() uint64 { return n.durable }

// raiseDurable raises the durable index of the leader to its commit index if the tolerated losses are borne at present, and
// reports whether that is news.
func (n *Node) raiseDurable() bool {
	if n.durable >= n.log.commit || lossesBorne(n.possibleConfigurations(), n.isRunning) < n.cfg.ToleratedLosses {
		return false
	}
	n.durable = n.log.commit
	return true
}

// commitHeader sets the commit index that a message announces, and how many entries before it are not durable.
func (n *Node) commitHeader(m Message, commit uint64) Message {
	m.Commit, m.NotDurable = commit, commit-min(commit, n.durable)
	return m
}

// announceCommit is commitHeader for a message to a member that has all entries up to commit.
func (n *Node) announceCommit(p *progress, m Message, commit uint64) Message {
	p.commitSent, p.durableSent = max(p.commitSent, commit), max(p.durableSent, min(n.durable, commit))
	return n.commitHeader(m, commit)
}

// acceptCommit adopts the commit index and the durable index of a message from the leader. It may not exceed matching, the
// highest entry known to match the leader's log.
func (n *Node) acceptCommit(m *Message, matching uint64) {
	n.commitTo(min(m.Commit, matching))
	n.durable = max(n.durable, min(m.Commit-min(m.Commit, m.NotDurable), matching))
}
