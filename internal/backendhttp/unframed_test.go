package backendhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/responseend"
	"github.com/banyanfront/banyanfront/internal/tcptest"
)

// longRequest returns a request whose body is written while the response is read.
func longRequest(id string, length int) *Request {
	r := request(id)
	r.Body = [][]byte{[]byte(strings.Repeat("b", length))}
	return r
}

// Guards against a response without a length that counts as complete although its connection was reset: the error went to the write of the
// body, and the read found the end of the connection.
func TestResetThatOnlyAWriteReportsBreaksTheResponse(t *testing.T) {
	is := is.New(t)
	c := tcptest.NewResetConn("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\na part")
	response, failure := NewClient(requestIDHeader).exchange(newConn(c, "k"), longRequest("1", 1<<20))
	is.Equal(failure, nil)
	body, err := io.ReadAll(response.Body)
	is.Equal(string(body), "a part")
	is.True(errors.Is(err, responseend.ErrBrokenOff))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// sendToEarlyServer sends a long body to a server that responds without a length when it has the head, ends its side of the connection and
// passes it to rest. It returns the body of the response.
func sendToEarlyServer(t *testing.T, ctx context.Context, length int, rest func(c *net.TCPConn, r *bufio.Reader)) (string, error) {
	t.Helper()
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		tcp := c.(*net.TCPConn)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nanswer")
		_ = tcp.CloseWrite()
		rest(tcp, r)
	})
	client := NewClient(requestIDHeader)
	response, failure := client.Do(ctx, "s", address, 0, longRequest("1", length))
	if failure != nil {
		t.Fatal(failure)
	}
	body, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	is.New(t).Equal(len(client.pools), 0)
	return string(body), err
}

// Guards against a response without a length that counts as complete although its server ended in the middle of the request: the connection
// ends in order and is reset only when more of the request arrives.
func TestEndBeforeTheWholeRequestBreaksTheResponse(t *testing.T) {
	for _, length := range []int{256 << 10, 4 << 20, 16 << 20} { // the socket buffers take the first at once, and never the last
		is := is.New(t)
		_, err := sendToEarlyServer(t, t.Context(), length, func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = r.Discard(64 << 10)
			time.Sleep(5 * time.Millisecond) // the client finds the end before the reset
			_ = c.SetLinger(0)
		})
		is.True(errors.Is(err, responseend.ErrBrokenOff))
	}
}

// Guards against a response without a length that is lost although its server receives the whole request after it.
func TestResponseBeforeTheWholeRequestIsComplete(t *testing.T) {
	for _, length := range []int{256 << 10, 4 << 20, 16 << 20} {
		is := is.New(t)
		body, err := sendToEarlyServer(t, t.Context(), length, func(_ *net.TCPConn, r *bufio.Reader) { _, _ = r.Discard(length) })
		is.NoErr(err)
		is.Equal(body, "answer")
	}
}

// Guards against a caller that waits beyond its deadline for a server that takes no more of the request.
func TestEndOfTheContextEndsTheWaitForTheRequest(t *testing.T) {
	for _, length := range []int{1 << 20, 16 << 20} { // the socket buffers take all or a part
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		released := make(chan struct{})
		_, err := sendToEarlyServer(t, ctx, length, func(*net.TCPConn, *bufio.Reader) {
			time.AfterFunc(10*time.Millisecond, cancel)
			<-released
		})
		close(released)
		is.True(errors.Is(err, responseend.ErrBrokenOff))
		is.True(errors.Is(err, net.ErrClosed))
	}
}
