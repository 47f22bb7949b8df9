package agent

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/tcptest"
)

// longBodyBytes is more than the socket buffers of both ends hold.
const longBodyBytes = 16 << 20

// agentBeforeEarlyServer returns an agent beside a server that answers each request without a length when it has the head, and passes the
// connection to end.
func agentBeforeEarlyServer(t *testing.T, answer string, end func(c *net.TCPConn, r *bufio.Reader)) *Agent {
	t.Helper()
	address := tcptest.Start(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+answer)
		end(c, r)
	})
	a := newAgent(t, "http://"+address, nil)
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
	for name, end := range tcptest.EndsDuringUpload {
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
