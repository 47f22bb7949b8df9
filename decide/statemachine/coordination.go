package statemachine

import (
	"fmt"
	"slices"
)

// Limits of the small tables.
const (
	maxDataCentres    = 256  // 14 data centres at the target size
	maxScopes         = 4096 // one per group and a few more
	maxGroups         = 4096
	maxNameBytes      = 128
	maxMapDigestBytes = 64
	// maxDecisionsPerGroup is the number of map decisions kept per group. A rank queries the version that it has
	// prepared, which is at most a few versions behind the newest.
	maxDecisionsPerGroup = 8
)

func nameFits(name string) bool { return name != "" && len(name) <= maxNameBytes }

func (s *State) grantFencing(index uint64, c *GrantFencing) Result {
	if !nameFits(c.Scope) || !nameFits(string(c.Holder)) {
		return Result{Code: Refused, Detail: "the scope or holder is missing or too long: name both"}
	}
	i, found := slices.BinarySearchFunc(s.fencing, c.Scope, func(r FencingRecord, scope string) int {
		return compareStrings(r.Scope, scope)
	})
	if found {
		current := s.fencing[i]
		switch {
		case current.Holder == c.Holder && current.Incarnation == c.Incarnation && current.Previous == c.Replaces:
			return Result{Code: Repeated, Index: index, Fencing: &current}
		case current.Token != c.Replaces:
			return Result{Code: Conflict, Fencing: &current,
				Detail: fmt.Sprintf("%s holds token %d: replace that token if the holder is gone", current.Holder, current.Token)}
		}
	} else if c.Replaces != 0 {
		return Result{Code: Conflict, Detail: "no token of the scope was granted: ask without one to replace"}
	} else if len(s.fencing) >= maxScopes {
		return Result{Code: Full, Detail: "too many fencing scopes: use the existing ones"}
	}
	s.lastToken++
	record := FencingRecord{Scope: c.Scope, Holder: c.Holder, Incarnation: c.Incarnation, Token: s.lastToken, Previous: c.Replaces}
	s.fencing = slices.Clone(s.fencing) // views share the previous list
	if found {
		s.fencing[i] = record
	} else {
		s.fencing = slices.Insert(s.fencing, i, record)
	}
	return Result{Code: OK, Index: index, Fencing: &record, Change: &Change{Fencing: &record}}
}

func (s *State) decideMap(index uint64, c *DecideMap) Result {
	d := c.Decision
	if !nameFits(d.Group) || d.Version == 0 || len(d.Digest) > maxMapDigestBytes ||
		(!d.Abort && d.FromStep == 0) {
		return Result{Code: Refused, Detail: "the decision lacks group, version or step: give all three"}
	}
	i, found := slices.BinarySearchFunc(s.maps, d.Group, func(m GroupMaps, group string) int {
		return compareStrings(m.Group, group)
	})
	var history []MapDecision
	if found {
		history = s.maps[i].Decisions
	}
	for _, earlier := range history {
		if earlier.Version != d.Version {
			continue
		}
		code := Repeated
		if earlier.Abort != d.Abort || earlier.FromStep != d.FromStep || string(earlier.Digest) != string(d.Digest) {
			code = Conflict
		}
		return Result{Code: code, Index: index, Map: &earlier}
	}
	if token := s.fencingToken(ExpertScope(d.Group)); c.Fencing == 0 || c.Fencing != token {
		return Result{Code: Stale, Detail: fmt.Sprintf("token %d is not in force for group %s, token %d is: ask for a new one",
			c.Fencing, d.Group, token)}
	}
	if len(history) > 0 {
		last := history[len(history)-1]
		if d.Version < last.Version {
			return Result{Code: Stale, Map: &last, Detail: "a newer version was decided: prepare a version above it"}
		}
		for _, earlier := range history {
			if !d.Abort && !earlier.Abort && d.FromStep <= earlier.FromStep {
				return Result{Code: Refused, Map: &earlier, Detail: "the step is not after that of the map in force: choose a later step"}
			}
		}
	} else if !found && len(s.maps) >= maxGroups {
		return Result{Code: Full, Detail: "too many groups have map decisions: check the group's name"}
	}
	s.maps = addDecision(s.maps, d)
	return Result{Code: OK, Index: index, Map: &d, Change: &Change{Map: &d}}
}

// addDecision returns a copy of maps with one more decision. Beyond maxDecisionsPerGroup the group's oldest decision is
// dropped, but never its newest committed one.
func addDecision(maps []GroupMaps, d MapDecision) []GroupMaps {
	maps = slices.Clone(maps)
	i, found := slices.BinarySearchFunc(maps, d.Group, func(m GroupMaps, group string) int {
		return compareStrings(m.Group, group)
	})
	if !found {
		return slices.Insert(maps, i, GroupMaps{Group: d.Group, Decisions: []MapDecision{d}})
	}
	decisions := append(slices.Clone(maps[i].Decisions), d)
	for len(decisions) > maxDecisionsPerGroup {
		drop := 0
		if committed := slices.IndexFunc(decisions, func(x MapDecision) bool { return !x.Abort }); committed == 0 {
			later := slices.ContainsFunc(decisions[1:], func(x MapDecision) bool { return !x.Abort })
			if !later {
				drop = 1
			}
		}
		decisions = slices.Delete(decisions, drop, drop+1)
	}
	maps[i].Decisions = decisions
	return maps
}

func (s *State) fencingToken(scope string) uint64 {
	for i := range s.fencing {
		if s.fencing[i].Scope == scope {
			return s.fencing[i].Token
		}
	}
	return 0
}
