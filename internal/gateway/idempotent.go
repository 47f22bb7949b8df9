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
	// maxAttempts limits the attempts of one call that may have run.
	maxAttempts = 4
	// maxPlacements limits all attempts of one call, including those refused before they ran.
	maxPlacements = 16
)

// retryPolicy has the retry budget, backoff and latency estimates that all calls of the entry instance share.
type retryPolicy struct {
	mu      sync.Mutex
	budget  *retry.Budget
	backoff retry.Backoff
	rng     *rand.Rand

	latencies firstPartLatencies
}

func newRetryPolicy(config Config) *retryPolicy {
	return &retryPolicy{
		budget: retry.NewBudget(retry.BudgetConfig{PerSuccess: config.RetryBudget}),
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),

		latencies: firstPartLatencies{byClass: make(map[latencyClass]*retry.Latency)},
	}
}

// allowHedge charges one hedge to the budget. It returns false if only the part reserved for retries is left.
func (r *retryPolicy) allowHedge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TakeHedge(time.Now())
}

// allowRetry charges one retry or resume to the budget. It returns false if the budget is used up.
func (r *retryPolicy) allowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TakeRetry(time.Now())
}

func (r *retryPolicy) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.AddSuccess(time.Now())
}

// waitBackoff waits before retry number n, from 1. It returns false if the context ends first.
func (r *retryPolicy) waitBackoff(ctx context.Context, n int, retryAfter time.Duration) bool {
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

// progress records the attempts of one call.
type progress struct {
	placements       int
	startedAttempts  int // attempts that may have run
	triedServers     []fleet.ServerID
	triedDataCentres []fleet.DataCentre
	lastResult       attemptResult
	spillSessionLost bool // the session over which a keyed call was spilled to another data centre was lost
}

// serveIdempotent makes attempts until one answers, within the retry budget.
func (g *Gateway) serveIdempotent(ctx context.Context, c *call, answer *answerBuffer) error {
	var p progress
	for {
		place, err := g.dispatcher.acquire(ctx, c, p.triedServers, p.triedDataCentres, preferOther)
		if err != nil {
			return p.refusal(err)
		}
		for _, f := range g.runWithHedge(ctx, c, place, &p, answer) {
			p.lastResult = f.result
			p.recordAttempt(f.place)
		}
		if p.lastResult.err != nil && p.lastResult.end == retry.EndNotRun {
			return p.refusal(p.lastResult.err)
		}
		if p.lastResult.err != nil {
			return p.lastResult.err
		}
		if done, err := g.afterAttempt(ctx, c, &p, answer); done {
			return err
		}
	}
}

// recordAttempt counts the attempt and excludes its server or data centre from the next one.
func (p *progress) recordAttempt(place placement) {
	p.placements++
	if p.lastResult.end != retry.EndNotRun {
		p.startedAttempts++
	}
	if place.spilled() {
		p.triedDataCentres = append(p.triedDataCentres, place.dataCentre)
		return
	}
	p.triedServers = append(p.triedServers, place.server)
}

// afterAttempt completes or refuses the call after an attempt, and returns true and the call's error. It returns false if
// another attempt is to be made, after the backoff.
func (g *Gateway) afterAttempt(ctx context.Context, c *call, p *progress, answer *answerBuffer) (bool, error) {
	end := p.lastResult.end
	if end == retry.EndDone && serverFailed(p.lastResult.status) && !answer.headSent {
		end = retry.EndFailed
	}
	situation := retry.Situation{
		End:        end,
		Idempotent: true,
		Delivered:  answer.headSent,
		CanResume:  answer.stream && g.resumable(c.target),
		MayHaveRun: p.startedAttempts > 0,
		MayResend:  p.placements < maxPlacements && ctx.Err() == nil,
	}
	if situation.MayResend && end != retry.EndNotRun && end != retry.EndDone {
		situation.MayResend = p.startedAttempts < maxAttempts && (p.lastResult.retryCharged || g.retries.allowRetry())
	}
	switch step := retry.Classify(situation); step {
	case retry.StepAnswer:
		g.retries.recordSuccess()
		return true, answer.flush()
	case retry.StepRetry, retry.StepResume:
		metricRetries(step.String()).Inc()
		g.resetTriedServers(c, p)
		if g.retries.waitBackoff(ctx, p.placements, 0) {
			return false, nil
		}
		return true, p.refusal(deadlineError(c, nil))
	case retry.StepRefuse:
		return true, problem.New(problem.NotRun, "no backend server took the request (%s): retry later", p.lastResult.reason).
			WithRetryAfter(max(p.lastResult.retryAfter, defaultRetryAfter)).WithRan(false)
	default:
		if p.lastResult.end == retry.EndDone && !answer.headSent {
			return true, answer.flush() // no retry is possible: the caller gets the server's error
		}
		return true, unknownProblem(p.lastResult.reason)
	}
}

func unknownProblem(reason string) error {
	return problem.New(problem.OutcomeUnknown,
		"the request may or may not have run (%s): ask for its result before you send it with another key", reason)
}

// refusal converts the refusal of the latest attempt into the call's error: if an earlier attempt may have run, the
// outcome is unknown.
func (p *progress) refusal(err error) error {
	if p.startedAttempts == 0 {
		return err
	}
	return problem.New(problem.OutcomeUnknown,
		"an attempt began and broke off (%s), and no other was possible: send the request again", p.lastResult.reason).
		WithRetryAfter(defaultRetryAfter)
}

// resetTriedServers allows all servers again once each has been tried.
func (g *Gateway) resetTriedServers(c *call, p *progress) {
	if len(p.triedServers) >= len(g.views.View().Candidates(c.target)) {
		p.triedServers = nil
	}
}

// resumable reports whether any available server can resume streams of the target.
func (g *Gateway) resumable(target fleet.Target) bool {
	view := g.views.View()
	for _, i := range view.Candidates(target) {
		if server := &view.Servers[i]; server.Resumes && server.ExclusionReason == "" {
			return true
		}
	}
	return false
}
