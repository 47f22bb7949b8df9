package release

import (
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// knownServer is one server and what the view contains about it.
type knownServer struct {
	id            fleet.ServerID
	dataCentre    fleet.DataCentre
	targets       []fleet.Target
	slots         int
	targetsStated bool // targets come from an announcement or a note, not from recorded uses
}

// knownServers merges announcements, listed servers and recorded uses of the servers that are not withdrawn. An
// announcement takes precedence over a listing, except that the servers that n changes count as already changed.
func knownServers(v *View, c *Config, n *Note) map[fleet.ServerID]*knownServer {
	result := make(map[fleet.ServerID]*knownServer)
	entry := func(id fleet.ServerID, dataCentre fleet.DataCentre) *knownServer {
		known := result[id]
		if known == nil {
			known = &knownServer{id: id, dataCentre: dataCentre}
			result[id] = known
		}
		return known
	}
	for i := range v.Servers {
		a := &v.Servers[i]
		known := entry(a.Server, a.DataCentre)
		known.slots, known.targetsStated = a.Capacity, true
		known.targets = announcedTargets(a)
	}
	changed := make(map[fleet.ServerID]bool)
	if n != nil {
		for i := range n.Servers.Change {
			changed[n.Servers.Change[i].ID] = true
		}
	}
	for i := range c.Servers {
		s := &c.Servers[i]
		if known := entry(s.ID, s.DataCentre); changed[s.ID] || !known.targetsStated {
			known.targets, known.targetsStated = expectedTargets(s), true
		}
	}
	for u := range v.uses() {
		known := entry(u.Server, u.DataCentre)
		if known.targetsStated {
			continue
		}
		for _, t := range withModel(u.target()) {
			if !slices.Contains(known.targets, t) {
				known.targets = append(known.targets, t)
			}
		}
	}
	for id, known := range result {
		if c.WithdrawnBy(id) != 0 {
			delete(result, id)
			continue
		}
		known.targets = slices.DeleteFunc(slices.Clone(known.targets), c.TargetWithdrawn)
	}
	return result
}

// dependsOn reports whether a use of one target depends on the other: a use of an adapter also depends on its model.
func dependsOn(used, t fleet.Target) bool {
	return used == t || (t.Adapter == "" && used.Kind == t.Kind && used.Name == t.Name)
}

// withModel returns the target and, for an adapter, also the target of its model.
func withModel(t fleet.Target) []fleet.Target {
	if t.Adapter == "" {
		return []fleet.Target{t}
	}
	return []fleet.Target{{Kind: t.Kind, Name: t.Name}, t}
}

func announcedTargets(a *fleet.Announcement) []fleet.Target {
	if a.Kind == fleet.KindService {
		return []fleet.Target{{Kind: fleet.KindService, Name: a.Service}}
	}
	var result []fleet.Target
	for _, m := range a.Models {
		result = append(result, modelTargets(m.Name, m.Adapters)...)
	}
	return result
}

func expectedTargets(s *Server) []fleet.Target {
	if s.Kind == KindService {
		return []fleet.Target{{Kind: fleet.KindService, Name: s.Service}}
	}
	var result []fleet.Target
	for _, m := range s.Models {
		result = append(result, modelTargets(m.Name, m.Adapters)...)
	}
	return result
}

func modelTargets(model string, adapters []string) []fleet.Target {
	result := []fleet.Target{{Kind: fleet.KindEngine, Name: model}}
	for _, a := range adapters {
		result = append(result, fleet.Target{Kind: fleet.KindEngine, Name: model, Adapter: a})
	}
	return result
}

type dataCentreTarget struct {
	dataCentre fleet.DataCentre
	target     fleet.Target
}

func lostByDataCentre(cuts []Cut) map[dataCentreTarget]int {
	result := make(map[dataCentreTarget]int)
	for _, c := range cuts {
		for _, t := range c.Lost {
			result[dataCentreTarget{c.DataCentre, t}]++
		}
	}
	return result
}

// targetCapacity counts the servers and slots of a target. For a remote data centre with a summary, the summary less the
// servers lost there takes precedence over listed servers and recorded uses. Summaries do not distinguish adapters.
func targetCapacity(all map[fleet.ServerID]*knownServer, t fleet.Target, v *View, lost map[dataCentreTarget]int) Capacity {
	var result Capacity
	summarised := make(map[fleet.DataCentre]bool)
	add := func(dataCentre fleet.DataCentre, servers, slots int) {
		if v.Evacuated[dataCentre] {
			result.InOut += servers
			return
		}
		result.Servers += servers
		result.Slots += slots
	}
	for _, s := range v.Remote {
		if s.Kind == t.Kind && s.Name == t.Name && t.Adapter == "" && s.DataCentre != v.LocalDataCentre {
			summarised[s.DataCentre] = true
			servers := max(s.Servers-lost[dataCentreTarget{s.DataCentre, t}], 0)
			add(s.DataCentre, servers, s.Free*servers/max(s.Servers, 1))
		}
	}
	for _, known := range all {
		if !summarised[known.dataCentre] && slices.Contains(known.targets, t) {
			add(known.dataCentre, 1, known.slots)
		}
	}
	return result
}
