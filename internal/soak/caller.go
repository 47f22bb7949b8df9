package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	// callerPatience is the deadline of a request.
	callerPatience = 4 * time.Second
	// requestsPerConnection is how many requests a caller sends over one connection at most.
	requestsPerConnection = 25
	// callerPause is the mean pause between a caller's requests.
	callerPause = 60 * time.Millisecond
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// mostObeyed bounds the Retry-After that a caller obeys, as a part of its patience.
	mostObeyed = callerPatience / 3
	// abandonedShare is one in so many streams that its caller leaves before the end.
	abandonedShare = 20
	// balancerEvery and balancerMisses describe the balancer before the entry instances.
	balancerEvery  = 500 * time.Millisecond
	balancerMisses = 2
)

// balancer keeps the entry instances that take new connections.
type balancer struct {
	entries []*instance
	mu      sync.Mutex
	misses  map[*instance]int
}

// run asks the entry instances until the context ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(balancerEvery)
	defer tick.Stop()
	client := &http.Client{Timeout: balancerEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var asked sync.WaitGroup
		for _, e := range b.entries {
			asked.Go(func() {
				ready := false
				if response, err := client.Get("http://" + e.settings.ReadyListen + platform.ReadyPath); err == nil {
					ready = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.misses[e]++; ready {
					b.misses[e] = 0
				}
			})
		}
		asked.Wait()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// inRotation returns the entry instances that get new connections: all of them where fewer than half are ready.
func (b *balancer) inRotation() []*instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*instance
	for _, e := range b.entries {
		if misses, asked := b.misses[e]; asked && misses < balancerMisses {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(b.entries) {
		return b.entries
	}
	return ready
}

// caller sends one request after the other.
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
		c.connection(ctx, rotation[c.random.IntN(len(rotation))])
	}
}

// connection sends requests to one entry instance over one connection, for as long as it is kept open.
func (c *caller) connection(ctx context.Context, entry *instance) {
	connections := 0
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connections++
		return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range requestsPerConnection {
		pause := time.Duration(c.random.ExpFloat64() * float64(callerPause))
		if pause += c.request(ctx, client, entry); !process.Sleep(ctx, pause) || connections > 1 {
			return
		}
	}
}

// newMessage returns a caller's request to an entry instance, below a path prefix.
func newMessage(ctx context.Context, entry *instance, prefix, id, body string) (*http.Request, error) {
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.settings.CallersListen+prefix+"x", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	message.Host = host
	message.Header.Set(platform.HeaderRequestID, id)
	message.Header.Set(platform.HeaderKey, callerKey)
	return message, nil
}

// request sends one request and returns how long the caller was asked to stay away.
func (c *caller) request(ctx context.Context, client *http.Client, entry *instance) time.Duration {
	c.sent++
	route := c.routes[c.random.IntN(len(c.routes))]
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), route: route, entry: entry.settings.Instance}
	body := fmt.Sprintf("body of %s", r.id)
	// The caller itself stays a little longer than it says, so that an answer at the deadline is seen.
	ctx, cancel := context.WithTimeout(ctx, callerPatience+connectTimeout)
	defer cancel()
	message, err := newMessage(ctx, entry, route.PathPrefix, r.id, body)
	if err != nil {
		c.ledger.violate("SOAK", "a request cannot be built: %v", err)
		return callerPause
	}
	message.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerPatience.Milliseconds(), 10))
	c.ledger.sending(r)
	response, err := client.Do(message)
	if err != nil {
		c.ledger.ending(r, c.unanswered(ctx), 0)
		return callerPause
	}
	defer func() { _ = response.Body.Close() }() // what was read counts
	switch status := response.StatusCode; {
	case status == http.StatusOK && route.Kind == routes.Stream:
		c.ledger.ending(r, c.readStream(ctx, r, response, c.random.IntN(abandonedShare) == 0), status)
	case status == http.StatusOK:
		c.ledger.ending(r, c.readPlain(ctx, r, response, plainAnswer(r.id, []byte(body))), status)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout,
		status == http.StatusMisdirectedRequest:
		c.ledger.ending(r, refused, status)
		seconds, err := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64)
		if err != nil {
			c.ledger.count("refusals without Retry-After")
			return callerPause
		}
		return min(time.Duration(seconds*float64(time.Second)), mostObeyed)
	default:
		c.ledger.ending(r, failed, status)
		if status >= 400 && status < 500 {
			c.ledger.violate("DENIED", "%s answers %d to request %s, which all configurations allow", r.entry, status, r.id)
		}
	}
	return 0
}

// unanswered tells a request whose connection has ended from one that the soak itself has ended.
func (c *caller) unanswered(ctx context.Context) outcome {
	if ctx.Err() == context.Canceled {
		return abandoned
	}
	return cutOff
}

func (c *caller) readPlain(ctx context.Context, r *request, response *http.Response, expected string) outcome {
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return c.unanswered(ctx)
	case string(body) != expected || response.Header.Get(platform.HeaderSeal) != "seal-"+r.id:
		c.ledger.violate("MIXED", "request %s got another answer from %s: %q with seal %q", r.id, r.entry, body, response.Header.Get(platform.HeaderSeal))
		return failed
	}
	return answered
}

// readStream reads the events of a stream. leave says that the caller goes after the first one.
func (c *caller) readStream(ctx context.Context, r *request, response *http.Response, leave bool) outcome {
	if seal := response.Header.Get(platform.HeaderSeal); seal != "seal-"+r.id {
		c.ledger.violate("MIXED", "stream %s got seal %q from %s", r.id, seal, r.entry)
	}
	reader := bufio.NewReader(response.Body)
	for n := 1; ; n++ {
		expected := eventOf(r.id, n)
		event := make([]byte, len(expected))
		read, err := io.ReadFull(reader, event)
		switch {
		case err == io.EOF && n == streamEvents+1:
			return answered
		case err == io.EOF:
			c.ledger.violate("ORDER", "stream %s ended as complete before event %d", r.id, n)
			return failed
		case err != nil && strings.HasPrefix(expected, string(event[:read])):
			if outcome := c.unanswered(ctx); outcome == abandoned {
				return outcome
			}
			return failed // broken off
		case err != nil || string(event) != expected:
			c.ledger.violate("ORDER", "stream %s has %q for event %d", r.id, event[:read], n)
			return failed
		}
		if leave {
			return abandoned
		}
	}
}
