package routing

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// affinityTTL is how long a cache event is believed. Engines evict prefixes without telling in time.
	affinityTTL = 5 * time.Minute
	// guessTTL is how long a prefix is believed to be on a server only because a request was sent there.
	guessTTL = time.Minute
	// gapTTL is how long older entries of a server are believed after a gap in its cache events: an eviction may be
	// among the lost ones.
	gapTTL = 15 * time.Second

	ways        = 8       // slots in which a block can be, and so servers remembered for one block
	maxHandles  = 1 << 14 // servers that the table can tell apart
	minSlots    = 1 << 10
	maxSlots    = 1 << 22
	maxEvent    = 4096 // blocks of one cache event that are read
	defaultSlot = 1 << 18
)

// CacheEvent tells which prefix blocks an engine has stored or removed. Events arrive late and with gaps.
type CacheEvent struct {
	Server   fleet.ServerID
	Boot     fleet.Incarnation
	Sequence uint64 // grows by one with each event of one boot
	Cleared  bool   // the cache was emptied before Stored
	Stored   []uint64
	Removed  []uint64
}

// Affinity remembers which servers may hold which prefix blocks. Its memory is fixed; a new entry replaces the oldest
// of its set. All methods may be called by many goroutines: a lost or torn update is one more wrong guess, and a wrong
// guess costs one prefill.
type Affinity struct {
	epoch     time.Time
	slots     []atomic.Uint64 // sets of ways slots
	directory atomic.Pointer[directory]
	stats     affinityStats
}

type affinityStats struct {
	unknown, old, gaps, oversized, stored, removed atomic.Uint64
}

// AffinityStats counts the events that the table has seen.
type AffinityStats struct {
	Unknown   uint64 // events of unknown servers or other boots, dropped
	Old       uint64 // repeated or overtaken events, dropped
	Gaps      uint64 // gaps in the sequence of a server's events
	Oversized uint64 // events with more blocks than are read
	Stored    uint64 // blocks entered
	Removed   uint64 // blocks removed
}

// directory maps servers to the handles that slots hold. It is immutable but for the atomics of its records.
type directory struct {
	handles map[fleet.ServerID]uint16
	records []*record // by handle
}

type record struct {
	server    fleet.ServerID
	boot      fleet.Incarnation
	position  int           // in the snapshot of the last Sync, a hint
	sequence  atomic.Uint64 // of the last event
	notBefore atomic.Uint32 // entries older than this tick are void: restart, clear or reuse of the handle
	gapAt     atomic.Uint32 // tick of the last gap, 0 if none
}

// A slot is one word, so that it is read and written without locks: an occupied bit, a guess bit, 24 bits of the
// block's hash, 14 bits of handle and 24 bits of time in seconds.
const (
	tickBits   = 24
	handleBits = 14
	tickMask   = 1<<tickBits - 1
	handleMask = 1<<handleBits - 1
	tagShift   = tickBits + handleBits
	tagMask    = 1<<24 - 1
	guessBit   = 1 << 62
	usedBit    = 1 << 63
)

// NewAffinity returns a table with the number of slots, rounded up to a power of two; 0 means 262,144 (2 MiB).
func NewAffinity(slots int, now time.Time) *Affinity {
	if slots <= 0 {
		slots = defaultSlot
	}
	slots = min(max(slots, minSlots), maxSlots)
	slots = 1 << bits.Len(uint(slots-1))
	// Ticks start at 1, so that 0 means never.
	a := &Affinity{epoch: now.Add(-time.Second), slots: make([]atomic.Uint64, slots)}
	a.directory.Store(&directory{handles: map[fleet.ServerID]uint16{}})
	return a
}

// Stats returns the counts since the start.
func (a *Affinity) Stats() AffinityStats {
	return AffinityStats{
		Unknown: a.stats.unknown.Load(), Old: a.stats.old.Load(), Gaps: a.stats.gaps.Load(),
		Oversized: a.stats.oversized.Load(), Stored: a.stats.stored.Load(), Removed: a.stats.removed.Load(),
	}
}

// Sync takes over the servers of a new snapshot. The control goroutine calls it before it publishes the snapshot.
// Entries of servers that are gone or have a new boot become void.
func (a *Affinity) Sync(s *fleet.Snapshot, now time.Time) {
	old := a.directory.Load()
	next := &directory{
		handles: make(map[fleet.ServerID]uint16, len(s.Servers)),
		records: make([]*record, len(old.records), max(len(old.records), len(s.Servers))),
	}
	tick := a.tick(now)
	for i := range s.Servers {
		server := &s.Servers[i]
		handle, known := old.handles[server.Server]
		if !known {
			continue
		}
		r := &record{server: server.Server, boot: server.Incarnation, position: i}
		if was := old.records[handle]; was.boot == server.Incarnation {
			r.sequence.Store(was.sequence.Load())
			r.notBefore.Store(was.notBefore.Load())
			r.gapAt.Store(was.gapAt.Load())
		} else {
			r.notBefore.Store(tick)
		}
		next.records[handle], next.handles[server.Server] = r, handle
	}
	free := 0
	for i := range s.Servers {
		server := &s.Servers[i]
		if _, known := next.handles[server.Server]; known {
			continue
		}
		for free < len(next.records) && next.records[free] != nil {
			free++
		}
		if free == maxHandles {
			break
		}
		r := &record{server: server.Server, boot: server.Incarnation, position: i}
		r.notBefore.Store(tick)
		if free == len(next.records) {
			next.records = append(next.records, r)
		} else {
			next.records[free] = r
		}
		next.handles[server.Server] = uint16(free)
	}
	a.directory.Store(next)
}

// Apply takes over a cache event. Events of unknown servers, of other boots and repeated ones are dropped and counted.
func (a *Affinity) Apply(now time.Time, e *CacheEvent) {
	d := a.directory.Load()
	handle, ok := d.handles[e.Server]
	if !ok || d.records[handle].boot != e.Boot {
		a.stats.unknown.Add(1)
		return
	}
	r := d.records[handle]
	last := r.sequence.Load()
	switch {
	case last > 0 && e.Sequence <= last:
		a.stats.old.Add(1)
		return
	case last > 0 && e.Sequence != last+1:
		a.stats.gaps.Add(1)
		r.gapAt.Store(a.tick(now))
	}
	r.sequence.Store(e.Sequence)
	if e.Cleared {
		r.notBefore.Store(a.tick(now))
	}
	if len(e.Stored) > maxEvent || len(e.Removed) > maxEvent {
		a.stats.oversized.Add(1)
	}
	for _, block := range e.Removed[:min(len(e.Removed), maxEvent)] {
		a.remove(block, handle)
	}
	for _, block := range e.Stored[:min(len(e.Stored), maxEvent)] {
		a.store(block, handle, a.tick(now), 0)
	}
}

// Sent notes that a request with the prefix was sent to the server, which is likely to keep it.
func (a *Affinity) Sent(now time.Time, server fleet.ServerID, prefix []uint64) {
	handle, ok := a.directory.Load().handles[server]
	if !ok {
		return
	}
	for _, block := range prefix[:min(len(prefix), MaxPrefixBlocks)] {
		a.store(block, handle, a.tick(now), guessBit)
	}
}

func (a *Affinity) tick(now time.Time) uint32 {
	return uint32(max(now.Sub(a.epoch), 0)/time.Second) & tickMask
}

// set returns the slots in which the block can be and its tag.
func (a *Affinity) set(block uint64) ([]atomic.Uint64, uint64) {
	sets := uint64(len(a.slots) / ways)
	first := (block & (sets - 1)) * ways
	return a.slots[first : first+ways : first+ways], block >> 40
}

func (a *Affinity) store(block uint64, handle uint16, tick uint32, guess uint64) {
	set, tag := a.set(block)
	word := usedBit | guess | tag<<tagShift | uint64(handle)<<tickBits | uint64(tick)
	target, oldest := 0, int64(-1)
	for i := range set {
		w := set[i].Load()
		age := int64((tick - uint32(w&tickMask)) & tickMask)
		switch {
		case w&usedBit == 0:
			age = tickMask + 1 // an empty slot goes before the oldest entry
		case w>>tagShift&tagMask == tag && w>>tickBits&handleMask == uint64(handle):
			if guess != 0 && w&guessBit == 0 && age < int64(guessTTL/time.Second) {
				return // a cache event is believed for longer than a guess
			}
			age = tickMask + 2
		}
		if age > oldest {
			target, oldest = i, age
		}
	}
	set[target].Store(word)
	a.stats.stored.Add(1)
}

func (a *Affinity) remove(block uint64, handle uint16) {
	set, tag := a.set(block)
	for i := range set {
		w := set[i].Load()
		if w&usedBit != 0 && w>>tagShift&tagMask == tag && w>>tickBits&handleMask == uint64(handle) {
			if set[i].CompareAndSwap(w, 0) {
				a.stats.removed.Add(1)
			}
		}
	}
}

// believed reports whether an entry is still good at the tick.
func (r *record) believed(word uint64, tick uint32) bool {
	at := uint32(word & tickMask)
	age := (tick - at) & tickMask
	ttl := uint32(affinityTTL / time.Second)
	if word&guessBit != 0 {
		ttl = uint32(guessTTL / time.Second)
	}
	if age > ttl || at < r.notBefore.Load() {
		return false
	}
	gap := r.gapAt.Load()
	return gap == 0 || at >= gap || (tick-gap)&tickMask <= uint32(gapTTL/time.Second)
}

// holders appends to found the positions of servers that may hold the block.
func (a *Affinity) holders(d *directory, s *fleet.Snapshot, block uint64, tick uint32, found *[ways]int32) int {
	set, tag := a.set(block)
	n := 0
	for i := range set {
		w := set[i].Load()
		if w&usedBit == 0 || w>>tagShift&tagMask != tag {
			continue
		}
		handle := int(w >> tickBits & handleMask)
		if handle >= len(d.records) || d.records[handle] == nil {
			continue
		}
		r := d.records[handle]
		if !r.believed(w, tick) {
			continue
		}
		position := r.position
		if position >= len(s.Servers) || s.Servers[position].Server != r.server {
			position = find(s, r.server) // the snapshot is not the one of the last Sync
		}
		if position >= 0 {
			found[n] = int32(position)
			n++
		}
	}
	return n
}

// deepest finds the deepest block of the prefix that some server may hold, by binary search: a server that holds a block
// holds all blocks before it. It returns the number of blocks and the holders. Lost events can make the search miss a
// holder, which costs one prefill.
func (a *Affinity) deepest(s *fleet.Snapshot, prefix []uint64, now time.Time, found *[ways]int32) (blocks, holders int) {
	d, tick := a.directory.Load(), a.tick(now)
	var try [ways]int32
	low, high := 0, min(len(prefix), MaxPrefixBlocks)
	for low < high {
		middle := (low + high + 1) / 2
		if n := a.holders(d, s, prefix[middle-1], tick, &try); n > 0 {
			*found, holders, low = try, n, middle
		} else {
			high = middle - 1
		}
	}
	return low, holders
}
