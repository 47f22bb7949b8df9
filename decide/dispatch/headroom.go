package dispatch

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/admission"
)

// RecordArrival counts a caller's request for a service by its priority.
func (d *Dispatcher) RecordArrival(now time.Time, service string, priority int) {
	a := d.arrivals[service]
	if a == nil {
		a = &admission.Arrivals{}
		d.arrivals[service] = a
	}
	a.Record(now, priority)
}

// headroom returns the room that each server of a service keeps free for requests that are more urgent than a priority.
func (d *Dispatcher) headroom(now time.Time, request *Request) float64 {
	a := d.arrivals[request.Service]
	if !d.config.CompetingCallers || a == nil || request.Retry {
		return 0
	}
	return admission.Headroom(float64(d.instances)*a.MoreUrgent(now, request.Priority), len(d.byService[request.Service]))
}
