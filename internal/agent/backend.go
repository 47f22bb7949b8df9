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
	"github.com/banyanfront/banyanfront/internal/responsehead"
)

// Headers that the agent sets on requests to the backend server.
const (
	headerAttempt        = "X-Attempt"
	headerResumeRequest  = "X-Resume-Request"
	headerResumeFrom     = "X-Resume-From"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	headerOrganisation   = "X-Organisation"
)

// headerServerLimit is the header of responses in which a backend server in need names the requests a second that it takes from all callers.
const headerServerLimit = "Server-Limit"

// dialTimeout limits connecting to the backend server, which is on the same instance.
const dialTimeout = 2 * time.Second

// connectionBufferBytes is the size of the read buffer and of the write buffer of a connection to the backend server. An
// open stream occupies both. A streamed token takes about 200 bytes; larger reads and writes bypass the buffers.
const connectionBufferBytes = 1 << 10

// backend sends requests to the backend server beside the agent.
type backend struct {
	base *url.URL
	// shared reuses connections. When a reused connection fails, net/http sends a replayable request again on a new one;
	// that is only acceptable for idempotent requests.
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
	newClient := func(keepAlive bool) *http.Client {
		return &http.Client{
			Transport: responsehead.NewTransport(&http.Transport{
				DialContext:           dial,
				DisableKeepAlives:     !keepAlive,
				DisableCompression:    true,
				MaxIdleConnsPerHost:   256,
				ReadBufferSize:        connectionBufferBytes,
				WriteBufferSize:       connectionBufferBytes,
				IdleConnTimeout:       30 * time.Second,
				ResponseHeaderTimeout: 0, // the attempt's deadline applies
			}),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &backend{base: u, shared: newClient(true), single: newClient(false)}, nil
}

// close closes idle connections.
func (b *backend) close() {
	b.shared.CloseIdleConnections()
	b.single.CloseIdleConnections()
}

// response is the backend server's response to an attempt, or the error if there is none.
type response struct {
	*http.Response
	err  error
	sent bool // at least part of the request may have reached the server
}

// do sends an attempt. After an error, response.sent reports whether the server may have received part of the request.
func (b *backend) do(ctx context.Context, open *protocol.Open) response {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http calls GotConn right before it writes the request to the connection.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	target, err := b.urlFor(open.Path)
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
	return response{Response: res, err: err, sent: sent.Load()}
}

var errInvalidPath = errors.New("path must start with a slash and stay below the backend server's root")

// urlFor returns the base URL joined with the path. It returns errInvalidPath for a path outside the base URL.
func (b *backend) urlFor(path string) (string, error) {
	withoutQuery, _, _ := strings.Cut(path, "?")
	if !strings.HasPrefix(path, "/") || slices.Contains(strings.Split(withoutQuery, "/"), "..") {
		return "", errInvalidPath
	}
	return strings.TrimSuffix(b.base.String(), "/") + path, nil
}

// healthy requests the server's health page. Any status below 500 counts: plain services may not have such a page.
func (b *backend) healthy(ctx context.Context) bool {
	target, err := b.urlFor("/healthz")
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

// engineLoad is the load that an engine reports.
type engineLoad struct {
	KVUsed   float64       `json:"kvUsed"`   // used share of the KV cache, 0 to 1
	StepTime time.Duration `json:"stepTime"` // of this rank, without waiting for other ranks, in nanoseconds
}

const (
	maxLoadBytes = 64 << 10
	maxStepTime  = time.Minute
)

// load requests the engine's load. It returns false if the engine does not report it or a value is out of range.
func (b *backend) load(ctx context.Context) (engineLoad, bool) {
	var load engineLoad
	target, err := b.urlFor("/load")
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
