package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// A data centre that is cut off accepts no connections, and each attempt at one of its servers costs its caller half a second.
// With dozens of servers there, an instance that avoids them one by one spends the whole cut on that. So a few servers that
// do not answer, with no sign of life from their data centre in between, exclude it as a whole. Connections that carry no
// request find out when it is back.

const (
	// lostAfterServers is the number of servers of a data centre that must have failed to accept a connection in time since
	// the last sign of life from there: a crashed machine or two also accept none.
	lostAfterServers = 3
	// ProbeInterval is the interval at which a connection to a lost data centre is tried.
	ProbeInterval = 250 * time.Millisecond
)

// path is the state of the path from this instance to a data centre.
type path struct {
	silent    []string  // servers that have not accepted a connection in time since the last sign of life
	lostSince time.Time // zero while the data centre is reachable
	probeAt   time.Time // when the next connection is tried
	probes    int
}

// RecordUnreachable records that a server did not accept a connection in time. It reports whether the server's data centre
// counts as lost from now on.
func (d *Dispatcher) RecordUnreachable(now time.Time, c *Choice) bool {
	d.RecordFailure(now, c)
	p := d.paths[c.Server.DataCentre]
	if p == nil {
		p = &path{}
		d.paths[c.Server.DataCentre] = p
	}
	if !p.lostSince.IsZero() {
		return false
	}
	if !slices.Contains(p.silent, c.Server.Server) {
		p.silent = append(p.silent, c.Server.Server)
	}
	if len(p.silent) < lostAfterServers {
		return false
	}
	p.lostSince, p.probeAt = now, now.Add(ProbeInterval)
	return true
}

// RecordReachable records a sign of life from a data centre. It reports whether the data centre had been lost.
func (d *Dispatcher) RecordReachable(dataCentre string) bool {
	p := d.paths[dataCentre]
	if p == nil {
		return false
	}
	delete(d.paths, dataCentre)
	for _, id := range p.silent {
		if s := d.servers[id]; s != nil && s.announcement.DataCentre == dataCentre {
			s.consecutiveFailures, s.avoidUntil = 0, time.Time{}
		}
	}
	return !p.lostSince.IsZero()
}

// lostSince returns since when a data centre has been lost, the zero time if it is reachable.
func (d *Dispatcher) lostSince(dataCentre string) time.Time {
	if p := d.paths[dataCentre]; p != nil {
		return p.lostSince
	}
	return time.Time{}
}

// DueProbes returns a server of each lost data centre to which a connection is to be tried now, each time another one.
func (d *Dispatcher) DueProbes(now time.Time) []registry.Announcement {
	var due []registry.Announcement
	for dataCentre, p := range d.paths {
		if p.lostSince.IsZero() || now.Before(p.probeAt) {
			continue
		}
		var servers []registry.Announcement
		for _, s := range d.servers {
			if s.announcement.DataCentre == dataCentre && s.announcement.State == registry.Ready {
				servers = append(servers, s.announcement)
			}
		}
		if len(servers) == 0 {
			delete(d.paths, dataCentre) // none is left that could be lost
			continue
		}
		slices.SortFunc(servers, func(a, b registry.Announcement) int { return cmp.Compare(a.Server, b.Server) })
		due = append(due, servers[p.probes%len(servers)])
		p.probes++
		p.probeAt = now.Add(ProbeInterval)
	}
	return due
}
