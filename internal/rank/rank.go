// Package rank runs the rank process, one beside each rank of a lock-step group. It reads the engine's state and the
// demand for its experts, which is free on the engine's own machine, reports them to the control instance that leads, and
// forwards that instance's orders to the engine.
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
	// reportInterval is the interval between two reports. Reports of engines lag by about 200 ms: a shorter interval gains
	// nothing.
	reportInterval = 120 * time.Millisecond
	// upkeepInterval is the interval at which the sessions are updated to the known control instances.
	upkeepInterval   = time.Second
	eventQueueLength = 1024
	// preparePollInterval is the interval for polling whether a preparation is complete. Polling is free on this machine.
	preparePollInterval = 40 * time.Millisecond
	// prepareTimeout ends the polling: the leader aborts a change whose preparation takes longer.
	prepareTimeout = 10 * time.Second
)

// rankProcess is the rank process. Its state is owned by the goroutine of run.
type rankProcess struct {
	settings *platform.Settings
	engine   *platform.EngineClient
	pool     *transport.Pool
	events   chan func()
	done     chan struct{}

	sessions  map[transport.Session]*protocol.ControlInstances // last roster received over each session
	reachable bool                                             // the engine answered the last report request
	// heldSent is the session, epoch and map version for which the held experts were last sent.
	heldSent struct {
		session transport.Session
		epoch   uint64
		version uint64
	}
}

// Serve runs the process until the context ends.
func Serve(ctx context.Context, s *platform.Settings, link *process.Link, reloads <-chan *platform.Settings) error {
	p := &rankProcess{
		settings: s,
		engine:   platform.NewEngineClient(s.BackendServer),
		events:   make(chan func(), eventQueueLength),
		done:     make(chan struct{}),
		sessions: map[transport.Session]*protocol.ControlInstances{},
	}
	hello := link.Hello(s.Instance, s.DataCentre, "")
	rankHello := func() protocol.Hello {
		h := hello()
		h.Rank = true
		return h
	}
	p.pool = transport.NewPool(func(address string) transport.ConnectFunc { return link.Dial(address, rankHello, p) }, p)
	log.WithFields(log.Fields{"instance": s.Instance, "engine": s.BackendServer, "seeds": s.SeedControlAddresses()}).Info("rank process serves")
	p.run(ctx, reloads)
	p.pool.Close("the process stops")
	log.WithField("instance", s.Instance).Info("rank process has stopped")
	return nil
}

func (p *rankProcess) run(ctx context.Context, reloads <-chan *platform.Settings) {
	defer close(p.done)
	p.pool.Set(p.controlAddresses())
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	upkeep := time.NewTicker(upkeepInterval)
	defer upkeep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-reloads:
			p.settings = next
			p.pool.Set(p.controlAddresses())
		case f := <-p.events:
			f()
		case <-upkeep.C:
			p.pool.Set(p.controlAddresses())
		case <-report.C:
			p.report(ctx)
		}
	}
}

func (p *rankProcess) post(f func()) {
	select {
	case p.events <- f:
	case <-p.done:
	}
}

// controlAddresses returns the inner addresses of the control instances, from the settings and from received rosters.
func (p *rankProcess) controlAddresses() []string {
	addresses := p.settings.SeedControlAddresses()
	for _, c := range p.sessions {
		addresses = append(addresses, c.Addresses...)
	}
	return addresses
}

// leaderSession returns the session to the control instance that leads, nil if none is known. Of two, the one with the
// higher term counts.
func (p *rankProcess) leaderSession() transport.Session {
	var leader transport.Session
	for session, c := range p.sessions {
		if c.Leader && (leader == nil || c.Term > p.sessions[leader].Term) {
			leader = session
		}
	}
	return leader
}

// report reads the engine's state and reports it to the leader. The other control instances receive only the state of the
// rank, so that they can complete a map change whose leader has failed.
func (p *rankProcess) report(ctx context.Context) {
	leader := p.leaderSession()
	if len(p.sessions) == 0 {
		return
	}
	r, err := p.engine.Report(ctx)
	if reachable := err == nil; reachable != p.reachable {
		p.reachable = reachable
		log.WithFields(log.Fields{"engine": p.settings.BackendServer, "reachable": reachable, "error": errorText(err)}).
			Info("reachability of the engine changed")
	}
	if err != nil || r.Group == "" {
		return
	}
	m := &protocol.Rank{Service: p.settings.Service, Group: r.Group, Size: r.Size, Address: p.settings.BackendServer, StartedAtMS: r.Born,
		Report: r.RankReport}
	for session := range p.sessions {
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
		if epoch, counts, err := p.engine.ExpertCounts(ctx); err != nil {
			log.WithError(err).Debug("the demand for experts was not read")
		} else if epoch == r.Epoch {
			m.ExpertCounts = counts
		}
	}
	if p.heldSent.session != leader || p.heldSent.epoch != r.Epoch || p.heldSent.version != r.Map {
		if epoch, version, held, err := p.engine.HeldExperts(ctx); err != nil {
			log.WithError(err).Debug("the held experts were not read")
		} else if epoch == r.Epoch && version == r.Map {
			m.HeldExperts = held
			p.heldSent.session, p.heldSent.epoch, p.heldSent.version = leader, epoch, version
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

// executeOrder sends an order to the engine and reports the result over the session that it came from.
func (p *rankProcess) executeOrder(session transport.Session, m *protocol.RankOrder) {
	result, err := p.engine.Order(context.Background(), m.Order)
	o := m.Order
	o.Map = nil
	if o.Operation == experts.OrderPrepare && result == experts.OrderAccepted {
		go p.awaitPrepared(session, m)
	}
	log.WithFields(log.Fields{"group": m.Group, "operation": string(o.Operation), "version": o.Version, "step": o.Step,
		"epoch": o.Epoch, "result": int(result), "error": errorText(err)}).Info("order given to the engine")
	if err := session.Send(&protocol.RankDone{Group: m.Group, Order: o, Result: result}); err != nil {
		log.WithError(err).Debug("result of an order not sent; the leader repeats the order")
	}
}

// awaitPrepared repeats a preparation order until it is complete, because reports show completion only with a lag.
func (p *rankProcess) awaitPrepared(session transport.Session, m *protocol.RankOrder) {
	o := m.Order
	o.Map = nil
	for end := time.Now().Add(prepareTimeout); time.Now().Before(end); {
		time.Sleep(preparePollInterval)
		result, err := p.engine.Order(context.Background(), m.Order)
		if result == experts.OrderAccepted || result == experts.OrderUnanswered {
			continue
		}
		log.WithFields(log.Fields{"group": m.Group, "version": o.Version, "result": int(result), "error": errorText(err)}).
			Debug("preparation has ended")
		if err := session.Send(&protocol.RankDone{Group: m.Group, Order: o, Result: result}); err != nil {
			log.WithError(err).Debug("end of a preparation not sent; the reports include it")
		}
		return
	}
}

// SessionOpened implements transport.Handler.
func (p *rankProcess) SessionOpened(s transport.Session) {
	p.post(func() { p.sessions[s] = &protocol.ControlInstances{} })
}

// StateChanged implements transport.Handler.
func (p *rankProcess) StateChanged(s transport.Session, state transport.State) {
	if state == transport.StateClosed {
		p.post(func() { delete(p.sessions, s) })
	}
}

// StreamOpened implements transport.Handler. It closes the stream: a rank process serves no requests.
func (p *rankProcess) StreamOpened(st transport.Stream, _ *protocol.Open) {
	st.Close("this process takes no requests")
}

// MessageReceived implements transport.Handler.
func (p *rankProcess) MessageReceived(s transport.Session, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.ControlInstances:
		p.post(func() {
			if p.sessions[s] != nil {
				p.sessions[s] = m
			}
		})
	case *protocol.RankOrder:
		go p.executeOrder(s, m)
	}
}

var _ transport.Handler = (*rankProcess)(nil)
