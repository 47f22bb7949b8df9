package agent

import (
	"context"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"go.uber.org/dig"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Serve runs an agent process until the context ends, then drains.
func Serve(ctx context.Context, s *settings.Agent) error {
	container := dig.New()
	for _, constructor := range []any{
		func() *settings.Agent { return s },
		process.NewIncarnation,
		newConfig,
		New,
		newPool,
		newStatus,
	} {
		if err := container.Provide(constructor); err != nil {
			return err
		}
	}
	err := container.Invoke(func(a *Agent, pool *transport.Pool, status *process.Server) {
		go status.Serve()
		defer status.Close()
		log.WithFields(log.Fields{"server": s.Server, "backend": s.Backend.URL, "status": status.Address()}).Info("agent serves")
		a.Run(ctx, pool, s.FrontAddresses, s.DrainTimeout)
		log.WithField("server", s.Server).Info("agent has stopped")
	})
	return dig.RootCause(err)
}

func newConfig(s *settings.Agent, incarnation fleet.Incarnation) Config {
	return Config{
		Announcement:        s.Announcement(incarnation),
		BackendURL:          s.Backend.URL,
		FirstTokenBound:     s.FirstTokenBound,
		MaxKeptAnswersBytes: int(s.KeepAnswers),
		AnswerRetention:     s.KeepAnswersFor,
		ReportInterval:      s.ReportInterval,
	}
}

// newPool returns the pool of sessions to entry instances.
func newPool(s *settings.Agent, a *Agent, incarnation fleet.Incarnation) (*transport.Pool, error) {
	clientTLS, err := process.ClientTLS(s.TLS.CAFile)
	if err != nil {
		return nil, err
	}
	config := transport.Config{FleetKey: []byte(s.FleetKey), TLS: clientTLS, AllowPlaintext: s.Plaintext}
	hello := protocol.Hello{
		Version:     protocol.Version,
		Instance:    s.Instance,
		Incarnation: incarnation,
		DataCentre:  s.DataCentre,
		Agent:       true,
	}
	currentHello := func() protocol.Hello {
		h := hello
		h.Revision = a.Revision()
		return h
	}
	link := &process.Link{Config: config, PeersHaveCertificates: s.TLS.CAFile != ""}
	return transport.NewPool(func(address string) transport.ConnectFunc {
		return link.Dial(address, currentHello, a)
	}, a), nil
}

// newStatus returns the HTTP server for /metrics, /healthz and /readyz.
func newStatus(s *settings.Agent, a *Agent) (*process.Server, error) {
	r := chi.NewRouter()
	process.StatusRoutes(r, a.notReady)
	return process.Listen("metricsListen", s.MetricsListen, r, nil, intake.NewGate(process.MachineLimits()).Guard(process.StatusConnections))
}

// notReady returns the reason why the agent accepts no work, or "" if it does.
func (a *Agent) notReady() string {
	if a.drainingOrWithdrawn() {
		return "the backend server is leaving"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return "the backend server does not answer"
	}
	return ""
}
