package agreement

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/gateway"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

const (
	// outcomeInterval is how long outcomes are batched before they are proposed. Callers do not wait for it.
	outcomeInterval = 200 * time.Millisecond
	// maxOutcomes bounds the outcomes of one command, and thus the memory used while the group is unreachable. Further
	// outcomes are dropped; an inquiry retrieves them if they are needed.
	maxOutcomes    = 4096
	outcomeTimeout = 10 * time.Second
)

// Ledger records idempotency keys in the agreed state.
type Ledger struct {
	service *Service

	mu         sync.Mutex
	pending    []statemachine.AttemptOutcome
	flushTimer *time.Timer
}

var _ gateway.Ledger = (*Ledger)(nil)

// NewLedger returns the ledger of a service.
func NewLedger(s *Service) *Ledger { return &Ledger{service: s} }

// Claim implements gateway.Ledger.
func (l *Ledger) Claim(ctx context.Context, c gateway.Claim) (gateway.ClaimRecord, error) {
	claim, err := encodeClaim(c)
	if err != nil {
		return gateway.ClaimRecord{}, err
	}
	now := time.Now().Unix()
	var command statemachine.Command = &statemachine.ClaimKey{Claim: claim, At: now}
	if c.Replaces != "" {
		replaced, err := statemachine.ParseAttemptID(c.Replaces)
		if err != nil {
			return gateway.ClaimRecord{}, err
		}
		command = &statemachine.ReplaceClaim{NotRun: replaced, Claim: claim, At: now}
	}
	result, err := l.service.Propose(ctx, "claim/"+c.Attempt, command)
	if err != nil {
		l.countRefusal(c, "no majority recorded the claim in time")
		return gateway.ClaimRecord{}, err
	}
	switch result.Code {
	case statemachine.OK, statemachine.Repeated, statemachine.Existing:
		if result.Claim == nil {
			return gateway.ClaimRecord{Digest: c.Digest, Attempt: c.Attempt, Server: c.Server, Incarnation: c.Boot,
				DataCentre: c.DataCentre, Outcome: protocol.OutcomeRunning}, nil
		}
		return decodeRecord(result.Claim, c.Digest), nil
	case statemachine.KeyReused:
		l.countRefusal(c, "the key was used for another request")
		return gateway.ClaimRecord{}, nil // the empty digest matches no request
	case statemachine.Full:
		l.countRefusal(c, "no room for another key record")
		return gateway.ClaimRecord{}, problem.New(problem.NotRun, "the claim was refused: %s", result.Detail)
	default:
		l.countRefusal(c, "the claim breaks a rule of the agreed state")
		return gateway.ClaimRecord{}, problem.New(problem.NotRun, "the claim was refused: %s", result.Detail)
	}
}

// countRefusal counts a refused claim in the account.
func (l *Ledger) countRefusal(c gateway.Claim, reason string) {
	l.service.config.Account.Count(time.Now(), account.ClaimsRefused, string(c.Organisation), reason)
}

// encodeClaim converts a claim to its form in the agreed state. The server name includes the data centre, since the
// inquiry about the attempt may come from another one.
func encodeClaim(c gateway.Claim) (statemachine.Claim, error) {
	attempt, err := statemachine.ParseAttemptID(c.Attempt)
	if err != nil {
		return statemachine.Claim{}, err
	}
	digest, err := statemachine.ParseAttemptID(c.Digest) // has the same form
	if err != nil {
		return statemachine.Claim{}, err
	}
	return statemachine.Claim{
		Organisation: c.Organisation,
		Key:          c.Key,
		Digest:       statemachine.RequestDigest(digest),
		Attempt:      attempt,
		Server:       fleet.ServerID(string(c.DataCentre) + "/" + string(c.Server)),
		Incarnation:  c.Boot,
	}, nil
}

func decodeRecord(r *statemachine.ClaimRecord, digest string) gateway.ClaimRecord {
	dataCentre, server, _ := strings.Cut(string(r.Server), "/")
	return gateway.ClaimRecord{
		Digest:      digest,
		Attempt:     r.Attempt.String(),
		Server:      fleet.ServerID(server),
		Incarnation: r.Incarnation,
		DataCentre:  fleet.DataCentre(dataCentre),
		Outcome:     decodeOutcome(r.Outcome),
		Status:      int(r.Status),
	}
}

func decodeOutcome(o statemachine.Outcome) protocol.Outcome {
	switch o {
	case statemachine.Done:
		return protocol.OutcomeDone
	case statemachine.NotRun:
		return protocol.OutcomeNotRun
	case statemachine.Unknown:
		return protocol.OutcomeUnknown
	default:
		return protocol.OutcomeRunning
	}
}

// Finish implements gateway.Ledger.
func (l *Ledger) Finish(c gateway.Claim, outcome protocol.Outcome, status int) {
	attempt, err := statemachine.ParseAttemptID(c.Attempt)
	if err != nil || outcome != protocol.OutcomeDone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxOutcomes {
		return
	}
	l.pending = append(l.pending, statemachine.AttemptOutcome{
		Organisation: c.Organisation, Key: c.Key, Attempt: attempt, Outcome: statemachine.Done, Status: uint16(status),
	})
	if l.flushTimer == nil {
		l.flushTimer = time.AfterFunc(outcomeInterval, l.proposePending)
	}
}

// proposePending proposes the pending outcomes in one command.
func (l *Ledger) proposePending() {
	l.mu.Lock()
	outcomes := l.pending
	l.pending, l.flushTimer = nil, nil
	l.mu.Unlock()
	if len(outcomes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	id := "outcomes/" + outcomes[0].Attempt.String()
	if _, err := l.service.Propose(ctx, id, &statemachine.RecordOutcomes{Outcomes: outcomes}); err != nil {
		log.WithError(err).WithField("outcomes", len(outcomes)).Warn("outcomes not recorded; inquiries retrieve them from the agents")
	}
}

// Close proposes the outcomes that are still pending.
func (l *Ledger) Close() { l.proposePending() }
