// Package faultfs is a data folder in memory that fails on demand: it crashes at a chosen operation and then holds what
// a disk could hold, fails or shortens writes, fails syncs and flips bits. Tests of storage and replica use it.
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

// Fault is what happens at the chosen operation.
type Fault uint8

// Faults. After Crash every operation fails until Restart.
const (
	None       Fault = iota
	Crash            // the operation is carried out in part and the process ends
	NoSpace          // a write stores half of its bytes and fails; later ones fail too
	ShortWrite       // a write stores half of its bytes and returns no error
	FailedSync       // a sync fails and the unsynced bytes are dropped, as Linux does
)

// ErrCrashed is returned by every operation between a crash and Restart.
var ErrCrashed = errors.New("faultfs: crashed")

type inode struct {
	data   []byte
	synced []byte
}

// FS is a folder in memory.
type FS struct {
	mu      sync.Mutex
	rand    *rand.Rand
	files   map[string]*inode
	history []map[string]*inode // folder states since the last SyncDir, oldest first
	ops     int
	at      int
	fault   Fault
	full    bool
	crashed bool
	locked  bool
	life    int // handles of an earlier life are dead

	// SyncDelay is how long a file sync takes.
	SyncDelay time.Duration
}

var _ storage.FS = (*FS)(nil)

// New returns an empty folder. The random source decides what a crash leaves behind.
func New(r *rand.Rand) *FS {
	return &FS{rand: r, files: map[string]*inode{}, history: []map[string]*inode{{}}}
}

// FailAt makes the n-th changing operation from now on (1 is the next) fail.
func (f *FS) FailAt(n int, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops, f.at, f.fault = 0, n, fault
}

// Operations returns the number of changing operations since FailAt or New.
func (f *FS) Operations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// Crashed reports whether the process that uses the folder has ended.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// FlipBit damages one bit of a file, synced or not.
func (f *FS) FlipBit(name string, bit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	node.data = slices.Clone(node.data)
	node.data[bit/8] ^= 1 << (bit % 8)
	node.synced = slices.Clone(node.data)
}

// Write replaces a file and syncs it.
func (f *FS) Write(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = &inode{data: data, synced: data}
	f.history = []map[string]*inode{maps.Clone(f.files)}
}

// Restart ends the process, if it still runs, and leaves on disk what was synced and any part of the rest.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files = maps.Clone(f.history[f.rand.IntN(len(f.history))])
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		node := f.files[name]
		node.data = f.survive(node)
		node.synced = node.data
	}
	f.history = []map[string]*inode{maps.Clone(f.files)}
	f.crashed, f.locked, f.full, f.fault = false, false, false, None
	f.life++
}

// sectorBytes is the unit that a disk writes as a whole.
const sectorBytes = 512

// survive returns what a crash leaves of a file: the synced part, followed by nothing, all, a part, or single sectors
// of what was written after it.
func (f *FS) survive(node *inode) []byte {
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

// step counts a changing operation and returns the fault that is due.
func (f *FS) step() (Fault, error) {
	if f.crashed {
		return None, ErrCrashed
	}
	f.ops++
	if f.fault != None && f.ops == f.at {
		fault := f.fault
		switch fault {
		case Crash:
			f.crashed = true
			return fault, ErrCrashed
		case NoSpace:
			f.full = true
		}
		return fault, nil
	}
	return None, nil
}

// change carries out an operation on the folder. A crash may come before or after it.
func (f *FS) change(op func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, err := f.step()
	if err != nil && (fault != Crash || f.rand.IntN(2) == 0) {
		return err
	}
	if f.full && fault != Crash {
		// Removing and renaming need no space on a full disk; creating does. Treated alike to be strict.
		return syscall.ENOSPC
	}
	if e := op(); e != nil && err == nil {
		return e
	}
	f.history = append(f.history, maps.Clone(f.files))
	return err
}

// Path implements storage.FS.
func (f *FS) Path(name string) string { return "memory/" + name }

// Create implements storage.FS.
func (f *FS) Create(name string) (storage.File, error) {
	node := &inode{}
	err := f.change(func() error {
		f.files[name] = node
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &file{f, node, f.life}, nil
}

// Append implements storage.FS.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.files[name]
	if node == nil {
		return nil, fs.ErrNotExist
	}
	return &file{f, node, f.life}, nil
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
	return f.change(func() error {
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
	return f.change(func() error {
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
	return f.change(func() error {
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
	fault, err := f.step()
	switch {
	case err != nil:
		return err
	case fault == FailedSync:
		return syscall.EIO
	}
	f.history = []map[string]*inode{maps.Clone(f.files)}
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
	return &lock{f, f.life}, nil
}

type lock struct {
	fs   *FS
	life int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.life == l.fs.life {
		l.fs.locked = false
	}
	return nil
}

type file struct {
	fs   *FS
	node *inode
	life int
}

// Write implements storage.File.
func (h *file) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.life != h.fs.life {
		return 0, ErrCrashed
	}
	fault, err := h.fs.step()
	n := len(b)
	switch {
	case err != nil && fault != Crash:
		return 0, err
	case fault == Crash || fault == ShortWrite || fault == NoSpace:
		n /= 2
	case h.fs.full:
		n = 0
	}
	if h.fs.full {
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
	if h.life != h.fs.life {
		return ErrCrashed
	}
	fault, err := h.fs.step()
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
