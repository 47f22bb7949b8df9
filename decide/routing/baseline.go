package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// The policies in this file are baselines for experiments: they ignore concurrency limits and prefixes.

// RoundRobin chooses the servers in turn, starting with a random one.
type RoundRobin struct{ next atomic.Uint64 }

// LeastRequests chooses the server with the fewest requests by the last report and this instance's own count. Ties go to
// the first server after a random start, so that instances do not all choose the same one.
type LeastRequests struct{}

// PowerOfTwo chooses, of two random servers, the one with fewer requests.
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
		return noBaselineServer(s, candidates, r)
	}
	if p.next.Load() == 0 {
		p.next.CompareAndSwap(0, uint64(rng.IntN(len(candidates))))
	}
	start := p.next.Add(1)
	for i := range candidates {
		position := candidates[(start+uint64(i))%uint64(len(candidates))]
		if filterReason(&s.Servers[position], r) == ReasonChosen {
			return Decision{Server: position}
		}
	}
	return noBaselineServer(s, candidates, r)
}

// Pick implements Policy.
func (LeastRequests) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	candidates := s.Candidates(r.Target)
	best, fewest := -1, 0
	start := rng.IntN(max(len(candidates), 1))
	for i := range candidates {
		position := candidates[(start+i)%len(candidates)]
		server := &s.Servers[position]
		if filterReason(server, r) != ReasonChosen {
			continue
		}
		if requests := requestCount(server); best < 0 || requests < fewest {
			best, fewest = position, requests
		}
	}
	if s.Evacuated || best < 0 {
		return noBaselineServer(s, candidates, r)
	}
	return Decision{Server: best}
}

// Pick implements Policy.
func (PowerOfTwo) Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision {
	candidates := s.Candidates(r.Target)
	first, eligible := -1, 0
	second := -1
	// Reservoir sampling of two eligible servers.
	for _, position := range candidates {
		if filterReason(&s.Servers[position], r) != ReasonChosen {
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
		return noBaselineServer(s, candidates, r)
	case second >= 0 && requestCount(&s.Servers[second]) < requestCount(&s.Servers[first]):
		return Decision{Server: second}
	}
	return Decision{Server: first}
}

func requestCount(server *fleet.Server) int {
	return server.Load.Running + server.Counter.GrowthSinceReport()
}

// noBaselineServer returns a decision with the reason why no server was chosen. Baselines do not spill over.
func noBaselineServer(s *fleet.Snapshot, candidates []int, r *Request) Decision {
	if s.Evacuated {
		return noServer(ReasonLocalEvacuated)
	}
	d := noServer(ReasonUnknown)
	for _, position := range candidates {
		d.Explain.Dropped[filterReason(&s.Servers[position], r)]++
	}
	d.Reason = lastDropReason(&d.Explain.Dropped)
	return d
}
