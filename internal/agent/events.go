package agent

import (
	"bytes"
	"io"
)

const (
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
	src     io.Reader
	buf     []byte
	scratch []byte
	done    bool // the closing event was seen
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, scratch: make([]byte, readChunk)}
}

// next returns the whole events that are available and the tokens in them. At the end of the stream it returns the rest
// and io.EOF, or io.ErrUnexpectedEOF if the stream broke off within an event or before the closing event.
func (r *eventReader) next() (part []byte, tokens int, err error) {
	for {
		if i := bytes.LastIndex(r.buf, eventEnd); i >= 0 {
			part = bytes.Clone(r.buf[:i+len(eventEnd)])
			r.buf = append(r.buf[:0], r.buf[i+len(eventEnd):]...)
			return part, r.count(part), nil
		}
		if len(r.buf) > maxEventBytes {
			part = bytes.Clone(r.buf)
			r.buf = r.buf[:0]
			return part, 0, nil
		}
		n, err := r.src.Read(r.scratch)
		r.buf = append(r.buf, r.scratch[:n]...)
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
