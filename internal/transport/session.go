package transport

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// flushTimeout bounds the writing of frames that were queued before Close.
const flushTimeout = time.Second

// session implements Session. Three goroutines serve it: one reads, one writes, one watches the silence and reports
// state changes.
type session struct {
	cfg        Config
	conn       conn
	handler    Handler
	peer       protocol.Hello
	dialler    bool
	sendWindow int
	health     health
	counters   counters

	unread  atomic.Int64 // unread bytes of all streams
	done    chan struct{}
	written chan struct{} // closed when the writer has ended
	wake    chan struct{} // tells the writer that something is queued

	mu         sync.Mutex
	streams    map[uint64]*stream
	peerOpen   int    // streams in the map that the peer opened
	nextID     uint64 // next stream opened by this side
	lastPeerID uint64 // newest stream opened by the peer
	queues     queues
	leaving    bool   // this side sent GoAway
	peerLeaves bool   // the peer sent GoAway
	closed     bool   // no more streams or messages
	reason     string // why the session ended
}

var _ Session = (*session)(nil)

func newSession(c conn, cfg Config, peer protocol.Hello, sendWindow int, h Handler, dialler bool) *session {
	s := &session{
		cfg: cfg, conn: c, handler: h, peer: peer, dialler: dialler, sendWindow: sendWindow,
		done:    make(chan struct{}),
		written: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		streams: make(map[uint64]*stream),
		nextID:  2,
	}
	if dialler {
		s.nextID = 1
	}
	s.health.init(&s.cfg, dialler)
	return s
}

func (s *session) start() {
	go s.readLoop()
	go s.writeLoop()
	go s.watch()
}

// Peer implements Session.
func (s *session) Peer() protocol.Hello { return s.peer }

// Done implements Session.
func (s *session) Done() <-chan struct{} { return s.done }

// State implements Session.
func (s *session) State() State {
	select {
	case <-s.done:
		return StateClosed
	default:
		return s.health.state()
	}
}

// Open implements Session.
func (s *session) Open(ctx context.Context, open *protocol.Open) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	suspect := s.health.state() == StateSuspect
	s.mu.Lock()
	switch {
	case s.closed:
		defer s.mu.Unlock()
		return nil, &Refused{Reason: "it has ended: " + s.reason}
	case s.leaving:
		s.mu.Unlock()
		return nil, &Refused{Reason: "this instance is stopping"}
	case s.peerLeaves:
		s.mu.Unlock()
		return nil, &Refused{Reason: "the peer is stopping"}
	case suspect:
		s.mu.Unlock()
		return nil, &Refused{Reason: "the connection is silent"}
	case len(s.streams)-s.peerOpen >= s.cfg.MaxStreams:
		s.mu.Unlock()
		return nil, &Refused{Reason: fmt.Sprintf("%d streams are open", s.cfg.MaxStreams)}
	}
	id := s.nextID
	s.nextID += 2
	// The stream number has to be known for encoding, and streams have to be opened in the order of their numbers.
	// Encoding is therefore done under the lock, here only.
	f, err := s.encode(id, open)
	if err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if s.queues.openBytes > 0 && s.queues.openBytes+len(f.b) > s.cfg.QueueBytes {
		s.mu.Unlock()
		return nil, &Refused{Reason: "the peer takes requests too slowly"}
	}
	f.open = true
	st := newStream(s, id, true)
	s.streams[id] = st
	s.queues.push(st, f)
	s.mu.Unlock()
	s.health.activate()
	s.wakeWriter()
	return st, nil
}

// Send implements Session.
func (s *session) Send(m protocol.Message) error {
	f, err := s.encode(0, m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return &SessionLost{Reason: s.reason}
	}
	if s.queues.messages.len() >= s.cfg.QueueMessages || s.queues.messageBytes+len(f.b) > s.cfg.QueueBytes {
		return &QueueFull{Messages: s.queues.messages.len(), Bytes: s.queues.messageBytes}
	}
	s.queues.pushMessage(f)
	s.wakeWriter()
	if m.Type() == protocol.TypeInquire {
		s.health.activate() // a caller waits for the answer
	}
	return nil
}

// GoAway implements Session.
func (s *session) GoAway(reason string) {
	s.mu.Lock()
	already := s.leaving || s.closed
	s.leaving = true
	s.mu.Unlock()
	if !already {
		s.sendUrgent(0, &protocol.GoAway{Reason: reason})
	}
}

// Close implements Session. Frames queued before it are still written, for at most flushTimeout.
func (s *session) Close(reason string) {
	if !s.end(reason) {
		return
	}
	go func() {
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case <-s.written:
			s.conn.close(reason)
		case <-timer.C:
			s.conn.abort()
		}
	}()
}

// lose ends the session because of a failure.
func (s *session) lose(reason string) {
	if s.end(reason) {
		s.conn.abort()
	}
}

// end marks the session as ended and fails its streams. It returns false if it had ended before.
func (s *session) end(reason string) bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	s.closed = true
	s.reason = reason
	stranded := s.streams
	s.streams = nil
	for _, st := range stranded {
		lost := &SessionLost{Reason: reason, Sent: st.openSent}
		if !st.openSent {
			s.queues.drop(st)
		}
		st.endSend(lost)
		st.endReceive(lost)
	}
	s.mu.Unlock()
	close(s.done)
	s.wakeWriter()
	return true
}

func (s *session) wakeWriter() { signal(s.wake) }

// signal wakes one waiter of a channel with capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendUrgent queues a small message before all others.
func (s *session) sendUrgent(id uint64, m protocol.Message) {
	f, err := s.encode(id, m)
	if err != nil {
		return
	}
	s.mu.Lock()
	// Beyond the bound only answers to a misbehaving peer pile up; they are dropped.
	if !s.closed && s.queues.urgent.len() < s.cfg.QueueMessages {
		s.queues.urgent.push(f)
	}
	s.mu.Unlock()
	s.wakeWriter()
}

// forget removes an ended stream. The caller holds s.mu.
func (s *session) forget(st *stream) {
	if s.streams[st.id] == st {
		delete(s.streams, st.id)
		if !st.local {
			s.peerOpen--
		}
	}
}
