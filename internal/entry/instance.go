// Package entry assembles an entry instance: listeners, control loop, gateway and the agreed state.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/dig"

	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/gateway"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/settings"
)

// balancerGrace is how long a stopping instance goes on accepting, so that the platform's load balancer notices that
// it is no longer ready before connections are refused.
const balancerGrace = 500 * time.Millisecond

// Instance is an assembled entry instance.
type Instance struct {
	settings  *settings.Front
	loop      *control.Loop
	gateway   *gateway.Gateway
	inner     *inner
	agreement *agreement.Service
	ledger    *agreement.Ledger
	listeners listeners
}

// Serve runs an entry instance until the context ends, then drains.
func Serve(ctx context.Context, s *settings.Front) error {
	instance, err := New(s)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// New assembles an entry instance and opens its listeners.
func New(s *settings.Front) (*Instance, error) {
	container := dig.New()
	for _, constructor := range []any{
		func() *settings.Front { return s },
		newIdentity,
		newSessionConfig,
		newLoop,
		newInner,
		newAgreement,
		agreement.NewLedger,
		newGateway,
		newOperators,
		newListeners,
		newInstance,
	} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var instance *Instance
	err := container.Invoke(func(i *Instance) { instance = i })
	return instance, dig.RootCause(err)
}

// CallersAddress returns the address of the callers' listener.
func (i *Instance) CallersAddress() string { return i.listeners.callers.Address() }

// OperatorsAddress returns the address of the operators' listener.
func (i *Instance) OperatorsAddress() string { return i.listeners.operators.Address() }

// InnerAddress returns the address of the inner listener.
func (i *Instance) InnerAddress() string { return i.settings.InnerAddress }

// NotReady returns why the instance takes no calls, or "".
func (i *Instance) NotReady() string {
	if !i.gateway.Ready() {
		return "the instance is stopping"
	}
	return i.agreement.NotReady()
}

// LiveServers returns the number of backend servers that take new work here.
func (i *Instance) LiveServers() int {
	n := 0
	view := i.loop.View()
	for s := range view.Servers {
		if view.Servers[s].Excluded == "" {
			n++
		}
	}
	return n
}

// Run serves until the context ends. Then it refuses new calls as not run, waits for the open ones, and closes.
func (i *Instance) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	start := func(f func()) {
		group.Add(1)
		go func() {
			defer group.Done()
			f()
		}()
	}
	start(func() { i.loop.Run(running) })
	start(func() { i.gateway.Run(running) })
	start(func() { i.agreement.Run(running) })
	start(i.listeners.callers.Serve)
	start(i.listeners.inner.Serve)
	start(i.listeners.operators.Serve)
	i.inner.connect(i.settings)
	log.WithFields(log.Fields{
		"instance":  i.settings.Instance,
		"callers":   i.listeners.callers.Address(),
		"inner":     i.listeners.inner.Address(),
		"operators": i.listeners.operators.Address(),
	}).Info("entry instance serves")

	<-ctx.Done()
	err := i.drain()
	i.ledger.Close()
	i.agreement.Close()
	i.inner.pool.Close("the entry instance has stopped")
	i.listeners.inner.Close()
	i.listeners.operators.Close()
	stop()
	group.Wait()
	log.WithField("instance", i.settings.Instance).Info("entry instance has stopped")
	return err
}

// drain ends the open calls.
func (i *Instance) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	err := i.gateway.Drain(ctx)
	if err != nil {
		log.WithError(err).Error("drain timeout passed: requests are cut; raise drainTimeout")
	}
	time.Sleep(balancerGrace)
	shutdown, cancelShutdown := context.WithTimeout(context.Background(), time.Second)
	defer cancelShutdown()
	if i.listeners.callers.Shutdown(shutdown) != nil {
		i.listeners.callers.Close()
	}
	return err
}

// listeners are the three HTTP servers of an entry instance.
type listeners struct {
	callers, inner, operators *process.Server
}
