package experts

import (
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Rank is the state machine of the map change protocol at one rank. Its state is in memory only: a process that
// restarts creates a new Rank with a higher incarnation, which must join before its first step.
type Rank struct {
	rank        int
	incarnation fleet.Incarnation
	joined      bool
	index       uint64   // of the newest agreed state received
	token       uint64   // highest fencing token received
	commits     []Commit // known commits, in order
	loaded      []ChangeID
	loading     ChangeID
	promised    *Commit  // the current promise: Step is not started before the decision on Change arrives
	lastDecided ChangeID // highest change whose decision has arrived
	nextStep    uint64   // one past the highest step that the engine has asked for, 0 if none
}

// NewRank returns the state machine for a rank process that has just started.
func NewRank(rank int, incarnation fleet.Incarnation) *Rank {
	return &Rank{rank: rank, incarnation: incarnation}
}

// Permission is the answer to a request to start a step.
type Permission uint8

// Permissions to start a step.
const (
	StepAllowed     Permission = iota
	WaitForJoin                // the agreed state does not list this process yet
	WaitForDecision            // the rank has promised not to start the step; send DecisionRequest
	WaitForWeights             // the weights of the map are not loaded
	StepTooOld                 // the step is older than all known maps
)

// StartStep returns the map for a step and whether the step may start. It must be called before each step, also when a
// step is repeated after a restart.
func (r *Rank) StartStep(step uint64) (ChangeID, Permission) {
	if !r.joined {
		return ChangeID{}, WaitForJoin
	}
	r.nextStep = max(r.nextStep, step+1)
	if r.promised != nil && step >= r.promised.Step {
		return r.promised.Change, WaitForDecision
	}
	change, ok := r.mapAt(step)
	if !ok {
		return ChangeID{}, StepTooOld
	}
	if !slices.Contains(r.loaded, change) {
		return change, WaitForWeights
	}
	return change, StepAllowed
}

// mapAt returns the map that applies at a step according to the known commits.
func (r *Rank) mapAt(step uint64) (ChangeID, bool) {
	for i := len(r.commits) - 1; i >= 0; i-- {
		if r.commits[i].Step <= step {
			return r.commits[i].Change, true
		}
	}
	return ChangeID{}, false
}

// UpdateState receives the agreed state of the group. It may arrive late, repeated or out of order.
func (r *Rank) UpdateState(state *GroupState) {
	if r.rank >= len(state.Incarnations) || state.Incarnations[r.rank] != r.incarnation || r.joined && state.Index <= r.index {
		return // for another process of this rank, or not newer than the last one
	}
	r.joined, r.index = true, state.Index
	r.token = max(r.token, state.Token)
	for _, c := range state.Commits {
		r.addCommit(c)
	}
	if r.promised != nil {
		if outcome, _ := state.Outcome(r.promised.Change); outcome != Undecided {
			r.markDecided(r.promised.Change)
		}
	}
}

// addCommit appends a commit. Commits arrive in increasing order, because a rank receives each before it can prepare
// the next.
func (r *Rank) addCommit(c Commit) {
	if n := len(r.commits); n > 0 && c.Change.Compare(r.commits[n-1].Change) <= 0 {
		return
	}
	r.commits = append(r.commits, c)
	if len(r.commits) > maxCommits {
		r.commits = slices.Delete(r.commits, 0, len(r.commits)-maxCommits)
	}
	r.markDecided(c.Change)
}

// markDecided records that the decision on a change has arrived.
func (r *Rank) markDecided(c ChangeID) {
	if c.Compare(r.lastDecided) > 0 {
		r.lastDecided = c
	}
	if r.promised != nil && r.promised.Change == c {
		r.promised = nil
	}
}

// WeightsLoaded records that the weights of a map are loaded, and returns the report for the coordinator.
func (r *Rank) WeightsLoaded(c ChangeID) Report {
	if !slices.Contains(r.loaded, c) {
		r.loaded = append(r.loaded, c)
	}
	if r.loading == c {
		r.loading = ChangeID{}
	}
	return r.newReport(c, AnswerLoaded)
}

// HandleMessage processes a message of a coordinator and returns the answer, if any. After a Load, RequiredMaps
// includes the map whose weights to load.
func (r *Rank) HandleMessage(m Message) (Report, bool) {
	switch m := m.(type) {
	case Load:
		if !r.acceptChange(m.Change) {
			return r.newReport(m.Change, AnswerRefused), true
		}
		if slices.Contains(r.loaded, m.Change) {
			return r.newReport(m.Change, AnswerLoaded), true
		}
		r.loading = m.Change
		return Report{}, false
	case Prepare:
		return r.handlePrepare(m), true
	case Decided:
		r.handleDecided(m)
		return r.newReport(m.Change, AnswerArmed), true
	}
	return Report{}, false
}

// acceptChange reports whether the rank may take part in a change, and if so records its token. It refuses an old
// fencing token, a change that is decided, and any change while a promise for another one is pending, because that one
// may still be committed. A process that has not asked for a step since its start has no record of the progress of the
// group and refuses all changes.
func (r *Rank) acceptChange(c ChangeID) bool {
	if !r.joined || r.nextStep == 0 || c.Token < r.token || c.Compare(r.lastDecided) <= 0 || r.promised != nil && r.promised.Change != c {
		return false
	}
	r.token = c.Token
	return true
}

// handlePrepare promises not to start a step before the decision, or refuses.
func (r *Rank) handlePrepare(m Prepare) Report {
	switch {
	case !r.acceptChange(m.Change), !slices.Contains(r.loaded, m.Change):
		return r.newReport(m.Change, AnswerRefused)
	case r.promised != nil && r.promised.Step != m.Step:
		return r.newReport(m.Change, AnswerRefused) // a change has one step only
	case r.promised == nil && (m.Step < r.nextStep || m.Step <= r.commits[len(r.commits)-1].Step):
		return r.newReport(m.Change, AnswerRefused) // too late: the step has started
	}
	r.promised = &Commit{Change: m.Change, Step: m.Step}
	return r.newReport(m.Change, AnswerPrepared)
}

// handleDecided processes a decision of the log.
func (r *Rank) handleDecided(m Decided) {
	if !r.joined {
		return // the agreed state will contain the decision
	}
	if m.Committed {
		r.addCommit(Commit{Change: m.Change, Step: m.Step})
		return
	}
	r.markDecided(m.Change)
}

// RequiredMaps returns the maps whose weights the rank needs: those of the coming steps and of the change in progress.
// The caller calls WeightsUnloaded before it unloads the weights of any other map.
func (r *Rank) RequiredMaps() []ChangeID {
	var required []ChangeID
	for i := len(r.commits) - 1; i >= 0; i-- {
		required = append(required, r.commits[i].Change)
		if r.commits[i].Step < r.nextStep {
			break
		}
	}
	if r.loading != (ChangeID{}) && r.loading.Compare(r.lastDecided) > 0 {
		required = append(required, r.loading)
	}
	if r.promised != nil {
		required = append(required, r.promised.Change)
	}
	return required
}

// WeightsUnloaded removes the record that the weights of a map are loaded.
func (r *Rank) WeightsUnloaded(c ChangeID) {
	r.loaded = slices.DeleteFunc(r.loaded, func(l ChangeID) bool { return l == c })
}

// DecisionRequest returns the request for the decision while a promise is pending. The caller sends it repeatedly until
// the decision arrives.
func (r *Rank) DecisionRequest() (Report, bool) {
	if r.promised == nil {
		return Report{}, false
	}
	return r.newReport(r.promised.Change, AnswerWaiting), true
}

// newReport returns a report with the progress of the rank.
func (r *Rank) newReport(c ChangeID, a Answer) Report {
	report := Report{Rank: r.rank, Incarnation: r.incarnation, Change: c, Answer: a, NextStep: r.nextStep}
	if r.promised != nil {
		report.Pending = r.promised.Change
	}
	return report
}
