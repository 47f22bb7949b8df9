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

// sink is a handler that notes nothing.
type sink struct{ opened chan transport.Session }

var _ transport.Handler = (*sink)(nil)

func (h *sink) SessionOpened(s transport.Session) {
	if h.opened != nil {
		h.opened <- s
	}
}
func (*sink) MessageReceived(transport.Session, protocol.Message) {}
func (*sink) StateChanged(transport.Session, transport.State)     {}
func (*sink) StreamOpened(st transport.Stream, _ *protocol.Open) {
	_, _ = st.Receive(context.Background())
}

// Sessions are n sessions between two handlers in this process over WebSocket on loopback.
type Sessions struct {
	Near, Far []transport.Session
	server    *httptest.Server
}

// OpenSessions opens n sessions. Nothing but heartbeats runs on them.
func OpenSessions(n int) (*Sessions, error) {
	accepted := &sink{opened: make(chan transport.Session, n)}
	all := &Sessions{server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = transport.Accept(w, r, sessionConfig, protocol.Hello{Version: protocol.Version, Instance: InstanceID(0)}, accepted)
	}))}
	for i := range n {
		hello := protocol.Hello{Version: protocol.Version, Instance: fleet.InstanceID(Announcement(i).Server), Agent: true}
		s, err := transport.Dial(context.Background(), all.server.URL, sessionConfig, hello, &sink{})
		if err != nil {
			all.Close()
			return nil, fmt.Errorf("session %d of %d: %w", i+1, n, err)
		}
		all.Near = append(all.Near, s)
		all.Far = append(all.Far, <-accepted.opened)
	}
	return all, nil
}

// Close ends all sessions.
func (s *Sessions) Close() {
	for _, session := range s.Near {
		session.Close("the measurement is over")
	}
	s.server.Close()
}

// Heartbeats returns what the accepting side of n sessions without other messages receives and sends in a second,
// after a first second in which the sessions settle.
func (s *Sessions) Heartbeats(during time.Duration) (in, out Traffic) {
	total := func() (in, out Traffic) {
		for _, session := range s.Far {
			in = in.Sum(received(session, true))
			out = out.Sum(sent(session, false))
		}
		return in, out
	}
	time.Sleep(time.Second)
	in0, out0 := total()
	begun := time.Now()
	time.Sleep(during)
	in, out = total()
	share := 1 / time.Since(begun).Seconds()
	return in.Sum(in0.Each(-1)).Each(share), out.Sum(out0.Each(-1)).Each(share)
}
