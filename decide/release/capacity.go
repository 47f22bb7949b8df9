package release

import (
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// member is one server as far as the view knows it.
type member struct {
	id      fleet.ServerID
	centre  fleet.DataCentre
	targets []fleet.Target
	slots   int
	current bool // targets are announced or listed, not derived from uses
}

// members merges what announcements, notes and recorded uses tell about servers that are not withdrawn. An announcement
// goes before a note, except that a note's change of a server in the same step counts as done.
func members(v *View, c *Config, n *Note) map[fleet.ServerID]*member {
	result := make(map[fleet.ServerID]*member)
	at := func(id fleet.ServerID, centre fleet.DataCentre) *member {
		m := result[id]
		if m == nil {
			m = &member{id: id, centre: centre}
			result[id] = m
		}
		return m
	}
	for i := range v.Servers {
		a := &v.Servers[i]
		m := at(a.Server, a.DataCentre)
		m.slots, m.current = a.Capacity, true
		m.targets = announcedTargets(a)
	}
	changed := make(map[fleet.ServerID]bool)
	if n != nil {
		for i := range n.Servers.Change {
			changed[n.Servers.Change[i].ID] = true
		}
	}
	for i := range c.Servers {
		s := &c.Servers[i]
		if m := at(s.ID, s.DataCentre); changed[s.ID] || !m.current {
			m.targets, m.current = expectedTargets(s), true
		}
	}
	for u := range v.uses() {
		m := at(u.Server, u.DataCentre)
		if m.current {
			continue
		}
		for _, t := range withBase(u.target()) {
			if !slices.Contains(m.targets, t) {
				m.targets = append(m.targets, t)
			}
		}
	}
	for id, m := range result {
		if c.WithdrawnBy(id) != 0 {
			delete(result, id)
			continue
		}
		m.targets = slices.DeleteFunc(slices.Clone(m.targets), c.TargetWithdrawn)
	}
	return result
}

// covers reports whether a use of one target depends on the other: a use of an adapter depends on its model too.
func covers(used, t fleet.Target) bool {
	return used == t || (t.Adapter == "" && used.Kind == t.Kind && used.Name == t.Name)
}

// withBase returns the target and, for an adapter, its model too.
func withBase(t fleet.Target) []fleet.Target {
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

type centreTarget struct {
	centre fleet.DataCentre
	target fleet.Target
}

func lostByCentre(cuts []Cut) map[centreTarget]int {
	result := make(map[centreTarget]int)
	for _, c := range cuts {
		for _, t := range c.Lost {
			result[centreTarget{c.DataCentre, t}]++
		}
	}
	return result
}

// capacity counts the servers of a target. A remote data centre's summary goes before what notes and uses tell about it,
// less the servers that the note cuts there. Summaries do not tell adapters apart.
func capacity(all map[fleet.ServerID]*member, t fleet.Target, v *View, lost map[centreTarget]int) Capacity {
	var result Capacity
	summarised := make(map[fleet.DataCentre]bool)
	add := func(centre fleet.DataCentre, servers, slots int) {
		if v.Out[centre] {
			result.InOut += servers
			return
		}
		result.Servers += servers
		result.Slots += slots
	}
	for _, s := range v.Remote {
		if s.Kind == t.Kind && s.Name == t.Name && t.Adapter == "" && s.DataCentre != v.Local {
			summarised[s.DataCentre] = true
			servers := max(s.Servers-lost[centreTarget{s.DataCentre, t}], 0)
			add(s.DataCentre, servers, s.Free*servers/max(s.Servers, 1))
		}
	}
	for _, m := range all {
		if !summarised[m.centre] && slices.Contains(m.targets, t) {
			add(m.centre, 1, m.slots)
		}
	}
	return result
}
