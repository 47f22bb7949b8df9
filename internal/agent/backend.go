package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Headers that the agent sets towards the backend server.
const (
	headerAttempt        = "X-Attempt"
	headerResumeRequest  = "X-Resume-Request"
	headerResumeFrom     = "X-Resume-From"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	headerOrganisation   = "X-Organisation"
)

// dialTimeout bounds connecting to the backend server, which is on the same instance.
const dialTimeout = 2 * time.Second

// connectionBuffer is the size of the read and of the write buffer of a connection to the backend server. An open stream
// holds both, and a streamed token takes about 200 bytes; larger parts pass by the buffers.
const connectionBuffer = 1 << 10

// backend sends requests to the backend server beside the agent.
type backend struct {
	base *url.URL
	// shared reuses connections. net/http sends a request again on a fresh connection when a reused one fails, if the
	// request is replayable; that is only acceptable for idempotent requests.
	shared *http.Client
	// single opens a connection for each request, so that net/http never sends a keyed request twice.
	single *http.Client
}

func newBackend(base string, dial func(context.Context, string, string) (net.Conn, error)) (*backend, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("backend url %q is not an absolute URL: set it to, for example, http://127.0.0.1:8000", base)
	}
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := func(keepAlive bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext:           dial,
				DisableKeepAlives:     !keepAlive,
				DisableCompression:    true,
				MaxIdleConnsPerHost:   256,
				ReadBufferSize:        connectionBuffer,
				WriteBufferSize:       connectionBuffer,
				IdleConnTimeout:       30 * time.Second,
				ResponseHeaderTimeout: 0, // bounded by the attempt's deadline
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &backend{base: u, shared: transport(true), single: transport(false)}, nil
}

// close ends idle connections.
func (b *backend) close() {
	b.shared.CloseIdleConnections()
	b.single.CloseIdleConnections()
}

// response is an answer of the backend server, or the error that came instead.
type response struct {
	*http.Response
	err  error
	sent bool // at least part of the request may have reached the server
}

// do sends an attempt. After an error, sent tells whether the server may have seen the request.
func (b *backend) do(ctx context.Context, open *protocol.Open) response {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// A connection is handed out right before the request is written to it.
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
	target, err := b.target(open.Path)
	if err != nil {
		return response{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, open.Method, target, bytes.NewReader(open.Body))
	if err != nil {
		return response{err: err}
	}
	for _, h := range open.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(headerAttempt, open.Attempt)
	req.Header.Set(headerOrganisation, string(open.Organisation))
	req.Header.Set(headerPriority, strconv.Itoa(int(open.Priority)))
	if open.ResumeFrom > 0 {
		req.Header.Set(headerResumeRequest, open.Attempt)
		req.Header.Set(headerResumeFrom, strconv.FormatUint(open.ResumeFrom, 10))
	}
	client := b.shared
	if open.Key != "" {
		req.Header.Set(headerIdempotencyKey, open.Key)
		client = b.single
	}
	res, err := client.Do(req)
	return response{Response: res, err: err, sent: wrote.Load()}
}

var errPath = errors.New("path must start with a slash and stay below the backend server's root")

// target joins the path to the base URL.
func (b *backend) target(path string) (string, error) {
	withoutQuery, _, _ := strings.Cut(path, "?")
	if !strings.HasPrefix(path, "/") || slices.Contains(strings.Split(withoutQuery, "/"), "..") {
		return "", errPath
	}
	return strings.TrimSuffix(b.base.String(), "/") + path, nil
}

// healthy asks the server's health page. Any answer below 500 counts: plain services may not have such a page.
func (b *backend) healthy(ctx context.Context) bool {
	target, err := b.target("/healthz")
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	res, err := b.shared.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode < http.StatusInternalServerError
}

// engineLoad is what an engine reports about itself.
type engineLoad struct {
	KVUsed   float64       `json:"kvUsed"`   // used share of the KV cache, 0 to 1
	StepTime time.Duration `json:"stepTime"` // of this rank, without the wait for others, in nanoseconds
}

const (
	maxLoadBytes = 64 << 10
	maxStepTime  = time.Minute
)

// load asks the engine for its load. It reports false if the engine tells nothing, or nonsense.
func (b *backend) load(ctx context.Context) (engineLoad, bool) {
	var load engineLoad
	target, err := b.target("/load")
	if err != nil {
		return load, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return load, false
	}
	res, err := b.shared.Do(req)
	if err != nil {
		return load, false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(res.Body, maxLoadBytes)).Decode(&load) != nil {
		return load, false
	}
	if load.KVUsed < 0 || load.KVUsed > 1 || load.StepTime < 0 || load.StepTime > maxStepTime {
		metricBadLoad.Inc()
		return engineLoad{}, false
	}
	return load, true
}
