package agreement

import (
	"context"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// remoteTimeout is how long to wait for a voter before trying the next one.
	remoteTimeout = time.Second
	// proposeTimeout bounds a proposal on behalf of another instance.
	proposeTimeout = 5 * time.Second
	retryPause     = 50 * time.Millisecond
)

// proposals matches the voters' answers to the proposals of this instance by identifier.
type proposals struct {
	mu      sync.Mutex
	answers map[string]chan *protocol.Proposed
}

func (p *proposals) register(id string) chan *protocol.Proposed {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := make(chan *protocol.Proposed, 1)
	p.answers[id] = ch
	return ch
}

func (p *proposals) unregister(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, id)
}

func (p *proposals) deliver(answer *protocol.Proposed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.answers[answer.ID]; ok {
		ch <- answer // never blocks: the buffer has room for the only answer
		delete(p.answers, answer.ID)
	}
}

// Propose adds a command to the log and returns its result. The identifier makes retries idempotent. After an error the
// command may still be applied later, unless the error says that it was certainly not accepted.
func (s *Service) Propose(ctx context.Context, id string, command statemachine.Command) (*statemachine.Result, error) {
	data, err := protocol.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	encoded, err := s.proposeEncoded(ctx, id, data)
	if err != nil {
		return nil, err
	}
	return protocol.DecodeResult(encoded)
}

func (s *Service) proposeEncoded(ctx context.Context, id string, command []byte) ([]byte, error) {
	if r := s.replica(); r != nil {
		_, result, err := r.Propose(ctx, id, command)
		if replica.KindOf(err) != replica.StorageFailed {
			return result, err
		}
	}
	return s.proposeRemote(ctx, id, command)
}

// proposeRemote sends the proposal to the voters in turn until one accepts it.
func (s *Service) proposeRemote(ctx context.Context, id string, command []byte) ([]byte, error) {
	for n := 0; ctx.Err() == nil; n++ {
		voter := s.config.Voters[(int(s.config.Incarnation%1024)+n)%len(s.config.Voters)]
		// The pause below also applies after skipping this instance: in a group of one voter whose disk has failed there is
		// no other, and the loop would spin.
		if session := s.sessions.Session(voter.Address); session != nil && voter.Instance != s.config.Instance {
			if answer := s.proposeTo(ctx, session, id, command); answer != nil && answer.Accepted {
				return answer.Result, nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return nil, problem.New(problem.NotRun, "no voter accepted the command in time: check the sessions to the voters and retry")
}

// proposeTo sends the proposal over one session and waits for the answer. It returns nil if none arrives.
func (s *Service) proposeTo(ctx context.Context, session transport.Session, id string, command []byte) *protocol.Proposed {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	ch := s.proposals.register(id)
	defer s.proposals.unregister(id)
	if err := session.Send(&protocol.Propose{ID: id, Command: command}); err != nil {
		return nil
	}
	select {
	case answer := <-ch:
		return answer
	case <-session.Done():
	case <-ctx.Done():
	}
	return nil
}

// proposeForPeer proposes a command on behalf of another instance and sends it the answer.
func (s *Service) proposeForPeer(session transport.Session, m *protocol.Propose) {
	answer := &protocol.Proposed{ID: m.ID}
	r := s.replica()
	if r == nil {
		answer.RefusalReason = "this instance is no member of the agreement group"
		_ = session.Send(answer)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	index, result, err := r.Propose(ctx, m.ID, m.Command)
	if err != nil {
		answer.RefusalReason = err.Error()
	} else {
		answer.Index, answer.Result, answer.Accepted = index, result, true
	}
	_ = session.Send(answer)
}
