package directory

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// loadsReceiver is the entry instance's side of a session; it keeps the loads received.
type loadsReceiver struct {
	transport.Handler
	mu       sync.Mutex
	received []*protocol.GroupLoads
}

func (r *loadsReceiver) MessageReceived(_ transport.Session, m protocol.Message) {
	if loads, ok := m.(*protocol.GroupLoads); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.received = append(r.received, loads)
	}
}

func (r *loadsReceiver) SessionOpened(transport.Session)                 {}
func (r *loadsReceiver) StateChanged(transport.Session, transport.State) {}

func (r *loadsReceiver) take() []*protocol.GroupLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	received := r.received
	r.received = nil
	return received
}

// Guards against entry instances that do not learn the loads of the engines: the rank processes read them, and the
// coordinator of each group sends them on, also after the coordinator was lost.
func TestEntryInstancesLearnLoadsOfGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControlFleet(t, 3)
		defer f.stopAll()
		addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		f.startFounders(addresses...)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		g := newModelGroup(t, "g1", 4, 1)
		f.startRanks(ctx, g, &running, addresses...)
		receiver := &loadsReceiver{}
		for _, address := range addresses {
			_, err := f.connect(&controlNode{}, address, protocol.Hello{Version: protocol.Version, Instance: "entry"}, receiver)
			is.NoErr(err)
		}
		time.Sleep(8 * time.Second)
		for loss := range 2 {
			g.setRequests(2, 7+loss)
			receiver.take()
			time.Sleep(time.Second)
			received := receiver.take()
			is.True(len(received) > 0)
			is.True(len(received) <= int(time.Second/minLoadsInterval)) // one instance sends them
			is.Equal(received[len(received)-1], &protocol.GroupLoads{Service: "s", Group: "g1", Requests: []byte{0, 0, byte(7 + loss), 0}, OpenEpoch: 1})
			f.crash(f.coordinatorOf("s/g1"))
			time.Sleep(4 * time.Second)
		}
	})
}

// Guards against loads of ranks that no longer report, and against a value that does not fit.
func TestLoadsOfSilentRanksAreUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := newGroup(now, "s", "g", 4)
	g.ranks[0] = &groupRank{requests: 300, reportedAt: now}
	g.ranks[1] = &groupRank{requests: 3, reportedAt: now.Add(-2 * maxLoadAge)}
	g.ranks[2] = &groupRank{requests: 3, reportedAt: now}
	is.Equal(g.loads(now), []byte{protocol.MaxGroupLoad, protocol.UnknownGroupLoad, 3, protocol.UnknownGroupLoad})
}

// Guards against a cost that grows with the fleet: a coordinator sends the loads of one group within loadsRate to any number
// of entry instances.
func TestCostOfLoadsIsBounded(t *testing.T) {
	is := is.New(t)
	for _, fleet := range []struct{ ranks, instances int }{{8, 4}, {64, 58}, {256, 330}, {256, 1000}} {
		interval := loadsInterval(fleet.ranks, fleet.instances)
		is.True(interval >= minLoadsInterval)
		is.True(float64(fleet.instances*(fleet.ranks+loadsOverhead)) <= loadsRate*interval.Seconds()+1)
	}
}
