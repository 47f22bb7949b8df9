package experts

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// ChangeID identifies a proposed map change, and the map itself. Token is the fencing token of the coordinator that
// proposed it, so no two coordinators make the same identifier. Later changes compare higher.
type ChangeID struct {
	Token    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Compare orders changes.
func (c ChangeID) Compare(other ChangeID) int {
	return cmp.Or(cmp.Compare(c.Token, other.Token), cmp.Compare(c.Sequence, other.Sequence))
}

// String returns the identifier for logs.
func (c ChangeID) String() string { return fmt.Sprintf("%d.%d", c.Token, c.Sequence) }

// Commit is a decided change: the map is in force from Step on.
type Commit struct {
	Change ChangeID `cbor:"1,keyasint"`
	Step   uint64   `cbor:"2,keyasint"`
}

// Decide is the log entry that ends a change. It commits only if the coordinator's token and the group's epoch are still
// those under which the ranks were prepared.
type Decide struct {
	Change ChangeID `cbor:"1,keyasint"`
	Commit bool     `cbor:"2,keyasint"`
	Step   uint64   `cbor:"3,keyasint"`
	Epoch  uint64   `cbor:"4,keyasint"`
}

// Outcome is what the log says about a change.
type Outcome uint8

// Outcomes of a change.
const (
	Undecided Outcome = iota
	Committed
	Aborted
)

// Ledger is the agreed state of one group: a deterministic state machine that every member of the agreement applies in
// log order. Index is the index of the last entry applied.
type Ledger struct {
	Index   uint64              `cbor:"1,keyasint"`
	Token   uint64              `cbor:"2,keyasint"` // of the present coordinator
	Holder  string              `cbor:"3,keyasint"`
	Decided uint64              `cbor:"4,keyasint"` // highest sequence decided under Token
	Epoch   uint64              `cbor:"5,keyasint"` // grows with each rank that joins
	Boots   []fleet.Incarnation `cbor:"6,keyasint"` // of each rank's process that joined last; 0 for none
	Commits []Commit            `cbor:"7,keyasint"` // the last ones, in order
}

// keptCommits is the number of commits that a rank which restarts can need: a change is committed only after every rank
// has learnt of the one before, so two are enough; the others serve the account.
const keptCommits = 8

// NewLedger returns the state of a group that runs the map initial from its first step on.
func NewLedger(ranks int, initial ChangeID) Ledger {
	return Ledger{Boots: make([]fleet.Incarnation, ranks), Commits: []Commit{{Change: initial}}}
}

// Clone returns a deep copy.
func (l *Ledger) Clone() Ledger {
	out := *l
	out.Boots, out.Commits = slices.Clone(l.Boots), slices.Clone(l.Commits)
	return out
}

// Acquire makes holder the coordinator and returns its fencing token. Undecided changes of earlier tokens are aborted.
func (l *Ledger) Acquire(index uint64, holder string) uint64 {
	l.Index = index
	l.Token++
	l.Holder, l.Decided = holder, 0
	return l.Token
}

// Join makes boot the process of a rank. It aborts undecided changes, because the earlier process may have promised to
// wait for one and the new process knows nothing of it. A process must join before its first step. An older boot than
// the present one is refused.
func (l *Ledger) Join(index uint64, rank int, boot fleet.Incarnation) bool {
	l.Index = index
	if rank < 0 || rank >= len(l.Boots) || boot <= l.Boots[rank] {
		return false
	}
	l.Boots[rank] = boot
	l.Epoch++
	return true
}

// Apply decides a change. The first decision of a change is final.
func (l *Ledger) Apply(index uint64, d Decide) Outcome {
	l.Index = index
	if d.Change.Token != l.Token || d.Change.Sequence <= l.Decided {
		outcome, _ := l.Outcome(d.Change)
		return outcome
	}
	l.Decided = d.Change.Sequence
	if !d.Commit || d.Epoch != l.Epoch || d.Step <= l.last().Step || slices.Contains(l.Boots, 0) {
		return Aborted
	}
	l.Commits = append(l.Commits, Commit{Change: d.Change, Step: d.Step})
	if len(l.Commits) > keptCommits {
		l.Commits = slices.Delete(l.Commits, 0, len(l.Commits)-keptCommits)
	}
	return Committed
}

// Outcome returns what was decided about a change, and its step if it was committed.
func (l *Ledger) Outcome(c ChangeID) (Outcome, uint64) {
	for _, commit := range l.Commits {
		if commit.Change == c {
			return Committed, commit.Step
		}
	}
	if c.Token < l.Token || c.Token == l.Token && c.Sequence <= l.Decided {
		return Aborted, 0
	}
	return Undecided, 0
}

// last returns the newest commit.
func (l *Ledger) last() Commit {
	if len(l.Commits) == 0 {
		return Commit{}
	}
	return l.Commits[len(l.Commits)-1]
}
