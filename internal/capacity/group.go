package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// machine applies commands to the agreed state, as the members of the agreement group do.
type machine struct{ state *agreed.State }

var _ replica.StateMachine = (*machine)(nil)

func (m *machine) Apply(index uint64, command []byte) []byte {
	decoded, err := protocol.DecodeCommand(command)
	if err != nil {
		return nil
	}
	m.state.Apply(index, decoded)
	return nil
}

func (m *machine) Snapshot() []byte {
	data, err := protocol.EncodeSnapshot(m.state.Export())
	if err != nil {
		return nil
	}
	return data
}

func (m *machine) Restore([]byte) error { return nil }

// Group is an agreement group in this process, on folders of this machine.
type Group struct {
	mu       sync.Mutex
	replicas map[consensus.ID]*replica.Replica
	sent     Traffic
}

var _ replica.Transport = (*Group)(nil)

// Send implements replica.Transport.
func (g *Group) Send(to consensus.Member, message []byte) {
	g.mu.Lock()
	g.sent.Add(1, Frame(&protocol.Consensus{Payload: message}), true)
	r := g.replicas[to.ID]
	g.mu.Unlock()
	if r != nil {
		r.Receive(message)
	}
}

// NewGroup founds a group below a folder and waits for its leader.
func NewGroup(folder string, voters int) (*Group, error) {
	g := &Group{replicas: make(map[consensus.ID]*replica.Replica)}
	var members []consensus.Member
	var folders []storage.FS
	for i := range voters {
		fs, err := storage.OS(filepath.Join(folder, strconv.Itoa(i)))
		if err != nil {
			return nil, err
		}
		id, err := replica.Prepare(fs)
		if err != nil {
			return nil, err
		}
		folders = append(folders, fs)
		members = append(members, consensus.Member{ID: id, Address: Address(i)})
	}
	for i, fs := range folders {
		if err := replica.Bootstrap(fs, members); err != nil {
			return nil, err
		}
		r, err := replica.Open(replica.Options{FS: fs, Transport: g, StateMachine: &machine{agreed.New(agreed.Limits{})}})
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		g.replicas[members[i].ID] = r
		g.mu.Unlock()
	}
	return g, g.propose(-1)
}

// propose records the claim with a number at the leader, or at any member while there is none.
func (g *Group) propose(i int) error {
	command, err := protocol.EncodeCommand(Claim(max(i, 0)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, _, err = g.leader().Propose(ctx, fmt.Sprint("claim/", i), command)
	return err
}

func (g *Group) leader() *replica.Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	var any *replica.Replica
	for _, r := range g.replicas {
		if any = r; r.Status().Role == consensus.Leader {
			return r
		}
	}
	return any
}

// Claimed is the cost of one claim.
type Claimed struct {
	PerSecond float64
	Syncs     float64 // of the leader's disk
	DiskBytes float64 // at the leader
	Sent      Traffic // by all members together
}

// Propose records n claims of concurrent callers.
func (g *Group) Propose(n, callers int) (Claimed, error) {
	leader := g.leader()
	before := leader.Status().Storage
	g.mu.Lock()
	sentBefore := g.sent
	g.mu.Unlock()
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var wait sync.WaitGroup
	begun := time.Now()
	for range callers {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				if err := g.propose(int(i)); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	wait.Wait()
	took := time.Since(begun).Seconds()
	if err := failed.Load(); err != nil {
		return Claimed{}, *err
	}
	after := leader.Status().Storage
	g.mu.Lock()
	defer g.mu.Unlock()
	each := 1 / float64(n)
	return Claimed{float64(n) / took, float64(after.Syncs-before.Syncs) * each, float64(after.Bytes-before.Bytes) * each,
		g.sent.Sum(sentBefore.Each(-1)).Each(each)}, nil
}

// Idle returns what all members send in a second without proposals.
func (g *Group) Idle(d time.Duration) Traffic {
	g.mu.Lock()
	before := g.sent
	g.mu.Unlock()
	time.Sleep(d)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent.Sum(before.Each(-1)).Each(1 / d.Seconds())
}

// Close stops all members.
func (g *Group) Close() {
	for _, r := range g.replicas {
		_ = r.Close()
	}
}
