package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/backendhttp"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/platform"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// backend is a test server that records the headers of the requests that it receives.
type backend struct {
	*httptest.Server
	mu       sync.Mutex
	arrivals []http.Header
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrivals)
}

// startBackend starts a test server. n counts its requests from 1.
func startBackend(t *testing.T, respond func(w http.ResponseWriter, r *http.Request, n int)) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.arrivals = append(b.arrivals, r.Header.Clone())
		n := len(b.arrivals)
		b.mu.Unlock()
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		respond(w, r, n)
	}))
	t.Cleanup(b.CloseClientConnections)
	return b
}

// respondSealed sends a response with a seal.
func respondSealed(w http.ResponseWriter, status int, body string) {
	w.Header().Set(platform.HeaderSeal, "seal")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// respondNotRun rejects a request with the promise that it has not run.
func respondNotRun(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abort closes the connection before the response is complete.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// startProxy starts a proxy for the backends and returns it with its URL.
func startProxy(t *testing.T, backends ...*backend) (*Proxy, string) {
	t.Helper()
	return startProxyWith(t, time.Second, 0, backends...)
}

// startProxyWith is startProxy with the objective and the target event gap of all routes.
func startProxyWith(t *testing.T, objective, eventGap time.Duration, backends ...*backend) (*Proxy, string) {
	t.Helper()
	proxy := New(Config{Dispatch: dispatch.Config{DataCentre: "z", AnnounceInterval: time.Second, RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second}})
	route := func(name string, kind routes.Kind, attempts int, resumable bool) routes.Route {
		return routes.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			Objective: objective, LongestPause: eventGap, MaxAttempts: attempts, Resumable: resumable, Targets: []routes.Target{{Service: "s", Weight: 1}}}
	}
	table := routes.Compile(&routes.Configuration{Version: 3, Services: []routes.Service{{Name: "s"}},
		Routes: []routes.Route{route("safe", routes.Safe, 2, false), route("unsafe", routes.Unsafe, 2, false),
			route("once", routes.Unsafe, 1, false), route("stream", routes.Stream, 2, true), route("broken", routes.Stream, 2, false)},
		Organisations: []routes.Organisation{{Name: "o", Keys: []string{"key"}}}})
	proxy.view.Store(&View{Index: 1, Table: table, InstalledAt: time.Now()})
	proxy.dispatcher.SetTable(table)
	proxy.dispatcher.SetServers(time.Now(), announced("z", backends...))
	front := httptest.NewServer(proxy)
	t.Cleanup(front.Close)
	return proxy, front.URL
}

// announced returns the announcements of the backends, as servers i0, i1 and so on of the service s.
func announced(dataCentre string, backends ...*backend) []*registry.Record {
	var known []*registry.Record
	for i, b := range backends {
		known = append(known, &registry.Record{ReceivedAt: time.Now(), Announcement: registry.Announcement{Server: fmt.Sprint("i", i), Service: "s",
			Address: strings.TrimPrefix(b.URL, "http://"), DataCentre: dataCentre, Slots: 4}})
	}
	return known
}

// send sends a request and returns status, headers and body. A truncated body is an error.
func send(t *testing.T, url, path string, header ...string) (int, http.Header, string, error) {
	t.Helper()
	return sendBody(t, strings.NewReader("body"), url, path, header...)
}

// sendBody is send with a body.
func sendBody(t *testing.T, body io.Reader, url, path string, header ...string) (int, http.Header, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, "r1")
	request.Header.Set(platform.HeaderKey, "key")
	request.Header.Set(platform.HeaderDeadline, "5000")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(received), err
}

// Guards against an instance that rejects valid requests with 404 or 401 because it has only just started.
func TestProxyWithoutConfigurationReturns503(t *testing.T) {
	is := is.New(t)
	proxy, url := startProxy(t)
	proxy.view.Store(nil)
	is.True(!proxy.Ready())
	status, header, _, err := send(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get(platform.HeaderRetryAfter) != "")
}

// Guards against forwarding requests without a route or a key to a server, and against forwarding keys.
func TestRoutesAndKeys(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "ok") })
	proxy, url := startProxy(t, b)
	startControl(t, proxy, &controlstate.State{Index: 1})
	status, _, _, _ := send(t, url, "/nowhere/x")
	is.Equal(status, http.StatusNotFound)
	status, _, _, _ = send(t, url, "/safe/x", platform.HeaderKey, "other")
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(b.count(), 0)
	status, header, body, err := send(t, url, "/safe/x?q", platform.HeaderOrganisation, "forged", platform.HeaderExpectServer, "forged")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(header.Get(platform.HeaderSeal), "seal")
	is.Equal(b.arrivals[0].Get(platform.HeaderKey), "")
	is.Equal(b.arrivals[0].Get(platform.HeaderOrganisation), "o")
	is.Equal(b.arrivals[0].Get(platform.HeaderExpectServer), "i0")
}

// Guards against retrying an unsafe request that may have run.
func TestUnsafeRequestIsNotRetriedAfterATruncatedResponse(t *testing.T) {
	is := is.New(t)
	respond := func(w http.ResponseWriter, _ *http.Request, _ int) { abort(w) }
	a, b := startBackend(t, respond), startBackend(t, respond)
	_, url := startProxy(t, a, b)
	status, header, _, err := send(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway) // 503 would promise that it has not run
	is.Equal(header.Get(platform.HeaderRetryAfter), "")
	is.Equal(a.count()+b.count(), 1)
}

// Guards against forwarding a server's 503 that does not prove that the request has not run: callers take it as that promise.
func TestUnprovedRefusalOfAServerBecomes502(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		respondSealed(w, http.StatusServiceUnavailable, "busy")
	})
	_, url := startProxy(t, b)
	status, header, _, err := send(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get(platform.HeaderSeal), "")
}

// Guards against a proved rejection that is not retried on another server, or returned without Retry-After.
func TestProvedRejectionIsRetriedOrReturned(t *testing.T) {
	is := is.New(t)
	respond := func(w http.ResponseWriter, _ *http.Request, _ int) { respondNotRun(w) }
	a, b := startBackend(t, respond), startBackend(t, respond)
	_, url := startProxy(t, a, b)
	status, header, _, err := send(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get(platform.HeaderRetryAfter) != "")
	is.Equal(a.count()+b.count(), 2)
	_, _, _, err = send(t, url, "/once/x")
	is.NoErr(err)
	is.Equal(a.count()+b.count(), 3) // one attempt only
}

// Guards against not retrying a safe request on another server after a server error.
func TestSafeRequestIsRetriedOnAnotherServer(t *testing.T) {
	is := is.New(t)
	a := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		respondSealed(w, http.StatusInternalServerError, "no")
	})
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { abort(w) })
	_, url := startProxy(t, a, b)
	status, header, body, err := send(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(a.count(), 1)
	is.Equal(b.count(), 1)
	if status == http.StatusInternalServerError {
		is.Equal(header.Get(platform.HeaderSeal), "seal")
		is.Equal(body, "no")
	} else {
		is.Equal(status, http.StatusBadGateway)
	}
}

// Guards against forwarding a successful response without the server's seal.
func TestUnsealedSuccessIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "forged") })
	_, url := startProxy(t, b)
	status, _, body, err := send(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.True(!strings.Contains(body, "forged"))
}

// Guards against a length of the body that skips a check: an unsealed success, a refusal without a proof, an error that
// another server may mend, and a truncated answer must be treated alike however long they are.
func TestLongResponsesAreCheckedAsShortOnes(t *testing.T) {
	for _, length := range []int{1, maxBufferedBytes, maxBufferedBytes + 1, 2 * maxBufferedBytes} {
		is := is.New(t)
		body := strings.Repeat("x", length)
		respond := func(status int, seal bool) func(http.ResponseWriter, *http.Request, int) {
			return func(w http.ResponseWriter, _ *http.Request, _ int) {
				if seal {
					respondSealed(w, status, body)
					return
				}
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			}
		}
		ask := func(path string, backends ...*backend) (int, string, string, error) {
			_, url := startProxy(t, backends...)
			status, header, got, err := send(t, url, path)
			return status, header.Get(platform.HeaderSeal), got, err
		}
		status, _, got, err := ask("/unsafe/x", startBackend(t, respond(http.StatusOK, false)))
		is.NoErr(err)
		is.Equal(status, http.StatusBadGateway)
		is.Equal(got, "")

		status, _, _, err = ask("/unsafe/x", startBackend(t, respond(http.StatusServiceUnavailable, true)))
		is.NoErr(err)
		is.Equal(status, http.StatusBadGateway)

		status, seal, got, err := ask("/unsafe/x", startBackend(t, respond(http.StatusBadRequest, true)))
		is.NoErr(err)
		is.Equal(status, http.StatusBadRequest)
		is.Equal(seal, "seal")
		is.True(got == body)

		status, seal, got, err = ask("/safe/x", startBackend(t, respond(http.StatusOK, true)))
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(seal, "seal")
		is.True(got == body)

		failing, unsealed := startBackend(t, respond(http.StatusInternalServerError, true)), startBackend(t, respond(http.StatusOK, false))
		_, _, _, err = ask("/safe/x", failing, unsealed)
		is.NoErr(err)
		is.Equal(failing.count()+unsealed.count(), 2) // whichever was asked first

		_, _, _, err = ask("/unsafe/x", startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Length", strconv.Itoa(length+1))
			respondSealed(w, http.StatusOK, body)
			_ = http.NewResponseController(w).Flush()
			abort(w)
		}))
		is.True(err != nil || length <= maxBufferedBytes) // a short one is known to be truncated before its head is sent
	}
}

// Guards against a request that is passed on late in a planned stop and cut when the grace period ends: it may have run, though
// another instance could have served it.
func TestLateRequestOfAStoppingInstanceIsRefused(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "done") })
	p, url := startProxy(t, b)
	for _, stop := range []struct {
		lateFrom, end time.Duration // from now
		deadlineMS    string
		status        int
	}{
		{time.Hour, 2 * time.Hour, "8000", http.StatusOK},                       // callers still come
		{-time.Second, time.Hour, "8000", http.StatusOK},                        // ends before the grace period does
		{-time.Second, time.Second, "8000", http.StatusServiceUnavailable},      // might not
		{-2 * time.Second, -time.Second, "8000", http.StatusServiceUnavailable}, // cannot
	} {
		before := b.count()
		body, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, "first,") // returns once the request has been begun
			p.Stop(time.Now().Add(stop.lateFrom), time.Now().Add(stop.end))
			_, _ = io.WriteString(w, "last")
			_ = w.Close()
		}()
		status, header, _, err := sendBody(t, body, url, "/unsafe/x", platform.HeaderDeadline, stop.deadlineMS)
		is.NoErr(err)
		is.Equal(status, stop.status)
		is.Equal(b.count()-before, map[int]int{http.StatusOK: 1}[status])
		is.Equal(header.Get(platform.HeaderRetryAfter) != "", status != http.StatusOK)
	}
}

// Guards against calls that are cut without an answer when the grace period of a planned stop ends.
func TestCallsGetAnAnswerWhenTheGracePeriodEnds(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	b := startBackend(t, func(_ http.ResponseWriter, r *http.Request, _ int) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	p, url := startProxy(t, b)
	go func() {
		<-arrived
		p.EndCalls()
	}()
	status, header, _, err := send(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway) // it may have run
	is.Equal(header.Get(platform.HeaderRetryAfter), "")
}

// events writes events from first to last.
func events(w http.ResponseWriter, first, last int) {
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

// eventsText returns the body of the events from first to last.
func eventsText(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return text
}

// Guards against a resumed stream with a missing, duplicate or truncated event, or a second head.
func TestResumableStreamContinuesAtTheNextEvent(t *testing.T) {
	is := is.New(t)
	respond := func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(platform.HeaderSeal, "seal")
		if r.Header.Get(platform.HeaderLastEvent) == "" {
			events(w, 1, 3)
			_, _ = io.WriteString(w, "id: 4\nda")
			_ = http.NewResponseController(w).Flush()
			abort(w)
		}
		is.Equal(r.Header.Get(platform.HeaderLastEvent), "3")
		events(w, 3, 6) // one event more than requested
	}
	a, b := startBackend(t, respond), startBackend(t, respond)
	_, url := startProxy(t, a, b)
	status, _, body, err := send(t, url, "/stream/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, eventsText(1, 6))
}

// Guards against callers waiting for a server that hangs, before or after the first event, while other servers respond.
func TestResumableStreamIsMovedFromAHungServer(t *testing.T) {
	is := is.New(t)
	const objective, eventGap = 40 * time.Millisecond, 10 * time.Millisecond
	for _, before := range []int{0, 2} {
		release := make(chan struct{})
		streamFrom := func(w http.ResponseWriter, r *http.Request, first int) {
			w.Header().Set(platform.HeaderSeal, "seal")
			for n := first; n <= 100 && r.Context().Err() == nil; n++ {
				events(w, n, n)
				time.Sleep(eventGap)
			}
		}
		hanging := startBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
			if before > 0 {
				w.Header().Set(platform.HeaderSeal, "seal")
				events(w, 1, before)
			}
			<-release
		})
		healthy := startBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
			last, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
			if err != nil {
				last = 0
			}
			streamFrom(w, r, last+1)
		})
		_, url := startProxyWith(t, objective, eventGap, hanging, healthy)
		bodies := make(chan string, 2)
		for range 2 { // each server is chosen for one of them
			go func() {
				_, _, body, err := send(t, url, "/stream/x")
				if err != nil {
					body = err.Error()
				}
				bodies <- body
			}()
		}
		for range 2 {
			is.Equal(<-bodies, eventsText(1, 100))
		}
		is.Equal(hanging.count(), 1)
		is.Equal(healthy.count(), 2)
		close(release)
	}
}

// Guards against moving a stream whose server is only as slow as all others.
func TestStreamIsNotMovedWhenAllServersStall(t *testing.T) {
	is := is.New(t)
	const objective, eventGap = 20 * time.Millisecond, 5 * time.Millisecond
	slow := func(w http.ResponseWriter, _ *http.Request, _ int) {
		time.Sleep(10 * objective)
		w.Header().Set(platform.HeaderSeal, "seal")
		events(w, 1, 3)
	}
	a, b := startBackend(t, slow), startBackend(t, slow)
	_, url := startProxyWith(t, objective, eventGap, a, b)
	_, _, body, err := send(t, url, "/stream/x")
	is.NoErr(err)
	is.Equal(body, eventsText(1, 3))
	is.Equal(a.count()+b.count(), 1)
}

// Guards against a stream that continues after missing events, or that looks complete although it was truncated.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	respond := func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(platform.HeaderSeal, "seal")
		if r.Header.Get(platform.HeaderLastEvent) == "" {
			events(w, 1, 3)
			abort(w)
		}
		events(w, 6, 7) // events 4 and 5 are missing
	}
	a, b := startBackend(t, respond), startBackend(t, respond)
	_, url := startProxy(t, a, b)
	_, _, body, err := send(t, url, "/stream/x")
	is.True(err != nil)
	is.Equal(body, eventsText(1, 3))
	is.Equal(a.count()+b.count(), 2)
	_, url = startProxy(t, a, b)             // a proxy that has recorded no failures of the servers
	_, _, _, err = send(t, url, "/broken/x") // may not be resumed
	is.True(err != nil)
	is.Equal(a.count()+b.count(), 3)
}

// Guards against a server that continues to work after its caller has disconnected.
func TestCallerDisconnectReachesTheServer(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	b := startBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(platform.HeaderSeal, "seal")
		events(w, 1, 1)
		<-r.Context().Done()
		close(left)
	})
	_, url := startProxy(t, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, platform.HeaderKey)
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(c.Close())
	<-left
}

// Guards against a caller that waits beyond its deadline.
func TestCallEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	_, url := startProxy(t, b)
	started := time.Now()
	status, _, _, err := send(t, url, "/unsafe/x", platform.HeaderDeadline, "100")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout) // it may have run
	is.True(time.Since(started) >= 100*time.Millisecond)
}

// Guards against forwarding a truncated event.
func TestEventReader(t *testing.T) {
	is := is.New(t)
	long := "data: " + strings.Repeat("x", 10<<10) + "\nid: 2\n\n"
	r := newEventReader(strings.NewReader("id: 1\r\ndata: a\r\n\r\n" + long + "id: 3\ndata"))
	e, err := r.next()
	is.NoErr(err)
	is.Equal(e.number, int64(1))
	e, err = r.next()
	is.NoErr(err)
	is.Equal(string(e.raw), long)
	is.Equal(e.number, int64(2))
	_, err = r.next()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = newEventReader(strings.NewReader("")).next()
	is.True(errors.Is(err, errStreamEnd))
}

// Guards against an instance that does not use the loads that the coordinators of the groups send: a rank that is full with
// the requests of other instances gets none.
func TestLoadsOfAGroupSteerRequests(t *testing.T) {
	is := is.New(t)
	full := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "full") })
	free := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "free") })
	proxy, url := startProxy(t, full, free)
	known := announced("z", full, free)
	for i, k := range known {
		k.Group = registry.Group{Name: "g", Rank: i, Size: len(known)}
	}
	proxy.dispatcher.SetServers(time.Now(), known)
	proxy.MessageReceived(nil, &protocol.GroupLoads{Service: "s", Group: "g", Requests: []byte{20, protocol.UnknownGroupLoad}})
	(<-proxy.events)(time.Now())
	for range 6 {
		_, _, body, err := send(t, url, "/safe/x")
		is.NoErr(err)
		is.Equal(body, "free")
	}
}

// Guards against callers that wait for servers of a data centre that is cut off, and against an instance that does not notice
// when it is back: a probe does, before any request is sent there.
func TestLostDataCentreIsRefusedUntilAProbeSucceeds(t *testing.T) {
	is := is.New(t)
	respond := func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "ok") }
	backends := []*backend{startBackend(t, respond), startBackend(t, respond), startBackend(t, respond)}
	proxy, url := startProxy(t, backends...)
	proxy.dispatcher.SetServers(time.Now(), announced("elsewhere", backends...))
	timeout := &backendhttp.Failure{Err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}}
	is.True(timeout.Unreachable())
	for range backends {
		choice, refusal, _ := proxy.pick(dispatch.Request{Service: "s"})
		is.Equal(refusal, nil)
		c := &call{parts: func() []string { return nil }, proxy: proxy, ctx: t.Context()}
		c.handleFailure(&attempt{choice: choice, started: time.Now(), ctx: t.Context(), cancel: func() {}}, timeout)
	}
	status, header, _, err := send(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get(platform.HeaderRetryAfter) != "")
	for _, b := range backends {
		is.Equal(b.count(), 0)
	}
	is.True(proxy.Ready())
	time.Sleep(dispatch.ProbeInterval)
	due := proxy.updatePaths()
	is.Equal(len(due), 1)
	is.True(!proxy.Ready()) // no server is within reach
	proxy.probe(t.Context(), due[0])
	is.Equal(len(proxy.updatePaths()), 0)
	is.True(proxy.Ready())
	status, _, _, err = send(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}
