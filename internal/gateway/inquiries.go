package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// inquiryTimeout limits the wait for the answer to one inquiry; an unresponsive session is replaced within this time.
	inquiryTimeout = 2 * time.Second
	// inquiryInterval is the time between inquiries about an attempt that is still running or whose agent is unreachable.
	inquiryInterval = 200 * time.Millisecond
)

// inquiries matches the answers of agents to the calls that wait for them, by attempt.
type inquiries struct {
	mu      sync.Mutex
	waiting map[string][]chan protocol.InquiryResult
}

func newInquiries() *inquiries {
	return &inquiries{waiting: make(map[string][]chan protocol.InquiryResult)}
}

// deliver sends an answer to all calls that wait for it.
func (i *inquiries) deliver(answer *protocol.InquiryResult) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, ch := range i.waiting[answer.Attempt] {
		ch <- *answer // each channel is buffered for one answer
	}
	delete(i.waiting, answer.Attempt)
}

func (i *inquiries) expect(attempt string) chan protocol.InquiryResult {
	ch := make(chan protocol.InquiryResult, 1)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting[attempt] = append(i.waiting[attempt], ch)
	return ch
}

func (i *inquiries) abandon(attempt string, ch chan protocol.InquiryResult) {
	i.mu.Lock()
	defer i.mu.Unlock()
	kept := i.waiting[attempt][:0]
	for _, other := range i.waiting[attempt] {
		if other != ch {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(i.waiting, attempt)
		return
	}
	i.waiting[attempt] = kept
}

// query sends one inquiry over a session and waits for the answer. It returns false if none is received within
// inquiryTimeout or before the session ends.
func (i *inquiries) query(ctx context.Context, session transport.Session, question *protocol.Inquire) (protocol.InquiryResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	ch := i.expect(question.Attempt)
	if err := session.Send(question); err != nil {
		i.abandon(question.Attempt, ch)
		return protocol.InquiryResult{}, false
	}
	select {
	case answer := <-ch:
		return answer, true
	case <-ctx.Done():
	case <-session.Done():
	}
	i.abandon(question.Attempt, ch)
	return protocol.InquiryResult{}, false
}

// inquire queries the agent of a record until the attempt has ended or the context ends. If the agent is in another data
// centre, an entry instance there forwards the inquiry. It returns OutcomeRunning or OutcomeUnknown if the context ended
// first or the agent's incarnation is no longer the one of the record.
func (g *Gateway) inquire(ctx context.Context, record ClaimRecord) protocol.InquiryResult {
	last := protocol.InquiryResult{Attempt: record.Attempt, Outcome: protocol.OutcomeUnknown}
	question := &protocol.Inquire{Attempt: record.Attempt, Incarnation: record.Incarnation, WantAnswer: true, Server: record.Server}
	for ctx.Err() == nil {
		session, sameIncarnation := g.sessionToAgent(record)
		if session != nil {
			answer, ok := g.inquiries.query(ctx, session, question)
			if ok {
				last = answer
			}
			if ok && answer.Outcome != protocol.OutcomeRunning {
				return answer
			}
		} else if !sameIncarnation {
			return last // a new incarnation of the agent has no record of the attempt
		}
		select {
		case <-ctx.Done():
		case <-time.After(inquiryInterval):
		}
	}
	return last
}

// sessionToAgent returns a session over which the record's agent can be queried, or nil. The second result is false if the
// agent has restarted since.
func (g *Gateway) sessionToAgent(record ClaimRecord) (transport.Session, bool) {
	view := g.views.View()
	if record.DataCentre != "" && record.DataCentre != g.config.DataCentre {
		return firstLiveSession(view.Peers(record.DataCentre)), true
	}
	server := view.Find(record.Server)
	if server != nil && server.Incarnation > record.Incarnation {
		return nil, false
	}
	return view.Session(record.Server), true
}

func firstLiveSession(sessions []transport.Session) transport.Session {
	for _, session := range sessions {
		if session.State() == transport.StateLive {
			return session
		}
	}
	return nil
}

// MessageReceived handles the messages about calls: answers of agents to inquiries, and inquiries that entry instances of
// other data centres forward. It reports whether the message was one of these.
func (g *Gateway) MessageReceived(session transport.Session, m protocol.Message) bool {
	switch message := m.(type) {
	case *protocol.InquiryResult:
		g.inquiries.deliver(message)
	case *protocol.Inquire:
		go g.forwardInquiry(session, message)
	default:
		return false
	}
	return true
}

// forwardInquiry queries a local agent on behalf of another entry instance.
func (g *Gateway) forwardInquiry(session transport.Session, question *protocol.Inquire) {
	agent, sameIncarnation := g.sessionToAgent(ClaimRecord{Attempt: question.Attempt, Server: question.Server, Incarnation: question.Incarnation})
	if !sameIncarnation {
		_ = session.Send(&protocol.InquiryResult{Attempt: question.Attempt, Outcome: protocol.OutcomeUnknown})
		return
	}
	if agent == nil {
		return // the other instance repeats its inquiry
	}
	if answer, ok := g.inquiries.query(context.Background(), agent, question); ok {
		_ = session.Send(&answer)
	}
}
