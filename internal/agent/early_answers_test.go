package agent

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/tcptest"
)

// longBodyBytes is more than the socket buffers of both ends hold.
const longBodyBytes = 16 << 20

// agentBeforeEarlyServer returns an agent beside a server that answers each request without a length when it has the head, and passes the
// connection to end.
func agentBeforeEarlyServer(t *testing.T, answer string, end func(c *net.TCPConn, r *bufio.Reader)) *Agent {
	t.Helper()
	log.SetHandler(discard.Default)
	address := tcptest.Start(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for line := "x"; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+answer)
		end(c, r)
	})
	a, err := New(Config{Announcement: fleet.Announcement{Server: "engine", Incarnation: 7, Capacity: 32},
		BackendURL: "http://" + address, ReportInterval: 2 * time.Second, FirstTokenBound: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.backend.close)
	return a
}

// longAttempt returns an attempt whose body is sent while its answer is read.
func longAttempt(key string) *protocol.Open {
	return &protocol.Open{Attempt: "attempt" + key, Key: key, Incarnation: 7, Method: "POST", Path: "/x", DeadlineMS: 10_000,
		Body: bytes.Repeat([]byte("b"), longBodyBytes)}
}

// Guards against a part of an answer without a length that counts as the whole: its server reset the connection while the long body of the
// request was still being sent, and the write of the body took the error that the read should have had.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"reset at once":      func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) },
		"closed unread":      func(*net.TCPConn, *bufio.Reader) {},
		"reset after a part": func(c *net.TCPConn, r *bufio.Reader) { _, _ = r.Discard(1 << 20); _ = c.SetLinger(0) },
		"reset after its end": func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			time.Sleep(5 * time.Millisecond) // the agent finds the end before the reset
			_ = c.SetLinger(0)
		},
	} {
		for key, outcome := range map[string]protocol.Outcome{"": protocol.OutcomeFailed, "order-1": protocol.OutcomeUnknown} {
			t.Run(name+"/"+key, func(t *testing.T) {
				is := is.New(t)
				for range 5 {
					st := &recordingStream{}
					agentBeforeEarlyServer(t, "a part", end).StreamOpened(st, longAttempt(key))
					t.Log(st.end.Reason)
					is.Equal(st.end.Outcome, outcome)
				}
			})
		}
	}
}

// Guards against an answer without a length that is lost although its server receives the whole request after it.
func TestAnswerBeforeTheWholeRequestIsComplete(t *testing.T) {
	is := is.New(t)
	a := agentBeforeEarlyServer(t, "an answer", func(c *net.TCPConn, r *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = r.Discard(longBodyBytes)
	})
	st := &recordingStream{}
	a.StreamOpened(st, longAttempt(""))
	is.Equal(st.end.Outcome, protocol.OutcomeDone)
	is.Equal(st.parts, 2) // head and body
}

// Guards against an attempt that lasts beyond its deadline because its server takes no more of the request.
func TestDeadlineEndsTheWaitForTheRequest(t *testing.T) {
	is := is.New(t)
	released := make(chan struct{})
	a := agentBeforeEarlyServer(t, "an answer", func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		<-released
	})
	open := longAttempt("")
	open.DeadlineMS = 50
	st := &recordingStream{}
	a.StreamOpened(st, open)
	close(released)
	is.Equal(st.end.Outcome, protocol.OutcomeFailed)
}
