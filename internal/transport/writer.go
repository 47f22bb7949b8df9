package transport

import (
	"sync"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// quantumBytes is the deficit round robin quantum: what a stream may write per turn.
const quantumBytes = 16 << 10

// smallMessageBytes is the size up to which session-level messages are written before all streams. Of larger ones,
// each batch takes at most one before the streams.
const smallMessageBytes = 4 << 10

// frame is an encoded message with its batch prefix.
type frame struct {
	b    []byte
	data bool // holds Data
	open bool // holds Open
}

var encodeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 4<<10)
	return &b
}}

// encode returns the frame of a message in a buffer of exactly its size, since frames may stay queued for a long time.
func (s *session) encode(id uint64, m protocol.Message) (frame, error) {
	p := encodeBuffers.Get().(*[]byte)
	buffer := append((*p)[:0], make([]byte, batchPrefixBytes)...)
	buffer, err := protocol.AppendFrame(buffer, id, m)
	size := len(buffer) - batchPrefixBytes
	if err == nil && size > s.cfg.MaxMessageBytes {
		err = &protocol.TooLargeError{Stream: id, Type: m.Type(), Bytes: size}
	}
	var f frame
	if err == nil {
		putBatchPrefix(buffer, size)
		f.b = append(make([]byte, 0, len(buffer)), buffer...)
	}
	if cap(buffer) <= batchBytes {
		*p = buffer
		encodeBuffers.Put(p)
	}
	return f, err
}

// queues holds the frames and credits to be sent, in order of priority. It is guarded by the session's mu.
type queues struct {
	urgent       frameQueue // heartbeats, cancellations and other small control frames
	credits      []*stream
	messages     frameQueue // session-level messages
	messageBytes int
	openBytes    int       // total size of all queued Opens
	ring         []*stream // streams with queued frames, in round robin order
}

// push queues a frame of a stream.
func (q *queues) push(st *stream, f frame) {
	st.queue.push(f)
	if f.open {
		q.openBytes += len(f.b)
	}
	if !f.data {
		st.queuedNonDataBytes += len(f.b)
	}
	if !st.scheduled {
		st.scheduled = true
		st.deficit = 0
		q.ring = append(q.ring, st)
	}
}

func (q *queues) pushMessage(f frame) {
	q.messages.push(f)
	q.messageBytes += len(f.b)
}

// pushCancel queues the cancellation of a stream, unless the urgent queue is full.
func (q *queues) pushCancel(st *stream, reason string) {
	if len(reason) > smallMessageBytes/2 {
		reason = reason[:smallMessageBytes/2]
	}
	f, err := st.s.encode(st.id, &protocol.Cancel{Reason: reason})
	if err == nil && !st.s.closed && q.urgent.len() < st.s.cfg.QueueMessages+st.s.cfg.MaxStreams {
		q.urgent.push(f)
	}
}

// drop removes the queued frames of a stream.
func (q *queues) drop(st *stream) {
	if st.queue.len() > 0 && st.queue.peek().open {
		q.openBytes -= len(st.queue.peek().b)
	}
	st.queue = frameQueue{}
	st.queuedNonDataBytes = 0
}

// returnCredit queues credit to be returned to the peer. Pending credits of one stream are sent as one message.
func (s *session) returnCredit(st *stream, n int) {
	s.mu.Lock()
	if st.sendErr != nil || s.closed {
		s.mu.Unlock()
		return
	}
	st.creditToReturn += n
	if !st.creditQueued {
		st.creditQueued = true
		s.queues.credits = append(s.queues.credits, st)
	}
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *session) writeLoop() {
	defer close(s.writerDone)
	for {
		b := getBatch()
		for s.nextBatch(b) {
			s.health.markWriting(true)
			err := s.conn.write(*b)
			s.health.markWriting(false)
			if err != nil {
				putBatch(b)
				s.fail("writing failed: " + err.Error())
				return
			}
			s.counters.sent(*b)
			*b = (*b)[:0]
		}
		putBatch(b)
		select {
		case <-s.writerWake:
			continue
		case <-s.done:
		}
		// Frames queued before the session ended are written before the loop returns.
		s.mu.Lock()
		empty := s.queues.empty()
		s.mu.Unlock()
		if empty {
			return
		}
	}
}

func (q *queues) empty() bool {
	return q.urgent.len() == 0 && len(q.credits) == 0 && q.messages.len() == 0 && len(q.ring) == 0
}

// nextBatch fills b with queued frames and reports whether there were any.
func (s *session) nextBatch(b *[]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.queues
	for q.urgent.len() > 0 && len(*b) < batchBytes {
		*b = append(*b, q.urgent.pop().b...)
	}
	for len(q.credits) > 0 && len(*b) < batchBytes {
		st := q.credits[0]
		q.credits[0] = nil
		q.credits = q.credits[1:]
		st.creditQueued = false
		if st.sendErr == nil {
			if f, err := s.encode(st.id, &protocol.Credit{Bytes: st.creditToReturn}); err == nil {
				*b = append(*b, f.b...)
			}
		}
		st.creditToReturn = 0
	}
	if len(q.credits) == 0 {
		q.credits = nil
	}
	// Messages take at most half of a batch, so that they cannot starve the streams.
	for q.messages.len() > 0 && len(q.messages.peek().b) <= smallMessageBytes && len(*b) < batchBytes/2 {
		q.appendMessage(b)
	}
	if q.messages.len() > 0 && len(q.messages.peek().b) > smallMessageBytes && len(*b) < batchBytes {
		q.appendMessage(b)
	}
	q.appendStreamFrames(b)
	return len(*b) > 0
}

func (q *queues) appendMessage(b *[]byte) {
	f := q.messages.pop()
	q.messageBytes -= len(f.b)
	*b = append(*b, f.b...)
}

// appendStreamFrames serves the streams by deficit round robin: each turn adds quantumBytes to the deficit of a stream, and
// a larger frame waits until the deficit covers it. No stream frame is added once the batch has reached batchBytes.
func (q *queues) appendStreamFrames(b *[]byte) {
	for len(q.ring) > 0 && len(*b) < batchBytes {
		st := q.ring[0]
		st.deficit += quantumBytes
		if len(q.ring) == 1 && st.queue.len() > 0 {
			st.deficit = max(st.deficit, len(st.queue.peek().b)) // no other stream is waiting
		}
		for st.queue.len() > 0 && len(st.queue.peek().b) <= st.deficit && len(*b) < batchBytes {
			f := st.queue.pop()
			st.deficit -= len(f.b)
			st.openSent = true
			if f.open {
				q.openBytes -= len(f.b)
			}
			if !f.data {
				st.queuedNonDataBytes -= len(f.b)
				signal(st.sendWake)
			}
			*b = append(*b, f.b...)
		}
		q.ring[0] = nil
		q.ring = q.ring[1:]
		if st.queue.len() > 0 {
			q.ring = append(q.ring, st)
		} else {
			st.scheduled = false
			st.queue = frameQueue{}
		}
	}
	if len(q.ring) == 0 {
		q.ring = nil
	}
}

// frameQueue is a FIFO queue of frames.
type frameQueue struct {
	list []frame
	head int
}

func (f *frameQueue) len() int     { return len(f.list) - f.head }
func (f *frameQueue) peek() *frame { return &f.list[f.head] }

func (f *frameQueue) push(x frame) {
	if f.head > 0 && len(f.list) == cap(f.list) {
		n := copy(f.list, f.list[f.head:])
		clear(f.list[n:])
		f.list, f.head = f.list[:n], 0
	}
	f.list = append(f.list, x)
}

func (f *frameQueue) pop() frame {
	x := f.list[f.head]
	f.list[f.head] = frame{}
	f.head++
	if f.head == len(f.list) {
		f.list, f.head = f.list[:0], 0
	}
	return x
}

// receivedMessage is a message and its cost in unread bytes.
type receivedMessage struct {
	m    protocol.Message
	cost int
}

// inbox is a FIFO queue of received messages.
type inbox struct {
	list []receivedMessage
	head int
}

func (q *inbox) len() int { return len(q.list) - q.head }

func (q *inbox) push(m receivedMessage) {
	if q.head > 0 && len(q.list) == cap(q.list) {
		n := copy(q.list, q.list[q.head:])
		clear(q.list[n:])
		q.list, q.head = q.list[:n], 0
	}
	q.list = append(q.list, m)
}

func (q *inbox) pop() (m receivedMessage, ok bool) {
	if q.head == len(q.list) {
		return m, false
	}
	m = q.list[q.head]
	q.list[q.head] = receivedMessage{}
	q.head++
	if q.head == len(q.list) {
		q.list, q.head = q.list[:0], 0
	}
	return m, true
}
