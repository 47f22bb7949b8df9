// Package edge runs an entry instance for backend servers without agents: it accepts callers' HTTP/1.1 requests, matches
// them with routes, and forwards each to a server of the route's service.
package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/backendhttp"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// maxBufferedBytes limits a response body that is buffered until it is complete; a longer one is forwarded as it arrives.
	maxBufferedBytes = 256 << 10
	// defaultBodyBytes limits a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// defaultTimeout applies to a request without a valid deadline header.
	defaultTimeout = 30 * time.Second
	// startupRetryAfter is the Retry-After before a configuration has been received: startup takes about a second.
	startupRetryAfter = time.Second
	// unconfirmedRetryAfter is the Retry-After of an instance that cannot tell whether it has the newest configuration.
	unconfirmedRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After of an instance that stops: others serve its callers already.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Config sets the parameters of a Proxy.
type Config struct {
	Instance string
	Seeds    []string // inner addresses of control instances from the settings
	Dispatch dispatch.Config
	Decode   func(body []byte) (*routes.Configuration, error)
	Dial     func(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc
	Hello    func() protocol.Hello
	// DigestKey is the key of the digests by which requests that come again are recognised, the same on all instances.
	DigestKey []byte
	// Gate limits what callers can make the process hold; nil for the limits of the machine.
	Gate *intake.Gate
}

// Proxy forwards the requests of callers to backend servers.
type Proxy struct {
	*fleetState
	client   *backendhttp.Client
	stopping atomic.Pointer[stopPlan] // nil until Stop
	ended    context.Context          // ends with EndCalls
	endCalls context.CancelFunc
	cutOff   atomic.Bool // see dispatch.Dispatcher.UpdateCutOff
	inFlight atomic.Int64
}

// stopPlan holds the times of a stop.
type stopPlan struct {
	lateFrom time.Time // when other instances have taken over the callers
	end      time.Time // when open calls are ended
}

// New returns a proxy without a configuration and servers; Run receives them.
func New(config Config) *Proxy {
	if config.Gate == nil {
		config.Gate = intake.NewGate(process.MachineLimits())
	}
	p := &Proxy{fleetState: newFleetState(config), client: backendhttp.NewClient(platform.HeaderRequestID)}
	p.ended, p.endCalls = context.WithCancel(context.Background())
	return p
}

// Run applies the updates of the control instances and looks for the return of lost data centres until the context ends.
func (p *Proxy) Run(ctx context.Context) {
	var probing sync.WaitGroup
	probing.Go(func() { p.probeLostDataCentres(ctx) })
	p.run(ctx)
	probing.Wait()
}

// Ready reports whether the proxy accepts new callers.
func (p *Proxy) Ready() bool {
	return p.view.Load() != nil && p.stopping.Load() == nil && !p.cutOff.Load()
}

// Stop makes the proxy ask callers to close their connections. Requests that still arrive are served. Those that arrive
// whole after lateFrom are refused as not run if they might be unfinished at end.
func (p *Proxy) Stop(lateFrom, end time.Time) { p.stopping.Store(&stopPlan{lateFrom, end}) }

// EndCalls ends the open calls at once: each gets the final response that is true of it, or has its stream cut.
func (p *Proxy) EndCalls() { p.endCalls() }

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// CloseIdle closes connections to servers that have been idle for too long to be reused.
func (p *Proxy) CloseIdle(now time.Time) { p.client.CloseIdle(now) }

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if p.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c := &call{proxy: p, w: w, r: r, id: r.Header.Get(platform.HeaderRequestID), arrived: time.Now(), view: p.view.Load()}
	c.waitsSince = c.arrived
	defer func() {
		c.body.Close()
		c.logEnd()
		p.recordMetrics(c)
	}()
	if !c.admit() {
		return
	}
	if plan := p.stopping.Load(); plan != nil && time.Now().After(plan.lateFrom) && c.deadline.After(plan.end) {
		c.outcome = "refused:stopping"
		c.respondLocally(http.StatusServiceUnavailable, stoppingRetryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(p.ended, cancel)()
	c.ctx = ctx
	p.withDispatcher(func(_ time.Time, d *dispatch.Dispatcher) {
		d.RecordRequest(c.arrived, c.service)
		d.RecordArrival(c.arrived, c.service, c.priority)
	})
	p.parts.recordRequest(c)
	if c.route.Kind == routes.Stream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// admit determines the route and the organisation of a call and reads its body. It responds itself to calls that it
// rejects, and reports false for them.
func (c *call) admit() bool {
	if c.view == nil {
		c.outcome = "no_configuration"
		c.respondLocally(http.StatusServiceUnavailable, startupRetryAfter)
		return false
	}
	var denied *denial
	c.priority, denied = c.match()
	for denied != nil {
		newer, confirmed := c.proxy.awaitConfirmation(c.r.Context(), c.view, c.arrived)
		if newer == nil {
			c.deny(*denied, confirmed)
			return false
		}
		c.view = newer
		c.priority, denied = c.match()
	}
	requested := requestedTimeout(c.r.Header)
	c.deadline = c.arrived.Add(min(requested, c.route.Timeout))
	// A caller that retries after a wait sends less than the route's timeout as the remaining time.
	c.objectiveMissed = c.route.Objective > 0 && requested < c.route.Timeout-c.route.Objective
	c.service = c.route.ChooseService(rand.Float64())
	limit := c.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	var err error
	c.body, err = c.proxy.config.Gate.ReadBody(c.w, c.r, intake.BodyLimits{Owner: c.organisation, Bytes: limit, Until: c.deadline})
	if err != nil {
		c.refuseBody(err)
		return false
	}
	c.promptParts = quarantine.PartsOf(platform.SharedPromptParts(c.r.Header.Get(platform.HeaderPrompt)))
	c.parts = sync.OnceValue(func() []string { return append(slices.Clone(c.promptParts), quarantine.RequestPart(c.digest())) })
	c.header = backendhttp.EndToEnd(c.r.Header)
	for _, name := range []string{platform.HeaderKey, platform.HeaderOrganisation, platform.HeaderExpectServer, "Expect"} {
		delete(c.header, http.CanonicalHeaderKey(name))
	}
	if c.organisation != "" {
		c.header.Set(platform.HeaderOrganisation, c.organisation)
	}
	c.header.Set(platform.HeaderPriority, strconv.Itoa(min(max(c.priority, 0), platform.LowestPriority)))
	return true
}

// refuseBody responds to a call whose body was not read.
func (c *call) refuseBody(err error) {
	c.lastError = err.Error()
	switch {
	case errors.Is(err, intake.ErrTooLong):
		_, confirmed := c.proxy.awaitConfirmation(c.r.Context(), c.view, c.arrived)
		c.deny(denial{"too_large", http.StatusRequestEntityTooLarge}, confirmed)
	case errors.Is(err, intake.ErrNoRoom):
		c.outcome = "refused:no_memory"
		c.respondLocally(http.StatusServiceUnavailable, intake.RetryAfter)
	case errors.Is(err, intake.ErrTooSlow):
		c.outcome = "refused:body_too_slow"
		c.respondLocally(http.StatusRequestTimeout, 0)
	default:
		c.outcome = "incomplete_request"
		panic(http.ErrAbortHandler)
	}
}

// denial is the final response to a call that the configuration does not allow.
type denial struct {
	outcome string
	status  int
}

// match finds the route and the organisation of a call in its view. It returns the priority of the call, and how the call is to be
// denied if the view does not allow it.
func (c *call) match() (priority int, denied *denial) {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route, c.organisation = c.view.Table.Route(c.r.Host, path), ""
	if c.route == nil {
		return 0, &denial{"no_route", http.StatusNotFound}
	}
	priority = c.route.Priority
	if c.view.Table.HasOrganisations() {
		organisation := c.view.Table.Organisation(c.r.Header.Get(platform.HeaderKey))
		if organisation == nil && !c.route.Public {
			return 0, &denial{"unknown_key", http.StatusUnauthorized}
		}
		if organisation != nil {
			c.organisation = organisation.Name
			if organisation.Priority != nil {
				priority = *organisation.Priority
			}
		}
	}
	return priority, nil
}

// deny responds to a call that its view does not allow. Unless the view is confirmed as the newest one, the call is only refused:
// another instance may know the change that allows it.
func (c *call) deny(d denial, confirmed bool) {
	c.denied = true
	if !confirmed {
		c.outcome = "refused:unconfirmed"
		c.respondLocally(http.StatusServiceUnavailable, unconfirmedRetryAfter)
		return
	}
	c.outcome = d.outcome
	c.respondLocally(d.status, 0)
}

// requestedTimeout returns the time until the deadline that the caller set, or the default.
func requestedTimeout(header http.Header) time.Duration {
	if timeout, ok := platform.ParseHeaderTime(header.Get(platform.HeaderDeadline), time.Millisecond); ok && timeout > 0 {
		return timeout
	}
	return defaultTimeout
}

// withDispatcher calls f with the dispatcher while holding the lock: the dispatcher is not safe for concurrent use.
func (p *Proxy) withDispatcher(f func(now time.Time, d *dispatch.Dispatcher)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(time.Now(), p.dispatcher)
}

// pick chooses the server for an attempt, and asks for permits if the choice needs more of them. If there is no server while
// permits are asked for, answered is closed once they are granted or refused.
func (p *Proxy) pick(request dispatch.Request) (choice *dispatch.Choice, refusal *dispatch.Refusal, answered <-chan struct{}) {
	wanted, limited := 0, 0
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) {
		choice, refusal = d.Pick(now, request)
		if wanted = d.PermitsWanted(now, request.Service); wanted > 0 {
			limited = d.LimitedServers(request.Service)
		}
		if refusal != nil && d.AwaitsPermits(now, request.Service) {
			answered = p.awaitPermits(request.Service)
		}
	})
	if wanted > 0 {
		p.requestPermits(request.Service, wanted, limited)
	}
	return choice, refusal, answered
}

// recordReport records a response as activity of its server, with the load, cold time and limit reported in its headers.
func (p *Proxy) recordReport(choice *dispatch.Choice, response *backendhttp.Response) {
	header := response.Header
	load := strings.Split(header.Get(platform.HeaderLoad), ",")
	cold, isCold := platform.ParseHeaderTime(header.Get(platform.HeaderColdRemaining), time.Millisecond)
	p.recordServerLimit(choice, response)
	p.recordWishes(choice, response)
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) {
		d.RecordActivity(now, choice)
		if len(load) == 3 {
			running, err1 := strconv.Atoi(strings.TrimSpace(load[0]))
			waiting, err2 := strconv.Atoi(strings.TrimSpace(load[1]))
			slots, err3 := strconv.Atoi(strings.TrimSpace(load[2]))
			if err1 == nil && err2 == nil && err3 == nil && min(running, waiting, slots) >= 0 {
				d.RecordLoad(now, choice, running, waiting, slots)
			}
		}
		if isCold {
			d.RecordCold(now, choice, cold)
		}
	})
}

// connectionLimit returns this instance's part of the connections that a server of the service accepts, 0 for no limit.
func (p *Proxy) connectionLimit(view *View, service string) int {
	s := view.Table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	limit := 0
	p.withDispatcher(func(_ time.Time, d *dispatch.Dispatcher) { limit = d.ConnectionLimit(s.MaxConnections) })
	return limit
}

// readAll reads a body of at most limit bytes. For a longer one it returns the bytes read so far and errTooLong. length is that of the
// body, -1 if unknown.
func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 && length <= limit {
		body := make([]byte, length)
		n, err := io.ReadFull(r, body)
		if err == io.EOF && length > 0 {
			err = io.ErrUnexpectedEOF
		}
		return body[:n], err
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	return body, err
}

var errTooLong = errors.New("the body exceeds the buffer limit")
