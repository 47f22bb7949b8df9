package transport

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

func (s *session) readLoop() {
	for {
		b, err := s.conn.read()
		if err != nil {
			s.fail(err.Error())
			return
		}
		s.health.markReceived()
		s.counters.received(*b)
		if s.State() == StateClosed {
			putBatch(b) // closed locally: only the peer's close is awaited
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

// readBatch handles the frames of one batch. A bad frame of an identifiable stream fails only that stream, and a
// session-level message that cannot be decoded is skipped; any other violation is returned and closes the session.
func (s *session) readBatch(batch []byte) error {
	for len(batch) > 0 {
		if len(batch) < batchPrefixBytes || batch[0] != batchPrefix {
			return errors.New("peer sent a batch without frame lengths: check the peer's version")
		}
		size := uint64(batch[1])<<24 | uint64(batch[2])<<16 | uint64(batch[3])<<8 | uint64(batch[4])
		batch = batch[batchPrefixBytes:]
		truncated := size > uint64(len(batch))
		size = min(size, uint64(len(batch)))
		frame := batch[:size]
		batch = batch[size:]
		if truncated || len(frame) > s.cfg.MaxMessageBytes {
			id, ok := protocol.FrameStream(frame)
			switch {
			case !ok || truncated && id == 0:
				return errors.New("peer sent a truncated or oversized frame outside any stream: check the peer's version")
			case truncated:
				s.failStream(id, StreamMalformed, "peer sent a truncated frame")
			case id == 0:
				s.skipMessage(&protocol.TooLargeError{Bytes: len(frame)})
			default:
				s.failStream(id, StreamTooLarge, fmt.Sprintf("peer sent a frame of %d bytes, the limit is %d", len(frame), s.cfg.MaxMessageBytes))
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
			case errors.As(err, &malformed) && malformed.StreamKnown:
				s.skipMessage(err)
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

// skipMessage counts a session-level message that cannot be decoded. The session goes on: the peer would send the message
// again in the next one, and nothing behind it would ever arrive.
func (s *session) skipMessage(err error) {
	messagesUndecodable.Inc()
	if undecodableLogLimit.allow(time.Now()) {
		log.WithError(err).WithField("peer", s.peer.Instance).Error("message skipped: it cannot be decoded; further ones are only counted for a second")
	}
}

var (
	messagesUndecodable = metrics.GetOrCreateCounter(`banyanfront_messages_undecodable_total`)
	undecodableLogLimit logLimit
)

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
	// Frames of a stream that has ended here may still be in transit and are dropped. For a stream that was never opened
	// a Cancel is sent, except in reply to messages that need none.
	if !known {
		switch m.(type) {
		case *protocol.Cancel, *protocol.End, *protocol.Credit:
		default:
			s.sendUrgent(id, &protocol.Cancel{Reason: "stream is unknown to the receiver"})
		}
	}
	return nil
}

// wasOpened reports whether a stream with this number has been opened, by either side. The caller holds s.mu.
func (s *session) wasOpened(id uint64) bool {
	if s.isOwnID(id) {
		return id < s.nextID
	}
	return id <= s.lastPeerID
}

// isOwnID reports whether this side allocates the stream number: the dialling side uses odd numbers, the other even ones.
func (s *session) isOwnID(id uint64) bool { return (id%2 == 1) == s.dialler }

func (s *session) receiveMessage(m protocol.Message) error {
	switch m := m.(type) {
	case *protocol.Ping:
		s.health.recordPeerSilence(time.Duration(min(max(m.SilenceMS, 0), math.MaxInt32)) * time.Millisecond)
		s.sendUrgent(0, &protocol.Pong{Sequence: m.Sequence})
		return nil
	case *protocol.Pong:
		return nil
	case *protocol.GoAway:
		s.mu.Lock()
		s.goAwayReceived = true
		s.mu.Unlock()
	case *protocol.Head, *protocol.Data, *protocol.Credit, *protocol.End, *protocol.Cancel, *protocol.Open:
		return fmt.Errorf("peer sent a message of type %d outside a stream: check the peer's version", m.Type())
	}
	s.handler.MessageReceived(s, m)
	return nil
}

func (s *session) receiveOpen(id uint64, open *protocol.Open) error {
	if s.isOwnID(id) {
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
	refusalReason := ""
	switch {
	case s.goAwaySent:
		refusalReason = "instance is stopping: use another one"
	case s.peerOpen >= s.cfg.MaxStreams:
		refusalReason = fmt.Sprintf("session has %d open streams: use another session or wait for one to end", s.peerOpen)
	}
	if refusalReason != "" {
		s.mu.Unlock()
		s.sendUrgent(id, &protocol.End{Outcome: protocol.OutcomeNotRun, Reason: refusalReason})
		return nil
	}
	st := newStream(s, id, false)
	st.openSent = true
	s.streams[id] = st
	s.peerOpen++
	s.health.markActive()
	s.mu.Unlock()
	go s.handler.StreamOpened(st, open)
	return nil
}

// failStream ends one stream because of a bad frame from the peer, and sends the peer a Cancel.
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
