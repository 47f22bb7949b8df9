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
	mean := meanLoad(loads)
	for _, s := range g.ranks {
		rank := s.announcement.Group.Rank
		switch {
		case rank < 0 || rank >= len(loads):
		case loads[rank] >= 0:
			s.otherRequests = float64(max(0, loads[rank]-s.inFlight))
			s.loadReportedAt, s.loadSharedAt = now, now
		case mean != UnknownLoad && now.Sub(s.loadReportedAt) > loadDecayAfter:
			// Its process does not report yet, as after a cut. Taken for idle, it would get the requests of all instances.
			s.otherRequests = max(0, mean-float64(s.inFlight))
			s.loadReportedAt, s.loadSharedAt = now, now
		}
	}
}

// meanLoad returns the mean of the known loads, UnknownLoad if most are unknown.
func meanLoad(loads []int) float64 {
	sum, known := 0, 0
	for _, load := range loads {
		if load >= 0 {
			sum += load
			known++
		}
	}
	if 2*known <= len(loads) {
		return UnknownLoad
	}
	return float64(sum) / float64(known)
}

// candidate is a server that may be chosen, with its cost.
type candidate struct {
	server *server
	cost   float64
}

// candidates are the servers that may be chosen for one attempt. Those with a penalty are kept apart: of a few drawn from
// all, each could be one of them.
type candidates struct {
	sound, penalised []candidate
	local            []candidate // the sound ones of the own data centre
	shared           bool        // the loads are shared with the other entry instances
}

func (c *candidates) reset() {
	c.sound, c.penalised, c.local, c.shared = c.sound[:0], c.penalised[:0], c.local[:0], false
}

func (c *candidates) add(s *server, loadCost, penalty float64, local, shared bool) {
	added := candidate{s, loadCost + penalty}
	c.shared = c.shared || shared
	if penalty > 0 {
		c.penalised = append(c.penalised, added)
		return
	}
	c.sound = append(c.sound, added)
	if local {
		c.local = append(c.local, added)
	}
}

// choose returns the server for an attempt, nil if there is none: the cheapest, or the cheapest of those drawn if the other
// instances choose by the same loads.
func (c *candidates) choose(random *rand.Rand) *server {
	var best candidate
	for _, servers := range [][]candidate{c.local, c.sound, c.penalised} {
		var found candidate
		if c.shared && len(servers) > drawnServers {
			found = cheapestDrawn(random, servers)
		} else {
			found = cheapest(servers)
		}
		if best.server == nil || found.server != nil && found.cost < best.cost {
			best = found
		}
	}
	return best.server
}

// cheapest returns the server with the lowest cost, the first of several, and the zero value if there is none.
func cheapest(servers []candidate) candidate {
	var best candidate
	for _, c := range servers {
		if best.server == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// cheapestDrawn returns the server with the lowest cost among some that are drawn at random.
func cheapestDrawn(random *rand.Rand, servers []candidate) candidate {
	best := servers[random.IntN(len(servers))]
	for range drawnServers - 1 {
		if c := servers[random.IntN(len(servers))]; c.cost < best.cost {
			best = c
		}
	}
	return best
}
