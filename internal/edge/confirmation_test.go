package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/freshness"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// control is a session with a stand-in for a control instance, which answers questions with its state.
type control struct {
	transport.Session
	proxy     *Proxy
	state     atomic.Pointer[controlstate.State] // nil while it is dark
	questions atomic.Int64
}

func (c *control) Peer() protocol.Hello   { return protocol.Hello{Address: "control"} }
func (c *control) State() transport.State { return transport.StateLive }

func (c *control) Send(m protocol.Message) error {
	question, ok := m.(*protocol.State)
	if !ok || question.Confirm == 0 {
		return nil
	}
	c.questions.Add(1)
	state := c.state.Load()
	if state == nil {
		return nil
	}
	answer := &protocol.State{Index: state.Index, Confirm: question.Confirm, Report: true}
	if state.Index > question.Index {
		snapshot, err := directory.EncodeState(*state)
		if err != nil {
			return err
		}
		answer.Report, answer.Snapshot = false, snapshot
	}
	go c.proxy.MessageReceived(c, answer)
	return nil
}

// startControl connects the proxy to a control instance with the state, and runs the proxy's events until the test ends.
func startControl(t *testing.T, proxy *Proxy, state *controlstate.State) *control {
	c := &control{proxy: proxy}
	c.state.Store(state)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case apply := <-proxy.events:
				apply(time.Now())
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop) })
	proxy.SessionOpened(c)
	return c
}

// stateWithRoutes returns an agreed state whose configuration has safe routes with the names, and the limit for bodies.
func stateWithRoutes(t *testing.T, index uint64, bodyBytes int64, names ...string) *controlstate.State {
	configuration := &routes.Configuration{Version: index, Services: []routes.Service{{Name: "s", HealthPath: "/health"}},
		Organisations: []routes.Organisation{{Name: "o", Keys: []string{"key"}}, {Name: "new", Keys: []string{"new key"}}},
		Limits:        routes.Limits{HeaderBytes: 16 << 10, BodyBytes: bodyBytes, HeaderTimeout: time.Second, IdleTimeout: time.Second}}
	for _, name := range names {
		configuration.Routes = append(configuration.Routes, routes.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: routes.Safe,
			Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Targets: []routes.Target{{Service: "s", Weight: 1}}})
	}
	body, err := platform.EncodeConfiguration(configuration)
	if err != nil {
		t.Fatal(err)
	}
	packed, err := directory.PackConfiguration(body)
	if err != nil {
		t.Fatal(err)
	}
	return &controlstate.State{Index: index, Version: index, Configured: true, Body: packed}
}

// Guards against an instance that missed an acknowledged change, as when it stood still, and denies a request that the change
// allows: on a new route, or with a new key.
func TestChangeThatWasMissedIsServedNotDenied(t *testing.T) {
	for name, request := range map[string][]string{"route": {"/new/x"}, "key": {"/safe/x", platform.HeaderKey, "new key"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "ok") })
			proxy, url := startProxy(t, b)
			proxy.config.Decode = platform.DecodeConfiguration
			startControl(t, proxy, stateWithRoutes(t, 2, 100, "safe", "new"))
			status, _, body, err := send(t, url, request[0], request[1:]...)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "ok")
		})
	}
}

// Guards against an instance out of touch with the control instances that denies as if it knew: a route, key or longer body that
// it does not know may have been allowed since. It must refuse, at once if nobody has answered for long, and deny again
// once the control instances answer.
func TestInstanceOutOfTouchDeniesNothing(t *testing.T) {
	for name, request := range map[string]struct {
		path, key string
		body      int
		status    int // if confirmed
	}{
		"route": {"/nowhere/x", "key", 0, http.StatusNotFound},
		"key":   {"/safe/x", "other", 0, http.StatusUnauthorized},
		"body":  {"/safe/x", "key", 101, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				state := stateWithRoutes(t, 2, 100, "safe")
				proxy, c := startConfiguredProxy(t, state)
				c.state.Store(nil)
				ask := func() *httptest.ResponseRecorder {
					r := httptest.NewRequest(http.MethodPost, "http://h.example"+request.path, strings.NewReader(strings.Repeat("x", request.body)))
					r.RequestURI = request.path // as a server receives it
					r.Header.Set(platform.HeaderKey, request.key)
					w := httptest.NewRecorder()
					proxy.ServeHTTP(w, r)
					return w
				}
				for i := range 3 {
					sent := time.Now()
					w := ask()
					is.Equal(w.Code, http.StatusServiceUnavailable)
					is.True(w.Header().Get(platform.HeaderRetryAfter) != "")
					is.True(time.Since(sent) <= freshness.Patience)
					is.True(i == 0 || time.Since(sent) == 0) // known to be out of touch
				}
				c.state.Store(state)
				time.Sleep(time.Second)
				ask() // may still be refused, and asks
				synctest.Wait()
				is.Equal(ask().Code, request.status)
			})
		})
	}
}

// Guards against a question to the control instances for each of many requests that are denied.
func TestDeniedRequestsShareConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		proxy, c := startConfiguredProxy(t, stateWithRoutes(t, 2, 100, "safe"))
		for range 1000 {
			w := httptest.NewRecorder()
			proxy.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h.example/nowhere/x", nil))
			is.Equal(w.Code, http.StatusNotFound)
			time.Sleep(time.Millisecond)
		}
		is.True(c.questions.Load() <= 1+int64(time.Second/freshness.Tolerance))
	})
}

// startConfiguredProxy returns a proxy that has the state, and its control instance, which has it too. It is for use in a
// synctest bubble.
func startConfiguredProxy(t *testing.T, state *controlstate.State) (*Proxy, *control) {
	proxy := New(Config{Decode: platform.DecodeConfiguration})
	c := startControl(t, proxy, state)
	snapshot, err := directory.EncodeState(*state)
	if err != nil {
		t.Fatal(err)
	}
	proxy.MessageReceived(c, &protocol.State{Index: state.Index, Snapshot: snapshot})
	synctest.Wait()
	return proxy, c
}
