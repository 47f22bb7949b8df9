// Package transport carries the inner protocol over WebSocket sessions. A session multiplexes many streams, each with
// its own flow control; heartbeats in both directions detect sessions that have become silent without an error.
package transport

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// State is a session's health.
type State uint8

// States of a session. A suspect session accepts no new streams from this side, and its dialling side opens a
// replacement.
const (
	StateLive State = iota
	StateSuspect
	StateClosed
)

// Session is an authenticated connection between two processes of the fleet.
type Session interface {
	// Peer returns the Hello of the other side.
	Peer() protocol.Hello
	// Open opens a stream and sends its first message.
	Open(ctx context.Context, open *protocol.Open) (Stream, error)
	// Send queues a session-level message, outside any stream. It returns QueueFull rather than block.
	Send(m protocol.Message) error
	// State returns the session's health.
	State() State
	// GoAway announces a planned stop; open streams continue.
	GoAway(reason string)
	// Close ends the session and all its streams at once.
	Close(reason string)
	// Done returns a channel that is closed when the session has ended.
	Done() <-chan struct{}
}

// TrySend queues a session-level message that a later one makes up for. It drops the message on an error, counts it by its
// reason, and logs it unless the session has ended.
func TrySend(s Session, m protocol.Message) {
	err := s.Send(m)
	if err == nil {
		return
	}
	entry := log.WithError(err).WithFields(log.Fields{"peer": s.Peer().Instance, "type": m.Type()})
	var lost *SessionLost
	var full *QueueFull
	switch {
	case errors.As(err, &lost):
		messagesDropped("session_ended").Inc()
		entry.Debug("message not sent: the session has ended")
	case errors.As(err, &full):
		messagesDropped("queue_full").Inc()
		if droppedLogLimit.allow(time.Now()) {
			entry.Warn("message dropped: the peer reads too slowly; further ones are only counted for a second")
		}
	default:
		messagesDropped("not_encodable").Inc()
		if droppedLogLimit.allow(time.Now()) {
			entry.Error("message dropped: it cannot be encoded, and will not arrive however often it is sent")
		}
	}
}

func messagesDropped(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_messages_dropped_total{reason=%q}`, reason))
}

// logLimit lets one log line a second pass, so that a fault that lasts does not flood the log.
type logLimit struct {
	lastNanos atomic.Int64 // Unix time
}

func (l *logLimit) allow(now time.Time) bool {
	last := l.lastNanos.Load()
	return now.UnixNano()-last >= int64(time.Second) && l.lastNanos.CompareAndSwap(last, now.UnixNano())
}

var droppedLogLimit logLimit

// Stream carries one attempt in both directions.
type Stream interface {
	// Send queues a message. Data blocks until the receiver has granted enough credit, other messages while the stream's
	// queue is full.
	Send(ctx context.Context, m protocol.Message) error
	// Receive returns the next message in order. After End or a session failure it returns an error.
	Receive(ctx context.Context) (protocol.Message, error)
	// Close releases the stream and, if it has not ended, sends the peer a Cancel.
	Close(reason string)
	// Session returns the session that carries the stream.
	Session() Session
}

// Handler receives the events of sessions.
type Handler interface {
	// SessionOpened is called after the handshake, before any other call for the session.
	SessionOpened(s Session)
	// StreamOpened is called in a goroutine of its own for each stream that the peer opens.
	StreamOpened(st Stream, open *protocol.Open)
	// MessageReceived is called for each session-level message, in order; it must not block.
	MessageReceived(s Session, m protocol.Message)
	// StateChanged is called when the session becomes suspect, live again or closed.
	StateChanged(s Session, state State)
}
