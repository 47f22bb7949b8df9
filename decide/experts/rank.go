package experts

import (
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Rank is the part of the map change protocol that runs beside one rank. It is a state machine in memory: a process that
// restarts makes a new one with a higher boot number, which must join before its first step.
type Rank struct {
	rank    int
	boot    fleet.Incarnation
	joined  bool
	index   uint64   // of the newest agreed state seen
	token   uint64   // highest fencing token seen
	commits []Commit // known, in order
	loaded  []ChangeID
	loading ChangeID
	promise *Commit  // the promise in force: Step is not started before the decision on Change is known
	settled ChangeID // highest change whose decision is known
	asked   uint64   // highest step that the engine asked for plus one, 0 if none
}

// NewRank returns the state machine of a process of a rank that has just started.
func NewRank(rank int, boot fleet.Incarnation) *Rank { return &Rank{rank: rank, boot: boot} }

// Permission tells whether a rank may start a step.
type Permission uint8

// Permissions to start a step.
const (
	StepAllowed      Permission = iota
	WaitForJoin                 // the agreed state does not name this process yet
	WaitForDecision             // the rank has promised not to start the step; ask with Ask
	WaitForWeights              // the weights of the map are not loaded
	StepOutOfHistory            // the step is older than all known maps
)

// Start asks for the map of a step. It must be called before each step, also when a step is repeated after a restart.
func (r *Rank) Start(step uint64) (ChangeID, Permission) {
	if !r.joined {
		return ChangeID{}, WaitForJoin
	}
	r.asked = max(r.asked, step+1)
	if r.promise != nil && step >= r.promise.Step {
		return r.promise.Change, WaitForDecision
	}
	change, ok := r.mapAt(step)
	if !ok {
		return ChangeID{}, StepOutOfHistory
	}
	if !slices.Contains(r.loaded, change) {
		return change, WaitForWeights
	}
	return change, StepAllowed
}

// mapAt returns the map in force at a step, as far as known.
func (r *Rank) mapAt(step uint64) (ChangeID, bool) {
	for i := len(r.commits) - 1; i >= 0; i-- {
		if r.commits[i].Step <= step {
			return r.commits[i].Change, true
		}
	}
	return ChangeID{}, false
}

// Agreed takes the agreed state of the group. It may arrive late, repeated or out of order.
func (r *Rank) Agreed(l *Ledger) {
	if r.rank >= len(l.Boots) || l.Boots[r.rank] != r.boot || r.joined && l.Index <= r.index {
		return // for another process of this rank, or older than what is known
	}
	r.joined, r.index = true, l.Index
	r.token = max(r.token, l.Token)
	for _, c := range l.Commits {
		r.commit(c)
	}
	if r.promise != nil {
		if outcome, _ := l.Outcome(r.promise.Change); outcome != Undecided {
			r.settle(r.promise.Change)
		}
	}
}

// commit adds a commit. Commits are known in increasing order, because a rank learns of each before it can prepare the
// next.
func (r *Rank) commit(c Commit) {
	if n := len(r.commits); n > 0 && c.Change.Compare(r.commits[n-1].Change) <= 0 {
		return
	}
	r.commits = append(r.commits, c)
	if len(r.commits) > keptCommits {
		r.commits = slices.Delete(r.commits, 0, len(r.commits)-keptCommits)
	}
	r.settle(c.Change)
}

// settle records that the decision on a change is known.
func (r *Rank) settle(c ChangeID) {
	if c.Compare(r.settled) > 0 {
		r.settled = c
	}
	if r.promise != nil && r.promise.Change == c {
		r.promise = nil
	}
}

// Loaded records that the weights of a map are loaded. It returns the report to the coordinator.
func (r *Rank) Loaded(c ChangeID) Report {
	if !slices.Contains(r.loaded, c) {
		r.loaded = append(r.loaded, c)
	}
	if r.loading == c {
		r.loading = ChangeID{}
	}
	return r.report(c, AnswerLoaded)
}

// Handle takes a message of a coordinator. It returns the answer, if any. After a Load, Wanted names the weights to load.
func (r *Rank) Handle(m Message) (Report, bool) {
	switch m := m.(type) {
	case Load:
		if !r.accepts(m.Change) {
			return r.report(m.Change, AnswerRefused), true
		}
		if slices.Contains(r.loaded, m.Change) {
			return r.report(m.Change, AnswerLoaded), true
		}
		r.loading = m.Change
		return Report{}, false
	case Prepare:
		return r.prepare(m), true
	case Decided:
		r.decided(m)
		return r.report(m.Change, AnswerArmed), true
	}
	return Report{}, false
}

// accepts reports whether the rank may take part in a change. An old fencing token and a change whose decision is known
// are refused, and so is everything while a promise for another change is in force: that change may be committed yet. A
// process that has not asked for a step since its start does not know how far the group is, and takes part in nothing.
func (r *Rank) accepts(c ChangeID) bool {
	if !r.joined || r.asked == 0 || c.Token < r.token || c.Compare(r.settled) <= 0 || r.promise != nil && r.promise.Change != c {
		return false
	}
	r.token = c.Token
	return true
}

// prepare promises not to start a step before the decision.
func (r *Rank) prepare(m Prepare) Report {
	switch {
	case !r.accepts(m.Change), !slices.Contains(r.loaded, m.Change):
		return r.report(m.Change, AnswerRefused)
	case r.promise != nil && r.promise.Step != m.Step:
		return r.report(m.Change, AnswerRefused) // a change has one step only
	case r.promise == nil && (m.Step < r.asked || m.Step <= r.commits[len(r.commits)-1].Step):
		return r.report(m.Change, AnswerRefused) // too late: the step has started
	}
	r.promise = &Commit{Change: m.Change, Step: m.Step}
	return r.report(m.Change, AnswerPrepared)
}

// decided takes a decision of the log.
func (r *Rank) decided(m Decided) {
	if !r.joined {
		return // the agreed state will tell
	}
	if m.Committed {
		r.commit(Commit{Change: m.Change, Step: m.Step})
		return
	}
	r.settle(m.Change)
}

// Wanted returns the maps whose weights the rank must have: that of the steps to come and the one being prepared. The shell
// calls Forget before it unloads the weights of another map.
func (r *Rank) Wanted() []ChangeID {
	var wanted []ChangeID
	for i := len(r.commits) - 1; i >= 0; i-- {
		wanted = append(wanted, r.commits[i].Change)
		if r.commits[i].Step < r.asked {
			break
		}
	}
	if r.loading != (ChangeID{}) && r.loading.Compare(r.settled) > 0 {
		wanted = append(wanted, r.loading)
	}
	if r.promise != nil {
		wanted = append(wanted, r.promise.Change)
	}
	return wanted
}

// Forget drops the record of maps whose weights were unloaded.
func (r *Rank) Forget(c ChangeID) {
	r.loaded = slices.DeleteFunc(r.loaded, func(l ChangeID) bool { return l == c })
}

// Ask returns the question for the decision while a promise is in force. It is sent again until an answer comes.
func (r *Rank) Ask() (Report, bool) {
	if r.promise == nil {
		return Report{}, false
	}
	return r.report(r.promise.Change, AnswerWaiting), true
}

// report returns a report with the rank's progress.
func (r *Rank) report(c ChangeID, a Answer) Report {
	report := Report{Rank: r.rank, Boot: r.boot, Change: c, Answer: a, Step: r.asked}
	if r.promise != nil {
		report.Pending = r.promise.Change
	}
	return report
}
