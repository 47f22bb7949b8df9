package process

import (
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Link opens sessions to other processes of the system.
type Link struct {
	Config transport.Config
	// Certificates says that the peers' listeners have certificates.
	Certificates bool
	// Listen is the address of this process's listener for sessions where it differs from the one that others dial, as behind
	// address translation. Empty: they are the same.
	Listen string
	boot   fleet.Incarnation
}

// NewLink returns a link with the settings of its sessions.
func NewLink(config transport.Config) *Link { return &Link{Config: config, boot: NewBoot()} }

// Dial returns the function that opens a session to an inner address.
func (l *Link) Dial(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc {
	dialer := &transport.Dialer{
		Address: transport.SessionURL(address, l.Certificates, l.Config.AllowPlaintext),
		Config:  l.Config,
		Hello:   hello,
		Handler: h,
	}
	return dialer.Connect
}

// Hello returns the greeting of this process. address is where others reach it, empty if they do not.
func (l *Link) Hello(instance, dataCentre, address string) func() protocol.Hello {
	return func() protocol.Hello {
		return protocol.Hello{Version: protocol.Version, Instance: fleet.InstanceID(instance), Boot: l.boot,
			DataCentre: fleet.DataCentre(dataCentre), Address: address}
	}
}
