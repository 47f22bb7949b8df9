package agreed

import "slices"

// names numbers names in the order of their first use, so that records hold 4 bytes instead of a string. Positions are
// internal: they may differ between voters and never show in a result.
type names struct {
	list     []string
	position map[string]uint32
	limit    int // length at which unused names are looked for
}

func (n *names) intern(name string) uint32 {
	if i, ok := n.position[name]; ok {
		return i
	}
	if n.position == nil {
		n.position = make(map[string]uint32)
	}
	i := uint32(len(n.list))
	n.list = append(n.list, name)
	n.position[name] = i
	return i
}

// crowded reports whether the table has doubled since unused names were last dropped.
func (n *names) crowded() bool { return len(n.list) > max(n.limit, 4096) }

// compacted returns a table with the used names only, sorted, so that equal states export equally, and the new position
// of each old one.
func (n *names) compacted(used []bool) (next names, moved []uint32) {
	var list []string
	for i, name := range n.list {
		if used[i] {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	for _, name := range list {
		next.intern(name)
	}
	next.limit = 2 * len(list)
	moved = make([]uint32, len(n.list))
	for i, name := range n.list {
		moved[i] = next.position[name]
	}
	return next, moved
}

// namesOf returns a table of a list without duplicates.
func namesOf(list []string) names {
	var n names
	for _, name := range list {
		n.intern(name)
	}
	return n
}

// compactNames drops names of servers and organisations that no key record uses any more.
func (k *keyStore) compactNames() {
	if !k.servers.crowded() && !k.organisations.crowded() {
		return
	}
	servers, organisations := make([]bool, len(k.servers.list)), make([]bool, len(k.organisations.list))
	k.each(func(r *KeyRecord) { servers[r.Server], organisations[r.Organisation] = true, true })
	var movedServer, movedOrganisation []uint32
	k.servers, movedServer = k.servers.compacted(servers)
	k.organisations, movedOrganisation = k.organisations.compacted(organisations)
	k.perOwner = nil
	k.each(func(r *KeyRecord) {
		r.Server, r.Organisation = movedServer[r.Server], movedOrganisation[r.Organisation]
		k.owned(r.Organisation)
		k.perOwner[r.Organisation]++
	})
}

// each calls f for every record and stores its changes; the records that were set aside come last, in no order.
func (k *keyStore) each(f func(*KeyRecord)) {
	for record := range k.table.all {
		f(record)
	}
	for id, record := range k.old {
		f(&record)
		k.old[id] = record
	}
}
