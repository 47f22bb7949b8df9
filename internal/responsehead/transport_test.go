package responsehead

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/responseend"
	"github.com/banyanfront/banyanfront/internal/tcptest"
)

// startServer starts a server that passes each connection to serve once it has read a request from it, and returns its URL.
func startServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	return "http://" + tcptest.Start(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			serve(c, r)
		}
	})
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

// Guards against a connection that is used again after an invalid trailer.
func TestConnectionIsClosedAfterAnInvalidTrailer(t *testing.T) {
	is := is.New(t)
	closed := make(chan error, 1)
	url := startServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Field: 1\r\n\r\n")
		_, err := r.ReadByte()
		closed <- err
	})
	response, err := newClient(t).Get(url)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.Equal(string(body), "body")
	var invalid *Error
	is.True(errors.As(err, &invalid))
	is.NoErr(response.Body.Close())
	is.True(<-closed != nil)
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

// Guards against a response without a length that counts as complete although its connection was reset: the error went to the write of the
// request, and the read found the end of the connection.
func TestResetThatOnlyAWriteReportsBreaksTheResponse(t *testing.T) {
	is := is.New(t)
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return tcptest.NewResetConn("HTTP/1.1 200 OK\r\n\r\na part"), nil
	}})}
	response, err := client.Post("http://server/", "text/plain", strings.NewReader(strings.Repeat("b", 1<<20)))
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.Equal(string(body), "a part")
	is.True(errors.Is(err, responseend.ErrBrokenOff))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.NoErr(response.Body.Close())
}

// Guards against a response over TLS that counts as complete although its connection broke while the request was being written: crypto/tls
// takes the end of the connection for that of the response, even without close_notify.
func TestResetOverTLSBreaksTheResponse(t *testing.T) {
	is := is.New(t)
	taken := make(chan struct{}) // the client has the head, after which a failed write is no error of the request any more
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part")
		tcp := c.(*tls.Conn).NetConn().(*net.TCPConn)
		<-taken
		tcptest.EndThenReset(tcp)
		_ = tcp.Close()
	}))
	defer server.Close()
	base := server.Client().Transport.(*http.Transport).Clone()
	base.DialContext, base.ForceAttemptHTTP2, base.TLSNextProto = nil, false, map[string]func(string, *tls.Conn) http.RoundTripper{}
	client := &http.Client{Transport: NewTransport(base)}
	defer client.CloseIdleConnections()
	for range 5 {
		response, err := client.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("b", 16<<20)))
		is.NoErr(err)
		taken <- struct{}{}
		_, err = io.ReadAll(response.Body)
		is.True(err != nil)
		is.NoErr(response.Body.Close())
	}
}
