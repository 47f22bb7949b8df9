package directory

import (
	"maps"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// relayServerLimits records limits that backend servers have named to an entry instance, and sends what is news to the others.
func (d *Directory) relayServerLimits(from transport.Session, m *protocol.ServerLimits) {
	news := &protocol.ServerLimits{}
	for _, l := range m.Limits {
		known, ok := d.serverLimits[l.Server]
		if ok && known == l || !ok && l.RequestsPerSecond == 0 {
			continue
		}
		if d.serverLimits[l.Server] = l; l.RequestsPerSecond == 0 {
			delete(d.serverLimits, l.Server)
		}
		news.Limits = append(news.Limits, l)
	}
	if len(news.Limits) > 0 {
		d.relay(from, news)
	}
}

// sendServerLimits sends all limits to an entry instance that starts.
func (d *Directory) sendServerLimits(s transport.Session) {
	if len(d.serverLimits) == 0 {
		return
	}
	message := &protocol.ServerLimits{}
	for _, l := range d.serverLimits {
		message.Limits = append(message.Limits, l)
	}
	transport.TrySend(s, message)
}

// expireServerLimits drops the limits of servers that are gone.
func (d *Directory) expireServerLimits() {
	maps.DeleteFunc(d.serverLimits, func(server string, _ protocol.ServerLimit) bool { return d.servers.Get(server) == nil })
}
