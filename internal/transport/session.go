package transport

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// flushTimeout bounds the time for writing the frames that were queued before Close.
const flushTimeout = time.Second

// session implements Session. It runs three goroutines: readLoop, writeLoop and monitorHealth, which detects silence and
// reports changes of state.
type session struct {
	cfg        Config
	conn       conn
	handler    Handler
	peer       protocol.Hello
	dialler    bool
	sendWindow int
	health     health
	counters   trafficCounters

	unreadBytes atomic.Int64 // unread bytes of all streams
	done        chan struct{}
	writerDone  chan struct{} // closed when writeLoop has returned
	writerWake  chan struct{} // signals writeLoop that something is queued

	mu             sync.Mutex
	streams        map[uint64]*stream
	peerOpen       int    // number of entries of streams opened by the peer
	nextID         uint64 // number of the next stream opened by this side
	lastPeerID     uint64 // highest number of a stream opened by the peer
	queues         queues
	goAwaySent     bool   // this side sent GoAway
	goAwayReceived bool   // the peer sent GoAway
	closed         bool   // no new streams or messages are accepted
	reason         string // why the session ended
	endedAfter     time.Duration
}

var _ Session = (*session)(nil)

func newSession(c conn, cfg Config, peer protocol.Hello, sendWindow int, h Handler, dialler bool) *session {
	s := &session{
		cfg: cfg, conn: c, handler: h, peer: peer, dialler: dialler, sendWindow: sendWindow,
		done:       make(chan struct{}),
		writerDone: make(chan struct{}),
		writerWake: make(chan struct{}, 1),
		streams:    make(map[uint64]*stream),
		nextID:     2,
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
	go s.monitorHealth()
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
		return nil, &OpenRefused{Reason: "it has ended: " + s.reason}
	case s.goAwaySent:
		s.mu.Unlock()
		return nil, &OpenRefused{Reason: "this instance is stopping"}
	case s.goAwayReceived:
		s.mu.Unlock()
		return nil, &OpenRefused{Reason: "the peer is stopping"}
	case suspect:
		s.mu.Unlock()
		return nil, &OpenRefused{Reason: "the connection is silent"}
	case len(s.streams)-s.peerOpen >= s.cfg.MaxStreams:
		s.mu.Unlock()
		return nil, &OpenRefused{Reason: fmt.Sprintf("%d streams are open", s.cfg.MaxStreams)}
	}
	id := s.nextID
	s.nextID += 2
	// Encoding needs the stream number, and streams must be opened in the order of their numbers. Here, unlike elsewhere,
	// the message is therefore encoded under the lock.
	f, err := s.encode(id, open)
	if err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if s.queues.openBytes > 0 && s.queues.openBytes+len(f.b) > s.cfg.QueueBytes {
		s.mu.Unlock()
		return nil, &OpenRefused{Reason: "the peer takes requests too slowly"}
	}
	f.open = true
	st := newStream(s, id, true)
	s.streams[id] = st
	s.queues.push(st, f)
	s.mu.Unlock()
	s.health.markActive()
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
		s.health.markActive() // an answer is awaited
	}
	return nil
}

// GoAway implements Session.
func (s *session) GoAway(reason string) {
	s.mu.Lock()
	stopping := s.goAwaySent || s.closed
	s.goAwaySent = true
	s.mu.Unlock()
	if !stopping {
		s.sendUrgent(0, &protocol.GoAway{Reason: reason})
	}
}

// Close implements Session. Frames that are already queued are still written, for at most flushTimeout.
func (s *session) Close(reason string) {
	if !s.end(reason) {
		return
	}
	go func() {
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case <-s.writerDone:
			s.conn.close(reason)
		case <-timer.C:
			s.conn.abort()
		}
	}()
}

// fail ends the session after a failure and aborts the connection.
func (s *session) fail(reason string) {
	if s.end(reason) {
		s.conn.abort()
	}
}

// end marks the session as closed and fails its streams. It returns false if the session was closed already.
func (s *session) end(reason string) bool {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	s.closed = true
	s.reason = reason
	s.endedAfter = time.Duration(s.health.now())
	interrupted := s.streams
	s.streams = nil
	for _, st := range interrupted {
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

func (s *session) wakeWriter() { signal(s.writerWake) }

// signal wakes one receiver of a channel with capacity 1; signals that are not yet received coalesce.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendUrgent queues a small message in the urgent queue, which is written before all others.
func (s *session) sendUrgent(id uint64, m protocol.Message) {
	f, err := s.encode(id, m)
	if err != nil {
		return
	}
	s.mu.Lock()
	// Only answers to a misbehaving peer can exceed the bound; they are dropped.
	if !s.closed && s.queues.urgent.len() < s.cfg.QueueMessages {
		s.queues.urgent.push(f)
	}
	s.mu.Unlock()
	s.wakeWriter()
}

// removeStream removes an ended stream from the session. The caller holds s.mu.
func (s *session) removeStream(st *stream) {
	if s.streams[st.id] == st {
		delete(s.streams, st.id)
		if !st.local {
			s.peerOpen--
		}
	}
}
