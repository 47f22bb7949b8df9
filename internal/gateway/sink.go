package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// sink takes the answer to one call: the caller's HTTP response, or the stream of another entry instance.
type sink interface {
	// head sends status and headers. It is called at most once.
	head(status int, headers []protocol.Header) error
	// data sends a part of the body at once.
	data(part *protocol.Data) error
}

// httpSink answers over HTTP.
type httpSink struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

var _ sink = (*httpSink)(nil)

// writeTimeout bounds how long one write to a caller may take, so that a caller that reads nothing is cut off.
const writeTimeout = 30 * time.Second

func newHTTPSink(w http.ResponseWriter) *httpSink {
	return &httpSink{w: w, rc: http.NewResponseController(w)}
}

func (s *httpSink) head(status int, headers []protocol.Header) error {
	for _, h := range headers {
		s.w.Header().Add(h.Name, h.Value)
	}
	s.w.WriteHeader(status)
	return nil
}

func (s *httpSink) data(part *protocol.Data) error {
	// Not every ResponseWriter has deadlines; those of tests do without.
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(part.Payload); err != nil {
		return err
	}
	return s.rc.Flush()
}

// answerBuffer passes an answer on to a sink in order and without repeats, and knows how much the caller has seen.
// Whole answers are held back until they are complete, so that a broken attempt can be replaced by another one.
type answerBuffer struct {
	sink    sink
	asked   bool // the caller asked for a stream
	stream  bool // parts are passed on as they arrive
	max     int  // bytes held back at most
	status  int
	headers []protocol.Header
	held    []byte
	started bool   // the caller has seen the head
	offset  uint64 // tokens or bytes that were passed on
	tokens  uint64
	sent    int   // bytes that were passed on
	race    *race // with other attempts of the call, nil if there are none
}

// head notes the head of an attempt's answer; a later attempt's head replaces it until the caller has seen one. After
// that, only an attempt that goes on with the same stream can be used.
func (b *answerBuffer) head(h *protocol.Head) error {
	if b.started {
		if h.Status != http.StatusOK || isEventStream(h.Headers) != b.stream {
			return errNotResumed
		}
		return nil
	}
	b.status, b.headers = h.Status, h.Headers
	b.stream = b.asked && h.Status == http.StatusOK && isEventStream(h.Headers)
	b.held = b.held[:0]
	b.offset = 0
	return nil
}

func isEventStream(headers []protocol.Header) bool {
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// add takes a part of the answer. It returns errGap when a part is missing before it.
func (b *answerBuffer) add(part *protocol.Data) error {
	size := uint64(len(part.Payload))
	if b.stream {
		size = uint64(part.Tokens)
	}
	if part.Offset < b.offset && part.Offset+size <= b.offset && size > 0 {
		return nil // the caller has it from an earlier attempt
	}
	if part.Offset != b.offset {
		return errGap
	}
	b.offset += size
	b.tokens += uint64(part.Tokens)
	if b.stream {
		if err := b.start(); err != nil {
			return err
		}
		b.sent += len(part.Payload)
		return callerError(b.sink.data(part))
	}
	b.held = append(b.held, part.Payload...)
	if len(b.held) <= b.max {
		return nil
	}
	return b.flush()
}

// start shows the caller the head.
func (b *answerBuffer) start() error {
	if b.started {
		return nil
	}
	if b.race != nil && !b.race.claim(b) {
		return errOvertaken
	}
	b.started = true
	return callerError(b.sink.head(b.status, b.headers))
}

// flush passes on what is held back.
func (b *answerBuffer) flush() error {
	if err := b.start(); err != nil {
		return err
	}
	if len(b.held) == 0 {
		return nil
	}
	part := &protocol.Data{Payload: b.held}
	b.held = nil
	b.sent += len(part.Payload)
	return callerError(b.sink.data(part))
}

// complete passes on the rest of an answer that an agent kept. The bytes are those of the same attempt, so the part
// that the caller has seen is skipped.
func (b *answerBuffer) complete(kept *protocol.Inquiry) error {
	if !b.started {
		b.status, b.headers = kept.Status, kept.Headers
	}
	if b.sent > len(kept.Body) {
		return errGap
	}
	b.held = kept.Body[b.sent:]
	return b.flush()
}

// resumeFrom prepares for an answer whose first tokens another entry instance has passed on.
func (b *answerBuffer) resumeFrom(offset uint64) {
	b.started, b.stream, b.offset = true, true, offset
}
