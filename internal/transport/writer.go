package transport

import (
	"sync"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// quantum is what one stream may write before the next one has its turn, in bytes.
const quantum = 16 << 10

// smallMessage is the size up to which a message outside a stream goes before all streams. A larger one has its turn
// like a stream.
const smallMessage = 4 << 10

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

// encode returns the frame of a message in a buffer of exactly its size: frames may wait in a queue for a long time.
func (s *session) encode(id uint64, m protocol.Message) (frame, error) {
	p := encodeBuffers.Get().(*[]byte)
	buffer := append((*p)[:0], make([]byte, batchPrefixSize)...)
	buffer, err := protocol.AppendFrame(buffer, id, m)
	size := len(buffer) - batchPrefixSize
	if err == nil && size > s.cfg.MaxMessage {
		err = &protocol.TooLargeError{Stream: id, Type: m.Type(), Bytes: size}
	}
	var f frame
	if err == nil {
		putPrefix(buffer, size)
		f.b = append(make([]byte, 0, len(buffer)), buffer...)
	}
	if cap(buffer) <= batchBytes {
		*p = buffer
		encodeBuffers.Put(p)
	}
	return f, err
}

// queues holds what the writer is to send, in order of precedence. It is guarded by the session's mu.
type queues struct {
	urgent       frames // heartbeats, cancellations and other small control frames
	credits      []*stream
	messages     frames // messages outside streams
	messageBytes int
	openBytes    int       // of all queued Opens
	ring         []*stream // streams with queued frames, in turn
}

// push queues a frame of a stream.
func (q *queues) push(st *stream, f frame) {
	st.queue.push(f)
	if f.open {
		q.openBytes += len(f.b)
	}
	if !f.data {
		st.queuedOther += len(f.b)
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

// pushCancel queues the cancellation of a stream, unless there are too many already.
func (q *queues) pushCancel(st *stream, reason string) {
	if len(reason) > smallMessage/2 {
		reason = reason[:smallMessage/2]
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
	st.queue = frames{}
	st.queuedOther = 0
}

// returnCredit lets the writer return credit to the peer. Credits of one stream that wait together become one message.
func (s *session) returnCredit(st *stream, n int) {
	s.mu.Lock()
	if st.sendErr != nil || s.closed {
		s.mu.Unlock()
		return
	}
	st.creditOwed += n
	if !st.creditPending {
		st.creditPending = true
		s.queues.credits = append(s.queues.credits, st)
	}
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *session) writeLoop() {
	defer close(s.written)
	for {
		b := getBatch()
		for s.nextBatch(b) {
			s.health.writing(true)
			err := s.conn.write(*b)
			s.health.writing(false)
			if err != nil {
				putBatch(b)
				s.lose("writing failed: " + err.Error())
				return
			}
			s.counters.sent(*b)
			*b = (*b)[:0]
		}
		putBatch(b)
		select {
		case <-s.wake:
			continue
		case <-s.done:
		}
		// What was queued before the end is written before the writer leaves.
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
		st.creditPending = false
		if st.sendErr == nil {
			if f, err := s.encode(st.id, &protocol.Credit{Bytes: st.creditOwed}); err == nil {
				*b = append(*b, f.b...)
			}
		}
		st.creditOwed = 0
	}
	if len(q.credits) == 0 {
		q.credits = nil
	}
	// Messages take at most half of a batch, so that they cannot starve the streams.
	for q.messages.len() > 0 && len(q.messages.peek().b) <= smallMessage && len(*b) < batchBytes/2 {
		q.takeMessage(b)
	}
	if q.messages.len() > 0 && len(q.messages.peek().b) > smallMessage && len(*b) < batchBytes {
		q.takeMessage(b)
	}
	q.takeStreams(b)
	return len(*b) > 0
}

func (q *queues) takeMessage(b *[]byte) {
	f := q.messages.pop()
	q.messageBytes -= len(f.b)
	*b = append(*b, f.b...)
}

// takeStreams serves the streams by deficit round robin: each has its quantum in turn, and a frame larger than the
// quantum waits until its stream has saved enough turns. A batch that holds frames is not exceeded by a large one.
func (q *queues) takeStreams(b *[]byte) {
	for len(q.ring) > 0 && len(*b) < batchBytes {
		st := q.ring[0]
		st.deficit += quantum
		if len(q.ring) == 1 && st.queue.len() > 0 {
			st.deficit = max(st.deficit, len(st.queue.peek().b)) // nobody else is waiting
		}
		for st.queue.len() > 0 && len(st.queue.peek().b) <= st.deficit && len(*b) < batchBytes {
			f := st.queue.pop()
			st.deficit -= len(f.b)
			st.openSent = true
			if f.open {
				q.openBytes -= len(f.b)
			}
			if !f.data {
				st.queuedOther -= len(f.b)
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
			st.queue = frames{}
		}
	}
	if len(q.ring) == 0 {
		q.ring = nil
	}
}

// frames is a queue of frames.
type frames struct {
	list []frame
	head int
}

func (f *frames) len() int     { return len(f.list) - f.head }
func (f *frames) peek() *frame { return &f.list[f.head] }

func (f *frames) push(x frame) {
	if f.head > 0 && len(f.list) == cap(f.list) {
		n := copy(f.list, f.list[f.head:])
		clear(f.list[n:])
		f.list, f.head = f.list[:n], 0
	}
	f.list = append(f.list, x)
}

func (f *frames) pop() frame {
	x := f.list[f.head]
	f.list[f.head] = frame{}
	f.head++
	if f.head == len(f.list) {
		f.list, f.head = f.list[:0], 0
	}
	return x
}

// received is a message and what it takes from the bounds on unread bytes.
type received struct {
	m    protocol.Message
	cost int
}

// inbox is a queue of received messages.
type inbox struct {
	list []received
	head int
}

func (q *inbox) len() int { return len(q.list) - q.head }

func (q *inbox) push(m received) {
	if q.head > 0 && len(q.list) == cap(q.list) {
		n := copy(q.list, q.list[q.head:])
		clear(q.list[n:])
		q.list, q.head = q.list[:n], 0
	}
	q.list = append(q.list, m)
}

func (q *inbox) pop() (m received, ok bool) {
	if q.head == len(q.list) {
		return m, false
	}
	m = q.list[q.head]
	q.list[q.head] = received{}
	q.head++
	if q.head == len(q.list) {
		q.list, q.head = q.list[:0], 0
	}
	return m, true
}
