// Package agent implements the process that runs beside a backend server. It announces the server, enforces its
// concurrency limit, runs each attempt at most once, drains, and fences orders. These guarantees therefore hold even if the
// server itself checks nothing, and while entry instances are partitioned from each other.
package agent

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/limits"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// probeInterval is the interval between requests to the backend server's health page.
	probeInterval = time.Second
	// maxFailedProbes is the number of consecutive failed probes after which the server counts as down.
	maxFailedProbes   = 2
	drainPollInterval = 20 * time.Millisecond
	// minDrainTime gives entry instances time to receive the draining report before the agent exits.
	minDrainTime = 500 * time.Millisecond
	// loadSteps is the number of steps into which a server's limit is divided for reports of running requests. Without
	// steps, 300 servers that report each request every 2 s cost an entry instance 21.7 KB/s of its 28 KB/s.
	loadSteps = 8
	// timeChangeRatio is the least relative change of a duration that is reported, minTimeChange the least absolute one.
	timeChangeRatio = 0.25
	minTimeChange   = 10 * time.Millisecond
)

// RefreshIntervals is the number of report intervals after which a load report is repeated even if nothing has changed.
// The failure of an agent is detected by the heartbeats of its sessions, not by missing reports.
const RefreshIntervals = 5

// Config holds the settings of an agent.
type Config struct {
	fleet.Announcement
	BackendURL          string
	FirstTokenBound     time.Duration
	MaxKeptAnswersBytes int
	AnswerRetention     time.Duration
	ReportInterval      time.Duration
	// Dial opens connections to the backend server. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Sessions maintains sessions to the entry instances of the data centre.
type Sessions interface {
	// Set replaces the addresses to connect to.
	Set(addresses []string)
	// Each calls f for each live session.
	Each(f func(transport.Session))
	// Close ends all sessions.
	Close(reason string)
}

// Agent serves attempts and orders for one backend server.
type Agent struct {
	config   Config
	backend  *backend
	attempts *attemptTable
	orders   *orderTable
	meter    *meter
	sessions Sessions

	mu           sync.Mutex
	limiter      *limits.Limiter
	namedLimit   grants.NamedLimit // by the backend server, in its responses
	down         bool
	failedProbes int // consecutive
	refused      uint64
	sequence     uint64
	reported     fleet.Load // newest load sent to the entry instances
	reportedAt   time.Time
	engineLoad   engineLoad    // as the engine last reported
	models       []fleet.Model // loaded by the engine; replaced, never modified in place
	revision     uint64        // of the newest agreed state received
	seeds        []string
	rosters      map[fleet.InstanceID][]string // last roster of addresses from each entry instance

	draining        atomic.Bool // planned stop of the agent
	withdrawn       atomic.Bool // as the agreed state says
	reportRequested chan struct{}
}

var _ transport.Handler = (*Agent)(nil)

// New returns an agent without sessions. It fails if BackendURL is not an absolute URL.
func New(config Config) (*Agent, error) {
	backend, err := newBackend(config.BackendURL, config.Dial)
	if err != nil {
		return nil, err
	}
	return &Agent{
		config:   config,
		backend:  backend,
		attempts: newAttemptTable(config.MaxKeptAnswersBytes, config.AnswerRetention),
		orders:   newOrderTable(),
		meter:    newMeter(),
		limiter: limits.New(limits.Config{FirstTokenBound: config.FirstTokenBound, Capacity: config.Capacity},
			time.Now(), config.Incarnation),
		models:          config.Models,
		rosters:         make(map[fleet.InstanceID][]string),
		reportRequested: make(chan struct{}, 1),
	}, nil
}

// Run maintains sessions to entry instances and reports load until the context ends; then it drains. It returns when the
// last attempt has ended or the drain timeout has passed.
func (a *Agent) Run(ctx context.Context, sessions Sessions, addresses []string, drainTimeout time.Duration) {
	a.sessions = sessions
	a.seeds = addresses
	a.mu.Lock()
	a.updateAddresses()
	a.mu.Unlock()
	ticker := time.NewTicker(a.config.ReportInterval)
	defer ticker.Stop()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	defer a.backend.close()
	a.probe(ctx)
	for {
		select {
		case <-ctx.Done():
			a.drain(drainTimeout)
			sessions.Close("the agent has stopped")
			return
		case now := <-ticker.C:
			if a.reportDue(now) {
				a.sendLoad()
			}
		case <-a.reportRequested:
			a.sendLoad()
		case <-probe.C:
			a.probe(ctx)
		}
	}
}

// drain reports to entry instances that the server accepts no new work, and waits up to limit for running attempts.
func (a *Agent) drain(limit time.Duration) {
	a.draining.Store(true)
	a.sendLoad()
	a.sessions.Each(func(s transport.Session) { s.GoAway("the agent is stopping") })
	deadline := time.Now().Add(limit)
	minEnd := time.Now().Add(minDrainTime)
	for time.Now().Before(deadline) {
		if a.attempts.running() == 0 && time.Now().After(minEnd) {
			return
		}
		time.Sleep(drainPollInterval)
	}
	log.WithField("running", a.attempts.running()).Error("drain timed out: running requests are aborted; raise drainTimeout")
}

// refusal says why an attempt may not run now, and when it may be tried on this server again.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// refuse returns a refusal with the usual time.
func refuse(reason string) *refusal { return &refusal{reason, refusedRetryAfter} }

// end returns the end of an attempt that was refused.
func (r *refusal) end() protocol.End {
	return protocol.End{Outcome: protocol.OutcomeNotRun, Reason: r.reason, RetryAfterMS: r.retryAfter.Milliseconds()}
}

// admit takes a slot for an attempt, or returns why the attempt may not run now.
func (a *Agent) admit(now time.Time) (limits.Ticket, *refusal) {
	if a.drainingOrWithdrawn() {
		return limits.Ticket{}, refuse("the backend server is leaving: choose another one")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.refused++
		return limits.Ticket{}, refuse("the backend server does not answer: choose another one")
	}
	if admitted, retryAfter := a.namedLimit.Admit(now); !admitted {
		a.refused++
		return limits.Ticket{}, &refusal{"the backend server has named a limit of requests a second: choose another one", retryAfter}
	}
	ticket, refused := a.limiter.Admit(now)
	a.reportLowerLimit()
	if refused != limits.Admitted {
		a.refused++
		return limits.Ticket{}, refuse("the backend server is at its limit (" + refused.String() + "): choose another one")
	}
	return ticket, nil
}

// recordNamedLimit records the limit that the server named in its response to a request sent at a time, or that it named none.
func (a *Agent) recordNamedLimit(sentAt time.Time, status int, header http.Header) {
	requestsPerSecond := 0.0
	if text := header.Get(headerServerLimit); text != "" {
		parsed, ok := grants.ParseLimit(text)
		if !ok {
			log.WithField("value", text).Warn("the backend server names a limit that is no number")
			return
		}
		requestsPerSecond = parsed
	} else if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return // a rejection need not name the limit
	}
	a.mu.Lock()
	changed := a.namedLimit.Record(time.Now(), sentAt, requestsPerSecond)
	a.mu.Unlock()
	if changed {
		log.WithField("requestsPerSecond", requestsPerSecond).Info("the backend server has begun or ceased to name a limit of requests; 0 is none")
	}
}

// drainingOrWithdrawn reports whether the server must not accept new attempts.
func (a *Agent) drainingOrWithdrawn() bool { return a.draining.Load() || a.withdrawn.Load() }

func (a *Agent) recordFirstToken(ticket *limits.Ticket, timeToFirstToken time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.FirstToken(time.Now(), ticket, timeToFirstToken)
	a.reportLowerLimit()
}

func (a *Agent) recordFinished(ticket *limits.Ticket, outcome limits.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Finished(time.Now(), ticket, outcome, 0)
	a.reportLowerLimit()
}

// reportLowerLimit requests a load report if the limit has fallen below the last reported one. The caller must hold a.mu.
func (a *Agent) reportLowerLimit() {
	if a.limiter.Limit() < a.reported.Limit {
		a.requestReport()
	}
}

// nextLoad returns the current load under a new sequence number.
func (a *Agent) nextLoad(now time.Time) fleet.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.currentLoad(now)
}

// currentLoad returns the current load under the newest sequence number. The caller must hold a.mu.
func (a *Agent) currentLoad(now time.Time) fleet.Load {
	a.limiter.Tick(now)
	load := fleet.Load{
		Server:            a.config.Server,
		Incarnation:       a.config.Incarnation,
		Sequence:          a.sequence,
		Running:           a.limiter.InFlight(),
		Limit:             a.limiter.Limit(),
		TimeToFirstToken:  a.meter.timeToFirstToken(),
		InterTokenLatency: a.meter.interTokenLatency(),
		Phase:             a.limiter.ServerPhase(),
		Refused:           a.refused,
		KVUsed:            a.engineLoad.KVUsed,
		StepTime:          a.engineLoad.StepTime,
	}
	if a.down {
		load.Phase, load.Limit = fleet.PhaseStarting, 0
	}
	if a.drainingOrWithdrawn() {
		load.Phase = fleet.PhaseDraining
	}
	return load
}

// reportDue reports whether the current load has to be sent to the entry instances.
func (a *Agent) reportDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.currentLoad(now)
	// Half an interval of slack, so that a late tick does not delay the refresh by a whole interval.
	return now.Sub(a.reportedAt) >= RefreshIntervals*a.config.ReportInterval-a.config.ReportInterval/2 || SignificantChange(&a.reported, &load)
}

// SignificantChange reports whether a load differs from the last reported one by enough to matter for routing. It does if
// the server has become full or is no longer full, the limit is lower or the phase has changed; changes of other figures
// count from a threshold on.
func SignificantChange(reported, load *fleet.Load) bool {
	return load.Phase != reported.Phase || load.Limit < reported.Limit ||
		(load.Running >= load.Limit) != (reported.Running >= reported.Limit) ||
		countDiffers(load.Running-reported.Running, load.Limit) || countDiffers(load.Limit-reported.Limit, load.Limit) ||
		timeDiffers(reported.TimeToFirstToken, load.TimeToFirstToken) || timeDiffers(reported.InterTokenLatency, load.InterTokenLatency) ||
		timeDiffers(reported.StepTime, load.StepTime) || math.Abs(load.KVUsed-reported.KVUsed) >= 1.0/loadSteps
}

// countDiffers reports whether a change of a number of requests is large enough for a report, given the limit. Up to a
// limit of 15, each change is.
func countDiffers(change, limit int) bool { return max(change, -change) >= max(limit/loadSteps, 1) }

func timeDiffers(reported, current time.Duration) bool {
	change := (current - reported).Abs()
	return change >= minTimeChange && float64(change) >= timeChangeRatio*float64(reported)
}

func (a *Agent) sendLoad() {
	now := time.Now()
	report := &protocol.Load{Load: a.nextLoad(now)}
	a.mu.Lock()
	a.reported, a.reportedAt = report.Load, now
	a.mu.Unlock()
	a.sessions.Each(func(s transport.Session) { _ = s.Send(report) })
}

// requestReport makes Run send a load report without waiting for the next interval.
func (a *Agent) requestReport() {
	select {
	case a.reportRequested <- struct{}{}:
	default:
	}
}

// probe requests the server's health page, and the load of an engine. A server that answers again is assumed to have
// restarted, so its limit restarts low.
func (a *Agent) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	healthy := a.backend.healthy(ctx)
	engine, ok := engineLoad{}, false
	if healthy && a.config.Kind == fleet.KindEngine {
		engine, ok = a.backend.load(ctx)
	}
	if ctx.Err() == context.Canceled {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		a.engineLoad = engine
	}
	switch {
	case healthy && a.down:
		a.down, a.failedProbes = false, 0
		a.limiter.Reset(time.Now(), fleet.Incarnation(time.Now().UnixNano()))
		a.requestReport()
		log.Info("the backend server answers its health page again; slow start")
	case healthy:
		a.failedProbes = 0
	default:
		a.failedProbes++
		if a.failedProbes >= maxFailedProbes && !a.down {
			a.down = true
			a.requestReport()
			log.Warn("the backend server does not answer its health page; it gets no new work until it does")
		}
	}
}

// markDown records that the server refused a connection.
func (a *Agent) markDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.down = true
		a.requestReport()
		log.Warn("the backend server refuses connections; it gets no new work until its health page answers")
	}
}

// announcement returns the configured announcement with the models that the engine has loaded by now.
func (a *Agent) announcement() *protocol.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	announcement := a.config.Announcement
	announcement.Models = a.models
	return &protocol.Announce{Announcement: announcement}
}

// SessionOpened implements transport.Handler.
func (a *Agent) SessionOpened(s transport.Session) {
	_ = s.Send(a.announcement())
	_ = s.Send(&protocol.Load{Load: a.nextLoad(time.Now())})
}

// StateChanged implements transport.Handler.
func (a *Agent) StateChanged(s transport.Session, state transport.State) {
	if state == transport.StateClosed {
		a.mu.Lock()
		delete(a.rosters, s.Peer().Instance)
		a.mu.Unlock()
	}
	log.WithFields(log.Fields{"peer": s.Peer().Instance, "state": state}).Debug("session state changed")
}

// MessageReceived implements transport.Handler.
func (a *Agent) MessageReceived(s transport.Session, m protocol.Message) {
	switch message := m.(type) {
	case *protocol.Roster:
		a.applyRoster(s.Peer().Instance, message)
	case *protocol.Inquire:
		answer := a.inquire(message)
		_ = s.Send(&answer)
	case *protocol.Order:
		go func() { _ = s.Send(a.runOrder(message)) }()
	}
}

// inquire answers an inquiry about the outcome of an attempt. There are no records of attempts of other incarnations.
func (a *Agent) inquire(message *protocol.Inquire) protocol.InquiryResult {
	if message.Incarnation != a.config.Incarnation {
		return protocol.InquiryResult{Attempt: message.Attempt, Outcome: protocol.OutcomeUnknown}
	}
	return a.attempts.inquire(message.Attempt, message.WantAnswer, time.Now())
}

// applyRoster records whether the roster withdraws the server, unless the roster is older than one received before. It
// connects to the union of all rosters: an entry instance that has just started does not list all others yet.
func (a *Agent) applyRoster(from fleet.InstanceID, m *protocol.Roster) {
	a.orders.raiseFencing(m.Fencing)
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Revision >= a.revision {
		a.revision = m.Revision
		if a.withdrawn.Swap(m.Draining) != m.Draining {
			a.requestReport()
		}
	}
	if len(m.Addresses) == 0 || slices.Equal(a.rosters[from], m.Addresses) {
		return
	}
	a.rosters[from] = m.Addresses
	a.updateAddresses()
}

// Revision returns the revision of the newest agreed state that the agent has received. It is sent in Hello.
func (a *Agent) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision
}

// updateAddresses sets the addresses of the sessions. The caller must hold a.mu.
func (a *Agent) updateAddresses() {
	addresses := slices.Clone(a.seeds)
	for _, roster := range a.rosters {
		addresses = append(addresses, roster...)
	}
	slices.Sort(addresses)
	a.sessions.Set(slices.Compact(addresses))
}
