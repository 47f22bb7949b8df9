package agreement

import (
	"context"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// remoteTimeout is how long a voter has to answer before another one is asked.
	remoteTimeout = time.Second
	// proposeTimeout bounds a proposal for another instance.
	proposeTimeout = 5 * time.Second
	retryPause     = 50 * time.Millisecond
)

// proposals matches the answers of voters to the proposals of this instance.
type proposals struct {
	mu      sync.Mutex
	waiting map[string]chan *protocol.Proposed
}

func (p *proposals) expect(id string) chan *protocol.Proposed {
	p.mu.Lock()
	defer p.mu.Unlock()
	ch := make(chan *protocol.Proposed, 1)
	p.waiting[id] = ch
	return ch
}

func (p *proposals) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p *proposals) deliver(answer *protocol.Proposed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.waiting[answer.ID]; ok {
		ch <- answer // takes one answer
		delete(p.waiting, answer.ID)
	}
}

// Propose adds a command to the log and returns its result. The identifier makes repetitions harmless. After an error
// the command may still take effect later, unless the error says that it was certainly not accepted.
func (s *Service) Propose(ctx context.Context, id string, command agreed.Command) (*agreed.Result, error) {
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

// proposeRemote asks the voters in turn until one answers.
func (s *Service) proposeRemote(ctx context.Context, id string, command []byte) ([]byte, error) {
	for n := 0; ctx.Err() == nil; n++ {
		voter := s.config.Voters[(int(s.config.Boot%1024)+n)%len(s.config.Voters)]
		// The pause below also follows the own instance: in a group of one voter whose disk has failed, nobody else is left.
		if session := s.sessions.Session(voter.Address); session != nil && voter.Instance != s.config.Instance {
			if answer := s.askVoter(ctx, session, id, command); answer != nil && answer.Accepted {
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

// askVoter sends the proposal over one session and waits for the answer, nil if none came.
func (s *Service) askVoter(ctx context.Context, session transport.Session, id string, command []byte) *protocol.Proposed {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	ch := s.waiting.expect(id)
	defer s.waiting.forget(id)
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

// proposeFor proposes on behalf of another instance.
func (s *Service) proposeFor(session transport.Session, m *protocol.Propose) {
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
