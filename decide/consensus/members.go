package consensus

import (
	"fmt"
	"slices"
	"time"
)

// Change asks for one change of the configuration; exactly one field is set.
type Change struct {
	Add     *Member `cbor:"1,keyasint,omitempty"` // enters as a learner, whatever Learner says
	Promote ID      `cbor:"2,keyasint,omitempty"`
	Remove  ID      `cbor:"3,keyasint,omitempty"`
	Move    *Member `cbor:"4,keyasint,omitempty"` // gives the member with this ID a new address
}

// catchUpEntries is how far a learner may be behind the commit index when it becomes a voter. New entries keep
// arriving, so it cannot be 0; the rest follows within one batch.
const catchUpEntries = 64

// with returns the configuration after the change.
func (m Members) with(c Change) (Members, error) {
	next := Members{List: slices.Clone(m.List), Removed: slices.Clone(m.Removed)}
	switch {
	case c.Add != nil:
		add := *c.Add
		add.Learner = true
		switch {
		case add.ID == 0:
			return m, fmt.Errorf("member %q has no identifier; start it once to create its data folder", add.Address)
		case slices.Contains(m.Removed, add.ID):
			return m, fmt.Errorf("member %x was removed and cannot return; delete its data folder and add the new identifier", add.ID)
		case m.Find(add.ID) != nil:
			return m, fmt.Errorf("member %x is already in the group", add.ID)
		}
		next.List = append(next.List, add)
	case c.Promote != 0:
		member := next.Find(c.Promote)
		if member == nil || !member.Learner {
			return m, fmt.Errorf("member %x is not a learner of the group", c.Promote)
		}
		member.Learner, member.Promote, member.Replaces = false, false, 0
	case c.Remove != 0:
		member := next.Find(c.Remove)
		if member == nil {
			return m, fmt.Errorf("member %x is not in the group", c.Remove)
		}
		if !member.Learner && m.Voters() == 1 {
			return m, fmt.Errorf("member %x is the last voter; promote another one first", c.Remove)
		}
		next.List = slices.DeleteFunc(next.List, func(x Member) bool { return x.ID == c.Remove })
		next.Removed = append(next.Removed, c.Remove)
		next.Removed = next.Removed[max(0, len(next.Removed)-maxRemoved):]
	case c.Move != nil:
		member := next.Find(c.Move.ID)
		if member == nil {
			return m, fmt.Errorf("member %x is not in the group", c.Move.ID)
		}
		member.Address = c.Move.Address
	default:
		return m, fmt.Errorf("empty change of the configuration")
	}
	return next, nil
}

// changeMembers appends a change of the configuration. One change is under way at a time, and a leader first commits an
// entry of its own term: without that, two configurations without a common majority could be in force.
func (n *Node) changeMembers(e Entry) (reason string, invalid bool) {
	for _, m := range n.members {
		if i := m.index; i > n.log.prevIndex && e.ID != "" && n.log.entries[i-n.log.prevIndex-1].ID == e.ID {
			return "", false // a repetition of a change that is in the log
		}
	}
	if last := n.members[len(n.members)-1]; last.index > n.log.commit {
		return "another change of the configuration is under way; try again", false
	}
	if term, _ := n.log.term(n.log.commit); term != n.hard.Term {
		return "the leader has not yet committed an entry of its term; try again", false
	}
	next, err := n.Members().with(*e.Change)
	if err != nil {
		return err.Error(), true
	}
	if c := e.Change; c.Promote != 0 && !n.caughtUp(c.Promote) {
		return fmt.Sprintf("learner %x has not caught up; try again", c.Promote), false
	} else if active := n.activeVoters(next); c.Remove != 0 && active < next.majority() {
		return fmt.Sprintf("only %d of the remaining %d voters answer; replace the silent ones first", active, next.Voters()), true
	}
	e.Members, e.Change = &next, nil
	n.appendOwn(e)
	return "", false
}

// caughtUp reports whether a learner holds nearly all committed entries and answers.
func (n *Node) caughtUp(id ID) bool {
	p := n.peers[id]
	return p != nil && p.transfer == nil && p.match > 0 && p.match+catchUpEntries >= n.log.commit &&
		n.now.Sub(p.lastSeen) <= n.cfg.ElectionTimeout
}

// promoteLearners makes learners voters that asked for it and have caught up. A replaced voter is removed first: the
// majority is then never larger than before, so a lost voter never weighs on the group together with its successor.
func (n *Node) promoteLearners() {
	members := n.Members()
	for _, member := range members.List {
		if !member.Learner || !member.Promote || !n.caughtUp(member.ID) {
			continue
		}
		change := Change{Promote: member.ID}
		if members.Find(member.Replaces) != nil {
			change = Change{Remove: member.Replaces}
		}
		if reason, _ := n.changeMembers(Entry{Kind: EntryMembers, Change: &change}); reason == "" {
			n.broadcast()
			return
		}
	}
}

// syncPeers follows the configuration in the leader's view of the members.
func (n *Node) syncPeers() {
	members := n.Members()
	for _, member := range members.List {
		if member.ID != n.cfg.ID && n.peers[member.ID] == nil {
			p := &progress{lastSeen: n.now}
			p.probe(n.log.last() + 1)
			if member.Learner {
				p.lastSeen = time.Time{}
			}
			n.peers[member.ID] = p
		}
	}
	for id := range n.peers {
		if members.Find(id) == nil {
			delete(n.peers, id)
		}
	}
}

// afterApply lets a leader step down once its own removal is committed.
func (n *Node) afterApply() {
	last := n.members[len(n.members)-1]
	if n.role == Leader && last.index <= n.log.commit && !last.IsVoter(n.cfg.ID) {
		n.becomeFollower(n.hard.Term, 0)
	}
}
