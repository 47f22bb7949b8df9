package account

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Files is the interface to the data folder. Tests replace it to inject faults.
type Files interface {
	// Append appends to the named file, creating it if needed.
	Append(name string, data []byte) error
	// Read returns the whole file, or an error that wraps fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Rename renames a file and replaces one that has the new name.
	Rename(from, to string) error
	// Close closes the open file, if any.
	Close() error
}

// Folder returns the files of a folder on disk and creates the folder if needed.
func Folder(path string) (Files, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, fmt.Errorf("cannot create the folder of the account, check dataFolder: %w", err)
	}
	return &folder{path: path}, nil
}

type folder struct {
	path string
	name string
	file *os.File
}

var _ Files = (*folder)(nil)

// Append implements Files.
func (f *folder) Append(name string, data []byte) error {
	if f.file == nil || f.name != name {
		if err := f.Close(); err != nil {
			return err
		}
		file, err := os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
		if err != nil {
			return err
		}
		f.file, f.name = file, name
	}
	_, err := f.file.Write(data)
	return err
}

// Read implements Files.
func (f *folder) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(f.path, name)) }

// Rename implements Files.
func (f *folder) Rename(from, to string) error {
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Close implements Files.
func (f *folder) Close() error {
	if f.file == nil {
		return nil
	}
	file := f.file
	f.file = nil
	return file.Close()
}

// rotatingFile appends to the current file and rotates it when it would exceed maxBytes. Entries are not synced to disk: the
// account explains decisions, but no guarantee depends on it.
type rotatingFile struct {
	files        Files
	maxBytes     int
	size         int
	lastLineTorn bool // the last line of the current file is incomplete, for example after a crash
}

// fileName returns the name of a file: age 0 is the current one, higher ages are older.
func fileName(age int) string {
	if age == 0 {
		return "account.jsonl"
	}
	return fmt.Sprintf("account.%d.jsonl", age)
}

// readAll returns the content of all files, oldest first.
func (r *rotatingFile) readAll() ([]byte, error) {
	var all []byte
	for age := maxFiles - 1; age >= 0; age-- {
		data, err := r.files.Read(fileName(age))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("cannot read the account, check the data folder: %w", err)
		}
		all = append(all, data...)
		if len(data) > 0 && data[len(data)-1] != '\n' {
			all = append(all, '\n')
		}
		if age == 0 {
			r.size = len(data)
			r.lastLineTorn = len(data) > 0 && data[len(data)-1] != '\n'
		}
	}
	return all, nil
}

func (r *rotatingFile) write(line []byte) error {
	if r.size > 0 && r.size+len(line) > r.maxBytes {
		for age := maxFiles - 1; age > 0; age-- {
			if err := r.files.Rename(fileName(age-1), fileName(age)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		r.size = 0
	}
	err := r.files.Append(fileName(0), line)
	if err == nil {
		r.size += len(line)
	}
	return err
}
