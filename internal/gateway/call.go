package gateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Headers of the callers' HTTP API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Banyan-Deadline-Ms" // milliseconds from arrival
	HeaderPriority       = "Banyan-Priority"    // high, normal or low
	HeaderRequestID      = "Banyan-Request-Id"  // set on every answer
)

const (
	servicesPrefix = "/services/"

	maxKeyBytes = 256
	maxDeadline = time.Hour
	// bodyTimeout limits the time to read a request's body.
	bodyTimeout = 30 * time.Second
)

// call is one request of a caller.
type call struct {
	id           string
	organisation fleet.Organisation
	target       fleet.Target
	method       string
	path         string // path and query sent to the backend server
	headers      []protocol.Header
	body         []byte
	stream       bool   // the caller requested server-sent events
	key          string // idempotency key, empty if the request may run more than once
	callerKey    bool   // the key came from the caller, which may send the request again
	digest       string // hash of method, path and body; detects a key that is reused for another request
	priority     fleet.Priority
	prefix       []uint64 // hashes of the prompt's blocks, see routing.AppendPrefix
	spilled      bool     // spilled over by an entry instance of another data centre
	arrived      time.Time
	deadline     time.Time
}

func (c *call) idempotent() bool { return c.key == "" }

// forwardedHeaders are the request headers forwarded to the backend server.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent", "Traceparent", "Tracestate"}

// readCall parses the parts that all requests have in common: headers and body.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	now := time.Now()
	c := &call{
		id:           rand.Text(),
		method:       r.Method,
		arrived:      now,
		deadline:     now.Add(g.config.DefaultDeadline),
		priority:     fleet.PriorityNormal,
		organisation: organisationOf(r.Context()),
	}
	for _, name := range forwardedHeaders {
		for _, value := range r.Header.Values(name) {
			c.headers = append(c.headers, protocol.Header{Name: name, Value: value})
		}
	}
	if err := c.readDeadline(r.Header.Get(HeaderDeadline)); err != nil {
		return nil, err
	}
	if err := c.readPriority(r.Header.Get(HeaderPriority)); err != nil {
		return nil, err
	}
	c.key = r.Header.Get(HeaderIdempotencyKey)
	c.callerKey = c.key != ""
	if len(c.key) > maxKeyBytes {
		return nil, problem.New(problem.BadRequest, "%s has %d bytes: use at most %d", HeaderIdempotencyKey, len(c.key), maxKeyBytes)
	}
	body, err := g.config.Gate.ReadBody(w, r, intake.BodyLimits{Owner: string(c.organisation), Bytes: g.config.MaxBodyBytes, Until: now.Add(bodyTimeout)})
	switch {
	case err == nil:
		c.body = body.Bytes()
		context.AfterFunc(r.Context(), body.Close) // when the request is over
		return c, nil
	case errors.Is(err, intake.ErrTooLong):
		err = problem.New(problem.TooLarge, "the body has more than %d bytes: send less or split the request", g.config.MaxBodyBytes).WithRan(false)
	case errors.Is(err, intake.ErrNoRoom):
		err = problem.New(problem.NotRun, "%v", err).WithRan(false).WithRetryAfter(intake.RetryAfter)
	default:
		err = problem.New(problem.BadRequest, "the body did not arrive whole within %v: send it again", bodyTimeout).WithRan(false)
	}
	intake.Refuse(w)
	return nil, err
}

func (c *call) readDeadline(value string) error {
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return problem.New(problem.BadRequest, "%s is %q: use a whole number of milliseconds from 1 to %d",
			HeaderDeadline, value, maxDeadline.Milliseconds())
	}
	c.deadline = c.arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func (c *call) readPriority(value string) error {
	switch strings.ToLower(value) {
	case "", "normal":
	case "high":
		c.priority = fleet.PriorityHigh
	case "low":
		c.priority = fleet.PriorityLow
	default:
		return problem.New(problem.BadRequest, "%s is %q: use high, normal or low", HeaderPriority, value)
	}
	return nil
}

// completionBody has the fields of a completions request that are used for routing.
type completionBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// readCompletion parses a completions request.
func (g *Gateway) readCompletion(w http.ResponseWriter, r *http.Request) (*call, error) {
	c, err := g.readCall(w, r)
	if err != nil {
		return nil, err
	}
	var body completionBody
	if err := json.Unmarshal(c.body, &body); err != nil {
		return nil, problem.New(problem.BadRequest, "the body is not a JSON object of the completions protocol: %v", err).WithRan(false)
	}
	if body.Model == "" {
		return nil, problem.New(problem.BadRequest, "the body names no model: set \"model\"").WithRan(false)
	}
	c.target = modelTarget(body.Model)
	c.target.Version = g.views.View().DefaultVersion(c.target.Name)
	c.path = r.URL.Path
	c.stream = body.Stream
	c.prefix = routing.AppendPrefix(nil, c.target, append(body.Prompt, body.Messages...))
	c.setDigest()
	return c, nil
}

// modelTarget parses a caller's model name, "model" or "model:adapter". The release note determines the version.
func modelTarget(name string) fleet.Target {
	model, adapter, _ := strings.Cut(name, ":")
	return fleet.Target{Kind: fleet.KindEngine, Name: model, Adapter: adapter}
}

// readService parses a call to a service that is not a model.
func (g *Gateway) readService(w http.ResponseWriter, r *http.Request) (*call, error) {
	c, err := g.readCall(w, r)
	if err != nil {
		return nil, err
	}
	c.target = fleet.Target{Kind: fleet.KindService, Name: chi.URLParam(r, "service")}
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	c.path = "/" + rest
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	if c.key == "" && !g.repeatable(c) {
		// Without a caller's key a repeated request can't be detected, but the attempts of this one can.
		c.key = "generated-" + c.id
	}
	c.setDigest()
	return c, nil
}

// repeatable reports whether a call of a service may run more than once: as the release note declares it, else by its
// method.
func (g *Gateway) repeatable(c *call) bool {
	if repeat, ok := g.views.View().Repeatable(c.target.Name, c.method, c.path); ok {
		return repeat
	}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// setDigest computes the digest that detects a key reused for another request.
func (c *call) setDigest() {
	h := sha256.New()
	writeField(h, c.method)
	writeField(h, c.path)
	h.Write(c.body)
	c.digest = hex.EncodeToString(h.Sum(nil)[:16])
}

// writeField hashes a field with its length, so that different requests can't get the same digest by shifting bytes
// between fields.
func writeField(h hash.Hash, field string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
}
