package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/responsehead"
)

// sink is the destination of the answer to one call: the caller's HTTP response, or a stream to another entry instance.
type sink interface {
	// writeHead sends status and headers. It is called at most once.
	writeHead(status int, headers []protocol.Header) error
	// writeData sends a part of the body immediately.
	writeData(part *protocol.Data) error
}

// httpSink writes an answer to an HTTP response.
type httpSink struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

var _ sink = (*httpSink)(nil)

// writeTimeout limits one write to a caller, so that a caller that does not read is disconnected.
const writeTimeout = 30 * time.Second

func newHTTPSink(w http.ResponseWriter) *httpSink {
	return &httpSink{w: w, rc: http.NewResponseController(w)}
}

func (s *httpSink) writeHead(status int, headers []protocol.Header) error {
	for _, h := range headers {
		s.w.Header().Add(h.Name, h.Value)
	}
	s.w.WriteHeader(status)
	return nil
}

func (s *httpSink) writeData(part *protocol.Data) error {
	// A ResponseWriter need not support deadlines; those of tests don't.
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(part.Payload); err != nil {
		return err
	}
	return s.rc.Flush()
}

// answerBuffer writes an answer to a sink in order and without repeats, and tracks how much the caller has received.
// Answers that are not streamed are buffered until they are complete, so that another attempt can replace a failed one.
type answerBuffer struct {
	sink             sink
	streamRequested  bool // the caller requested a stream
	stream           bool // parts are sent as they are received
	maxBufferedBytes int
	status           int
	headers          []protocol.Header
	buffered         []byte
	headSent         bool   // the head was sent to the caller
	offset           uint64 // tokens of a stream, else bytes, that were received in order
	tokens           uint64
	sentBytes        int   // bytes sent to the caller
	race             *race // with other attempts of the call, nil if there is none
}

// setHead sets the head of an attempt's answer; a later attempt's head replaces it until one was sent to the caller. After
// that, only an attempt that resumes the same stream can be used; for any other it returns errNotResumed. It returns a
// responsehead.Error for a head that no answer can have.
func (b *answerBuffer) setHead(h *protocol.Head) error {
	if err := checkHead(h.Status, h.Headers); err != nil {
		return err
	}
	if b.headSent {
		if h.Status != http.StatusOK || isEventStream(h.Headers) != b.stream {
			return errNotResumed
		}
		return nil
	}
	b.status, b.headers = h.Status, h.Headers
	b.stream = b.streamRequested && h.Status == http.StatusOK && isEventStream(h.Headers)
	b.buffered = b.buffered[:0]
	b.offset = 0
	return nil
}

// checkHead returns a responsehead.Error unless an answer to a caller can have the head.
func checkHead(status int, headers []protocol.Header) error {
	for _, h := range headers {
		if err := responsehead.CheckName(h.Name); err != nil {
			return err
		}
	}
	return responsehead.CheckFinal(status)
}

func isEventStream(headers []protocol.Header) bool {
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// addData adds a part of the answer, or skips it if it was received before. It returns errMissingPart if a part before it
// is missing.
func (b *answerBuffer) addData(part *protocol.Data) error {
	size := uint64(len(part.Payload))
	if b.stream {
		size = uint64(part.Tokens)
	}
	if part.Offset < b.offset && part.Offset+size <= b.offset && size > 0 {
		return nil // received from an earlier attempt
	}
	if part.Offset != b.offset {
		return errMissingPart
	}
	b.offset += size
	b.tokens += uint64(part.Tokens)
	if b.stream {
		if err := b.sendHead(); err != nil {
			return err
		}
		b.sentBytes += len(part.Payload)
		return callerError(b.sink.writeData(part))
	}
	b.buffered = append(b.buffered, part.Payload...)
	if len(b.buffered) <= b.maxBufferedBytes {
		return nil
	}
	return b.flush()
}

// sendHead sends the head to the caller, once. It returns errLostRace if another attempt has answered first.
func (b *answerBuffer) sendHead() error {
	if b.headSent {
		return nil
	}
	if b.race != nil && !b.race.tryWin(b) {
		return errLostRace
	}
	b.headSent = true
	return callerError(b.sink.writeHead(b.status, b.headers))
}

// flush sends the head and the buffered part of the body.
func (b *answerBuffer) flush() error {
	if err := b.sendHead(); err != nil {
		return err
	}
	if len(b.buffered) == 0 {
		return nil
	}
	part := &protocol.Data{Payload: b.buffered}
	b.buffered = nil
	b.sentBytes += len(part.Payload)
	return callerError(b.sink.writeData(part))
}

// sendKept sends the rest of an answer that an agent has kept. The bytes are those of the same attempt, so the part that
// was sent to the caller is skipped.
func (b *answerBuffer) sendKept(kept *protocol.InquiryResult) error {
	if !b.headSent {
		if err := checkHead(kept.Status, kept.Headers); err != nil {
			return unknownProblem(err.Error())
		}
		b.status, b.headers = kept.Status, kept.Headers
	}
	if b.sentBytes > len(kept.Body) {
		return errMissingPart
	}
	b.buffered = kept.Body[b.sentBytes:]
	return b.flush()
}

// resumeFrom prepares for a stream whose first tokens, up to offset, another entry instance has sent to the caller.
func (b *answerBuffer) resumeFrom(offset uint64) {
	b.headSent, b.stream, b.offset = true, true, offset
}
