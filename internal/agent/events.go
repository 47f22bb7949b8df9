package agent

import (
	"bytes"
	"io"
	"slices"
)

const (
	// firstChunk holds a few events of one token each, which is all that a stream usually has at a time; an agent holds
	// one such buffer for each open stream.
	firstChunk = 1 << 10
	// readChunk is the size up to which the buffer grows for a server that sends faster than its tokens are passed on.
	readChunk = 16 << 10
	// maxEventBytes bounds one server-sent event; a longer one is passed on in pieces that count no token.
	maxEventBytes = 256 << 10
)

var (
	eventEnd  = []byte("\n\n")
	eventData = []byte("data:")
	eventDone = []byte("data: [DONE]")
)

// eventReader cuts a stream of server-sent events into parts that hold whole events, and counts the tokens in them.
type eventReader struct {
	src  io.Reader
	buf  []byte
	used int  // bytes of buf that the last call returned
	done bool // the closing event was seen
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 0, firstChunk)}
}

// next returns the whole events that are available and the tokens in them. The part is valid until the next call. At
// the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream broke off within an event or before the
// closing event.
func (r *eventReader) next() (part []byte, tokens int, err error) {
	r.buf = append(r.buf[:0], r.buf[r.used:]...)
	r.used = 0
	for {
		if i := bytes.LastIndex(r.buf, eventEnd); i >= 0 {
			r.used = i + len(eventEnd)
			part = r.buf[:r.used]
			return part, r.count(part), nil
		}
		if len(r.buf) > maxEventBytes {
			r.used = len(r.buf)
			return r.buf, 0, nil
		}
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		full := len(r.buf) == cap(r.buf)
		if full && len(r.buf) <= maxEventBytes && (len(r.buf) < readChunk || !bytes.Contains(r.buf, eventEnd)) {
			r.buf = slices.Grow(r.buf, cap(r.buf)) // doubles
		}
		if err == nil || (n > 0 && bytes.Contains(r.buf, eventEnd)) {
			continue
		}
		if err == io.EOF && (len(r.buf) > 0 || !r.done) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, err
	}
}

// count returns the number of token events in whole events.
func (r *eventReader) count(part []byte) int {
	tokens := 0
	for event := range bytes.SplitSeq(part, eventEnd) {
		switch {
		case bytes.HasPrefix(event, eventDone):
			r.done = true
		case bytes.HasPrefix(event, eventData):
			tokens++
		}
	}
	return tokens
}
