package directory

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// limitsReceiver is the entry instance's side of its sessions; it keeps the limits and permits that it gets.
type limitsReceiver struct {
	transport.Handler
	mu      sync.Mutex
	limits  map[string]float64
	permits []*protocol.Permits
}

func (r *limitsReceiver) MessageReceived(_ transport.Session, m protocol.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := m.(type) {
	case *protocol.ServerLimits:
		for _, l := range m.Limits {
			r.limits[l.Server] = l.RequestsPerSecond
		}
	case *protocol.Permits:
		r.permits = append(r.permits, m)
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

func (r *limitsReceiver) lastPermits() *protocol.Permits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permits[len(r.permits)-1]
}

// connectLimitsReceivers opens sessions of n entry instances to a control instance.
func connectLimitsReceivers(f *controlFleet, d *controlNode, n int) (receivers []*limitsReceiver, sessions []transport.Session) {
	for range n {
		r := &limitsReceiver{limits: map[string]float64{}}
		receivers, sessions = append(receivers, r), append(sessions, f.connectEntry(d, "entry", r))
	}
	return receivers, sessions
}

// Guards against entry instances that do not learn the limit which a server has named to another one, also those that start
// later, and against limits that are kept after their server has gone.
func TestEntryInstancesLearnLimitsOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		connect := func() (*limitsReceiver, transport.Session) {
			r := &limitsReceiver{limits: map[string]float64{}}
			s := f.connectEntry(d, "entry", r)
			time.Sleep(100 * time.Millisecond)
			return r, s
		}
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

// Guards against permits that exceed the limit of a server together, whoever asks, and against an entry instance whose limits the
// control instance does not know: it would never get a permit.
func TestControlInstanceGrantsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		receivers, sessions := connectLimitsReceivers(f, d, 3)
		d.HandleAnnouncement(registry.Announcement{Server: "i-1", Service: "s", Address: "10.0.1.1:1", StartedAtMillis: 7, Sequence: 1})
		ask := func(i int) *protocol.Permits {
			is.NoErr(sessions[i].Send(&protocol.PermitRequest{Service: "s", Wanted: 2, Limited: 1}))
			time.Sleep(10 * time.Millisecond)
			return receivers[i].lastPermits()
		}
		is.True(ask(0).Outdated)
		is.NoErr(sessions[0].Send(&protocol.ServerLimits{Limits: []protocol.ServerLimit{{Server: "i-1", StartedAtMillis: 7, RequestsPerSecond: 4}}}))
		is.True(!ask(0).Outdated)
		granted := 0
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
			for i := range sessions {
				m := ask(i)
				granted += len(m.Servers)
				is.True(len(m.Servers) == 2 || m.RetryAfterMS > 0)
			}
		}
		is.True(granted <= 4*4)
		is.True(granted >= 4*4*3/4)
	})
}

// Guards against a control instance that grants all permits of a service besides those in place of another one: entry instances that never
// reached the other, as they started while it was cut off, do not know that it may still grant to others.
func TestControlInstanceGrantsHalfToAllWhileItStandsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		const limit = 10.0
		receivers, sessions := connectLimitsReceivers(f, d, 2)
		d.HandleAnnouncement(registry.Announcement{Server: "i-1", Service: "s", Address: "10.0.1.1:1", StartedAtMillis: 7, Sequence: 1})
		is.NoErr(sessions[0].Send(&protocol.ServerLimits{Limits: []protocol.ServerLimit{{Server: "i-1", StartedAtMillis: 7, RequestsPerSecond: limit}}}))
		grantedIn := func(window time.Duration, standsInFor ...int) float64 {
			granted := 0
			for end := time.Now().Add(window); time.Now().Before(end); {
				for i, n := range standsInFor {
					is.NoErr(sessions[i].Send(&protocol.PermitRequest{Service: "s", Wanted: 2, Limited: 1, StandsInFor: n}))
					time.Sleep(10 * time.Millisecond)
					granted += len(receivers[i].lastPermits().Servers)
				}
			}
			return float64(granted)
		}
		other := 4 * limit * grants.UsedRatio // what the other control instance may grant meanwhile
		is.True(other+grantedIn(4*time.Second, 0, 1) <= 1.5*4*limit+5)
		time.Sleep(standsInForHold)
		is.True(grantedIn(4*time.Second, 0, 0) >= 4*limit*3/4) // once none says so any more
	})
}

// Guards against copies of a suspected request that several entry instances are permitted to send at once.
func TestControlInstancePermitsOneCopyOfARequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		receivers, sessions := connectLimitsReceivers(f, d, 4)
		tracker := quarantine.New()
		trial := func(request string) string {
			parts := []string{quarantine.RequestPart(request)}
			for n := range 3 {
				tracker.RecordEnd(quarantine.End{At: time.Now(), OpenFor: time.Second, Service: "s", Engine: quarantine.Engine{Server: fmt.Sprint(n)}, Parts: parts})
			}
			return tracker.Trial(time.Now(), "s", parts)
		}
		permitted := func(request string) (n int) {
			for _, s := range sessions {
				is.NoErr(s.Send(&protocol.PermitRequest{Service: trial(request), Wanted: 1}))
			}
			time.Sleep(10 * time.Millisecond)
			for _, r := range receivers {
				m := r.lastPermits()
				is.True(len(m.Servers) == 1 || m.RetryAfterMS > 0)
				n += len(m.Servers)
			}
			return n
		}
		is.Equal(permitted("a"), 1)
		is.Equal(permitted("a"), 0)
		is.Equal(permitted("b"), 1)
		time.Sleep(grants.TrialInterval)
		is.Equal(permitted("a"), 1)
	})
}
