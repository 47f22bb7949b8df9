// Package controlstate is the replicated state of the control instances of a fleet without agents: the current routing
// configuration and the evacuated data centres. It is a deterministic state machine: the same commands at the same log
// indexes give the same state on every instance.
package controlstate

import (
	"maps"
	"slices"
)

// Command changes the state. Exactly one field is set.
type Command struct {
	Configure *Configure `cbor:"1,keyasint,omitempty"`
	Evacuate  *Evacuate  `cbor:"2,keyasint,omitempty"`
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
}

// State is the result of the commands applied so far. Slices are shared between copies and must not be modified.
type State struct {
	Index      uint64   `cbor:"1,keyasint"` // log index of the last command that changed the state
	Version    uint64   `cbor:"2,keyasint,omitempty"`
	Configured bool     `cbor:"3,keyasint,omitempty"` // a configuration has been applied
	Body       []byte   `cbor:"4,keyasint,omitempty"`
	Evacuated  []string `cbor:"5,keyasint,omitempty"` // sorted
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
		if slices.Contains(s.Evacuated, c.Evacuate.DataCentre) == c.Evacuate.Evacuated {
			return s, false
		}
		evacuated := map[string]bool{c.Evacuate.DataCentre: c.Evacuate.Evacuated}
		for _, dc := range s.Evacuated {
			if dc != c.Evacuate.DataCentre {
				evacuated[dc] = true
			}
		}
		maps.DeleteFunc(evacuated, func(_ string, out bool) bool { return !out })
		s.Evacuated = slices.Sorted(maps.Keys(evacuated))
	default:
		return s, false
	}
	s.Index = index
	return s, true
}
