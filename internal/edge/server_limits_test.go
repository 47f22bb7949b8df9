package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// controlSession is a session with a control instance; it records the requests for permits.
type controlSession struct {
	transport.Session
	address  string
	requests []*protocol.PermitRequest
}

func (s *controlSession) Peer() protocol.Hello { return protocol.Hello{Address: s.address} }

func (s *controlSession) Send(m protocol.Message) error {
	if request, ok := m.(*protocol.PermitRequest); ok {
		s.requests = append(s.requests, request)
	}
	return nil
}

// Guards against two control instances that each grant all permits of a service: an entry instance that asks another one than before says
// so, and no longer once it reaches the first again, also if a new session has replaced the lost one.
func TestEntryInstanceTellsDeputyThatItStandsIn(t *testing.T) {
	is := is.New(t)
	f := newFleetState(Config{})
	runEvents := func() {
		for len(f.events) > 0 {
			(<-f.events)(time.Now())
		}
	}
	first, second := &controlSession{address: "a"}, &controlSession{address: "b"}
	if address, _ := grants.ChooseGranter(time.Now(), "s", []grants.Control{{Address: "a"}, {Address: "b"}}); address == "b" {
		first, second = second, first
	}
	ask := func() {
		f.requestPermits("s", 1, 1)
		runEvents()
	}
	for _, s := range []transport.Session{first, second} {
		f.SessionOpened(s)
	}
	runEvents()
	ask()
	is.Equal(len(first.requests), 1)
	is.Equal(first.requests[0].StandsInFor, 0)

	f.StateChanged(first, transport.StateClosed)
	runEvents()
	ask()
	is.Equal(len(second.requests), 1)
	is.Equal(second.requests[0].StandsInFor, 1)

	again, replacing := &controlSession{address: first.address}, &controlSession{address: first.address}
	f.SessionOpened(again)
	f.SessionOpened(replacing)
	f.StateChanged(again, transport.StateClosed)
	runEvents()
	ask()
	is.Equal(len(replacing.requests), 1)
	is.Equal(replacing.requests[0].StandsInFor, 0)
}

// Guards against an entry instance that starts during a cut and asks a control instance for all permits, as it has never reached the one
// that grants to the others.
func TestEntryInstanceStandsInForControlInstancesItNeverReached(t *testing.T) {
	is := is.New(t)
	f := newFleetState(Config{Seeds: []string{"a", "b"}})
	start := time.Now()
	runEvents := func(now time.Time) {
		for len(f.events) > 0 {
			(<-f.events)(now)
		}
	}
	deputy := "b"
	if granter, _ := grants.ChooseGranter(start, "s", []grants.Control{{Address: "a"}, {Address: "b"}}); granter == "b" {
		deputy = "a"
	}
	s := &controlSession{address: deputy}
	f.SessionOpened(s)
	runEvents(start)
	standsInForAfter := func(age time.Duration) int {
		f.recordUnreached(start.Add(age))
		f.requestPermits("s", 1, 1)
		runEvents(start.Add(age))
		return s.requests[len(s.requests)-1].StandsInFor
	}
	is.Equal(standsInForAfter(0), 0) // the session with it is still being opened
	is.Equal(standsInForAfter(unreachedAfter+time.Second), 1)
	is.Equal(standsInForAfter(time.Minute), 0) // it is gone
}

// Guards against a limit that is taken for over after a response that is not the server's answer, as it bears no seal: the server still
// names its limit in each answer.
func TestUnsealedResponseDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	p, url := startProxy(t)
	sealed := atomic.Bool{}
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		if !sealed.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set(platform.HeaderRateLimit, "50.0")
		respondSealed(w, http.StatusOK, "ok")
	})
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.SetServers(now, announced("z", b)) })
	limits := func() (n int) {
		p.withDispatcher(func(_ time.Time, d *dispatch.Dispatcher) { n = len(d.Limits()) })
		return n
	}
	sealed.Store(true)
	_, _, _, err := send(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(limits(), 1)
	sealed.Store(false)
	time.Sleep(100 * time.Millisecond) // the rate permits the next request
	status, _, _, err := send(t, url, "/safe/x")
	is.NoErr(err)
	is.True(status >= http.StatusInternalServerError)
	is.Equal(limits(), 1)
}
