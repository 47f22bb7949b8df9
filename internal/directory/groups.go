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
	// groupTick paces the orders of a change.
	groupTick = 50 * time.Millisecond
	// stalledTick is the pause between two ticks after which another instance may have taken over the groups.
	stalledTick = time.Second
	// forgetGroup is the silence after which a group is forgotten.
	forgetGroup = 30 * time.Second
	// termShift gives each leader of the agreement group versions of its own: no two leaders share a term.
	termShift = 20
	// directAfter is how often an order is sent to a rank's own process before the leader gives it to the engine itself.
	directAfter = 3
)

// group is a lock-step group as the leader sees it.
type group struct {
	name    string
	service string
	size    int
	heard   time.Time
	ranks   map[int]*groupRank
	change  *experts.Switchover

	planner        *experts.Planner
	planVersion    uint64 // map version that the planner believes in force
	planEpoch      uint64
	pending        *experts.Plan // being put in force
	pendingAs      uint64
	planning       bool
	obstacle       string // what keeps changes from being planned
	obstacleAt     time.Time
	obstacleLogged bool
	plannedAt      time.Time
	loads          [][]float64 // recent demand, by set and expert
	faded          time.Time   // when loads were faded last
}

// groupRank is one rank of a group.
type groupRank struct {
	session transport.Session
	address string
	born    int64
	picked  []uint64
	pace    float64
	held    [][]int
	heldAt  uint64 // map version of held
	epoch   uint64 // of held
	unheard int    // orders in a row without an answer
}

// groups holds the groups that this control instance leads. The loop of the Directory owns it.
type groups struct {
	directory *Directory
	byName    map[string]*group
	version   uint64 // of the routing configuration that engines is from
	engines   map[string]*routes.Engine
	counter   uint64
	term      uint64
	ticked    time.Time
}

func newGroups(d *Directory) *groups {
	return &groups{directory: d, byName: map[string]*group{}, engines: map[string]*routes.Engine{}}
}

// heard takes in the report of a rank.
func (gs *groups) heard(now time.Time, s transport.Session, m *protocol.Rank) {
	if m.Size <= 0 {
		return
	}
	name := m.Service + "/" + m.Group
	g := gs.byName[name]
	if g == nil || g.size != m.Size {
		g = &group{name: m.Group, service: m.Service, size: m.Size, ranks: map[int]*groupRank{},
			change: experts.NewSwitchover(experts.SwitchoverConfig{Ranks: m.Size}, now)}
		gs.byName[name] = g
		log.WithFields(log.Fields{"group": name, "ranks": m.Size}).Info("lock-step group is known here")
	}
	g.heard = now
	r := g.ranks[m.Report.Rank]
	if r == nil || r.born != m.Born {
		r = &groupRank{born: m.Born}
		g.ranks[m.Report.Rank] = r
	}
	r.session, r.address, r.pace = s, m.Address, m.Report.StepTimeRatio
	if m.Held != nil {
		r.held, r.heldAt, r.epoch = m.Held, m.Report.Map, m.Report.Epoch
	}
	if m.Picked != nil {
		g.fade(now)
		gs.count(g, r, m.Picked)
	}
	before := g.change.Epoch()
	g.change.HandleReport(now, m.Report)
	if epoch := g.change.Epoch(); epoch != before {
		log.WithFields(log.Fields{"group": name, "epoch": epoch, "before": before}).Info("lock-step group has a new epoch")
		g.planner, g.pending, g.loads = nil, nil, nil
	}
}

// count adds what a rank's requests have chosen since its last report to the demand.
func (gs *groups) count(g *group, r *groupRank, picked []uint64) {
	engine := gs.engines[g.service]
	if engine == nil || engine.Sets*engine.Experts != len(picked) {
		r.picked = picked
		return
	}
	if len(r.picked) == len(picked) {
		if g.loads == nil {
			g.loads = make([][]float64, engine.Sets)
			for set := range g.loads {
				g.loads[set] = make([]float64, engine.Experts)
			}
		}
		for i, n := range picked {
			if n >= r.picked[i] {
				g.loads[i/engine.Experts][i%engine.Experts] += float64(n - r.picked[i])
			}
		}
	}
	r.picked = picked
}

// readEngines keeps the description of the engines in step with the configuration.
func (gs *groups) readEngines() {
	state := gs.directory.State()
	if !state.Configured || state.Version == gs.version || gs.directory.config.Decode == nil {
		return
	}
	body, err := Unpack(state.Body)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be unpacked; expert maps stay as they are")
		return
	}
	configuration, err := gs.directory.config.Decode(body)
	if err != nil {
		log.WithError(err).Error("the agreed configuration cannot be read; expert maps stay as they are")
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

// tick takes the next step of all groups.
func (gs *groups) tick(now time.Time) {
	if !gs.ticked.IsZero() && now.Sub(gs.ticked) > stalledTick {
		log.WithField("ms", now.Sub(gs.ticked).Milliseconds()).Warn("this process stood still; changes of expert maps begin anew")
		clear(gs.byName)
	}
	gs.ticked = now
	term, leads := gs.directory.member.Leads()
	if term != gs.term {
		gs.term, gs.counter = term, 0
	}
	gs.readEngines()
	for name, g := range gs.byName {
		if now.Sub(g.heard) > forgetGroup {
			delete(gs.byName, name)
			continue
		}
		gs.step(now, g, leads)
	}
}

// newNumber returns a number that no other change uses, above all that the group has seen.
func (gs *groups) newNumber(g *group) uint64 {
	gs.counter++
	number := max(gs.term<<termShift+gs.counter, g.change.HighestNumber()+1)
	gs.counter = max(gs.counter, number-gs.term<<termShift)
	return number
}

// step goes on with a change of map. An instance that does not lead only finishes what a failed leader has left.
func (gs *groups) step(now time.Time, g *group, leads bool) {
	if leads && g.change.NeedsCurrentMap() {
		if current := g.current(); current != nil {
			g.change.ProvideCurrentMap(gs.newNumber(g), current)
		}
	}
	if !leads {
		g.change.AbortPreparing(now)
	}
	before := g.change.Phase()
	for _, o := range g.change.Tick(now) {
		gs.send(g, o)
	}
	if after := g.change.Phase(); after != before {
		log.WithFields(log.Fields{"group": g.name, "version": g.change.Version(), "before": before, "now": after}).Info("change of expert map goes on")
	}
	if leads {
		gs.plan(now, g)
	}
}

// current returns the lists of the map that all ranks use, nil if they are not known.
func (g *group) current() experts.RankLists {
	var lists experts.RankLists
	for rank := range g.size {
		r := g.ranks[rank]
		if r == nil || r.held == nil || r.epoch != g.change.Epoch() || r.heldAt != g.ranks[0].heldAt {
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

// send gives an order to a rank through the process beside it, or to the engine itself if that process does not answer.
func (gs *groups) send(g *group, o experts.RankOrder) {
	r := g.ranks[o.Rank]
	if r == nil {
		return
	}
	if r.unheard++; r.unheard <= directAfter {
		if r.session != nil && r.session.Send(&protocol.RankOrder{Group: g.name, Order: o}) == nil {
			return
		}
	}
	log.WithFields(log.Fields{"group": g.name, "rank": o.Rank, "operation": string(o.Operation)}).
		Info("the process beside the rank does not answer; the engine is given the order from here")
	give, key := gs.directory.config.Order, g.service+"/"+g.name
	if give == nil {
		return
	}
	go func() {
		result, err := give(context.Background(), r.address, o)
		if err != nil {
			log.WithError(err).WithField("rank", o.Rank).Info("order not carried out")
		}
		gs.directory.post(func(now time.Time) { gs.answered(now, key, o, result) })
	}()
}

// answered takes in what became of an order.
func (gs *groups) answered(now time.Time, key string, o experts.RankOrder, result experts.OrderResult) {
	g := gs.byName[key]
	if g == nil {
		return
	}
	if r := g.ranks[o.Rank]; r != nil && result != experts.OrderUnanswered {
		r.unheard = 0
	}
	g.change.HandleResult(now, o, result)
	_, leads := gs.directory.member.Leads()
	gs.step(now, g, leads) // the next order need not wait for a tick
}

// done takes in the answer of the process beside a rank.
func (gs *groups) done(now time.Time, m *protocol.RankDone) {
	for key, g := range gs.byName {
		if g.name == m.Group {
			gs.answered(now, key, m.Order, m.Result)
		}
	}
}
