// Package gateway serves callers on an entry instance: it authenticates a request, queues it fairly, selects a backend
// server, sends attempts to the agent beside it, and delivers the answer to the caller once, complete and in order.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// Config holds the settings of the gateway.
type Config struct {
	Instance        fleet.InstanceID
	DataCentre      fleet.DataCentre
	Organisations   []Organisation
	DefaultDeadline time.Duration // for requests without a deadline of their own
	MaxBodyBytes    int64
	Gate            *intake.Gate // limits the bodies on their way in; nil for the limits of the machine
	QueueMax        int          // maximum number of queued requests of one organisation
	RetryBudget     float64      // retries and hedges allowed per successful request
	// Latency is the one-way latency to other data centres; data centres without a known latency are absent.
	Latency map[fleet.DataCentre]time.Duration
	// NotReady returns why the instance must not serve yet, or "". It is not called again after it has returned "". If
	// NotReady is nil, the instance may serve at once.
	NotReady func() string
	Observer Observer
	// Trace records the calls; nil disables recording.
	Trace *trace.Recorder
}

// ViewSource provides the newest view of the fleet and accepts load reports of backend servers.
type ViewSource interface {
	View() *control.View
	ObserveLoad(load fleet.Load)
}

// Gateway serves the callers' HTTP API and requests spilled over from other data centres.
type Gateway struct {
	config        Config
	views         ViewSource
	ledger        Ledger
	organisations keyDirectory
	dispatcher    *dispatcher
	retries       *retryPolicy
	inquiries     *inquiries

	mu                 sync.Mutex
	openCalls          int
	openByOrganisation map[fleet.Organisation]int // open calls of organisations that have a concurrency limit
	concurrencyLimits  map[fleet.Organisation]int
	draining           bool
	drained            chan struct{} // closed when draining and no call is open any more

	startupComplete atomic.Bool // NotReady has returned ""
}

// New returns a gateway. Queued requests are dispatched only while Run is running.
func New(config Config, views ViewSource, ledger Ledger) *Gateway {
	concurrencyLimits := make(map[fleet.Organisation]int)
	for _, o := range config.Organisations {
		if o.MaxConcurrent > 0 {
			concurrencyLimits[o.Name] = o.MaxConcurrent
		}
	}
	if config.Gate == nil {
		config.Gate = intake.NewGate(process.MachineLimits())
	}
	return &Gateway{
		openByOrganisation: make(map[fleet.Organisation]int),
		concurrencyLimits:  concurrencyLimits,
		config:             config,
		views:              views,
		ledger:             ledger,
		organisations:      newKeyDirectory(config.Organisations),
		dispatcher:         newDispatcher(config, views),
		retries:            newRetryPolicy(config),
		inquiries:          newInquiries(),
		drained:            make(chan struct{}),
	}
}

// Handler returns the callers' HTTP API.
func (g *Gateway) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(g.authenticate)
	r.Post("/v1/chat/completions", g.handle(g.readCompletion))
	r.Post("/v1/completions", g.handle(g.readCompletion))
	r.HandleFunc("/services/{service}", g.handle(g.readService))
	r.HandleFunc("/services/{service}/*", g.handle(g.readService))
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, problem.New(problem.BadRequest,
			"no such path: use /v1/chat/completions, /v1/completions or /services/{service}/...").WithRan(false))
	})
	return r
}

// handle returns the HTTP handler of the calls that read parses.
func (g *Gateway) handle(read func(http.ResponseWriter, *http.Request) (*call, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := read(w, r)
		if err != nil {
			problem.Write(w, err)
			return
		}
		g.recordTrace(c)
		w.Header().Set(HeaderRequestID, c.id)
		answer := &answerBuffer{sink: newHTTPSink(w), streamRequested: c.stream, maxBufferedBytes: maxBufferedAnswerBytes}
		err = g.serve(r.Context(), c, answer)
		observeCall(c, answer, err)
		g.notifyCallEnded(c, err)
		switch {
		case err == nil:
		case !answer.headSent:
			problem.Write(w, err)
		default:
			// Aborts the connection without the regular end of the response, so that the caller detects the truncated answer.
			panic(http.ErrAbortHandler)
		}
	}
}

// maxBufferedAnswerBytes limits how much of a non-streamed answer is buffered until it is complete. A longer answer is
// sent in parts.
const maxBufferedAnswerBytes = 1 << 20

// serve runs one call to completion.
func (g *Gateway) serve(ctx context.Context, c *call, answer *answerBuffer) error {
	if err := g.admit(c); err != nil {
		return err
	}
	defer g.finish(c)
	if c.idempotent() {
		ctx, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		return g.serveIdempotent(ctx, c, answer)
	}
	// The outcome of a keyed call is recorded even if its caller disconnects.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	return g.serveKeyed(ctx, c, answer)
}

// notReadyReason returns why the instance must not serve yet, or "".
func (g *Gateway) notReadyReason() string {
	if g.config.NotReady == nil || g.startupComplete.Load() {
		return ""
	}
	reason := g.config.NotReady()
	if reason == "" {
		g.startupComplete.Store(true)
	}
	return reason
}

// admit counts a call as open, or refuses it: the instance is not ready, draining, or the organisation is at its limit.
func (g *Gateway) admit(c *call) error {
	if reason := g.notReadyReason(); reason != "" {
		return problem.New(problem.NotRun, "this entry instance has just started (%s): send the request to another one", reason).
			WithRetryAfter(defaultRetryAfter).WithRan(false)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return problem.New(problem.NotRun, "this entry instance is stopping: send the request to another one").
			WithRetryAfter(time.Second).WithRan(false)
	}
	if limit, ok := g.concurrencyLimits[c.organisation]; ok {
		if g.openByOrganisation[c.organisation] >= limit {
			return problem.New(problem.OverShare, "%d requests of your organisation are open at this entry instance, its bound: "+
				"send fewer at a time", limit).WithRetryAfter(defaultRetryAfter).WithRan(false)
		}
		g.openByOrganisation[c.organisation]++
	}
	g.openCalls++
	return nil
}

func (g *Gateway) finish(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.concurrencyLimits[c.organisation]; ok {
		g.openByOrganisation[c.organisation]--
	}
	g.openCalls--
	if g.draining && g.openCalls == 0 {
		close(g.drained)
	}
}

// Run dispatches queued requests until the context ends.
func (g *Gateway) Run(ctx context.Context) { g.dispatcher.run(ctx) }

// Drain refuses new calls as not run and waits until the open ones have ended. It returns the context's error if that
// ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		if g.openCalls == 0 {
			close(g.drained)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether new calls are accepted.
func (g *Gateway) Ready() bool {
	if g.notReadyReason() != "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining
}

var (
	errMissingPart        = errors.New("a part of the answer is missing")
	errNotResumed         = errors.New("the server did not go on with the stream")
	errCallerDisconnected = errors.New("the caller is gone")
)

// callerError returns errCallerDisconnected for an error of writing to the caller.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	log.WithError(err).Debug("writing the answer to the caller failed")
	return errCallerDisconnected
}

// deadlineError returns the refusal of a call whose deadline has passed. ran says whether it ran, nil if that is unknown.
func deadlineError(c *call, ran *bool) error {
	e := problem.New(problem.DeadlineExceeded, "the deadline of %d ms passed: raise %s or send the request at a quieter time",
		c.deadline.Sub(c.arrived).Milliseconds(), HeaderDeadline)
	e.Ran = ran
	return e
}

// openMessage returns the message that starts an attempt of the call. resumeFrom is the number of tokens or bytes that
// the caller already has.
func (c *call) openMessage(attempt string, place placement, resumeFrom uint64) *protocol.Open {
	return &protocol.Open{
		Attempt:      attempt,
		Organisation: c.organisation,
		Key:          c.key,
		Incarnation:  place.incarnation,
		Method:       c.method,
		Path:         c.path,
		Headers:      c.headers,
		Body:         c.body,
		Priority:     c.priority,
		DeadlineMS:   max(time.Until(c.deadline).Milliseconds(), 1),
		ResumeFrom:   resumeFrom,
		Server:       place.server,
	}
}
