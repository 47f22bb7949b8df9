package transport

import (
	"fmt"
)

// SessionLost is returned by Send and by the streams of a session that has ended.
type SessionLost struct {
	Reason string
	// Sent reports whether the stream's Open may have reached the peer. If false, the peer never received it and the
	// attempt did not run; if true, the outcome is unknown until an inquiry.
	Sent bool
}

// Error implements error.
func (e *SessionLost) Error() string {
	if !e.Sent {
		return fmt.Sprintf("session lost before the request was sent: %s: send it over another session", e.Reason)
	}
	return fmt.Sprintf("session lost: %s: inquire about the attempt over another session", e.Reason)
}

// NotRun reports whether the peer certainly never received the stream's Open.
func (e *SessionLost) NotRun() bool { return !e.Sent }

// OpenRefused is returned by Session.Open when the session accepts no new streams. Nothing was sent.
type OpenRefused struct {
	Reason string
}

// Error implements error.
func (e *OpenRefused) Error() string {
	return fmt.Sprintf("session takes no new streams: %s: use another session", e.Reason)
}

// QueueFull is returned by Session.Send when the peer does not read messages fast enough.
type QueueFull struct {
	Messages, Bytes int
}

// Error implements error.
func (e *QueueFull) Error() string {
	return fmt.Sprintf("send queue is full with %d messages of %d bytes: drop the message or retry later", e.Messages, e.Bytes)
}

// StreamErrorKind is the reason why a single stream failed while its session stays open.
type StreamErrorKind string

// Kinds of stream error.
const (
	// StreamClosed means that this side has ended or closed the stream.
	StreamClosed StreamErrorKind = "closed"
	// StreamCancelled means that the peer cancelled the stream.
	StreamCancelled StreamErrorKind = "cancelled"
	// StreamMalformed means that the peer sent a frame that cannot be decoded.
	StreamMalformed StreamErrorKind = "malformed"
	// StreamTooLarge means that the peer sent a frame above the message limit.
	StreamTooLarge StreamErrorKind = "too_large"
	// StreamOutOfOrder means that the peer violated the message order of the stream.
	StreamOutOfOrder StreamErrorKind = "out_of_order"
	// StreamFlowControl means that the peer sent more Data or granted more credit than the window allows.
	StreamFlowControl StreamErrorKind = "flow_control"
	// StreamOverflow means that the stream's reader fell too far behind.
	StreamOverflow StreamErrorKind = "overflow"
)

// StreamError is the failure of one stream.
type StreamError struct {
	Stream uint64
	Kind   StreamErrorKind
	Detail string
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("stream %d failed (%s): %s", e.Stream, e.Kind, e.Detail)
}

// HandshakeErrorKind is the reason why a handshake failed.
type HandshakeErrorKind string

// Kinds of handshake error.
const (
	HandshakeWrongKey   HandshakeErrorKind = "wrong_key"
	HandshakeVersion    HandshakeErrorKind = "version"
	HandshakeMalformed  HandshakeErrorKind = "malformed"
	HandshakeConnection HandshakeErrorKind = "connection"
	HandshakePlaintext  HandshakeErrorKind = "plaintext"
)

// HandshakeError is returned by Accept and Dial when no session could be established.
type HandshakeError struct {
	Kind   HandshakeErrorKind
	Detail string
	Err    error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("session handshake failed (%s): %s: %v", e.Kind, e.Detail, e.Err)
	}
	return fmt.Sprintf("session handshake failed (%s): %s", e.Kind, e.Detail)
}

// Unwrap returns the underlying error, or nil.
func (e *HandshakeError) Unwrap() error { return e.Err }
