package dispatch

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// An instance that has lost most of the other data centres is itself on the wrong side of a cut. While it can serve its callers
// from its own data centre, it does; otherwise it asks not to get any more of them, since instances elsewhere can serve them.

// UpdateCutOff returns whether this instance is cut off: it has lost more than half of the other data centres, and a service
// has no server that it can use. Once cut off, it stays so until it reaches the data centres again, as without requests
// it learns nothing of its own servers.
func (d *Dispatcher) UpdateCutOff(now time.Time) bool {
	switch {
	case !d.lostMostDataCentres():
		d.cutOffSince = time.Time{}
	case d.cutOffSince.IsZero() && d.lacksAService(now):
		d.cutOffSince = now
	}
	return !d.cutOffSince.IsZero()
}

// lostMostDataCentres reports whether more than half of the data centres with servers, other than the own one, are lost.
func (d *Dispatcher) lostMostDataCentres() bool {
	if len(d.paths) == 0 {
		return false
	}
	others, lost := map[string]bool{}, 0
	for _, s := range d.servers {
		dataCentre := s.announcement.DataCentre
		if s.announcement.State != registry.Ready || dataCentre == d.config.DataCentre || others[dataCentre] {
			continue
		}
		others[dataCentre] = true
		if !d.lostSince(dataCentre).IsZero() {
			lost++
		}
	}
	return 2*lost > len(others)
}

// lacksAService reports whether a service has servers that are ready, but none that this instance can use.
func (d *Dispatcher) lacksAService(now time.Time) bool {
	for _, servers := range d.byService {
		ready, usable := false, false
		for _, s := range servers {
			if s.announcement.State != registry.Ready {
				continue
			}
			ready = true
			usable = usable || !d.evacuated[s.announcement.DataCentre] && d.lostSince(s.announcement.DataCentre).IsZero() && d.closedGroup(now, s) == nil
		}
		if ready && !usable {
			return true
		}
	}
	return false
}

// unreachableFor returns after what time a caller should come back whose request only a lost data centre could serve. Callers of
// an instance that is cut off reach another one once the balancer has taken this one out. Otherwise, as with a group, the
// longer the outage has lasted, the longer it is expected to last.
func (d *Dispatcher) unreachableFor(now, lostSince time.Time) time.Duration {
	if !d.cutOffSince.IsZero() {
		return max(d.cutOffSince.Add(d.config.DeregistrationDelay).Sub(now), ProbeInterval)
	}
	return max(now.Sub(lostSince), ProbeInterval)
}
