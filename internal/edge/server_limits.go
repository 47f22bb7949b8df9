package edge

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/internal/backendhttp"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// recordServerLimit records the limit that a server has named in a response, or that it no longer names one, and tells the
// other entry instances if that is news.
func (p *Proxy) recordServerLimit(choice *dispatch.Choice, response *backendhttp.Response) {
	requestsPerSecond := 0.0
	if text := response.Header.Get(platform.HeaderRateLimit); text != "" {
		parsed, ok := grants.ParseLimit(text)
		if !ok {
			log.WithFields(log.Fields{"server": choice.Server.Server, "value": text}).Warn("the server names a limit that is no number")
			return
		}
		requestsPerSecond = parsed
	} else if response.Status == http.StatusMisdirectedRequest || response.Header.Get(platform.HeaderNotRun) != "" ||
		response.Header.Get(platform.HeaderSeal) == "" {
		return // a rejection, or what is no answer of the server, need not name the limit
	}
	var limit dispatch.Limit
	news := false
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) {
		limit, news = d.RecordLimit(now, choice, requestsPerSecond)
	})
	if !news {
		return
	}
	log.WithFields(log.Fields{"server": limit.Server, "requestsPerSecond": limit.RequestsPerSecond}).
		Info("the server has changed its limit of requests from all entry instances; 0 is none")
	message := &protocol.ServerLimits{Limits: []protocol.ServerLimit{protocol.ServerLimit(limit)}}
	p.post(func(time.Time) { broadcast(p.fleetState, message) })
}

// applyServerLimits applies limits that servers have named to other entry instances.
func (f *fleetState) applyServerLimits(now time.Time, m *protocol.ServerLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range m.Limits {
		f.dispatcher.SetLimit(now, dispatch.Limit(l))
	}
}

// updateGranting tells the dispatcher whether a control instance can grant permits. Only the goroutine of run calls it.
func (f *fleetState) updateGranting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.SetGranting(len(f.sessions) > 0)
}

// awaitPermits returns a channel that is closed once the next request for permits of a service is answered. The lock is held.
func (f *fleetState) awaitPermits(service string) <-chan struct{} {
	answered := f.permitsAnswered[service]
	if answered == nil {
		answered = make(chan struct{})
		f.permitsAnswered[service] = answered
	}
	return answered
}

// requestPermits asks the control instance that grants for a service, or for a trial: all entry instances that reach the same ones ask
// the same.
func (f *fleetState) requestPermits(service string, wanted, limited int) {
	f.post(func(now time.Time) {
		controls := make([]grants.Control, 0, len(f.sessions)+len(f.lostControls))
		for session := range f.sessions {
			controls = append(controls, grants.Control{Address: session.Peer().Address})
		}
		for address, lostAt := range f.lostControls {
			controls = append(controls, grants.Control{Address: address, LostAt: lostAt})
		}
		granter, standsInFor := grants.ChooseGranter(now, service, controls)
		for session := range f.sessions {
			if session.Peer().Address == granter {
				transport.TrySend(session, &protocol.PermitRequest{Service: service, Wanted: wanted, Limited: limited, StandsInFor: standsInFor})
				return
			}
		}
	})
}

// recordControl records that a session with a control instance was opened or lost.
func (f *fleetState) recordControl(now time.Time, s transport.Session, open bool) {
	address := s.Peer().Address
	delete(f.lostControls, address)
	if open {
		return
	}
	if f.reaches(address) { // the session was replaced
		return
	}
	if len(f.lostControls) >= maxLostControls {
		clear(f.lostControls)
	}
	f.lostControls[address] = now
}

// reaches reports whether there is a session with the control instance at an address.
func (f *fleetState) reaches(address string) bool {
	for session := range f.sessions {
		if session.Peer().Address == address {
			return true
		}
	}
	return false
}

// recordUnreached records control instances as lost to which no session could be opened since they became known: they may grant permits to
// others, as in a cut during which this instance has started.
func (f *fleetState) recordUnreached(now time.Time) {
	known := f.controlAddresses()
	maps.DeleteFunc(f.controlsKnownAt, func(address string, _ time.Time) bool { return !slices.Contains(known, address) })
	for _, address := range known {
		knownAt, ok := f.controlsKnownAt[address]
		if !ok {
			f.controlsKnownAt[address] = now
			continue
		}
		if _, lost := f.lostControls[address]; !lost && now.Sub(knownAt) > unreachedAfter && !f.reaches(address) {
			f.lostControls[address] = knownAt
		}
	}
}

// unreachedAfter is the time in which a session with a control instance is usually opened.
const unreachedAfter = time.Second

// maxLostControls limits the control instances that are remembered after they were lost.
const maxLostControls = 64

// applyPermits passes permits to the dispatcher, and sends the limits to a control instance that does not know all of them.
func (f *fleetState) applyPermits(now time.Time, s transport.Session, m *protocol.Permits) {
	f.mu.Lock()
	f.answerTrial(m)
	f.dispatcher.RecordPermits(now, m.Service, m.Servers, time.Duration(m.RetryAfterMS)*time.Millisecond)
	if answered := f.permitsAnswered[m.Service]; answered != nil {
		close(answered)
		delete(f.permitsAnswered, m.Service)
	}
	f.mu.Unlock()
	if m.Outdated && now.Sub(f.limitsSentAt) > limitsResendInterval {
		f.limitsSentAt = now
		f.sendServerLimits(s)
	}
}

// limitsResendInterval is the minimum interval of sending all limits to control instances that lack some.
const limitsResendInterval = time.Second

// hasLimitedServers reports whether a server of a service names a limit; calls for it wait for permits.
func (f *fleetState) hasLimitedServers(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.LimitedServers(service) > 0
}

// countServerLimits updates the number of servers that name a limit.
func (f *fleetState) countServerLimits() {
	f.mu.Lock()
	defer f.mu.Unlock()
	metrics.GetOrCreateGauge("banyanfront_limited_servers", nil).Set(float64(len(f.dispatcher.Limits())))
}

// sendServerLimits sends all limits to a control instance, which may have started without them.
func (f *fleetState) sendServerLimits(s transport.Session) {
	f.mu.Lock()
	limits := f.dispatcher.Limits()
	f.mu.Unlock()
	if len(limits) == 0 {
		return
	}
	message := &protocol.ServerLimits{}
	for _, l := range limits {
		message.Limits = append(message.Limits, protocol.ServerLimit(l))
	}
	transport.TrySend(s, message)
}
