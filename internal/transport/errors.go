package transport

import (
	"fmt"
)

// SessionLost is returned by the streams of a session that has ended.
type SessionLost struct {
	Reason string
	// Sent tells whether the stream's Open may have reached the peer. If it is false, the peer never got it and the
	// attempt did not run; if it is true, its outcome is unknown until an inquiry.
	Sent bool
}

// Error implements error.
func (e *SessionLost) Error() string {
	if !e.Sent {
		return fmt.Sprintf("session lost before the request was sent: %s: send it over another session", e.Reason)
	}
	return fmt.Sprintf("session lost: %s: inquire about the attempt over another session", e.Reason)
}

// NotRun reports that the peer never got the stream's Open.
func (e *SessionLost) NotRun() bool { return !e.Sent }

// Refused is returned by Open when the session takes no new streams. Nothing was sent.
type Refused struct {
	Reason string
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("session takes no new streams: %s: use another session", e.Reason)
}

// QueueFull is returned by Session.Send when the peer does not take messages fast enough.
type QueueFull struct {
	Messages, Bytes int
}

// Error implements error.
func (e *QueueFull) Error() string {
	return fmt.Sprintf("send queue is full with %d messages of %d bytes: drop the message or retry later", e.Messages, e.Bytes)
}

// StreamErrorKind tells why a single stream failed while its session lives on.
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
	// StreamOutOfOrder means that the peer sent a message that may not follow the ones before it.
	StreamOutOfOrder StreamErrorKind = "out_of_order"
	// StreamFlow means that the peer sent more than its credit allows.
	StreamFlow StreamErrorKind = "flow_control"
	// StreamOverflow means that the reader of this stream left too much unread.
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

// HandshakeErrorKind tells why no session came about.
type HandshakeErrorKind string

// Kinds of handshake error.
const (
	HandshakeWrongKey   HandshakeErrorKind = "wrong_key"
	HandshakeVersion    HandshakeErrorKind = "version"
	HandshakeMalformed  HandshakeErrorKind = "malformed"
	HandshakeConnection HandshakeErrorKind = "connection"
	HandshakePlaintext  HandshakeErrorKind = "plaintext"
)

// HandshakeError is returned by Accept and Dial.
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

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }
