package dispatch

import (
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
)

const (
	// paceStep is the time over which pauses are averaged: all streams of a group see the same pass at once.
	paceStep = 100 * time.Millisecond
	// paceSteps are remembered. Demand for experts that shifts makes passes slow for about a second, every few seconds, and a
	// request that runs for two seconds meets the slowest of them.
	paceSteps = 40
	// paceRank is the rank of the step that counts among the slowest ones, so that a single odd pass does not.
	paceRank = 3
	// paceFreshFor is how long pauses are taken for the present pace.
	paceFreshFor = time.Second
	// paceMargin is the part of the longest pause that is used: passes differ by the prompts that are read in them.
	paceMargin = 0.95
	// waitShare is the part of a route's objective that a request may wait at a server before it is begun.
	waitShare = 0.5
	// leastShare is the part of a server's slots that is always used: below it refusals would leave engines idle.
	leastShare = 0.5
	// lateShare is the part of the limit that is open to requests that miss their objective in any case.
	lateShare = 0.8
)

// pace is how fast a lock-step group, or a single engine, makes passes. One event of a stream is one pass.
type pace struct {
	at     time.Time          // of the newest pause
	step   int64              // number of the newest step
	pauses [paceSteps]float64 // sum of the pauses in a step, seconds
	counts [paceSteps]int
	loads  [paceSteps]float64 // sum of the mean loads of the servers, one for each pause

	ranks  []*server // the group's servers at present; empty for a single engine
	digest digest
}

// digest is what the remembered steps amount to for an engine. It is kept until the next pause, since each choice asks for it
// once for each server of the group.
type digest struct {
	engine  *routes.Engine // nil if there is none
	pause   float64        // mean of the pauses, seconds
	stretch float64
}

// see takes in the time between two events of one stream, with the mean load of the servers.
func (p *pace) see(now time.Time, pause time.Duration, load float64) {
	step := now.UnixNano() / int64(paceStep)
	for p.step = max(p.step, step-paceSteps); p.step < step; {
		p.step++
		i := p.step % paceSteps
		p.pauses[i], p.counts[i], p.loads[i] = 0, 0, 0
	}
	i := step % paceSteps
	p.pauses[i] += pause.Seconds()
	p.loads[i] += load
	p.counts[i]++
	p.at = now
	p.digest.engine = nil
}

// fresh reports whether the pace is known at present.
func (p *pace) fresh(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) < paceFreshFor }

// pause returns the mean pause of the remembered steps, in seconds.
func (p *pace) pause() float64 {
	sum, n := 0.0, 0
	for i, count := range p.counts {
		sum, n = sum+p.pauses[i], n+count
	}
	return sum / float64(max(n, 1))
}

// stretch returns how much longer the slow passes took than the engine's own description says for their load. What they take
// beyond it, for reading, uneven experts or a slow rank, grows with the number of requests like the rest.
func (p *pace) stretch(e *routes.Engine) float64 {
	var slowest [paceRank]float64
	for i, count := range p.counts {
		if count == 0 {
			continue
		}
		n := float64(count)
		at := p.pauses[i] / n / (float64(e.Stride) * (e.StepTime.Seconds() + e.StepTimePerRequest.Seconds()*max(p.loads[i]/n, 1)))
		for rank := range slowest {
			if at > slowest[rank] {
				at, slowest[rank] = slowest[rank], at
			}
		}
	}
	return slowest[paceRank-1]
}

// digestFor returns what the pauses so far amount to for an engine.
func (p *pace) digestFor(e *routes.Engine) *digest {
	if p.digest.engine != e {
		p.digest = digest{engine: e, pause: p.pause(), stretch: p.stretch(e)}
	}
	return &p.digest
}

// requestsWithin returns how many requests an engine can write at once while its slow passes still take at most longest.
func (p *pace) requestsWithin(e *routes.Engine, longest time.Duration) float64 {
	stretch := p.digestFor(e).stretch
	if e.StepTimePerRequest <= 0 || stretch <= 0 {
		return math.Inf(1)
	}
	step, each := e.StepTime.Seconds(), e.StepTimePerRequest.Seconds()
	return (longest.Seconds()*paceMargin/(stretch*float64(e.Stride)) - step) / each
}

// PauseSeen takes in the time between two events of a stream from the chosen server.
func (d *Dispatcher) PauseSeen(now time.Time, c *Choice, pause time.Duration) {
	d.Active(now, c)
	c.state.pace.see(now, pause, d.groupLoad(now, c.state))
}

// paceFor returns the pace of a server's group.
func (d *Dispatcher) paceFor(s *server) *pace {
	key := s.announced.Service + "\x00" + s.announced.Group.Name
	if s.announced.Group.Name == "" {
		key = s.announced.Service + "\x00\x00" + s.announced.Server
	}
	p := d.paces[key]
	if p == nil {
		p = &pace{}
		d.paces[key] = p
	}
	return p
}

// limit returns how many requests may be at a server at once.
func (d *Dispatcher) limit(now time.Time, s *server, need *Need) float64 {
	own := float64(slots(s))
	limit := own * (1 + queueShare)
	service := d.table.Service(s.announced.Service)
	if service == nil || service.Engine == nil {
		return limit
	}
	e := service.Engine
	p := s.pace
	if need.Repeat || !p.fresh(now) {
		// A request that was admitted before is brought to its end: refused now, its work so far would be lost.
		return limit
	}
	if need.Objective > 0 && e.UsualAnswer > 0 {
		// A slot becomes free each time one of the running requests ends.
		life := p.digestFor(e).pause * e.UsualAnswer / float64(e.Stride)
		limit = min(limit, own+waitShare*need.Objective.Seconds()*own/life)
	}
	if need.LongestPause > 0 {
		limit = min(limit, max(own*leastShare, p.requestsWithin(e, need.LongestPause)))
	}
	if need.Late {
		limit *= lateShare
	}
	return limit
}

// groupLoad returns the mean load of the servers that make passes together with a server.
func (d *Dispatcher) groupLoad(now time.Time, s *server) float64 {
	if s.announced.Group.Name == "" {
		return min(d.load(now, s), float64(slots(s)))
	}
	total := 0.0
	for _, rank := range s.pace.ranks {
		total += min(d.load(now, rank), float64(slots(rank)))
	}
	return total / float64(max(len(s.pace.ranks), 1))
}
