package replica

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// startWithLeader starts a group and waits for its leader.
func startWithLeader(t *testing.T, o Options) (c *cluster, folders []*faultfs.FS, replicas []*Replica, leader *Replica) {
	c, replicas = startGroup(t, 3, func(i int) storage.FS {
		folders = append(folders, inMemory(i).(*faultfs.FS))
		return folders[i]
	}, o)
	time.Sleep(3 * time.Second)
	if leader = leaderOf(replicas); leader == nil {
		t.Fatal("no leader")
	}
	return c, folders, replicas, leader
}

// Guards against a member that continues to vote or acknowledge after its disk failed, and against a process or group
// that stops because of it.
func TestFailedDisk(t *testing.T) {
	for operation, fault := range []faultfs.Fault{faultfs.NoSpace, faultfs.ShortWrite, faultfs.FailedSync} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, folders, replicas, leader := startWithLeader(t, Options{})
			for i, r := range replicas {
				if r == leader {
					folders[i].FailFrom(1+operation/2, fault) // the first operation is a write, the second a sync
				}
			}
			_, _, err := leader.Propose(within(3*time.Second), "a", nil)
			is.Equal(KindOf(err), OutcomeUnknown) // the others may have it
			_, _, err = leader.Propose(within(3*time.Second), "b", nil)
			is.Equal(KindOf(err), StorageFailed)
			is.Equal(KindOf(leader.ReadBarrier(within(time.Second))), StorageFailed)
			is.Equal(storage.KindOf(leader.Status().Failure), storage.ReadOnly)
			time.Sleep(3 * time.Second)
			next := leaderOf(replicas)
			is.True(next != nil && next != leader)
			_, result, err := next.Propose(within(3*time.Second), "a", nil)
			is.NoErr(err)
			is.Equal(binary.BigEndian.Uint64(result), uint64(1))
		})
	}
}

// Guards against disks that fail for a while, one after the other, and leave no majority for good: each member takes part
// again once its disk works, with what it held before.
func TestDisksThatFailInTurn(t *testing.T) {
	for operation, fault := range []faultfs.Fault{faultfs.NoSpace, faultfs.ShortWrite, faultfs.FailedSync} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, folders, replicas, _ := startWithLeader(t, Options{})
			for round := range 2 * len(replicas) {
				failed := replicas[round%len(replicas)]
				folder := folders[round%len(replicas)]
				folder.FailFrom(1+operation/2, fault)
				for _, r := range replicas {
					if r != failed {
						_, _, err := r.Propose(within(5*time.Second), fmt.Sprint(round, r.Status().ID), nil)
						is.NoErr(err)
					}
				}
				time.Sleep(time.Second)
				folder.Repair()
				time.Sleep(2 * time.Second)
				is.NoErr(failed.Status().Failure)
				is.NoErr(failed.ReadBarrier(within(time.Second)))
				_, result, err := failed.Propose(within(3*time.Second), fmt.Sprint("own", round), nil)
				is.NoErr(err)
				is.Equal(binary.BigEndian.Uint64(result), uint64(3*(round+1)))
			}
		})
	}
}

// Guards against a planned stop of the leader that causes an election timeout, and against results after Close.
func TestCloseTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, replicas, leader := startWithLeader(t, Options{})
		is.NoErr(leader.Close())
		from := time.Now()
		for _, r := range replicas {
			if r != leader {
				_, _, err := r.Propose(within(3*time.Second), fmt.Sprint(r.Status().ID), nil)
				is.NoErr(err)
			}
		}
		is.True(time.Since(from) < consensus.DefaultElectionTimeout) // virtual time
		_, _, err := leader.Propose(within(time.Second), "late", nil)
		is.Equal(KindOf(err), Closed)
	})
}

// Guards against a caller that stops waiting and thereby cancels the shared proposal of another caller, against an
// unlimited number of pending proposals and against commands that do not fit into a message.
func TestWaitingProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _, replicas, _ := startWithLeader(t, Options{MaxPendingProposals: 1})
		r := replicas[0]
		_, _, err := r.Propose(within(time.Second), "large", make([]byte, consensus.MaxEntryBytes))
		is.Equal(KindOf(err), Refused)
		c.mu.Lock()
		c.partitioned[r.Status().ID] = true
		c.mu.Unlock()
		time.Sleep(3 * time.Second) // until r has no leader
		waiter := make(chan error)
		go func() {
			_, _, err := r.Propose(within(time.Minute), "shared", nil)
			waiter <- err
		}()
		_, _, err = r.Propose(within(time.Second), "shared", nil)
		is.Equal(KindOf(err), NoQuorum)
		_, _, err = r.Propose(within(time.Second), "other", nil)
		is.Equal(KindOf(err), Overloaded)
		c.mu.Lock()
		clear(c.partitioned)
		c.mu.Unlock()
		is.NoErr(<-waiter)
	})
}

// Guards against a follower outside the group that misses commands, applies a duplicate or cannot continue from a
// snapshot, and against a restarted member that sends duplicates as commands because it no longer knows which entries had
// an effect.
func TestEntriesAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, folders, replicas, leader := startWithLeader(t, Options{SnapshotEntries: 40, KeepEntries: 5})
		var copied counter
		var at, notified uint64
		follow := func(r *Replica) {
			for {
				entries, snapshot := r.EntriesAfter(at)
				if snapshot != nil {
					is.NoErr(copied.Restore(snapshot.State))
					at = snapshot.Index
				}
				for _, e := range entries {
					is.Equal(e.Index, at+1)
					if at = e.Index; e.Command != nil {
						copied.Apply(at, e.Command)
					}
				}
				if snapshot == nil && len(entries) == 0 {
					return
				}
			}
		}
		cancel := leader.Subscribe(func(index uint64) { notified = index })
		for i := range 100 {
			id := fmt.Sprint(i)
			_, _, err := leader.Propose(within(time.Second), id, []byte("x"))
			is.NoErr(err)
			if i%10 == 0 { // a second copy in the log, as after a lost reply
				entry := consensus.Entry{ID: id, Data: []byte("x")}
				is.NoErr(leader.call(within(time.Second), func(now time.Time) { leader.driver.node.Propose(now, []consensus.Entry{entry}) }))
			}
			if i%30 == 7 {
				follow(leader)
				is.Equal(copied.n, uint64(i+1))
			}
		}
		cancel()
		cancel() // a second call must not block the member
		follow(leader)
		is.Equal(copied.n, uint64(100))
		is.Equal(at, leader.Status().Applied)
		is.Equal(notified, at)
		for i, r := range replicas {
			if r != leader {
				is.NoErr(r.Close())
				machine := &counter{}
				replicas[i] = c.open(t, Options{FS: folders[i], StateMachine: machine, SnapshotEntries: 40, KeepEntries: 5})
				is.NoErr(replicas[i].ReadBarrier(within(time.Second)))
				is.Equal(machine.n, uint64(100))
				copied, at = counter{}, 1
				follow(replicas[i])
				is.Equal(copied.n, uint64(100))
			}
		}
	})
}

// Guards against a voter that lost its disk and votes again under its old identifier, and against a second group.
func TestLostDiskReturnsAsNewMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, folders, replicas, leader := startWithLeader(t, Options{})
		lost := replicas[0]
		if lost == leader {
			lost = replicas[1]
		}
		old := lost.Status()
		is.NoErr(lost.Close())
		is.True(Bootstrap(folders[0], old.Members.List) != nil || Bootstrap(folders[1], old.Members.List) != nil) // used folders
		empty := inMemory(9)
		fresh := c.open(t, Options{FS: empty})
		replacement := fresh.Status()
		is.True(replacement.ID != old.ID)
		is.True(Bootstrap(inMemory(10), old.Members.List) != nil) // not among the initial voters
		time.Sleep(10 * time.Second)
		is.Equal(fresh.Status().Term, uint64(0)) // it receives no messages and does not campaign

		// A message for the old identifier is dropped.
		fresh.Receive(encode(consensus.Message{Kind: consensus.KindVote, From: leader.Status().ID, To: old.ID, Term: 99, Index: 99, LogTerm: 98}))
		time.Sleep(time.Second)
		is.Equal(fresh.Status().Term, uint64(0))

		is.NoErr(leader.ChangeMembers(within(5*time.Second), consensus.Change{Add: &consensus.Member{ID: replacement.ID, Promote: true, Replaces: old.ID}}))
		time.Sleep(2 * time.Second)
		members := leader.Status().Members
		is.True(members.IsVoter(replacement.ID) && members.Find(old.ID) == nil && members.Voters() == 3)
		err := leader.ChangeMembers(within(5*time.Second), consensus.Change{Add: &consensus.Member{ID: old.ID}})
		is.Equal(KindOf(err), Refused) // removed members never return
		is.NoErr(leader.Close())
		_, _, err = fresh.Propose(within(5*time.Second), "a", nil)
		is.NoErr(err) // the new voter completes the majority
	})
}

// unencodable is a state machine whose state cannot be encoded while broken is set.
type unencodable struct {
	counter
	broken atomic.Bool // read by the replica's goroutine
}

func (u *unencodable) Snapshot() []byte {
	if u.broken.Load() {
		return nil
	}
	return u.counter.Snapshot()
}

// Guards against acknowledged changes that are lost with the log, since a snapshot without state replaces it: while the state
// cannot be encoded, the log is kept.
func TestLogIsKeptWhileTheStateCannotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder := inMemory(0)
		state := &unencodable{}
		state.broken.Store(true)
		options := Options{SnapshotEntries: 4, KeepEntries: 1, StateMachine: state}
		c, replicas := startGroup(t, 1, func(int) storage.FS { return folder }, options)
		propose := func(r *Replica, from, to int) {
			for i := from; i < to; i++ {
				_, result, err := r.Propose(within(5*time.Second), fmt.Sprint("id", i), []byte("x"))
				is.NoErr(err)
				is.Equal(binary.BigEndian.Uint64(result), uint64(i+1))
			}
		}
		restart := func(r *Replica) *Replica {
			is.NoErr(r.Close())
			options.FS = folder
			return c.open(t, options)
		}
		propose(replicas[0], 0, 40)
		first := replicas[0].Status().First
		r := restart(replicas[0])
		propose(r, 40, 41) // all earlier commands are applied again
		state.broken.Store(false)
		propose(r, 41, 60)
		synctest.Wait()                   // the snapshot is written in the background
		is.True(r.Status().First > first) // the log is shortened once the state can be encoded
		r = restart(r)
		propose(r, 60, 61)
	})
}

// Guards against an acknowledgement that the tolerated losses can take back: three voters do not bear the loss of two disks. The
// result of a repetition has to wait as well.
func TestAcknowledgementWaitsForEnoughVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		options := Options{Consensus: consensus.Config{ToleratedLosses: 2}}
		c, _, replicas, leader := startWithLeader(t, options)
		for _, r := range replicas {
			_, _, err := r.Propose(within(2*time.Second), "a", nil)
			is.Equal(KindOf(err), OutcomeUnknown)
			is.Equal(KindOf(r.AwaitDurable(within(time.Second))), OutcomeUnknown)
		}
		for i := range 2 {
			options.FS = inMemory(10 + i)
			added := c.open(t, options).Status()
			is.NoErr(leader.ChangeMembers(within(5*time.Second), consensus.Change{Add: &consensus.Member{ID: added.ID, Promote: true}}))
			time.Sleep(2 * time.Second)
		}
		for _, r := range replicas {
			_, result, err := r.Propose(within(time.Second), "a", nil)
			is.NoErr(err)
			is.Equal(binary.BigEndian.Uint64(result), uint64(1)) // the first result
			is.NoErr(r.AwaitDurable(within(time.Second)))
		}
	})
}
