package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// streamSink writes an answer to the entry instance of another data centre that spilled the request.
type streamSink struct {
	ctx            context.Context
	stream         transport.Stream
	offset         uint64
	offsetInTokens bool // offsets count tokens, else bytes
}

var _ sink = (*streamSink)(nil)

func (s *streamSink) writeHead(status int, headers []protocol.Header) error {
	s.offsetInTokens = isEventStream(headers)
	return s.stream.Send(s.ctx, &protocol.Head{Status: status, Headers: headers})
}

// writeData splits a part into pieces that fit into a message; the last one has the token count.
func (s *streamSink) writeData(part *protocol.Data) error {
	const pieceBytes = protocol.MaxMessageBytes / 4
	payload := part.Payload
	for first := true; first || len(payload) > 0; first = false {
		n := min(len(payload), pieceBytes)
		m := &protocol.Data{Offset: s.offset, Payload: payload[:n]}
		payload = payload[n:]
		if len(payload) == 0 {
			m.Tokens = part.Tokens
		}
		if err := s.stream.Send(s.ctx, m); err != nil {
			return err
		}
		if s.offsetInTokens {
			s.offset += uint64(m.Tokens)
		} else {
			s.offset += uint64(n)
		}
	}
	return nil
}

// ServeSpilled serves a request that was spilled by an entry instance of another data centre.
func (g *Gateway) ServeSpilled(st transport.Stream, open *protocol.Open) {
	defer st.Close("spilled request ended")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The other instance sends nothing but Cancel or the end of the stream.
		_, _ = st.Receive(ctx)
		cancel()
	}()
	end := g.runSpilled(ctx, st, open)
	_ = st.Send(ctx, &end)
}

func (g *Gateway) runSpilled(ctx context.Context, st transport.Stream, open *protocol.Open) protocol.End {
	if open.Spill == nil {
		return endMessage(problem.New(problem.BadRequest, "the message names no target: update the sending instance"))
	}
	now := time.Now()
	c := &call{
		id:           open.Attempt,
		organisation: open.Organisation,
		target: fleet.Target{
			Kind: open.Spill.Kind, Name: open.Spill.Name, Adapter: open.Spill.Adapter, Version: open.Spill.Version,
		},
		method:   open.Method,
		path:     open.Path,
		headers:  open.Headers,
		body:     open.Body,
		key:      open.Key,
		priority: open.Priority,
		spilled:  true,
		arrived:  now,
		deadline: now.Add(time.Duration(open.DeadlineMS) * time.Millisecond),
	}
	c.setDigest()
	answer := &answerBuffer{sink: &streamSink{ctx: ctx, stream: st, offset: open.ResumeFrom, offsetInTokens: open.ResumeFrom > 0},
		streamRequested: true, maxBufferedBytes: maxBufferedAnswerBytes}
	if open.ResumeFrom > 0 {
		answer.resumeFrom(open.ResumeFrom)
	}
	return endMessage(g.serve(ctx, c, answer))
}

// endMessage returns the End message that reports the outcome of a call to the entry instance that spilled it.
func endMessage(err error) protocol.End {
	if err == nil {
		return protocol.End{Outcome: protocol.OutcomeDone}
	}
	var p *problem.Error
	if !errors.As(err, &p) {
		return protocol.End{Outcome: protocol.OutcomeUnknown, Reason: err.Error()}
	}
	end := protocol.End{
		Outcome:      protocol.OutcomeUnknown,
		Reason:       p.Detail,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
		Kind:         string(p.Kind),
	}
	if p.Ran != nil && !*p.Ran {
		end.Outcome = protocol.OutcomeNotRun
	}
	return end
}
