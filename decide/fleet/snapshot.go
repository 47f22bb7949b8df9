package fleet

import (
	"cmp"
	"slices"
	"sync/atomic"
)

// Server is the state of one backend server at an entry instance.
type Server struct {
	Announcement
	Load            Load
	ExclusionReason string           // why the server receives no new requests, empty if it does
	Weight          float64          // load share relative to its peers, below 1 for a group with a straggler
	Counter         *InFlightCounter // requests that this entry instance has in flight at the server
}

// InFlightCounter counts the requests that one entry instance has in flight at one backend server. Successive snapshots
// share it, so that a decision includes requests sent after the last load report. It is safe for concurrent use.
type InFlightCounter struct {
	inFlight   atomic.Int64
	atReport   atomic.Int64
	lastReport atomic.Uint64
}

// Begin counts a request that is sent.
func (c *InFlightCounter) Begin() { c.inFlight.Add(1) }

// End counts a request that has finished.
func (c *InFlightCounter) End() { c.inFlight.Add(-1) }

// InFlight returns the number of requests in flight.
func (c *InFlightCounter) InFlight() int { return int(c.inFlight.Load()) }

// ReportReceived records the arrival of the load report with the given sequence number.
func (c *InFlightCounter) ReportReceived(sequence uint64) {
	c.atReport.Store(c.inFlight.Load())
	c.lastReport.Store(sequence)
}

// GrowthSinceReport returns the increase of requests in flight since the last load report, negative for a decrease.
func (c *InFlightCounter) GrowthSinceReport() int { return int(c.inFlight.Load() - c.atReport.Load()) }

// Snapshot is an immutable view of the fleet at one entry instance. Goroutines that handle requests share it without locks.
type Snapshot struct {
	Revision        uint64 // of the applied agreed state
	DataCentre      DataCentre
	Evacuated       bool      // the local data centre is evacuated
	Instances       int       // entry instances active in the local data centre, at least 1
	Servers         []Server  // servers of the local data centre, sorted by identifier
	RemoteSummaries []Summary // of other data centres that are not evacuated

	byName map[nameKey][]int
	byID   map[ServerID]int
}

type nameKey struct {
	kind Kind
	name string
}

// Build sorts the servers, indexes them by identifier and target name and sets defaults. The snapshot must not be changed
// afterwards.
func (s *Snapshot) Build() *Snapshot {
	slices.SortFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	s.byName = make(map[nameKey][]int)
	s.byID = make(map[ServerID]int, len(s.Servers))
	for i := range s.Servers {
		server := &s.Servers[i]
		if server.Counter == nil {
			server.Counter = new(InFlightCounter)
		}
		s.byID[server.Server] = i
		if server.Kind == KindService {
			key := nameKey{KindService, server.Service}
			s.byName[key] = append(s.byName[key], i)
			continue
		}
		for _, m := range server.Models {
			key := nameKey{KindEngine, m.Name}
			s.byName[key] = append(s.byName[key], i)
		}
	}
	s.Instances = max(s.Instances, 1)
	return s
}

// Candidates returns the indexes in Servers of all servers of the target's name, in any state. The caller must not
// change the result.
func (s *Snapshot) Candidates(t Target) []int {
	return s.byName[nameKey{t.Kind, t.Name}]
}

// Find returns the server with the identifier, or nil if there is none.
func (s *Snapshot) Find(id ServerID) *Server {
	i, ok := s.byID[id]
	if !ok {
		return nil
	}
	return &s.Servers[i]
}

// Serves reports whether the server has the target's service, or its model with the adapter and version.
func (s *Server) Serves(t Target) bool {
	if t.Kind == KindService {
		return s.Kind == KindService && s.Service == t.Name
	}
	for i := range s.Models {
		m := &s.Models[i]
		if m.Name != t.Name || (t.Version != "" && m.Version != t.Version) {
			continue
		}
		if t.Adapter == "" || slices.Contains(m.Adapters, t.Adapter) {
			return true
		}
	}
	return false
}
