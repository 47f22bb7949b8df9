package statemachine

import (
	"cmp"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// DataCentreRecord holds whether a data centre is evacuated. Records are also exchanged by gossip outside the log, so an
// evacuation applies wherever its record has arrived, even on the minority side of a partition. The operators' API
// encodes records to JSON under the field names.
type DataCentreRecord struct {
	Name   fleet.DataCentre `cbor:"1,keyasint"`
	Term   uint64           `cbor:"2,keyasint"`
	Out    bool             `cbor:"3,keyasint,omitempty"` // the data centre is evacuated
	Author string           `cbor:"4,keyasint,omitempty"`
	Reason string           `cbor:"5,keyasint,omitempty"`
	At     int64            `cbor:"6,keyasint,omitempty"` // Unix seconds
}

// Compare orders records of one data centre: the higher term wins, and at equal terms an evacuation wins. The other
// fields only make the order total, so that merging in any order gives the same record.
func (r DataCentreRecord) Compare(other DataCentreRecord) int {
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

// MergeDataCentres returns the union of two sets of records, sorted by name, with the highest record of each data
// centre. It is commutative, associative and idempotent.
func MergeDataCentres(local, remote []DataCentreRecord) []DataCentreRecord {
	all := slices.Concat(local, remote)
	slices.SortFunc(all, func(a, b DataCentreRecord) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), b.Compare(a))
	})
	return slices.CompactFunc(all, func(a, b DataCentreRecord) bool { return a.Name == b.Name })
}

// FindDataCentre returns the record of a data centre in a merged set. A data centre without a record is not evacuated
// and has term 0.
func FindDataCentre(records []DataCentreRecord, name fleet.DataCentre) DataCentreRecord {
	for _, r := range records {
		if r.Name == name {
			return r
		}
	}
	return DataCentreRecord{Name: name}
}

// NextEvacuation returns the record that evacuates a data centre, with a term one above the highest in observed. The
// term is raised even if the data centre is already evacuated, so that a restore issued elsewhere against the earlier
// evacuation does not override this one. A resent command, with the same author, reason and time, returns the record
// that it created the first time.
func NextEvacuation(observed []DataCentreRecord, name fleet.DataCentre, author, reason string, at int64) DataCentreRecord {
	current := FindDataCentre(observed, name)
	if current.Out && current.Author == author && current.Reason == reason && current.At == at {
		return current
	}
	return DataCentreRecord{Name: name, Term: current.Term + 1, Out: true, Author: author, Reason: reason, At: at}
}

func (s *State) evacuateDataCentre(index uint64, c *EvacuateDataCentre) Result {
	if result, ok := s.checkDataCentre(c.Record.Name, c.Record.Author, c.Record.Reason); !ok {
		return result
	}
	if !c.Record.Out || c.Record.Term == 0 {
		return Result{Code: Refused, Detail: "not an out record: give it a term"}
	}
	before := FindDataCentre(s.dataCentres, c.Record.Name)
	s.dataCentres = MergeDataCentres(s.dataCentres, []DataCentreRecord{c.Record})
	after := FindDataCentre(s.dataCentres, c.Record.Name)
	switch {
	case after == before && before == c.Record:
		return Result{Code: Repeated, Index: index, DataCentre: &after}
	case after == before:
		return Result{Code: Stale, DataCentre: &after, Detail: "a record with a higher term is in force: send the out again"}
	}
	return Result{Code: OK, Index: index, DataCentre: &after, Change: &Change{DataCentre: &after}}
}

func (s *State) checkDataCentre(name fleet.DataCentre, author, reason string) (Result, bool) {
	switch {
	case name == "" || len(name) > maxNameBytes || len(author) > maxNameBytes || len(reason) > release.MaxTextBytes:
		return Result{Code: Refused, Detail: "the name is missing or a text is too long: name a data centre, shorten the reason"}, false
	case len(s.dataCentres) >= maxDataCentres && FindDataCentre(s.dataCentres, name).Term == 0:
		return Result{Code: Full, Detail: "too many data centres are recorded: check the name of the data centre"}, false
	}
	return Result{}, true
}

func (s *State) restoreDataCentre(index uint64, c *RestoreDataCentre) Result {
	if result, ok := s.checkDataCentre(c.Name, c.Author, c.Reason); !ok {
		return result
	}
	current := FindDataCentre(s.dataCentres, c.Name)
	switch {
	case !current.Out && current.Term > 0 && current.Term == c.ObservedTerm+1 && current.Author == c.Author:
		return Result{Code: Repeated, Index: index, DataCentre: &current}
	case c.ObservedTerm < current.Term:
		return Result{Code: Conflict, DataCentre: &current,
			Detail: "the data centre's record has changed since: look at it and send the command again"}
	case !current.Out && c.ObservedTerm == current.Term:
		return Result{Code: Repeated, Index: index, DataCentre: &current}
	}
	record := DataCentreRecord{Name: c.Name, Term: max(current.Term, c.ObservedTerm) + 1, Author: c.Author, Reason: c.Reason, At: c.At}
	s.dataCentres = MergeDataCentres(s.dataCentres, []DataCentreRecord{record})
	return Result{Code: OK, Index: index, DataCentre: &record, Change: &Change{DataCentre: &record}}
}
