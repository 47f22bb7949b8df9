package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

var sessionConfig = transport.Config{FleetKey: []byte("a-key-for-capacity-figures")}

// discardHandler discards messages. It sends opened sessions to the channel, if there is one.
type discardHandler struct{ opened chan transport.Session }

var _ transport.Handler = (*discardHandler)(nil)

func (h *discardHandler) SessionOpened(s transport.Session) {
	if h.opened != nil {
		h.opened <- s
	}
}
func (*discardHandler) MessageReceived(transport.Session, protocol.Message) {}
func (*discardHandler) StateChanged(transport.Session, transport.State)     {}
func (*discardHandler) StreamOpened(st transport.Stream, _ *protocol.Open) {
	_, _ = st.Receive(context.Background())
}

// Sessions are sessions between two handlers in this process over WebSocket on loopback.
type Sessions struct {
	Dialled, Accepted []transport.Session
	server            *httptest.Server
}

// OpenSessions opens n sessions, which carry only heartbeats.
func OpenSessions(n int) (*Sessions, error) {
	accepted := &discardHandler{opened: make(chan transport.Session, n)}
	sessions := &Sessions{server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = transport.Accept(w, r, sessionConfig, protocol.Hello{Version: protocol.Version, Instance: InstanceID(0)}, accepted)
	}))}
	for i := range n {
		hello := protocol.Hello{Version: protocol.Version, Instance: fleet.InstanceID(Announcement(i).Server), Agent: true}
		s, err := transport.Dial(context.Background(), sessions.server.URL, sessionConfig, hello, &discardHandler{})
		if err != nil {
			sessions.Close()
			return nil, fmt.Errorf("session %d of %d: %w", i+1, n, err)
		}
		sessions.Dialled = append(sessions.Dialled, s)
		sessions.Accepted = append(sessions.Accepted, <-accepted.opened)
	}
	return sessions, nil
}

// Close ends all sessions.
func (s *Sessions) Close() {
	for _, session := range s.Dialled {
		session.Close("the measurement is over")
	}
	s.server.Close()
}

// Heartbeats returns the traffic per second that the accepting side of idle sessions receives and sends. It measures after
// a settling time of one second.
func (s *Sessions) Heartbeats(during time.Duration) (in, out Traffic) {
	total := func() (in, out Traffic) {
		for _, session := range s.Accepted {
			in = in.Plus(receivedTraffic(session, true))
			out = out.Plus(sentTraffic(session, false))
		}
		return in, out
	}
	time.Sleep(time.Second)
	inBefore, outBefore := total()
	start := time.Now()
	time.Sleep(during)
	in, out = total()
	scale := 1 / time.Since(start).Seconds()
	return in.Plus(inBefore.Times(-1)).Times(scale), out.Plus(outBefore.Times(-1)).Times(scale)
}
