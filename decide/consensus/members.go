package consensus

import (
	"fmt"
	"slices"
	"time"
)

// Change is a requested change of the configuration; exactly one field is set, apart from Replaces.
type Change struct {
	Add        *Member `cbor:"1,keyasint,omitempty"` // added as a learner, whatever its Learner field
	Promote    ID      `cbor:"2,keyasint,omitempty"`
	Remove     ID      `cbor:"3,keyasint,omitempty"`
	SetAddress *Member `cbor:"4,keyasint,omitempty"` // changes the address of the member with this ID
	// Replaces, with Promote, names a voter that the leader takes out just after it has promoted the learner.
	Replaces ID `cbor:"5,keyasint,omitempty"`
	// Retire makes a learner that has caught up replace a voter. The voter stays in the group as a learner.
	Retire ID `cbor:"6,keyasint,omitempty"`
	// demote makes a voter a learner.
	demote ID
}

// maxLearnerLagEntries is how far a learner may be behind the commit index when it becomes a voter. It cannot be 0,
// because new entries keep arriving. The remaining entries follow within one batch.
const maxLearnerLagEntries = 64

// withChange returns the configuration after the change, or an error if the change is not valid.
func (m Members) withChange(c Change) (Members, error) {
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
	case c.Retire != 0: // Promote names the successor that the leader has chosen
		member := next.Find(c.Retire)
		if member == nil || member.Learner {
			return m, fmt.Errorf("member %x is not a voter of the group", c.Retire)
		}
		member.Retiring = true
		successor := next.Find(c.Promote)
		successor.Promote, successor.Replaces = true, c.Retire
	case c.Promote != 0:
		member := next.Find(c.Promote)
		if member == nil || !member.Learner {
			return m, fmt.Errorf("member %x is not a learner of the group", c.Promote)
		}
		if c.Replaces != 0 {
			member.Promote, member.Replaces = true, c.Replaces
			break
		}
		member.Learner, member.Promote, member.Retiring = false, false, false // Replaces is dropped with the member that it names
	case c.demote != 0:
		member := next.Find(c.demote)
		member.Learner, member.Retiring = true, false
		next.dropReplacement(c.demote)
	case c.Remove != 0:
		member := next.Find(c.Remove)
		if member == nil {
			return m, fmt.Errorf("member %x is not in the group", c.Remove)
		}
		if !member.Learner && m.Voters() == 1 {
			return m, fmt.Errorf("member %x is the last voter; promote another one first", c.Remove)
		}
		next.List = slices.DeleteFunc(next.List, func(x Member) bool { return x.ID == c.Remove })
		next.dropReplacement(c.Remove)
		next.Removed = append(next.Removed, c.Remove)
		next.Removed = next.Removed[max(0, len(next.Removed)-maxRemovedMembers):]
	case c.SetAddress != nil:
		member := next.Find(c.SetAddress.ID)
		if member == nil {
			return m, fmt.Errorf("member %x is not in the group", c.SetAddress.ID)
		}
		member.Address = c.SetAddress.Address
	default:
		return m, fmt.Errorf("empty change of the configuration")
	}
	return next, nil
}

// changeMembers appends a change of the configuration, or returns why it is refused. Only one change may be uncommitted
// at a time, and the leader must first have committed an entry of its own term: otherwise two configurations without a
// common majority could be active at once.
func (n *Node) changeMembers(e Entry) (reason string, invalid bool) {
	for _, m := range n.configurations {
		if i := m.index; i > n.log.prevIndex && e.ID != "" && n.log.entries[i-n.log.prevIndex-1].ID == e.ID {
			return "", false // a retry of a change that is already in the log
		}
	}
	if last := n.configurations[len(n.configurations)-1]; last.index > n.log.commit {
		return "another change of the configuration is under way; try again", false
	}
	if term, _ := n.log.term(n.log.commit); term != n.hardState.Term {
		return "the leader has not yet committed an entry of its term; try again", false
	}
	change := *e.Change
	if change.Retire != 0 {
		if change.Promote = n.successor(); change.Promote == 0 {
			return "no learner has caught up to replace the voter; restart it in its place, or add a member first", true
		}
	}
	next, err := n.Members().withChange(change)
	if err != nil {
		return err.Error(), true
	}
	if reason, invalid = n.checkVoters(next, change); reason != "" {
		return reason, invalid
	}
	e.Members, e.Change = &next, nil
	n.appendEntry(e)
	return "", false
}

// checkVoters refuses a change after which the group could not go on, or would bear fewer losses than it has to.
func (n *Node) checkVoters(next Members, change Change) (reason string, invalid bool) {
	active := n.activeVoters(next)
	switch {
	case change.Promote != 0 && change.Retire == 0 && !n.caughtUp(change.Promote):
		return fmt.Sprintf("learner %x has not caught up; try again", change.Promote), false
	case next.Voters() > n.Members().Voters() && active < next.majority():
		return fmt.Sprintf("only %d of the %d voters would answer; try again", active, next.Voters()), false
	case next.Voters() >= n.Members().Voters():
		return "", false
	case active < next.majority():
		return fmt.Sprintf("only %d of the remaining %d voters answer; replace the silent ones first", active, next.Voters()), true
	}
	now, then := lossesBorne([]Members{n.Members()}, n.isRunning), lossesBorne([]Members{next}, n.isRunning)
	if then < min(now, n.cfg.ToleratedLosses) {
		return fmt.Sprintf("the remaining %d voters bear the loss of %d disks; add a member that replaces this one", next.Voters(), then), true
	}
	return "", false
}

// successor returns the learner that replaces a retiring voter, 0 if none has caught up.
func (n *Node) successor() ID {
	var best ID
	for _, member := range n.Members().List {
		if member.Learner && !member.Promote && n.caughtUp(member.ID) && n.matchIndex(member.ID) > n.matchIndex(best) {
			best = member.ID
		}
	}
	return best
}

// caughtUp reports whether a learner has nearly all committed entries and has replied recently.
func (n *Node) caughtUp(id ID) bool {
	p := n.peers[id]
	return p != nil && p.snapshotTransfer == nil && p.match > 0 && p.match+maxLearnerLagEntries >= n.log.commit && n.isRunning(id)
}

// advanceReplacements makes a learner with the Promote flag a voter once it has caught up, and takes out the voter that it
// replaces right after that. In between the group has one voter more, of which as many may be lost as before; with the
// other order it would bear fewer losses in between, also of what was acknowledged earlier.
func (n *Node) advanceReplacements() {
	if n.role != Leader {
		return
	}
	for _, member := range n.Members().List {
		change, ok := n.replacementStep(&member)
		if !ok {
			continue
		}
		if reason, _ := n.changeMembers(Entry{Kind: EntryMembers, Change: &change}); reason == "" {
			n.broadcast()
			return
		}
	}
}

// replacementStep returns the next change for a member that replaces another one or is to be promoted, false if there is none.
func (n *Node) replacementStep(member *Member) (Change, bool) {
	replaced := n.Members().Find(member.Replaces)
	switch {
	case replaced != nil && replaced.Learner:
		return Change{Remove: replaced.ID}, true
	case member.Learner:
		return Change{Promote: member.ID}, member.Promote && n.caughtUp(member.ID)
	case replaced != nil && replaced.Retiring:
		return Change{demote: replaced.ID}, true
	default:
		return Change{Remove: member.Replaces}, replaced != nil
	}
}

// dropReplacement ends all replacements of a member that has been taken out. Another learner that was to replace it stays
// a learner.
func (m Members) dropReplacement(id ID) {
	for i := range m.List {
		if member := &m.List[i]; member.Replaces == id {
			member.Replaces, member.Promote = 0, false
		}
	}
}

// syncPeers creates and deletes the leader's progress records so that they match the current configuration.
func (n *Node) syncPeers() {
	members := n.Members()
	for _, member := range members.List {
		if member.ID != n.cfg.ID && n.peers[member.ID] == nil {
			p := &progress{lastReply: n.now}
			p.probe(n.log.lastIndex() + 1)
			if member.Learner {
				p.lastReply = time.Time{}
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

// stepDownIfRemoved makes a leader step down once its own removal is committed.
func (n *Node) stepDownIfRemoved() {
	last := n.configurations[len(n.configurations)-1]
	if n.role == Leader && last.index <= n.log.commit && !last.IsVoter(n.cfg.ID) {
		n.becomeFollower(n.hardState.Term, 0)
	}
}
