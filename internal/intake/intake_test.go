package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const bodyLimit = 1 << 20

// result is what ReadBody has returned for a request.
type result struct {
	body []byte
	err  error
}

// startServer starts a guarded server that reads bodies, and returns its address and the results.
func startServer(t *testing.T, gate *Gate, connections int, until time.Duration) (string, <-chan result) {
	t.Helper()
	results := make(chan result, 64)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limits := BodyLimits{Owner: r.Header.Get("Owner"), Bytes: bodyLimit}
		if until > 0 {
			limits.Until = time.Now().Add(until)
		}
		if r.Header.Get("Announce") != "" {
			results <- result{}
		}
		body, err := gate.ReadBody(w, r, limits)
		if err != nil {
			results <- result{err: err}
			Refuse(w)
			w.WriteHeader(max(Status(err), http.StatusOK))
			return
		}
		defer body.Close()
		results <- result{body: body.Bytes()}
		if r.Header.Get("Hold") != "" {
			<-r.Context().Done()
		}
	})
	return startHandler(t, gate.Guard(connections), handler), results
}

// startHandler starts a guarded server and returns its address.
func startHandler(t *testing.T, guard *Guard, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	guard.Configure(server)
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// send opens a connection and writes text to it.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

const head = "POST / HTTP/1.1\r\nHost: h\r\nOwner: o\r\n"

// Guards against bodies that reach a backend server changed, and against broken-off bodies that are taken for complete ones.
func TestBodies(t *testing.T) {
	gate := NewGate(64<<20, 1024)
	address, results := startServer(t, gate, 100, 0)
	large := strings.Repeat("0123456789abcdef", 20_000)
	for name, c := range map[string]struct {
		text string
		want string
		err  error
	}{
		"small":                     {head + "Content-Length: 4\r\n\r\nbody", "body", nil},
		"large":                     {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(large), large), large, nil},
		"chunked":                   {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3\r\nody\r\n0\r\n\r\n", "body", nil},
		"large chunked":             {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(large), large), large, nil},
		"announced too long":        {fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, bodyLimit+1), "", ErrTooLong},
		"sent too long":             {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, 2*bodyLimit, strings.Repeat("x", bodyLimit+pieceBytes)), "", ErrTooLong},
		"broken off in the body":    {head + "Content-Length: 4\r\n\r\nbod", "", ErrIncomplete},
		"broken off in a chunk":     {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbod", "", ErrIncomplete},
		"broken off between chunks": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "", ErrIncomplete},
		"large, broken off":         {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(large), large[:100_000]), "", ErrIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connection := send(t, address, c.text).(*net.TCPConn)
			is.NoErr(connection.CloseWrite())
			got := <-results
			is.True(errors.Is(got.err, c.err) && (got.err == nil) == (c.err == nil))
			is.Equal(string(got.body), c.want)
		})
	}
	awaitHeld(t, gate, 0)
}

// awaitHeld waits until an amount of memory is held for transfers.
func awaitHeld(t *testing.T, g *Gate, bytes int64) {
	t.Helper()
	for range 1000 {
		g.mu.Lock()
		held := g.budget.Held()
		g.mu.Unlock()
		if held == bytes {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are never held", bytes)
}

// Guards against bodies that stop short of their end and keep others from sending theirs.
func TestStalledBodyMakesRoom(t *testing.T) {
	is := is.New(t)
	gate := NewGate(3<<20, 1024) // room for one body of the largest size
	address, results := startServer(t, gate, 100, 0)
	stalled := send(t, address, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, bodyLimit, strings.Repeat("x", bodyLimit-1)))
	awaitHeld(t, gate, bodyLimit-freeBytes)
	status := 0
	for status != http.StatusOK { // the first ones come before the patience with the stalled body is over
		body := bytes.NewReader(make([]byte, bodyLimit/2))
		response, err := http.Post("http://"+address, "text/plain", body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		status = response.StatusCode
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
	}
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // true: it has not run
	is.True(response.Close)
	for len(results) > 0 {
		got := <-results
		is.True(got.err == nil || errors.Is(got.err, ErrNoRoom))
	}
	awaitHeld(t, gate, 0)
}

// Guards against bodies that take for ever.
func TestBodyHasAnEnd(t *testing.T) {
	is := is.New(t)
	address, results := startServer(t, NewGate(64<<20, 1024), 100, 50*time.Millisecond)
	c := send(t, address, head+"Content-Length: 4\r\n\r\nbod")
	is.True(errors.Is((<-results).err, ErrTooSlow))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

// Guards against the deadline of a body that ends the request after the body has arrived.
func TestDeadlineOfABodyEndsWithIt(t *testing.T) {
	is := is.New(t)
	gate := NewGate(64<<20, 1024)
	gate.SetIdleTimeout(100 * time.Millisecond)
	address, results := startServer(t, gate, 100, 0)
	c := send(t, address, head+"Hold: 1\r\nContent-Length: 4\r\n\r\nbody")
	is.NoErr((<-results).err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // still open
}

// Guards against silent connections that keep others out: the one that has been idle for longest goes, those in use stay.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	address, results := startServer(t, NewGate(64<<20, 1024), 2, 0)
	used := send(t, address, head+"Hold: 1\r\nContent-Length: 4\r\n\r\nbody")
	is.NoErr((<-results).err)
	silent := send(t, address, "")
	_ = send(t, address, head+"Content-Length: 4\r\n\r\nbody")
	is.NoErr((<-results).err) // admitted in the place of the silent one
	_, err := silent.Read(make([]byte, 1))
	is.True(err != nil)
	is.NoErr(used.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = used.Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // still open
}

// Guards against small bodies that stop short of their end, which take nothing from the budget, and keep others out by their connections.
func TestStalledSmallBodiesMakeRoom(t *testing.T) {
	is := is.New(t)
	address, results := startServer(t, NewGate(64<<20, 1024), 2, 0)
	used := send(t, address, head+"Hold: 1\r\nContent-Length: 4\r\n\r\nbody")
	is.NoErr((<-results).err)
	stalled := send(t, address, head+"Announce: 1\r\nContent-Length: 4\r\n\r\nbod")
	<-results // its body is being read; before, it would be replaced as idle
	for {     // the first ones come before the patience with the stalled body is over
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nbody")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(c.Close())
		if err == nil {
			is.Equal(response.StatusCode, http.StatusOK)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, err := stalled.Read(make([]byte, 1))
	is.True(err != nil)
	incomplete := 0
	for range 2 { // in either order
		if got := <-results; errors.Is(got.err, ErrIncomplete) {
			incomplete++
		} else {
			is.NoErr(got.err)
		}
	}
	is.Equal(incomplete, 1)
	is.NoErr(used.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = used.Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // still open
}

// Guards against framing that makes the reader panic, lose memory of the budget, or take another body than net/http's own reader.
func FuzzReadBody(f *testing.F) {
	f.Add("4\r\nbody\r\n0\r\n\r\n")
	f.Add("1;x=y\r\nb\r\n3\r\nody\r\n0\r\nTrailer: x\r\n\r\n")
	f.Add("ffffffffffffffff\r\nbody")
	f.Add("4\r\nbod")
	f.Fuzz(func(t *testing.T, text string) {
		gate := NewGate(64<<20, 1024)
		read := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + text)))
			if err != nil {
				t.Skip()
			}
			return r
		}
		want, wantErr := io.ReadAll(read().Body)
		body, err := gate.ReadBody(httptest.NewRecorder(), read(), BodyLimits{Bytes: bodyLimit})
		if (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(body.Bytes(), want) {
			t.Fatalf("%q: read %v, %v; want %q, %v", text, body, err, want, wantErr)
		}
		body.Close()
		if gate.budget.Held() != 0 {
			t.Fatalf("%d bytes are still held", gate.budget.Held())
		}
	})
}

// BenchmarkReadBody reads the usual body of 1 KiB.
func BenchmarkReadBody(b *testing.B) {
	gate := NewGate(64<<20, 1024)
	w := deadlineWriter{httptest.NewRecorder()}
	text := make([]byte, 1<<10)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.ContentLength = int64(len(text))
	reader := bytes.NewReader(text)
	r.Body = io.NopCloser(reader)
	limits := BodyLimits{Bytes: 4 << 20}
	b.ReportAllocs()
	for b.Loop() {
		reader.Reset(text)
		body, err := gate.ReadBody(w, r, limits)
		if err != nil {
			b.Fatal(err)
		}
		body.Close()
	}
}

// deadlineWriter accepts deadlines, as the writer of a server does.
type deadlineWriter struct{ *httptest.ResponseRecorder }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }

// BenchmarkReadAll is what ReadBody replaced, for comparison.
func BenchmarkReadAll(b *testing.B) {
	w := httptest.NewRecorder()
	text := make([]byte, 1<<10)
	reader := bytes.NewReader(text)
	body := io.NopCloser(reader)
	b.ReportAllocs()
	for b.Loop() {
		reader.Reset(text)
		if _, err := io.ReadAll(http.MaxBytesReader(w, body, 4<<20)); err != nil {
			b.Fatal(err)
		}
	}
}
