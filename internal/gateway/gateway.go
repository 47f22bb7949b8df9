// Package gateway serves callers on an entry instance: it authenticates a request, queues it fairly, chooses a backend
// server, sends attempts to the agent beside it, and passes the answer on once, whole and in order.
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
	"github.com/banyanfront/banyanfront/internal/problem"
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
	QueueMax        int     // requests of one organisation that wait at a time
	RetryBudget     float64 // retries and hedges as a share of requests
	// Latency is the one-way latency to other data centres, where it is known.
	Latency map[fleet.DataCentre]time.Duration
	// NotReady returns why the instance must not serve yet, or "". It is not asked again after it has returned "". A nil
	// NotReady stands for an instance that may serve at once.
	NotReady func() string
	Observer Observer
	// Trace records the calls, nil if they are not recorded.
	Trace *trace.Recorder
}

// Views gives the newest view of the fleet.
type Views interface {
	View() *control.View
	ObserveLoad(load fleet.Load)
}

// Gateway serves callers.
type Gateway struct {
	config        Config
	views         Views
	ledger        Ledger
	organisations directory
	dispatcher    *dispatcher
	retries       *retries
	inquiries     *inquiries

	mu       sync.Mutex
	open     int
	openBy   map[fleet.Organisation]int // open calls of organisations that have a bound
	bounds   map[fleet.Organisation]int
	draining bool
	idle     chan struct{} // closed when draining and no call is open

	confirmed atomic.Bool // NotReady has returned ""
}

// New returns a gateway. Run must be called for queued requests to be served.
func New(config Config, views Views, ledger Ledger) *Gateway {
	bounds := make(map[fleet.Organisation]int)
	for _, o := range config.Organisations {
		if o.MaxConcurrent > 0 {
			bounds[o.Name] = o.MaxConcurrent
		}
	}
	return &Gateway{
		openBy:        make(map[fleet.Organisation]int),
		bounds:        bounds,
		config:        config,
		views:         views,
		ledger:        ledger,
		organisations: newDirectory(config.Organisations),
		dispatcher:    newDispatcher(config, views),
		retries:       newRetries(config),
		inquiries:     newInquiries(),
		idle:          make(chan struct{}),
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

// handle serves one kind of call over HTTP.
func (g *Gateway) handle(read func(http.ResponseWriter, *http.Request) (*call, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := read(w, r)
		if err != nil {
			problem.Write(w, err)
			return
		}
		g.record(c)
		w.Header().Set(HeaderRequestID, c.id)
		answer := &answerBuffer{sink: newHTTPSink(w), asked: c.stream, max: maxHeldAnswer}
		err = g.serve(r.Context(), c, answer)
		observeCall(c, answer, err)
		g.callEnded(c, err)
		switch {
		case err == nil:
		case !answer.started:
			problem.Write(w, err)
		default:
			// Ends the connection without a proper close, so that the caller sees that the answer is not whole.
			panic(http.ErrAbortHandler)
		}
	}
}

// maxHeldAnswer bounds the part of a whole answer that is held back until the answer is complete.
const maxHeldAnswer = 1 << 20

// serve runs one call to its end.
func (g *Gateway) serve(ctx context.Context, c *call, answer *answerBuffer) error {
	if err := g.begin(c); err != nil {
		return err
	}
	defer g.end(c)
	if c.idempotent() {
		ctx, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		return g.serveIdempotent(ctx, c, answer)
	}
	// The outcome of a keyed call is recorded even when its caller goes away.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	return g.serveKeyed(ctx, c, answer)
}

// starting returns why the instance must not serve yet, or "".
func (g *Gateway) starting() string {
	if g.config.NotReady == nil || g.confirmed.Load() {
		return ""
	}
	reason := g.config.NotReady()
	if reason == "" {
		g.confirmed.Store(true)
	}
	return reason
}

// begin counts a call, or refuses it.
func (g *Gateway) begin(c *call) error {
	if reason := g.starting(); reason != "" {
		return problem.New(problem.NotRun, "this entry instance has just started (%s): send the request to another one", reason).
			WithRetryAfter(defaultRetryAfter).WithRan(false)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return problem.New(problem.NotRun, "this entry instance is stopping: send the request to another one").
			WithRetryAfter(time.Second).WithRan(false)
	}
	if bound, ok := g.bounds[c.organisation]; ok {
		if g.openBy[c.organisation] >= bound {
			return problem.New(problem.OverShare, "%d requests of your organisation are open at this entry instance, its bound: "+
				"send fewer at a time", bound).WithRetryAfter(defaultRetryAfter).WithRan(false)
		}
		g.openBy[c.organisation]++
	}
	g.open++
	return nil
}

func (g *Gateway) end(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.bounds[c.organisation]; ok {
		g.openBy[c.organisation]--
	}
	g.open--
	if g.draining && g.open == 0 {
		close(g.idle)
	}
}

// Run serves queued requests until the context ends.
func (g *Gateway) Run(ctx context.Context) { g.dispatcher.run(ctx) }

// Drain refuses new calls as not run and waits until the open ones have ended.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		if g.open == 0 {
			close(g.idle)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether new calls are accepted.
func (g *Gateway) Ready() bool {
	if g.starting() != "" {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining
}

var (
	errGap        = errors.New("a part of the answer is missing")
	errNotResumed = errors.New("the server did not go on with the stream")
	errCallerGone = errors.New("the caller is gone")
)

// callerError marks an error of writing to the caller.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	log.WithError(err).Debug("answer not passed on")
	return errCallerGone
}

// deadlineError is the refusal of a call whose deadline has passed.
func deadlineError(c *call, ran *bool) error {
	e := problem.New(problem.DeadlineExceeded, "the deadline of %d ms passed: raise %s or send the request at a quieter time",
		c.deadline.Sub(c.arrived).Milliseconds(), HeaderDeadline)
	e.Ran = ran
	return e
}

// openMessage is the message that starts an attempt of the call.
func (c *call) openMessage(attempt string, place placement, resumeFrom uint64) *protocol.Open {
	return &protocol.Open{
		Attempt:      attempt,
		Organisation: c.organisation,
		Key:          c.key,
		Boot:         place.boot,
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
