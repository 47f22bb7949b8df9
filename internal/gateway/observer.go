package gateway

import "github.com/banyanfront/banyanfront/decide/fleet"

// Observer is notified of the progress of calls. Its methods are called by the goroutines that serve requests, so they
// must not block.
type Observer interface {
	// CallEnded is called when a call made to this instance has ended. err is nil if the caller received an answer.
	CallEnded(organisation fleet.Organisation, err error)
	// ServerUsed is called when a backend server of the own data centre has begun to answer.
	ServerUsed(organisation fleet.Organisation, target fleet.Target, server fleet.ServerID)
}

func (g *Gateway) notifyCallEnded(c *call, err error) {
	if g.config.Observer != nil {
		g.config.Observer.CallEnded(c.organisation, err)
	}
}

func (g *Gateway) notifyServerUsed(c *call, place *placement) {
	if g.config.Observer != nil && !place.spilled() {
		g.config.Observer.ServerUsed(c.organisation, c.target, place.server)
	}
}
