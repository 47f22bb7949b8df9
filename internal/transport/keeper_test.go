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

// peerProcess is the far side of a Keeper: it accepts sessions over pipes.
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

// connection returns the far session and the faults of a connection, from 0.
func (p *peerProcess) connection(i int) (Session, *Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sessions[i], p.faults[i]
}

// pass lets virtual time pass until everything has reacted.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against requests that wait for a silent session to be given up before another one is opened.
func TestReplacementBesideSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &peerProcess{}
		type change struct {
			now, before Session
			state       State // of the session before
		}
		var changes []change
		k := NewKeeper(KeeperConfig{Connect: peer.connect, Handler: &recorder{}, Changed: func(now, before Session) {
			c := change{now: now, before: before}
			if before != nil {
				c.state = before.State()
			}
			changes = append(changes, c)
		}})
		pass(10 * time.Second)
		first := k.Session()
		stranded, err := first.Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		_, faults := peer.connection(0)
		faults.Silence(AToB, true)
		faults.Silence(BToA, true)
		pass(DefaultSuspectAfter + time.Millisecond)
		is.Equal(len(changes), 2)
		is.Equal(changes[1].before, first)
		is.Equal(changes[1].state, StateSuspect) // not given up yet
		is.Equal(k.Session(), changes[1].now)
		st, err := k.Session().Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		_, err = readAll(st)
		is.True(err != nil)
		pass(DefaultGiveUpAfter)
		var lost *SessionLost
		_, err = readAll(stranded)
		is.True(errors.As(err, &lost))
		is.Equal(first.State(), StateClosed)
		is.Equal(k.Session().State(), StateLive)
		k.Close("test is over")
		is.Equal(len(changes), 2)
	})
}

// Guards against a peer that is down being dialled without pause, and against not finding it when it is back.
func TestRedial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &peerProcess{}
		peer.down.Store(true)
		k := NewKeeper(KeeperConfig{Connect: peer.connect, Handler: &recorder{}})
		pass(time.Minute)
		is.True(peer.dials.Load() >= 12 && peer.dials.Load() <= 35) // from each 5 s to each 2.5 s, after the first ones
		peer.down.Store(false)
		pass(DefaultMaxBackoff)
		is.Equal(k.Session().State(), StateLive)
		pass(DefaultMaxBackoff)
		dials := peer.dials.Load()
		_, faults := peer.connection(0)
		faults.Cut()
		pass(time.Millisecond)
		is.Equal(peer.dials.Load(), dials+1) // a session that lived is replaced at once
		is.Equal(k.Session().State(), StateLive)
		leaving, _ := peer.connection(1)
		leaving.GoAway("restart")
		pass(DefaultMinBackoff)
		is.Equal(peer.dials.Load(), dials+2)
		is.Equal(k.Session().State(), StateLive)
		is.Equal(leaving.State(), StateClosed) // no streams were left on it
		k.Close("test is over")
		is.Equal(k.Session(), nil)
	})
}

// bufferListener hands out one end of in-memory connections.
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

// Guards against goroutines that outlive a WebSocket session, whichever way it ends: synctest fails if any is left.
func TestWebSocketLeavesNoGoroutine(t *testing.T) {
	for name, end := range map[string]func(near, far Session){
		"closed by the dialling side":  func(near, _ Session) { near.Close("test") },
		"closed by the accepting side": func(_, far Session) { far.Close("test") },
		"closed by both":               func(near, far Session) { near.Close("test"); far.Close("test") },
		"lost":                         func(near, _ Session) { near.(*session).lose("test") },
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
				time.Sleep(time.Minute) // an idle session lives on
				is.Equal(near.State(), StateLive)
				end(near, far)
				<-near.Done()
				<-far.Done()
				is.NoErr(server.Close())
			})
		})
	}
}
