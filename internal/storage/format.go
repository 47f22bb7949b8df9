package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// FormatVersion is written into each file. Version 1 files are read and replaced as the log moves on:
//
//   - version 1 segments do not tell how far they were synced, nor the size of the segment before them
//   - version 1 snapshots do not repeat their index, which is part of the file name
const FormatVersion = 2

// Length bounds. A length outside of them is damage, whatever the checksum says.
const (
	MaxRecordBytes   = 1 << 20   // a protocol message, the largest thing that a log entry can hold
	MaxSnapshotBytes = 128 << 20 // half of a daemon's control-plane memory
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var le = binary.LittleEndian

// All files begin with an 8-byte magic and the format version in 4 bytes.
const (
	magicSegment  = "BANYLOG\n"
	magicSnapshot = "BANYSNP\n"
	magicIdentity = "BANYIDN\n"
	magicBytes    = 8
)

// Segment header: magic, version, sequence number, (version 2) size of the previous segment, checksum of these.
const (
	segmentHeader1 = magicBytes + 4 + 8 + 4
	segmentHeader2 = magicBytes + 4 + 8 + 8 + 4
)

func encodeSegmentHeader(sequence, previousSize uint64) []byte {
	b := append([]byte(magicSegment), 0, 0, 0, 0)
	le.PutUint32(b[magicBytes:], FormatVersion)
	b = le.AppendUint64(b, sequence)
	b = le.AppendUint64(b, previousSize)
	return le.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

type segmentHeader struct {
	version                uint32
	sequence, previousSize uint64
	size                   int
}

// checkMagic returns the format version of a file.
func checkMagic(b []byte, magic string) (uint32, *Error) {
	if len(b) < magicBytes+4 || string(b[:magicBytes]) != magic {
		return 0, &Error{Kind: Corrupt, Detail: "the file header is damaged"}
	}
	version := le.Uint32(b[magicBytes:])
	if version == 0 {
		return 0, &Error{Kind: Corrupt, Detail: "the file header is damaged"}
	}
	return version, nil
}

func newerVersion(version uint32) *Error {
	return &Error{Kind: NewVersion, Detail: fmt.Sprintf("format version %d, this release knows up to %d", version, FormatVersion)}
}

func decodeSegmentHeader(b []byte) (h segmentHeader, e *Error) {
	if h.version, e = checkMagic(b, magicSegment); e != nil {
		return h, e
	}
	switch h.version {
	case 1:
		h.size = segmentHeader1
	case 2:
		h.size = segmentHeader2
	default:
		return h, newerVersion(h.version)
	}
	if len(b) < h.size || le.Uint32(b[h.size-4:]) != crc32.Checksum(b[:h.size-4], castagnoli) {
		return h, &Error{Kind: Corrupt, Detail: "the segment header is damaged"}
	}
	h.sequence = le.Uint64(b[magicBytes+4:])
	if h.version >= 2 {
		h.previousSize = le.Uint64(b[magicBytes+12:])
	}
	return h, nil
}

type recordKind uint8

// Kinds of record. A state record replaces the one before. A reset record drops all entries up to and including its
// index, and all after it. An entry record replaces the entries from its index on.
const (
	recordEntry recordKind = 1
	recordState recordKind = 2
	recordReset recordKind = 3
)

// Version 2 record: marker, kind, payload length, synced offset, checksum, payload (index and data). The checksum also
// covers the sequence number and offset, so that a copy of a record elsewhere is not taken for one. The synced offset
// says how much of the segment was on disk when the record was written: damage below it is not a torn write.
const (
	recordMarker  = 0xB7
	recordHeader2 = 1 + 1 + 4 + 4 + 4
	recordIndex   = 8
)

// Version 1 record: payload length, checksum of the rest, kind, index, data.
const recordHeader1 = 4 + 4 + 1

func place(sequence uint64, offset int64) []byte {
	return le.AppendUint64(le.AppendUint64(nil, sequence), uint64(offset))
}

func appendRecord(b []byte, sequence uint64, offset, synced int64, kind recordKind, index uint64, data []byte) []byte {
	start := len(b)
	b = append(b, recordMarker, byte(kind))
	b = le.AppendUint32(b, uint32(recordIndex+len(data)))
	b = le.AppendUint32(b, uint32(synced))
	sum := crc32.Update(crc32.Checksum(place(sequence, offset), castagnoli), castagnoli, b[start:])
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = le.AppendUint64(b, index)
	b = append(b, data...)
	sum = crc32.Update(sum, castagnoli, b[at+4:])
	le.PutUint32(b[at:], sum)
	return b
}

// record is a decoded record. data shares the file's bytes.
type record struct {
	kind   recordKind
	index  uint64
	data   []byte
	synced int64
	size   int
}

// decodeRecord returns the record at an offset of a segment, and false if there is no whole one.
func decodeRecord(b []byte, h segmentHeader, offset int64) (r record, ok bool) {
	b = b[offset:]
	if h.version == 1 {
		return decodeRecord1(b)
	}
	if len(b) < recordHeader2+recordIndex || b[0] != recordMarker {
		return r, false
	}
	length := int(le.Uint32(b[2:]))
	if length < recordIndex || length > recordIndex+MaxRecordBytes || len(b) < recordHeader2+length {
		return r, false
	}
	payload := b[recordHeader2 : recordHeader2+length]
	sum := crc32.Update(crc32.Checksum(place(h.sequence, offset), castagnoli), castagnoli, b[:10])
	if crc32.Update(sum, castagnoli, payload) != le.Uint32(b[10:]) {
		return r, false
	}
	return record{recordKind(b[1]), le.Uint64(payload), payload[recordIndex:], int64(le.Uint32(b[6:])), recordHeader2 + length}, true
}

func decodeRecord1(b []byte) (r record, ok bool) {
	if len(b) < recordHeader1+recordIndex {
		return r, false
	}
	length := int(le.Uint32(b))
	if length < recordIndex || length > recordIndex+MaxRecordBytes || len(b) < recordHeader1+length {
		return r, false
	}
	if crc32.Checksum(b[8:recordHeader1+length], castagnoli) != le.Uint32(b[4:]) {
		return r, false
	}
	payload := b[recordHeader1 : recordHeader1+length]
	return record{kind: recordKind(b[8]), index: le.Uint64(payload), data: payload[recordIndex:], size: recordHeader1 + length}, true
}

// encodeBlob frames a snapshot or the identity: magic, version, index, length, checksum of these and the data, data.
func encodeBlob(magic string, index uint64, data []byte) []byte {
	b := append(make([]byte, 0, blobHeader2+len(data)), magic...)
	b = le.AppendUint32(b, FormatVersion)
	b = le.AppendUint64(b, index)
	b = le.AppendUint64(b, uint64(len(data)))
	b = le.AppendUint32(b, crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data))
	return append(b, data...)
}

// Blob headers. Version 1 has no index.
const (
	blobHeader1 = magicBytes + 4 + 8 + 4
	blobHeader2 = magicBytes + 4 + 8 + 8 + 4
)

// decodeBlob returns the data and, from version 2 on, checks the index.
func decodeBlob(b []byte, magic string, index uint64) ([]byte, *Error) {
	version, e := checkMagic(b, magic)
	if e != nil {
		return nil, e
	}
	header := blobHeader2
	switch version {
	case 1:
		header = blobHeader1
	case 2:
	default:
		return nil, newerVersion(version)
	}
	if len(b) < header {
		return nil, &Error{Kind: Corrupt, Detail: "the file is cut short"}
	}
	data := b[header:]
	sum := crc32.Update(crc32.Checksum(b[:header-4], castagnoli), castagnoli, data)
	if le.Uint64(b[header-12:]) != uint64(len(data)) || sum != le.Uint32(b[header-4:]) {
		return nil, &Error{Kind: Corrupt, Detail: "the checksum does not match"}
	}
	if version >= 2 && le.Uint64(b[magicBytes+4:]) != index {
		return nil, &Error{Kind: Corrupt, Detail: "the file holds another index than its name says"}
	}
	return data, nil
}
