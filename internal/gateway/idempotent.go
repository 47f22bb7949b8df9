package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/retry"
	"github.com/banyanfront/banyanfront/internal/problem"
)

const (
	// maxAttempts bounds the attempts of one call that a server may have begun to run.
	maxAttempts = 4
	// maxPlacements bounds all attempts, also those refused before they ran.
	maxPlacements = 16
)

// retries is the budget that all calls of the entry instance share.
type retries struct {
	mu      sync.Mutex
	budget  *retry.Budget
	backoff retry.Backoff
	rng     *rand.Rand

	lateness lateness
}

func newRetries(config Config) *retries {
	return &retries{
		budget: retry.NewBudget(retry.BudgetConfig{PerSuccess: config.RetryBudget}),
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),

		lateness: lateness{byClass: make(map[latenessClass]*retry.Latency)},
	}
}

// allowHedge takes the allowance of one hedge.
func (r *retries) allowHedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TakeHedge(time.Now())
}

func (r *retries) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TakeRetry(time.Now())
}

func (r *retries) success() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.AddSuccess(time.Now())
}

// pause waits before retry number n. It returns false if the context ends first.
func (r *retries) pause(ctx context.Context, n int, retryAfter time.Duration) bool {
	r.mu.Lock()
	delay := r.backoff.Delay(n, retryAfter, r.rng)
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// progress is what has become of one call so far.
type progress struct {
	placements int
	begun      int // attempts that may have run
	exclude    []fleet.ServerID
	avoid      []fleet.DataCentre
	last       ending
	passedOn   bool // a keyed call went to another data centre over a session that was lost
}

// serveIdempotent sends attempts until one answers, within the retry budget.
func (g *Gateway) serveIdempotent(ctx context.Context, c *call, answer *answerBuffer) error {
	var p progress
	for {
		place, err := g.dispatcher.acquire(ctx, c, p.exclude, p.avoid, preferred)
		if err != nil {
			return p.refusal(err)
		}
		for _, f := range g.raced(ctx, c, place, &p, answer) {
			p.last = f.ending
			p.note(f.place)
		}
		if p.last.err != nil && p.last.end == retry.EndNotRun {
			return p.refusal(p.last.err)
		}
		if p.last.err != nil {
			return p.last.err
		}
		if done, err := g.next(ctx, c, &p, answer); done {
			return err
		}
	}
}

// note remembers where the attempt went, so that the next one goes elsewhere.
func (p *progress) note(place placement) {
	p.placements++
	if p.last.end != retry.EndNotRun {
		p.begun++
	}
	if place.spilled() {
		p.avoid = append(p.avoid, place.dataCentre)
		return
	}
	p.exclude = append(p.exclude, place.server)
}

// next does what follows an attempt. It returns false if another attempt is to be sent.
func (g *Gateway) next(ctx context.Context, c *call, p *progress, answer *answerBuffer) (bool, error) {
	end := p.last.end
	if end == retry.EndDone && serverFailed(p.last.status) && !answer.started {
		end = retry.EndFailed
	}
	situation := retry.Situation{
		End:        end,
		Idempotent: true,
		Delivered:  answer.started,
		CanResume:  answer.stream && g.resumable(c.target),
		MayHaveRun: p.begun > 0,
		MayResend:  p.placements < maxPlacements && ctx.Err() == nil,
	}
	if situation.MayResend && end != retry.EndNotRun && end != retry.EndDone {
		situation.MayResend = p.begun < maxAttempts && (p.last.paid || g.retries.allow())
	}
	switch step := retry.Classify(situation); step {
	case retry.StepAnswer:
		g.retries.success()
		return true, answer.flush()
	case retry.StepRetry, retry.StepResume:
		metricRetries(step.String()).Inc()
		g.forgetTried(c, p)
		if g.retries.pause(ctx, p.placements, 0) {
			return false, nil
		}
		return true, p.refusal(deadlineError(c, nil))
	case retry.StepRefuse:
		return true, problem.New(problem.NotRun, "no backend server took the request (%s): retry later", p.last.reason).
			After(max(p.last.retryAfter, defaultRetryAfter)).WithRan(false)
	default:
		if p.last.end == retry.EndDone && !answer.started {
			return true, answer.flush() // the server's own error is all there is
		}
		return true, unknownProblem(p.last.reason)
	}
}

func unknownProblem(reason string) error {
	return problem.New(problem.OutcomeUnknown,
		"the request may or may not have run (%s): ask for its result before you send it with another key", reason)
}

// refusal turns a refusal of a later attempt into what is true of the whole call: an earlier attempt may have run.
func (p *progress) refusal(err error) error {
	if p.begun == 0 {
		return err
	}
	return problem.New(problem.OutcomeUnknown,
		"an attempt began and broke off (%s), and no other was possible: send the request again", p.last.reason).
		After(defaultRetryAfter)
}

// forgetTried allows servers again once all of them have been tried.
func (g *Gateway) forgetTried(c *call, p *progress) {
	if len(p.exclude) >= len(g.views.View().Candidates(c.target)) {
		p.exclude = nil
	}
}

// resumable reports whether any server in reach resumes streams of the target.
func (g *Gateway) resumable(target fleet.Target) bool {
	view := g.views.View()
	for _, i := range view.Candidates(target) {
		if server := &view.Servers[i]; server.Resumes && server.ExclusionReason == "" {
			return true
		}
	}
	return false
}
