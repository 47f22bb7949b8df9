// Package edge runs an entry instance for backend servers without agents: it takes callers' HTTP/1.1 requests, finds their
// route, and brings each to a server of its service.
package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/direct"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// maxBuffered bounds an answer that is held until it is whole; a longer one is passed on as it comes.
	maxBuffered = 256 << 10
	// defaultBody bounds a request body where the configuration names no bound.
	defaultBody = 4 << 20
	// defaultDeadline is the time for a request that names none.
	defaultDeadline = 30 * time.Second
	// startRetry is the Retry-After while no configuration is known: a start takes about a second.
	startRetry = time.Second
)

// Config holds what an entry instance needs to know.
type Config struct {
	Instance string
	Controls []string // inner addresses of control instances
	Dispatch dispatch.Config
	Decode   func(body []byte) (*routes.Configuration, error)
	Dial     func(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc
	Hello    func() protocol.Hello
}

// Gate takes the requests of callers.
type Gate struct {
	*knowledge
	client   *direct.Client
	stopping atomic.Bool
	open     atomic.Int64
}

// New returns a gate that knows nothing yet.
func New(config Config) *Gate {
	return &Gate{knowledge: newKnowledge(config), client: direct.NewClient(platform.HeaderRequestID)}
}

// Run follows the control instances until the context ends.
func (g *Gate) Run(ctx context.Context) { g.run(ctx) }

// Ready reports whether new callers may come.
func (g *Gate) Ready() bool { return g.view.Load() != nil && !g.stopping.Load() }

// Stop makes the gate ask its callers to go elsewhere. Requests that still come are served.
func (g *Gate) Stop() { g.stopping.Store(true) }

// Open returns the number of requests that are being served.
func (g *Gate) Open() int64 { return g.open.Load() }

// CloseIdle closes connections to servers that will not be used again.
func (g *Gate) CloseIdle(now time.Time) { g.client.CloseIdle(now) }

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gate: g, w: w, r: r, id: r.Header.Get(platform.HeaderRequestID), arrived: time.Now(), view: g.view.Load()}
	defer func() {
		c.logEnd()
		g.measure(c)
	}()
	if !c.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.limit)
	defer cancel()
	c.ctx = ctx
	g.with(func(_ time.Time, d *dispatch.Dispatcher) { d.RecordRequest(c.arrived, c.service) })
	if c.route.Kind == routes.Stream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// admit finds the route and the organisation of a call and reads its body. It answers calls that go no further.
func (c *call) admit() bool {
	if c.view == nil {
		c.outcome = "no_configuration"
		c.answerOwn(http.StatusServiceUnavailable, startRetry)
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.view.Table.Route(c.r.Host, path)
	if c.route == nil {
		c.outcome = "no_route"
		c.answerOwn(http.StatusNotFound, 0)
		return false
	}
	priority := c.route.Priority
	if c.view.Table.HasOrganisations() {
		organisation := c.view.Table.Organisation(c.r.Header.Get(platform.HeaderKey))
		if organisation == nil && !c.route.Public {
			c.outcome = "unknown_key"
			c.answerOwn(http.StatusUnauthorized, 0)
			return false
		}
		if organisation != nil {
			c.org = organisation.Name
			if organisation.Priority != nil {
				priority = *organisation.Priority
			}
		}
	}
	granted := deadline(c.r.Header)
	c.limit = c.arrived.Add(min(granted, c.route.Timeout))
	// A caller that comes back has less time left than the route grants.
	c.late = c.route.Objective > 0 && granted < c.route.Timeout-c.route.Objective
	c.service = c.route.ChooseService(rand.Float64())
	bound := c.view.Table.Limits.BodyBytes
	if bound <= 0 {
		bound = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, bound))
	if err != nil {
		var tooLarge *http.MaxBytesError
		c.lastError = err.Error()
		if errors.As(err, &tooLarge) {
			c.outcome = "too_large"
			c.answerOwn(http.StatusRequestEntityTooLarge, 0)
			return false
		}
		c.outcome = "incomplete_request"
		panic(http.ErrAbortHandler)
	}
	c.body = body
	c.header = direct.EndToEnd(c.r.Header)
	for _, name := range []string{platform.HeaderKey, platform.HeaderOrganisation, platform.HeaderExpectServer, "Expect"} {
		delete(c.header, http.CanonicalHeaderKey(name))
	}
	if c.org != "" {
		c.header.Set(platform.HeaderOrganisation, c.org)
	}
	c.header.Set(platform.HeaderPriority, strconv.Itoa(min(max(priority, 0), platform.LowestPriority)))
	return true
}

// deadline returns the time that the caller grants.
func deadline(header http.Header) time.Duration {
	ms, err := strconv.ParseFloat(header.Get(platform.HeaderDeadline), 64)
	if err != nil || ms <= 0 || ms > float64(24*time.Hour/time.Millisecond) {
		return defaultDeadline
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// with gives f the dispatcher, which only one goroutine may use at a time.
func (g *Gate) with(f func(now time.Time, d *dispatch.Dispatcher)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(time.Now(), g.dispatcher)
}

func (g *Gate) pick(need dispatch.Request) (choice *dispatch.Choice, refusal *dispatch.Refusal) {
	g.with(func(now time.Time, d *dispatch.Dispatcher) { choice, refusal = d.Pick(now, need) })
	return choice, refusal
}

// told takes in what a server says of itself with an answer.
func (g *Gate) told(choice *dispatch.Choice, header http.Header) {
	load := strings.Split(header.Get(platform.HeaderLoad), ",")
	cold, coldErr := strconv.ParseFloat(header.Get(platform.HeaderColdRemaining), 64)
	g.with(func(now time.Time, d *dispatch.Dispatcher) {
		d.RecordActivity(now, choice)
		if len(load) == 3 {
			running, err1 := strconv.Atoi(strings.TrimSpace(load[0]))
			waiting, err2 := strconv.Atoi(strings.TrimSpace(load[1]))
			slots, err3 := strconv.Atoi(strings.TrimSpace(load[2]))
			if err1 == nil && err2 == nil && err3 == nil {
				d.RecordLoad(now, choice, running, waiting, slots)
			}
		}
		if coldErr == nil {
			d.RecordCold(now, choice, time.Duration(cold*float64(time.Millisecond)))
		}
	})
}

// connections is this instance's part of the connections that a server of the service accepts.
func (g *Gate) connections(view *View, service string) int {
	s := view.Table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	share := 1
	g.with(func(_ time.Time, d *dispatch.Dispatcher) {
		share = s.MaxConnections / (d.Instances() + 1) // one more: an instance that has just started knows of the others first
	})
	return max(1, share)
}

// readAll reads a body of at most limit bytes. errTooLong is returned with what was read of a longer one.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	return body, err
}

var errTooLong = errors.New("the body is longer than what is held back")
