package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
)

// Record is one log entry. Data is opaque to the store.
type Record struct {
	Index uint64
	Data  []byte
}

// Contents is the content of a folder as read by Open.
type Contents struct {
	Identity      []byte
	State         []byte // last state record, nil if none
	SnapshotIndex uint64 // 0 if there is no snapshot
	Snapshot      []byte
	Records       []Record // contiguous
	// TornBytes is the size of the unsynced end of the log that was truncated.
	TornBytes int64
}

// File names.
const (
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	filePrefix      = "file-" // of files beside the log
	temporaryPrefix = "new-"  // of a file that is renamed when it is complete
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// fileNumbers returns the numbers in the names of the files with a prefix, in ascending order.
func fileNumbers(names []string, prefix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if rest, ok := strings.CutPrefix(name, prefix); ok && len(rest) == 16 {
			if _, err := fmt.Sscanf(rest, "%016x", &n); err == nil {
				numbers = append(numbers, n)
			}
		}
	}
	slices.Sort(numbers)
	return numbers
}

// segment is a log file that has not been removed by compaction.
type segment struct {
	sequence uint64
	maxIndex uint64 // highest index of its records
	size     int64
	version  uint32
}

// read reads the whole folder, truncates a torn end of the log and removes temporary files.
func (s *Store) read() (*Contents, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, s.openError("", err)
	}
	c := &Contents{}
	b, err := s.fs.ReadFile(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &Error{Kind: NoFolder, File: s.fs.Path(""), Offset: -1, Detail: "the folder has no identity"}
	} else if err != nil {
		return nil, s.openError(identityName, err)
	}
	var e *Error
	if c.Identity, e = decodeBlob(b, magicIdentity, 0); e != nil {
		return nil, s.withPosition(e, identityName, 0)
	}
	for _, name := range names {
		if strings.HasPrefix(name, temporaryPrefix) {
			if err := s.fs.Remove(name); err != nil {
				return nil, s.openError(name, err)
			}
		}
	}
	snapshots := fileNumbers(names, snapshotPrefix)
	if len(snapshots) > 0 {
		c.SnapshotIndex = snapshots[len(snapshots)-1]
		name := snapshotName(c.SnapshotIndex)
		if b, err = s.fs.ReadFile(name); err != nil {
			return nil, s.openError(name, err)
		}
		if c.Snapshot, e = decodeBlob(b, magicSnapshot, c.SnapshotIndex); e != nil {
			return nil, s.withPosition(e, name, 0)
		}
		s.snapshotIndexes = snapshots
	}
	return c, s.readSegments(c, fileNumbers(names, segmentPrefix))
}

func (s *Store) readSegments(c *Contents, sequences []uint64) error {
	if len(sequences) == 0 {
		return s.withPosition(&Error{Kind: Corrupt, Detail: "the log is missing"}, segmentName(1), -1)
	}
	for i, sequence := range sequences {
		name := segmentName(sequence)
		if i > 0 && sequence != sequences[i-1]+1 {
			return s.withPosition(&Error{Kind: Corrupt, Detail: "a segment before this one is missing"}, name, -1)
		}
		b, err := s.fs.ReadFile(name)
		if err != nil {
			return s.openError(name, err)
		}
		last := i == len(sequences)-1
		h, e := decodeSegmentHeader(b)
		if e == nil && h.sequence != sequence {
			e = &Error{Kind: Corrupt, Detail: "the sequence number in the segment differs from the one in its name"}
		}
		if e != nil && e.Kind == Corrupt && last && i > 0 && !syncedBeyond(b, segmentHeader{version: FormatVersion, sequence: sequence}, 0) {
			// The process crashed while it created the segment; everything before was synced, and nothing was added since.
			if err := s.fs.Remove(name); err != nil {
				return s.openError(name, err)
			}
			c.TornBytes += int64(len(b))
			break
		}
		if e != nil {
			return s.withPosition(e, name, 0)
		}
		if h.version >= 2 && i > 0 && h.previousSize != uint64(s.segments[i-1].size) {
			return s.withPosition(&Error{Kind: Corrupt, Detail: fmt.Sprintf("the segment is %d bytes long and was %d when it was closed",
				s.segments[i-1].size, h.previousSize)}, segmentName(sequence-1), s.segments[i-1].size)
		}
		if err := s.readSegment(c, b, h, last); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) readSegment(c *Contents, b []byte, h segmentHeader, last bool) error {
	name := segmentName(h.sequence)
	seg := segment{sequence: h.sequence, version: h.version}
	s.lastSegmentHasState = false
	offset := int64(h.size)
	for offset < int64(len(b)) {
		r, ok := decodeRecord(b, h, offset)
		if !ok {
			if !last || syncedBeyond(b, h, offset) {
				return s.withPosition(&Error{Kind: Corrupt, Detail: "a synced record is damaged"}, name, offset)
			}
			c.TornBytes += int64(len(b)) - offset
			break
		}
		if !c.apply(r) {
			return s.withPosition(&Error{Kind: Corrupt, Detail: fmt.Sprintf("entry %d does not follow the previous one", r.index)}, name, offset)
		}
		s.lastSegmentHasState = s.lastSegmentHasState || r.kind == recordState
		seg.maxIndex = max(seg.maxIndex, r.index)
		offset += int64(r.size)
	}
	seg.size = offset
	if offset < int64(len(b)) {
		if err := s.fs.Truncate(name, offset); err != nil {
			return s.openError(name, err)
		}
	}
	s.segments = append(s.segments, seg)
	return nil
}

// apply applies a record to the contents. It returns false if the kind is unknown or the entry leaves a gap.
func (c *Contents) apply(r record) bool {
	switch r.kind {
	case recordState:
		c.State = slices.Clone(r.data)
	case recordReset:
		c.Records = nil
	case recordEntry:
		if n := len(c.Records); n > 0 {
			first := c.Records[0].Index
			if r.index > first+uint64(n) {
				return false
			}
			// Compaction may have removed the segment that contained the entries between r.index and first.
			c.Records = c.Records[:max(r.index, first)-first]
		}
		c.Records = append(c.Records, Record{r.index, slices.Clone(r.data)})
	default:
		return false
	}
	return true
}

// syncedBeyond distinguishes damage to synced data from a torn write: it searches for a later record that was written
// after the given offset was synced. Version 1 does not record this, so any later valid record counts. Damage in the last
// synced batch cannot be distinguished from a torn write, because no later record proves that it was synced.
func syncedBeyond(b []byte, h segmentHeader, offset int64) bool {
	for at := offset + 1; at < int64(len(b)); at++ {
		if r, ok := decodeRecord(b, h, at); ok && (h.version == 1 || r.synced > offset) {
			return true
		}
	}
	return false
}
