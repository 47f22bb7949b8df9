package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

// counter is a state machine that returns how many commands it has applied.
type counter struct{ n uint64 }

func (c *counter) Apply(uint64, []byte) []byte {
	c.n++
	return binary.BigEndian.AppendUint64(nil, c.n)
}

func (c *counter) Snapshot() []byte { return binary.BigEndian.AppendUint64(nil, c.n) }

func (c *counter) Restore(b []byte) error {
	c.n = 0
	if b != nil {
		c.n = binary.BigEndian.Uint64(b)
	}
	return nil
}

// cluster is a group in one process and the transport between its members.
type cluster struct {
	mu          sync.Mutex
	replicas    map[consensus.ID]*Replica
	partitioned map[consensus.ID]bool
	messages    int
	bytes       int
	delay       time.Duration
}

func (c *cluster) Send(to consensus.Member, message []byte) {
	var m consensus.Message
	_ = decoder.Unmarshal(message, &m)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages++
	c.bytes += len(message)
	r := c.replicas[to.ID]
	switch {
	case r == nil || c.partitioned[m.From] || c.partitioned[to.ID]:
	case c.delay > 0:
		time.AfterFunc(c.delay, func() { r.Receive(message) })
	default:
		r.Receive(message)
	}
}

func (c *cluster) open(t testing.TB, o Options) *Replica {
	t.Helper()
	o.Transport = c
	if o.StateMachine == nil {
		o.StateMachine = &counter{}
	}
	r, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas[r.Status().ID] = r
	return r
}

// startGroup bootstraps and opens a group of n voters.
func startGroup(t testing.TB, n int, folder func(i int) storage.FS, o Options) (*cluster, []*Replica) {
	t.Helper()
	c := &cluster{replicas: map[consensus.ID]*Replica{}, partitioned: map[consensus.ID]bool{}}
	var members []consensus.Member
	var folders []storage.FS
	for i := range n {
		folders = append(folders, folder(i))
		id, err := Prepare(folders[i])
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, consensus.Member{ID: id, Address: strconv.Itoa(i)})
	}
	var replicas []*Replica
	for _, f := range folders {
		if err := Bootstrap(f, members); err != nil {
			t.Fatal(err)
		}
		o.FS = f
		replicas = append(replicas, c.open(t, o))
	}
	return c, replicas
}

func inMemory(i int) storage.FS { return faultfs.New(rand.New(rand.NewPCG(uint64(i), 1))) }

func leaderOf(replicas []*Replica) *Replica {
	for _, r := range replicas {
		if s := r.Status(); s.Role == consensus.Leader && s.Failure == nil {
			return r
		}
	}
	return nil
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Guards against lost proposals, wrong results and duplicates that take effect, on the leader and on followers.
func TestProposeOnAnyMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, replicas := startGroup(t, 3, inMemory, Options{})
		for i := range 30 {
			_, result, err := replicas[i%3].Propose(within(5*time.Second), fmt.Sprint("id", i), []byte("x"))
			is.NoErr(err)
			is.Equal(binary.BigEndian.Uint64(result), uint64(i+1))
		}
		_, result, err := replicas[2].Propose(within(5*time.Second), "id3", []byte("x"))
		is.NoErr(err)
		is.Equal(binary.BigEndian.Uint64(result), uint64(4)) // the first result
		is.NoErr(replicas[1].ReadBarrier(within(time.Second)))
	})
}

// Guards against an isolated leader that does not step down, and against a proposal that it reports as certainly not
// accepted although a majority accepts it later.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, replicas := startGroup(t, 3, inMemory, Options{})
		time.Sleep(3 * time.Second)
		leader := leaderOf(replicas)
		c.mu.Lock()
		c.partitioned[leader.Status().ID] = true
		c.mu.Unlock()
		_, _, err := leader.Propose(within(100*time.Millisecond), "a", nil)
		is.Equal(KindOf(err), OutcomeUnknown) // it is in the isolated leader's log
		time.Sleep(3 * time.Second)
		is.True(leader.Status().Role != consensus.Leader)
		_, _, err = leader.Propose(within(time.Second), "b", nil)
		is.True(CertainlyNotAccepted(err))
		is.Equal(KindOf(leader.ReadBarrier(within(time.Second))), NoQuorum)
		is.True(leaderOf(replicas) != nil)
		c.mu.Lock()
		delete(c.partitioned, leader.Status().ID)
		c.mu.Unlock()
		_, result, err := leader.Propose(within(5*time.Second), "a", nil)
		is.NoErr(err)
		is.Equal(binary.BigEndian.Uint64(result), uint64(1)) // "b" never takes effect, "a" once
	})
}
