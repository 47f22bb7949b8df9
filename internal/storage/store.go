package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
)

// DefaultSegmentBytes is the size at which a new segment is started. Compaction removes whole segments.
const DefaultSegmentBytes = 8 << 20

// Options are the parameters of a store. Zero values select the defaults.
type Options struct {
	SegmentBytes int64
}

// Stats counts the operations of a store since it was opened.
type Stats struct {
	Syncs   uint64 // syncs of the log
	Bytes   uint64 // bytes written to the log
	Records uint64 // records added to the log, synced or not
}

// Store is an open data folder. It is not safe for concurrent use, except WriteSnapshot: its owner buffers records with
// Append and SetState and syncs them to disk together with one Sync (group commit).
type Store struct {
	fs                  FS
	options             Options
	lock                io.Closer
	file                File
	segments            []segment
	snapshotIndexes     []uint64
	buffer              []byte
	lastState           []byte // last state record, repeated at the start of each segment
	lastSegmentHasState bool   // while reading: the last segment has a state record
	syncedBytes         int64  // synced size of the last segment
	syncedState         []byte // lastState as of the last sync
	lastIndex           uint64
	syncedIndex         uint64 // lastIndex as of the last sync
	failure             error
	stats               Stats
}

// Create initialises an empty folder. The identity is written last, so that a folder whose creation was interrupted is
// initialised again.
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

// Clear removes everything from a folder, except for files beside the log. A folder whose clearing was interrupted has its contents
// still, or no identity.
func Clear(fsys FS) error {
	names, err := fsys.List()
	if err != nil {
		return err
	}
	for _, name := range append([]string{identityName}, names...) {
		if strings.HasPrefix(name, filePrefix) {
			continue
		}
		if err := fsys.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if name != identityName {
			continue
		}
		if err := fsys.SyncDir(); err != nil { // without it, a loss of power could keep the identity and lose a part of the log
			return err
		}
	}
	return nil
}

// Open locks and reads the folder. A torn end of the log is truncated; damage to synced data is an error of kind Corrupt.
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
		err = s.openForAppend(c)
	}
	if err != nil {
		_ = s.Close()
		return nil, nil, err
	}
	return s, c, nil
}

// openForAppend opens the last segment for appending. The data read may be in the page cache only, so it is synced
// before it is used.
func (s *Store) openForAppend(c *Contents) error {
	s.lastState = c.State
	s.lastIndex = c.SnapshotIndex
	if n := len(c.Records); n > 0 {
		s.lastIndex = c.Records[n-1].Index
	}
	last := s.segments[len(s.segments)-1]
	name := segmentName(last.sequence)
	file, err := s.fs.Append(name)
	if err != nil {
		return s.openError(name, err)
	}
	s.file = file
	if err := file.Sync(); err != nil {
		return s.openError(name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return s.openError(name, err)
	}
	s.syncedBytes, s.syncedState, s.syncedIndex = last.size, s.lastState, s.lastIndex
	if last.version < FormatVersion {
		return s.startSegment()
	}
	if s.lastState != nil && !s.lastSegmentHasState {
		// A crash truncated the state record at the start of the segment, and the older segments that contain it may be
		// removed by compaction.
		s.bufferRecord(recordState, 0, s.lastState)
		return s.Sync()
	}
	return nil
}

// Append adds log entries, which are durable after Sync. An entry replaces all entries from its index on.
func (s *Store) Append(records ...Record) error {
	for _, r := range records {
		if len(r.Data) > MaxRecordBytes {
			return &Error{Kind: TooLarge, File: s.fs.Path(""), Offset: -1,
				Detail: fmt.Sprintf("entry %d has %d bytes, at most %d are allowed", r.Index, len(r.Data), MaxRecordBytes)}
		}
	}
	for _, r := range records {
		s.bufferRecord(recordEntry, r.Index, r.Data)
		s.lastIndex = r.Index
	}
	return s.failure
}

// SetState replaces the state record, which is durable after Sync.
func (s *Store) SetState(data []byte) error {
	s.lastState = data
	s.bufferRecord(recordState, 0, data)
	return s.failure
}

// Reset drops all entries, because a snapshot at index replaces them. The reset is durable after Sync.
func (s *Store) Reset(index uint64) error {
	s.bufferRecord(recordReset, index, nil)
	s.lastIndex = index
	return s.failure
}

// bufferRecord adds a record to the buffer that the next Sync writes.
func (s *Store) bufferRecord(kind recordKind, index uint64, data []byte) {
	seg := &s.segments[len(s.segments)-1]
	s.buffer = appendRecord(s.buffer, seg.sequence, s.syncedBytes+int64(len(s.buffer)), s.syncedBytes, kind, index, data)
	seg.maxIndex = max(seg.maxIndex, index)
	s.stats.Records++
}

// Sync writes the buffered records and syncs them to disk.
func (s *Store) Sync() error {
	if s.failure != nil || len(s.buffer) == 0 {
		return s.failure
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
		return s.makeReadOnly(name, seg.size, err)
	}
	s.stats.Syncs++
	s.stats.Bytes += uint64(len(s.buffer))
	seg.size += int64(len(s.buffer))
	s.syncedBytes, s.syncedState, s.syncedIndex = seg.size, s.lastState, s.lastIndex
	// The buffer is reused unless a large batch made it grow beyond 1 MiB.
	if s.buffer = s.buffer[:0]; cap(s.buffer) > 1<<20 {
		s.buffer = nil
	}
	if seg.size >= s.options.SegmentBytes {
		if err := s.startSegment(); err != nil {
			return s.makeReadOnly(name, seg.size, err)
		}
	}
	return nil
}

// startSegment starts a new segment with the current state record, so that older segments can be removed without losing
// it.
func (s *Store) startSegment() error {
	previous := s.segments[len(s.segments)-1]
	next := segment{sequence: previous.sequence + 1, version: FormatVersion}
	b := encodeSegmentHeader(next.sequence, uint64(previous.size))
	if s.lastState != nil {
		b = appendRecord(b, next.sequence, int64(len(b)), 0, recordState, 0, s.lastState)
	}
	name := segmentName(next.sequence)
	file, err := s.fs.Create(name)
	if err != nil {
		return s.openError(name, err)
	}
	if err := writeSynced(s.fs, file, b); err != nil {
		_ = file.Close()
		return s.openError(name, err)
	}
	_ = s.file.Close()
	next.size = int64(len(b))
	s.file, s.syncedBytes = file, next.size
	s.segments = append(s.segments, next)
	return nil
}

// Compact removes the segments that contain only entries before keepFrom.
func (s *Store) Compact(keepFrom uint64) error {
	if s.failure != nil {
		return s.failure
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex < keepFrom {
		name := segmentName(s.segments[0].sequence)
		err := s.remove(name)
		if err == nil {
			// Of two removals that are not durable, the first one alone may be undone by a loss of power, which leaves a gap.
			err = s.fs.SyncDir()
		}
		if err != nil {
			return s.makeReadOnly(name, -1, err)
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// WriteSnapshot writes a snapshot file, which is durable on return. It may run concurrently with the other methods. Its
// error, also nil, must be passed to AdoptSnapshot.
func (s *Store) WriteSnapshot(index uint64, data []byte) error {
	name := snapshotName(index)
	if len(data) > MaxSnapshotBytes {
		return &Error{Kind: TooLarge, File: s.fs.Path(name), Offset: -1,
			Detail: fmt.Sprintf("the snapshot has %d bytes, at most %d are allowed", len(data), MaxSnapshotBytes)}
	}
	return writeFile(s.fs, name, encodeBlob(magicSnapshot, index, data))
}

// AdoptSnapshot registers a written snapshot and removes all but the newest. err is the result of WriteSnapshot: a failed
// write makes the store read-only.
func (s *Store) AdoptSnapshot(index uint64, err error) error {
	switch {
	case s.failure != nil:
		return s.failure
	case KindOf(err) == TooLarge:
		return err
	case err != nil:
		return s.makeReadOnly(snapshotName(index), -1, err)
	}
	s.snapshotIndexes = append(s.snapshotIndexes, index)
	newest := slices.Max(s.snapshotIndexes)
	for _, old := range s.snapshotIndexes {
		if old == newest {
			continue
		}
		if err := s.remove(snapshotName(old)); err != nil {
			return s.makeReadOnly(snapshotName(old), -1, err)
		}
	}
	s.snapshotIndexes = []uint64{newest}
	s.lastIndex = max(s.lastIndex, index)
	s.syncedIndex = max(s.syncedIndex, index)
	return nil
}

// SaveSnapshot writes and adopts a snapshot.
func (s *Store) SaveSnapshot(index uint64, data []byte) error {
	if s.failure != nil {
		return s.failure
	}
	return s.AdoptSnapshot(index, s.WriteSnapshot(index, data))
}

// WriteFile replaces a file beside the log, such as what its owner knows but does not agree on with others. It is durable on return,
// and may run concurrently with the methods of a Store.
func WriteFile(fsys FS, name string, data []byte) error {
	return writeFile(fsys, filePrefix+name, encodeBlob(magicFile, 0, data))
}

// IsBesideLog reports whether a file of a data folder was written by WriteFile.
func IsBesideLog(name string) bool { return strings.HasPrefix(name, filePrefix) }

// ReadFile returns the data of a file that WriteFile has written, and an error that is os.ErrNotExist if there is none.
func ReadFile(fsys FS, name string) ([]byte, error) {
	b, err := fsys.ReadFile(filePrefix + name)
	if err != nil {
		return nil, err
	}
	data, damage := decodeBlob(b, magicFile, 0)
	if damage != nil {
		damage.File, damage.Offset = fsys.Path(filePrefix+name), -1
		return nil, damage
	}
	return data, nil
}

// writeFile writes a file under a temporary name, syncs it, renames it and syncs the folder.
func writeFile(fsys FS, name string, data []byte) error {
	file, err := fsys.Create(temporaryPrefix + name)
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
	if err := fsys.Rename(temporaryPrefix+name, name); err != nil {
		return err
	}
	return fsys.SyncDir()
}

// writeSynced writes data to a file and syncs it, and the folder as well if fsys is not nil.
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

// Err returns the error that made the store read-only, nil if there was none.
func (s *Store) Err() error { return s.failure }

// Stats returns counters since the store was opened.
func (s *Store) Stats() Stats { return s.stats }

// Resume makes the store writable again after a failed write or sync, once the disk accepts writes. It returns an error
// while the disk does not. Everything buffered since the last successful Sync is discarded, because the kernel may hold
// pages of it that never reach the disk; the owner repeats what it still needs.
func (s *Store) Resume() error {
	if s.failure == nil || s.lock == nil { // in use, or closed
		return s.failure
	}
	last := &s.segments[len(s.segments)-1]
	name, next := segmentName(last.sequence), segmentName(last.sequence+1)
	if err := s.remove(next); err != nil { // a segment that could not be started
		return s.openError(next, err)
	}
	if err := s.fs.Truncate(name, last.size); err != nil {
		return s.openError(name, err)
	}
	file, err := s.fs.Append(name)
	if err != nil {
		return s.openError(name, err)
	}
	_ = s.file.Close()
	s.file = file
	// Both changes must be durable before the segment grows again: a restart would refuse a next segment that records
	// another size of this one, and could mix discarded records with new ones.
	if err := file.Sync(); err != nil {
		return s.openError(name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return s.openError(name, err)
	}
	names, err := s.fs.List()
	if err != nil {
		return s.openError("", err)
	}
	s.snapshotIndexes = fileNumbers(names, snapshotPrefix)
	s.buffer, s.lastState, s.lastIndex = nil, s.syncedState, s.syncedIndex
	s.failure = nil
	return nil
}

// remove removes a file, if it exists.
func (s *Store) remove(name string) error {
	if err := s.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// Close closes and unlocks the folder. Records that were not synced are dropped.
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
	if s.failure == nil {
		s.failure = &Error{Kind: ReadOnly, File: s.fs.Path(""), Offset: -1, Detail: "the store is closed"}
	}
	return err
}

// makeReadOnly makes the store read-only because of err and returns the error of all later calls.
func (s *Store) makeReadOnly(name string, offset int64, err error) error {
	s.failure = &Error{Kind: ReadOnly, File: s.fs.Path(name), Offset: offset, Detail: "a write or sync failed", Err: err}
	return s.failure
}

// openError returns the error of an operation that failed while the store was opened or a segment was started.
func (s *Store) openError(name string, err error) error {
	return &Error{Kind: Failed, File: s.fs.Path(name), Offset: -1, Detail: "the file system refused an operation", Err: err}
}

// withPosition sets the file and offset of e.
func (s *Store) withPosition(e *Error, name string, offset int64) error {
	e.File, e.Offset = s.fs.Path(name), offset
	return e
}
