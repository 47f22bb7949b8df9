package transport

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// dataOverheadBytes is charged against the window for each Data in addition to its payload, so that many empty or tiny
// ones are bounded as well. It is about the memory overhead of a queued Data.
const dataOverheadBytes = 64

// maxInboxMessages bounds the unread non-Data messages of one stream. An attempt has a Head, an End and at most a few
// inquiries.
const maxInboxMessages = 64

// dataCost returns the bytes that a Data is charged against the window, on both sides.
func dataCost(d *protocol.Data) int { return len(d.Payload) + dataOverheadBytes }

// requiredCredit returns the credit that must be available before a Data of the given cost is sent. A Data larger than
// half the window may overdraw the credit, since server-sent events are not split. The receiver returns credit before
// less than half the window is left, so that the sender never blocks for ever.
func requiredCredit(cost, window int) int { return min(cost, window/2) }

// stream implements Stream.
type stream struct {
	s     *session
	id    uint64
	local bool // opened by this side

	// Guarded by s.mu.
	queue              frameQueue
	queuedNonDataBytes int // total size of the queued non-Data messages
	scheduled          bool
	deficit            int // bytes that the writer may still send in this round
	openSent           bool
	sendErr            error // set once nothing more can be sent
	sendCredit         int
	creditToReturn     int // credit that the writer has yet to return to the peer
	creditQueued       bool

	sendWake chan struct{}

	recvMu           sync.Mutex
	inbox            inbox
	unreadNonData    int   // number of unread non-Data messages
	unreadBytes      int   // total cost of the unread messages
	recvCredit       int   // bytes that the peer may still send
	unreturnedCredit int   // bytes read and not yet returned as credit
	lastRead         int64 // when a message was last read or the inbox was last empty, by health.now
	uncounted        bool  // unreadBytes is not included in session.unreadBytes
	order            messageOrder
	recvErr          error // returned once the inbox is empty

	recvWake chan struct{}
}

var _ Stream = (*stream)(nil)

func newStream(s *session, id uint64, local bool) *stream {
	return &stream{
		s: s, id: id, local: local,
		sendCredit: s.sendWindow,
		recvCredit: s.cfg.WindowBytes,
		sendWake:   make(chan struct{}, 1),
		recvWake:   make(chan struct{}, 1),
	}
}

// Session implements Stream.
func (st *stream) Session() Session { return st.s }

// Send implements Stream. After End or Cancel the stream has ended and further Sends fail.
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
			signal(st.sendWake) // wakes the next waiting sender, which fails as well
			return err
		}
		if isData {
			if cost := dataCost(data); st.sendCredit >= requiredCredit(cost, st.s.sendWindow) {
				st.sendCredit -= cost
				break
			}
		} else if st.queuedNonDataBytes == 0 || st.queuedNonDataBytes+len(f.b) <= st.s.cfg.QueueBytes {
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
		st.s.removeStream(st)
	}
	endErr := st.sendErr
	creditLeft := st.sendCredit > 0
	st.s.mu.Unlock()
	st.s.wakeWriter()
	if endErr != nil {
		st.endReceive(endErr)
	}
	if creditLeft || endErr != nil {
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
			credit := st.accountRead(m)
			moreToRead := st.inbox.len() > 0 || st.recvErr != nil
			st.recvMu.Unlock()
			if moreToRead {
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
			signal(st.recvWake) // wakes the next waiting receiver, which fails as well
			return nil, err
		}
		select {
		case <-st.recvWake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// accountRead accounts for a message that was read and returns the credit to send to the peer, or 0. The caller holds
// recvMu.
func (st *stream) accountRead(r receivedMessage) int {
	st.unreadBytes -= r.cost
	st.lastRead = st.s.health.now()
	if !st.uncounted {
		st.s.unreadBytes.Add(int64(-r.cost))
	}
	if _, ok := r.m.(*protocol.Data); !ok {
		st.unreadNonData--
		return 0
	}
	st.unreturnedCredit += r.cost
	if st.unreturnedCredit < st.s.cfg.WindowBytes/4 || st.recvErr != nil {
		return 0
	}
	credit := st.unreturnedCredit
	st.unreturnedCredit = 0
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
			st.s.queues.drop(st) // the peer never learns of the stream
		}
		st.s.removeStream(st)
	}
	st.s.mu.Unlock()
	st.s.wakeWriter()
	signal(st.sendWake)
	st.discardUnread(err)
}

// fail ends the stream because of an error of the peer or of the local reader, and sends the peer a Cancel.
func (st *stream) fail(kind StreamErrorKind, detail string) {
	err := &StreamError{Stream: st.id, Kind: kind, Detail: detail}
	st.s.mu.Lock()
	if st.sendErr == nil {
		st.s.queues.drop(st)
		st.s.queues.pushCancel(st, detail)
		st.endSend(err)
	}
	st.s.removeStream(st)
	st.s.mu.Unlock()
	st.s.wakeWriter()
	st.discardUnread(err)
}

// endSend makes further Sends fail with err. The caller holds s.mu.
func (st *stream) endSend(err error) {
	if st.sendErr == nil {
		st.sendErr = err
	}
	signal(st.sendWake)
}

// endReceive makes Receive fail with err once the inbox is empty.
func (st *stream) endReceive(err error) {
	st.recvMu.Lock()
	if st.recvErr == nil {
		st.recvErr = err
	}
	st.stopCounting()
	st.recvMu.Unlock()
	signal(st.recvWake)
}

// stopCounting excludes the unread bytes of an ended stream from the session's total: they are bounded by the window, and
// cancelling the stream can no longer reduce them. The caller holds recvMu.
func (st *stream) stopCounting() {
	if !st.uncounted {
		st.s.unreadBytes.Add(int64(-st.unreadBytes))
		st.uncounted = true
	}
}

// discardUnread drops the unread messages and makes Receive fail with err.
func (st *stream) discardUnread(err error) {
	st.recvMu.Lock()
	st.stopCounting()
	st.unreadBytes, st.unreadNonData = 0, 0
	st.inbox = inbox{}
	if st.recvErr == nil || st.recvErr == io.EOF {
		st.recvErr = err
	}
	st.recvMu.Unlock()
	signal(st.recvWake)
}

// receive handles a message from the session's read loop; size is its encoded size in bytes. It does not block.
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
		if st.recvCredit < requiredCredit(cost, st.s.cfg.WindowBytes) {
			st.recvMu.Unlock()
			st.fail(StreamFlowControl, fmt.Sprintf("peer sent %d bytes with a credit of %d", cost, st.recvCredit))
			return
		}
		st.recvCredit -= cost
	} else if st.unreadNonData++; st.unreadNonData > maxInboxMessages {
		st.recvMu.Unlock()
		st.fail(StreamOverflow, fmt.Sprintf("more than %d messages are unread: read the stream or close it", maxInboxMessages))
		return
	}
	if st.inbox.len() == 0 {
		st.lastRead = st.s.health.now()
	}
	st.unreadBytes += cost
	unread := st.s.unreadBytes.Add(int64(cost))
	st.inbox.push(receivedMessage{m, cost})
	var endErr error
	switch m := m.(type) {
	case *protocol.End:
		endErr = io.EOF
	case *protocol.Cancel:
		endErr = &StreamError{Stream: st.id, Kind: StreamCancelled, Detail: "the peer cancelled it: " + m.Reason}
	}
	st.recvErr = endErr
	if endErr != nil {
		st.stopCounting()
	}
	st.recvMu.Unlock()
	signal(st.recvWake)
	if endErr != nil {
		st.s.mu.Lock()
		st.s.queues.drop(st)
		if endErr == io.EOF {
			endErr = &StreamError{Stream: st.id, Kind: StreamClosed, Detail: "the peer has ended it"}
		}
		st.endSend(endErr)
		st.s.removeStream(st)
		st.s.mu.Unlock()
	}
	if unread > int64(st.s.cfg.ReceiveBytes) {
		st.s.enforceUnreadLimit()
	}
}

func (st *stream) receiveCredit(n int) {
	st.s.mu.Lock()
	ok := n > 0 && n <= st.s.sendWindow+protocol.MaxMessageBytes+dataOverheadBytes && st.sendCredit+n <= st.s.sendWindow
	if ok {
		st.sendCredit += n
	}
	st.s.mu.Unlock()
	if !ok {
		st.fail(StreamFlowControl, fmt.Sprintf("peer granted %d bytes of credit beyond its window", n))
		return
	}
	signal(st.sendWake)
}
