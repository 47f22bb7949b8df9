package dispatch

import (
	"math/rand/v2"
	"time"
)

// Each entry instance of a large fleet sees too few responses to know the loads of the engines: of 192 engines behind 58
// instances, an engine answers an instance every 20 seconds. The coordinators of the lock-step groups therefore send the
// loads that the rank processes read. All instances receive the same loads, some hundred milliseconds old: if each chose the
// least loaded engine, all would choose the same few until the next reading. So each draws a few engines and takes the
// least loaded of these.

// UnknownLoad is the load of a rank that has not been read recently.
const UnknownLoad = -1

// drawnServers is the number of servers drawn for a choice from those of the own data centre, and again from all. A second
// one shortens the queues most; with more, the instances crowd where the last reading showed idle servers.
const drawnServers = 2

// RecordGroupLoads records the requests that run and wait at the ranks of a lock-step group, as read beside the engines.
func (d *Dispatcher) RecordGroupLoads(now time.Time, service, group string, loads []int) {
	g := d.gapsByGroup[groupKey(service, group)]
	if g == nil {
		return // not announced yet
	}
	for _, s := range g.ranks {
		rank := s.announcement.Group.Rank
		if rank < 0 || rank >= len(loads) || loads[rank] < 0 {
			continue
		}
		s.otherRequests = float64(max(0, loads[rank]-s.inFlight))
		s.loadReportedAt, s.loadSharedAt = now, now
	}
}

// candidate is a server that may be chosen, with its cost.
type candidate struct {
	server *server
	cost   float64
}

// candidates are the servers that may be chosen for one attempt.
type candidates struct {
	all, local []candidate // local are those of the own data centre
	shared     bool        // their loads are shared with the other entry instances
}

func (c *candidates) reset() {
	c.all, c.local, c.shared = c.all[:0], c.local[:0], false
}

// cheapest returns the server with the lowest cost, the first of several, nil if there is none.
func cheapest(servers []candidate) *candidate {
	var best *candidate
	for i := range servers {
		if best == nil || servers[i].cost < best.cost {
			best = &servers[i]
		}
	}
	return best
}

// cheapestDrawn returns the server with the lowest cost among some that are drawn at random, nil if there is none.
func cheapestDrawn(random *rand.Rand, servers []candidate) *candidate {
	if len(servers) <= drawnServers {
		return cheapest(servers)
	}
	var best *candidate
	for range drawnServers {
		if c := &servers[random.IntN(len(servers))]; best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// choose returns the server for an attempt, nil if there is none.
func (c *candidates) choose(random *rand.Rand) *server {
	best := cheapest(c.all)
	if c.shared {
		best = cheapestDrawn(random, c.all)
		if local := cheapestDrawn(random, c.local); local != nil && local.cost <= best.cost {
			best = local
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}
