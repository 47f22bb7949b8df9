package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// RoundRobin takes the servers in turn, from a random first one on.
type RoundRobin struct{ next atomic.Uint64 }

// LeastRequests takes the server with the fewest requests by the last report and this instance's own count. The first
// of several is found from a random start, so that instances do not agree on it by the order of the servers.
type LeastRequests struct{}

// PowerOfTwo takes the one with fewer requests of two random servers.
type PowerOfTwo struct{}

var (
	_ Policy = (*RoundRobin)(nil)
	_ Policy = LeastRequests{}
	_ Policy = PowerOfTwo{}
)

// Pick implements Policy.
func (p *RoundRobin) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	candidates := s.Candidates(r.Target)
	if s.Evacuated || len(candidates) == 0 {
		return baselineNone(s, candidates, r)
	}
	if p.next.Load() == 0 {
		p.next.CompareAndSwap(0, uint64(rng.IntN(len(candidates))))
	}
	start := p.next.Add(1)
	for i := range candidates {
		position := candidates[(start+uint64(i))%uint64(len(candidates))]
		if filter(&s.Servers[position], r) == ReasonChosen {
			return Decision{Server: position}
		}
	}
	return baselineNone(s, candidates, r)
}

// Pick implements Policy.
func (LeastRequests) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	candidates := s.Candidates(r.Target)
	best, fewest := -1, 0
	start := rng.IntN(max(len(candidates), 1))
	for i := range candidates {
		position := candidates[(start+i)%len(candidates)]
		server := &s.Servers[position]
		if filter(server, r) != ReasonChosen {
			continue
		}
		if requests := requests(server); best < 0 || requests < fewest {
			best, fewest = position, requests
		}
	}
	if s.Evacuated || best < 0 {
		return baselineNone(s, candidates, r)
	}
	return Decision{Server: best}
}

// Pick implements Policy.
func (PowerOfTwo) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	candidates := s.Candidates(r.Target)
	first, eligible := -1, 0
	second := -1
	// Reservoir sampling of two among the eligible servers.
	for _, position := range candidates {
		if filter(&s.Servers[position], r) != ReasonChosen {
			continue
		}
		eligible++
		switch k := rng.IntN(eligible); {
		case first < 0:
			first = position
		case second < 0:
			second = position
		case k == 0:
			first = position
		case k == 1:
			second = position
		}
	}
	switch {
	case s.Evacuated || first < 0:
		return baselineNone(s, candidates, r)
	case second >= 0 && requests(&s.Servers[second]) < requests(&s.Servers[first]):
		return Decision{Server: second}
	}
	return Decision{Server: first}
}

func requests(server *fleet.Server) int {
	return server.Load.Running + server.Counter.GrowthSinceReport()
}

// baselineNone finds the reason why no server was chosen. Baselines do not spill over.
func baselineNone(s *fleet.Snapshot, candidates []int, r *Request) Decision {
	if s.Evacuated {
		return none(ReasonLocalOut)
	}
	d := none(ReasonUnknown)
	for _, position := range candidates {
		d.Explain.Dropped[filter(&s.Servers[position], r)]++
	}
	d.Reason = lastReason(&d.Explain.Dropped)
	return d
}
