package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/platform"
)

// harmfulPart is the part of prompts that ends engineFleet's engines.
const harmfulPart = "bad0"

// engineFleet is a service of engines, each of which ends when it begins an answer on harmfulPart and starts again at
// another address, as another server.
type engineFleet struct {
	t       *testing.T
	proxies []*Proxy
	mu      sync.Mutex
	engines []*fleetEngine
	started int
	ends    int
}

type fleetEngine struct {
	*httptest.Server
	id string
}

func startEngineFleet(t *testing.T, engines int, proxies ...*Proxy) *engineFleet {
	f := &engineFleet{t: t, proxies: proxies}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range f.engines {
			e.CloseClientConnections()
			e.Close()
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for range engines {
		f.start()
	}
	f.announce()
	return f
}

// start starts an engine. The lock is held.
func (f *engineFleet) start() {
	f.started++
	e := &fleetEngine{id: fmt.Sprint("i", f.started)}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(e, w, r) }))
	f.engines = append(f.engines, e)
}

// announce passes the engines to the proxies. The lock is held.
func (f *engineFleet) announce() {
	for _, p := range f.proxies {
		var known []*registry.Record
		for _, e := range f.engines {
			known = append(known, &registry.Record{ReceivedAt: time.Now(), Announcement: registry.Announcement{Server: e.id, Service: "s",
				Address: strings.TrimPrefix(e.URL, "http://"), DataCentre: "z", Slots: 8}})
		}
		p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.SetServers(now, known) })
	}
}

func (f *engineFleet) serve(e *fleetEngine, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSeal, "seal")
	if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), harmfulPart) {
		if strings.Contains(r.Header.Get("X-Prompt-Prefix"), "slow") {
			<-r.Context().Done() // still reads its prompt when the engine ends
			return
		}
		events(w, 1, 3)
		return
	}
	_ = http.NewResponseController(w).Flush()
	f.end(e)
	panic(http.ErrAbortHandler)
}

// end ends an engine, and starts another one.
func (f *engineFleet) end(e *fleetEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends++
	for i, other := range f.engines {
		if other == e {
			f.engines = append(f.engines[:i], f.engines[i+1:]...)
			break
		}
	}
	_ = e.Listener.Close() // from here on, connections are refused
	go e.CloseClientConnections()
	f.start()
	f.announce()
}

func (f *engineFleet) endCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends
}

// prompt returns the header of a request with the given shared parts, and a part of its own.
func prompt(n int, parts ...string) []string {
	text := ""
	for _, part := range parts {
		text += part + ":100,"
	}
	return []string{"X-Prompt-Prefix", fmt.Sprintf("%sffff%d:30", text, n), platform.HeaderRequestID, fmt.Sprint("r", n)}
}

// Guards against requests with one part of a prompt, under which engine after engine has ended, being sent on: engines end
// twice at most, requests that share caller and other parts are served, and those refused are told when to come back.
func TestRequestsWithAPartThatEndsEnginesAreRefused(t *testing.T) {
	is := is.New(t)
	proxy, url := startProxy(t)
	f := startEngineFleet(t, 6, proxy)
	refused := 0
	for n := range 12 {
		status, header, _, _ := send(t, url, "/stream/x", prompt(2*n, "a0", harmfulPart)...)
		if status == http.StatusServiceUnavailable {
			refused++
			is.True(header.Get(platform.HeaderRetryAfter) != "")
		}
		time.Sleep(300 * time.Millisecond) // the engine that ended is no longer avoided, and another one has been announced
		status, _, body, err := send(t, url, "/stream/x", prompt(2*n+1, "a0", "c0")...)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, eventsText(1, 3))
		time.Sleep(300 * time.Millisecond)
	}
	is.True(f.endCount() <= 4) // those within a second of each other count once
	is.True(refused >= 8)
}
