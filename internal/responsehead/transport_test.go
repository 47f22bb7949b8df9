package responsehead

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// startServer starts a server that passes each connection to serve once it has read a request from it, and returns its URL.
func startServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err == nil {
					serve(c, r)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// newClient returns a client of a Transport that is closed with the test.
func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// maxSentBytes is what a server can send before it notices that the client has closed the connection: socket buffers of both ends.
const maxSentBytes = 16 << 20

// Guards against interim responses without end: http.Transport no longer limits them once somebody looks at them.
func TestEndlessInterimResponsesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	closed := make(chan struct{})
	url := startServer(t, func(c net.Conn, _ *bufio.Reader) {
		defer close(closed)
		block := strings.Repeat("HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n", 1000)
		for err := error(nil); err == nil; sent.Add(int64(len(block))) {
			_, err = io.WriteString(c, block)
		}
	})
	_, err := newClient(t).Get(url)
	var invalid *Error
	is.True(errors.As(err, &invalid))
	<-closed
	is.True(sent.Load() < maxSentBytes)
}

// Guards against a connection that is used again after an invalid response without a body: what follows belongs to no request.
func TestConnectionIsClosedAfterAnInvalidHead(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 200 OK\r\nX Field: 1\r\n"} {
		is := is.New(t)
		var requests atomic.Int64
		closed := make(chan error, 1)
		url := startServer(t, func(c net.Conn, r *bufio.Reader) {
			requests.Add(1)
			_, _ = io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
			_, err := r.ReadByte()
			closed <- err
		})
		_, err := newClient(t).Get(url)
		var invalid *Error
		is.True(errors.As(err, &invalid))
		is.True(<-closed != nil)
		is.Equal(requests.Load(), int64(1))
	}
}

// Guards against sound responses being refused, with interim ones before them.
func TestSoundResponsesArePassedOn(t *testing.T) {
	for _, status := range []string{"200 OK", "204 None", "304 Same", "404 None", "500 Failed", "599 Other"} {
		is := is.New(t)
		url := startServer(t, func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n", MaxInterim)+"HTTP/1.1 "+status+
				"\r\nx-field_1.~!#$%&'*+^`|: value \t(with) blanks\r\nX-Empty:\r\nContent-Length: 0\r\n\r\n")
		})
		response, err := newClient(t).Get(url)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.Status, status)
		is.Equal(len(response.Header), 3)
	}
}
