package experts

import (
	"maps"
	"slices"
	"time"
)

// This file undoes map changes that cannot be completed, and continues those left over from an earlier process or from
// a delayed order.

// recoverChange continues a change left over from an earlier process or from a delayed order.
func (s *Switchover) recoverChange(now time.Time) []RankOrder {
	if len(s.ranks) != s.config.Ranks {
		return nil
	}
	holder, armedRank := -1, -1
	for _, rank := range slices.Sorted(maps.Keys(s.ranks)) {
		r := s.ranks[rank]
		if now.Sub(r.reportedAt) > s.config.MaxReportLag {
			return nil
		}
		if r.report.Holding {
			holder = rank
		}
		if r.report.ArmedVersion != 0 {
			armedRank = rank
		}
	}
	if holder < 0 {
		s.leftoverHold.since = time.Time{}
		return nil
	}
	if step := s.ranks[holder].report.HeldStep; s.leftoverHold.since.IsZero() || step != s.leftoverHold.step {
		s.leftoverHold.step, s.leftoverHold.since = step, now // another process may still continue the change
	}
	// The waits run side by side: the group stands still meanwhile.
	for _, since := range []time.Time{s.leftoverHold.since, s.startedAt, s.phaseSince} {
		if now.Sub(since) < s.config.MaxReportLag {
			return nil
		}
	}
	s.holder, s.step = holder, s.leftoverHold.step
	unarmable := armedRank < 0
	for _, r := range s.ranks {
		unarmable = unarmable && r.report.Prepared != 0 && !armable(r.report.Prepared)
	}
	if unarmable {
		s.allArmed = false
		s.enterPhase(now, switchReleasing)
		return s.Tick(now)
	}
	s.version = 0
	if armedRank >= 0 {
		s.version = s.ranks[armedRank].report.ArmedVersion
	} else if r := s.ranks[holder]; r.report.Prepared != r.report.Map && armable(r.report.Prepared) {
		s.version = r.report.Prepared // all ranks may have prepared it and can still be armed
	}
	if s.version == 0 {
		s.startClearing(now)
		return nil
	}
	for _, r := range s.ranks {
		r.armed = r.report.ArmedVersion == s.version && r.report.ArmedStep == s.step
		if !r.armed && r.report.Prepared != s.version {
			s.startClearing(now)
			return nil
		}
	}
	s.enterPhase(now, switchArming)
	return s.Tick(now)
}

// startClearing starts to undo a change that cannot be completed.
func (s *Switchover) startClearing(now time.Time) {
	s.enterPhase(now, switchClearing)
	s.lists = nil
	for _, r := range s.ranks {
		r.prepareAccepted, r.armed = 0, false
	}
}

// clearingOrders returns the orders that prevent late orders from arming a rank, disarm the armed ranks and then
// release the step. Another process may still be arming: only after a rank has prepared the newer version can that
// process no longer arm all ranks and release the step.
func (s *Switchover) clearingOrders(now time.Time) []RankOrder {
	if s.lists == nil {
		return nil // ProvideCurrentMap has not been called yet
	}
	cleared, blocked := true, false
	for _, r := range s.ranks {
		// A rank armed for the map in use changes nothing at the step, and cannot be disarmed.
		cleared = cleared && (r.prepareAccepted == s.version || r.report.ArmedVersion != 0 && r.report.ArmedVersion == r.report.Map)
		blocked = blocked || r.prepareAccepted == s.version
		if r.prepareAccepted != s.version && r.report.Prepared > s.version {
			s.lists = nil // another process has prepared a newer version: a still newer one is needed
			return nil
		}
	}
	if cleared || !blocked && s.armedIdentically() {
		return s.releaseOrders(now)
	}
	return s.ordersFor(now, func(r *switchRank) (RankOrder, bool) {
		if blocked && r.prepareAccepted != s.version && r.report.ArmedVersion != 0 {
			return RankOrder{Operation: OrderDisarm, Version: r.report.ArmedVersion}, true
		}
		return RankOrder{Operation: OrderPrepare, Version: s.version, Map: s.lists}, r.prepareAccepted != s.version
	})
}

// NeedsCurrentMap reports whether the current change can only be undone after a call of ProvideCurrentMap.
func (s *Switchover) NeedsCurrentMap() bool { return s.phase == switchClearing && s.lists == nil }

// ProvideCurrentMap supplies the map that all ranks use, and a number for it that no other change uses.
func (s *Switchover) ProvideCurrentMap(number uint64, current RankLists) {
	s.version, s.lists = number*2+1, current
}
