package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// logOf returns entries of the given terms, the first one at index 2.
func logOf(terms ...uint64) (entries []Entry) {
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 2, Term: term, ID: fmt.Sprint(term, "/", i)})
	}
	return entries
}

// memberWith returns a member of three voters with a log after the snapshot at index 1.
func memberWith(t *testing.T, id ID, commit uint64, terms ...uint64) *Node {
	t.Helper()
	snapshot := Snapshot{Index: 1, Term: 1, Members: Members{List: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}}
	n, err := New(Config{ID: id, Rand: rand.New(rand.NewPCG(1, uint64(id)))}, start,
		PersistedState{HardState: HardState{Term: terms[len(terms)-1], Commit: commit}, Snapshot: snapshot, Entries: logOf(terms...)})
	if err != nil {
		t.Fatal(err)
	}
	drainReady(n)
	return n
}

// catchUp passes messages between a leader and a follower until there are none, and returns their number.
func catchUp(leader, follower *Node, limit int) (messages int) {
	for ; messages < limit; messages++ {
		queue := drainReady(leader)
		queue = append(queue, drainReady(follower)...)
		delivered := false
		for _, m := range queue {
			for _, n := range []*Node{leader, follower} {
				if m.To == n.cfg.ID {
					n.Step(n.now, m)
					delivered = true
				}
			}
		}
		if !delivered {
			break
		}
	}
	return messages
}

// Guards against a follower that never catches up, while the two exchange messages without a pause: its last entries differ from the
// leader's, which has compacted all before the last one that could match. The leader sent the entries after that one again and again,
// not the snapshot. Two such voters of three acknowledge no change any more.
func TestFollowerThatDiffersAtTheCompactionBoundaryCatchesUp(t *testing.T) {
	for seed := range uint64(2000) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		shared := random.IntN(6)
		common := make([]uint64, shared)
		for i := range common {
			common[i] = 2
		}
		leaderTerms, followerTerms := append([]uint64{2}, common...), append([]uint64{2}, common...)
		// A term has one leader: behind the shared entries, those of one log have odd terms and those of the other have even ones.
		for range random.IntN(8) {
			leaderTerms = append(leaderTerms, max(leaderTerms[len(leaderTerms)-1]|1, uint64(3+2*random.IntN(2))))
		}
		leaderTerms = append(leaderTerms, 7)
		for range random.IntN(12) {
			followerTerms = append(followerTerms, max(followerTerms[len(followerTerms)-1], uint64(4+2*random.IntN(2))))
		}
		commit := uint64(1 + random.IntN(shared+2))
		leader := memberWith(t, 1, uint64(len(leaderTerms)+1), leaderTerms...)
		follower := memberWith(t, 2, commit, followerTerms...)
		compacted := leader.SnapshotMetadata()
		compacted.Data = []byte("state")
		leader.Compact(compacted, uint64(random.IntN(len(leaderTerms)+1)), 1<<20)
		leader.Tick(leader.electionDeadline)
		drainReady(leader)
		stepFrom(3, leader, KindPreVoteReply, Message{Term: leader.hardState.Term + 1})
		drainReady(leader)
		stepFrom(3, leader, KindVoteReply, Message{})
		is.Equal(leader.role, Leader)

		messages := catchUp(leader, follower, 100)
		if messages == 100 || follower.log.lastIndex() != leader.log.lastIndex() {
			t.Fatalf("seed %d: leader %v from %d, follower %v: at %d of %d after %d messages", seed, leaderTerms, leader.log.prevIndex, followerTerms,
				follower.log.lastIndex(), leader.log.lastIndex(), messages)
		}
		for index := max(leader.log.prevIndex, follower.log.prevIndex); index <= leader.log.lastIndex(); index++ {
			own, _ := leader.LogTerm(index)
			other, _ := follower.LogTerm(index)
			is.Equal(own, other)
		}
	}
}
