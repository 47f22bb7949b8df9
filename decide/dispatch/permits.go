package dispatch

import (
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/grants"
)

// A server that names a limit takes few requests a second. Where many instances share it, the part of each would permit a request
// every half minute, and most of it would lapse. So the instances ask a control instance for permits as they have requests
// (package grants), and use their part only while none answers.

const (
	// PermitTimeout is the time without an answer to a request for permits after which the instance uses its part of the limits.
	PermitTimeout = 300 * time.Millisecond
	// minPermitInterval is the minimum interval of requests for permits while not all are granted, and permitIntervalPerInstance
	// what each instance adds to it: so much of the control instance's time is used at most, however many ask.
	minPermitInterval         = 100 * time.Millisecond
	permitIntervalPerInstance = 2 * time.Millisecond
	// permitHorizon is the number of intervals for whose requests permits are asked.
	permitHorizon = 2.5
	// demandWindow is the time after which the number of earlier requests says nothing about the next.
	demandWindow = time.Second
)

// permitDemand is what an instance needs for those servers of a service that name a limit, and what it has asked for.
type permitDemand struct {
	choices     int       // of a server since the last request for permits, while a server of the service named a limit
	requestedAt time.Time // when permits were last asked for
	// unansweredSince is the time of the first request for permits since the last answer, zero if all were answered.
	unansweredSince time.Time
	granted         bool // the last request was met
	retryAfter      time.Duration
}

// SetGranting sets whether a control instance can be asked for permits.
func (d *Dispatcher) SetGranting(granting bool) { d.granting = granting }

// usesPermits reports whether requests to the servers of a service that name a limit need permits.
func (d *Dispatcher) usesPermits(now time.Time, service string) bool {
	p := d.permitDemand[service]
	return d.granting && (p == nil || p.unansweredSince.IsZero() || now.Sub(p.unansweredSince) <= PermitTimeout)
}

// noteDemand counts a choice for a service of which a server names a limit.
func (d *Dispatcher) noteDemand(service string) {
	p := d.permitDemand[service]
	if p == nil {
		p = &permitDemand{}
		d.permitDemand[service] = p
	}
	p.choices++
}

// PermitsWanted returns the number of permits that the instance should ask for now, 0 if none. The caller asks for them.
func (d *Dispatcher) PermitsWanted(now time.Time, service string) int {
	p := d.permitDemand[service]
	if !d.granting || p == nil || p.choices == 0 {
		return 0
	}
	age, interval := now.Sub(p.requestedAt), d.permitInterval()
	unanswered := !p.unansweredSince.IsZero()
	if unanswered && age <= PermitTimeout || !unanswered && !p.granted && age < interval {
		return 0
	}
	stock := 0
	for _, s := range d.byService[service] {
		if now.Before(s.permitsUntil) {
			stock += s.permits
		}
	}
	wanted := 1
	if age <= demandWindow {
		horizon := min(permitHorizon*interval.Seconds(), grants.PermitLifetime.Seconds())
		wanted = int(math.Ceil(float64(p.choices) * horizon / max(age, interval).Seconds()))
	}
	if wanted -= stock; wanted <= 0 {
		return 0
	}
	p.choices, p.requestedAt = 0, now
	if !unanswered {
		p.unansweredSince = now
	}
	return wanted
}

// permitInterval returns the interval of requests for permits while not all are granted.
func (d *Dispatcher) permitInterval() time.Duration {
	return max(minPermitInterval, time.Duration(d.instances)*permitIntervalPerInstance)
}

// AwaitsPermits reports whether a request for permits of a service is not answered yet.
func (d *Dispatcher) AwaitsPermits(now time.Time, service string) bool {
	p := d.permitDemand[service]
	return p != nil && !p.unansweredSince.IsZero() && d.usesPermits(now, service)
}

// RecordPermits records the answer to a request for permits: one for each of the servers, and the time until more requests can be
// served if there were too few.
func (d *Dispatcher) RecordPermits(now time.Time, service string, servers []string, retryAfter time.Duration) {
	p := d.permitDemand[service]
	if p == nil {
		return
	}
	p.unansweredSince, p.granted, p.retryAfter = time.Time{}, retryAfter == 0, retryAfter
	for _, server := range servers {
		s := d.servers[server]
		if s == nil {
			continue
		}
		if s.permits == 0 || !now.Before(s.permitsUntil) {
			s.permits, s.permitsUntil = 0, now.Add(grants.PermitLifetime) // later ones lapse with the first
		}
		s.permits++
	}
}

// rateExclusion returns why the rate of a server does not permit a request now, and how long that lasts. The reason is empty if it
// permits one.
func (d *Dispatcher) rateExclusion(now time.Time, s *server) (Reason, time.Duration) {
	rate, reason := d.allowedRate(now, s)
	if rate == 0 {
		return "", 0
	}
	service := s.announcement.Service
	if reason == Limited && d.usesPermits(now, service) {
		if s.permits > 0 && now.Before(s.permitsUntil) {
			return "", 0
		}
		if p := d.permitDemand[service]; p != nil {
			return Limited, p.retryAfter
		}
		return Limited, 0
	}
	if wait := s.rate.wait(now, rate, d.part(rate, 0), d.random); wait > 0 {
		return reason, wait
	}
	return "", 0
}

// useRate counts a request to a server against its rate.
func (d *Dispatcher) useRate(now time.Time, s *server) {
	rate, reason := d.allowedRate(now, s)
	switch {
	case rate == 0:
	case reason == Limited && d.usesPermits(now, s.announcement.Service):
		s.permits--
	default:
		s.rate.take(now)
	}
}
