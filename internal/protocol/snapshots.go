package protocol

import (
	"encoding/binary"
	"fmt"

	"github.com/banyanfront/banyanfront/decide/statemachine"
)

// snapshotMessage is the encoded form of a snapshot. Its large lists are packed into byte strings: as CBOR maps a million
// key records would take more than twice the bytes, and an allocation for each field.
type snapshotMessage struct {
	Index         uint64                    `cbor:"1,keyasint"`
	View          statemachine.View         `cbor:"2,keyasint"`
	Notes         []statemachine.NoteRecord `cbor:"3,keyasint,omitempty"`
	LastToken     uint64                    `cbor:"4,keyasint"`
	Clock         uint32                    `cbor:"5,keyasint"`
	Servers       []string                  `cbor:"6,keyasint,omitempty"`
	Organisations []string                  `cbor:"7,keyasint,omitempty"`
	Keys          []byte                    `cbor:"8,keyasint,omitempty"`
	OldKeys       []byte                    `cbor:"9,keyasint,omitempty"`
	UsesSince     int64                     `cbor:"10,keyasint"`
	UsesSwept     int64                     `cbor:"11,keyasint"`
	Uses          []byte                    `cbor:"12,keyasint,omitempty"`
	UseNames      statemachine.UseNames     `cbor:"13,keyasint"`
}

// Sizes of packed records in bytes.
const (
	keyRecordBytes = 16 + 16 + 16 + 8 + 4 + 4 + 4 + 2 + 1
	useRecordBytes = 4 + 2 + 2 + 4
)

// EncodeSnapshot encodes a snapshot of the whole state of a voter.
func EncodeSnapshot(s *statemachine.Snapshot) ([]byte, error) {
	return encodeAgreed([]byte{agreedFormat}, &snapshotMessage{
		Index: s.Index, View: s.View, Notes: s.Notes, LastToken: s.LastToken, Clock: s.Clock,
		Servers: s.Servers, Organisations: s.Organisations, Keys: packKeyRecords(s.Keys), OldKeys: packKeyRecords(s.OldKeys),
		UsesSince: s.UsesSince, UsesSwept: s.UsesSwept, Uses: packUseRecords(s.Uses), UseNames: s.UseNames,
	}, MaxSnapshotBytes)
}

// DecodeSnapshot decodes a snapshot from EncodeSnapshot.
func DecodeSnapshot(data []byte) (*statemachine.Snapshot, error) {
	var m snapshotMessage
	if err := decodeAgreed(data, 1, &m, MaxSnapshotBytes); err != nil {
		return nil, err
	}
	s := &statemachine.Snapshot{
		Index: m.Index, View: m.View, Notes: m.Notes, LastToken: m.LastToken, Clock: m.Clock,
		Servers: m.Servers, Organisations: m.Organisations, UsesSince: m.UsesSince, UsesSwept: m.UsesSwept, UseNames: m.UseNames,
	}
	var err error
	if s.Keys, err = unpackRecords(m.Keys, keyRecordBytes, unpackKeyRecord); err != nil {
		return nil, err
	}
	if s.OldKeys, err = unpackRecords(m.OldKeys, keyRecordBytes, unpackKeyRecord); err != nil {
		return nil, err
	}
	if s.Uses, err = unpackRecords(m.Uses, useRecordBytes, unpackUseRecord); err != nil {
		return nil, err
	}
	return s, nil
}

func packKeyRecords(records []statemachine.KeyRecord) []byte {
	b := make([]byte, 0, len(records)*keyRecordBytes)
	for i := range records {
		r := &records[i]
		b = append(b, r.ID[:]...)
		b = append(b, r.Digest[:]...)
		b = append(b, r.Attempt[:]...)
		b = binary.LittleEndian.AppendUint64(b, r.Boot)
		b = binary.LittleEndian.AppendUint32(b, r.At)
		b = binary.LittleEndian.AppendUint32(b, r.Server)
		b = binary.LittleEndian.AppendUint32(b, r.Organisation)
		b = binary.LittleEndian.AppendUint16(b, r.Status)
		b = append(b, byte(r.Outcome))
	}
	return b
}

func unpackKeyRecord(b []byte) (r statemachine.KeyRecord) {
	copy(r.ID[:], b)
	copy(r.Digest[:], b[16:])
	copy(r.Attempt[:], b[32:])
	r.Boot = binary.LittleEndian.Uint64(b[48:])
	r.At = binary.LittleEndian.Uint32(b[56:])
	r.Server = binary.LittleEndian.Uint32(b[60:])
	r.Organisation = binary.LittleEndian.Uint32(b[64:])
	r.Status = binary.LittleEndian.Uint16(b[68:])
	r.Outcome = statemachine.Outcome(b[70])
	return r
}

func packUseRecords(records []statemachine.UseRecord) []byte {
	b := make([]byte, 0, len(records)*useRecordBytes)
	for _, r := range records {
		b = binary.LittleEndian.AppendUint32(b, r.Server)
		b = binary.LittleEndian.AppendUint16(b, r.Organisation)
		b = binary.LittleEndian.AppendUint16(b, r.Target)
		b = binary.LittleEndian.AppendUint32(b, r.Last)
	}
	return b
}

func unpackUseRecord(b []byte) statemachine.UseRecord {
	return statemachine.UseRecord{
		Server: binary.LittleEndian.Uint32(b), Organisation: binary.LittleEndian.Uint16(b[4:]),
		Target: binary.LittleEndian.Uint16(b[6:]), Last: binary.LittleEndian.Uint32(b[8:]),
	}
}

func unpackRecords[T any](b []byte, recordBytes int, unpackRecord func([]byte) T) ([]T, error) {
	if len(b)%recordBytes != 0 {
		return nil, fmt.Errorf("packed records of %d bytes are truncated: fetch the snapshot again", len(b))
	}
	result := make([]T, 0, len(b)/recordBytes)
	for ; len(b) > 0; b = b[recordBytes:] {
		result = append(result, unpackRecord(b[:recordBytes]))
	}
	return result, nil
}
