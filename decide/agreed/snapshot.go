package agreed

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Snapshot is the whole state as plain values. Equal states export equal snapshots.
type Snapshot struct {
	Index     uint64
	View      View
	Notes     []NoteRecord
	LastToken uint64
	Clock     uint32 // Unix seconds of the newest claim

	Servers       []string    // names of key records
	Organisations []string    // names of key records
	Keys          []KeyRecord // in claim order
	OldKeys       []KeyRecord // past their retention without a proved outcome, by identifier

	UsesSince int64
	UsesSwept int64
	Uses      []UseRecord // sorted
	UseNames  UseNames
}

// UseRecord is one recorded use by positions in UseNames.
type UseRecord struct {
	Server       uint32
	Organisation uint16
	Target       uint16
	Last         uint32 // Unix seconds
}

// UseNames are the names of recorded uses, sorted.
type UseNames struct {
	Servers       []fleet.ServerID     `cbor:"1,keyasint,omitempty"`
	Centres       []fleet.DataCentre   `cbor:"2,keyasint,omitempty"` // by server
	Organisations []fleet.Organisation `cbor:"3,keyasint,omitempty"`
	Targets       []fleet.Target       `cbor:"4,keyasint,omitempty"`
}

// Export returns the whole state. The snapshot shares immutable lists with the state but no key records.
func (s *State) Export() *Snapshot {
	result := &Snapshot{
		Index: s.index, View: *s.View(), Notes: slices.Clone(s.notes), LastToken: s.lastToken, Clock: s.keys.clock,
		UsesSince: s.uses.since, UsesSwept: s.uses.swept,
	}
	k := &s.keys
	usedServer, usedOrganisation := make([]bool, len(k.servers.list)), make([]bool, len(k.organisations.list))
	k.each(func(r *KeyRecord) { usedServer[r.Server], usedOrganisation[r.Organisation] = true, true })
	servers, movedServer := k.servers.compacted(usedServer)
	organisations, movedOrganisation := k.organisations.compacted(usedOrganisation)
	result.Servers, result.Organisations = servers.list, organisations.list
	move := func(r KeyRecord) KeyRecord {
		r.Server, r.Organisation = movedServer[r.Server], movedOrganisation[r.Organisation]
		return r
	}
	result.Keys = make([]KeyRecord, 0, k.table.count)
	for record := range k.table.all {
		result.Keys = append(result.Keys, move(*record))
	}
	for _, record := range k.old {
		result.OldKeys = append(result.OldKeys, move(record))
	}
	slices.SortFunc(result.OldKeys, func(a, b KeyRecord) int { return slices.Compare(a.ID[:], b.ID[:]) })
	s.exportUses(result)
	return result
}

func (s *State) exportUses(result *Snapshot) {
	u := &s.uses
	n := &result.UseNames
	servers, organisations, targets := make([]bool, len(u.servers)), make([]bool, len(u.organisations)), make([]bool, len(u.targets))
	for key := range u.last {
		servers[key.server], organisations[key.organisation], targets[key.target] = true, true, true
	}
	var movedServer, movedOrganisation, movedTarget []int
	n.Servers, movedServer = sortUsed(u.servers, servers, cmp.Compare)
	n.Organisations, movedOrganisation = sortUsed(u.organisations, organisations, cmp.Compare)
	n.Targets, movedTarget = sortUsed(u.targets, targets, compareTargets)
	for _, server := range n.Servers {
		n.Centres = append(n.Centres, u.centres[u.serverAt[server]])
	}
	result.Uses = make([]UseRecord, 0, len(u.last))
	for key, last := range u.last {
		result.Uses = append(result.Uses, UseRecord{Server: uint32(movedServer[key.server]),
			Organisation: uint16(movedOrganisation[key.organisation]), Target: uint16(movedTarget[key.target]), Last: last})
	}
	slices.SortFunc(result.Uses, func(a, b UseRecord) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Target, b.Target))
	})
}

// sortUsed returns the used items sorted and the new position of each.
func sortUsed[T any](list []T, used []bool, order func(a, b T) int) (sorted []T, moved []int) {
	for i, item := range list {
		if used[i] {
			sorted = append(sorted, item)
		}
	}
	slices.SortFunc(sorted, order)
	moved = make([]int, len(list))
	for i, item := range list {
		moved[i], _ = slices.BinarySearchFunc(sorted, item, order)
	}
	return sorted, moved
}

func compareTargets(a, b fleet.Target) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
}

// Import returns the state of a snapshot. It refuses one whose records point outside their tables of names.
func Import(snapshot *Snapshot, limits Limits) (*State, error) {
	s := New(limits)
	s.index, s.revision, s.lastToken = snapshot.Index, snapshot.View.Revision, snapshot.LastToken
	if snapshot.View.Config != nil {
		s.config = snapshot.View.Config
	}
	s.centres, s.fencing, s.maps = snapshot.View.Centres, snapshot.View.Fencing, snapshot.View.Maps
	s.notes = slices.Clone(snapshot.Notes)
	k := &s.keys
	k.clock = snapshot.Clock
	k.servers, k.organisations = namesOf(snapshot.Servers), namesOf(snapshot.Organisations)
	for i, record := range slices.Concat(snapshot.Keys, snapshot.OldKeys) {
		if int(record.Server) >= len(k.servers.list) || int(record.Organisation) >= len(k.organisations.list) {
			return nil, fmt.Errorf("key record %d points outside the tables of names: fetch the snapshot again", i)
		}
		if k.get(record.ID) != nil {
			return nil, fmt.Errorf("key record %d appears twice: fetch the snapshot again", i)
		}
		if i < len(snapshot.Keys) {
			k.table.add(record)
		} else {
			k.old[record.ID] = record
		}
		k.owned(record.Organisation)
		k.perOwner[record.Organisation]++
	}
	return s, s.importUses(snapshot)
}

func (s *State) importUses(snapshot *Snapshot) error {
	n := &snapshot.UseNames
	s.uses.since, s.uses.swept = snapshot.UsesSince, snapshot.UsesSwept
	if len(n.Centres) != len(n.Servers) {
		return fmt.Errorf("%d servers of recorded uses have %d data centres: fetch the snapshot again", len(n.Servers), len(n.Centres))
	}
	for i, u := range snapshot.Uses {
		if int(u.Server) >= len(n.Servers) || int(u.Organisation) >= len(n.Organisations) || int(u.Target) >= len(n.Targets) {
			return fmt.Errorf("use %d points outside the tables of names: fetch the snapshot again", i)
		}
		t := n.Targets[u.Target]
		key, ok := s.uses.key(&release.Use{Server: n.Servers[u.Server], DataCentre: n.Centres[u.Server],
			Organisation: n.Organisations[u.Organisation], Kind: t.Kind, Name: t.Name, Adapter: t.Adapter})
		if !ok {
			return fmt.Errorf("use %d exceeds the tables of names: fetch the snapshot again", i)
		}
		s.uses.last[key] = u.Last
	}
	return nil
}
