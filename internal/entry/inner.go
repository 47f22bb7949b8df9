package entry

import (
	"net/http"
	"slices"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// inner accepts sessions of agents and other entry instances, and keeps sessions to the entry instances it knows.
type inner struct {
	config   transport.Config
	identity identity
	loop     *control.Loop
	pool     *transport.Pool
}

// identity is how this process presents itself in sessions.
type identity struct {
	instance   fleet.InstanceID
	boot       fleet.Boot
	dataCentre fleet.DataCentre
	address    string
}

func newInner(s *settings.Front, config transport.Config, identity identity, loop *control.Loop) *inner {
	certificates := s.TLS.CertFile != ""
	in := &inner{config: config, identity: identity, loop: loop}
	in.pool = transport.NewPool(func(address string) transport.ConnectFunc {
		dialer := &transport.Dialer{
			Address: transport.SessionURL(address, certificates, config.AllowPlaintext),
			Config:  config,
			Hello:   in.hello,
			Handler: loop,
		}
		return dialer.Connect
	}, loop)
	return in
}

func (in *inner) hello() protocol.Hello {
	return protocol.Hello{
		Version:    protocol.Version,
		Instance:   in.identity.instance,
		Boot:       in.identity.boot,
		DataCentre: in.identity.dataCentre,
		Address:    in.identity.address,
		Revision:   in.loop.View().Revision,
	}
}

// handler serves the inner listener.
func (in *inner) handler() http.Handler {
	r := chi.NewRouter()
	r.Get(transport.SessionPath, func(w http.ResponseWriter, req *http.Request) {
		if _, err := transport.Accept(w, req, in.config, in.hello(), in.loop); err != nil {
			log.WithError(err).WithField("from", req.RemoteAddr).Warn("session refused")
		}
	})
	return r
}

// connect keeps sessions to the voters and to the entry instances named in the settings.
func (in *inner) connect(s *settings.Front) {
	var addresses []string
	for _, v := range s.Voters {
		addresses = append(addresses, v.Address)
	}
	addresses = append(addresses, s.Peers...)
	in.pool.Set(slices.DeleteFunc(addresses, func(address string) bool { return address == in.identity.address }))
}
