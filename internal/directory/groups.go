package directory

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/coordination"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/registry"
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
	// maxLoopLag is the delay of the loop beyond which no change begins and no step is held: a group waits at a held step
	// until the orders to all its ranks are out.
	maxLoopLag = 100 * time.Millisecond
	// confirmInterval is the interval at which a coordinator confirms with a majority that its assignments still hold, and
	// leaseDuration the time after the last confirmation in which it begins changes. It bridges the election of a leader. Two
	// coordinators at once are safe (package experts); the lease only keeps them from undoing each other's changes.
	confirmInterval = 500 * time.Millisecond
	leaseDuration   = 4 * time.Second
	// silentAfter is the silence of a control instance after which its groups get another coordinator: four heartbeats.
	silentAfter = 800 * time.Millisecond
	// assignInterval is the interval at which the leader checks the coordinators of the groups.
	assignInterval = 250 * time.Millisecond
	// groupQueueLength limits the reports that wait for the loop: about two seconds of those of 256 ranks.
	groupQueueLength = 4096
	// rankProcessTimeout is the time without a result after which the coordinator sends orders directly to the engine instead of
	// through the rank's process, which reports after 400 ms that the engine does not answer.
	rankProcessTimeout = 1200 * time.Millisecond
)

// role is the part of this control instance in the coordination of a group.
type role uint8

const (
	noRole      role = iota // other instances coordinate the group
	deputy                  // receives the reports and completes changes that the coordinator has left behind
	coordinator             // plans and begins changes
)

// group is this control instance's view of a lock-step group.
type group struct {
	name       string
	service    string
	size       int
	reportedAt time.Time // when any rank last reported
	ranks      map[int]*groupRank
	switchover *experts.Switchover
	role       role
	numbers    *experts.ChangeNumbers // of the current lease, nil without a role

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
	encodedMap     []byte      // lists of the map version encodedVersion, as sent to rank processes
	encodedVersion uint64

	heldSince time.Time // Switchover.HeldSince when it was last looked at

	loadsSent   []byte // last loads sent to the entry instances
	loadsSentAt time.Time
	// openEpoch is the newest epoch in which a rank has reported the group as open, and openEpochSent what the entry instances know.
	openEpoch, openEpochSent uint64
}

// groupRank is one rank of a group.
type groupRank struct {
	session       transport.Session
	address       string
	startedAtMS   int64 // distinguishes a restarted engine from the previous incarnation
	stepTimeRatio float64
	held          [][]int
	heldVersion   uint64 // map version of held
	heldEpoch     uint64 // epoch in which held was reported
	// waitingSince is the time of the first order in a row without a result from the rank process or the engine, zero if there is
	// none, and orderedAt that of the last order.
	waitingSince, orderedAt time.Time
	requests                int // running and waiting at the engine
	reportedAt              time.Time
}

// groups manages the expert maps of the lock-step groups that report to this control instance. Its loop is separate from
// that of the Directory, so that neither a slow plan nor many reports delay announcements or the agreement group.
type groups struct {
	directory *Directory
	events    chan func(now time.Time)
	done      chan struct{}
	dropped   *metrics.Counter
	postponed *metrics.Counter   // ticks at which a change waited because the loop was late
	held      *metrics.Histogram // time for which a step was held, by change

	// Owned by the loop.
	byName      map[string]*group // by "service/group"
	version     uint64            // of the routing configuration that engines was read from
	engines     map[string]*routes.Engine
	lastTick    time.Time
	assignedAt  time.Time
	leadingFrom time.Time // since when this instance leads the agreement group; zero if it does not
	assigning   bool      // an assignment of coordinators is being agreed on
	late        bool      // the last tick came later than maxLoopLag
	confirmedAt time.Time // when the last successful confirmation of the assignments was requested
	requestedAt time.Time // when the last confirmation was requested
	// earlierLease is the newest lease that may have been granted before the start of this process, which would issue its
	// numbers again. It is known once the first confirmation has succeeded.
	earlierLease      uint64
	earlierLeaseKnown bool
	// numbers holds the change numbers by group: they outlive the group's state, which is discarded after a pause.
	numbers map[string]*experts.ChangeNumbers
}

func newGroups(d *Directory) *groups {
	return &groups{directory: d, byName: map[string]*group{}, engines: map[string]*routes.Engine{},
		numbers: map[string]*experts.ChangeNumbers{}, done: make(chan struct{}),
		events: make(chan func(time.Time), groupQueueLength), dropped: metrics.GetOrCreateCounter(`banyanfront_control_group_reports_dropped_total`),
		postponed: metrics.GetOrCreateCounter(`banyanfront_control_map_changes_postponed_total`),
		held:      metrics.GetOrCreateHistogram(`banyanfront_control_group_held_seconds`)}
}

// run processes reports and sends orders until the context ends.
func (gs *groups) run(ctx context.Context) {
	defer close(gs.done)
	tick := time.NewTicker(groupTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-gs.events:
			f(time.Now())
		case due := <-tick.C:
			now := time.Now()
			loopLag("groups").Update(now.Sub(due).Seconds())
			gs.late = now.Sub(due) > maxLoopLag
			gs.tick(now)
		}
	}
}

// post queues an event for the loop. It drops the event once the loop has ended.
func (gs *groups) post(f func(now time.Time)) {
	select {
	case gs.events <- f:
	case <-gs.done:
	}
}

// postReport queues an event that a later one replaces. It drops the event if the queue is full.
func (gs *groups) postReport(f func(now time.Time)) {
	select {
	case gs.events <- f:
	default:
		gs.dropped.Inc()
	}
}

// handleReport processes a report of a rank.
func (gs *groups) handleReport(now time.Time, s transport.Session, m *protocol.Rank) {
	if m.Size <= 0 || !registry.ValidRank(m.Report.Rank, m.Size) {
		return
	}
	key := controlstate.GroupKey(m.Service, m.Group)
	g := gs.byName[key]
	if g == nil || g.size != m.Size {
		g = newGroup(now, m.Service, m.Group, m.Size)
		gs.byName[key] = g
		log.WithFields(log.Fields{"group": key, "ranks": m.Size}).Info("first report of a lock-step group of this size")
	}
	g.reportedAt = now
	gs.updateRole(now, key, g)
	if g.role == noRole {
		return // the report only shows that the group exists
	}
	r := g.ranks[m.Report.Rank]
	if r == nil || r.startedAtMS != m.StartedAtMS {
		r = &groupRank{startedAtMS: m.StartedAtMS}
		g.ranks[m.Report.Rank] = r
	}
	r.session, r.address, r.stepTimeRatio = s, m.Address, m.Report.StepTimeRatio
	r.requests, r.reportedAt = m.Requests, now
	if m.HeldExperts != nil {
		r.held, r.heldVersion, r.heldEpoch = m.HeldExperts, m.Report.Map, m.Report.Epoch
	}
	if len(m.ExpertLoad) > 0 {
		g.decayDemand(now)
		gs.addDemand(g, m)
	}
	if m.Report.Open && m.Report.Epoch > g.openEpoch {
		g.openEpoch = m.Report.Epoch
		gs.sendLoads(now, g)
	}
	before := g.switchover.Epoch()
	g.switchover.HandleReport(now, m.Report)
	if epoch := g.switchover.Epoch(); epoch != before {
		log.WithFields(log.Fields{"group": key, "epoch": epoch, "before": before}).Info("lock-step group has a new epoch")
		g.planner, g.pending, g.demand = nil, nil, nil
	}
}

func newGroup(now time.Time, service, name string, size int) *group {
	return &group{name: name, service: service, size: size, ranks: map[int]*groupRank{},
		switchover: experts.NewSwitchover(experts.SwitchoverConfig{Ranks: size}, now)}
}

// updateRole applies the agreed coordinator of a group. An instance that had no role starts without knowledge of the
// group's state, and one that has none any more sends no orders.
func (gs *groups) updateRole(now time.Time, key string, g *group) {
	assigned := gs.directory.State().Coordinator(key)
	next := noRole
	switch gs.directory.config.Address {
	case assigned.Instance:
		next = coordinator
	case assigned.Deputy:
		next = deputy
	}
	if !gs.earlierLeaseKnown || assigned.Lease <= gs.earlierLease {
		next = noRole
	}
	if next == g.role && (next == noRole || assigned.Lease == g.numbers.Lease) {
		return
	}
	log.WithFields(log.Fields{"group": key, "coordinator": assigned.Instance, "deputy": assigned.Deputy, "lease": assigned.Lease}).
		Info("coordinator of a lock-step group assigned")
	if next == noRole || g.role == noRole {
		*g = *newGroup(now, g.service, g.name, g.size)
		g.reportedAt = now
	}
	g.role, g.numbers = next, nil
	if next == noRole {
		return
	}
	if n := gs.numbers[key]; n == nil || n.Lease != assigned.Lease {
		gs.numbers[key] = &experts.ChangeNumbers{Lease: assigned.Lease, Deputy: next == deputy}
	}
	g.numbers = gs.numbers[key]
}

// addDemand adds the expert selections of a rank's requests since its last reading to the demand.
func (gs *groups) addDemand(g *group, m *protocol.Rank) {
	engine := gs.engines[g.service]
	if engine == nil || engine.Sets*engine.Experts != len(m.ExpertLoad) {
		return
	}
	if g.demand == nil {
		g.demand = make([][]float64, engine.Sets)
		for set := range g.demand {
			g.demand[set] = make([]float64, engine.Experts)
		}
	}
	unit := float64(m.LoadUnit)
	for set, demand := range g.demand {
		for expert, load := range m.ExpertLoad[set*engine.Experts : (set+1)*engine.Experts] {
			demand[expert] += float64(load) * unit
		}
	}
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
	gs.updateEngines()
	for key, g := range gs.byName {
		if now.Sub(g.reportedAt) > groupExpiry {
			delete(gs.byName, key)
			continue
		}
		gs.updateRole(now, key, g)
		gs.advance(now, g)
		gs.sendLoads(now, g)
	}
	gs.assignCoordinators(now)
	gs.confirmLeases(now)
}

// confirmLeases asks a majority at regular intervals for the newest agreed state, at first to learn which leases are from
// before the start of this process, and then while it coordinates a group.
func (gs *groups) confirmLeases(now time.Time) {
	needed := !gs.earlierLeaseKnown
	for _, g := range gs.byName {
		needed = needed || g.role == coordinator
	}
	if !needed || now.Sub(gs.requestedAt) < confirmInterval {
		return
	}
	gs.requestedAt = now
	go func() {
		state, err := gs.directory.ConfirmedState(context.Background())
		if err != nil {
			log.WithError(err).Debug("coordinators of groups not confirmed; trying again")
			return
		}
		gs.post(func(time.Time) { gs.leasesConfirmed(now, state) })
	}()
}

// leasesConfirmed processes the agreed state that a majority has confirmed after the time of the request.
func (gs *groups) leasesConfirmed(requestedAt time.Time, state controlstate.State) {
	gs.confirmedAt = requestedAt
	if gs.earlierLeaseKnown {
		return
	}
	gs.earlierLeaseKnown = true
	for _, c := range state.Coordinators {
		gs.earlierLease = max(gs.earlierLease, c.Lease)
	}
}

// renewLeases returns the assignments to this instance from before its start, to be granted again under new leases.
func (gs *groups) renewLeases(current []controlstate.Coordinator) []controlstate.Coordinator {
	var renewed []controlstate.Coordinator
	for _, c := range current {
		if address := gs.directory.config.Address; gs.earlierLeaseKnown && c.Lease <= gs.earlierLease && (c.Instance == address || c.Deputy == address) {
			renewed = append(renewed, c)
		}
	}
	return renewed
}

// assignCoordinators proposes new leases for assignments from before the start of this process and, on the leader,
// coordinators for the groups that have none that answers.
func (gs *groups) assignCoordinators(now time.Time) {
	_, leads := gs.directory.member.Leads()
	switch {
	case !leads:
		gs.leadingFrom = time.Time{}
	case gs.leadingFrom.IsZero():
		gs.leadingFrom = now
	}
	if gs.assigning || now.Sub(gs.assignedAt) < assignInterval {
		return
	}
	gs.assignedAt = now
	current := gs.directory.State().Coordinators
	changes := gs.renewLeases(current)
	if leads && len(changes) == 0 {
		knowsAll := now.Sub(gs.leadingFrom) > groupExpiry // by then every group has reported
		changes = coordination.Next(current, slices.Collect(maps.Keys(gs.byName)), gs.directory.answeringInstances(now), knowsAll)
	}
	if len(changes) == 0 {
		return
	}
	gs.assigning = true
	go func() {
		id := "coordinate/" + strconv.FormatInt(now.UnixNano(), 36)
		err := gs.directory.Propose(context.Background(), id, controlstate.Command{Coordinate: changes})
		if err != nil {
			log.WithError(err).Warn("coordinators of lock-step groups not agreed on; trying again")
		}
		gs.post(func(time.Time) { gs.assigning = false })
	}()
}

// advance sends the orders that are due and, on the coordinator, plans the next map change. The deputy only completes or
// undoes changes that the coordinator has left behind.
func (gs *groups) advance(now time.Time, g *group) {
	if g.role == noRole {
		return
	}
	if g.role == deputy {
		g.switchover.AbortPreparing(now)
	}
	if g.switchover.NeedsCurrentMap() {
		if current := g.currentMap(); current != nil {
			if number, ok := g.numbers.Next(g.switchover.HighestChangeNumber()); ok {
				g.switchover.ProvideCurrentMap(number, current)
			}
		}
	}
	if gs.late && g.switchover.MayWait() {
		gs.postponed.Inc()
		return
	}
	before := g.switchover.Phase()
	for _, o := range g.switchover.Tick(now) {
		gs.sendOrder(now, g, o)
	}
	if after := g.switchover.Phase(); after != before {
		log.WithFields(log.Fields{"group": g.name, "version": g.switchover.ChangeVersion(), "before": before, "now": after}).Info("change of expert map goes on")
	}
	if since := g.switchover.HeldSince(); since != g.heldSince {
		if !g.heldSince.IsZero() {
			gs.held.Update(now.Sub(g.heldSince).Seconds())
		}
		g.heldSince = since
	}
	if g.role == coordinator {
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
func (gs *groups) sendOrder(now time.Time, g *group, o experts.RankOrder) {
	r := g.ranks[o.Rank]
	if r == nil {
		return
	}
	if r.waitingSince.IsZero() || now.Sub(r.orderedAt) > rankProcessTimeout {
		r.waitingSince = now
	}
	r.orderedAt = now
	if now.Sub(r.waitingSince) < rankProcessTimeout {
		message := &protocol.RankOrder{Group: g.name, Order: o, Map: g.encodeMap(o)}
		message.Order.Map = nil
		if r.session != nil && r.session.Send(message) == nil {
			return
		}
	}
	log.WithFields(log.Fields{"group": g.name, "rank": o.Rank, "operation": string(o.Operation)}).
		Info("the rank process does not answer; sending the order directly to the engine")
	sendDirectly, key := gs.directory.config.Order, controlstate.GroupKey(g.service, g.name)
	if sendDirectly == nil {
		return
	}
	go func() {
		result, err := sendDirectly(context.Background(), r.address, o)
		if err != nil {
			log.WithError(err).WithField("rank", o.Rank).Info("order sent directly to the engine failed")
		}
		gs.post(func(now time.Time) { gs.handleResult(now, key, o, result) })
	}()
}

// encodeMap returns the encoded map of an order, nil if it has none. All ranks of a group get the same map.
func (g *group) encodeMap(o experts.RankOrder) []byte {
	if o.Map == nil {
		return nil
	}
	if g.encodedMap == nil || g.encodedVersion != o.Version {
		g.encodedMap, g.encodedVersion = o.Map.Encode(), o.Version
	}
	return g.encodedMap
}

// handleResult processes the result of an order.
func (gs *groups) handleResult(now time.Time, key string, o experts.RankOrder, result experts.OrderResult) {
	g := gs.byName[key]
	if g == nil {
		return
	}
	if r := g.ranks[o.Rank]; r != nil && result != experts.OrderUnanswered {
		r.waitingSince = time.Time{}
	}
	g.switchover.HandleResult(now, o, result)
	gs.advance(now, g) // the next order does not wait for a tick
}

// handleRankDone processes the result of an order that a rank process reports.
func (gs *groups) handleRankDone(now time.Time, m *protocol.RankDone) {
	for key, g := range gs.byName {
		if g.name == m.Group {
			if r := g.ranks[m.Order.Rank]; r != nil {
				r.waitingSince = time.Time{} // also if the engine does not answer: the rank process does
			}
			gs.handleResult(now, key, m.Order, m.Result)
		}
	}
}
