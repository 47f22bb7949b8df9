package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// DefaultRecordEntries is the number of entries that a Record keeps.
const DefaultRecordEntries = 1 << 16

// End is the state of a recorded request: running, or how it ended.
type End string

// Values of End.
const (
	EndRunning  End = "running"
	EndFinished End = "finished"
	EndAborted  End = "cut"     // the caller disconnected or the connection was aborted while it ran
	EndFailed   End = "failed"  // the server crashed while it ran
	EndRefused  End = "refused" // it did not run
)

// Entry is one request that a stand-in received.
type Entry struct {
	Sequence   uint64    `json:"sequence"`
	Attempt    string    `json:"attempt,omitempty"` // header X-Attempt
	Key        string    `json:"key,omitempty"`     // header Idempotency-Key
	Method     string    `json:"method"`
	Path       string    `json:"path"`
	Digest     string    `json:"digest"` // of the body
	Started    time.Time `json:"begun"`
	Ended      time.Time `json:"ended"`
	Status     int       `json:"status"`
	End        End       `json:"end"`
	ResumeFrom int       `json:"resumeFrom,omitempty"`
	Tokens     int       `json:"tokens,omitempty"` // tokens sent, for engines
	Order      string    `json:"order,omitempty"`  // ID of the created order, for plain services
}

// Record is a log of the most recent requests that a stand-in received.
type Record struct {
	mu      sync.Mutex
	limit   int
	entries []Entry // a ring buffer once it is full
	count   uint64  // requests ever recorded
}

// NewRecord returns a Record that keeps the given number of entries, DefaultRecordEntries if it is not positive.
func NewRecord(limit int) *Record {
	if limit <= 0 {
		limit = DefaultRecordEntries
	}
	return &Record{limit: limit}
}

// begin records a new request and returns its sequence number.
func (r *Record) begin(req *http.Request, digest string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Entry{
		Sequence: r.count,
		Attempt:  req.Header.Get("X-Attempt"),
		Key:      req.Header.Get("Idempotency-Key"),
		Method:   req.Method,
		Path:     req.URL.RequestURI(),
		Digest:   digest,
		Started:  time.Now(),
		End:      EndRunning,
	}
	r.count++
	if len(r.entries) < r.limit {
		r.entries = append(r.entries, e)
	} else {
		r.entries[e.Sequence%uint64(r.limit)] = e
	}
	return e.Sequence
}

// update changes an entry if it is still kept.
func (r *Record) update(sequence uint64, f func(*Entry)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := &r.entries[sequence%uint64(r.limit)]; e.Sequence == sequence {
		f(e)
	}
}

// end records how a request ended.
func (r *Record) end(sequence uint64, status int, end End, tokens int) {
	r.update(sequence, func(e *Entry) {
		e.Ended, e.Status, e.End, e.Tokens = time.Now(), status, end, tokens
	})
}

// Entries returns the kept entries, the oldest first.
func (r *Record) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < r.limit {
		return append([]Entry(nil), r.entries...)
	}
	oldest := int(r.count % uint64(r.limit))
	return append(append([]Entry(nil), r.entries[oldest:]...), r.entries[:oldest]...)
}

// Count returns the number of requests ever recorded.
func (r *Record) Count() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// ServeHTTP writes the record as JSON.
func (r *Record) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Count   uint64  `json:"count"`
		Entries []Entry `json:"entries"`
	}{r.Count(), r.Entries()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes an error in the form of the completions protocol.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}
