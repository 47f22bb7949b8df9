package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// peerProcess is the peer of a Reconnector; it accepts sessions over pipes.
type peerProcess struct {
	down     atomic.Bool
	dials    atomic.Int32
	sessions []Session
	faults   []*Faults
	mu       sync.Mutex
}

func (p *peerProcess) connect(_ context.Context, h Handler) (Session, error) {
	p.dials.Add(1)
	if p.down.Load() {
		return nil, errors.New("connection refused")
	}
	cfg := Config{FleetKey: testKey}
	a, b, faults, err := Pipe(cfg, protocol.Hello{}, h, cfg, protocol.Hello{}, &recorder{serve: echo(1)})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions = append(p.sessions, b)
	p.faults = append(p.faults, faults)
	return a, err
}

// connection returns the accepting session and the faults of the connection with index i.
func (p *peerProcess) connection(i int) (Session, *Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sessions[i], p.faults[i]
}

// advance advances virtual time by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against requests that wait until a silent session is closed before a replacement is opened.
func TestSuspectSessionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &peerProcess{}
		type change struct {
			current, previous Session
			state             State // of the previous session
		}
		var changes []change
		r := NewReconnector(ReconnectorConfig{Connect: peer.connect, Handler: &recorder{}, SessionChanged: func(current, previous Session) {
			c := change{current: current, previous: previous}
			if previous != nil {
				c.state = previous.State()
			}
			changes = append(changes, c)
		}})
		advance(10 * time.Second)
		first := r.Session()
		_, faults := peer.connection(0)
		faults.Stall(AToB, true)
		faults.Stall(BToA, true)
		interrupted, err := first.Open(context.Background(), &protocol.Open{}) // after the stall, as the peer answers at once
		is.NoErr(err)
		advance(DefaultSuspectAfter + time.Millisecond)
		is.Equal(len(changes), 2)
		is.Equal(changes[1].previous, first)
		is.Equal(changes[1].state, StateSuspect) // not closed yet
		is.Equal(r.Session(), changes[1].current)
		st, err := r.Session().Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		_, err = readAll(st)
		is.True(err != nil)
		advance(DefaultGiveUpAfter)
		var lost *SessionLost
		_, err = readAll(interrupted)
		is.True(errors.As(err, &lost))
		is.Equal(first.State(), StateClosed)
		is.Equal(r.Session().State(), StateLive)
		r.Close("test is over")
		is.Equal(len(changes), 2)
	})
}

// Guards against dialling an unreachable peer without backoff, and against not reconnecting once it is reachable again.
func TestRedial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &peerProcess{}
		peer.down.Store(true)
		r := NewReconnector(ReconnectorConfig{Connect: peer.connect, Handler: &recorder{}})
		advance(time.Minute)
		is.True(peer.dials.Load() >= 12 && peer.dials.Load() <= 35) // every 2.5 s to 5 s, after the first ones
		peer.down.Store(false)
		advance(DefaultMaxBackoff)
		is.Equal(r.Session().State(), StateLive)
		advance(DefaultMaxBackoff)
		dials := peer.dials.Load()
		_, faults := peer.connection(0)
		faults.Reset()
		advance(time.Millisecond)
		is.Equal(peer.dials.Load(), dials+1) // a long-lived session is replaced at once
		is.Equal(r.Session().State(), StateLive)
		leaving, _ := peer.connection(1)
		leaving.GoAway("restart")
		advance(DefaultMinBackoff)
		is.Equal(peer.dials.Load(), dials+2)
		is.Equal(r.Session().State(), StateLive)
		is.Equal(leaving.State(), StateClosed) // it had no open streams
		r.Close("test is over")
		is.Equal(r.Session(), nil)
	})
}

// bufferListener accepts in-memory connections opened by dial.
type bufferListener chan net.Conn

func (l bufferListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l bufferListener) Close() error   { close(l); return nil }
func (l bufferListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (l bufferListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l <- far
	return near, nil
}

// Guards against goroutines that outlive a WebSocket session, however it ends: synctest fails if any remains.
func TestWebSocketLeavesNoGoroutine(t *testing.T) {
	for name, end := range map[string]func(near, far Session){
		"closed by the dialling side":  func(near, _ Session) { near.Close("test") },
		"closed by the accepting side": func(_, far Session) { far.Close("test") },
		"closed by both":               func(near, far Session) { near.Close("test"); far.Close("test") },
		"lost":                         func(near, _ Session) { near.(*session).fail("test") },
		"message that is never completed": func(_, far Session) {
			ws := far.(*session).conn.(*socket).ws
			w, _ := ws.Writer(context.Background(), websocket.MessageBinary)
			_, _ = w.Write([]byte{batchPrefix})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				listener := make(bufferListener, 1)
				cfg := Config{FleetKey: testKey, DialContext: listener.dial, AllowPlaintext: true}
				accepted := make(chan Session, 1)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if s, err := Accept(w, r, cfg, protocol.Hello{}, &recorder{serve: echo(10)}); err == nil {
						accepted <- s
					}
				})}
				go func() { _ = server.Serve(listener) }()
				near, err := Dial(context.Background(), "ws://peer/", cfg, protocol.Hello{}, &recorder{})
				is.NoErr(err)
				far := <-accepted
				st, err := near.Open(context.Background(), &protocol.Open{})
				is.NoErr(err)
				n, _ := readAll(st)
				is.Equal(n, 10)
				time.Sleep(time.Minute) // an idle session stays open
				is.Equal(near.State(), StateLive)
				end(near, far)
				<-near.Done()
				<-far.Done()
				is.NoErr(server.Close())
			})
		})
	}
}

// Guards against sessions that end again and again at the same message while nobody notices: their reason and number must be
// reported, and a session that lasts must end the series.
func TestSessionsThatEndEarlyAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &peerProcess{}
		type end struct {
			reason string
			times  int
		}
		var ends []end
		r := NewReconnector(ReconnectorConfig{Connect: peer.connect, Handler: &recorder{},
			EndsEarly: func(reason string, times int) { ends = append(ends, end{reason, times}) }})
		defer r.Close("test")
		for i := range 3 {
			advance(2 * time.Second)
			s, _ := peer.connection(i)
			s.Close("the same message")
		}
		advance(DefaultMaxBackoff + 3*time.Second)
		s, _ := peer.connection(3)
		s.Close("a long session")
		advance(3 * time.Second)
		s, _ = peer.connection(4)
		s.Close("the first of a new series")
		advance(time.Second)
		is.Equal(ends, []end{{"closed by the peer: the same message", 2}, {"closed by the peer: the same message", 3}})
	})
}

// Guards against messages that are dropped without a trace because they can never be encoded.
func TestDroppedMessagesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{QueueMessages: 1}, nil)
		before := messagesDropped("not_encodable").Get()
		TrySend(p.a, &protocol.Gossip{Payload: make([]byte, protocol.MaxMessageBytes)})
		is.Equal(messagesDropped("not_encodable").Get(), before+1)
		p.faults.Stall(AToB, true)
		before = messagesDropped("queue_full").Get()
		for range 100 {
			TrySend(p.a, &protocol.Gossip{Payload: make([]byte, 100<<10)})
		}
		is.True(messagesDropped("queue_full").Get() > before)
		p.close()
		synctest.Wait()
		before = messagesDropped("session_ended").Get()
		TrySend(p.a, &protocol.Gossip{})
		is.Equal(messagesDropped("session_ended").Get(), before+1)
	})
}
