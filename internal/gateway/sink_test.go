package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// memorySink keeps what a caller gets.
type memorySink struct {
	status int
	body   string
}

func (s *memorySink) head(status int, _ []protocol.Header) error { s.status = status; return nil }
func (s *memorySink) data(part *protocol.Data) error             { s.body += string(part.Payload); return nil }

var eventStream = []protocol.Header{{Name: "Content-Type", Value: "text/event-stream"}}

// Guards against an answer that is not whole: a stream that broke off was resumed at a server that refused, and the
// refusal went to the caller as the rest of the stream (history run, seed 233).
func TestRefusalIsNotTheRestOfAStream(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, asked: true, max: 100}
	is.NoErr(b.head(&protocol.Head{Status: 200, Headers: eventStream}))
	is.NoErr(b.add(&protocol.Data{Payload: []byte("data: a\n\n"), Tokens: 1}))
	is.Equal(b.head(&protocol.Head{Status: 503}), errNotResumed)
	is.NoErr(b.head(&protocol.Head{Status: 200, Headers: eventStream}))
}

// Guards against repeated and missing parts after a resume: the caller gets each token once and in order.
func TestPartsReachTheCallerOnce(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, asked: true, max: 100}
	is.NoErr(b.head(&protocol.Head{Status: 200, Headers: eventStream}))
	is.NoErr(b.add(&protocol.Data{Offset: 0, Payload: []byte("a"), Tokens: 1}))
	is.NoErr(b.add(&protocol.Data{Offset: 0, Payload: []byte("a"), Tokens: 1}))
	is.Equal(b.add(&protocol.Data{Offset: 2, Payload: []byte("c"), Tokens: 1}), errGap)
	is.NoErr(b.add(&protocol.Data{Offset: 1, Payload: []byte("b"), Tokens: 1}))
	is.Equal(sink.body, "ab")
}

// Guards against a whole answer that is mixed from two attempts: nothing is passed on before the answer is complete.
func TestWholeAnswerIsReplacedByTheNextAttempt(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, max: 100}
	is.NoErr(b.head(&protocol.Head{Status: 200}))
	is.NoErr(b.add(&protocol.Data{Payload: []byte("first")}))
	is.NoErr(b.head(&protocol.Head{Status: 201}))
	is.NoErr(b.add(&protocol.Data{Payload: []byte("second")}))
	is.NoErr(b.flush())
	is.Equal(sink.status, 201)
	is.Equal(sink.body, "second")
}

// Guards against a repeated beginning when a kept answer completes one that the caller has seen in part.
func TestKeptAnswerContinuesWhereTheCallerIs(t *testing.T) {
	is := is.New(t)
	sink := &memorySink{}
	b := &answerBuffer{sink: sink, asked: true, max: 100}
	is.NoErr(b.head(&protocol.Head{Status: 200, Headers: eventStream}))
	is.NoErr(b.add(&protocol.Data{Payload: []byte("ab"), Tokens: 1}))
	is.NoErr(b.complete(&protocol.Inquiry{Status: 200, Headers: eventStream, Body: []byte("abcd"), Kept: true}))
	is.Equal(sink.body, "abcd")
}
