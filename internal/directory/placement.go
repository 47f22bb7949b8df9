package directory

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/routes"
)

const (
	// planInterval is the least time between two plans of one group: the demand of a shorter time is too noisy.
	planInterval = 150 * time.Millisecond
	// obstacleAfter is how long changes are kept from being planned before the log says so.
	obstacleAfter = 2 * time.Second
	// startSkew and stopSkew are the skews between which experts are moved; measured in docs/notes/platform.md.
	startSkew = 1.3
	stopSkew  = 1.2
	// copyTime is how long one change may copy experts to a rank: a change in force soon beats a better one later, but each
	// change also takes the time to hold and arm all ranks. Measured in docs/notes/platform.md.
	copyTime = 160 * time.Millisecond
	// demandSmoothing is the weight of the newest demand for the planner: the demand fades already as it is counted.
	demandSmoothing = 1
)

// plan looks whether another map is better, and begins the change to it.
func (gs *groups) plan(now time.Time, g *group) {
	engine := gs.engines[g.service]
	if engine == nil || g.planning || now.Sub(g.plannedAt) < planInterval {
		return
	}
	obstacle := g.change.NotReadyReason(now)
	if obstacle == "" && g.loads == nil {
		obstacle = "no demand was reported"
	}
	if obstacle != "" {
		g.blockedBy(now, obstacle)
		return
	}
	inUse := g.change.CurrentVersion()
	if g.pending != nil {
		if inUse == g.pendingAs && g.planner != nil {
			g.planner.Adopt(*g.pending)
			g.planVersion = g.pendingAs
		}
		g.pending = nil
	}
	if g.planner == nil || g.planVersion != inUse || g.planEpoch != g.change.Epoch() {
		current := g.current()
		if current == nil || g.ranks[0].heldAt != inUse {
			g.blockedBy(now, "the ranks have not told what they hold")
			return
		}
		m, err := experts.MapFromRankLists(current, engine.Experts)
		if err == nil {
			g.planner, err = experts.NewPlanner(experts.PlannerConfig{Layers: engine.Sets, Experts: engine.Experts, Ranks: g.size,
				SlotsPerRank: engine.MaxPlacements, StagingPerRank: staging(engine), StagingPerLayer: engine.Spare, StartSkew: startSkew, StopSkew: stopSkew, EvenSplit: true,
				Smoothing: demandSmoothing}, m)
		}
		if err != nil {
			log.WithError(err).WithField("group", g.name).Error("the expert map in use does not fit the configuration; it stays as it is")
			g.plannedAt = now
			return
		}
		g.planVersion, g.planEpoch = inUse, g.change.Epoch()
	}
	g.blockedBy(now, "")
	g.plannedAt, g.planning = now, true
	loads, speeds, planner := g.demand(), g.speeds(), g.planner
	go func() {
		plan, err := planner.Plan(loads, speeds)
		if err == nil && plan.Map != nil {
			err = gs.directory.confirm(context.Background()) // another instance may lead by now
		}
		gs.directory.post(func(now time.Time) { gs.planned(now, g, planner, plan, err) })
	}()
}

// staging returns the number of experts that one change copies to a rank.
func staging(e *routes.Engine) int {
	if e.ExpertCopyTime <= 0 {
		return 1
	}
	return max(1, int(copyTime/e.ExpertCopyTime))
}

// demandHalfLife is the time after which a choice counts half: a few passes of all ranks even out the chance of single
// requests.
const demandHalfLife = 150 * time.Millisecond

// fade lets older choices count less.
func (g *group) fade(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(g.faded)) / float64(demandHalfLife))
	g.faded = now
	for _, set := range g.loads {
		for e := range set {
			set[e] *= factor
		}
	}
}

// demand returns a copy of the demand.
func (g *group) demand() [][]float64 {
	demand := make([][]float64, len(g.loads))
	for set := range demand {
		demand[set] = slices.Clone(g.loads[set])
	}
	return demand
}

// speeds returns the relative speeds of the ranks.
func (g *group) speeds() []float64 {
	speeds := make([]float64, g.size)
	for rank := range speeds {
		speeds[rank] = 1
		if r := g.ranks[rank]; r != nil && r.pace > 1 {
			speeds[rank] = 1 / r.pace
		}
	}
	return speeds
}

// blockedBy logs what keeps changes from being planned, once it has lasted.
func (g *group) blockedBy(now time.Time, obstacle string) {
	if obstacle != g.obstacle {
		g.obstacle, g.obstacleAt, g.obstacleLogged = obstacle, now, false
	}
	if obstacle == "" || g.obstacleLogged || now.Sub(g.obstacleAt) < obstacleAfter {
		return
	}
	g.obstacleLogged = true
	log.WithFields(log.Fields{"group": g.name, "epoch": g.change.Epoch(), "obstacle": obstacle}).Warn("no change of expert map can be planned")
}

// planned begins the change to a planned map.
func (gs *groups) planned(now time.Time, g *group, planner *experts.Planner, plan experts.Plan, err error) {
	g.planning = false
	if err != nil {
		log.WithError(err).WithField("group", g.name).Warn("no change of expert map begins")
		return
	}
	if plan.Map == nil || g.planner != planner || !g.change.Ready(now) {
		return
	}
	version := g.change.Begin(now, gs.newNumber(g), plan.Map.RankLists(g.size))
	g.pending, g.pendingAs = &plan, version
	log.WithFields(log.Fields{"group": g.name, "version": version, "epoch": g.change.Epoch(), "skewBefore": plan.Before, "skew": plan.Skew, "moves": len(plan.Moves),
		"limited": plan.Limited}).Info("change of expert map begins")
}
