// Package transport carries the inner protocol over WebSocket sessions. A session multiplexes many streams, each with
// its own flow control; heartbeats in both directions find sessions that have gone silent without an error.
package transport

import (
	"context"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// State is a session's health.
type State uint8

// States of a session. A suspect session gets no new streams, and its dialling side opens a replacement beside it.
const (
	StateLive State = iota
	StateSuspect
	StateClosed
)

// Session is one authenticated connection between two of the system's processes.
type Session interface {
	// Peer returns the Hello of the other side.
	Peer() protocol.Hello
	// Open starts a stream with its first message.
	Open(ctx context.Context, open *protocol.Open) (Stream, error)
	// Send queues a message outside any stream. It fails rather than waits when the queue is full.
	Send(m protocol.Message) error
	// State returns the session's health.
	State() State
	// GoAway announces a planned stop; open streams go on.
	GoAway(reason string)
	// Close ends the session and all its streams at once.
	Close(reason string)
	// Done is closed when the session has ended.
	Done() <-chan struct{}
}

// Stream carries one attempt in both directions.
type Stream interface {
	// Send writes a message. Data waits until the receiver's credit allows it.
	Send(ctx context.Context, m protocol.Message) error
	// Receive returns the next message in order. After End or a session failure it returns an error.
	Receive(ctx context.Context) (protocol.Message, error)
	// Close releases the stream and cancels it at the peer if it has not ended.
	Close(reason string)
	// Session returns the session that carries the stream.
	Session() Session
}

// Handler receives what the peer of a session sends.
type Handler interface {
	// SessionOpened is called after the handshake, before any other call for the session.
	SessionOpened(s Session)
	// StreamOpened is called in a goroutine of its own for each stream that the peer opens.
	StreamOpened(st Stream, open *protocol.Open)
	// MessageReceived is called for each message outside a stream, in order; it must not block.
	MessageReceived(s Session, m protocol.Message)
	// StateChanged is called when the session turns suspect, live again or closed.
	StateChanged(s Session, state State)
}
