package backendhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const requestIDHeader = "X-Id"

// startServer starts a server that passes each accepted connection to the next function, and returns its address.
func startServer(t *testing.T, connections ...func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, serve := range connections {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// respond reads a request and writes a complete response to it.
func respond(c net.Conn, r *bufio.Reader, id, body string) bool {
	if !readRequest(r) {
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", requestIDHeader, id, len(body), body)
	return err == nil
}

// readRequest reads a whole request and reports whether that succeeded.
func readRequest(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// request returns a POST request with a short body.
func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("body")}}
}

// send sends a request and reads its response.
func send(c *Client, address, id string) (body string, response *Response, err error) {
	response, failure := c.Do(context.Background(), "s", address, 0, request(id))
	if failure != nil {
		return "", nil, failure
	}
	data, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	return string(data), response, err
}

// Guards against opening a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for i := 1; respond(c, r, fmt.Sprint(i), "x"); i++ {
		}
	})
	client := NewClient(requestIDHeader)
	for i := 1; i <= 3; i++ {
		_, response, err := send(client, address, fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(response.Reused, i > 1)
	}
}

// Guards against returning a late response to an earlier request as the response to the current one.
func TestLateResponseIsSkippedAndItsConnectionClosed(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		for _, id := range []string{"earlier", "1"} {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\n%s", requestIDHeader, id, id[:1])
		}
		readRequest(r)
	}, func(c net.Conn, r *bufio.Reader) { respond(c, r, "2", "y") })
	client := NewClient(requestIDHeader)
	body, _, err := send(client, address, "1")
	is.NoErr(err)
	is.Equal(body, "1")
	_, response, err := send(client, address, "2")
	is.NoErr(err)
	is.True(!response.Reused)
}

// Guards against reading bytes after a complete response as the next response.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", requestIDHeader)
		}
		readRequest(r)
	}, func(c net.Conn, r *bufio.Reader) { respond(c, r, "2", "y") })
	client := NewClient(requestIDHeader)
	_, _, err := send(client, address, "1")
	is.NoErr(err)
	body, response, err := send(client, address, "2")
	is.NoErr(err)
	is.Equal(body, "y")
	is.True(!response.Reused)
}

// Guards against sending a request on a connection that the server closed, or on which data arrived, while it was idle.
func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	is := is.New(t)
	for _, end := range []string{"", "HTTP/1.1 408 Request Timeout\r\n\r\n"} {
		idle := make(chan struct{})
		address := startServer(t, func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "1", "x")
			_, _ = io.WriteString(c, end)
			if end == "" {
				_ = c.Close()
			}
			close(idle)
			readRequest(r)
		}, func(c net.Conn, r *bufio.Reader) { respond(c, r, "2", "y") })
		client := NewClient(requestIDHeader)
		_, _, err := send(client, address, "1")
		is.NoErr(err)
		<-idle
		for {
			client.mu.Lock()
			kept := client.pools[address+" s"] != nil && len(client.pools[address+" s"].idle) == 1
			client.mu.Unlock()
			if !kept || !idleAndOpen(client.pools[address+" s"].idle[0].Conn) {
				break
			}
			time.Sleep(time.Millisecond)
		}
		body, response, err := send(client, address, "2")
		is.NoErr(err)
		is.Equal(body, "y")
		is.True(!response.Reused)
	}
}

// Guards against reporting a request that may have run as not sent, or the other way round.
func TestFailureReportsWhetherTheRequestWasSent(t *testing.T) {
	is := is.New(t)
	client := NewClient(requestIDHeader)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	_, failure := client.Do(context.Background(), "s", closed.Addr().String(), 0, request("1"))
	is.True(failure != nil && !failure.Sent)

	address := startServer(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	_, failure = client.Do(context.Background(), "s", address, 0, request("1"))
	is.True(failure != nil && failure.Sent)

	is.Equal(len(client.pools), 0) // closed connections no longer count
}

// Guards against opening more connections than a server accepts from this instance.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		respond(c, r, "1", "x")
		readRequest(r)
	})
	client := NewClient(requestIDHeader)
	first, failure := client.Do(context.Background(), "s", address, 1, request("1"))
	is.Equal(failure, nil)
	_, failure = client.Do(context.Background(), "s", address, 1, request("2"))
	is.True(failure != nil && !failure.Sent && errors.Is(failure.Err, ErrTooManyConnections))
	first.Close(false)
	is.Equal(len(client.pools), 0)
}

// Guards against treating a truncated response as complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		address := startServer(t, func(c net.Conn, r *bufio.Reader) {
			if readRequest(r) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n%s", requestIDHeader, head)
			}
		})
		_, _, err := send(NewClient(requestIDHeader), address, "1")
		is.True(err != nil)
	}
}

// Guards against losing a response without a length, or reusing its connection.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\nall", requestIDHeader)
		}
	})
	client := NewClient(requestIDHeader)
	body, response, err := send(client, address, "1")
	is.NoErr(err)
	is.Equal(body, "all")
	is.True(!response.Framed)
	is.Equal(len(client.pools), 0)
}

// Guards against a server that responded early reading the rest of a long body as the next request.
func TestEarlyResponseToALongBodyClosesTheConnection(t *testing.T) {
	is := is.New(t)
	rest, closed := make(chan int64, 1), make(chan struct{})
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 429 Too Many Requests\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", requestIDHeader)
		<-closed
		n, _ := io.Copy(io.Discard, r)
		rest <- n
	})
	client := NewClient(requestIDHeader)
	long := request("1")
	long.Body = [][]byte{[]byte(strings.Repeat("b", 16<<20))}
	response, failure := client.Do(context.Background(), "s", address, 0, long)
	is.Equal(failure, nil)
	is.Equal(response.Status, http.StatusTooManyRequests)
	response.Close(true)
	close(closed)
	is.True(<-rest < int64(len(long.Body[0]))) // the body was truncated
	is.Equal(len(client.pools), 0)
}

// Guards against a server that continues to work for a caller that has disconnected.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, failure := NewClient(requestIDHeader).Do(ctx, "s", address, 0, request("1"))
	is.True(failure != nil && errors.Is(failure.Err, context.Canceled))
	<-closed
}

// Guards against forwarding hop-by-hop headers.
func TestEndToEndDropsHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	out := EndToEnd(http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-End": {"2"}, "Te": {"trailers"}})
	is.Equal(out, http.Header{"X-End": {"2"}})
}

// Guards against a stalled server that runs a request long after its caller has disconnected: the request stays in the
// server's receive buffer unless the connection is reset.
func TestConnectionIsResetWhenTheContextEnds(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client := NewClient(requestIDHeader)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan *Failure)
	go func() {
		_, failure := client.Do(ctx, "s", listener.Addr().String(), 0, request("1"))
		ended <- failure
	}()
	c, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	first := make([]byte, 1)
	_, err = io.ReadFull(c, first) // the request has arrived, and the server stalls
	is.NoErr(err)
	cancel()
	failure := <-ended
	is.True(failure != nil && failure.Sent && errors.Is(failure.Err, context.Canceled))
	_, err = io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// Guards against a server whose machine is alive but that is taken for unreachable: only silence and a missing path count.
func TestUnreachableIsSilence(t *testing.T) {
	is := is.New(t)
	for err, want := range map[error]bool{os.ErrDeadlineExceeded: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true, syscall.ETIMEDOUT: true,
		syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, io.ErrUnexpectedEOF: false, ErrTooManyConnections: false} {
		is.Equal((&Failure{Err: &net.OpError{Op: "dial", Err: err}}).Unreachable(), want)
	}
}

// Guards against a connection opened without a request that is lost or not reused.
func TestConnectionIsOpenedForALaterRequest(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	defer server.Close()
	client, address := NewClient("X-Id"), strings.TrimPrefix(server.URL, "http://")
	is.NoErr(client.Connect(t.Context(), "i", address, 1))
	is.Equal(client.Connect(t.Context(), "i", address, 1), ErrTooManyConnections)
	response, failure := client.Do(t.Context(), "i", address, 1, &Request{ID: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {"r"}}})
	is.True(failure == nil)
	is.True(response.Reused)
	response.Close(true)
	server.Close()
	is.True(client.Connect(t.Context(), "j", address, 1) != nil)
	is.True(client.pools[address+" j"] == nil) // a failed connection does not count
}
