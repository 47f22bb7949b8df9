package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// FormatVersion is written into each file. Version 1 files are still read, and are replaced as new segments and snapshots
// are written:
//
//   - version 1 segments record neither how far they were synced nor the size of the previous segment
//   - version 1 snapshots do not contain their index, which is part of the file name
const FormatVersion = 2

// Length limits. A length outside them is treated as damage even if the checksum matches.
const (
	MaxRecordBytes   = 1 << 20   // size of a protocol message, the largest content of a log entry
	MaxSnapshotBytes = 128 << 20 // half of an entry instance's control-plane memory
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var le = binary.LittleEndian

// All files begin with an 8-byte magic and the format version in 4 bytes.
const (
	magicSegment  = "BANYLOG\n"
	magicSnapshot = "BANYSNP\n"
	magicIdentity = "BANYIDN\n"
	magicFile     = "BANYFIL\n"
	magicBytes    = 8
)

// Segment header: magic, version, sequence number, (version 2) size of the previous segment, checksum of these.
const (
	segmentHeader1Bytes = magicBytes + 4 + 8 + 4
	segmentHeader2Bytes = magicBytes + 4 + 8 + 8 + 4
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

// checkMagic checks the magic of a file and returns its format version.
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
	return &Error{Kind: NewVersion, Detail: fmt.Sprintf("format version %d, this release supports up to %d", version, FormatVersion)}
}

func decodeSegmentHeader(b []byte) (h segmentHeader, e *Error) {
	if h.version, e = checkMagic(b, magicSegment); e != nil {
		return h, e
	}
	switch h.version {
	case 1:
		h.size = segmentHeader1Bytes
	case 2:
		h.size = segmentHeader2Bytes
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

// Kinds of record. A state record replaces the previous one. A reset record drops all entries, up to and including its
// index and after it. An entry record replaces all entries from its index on.
const (
	recordEntry recordKind = 1
	recordState recordKind = 2
	recordReset recordKind = 3
)

// Version 2 record: marker, kind, payload length, synced offset, checksum, payload (index and data). The checksum also
// covers the segment's sequence number and the record's offset, so that a copy of a record at another position is not
// accepted. The synced offset is the size of the segment that was on disk when the record was written: damage below it is
// not a torn write.
const (
	recordMarker       = 0xB7
	recordHeader2Bytes = 1 + 1 + 4 + 4 + 4
	recordIndexBytes   = 8
)

// Version 1 record: payload length, checksum of the rest, kind, index, data.
const recordHeader1Bytes = 4 + 4 + 1

// encodePosition returns the position of a record as covered by its checksum.
func encodePosition(sequence uint64, offset int64) []byte {
	return le.AppendUint64(le.AppendUint64(nil, sequence), uint64(offset))
}

// appendRecord appends an encoded version 2 record to b. offset is its position in the segment.
func appendRecord(b []byte, sequence uint64, offset, synced int64, kind recordKind, index uint64, data []byte) []byte {
	start := len(b)
	b = append(b, recordMarker, byte(kind))
	b = le.AppendUint32(b, uint32(recordIndexBytes+len(data)))
	b = le.AppendUint32(b, uint32(synced))
	sum := crc32.Update(crc32.Checksum(encodePosition(sequence, offset), castagnoli), castagnoli, b[start:])
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = le.AppendUint64(b, index)
	b = append(b, data...)
	sum = crc32.Update(sum, castagnoli, b[at+4:])
	le.PutUint32(b[at:], sum)
	return b
}

// record is a decoded record. data aliases the bytes of the file.
type record struct {
	kind   recordKind
	index  uint64
	data   []byte
	synced int64
	size   int // bytes in the file, with the header
}

// decodeRecord returns the record at an offset of a segment, and false if there is no complete and valid one.
func decodeRecord(b []byte, h segmentHeader, offset int64) (r record, ok bool) {
	b = b[offset:]
	if h.version == 1 {
		return decodeRecord1(b)
	}
	if len(b) < recordHeader2Bytes+recordIndexBytes || b[0] != recordMarker {
		return r, false
	}
	length := int(le.Uint32(b[2:]))
	if length < recordIndexBytes || length > recordIndexBytes+MaxRecordBytes || len(b) < recordHeader2Bytes+length {
		return r, false
	}
	payload := b[recordHeader2Bytes : recordHeader2Bytes+length]
	sum := crc32.Update(crc32.Checksum(encodePosition(h.sequence, offset), castagnoli), castagnoli, b[:10])
	if crc32.Update(sum, castagnoli, payload) != le.Uint32(b[10:]) {
		return r, false
	}
	return record{recordKind(b[1]), le.Uint64(payload), payload[recordIndexBytes:], int64(le.Uint32(b[6:])), recordHeader2Bytes + length}, true
}

func decodeRecord1(b []byte) (r record, ok bool) {
	if len(b) < recordHeader1Bytes+recordIndexBytes {
		return r, false
	}
	length := int(le.Uint32(b))
	if length < recordIndexBytes || length > recordIndexBytes+MaxRecordBytes || len(b) < recordHeader1Bytes+length {
		return r, false
	}
	if crc32.Checksum(b[8:recordHeader1Bytes+length], castagnoli) != le.Uint32(b[4:]) {
		return r, false
	}
	payload := b[recordHeader1Bytes : recordHeader1Bytes+length]
	return record{kind: recordKind(b[8]), index: le.Uint64(payload), data: payload[recordIndexBytes:], size: recordHeader1Bytes + length}, true
}

// encodeBlob encodes a snapshot, identity or other file: magic, version, index, length, checksum of these and the data, data.
func encodeBlob(magic string, index uint64, data []byte) []byte {
	b := append(make([]byte, 0, blobHeader2Bytes+len(data)), magic...)
	b = le.AppendUint32(b, FormatVersion)
	b = le.AppendUint64(b, index)
	b = le.AppendUint64(b, uint64(len(data)))
	b = le.AppendUint32(b, crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data))
	return append(b, data...)
}

// Sizes of blob headers. Version 1 has no index.
const (
	blobHeader1Bytes = magicBytes + 4 + 8 + 4
	blobHeader2Bytes = magicBytes + 4 + 8 + 8 + 4
)

// decodeBlob checks a file written by encodeBlob, from version 2 on also its index, and returns the data.
func decodeBlob(b []byte, magic string, index uint64) ([]byte, *Error) {
	version, e := checkMagic(b, magic)
	if e != nil {
		return nil, e
	}
	header := blobHeader2Bytes
	switch version {
	case 1:
		header = blobHeader1Bytes
	case 2:
	default:
		return nil, newerVersion(version)
	}
	if len(b) < header {
		return nil, &Error{Kind: Corrupt, Detail: "the file is truncated"}
	}
	data := b[header:]
	sum := crc32.Update(crc32.Checksum(b[:header-4], castagnoli), castagnoli, data)
	if le.Uint64(b[header-12:]) != uint64(len(data)) || sum != le.Uint32(b[header-4:]) {
		return nil, &Error{Kind: Corrupt, Detail: "the checksum does not match"}
	}
	if version >= 2 && le.Uint64(b[magicBytes+4:]) != index {
		return nil, &Error{Kind: Corrupt, Detail: "the index in the file differs from the one in its name"}
	}
	return data, nil
}
