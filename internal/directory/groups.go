package directory

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// groupTickInterval is the interval at which orders that are due are sent.
	groupTickInterval = 50 * time.Millisecond
	// maxTickGap is the time between two ticks beyond which another instance may have taken over the groups.
	maxTickGap = time.Second
	// groupExpiry is the time without reports after which a group is dropped.
	groupExpiry = 30 * time.Second
	// termShiftBits is the position of the term in a change number. Leaders of the agreement group never share a term, so two
	// leaders never issue the same number.
	termShiftBits = 20
	// maxRankProcessAttempts is the number of consecutive orders sent to a rank's process without a result, after which the
	// leader sends orders directly to the engine.
	maxRankProcessAttempts = 3
)

// group is this control instance's view of a lock-step group.
type group struct {
	name       string
	service    string
	size       int
	reportedAt time.Time // when any rank last reported
	ranks      map[int]*groupRank
	switchover *experts.Switchover

	planner        *experts.Planner
	plannerVersion uint64 // map version that the planner starts from
	plannerEpoch   uint64
	pending        *experts.Plan // plan of the change in progress
	pendingVersion uint64
	planning       bool
	obstacle       string // reason why no change can be planned, "" if there is none
	obstacleSince  time.Time
	obstacleLogged bool
	plannedAt      time.Time
	demand         [][]float64 // recent demand, by set and expert
	decayedAt      time.Time   // when demand was last decayed
}

// groupRank is one rank of a group.
type groupRank struct {
	session       transport.Session
	address       string
	startedAtMS   int64    // distinguishes a restarted engine from the previous incarnation
	expertCounts  []uint64 // last reported selection counts, set by set
	stepTimeRatio float64
	held          [][]int
	heldVersion   uint64 // map version of held
	heldEpoch     uint64 // epoch in which held was reported
	unanswered    int    // consecutive orders without a result
}

// groups manages the expert maps of the lock-step groups that report to this control instance. It is owned by the loop of
// the Directory.
type groups struct {
	directory *Directory
	byName    map[string]*group
	version   uint64 // of the routing configuration that engines was read from
	engines   map[string]*routes.Engine
	counter   uint64 // of the change numbers in this term
	term      uint64
	lastTick  time.Time
}

func newGroups(d *Directory) *groups {
	return &groups{directory: d, byName: map[string]*group{}, engines: map[string]*routes.Engine{}}
}

// handleReport processes a report of a rank.
func (gs *groups) handleReport(now time.Time, s transport.Session, m *protocol.Rank) {
	if m.Size <= 0 {
		return
	}
	name := m.Service + "/" + m.Group
	g := gs.byName[name]
	if g == nil || g.size != m.Size {
		g = &group{name: m.Group, service: m.Service, size: m.Size, ranks: map[int]*groupRank{},
			switchover: experts.NewSwitchover(experts.SwitchoverConfig{Ranks: m.Size}, now)}
		gs.byName[name] = g
		log.WithFields(log.Fields{"group": name, "ranks": m.Size}).Info("first report of a lock-step group of this size")
	}
	g.reportedAt = now
	r := g.ranks[m.Report.Rank]
	if r == nil || r.startedAtMS != m.StartedAtMS {
		r = &groupRank{startedAtMS: m.StartedAtMS}
		g.ranks[m.Report.Rank] = r
	}
	r.session, r.address, r.stepTimeRatio = s, m.Address, m.Report.StepTimeRatio
	if m.HeldExperts != nil {
		r.held, r.heldVersion, r.heldEpoch = m.HeldExperts, m.Report.Map, m.Report.Epoch
	}
	if m.ExpertCounts != nil {
		g.decayDemand(now)
		gs.addDemand(g, r, m.ExpertCounts)
	}
	before := g.switchover.Epoch()
	g.switchover.HandleReport(now, m.Report)
	if epoch := g.switchover.Epoch(); epoch != before {
		log.WithFields(log.Fields{"group": name, "epoch": epoch, "before": before}).Info("lock-step group has a new epoch")
		g.planner, g.pending, g.demand = nil, nil, nil
	}
}

// addDemand adds the expert selections of a rank's requests since its last report to the demand.
func (gs *groups) addDemand(g *group, r *groupRank, counts []uint64) {
	engine := gs.engines[g.service]
	if engine == nil || engine.Sets*engine.Experts != len(counts) {
		r.expertCounts = counts
		return
	}
	if len(r.expertCounts) == len(counts) {
		if g.demand == nil {
			g.demand = make([][]float64, engine.Sets)
			for set := range g.demand {
				g.demand[set] = make([]float64, engine.Experts)
			}
		}
		for i, n := range counts {
			if n >= r.expertCounts[i] {
				g.demand[i/engine.Experts][i%engine.Experts] += float64(n - r.expertCounts[i])
			}
		}
	}
	r.expertCounts = counts
}

// updateEngines reads the engine descriptions from the configuration if its version has changed.
func (gs *groups) updateEngines() {
	state := gs.directory.State()
	if !state.Configured || state.Version == gs.version || gs.directory.config.Decode == nil {
		return
	}
	body, err := UnpackConfiguration(state.Body)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be unpacked; engine descriptions remain unchanged")
		return
	}
	configuration, err := gs.directory.config.Decode(body)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be decoded; engine descriptions remain unchanged")
		return
	}
	gs.version = state.Version
	clear(gs.engines)
	for i := range configuration.Services {
		if s := &configuration.Services[i]; s.Engine != nil && s.Engine.Sets > 0 {
			gs.engines[s.Name] = s.Engine
		}
	}
}

// tick advances all groups and drops those that no longer report.
func (gs *groups) tick(now time.Time) {
	if !gs.lastTick.IsZero() && now.Sub(gs.lastTick) > maxTickGap {
		log.WithField("ms", now.Sub(gs.lastTick).Milliseconds()).Warn("this process was paused for too long; the state of all lock-step groups is discarded")
		clear(gs.byName)
	}
	gs.lastTick = now
	term, leads := gs.directory.member.Leads()
	if term != gs.term {
		gs.term, gs.counter = term, 0
	}
	gs.updateEngines()
	for name, g := range gs.byName {
		if now.Sub(g.reportedAt) > groupExpiry {
			delete(gs.byName, name)
			continue
		}
		gs.advance(now, g, leads)
	}
}

// newChangeNumber returns a number that no other change uses, higher than all numbers the group has reported.
func (gs *groups) newChangeNumber(g *group) uint64 {
	gs.counter++
	number := max(gs.term<<termShiftBits+gs.counter, g.switchover.HighestChangeNumber()+1)
	gs.counter = max(gs.counter, number-gs.term<<termShiftBits)
	return number
}

// advance sends the orders that are due and, on the leader, plans the next map change. Other instances only complete or
// undo changes that a failed leader has left behind.
func (gs *groups) advance(now time.Time, g *group, leads bool) {
	if leads && g.switchover.NeedsCurrentMap() {
		if current := g.currentMap(); current != nil {
			g.switchover.ProvideCurrentMap(gs.newChangeNumber(g), current)
		}
	}
	if !leads {
		g.switchover.AbortPreparing(now)
	}
	before := g.switchover.Phase()
	for _, o := range g.switchover.Tick(now) {
		gs.sendOrder(g, o)
	}
	if after := g.switchover.Phase(); after != before {
		log.WithFields(log.Fields{"group": g.name, "version": g.switchover.ChangeVersion(), "before": before, "now": after}).Info("change of expert map goes on")
	}
	if leads {
		gs.planChange(now, g)
	}
}

// currentMap returns the rank lists of the map that all ranks use, nil if they are unknown or differ in version.
func (g *group) currentMap() experts.RankLists {
	var lists experts.RankLists
	for rank := range g.size {
		r := g.ranks[rank]
		if r == nil || r.held == nil || r.heldEpoch != g.switchover.Epoch() || r.heldVersion != g.ranks[0].heldVersion {
			return nil
		}
		if lists == nil {
			lists = make(experts.RankLists, len(r.held))
		}
		for set := range r.held {
			lists[set] = append(lists[set], r.held[set])
		}
	}
	return lists
}

// sendOrder sends an order to a rank through its rank process, or directly to the engine if that process does not answer.
func (gs *groups) sendOrder(g *group, o experts.RankOrder) {
	r := g.ranks[o.Rank]
	if r == nil {
		return
	}
	if r.unanswered++; r.unanswered <= maxRankProcessAttempts {
		if r.session != nil && r.session.Send(&protocol.RankOrder{Group: g.name, Order: o}) == nil {
			return
		}
	}
	log.WithFields(log.Fields{"group": g.name, "rank": o.Rank, "operation": string(o.Operation)}).
		Info("the rank process does not answer; sending the order directly to the engine")
	sendDirectly, key := gs.directory.config.Order, g.service+"/"+g.name
	if sendDirectly == nil {
		return
	}
	go func() {
		result, err := sendDirectly(context.Background(), r.address, o)
		if err != nil {
			log.WithError(err).WithField("rank", o.Rank).Info("order sent directly to the engine failed")
		}
		gs.directory.post(func(now time.Time) { gs.handleResult(now, key, o, result) })
	}()
}

// handleResult processes the result of an order.
func (gs *groups) handleResult(now time.Time, key string, o experts.RankOrder, result experts.OrderResult) {
	g := gs.byName[key]
	if g == nil {
		return
	}
	if r := g.ranks[o.Rank]; r != nil && result != experts.OrderUnanswered {
		r.unanswered = 0
	}
	g.switchover.HandleResult(now, o, result)
	_, leads := gs.directory.member.Leads()
	gs.advance(now, g, leads) // the next order does not wait for a tick
}

// handleRankDone processes the result of an order that a rank process reports.
func (gs *groups) handleRankDone(now time.Time, m *protocol.RankDone) {
	for key, g := range gs.byName {
		if g.name == m.Group {
			gs.handleResult(now, key, m.Order, m.Result)
		}
	}
}
