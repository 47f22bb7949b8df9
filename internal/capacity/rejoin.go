package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// countedConn counts the bytes and writes of a connection at the dialling side.
type countedConn struct {
	net.Conn
	bytes, writes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// Rejoined is what it costs until n agents have announced themselves to an entry instance that has restarted, and got
// their rosters.
type Rejoined struct {
	Took      time.Duration
	Processor time.Duration // of both sides
	Bytes     float64       // in both directions, without TLS and TCP/IP headers
}

// Rejoin opens sessions of n agents to a new control loop over WebSocket on loopback, one after the other.
func Rejoin(n int) (r Rejoined, err error) {
	t := NewTable(0)
	defer t.Close()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = transport.Accept(w, r, sessionConfig, protocol.Hello{Version: protocol.Version, Instance: InstanceID(0)}, t)
	}))
	defer server.Close()
	var bytes, writes atomic.Int64
	config := sessionConfig
	config.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &countedConn{c, &bytes, &writes}, err
	}
	rosters := &rosterCount{}
	processor, begun := OwnProcessor(), time.Now()
	for i := range n {
		a := Announcement(i)
		s, err := transport.Dial(context.Background(), server.URL, config,
			protocol.Hello{Version: protocol.Version, Instance: fleet.InstanceID(a.Server), Agent: true}, rosters)
		if err != nil {
			return r, fmt.Errorf("session %d of %d: %w", i+1, n, err)
		}
		defer s.Close("the measurement is over")
		if err := s.Send(&protocol.Announce{Announcement: a}); err != nil {
			return r, err
		}
		if err := s.Send(&protocol.Load{Load: Load(i, 1)}); err != nil {
			return r, err
		}
	}
	for int(rosters.n.Load()) < n {
		if time.Since(begun) > time.Minute {
			return r, fmt.Errorf("%d of %d agents have got a roster in a minute", rosters.n.Load(), n)
		}
		time.Sleep(time.Millisecond)
	}
	return Rejoined{time.Since(begun), OwnProcessor() - processor, float64(bytes.Load())}, nil
}

// rosterCount counts the rosters that arrive.
type rosterCount struct {
	sink
	n atomic.Int64
}

var _ transport.Handler = (*rosterCount)(nil)

func (h *rosterCount) MessageReceived(_ transport.Session, m protocol.Message) {
	if m.Type() == protocol.TypeRoster {
		h.n.Add(1)
	}
}
