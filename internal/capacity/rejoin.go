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

// RejoinCost is the cost until n agents have announced themselves to a restarted entry instance and received their
// rosters.
type RejoinCost struct {
	Duration time.Duration
	CPUTime  time.Duration // of both sides
	Bytes    float64       // in both directions, without TLS and TCP/IP headers
}

// Rejoin opens sessions of n agents to a new control loop over WebSocket on loopback, one after another.
func Rejoin(n int) (r RejoinCost, err error) {
	loop := NewControlLoop(0)
	defer loop.Close()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = transport.Accept(w, r, sessionConfig, protocol.Hello{Version: protocol.Version, Instance: InstanceID(0)}, loop)
	}))
	defer server.Close()
	var bytes, writes atomic.Int64
	config := sessionConfig
	config.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &countedConn{c, &bytes, &writes}, err
	}
	rosters := &rosterCount{}
	cpuBefore, start := ProcessCPUTime(), time.Now()
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
		if time.Since(start) > time.Minute {
			return r, fmt.Errorf("%d of %d agents received a roster within a minute", rosters.n.Load(), n)
		}
		time.Sleep(time.Millisecond)
	}
	return RejoinCost{time.Since(start), ProcessCPUTime() - cpuBefore, float64(bytes.Load())}, nil
}

// rosterCount is a handler that counts the rosters received.
type rosterCount struct {
	discardHandler
	n atomic.Int64
}

var _ transport.Handler = (*rosterCount)(nil)

func (h *rosterCount) MessageReceived(_ transport.Session, m protocol.Message) {
	if m.Type() == protocol.TypeRoster {
		h.n.Add(1)
	}
}
