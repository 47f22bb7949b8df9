package dispatch

import "time"

// groupOutage is the time for which callers of a lock-step group get little after a rank has crashed: its restart, the forming
// of the group and the queue that has built up.
const groupOutage = 7 * time.Second

// AtStake estimates how many requests a crash of the chosen server costs, beyond those that are open there: a lock-step group
// stands still as a whole, while other servers of a service share the load.
func (d *Dispatcher) AtStake(now time.Time, c *Choice) float64 {
	g := c.Server.Group
	servers := d.byService[c.Server.Service]
	if g.Name == "" || len(servers) == 0 {
		return 0
	}
	ranks := 0
	for _, s := range servers {
		if s.announcement.Group.Name == g.Name {
			ranks++
		}
	}
	share := float64(ranks) / float64(len(servers))
	arrivals := d.retryBudgetFor(c.Server.Service).requestsIn(now) * d.instances
	return share * float64(arrivals) * groupOutage.Seconds() / d.config.RetryWindow.Seconds()
}

// ArrivalRate returns the requests a second for a service at this instance.
func (d *Dispatcher) ArrivalRate(now time.Time, service string) float64 {
	return float64(d.retryBudgetFor(service).requestsIn(now)) / d.config.RetryWindow.Seconds()
}

// requestsIn returns the requests of the window.
func (b *retryBudget) requestsIn(now time.Time) (requests int) {
	b.advanceTo(now)
	for _, n := range b.requests {
		requests += n
	}
	return requests
}
