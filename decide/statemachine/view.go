package statemachine

import (
	"fmt"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// View is the part of the agreed state that is replicated to every daemon. It has no key records and no recorded uses, and
// is immutable.
type View struct {
	Revision    uint64             `cbor:"1,keyasint"` // index of the last change that it includes
	Config      *release.Config    `cbor:"2,keyasint"`
	DataCentres []DataCentreRecord `cbor:"3,keyasint,omitempty"` // sorted by name
	Fencing     []FencingRecord    `cbor:"4,keyasint,omitempty"` // sorted by scope
	Maps        []GroupMaps        `cbor:"5,keyasint,omitempty"` // sorted by group
}

// Change is one change of the view. Exactly one pointer is set.
type Change struct {
	Previous   uint64            `cbor:"1,keyasint"` // revision before the change
	Index      uint64            `cbor:"2,keyasint"` // revision after the change
	Note       *release.Note     `cbor:"3,keyasint,omitempty"`
	DataCentre *DataCentreRecord `cbor:"4,keyasint,omitempty"`
	Fencing    *FencingRecord    `cbor:"5,keyasint,omitempty"`
	Map        *MapDecision      `cbor:"6,keyasint,omitempty"`
}

// View returns the view of the state. It is cheap, as it shares immutable lists instead of copying them.
func (s *State) View() *View {
	return &View{Revision: s.revision, Config: s.config, DataCentres: s.dataCentres, Fencing: s.fencing, Maps: s.maps}
}

// EmptyView returns the view of a daemon that has not yet received one from the group.
func EmptyView() *View { return &View{Config: &release.Config{}} }

// GapError reports that the changes between the view's revision and an offered change are missing.
type GapError struct {
	Have, Need uint64 // revisions
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the change follows revision %d but this daemon holds %d: fetch the whole view", e.Need, e.Have)
}

// Apply returns the view after the change. A change that the view already includes is ignored. A *GapError is returned
// if earlier changes are missing.
func (v *View) Apply(c *Change) (*View, error) {
	if c.Index <= v.Revision {
		return v, nil
	}
	if c.Previous != v.Revision {
		return v, &GapError{Have: v.Revision, Need: c.Previous}
	}
	next := *v
	next.Revision = c.Index
	switch {
	case c.Note != nil:
		next.Config = v.Config.Apply(c.Note)
	case c.DataCentre != nil:
		next.DataCentres = MergeDataCentres(v.DataCentres, []DataCentreRecord{*c.DataCentre})
	case c.Fencing != nil:
		next.Fencing = slices.Clone(v.Fencing)
		i, found := slices.BinarySearchFunc(next.Fencing, c.Fencing.Scope, func(r FencingRecord, scope string) int {
			return compareStrings(r.Scope, scope)
		})
		if found {
			next.Fencing[i] = *c.Fencing
		} else {
			next.Fencing = slices.Insert(next.Fencing, i, *c.Fencing)
		}
	case c.Map != nil:
		next.Maps = addDecision(v.Maps, *c.Map)
	}
	return &next, nil
}

// Newer returns the view with the higher revision, so that an applied change is never reverted.
func (v *View) Newer(other *View) *View {
	if other == nil || other.Revision <= v.Revision {
		return v
	}
	return other
}

// Evacuated reports whether a data centre is evacuated, according to the view or to newer records received by gossip
// outside the log.
func (v *View) Evacuated(gossip []DataCentreRecord, name fleet.DataCentre) bool {
	agreed, received := FindDataCentre(v.DataCentres, name), FindDataCentre(gossip, name)
	if received.Compare(agreed) > 0 {
		return received.Out
	}
	return agreed.Out
}

// Token returns the current fencing token of a scope, or 0 if none was granted.
func (v *View) Token(scope string) uint64 {
	for i := range v.Fencing {
		if v.Fencing[i].Scope == scope {
			return v.Fencing[i].Token
		}
	}
	return 0
}

// Decision returns the decision on a group's map version, or nil if none is recorded.
func (v *View) Decision(group string, version uint64) *MapDecision {
	for i := range v.Maps {
		for j := range v.Maps[i].Decisions {
			if d := &v.Maps[i].Decisions[j]; d.Group == group && d.Version == version {
				return d
			}
		}
	}
	return nil
}
