// Package entry assembles an entry instance: listeners, control loop, gateway and agreed state.
package entry

import (
	"context"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/gateway"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// readinessGracePeriod is how long a stopping instance continues to accept connections, so that the platform's load
	// balancer observes that it is not ready before connections are refused.
	readinessGracePeriod = 500 * time.Millisecond
	// logFolder is the folder of the replicated log within the data folder.
	logFolder = "log"
)

// Instance is an entry instance with its listeners.
type Instance struct {
	*Core
	callers, inner, operators *process.Server
}

// Serve runs an entry instance until the context ends, then drains it.
func Serve(ctx context.Context, s *settings.Front) error {
	instance, err := New(s)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// New assembles an entry instance and opens its listeners.
func New(s *settings.Front) (*Instance, error) {
	client, err := process.ClientTLS(s.TLS.CAFile)
	if err != nil {
		return nil, err
	}
	config := transport.Config{FleetKey: []byte(s.FleetKey), TLS: client, AllowPlaintext: s.Plaintext}
	link := &process.Link{Config: config, PeersHaveCertificates: s.TLS.CertFile != ""}
	environment := Environment{Connector: link.Dial}
	if s.DataFolder != "" {
		if environment.Folder, err = storage.OS(filepath.Join(s.DataFolder, logFolder)); err != nil {
			return nil, err
		}
		if environment.Account, err = account.Folder(s.DataFolder); err != nil {
			return nil, err
		}
	}
	process.LimitMemory(memoryOf(s))
	core, err := NewCore(s, process.NewIncarnation(), environment)
	if err != nil {
		return nil, err
	}
	i := &Instance{Core: core}
	return i, i.listen(config)
}

// Shares of the process's sockets for callers, and for agents and other entry instances. The rest is for the sessions that it opens
// itself and for operators.
const (
	callersShare = 0.5
	innerShare   = 0.25
)

// listen opens the listeners for callers, for other processes of the fleet and for operators.
func (i *Instance) listen(config transport.Config) error {
	s, gate := i.settings, i.gate
	certificate, err := process.ServerTLS(s.TLS.CertFile, s.TLS.KeyFile)
	if err != nil {
		return err
	}
	if i.callers, err = process.Listen("callersListen", s.CallersListen, callersHandler(i.Gateway), certificate, gate.Guard(gate.Connections(callersShare))); err != nil {
		return err
	}
	if i.inner, err = process.Listen("innerListen", s.InnerListen, i.innerHandler(config), certificate, gate.Guard(gate.Connections(innerShare))); err != nil {
		return err
	}
	operators := &operators{core: i.Core}
	i.operators, err = process.Listen("operatorsListen", s.OperatorsListen, operators.handler(), certificate, gate.Guard(process.StatusConnections))
	return err
}

// callersHandler returns the gateway's handler with the health endpoints that the platform's load balancer polls.
func callersHandler(g *gateway.Gateway) http.Handler {
	r := chi.NewRouter()
	r.Use(middleware.Recoverer)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.Mount("/", g.Handler())
	return r
}

// innerHandler accepts sessions of agents and other entry instances.
func (i *Instance) innerHandler(config transport.Config) http.Handler {
	r := chi.NewRouter()
	r.Get(transport.SessionPath, transport.AcceptSessions(config, i.Hello, i.Loop))
	return r
}

// CallersAddress returns the address of the callers' listener.
func (i *Instance) CallersAddress() string { return i.callers.Address() }

// OperatorsAddress returns the address of the operators' listener.
func (i *Instance) OperatorsAddress() string { return i.operators.Address() }

// InnerAddress returns the address of the inner listener.
func (i *Instance) InnerAddress() string { return i.settings.InnerAddress }

// Run serves until the context ends. Then it refuses new calls as not run, waits for the open ones to end, and closes the
// listeners.
func (i *Instance) Run(ctx context.Context) error {
	runContext, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { i.Core.Run(runContext) })
	group.Go(i.callers.Serve)
	group.Go(i.inner.Serve)
	group.Go(i.operators.Serve)
	log.WithFields(log.Fields{
		"instance":  i.settings.Instance,
		"callers":   i.callers.Address(),
		"inner":     i.inner.Address(),
		"operators": i.operators.Address(),
	}).Info("entry instance serves")

	<-ctx.Done()
	err := i.drain()
	stop()
	i.inner.Close()
	i.operators.Close()
	group.Wait()
	log.WithField("instance", i.settings.Instance).Info("entry instance has stopped")
	return err
}

// drain waits for the open calls for at most the drain timeout, then closes the callers' listener.
func (i *Instance) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	err := i.Drain(ctx)
	if err != nil {
		log.WithError(err).Error("drain timeout expired: open requests are aborted; raise drainTimeout")
	}
	time.Sleep(readinessGracePeriod)
	shutdown, cancelShutdown := context.WithTimeout(context.Background(), time.Second)
	defer cancelShutdown()
	if i.callers.Shutdown(shutdown) != nil {
		i.callers.Close()
	}
	return err
}
