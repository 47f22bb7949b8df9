package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// recordingStream is attemptStream that counts what reaches the entry instance of an answer.
type recordingStream struct {
	attemptStream
	parts int
}

func (s *recordingStream) Send(ctx context.Context, m protocol.Message) error {
	if _, ok := m.(*protocol.End); !ok {
		s.parts++
	}
	return s.attemptStream.Send(ctx, m)
}

// newAgent returns an agent beside the server at a URL, to which dial connects; nil is the network.
func newAgent(t *testing.T, url string, dial func(context.Context, string, string) (net.Conn, error)) *Agent {
	t.Helper()
	log.SetHandler(discard.Default)
	a, err := New(Config{Announcement: fleet.Announcement{Server: "engine", Incarnation: 7, Capacity: 32}, BackendURL: url,
		ReportInterval: 2 * time.Second, FirstTokenBound: time.Second, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// agentBefore returns an agent beside a server that sends the same bytes in answer to each request.
func agentBefore(t *testing.T, answer string) *Agent {
	t.Helper()
	return newAgent(t, "http://engine", func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(far, answer)
		}()
		return near, nil
	})
}

// answerIsRefused checks that each reader of the agent takes the answer of its server for a failure.
func answerIsRefused(t *testing.T, answer string) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := agentBefore(t, answer)
		defer a.backend.close()
		for key, outcome := range map[string]protocol.Outcome{"": protocol.OutcomeFailed, "order-1": protocol.OutcomeUnknown} {
			st := &recordingStream{}
			a.StreamOpened(st, &protocol.Open{Attempt: "attempt" + key, Key: key, Incarnation: 7, Method: "POST", Path: "/x", DeadlineMS: 1000})
			is.Equal(st.parts, 0) // no part of the answer reaches the entry instance
			is.Equal(st.end.Outcome, outcome)
		}
		is.True(!a.backend.healthy(t.Context()))
		_, ok := a.backend.load(t.Context())
		is.True(!ok)
		is.True(a.backend.sendOrder(&protocol.Order{ID: "o", Action: "load", Model: "m"}) != nil)
	})
}

// loadAnswer returns an answer that each reader of the agent takes if the status is 200 OK, with further header lines.
func loadAnswer(status, lines string) string {
	return "HTTP/1.1 " + status + "\r\n" + lines + "Content-Length: 27\r\n\r\n" + `{"kvUsed":0.5,"stepTime":1}`
}

// Guards against a test that passes whatever the server sends.
func TestSoundAnswerIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := agentBefore(t, loadAnswer("200 OK", "X-Field: 1\r\n"))
		defer a.backend.close()
		st := &recordingStream{}
		a.StreamOpened(st, &protocol.Open{Attempt: "attempt", Incarnation: 7, Method: "POST", Path: "/x", DeadlineMS: 1000})
		is.Equal(st.end.Outcome, protocol.OutcomeDone)
		is.True(st.parts > 0)
		is.True(a.backend.healthy(t.Context()))
		_, ok := a.backend.load(t.Context())
		is.True(ok)
		is.NoErr(a.backend.sendOrder(&protocol.Order{ID: "o", Action: "load", Model: "m"}))
	})
}

// Guards against an answer whose status HTTP does not define: with 000 it reached the entry instance, its server counted as healthy and
// an order as carried out.
func TestAnswerWithAnUndefinedStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 OK", "+20 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		t.Run(status, func(t *testing.T) {
			answerIsRefused(t, loadAnswer(status, ""))
			answerIsRefused(t, "HTTP/1.1 103 Hints\r\n\r\n"+loadAnswer(status, ""))
			answerIsRefused(t, loadAnswer(status, "")+loadAnswer("200 OK", ""))
		})
	}
}

// Guards against an answer in whose head the name of a field holds a blank: it reached the entry instance with that field, and where the
// field told the length of the body, with whatever else the server sent.
func TestAnswerWithABrokenFieldNameIsRefused(t *testing.T) {
	for _, line := range []string{"X Field: 1", "X-Field : 1", "X-Field\t: 1", "X\x00Field: 1", "X-Field\x01: 1", "X\rField: 1", "X(Field): 1",
		"Content-Length : 10", "Transfer-Encoding : chunked"} {
		t.Run(line, func(t *testing.T) {
			answerIsRefused(t, loadAnswer("200 OK", line+"\r\n"))
			answerIsRefused(t, loadAnswer("404 None", line+"\r\n"))
			answerIsRefused(t, "HTTP/1.1 103 Hints\r\n"+line+"\r\n\r\n"+loadAnswer("200 OK", ""))
		})
	}
}

// Guards against an answer with a line that begins with a blank: it reached the entry instance as a part of the field before.
func TestAnswerWithAFoldedLineIsRefused(t *testing.T) {
	for _, line := range []string{" X-Field: 1", "\tX-Field: 1", " ", " Content-Length: 10", " Transfer-Encoding: chunked"} {
		t.Run(line, func(t *testing.T) {
			answerIsRefused(t, loadAnswer("200 OK", "X-First: 1\r\n"+line+"\r\n"))
			answerIsRefused(t, loadAnswer("404 None", "X-First: 1\r\n"+line+"\r\n"))
			answerIsRefused(t, "HTTP/1.1 103 Hints\r\nLink: a\r\n"+line+"\r\n\r\n"+loadAnswer("200 OK", ""))
			answerIsRefused(t, "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"+loadAnswer("200 OK", "X-First: 1\r\n"+line+"\r\n"))
		})
	}
}

// Guards against an answer of HTTP/1.0 that claims to come in chunks, whose sizes reached the entry instance as a part of the body.
func TestAnswerOfAnOldVersionInChunksIsRefused(t *testing.T) {
	answerIsRefused(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n"+`{"kvUsed":0.5,"stepTime":1}`+"\r\n0\r\n\r\n")
	answerIsRefused(t, "HTTP/1.0 200 OK\r\nContent-Length: 27\r\ntransfer-encoding : chunked\r\n\r\n"+`{"kvUsed":0.5,"stepTime":1}`)
	answerIsRefused(t, "HTTP/1.0 200 OK\r\nContent-Length: 27\r\ntransfer-encoding: chunked\r\n\r\n"+`{"kvUsed":0.5,"stepTime":1}`)
}

// Guards against an answer in whose trailer the name of a field holds a byte that no name can have: those with blanks were passed over.
func TestAnswerWithABrokenNameInItsTrailerIsRefused(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for _, line := range []string{"X Field: 1", "X-Field : 1", "X-Field\t: 1", "X\x00Field: 1", "X-Field\x01: 1", "X\rField: 1", "X(Field): 1"} {
		t.Run(line, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				for trailer, outcome := range map[string]protocol.Outcome{line: protocol.OutcomeFailed, "X-Field: 1": protocol.OutcomeDone} {
					a := agentBefore(t, chunks+trailer+"\r\n\r\n")
					defer a.backend.close()
					st := &recordingStream{}
					a.StreamOpened(st, &protocol.Open{Attempt: "attempt", Incarnation: 7, Method: "POST", Path: "/x", DeadlineMS: 1000})
					is.Equal(st.end.Outcome, outcome)
				}
			})
		})
	}
}
