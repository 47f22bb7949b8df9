package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// memorySink stores the answer that a caller receives.
type memorySink struct {
	status int
	body   string
}

func (s *memorySink) writeHead(status int, _ []protocol.Header) error { s.status = status; return nil }
func (s *memorySink) writeData(part *protocol.Data) error             { s.body += string(part.Payload); return nil }

var eventStream = []protocol.Header{{Name: "Content-Type", Value: "text/event-stream"}}

// Guards against a corrupt answer: an interrupted stream was resumed at a server that refused, and the refusal was sent
// to the caller as the rest of the stream (history run, seed 233).
func TestRefusalIsNotAppendedToAStream(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, streamRequested: true, maxBufferedBytes: 100}
	is.NoErr(b.setHead(&protocol.Head{Status: 200, Headers: eventStream}))
	is.NoErr(b.addData(&protocol.Data{Payload: []byte("data: a\n\n"), Tokens: 1}))
	is.Equal(b.setHead(&protocol.Head{Status: 503}), errNotResumed)
	is.NoErr(b.setHead(&protocol.Head{Status: 200, Headers: eventStream}))
}

// Guards against repeated and missing parts after a resume: the caller receives each token once and in order.
func TestPartsReachTheCallerOnce(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, streamRequested: true, maxBufferedBytes: 100}
	is.NoErr(b.setHead(&protocol.Head{Status: 200, Headers: eventStream}))
	is.NoErr(b.addData(&protocol.Data{Offset: 0, Payload: []byte("a"), Tokens: 1}))
	is.NoErr(b.addData(&protocol.Data{Offset: 0, Payload: []byte("a"), Tokens: 1}))
	is.Equal(b.addData(&protocol.Data{Offset: 2, Payload: []byte("c"), Tokens: 1}), errMissingPart)
	is.NoErr(b.addData(&protocol.Data{Offset: 1, Payload: []byte("b"), Tokens: 1}))
	is.Equal(sink.body, "ab")
}

// Guards against an answer mixed from two attempts: nothing is sent before a non-streamed answer is complete.
func TestBufferedAnswerIsReplacedByTheNextAttempt(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, maxBufferedBytes: 100}
	is.NoErr(b.setHead(&protocol.Head{Status: 200}))
	is.NoErr(b.addData(&protocol.Data{Payload: []byte("first")}))
	is.NoErr(b.setHead(&protocol.Head{Status: 201}))
	is.NoErr(b.addData(&protocol.Data{Payload: []byte("second")}))
	is.NoErr(b.flush())
	is.Equal(sink.status, 201)
	is.Equal(sink.body, "second")
}

// Guards against a repeated beginning when a kept answer completes one of which the caller has received a part.
func TestKeptAnswerContinuesAfterTheSentPart(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, streamRequested: true, maxBufferedBytes: 100}
	is.NoErr(b.setHead(&protocol.Head{Status: 200, Headers: eventStream}))
	is.NoErr(b.addData(&protocol.Data{Payload: []byte("ab"), Tokens: 1}))
	is.NoErr(b.sendKept(&protocol.InquiryResult{Status: 200, Headers: eventStream, Body: []byte("abcd"), HasAnswer: true}))
	is.Equal(sink.body, "abcd")
}

// Guards against a head that HTTP does not define, from an agent or another entry instance: net/http panics on status 0, and sends 103 as
// an interim response and the body as the answer 200.
func TestHeadWithAnUndefinedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 101, 103, 600, 1000} {
		is := is.New(t)
		sink := &memorySink{}
		b := &answerBuffer{sink: sink, streamRequested: true, maxBufferedBytes: 100}
		is.True(b.setHead(&protocol.Head{Status: status, Headers: eventStream}) != nil)
		is.True(b.sendKept(&protocol.InquiryResult{Status: status, Body: []byte("kept"), HasAnswer: true}) != nil)
		is.Equal(*sink, memorySink{}) // nothing was sent
	}
}

// Guards against a head from an agent or another entry instance that has a field whose name HTTP does not allow.
func TestHeadWithABrokenFieldNameIsNoAnswer(t *testing.T) {
	for _, name := range []string{"", "X Field", "X-Field ", " X-Field", "X\tField", "X\x00", "X\r\nField", "X:Field", "X-F\u00edeld"} {
		is := is.New(t)
		sink := &memorySink{}
		headers := append([]protocol.Header{{Name: name, Value: "1"}}, eventStream...)
		b := &answerBuffer{sink: sink, streamRequested: true, maxBufferedBytes: 100}
		is.True(b.setHead(&protocol.Head{Status: 200, Headers: headers}) != nil)
		is.True(b.sendKept(&protocol.InquiryResult{Status: 200, Headers: headers, Body: []byte("kept"), HasAnswer: true}) != nil)
		is.Equal(*sink, memorySink{}) // nothing was sent
	}
}
