package statemachine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// maxNoteRecords is the number of accepted notes whose records are kept: two days of notes at the target size.
const maxNoteRecords = 10000

// State is the agreed state. It is not safe for concurrent use; the views that it returns are immutable.
type State struct {
	limits      Limits
	index       uint64 // of the last applied command
	revision    uint64 // index of the last change of the view
	config      *release.Config
	notes       []NoteRecord // sorted by number
	dataCentres []DataCentreRecord
	fencing     []FencingRecord // sorted by scope
	lastToken   uint64
	maps        []GroupMaps // sorted by group
	keys        keyStore
	uses        useStore
}

// GroupMaps holds the newest map decisions of one group, oldest first.
type GroupMaps struct {
	Group     string        `cbor:"1,keyasint"`
	Decisions []MapDecision `cbor:"2,keyasint"`
}

// New returns the state before the first command. All members must use the same limits.
func New(limits Limits) *State {
	return &State{limits: limits.withDefaults(), config: &release.Config{}, keys: keyStore{unresolved: make(map[keyID]KeyRecord)}}
}

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// Apply applies the command at the log index. Indexes must increase; a command at an index that is not above the last
// one changes nothing and returns OutOfOrder.
func (s *State) Apply(index uint64, command Command) Result {
	if index <= s.index {
		return Result{Code: OutOfOrder, Detail: fmt.Sprintf("index %d follows %d: apply entries in order", index, s.index)}
	}
	s.index = index
	var result Result
	switch c := command.(type) {
	case *PublishNote:
		result = s.publishNote(index, c)
	case *EvacuateDataCentre:
		result = s.evacuateDataCentre(index, c)
	case *RestoreDataCentre:
		result = s.restoreDataCentre(index, c)
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

func (s *State) publishNote(index uint64, c *PublishNote) Result {
	n := &c.Note
	digest := n.Digest()
	if len(s.notes) > 0 && n.Number <= s.notes[len(s.notes)-1].Number {
		return s.resolveOlderNote(n.Number, digest)
	}
	findings := release.Validate(n)
	if !release.Refused(findings) {
		findings = append(findings, release.Check(n, s.config)...)
	}
	if !release.Refused(findings) {
		impact := release.Impact(n, s.releaseView(c))
		findings = append(findings, impact.Findings...)
	}
	if release.Refused(findings) {
		return Result{Code: Refused, Findings: findings, Detail: "the note is refused: see the findings"}
	}
	s.config = s.config.Apply(n)
	record := NoteRecord{Number: n.Number, Digest: digest, Author: n.Author, Index: index, At: c.At}
	s.notes = append(s.notes, record)
	if len(s.notes) > maxNoteRecords {
		s.notes = slices.Clone(s.notes[len(s.notes)-maxNoteRecords:])
	}
	if len(n.Servers.Forget) > 0 {
		s.uses.retain(func(u release.Use) bool { return !slices.Contains(n.Servers.Forget, u.Server) })
	}
	note := *n
	return Result{Code: OK, Index: index, Note: &record, Findings: findings, Change: &Change{Note: &note}}
}

// resolveOlderNote returns the result for a note whose number is not above the newest. The first note with a number wins.
func (s *State) resolveOlderNote(number uint64, digest release.Digest) Result {
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

// releaseView returns the input of release.Impact: notes, evacuated data centres, recorded uses and the servers that
// the proposing instance observed.
func (s *State) releaseView(c *PublishNote) *release.View {
	evacuated := make(map[fleet.DataCentre]bool)
	for _, r := range s.dataCentres {
		evacuated[r.Name] = r.Out
	}
	return &release.View{Now: time.Unix(c.At, 0), Config: s.config, Evacuated: evacuated, Uses: s.uses.all(),
		RecordedSince: time.Unix(s.uses.recordedSince, 0), Observed: c.Observed}
}

func compareStrings(a, b string) int { return strings.Compare(a, b) }
