package statemachine

import (
	"iter"
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// UseRetention is how long a recorded use is kept. It covers three runs of a monthly job.
const UseRetention = 100 * 24 * time.Hour

// sweepInterval is the time between removals of expired uses. Each removal iterates over all uses.
const sweepInterval = 24 * time.Hour

// useKey identifies a use by indexes into the name tables of a useStore.
type useKey struct {
	server       uint32
	organisation uint16
	target       uint16
}

// useStore holds the time of the latest use of every target on every server by every organisation.
type useStore struct {
	lastUsed          map[useKey]uint32 // Unix seconds
	servers           []fleet.ServerID
	dataCentres       []fleet.DataCentre // of each server
	organisations     []fleet.Organisation
	targets           []fleet.Target
	serverIndex       map[fleet.ServerID]uint32
	organisationIndex map[fleet.Organisation]uint16
	targetIndex       map[fleet.Target]uint16
	recordedSince     int64 // Unix seconds of the first recorded use
	lastSweep         int64 // Unix seconds of the last removal of expired uses
}

func (u *useStore) init() {
	if u.lastUsed == nil {
		u.lastUsed = make(map[useKey]uint32)
		u.serverIndex = make(map[fleet.ServerID]uint32)
		u.organisationIndex = make(map[fleet.Organisation]uint16)
		u.targetIndex = make(map[fleet.Target]uint16)
	}
}

// internKey returns the key of a use, adding its names to the name tables. It fails if a name table is full.
func (u *useStore) internKey(use *release.Use) (useKey, bool) {
	u.init()
	target := fleet.Target{Kind: use.Kind, Name: use.Name, Adapter: use.Adapter}
	organisation, knownOrganisation := u.organisationIndex[use.Organisation]
	t, knownTarget := u.targetIndex[target]
	if (!knownOrganisation && len(u.organisations) > math.MaxUint16) || (!knownTarget && len(u.targets) > math.MaxUint16) {
		return useKey{}, false
	}
	server, knownServer := u.serverIndex[use.Server]
	if !knownServer {
		server = uint32(len(u.servers))
		u.serverIndex[use.Server] = server
		u.servers, u.dataCentres = append(u.servers, use.Server), append(u.dataCentres, use.DataCentre)
	}
	u.dataCentres[server] = use.DataCentre
	if !knownOrganisation {
		organisation = uint16(len(u.organisations))
		u.organisationIndex[use.Organisation] = organisation
		u.organisations = append(u.organisations, use.Organisation)
	}
	if !knownTarget {
		t = uint16(len(u.targets))
		u.targetIndex[target] = t
		u.targets = append(u.targets, target)
	}
	return useKey{server, organisation, t}, true
}

func (s *State) registerUses(index uint64, c *RegisterUses) Result {
	if s.uses.recordedSince == 0 {
		s.uses.recordedSince, s.uses.lastSweep = c.At, c.At
	}
	if c.At-s.uses.lastSweep > int64(sweepInterval/time.Second) {
		s.uses.lastSweep = c.At
		cutoff := c.At - int64(UseRetention/time.Second)
		s.uses.retain(func(u release.Use) bool { return u.Last > cutoff })
	}
	changed, dropped := 0, 0
	for i := range c.Uses {
		use := &c.Uses[i]
		fits := nameFits(string(use.Server)) && nameFits(string(use.Organisation)) && nameFits(use.Name) &&
			len(use.DataCentre) <= maxNameBytes && len(use.Adapter) <= maxNameBytes
		if !fits || (len(s.uses.lastUsed) >= s.limits.Uses && !s.uses.contains(use)) {
			dropped++
			continue
		}
		key, ok := s.uses.internKey(use)
		if !ok {
			dropped++
			continue
		}
		at := uint32(min(max(use.Last, 0), math.MaxUint32))
		if last, known := s.uses.lastUsed[key]; !known || at > last {
			s.uses.lastUsed[key] = at
			changed++
		}
	}
	result := Result{Code: OK, Index: index, Count: changed, UsesDropped: dropped}
	if dropped > 0 {
		result.Detail = "the table of uses is full: forget withdrawn servers in a release note"
	}
	return result
}

func (u *useStore) contains(use *release.Use) bool {
	server, okServer := u.serverIndex[use.Server]
	organisation, okOrganisation := u.organisationIndex[use.Organisation]
	target, okTarget := u.targetIndex[fleet.Target{Kind: use.Kind, Name: use.Name, Adapter: use.Adapter}]
	_, recorded := u.lastUsed[useKey{server, organisation, target}]
	return okServer && okOrganisation && okTarget && recorded
}

// all iterates over the recorded uses in no particular order.
func (u *useStore) all() iter.Seq[release.Use] {
	return func(yield func(release.Use) bool) {
		for key, last := range u.lastUsed {
			if !yield(u.toUse(key, last)) {
				return
			}
		}
	}
}

func (u *useStore) toUse(key useKey, last uint32) release.Use {
	t := u.targets[key.target]
	return release.Use{Server: u.servers[key.server], DataCentre: u.dataCentres[key.server],
		Organisation: u.organisations[key.organisation], Kind: t.Kind, Name: t.Name, Adapter: t.Adapter, Last: int64(last)}
}

// retain deletes the uses for which keep returns false, and the names that only they refer to.
func (u *useStore) retain(keep func(release.Use) bool) {
	next := useStore{recordedSince: u.recordedSince, lastSweep: u.lastSweep}
	for use := range u.all() {
		if !keep(use) {
			continue
		}
		if key, ok := next.internKey(&use); ok {
			next.lastUsed[key] = uint32(use.Last)
		}
	}
	*u = next
}

// Uses iterates over the recorded uses in no particular order, as release.Impact expects.
func (s *State) Uses() iter.Seq[release.Use] { return s.uses.all() }

// UsesSince returns the time since which uses are recorded, or the zero time if none is.
func (s *State) UsesSince() time.Time {
	if s.uses.recordedSince == 0 {
		return time.Time{}
	}
	return time.Unix(s.uses.recordedSince, 0)
}
