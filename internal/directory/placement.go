package directory

import (
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/routes"
)

const (
	// minPlanInterval is the minimum time between two plans of one group: demand over a shorter time is too noisy.
	minPlanInterval = 150 * time.Millisecond
	// obstacleLogDelay is how long an obstacle must last before it is logged.
	obstacleLogDelay = 2 * time.Second
	// startSkew and stopSkew are the skews at which rebalancing starts and stops; see docs/notes/platform.md.
	startSkew = 1.3
	stopSkew  = 1.2
	// maxCopyTime limits the time that one change copies experts to a rank: a small change soon is better than a larger one
	// later, but each change also costs the time to hold and arm all ranks. See docs/notes/platform.md.
	maxCopyTime = 160 * time.Millisecond
	// demandSmoothing is the planner's weight of the newest demand; 1 because the demand is already decayed as it is counted.
	demandSmoothing = 1
)

// planChange computes in the background whether another map is better, and starts the change to it.
func (gs *groups) planChange(now time.Time, g *group) {
	engine := gs.engines[g.service]
	if engine == nil || g.planning || now.Sub(g.plannedAt) < minPlanInterval {
		return
	}
	obstacle := g.switchover.NotReadyReason(now)
	if now.Sub(gs.confirmedAt) > leaseDuration {
		obstacle = "no majority has confirmed the coordinator"
	}
	if obstacle == "" && g.demand == nil {
		obstacle = "no demand was reported"
	}
	if obstacle != "" {
		g.trackObstacle(now, obstacle)
		return
	}
	currentVersion := g.switchover.MapVersion()
	if g.pending != nil {
		if currentVersion == g.pendingVersion && g.planner != nil {
			g.planner.Adopt(*g.pending)
			g.plannerVersion = g.pendingVersion
		}
		g.pending = nil
	}
	if g.planner == nil || g.plannerVersion != currentVersion || g.plannerEpoch != g.switchover.Epoch() {
		current := g.currentMap()
		if current == nil || g.ranks[0].heldVersion != currentVersion {
			g.trackObstacle(now, "not all ranks have reported the experts that they hold")
			return
		}
		m, err := experts.MapFromRankLists(current, engine.Experts)
		if err == nil {
			g.planner, err = experts.NewPlanner(experts.PlannerConfig{Layers: engine.Sets, Experts: engine.Experts, Ranks: g.size,
				SlotsPerRank: engine.MaxPlacements, StagingPerRank: stagingPerRank(engine), StagingPerLayer: engine.Spare, StartSkew: startSkew, StopSkew: stopSkew, EvenSplit: true,
				Smoothing: demandSmoothing}, m)
		}
		if err != nil {
			log.WithError(err).WithField("group", g.name).Error("the current expert map does not fit the configuration; it remains unchanged")
			g.plannedAt = now
			return
		}
		g.plannerVersion, g.plannerEpoch = currentVersion, g.switchover.Epoch()
	}
	g.trackObstacle(now, "")
	g.plannedAt, g.planning = now, true
	demand, speeds, planner := g.copyDemand(), g.speeds(), g.planner
	go func() {
		plan, err := planner.Plan(demand, speeds)
		gs.post(func(now time.Time) { gs.startChange(now, g, planner, plan, err) })
	}()
}

// stagingPerRank returns the number of experts that one change copies to a rank.
func stagingPerRank(e *routes.Engine) int {
	if e.ExpertCopyTime <= 0 {
		return 1
	}
	return max(1, int(maxCopyTime/e.ExpertCopyTime))
}

// demandHalfLife is the time after which an expert selection counts half: a few decode steps of all ranks average out the
// randomness of single requests.
const demandHalfLife = 150 * time.Millisecond

// decayDemand reduces the weight of earlier expert selections.
func (g *group) decayDemand(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(g.decayedAt)) / float64(demandHalfLife))
	g.decayedAt = now
	for _, set := range g.demand {
		for e := range set {
			set[e] *= factor
		}
	}
}

// copyDemand returns a copy of the demand.
func (g *group) copyDemand() [][]float64 {
	demand := make([][]float64, len(g.demand))
	for set := range demand {
		demand[set] = slices.Clone(g.demand[set])
	}
	return demand
}

// speeds returns the speeds of the ranks relative to a normal engine, at most 1.
func (g *group) speeds() []float64 {
	speeds := make([]float64, g.size)
	for rank := range speeds {
		speeds[rank] = 1
		if r := g.ranks[rank]; r != nil && r.stepTimeRatio > 1 {
			speeds[rank] = 1 / r.stepTimeRatio
		}
	}
	return speeds
}

// trackObstacle records the reason why no change can be planned, "" for none, and logs it once it has lasted for
// obstacleLogDelay.
func (g *group) trackObstacle(now time.Time, obstacle string) {
	if obstacle != g.obstacle {
		g.obstacle, g.obstacleSince, g.obstacleLogged = obstacle, now, false
	}
	if obstacle == "" || g.obstacleLogged || now.Sub(g.obstacleSince) < obstacleLogDelay {
		return
	}
	g.obstacleLogged = true
	log.WithFields(log.Fields{"group": g.name, "epoch": g.switchover.Epoch(), "obstacle": obstacle}).Warn("no change of expert map can be planned")
}

// startChange starts the change to the map of a plan, unless the group's state has changed since.
func (gs *groups) startChange(now time.Time, g *group, planner *experts.Planner, plan experts.Plan, err error) {
	g.planning = false
	if err != nil {
		log.WithError(err).WithField("group", g.name).Warn("change of expert map not started")
		return
	}
	gs.updateRole(now, controlstate.GroupKey(g.service, g.name), g) // the group may have another coordinator by now
	if plan.Map == nil || g.role != coordinator || now.Sub(gs.confirmedAt) > leaseDuration || g.planner != planner || !g.switchover.Ready(now) {
		return
	}
	number, ok := g.numbers.Next(g.switchover.HighestChangeNumber())
	if !ok {
		log.WithFields(log.Fields{"group": g.name, "lease": g.numbers.Lease}).Warn("change of expert map not started: a later coordinator has changed the map")
		return
	}
	version := g.switchover.Begin(now, number, plan.Map.RankLists(g.size))
	g.pending, g.pendingVersion = &plan, version
	log.WithFields(log.Fields{"group": g.name, "version": version, "epoch": g.switchover.Epoch(), "skewBefore": plan.Before, "skew": plan.Skew, "moves": len(plan.Moves),
		"limited": plan.Limited}).Info("change of expert map begins")
}
