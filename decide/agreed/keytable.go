package agreed

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// keyID stands for organisation and key. At 10 million keys two of them share an identifier with a probability of about
// 1e-25, so the key itself is not kept.
type keyID [16]byte

func keyIDOf(organisation fleet.Organisation, key string) keyID {
	buffer := make([]byte, 0, 256)
	buffer = binary.AppendUvarint(buffer, uint64(len(organisation)))
	buffer = append(append(buffer, organisation...), key...)
	sum := sha256.Sum256(buffer)
	return keyID(sum[:16])
}

// KeyRecord is one key record in its compact form: 72 bytes without pointers. Organisation and Server are positions in
// tables of names.
type KeyRecord struct {
	ID           keyID
	Digest       RequestDigest
	Attempt      Attempt
	Boot         uint64
	At           uint32 // Unix seconds of the claim
	Server       uint32
	Organisation uint32
	Status       uint16
	Outcome      Outcome
	gone         bool // dropped before its turn; the place is freed with the chunk
}

// chunkRecords is the number of records that are allocated and freed together, about 290 KB.
const chunkRecords = 4096

// keyTable holds key records in the order of their claims, which is the order in which they expire, with an index of
// 32-bit places: 81 bytes a key at a million keys (BenchmarkKeyRecordMemory), where a map of records took 201.
type keyTable struct {
	chunks []*[chunkRecords]KeyRecord
	head   uint32   // sequence number of the first place of chunks[0], a multiple of chunkRecords
	first  uint32   // sequence number of the oldest record
	next   uint32   // sequence number of the next record
	slots  []uint32 // open addressing with linear probing; sequence number + 1, 0 for free
	count  int
}

func (t *keyTable) at(sequence uint32) *KeyRecord {
	place := sequence - t.head
	return &t.chunks[place/chunkRecords][place%chunkRecords]
}

func (t *keyTable) home(id keyID) uint32 {
	return binary.LittleEndian.Uint32(id[:4]) & uint32(len(t.slots)-1)
}

// find returns the slot of the record, or the free slot where it belongs.
func (t *keyTable) find(id keyID) (slot uint32, found bool) {
	mask := uint32(len(t.slots) - 1)
	for slot = t.home(id); t.slots[slot] != 0; slot = (slot + 1) & mask {
		if t.at(t.slots[slot]-1).ID == id {
			return slot, true
		}
	}
	return slot, false
}

// get returns the record, nil if there is none. It stays valid until the next change of the table.
func (t *keyTable) get(id keyID) *KeyRecord {
	if len(t.slots) == 0 {
		return nil
	}
	slot, found := t.find(id)
	if !found {
		return nil
	}
	return t.at(t.slots[slot] - 1)
}

// add appends a record whose identifier the table does not hold.
func (t *keyTable) add(record KeyRecord) {
	if t.next-t.head == uint32(len(t.chunks))*chunkRecords {
		t.chunks = append(t.chunks, new([chunkRecords]KeyRecord))
	}
	if 4*(t.count+1) > 3*len(t.slots) { // keeps probe sequences short
		t.resize(max(1024, 2*len(t.slots)))
	}
	*t.at(t.next) = record
	slot, _ := t.find(record.ID)
	t.slots[slot] = t.next + 1
	t.next++
	t.count++
}

func (t *keyTable) resize(size int) {
	t.slots = make([]uint32, size)
	for sequence := t.first; sequence != t.next; sequence++ {
		if record := t.at(sequence); !record.gone {
			slot, _ := t.find(record.ID)
			t.slots[slot] = sequence + 1
		}
	}
}

// remove drops the record from the index and marks its place. Later records of the probe sequence move up.
func (t *keyTable) remove(id keyID) {
	slot, found := t.find(id)
	if !found {
		return
	}
	t.at(t.slots[slot] - 1).gone = true
	t.count--
	mask := uint32(len(t.slots) - 1)
	free := slot
	for next := (slot + 1) & mask; t.slots[next] != 0; next = (next + 1) & mask {
		home := t.home(t.at(t.slots[next] - 1).ID)
		if (next-home)&mask >= (next-free)&mask {
			t.slots[free] = t.slots[next]
			free = next
		}
	}
	t.slots[free] = 0
}

// oldest returns the oldest record, nil if the table is empty.
func (t *keyTable) oldest() *KeyRecord {
	t.trim()
	if t.first == t.next {
		return nil
	}
	return t.at(t.first)
}

// trim skips dropped places at the front and frees chunks that hold no record any more.
func (t *keyTable) trim() {
	for t.first != t.next && t.at(t.first).gone {
		t.first++
		if t.first-t.head == chunkRecords {
			t.chunks[0] = nil
			t.chunks = t.chunks[1:]
			t.head += chunkRecords
		}
	}
	if t.count == 0 {
		*t = keyTable{}
	}
}

// all calls yield for every record in the order of the claims.
func (t *keyTable) all(yield func(*KeyRecord) bool) {
	for sequence := t.first; sequence != t.next; sequence++ {
		if record := t.at(sequence); !record.gone && !yield(record) {
			return
		}
	}
}
