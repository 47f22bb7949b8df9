package agent

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// attemptStream is the entry instance's side of one attempt; it keeps the end.
type attemptStream struct {
	transport.Stream
	end protocol.End
}

func (s *attemptStream) Send(_ context.Context, m protocol.Message) error {
	if end, ok := m.(*protocol.End); ok {
		s.end = *end
	}
	return nil
}

func (s *attemptStream) Receive(ctx context.Context) (protocol.Message, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (s *attemptStream) Close(string) {}

// limitedServer answers each request at once, and names a limit while it has one.
type limitedServer struct {
	mu       sync.Mutex
	limit    float64
	requests int
}

func (s *limitedServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	n, _ := connection.Read(make([]byte, 4096))
	s.mu.Lock()
	defer s.mu.Unlock()
	header := ""
	if s.limit > 0 {
		header = fmt.Sprintf("Server-Limit: %g\r\n", s.limit)
	}
	if n > 0 {
		s.requests++
	}
	_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n" + header + "Content-Length: 0\r\n\r\n"))
}

// setLimit sets the limit that the server names, and returns the requests since the last call.
func (s *limitedServer) setLimit(limit float64) (requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, s.requests, s.limit = s.requests, 0, limit
	return requests
}

// Guards against an agent that lets through more requests than its server takes from all entry instances together, and against one that
// refuses them for good once the server no longer names a limit.
func TestAgentKeepsTheLimitThatItsServerNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := &limitedServer{}
		a := newAgent(t, "http://engine", func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go server.serve(far)
			return near, nil
		})
		press := func(d time.Duration) (notRun int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				st := &attemptStream{}
				a.StreamOpened(st, &protocol.Open{Attempt: fmt.Sprint(time.Now().UnixNano()), Incarnation: 7, Method: "GET", Path: "/x", DeadlineMS: 1000})
				if st.end.Outcome == protocol.OutcomeNotRun {
					notRun++
					is.True(st.end.RetryAfterMS > 0)
					is.True(strings.Contains(st.end.Reason, "limit of requests a second"))
				}
			}
			return notRun
		}
		const limit = 5
		server.setLimit(limit)
		press(time.Second) // the first response names the limit
		server.setLimit(limit)
		is.True(press(4*time.Second) > 0)
		is.True(server.setLimit(0) <= 1.5*4*limit+5)
		press(time.Second)
		is.Equal(press(time.Second), 0)
		synctest.Wait()
	})
}
