package experts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// simulation runs ranks, coordinators and a log over a network that loses, repeats, delays and reorders messages.
type simulation struct {
	t               *testing.T
	seed            uint64
	random          *rand.Rand
	now             time.Time
	faultFree       bool // no message loss and no restarts
	maxStepGap      uint64
	lossPercent     int // of messages
	restartPercent  int // of events that may restart a process
	deliveryPercent int // of events that deliver a message; the fewer, the later messages arrive

	inFlight     []func()
	history      []GroupState // agreed state after each log entry
	ranks        []*Rank
	replaced     []*Rank // replaced processes that still answer messages but run no step
	incarnations []fleet.Incarnation
	nextStep     []uint64 // step that each rank runs next
	coordinators []*Coordinator
	names        []string
	mapAtStep    map[uint64]ChangeID // used by the first rank that ran the step
	blocked      int
	restarts     int
}

func newSimulation(t *testing.T, seed uint64, ranks int) *simulation {
	s := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 42)), now: start, mapAtStep: map[uint64]ChangeID{},
		ranks: make([]*Rank, ranks), replaced: make([]*Rank, ranks), incarnations: make([]fleet.Incarnation, ranks), nextStep: make([]uint64, ranks),
		coordinators: make([]*Coordinator, 2), names: make([]string, 2)}
	s.maxStepGap, s.lossPercent, s.restartPercent = s.random.Uint64N(3), s.random.IntN(25), s.random.IntN(5)
	s.deliveryPercent = 5 + s.random.IntN(55)
	s.history = []GroupState{NewGroupState(ranks, ChangeID{})}
	for r := range ranks {
		s.restartRank(r)
	}
	for c := range s.coordinators {
		s.restartCoordinator(c)
	}
	return s
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) send(deliver func()) {
	if !s.faultFree && s.chance(s.lossPercent) {
		return
	}
	const maxInFlight = 200
	if n := len(s.inFlight); n > maxInFlight {
		s.inFlight[s.random.IntN(n)] = s.inFlight[n-1]
		s.inFlight = s.inFlight[:n-1]
	}
	s.inFlight = append(s.inFlight, deliver)
	if s.chance(15) {
		s.inFlight = append(s.inFlight, deliver)
	}
}

// propose appends to the log if the proposal is delivered.
func (s *simulation) propose(apply func(*GroupState, uint64)) {
	s.send(func() {
		state := s.history[len(s.history)-1].Clone()
		apply(&state, uint64(len(s.history)))
		s.history = append(s.history, state)
	})
}

// observedState returns an agreed state: the newest one if fault-free, otherwise often an old one.
func (s *simulation) observedState() *GroupState {
	at := len(s.history) - 1
	if !s.faultFree {
		at -= s.random.IntN(min(at+1, 6))
	}
	return &s.history[at]
}

func (s *simulation) restartRank(r int) {
	s.incarnations[r]++
	s.restarts++
	s.replaced[r] = s.ranks[r]
	s.ranks[r] = NewRank(r, s.incarnations[r])
	if s.nextStep[r] > 0 && s.chance(50) {
		s.nextStep[r]-- // the step is repeated
	}
}

func (s *simulation) restartCoordinator(c int) {
	s.restarts++
	s.coordinators[c] = NewCoordinator(len(s.ranks), CoordinatorConfig{StepMargin: 1 + s.random.Uint64N(6)})
	s.names[c] = fmt.Sprint(c, "-", s.restarts)
}

func (s *simulation) execute(c int, o Output) {
	for _, e := range o.Send {
		s.send(func() {
			rank := s.ranks[e.Rank]
			if old := s.replaced[e.Rank]; old != nil && !s.faultFree && s.chance(20) {
				rank = old
			}
			if report, ok := rank.HandleMessage(e.Message); ok {
				s.sendReport(report)
				// The worst time for a restart: a promise was given and is lost.
				if report.Answer == AnswerPrepared && !s.faultFree && s.chance(4*s.restartPercent) {
					s.restartRank(e.Rank)
				}
			}
		})
	}
	for _, d := range o.Propose {
		s.propose(func(state *GroupState, index uint64) { state.Apply(index, d) })
	}
}

func (s *simulation) sendReport(r Report) {
	for c := range s.coordinators {
		s.send(func() { s.execute(c, s.coordinators[c].HandleReport(s.now, r)) })
	}
}

// runStep runs the next step of one rank, if permitted, and checks that all ranks use one map per step.
func (s *simulation) runStep(r int) {
	step := s.nextStep[r]
	for _, other := range s.nextStep {
		if step > other+s.maxStepGap {
			return // lock-step, with a larger gap between ranks than real groups allow
		}
	}
	used, permission := s.ranks[r].StartStep(step)
	if permission != StepAllowed {
		s.blocked++
		return
	}
	if first, ok := s.mapAtStep[step]; ok && first != used {
		s.t.Fatalf("seed %d: step %d runs with map %v on one rank and %v on rank %d", s.seed, step, first, used, r)
	}
	s.mapAtStep[step] = used
	s.nextStep[r]++
}

// randomEvent executes one random event.
func (s *simulation) randomEvent() {
	s.now = s.now.Add(time.Duration(s.random.IntN(60)) * time.Millisecond)
	if len(s.inFlight) > 0 && (s.chance(s.deliveryPercent) || s.faultFree && s.chance(50)) {
		at := s.random.IntN(len(s.inFlight))
		deliver := s.inFlight[at]
		s.inFlight[at] = s.inFlight[len(s.inFlight)-1]
		s.inFlight = s.inFlight[:len(s.inFlight)-1]
		deliver()
		return
	}
	r, c := s.random.IntN(len(s.ranks)), s.random.IntN(len(s.coordinators))
	rank, coordinator := s.ranks[r], s.coordinators[c]
	switch s.random.IntN(7) {
	case 0, 1:
		s.runStep(r)
	case 2:
		rank.UpdateState(s.observedState())
		if _, permission := rank.StartStep(s.nextStep[r]); permission == WaitForJoin {
			incarnation := s.incarnations[r]
			s.propose(func(state *GroupState, index uint64) { state.Join(index, r, incarnation) })
		}
	case 3:
		if old := s.replaced[r]; old != nil && !s.faultFree && s.chance(20) {
			rank = old
		}
		for _, change := range rank.RequiredMaps() {
			if s.chance(70) {
				s.sendReport(rank.WeightsLoaded(change))
			}
		}
		if report, ok := rank.DecisionRequest(); ok {
			s.sendReport(report)
		}
	case 4:
		s.execute(c, coordinator.Tick(s.now))
	case 5:
		state := s.observedState()
		if state.TokenHolder == s.names[c] {
			coordinator.SetToken(state.Token)
		}
		s.execute(c, coordinator.UpdateState(s.now, state))
		name := s.names[c]
		if state.TokenHolder != name && (c == 0 || !s.faultFree) && s.chance(10) {
			s.propose(func(state *GroupState, index uint64) { state.Acquire(index, name) })
		}
		if s.chance(60) {
			if _, out, err := coordinator.Begin(s.now); err == nil {
				s.execute(c, out)
			}
		}
	case 6:
		if !s.faultFree && s.chance(s.restartPercent) {
			s.restartRank(r)
		} else if !s.faultFree && s.chance(s.restartPercent) {
			s.restartCoordinator(c)
		}
	}
}

// Guards against a step in which two ranks use different expert maps, when messages are lost, late, repeated or out of
// order and ranks or coordinators restart, and against a group that stays blocked after the faults end.
func TestMapChangeProtocol(t *testing.T) {
	commits, blocked, restarts := 0, 0, 0
	seeds := uint64(1500)
	if testing.Short() {
		seeds = 100
	}
	for seed := range seeds {
		s := newSimulation(t, seed, 4)
		for range 4000 {
			s.randomEvent()
		}
		s.faultFree = true
		lastBefore := s.history[len(s.history)-1].lastCommit().Change
		// A change decided after the faults ended must apply on all ranks.
		changeApplied := func() bool {
			completed := slices.Min(s.nextStep)
			return completed > 0 && s.mapAtStep[completed-1].Compare(lastBefore) > 0
		}
		for event := 0; event < 20000 && !changeApplied(); event++ {
			s.randomEvent()
		}
		if !changeApplied() {
			t.Fatalf("seed %d: no change took effect after the faults ended: last change %v, steps %v", seed, lastBefore, s.nextStep)
		}
		distinct := map[ChangeID]bool{}
		for _, used := range s.mapAtStep {
			distinct[used] = true
		}
		commits, blocked, restarts = commits+len(distinct)-1, blocked+s.blocked, restarts+s.restarts
	}
	t.Logf("%d seeds: %d changes took effect, %d step starts blocked, %d restarts", seeds, commits, blocked, restarts)
	if commits < int(seeds) || blocked < int(seeds) || restarts < int(seeds) {
		t.Error("too few changes, blocked steps or restarts to exercise the protocol")
	}
}
