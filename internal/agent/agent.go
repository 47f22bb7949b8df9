// Package agent is the process beside a backend server. It announces the server, admits no more work than the server
// bears, runs an attempt at most once, drains and fences, so that these hold even for servers that check nothing and
// while entry instances cannot see each other.
package agent

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/limits"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// probeInterval is how often the backend server's health page is asked.
	probeInterval = time.Second
	// maxFailedProbes is how many probes in a row fail before the server counts as down.
	maxFailedProbes = 2
	drainPoll       = 20 * time.Millisecond
	// leaveGrace lets entry instances learn that the server is leaving before the agent ends.
	leaveGrace = 500 * time.Millisecond
	// loadSteps is the number of steps in which the running requests of a full server are told: 300 servers that tell each
	// request every 2 s cost an entry instance 21.7 KB/s of its 28 KB/s.
	loadSteps = 8
	// timeStep is the share by which a time has to change to be told, and timeFloor the least change.
	timeStep  = 0.25
	timeFloor = 10 * time.Millisecond
)

// RefreshIntervals is the number of report intervals after which a load report is repeated without news. The death of an
// agent shows in the heartbeats of its sessions, not in missing reports.
const RefreshIntervals = 5

// Config holds the settings of an agent.
type Config struct {
	fleet.Announcement
	BackendURL      string
	FirstTokenBound time.Duration
	KeepAnswers     int // bytes
	KeepAnswersFor  time.Duration
	ReportInterval  time.Duration
	// Dial opens connections to the backend server. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Sessions keeps sessions to the entry instances of the data centre.
type Sessions interface {
	// Set replaces the addresses to be connected to.
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

	mu       sync.Mutex
	limiter  *limits.Limiter
	down     bool
	failed   int // probes in a row
	refused  uint64
	sequence uint64
	told     fleet.Load // newest load that the entry instances were told
	toldAt   time.Time
	engine   engineLoad    // as the engine last told
	models   []fleet.Model // that the engine has loaded; replaced, never changed
	revision uint64        // newest agreed state heard of
	seeds    []string
	rosters  map[fleet.InstanceID][]string // entry instances that each entry instance named last

	draining  atomic.Bool // by a planned stop of the agent
	withdrawn atomic.Bool // by the agreed state
	report    chan struct{}
}

var _ transport.Handler = (*Agent)(nil)

// New returns an agent that is not connected yet.
func New(config Config) (*Agent, error) {
	backend, err := newBackend(config.BackendURL, config.Dial)
	if err != nil {
		return nil, err
	}
	return &Agent{
		config:   config,
		backend:  backend,
		attempts: newAttemptTable(config.KeepAnswers, config.KeepAnswersFor),
		orders:   newOrderTable(),
		meter:    newMeter(),
		limiter: limits.New(limits.Config{FirstTokenBound: config.FirstTokenBound, Capacity: config.Capacity},
			time.Now(), config.Incarnation),
		models:  config.Models,
		rosters: make(map[fleet.InstanceID][]string),
		report:  make(chan struct{}, 1),
	}, nil
}

// Run keeps sessions to entry instances and reports load until the context ends; then it drains. It returns when the
// last attempt has ended or drain has passed.
func (a *Agent) Run(ctx context.Context, sessions Sessions, addresses []string, drain time.Duration) {
	a.sessions = sessions
	a.seeds = addresses
	a.mu.Lock()
	a.connect()
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
			a.drain(drain)
			sessions.Close("the agent has stopped")
			return
		case now := <-ticker.C:
			if a.reportDue(now) {
				a.sendLoad()
			}
		case <-a.report:
			a.sendLoad()
		case <-probe.C:
			a.probe(ctx)
		}
	}
}

// drain tells entry instances that the server takes no new work and waits for the running attempts.
func (a *Agent) drain(limit time.Duration) {
	a.draining.Store(true)
	a.sendLoad()
	a.sessions.Each(func(s transport.Session) { s.GoAway("the agent is stopping") })
	deadline := time.Now().Add(limit)
	grace := time.Now().Add(leaveGrace)
	for time.Now().Before(deadline) {
		if a.attempts.running() == 0 && time.Now().After(grace) {
			return
		}
		time.Sleep(drainPoll)
	}
	log.WithField("running", a.attempts.running()).Error("drain timeout passed: requests are cut; raise drainTimeout")
}

// admit returns why an attempt may not run now, or "" after it has taken a slot.
func (a *Agent) admit(now time.Time) (limits.Ticket, string) {
	if a.leaving() {
		return limits.Ticket{}, "the backend server is leaving: choose another one"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.refused++
		return limits.Ticket{}, "the backend server does not answer: choose another one"
	}
	ticket, refusal := a.limiter.Admit(now)
	a.tellLowerLimit()
	if refusal != limits.Admitted {
		a.refused++
		return limits.Ticket{}, "the backend server is at its limit (" + refusal.String() + "): choose another one"
	}
	return ticket, ""
}

func (a *Agent) leaving() bool { return a.draining.Load() || a.withdrawn.Load() }

func (a *Agent) firstToken(ticket *limits.Ticket, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.FirstToken(time.Now(), ticket, after)
	a.tellLowerLimit()
}

func (a *Agent) finished(ticket *limits.Ticket, outcome limits.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Finished(time.Now(), ticket, outcome, 0)
	a.tellLowerLimit()
}

// tellLowerLimit sends a load report soon if the limit has fallen below what the entry instances know. The caller holds
// the lock.
func (a *Agent) tellLowerLimit() {
	if a.limiter.Limit() < a.told.Limit {
		a.requestReport()
	}
}

// load returns the current load report.
func (a *Agent) load(now time.Time) fleet.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.measure(now)
}

// measure returns the current load under the newest sequence number. The caller holds the lock.
func (a *Agent) measure(now time.Time) fleet.Load {
	a.limiter.Tick(now)
	load := fleet.Load{
		Server:            a.config.Server,
		Incarnation:       a.config.Incarnation,
		Sequence:          a.sequence,
		Running:           a.limiter.InFlight(),
		Limit:             a.limiter.Limit(),
		TimeToFirstToken:  a.meter.firstTokenTime(),
		InterTokenLatency: a.meter.tokenInterval(),
		Phase:             a.limiter.ServerPhase(),
		Refused:           a.refused,
		KVUsed:            a.engine.KVUsed,
		StepTime:          a.engine.StepTime,
	}
	if a.down {
		load.Phase, load.Limit = fleet.PhaseStarting, 0
	}
	if a.leaving() {
		load.Phase = fleet.PhaseDraining
	}
	return load
}

// reportDue reports whether the entry instances have to be told the current load.
func (a *Agent) reportDue(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.measure(now)
	// Half an interval of slack, so that a late tick does not put the report off by a whole one.
	return now.Sub(a.toldAt) >= RefreshIntervals*a.config.ReportInterval-a.config.ReportInterval/2 || Differs(&a.told, &load)
}

// Differs reports whether a load differs from the one told before by so much that routing has to know. A server that
// has become full or is no longer full, any lower limit and any change of phase are told; other figures in steps.
func Differs(told, load *fleet.Load) bool {
	return load.Phase != told.Phase || load.Limit < told.Limit ||
		(load.Running >= load.Limit) != (told.Running >= told.Limit) ||
		step(load.Running-told.Running, load.Limit) || step(load.Limit-told.Limit, load.Limit) ||
		timeDiffers(told.TimeToFirstToken, load.TimeToFirstToken) || timeDiffers(told.InterTokenLatency, load.InterTokenLatency) ||
		timeDiffers(told.StepTime, load.StepTime) || math.Abs(load.KVUsed-told.KVUsed) >= 1.0/loadSteps
}

// step reports whether a change of a number of requests is worth a report at the limit. Up to a limit of 15, each is.
func step(change, limit int) bool { return max(change, -change) >= max(limit/loadSteps, 1) }

func timeDiffers(told, now time.Duration) bool {
	change := (now - told).Abs()
	return change >= timeFloor && float64(change) >= timeStep*float64(told)
}

func (a *Agent) sendLoad() {
	now := time.Now()
	report := &protocol.Load{Load: a.load(now)}
	a.mu.Lock()
	a.told, a.toldAt = report.Load, now
	a.mu.Unlock()
	a.sessions.Each(func(s transport.Session) { _ = s.Send(report) })
}

// requestReport sends a load report soon.
func (a *Agent) requestReport() {
	select {
	case a.report <- struct{}{}:
	default:
	}
}

// probe asks the server's health page. A server that answers again has started anew, so its limit starts low.
func (a *Agent) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	healthy := a.backend.healthy(ctx)
	engine, told := engineLoad{}, false
	if healthy && a.config.Kind == fleet.KindEngine {
		engine, told = a.backend.load(ctx)
	}
	if ctx.Err() == context.Canceled {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if told {
		a.engine = engine
	}
	switch {
	case healthy && a.down:
		a.down, a.failed = false, 0
		a.limiter.Reset(time.Now(), fleet.Incarnation(time.Now().UnixNano()))
		a.requestReport()
		log.Info("the backend server answers; slow start")
	case healthy:
		a.failed = 0
	default:
		a.failed++
		if a.failed >= maxFailedProbes && !a.down {
			a.down = true
			a.requestReport()
			log.Warn("the backend server does not answer its health page; it gets no new work until it does")
		}
	}
}

// backendFailed notes that the server refused a connection.
func (a *Agent) backendFailed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.down = true
		a.requestReport()
		log.Warn("the backend server refuses connections; it gets no new work until its health page answers")
	}
}

// announce returns the announcement with the models that the engine has loaded by now.
func (a *Agent) announce() *protocol.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	announcement := a.config.Announcement
	announcement.Models = a.models
	return &protocol.Announce{Announcement: announcement}
}

// SessionOpened implements transport.Handler.
func (a *Agent) SessionOpened(s transport.Session) {
	_ = s.Send(a.announce())
	_ = s.Send(&protocol.Load{Load: a.load(time.Now())})
}

// StateChanged implements transport.Handler.
func (a *Agent) StateChanged(s transport.Session, state transport.State) {
	if state == transport.StateClosed {
		a.mu.Lock()
		delete(a.rosters, s.Peer().Instance)
		a.mu.Unlock()
	}
	log.WithFields(log.Fields{"peer": s.Peer().Instance, "state": state}).Debug("session changed")
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
		go func() { _ = s.Send(a.order(message)) }()
	}
}

// inquire answers what became of an attempt. Nothing is known of other boots.
func (a *Agent) inquire(question *protocol.Inquire) protocol.Inquiry {
	if question.Boot != a.config.Incarnation {
		return protocol.Inquiry{Attempt: question.Attempt, Outcome: protocol.OutcomeUnknown}
	}
	return a.attempts.inquire(question.Attempt, question.Answer, time.Now())
}

// applyRoster takes over whether the server is withdrawn, unless another instance had a newer state, and connects to all
// entry instances that any of them names: one that has just started does not know all others yet.
func (a *Agent) applyRoster(from fleet.InstanceID, m *protocol.Roster) {
	a.orders.raise(m.Fencing)
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
	a.connect()
}

// Revision returns the newest agreed state that the agent has heard of, for its greeting.
func (a *Agent) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision
}

// connect sets the addresses of the sessions. The caller holds the lock.
func (a *Agent) connect() {
	addresses := slices.Clone(a.seeds)
	for _, roster := range a.rosters {
		addresses = append(addresses, roster...)
	}
	slices.Sort(addresses)
	a.sessions.Set(slices.Compact(addresses))
}
