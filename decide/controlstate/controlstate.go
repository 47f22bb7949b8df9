// Package controlstate is the replicated state of the control instances of a fleet without agents: the current routing
// configuration, the evacuated data centres, the coordinators of lock-step groups and the servers that have said that they leave. It is a
// deterministic state machine: the same commands at the same log indexes give the same state on every instance.
package controlstate

import (
	"cmp"
	"slices"

	"github.com/banyanfront/banyanfront/decide/registry"
)

// Command changes the state. Exactly one field is set.
type Command struct {
	Configure *Configure `cbor:"1,keyasint,omitempty"`
	Evacuate  *Evacuate  `cbor:"2,keyasint,omitempty"`
	// Coordinate assigns coordinators; the Lease of each is set when the command is applied.
	Coordinate []Coordinator `cbor:"3,keyasint,omitempty"`
	// Depart is the announcement of a server that it leaves: it drains or has deregistered.
	Depart *registry.Announcement `cbor:"4,keyasint,omitempty"`
}

// Configure replaces the routing configuration if its version is higher than the current one.
type Configure struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is the configuration as the operator sent it, compressed. It must have been validated.
	Body []byte `cbor:"2,keyasint"`
}

// Evacuate evacuates a data centre (Evacuated is true) or restores it.
type Evacuate struct {
	DataCentre string `cbor:"1,keyasint"`
	Evacuated  bool   `cbor:"2,keyasint,omitempty"`
	// Ordered states that Follows is set. Logs written by earlier releases contain commands without it.
	Ordered bool `cbor:"3,keyasint,omitempty"`
	// Follows is State.EvacuationOrder while the sender of this order waited for its acknowledgement. If the data centre has
	// received another order since, this one was overtaken and has no effect, however late it reaches the log.
	Follows uint64 `cbor:"4,keyasint,omitempty"`
}

// EvacuationOrder is the log index of the newest order to evacuate or restore a data centre, whether it changed anything or not.
type EvacuationOrder struct {
	DataCentre string `cbor:"1,keyasint"`
	Index      uint64 `cbor:"2,keyasint"`
}

// GroupKey returns the name of a lock-step group that is unique in the fleet.
func GroupKey(service, group string) string { return service + "/" + group }

// Coordinator is the assignment of a lock-step group to the control instance that changes its expert maps.
type Coordinator struct {
	Group    string `cbor:"1,keyasint"`           // from GroupKey
	Instance string `cbor:"2,keyasint,omitempty"` // inner address; a command with an empty one removes the assignment
	// Deputy receives the same reports and completes changes that the coordinator has left behind. Empty if there is none.
	Deputy string `cbor:"3,keyasint,omitempty"`
	// Lease is the log index of the assignment. It fences the changes of earlier coordinators.
	Lease uint64 `cbor:"4,keyasint,omitempty"`
}

// Departure is the newest announcement of a server that leaves. It has been acknowledged, so it must outlive the instance that received it.
type Departure struct {
	Announcement registry.Announcement `cbor:"1,keyasint"`
	Index        uint64                `cbor:"2,keyasint"` // log index of its command
}

// maxDepartures limits the departures that are kept, of which the oldest are dropped. A departure matters as long as the server serves and
// its announcements arrive late, some seconds; this many leave within minutes when a whole fleet is replaced.
const maxDepartures = 2048

// State is the result of the commands applied so far. Slices are shared between copies and must not be modified.
type State struct {
	Index      uint64   `cbor:"1,keyasint"` // log index of the last change of what requests are routed by
	Version    uint64   `cbor:"2,keyasint,omitempty"`
	Configured bool     `cbor:"3,keyasint,omitempty"` // a configuration has been applied
	Body       []byte   `cbor:"4,keyasint,omitempty"`
	Evacuated  []string `cbor:"5,keyasint,omitempty"` // sorted
	// Coordinators are sorted by group. Entry instances do not need them, so that their changes leave Index as it is.
	Coordinators []Coordinator `cbor:"6,keyasint,omitempty"`
	// EvacuationOrders are sorted by data centre.
	EvacuationOrders []EvacuationOrder `cbor:"7,keyasint,omitempty"`
	// Departures are sorted by Index. Entry instances get them as announcements, so that their changes leave State.Index as it is.
	Departures []Departure `cbor:"8,keyasint,omitempty"`
}

// EvacuationOrder returns the log index of the newest order for a data centre, 0 if there was none.
func (s State) EvacuationOrder(dataCentre string) uint64 {
	if i, ok := s.findEvacuationOrder(dataCentre); ok {
		return s.EvacuationOrders[i].Index
	}
	return 0
}

func (s State) findEvacuationOrder(dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(s.EvacuationOrders, dataCentre, func(o EvacuationOrder, name string) int { return cmp.Compare(o.DataCentre, name) })
}

// Overtaken reports whether a command has no effect because another order for its data centre came first.
func (s State) Overtaken(c Command) bool {
	return c.Evacuate != nil && c.Evacuate.Ordered && c.Evacuate.Follows != s.EvacuationOrder(c.Evacuate.DataCentre)
}

// Coordinator returns the assignment of a group, the zero value if it has none.
func (s State) Coordinator(group string) Coordinator {
	if i, ok := s.findCoordinator(group); ok {
		return s.Coordinators[i]
	}
	return Coordinator{}
}

func (s State) findCoordinator(group string) (int, bool) {
	return slices.BinarySearchFunc(s.Coordinators, group, func(c Coordinator, group string) int { return cmp.Compare(c.Group, group) })
}

// assign returns the state after assignments made by the log entry at index.
func (s State) assign(index uint64, assignments []Coordinator) State {
	s.Coordinators = slices.Clone(s.Coordinators)
	for _, a := range assignments {
		a.Lease = index
		i, found := s.findCoordinator(a.Group)
		switch {
		case found && a.Instance == "":
			s.Coordinators = slices.Delete(s.Coordinators, i, i+1)
		case found:
			s.Coordinators[i] = a
		case a.Instance != "":
			s.Coordinators = slices.Insert(s.Coordinators, i, a)
		}
	}
	return s
}

// recordOrder returns the state after an order for a data centre.
func (s State) recordOrder(index uint64, dataCentre string) State {
	s.EvacuationOrders = slices.Clone(s.EvacuationOrders)
	i, found := s.findEvacuationOrder(dataCentre)
	if !found {
		s.EvacuationOrders = slices.Insert(s.EvacuationOrders, i, EvacuationOrder{DataCentre: dataCentre})
	}
	s.EvacuationOrders[i].Index = index
	return s
}

// recordDeparture returns the state after the announcement of a server that leaves, and whether it is newer than what is known.
func (s State) recordDeparture(index uint64, a registry.Announcement) (State, bool) {
	same := func(d Departure) bool { return d.Announcement.Server == a.Server }
	i := slices.IndexFunc(s.Departures, same)
	if i >= 0 && !a.Supersedes(&s.Departures[i].Announcement) && a.StartedAtMillis != 0 { // without a start it may be another process
		return s, false
	}
	s.Departures = append(slices.DeleteFunc(slices.Clone(s.Departures), same), Departure{a, index})
	s.Departures = s.Departures[max(0, len(s.Departures)-maxDepartures):]
	return s, true
}

// DeparturesAfter returns the departures of log entries after index.
func (s State) DeparturesAfter(index uint64) []Departure {
	i, _ := slices.BinarySearchFunc(s.Departures, index+1, func(d Departure, index uint64) int { return cmp.Compare(d.Index, index) })
	return s.Departures[i:]
}

// ForEntryInstances returns the part of the state that entry instances need.
func (s State) ForEntryInstances() State {
	s.Departures = nil
	return s
}

// Apply returns the state after a command and whether the command changed it.
func (s State) Apply(index uint64, c Command) (State, bool) {
	switch {
	case c.Configure != nil:
		if s.Configured && c.Configure.Version <= s.Version {
			return s, false
		}
		s.Version, s.Body, s.Configured = c.Configure.Version, c.Configure.Body, true
	case c.Evacuate != nil:
		if s.Overtaken(c) {
			return s, false
		}
		done := slices.Contains(s.Evacuated, c.Evacuate.DataCentre) == c.Evacuate.Evacuated
		if done && !c.Evacuate.Ordered {
			return s, false
		}
		s = s.recordOrder(index, c.Evacuate.DataCentre)
		if done {
			return s, true
		}
		s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(dc string) bool { return dc == c.Evacuate.DataCentre })
		if c.Evacuate.Evacuated {
			s.Evacuated = append(s.Evacuated, c.Evacuate.DataCentre)
			slices.Sort(s.Evacuated)
		}
	case len(c.Coordinate) > 0:
		return s.assign(index, c.Coordinate), true
	case c.Depart != nil:
		return s.recordDeparture(index, *c.Depart)
	default:
		return s, false
	}
	s.Index = index
	return s, true
}
