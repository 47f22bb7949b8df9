package control

import (
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// groupInterval is how often the step times of lock-step groups are judged. Agents repeat nothing that has not
	// changed, so the last figure of each rank that can be reached counts as its present one.
	groupInterval = time.Second
	// maxRanks bounds what an announcement can claim; the target has groups of 256.
	maxRanks = 4096
)

// group is a group of ranks in lock-step: it is as fast as its slowest rank.
type group struct {
	watch  *experts.StragglerDetector
	boots  []fleet.Incarnation // of each rank
	seen   time.Time
	steps  bool    // a rank has reported a step time
	weight float64 // share of work that the group gets relative to a healthy one
}

// watchGroups judges the ranks by their step times and sets the weights of their groups.
func (s *state) watchGroups(now time.Time) {
	if now.Before(s.nextGroups) {
		return
	}
	s.nextGroups = now.Add(groupInterval)
	for _, known := range s.servers {
		a := &known.announcement
		if a.Group == "" || a.Ranks <= 0 || a.Ranks > maxRanks || a.Rank < 0 || a.Rank >= a.Ranks {
			continue
		}
		g := s.groups[a.Group]
		if g == nil || len(g.boots) != a.Ranks {
			g = &group{watch: experts.NewStragglerDetector(now, a.Ranks, experts.StragglerConfig{}), boots: make([]fleet.Incarnation, a.Ranks), weight: 1}
			s.groups[a.Group] = g
		}
		g.seen = now
		if g.boots[a.Rank] != a.Incarnation {
			g.boots[a.Rank] = a.Incarnation
			g.watch.ResetRank(now, a.Rank)
		}
		if known.load.StepTime > 0 && best(known.sessions) != nil {
			g.steps = true
			g.watch.Observe(now, a.Rank, known.load.StepTime)
		}
	}
	for name, g := range s.groups {
		if now.Sub(g.seen) > forgetAfter {
			delete(s.groups, name)
			continue
		}
		weight := g.watch.Assess(now).Weight
		if (weight < 1) != (g.weight < 1) {
			log.WithFields(log.Fields{"group": name, "weight": weight}).Warn("a slow or silent rank changes the weight of its lock-step group")
		}
		s.changed = s.changed || weight != g.weight
		g.weight = weight
	}
}

// weight returns the share of work that a server gets relative to its peers. Groups without step times count as healthy:
// not every engine reports them.
func (s *state) weight(a *fleet.Announcement) float64 {
	if g := s.groups[a.Group]; g != nil && g.steps {
		return g.weight
	}
	return 1
}
