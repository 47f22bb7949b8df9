package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// freeHeadBytes is the size of a head up to which it takes nothing from the budget.
	freeHeadBytes = 4 << 10
	// headCost is the memory of a head as a multiple of its length: its text and the map of its fields.
	headCost = 2
	// writePieceBytes is what a client has to read within the idle timeout.
	writePieceBytes = 32 << 10
	// deadlineStep is how much later than exact a write deadline may be, so that it is not set for each write.
	deadlineStep = time.Second
)

// Phases of a connection.
const (
	waiting   int32 = iota // for a request; such a connection may be closed for another one
	reading                // the head of a request
	receiving              // the body of a request; such a connection may be closed if it makes no progress
	serving                // a request
	closing
)

// Guard limits the connections of one listener, and what each of them can make the process hold.
type Guard struct {
	gate  *Gate
	limit int

	mu       sync.Mutex
	open     map[*conn]struct{}
	loggedAt time.Time
}

// Guard returns a guard that allows a number of connections.
func (g *Gate) Guard(limit int) *Guard {
	return &Guard{gate: g, limit: limit, open: map[*conn]struct{}{}}
}

// Listener returns a listener whose connections are guarded.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. A connection over the limit replaces the one that has been idle for longest, or else one whose body makes
// no progress; if there is none, it is closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, guard: l.guard}
		c.waitingSince.Store(time.Now().UnixNano())
		if l.guard.admit(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit adds a connection. It reports false if there is no place for it.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.open) >= g.limit && !g.closeLongest(waiting, 0) && !g.closeLongest(receiving, patience) {
		count("no_connection")
		g.logFull()
		return false
	}
	g.open[c] = struct{}{}
	return true
}

// closeLongest closes the connection that has waited longest for its client in a phase, and for some time at least. It reports false if
// there is none.
func (g *Guard) closeLongest(phase int32, atLeast time.Duration) bool {
	latest := time.Now().Add(-atLeast).UnixNano()
	for {
		var longest *conn
		since := latest
		for c := range g.open {
			if at := c.waitingSince.Load(); at <= since && c.phase.Load() == phase {
				longest, since = c, at
			}
		}
		if longest == nil {
			return false
		}
		if longest.phase.CompareAndSwap(phase, closing) { // else something has just arrived on it
			delete(g.open, longest)
			_ = longest.Conn.Close()
			count("idle_connection")
			return true
		}
	}
}

// receive states that the client has to send the next piece of a body. It does nothing on nil.
func (c *conn) receive() {
	if c != nil {
		c.waitingSince.Store(time.Now().UnixNano())
		c.phase.CompareAndSwap(serving, receiving)
	}
}

// received states that a body has arrived. It reports false if the connection has been closed for another one.
func (c *conn) received() bool {
	return c == nil || c.phase.CompareAndSwap(receiving, serving) || c.phase.Load() == serving
}

// connOf returns the guarded connection of a request, nil if there is none.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func (g *Guard) logFull() {
	if time.Since(g.loggedAt) >= shortageLogInterval {
		g.loggedAt = time.Now()
		log.WithField("limit", g.limit).Warn("all connections are in use: new ones are closed")
	}
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Configure sets the hooks of a server whose listener is guarded, and wraps its handler.
func (g *Guard) Configure(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		guarded := unwrap(c)
		if guarded == nil {
			return
		}
		switch state {
		case http.StateIdle:
			guarded.waitingSince.Store(time.Now().UnixNano())
			if !guarded.phase.CompareAndSwap(serving, waiting) {
				guarded.phase.CompareAndSwap(receiving, waiting) // the body was refused
			}
		case http.StateHijacked:
			guarded.hijacked.Store(true)
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			if !c.phase.CompareAndSwap(reading, serving) && !c.phase.CompareAndSwap(waiting, serving) {
				panic(http.ErrAbortHandler) // closed for another connection
			}
			defer c.endHead()
			if !r.ProtoAtLeast(1, 1) {
				defer c.resetUnlessComplete()()
			}
		}
		if r.ContentLength != 0 {
			// For handlers that leave the body unread: net/http reads it before it responds.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.gate.idle()))
		}
		next.ServeHTTP(w, r)
	})
}

// resetUnlessComplete makes the end of the connection a reset until the returned function is called; if that happens in a panic, the
// connection is reset at once. HTTP/1.0 has no chunks, so that its callers take an end in order for the end of the answer.
func (c *conn) resetUnlessComplete() func() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return func() {}
	}
	_ = tcp.SetLinger(0)
	return func() {
		if aborted := recover(); aborted != nil {
			_ = c.Close() // else TLS announces an end in order
			panic(aborted)
		}
		_ = tcp.SetLinger(-1)
	}
}

// unwrap returns the guarded connection below a TLS connection, nil if there is none.
func unwrap(c net.Conn) *conn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	guarded, _ := c.(*conn)
	return guarded
}

// conn is a guarded connection.
type conn struct {
	net.Conn
	guard        *Guard
	phase        atomic.Int32
	waitingSince atomic.Int64
	closed       atomic.Bool
	hijacked     atomic.Bool // another protocol is spoken, which sets its own deadlines

	// The head that is being read, used by one goroutine at a time.
	headBytes int64
	head      atomic.Pointer[Transfer]

	writeDeadline time.Time // the last one that was set; used by the goroutine that writes
}

// Read implements net.Conn. It counts the head of a request towards the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.phase.Load() {
	case waiting:
		if !c.phase.CompareAndSwap(waiting, reading) {
			return 0, net.ErrClosed
		}
		c.headBytes = 0
	case receiving, serving, closing:
		return n, err
	}
	if c.headBytes += int64(n); c.headBytes > freeHeadBytes {
		if c.head.Load() == nil {
			c.head.Store(c.guard.gate.Open(address(c.Conn), func() { _ = c.Conn.SetReadDeadline(past) }))
		}
		if !c.head.Load().TakeNow(headCost*int64(n)) || c.closed.Load() {
			c.endHead()
			count("no_room_for_head")
			_ = c.Conn.Close()
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// endHead returns the memory of the head.
func (c *conn) endHead() { c.head.Swap(nil).Close() }

// Write implements net.Conn. A client that reads less than a piece within the idle timeout is cut off.
func (c *conn) Write(p []byte) (int, error) {
	if c.hijacked.Load() {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		if deadline := time.Now().Add(c.guard.gate.idle() + deadlineStep); deadline.Sub(c.writeDeadline) >= deadlineStep {
			if err := c.Conn.SetWriteDeadline(deadline); err != nil {
				return written, err
			}
			c.writeDeadline = deadline
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.guard.remove(c)
		c.endHead()
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http end a connection whose request it has not read to its end without a reset.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// address returns the address of the client without the port.
func address(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}
