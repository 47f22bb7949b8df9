package edge

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/tcptest"
	"github.com/banyanfront/banyanfront/platform"
)

// longBodyBytes is more than the send buffer of a client and the receive buffer of an early server hold, so that the upload stops where
// the server does not read.
const longBodyBytes = 4 << 20

// startEarlyServer starts a server that passes each connection to answer once it has read the head of a request, with the rest of the
// connection in r.
func startEarlyServer(t *testing.T, answer func(c *net.TCPConn, r *bufio.Reader, request *http.Request)) *rawServer {
	smallBuffer := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }), err)
	}}
	s := &rawServer{runs: map[string]int{}}
	s.address = tcptest.StartWith(t, &smallBuffer, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if request, err := http.ReadRequest(r); err == nil {
			s.run(request.Header.Get(platform.HeaderRequestID))
			answer(c, r, request)
		}
	})
	return s
}

// writeUnframed writes the head of a sealed answer without a length, and a part of its body.
func writeUnframed(w io.Writer, request *http.Request, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n\r\n%s", platform.HeaderRequestID,
		request.Header.Get(platform.HeaderRequestID), platform.HeaderSeal, body)
}

// Guards against a part of an answer without a length being passed on as the whole answer: its server reset the connection while the
// long body of the request was still being sent, and the write of the body took the error that the read should have had.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	long := make([]byte, longBodyBytes)
	for name, end := range tcptest.EndsDuringUpload {
		for route, part := range map[string]string{"once": "a part", "safe": "a part", "stream": eventsText(1, 2), "broken": eventsText(1, 2)} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				s := startEarlyServer(t, func(c *net.TCPConn, r *bufio.Reader, request *http.Request) {
					writeUnframed(c, request, part)
					end(c, r)
				})
				for range 5 {
					p, url := startProxy(t)
					useRawServers(p, s)
					status, _, body, err := sendBody(t, bytes.NewReader(long), url, "/"+route+"/x")
					t.Log(status, err)
					is.True(status != http.StatusOK || err != nil)
					is.True(body == "" || body == part)
				}
				is.True(s.ran("r1") > 0)
			})
		}
	}
}

// Guards against a call that waits for the end of a refusal without a length although its head says all: the server keeps the connection
// open, or takes no more of the request.
func TestRefusalWithoutALengthIsRetriedAtOnce(t *testing.T) {
	long := make([]byte, longBodyBytes)
	for name, half := range map[string]bool{"open": false, "half closed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			released := make(chan struct{})
			var requests atomic.Int32
			answer := func(c *net.TCPConn, r *bufio.Reader, request *http.Request) {
				if requests.Add(1) > 1 {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(c, sealedAnswer(request.Header.Get(platform.HeaderRequestID)))
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\n%s: 1\r\n%s: %s\r\n\r\nbusy", platform.HeaderNotRun, platform.HeaderRequestID,
					request.Header.Get(platform.HeaderRequestID))
				if half {
					_ = c.CloseWrite()
				}
				<-released
			}
			defer close(released)
			p, url := startProxy(t)
			useRawServers(p, startEarlyServer(t, answer), startEarlyServer(t, answer))
			started := time.Now()
			status, _, _, err := sendBody(t, bytes.NewReader(long), url, "/unsafe/x")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.True(time.Since(started) < time.Second)
		})
	}
}
