package control

import (
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// groupInterval is how often the step times of lock-step groups are evaluated. Agents do not repeat an unchanged
	// load report, so the last step time of each reachable rank counts as its current one.
	groupInterval = time.Second
	// maxRanks bounds the ranks in an announcement; the target fleet has groups of 256.
	maxRanks = 4096
)

// group is a lock-step group, which is as fast as its slowest rank.
type group struct {
	detector     *experts.StragglerDetector
	incarnations []fleet.Incarnation // of each rank
	lastSeen     time.Time
	hasStepTimes bool    // a rank has reported a step time
	weight       float64 // share of work relative to a healthy group
}

// updateGroupWeights detects stragglers among the ranks by their step times and sets the weights of their groups.
func (s *state) updateGroupWeights(now time.Time) {
	if now.Before(s.nextGroupCheck) {
		return
	}
	s.nextGroupCheck = now.Add(groupInterval)
	for _, srv := range s.servers {
		a := &srv.announcement
		if a.Group == "" || a.Ranks <= 0 || a.Ranks > maxRanks || a.Rank < 0 || a.Rank >= a.Ranks {
			continue
		}
		g := s.groups[a.Group]
		if g == nil || len(g.incarnations) != a.Ranks {
			g = &group{detector: experts.NewStragglerDetector(now, a.Ranks, experts.StragglerConfig{}),
				incarnations: make([]fleet.Incarnation, a.Ranks), weight: 1}
			s.groups[a.Group] = g
		}
		g.lastSeen = now
		if g.incarnations[a.Rank] != a.Incarnation {
			g.incarnations[a.Rank] = a.Incarnation
			g.detector.ResetRank(now, a.Rank)
		}
		if srv.load.StepTime > 0 && newestLive(srv.sessions) != nil {
			g.hasStepTimes = true
			g.detector.Observe(now, a.Rank, srv.load.StepTime)
		}
	}
	for name, g := range s.groups {
		if now.Sub(g.lastSeen) > retentionTime {
			delete(s.groups, name)
			continue
		}
		weight := g.detector.Assess(now).Weight
		if (weight < 1) != (g.weight < 1) {
			log.WithFields(log.Fields{"group": name, "weight": weight}).Warn("a slow or silent rank changes the weight of its lock-step group")
		}
		s.changed = s.changed || weight != g.weight
		g.weight = weight
	}
}

// weight returns a server's share of work relative to a healthy server. Groups without step times count as healthy, as
// not every engine reports them.
func (s *state) weight(a *fleet.Announcement) float64 {
	if g := s.groups[a.Group]; g != nil && g.hasStepTimes {
		return g.weight
	}
	return 1
}
