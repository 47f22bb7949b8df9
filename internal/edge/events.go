package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes limits one event; a longer one is treated as a corrupt stream.
const maxEventBytes = 1 << 20

// event is one server-sent event as received.
type event struct {
	raw    []byte // including the empty line that ends it; valid until the next call of next
	id     string
	number int64 // numeric value of id, 0 if it is not a number
}

// errStreamEnd reports the end of a stream after a complete event.
var errStreamEnd = errors.New("end of stream")

// eventReader splits a stream into events.
type eventReader struct {
	r   *bufio.Reader
	raw []byte
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReaderSize(r, 2<<10)} }

// next returns the next complete event. It returns errStreamEnd at the end of the stream, and io.ErrUnexpectedEOF if the
// stream is truncated within an event.
func (e *eventReader) next() (*event, error) {
	e.raw = e.raw[:0]
	found := &event{}
	for {
		line, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes:
			continue
		case err == io.EOF && len(e.raw) == 0:
			return nil, errStreamEnd
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(e.raw) > maxEventBytes:
			return nil, errors.New("an event is longer than 1 MiB")
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			found.id = string(bytes.TrimPrefix(id, []byte(" ")))
			if n, err := strconv.ParseInt(found.id, 10, 64); err == nil {
				found.number = n
			}
		}
		if len(text) == 0 {
			found.raw = e.raw
			return found, nil
		}
	}
}
