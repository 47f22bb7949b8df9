package statemachine

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// keyID is a truncated SHA-256 hash of organisation and key. At 10 million keys the probability of a collision is about
// 1e-25, so the key itself is not stored.
type keyID [16]byte

func keyIDOf(organisation fleet.Organisation, key string) keyID {
	buffer := make([]byte, 0, 256)
	buffer = binary.AppendUvarint(buffer, uint64(len(organisation)))
	buffer = append(append(buffer, organisation...), key...)
	sum := sha256.Sum256(buffer)
	return keyID(sum[:16])
}

// KeyRecord is one key record in compact form: 72 bytes without pointers. Organisation and Server are indexes into name
// tables.
type KeyRecord struct {
	ID           keyID
	Digest       RequestDigest
	Attempt      AttemptID
	Boot         uint64 // incarnation of the agent
	At           uint32 // Unix seconds of the claim
	Server       uint32
	Organisation uint32
	Status       uint16
	Outcome      Outcome
	removed      bool // deleted, possibly before older records; the memory is freed with the chunk
}

// chunkRecords is the number of records allocated and freed together, about 290 KB.
const chunkRecords = 4096

// keyTable holds key records in claim order, which is their expiry order, with a hash index of 32-bit sequence numbers.
// It takes 81 bytes per key at a million keys (BenchmarkKeyRecordMemory), where a map of records took 201.
type keyTable struct {
	chunks []*[chunkRecords]KeyRecord
	base   uint32   // sequence number of chunks[0][0], a multiple of chunkRecords
	first  uint32   // sequence number of the oldest record
	next   uint32   // sequence number of the next record
	slots  []uint32 // hash index, open addressing with linear probing: sequence number + 1, 0 if free
	count  int
}

func (t *keyTable) recordAt(sequence uint32) *KeyRecord {
	offset := sequence - t.base
	return &t.chunks[offset/chunkRecords][offset%chunkRecords]
}

func (t *keyTable) homeSlot(id keyID) uint32 {
	return binary.LittleEndian.Uint32(id[:4]) & uint32(len(t.slots)-1)
}

// find returns the slot of the record, or the free slot where it is to be inserted.
func (t *keyTable) find(id keyID) (slot uint32, found bool) {
	mask := uint32(len(t.slots) - 1)
	for slot = t.homeSlot(id); t.slots[slot] != 0; slot = (slot + 1) & mask {
		if t.recordAt(t.slots[slot]-1).ID == id {
			return slot, true
		}
	}
	return slot, false
}

// get returns the record, or nil if there is none. The pointer is valid until the next change of the table.
func (t *keyTable) get(id keyID) *KeyRecord {
	if len(t.slots) == 0 {
		return nil
	}
	slot, found := t.find(id)
	if !found {
		return nil
	}
	return t.recordAt(t.slots[slot] - 1)
}

// add appends a record whose identifier must not be in the table.
func (t *keyTable) add(record KeyRecord) {
	if t.next-t.base == uint32(len(t.chunks))*chunkRecords {
		t.chunks = append(t.chunks, new([chunkRecords]KeyRecord))
	}
	if 4*(t.count+1) > 3*len(t.slots) { // keeps probe sequences short
		t.resize(max(1024, 2*len(t.slots)))
	}
	*t.recordAt(t.next) = record
	slot, _ := t.find(record.ID)
	t.slots[slot] = t.next + 1
	t.next++
	t.count++
}

func (t *keyTable) resize(size int) {
	t.slots = make([]uint32, size)
	for sequence := t.first; sequence != t.next; sequence++ {
		if record := t.recordAt(sequence); !record.removed {
			slot, _ := t.find(record.ID)
			t.slots[slot] = sequence + 1
		}
	}
}

// remove deletes the record from the index and marks it as removed. Later slots of the probe sequence shift back, which
// avoids tombstones.
func (t *keyTable) remove(id keyID) {
	slot, found := t.find(id)
	if !found {
		return
	}
	t.recordAt(t.slots[slot] - 1).removed = true
	t.count--
	mask := uint32(len(t.slots) - 1)
	free := slot
	for next := (slot + 1) & mask; t.slots[next] != 0; next = (next + 1) & mask {
		homeSlot := t.homeSlot(t.recordAt(t.slots[next] - 1).ID)
		if (next-homeSlot)&mask >= (next-free)&mask {
			t.slots[free] = t.slots[next]
			free = next
		}
	}
	t.slots[free] = 0
}

// oldest returns the oldest record, or nil if the table is empty.
func (t *keyTable) oldest() *KeyRecord {
	t.freeRemoved()
	if t.first == t.next {
		return nil
	}
	return t.recordAt(t.first)
}

// freeRemoved skips removed records at the front and frees chunks that hold no record.
func (t *keyTable) freeRemoved() {
	for t.first != t.next && t.recordAt(t.first).removed {
		t.first++
		if t.first-t.base == chunkRecords {
			t.chunks[0] = nil
			t.chunks = t.chunks[1:]
			t.base += chunkRecords
		}
	}
	if t.count == 0 {
		*t = keyTable{}
	}
}

// all calls yield for every record in claim order.
func (t *keyTable) all(yield func(*KeyRecord) bool) {
	for sequence := t.first; sequence != t.next; sequence++ {
		if record := t.recordAt(sequence); !record.removed && !yield(record) {
			return
		}
	}
}
