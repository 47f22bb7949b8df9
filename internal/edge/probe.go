package edge

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/registry"
)

// probeLostDataCentres tries connections to the servers of lost data centres until the context ends.
func (p *Proxy) probeLostDataCentres(ctx context.Context) {
	tick := time.NewTicker(dispatch.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, server := range p.updatePaths() {
			go p.probe(ctx, server)
		}
	}
}

// updatePaths updates whether this instance is cut off, and returns the servers that are to be probed now.
func (p *Proxy) updatePaths() []registry.Announcement {
	var due []registry.Announcement
	cutOff := false
	p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { due, cutOff = d.DueProbes(now), d.UpdateCutOff(now) })
	switch before := p.cutOff.Swap(cutOff); {
	case cutOff && !before:
		log.Warn("cut off from most data centres, and a service has no server within reach: this instance is not ready")
	case !cutOff && before:
		log.Info("most data centres are within reach again: this instance is ready")
	}
	return due
}

// probe tries a connection to a server of a lost data centre, and keeps it for a request. A refused connection is a sign of
// life too.
func (p *Proxy) probe(ctx context.Context, server registry.Announcement) {
	view := p.view.Load()
	if view == nil {
		return
	}
	if err := p.client.Connect(ctx, server.Server, server.Address, p.connectionLimit(view, server.Service)); err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		log.WithError(err).WithFields(log.Fields{"dataCentre": server.DataCentre, "server": server.Server}).Debug("data centre is still lost")
		return
	}
	returned := false
	p.withDispatcher(func(_ time.Time, d *dispatch.Dispatcher) { returned = d.RecordReachable(server.DataCentre) })
	if returned {
		log.WithFields(log.Fields{"dataCentre": server.DataCentre, "server": server.Server}).Info("data centre is reachable again")
	}
}
