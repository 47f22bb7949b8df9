package transport

import (
	"context"
	"errors"
	"fmt"
	"math"
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

func (s *session) readLoop() {
	for {
		b, err := s.conn.read()
		if err != nil {
			s.lose(err.Error())
			return
		}
		s.health.received()
		if s.State() == StateClosed {
			putBatch(b) // only the peer's close is still awaited
			continue
		}
		err = s.readBatch(*b)
		putBatch(b)
		if err != nil {
			s.Close(err.Error())
			return
		}
	}
}

// readBatch handles the frames of one batch. An error ends the session; a bad frame of a known stream ends that only.
func (s *session) readBatch(batch []byte) error {
	for len(batch) > 0 {
		if len(batch) < batchPrefixSize || batch[0] != batchPrefix {
			return errors.New("peer sent a batch without frame lengths: check the peer's version")
		}
		size := uint64(batch[1])<<24 | uint64(batch[2])<<16 | uint64(batch[3])<<8 | uint64(batch[4])
		batch = batch[batchPrefixSize:]
		truncated := size > uint64(len(batch))
		size = min(size, uint64(len(batch)))
		frame := batch[:size]
		batch = batch[size:]
		if truncated || len(frame) > s.cfg.MaxMessage {
			id, ok := protocol.FrameStream(frame)
			if !ok || id == 0 {
				return errors.New("peer sent a truncated or oversized frame outside any stream: check the peer's version")
			}
			if truncated {
				s.failStream(id, StreamMalformed, "peer sent a truncated frame")
			} else {
				s.failStream(id, StreamTooLarge, fmt.Sprintf("peer sent a frame of %d bytes, the limit is %d", len(frame), s.cfg.MaxMessage))
			}
			continue
		}
		id, m, err := protocol.Decode(frame)
		if err != nil {
			var unknown *protocol.UnknownTypeError
			var malformed *protocol.MalformedError
			switch {
			case errors.As(err, &unknown):
			case errors.As(err, &malformed) && malformed.StreamKnown && id != 0:
				s.failStream(id, StreamMalformed, err.Error())
			default:
				return err
			}
			continue
		}
		if err := s.dispatch(id, m, len(frame)); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) dispatch(id uint64, m protocol.Message, size int) error {
	if id == 0 {
		return s.receiveMessage(m)
	}
	if open, ok := m.(*protocol.Open); ok {
		return s.receiveOpen(id, open)
	}
	s.mu.Lock()
	st := s.streams[id]
	known := st != nil || s.wasOpened(id)
	s.mu.Unlock()
	if st != nil {
		st.receive(m, size)
		return nil
	}
	// Frames of a stream that ended here may still be under way and are dropped. A stream that never was is cancelled at
	// the peer, but for messages that need no answer.
	if !known {
		switch m.(type) {
		case *protocol.Cancel, *protocol.End, *protocol.Credit:
		default:
			s.sendUrgent(id, &protocol.Cancel{Reason: "stream is unknown to the receiver"})
		}
	}
	return nil
}

// wasOpened reports whether the stream number has been used by the side that it belongs to. The caller holds s.mu.
func (s *session) wasOpened(id uint64) bool {
	if s.ownID(id) {
		return id < s.nextID
	}
	return id <= s.lastPeerID
}

// ownID reports whether the number is one that this side gives to streams: the dialling side takes the odd ones.
func (s *session) ownID(id uint64) bool { return (id%2 == 1) == s.dialler }

func (s *session) receiveMessage(m protocol.Message) error {
	switch m := m.(type) {
	case *protocol.Ping:
		s.health.peerHeard(time.Duration(min(max(m.SilenceMS, 0), math.MaxInt32)) * time.Millisecond)
		s.sendUrgent(0, &protocol.Pong{Sequence: m.Sequence})
		return nil
	case *protocol.Pong:
		return nil
	case *protocol.GoAway:
		s.mu.Lock()
		s.peerLeaves = true
		s.mu.Unlock()
	case *protocol.Head, *protocol.Data, *protocol.Credit, *protocol.End, *protocol.Cancel, *protocol.Open:
		return fmt.Errorf("peer sent a message of type %d outside a stream: check the peer's version", m.Type())
	}
	s.handler.MessageReceived(s, m)
	return nil
}

func (s *session) receiveOpen(id uint64, open *protocol.Open) error {
	if s.ownID(id) {
		return fmt.Errorf("peer opened stream %d, which belongs to this side: check the peer's version", id)
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	if id <= s.lastPeerID {
		s.mu.Unlock()
		s.failStream(id, StreamOutOfOrder, "peer opened the stream twice or out of order")
		return nil
	}
	s.lastPeerID = id
	refusal := ""
	switch {
	case s.leaving:
		refusal = "instance is stopping: use another one"
	case s.peerOpen >= s.cfg.MaxStreams:
		refusal = fmt.Sprintf("session has %d open streams: use another session or wait for one to end", s.peerOpen)
	}
	if refusal != "" {
		s.mu.Unlock()
		s.sendUrgent(id, &protocol.End{Outcome: protocol.OutcomeNotRun, Reason: refusal})
		return nil
	}
	st := newStream(s, id, false)
	st.openSent = true
	s.streams[id] = st
	s.peerOpen++
	s.mu.Unlock()
	go s.handler.StreamOpened(st, open)
	return nil
}

// failStream ends one stream because of what the peer sent, and tells the peer.
func (s *session) failStream(id uint64, kind StreamErrorKind, detail string) {
	s.mu.Lock()
	st := s.streams[id]
	s.mu.Unlock()
	if st != nil {
		st.fail(kind, detail)
		return
	}
	s.sendUrgent(id, &protocol.Cancel{Reason: detail})
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
