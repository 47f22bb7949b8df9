package agreed

import (
	"iter"
	"math"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// UseRetention is the time for which a recorded use is kept: three monthly jobs fit in.
const UseRetention = 100 * 24 * time.Hour

// sweepInterval is the time between two drops of old uses, each of which passes over all uses.
const sweepInterval = 24 * time.Hour

// useKey names a use by positions in tables of names.
type useKey struct {
	server       uint32
	organisation uint16
	target       uint16
}

// useStore holds the latest use of every server by every organisation.
type useStore struct {
	last           map[useKey]uint32 // Unix seconds
	servers        []fleet.ServerID
	centres        []fleet.DataCentre // by server
	organisations  []fleet.Organisation
	targets        []fleet.Target
	serverAt       map[fleet.ServerID]uint32
	organisationAt map[fleet.Organisation]uint16
	targetAt       map[fleet.Target]uint16
	since          int64 // Unix seconds of the first record
	swept          int64 // Unix seconds when old uses were last dropped
}

func (u *useStore) init() {
	if u.last == nil {
		u.last = make(map[useKey]uint32)
		u.serverAt = make(map[fleet.ServerID]uint32)
		u.organisationAt = make(map[fleet.Organisation]uint16)
		u.targetAt = make(map[fleet.Target]uint16)
	}
}

// key returns the key of a use. It fails when a table of names is full.
func (u *useStore) key(use *release.Use) (useKey, bool) {
	u.init()
	target := fleet.Target{Kind: use.Kind, Name: use.Name, Adapter: use.Adapter}
	organisation, known := u.organisationAt[use.Organisation]
	t, knownTarget := u.targetAt[target]
	if (!known && len(u.organisations) > math.MaxUint16) || (!knownTarget && len(u.targets) > math.MaxUint16) {
		return useKey{}, false
	}
	server, knownServer := u.serverAt[use.Server]
	if !knownServer {
		server = uint32(len(u.servers))
		u.serverAt[use.Server] = server
		u.servers, u.centres = append(u.servers, use.Server), append(u.centres, use.DataCentre)
	}
	u.centres[server] = use.DataCentre
	if !known {
		organisation = uint16(len(u.organisations))
		u.organisationAt[use.Organisation] = organisation
		u.organisations = append(u.organisations, use.Organisation)
	}
	if !knownTarget {
		t = uint16(len(u.targets))
		u.targetAt[target] = t
		u.targets = append(u.targets, target)
	}
	return useKey{server, organisation, t}, true
}

func (s *State) registerUses(index uint64, c *RegisterUses) Result {
	if s.uses.since == 0 {
		s.uses.since, s.uses.swept = c.At, c.At
	}
	if c.At-s.uses.swept > int64(sweepInterval/time.Second) {
		s.uses.swept = c.At
		cutoff := c.At - int64(UseRetention/time.Second)
		s.uses.rebuild(func(u release.Use) bool { return u.Last > cutoff })
	}
	changed, lost := 0, 0
	for i := range c.Uses {
		use := &c.Uses[i]
		fits := nameFits(string(use.Server)) && nameFits(string(use.Organisation)) && nameFits(use.Name) &&
			len(use.DataCentre) <= maxNameBytes && len(use.Adapter) <= maxNameBytes
		if !fits || (len(s.uses.last) >= s.limits.Uses && !s.uses.holds(use)) {
			lost++
			continue
		}
		key, ok := s.uses.key(use)
		if !ok {
			lost++
			continue
		}
		at := uint32(min(max(use.Last, 0), math.MaxUint32))
		if last, known := s.uses.last[key]; !known || at > last {
			s.uses.last[key] = at
			changed++
		}
	}
	result := Result{Code: OK, Index: index, Count: changed, Lost: lost}
	if lost > 0 {
		result.Detail = "the table of uses is full: forget withdrawn servers in a release note"
	}
	return result
}

func (u *useStore) holds(use *release.Use) bool {
	server, ok := u.serverAt[use.Server]
	organisation, okOrganisation := u.organisationAt[use.Organisation]
	target, okTarget := u.targetAt[fleet.Target{Kind: use.Kind, Name: use.Name, Adapter: use.Adapter}]
	_, held := u.last[useKey{server, organisation, target}]
	return ok && okOrganisation && okTarget && held
}

// all iterates over the recorded uses in no order.
func (u *useStore) all() iter.Seq[release.Use] {
	return func(yield func(release.Use) bool) {
		for key, last := range u.last {
			if !yield(u.describe(key, last)) {
				return
			}
		}
	}
}

func (u *useStore) describe(key useKey, last uint32) release.Use {
	t := u.targets[key.target]
	return release.Use{Server: u.servers[key.server], DataCentre: u.centres[key.server],
		Organisation: u.organisations[key.organisation], Kind: t.Kind, Name: t.Name, Adapter: t.Adapter, Last: int64(last)}
}

// rebuild keeps the uses that keep accepts, with tables of the names that these need.
func (u *useStore) rebuild(keep func(release.Use) bool) {
	next := useStore{since: u.since, swept: u.swept}
	for use := range u.all() {
		if !keep(use) {
			continue
		}
		if key, ok := next.key(&use); ok {
			next.last[key] = uint32(use.Last)
		}
	}
	*u = next
}

// Uses iterates over the recorded uses in no order, for an impact.
func (s *State) Uses() iter.Seq[release.Use] { return s.uses.all() }

// UsesSince returns the time from which uses have been recorded, the zero time if none are.
func (s *State) UsesSince() time.Time {
	if s.uses.since == 0 {
		return time.Time{}
	}
	return time.Unix(s.uses.since, 0)
}
