package storage

import (
	"fmt"
	"io"
	"slices"
)

// DefaultSegmentBytes is the size at which a new segment is begun. Compaction frees whole segments.
const DefaultSegmentBytes = 8 << 20

// Options set the parameters of a store. Zero values take the defaults.
type Options struct {
	SegmentBytes int64
}

// Stats counts what the store did since it was opened.
type Stats struct {
	Syncs   uint64 // forced writes of the log
	Bytes   uint64 // bytes written to the log
	Records uint64
}

// Store is an open data folder. It is not safe for concurrent use: its owner collects records with Append and SetState
// and forces them to disk together with one Sync (group commit).
type Store struct {
	fs        FS
	options   Options
	lock      io.Closer
	file      File
	segments  []segment
	snapshots []uint64
	buffer    []byte
	state     []byte // last state record, repeated at the start of each segment
	hasState  bool   // while reading: the last segment holds a state record
	synced    int64  // size of the last segment that is on disk
	lastIndex uint64
	broken    error
	stats     Stats
}

// Create prepares an empty folder. The identity is written last, so a folder whose creation was cut short is prepared
// again.
func Create(fsys FS, identity []byte) error {
	names, err := fsys.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == identityName {
			return &Error{Kind: Exists, File: fsys.Path(name), Offset: -1, Detail: "the folder has an identity"}
		}
	}
	lock, err := fsys.Lock()
	if err != nil {
		return &Error{Kind: Locked, File: fsys.Path(lockName), Offset: -1, Detail: "the folder is in use", Err: err}
	}
	defer lock.Close()
	for _, file := range []struct {
		name string
		data []byte
	}{
		{segmentName(1), encodeSegmentHeader(1, 0)},
		{identityName, encodeBlob(magicIdentity, 0, identity)},
	} {
		if err := writeFile(fsys, file.name, file.data); err != nil {
			return &Error{Kind: Failed, File: fsys.Path(file.name), Offset: -1, Detail: "cannot create the folder", Err: err}
		}
	}
	return nil
}

// Open takes the folder and reads it. A torn end is cut off; damage to synced data is an error of kind Corrupt.
func Open(fsys FS, options Options) (*Store, *Contents, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{fs: fsys, options: options}
	lock, err := fsys.Lock()
	if err != nil {
		return nil, nil, &Error{Kind: Locked, File: fsys.Path(lockName), Offset: -1, Detail: "the folder is in use", Err: err}
	}
	s.lock = lock
	c, err := s.read()
	if err == nil {
		err = s.resume(c)
	}
	if err != nil {
		_ = s.Close()
		return nil, nil, err
	}
	return s, c, nil
}

// resume opens the last segment for appending. What was read may be in the page cache only, so it is synced before
// anything is built on it.
func (s *Store) resume(c *Contents) error {
	s.state = c.State
	s.lastIndex = c.SnapshotIndex
	if n := len(c.Records); n > 0 {
		s.lastIndex = c.Records[n-1].Index
	}
	last := s.segments[len(s.segments)-1]
	name := segmentName(last.sequence)
	file, err := s.fs.Append(name)
	if err != nil {
		return s.failed(name, err)
	}
	s.file = file
	if err := file.Sync(); err != nil {
		return s.failed(name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return s.failed(name, err)
	}
	s.synced = last.size
	if last.version < FormatVersion {
		return s.roll()
	}
	if s.state != nil && !s.hasState {
		// The crash cut off the state at the start of the segment. The older segments that hold it may be removed.
		s.add(recordState, 0, s.state)
		return s.Sync()
	}
	return nil
}

// Append adds log entries. They are durable after Sync. An entry replaces all entries from its index on.
func (s *Store) Append(records ...Record) error {
	for _, r := range records {
		if len(r.Data) > MaxRecordBytes {
			return &Error{Kind: TooLarge, File: s.fs.Path(""), Offset: -1,
				Detail: fmt.Sprintf("entry %d has %d bytes, at most %d are allowed", r.Index, len(r.Data), MaxRecordBytes)}
		}
	}
	for _, r := range records {
		s.add(recordEntry, r.Index, r.Data)
		s.lastIndex = r.Index
	}
	return s.broken
}

// SetState replaces the state record. It is durable after Sync.
func (s *Store) SetState(data []byte) error {
	s.state = data
	s.add(recordState, 0, data)
	return s.broken
}

// Reset drops all entries, because a snapshot at index replaces them. It is durable after Sync.
func (s *Store) Reset(index uint64) error {
	s.add(recordReset, index, nil)
	s.lastIndex = index
	return s.broken
}

func (s *Store) add(kind recordKind, index uint64, data []byte) {
	seg := &s.segments[len(s.segments)-1]
	s.buffer = appendRecord(s.buffer, seg.sequence, s.synced+int64(len(s.buffer)), s.synced, kind, index, data)
	seg.maxIndex = max(seg.maxIndex, index)
	s.stats.Records++
}

// Sync writes what was collected and forces it to disk.
func (s *Store) Sync() error {
	if s.broken != nil || len(s.buffer) == 0 {
		return s.broken
	}
	seg := &s.segments[len(s.segments)-1]
	name := segmentName(seg.sequence)
	n, err := s.file.Write(s.buffer)
	if err == nil && n < len(s.buffer) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		return s.breakDown(name, seg.size, err)
	}
	s.stats.Syncs++
	s.stats.Bytes += uint64(len(s.buffer))
	seg.size += int64(len(s.buffer))
	s.synced = seg.size
	// The buffer is reused unless one large batch made it grow.
	if s.buffer = s.buffer[:0]; cap(s.buffer) > 1<<20 {
		s.buffer = nil
	}
	if seg.size >= s.options.SegmentBytes {
		if err := s.roll(); err != nil {
			return s.breakDown(name, seg.size, err)
		}
	}
	return nil
}

// roll begins a new segment with the current state, so that older segments can be removed without losing it.
func (s *Store) roll() error {
	previous := s.segments[len(s.segments)-1]
	next := segment{sequence: previous.sequence + 1, version: FormatVersion}
	b := encodeSegmentHeader(next.sequence, uint64(previous.size))
	if s.state != nil {
		b = appendRecord(b, next.sequence, int64(len(b)), 0, recordState, 0, s.state)
	}
	name := segmentName(next.sequence)
	file, err := s.fs.Create(name)
	if err != nil {
		return s.failed(name, err)
	}
	if err := writeSynced(s.fs, file, b); err != nil {
		_ = file.Close()
		return s.failed(name, err)
	}
	_ = s.file.Close()
	next.size = int64(len(b))
	s.file, s.synced = file, next.size
	s.segments = append(s.segments, next)
	return nil
}

// Compact removes the segments whose entries all come before keepFrom.
func (s *Store) Compact(keepFrom uint64) error {
	if s.broken != nil {
		return s.broken
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex < keepFrom {
		name := segmentName(s.segments[0].sequence)
		if err := s.fs.Remove(name); err != nil {
			return s.breakDown(name, -1, err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// WriteSnapshot writes a snapshot file; it is durable on return. It may run beside the other methods. Its result must be
// passed to AdoptSnapshot.
func (s *Store) WriteSnapshot(index uint64, data []byte) error {
	name := snapshotName(index)
	if len(data) > MaxSnapshotBytes {
		return &Error{Kind: TooLarge, File: s.fs.Path(name), Offset: -1,
			Detail: fmt.Sprintf("the snapshot has %d bytes, at most %d are allowed", len(data), MaxSnapshotBytes)}
	}
	return writeFile(s.fs, name, encodeBlob(magicSnapshot, index, data))
}

// AdoptSnapshot takes note of a written snapshot and removes all but the newest. err is the result of WriteSnapshot: a
// failed write makes the store read-only.
func (s *Store) AdoptSnapshot(index uint64, err error) error {
	switch {
	case s.broken != nil:
		return s.broken
	case KindOf(err) == TooLarge:
		return err
	case err != nil:
		return s.breakDown(snapshotName(index), -1, err)
	}
	s.snapshots = append(s.snapshots, index)
	newest := slices.Max(s.snapshots)
	for _, old := range s.snapshots {
		if old == newest {
			continue
		}
		if err := s.fs.Remove(snapshotName(old)); err != nil {
			return s.breakDown(snapshotName(old), -1, err)
		}
	}
	s.snapshots = []uint64{newest}
	s.lastIndex = max(s.lastIndex, index)
	return nil
}

// SaveSnapshot writes and adopts a snapshot.
func (s *Store) SaveSnapshot(index uint64, data []byte) error {
	if s.broken != nil {
		return s.broken
	}
	return s.AdoptSnapshot(index, s.WriteSnapshot(index, data))
}

// writeFile writes a file under a temporary name, syncs it, renames it and syncs the folder.
func writeFile(fsys FS, name string, data []byte) error {
	file, err := fsys.Create(temporaryName + name)
	if err != nil {
		return err
	}
	if err := writeSynced(nil, file, data); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := fsys.Rename(temporaryName+name, name); err != nil {
		return err
	}
	return fsys.SyncDir()
}

func writeSynced(fsys FS, file File, data []byte) error {
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil && fsys != nil {
		err = fsys.SyncDir()
	}
	return err
}

// LastIndex returns the index of the last entry or of the snapshot.
func (s *Store) LastIndex() uint64 { return s.lastIndex }

// Err returns why the store is read-only, nil if it is not.
func (s *Store) Err() error { return s.broken }

// Stats returns counters since the store was opened.
func (s *Store) Stats() Stats { return s.stats }

// Close releases the folder. What was not synced is dropped.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.lock != nil {
		_ = s.lock.Close()
		s.lock = nil
	}
	if s.broken == nil {
		s.broken = &Error{Kind: ReadOnly, File: s.fs.Path(""), Offset: -1, Detail: "the store is closed"}
	}
	return err
}

// breakDown makes the store read-only.
func (s *Store) breakDown(name string, offset int64, err error) error {
	s.broken = &Error{Kind: ReadOnly, File: s.fs.Path(name), Offset: offset, Detail: "a write or sync failed", Err: err}
	return s.broken
}

func (s *Store) failed(name string, err error) error {
	return &Error{Kind: Failed, File: s.fs.Path(name), Offset: -1, Detail: "the file system refused an operation", Err: err}
}

func (s *Store) at(e *Error, name string, offset int64) error {
	e.File, e.Offset = s.fs.Path(name), offset
	return e
}
