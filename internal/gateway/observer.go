package gateway

import "github.com/banyanfront/banyanfront/decide/fleet"

// Observer learns how calls end. Traffic goroutines call it, so it must not block.
type Observer interface {
	// CallEnded is called at the end of each call of a caller of this instance. err is nil if the caller got an answer.
	CallEnded(organisation fleet.Organisation, err error)
	// Used is called when a backend server of the own data centre has begun to answer.
	Used(organisation fleet.Organisation, target fleet.Target, server fleet.ServerID)
}

func (g *Gateway) callEnded(c *call, err error) {
	if g.config.Observer != nil {
		g.config.Observer.CallEnded(c.organisation, err)
	}
}

func (g *Gateway) used(c *call, place *placement) {
	if g.config.Observer != nil && !place.spilled() {
		g.config.Observer.Used(c.organisation, c.target, place.server)
	}
}
