package statemachine

import "slices"

// nameTable interns names, so that a record holds a 4-byte index instead of a string. Indexes are internal: they may
// differ between members and never appear in a result.
type nameTable struct {
	names        []string
	index        map[string]uint32
	compactAbove int // number of names above which unused ones are dropped
}

func (n *nameTable) intern(name string) uint32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	if n.index == nil {
		n.index = make(map[string]uint32)
	}
	i := uint32(len(n.names))
	n.names = append(n.names, name)
	n.index[name] = i
	return i
}

// needsCompaction reports whether the table has more than 4096 names and has doubled in size since the last compaction.
func (n *nameTable) needsCompaction() bool { return len(n.names) > max(n.compactAbove, 4096) }

// compacted returns a table with only the used names and the new index of each old index. The names are sorted, so that
// equal states give equal snapshots.
func (n *nameTable) compacted(used []bool) (next nameTable, newIndex []uint32) {
	var list []string
	for i, name := range n.names {
		if used[i] {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	for _, name := range list {
		next.intern(name)
	}
	next.compactAbove = 2 * len(list)
	newIndex = make([]uint32, len(n.names))
	for i, name := range n.names {
		newIndex[i] = next.index[name]
	}
	return next, newIndex
}

// newNameTable returns a table of names, which must be distinct.
func newNameTable(list []string) nameTable {
	var n nameTable
	for _, name := range list {
		n.intern(name)
	}
	return n
}

// compactNames drops names of servers and organisations that no key record refers to.
func (k *keyStore) compactNames() {
	if !k.servers.needsCompaction() && !k.organisations.needsCompaction() {
		return
	}
	usedServers, usedOrganisations := make([]bool, len(k.servers.names)), make([]bool, len(k.organisations.names))
	k.each(func(r *KeyRecord) { usedServers[r.Server], usedOrganisations[r.Organisation] = true, true })
	var newServer, newOrganisation []uint32
	k.servers, newServer = k.servers.compacted(usedServers)
	k.organisations, newOrganisation = k.organisations.compacted(usedOrganisations)
	k.perOrganisation = nil
	k.each(func(r *KeyRecord) {
		r.Server, r.Organisation = newServer[r.Server], newOrganisation[r.Organisation]
		k.organisationCount(r.Organisation)
		k.perOrganisation[r.Organisation]++
	})
}

// each calls f for every record and stores the changes that f makes. Unresolved records come last, in no order.
func (k *keyStore) each(f func(*KeyRecord)) {
	for record := range k.table.all {
		f(record)
	}
	for id, record := range k.unresolved {
		f(&record)
		k.unresolved[id] = record
	}
}
