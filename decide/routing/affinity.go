package routing

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

const (
	// cacheEventTTL is how long an entry from a cache event is valid. Engines evict prefixes without reporting it in time.
	cacheEventTTL = 5 * time.Minute
	// inferredTTL is how long an entry is valid that was inferred from a request sent to the server.
	inferredTTL = time.Minute
	// sequenceGapTTL is how long older entries of a server remain valid after a gap in its cache events: an eviction may be
	// among the lost events.
	sequenceGapTTL = 15 * time.Second

	ways           = 8       // slots of a set, and so the most servers stored for one block
	maxHandles     = 1 << 14 // most servers in the table
	minSlots       = 1 << 10
	maxSlots       = 1 << 22
	maxEventBlocks = 4096 // most blocks of one cache event that are processed
	defaultSlots   = 1 << 18
)

// CacheEvent reports which prefix blocks an engine has stored or removed. Events arrive late and with gaps.
type CacheEvent struct {
	Server      fleet.ServerID
	Incarnation fleet.Incarnation
	Sequence    uint64 // increments by one with each event of an incarnation
	Cleared     bool   // the cache was emptied before Stored
	Stored      []uint64
	Removed     []uint64
}

// Affinity is a set-associative table of the servers that may hold each prefix block. Its size is fixed; a new entry
// replaces the oldest of its set. All methods are safe for concurrent use: a lost or torn update makes an entry wrong,
// and a wrong entry costs one prefill.
type Affinity struct {
	epoch   time.Time
	slots   []atomic.Uint64 // sets of ways slots
	handles atomic.Pointer[handleTable]
	stats   affinityStats
}

type affinityStats struct {
	unknown, old, gaps, oversized, stored, removed atomic.Uint64
}

// AffinityStats counts the events that the table has received.
type AffinityStats struct {
	Unknown   uint64 // events of unknown servers or other incarnations, dropped
	Old       uint64 // duplicate or reordered events, dropped
	Gaps      uint64 // gaps in the sequence of a server's events
	Oversized uint64 // events with more blocks than are processed
	Stored    uint64 // block entries written
	Removed   uint64 // block entries removed
}

// handleTable maps servers to the handles that slots contain. It is immutable except for the atomics of its records.
type handleTable struct {
	handles map[fleet.ServerID]uint16
	records []*serverRecord // by handle
}

type serverRecord struct {
	server      fleet.ServerID
	incarnation fleet.Incarnation
	position    int           // in the snapshot of the last Sync, a hint
	sequence    atomic.Uint64 // of the last event
	notBefore   atomic.Uint32 // entries older than this tick are invalid: restart, clear or reuse of the handle
	gapAt       atomic.Uint32 // tick of the last gap, 0 if none
}

// A slot is one word, so that it is read and written without locks: a used bit, an inferred bit, 24 bits of the block's
// hash (the tag), 14 bits of handle and 24 bits of time in seconds (the tick).
const (
	tickBits    = 24
	handleBits  = 14
	tickMask    = 1<<tickBits - 1
	handleMask  = 1<<handleBits - 1
	tagShift    = tickBits + handleBits
	tagMask     = 1<<24 - 1
	inferredBit = 1 << 62
	usedBit     = 1 << 63
)

// NewAffinity returns a table with the given number of slots, rounded up to a power of two; 0 means 262,144 (2 MiB).
func NewAffinity(slots int, now time.Time) *Affinity {
	if slots <= 0 {
		slots = defaultSlots
	}
	slots = min(max(slots, minSlots), maxSlots)
	slots = 1 << bits.Len(uint(slots-1))
	// Ticks start at 1, so that 0 means never.
	a := &Affinity{epoch: now.Add(-time.Second), slots: make([]atomic.Uint64, slots)}
	a.handles.Store(&handleTable{handles: map[fleet.ServerID]uint16{}})
	return a
}

// Stats returns the event counts since the table was created.
func (a *Affinity) Stats() AffinityStats {
	return AffinityStats{
		Unknown: a.stats.unknown.Load(), Old: a.stats.old.Load(), Gaps: a.stats.gaps.Load(),
		Oversized: a.stats.oversized.Load(), Stored: a.stats.stored.Load(), Removed: a.stats.removed.Load(),
	}
}

// Sync updates the servers from a new snapshot. The control goroutine calls it before it publishes the snapshot. Entries of
// servers that are absent or have a new incarnation become invalid.
func (a *Affinity) Sync(s *fleet.Snapshot, now time.Time) {
	old := a.handles.Load()
	next := &handleTable{
		handles: make(map[fleet.ServerID]uint16, len(s.Servers)),
		records: make([]*serverRecord, len(old.records), max(len(old.records), len(s.Servers))),
	}
	tick := a.tick(now)
	for i := range s.Servers {
		server := &s.Servers[i]
		handle, known := old.handles[server.Server]
		if !known {
			continue
		}
		r := &serverRecord{server: server.Server, incarnation: server.Incarnation, position: i}
		if previous := old.records[handle]; previous.incarnation == server.Incarnation {
			r.sequence.Store(previous.sequence.Load())
			r.notBefore.Store(previous.notBefore.Load())
			r.gapAt.Store(previous.gapAt.Load())
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
		r := &serverRecord{server: server.Server, incarnation: server.Incarnation, position: i}
		r.notBefore.Store(tick)
		if free == len(next.records) {
			next.records = append(next.records, r)
		} else {
			next.records[free] = r
		}
		next.handles[server.Server] = uint16(free)
	}
	a.handles.Store(next)
}

// Apply applies a cache event. Events of unknown servers or other incarnations and duplicates are dropped and counted.
func (a *Affinity) Apply(now time.Time, e *CacheEvent) {
	table := a.handles.Load()
	handle, ok := table.handles[e.Server]
	if !ok || table.records[handle].incarnation != e.Incarnation {
		a.stats.unknown.Add(1)
		return
	}
	r := table.records[handle]
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
	if len(e.Stored) > maxEventBlocks || len(e.Removed) > maxEventBlocks {
		a.stats.oversized.Add(1)
	}
	for _, block := range e.Removed[:min(len(e.Removed), maxEventBlocks)] {
		a.remove(block, handle)
	}
	for _, block := range e.Stored[:min(len(e.Stored), maxEventBlocks)] {
		a.store(block, handle, a.tick(now), 0)
	}
}

// RecordSent records that a request with the prefix was sent to the server, which is likely to cache it.
func (a *Affinity) RecordSent(now time.Time, server fleet.ServerID, prefix []uint64) {
	handle, ok := a.handles.Load().handles[server]
	if !ok {
		return
	}
	for _, block := range prefix[:min(len(prefix), MaxPrefixBlocks)] {
		a.store(block, handle, a.tick(now), inferredBit)
	}
}

func (a *Affinity) tick(now time.Time) uint32 {
	return uint32(max(now.Sub(a.epoch), 0)/time.Second) & tickMask
}

// slotsFor returns the set of slots that may contain the block, and the block's tag.
func (a *Affinity) slotsFor(block uint64) ([]atomic.Uint64, uint64) {
	sets := uint64(len(a.slots) / ways)
	first := (block & (sets - 1)) * ways
	return a.slots[first : first+ways : first+ways], block >> 40
}

// store writes an entry. inferred is inferredBit or 0.
func (a *Affinity) store(block uint64, handle uint16, tick uint32, inferred uint64) {
	set, tag := a.slotsFor(block)
	word := usedBit | inferred | tag<<tagShift | uint64(handle)<<tickBits | uint64(tick)
	target, oldest := 0, int64(-1)
	for i := range set {
		w := set[i].Load()
		age := int64((tick - uint32(w&tickMask)) & tickMask)
		switch {
		case w&usedBit == 0:
			age = tickMask + 1 // an empty slot is preferred to the oldest entry
		case w>>tagShift&tagMask == tag && w>>tickBits&handleMask == uint64(handle):
			if inferred != 0 && w&inferredBit == 0 && age < int64(inferredTTL/time.Second) {
				return // an entry from a cache event is valid for longer than an inferred one
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
	set, tag := a.slotsFor(block)
	for i := range set {
		w := set[i].Load()
		if w&usedBit != 0 && w>>tagShift&tagMask == tag && w>>tickBits&handleMask == uint64(handle) {
			if set[i].CompareAndSwap(w, 0) {
				a.stats.removed.Add(1)
			}
		}
	}
}

// valid reports whether an entry has not expired at the tick.
func (r *serverRecord) valid(word uint64, tick uint32) bool {
	at := uint32(word & tickMask)
	age := (tick - at) & tickMask
	ttl := uint32(cacheEventTTL / time.Second)
	if word&inferredBit != 0 {
		ttl = uint32(inferredTTL / time.Second)
	}
	if age > ttl || at < r.notBefore.Load() {
		return false
	}
	gap := r.gapAt.Load()
	return gap == 0 || at >= gap || (tick-gap)&tickMask <= uint32(sequenceGapTTL/time.Second)
}

// holders writes the positions of servers that may hold the block to found and returns their number.
func (a *Affinity) holders(table *handleTable, s *fleet.Snapshot, block uint64, tick uint32, found *[ways]int32) int {
	set, tag := a.slotsFor(block)
	n := 0
	for i := range set {
		w := set[i].Load()
		if w&usedBit == 0 || w>>tagShift&tagMask != tag {
			continue
		}
		handle := int(w >> tickBits & handleMask)
		if handle >= len(table.records) || table.records[handle] == nil {
			continue
		}
		r := table.records[handle]
		if !r.valid(w, tick) {
			continue
		}
		position := r.position
		if position >= len(s.Servers) || s.Servers[position].Server != r.server {
			position = serverPosition(s, r.server) // the snapshot is not the one of the last Sync
		}
		if position >= 0 {
			found[n] = int32(position)
			n++
		}
	}
	return n
}

// deepestMatch finds the longest part of the prefix that some server may hold, by binary search: a server that holds a
// block holds all blocks before it. It returns the number of blocks and of holders, whose positions it writes to found.
// Lost events can make the search miss a holder, which costs one prefill.
func (a *Affinity) deepestMatch(s *fleet.Snapshot, prefix []uint64, now time.Time, found *[ways]int32) (blocks, holders int) {
	table, tick := a.handles.Load(), a.tick(now)
	var middleHolders [ways]int32
	low, high := 0, min(len(prefix), MaxPrefixBlocks)
	for low < high {
		middle := (low + high + 1) / 2
		if n := a.holders(table, s, prefix[middle-1], tick, &middleHolders); n > 0 {
			*found, holders, low = middleHolders, n, middle
		} else {
			high = middle - 1
		}
	}
	return low, holders
}
