package process

import (
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Link opens sessions to other processes of the system.
type Link struct {
	Config transport.Config
	// PeersHaveCertificates is whether the peers' listeners use TLS.
	PeersHaveCertificates bool
	// ListenAddress is the address of this process's listener for sessions if it differs from the one that peers dial, as
	// behind network address translation. Empty if they are the same.
	ListenAddress string
	incarnation   fleet.Incarnation
}

// NewLink returns a Link for a new incarnation of this process. config holds the settings of its sessions.
func NewLink(config transport.Config) *Link {
	return &Link{Config: config, incarnation: NewIncarnation()}
}

// Dial returns the function that opens a session to the inner address of a peer.
func (l *Link) Dial(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc {
	dialer := &transport.Dialer{
		Address: transport.SessionURL(address, l.PeersHaveCertificates, l.Config.AllowPlaintext),
		Config:  l.Config,
		Hello:   hello,
		Handler: h,
	}
	return dialer.Connect
}

// Hello returns the function that creates the Hello message of this process. address is the one that peers dial, empty if
// they do not connect to it.
func (l *Link) Hello(instance, dataCentre, address string) func() protocol.Hello {
	return func() protocol.Hello {
		return protocol.Hello{Version: protocol.Version, Instance: fleet.InstanceID(instance), Incarnation: l.incarnation,
			DataCentre: fleet.DataCentre(dataCentre), Address: address}
	}
}
