package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// requestTimeout is the deadline of a request.
	requestTimeout = 4 * time.Second
	// requestsPerConnection is the maximum number of requests that a caller sends over one connection.
	requestsPerConnection = 25
	// meanRequestPause is the mean pause between a caller's requests.
	meanRequestPause = 60 * time.Millisecond
	// connectTimeout is the maximum time to open a connection.
	connectTimeout = time.Second
	// maxRetryAfter is the longest Retry-After that a caller waits for.
	maxRetryAfter = requestTimeout / 3
	// abandonOneIn makes a caller abandon one in this many streams before their end.
	abandonOneIn = 20
	// harmfulOneIn makes one in this many streams have the harmful part in its prompt, and one in this many safe requests the
	// harmful one, and copiesOneIn makes one in this many of the latter come at all entry instances at once; subjects is the number of
	// different parts that others share.
	harmfulOneIn = 25
	copiesOneIn  = 4
	subjects     = 40
	// readinessInterval is the interval of the balancer's readiness checks. After readinessFailures failed checks in a row it
	// sends an entry instance no new connections.
	readinessInterval = 500 * time.Millisecond
	readinessFailures = 2
)

// balancer stands in for the external load balancer: it checks which entry instances are ready for new connections.
type balancer struct {
	entries  []*instance
	mu       sync.Mutex
	failures map[*instance]int
}

// run checks the readiness of the entry instances until the context ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var checks sync.WaitGroup
		for _, e := range b.entries {
			checks.Go(func() {
				ready := false
				if response, err := client.Get("http://" + e.settings.ReadyListen + platform.ReadyPath); err == nil {
					ready = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.failures[e]++; ready {
					b.failures[e] = 0
				}
			})
		}
		checks.Wait()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// inRotation returns the entry instances that get new connections: the ready ones, or all if fewer than half are ready.
func (b *balancer) inRotation() []*instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*instance
	for _, e := range b.entries {
		if failures, checked := b.failures[e]; checked && failures < readinessFailures {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(b.entries) {
		return b.entries
	}
	return ready
}

// caller is a client that sends one request at a time.
type caller struct {
	name     string
	random   *rand.Rand
	ledger   *ledger
	balancer *balancer
	routes   []*routes.Route
	sent     int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		rotation := c.balancer.inRotation()
		c.sendOverConnection(ctx, rotation[c.random.IntN(len(rotation))])
	}
}

// sendOverConnection sends requests to one entry instance over one connection until either side closes it.
func (c *caller) sendOverConnection(ctx context.Context, entry *instance) {
	connections := 0
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connections++
		return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range requestsPerConnection {
		pause := time.Duration(c.random.ExpFloat64() * float64(meanRequestPause))
		if pause += c.sendRequest(ctx, client, entry); !process.Sleep(ctx, pause) || connections > 1 {
			return
		}
	}
}

// newHTTPRequest returns a caller's request to an entry instance.
func newHTTPRequest(ctx context.Context, entry *instance, path, id, body string) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.settings.CallersListen+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Host = host
	httpRequest.Header.Set(platform.HeaderRequestID, id)
	httpRequest.Header.Set(platform.HeaderKey, callerKey)
	return httpRequest, nil
}

// sendRequest sends one request and returns the extra pause before the next one, which a refusal gives in Retry-After.
func (c *caller) sendRequest(ctx context.Context, client *http.Client, entry *instance) time.Duration {
	route := c.routes[c.random.IntN(len(c.routes))]
	r := c.newRequest(route, entry)
	path, body, header := "x", fmt.Sprintf("body of %s", r.id), http.Header{}
	if route.Kind == routes.Safe && c.ledger.hasHarmfulRequest() && c.random.IntN(harmfulOneIn) == 0 {
		if c.random.IntN(copiesOneIn) == 0 {
			c.sendCopies(ctx, route)
		}
		r.harmful, path, body = true, harmfulRequestPath, harmfulRequestBody
	}
	abandon := false
	if route.Kind == routes.Stream {
		part := c.ledger.harmfulPart()
		r.harmful = part != "" && c.random.IntN(harmfulOneIn) == 0
		header.Set(platform.HeaderPrompt, c.prompt(r, part))
		abandon = c.random.IntN(abandonOneIn) == 0
	}
	return c.exchange(ctx, client, entry, r, path, body, header, abandon)
}

func (c *caller) newRequest(route *routes.Route, entry *instance) *request {
	c.sent++
	return &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), route: route, entry: entry.settings.Instance}
}

// sendCopies sends the harmful request to all entry instances at once.
func (c *caller) sendCopies(ctx context.Context, route *routes.Route) {
	var copies sync.WaitGroup
	for _, entry := range c.balancer.inRotation() {
		r := c.newRequest(route, entry)
		r.harmful = true
		copies.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			c.exchange(ctx, client, entry, r, harmfulRequestPath, harmfulRequestBody, http.Header{}, false)
		})
	}
	copies.Wait()
}

// exchange sends a request and checks the answer. It returns the extra pause before the next one, which a refusal gives in Retry-After.
func (c *caller) exchange(ctx context.Context, client *http.Client, entry *instance, r *request, path, body string, header http.Header, abandon bool) time.Duration {
	// The caller waits a little longer than the deadline that it sends, so that it receives an answer sent at the deadline.
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+connectTimeout)
	defer cancel()
	httpRequest, err := newHTTPRequest(ctx, entry, r.route.PathPrefix+path, r.id, body)
	if err != nil {
		c.ledger.recordViolation("SOAK", "a request cannot be built: %v", err)
		return meanRequestPause
	}
	maps.Copy(httpRequest.Header, header)
	httpRequest.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	c.ledger.recordSent(r)
	response, err := client.Do(httpRequest)
	if err != nil {
		c.ledger.recordEnd(r, c.outcomeWithoutAnswer(ctx), 0)
		return meanRequestPause
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	switch status := response.StatusCode; {
	case status == http.StatusOK && r.route.Kind == routes.Stream:
		c.ledger.recordEnd(r, c.readStream(ctx, r, response, abandon), status)
	case status == http.StatusOK:
		c.ledger.recordEnd(r, c.readPlain(ctx, r, response, plainAnswer(r.id, []byte(body))), status)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout,
		status == http.StatusMisdirectedRequest:
		c.ledger.recordEnd(r, refused, status)
		seconds, err := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64)
		if err != nil {
			c.ledger.count("refusals without Retry-After")
			return meanRequestPause
		}
		return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
	default:
		c.ledger.recordEnd(r, failed, status)
		if status >= 400 && status < 500 {
			c.ledger.recordViolation("DENIED", "%s answers %d to request %s, which all configurations allow", r.entry, status, r.id)
		}
	}
	return 0
}

// prompt returns the parts of a stream's prompt: one that all share, one of some subjects, and one of its own.
func (c *caller) prompt(r *request, harmfulPart string) string {
	harmful := ""
	if r.harmful {
		harmful = harmfulPart + ":50,"
	}
	return fmt.Sprintf("a0:40,%ssubject%d:100,%s:30", harmful, c.random.IntN(subjects), r.id)
}

// outcomeWithoutAnswer returns the outcome of a request without a complete answer: abandoned if the soak itself has
// cancelled it, otherwise cutOff.
func (c *caller) outcomeWithoutAnswer(ctx context.Context) outcome {
	if ctx.Err() == context.Canceled {
		return abandoned
	}
	return cutOff
}

func (c *caller) readPlain(ctx context.Context, r *request, response *http.Response, expected string) outcome {
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return c.outcomeWithoutAnswer(ctx)
	case string(body) != expected || response.Header.Get(platform.HeaderSeal) != "seal-"+r.id:
		c.ledger.recordViolation("MIXED", "request %s got another answer from %s: %q with seal %q", r.id, r.entry, body, response.Header.Get(platform.HeaderSeal))
		return failed
	}
	return answered
}

// readStream reads and checks the events of a stream. If abandon is set, the caller closes the stream after the first event.
func (c *caller) readStream(ctx context.Context, r *request, response *http.Response, abandon bool) outcome {
	if seal := response.Header.Get(platform.HeaderSeal); seal != "seal-"+r.id {
		c.ledger.recordViolation("MIXED", "stream %s got seal %q from %s", r.id, seal, r.entry)
	}
	reader := bufio.NewReader(response.Body)
	for n := 1; ; n++ {
		expected := streamEvent(r.id, n)
		event := make([]byte, len(expected))
		read, err := io.ReadFull(reader, event)
		switch {
		case err == io.EOF && n == streamEvents+1:
			return answered
		case err == io.EOF:
			c.ledger.recordViolation("ORDER", "stream %s ended as complete before event %d", r.id, n)
			return failed
		case err != nil && strings.HasPrefix(expected, string(event[:read])):
			if outcome := c.outcomeWithoutAnswer(ctx); outcome == abandoned {
				return outcome
			}
			return failed // truncated
		case err != nil || string(event) != expected:
			c.ledger.recordViolation("ORDER", "stream %s has %q for event %d", r.id, event[:read], n)
			return failed
		}
		if abandon {
			return abandoned
		}
	}
}
