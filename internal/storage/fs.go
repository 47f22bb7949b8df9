// Package storage manages the data folder of one member: its identity, an append-only log in segments with a checksum for
// each record, and the newest snapshot. Everything written before Sync or SaveSnapshot returned without error survives a
// crash. After a failed write or sync the store is read-only until Resume, or until it is opened again, because the kernel
// may have dropped the pages that it could not write.
package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file open for appending.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is one data folder. Names are file names without a path. Changes to the folder itself (created, renamed and removed
// files) are durable only after SyncDir.
type FS interface {
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
	// Lock locks the folder exclusively until the result is closed. It fails if another process or store has locked it.
	Lock() (io.Closer, error)
	// Path returns the name of the file as shown in error messages.
	Path(name string) string
}

// lockName is the file on which the lock of the folder is taken.
const lockName = "LOCK"

// OS returns the folder at dir and creates it if it does not exist.
func OS(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return osFS(dir), nil
}

type osFS string

var _ FS = osFS("")

func (d osFS) Path(name string) string { return filepath.Join(string(d), name) }

func (d osFS) Create(name string) (File, error) {
	return os.OpenFile(d.Path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

func (d osFS) Append(name string) (File, error) {
	return os.OpenFile(d.Path(name), os.O_WRONLY|os.O_APPEND, 0)
}

func (d osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.Path(name)) }

func (d osFS) Truncate(name string, size int64) error { return os.Truncate(d.Path(name), size) }

func (d osFS) Rename(from, to string) error { return os.Rename(d.Path(from), d.Path(to)) }

func (d osFS) Remove(name string) error { return os.Remove(d.Path(name)) }

func (d osFS) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

func (d osFS) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock uses flock, which the kernel releases however the process ends.
func (d osFS) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.Path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
