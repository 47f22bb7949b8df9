package experts

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// ChangeID identifies a proposed map change and its map. Token is the fencing token of the coordinator that proposed
// it, so no two coordinators create the same identifier. Later changes compare higher.
type ChangeID struct {
	Token    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Compare orders changes by token, then by sequence.
func (c ChangeID) Compare(other ChangeID) int {
	return cmp.Or(cmp.Compare(c.Token, other.Token), cmp.Compare(c.Sequence, other.Sequence))
}

// String returns the identifier as token.sequence for logs.
func (c ChangeID) String() string { return fmt.Sprintf("%d.%d", c.Token, c.Sequence) }

// Commit is a committed change: its map applies from Step on.
type Commit struct {
	Change ChangeID `cbor:"1,keyasint"`
	Step   uint64   `cbor:"2,keyasint"`
}

// Decision is the log entry that ends a change. It commits only if the token of the coordinator and the epoch of the
// group are still those under which the ranks prepared.
type Decision struct {
	Change ChangeID `cbor:"1,keyasint"`
	Commit bool     `cbor:"2,keyasint"`
	Step   uint64   `cbor:"3,keyasint"`
	Epoch  uint64   `cbor:"4,keyasint"`
}

// Outcome is the state of a change according to the log.
type Outcome uint8

// Outcomes of a change.
const (
	Undecided Outcome = iota
	Committed
	Aborted
)

// GroupState is the agreed state of one group: a deterministic state machine that every member of the agreement group
// applies in log order. Index is the index of the last entry applied.
type GroupState struct {
	Index        uint64              `cbor:"1,keyasint"`
	Token        uint64              `cbor:"2,keyasint"` // of the current coordinator
	TokenHolder  string              `cbor:"3,keyasint"`
	LastDecided  uint64              `cbor:"4,keyasint"` // highest sequence decided under Token
	Epoch        uint64              `cbor:"5,keyasint"` // incremented by each rank that joins
	Incarnations []fleet.Incarnation `cbor:"6,keyasint"` // of the process of each rank that joined last; 0 for none
	Commits      []Commit            `cbor:"7,keyasint"` // the most recent ones, in order
}

// maxCommits is the number of commits kept. A rank that restarts needs at most two, because a change is committed only
// after every rank has received the previous one; the others are for the account.
const maxCommits = 8

// NewGroupState returns the state of a group that runs the map initial from its first step on.
func NewGroupState(ranks int, initial ChangeID) GroupState {
	return GroupState{Incarnations: make([]fleet.Incarnation, ranks), Commits: []Commit{{Change: initial}}}
}

// Clone returns a deep copy.
func (g *GroupState) Clone() GroupState {
	out := *g
	out.Incarnations, out.Commits = slices.Clone(g.Incarnations), slices.Clone(g.Commits)
	return out
}

// Acquire makes holder the coordinator and returns its fencing token. It aborts undecided changes of earlier tokens.
func (g *GroupState) Acquire(index uint64, holder string) uint64 {
	g.Index = index
	g.Token++
	g.TokenHolder, g.LastDecided = holder, 0
	return g.Token
}

// Join records the process of a rank by its incarnation; a process must join before its first step. It aborts undecided
// changes, because the previous process may have promised to wait for one and the new process has no record of it. It
// returns false for an incarnation that is not newer than the current one.
func (g *GroupState) Join(index uint64, rank int, incarnation fleet.Incarnation) bool {
	g.Index = index
	if rank < 0 || rank >= len(g.Incarnations) || incarnation <= g.Incarnations[rank] {
		return false
	}
	g.Incarnations[rank] = incarnation
	g.Epoch++
	return true
}

// Apply decides a change and returns the outcome. The first decision of a change is final.
func (g *GroupState) Apply(index uint64, d Decision) Outcome {
	g.Index = index
	if d.Change.Token != g.Token || d.Change.Sequence <= g.LastDecided {
		outcome, _ := g.Outcome(d.Change)
		return outcome
	}
	g.LastDecided = d.Change.Sequence
	if !d.Commit || d.Epoch != g.Epoch || d.Step <= g.lastCommit().Step || slices.Contains(g.Incarnations, 0) {
		return Aborted
	}
	g.Commits = append(g.Commits, Commit{Change: d.Change, Step: d.Step})
	if len(g.Commits) > maxCommits {
		g.Commits = slices.Delete(g.Commits, 0, len(g.Commits)-maxCommits)
	}
	return Committed
}

// Outcome returns the outcome of a change, and its step if it was committed.
func (g *GroupState) Outcome(c ChangeID) (Outcome, uint64) {
	for _, commit := range g.Commits {
		if commit.Change == c {
			return Committed, commit.Step
		}
	}
	if c.Token < g.Token || c.Token == g.Token && c.Sequence <= g.LastDecided {
		return Aborted, 0
	}
	return Undecided, 0
}

// lastCommit returns the newest commit.
func (g *GroupState) lastCommit() Commit {
	if len(g.Commits) == 0 {
		return Commit{}
	}
	return g.Commits[len(g.Commits)-1]
}
