package edge

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// respondUnframed sends a response with neither a length nor chunks, which ends with its connection. With reset, the
// connection is reset after the body.
func respondUnframed(t *testing.T, w http.ResponseWriter, r *http.Request, body string, reset bool) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\n%s", platform.HeaderRequestID,
		r.Header.Get(platform.HeaderRequestID), platform.HeaderSeal, body)
	if tcp, ok := connection.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// Guards against an answer without a length that is taken for truncated although it is complete, and against one that is
// reset on the way being passed on as complete.
func TestUnframedAnswer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		b := startBackend(t, func(w http.ResponseWriter, r *http.Request, _ int) { respondUnframed(t, w, r, "answer", reset) })
		_, url := startProxy(t, b)
		status, header, body, err := send(t, url, "/once/x")
		is.NoErr(err)
		if reset {
			is.Equal(status, http.StatusBadGateway)
			is.Equal(header.Get(platform.HeaderSeal), "")
			continue
		}
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get(platform.HeaderSeal), "seal")
		is.Equal(body, "answer")
	}
}

// Guards against a stream without a length being passed on as complete where it was broken off: within an event, or before the
// first one, as by an engine that ends when it begins to write. One that may be resumed is, at the next event.
func TestUnframedStream(t *testing.T) {
	for name, truncated := range map[string]string{"within an event": eventsText(1, 2) + "id: 3\nda", "before the empty line": eventsText(1, 2) + "id: 3\ndata: 3\n",
		"before the first event": "", "within the first event": "id: 1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			respond := func(w http.ResponseWriter, r *http.Request, n int) {
				switch r.Header.Get(platform.HeaderLastEvent) {
				case "2":
					respondUnframed(t, w, r, eventsText(3, 4), false)
				case "":
					respondUnframed(t, w, r, truncated, false)
				}
			}
			whole := func(w http.ResponseWriter, r *http.Request, n int) {
				if r.Header.Get(platform.HeaderLastEvent) == "" {
					respondUnframed(t, w, r, eventsText(1, 4), false)
					return
				}
				respond(w, r, n)
			}
			_, url := startProxy(t, startBackend(t, respond))
			status, _, body, err := send(t, url, "/broken/x")
			is.True(status != http.StatusOK || err != nil) // not complete
			is.True(len(body) == 0 || body == eventsText(1, 2))
			a := startBackend(t, whole)
			_, url = startProxy(t, a)
			status, header, body, err := send(t, url, "/stream/x")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(header.Get(platform.HeaderSeal), "seal")
			is.Equal(body, eventsText(1, 4))
			b := startBackend(t, respond)
			_, url = startProxy(t, b, startBackend(t, whole))
			for range 4 {
				_, _, body, err = send(t, url, "/stream/x")
				is.NoErr(err)
				is.Equal(body, eventsText(1, 4))
			}
			is.True(b.count() > 0)
		})
	}
}
