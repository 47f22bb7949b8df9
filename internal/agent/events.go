package agent

import (
	"bytes"
	"io"
	"slices"
)

const (
	// initialBufferBytes is enough for a few events of one token each, usually all that a stream has available at a time.
	// Each open stream occupies one such buffer.
	initialBufferBytes = 1 << 10
	// readBufferBytes is the size to which the buffer grows if the server sends faster than its events are forwarded.
	readBufferBytes = 16 << 10
	// maxEventBytes limits one server-sent event; a longer one is forwarded in pieces that count no token.
	maxEventBytes = 256 << 10
)

var (
	eventSeparator = []byte("\n\n")
	dataPrefix     = []byte("data:")
	donePrefix     = []byte("data: [DONE]")
)

// eventReader splits a stream of server-sent events into parts of whole events, and counts the tokens in them.
type eventReader struct {
	src      io.Reader
	buf      []byte
	returned int  // number of bytes of buf that the last call of next returned
	done     bool // the closing event was received
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, initialBufferBytes)}
}

// next returns the whole events that are available and the number of tokens in them. The part is valid until the next
// call. At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream ended within an event or before
// the closing event.
func (r *eventReader) next() (part []byte, tokens int, err error) {
	r.buf = append(r.buf[:0], r.buf[r.returned:]...)
	r.returned = 0
	for {
		if i := bytes.LastIndex(r.buf, eventSeparator); i >= 0 {
			r.returned = i + len(eventSeparator)
			part = r.buf[:r.returned]
			return part, r.countTokens(part), nil
		}
		if len(r.buf) > maxEventBytes {
			r.returned = len(r.buf)
			return r.buf, 0, nil
		}
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		full := len(r.buf) == cap(r.buf)
		if full && len(r.buf) <= maxEventBytes && (len(r.buf) < readBufferBytes || !bytes.Contains(r.buf, eventSeparator)) {
			r.buf = slices.Grow(r.buf, cap(r.buf)) // doubles
		}
		if err == nil || (n > 0 && bytes.Contains(r.buf, eventSeparator)) {
			continue
		}
		if err == io.EOF && (len(r.buf) > 0 || !r.done) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, err
	}
}

// countTokens returns the number of token events in a part, and sets done if it contains the closing event.
func (r *eventReader) countTokens(part []byte) int {
	tokens := 0
	for event := range bytes.SplitSeq(part, eventSeparator) {
		switch {
		case bytes.HasPrefix(event, donePrefix):
			r.done = true
		case bytes.HasPrefix(event, dataPrefix):
			tokens++
		}
	}
	return tokens
}
