package backendhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxSentBytes is what a server can send before it notices that the client has closed the connection: the limits of the
// client and the socket buffers of both ends.
const maxSentBytes = 16 << 20

// startEndless starts a server that answers each request with a beginning and then repeats a part until the connection is
// closed. sent counts the bytes.
func startEndless(t *testing.T, begin, repeat string, sent *atomic.Int64) string {
	t.Helper()
	block := []byte(strings.Repeat(repeat, 1+32<<10/len(repeat)))
	return startServer(t, func(c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		n, err := io.WriteString(c, begin)
		for sent.Add(int64(n)); err == nil; sent.Add(int64(n)) {
			n, err = c.Write(block)
		}
	})
}

// Guards against a server whose bytes have no end before the head of its response is complete: the client read them until
// the deadline, hundreds of MiB for one request.
func TestEndlessHeadClosesTheConnection(t *testing.T) {
	for name, form := range map[string]struct {
		begin, repeat string
		err           error
	}{
		"status line":       {"HTTP/1.1 200 ", "x", ErrHeadTooLong},
		"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "x", ErrHeadTooLong},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n", ErrHeadTooLong},
		"no HTTP":           {"", "\x00", ErrHeadTooLong},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", ErrInterimTooMany},
		"long interim":      {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", ErrHeadTooLong},
		"other responses":   {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx", ErrSkippedTooOften},
		"other response":    {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x", ErrSkippedTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			address := startEndless(t, form.begin, form.repeat, &sent)
			client := NewClient(requestIDHeader)
			_, failure := client.Do(t.Context(), "s", address, 0, request("1"))
			is.True(failure != nil && failure.Sent)
			is.True(errors.Is(failure.Err, form.err))
			is.True(sent.Load() < maxSentBytes)
			is.Equal(len(client.pools), 0)
		})
	}
}

// Guards against chunk extensions or trailers without end, which carry no body and would be read until the deadline.
func TestEndlessChunkSyntaxIsAnError(t *testing.T) {
	for name, form := range map[string][2]string{
		"chunk size": {"", "0"},
		"extension":  {"1;a=", "x"},
		"extensions": {"", "1;" + strings.Repeat("x", 200) + "\r\nb\r\n"},
		"trailer":    {"0\r\n", "X-Trailer: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			address := startEndless(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+form[0], form[1], &sent)
			_, _, err := send(NewClient(requestIDHeader), address, "1")
			is.True(err != nil)
			is.True(sent.Load() < maxSentBytes)
		})
	}
}

// Guards against a body without end that ends as complete, or that is not cut at the end of the context.
func TestEndlessBodyEndsWithTheContext(t *testing.T) {
	for _, framing := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		is := is.New(t)
		var sent atomic.Int64
		address := startEndless(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+framing+"\r\n", "1\r\nx\r\n", &sent)
		ctx, cancel := context.WithCancel(context.Background())
		client := NewClient(requestIDHeader)
		response, failure := client.Do(ctx, "s", address, 0, request("1"))
		is.Equal(failure, nil)
		_, err := io.CopyN(io.Discard, response.Body, 1<<20)
		is.NoErr(err)
		cancel()
		_, err = io.Copy(io.Discard, response.Body)
		is.True(err != nil)
		response.Close(false)
		is.Equal(len(client.pools), 0)
	}
}

// Guards against limits that reject what servers may send.
func TestLongHeadAndLongBodyPass(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", 8<<20)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for i := 1; readRequest(r); i++ {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %d\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", i,
				strings.Repeat("x", 64<<10), len(body), body)
		}
	})
	client := NewClient(requestIDHeader)
	for i := 1; i <= 3; i++ {
		got, response, err := send(client, address, fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(len(got), len(body))
		is.Equal(response.Reused, i > 1)
	}
}

// byteConn is a connection whose peer has sent the given bytes and closed it.
type byteConn struct {
	net.Conn
	*bytes.Reader
}

func (c byteConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func (byteConn) Write(p []byte) (int, error)     { return len(p), nil }
func (byteConn) Close() error                    { return nil }
func (byteConn) SetDeadline(time.Time) error     { return nil }
func (byteConn) SetReadDeadline(time.Time) error { return nil }

// FuzzExchange guards against bytes of a server that crash the client, or make it accept a response to another request.
func FuzzExchange(f *testing.F) {
	for _, seed := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nxx\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 1000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		connection := newConn(byteConn{Reader: bytes.NewReader(data)}, "k")
		client := NewClient(requestIDHeader)
		response, failure := client.exchange(connection, request("1"))
		if failure != nil {
			return
		}
		if id := response.Header.Get(requestIDHeader); id != "1" && (id != "" || response.Status < http.StatusMultipleChoices) {
			t.Fatalf("response to request %q accepted with status %d", id, response.Status)
		}
		if n, _ := io.Copy(io.Discard, response.Body); n > int64(len(data)) {
			t.Fatalf("a body of %d bytes was read from %d bytes", n, len(data))
		}
	})
}
