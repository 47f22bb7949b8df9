// Package faultfs is a data folder in memory with fault injection: it crashes at a chosen operation and is then left in a
// state that a real disk could have, fails or shortens writes, fails syncs and flips bits.
package faultfs

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/internal/storage"
)

// Fault is the fault injected at the chosen operation.
type Fault uint8

// Faults. After Crash every operation fails until Restart.
const (
	None        Fault = iota
	Crash             // the operation takes effect in part and the process ends
	NoSpace           // a write stores half of its bytes and fails; later ones fail too
	ShortWrite        // a write stores half of its bytes and returns no error
	FailedSync        // a sync fails and drops the unsynced bytes, as on Linux
	NoDataSpace       // NoSpace for the bytes of files only: the folder can still change, as on most file systems
)

// ErrCrashed is returned by every operation between a crash and Restart.
var ErrCrashed = errors.New("faultfs: crashed")

// inode is the content of a file, as read and as synced.
type inode struct {
	data   []byte
	synced []byte
}

// FS is a data folder in memory.
type FS struct {
	mu          sync.Mutex
	rand        *rand.Rand
	files       map[string]*inode
	dirStates   []map[string]*inode // directory contents since the last SyncDir, oldest first
	operations  int
	faultAt     int
	fault       Fault
	lasting     bool // the fault repeats at each operation after faultAt
	diskFull    bool
	crashed     bool
	locked      bool
	incarnation int // incremented by Restart; handles of earlier incarnations are invalid

	// SyncDelay is how long a file sync takes.
	SyncDelay time.Duration
}

var _ storage.FS = (*FS)(nil)

// New returns an empty folder. r determines what remains of it after a crash.
func New(r *rand.Rand) *FS {
	return &FS{rand: r, files: map[string]*inode{}, dirStates: []map[string]*inode{{}}}
}

// FailAt injects a fault at the n-th modifying operation from now on (1 is the next).
func (f *FS) FailAt(n int, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operations, f.faultAt, f.fault, f.lasting = 0, n, fault, false
}

// FailFrom injects a fault at the n-th modifying operation from now on, and at each later one, until Repair.
func (f *FS) FailFrom(n int, fault Fault) {
	f.FailAt(n, fault)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lasting = true
}

// Repair ends the faults of FailFrom, and frees space after NoSpace.
func (f *FS) Repair() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.diskFull, f.fault, f.lasting = false, None, false
}

// Failing reports whether operations fail until Repair.
func (f *FS) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.diskFull || f.lasting && f.operations >= f.faultAt
}

// Operations returns the number of modifying operations since FailAt or New.
func (f *FS) Operations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.operations
}

// Crashed reports whether a crash was injected since the last Restart.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// FlipBit inverts one bit of a file, also in its synced content.
func (f *FS) FlipBit(name string, bit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	node.data = slices.Clone(node.data)
	node.data[bit/8] ^= 1 << (bit % 8)
	node.synced = slices.Clone(node.data)
}

// Write replaces a file and syncs it and the folder.
func (f *FS) Write(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = &inode{data: data, synced: data}
	f.dirStates = []map[string]*inode{maps.Clone(f.files)}
}

// Restart ends the process, if it still runs, and keeps the synced content and a random part of the rest.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files = f.folderAfterCrash()
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		node := f.files[name]
		node.data = f.contentAfterCrash(node)
		node.synced = node.data
	}
	f.dirStates = []map[string]*inode{maps.Clone(f.files)}
	f.crashed, f.locked, f.diskFull, f.fault, f.lasting = false, false, false, None, false
	f.incarnation++
}

// folderAfterCrash returns the folder after a crash: the changes since the last SyncDir are kept up to some point, or each name is kept or
// lost independently of the others.
func (f *FS) folderAfterCrash() map[string]*inode {
	if f.rand.IntN(2) == 0 {
		return maps.Clone(f.dirStates[f.rand.IntN(len(f.dirStates))])
	}
	all := map[string]bool{}
	for _, state := range f.dirStates {
		for name := range state {
			all[name] = true
		}
	}
	folder := map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if node, ok := f.dirStates[f.rand.IntN(len(f.dirStates))][name]; ok {
			folder[name] = node
		}
	}
	return folder
}

// sectorBytes is the unit that a disk writes atomically.
const sectorBytes = 512

// contentAfterCrash returns the content of a file after a crash: the synced part, followed by none, all, the beginning or
// single sectors of the unsynced part.
func (f *FS) contentAfterCrash(node *inode) []byte {
	kept := len(node.synced)
	if len(node.data) <= kept {
		if f.rand.IntN(2) == 0 {
			return node.data // an unsynced truncation took effect
		}
		return node.synced
	}
	switch f.rand.IntN(4) {
	case 0:
		return node.synced
	case 1:
		return node.data
	case 2:
		return slices.Clone(node.data[:kept+f.rand.IntN(len(node.data)-kept+1)])
	}
	data := slices.Clone(node.data)
	for at := kept; at < len(data); {
		end := min(len(data), (at/sectorBytes+1)*sectorBytes)
		if f.rand.IntN(2) == 0 {
			clear(data[at:end])
		}
		at = end
	}
	return data
}

// countOperation counts a modifying operation and returns the fault to inject, if any.
func (f *FS) countOperation() (Fault, error) {
	if f.crashed {
		return None, ErrCrashed
	}
	f.operations++
	if f.fault != None && (f.operations == f.faultAt || f.lasting && f.operations > f.faultAt) {
		fault := f.fault
		switch fault {
		case Crash:
			f.crashed = true
			return fault, ErrCrashed
		case NoSpace, NoDataSpace:
			f.diskFull = true
		}
		return fault, nil
	}
	return None, nil
}

// changeFolder executes an operation on the folder. A crash may happen before or after it.
func (f *FS) changeFolder(op func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, err := f.countOperation()
	if err != nil && (fault != Crash || f.rand.IntN(2) == 0) {
		return err
	}
	if f.diskFull && fault != Crash && f.fault != NoDataSpace {
		// On a real full disk, removing and renaming need no space, but creating does. Here all of them fail, to be strict.
		return syscall.ENOSPC
	}
	if e := op(); e != nil && err == nil {
		return e
	}
	f.dirStates = append(f.dirStates, maps.Clone(f.files))
	return err
}

// Path implements storage.FS.
func (f *FS) Path(name string) string { return "memory/" + name }

// Create implements storage.FS.
func (f *FS) Create(name string) (storage.File, error) {
	node := &inode{}
	err := f.changeFolder(func() error {
		f.files[name] = node
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &file{f, node, f.incarnation}, nil
}

// Append implements storage.FS.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	if node == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, node, f.incarnation}, nil
}

// ReadFile implements storage.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	switch {
	case f.crashed:
		return nil, ErrCrashed
	case node == nil:
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

// Truncate implements storage.FS.
func (f *FS) Truncate(name string, size int64) error {
	return f.changeFolder(func() error {
		node := f.files[name]
		if node == nil {
			return fs.ErrNotExist
		}
		node.data = slices.Clone(node.data[:size])
		return nil
	})
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	return f.changeFolder(func() error {
		node := f.files[from]
		if node == nil {
			return fs.ErrNotExist
		}
		delete(f.files, from)
		f.files[to] = node
		return nil
	})
}

// Remove implements storage.FS.
func (f *FS) Remove(name string) error {
	return f.changeFolder(func() error {
		if f.files[name] == nil {
			return fs.ErrNotExist
		}
		delete(f.files, name)
		return nil
	})
}

// List implements storage.FS.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.files)), nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, err := f.countOperation()
	switch {
	case err != nil:
		return err
	case fault == FailedSync:
		return syscall.EIO
	}
	f.dirStates = []map[string]*inode{maps.Clone(f.files)}
	return nil
}

// Lock implements storage.FS.
func (f *FS) Lock() (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	if f.locked {
		return nil, syscall.EWOULDBLOCK
	}
	f.locked = true
	return &lock{f, f.incarnation}, nil
}

type lock struct {
	fs          *FS
	incarnation int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.incarnation == l.fs.incarnation {
		l.fs.locked = false
	}
	return nil
}

type file struct {
	fs          *FS
	node        *inode
	incarnation int
}

// Write implements storage.File.
func (h *file) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.incarnation != h.fs.incarnation {
		return 0, ErrCrashed
	}
	fault, err := h.fs.countOperation()
	n := len(b)
	switch {
	case err != nil && fault != Crash:
		return 0, err
	case fault == Crash || fault == ShortWrite || fault == NoSpace || fault == NoDataSpace:
		n /= 2
	case h.fs.diskFull:
		n = 0
	}
	if h.fs.diskFull {
		err = syscall.ENOSPC
	}
	h.node.data = append(h.node.data, b[:n]...)
	return n, err
}

// Sync implements storage.File.
func (h *file) Sync() error {
	if h.fs.SyncDelay > 0 {
		time.Sleep(h.fs.SyncDelay)
	}
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.incarnation != h.fs.incarnation {
		return ErrCrashed
	}
	fault, err := h.fs.countOperation()
	switch {
	case err != nil:
		return err
	case fault == FailedSync:
		h.node.data = slices.Clone(h.node.synced)
		return syscall.EIO
	}
	h.node.synced = h.node.data[:len(h.node.data):len(h.node.data)]
	return nil
}

// Close implements storage.File.
func (h *file) Close() error { return nil }
