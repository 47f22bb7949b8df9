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

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// backend is a stand-in server that counts what reaches it.
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

// serve starts a stand-in server. n is the number of the arrival, from 1.
func serve(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, n int)) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.arrivals = append(b.arrivals, r.Header.Clone())
		n := len(b.arrivals)
		b.mu.Unlock()
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		answer(w, r, n)
	}))
	t.Cleanup(b.CloseClientConnections)
	return b
}

func sealed(w http.ResponseWriter, status int, body string) {
	w.Header().Set(platform.HeaderSeal, "seal")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func notRun(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// cut ends the connection in the middle of the answer.
func cut(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// gateTo returns the address of a gate before the servers.
func gateTo(t *testing.T, backends ...*backend) (*Gate, string) {
	t.Helper()
	return gateWith(t, time.Second, 0, backends...)
}

// gateWith is gateTo with the objective and the longest pause of all routes.
func gateWith(t *testing.T, objective, pause time.Duration, backends ...*backend) (*Gate, string) {
	t.Helper()
	gate := New(Config{Dispatch: dispatch.Config{DataCentre: "z", AnnounceInterval: time.Second, RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second}})
	route := func(name string, kind routes.Kind, attempts int, resumable bool) routes.Route {
		return routes.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second,
			Objective: objective, LongestPause: pause, MaxAttempts: attempts, Resumable: resumable, Targets: []routes.Target{{Service: "s", Weight: 1}}}
	}
	table := routes.Compile(&routes.Configuration{Version: 3, Services: []routes.Service{{Name: "s"}},
		Routes: []routes.Route{route("safe", routes.Safe, 2, false), route("unsafe", routes.Unsafe, 2, false),
			route("once", routes.Unsafe, 1, false), route("stream", routes.Stream, 2, true), route("broken", routes.Stream, 2, false)},
		Organisations: []routes.Organisation{{Name: "o", Keys: []string{"key"}}}})
	gate.view.Store(&View{Index: 1, Table: table, Since: time.Now()})
	gate.dispatcher.SetTable(table)
	var known []*registry.Record
	for i, b := range backends {
		known = append(known, &registry.Record{ReceivedAt: time.Now(), Announcement: registry.Announcement{Server: fmt.Sprint("i", i), Service: "s",
			Address: strings.TrimPrefix(b.URL, "http://"), DataCentre: "z", Slots: 4}})
	}
	gate.dispatcher.SetServers(time.Now(), known)
	front := httptest.NewServer(gate)
	t.Cleanup(front.Close)
	return gate, front.URL
}

// call sends a request and returns status, headers and body. A body that does not end properly is an error.
func callGate(t *testing.T, url, path string, header ...string) (int, http.Header, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("body"))
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
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

// Guards against an instance that refuses proper requests as unknown because it has only just started.
func TestGateWithoutConfigurationSays503(t *testing.T) {
	is := is.New(t)
	gate, url := gateTo(t)
	gate.view.Store(nil)
	is.True(!gate.Ready())
	status, header, _, err := callGate(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get(platform.HeaderRetryAfter) != "")
}

// Guards against requests without a route or a key that reach a server, and against a key that is passed on.
func TestRoutesAndKeys(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(w http.ResponseWriter, _ *http.Request, _ int) { sealed(w, http.StatusOK, "ok") })
	_, url := gateTo(t, b)
	status, _, _, _ := callGate(t, url, "/nowhere/x")
	is.Equal(status, http.StatusNotFound)
	status, _, _, _ = callGate(t, url, "/safe/x", platform.HeaderKey, "other")
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(b.count(), 0)
	status, header, body, err := callGate(t, url, "/safe/x?q", platform.HeaderOrganisation, "forged", platform.HeaderExpectServer, "forged")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(header.Get(platform.HeaderSeal), "seal")
	is.Equal(b.arrivals[0].Get(platform.HeaderKey), "")
	is.Equal(b.arrivals[0].Get(platform.HeaderOrganisation), "o")
	is.Equal(b.arrivals[0].Get(platform.HeaderExpectServer), "i0")
}

// Guards against a request that may run once and is sent again although it may have run.
func TestUnsafeRequestIsNotRepeatedAfterABrokenAnswer(t *testing.T) {
	is := is.New(t)
	answer := func(w http.ResponseWriter, _ *http.Request, _ int) { cut(w) }
	a, b := serve(t, answer), serve(t, answer)
	_, url := gateTo(t, a, b)
	status, header, _, err := callGate(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway) // 503 would promise that it has not run
	is.Equal(header.Get(platform.HeaderRetryAfter), "")
	is.Equal(a.count()+b.count(), 1)
}

// Guards against a rejection without proof that is passed on as a promise.
func TestUnprovedRefusalOfAServerIsNoPromise(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(w http.ResponseWriter, _ *http.Request, _ int) { sealed(w, http.StatusServiceUnavailable, "busy") })
	_, url := gateTo(t, b)
	status, header, _, err := callGate(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get(platform.HeaderSeal), "")
}

// Guards against a proved rejection that is not tried elsewhere, or passed on without a time to come back.
func TestProvedRejectionGoesElsewhereOrBack(t *testing.T) {
	is := is.New(t)
	answer := func(w http.ResponseWriter, _ *http.Request, _ int) { notRun(w) }
	a, b := serve(t, answer), serve(t, answer)
	_, url := gateTo(t, a, b)
	status, header, _, err := callGate(t, url, "/unsafe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get(platform.HeaderRetryAfter) != "")
	is.Equal(a.count()+b.count(), 2)
	_, _, _, err = callGate(t, url, "/once/x")
	is.NoErr(err)
	is.Equal(a.count()+b.count(), 3) // one attempt only
}

// Guards against a server's own failure of a safe request that is not tried elsewhere.
func TestSafeRequestIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	a := serve(t, func(w http.ResponseWriter, _ *http.Request, _ int) { sealed(w, http.StatusInternalServerError, "no") })
	b := serve(t, func(w http.ResponseWriter, _ *http.Request, _ int) { cut(w) })
	_, url := gateTo(t, a, b)
	status, header, body, err := callGate(t, url, "/safe/x")
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

// Guards against a success without the server's signature.
func TestUnsealedSuccessIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "forged") })
	_, url := gateTo(t, b)
	status, _, body, err := callGate(t, url, "/safe/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.True(!strings.Contains(body, "forged"))
}

// events writes events from first to last.
func events(w http.ResponseWriter, first, last int) {
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

// eventsText is the body of events first to last.
func eventsText(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
	}
	return text
}

// Guards against a resumed stream with a missing or doubled event, half an event, or a second head.
func TestResumableStreamGoesOnAtTheNextEvent(t *testing.T) {
	is := is.New(t)
	answer := func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(platform.HeaderSeal, "seal")
		if r.Header.Get(platform.HeaderLastEvent) == "" {
			events(w, 1, 3)
			_, _ = io.WriteString(w, "id: 4\nda")
			_ = http.NewResponseController(w).Flush()
			cut(w)
		}
		is.Equal(r.Header.Get(platform.HeaderLastEvent), "3")
		events(w, 3, 6) // one event more than asked for
	}
	a, b := serve(t, answer), serve(t, answer)
	_, url := gateTo(t, a, b)
	status, _, body, err := callGate(t, url, "/stream/x")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, eventsText(1, 6))
}

// Guards against callers who wait for a server that stands still, before the first event or after some, while others go on.
func TestResumableStreamLeavesAServerThatHangs(t *testing.T) {
	is := is.New(t)
	const objective, pause = 40 * time.Millisecond, 10 * time.Millisecond
	for _, before := range []int{0, 2} {
		thaw := make(chan struct{})
		flowing := func(w http.ResponseWriter, r *http.Request, first int) {
			w.Header().Set(platform.HeaderSeal, "seal")
			for n := first; n <= 100 && r.Context().Err() == nil; n++ {
				events(w, n, n)
				time.Sleep(pause)
			}
		}
		standing := serve(t, func(w http.ResponseWriter, r *http.Request, _ int) {
			if before > 0 {
				w.Header().Set(platform.HeaderSeal, "seal")
				events(w, 1, before)
			}
			<-thaw
		})
		healthy := serve(t, func(w http.ResponseWriter, r *http.Request, _ int) {
			last, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
			if err != nil {
				last = 0
			}
			flowing(w, r, last+1)
		})
		_, url := gateWith(t, objective, pause, standing, healthy)
		answers := make(chan string, 2)
		for range 2 { // one of the two is chosen for each
			go func() {
				_, _, body, err := callGate(t, url, "/stream/x")
				if err != nil {
					body = err.Error()
				}
				answers <- body
			}()
		}
		for range 2 {
			is.Equal(<-answers, eventsText(1, 100))
		}
		is.Equal(standing.count(), 1)
		is.Equal(healthy.count(), 2)
		close(thaw)
	}
}

// Guards against a stream that is moved although its server is only as slow as all others.
func TestStreamStaysWhereAllServersStandStill(t *testing.T) {
	is := is.New(t)
	const objective, pause = 20 * time.Millisecond, 5 * time.Millisecond
	slow := func(w http.ResponseWriter, _ *http.Request, _ int) {
		time.Sleep(10 * objective)
		w.Header().Set(platform.HeaderSeal, "seal")
		events(w, 1, 3)
	}
	a, b := serve(t, slow), serve(t, slow)
	_, url := gateWith(t, objective, pause, a, b)
	_, _, body, err := callGate(t, url, "/stream/x")
	is.NoErr(err)
	is.Equal(body, eventsText(1, 3))
	is.Equal(a.count()+b.count(), 1)
}

// Guards against a stream that goes on elsewhere after a gap, or looks complete although it broke off.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	answer := func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(platform.HeaderSeal, "seal")
		if r.Header.Get(platform.HeaderLastEvent) == "" {
			events(w, 1, 3)
			cut(w)
		}
		events(w, 6, 7) // events 4 and 5 are missing
	}
	a, b := serve(t, answer), serve(t, answer)
	_, url := gateTo(t, a, b)
	_, _, body, err := callGate(t, url, "/stream/x")
	is.True(err != nil)
	is.Equal(body, eventsText(1, 3))
	is.Equal(a.count()+b.count(), 2)
	_, url = gateTo(t, a, b)                     // one that has not seen the servers fail
	_, _, _, err = callGate(t, url, "/broken/x") // may not be resumed
	is.True(err != nil)
	is.Equal(a.count()+b.count(), 3)
}

// Guards against a server that goes on working after its caller has left.
func TestLeavingCallerReachesTheServer(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	b := serve(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		w.Header().Set(platform.HeaderSeal, "seal")
		events(w, 1, 1)
		<-r.Context().Done()
		close(left)
	})
	_, url := gateTo(t, b)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, platform.HeaderKey)
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(c.Close())
	<-left
}

// Guards against a caller that is kept waiting beyond the route's time.
func TestCallEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(w http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	_, url := gateTo(t, b)
	started := time.Now()
	status, _, _, err := callGate(t, url, "/unsafe/x", platform.HeaderDeadline, "100")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout) // it may have run
	is.True(time.Since(started) >= 100*time.Millisecond)
}

// Guards against half an event that is passed on.
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
