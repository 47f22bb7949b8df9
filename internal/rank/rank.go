// Package rank runs the process beside one rank of a lock-step group. It reads the engine's state and the demand for its
// experts, which cost nothing on the engine's own machine, tells the control instance that leads, and gives the engine the
// orders that come back.
package rank

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// reportInterval is the pause between two reports. Engines report with a lag of about 200 ms, so more tell no more.
	reportInterval = 120 * time.Millisecond
	// upkeepInterval paces what concerns the control instances.
	upkeepInterval = time.Second
	eventQueue     = 1024
	// prepareInterval is the pause between two questions whether a preparation is complete. They cost nothing here.
	prepareInterval = 40 * time.Millisecond
	// prepareTimeout ends the questions: a preparation that takes longer is given up by the leader.
	prepareTimeout = 10 * time.Second
)

// agent is the process beside a rank. One goroutine owns its state.
type agent struct {
	settings *platform.Settings
	engine   *platform.EngineClient
	pool     *transport.Pool
	events   chan func()
	done     chan struct{}

	sessions  map[transport.Session]*protocol.Controls
	reachable bool
	// told is the session, epoch and map version for which the held experts were sent.
	told struct {
		session transport.Session
		epoch   uint64
		version uint64
	}
}

// Serve runs the process until the context ends.
func Serve(ctx context.Context, s *platform.Settings, link *process.Link, reloads <-chan *platform.Settings) error {
	a := &agent{
		settings: s,
		engine:   platform.NewEngineClient(s.BackendServer),
		events:   make(chan func(), eventQueue),
		done:     make(chan struct{}),
		sessions: map[transport.Session]*protocol.Controls{},
	}
	hello := link.Hello(s.Instance, s.DataCentre, "")
	rankHello := func() protocol.Hello {
		h := hello()
		h.Rank = true
		return h
	}
	a.pool = transport.NewPool(func(address string) transport.ConnectFunc { return link.Dial(address, rankHello, a) }, a)
	log.WithFields(log.Fields{"instance": s.Instance, "engine": s.BackendServer, "seeds": s.SeedControlAddresses()}).Info("rank process serves")
	a.run(ctx, reloads)
	a.pool.Close("the process stops")
	log.WithField("instance", s.Instance).Info("rank process has stopped")
	return nil
}

func (a *agent) run(ctx context.Context, reloads <-chan *platform.Settings) {
	defer close(a.done)
	a.pool.Set(a.controls())
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	upkeep := time.NewTicker(upkeepInterval)
	defer upkeep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-reloads:
			a.settings = next
			a.pool.Set(a.controls())
		case f := <-a.events:
			f()
		case <-upkeep.C:
			a.pool.Set(a.controls())
		case <-report.C:
			a.report(ctx)
		}
	}
}

func (a *agent) post(f func()) {
	select {
	case a.events <- f:
	case <-a.done:
	}
}

// controls returns the inner addresses of the control instances: those of the settings and those that were told.
func (a *agent) controls() []string {
	addresses := a.settings.SeedControlAddresses()
	for _, c := range a.sessions {
		addresses = append(addresses, c.Addresses...)
	}
	return addresses
}

// leader returns the session with the control instance that leads, nil if none is known.
func (a *agent) leader() transport.Session {
	var newest transport.Session
	for session, c := range a.sessions {
		if c.Leader && (newest == nil || c.Term > a.sessions[newest].Term) {
			newest = session
		}
	}
	return newest
}

// report reads the engine and tells the leader. The other control instances learn only the state of the rank, so that they
// can finish a change of map whose leader has failed.
func (a *agent) report(ctx context.Context) {
	leader := a.leader()
	if len(a.sessions) == 0 {
		return
	}
	r, err := a.engine.Report(ctx)
	if reachable := err == nil; reachable != a.reachable {
		a.reachable = reachable
		log.WithFields(log.Fields{"engine": a.settings.BackendServer, "reachable": reachable, "error": errorText(err)}).
			Info("the engine has become reachable or unreachable")
	}
	if err != nil || r.Group == "" {
		return
	}
	m := &protocol.Rank{Service: a.settings.Service, Group: r.Group, Size: r.Size, Address: a.settings.BackendServer, Born: r.Born,
		Report: r.RankReport}
	for session := range a.sessions {
		if session == leader {
			continue
		}
		if err := session.Send(m); err != nil {
			log.WithError(err).Debug("report not sent")
		}
	}
	if leader == nil {
		return
	}
	full := *m
	m = &full // the other sessions may still be sending the first one
	if r.Open {
		if epoch, picked, err := a.engine.ExpertCounts(ctx); err != nil {
			log.WithError(err).Debug("the demand for experts was not read")
		} else if epoch == r.Epoch {
			m.Picked = picked
		}
	}
	if a.told.session != leader || a.told.epoch != r.Epoch || a.told.version != r.Map {
		if epoch, version, held, err := a.engine.HeldExperts(ctx); err != nil {
			log.WithError(err).Debug("the held experts were not read")
		} else if epoch == r.Epoch && version == r.Map {
			m.Held = held
			a.told.session, a.told.epoch, a.told.version = leader, epoch, version
		}
	}
	if err := leader.Send(m); err != nil {
		log.WithError(err).Debug("report not sent")
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// order gives an order to the engine and tells what became of it.
func (a *agent) order(session transport.Session, m *protocol.RankOrder) {
	result, err := a.engine.Order(context.Background(), m.Order)
	o := m.Order
	o.Map = nil
	if o.Operation == experts.OrderPrepare && result == experts.OrderAccepted {
		go a.awaitPrepared(session, m)
	}
	log.WithFields(log.Fields{"group": m.Group, "operation": string(o.Operation), "version": o.Version, "step": o.Step,
		"epoch": o.Epoch, "result": int(result), "error": errorText(err)}).Info("order given to the engine")
	if err := session.Send(&protocol.RankDone{Group: m.Group, Order: o, Result: result}); err != nil {
		log.WithError(err).Debug("result of an order not sent; the leader asks again")
	}
}

// awaitPrepared repeats a preparation until it is complete: reports tell it only with a lag.
func (a *agent) awaitPrepared(session transport.Session, m *protocol.RankOrder) {
	o := m.Order
	o.Map = nil
	for end := time.Now().Add(prepareTimeout); time.Now().Before(end); {
		time.Sleep(prepareInterval)
		result, err := a.engine.Order(context.Background(), m.Order)
		if result == experts.OrderAccepted || result == experts.OrderUnanswered {
			continue
		}
		log.WithFields(log.Fields{"group": m.Group, "version": o.Version, "result": int(result), "error": errorText(err)}).
			Debug("preparation has ended")
		if err := session.Send(&protocol.RankDone{Group: m.Group, Order: o, Result: result}); err != nil {
			log.WithError(err).Debug("end of a preparation not sent; reports tell of it")
		}
		return
	}
}

// SessionOpened implements transport.Handler.
func (a *agent) SessionOpened(s transport.Session) {
	a.post(func() { a.sessions[s] = &protocol.Controls{} })
}

// StateChanged implements transport.Handler.
func (a *agent) StateChanged(s transport.Session, state transport.State) {
	if state == transport.StateClosed {
		a.post(func() { delete(a.sessions, s) })
	}
}

// StreamOpened implements transport.Handler. Nobody opens streams to a rank's process.
func (a *agent) StreamOpened(st transport.Stream, _ *protocol.Open) {
	st.Close("this process takes no requests")
}

// MessageReceived implements transport.Handler.
func (a *agent) MessageReceived(s transport.Session, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Controls:
		a.post(func() {
			if a.sessions[s] != nil {
				a.sessions[s] = m
			}
		})
	case *protocol.RankOrder:
		go a.order(s, m)
	}
}

var _ transport.Handler = (*agent)(nil)
