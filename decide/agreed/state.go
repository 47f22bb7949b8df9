package agreed

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// keptNotes is the number of accepted notes whose number, digest and author are remembered: two days at the target size.
const keptNotes = 10000

// State is the agreed state. It is owned by one goroutine; views that it returns are immutable.
type State struct {
	limits    Limits
	index     uint64 // of the last applied command
	revision  uint64 // index of the last change that daemons must learn
	config    *release.Config
	notes     []NoteRecord // by number
	centres   []CentreRecord
	fencing   []FencingRecord // by scope
	lastToken uint64
	maps      []GroupMaps // by group
	keys      keyStore
	uses      useStore
}

// GroupMaps holds the newest map decisions of one group, oldest first.
type GroupMaps struct {
	Group     string        `cbor:"1,keyasint"`
	Decisions []MapDecision `cbor:"2,keyasint"`
}

// New returns the state before the first command. All voters must use the same limits.
func New(limits Limits) *State {
	return &State{limits: limits.withDefaults(), config: &release.Config{}, keys: keyStore{old: make(map[keyID]KeyRecord)}}
}

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Apply applies the command at the log index. Indexes must grow; one that was applied before changes nothing.
func (s *State) Apply(index uint64, command Command) Result {
	if index <= s.index {
		return Result{Code: OutOfOrder, Detail: fmt.Sprintf("index %d follows %d: apply entries in order", index, s.index)}
	}
	s.index = index
	var result Result
	switch c := command.(type) {
	case *PublishNote:
		result = s.publish(index, c)
	case *TakeOut:
		result = s.takeOut(index, c)
	case *BringIn:
		result = s.bringIn(index, c)
	case *ClaimKey:
		result = s.claimKey(index, c)
	case *ReplaceClaim:
		result = s.replaceClaim(index, c)
	case *RecordOutcomes:
		result = s.recordOutcomes(index, c)
	case *GrantFencing:
		result = s.grantFencing(index, c)
	case *DecideMap:
		result = s.decideMap(index, c)
	case *ExpireKeys:
		result = s.expireKeys(index, c)
	case *RegisterUses:
		result = s.registerUses(index, c)
	default:
		return Result{Code: Refused, Detail: "the command is of an unknown kind: update this instance"}
	}
	if result.Change != nil {
		result.Change.Previous, result.Change.Index = s.revision, index
		s.revision = index
	}
	return result
}

func (s *State) publish(index uint64, c *PublishNote) Result {
	n := &c.Note
	digest := n.Digest()
	if len(s.notes) > 0 && n.Number <= s.notes[len(s.notes)-1].Number {
		return s.olderNote(n.Number, digest)
	}
	findings := release.Validate(n)
	if !release.Refused(findings) {
		findings = append(findings, release.Check(n, s.config)...)
	}
	if !release.Refused(findings) {
		impact := release.Impact(n, s.impactView(c))
		findings = append(findings, impact.Findings...)
	}
	if release.Refused(findings) {
		return Result{Code: Refused, Findings: findings, Detail: "the note is refused: see the findings"}
	}
	s.config = s.config.Apply(n)
	record := NoteRecord{Number: n.Number, Digest: digest, Author: n.Author, Index: index, At: c.At}
	s.notes = append(s.notes, record)
	if len(s.notes) > keptNotes {
		s.notes = slices.Clone(s.notes[len(s.notes)-keptNotes:])
	}
	if len(n.Servers.Forget) > 0 {
		s.uses.rebuild(func(u release.Use) bool { return !slices.Contains(n.Servers.Forget, u.Server) })
	}
	note := *n
	return Result{Code: OK, Index: index, Note: &record, Findings: findings, Change: &Change{Note: &note}}
}

// olderNote answers a note whose number is not above the newest: the first with a number wins.
func (s *State) olderNote(number uint64, digest release.Digest) Result {
	newest := s.notes[len(s.notes)-1]
	i, found := slices.BinarySearchFunc(s.notes, number, func(r NoteRecord, n uint64) int { return cmp.Compare(r.Number, n) })
	if !found {
		return Result{Code: Stale, Note: &newest, Detail: fmt.Sprintf(
			"number %d is below that of note %d by %s: use a number above it", number, newest.Number, newest.Author)}
	}
	winner := s.notes[i]
	if winner.Digest == digest {
		return Result{Code: Repeated, Index: winner.Index, Note: &winner}
	}
	return Result{Code: Conflict, Index: winner.Index, Note: &winner, Detail: fmt.Sprintf(
		"note %d by %s with digest %s came first: look at it and publish yours with a number above %d",
		number, winner.Author, winner.Digest, newest.Number)}
}

// impactView is what the group knows about servers: notes, recorded uses and what the proposing instance observed.
func (s *State) impactView(c *PublishNote) *release.View {
	out := make(map[fleet.DataCentre]bool)
	for _, r := range s.centres {
		out[r.Name] = r.Out
	}
	return &release.View{Now: time.Unix(c.At, 0), Config: s.config, Evacuated: out, Uses: s.uses.all(),
		RecordedSince: time.Unix(s.uses.since, 0), Observed: c.Observed}
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }
