package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newMember returns member 1 of a group with the given number of voters (1, 2, ...) and the given learners.
func newMember(t *testing.T, voters int, learners ...ID) *Node {
	snapshot := Snapshot{Index: 1, Term: 1}
	for id := range ID(voters) {
		snapshot.Members.List = append(snapshot.Members.List, Member{ID: id + 1})
	}
	for _, id := range learners {
		snapshot.Members.List = append(snapshot.Members.List, Member{ID: id, Learner: true})
	}
	n, err := New(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}, start, PersistedState{Snapshot: snapshot})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// drainReady carries out all pending work and returns the messages to send.
func drainReady(n *Node) (sent []Message) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		sent = append(append(sent, r.EarlyMessages...), r.Messages...)
		n.Advance(&r)
	}
	return sent
}

// stepFrom passes the member a message from id. A zero term stands for the member's current term.
func stepFrom(id ID, n *Node, kind Kind, m Message) {
	m.Kind, m.From, m.To = kind, id, 1
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.Step(n.now, m)
}

// elect makes the member leader with the votes of member 2.
func elect(n *Node) {
	n.Tick(n.electionDeadline)
	drainReady(n)
	stepFrom(2, n, KindPreVoteReply, Message{Term: n.hardState.Term + 1})
	drainReady(n)
	stepFrom(2, n, KindVoteReply, Message{})
}

// Guards against treating an entry of an earlier term as committed because a majority has it: another leader can still
// overwrite it.
func TestEntryOfEarlierTermIsNotCommittedByMajority(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3)
	stepFrom(3, n, KindAppend, Message{Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	drainReady(n)
	elect(n)
	drainReady(n)
	is.Equal(n.Status().Last, uint64(3)) // the no-op entry of its own term
	stepFrom(2, n, KindAppendReply, Message{Index: 2})
	is.Equal(n.Status().Commit, uint64(1))
	stepFrom(2, n, KindAppendReply, Message{Index: 3})
	is.Equal(n.Status().Commit, uint64(3))
}

// Guards against a leader that counts itself towards the majority before the entry is on its disk, and against counting
// learners.
func TestOnlySyncedVotersCount(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3, 4, 5)
	elect(n)
	for _, learner := range []ID{4, 5} {
		stepFrom(learner, n, KindAppendReply, Message{Index: 2})
	}
	stepFrom(2, n, KindAppendReply, Message{Index: 2})
	is.Equal(n.Status().Commit, uint64(1)) // one voter has synced, the leader has not
	drainReady(n)
	is.Equal(n.Status().Commit, uint64(2))
	n.Propose(n.now, []Entry{{ID: "a"}})
	drainReady(n)
	for _, learner := range []ID{4, 5} {
		stepFrom(learner, n, KindAppendReply, Message{Index: 3})
	}
	is.Equal(n.Status().Commit, uint64(2))
}

// Guards against a vote that is sent before it is on disk, and against a second vote in the same term.
func TestVoteIsSyncedBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3)
	stepFrom(2, n, KindVote, Message{Term: 5, Index: 1, LogTerm: 1})
	r := n.Ready()
	is.True(r.MustSync && r.HardState != nil && r.HardState.Vote == 2 && len(r.EarlyMessages) == 0 && len(r.Messages) == 1)
	n.Advance(&r)
	stepFrom(3, n, KindVote, Message{Term: 5, Index: 1, LogTerm: 1})
	sent := drainReady(n)
	is.True(len(sent) == 1 && sent[0].Reject)
}

// Guards against two concurrent changes of the configuration, a change before the leader has committed an entry of its
// term, the removal of a voter that leaves no responsive majority, and the readmission of a removed member.
func TestUnsafeConfigurationChangesAreRefused(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3)
	elect(n)
	propose := func(c Change) (refused []Refusal) {
		n.Propose(n.now, []Entry{{Kind: EntryMembers, ID: string(rune('a' + n.log.lastIndex())), Change: &c}})
		refused = n.refusals
		drainReady(n)
		return refused
	}
	add := Change{Add: &Member{ID: 9}}
	is.Equal(len(propose(add)), 1) // no entry of this term is committed
	stepFrom(2, n, KindAppendReply, Message{Index: n.log.lastIndex()})
	is.Equal(len(propose(add)), 0)
	is.Equal(len(propose(Change{Add: &Member{ID: 10}})), 1) // the previous change is not committed
	stepFrom(2, n, KindAppendReply, Message{Index: n.log.lastIndex()})
	is.Equal(len(propose(Change{Promote: 9})), 1) // it has not caught up
	n.now = n.now.Add(time.Minute)
	stepFrom(2, n, KindHeartbeatReply, Message{})
	is.Equal(len(propose(Change{Remove: 2})), 1) // of the remaining voters, 3 does not reply
	is.Equal(len(propose(Change{Remove: 3})), 0)
	stepFrom(2, n, KindAppendReply, Message{Index: n.log.lastIndex()})
	is.Equal(len(propose(Change{Add: &Member{ID: 3}})), 1)
	is.Equal(len(propose(Change{SetAddress: &Member{ID: 2, Address: "new"}})), 0)
	is.Equal(n.Members().Find(2).Address, "new")
	is.True(n.Members().IsVoter(2))
}

// Guards against a configuration that stays active after its entry was overwritten by another leader.
func TestOverwrittenConfigurationChangeIsReverted(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3)
	twoVoters := &Members{List: []Member{{ID: 1}, {ID: 2}}}
	stepFrom(2, n, KindAppend, Message{Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembers, Members: twoVoters}}})
	is.Equal(n.Members().Voters(), 2)
	stepFrom(3, n, KindAppend, Message{Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
	is.Equal(n.Members().Voters(), 3)
}

// Guards against a snapshot assembled from chunks of two leaders, and against one above the size limit.
func TestSnapshotChunksOfTwoLeadersAreNotMixed(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3)
	sendChunk := func(sender ID, term uint64, offset int, data string) {
		stepFrom(sender, n, KindSnapshot, Message{Term: term,
			Chunk: &Chunk{Index: 9, Term: 2, Total: 4, Offset: offset, Data: []byte(data)}})
	}
	sendChunk(2, 2, 0, "aa")
	sendChunk(3, 3, 2, "bb")
	is.True(n.Ready().Snapshot == nil)
	sendChunk(3, 3, 0, "bb")
	sendChunk(3, 3, 2, "bb")
	is.Equal(string(n.Ready().Snapshot.Data), "bbbb")
	stepFrom(3, n, KindSnapshot, Message{Term: 3, Chunk: &Chunk{Index: 99, Term: 3, Total: DefaultMaxSnapshotBytes + 1}})
	is.True(n.incomingSnapshot == nil)
}

// Guards against a panic or a corrupted log on messages that no correct member sends.
func TestInvalidMessagesDoNotCorruptLog(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		small := func() uint64 { return r.Uint64N(12) }
		n := newMember(t, 3, 4)
		for range 300 {
			m := Message{Kind: Kind(r.IntN(18)), From: ID(r.IntN(6)), To: 1, Term: n.hardState.Term + r.Uint64N(5)/4, Index: small(),
				LogTerm: small(), Commit: small(), Hint: small(), Round: small(), Reject: r.IntN(2) == 0,
				LeadershipTransfer: r.IntN(2) == 0}
			if term, ok := n.log.term(m.Index); ok {
				m.LogTerm = term // so that many messages match the log
			}
			for i := range r.IntN(3) {
				m.Entries = append(m.Entries, Entry{Index: m.Index + uint64(i+r.IntN(6)/5) + 1, Term: m.Term + r.Uint64N(6)/5, Kind: EntryKind(r.IntN(4))})
			}
			if r.IntN(2) == 0 {
				m.Chunk = &Chunk{Index: small(), Term: small(), Total: r.IntN(4) - 1, Offset: r.IntN(4) - 1, Data: make([]byte, r.IntN(3)),
					Members: n.MembersAt(1)}
			}
			commit := n.Status().Commit
			n.Step(n.now.Add(time.Duration(r.IntN(400))*time.Millisecond), m)
			n.Tick(n.now)
			drainReady(n)
			if n.Status().Commit < commit {
				t.Fatalf("seed %d: the commit index decreased from %d to %d", seed, commit, n.Status().Commit)
			}
			for i, e := range n.log.entries {
				if e.Index != n.log.prevIndex+uint64(i)+1 {
					t.Fatalf("seed %d: gap before entry %d", seed, e.Index)
				}
			}
		}
	}
}

// Guards against a removal after which the loss of a tolerated number of disks takes the majority.
func TestRemovalThatLeavesTooFewVotersIsRefused(t *testing.T) {
	is := is.New(t)
	n := newMember(t, 3)
	n.cfg.ToleratedLosses = 1
	elect(n)
	drainReady(n)
	stepFrom(2, n, KindAppendReply, Message{Index: n.log.lastIndex()})
	n.Propose(n.now, []Entry{{Kind: EntryMembers, ID: "remove", Change: &Change{Remove: 3}}})
	is.Equal(len(n.refusals), 1)
	is.True(n.refusals[0].Invalid)
	is.Equal(n.Members().Voters(), 3)
}
