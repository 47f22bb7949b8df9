package agreed

import (
	"cmp"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// CentreRecord says whether a data centre is taken out. Records are merged outside the log too, so an out is in force
// wherever it is known, even on a minority side.
type CentreRecord struct {
	Name   fleet.DataCentre `cbor:"1,keyasint"`
	Term   uint64           `cbor:"2,keyasint"`
	Out    bool             `cbor:"3,keyasint,omitempty"`
	Author string           `cbor:"4,keyasint,omitempty"`
	Reason string           `cbor:"5,keyasint,omitempty"`
	At     int64            `cbor:"6,keyasint,omitempty"` // Unix seconds
}

// Compare orders records of one data centre: the higher term wins, at equal terms out wins. The other fields only make
// the order total, so that merging gives the same record in any order.
func (r CentreRecord) Compare(other CentreRecord) int {
	return cmp.Or(
		cmp.Compare(r.Term, other.Term), compareBool(r.Out, other.Out), cmp.Compare(r.At, other.At),
		cmp.Compare(r.Author, other.Author), cmp.Compare(r.Reason, other.Reason))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Merge returns the merge of two sets of records, sorted by name. It is commutative, associative and idempotent.
func Merge(local, remote []CentreRecord) []CentreRecord {
	all := slices.Concat(local, remote)
	slices.SortFunc(all, func(a, b CentreRecord) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), b.Compare(a))
	})
	return slices.CompactFunc(all, func(a, b CentreRecord) bool { return a.Name == b.Name })
}

// Find returns the record of a data centre in a merged set. A data centre without a record is in, with term 0.
func Find(records []CentreRecord, name fleet.DataCentre) CentreRecord {
	for _, r := range records {
		if r.Name == name {
			return r
		}
	}
	return CentreRecord{Name: name}
}

// NextOut returns the record that takes a data centre out, with a term one above the highest seen. It does so even if
// the data centre is out already: an in elsewhere that has seen only the earlier out must not override this one. A
// resent command, with the same author, reason and time, returns the record that it made at first.
func NextOut(seen []CentreRecord, name fleet.DataCentre, author, reason string, at int64) CentreRecord {
	current := Find(seen, name)
	if current.Out && current.Author == author && current.Reason == reason && current.At == at {
		return current
	}
	return CentreRecord{Name: name, Term: current.Term + 1, Out: true, Author: author, Reason: reason, At: at}
}

func (s *State) takeOut(index uint64, c *TakeOut) Result {
	if result, ok := s.checkCentre(c.Record.Name, c.Record.Author, c.Record.Reason); !ok {
		return result
	}
	if !c.Record.Out || c.Record.Term == 0 {
		return Result{Code: Refused, Detail: "not an out record: give it a term"}
	}
	before := Find(s.centres, c.Record.Name)
	s.centres = Merge(s.centres, []CentreRecord{c.Record})
	after := Find(s.centres, c.Record.Name)
	switch {
	case after == before && before == c.Record:
		return Result{Code: Repeated, Index: index, Centre: &after}
	case after == before:
		return Result{Code: Stale, Centre: &after, Detail: "a record with a higher term is in force: send the out again"}
	}
	return Result{Code: OK, Index: index, Centre: &after, Change: &Change{Centre: &after}}
}

func (s *State) checkCentre(name fleet.DataCentre, author, reason string) (Result, bool) {
	switch {
	case name == "" || len(name) > maxNameBytes || len(author) > maxNameBytes || len(reason) > release.MaxTextBytes:
		return Result{Code: Refused, Detail: "the name is missing or a text is too long: name a data centre, shorten the reason"}, false
	case len(s.centres) >= maxCentres && Find(s.centres, name).Term == 0:
		return Result{Code: Full, Detail: "too many data centres are recorded: check the name of the data centre"}, false
	}
	return Result{}, true
}

func (s *State) bringIn(index uint64, c *BringIn) Result {
	if result, ok := s.checkCentre(c.Name, c.Author, c.Reason); !ok {
		return result
	}
	current := Find(s.centres, c.Name)
	switch {
	case !current.Out && current.Term > 0 && current.Term == c.SeenTerm+1 && current.Author == c.Author:
		return Result{Code: Repeated, Index: index, Centre: &current}
	case c.SeenTerm < current.Term:
		return Result{Code: Conflict, Centre: &current,
			Detail: "the data centre's record has changed since: look at it and send the command again"}
	case !current.Out && c.SeenTerm == current.Term:
		return Result{Code: Repeated, Index: index, Centre: &current}
	}
	record := CentreRecord{Name: c.Name, Term: max(current.Term, c.SeenTerm) + 1, Author: c.Author, Reason: c.Reason, At: c.At}
	s.centres = Merge(s.centres, []CentreRecord{record})
	return Result{Code: OK, Index: index, Centre: &record, Change: &Change{Centre: &record}}
}
