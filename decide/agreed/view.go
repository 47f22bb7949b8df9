package agreed

import (
	"fmt"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// View is the part of the agreed state that every daemon holds. It is immutable and has no key records and no uses.
type View struct {
	Revision uint64          `cbor:"1,keyasint"` // index of the last change in it
	Config   *release.Config `cbor:"2,keyasint"`
	Centres  []CentreRecord  `cbor:"3,keyasint,omitempty"` // by name
	Fencing  []FencingRecord `cbor:"4,keyasint,omitempty"` // by scope
	Maps     []GroupMaps     `cbor:"5,keyasint,omitempty"` // by group
}

// Change is one change of the view. Exactly one of the pointers is set.
type Change struct {
	Previous uint64         `cbor:"1,keyasint"` // revision that the change applies to
	Index    uint64         `cbor:"2,keyasint"` // revision after it
	Note     *release.Note  `cbor:"3,keyasint,omitempty"`
	Centre   *CentreRecord  `cbor:"4,keyasint,omitempty"`
	Fencing  *FencingRecord `cbor:"5,keyasint,omitempty"`
	Map      *MapDecision   `cbor:"6,keyasint,omitempty"`
}

// View returns the part of the state that every daemon holds. It costs nothing, as it shares immutable lists.
func (s *State) View() *View {
	return &View{Revision: s.revision, Config: s.config, Centres: s.centres, Fencing: s.fencing, Maps: s.maps}
}

// EmptyView returns the view of a daemon that has not heard of the group yet.
func EmptyView() *View { return &View{Config: &release.Config{}} }

// GapError says that changes before an offered one are missing.
type GapError struct {
	Have, Need uint64 // revisions
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the change follows revision %d but this daemon holds %d: fetch the whole view", e.Need, e.Have)
}

// Apply returns the view after the change. A change that the view holds already leaves it as it is.
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
	case c.Centre != nil:
		next.Centres = Merge(v.Centres, []CentreRecord{*c.Centre})
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
		next.Maps = putDecision(v.Maps, *c.Map)
	}
	return &next, nil
}

// Newer returns the newer of two views: a change in force never reverts.
func (v *View) Newer(other *View) *View {
	if other == nil || other.Revision <= v.Revision {
		return v
	}
	return other
}

// Out reports whether a data centre is taken out, by the view or by records that came outside the log.
func (v *View) Out(gossip []CentreRecord, name fleet.DataCentre) bool {
	agreed, heard := Find(v.Centres, name), Find(gossip, name)
	if heard.Compare(agreed) > 0 {
		return heard.Out
	}
	return agreed.Out
}

// Token returns the fencing token in force for a scope, 0 if none was granted.
func (v *View) Token(scope string) uint64 {
	for i := range v.Fencing {
		if v.Fencing[i].Scope == scope {
			return v.Fencing[i].Token
		}
	}
	return 0
}

// Decision returns the decision on a group's map version, nil if none is known.
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
