package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/gateway"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Environment contains the external dependencies of an entry instance: the network to other instances and its disk. Tests
// replace them.
type Environment struct {
	// Connector returns the function that opens sessions to an inner address.
	Connector func(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc
	// Folder contains the replicated log, nil on instances without a disk.
	Folder storage.FS
	// Account contains the files of the account, nil on instances that keep it in memory only.
	Account account.Files
}

// Core is an entry instance without its listeners.
type Core struct {
	Loop      *control.Loop
	Gateway   *gateway.Gateway
	Agreement *agreement.Service
	ledger    *agreement.Ledger
	commander *commander
	account   *account.Queue
	observer  *observer
	pool      *transport.Pool
	settings  *settings.Front
	identity  identity
	gate      *intake.Gate
}

// identity identifies an incarnation of an instance to its peers.
type identity struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
	dataCentre  fleet.DataCentre
	address     string
}

// hello returns the Hello message that the instance sends when a session opens.
func (id identity) hello(loop *control.Loop) protocol.Hello {
	return protocol.Hello{
		Version:     protocol.Version,
		Instance:    id.instance,
		Incarnation: id.incarnation,
		DataCentre:  id.dataCentre,
		Address:     id.address,
		Revision:    loop.View().Revision,
	}
}

// NewCore assembles an entry instance without listeners.
func NewCore(s *settings.Front, incarnation fleet.Incarnation, environment Environment) (*Core, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() *settings.Front { return s },
		func() Environment { return environment },
		func() identity { return identity{s.Instance, incarnation, s.DataCentre, s.InnerAddress} },
		newAccount,
		newUseTracker,
		newObserver,
		newLoop,
		newPool,
		newAgreement,
		agreement.NewLedger,
		newGate,
		newGateway,
		newCommander,
		newCore,
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var core *Core
	err := container.Invoke(func(c *Core) { core = c })
	return core, dig.RootCause(err)
}

func newLoop(id identity, journal *account.Queue) *control.Loop {
	return control.New(control.Config{
		Instance:    id.instance,
		Incarnation: id.incarnation,
		DataCentre:  id.dataCentre,
		Address:     id.address,
		Account:     journal,
	})
}

func newPool(environment Environment, id identity, loop *control.Loop) *transport.Pool {
	return transport.NewPool(func(address string) transport.ConnectFunc {
		return environment.Connector(address, func() protocol.Hello { return id.hello(loop) }, loop)
	}, loop)
}

func newAgreement(s *settings.Front, environment Environment, id identity, pool *transport.Pool, loop *control.Loop, journal *account.Queue) (*agreement.Service, error) {
	voters := make([]agreement.Voter, 0, len(s.Voters))
	for _, v := range s.Voters {
		voters = append(voters, agreement.Voter{Instance: v.Instance, Address: v.Address})
	}
	return agreement.New(agreement.Config{
		Instance:    s.Instance,
		Incarnation: id.incarnation,
		DataCentre:  s.DataCentre,
		Address:     s.InnerAddress,
		Voters:      voters,
		Account:     journal,
	}, environment.Folder, pool, loop)
}

// memoryOf returns the memory that the process may use, in bytes.
func memoryOf(s *settings.Front) int64 {
	if s.Memory > 0 {
		return int64(s.Memory)
	}
	memory, _ := process.MachineLimits()
	return memory
}

// newGate returns the limits on what clients can make the process hold.
func newGate(s *settings.Front) *intake.Gate {
	_, descriptors := process.MachineLimits()
	return intake.NewGate(memoryOf(s), descriptors)
}

func newGateway(s *settings.Front, gate *intake.Gate, loop *control.Loop, a *agreement.Service, ledger *agreement.Ledger, observer *observer) (*gateway.Gateway, error) {
	recorder, err := newTraceRecorder(s)
	if err != nil {
		return nil, err
	}
	organisations := make([]gateway.Organisation, 0, len(s.Organisations))
	for _, o := range s.Organisations {
		organisations = append(organisations, gateway.Organisation{
			Name: o.Name, Key: o.Key, Weight: o.Weight, MaxConcurrent: o.MaxConcurrent,
		})
	}
	latency := make(map[fleet.DataCentre]time.Duration)
	for _, hop := range s.HopCosts {
		cost := time.Duration(hop.Milliseconds * float64(time.Millisecond))
		switch s.DataCentre {
		case hop.From:
			latency[hop.To] = cost
		case hop.To:
			latency[hop.From] = cost
		}
	}
	return gateway.New(gateway.Config{
		Latency:         latency,
		Instance:        s.Instance,
		DataCentre:      s.DataCentre,
		Organisations:   organisations,
		DefaultDeadline: s.DefaultDeadline,
		MaxBodyBytes:    int64(s.MaxBodyBytes),
		Gate:            gate,
		QueueMax:        s.QueueMax,
		RetryBudget:     s.RetryBudget,
		NotReady:        a.NotReady,
		Observer:        observer,
		Trace:           recorder,
	}, loop, ledger), nil
}

// newCore registers the components that receive messages, streams and addresses from the control loop.
func newCore(s *settings.Front, gate *intake.Gate, id identity, loop *control.Loop, g *gateway.Gateway, a *agreement.Service,
	ledger *agreement.Ledger, pool *transport.Pool, journal *account.Queue, observer *observer, commander *commander) *Core {
	core := &Core{Loop: loop, commander: commander, Gateway: g, Agreement: a, ledger: ledger, account: journal, observer: observer, pool: pool, settings: s, identity: id, gate: gate}
	loop.SetStreamSink(g.ServeSpilled)
	loop.SetAddressSink(func(members []string) { pool.Set(core.peerAddresses(members)) })
	loop.SetMessageSink(func(session transport.Session, m protocol.Message) {
		if done, ok := m.(*protocol.OrderDone); ok {
			commander.orderDone(done)
			return
		}
		if !g.MessageReceived(session, m) && !a.MessageReceived(session, m) {
			log.WithField("type", m.Type()).Debug("no component handles the message")
		}
	})
	return core
}

// Hello returns the Hello message for a session that opens now.
func (c *Core) Hello() protocol.Hello { return c.identity.hello(c.Loop) }

// Run serves until the context ends, then closes all sessions immediately. For a graceful stop, call Drain first.
func (c *Core) Run(ctx context.Context) {
	c.pool.Set(c.peerAddresses(nil)) // before the loop starts, which adds members
	var group sync.WaitGroup
	group.Go(func() { c.Loop.Run(ctx) })
	group.Go(func() { c.Gateway.Run(ctx) })
	group.Go(func() { c.Agreement.Run(ctx) })
	group.Go(func() { c.commander.run(ctx) })
	group.Go(func() { c.watchReadiness(ctx) })
	group.Go(func() { c.account.Run(ctx) })
	group.Go(func() { c.observer.uses.run(ctx, c.identity.incarnation, c.Agreement.Propose) })
	<-ctx.Done()
	c.pool.Close("the entry instance has stopped")
	group.Wait()
}

// peerAddresses returns the addresses of the voters and peers in the settings and the given ones of members of the data
// centre, without duplicates and without the own address.
func (c *Core) peerAddresses(members []string) []string {
	addresses := slices.Concat(c.settings.Peers, members)
	for _, v := range c.settings.Voters {
		addresses = append(addresses, v.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == c.identity.address })
}

// Drain refuses new calls as not run, waits for the open ones to end, then announces that the instance leaves and closes
// its member of the agreement group. The error is that of the context if it ends first.
func (c *Core) Drain(ctx context.Context) error {
	subject := string(c.identity.instance)
	c.account.Record(account.Entry{Time: time.Now(), Kind: account.DrainStarted, Subject: subject, Reason: "the instance was told to stop"})
	err := c.Gateway.Drain(ctx)
	c.Loop.Leave()
	c.ledger.Close()
	c.Agreement.Close()
	ended := account.Entry{Time: time.Now(), Kind: account.DrainEnded, Subject: subject, Reason: "no request was cut off"}
	if err != nil {
		ended.Reason = "drainTimeout passed before all requests had ended"
	}
	c.account.Record(ended)
	return err
}

// NotReady returns why the instance accepts no calls, or "" if it does.
func (c *Core) NotReady() string {
	if reason := c.Agreement.NotReady(); reason != "" {
		return reason
	}
	if !c.Gateway.Ready() {
		return "the instance is stopping"
	}
	return ""
}

// LiveServers returns the number of backend servers to which this instance sends new work.
func (c *Core) LiveServers() int {
	n := 0
	view := c.Loop.View()
	for i := range view.Servers {
		if view.Servers[i].ExclusionReason == "" {
			n++
		}
	}
	return n
}
