package directory

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// limitsReceiver is the entry instance's side of its sessions; it keeps the limits that it is told.
type limitsReceiver struct {
	transport.Handler
	mu     sync.Mutex
	limits map[string]float64
}

func (r *limitsReceiver) MessageReceived(_ transport.Session, m protocol.Message) {
	if limits, ok := m.(*protocol.ServerLimits); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, l := range limits.Limits {
			r.limits[l.Server] = l.RequestsPerSecond
		}
	}
}

func (r *limitsReceiver) SessionOpened(transport.Session)                 {}
func (r *limitsReceiver) StateChanged(transport.Session, transport.State) {}

func (r *limitsReceiver) get(server string) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit, known := r.limits[server]
	return limit, known
}

// Guards against entry instances that do not learn the limit which a server has named to another one, also those that start
// later, and against limits that are kept after their server has gone.
func TestEntryInstancesLearnLimitsOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControlFleet(t, 1)
		defer f.stopAll()
		const address = "10.0.0.1:1"
		f.startFounders(address)
		time.Sleep(3 * time.Second)
		connect := func() (*limitsReceiver, transport.Session) {
			r := &limitsReceiver{limits: map[string]float64{}}
			s, err := f.connect(&controlNode{}, address, protocol.Hello{Version: protocol.Version, Instance: "entry"}, r)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			return r, s
		}
		d := f.nodes[address].Directory
		announce := func() {
			d.HandleAnnouncement(registry.Announcement{Server: "i-1", Service: "s", Address: "10.0.1.1:1", StartedAtMillis: 7, Sequence: uint64(time.Now().UnixMilli())})
		}
		_, sender := connect()
		other, _ := connect()
		announce()
		tell := func(limit float64) {
			is.NoErr(sender.Send(&protocol.ServerLimits{Limits: []protocol.ServerLimit{{Server: "i-1", StartedAtMillis: 7, RequestsPerSecond: limit}}}))
			time.Sleep(100 * time.Millisecond)
		}
		tell(2.5)
		late, _ := connect()
		for _, r := range []*limitsReceiver{other, late} {
			limit, _ := r.get("i-1")
			is.Equal(limit, 2.5)
		}
		tell(0)
		limit, known := other.get("i-1")
		is.True(known)
		is.Equal(limit, 0.0)
		tell(3)
		time.Sleep(2 * MaxMissedAnnouncements * time.Second) // no more announcements
		last, _ := connect()
		_, known = last.get("i-1")
		is.True(!known)
	})
}
