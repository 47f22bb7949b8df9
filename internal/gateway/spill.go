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

// streamSink answers to the entry instance of another data centre that spilled the request.
type streamSink struct {
	ctx    context.Context
	stream transport.Stream
	offset uint64
	tokens bool // offsets count tokens
}

var _ sink = (*streamSink)(nil)

func (s *streamSink) head(status int, headers []protocol.Header) error {
	s.tokens = isEventStream(headers)
	return s.stream.Send(s.ctx, &protocol.Head{Status: status, Headers: headers})
}

// data sends a part in pieces that fit a message.
func (s *streamSink) data(part *protocol.Data) error {
	const piece = protocol.MaxMessageBytes / 4
	payload := part.Payload
	for first := true; first || len(payload) > 0; first = false {
		n := min(len(payload), piece)
		m := &protocol.Data{Offset: s.offset, Payload: payload[:n]}
		payload = payload[n:]
		if len(payload) == 0 {
			m.Tokens = part.Tokens
		}
		if err := s.stream.Send(s.ctx, m); err != nil {
			return err
		}
		if s.tokens {
			s.offset += uint64(m.Tokens)
		} else {
			s.offset += uint64(n)
		}
	}
	return nil
}

// ServeSpilled serves a request that an entry instance of another data centre passed on.
func (g *Gateway) ServeSpilled(st transport.Stream, open *protocol.Open) {
	defer st.Close("spilled request ended")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// Nothing but Cancel or the end of the stream comes from the other instance.
		_, _ = st.Receive(ctx)
		cancel()
	}()
	end := g.spilled(ctx, st, open)
	_ = st.Send(ctx, &end)
}

func (g *Gateway) spilled(ctx context.Context, st transport.Stream, open *protocol.Open) protocol.End {
	if open.Spill == nil {
		return endOf(problem.New(problem.BadRequest, "the message names no target: update the sending instance"))
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
	c.sign()
	answer := &answerBuffer{sink: &streamSink{ctx: ctx, stream: st, offset: open.ResumeFrom, tokens: open.ResumeFrom > 0}, asked: true, max: maxHeldAnswer}
	if open.ResumeFrom > 0 {
		answer.resumeFrom(open.ResumeFrom)
	}
	return endOf(g.serve(ctx, c, answer))
}

// endOf translates the outcome of a call for the entry instance that spilled it.
func endOf(err error) protocol.End {
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
