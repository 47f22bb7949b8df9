package entry

import (
	"crypto/tls"
	"net/http"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/gateway"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/transport"
)

func newIdentity(s *settings.Front) identity {
	return identity{
		instance:   s.Instance,
		boot:       process.NewBoot(),
		dataCentre: s.DataCentre,
		address:    s.InnerAddress,
	}
}

// newSessionConfig returns the settings of sessions with other processes.
func newSessionConfig(s *settings.Front) (transport.Config, error) {
	client, err := process.ClientTLS(s.TLS.CAFile)
	if err != nil {
		return transport.Config{}, err
	}
	return transport.Config{FleetKey: []byte(s.FleetKey), TLS: client, AllowPlaintext: s.Plaintext}, nil
}

func newLoop(id identity) *control.Loop {
	return control.New(control.Config{
		Instance:   id.instance,
		Boot:       id.boot,
		DataCentre: id.dataCentre,
		Address:    id.address,
	})
}

func newGateway(s *settings.Front, loop *control.Loop, ledger *agreement.Ledger) *gateway.Gateway {
	organisations := make([]gateway.Organisation, 0, len(s.Organisations))
	for _, o := range s.Organisations {
		organisations = append(organisations, gateway.Organisation{
			Name: o.Name, Key: o.Key, Weight: o.Weight, MaxConcurrent: o.MaxConcurrent,
		})
	}
	return gateway.New(gateway.Config{
		Instance:        s.Instance,
		DataCentre:      s.DataCentre,
		Organisations:   organisations,
		DefaultDeadline: s.DefaultDeadline,
		MaxBodyBytes:    int64(s.MaxBodyBytes),
		QueueMax:        s.QueueMax,
		RetryBudget:     s.RetryBudget,
	}, loop, ledger)
}

func newAgreement(s *settings.Front, id identity, in *inner, loop *control.Loop) (*agreement.Service, error) {
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
		DataFolder: s.DataFolder,
	}, in.pool, loop)
}

// newInstance connects the parts that receive messages from sessions.
func newInstance(s *settings.Front, loop *control.Loop, g *gateway.Gateway, in *inner, a *agreement.Service,
	ledger *agreement.Ledger, l listeners) *Instance {
	loop.SetStreamSink(g.ServeSpilled)
	loop.SetMessageSink(func(session transport.Session, m protocol.Message) {
		if !g.MessageReceived(session, m) && !a.MessageReceived(session, m) {
			log.WithField("type", m.Type()).Debug("message without a receiver")
		}
	})
	return &Instance{settings: s, loop: loop, gateway: g, inner: in, agreement: a, ledger: ledger, listeners: l}
}

// newListeners opens the listeners of callers, of the other processes and of operators.
func newListeners(s *settings.Front, g *gateway.Gateway, in *inner, ops *operators) (listeners, error) {
	certificate, err := process.ServerTLS(s.TLS.CertFile, s.TLS.KeyFile)
	if err != nil {
		return listeners{}, err
	}
	var l listeners
	for _, listener := range []struct {
		server  **process.Server
		name    string
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{&l.callers, "callersListen", s.CallersListen, callersHandler(g), certificate},
		{&l.inner, "innerListen", s.InnerListen, in.handler(), certificate},
		{&l.operators, "operatorsListen", s.OperatorsListen, ops.handler(), certificate},
	} {
		server, err := process.Listen(listener.name, listener.address, listener.handler, listener.tls)
		if err != nil {
			return listeners{}, err
		}
		*listener.server = server
	}
	return l, nil
}

// callersHandler adds the health pages that the platform's load balancer asks.
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
