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
	// maxRecordedBytes limits a recorded trace to about 370,000 requests of 180 B a line, fewer than the maxLines of Read.
	maxRecordedBytes = 64 << 20
	// previousSuffix is appended to the name of a file that a previous process has recorded.
	previousSuffix = ".previous"
	keyDigestBytes = 8
)

// Recorder records the requests of one entry instance in a file of limited size.
type Recorder struct {
	start time.Time
	salt  []byte // so that keys can't be guessed from their digests

	mu           sync.Mutex
	file         *os.File // nil once recording has stopped
	writtenBytes int
	maxBytes     int
}

// NewRecorder creates the file at path. An existing file is renamed, with ".previous" appended to its name.
func NewRecorder(path, name string) (*Recorder, error) {
	if err := os.Rename(path, path+previousSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("traceFile: %w: name a file in a folder that this process may write to", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("traceFile: %w: name a file in a folder that this process may write to", err)
	}
	r := &Recorder{start: time.Now(), salt: make([]byte, keyDigestBytes), file: file, maxBytes: maxRecordedBytes}
	_, _ = rand.Read(r.salt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(headerLine(&Header{Version: Version, Name: name}))
	return r, nil
}

// Record writes a request. It sets the time and replaces the key with a digest.
func (r *Recorder) Record(request Request) {
	if request.Key != "" {
		// Keys are scoped to an organisation; two organisations may use the same one.
		sum := sha256.Sum256(fmt.Appendf(nil, "%s%q%s", r.salt, request.Organisation, request.Key))
		request.Key = hex.EncodeToString(sum[:keyDigestBytes])
	}
	if request.check() != nil {
		return // Read would reject the whole trace
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	request.AtMS = time.Since(r.start).Milliseconds()
	r.write(requestLine(&request))
}

// write writes a line, unless it is longer than Read accepts. It stops the recording if the file would exceed its limit or
// a write fails. r.mu must be held.
func (r *Recorder) write(line any) {
	if r.file == nil {
		return
	}
	data, err := json.Marshal(line)
	if err == nil && len(data) >= maxLineBytes {
		return
	}
	if err == nil && r.writtenBytes+len(data)+1 > r.maxBytes {
		err = fmt.Errorf("the file has reached its limit of %d bytes", r.maxBytes)
	}
	if err == nil {
		var n int
		n, err = r.file.Write(append(data, '\n'))
		r.writtenBytes += n
	}
	if err != nil {
		log.WithError(err).Warn("recording of the trace stopped")
		_ = r.file.Close()
		r.file = nil
	}
}

// Close stops the recording.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_ = r.file.Close()
		r.file = nil
	}
}
