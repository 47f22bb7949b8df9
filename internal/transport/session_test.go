package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

// recorder is a Handler that records state changes and messages, and serves streams with a function.
type recorder struct {
	mu       sync.Mutex
	states   []State
	messages []protocol.Message
	serve    func(st Stream, open *protocol.Open)
}

func (r *recorder) SessionOpened(Session) {}

func (r *recorder) StreamOpened(st Stream, open *protocol.Open) {
	if r.serve != nil {
		r.serve(st, open)
	}
}

func (r *recorder) MessageReceived(_ Session, m protocol.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) StateChanged(_ Session, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, state)
}

func (r *recorder) recordedStates() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]State(nil), r.states...)
}

// pair is a pipe with the handlers of its two sessions.
type pair struct {
	a, b   Session
	ha, hb *recorder
	faults *Faults
}

func newPair(t *testing.T, cfg Config, serve func(st Stream, open *protocol.Open)) *pair {
	t.Helper()
	cfg.FleetKey = testKey
	p := &pair{ha: &recorder{}, hb: &recorder{serve: serve}}
	var err error
	p.a, p.b, p.faults, err = Pipe(cfg, protocol.Hello{Instance: "a"}, p.ha, cfg, protocol.Hello{Instance: "b"}, p.hb)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *pair) close() {
	p.a.Close("test is over")
	p.b.Close("test is over")
}

// echo answers each stream with a Head, count Data and an End.
func echo(count int) func(st Stream, open *protocol.Open) {
	return func(st Stream, open *protocol.Open) {
		ctx := context.Background()
		_ = st.Send(ctx, &protocol.Head{Status: 200})
		for i := range count {
			if st.Send(ctx, &protocol.Data{Offset: uint64(i), Payload: []byte(open.Attempt), Tokens: 1}) != nil {
				return
			}
		}
		_ = st.Send(ctx, &protocol.End{Outcome: protocol.OutcomeDone})
	}
}

// readAll reads a stream to its end and returns the number of Data and the final error. Heartbeats keep virtual time
// advancing, so a stream that never ends is detected by a timeout.
func readAll(st Stream) (count int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return count, err
		}
		if _, ok := m.(*protocol.Data); ok {
			count++
		}
	}
}

// Guards against messages that are lost, duplicated or delivered to the wrong stream when many streams share a session
// over real WebSockets.
func TestStreamsOverWebSocket(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", encrypted), func(t *testing.T) { testStreamsOverWebSocket(t, encrypted) })
	}
}

func testStreamsOverWebSocket(t *testing.T, encrypted bool) {
	is := is.New(t)
	cfg := Config{FleetKey: testKey}
	accepted := make(chan Session, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := Accept(w, r, cfg, protocol.Hello{Instance: "b"}, &recorder{serve: echo(50)})
		if err == nil {
			accepted <- s
		}
	}))
	if encrypted {
		server.StartTLS()
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		cfg.TLS = &tls.Config{RootCAs: roots}
	} else {
		server.Start()
	}
	defer server.Close()
	s, err := Dial(context.Background(), "ws"+strings.TrimPrefix(server.URL, "http"), cfg, protocol.Hello{Instance: "a"}, &recorder{})
	is.NoErr(err)
	other := <-accepted
	is.Equal(s.(StatsProvider).Stats().OpenStreams, 0)
	is.Equal(string(s.Peer().Instance), "b")
	is.Equal(string(other.Peer().Instance), "a")
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			st, err := s.Open(context.Background(), &protocol.Open{Attempt: fmt.Sprint(i)})
			if err != nil {
				t.Error(err)
			} else if n, err := readAll(st); err != io.EOF || n != 50 {
				t.Errorf("%d messages, then %v", n, err)
			}
		})
	}
	group.Wait()
	s.Close("done")
	<-s.Done()
	<-other.Done()
	_, err = other.Open(context.Background(), &protocol.Open{})
	is.True(strings.Contains(err.Error(), "done")) // the peer receives the reason
}

// Guards against accepting a peer without the fleet key, on either side.
func TestWrongKey(t *testing.T) {
	is := is.New(t)
	right, wrong := Config{FleetKey: testKey}, Config{FleetKey: []byte("another key of enough length")}
	outcome := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Accept(w, r, right, protocol.Hello{}, &recorder{})
		outcome <- err
	}))
	defer server.Close()
	_, err := Dial(context.Background(), server.URL, wrong, protocol.Hello{}, &recorder{})
	for _, err := range []error{err, <-outcome} {
		var handshake *HandshakeError
		is.True(errors.As(err, &handshake))
		is.Equal(handshake.Kind, HandshakeWrongKey)
	}
	_, err = Dial(context.Background(), server.URL, Config{FleetKey: []byte("short")}, protocol.Hello{}, &recorder{})
	is.True(err != nil)
	var handshake *HandshakeError
	_, err = Dial(context.Background(), "ws://192.0.2.1/", right, protocol.Hello{}, &recorder{})
	is.True(errors.As(err, &handshake))
	is.Equal(handshake.Kind, HandshakePlaintext) // without TLS, only loopback addresses are dialled
}

// Guards against a session that one side considers live while its frames do not arrive, and against closing it too early
// or never.
func TestSilence(t *testing.T) {
	for name, silent := range map[string][]Direction{"one way": {AToB}, "other way": {BToA}, "both ways": {AToB, BToA}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair(t, Config{}, nil)
				time.Sleep(10 * time.Second)
				is.Equal(len(p.ha.recordedStates())+len(p.hb.recordedStates()), 0) // an idle session stays live
				for _, d := range silent {
					p.faults.Stall(d, true)
				}
				time.Sleep(DefaultSuspectAfter + 10*time.Millisecond)
				is.Equal(p.a.State(), StateSuspect)
				is.Equal(p.b.State(), StateSuspect)
				is.True(strings.Contains(p.a.(StatsProvider).Stats().Reason, "peer")) // the cause is available to metrics
				_, err := p.a.Open(context.Background(), &protocol.Open{})
				var refused *OpenRefused
				is.True(errors.As(err, &refused))
				time.Sleep(DefaultGiveUpAfter - DefaultSuspectAfter)
				is.Equal(p.a.State(), StateClosed)
				is.Equal(p.b.State(), StateClosed)
				synctest.Wait()
				is.Equal(p.ha.recordedStates(), []State{StateSuspect, StateClosed})
				is.Equal(p.hb.recordedStates(), []State{StateSuspect, StateClosed})
			})
		})
	}
}

// Guards against a session that stays suspect after the path has recovered.
func TestSilenceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{}, echo(1))
		defer p.close()
		p.faults.Stall(AToB, true)
		time.Sleep(4 * time.Second)
		is.Equal(p.a.State(), StateSuspect)
		p.faults.Stall(AToB, false)
		time.Sleep(10 * time.Millisecond)
		is.Equal(p.a.State(), StateLive)
		is.Equal(p.b.State(), StateLive)
		st, err := p.a.Open(context.Background(), &protocol.Open{})
		is.NoErr(err)
		n, err := readAll(st)
		is.Equal(n, 1)
		is.Equal(err, io.EOF)
	})
}

// Guards against reporting a request as not run that was sent, or as possibly run that was never sent.
func TestSessionLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, Config{}, nil)
		defer p.close()
		sent, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "sent"})
		is.NoErr(err)
		synctest.Wait()
		p.faults.Stall(AToB, true)
		// Fill the connection, so that the next Open stays in the queue.
		for range 3 {
			is.NoErr(p.a.Send(&protocol.Gossip{Payload: make([]byte, pipeBufferBytes)}))
			synctest.Wait()
		}
		queued, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "queued"})
		is.NoErr(err)
		p.faults.Reset()
		var lost *SessionLost
		_, err = sent.Receive(context.Background())
		is.True(errors.As(err, &lost))
		is.True(!lost.NotRun()) // outcome unknown
		_, err = queued.Receive(context.Background())
		is.True(errors.As(err, &lost))
		is.True(lost.NotRun())
		err = queued.Send(context.Background(), &protocol.Data{})
		is.True(errors.As(err, &lost))
	})
}

// Guards against a slow reader that blocks other streams, or makes memory grow beyond its window.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		payload := make([]byte, 1000)
		sent := 0
		p := newPair(t, Config{WindowBytes: 64 << 10}, func(st Stream, open *protocol.Open) {
			if open.Attempt == "fast" {
				echo(1000)(st, open)
				return
			}
			for {
				if st.Send(context.Background(), &protocol.Data{Offset: uint64(sent * len(payload)), Payload: payload}) != nil {
					return
				}
				sent++
			}
		})
		defer p.close()
		slow, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "slow"})
		is.NoErr(err)
		synctest.Wait()
		is.True(sent*len(payload) <= 64<<10)
		fast, err := p.a.Open(context.Background(), &protocol.Open{Attempt: "fast"})
		is.NoErr(err)
		n, err := readAll(fast)
		is.Equal(n, 1000)
		is.Equal(err, io.EOF)
		before := sent
		for range 40 {
			_, err := slow.Receive(context.Background())
			is.NoErr(err)
		}
		synctest.Wait()
		is.True(sent > before) // reading unblocks the sender
		slow.Close("enough")
	})
}
