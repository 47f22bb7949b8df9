package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/registry"
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

// maxWantedPermits limits what one request for permits costs.
const maxWantedPermits = 256

// grantPermits answers an entry instance that asks for permits. All of them ask the same control instance for a service.
func (d *Directory) grantPermits(now time.Time, s transport.Session, m *protocol.PermitRequest) {
	var limits []grants.Limit
	known := 0
	evacuated := d.State().Evacuated
	for server, l := range d.serverLimits {
		record := d.servers.Get(server)
		if record == nil || record.Service != m.Service || record.StartedAtMillis != l.StartedAtMillis {
			continue
		}
		known++
		if record.State == registry.Ready && !slices.Contains(evacuated, record.DataCentre) {
			limits = append(limits, grants.Limit{Server: server, RequestsPerSecond: l.RequestsPerSecond})
		}
	}
	servers, retryAfter := d.grants.Grant(now, m.Service, limits, min(max(m.Wanted, 0), maxWantedPermits))
	metrics.GetOrCreateCounter("banyanfront_permits_granted_total").Add(len(servers))
	transport.TrySend(s, &protocol.Permits{Service: m.Service, Servers: servers, RetryAfterMS: retryAfter.Milliseconds(), Outdated: known < m.Limited})
}

// expireServerLimits drops the limits of servers that are gone.
func (d *Directory) expireServerLimits(now time.Time) {
	d.grants.Expire(now)
	maps.DeleteFunc(d.serverLimits, func(server string, _ protocol.ServerLimit) bool { return d.servers.Get(server) == nil })
}
