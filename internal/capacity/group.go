package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
)

// stateMachine applies commands to the agreed state, as the members of the agreement group do.
type stateMachine struct{ state *statemachine.State }

var _ replica.StateMachine = (*stateMachine)(nil)

func (m *stateMachine) Apply(index uint64, command []byte) []byte {
	decoded, err := protocol.DecodeCommand(command)
	if err != nil {
		return nil
	}
	m.state.Apply(index, decoded)
	return nil
}

func (m *stateMachine) Snapshot() []byte {
	data, err := protocol.EncodeSnapshot(m.state.Export())
	if err != nil {
		return nil
	}
	return data
}

func (m *stateMachine) Restore([]byte) error { return nil }

// Group is an agreement group whose members all run in this process, with folders on this machine.
type Group struct {
	mu       sync.Mutex
	replicas map[consensus.ID]*replica.Replica
	sent     Traffic
}

var _ replica.Transport = (*Group)(nil)

// Send implements replica.Transport.
func (g *Group) Send(to consensus.Member, message []byte) {
	g.mu.Lock()
	g.sent.Add(1, FrameBytes(&protocol.Consensus{Payload: message}), true)
	r := g.replicas[to.ID]
	g.mu.Unlock()
	if r != nil {
		r.Receive(message)
	}
}

// NewGroup bootstraps a group in subfolders of a folder and waits until it has a leader.
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
		r, err := replica.Open(replica.Options{FS: fs, Transport: g, StateMachine: &stateMachine{statemachine.New(statemachine.Limits{})}})
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		g.replicas[members[i].ID] = r
		g.mu.Unlock()
	}
	return g, g.propose(-1)
}

// propose records claim i through the leader, or through any member while there is no leader.
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
	var last *replica.Replica
	for _, r := range g.replicas {
		if last = r; r.Status().Role == consensus.Leader {
			return r
		}
	}
	return last
}

// ClaimCost is the cost of one claim, and the rate of claims.
type ClaimCost struct {
	PerSecond float64 // claims per second
	Syncs     float64 // of the leader's storage
	DiskBytes float64 // written by the leader
	Sent      Traffic // by all members together
}

// Propose records n claims with the given number of concurrent callers.
func (g *Group) Propose(n, callers int) (ClaimCost, error) {
	leader := g.leader()
	before := leader.Status().Storage
	g.mu.Lock()
	trafficBefore := g.sent
	g.mu.Unlock()
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var group sync.WaitGroup
	start := time.Now()
	for range callers {
		group.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				if err := g.propose(int(i)); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	group.Wait()
	seconds := time.Since(start).Seconds()
	if err := failed.Load(); err != nil {
		return ClaimCost{}, *err
	}
	after := leader.Status().Storage
	g.mu.Lock()
	defer g.mu.Unlock()
	perClaim := 1 / float64(n)
	return ClaimCost{float64(n) / seconds, float64(after.Syncs-before.Syncs) * perClaim,
		float64(after.Bytes-before.Bytes) * perClaim, g.sent.Plus(trafficBefore.Times(-1)).Times(perClaim)}, nil
}

// Idle returns the traffic per second that all members together send without proposals, measured over d.
func (g *Group) Idle(d time.Duration) Traffic {
	g.mu.Lock()
	before := g.sent
	g.mu.Unlock()
	time.Sleep(d)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent.Plus(before.Times(-1)).Times(1 / d.Seconds())
}

// Close stops all members.
func (g *Group) Close() {
	for _, r := range g.replicas {
		_ = r.Close()
	}
}
