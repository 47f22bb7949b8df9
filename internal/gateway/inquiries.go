package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// inquiryTimeout bounds one inquiry; a silent session is replaced within it.
	inquiryTimeout = 2 * time.Second
	// inquiryPause lies between inquiries about an attempt that is still running or whose agent is out of reach.
	inquiryPause = 200 * time.Millisecond
)

// inquiries matches the answers of agents to the calls that asked.
type inquiries struct {
	mu      sync.Mutex
	waiting map[string][]chan protocol.Inquiry
}

func newInquiries() *inquiries { return &inquiries{waiting: make(map[string][]chan protocol.Inquiry)} }

// deliver passes an answer to all calls that wait for it.
func (i *inquiries) deliver(answer *protocol.Inquiry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, ch := range i.waiting[answer.Attempt] {
		ch <- *answer // each channel takes one answer
	}
	delete(i.waiting, answer.Attempt)
}

func (i *inquiries) expect(attempt string) chan protocol.Inquiry {
	ch := make(chan protocol.Inquiry, 1)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting[attempt] = append(i.waiting[attempt], ch)
	return ch
}

func (i *inquiries) abandon(attempt string, ch chan protocol.Inquiry) {
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

// ask sends one inquiry over a session and waits for the answer.
func (i *inquiries) ask(ctx context.Context, session transport.Session, question *protocol.Inquire) (protocol.Inquiry, bool) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	ch := i.expect(question.Attempt)
	if err := session.Send(question); err != nil {
		i.abandon(question.Attempt, ch)
		return protocol.Inquiry{}, false
	}
	select {
	case answer := <-ch:
		return answer, true
	case <-ctx.Done():
	case <-session.Done():
	}
	i.abandon(question.Attempt, ch)
	return protocol.Inquiry{}, false
}

// inquire asks the agent of a record until the attempt has ended or the context ends. The agent may be beside a server
// of another data centre; then an entry instance there passes the inquiry on. It returns OutcomeRunning or
// OutcomeUnknown if the context ended first.
func (g *Gateway) inquire(ctx context.Context, record Record) protocol.Inquiry {
	last := protocol.Inquiry{Attempt: record.Attempt, Outcome: protocol.OutcomeUnknown}
	question := &protocol.Inquire{Attempt: record.Attempt, Boot: record.Boot, Answer: true, Server: record.Server}
	for ctx.Err() == nil {
		route, reachable := g.routeTo(record)
		if route != nil {
			answer, ok := g.inquiries.ask(ctx, route, question)
			if ok {
				last = answer
			}
			if ok && answer.Outcome != protocol.OutcomeRunning {
				return answer
			}
		} else if !reachable {
			return last // another boot: nobody can tell any more
		}
		select {
		case <-ctx.Done():
		case <-time.After(inquiryPause):
		}
	}
	return last
}

// routeTo returns a session over which the record's agent can be asked, or nil. The second result is false if the agent
// has restarted since.
func (g *Gateway) routeTo(record Record) (transport.Session, bool) {
	view := g.views.View()
	if record.DataCentre != "" && record.DataCentre != g.config.DataCentre {
		return firstLive(view.Peers(record.DataCentre)), true
	}
	server := view.Find(record.Server)
	if server != nil && server.Incarnation > record.Boot {
		return nil, false
	}
	return view.Session(record.Server), true
}

func firstLive(sessions []transport.Session) transport.Session {
	for _, session := range sessions {
		if session.State() == transport.StateLive {
			return session
		}
	}
	return nil
}

// MessageReceived takes the messages that concern calls: answers of agents, and inquiries that entry instances of other
// data centres pass on. It reports whether the message was one of these.
func (g *Gateway) MessageReceived(session transport.Session, m protocol.Message) bool {
	switch message := m.(type) {
	case *protocol.Inquiry:
		g.inquiries.deliver(message)
	case *protocol.Inquire:
		go g.passInquiry(session, message)
	default:
		return false
	}
	return true
}

// passInquiry asks a local agent on behalf of another entry instance.
func (g *Gateway) passInquiry(session transport.Session, question *protocol.Inquire) {
	route, same := g.routeTo(Record{Attempt: question.Attempt, Server: question.Server, Boot: question.Boot})
	if !same {
		_ = session.Send(&protocol.Inquiry{Attempt: question.Attempt, Outcome: protocol.OutcomeUnknown})
		return
	}
	if route == nil {
		return // the asking instance asks again
	}
	if answer, ok := g.inquiries.ask(context.Background(), route, question); ok {
		_ = session.Send(&answer)
	}
}
