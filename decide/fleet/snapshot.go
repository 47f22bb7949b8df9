package fleet

import (
	"cmp"
	"slices"
	"sync/atomic"
)

// Server is one backend server as an entry instance knows it.
type Server struct {
	Announcement
	Load     Load
	Excluded string   // reason why it receives no new work, empty if it does
	Weight   float64  // share of work relative to its peers: below 1 for a group with a slow rank
	Local    *Counter // requests that this entry instance has in flight there
}

// Counter counts the requests that one entry instance has in flight at one backend server. It outlives snapshots, so
// that a decision sees what was sent after the last load report.
type Counter struct {
	inFlight   atomic.Int64
	atReport   atomic.Int64
	lastReport atomic.Uint64
}

// Begin counts a request sent.
func (c *Counter) Begin() { c.inFlight.Add(1) }

// End counts a request finished.
func (c *Counter) End() { c.inFlight.Add(-1) }

// InFlight returns the requests in flight.
func (c *Counter) InFlight() int { return int(c.inFlight.Load()) }

// Reported notes that a load report with the given sequence number arrived.
func (c *Counter) Reported(sequence uint64) {
	c.atReport.Store(c.inFlight.Load())
	c.lastReport.Store(sequence)
}

// SinceReport returns by how much the requests in flight have grown since the last load report; negative if they fell.
func (c *Counter) SinceReport() int { return int(c.inFlight.Load() - c.atReport.Load()) }

// Snapshot is an immutable view of the fleet from one entry instance. Traffic goroutines share it without locks.
type Snapshot struct {
	Revision  uint64 // index of the agreed state in force
	Local     DataCentre
	LocalOut  bool      // the local data centre is taken out
	Instances int       // entry instances active in the local data centre, at least 1
	Servers   []Server  // servers of the local data centre, sorted by identifier
	Remote    []Summary // other data centres that are not taken out

	byName map[nameKey][]int
	byID   map[ServerID]int
}

type nameKey struct {
	kind Kind
	name string
}

// Build sorts the servers and indexes them by target name. The snapshot must not be changed afterwards.
func (s *Snapshot) Build() *Snapshot {
	slices.SortFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.Server, b.Server) })
	s.byName = make(map[nameKey][]int)
	s.byID = make(map[ServerID]int, len(s.Servers))
	for i := range s.Servers {
		server := &s.Servers[i]
		if server.Local == nil {
			server.Local = new(Counter)
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

// Candidates returns the positions in Servers of all servers that have the target's name, whatever their state.
// The caller must not change the result.
func (s *Snapshot) Candidates(t Target) []int {
	return s.byName[nameKey{t.Kind, t.Name}]
}

// Find returns the server with the identifier, or nil.
func (s *Snapshot) Find(id ServerID) *Server {
	i, ok := s.byID[id]
	if !ok {
		return nil
	}
	return &s.Servers[i]
}

// Serves reports whether the server has the target's adapter and version.
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
