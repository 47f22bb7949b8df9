package trace

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxRecordedBytes bounds a recorded trace; at 180 B a line it holds 370,000 requests, which Read accepts.
	maxRecordedBytes = 64 << 20
	// previousSuffix is added to the name of the file that an earlier process left.
	previousSuffix = ".previous"
	keyDigestBytes = 8
)

// Recorder writes the requests of one entry instance to a file of bounded size.
type Recorder struct {
	start time.Time
	salt  []byte // so that a key can't be found by trying guesses against its digest

	mu   sync.Mutex
	file *os.File // nil once recording has ended
	size int
	max  int
}

// NewRecorder creates the file. A file of that name is kept under the name with ".previous" appended.
func NewRecorder(path, name string) (*Recorder, error) {
	if err := os.Rename(path, path+previousSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("traceFile: %w: name a file in a folder that this process may write to", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("traceFile: %w: name a file in a folder that this process may write to", err)
	}
	r := &Recorder{start: time.Now(), salt: make([]byte, keyDigestBytes), file: file, max: maxRecordedBytes}
	_, _ = rand.Read(r.salt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(headerLine(&Header{Version: Version, Name: name}))
	return r, nil
}

// Record writes a request. Its time is set, and its key replaced by a digest.
func (r *Recorder) Record(request Request) {
	if request.Key != "" {
		// A key belongs to its organisation; two organisations may use the same one.
		sum := sha256.Sum256(fmt.Appendf(nil, "%s%q%s", r.salt, request.Organisation, request.Key))
		request.Key = hex.EncodeToString(sum[:keyDigestBytes])
	}
	if request.check() != nil {
		return // it would make the trace unreadable
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	request.AtMS = time.Since(r.start).Milliseconds()
	r.write(requestLine(&request))
}

// write writes a line, or ends the recording if the file is full or can't be written. The caller holds r.mu.
func (r *Recorder) write(line any) {
	if r.file == nil {
		return
	}
	data, err := json.Marshal(line)
	if err == nil && len(data) >= maxLineBytes {
		return
	}
	if err == nil && r.size+len(data)+1 > r.max {
		err = fmt.Errorf("the file has reached its bound of %d bytes", r.max)
	}
	if err == nil {
		var n int
		n, err = r.file.Write(append(data, '\n'))
		r.size += n
	}
	if err != nil {
		log.WithError(err).Warn("recording of the trace has ended")
		_ = r.file.Close()
		r.file = nil
	}
}

// Close ends the recording.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
		r.file = nil
	}
}
