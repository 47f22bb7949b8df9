package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/quarantine"
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
	if len(news.Limits) == 0 {
		return
	}
	d.relay(from, news)
	for _, g := range d.grants {
		g.updatedAt = time.Time{}
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

const (
	// maxWantedPermits limits what one request for permits costs.
	maxWantedPermits = 256
	// maxStandsInFor is the most control instances for which another one may stand in: more are not in reach of any entry instance.
	maxStandsInFor = 4
	// standsInForHold is how long a number of them holds after it was last named: entry instances without requests do not ask.
	standsInForHold = 2 * grants.PermitLifetime
)

// serviceGrants grants the permits of a service.
type serviceGrants struct {
	*grants.Granter
	known     int // servers with a limit
	updatedAt time.Time
	askedAt   time.Time
	// standsInFor is the highest number of control instances that an entry instance has named lately. Others may not know that these may
	// still grant to somebody.
	standsInFor   int
	standsInForAt time.Time // when it was last named
}

// recordStandsInFor records for how many control instances an entry instance asks for permits here.
func (g *serviceGrants) recordStandsInFor(now time.Time, standsInFor int) {
	if standsInFor < g.standsInFor && now.Sub(g.standsInForAt) <= standsInForHold {
		return
	}
	if standsInFor != g.standsInFor {
		g.updatedAt = time.Time{} // the limits have changed
	}
	g.standsInFor, g.standsInForAt = standsInFor, now
}

const (
	// grantsUpdateInterval is the interval at which a granter is given the servers that are ready, if no limit changes.
	grantsUpdateInterval = 250 * time.Millisecond
	// grantsExpiry is the time without a request after which a granter is dropped.
	grantsExpiry = time.Minute
)

// grantPermits answers an entry instance that asks for permits. All of them ask the same control instance for a service.
func (d *Directory) grantPermits(now time.Time, s transport.Session, m *protocol.PermitRequest) {
	standsInFor := min(max(m.StandsInFor, 0), maxStandsInFor)
	g := d.grants[m.Service]
	if g == nil {
		g = &serviceGrants{Granter: grants.New()}
		if quarantine.IsTrial(m.Service) {
			g.Granter = grants.NewTrials(now, m.Service, grants.DeputyRatio(standsInFor))
		}
		d.grants[m.Service] = g
	}
	g.askedAt = now
	g.recordStandsInFor(now, standsInFor)
	if !quarantine.IsTrial(m.Service) && now.Sub(g.updatedAt) >= grantsUpdateInterval {
		g.updatedAt = now
		d.updateGrants(now, m.Service, g)
	}
	servers, retryAfter := g.Grant(now, min(max(m.Wanted, 0), maxWantedPermits))
	metrics.GetOrCreateCounter("banyanfront_permits_granted_total").Add(len(servers))
	transport.TrySend(s, &protocol.Permits{Service: m.Service, Servers: servers, RetryAfterMS: retryAfter.Milliseconds(), Outdated: g.known < m.Limited})
}

// updateGrants gives a granter the limits of those servers of its service that can be used.
func (d *Directory) updateGrants(now time.Time, service string, g *serviceGrants) {
	var limits []grants.Limit
	g.known = 0
	evacuated := d.State().Evacuated
	for server, l := range d.serverLimits {
		record := d.servers.Get(server)
		if record == nil || record.Service != service || record.StartedAtMillis != l.StartedAtMillis {
			continue
		}
		g.known++
		if record.State == registry.Ready && !slices.Contains(evacuated, record.DataCentre) {
			limits = append(limits, grants.Limit{Server: server, RequestsPerSecond: l.RequestsPerSecond * grants.DeputyRatio(g.standsInFor)})
		}
	}
	g.Update(now, limits)
}

// expireServerLimits drops the limits of servers that are gone.
func (d *Directory) expireServerLimits(now time.Time) {
	maps.DeleteFunc(d.grants, func(_ string, g *serviceGrants) bool { return now.Sub(g.askedAt) > grantsExpiry })
	maps.DeleteFunc(d.serverLimits, func(server string, _ protocol.ServerLimit) bool { return d.servers.Get(server) == nil })
}
