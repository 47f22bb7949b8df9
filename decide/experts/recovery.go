package experts

import (
	"maps"
	"slices"
	"time"
)

// This file undoes changes of map that cannot be completed, and continues those that an earlier process, or an order that
// came late, has left.

// recover continues a change that an earlier process, or an order that came late, has left.
func (s *Switchover) recover(now time.Time) []RankOrder {
	if len(s.ranks) != s.config.Ranks || now.Sub(s.began) < s.config.Settle || now.Sub(s.since) < s.config.Settle {
		return nil
	}
	held, armed := -1, -1
	for _, rank := range slices.Sorted(maps.Keys(s.ranks)) {
		r := s.ranks[rank]
		if now.Sub(r.at) > s.config.Settle {
			return nil
		}
		if r.state.Holds {
			held = rank
		}
		if r.state.ArmedVersion != 0 {
			armed = rank
		}
	}
	if held < 0 {
		s.left.since = time.Time{}
		return nil
	}
	if step := s.ranks[held].state.Held; s.left.since.IsZero() || step != s.left.step {
		s.left.step, s.left.since = step, now // another process may be about to go on
	}
	if now.Sub(s.left.since) < s.config.Settle {
		return nil
	}
	s.holder, s.step = held, s.left.step
	unarmable := armed < 0
	for _, r := range s.ranks {
		unarmable = unarmable && r.state.Prepared != 0 && !armable(r.state.Prepared)
	}
	if unarmable {
		s.completed = false
		s.enter(now, switchReleasing)
		return s.Tick(now)
	}
	s.version = 0
	if armed >= 0 {
		s.version = s.ranks[armed].state.ArmedVersion
	} else if r := s.ranks[held]; r.state.Prepared != r.state.Map && armable(r.state.Prepared) {
		s.version = r.state.Prepared // all ranks may have prepared it, and can still be armed
	}
	if s.version == 0 {
		s.clear(now)
		return nil
	}
	for _, r := range s.ranks {
		r.armed = r.state.ArmedVersion == s.version && r.state.ArmedStep == s.step
		if !r.armed && r.state.Prepared != s.version {
			s.clear(now)
			return nil
		}
	}
	s.enter(now, switchArming)
	return s.Tick(now)
}

// clear begins to undo a change that cannot be completed.
func (s *Switchover) clear(now time.Time) {
	s.enter(now, switchClearing)
	s.lists = nil
	for _, r := range s.ranks {
		r.prepared, r.armed = 0, false
	}
}

// clearing makes arming by late orders impossible and disarms what is armed, then releases the step. Another process may
// still be arming: only once a rank has prepared the newer version can that one no longer arm all ranks and release.
func (s *Switchover) clearing(now time.Time) []RankOrder {
	if s.lists == nil {
		return nil // the caller gives the map that is in use
	}
	clean, blocked := true, false
	for _, r := range s.ranks {
		// A rank that is armed for the map in use changes nothing at the step, and cannot be disarmed.
		clean = clean && (r.prepared == s.version || r.state.ArmedVersion != 0 && r.state.ArmedVersion == r.state.Map)
		blocked = blocked || r.prepared == s.version
		if r.prepared != s.version && r.state.Prepared > s.version {
			s.lists = nil // another process has prepared a newer version: a still newer one is needed
			return nil
		}
	}
	if clean || !blocked && s.armedAlike() {
		return s.release(now)
	}
	return s.toAll(now, func(r *switchRank) (RankOrder, bool) {
		if blocked && r.prepared != s.version && r.state.ArmedVersion != 0 {
			return RankOrder{Operation: OrderDisarm, Version: r.state.ArmedVersion}, true
		}
		return RankOrder{Operation: OrderPrepare, Version: s.version, Map: s.lists}, r.prepared != s.version
	})
}

// NeedsCurrent reports whether the caller must give the map in use with Clear before the present change can be undone.
func (s *Switchover) NeedsCurrent() bool { return s.phase == switchClearing && s.lists == nil }

// Clear gives the map that all ranks use, and a number for it that no other change uses.
func (s *Switchover) Clear(number uint64, current Lists) { s.version, s.lists = number*2+1, current }
