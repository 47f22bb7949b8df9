package statemachine

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Snapshot is the whole state as plain values. Equal states export equal snapshots. Snapshots are encoded under the
// field names.
type Snapshot struct {
	Index     uint64
	View      View
	Notes     []NoteRecord
	LastToken uint64
	Clock     uint32 // Unix seconds of the newest claim

	Servers       []string    // name table of key records
	Organisations []string    // name table of key records
	Keys          []KeyRecord // in claim order
	OldKeys       []KeyRecord // past KeyRetention without a proven outcome, sorted by identifier

	UsesSince int64       // Unix seconds of the first recorded use
	UsesSwept int64       // Unix seconds of the last removal of expired uses
	Uses      []UseRecord // sorted
	UseNames  UseNames
}

// UseRecord is one recorded use; its names are indexes into UseNames.
type UseRecord struct {
	Server       uint32
	Organisation uint16
	Target       uint16
	Last         uint32 // Unix seconds
}

// UseNames holds the name tables of recorded uses, sorted.
type UseNames struct {
	Servers       []fleet.ServerID     `cbor:"1,keyasint,omitempty"`
	DataCentres   []fleet.DataCentre   `cbor:"2,keyasint,omitempty"` // of each server
	Organisations []fleet.Organisation `cbor:"3,keyasint,omitempty"`
	Targets       []fleet.Target       `cbor:"4,keyasint,omitempty"`
}

// Export returns a snapshot of the whole state. It shares immutable lists with the state, but no key records.
func (s *State) Export() *Snapshot {
	result := &Snapshot{
		Index: s.index, View: *s.View(), Notes: slices.Clone(s.notes), LastToken: s.lastToken, Clock: s.keys.clock,
		UsesSince: s.uses.recordedSince, UsesSwept: s.uses.lastSweep,
	}
	k := &s.keys
	usedServers, usedOrganisations := make([]bool, len(k.servers.names)), make([]bool, len(k.organisations.names))
	k.each(func(r *KeyRecord) { usedServers[r.Server], usedOrganisations[r.Organisation] = true, true })
	servers, newServer := k.servers.compacted(usedServers)
	organisations, newOrganisation := k.organisations.compacted(usedOrganisations)
	result.Servers, result.Organisations = servers.names, organisations.names
	reindex := func(r KeyRecord) KeyRecord {
		r.Server, r.Organisation = newServer[r.Server], newOrganisation[r.Organisation]
		return r
	}
	result.Keys = make([]KeyRecord, 0, k.table.count)
	for record := range k.table.all {
		result.Keys = append(result.Keys, reindex(*record))
	}
	for _, record := range k.unresolved {
		result.OldKeys = append(result.OldKeys, reindex(record))
	}
	slices.SortFunc(result.OldKeys, func(a, b KeyRecord) int { return slices.Compare(a.ID[:], b.ID[:]) })
	s.exportUses(result)
	return result
}

func (s *State) exportUses(result *Snapshot) {
	u := &s.uses
	n := &result.UseNames
	servers, organisations, targets := make([]bool, len(u.servers)), make([]bool, len(u.organisations)), make([]bool, len(u.targets))
	for key := range u.lastUsed {
		servers[key.server], organisations[key.organisation], targets[key.target] = true, true, true
	}
	var newServer, newOrganisation, newTarget []int
	n.Servers, newServer = sortUsed(u.servers, servers, cmp.Compare)
	n.Organisations, newOrganisation = sortUsed(u.organisations, organisations, cmp.Compare)
	n.Targets, newTarget = sortUsed(u.targets, targets, compareTargets)
	for _, server := range n.Servers {
		n.DataCentres = append(n.DataCentres, u.dataCentres[u.serverIndex[server]])
	}
	result.Uses = make([]UseRecord, 0, len(u.lastUsed))
	for key, last := range u.lastUsed {
		result.Uses = append(result.Uses, UseRecord{Server: uint32(newServer[key.server]),
			Organisation: uint16(newOrganisation[key.organisation]), Target: uint16(newTarget[key.target]), Last: last})
	}
	slices.SortFunc(result.Uses, func(a, b UseRecord) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Target, b.Target))
	})
}

// sortUsed returns the used items, sorted, and the new index of each old index. The new index of an unused item is
// meaningless.
func sortUsed[T any](list []T, used []bool, compare func(a, b T) int) (sorted []T, newIndex []int) {
	for i, item := range list {
		if used[i] {
			sorted = append(sorted, item)
		}
	}
	slices.SortFunc(sorted, compare)
	newIndex = make([]int, len(list))
	for i, item := range list {
		newIndex[i], _ = slices.BinarySearchFunc(sorted, item, compare)
	}
	return sorted, newIndex
}

func compareTargets(a, b fleet.Target) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
}

// Import returns the state of a snapshot. It fails if a record refers to a name outside the name tables, a key record
// appears twice, or the name tables are inconsistent or too large.
func Import(snapshot *Snapshot, limits Limits) (*State, error) {
	s := New(limits)
	s.index, s.revision, s.lastToken = snapshot.Index, snapshot.View.Revision, snapshot.LastToken
	if snapshot.View.Config != nil {
		s.config = snapshot.View.Config
	}
	s.dataCentres, s.fencing, s.maps = snapshot.View.DataCentres, snapshot.View.Fencing, snapshot.View.Maps
	s.notes = slices.Clone(snapshot.Notes)
	k := &s.keys
	k.clock = snapshot.Clock
	k.servers, k.organisations = newNameTable(snapshot.Servers), newNameTable(snapshot.Organisations)
	for i, record := range slices.Concat(snapshot.Keys, snapshot.OldKeys) {
		if int(record.Server) >= len(k.servers.names) || int(record.Organisation) >= len(k.organisations.names) {
			return nil, fmt.Errorf("key record %d points outside the tables of names: fetch the snapshot again", i)
		}
		if k.get(record.ID) != nil {
			return nil, fmt.Errorf("key record %d appears twice: fetch the snapshot again", i)
		}
		if i < len(snapshot.Keys) {
			k.table.add(record)
		} else {
			k.unresolved[record.ID] = record
		}
		k.organisationCount(record.Organisation)
		k.perOrganisation[record.Organisation]++
	}
	return s, s.importUses(snapshot)
}

func (s *State) importUses(snapshot *Snapshot) error {
	n := &snapshot.UseNames
	s.uses.recordedSince, s.uses.lastSweep = snapshot.UsesSince, snapshot.UsesSwept
	if len(n.DataCentres) != len(n.Servers) {
		return fmt.Errorf("%d servers of recorded uses have %d data centres: fetch the snapshot again", len(n.Servers), len(n.DataCentres))
	}
	for i, u := range snapshot.Uses {
		if int(u.Server) >= len(n.Servers) || int(u.Organisation) >= len(n.Organisations) || int(u.Target) >= len(n.Targets) {
			return fmt.Errorf("use %d points outside the tables of names: fetch the snapshot again", i)
		}
		t := n.Targets[u.Target]
		key, ok := s.uses.internKey(&release.Use{Server: n.Servers[u.Server], DataCentre: n.DataCentres[u.Server],
			Organisation: n.Organisations[u.Organisation], Kind: t.Kind, Name: t.Name, Adapter: t.Adapter})
		if !ok {
			return fmt.Errorf("use %d exceeds the tables of names: fetch the snapshot again", i)
		}
		s.uses.lastUsed[key] = u.Last
	}
	return nil
}
