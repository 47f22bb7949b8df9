package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// member returns member 1 of a group of voters 1 to n and the given learners.
func member(t *testing.T, voters int, learners ...ID) *Node {
	snapshot := Snapshot{Index: 1, Term: 1}
	for id := range ID(voters) {
		snapshot.Members.List = append(snapshot.Members.List, Member{ID: id + 1})
	}
	for _, id := range learners {
		snapshot.Members.List = append(snapshot.Members.List, Member{ID: id, Learner: true})
	}
	n, err := New(Config{ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}, start, Restored{Snapshot: snapshot})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// work carries out all that is due and returns the messages.
func work(n *Node) (sent []Message) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		sent = append(append(sent, r.Early...), r.Messages...)
		n.Advance(&r)
	}
	return sent
}

func from(id ID, n *Node, kind Kind, m Message) {
	m.Kind, m.From, m.To = kind, id, 1
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.Step(n.now, m)
}

// elect makes the member leader with the vote of member 2.
func elect(n *Node) {
	n.Tick(n.electionDue)
	work(n)
	from(2, n, KindPreVoteReply, Message{Term: n.hard.Term + 1})
	work(n)
	from(2, n, KindVoteReply, Message{})
}

// Guards against an entry of an earlier term that is taken for committed because a majority holds it: another leader
// can still replace it.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	n := member(t, 3)
	from(3, n, KindAppend, Message{Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	work(n)
	elect(n)
	work(n)
	is.Equal(n.Status().Last, uint64(3)) // its own first entry
	from(2, n, KindAppendReply, Message{Index: 2})
	is.Equal(n.Status().Commit, uint64(1))
	from(2, n, KindAppendReply, Message{Index: 3})
	is.Equal(n.Status().Commit, uint64(3))
}

// Guards against a leader that counts itself before its disk has the entry, and against learners that count.
func TestOnlySyncedVotersCount(t *testing.T) {
	is := is.New(t)
	n := member(t, 3, 4, 5)
	elect(n)
	for _, learner := range []ID{4, 5} {
		from(learner, n, KindAppendReply, Message{Index: 2})
	}
	from(2, n, KindAppendReply, Message{Index: 2})
	is.Equal(n.Status().Commit, uint64(1)) // one voter has synced, the leader has not
	work(n)
	is.Equal(n.Status().Commit, uint64(2))
	n.Propose(n.now, []Entry{{ID: "a"}})
	work(n)
	for _, learner := range []ID{4, 5} {
		from(learner, n, KindAppendReply, Message{Index: 3})
	}
	is.Equal(n.Status().Commit, uint64(2))
}

// Guards against a vote that is sent before it is on disk, and against a second vote in a term.
func TestVoteIsSyncedFirst(t *testing.T) {
	is := is.New(t)
	n := member(t, 3)
	from(2, n, KindVote, Message{Term: 5, Index: 1, LogTerm: 1})
	r := n.Ready()
	is.True(r.MustSync && r.HardState != nil && r.HardState.Vote == 2 && len(r.Early) == 0 && len(r.Messages) == 1)
	n.Advance(&r)
	from(3, n, KindVote, Message{Term: 5, Index: 1, LogTerm: 1})
	sent := work(n)
	is.True(len(sent) == 1 && sent[0].Reject)
}

// Guards against two changes of the configuration at once, a change before the leader has committed an entry of its
// term, the removal of a voter that leaves no working majority, and the return of a removed member.
func TestChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	n := member(t, 3)
	elect(n)
	propose := func(c Change) (refused []Refusal) {
		n.Propose(n.now, []Entry{{Kind: EntryMembers, ID: string(rune('a' + n.log.last())), Change: &c}})
		refused = n.refused
		work(n)
		return refused
	}
	add := Change{Add: &Member{ID: 9}}
	is.Equal(len(propose(add)), 1) // nothing of this term is committed
	from(2, n, KindAppendReply, Message{Index: n.log.last()})
	is.Equal(len(propose(add)), 0)
	is.Equal(len(propose(Change{Add: &Member{ID: 10}})), 1) // one is under way
	from(2, n, KindAppendReply, Message{Index: n.log.last()})
	is.Equal(len(propose(Change{Promote: 9})), 1) // it has not caught up
	n.now = n.now.Add(time.Minute)
	from(2, n, KindHeartbeatReply, Message{})
	is.Equal(len(propose(Change{Remove: 2})), 1) // only the silent member 3 would remain
	is.Equal(len(propose(Change{Remove: 3})), 0)
	from(2, n, KindAppendReply, Message{Index: n.log.last()})
	is.Equal(len(propose(Change{Add: &Member{ID: 3}})), 1)
	is.Equal(len(propose(Change{Move: &Member{ID: 2, Address: "new"}})), 0)
	is.Equal(n.Members().Find(2).Address, "new")
	is.True(n.Members().IsVoter(2))
}

// Guards against a configuration that stays in force after its entry was replaced by another leader's.
func TestReplacedChangeIsUndone(t *testing.T) {
	is := is.New(t)
	n := member(t, 3)
	two := &Members{List: []Member{{ID: 1}, {ID: 2}}}
	from(2, n, KindAppend, Message{Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembers, Members: two}}})
	is.Equal(n.Members().Voters(), 2)
	from(3, n, KindAppend, Message{Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
	is.Equal(n.Members().Voters(), 3)
}

// Guards against a snapshot put together from the parts of two leaders, and against one above the size limit.
func TestSnapshotPartsOfOneSender(t *testing.T) {
	is := is.New(t)
	n := member(t, 3)
	part := func(sender ID, term uint64, offset int, data string) {
		from(sender, n, KindSnapshot, Message{Term: term, Chunk: &Chunk{Index: 9, Term: 2, Total: 4, Offset: offset, Data: []byte(data)}})
	}
	part(2, 2, 0, "aa")
	part(3, 3, 2, "bb")
	is.True(n.Ready().Snapshot == nil)
	part(3, 3, 0, "bb")
	part(3, 3, 2, "bb")
	is.Equal(string(n.Ready().Snapshot.Data), "bbbb")
	from(3, n, KindSnapshot, Message{Term: 3, Chunk: &Chunk{Index: 99, Term: 3, Total: DefaultMaxSnapshotBytes + 1}})
	is.True(n.incoming == nil)
}

// Guards against a panic or a damaged log on messages that no correct member sends.
func TestStrayMessages(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		few := func() uint64 { return r.Uint64N(12) }
		n := member(t, 3, 4)
		for range 300 {
			m := Message{Kind: Kind(r.IntN(18)), From: ID(r.IntN(6)), To: 1, Term: n.hard.Term + r.Uint64N(5)/4, Index: few(),
				LogTerm: few(), Commit: few(), Hint: few(), Round: few(), Reject: r.IntN(2) == 0, Force: r.IntN(2) == 0}
			if term, ok := n.log.term(m.Index); ok {
				m.LogTerm = term // often a match
			}
			for i := range r.IntN(3) {
				m.Entries = append(m.Entries, Entry{Index: m.Index + uint64(i+r.IntN(6)/5) + 1, Term: m.Term + r.Uint64N(6)/5, Kind: EntryKind(r.IntN(4))})
			}
			if r.IntN(2) == 0 {
				m.Chunk = &Chunk{Index: few(), Term: few(), Total: r.IntN(4) - 1, Offset: r.IntN(4) - 1, Data: make([]byte, r.IntN(3)),
					Members: n.MembersAt(1)}
			}
			commit := n.Status().Commit
			n.Step(n.now.Add(time.Duration(r.IntN(400))*time.Millisecond), m)
			n.Tick(n.now)
			work(n)
			if n.Status().Commit < commit {
				t.Fatalf("seed %d: the commit index fell from %d to %d", seed, commit, n.Status().Commit)
			}
			for i, e := range n.log.entries {
				if e.Index != n.log.prevIndex+uint64(i)+1 {
					t.Fatalf("seed %d: gap before entry %d", seed, e.Index)
				}
			}
		}
	}
}
