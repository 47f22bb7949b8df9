// Package rank runs the rank process, one beside each rank of a lock-step group. It reads the engine's state and the
// demand for its experts, which is free on the engine's own machine, reports them to the control instance that coordinates
// the group, and forwards that instance's orders to the engine.
package rank

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// reportInterval is the interval between two reports. The coordinator of a group receives as many from each rank.
	reportInterval = 120 * time.Millisecond
	// upkeepInterval is the interval at which the sessions are updated to the known control instances.
	upkeepInterval   = time.Second
	eventQueueLength = 1024
	// inventoryInterval is the number of reports after which one goes to all control instances, from the first
	// inventoryRanks ranks of a group, so that every instance knows which groups exist.
	inventoryInterval = 16
	inventoryRanks    = 4
	// heldInterval is the number of reports after which the held experts are sent again: a coordinator that has just been
	// assigned or was paused may have dropped those sent before.
	heldInterval = 4
)

// Engine is the interface to the engine beside this process.
type Engine interface {
	Report(ctx context.Context) (*platform.EngineReport, error)
	ExpertCounts(ctx context.Context) (epoch uint64, counts []uint64, err error)
	HeldExperts(ctx context.Context) (epoch, version uint64, held [][]int, err error)
	Order(ctx context.Context, o experts.RankOrder) (experts.OrderResult, error)
}

var _ Engine = (*platform.EngineClient)(nil)

// rankProcess is the rank process. Its state is owned by the goroutine of run.
type rankProcess struct {
	settings *platform.Settings
	engine   Engine
	pool     *transport.Pool
	events   chan func()
	done     chan struct{}

	sessions  map[transport.Session]*protocol.ControlInstances // last roster received over each session
	reports   int                                              // reports read so far
	orders    singleflight.Group                               // orders that the engine has not answered yet
	demand    demandReader
	reachable bool // the engine answered the last report request
	// heldSent is the session, epoch and map version for which the held experts were last sent, and the number of the report.
	heldSent struct {
		report  int
		session transport.Session
		epoch   uint64
		version uint64
	}
}

// Serve runs the process until the context ends.
func Serve(ctx context.Context, s *platform.Settings, link *process.Link, _ *intake.Gate, reloads <-chan *platform.Settings) error {
	hello := link.Hello(s.Instance, s.DataCentre, "")
	rankHello := func() protocol.Hello {
		h := hello()
		h.Rank = true
		return h
	}
	dial := func(address string, h transport.Handler) transport.ConnectFunc {
		return link.Dial(address, rankHello, h)
	}
	log.WithFields(log.Fields{"instance": s.Instance, "engine": s.BackendServer, "seeds": s.SeedControlAddresses()}).Info("rank process serves")
	Run(ctx, s, platform.NewEngineClient(s.BackendServer), dial, reloads)
	log.WithField("instance", s.Instance).Info("rank process has stopped")
	return nil
}

// Run reports the engine's state and forwards orders until the context ends. dial opens sessions to control instances.
func Run(ctx context.Context, s *platform.Settings, e Engine, dial func(address string, h transport.Handler) transport.ConnectFunc, reloads <-chan *platform.Settings) {
	p := newRankProcess(s, e)
	p.pool = transport.NewPool(func(address string) transport.ConnectFunc { return dial(address, p) }, p)
	p.run(ctx, reloads)
	p.pool.Close("the process stops")
}

func newRankProcess(s *platform.Settings, e Engine) *rankProcess {
	return &rankProcess{
		settings: s,
		engine:   e,
		events:   make(chan func(), eventQueueLength),
		done:     make(chan struct{}),
		sessions: map[transport.Session]*protocol.ControlInstances{},
	}
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

// assignment returns the newest assignment of a group, the zero value if none is known.
func (p *rankProcess) assignment(group string) controlstate.Coordinator {
	var newest controlstate.Coordinator
	for _, c := range p.sessions {
		for _, a := range c.Coordinators {
			if a.Group == group && a.Lease > newest.Lease {
				newest = a
			}
		}
	}
	return newest
}

// recipients returns the session to the coordinator of the group, nil if there is none, and the other sessions that receive
// the state of this rank: that to the deputy, all while no coordinator is known, and from time to time all so that each
// control instance knows the group.
func (p *rankProcess) recipients(group string, rank int) (coordinator transport.Session, others []transport.Session) {
	assigned := p.assignment(group)
	all := assigned.Lease == 0 || rank < inventoryRanks && p.reports%inventoryInterval == 0
	for session := range p.sessions {
		switch address := session.Peer().Address; {
		case assigned.Lease != 0 && address == assigned.Instance:
			coordinator = session
		case all || address == assigned.Deputy && address != "":
			others = append(others, session)
		}
	}
	return coordinator, others
}

// report reads the engine's state and reports it to the coordinator and to the deputy, which completes a map change whose
// coordinator has failed. Only the coordinator receives the demand.
func (p *rankProcess) report(ctx context.Context) {
	if len(p.sessions) == 0 {
		return
	}
	p.reports++
	r, err := p.engine.Report(ctx)
	if reachable := err == nil; reachable != p.reachable {
		p.reachable = reachable
		log.WithFields(log.Fields{"engine": p.settings.BackendServer, "reachable": reachable, "error": errorText(err)}).
			Info("reachability of the engine changed")
	}
	if err != nil || r.Group == "" {
		return
	}
	coordinator, others := p.recipients(controlstate.GroupKey(p.settings.Service, r.Group), r.Rank)
	m := &protocol.Rank{Service: p.settings.Service, Group: r.Group, Size: r.Size, Address: p.settings.BackendServer, StartedAtMS: r.Born,
		Report: r.RankReport, Requests: r.Running + r.Waiting}
	for _, session := range others {
		if err := session.Send(m); err != nil {
			log.WithError(err).Debug("report not sent")
		}
	}
	if coordinator == nil {
		return
	}
	full := *m
	m = &full // the other sessions may still be sending the first one
	if read, turn := p.demand.due(p.reports, r.Rank, r.Size); r.Open && read {
		if epoch, counts, err := p.engine.ExpertCounts(ctx); err != nil {
			log.WithError(err).Debug("the demand for experts was not read")
		} else if epoch == r.Epoch {
			if load, unit := p.demand.add(p.reports, r.Born, counts); turn {
				m.ExpertLoad, m.LoadUnit = load, unit
			}
		}
	}
	if p.heldSent.session != coordinator || p.heldSent.epoch != r.Epoch || p.heldSent.version != r.Map || p.reports-p.heldSent.report >= heldInterval {
		if epoch, version, held, err := p.engine.HeldExperts(ctx); err != nil {
			log.WithError(err).Debug("the held experts were not read")
		} else if epoch == r.Epoch && version == r.Map {
			m.HeldExperts = held
			p.heldSent.session, p.heldSent.epoch, p.heldSent.version, p.heldSent.report = coordinator, epoch, version, p.reports
		}
	}
	if err := coordinator.Send(m); err != nil {
		log.WithError(err).Debug("report not sent")
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
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
