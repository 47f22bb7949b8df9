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
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Surroundings are what an entry instance needs from outside: the network to other instances and its disk. Tests replace
// them.
type Surroundings struct {
	// Connector returns the function that opens sessions to an inner address.
	Connector func(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc
	// Folder holds the replicated log, nil on instances without a disk.
	Folder storage.FS
	// Account holds the files of the account, nil on instances that keep it in memory.
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
}

// identity is how an instance presents itself in sessions.
type identity struct {
	instance   fleet.InstanceID
	boot       fleet.Incarnation
	dataCentre fleet.DataCentre
	address    string
}

// hello returns the greeting of the instance.
func (id identity) hello(loop *control.Loop) protocol.Hello {
	return protocol.Hello{
		Version:     protocol.Version,
		Instance:    id.instance,
		Incarnation: id.boot,
		DataCentre:  id.dataCentre,
		Address:     id.address,
		Revision:    loop.View().Revision,
	}
}

// NewCore assembles an entry instance without listeners.
func NewCore(s *settings.Front, boot fleet.Incarnation, surroundings Surroundings) (*Core, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() *settings.Front { return s },
		func() Surroundings { return surroundings },
		func() identity { return identity{s.Instance, boot, s.DataCentre, s.InnerAddress} },
		newAccount,
		newUseBook,
		newObserver,
		newLoop,
		newPool,
		newAgreement,
		agreement.NewLedger,
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
		Instance:   id.instance,
		Boot:       id.boot,
		DataCentre: id.dataCentre,
		Address:    id.address,
		Account:    journal,
	})
}

func newPool(surroundings Surroundings, id identity, loop *control.Loop) *transport.Pool {
	return transport.NewPool(func(address string) transport.ConnectFunc {
		return surroundings.Connector(address, func() protocol.Hello { return id.hello(loop) }, loop)
	}, loop)
}

func newAgreement(s *settings.Front, surroundings Surroundings, id identity, pool *transport.Pool, loop *control.Loop, journal *account.Queue) (*agreement.Service, error) {
	voters := make([]agreement.Voter, 0, len(s.Voters))
	for _, v := range s.Voters {
		voters = append(voters, agreement.Voter{Instance: v.Instance, Address: v.Address})
	}
	return agreement.New(agreement.Config{
		Instance:   s.Instance,
		Boot:       id.boot,
		DataCentre: s.DataCentre,
		Address:    s.InnerAddress,
		Voters:     voters,
		Account:    journal,
	}, surroundings.Folder, pool, loop)
}

func newGateway(s *settings.Front, loop *control.Loop, a *agreement.Service, ledger *agreement.Ledger, observer *observer) (*gateway.Gateway, error) {
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
		QueueMax:        s.QueueMax,
		RetryBudget:     s.RetryBudget,
		NotReady:        a.NotReady,
		Observer:        observer,
		Trace:           recorder,
	}, loop, ledger), nil
}

// newCore connects the parts that receive messages from sessions.
func newCore(s *settings.Front, id identity, loop *control.Loop, g *gateway.Gateway, a *agreement.Service,
	ledger *agreement.Ledger, pool *transport.Pool, journal *account.Queue, observer *observer, commander *commander) *Core {
	core := &Core{Loop: loop, commander: commander, Gateway: g, Agreement: a, ledger: ledger, account: journal, observer: observer, pool: pool, settings: s, identity: id}
	loop.SetStreamSink(g.ServeSpilled)
	loop.SetAddressSink(func(members []string) { pool.Set(core.neighbours(members)) })
	loop.SetMessageSink(func(session transport.Session, m protocol.Message) {
		if done, ok := m.(*protocol.OrderDone); ok {
			commander.done(done)
			return
		}
		if !g.MessageReceived(session, m) && !a.MessageReceived(session, m) {
			log.WithField("type", m.Type()).Debug("message without a receiver")
		}
	})
	return core
}

// Hello returns the instance's greeting for a session that is opened now.
func (c *Core) Hello() protocol.Hello { return c.identity.hello(c.Loop) }

// Run serves until the context ends, and then at once closes all sessions. Drain ends the calls before.
func (c *Core) Run(ctx context.Context) {
	c.pool.Set(c.neighbours(nil)) // before the loop runs, which adds members
	var group sync.WaitGroup
	group.Go(func() { c.Loop.Run(ctx) })
	group.Go(func() { c.Gateway.Run(ctx) })
	group.Go(func() { c.Agreement.Run(ctx) })
	group.Go(func() { c.commander.run(ctx) })
	group.Go(func() { c.watchReadiness(ctx) })
	group.Go(func() { c.account.Run(ctx) })
	group.Go(func() { c.observer.uses.run(ctx, c.identity.boot, c.Agreement.Propose) })
	<-ctx.Done()
	c.pool.Close("the entry instance has stopped")
	group.Wait()
}

// neighbours returns the voters and the entry instances named in the settings, and the given members of the data centre.
func (c *Core) neighbours(members []string) []string {
	addresses := slices.Concat(c.settings.Peers, members)
	for _, v := range c.settings.Voters {
		addresses = append(addresses, v.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == c.identity.address })
}

// Drain refuses new calls as not run, waits for the open ones, and leaves the agreement group in an orderly way.
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

// NotReady returns why the instance takes no calls, or "".
func (c *Core) NotReady() string {
	if reason := c.Agreement.NotReady(); reason != "" {
		return reason
	}
	if !c.Gateway.Ready() {
		return "the instance is stopping"
	}
	return ""
}

// LiveServers returns the number of backend servers that take new work here.
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
