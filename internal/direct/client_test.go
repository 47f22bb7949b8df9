package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const identity = "X-Id"

// script serves each accepted connection by the next function and returns its address.
func script(t *testing.T, connections ...func(c net.Conn, r *bufio.Reader)) string {
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

// answer reads a request and writes a whole answer to it.
func answer(c net.Conn, r *bufio.Reader, id, body string) bool {
	if !read(r) {
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", identity, id, len(body), body)
	return err == nil
}

func read(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func request(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{}, Body: []byte("body")}
}

// ask sends a request and reads its answer.
func ask(c *Client, address, id string) (body string, answer *Answer, err error) {
	answer, failure := c.Do(context.Background(), "s", address, 0, request(id))
	if failure != nil {
		return "", nil, failure
	}
	data, err := io.ReadAll(answer.Body)
	answer.Close(err == nil)
	return string(data), answer, err
}

// Guards against a connection for each request.
func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		for i := 1; answer(c, r, fmt.Sprint(i), "x"); i++ {
		}
	})
	client := NewClient(identity)
	for i := 1; i <= 3; i++ {
		_, a, err := ask(client, address, fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(a.Reused, i > 1)
	}
}

// Guards against an answer to an earlier request that is passed on for the present one.
func TestLateAnswerIsSkippedAndItsConnectionGivenUp(t *testing.T) {
	is := is.New(t)
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		if !read(r) {
			return
		}
		for _, id := range []string{"earlier", "1"} {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\n%s", identity, id, id[:1])
		}
		read(r)
	}, func(c net.Conn, r *bufio.Reader) { answer(c, r, "2", "y") })
	client := NewClient(identity)
	body, _, err := ask(client, address, "1")
	is.NoErr(err)
	is.Equal(body, "1")
	_, a, err := ask(client, address, "2")
	is.NoErr(err)
	is.True(!a.Reused)
}

// Guards against bytes after a complete answer that are read as the next answer.
func TestExtraBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		if read(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", identity)
		}
		read(r)
	}, func(c net.Conn, r *bufio.Reader) { answer(c, r, "2", "y") })
	client := NewClient(identity)
	_, _, err := ask(client, address, "1")
	is.NoErr(err)
	body, a, err := ask(client, address, "2")
	is.NoErr(err)
	is.Equal(body, "y")
	is.True(!a.Reused)
}

// Guards against a request on a connection that the server has closed, or on which something arrived, while it was idle.
func TestIdleConnectionIsLookedAtBeforeUse(t *testing.T) {
	is := is.New(t)
	for _, end := range []string{"", "HTTP/1.1 408 Request Timeout\r\n\r\n"} {
		idle := make(chan struct{})
		address := script(t, func(c net.Conn, r *bufio.Reader) {
			answer(c, r, "1", "x")
			_, _ = io.WriteString(c, end)
			if end == "" {
				_ = c.Close()
			}
			close(idle)
			read(r)
		}, func(c net.Conn, r *bufio.Reader) { answer(c, r, "2", "y") })
		client := NewClient(identity)
		_, _, err := ask(client, address, "1")
		is.NoErr(err)
		<-idle
		for {
			client.mu.Lock()
			kept := client.hosts[address+" s"] != nil && len(client.hosts[address+" s"].idle) == 1
			client.mu.Unlock()
			if !kept || !quiet(client.hosts[address+" s"].idle[0].Conn) {
				break
			}
			time.Sleep(time.Millisecond)
		}
		body, a, err := ask(client, address, "2")
		is.NoErr(err)
		is.Equal(body, "y")
		is.True(!a.Reused)
	}
}

// Guards against a request that may have run and is reported as not sent, or the other way round.
func TestFailureTellsWhetherTheRequestWasSent(t *testing.T) {
	is := is.New(t)
	client := NewClient(identity)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	_, failure := client.Do(context.Background(), "s", closed.Addr().String(), 0, request("1"))
	is.True(failure != nil && !failure.Sent)

	address := script(t, func(_ net.Conn, r *bufio.Reader) { read(r) })
	_, failure = client.Do(context.Background(), "s", address, 0, request("1"))
	is.True(failure != nil && failure.Sent)

	is.Equal(len(client.hosts), 0) // ended connections count no more
}

// Guards against more connections than a server accepts from this instance.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		answer(c, r, "1", "x")
		read(r)
	})
	client := NewClient(identity)
	first, failure := client.Do(context.Background(), "s", address, 1, request("1"))
	is.Equal(failure, nil)
	_, failure = client.Do(context.Background(), "s", address, 1, request("2"))
	is.True(failure != nil && !failure.Sent && errors.Is(failure.Err, ErrTooManyConnections))
	first.Close(false)
	is.Equal(len(client.hosts), 0)
}

// Guards against an answer that ends early and looks complete.
func TestAnswerThatEndsEarlyIsAnError(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		address := script(t, func(c net.Conn, r *bufio.Reader) {
			if read(r) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n%s", identity, head)
			}
		})
		_, _, err := ask(NewClient(identity), address, "1")
		is.True(err != nil)
	}
}

// Guards against an answer without a length that is lost, or whose connection is used again.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		if read(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\nall", identity)
		}
	})
	client := NewClient(identity)
	body, a, err := ask(client, address, "1")
	is.NoErr(err)
	is.Equal(body, "all")
	is.True(!a.Framed)
	is.Equal(len(client.hosts), 0)
}

// Guards against the rest of a long body that is taken for the next request by a server which answered early.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	is := is.New(t)
	rest, closed := make(chan int64, 1), make(chan struct{})
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 429 Too Many Requests\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", identity)
		<-closed
		n, _ := io.Copy(io.Discard, r)
		rest <- n
	})
	client := NewClient(identity)
	long := request("1")
	long.Body = []byte(strings.Repeat("b", 16<<20))
	a, failure := client.Do(context.Background(), "s", address, 0, long)
	is.Equal(failure, nil)
	is.Equal(a.Status, http.StatusTooManyRequests)
	a.Close(true)
	close(closed)
	is.True(<-rest < int64(len(long.Body))) // the body was cut off
	is.Equal(len(client.hosts), 0)
}

// Guards against a server that goes on working for a caller who has left.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address := script(t, func(c net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, failure := NewClient(identity).Do(ctx, "s", address, 0, request("1"))
	is.True(failure != nil && errors.Is(failure.Err, context.Canceled))
	<-closed
}

// Guards against headers of one connection that are passed on to the next.
func TestEndToEndDropsWhatConcernsOneConnection(t *testing.T) {
	is := is.New(t)
	out := EndToEnd(http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-End": {"2"}, "Te": {"trailers"}})
	is.Equal(out, http.Header{"X-End": {"2"}})
}

// Guards against a request that a server takes up long after its caller has left: one that stood still meanwhile finds the
// request in its connection, unless that was reset.
func TestRequestIsTakenBackWhenItsContextEnds(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client := NewClient(identity)
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
	_, err = io.ReadFull(c, first) // the request has arrived, and the server stands still
	is.NoErr(err)
	cancel()
	failure := <-ended
	is.True(failure != nil && failure.Sent && errors.Is(failure.Err, context.Canceled))
	_, err = io.ReadAll(c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
