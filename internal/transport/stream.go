package transport

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// dataOverhead is charged against the window for each Data beside its payload, so that many empty or tiny ones are
// bounded as well. It is about the memory that a queued Data takes.
const dataOverhead = 64

// maxInboxMessages bounds the unread messages other than Data of one stream. An attempt has a Head, an End and at most
// a few inquiries.
const maxInboxMessages = 64

// dataCost is what a Data takes from the window on both sides.
func dataCost(d *protocol.Data) int { return len(d.Payload) + dataOverhead }

// needed is the credit that a Data of the given cost has to wait for. A Data that is larger than half the window may
// overdraw it, since whole server-sent events are not split; the receiver returns credit before less than half the
// window is left, so that the sender never waits for ever.
func needed(cost, window int) int { return min(cost, window/2) }

// stream implements Stream.
type stream struct {
	s     *session
	id    uint64
	local bool // opened by this side

	// Guarded by s.mu.
	queue         frames
	queuedOther   int // bytes of queued messages that are not Data
	scheduled     bool
	deficit       int // bytes that the writer may still take in this round
	openSent      bool
	sendErr       error // not nil once nothing more can be sent
	sendCredit    int
	creditOwed    int // credit that the writer is to return to the peer
	creditPending bool

	sendWake chan struct{}

	recvMu     sync.Mutex
	inbox      inbox
	otherCount int   // unread messages that are not Data
	buffered   int   // unread cost of all messages
	recvCredit int   // what the peer may still send
	consumed   int   // read and not yet returned as credit
	lastRead   int64 // when a message was last read or the inbox was last empty, by health.now
	detached   bool  // its unread bytes do not count for the session
	order      order
	recvErr    error // returned once the inbox is empty

	recvWake chan struct{}
}

var _ Stream = (*stream)(nil)

func newStream(s *session, id uint64, local bool) *stream {
	return &stream{
		s: s, id: id, local: local,
		sendCredit: s.sendWindow,
		recvCredit: s.cfg.Window,
		sendWake:   make(chan struct{}, 1),
		recvWake:   make(chan struct{}, 1),
	}
}

// Session implements Stream.
func (st *stream) Session() Session { return st.s }

// Send implements Stream. After End or Cancel the stream is released and takes no more messages.
func (st *stream) Send(ctx context.Context, m protocol.Message) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if _, ok := m.(*protocol.Cancel); ok {
		st.Close(m.(*protocol.Cancel).Reason)
		return nil
	}
	f, err := st.s.encode(st.id, m)
	if err != nil {
		return err
	}
	data, isData := m.(*protocol.Data)
	for {
		st.s.mu.Lock()
		if st.sendErr != nil {
			err := st.sendErr
			st.s.mu.Unlock()
			signal(st.sendWake) // other senders have to see it too
			return err
		}
		if isData {
			if cost := dataCost(data); st.sendCredit >= needed(cost, st.s.sendWindow) {
				st.sendCredit -= cost
				break
			}
		} else if st.queuedOther == 0 || st.queuedOther+len(f.b) <= st.s.cfg.QueueBytes {
			break
		}
		st.s.mu.Unlock()
		select {
		case <-st.sendWake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.data = isData
	st.s.queues.push(st, f)
	if _, ok := m.(*protocol.End); ok {
		st.sendErr = st.errClosed()
		st.s.forget(st)
	}
	ended := st.sendErr
	more := st.sendCredit > 0
	st.s.mu.Unlock()
	st.s.wakeWriter()
	if ended != nil {
		st.endReceive(ended)
	}
	if more || ended != nil {
		signal(st.sendWake)
	}
	return nil
}

func (st *stream) errClosed() error {
	return &StreamError{Stream: st.id, Kind: StreamClosed, Detail: "this side has ended the stream"}
}

// Receive implements Stream. After End it returns io.EOF.
func (st *stream) Receive(ctx context.Context) (protocol.Message, error) {
	for {
		st.recvMu.Lock()
		m, ok := st.inbox.pop()
		if ok {
			credit := st.taken(m)
			more := st.inbox.len() > 0 || st.recvErr != nil
			st.recvMu.Unlock()
			if more {
				signal(st.recvWake)
			}
			if credit > 0 {
				st.s.returnCredit(st, credit)
			}
			return m.m, nil
		}
		err := st.recvErr
		st.recvMu.Unlock()
		if err != nil {
			signal(st.recvWake) // other receivers have to see it too
			return nil, err
		}
		select {
		case <-st.recvWake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// taken accounts for a message that was read and returns the credit to be sent to the peer. The caller holds recvMu.
func (st *stream) taken(r received) int {
	st.buffered -= r.cost
	st.lastRead = st.s.health.now()
	if !st.detached {
		st.s.unread.Add(int64(-r.cost))
	}
	if _, ok := r.m.(*protocol.Data); !ok {
		st.otherCount--
		return 0
	}
	st.consumed += r.cost
	if st.consumed < st.s.cfg.Window/4 || st.recvErr != nil {
		return 0
	}
	credit := st.consumed
	st.consumed = 0
	st.recvCredit += credit
	return credit
}

// Close implements Stream.
func (st *stream) Close(reason string) {
	err := st.errClosed()
	st.s.mu.Lock()
	if st.sendErr == nil {
		st.sendErr = err
		if st.openSent {
			st.s.queues.drop(st)
			st.s.queues.pushCancel(st, reason)
		} else {
			st.s.queues.drop(st) // the peer never hears of the stream
		}
		st.s.forget(st)
	}
	st.s.mu.Unlock()
	st.s.wakeWriter()
	signal(st.sendWake)
	st.release(err)
}

// fail ends the stream because of what the peer or the reader did, and cancels it at the peer.
func (st *stream) fail(kind StreamErrorKind, detail string) {
	err := &StreamError{Stream: st.id, Kind: kind, Detail: detail}
	st.s.mu.Lock()
	if st.sendErr == nil {
		st.s.queues.drop(st)
		st.s.queues.pushCancel(st, detail)
		st.endSend(err)
	}
	st.s.forget(st)
	st.s.mu.Unlock()
	st.s.wakeWriter()
	st.release(err)
}

// endSend makes further Sends fail. The caller holds s.mu.
func (st *stream) endSend(err error) {
	if st.sendErr == nil {
		st.sendErr = err
	}
	signal(st.sendWake)
}

// endReceive makes Receive fail once the inbox is empty.
func (st *stream) endReceive(err error) {
	st.recvMu.Lock()
	if st.recvErr == nil {
		st.recvErr = err
	}
	st.detach()
	st.recvMu.Unlock()
	signal(st.recvWake)
}

// detach stops counting the unread bytes of an ended stream for its session: they are bounded by the window and cannot
// be shed any more. The caller holds recvMu.
func (st *stream) detach() {
	if !st.detached {
		st.s.unread.Add(int64(-st.buffered))
		st.detached = true
	}
}

// release drops the unread messages and makes Receive fail.
func (st *stream) release(err error) {
	st.recvMu.Lock()
	st.detach()
	st.buffered, st.otherCount = 0, 0
	st.inbox = inbox{}
	if st.recvErr == nil || st.recvErr == io.EOF {
		st.recvErr = err
	}
	st.recvMu.Unlock()
	signal(st.recvWake)
}

// receive takes a message of the encoded size from the session's reader; it does not block.
func (st *stream) receive(m protocol.Message, size int) {
	if credit, ok := m.(*protocol.Credit); ok {
		st.receiveCredit(credit.Bytes)
		return
	}
	st.recvMu.Lock()
	if st.recvErr != nil {
		st.recvMu.Unlock()
		return
	}
	if detail := st.order.check(m); detail != "" {
		st.recvMu.Unlock()
		st.fail(StreamOutOfOrder, detail)
		return
	}
	cost := size
	if d, ok := m.(*protocol.Data); ok {
		cost = dataCost(d)
		if st.recvCredit < needed(cost, st.s.cfg.Window) {
			st.recvMu.Unlock()
			st.fail(StreamFlow, fmt.Sprintf("peer sent %d bytes with a credit of %d", cost, st.recvCredit))
			return
		}
		st.recvCredit -= cost
	} else if st.otherCount++; st.otherCount > maxInboxMessages {
		st.recvMu.Unlock()
		st.fail(StreamOverflow, fmt.Sprintf("more than %d messages are unread: read the stream or close it", maxInboxMessages))
		return
	}
	if st.inbox.len() == 0 {
		st.lastRead = st.s.health.now()
	}
	st.buffered += cost
	unread := st.s.unread.Add(int64(cost))
	st.inbox.push(received{m, cost})
	var ended error
	switch m := m.(type) {
	case *protocol.End:
		ended = io.EOF
	case *protocol.Cancel:
		ended = &StreamError{Stream: st.id, Kind: StreamCancelled, Detail: "the peer cancelled it: " + m.Reason}
	}
	st.recvErr = ended
	if ended != nil {
		st.detach()
	}
	st.recvMu.Unlock()
	signal(st.recvWake)
	if ended != nil {
		st.s.mu.Lock()
		st.s.queues.drop(st)
		if ended == io.EOF {
			ended = &StreamError{Stream: st.id, Kind: StreamClosed, Detail: "the peer has ended it"}
		}
		st.endSend(ended)
		st.s.forget(st)
		st.s.mu.Unlock()
	}
	if unread > int64(st.s.cfg.ReceiveBytes) {
		st.s.shed()
	}
}

func (st *stream) receiveCredit(n int) {
	st.s.mu.Lock()
	ok := n > 0 && n <= st.s.sendWindow+protocol.MaxMessageBytes+dataOverhead && st.sendCredit+n <= st.s.sendWindow
	if ok {
		st.sendCredit += n
	}
	st.s.mu.Unlock()
	if !ok {
		st.fail(StreamFlow, fmt.Sprintf("peer granted %d bytes of credit beyond its window", n))
		return
	}
	signal(st.sendWake)
}
