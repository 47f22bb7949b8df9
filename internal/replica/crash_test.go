package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// Guards against a crash at some write or sync after which a member cannot start, loses a vote or loses acknowledged
// commands: the first member crashes at each disk operation of a run in turn, with snapshots and compaction.
func TestCrashAtEachOperation(t *testing.T) {
	crashes := 0
	for at := 1; ; at++ {
		s := newSim(1, 3, nil)
		s.nodes[0].fs.FailAt(at, faultfs.Crash)
		stop := false
		s.startClients(2, &stop)
		crashed := s.runUntil(5*time.Second, func() bool { return s.nodes[0].driver == nil })
		s.runUntil(4*time.Second, never)
		stop = true
		s.runUntil(5*time.Second, never)
		if s.finish(); s.violation != nil {
			t.Fatalf("crash at operation %d: %v", at, s.violation)
		}
		if !crashed {
			break
		}
		crashes++
	}
	t.Log(crashes, "crash points")
	if crashes < 50 {
		t.Error("the scenario has too few crash points")
	}
}

// Guards against a vote that is lost in a crash, after which the member could vote twice in a term.
func TestVoteSurvivesCrash(t *testing.T) {
	s := newSim(1, 3, nil)
	n := s.nodes[0]
	vote := func(candidate int) {
		m := consensus.Message{Kind: consensus.KindVote, From: s.nodes[candidate].id, To: n.id, Term: 9, Index: 1, LogTerm: 1, LeadershipTransfer: true}
		if err := n.driver.receive(s.clock(), encode(m)); err != nil {
			t.Fatal(err)
		}
		n.flush()
	}
	vote(1)
	n.driver = nil
	n.fs.Restart()
	n.start()
	vote(2)
	if status := n.driver.node.Status(); status.Term != 9 || status.Vote != s.nodes[1].id {
		t.Errorf("after the crash the vote of term %d is for %x", status.Term, status.Vote)
	}
}

// Guards against a copy of a proposal that is appended to the log after the first one has left the deduplication window,
// and takes effect a second time.
func TestLateCopyTakesNoEffect(t *testing.T) {
	s := newSim(1, 1, nil)
	n := s.nodes[0]
	s.runUntil(3*time.Second, never)
	put := func(id string, expires uint64) {
		n.driver.node.Propose(s.clock(), []consensus.Entry{{ID: id, Data: []byte{0}, Expires: expires}})
		n.flush()
	}
	window := n.driver.options.DedupWindowEntries
	put("first", n.driver.applied+window)
	expires := n.driver.applied + window - 1
	for i := range window + 5 {
		put(fmt.Sprint(i), 0)
	}
	before := n.machine.counts[0]
	put("first", expires)
	if n.machine.counts[0] != before {
		t.Error("the late copy took effect")
	}
}
