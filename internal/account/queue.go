package account

import (
	"context"
	"sync/atomic"
	"time"
)

// Recorder takes entries. Record does not wait for a disk.
type Recorder interface {
	Record(entry Entry)
}

// maxQueued bounds the entries that wait for the journal. A hung disk fills the queue within the first thousands of
// decisions; later ones are dropped and counted.
const maxQueued = 4096

// Queue hands entries to a journal on a goroutine of its own, so that a slow disk holds up no decision. A nil queue
// drops all entries.
type Queue struct {
	journal *Journal
	entries chan Entry
	dropped atomic.Int64
	tally   tally
	open    map[condition]bool // conditions that were open when the queue was created
	last    map[Kind]string    // subject of the newest entry of each kind when the queue was created
}

var _ Recorder = (*Queue)(nil)

// NewQueue returns a queue to a journal. Run must be called for entries to reach it.
func NewQueue(j *Journal) *Queue {
	q := &Queue{journal: j, entries: make(chan Entry, maxQueued), open: make(map[condition]bool), last: make(map[Kind]string)}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for c := range j.open {
		q.open[c] = true
	}
	for i := range j.entries {
		q.last[j.entries[i].Kind] = j.entries[i].Subject
	}
	return q
}

// Record implements Recorder.
func (q *Queue) Record(entry Entry) {
	if q == nil {
		return
	}
	select {
	case q.entries <- entry:
	default:
		q.dropped.Add(1)
	}
}

// Count adds one occurrence of a frequent event. All occurrences within a minute become one entry.
func (q *Queue) Count(now time.Time, kind Kind, subject, reason string) {
	if q == nil {
		return
	}
	for _, entry := range q.tally.add(now, repeat{kind, subject, reason}) {
		q.Record(entry)
	}
}

// WasOpen reports whether a condition was open at the start, from what an earlier process wrote to the files.
func (q *Queue) WasOpen(kind Kind, subject string) bool {
	return q != nil && q.open[condition{kind, subject}]
}

// LastSubject returns the subject of the newest entry of a kind at the start, empty if there was none.
func (q *Queue) LastSubject(kind Kind) string {
	if q == nil {
		return ""
	}
	return q.last[kind]
}

// Run writes to the journal until the context ends, and closes it.
func (q *Queue) Run(ctx context.Context) {
	flush := time.NewTicker(repeatInterval)
	defer flush.Stop()
	for {
		select {
		case entry := <-q.entries:
			q.journal.Record(entry)
		case now := <-flush.C:
			q.Flush(now)
		case <-ctx.Done():
			now := time.Now()
			q.Flush(now)
			_ = q.journal.Close(now) // a failed write is in the journal already
			return
		}
	}
}

// Flush moves everything that waits to the journal.
func (q *Queue) Flush(now time.Time) {
	for _, entry := range q.tally.end() {
		q.journal.Record(entry)
	}
	for {
		select {
		case entry := <-q.entries:
			q.journal.Record(entry)
			continue
		default:
		}
		break
	}
	if dropped := q.dropped.Swap(0); dropped > 0 {
		q.journal.Record(Entry{Time: now, Kind: EntriesDropped, Subject: q.journal.name, Count: int(dropped)})
	}
	q.journal.Flush(now.Add(-repeatInterval))
}

// Report returns the page of the journal with everything that was recorded before the call.
func (q *Queue) Report(since, now time.Time) string {
	q.Flush(now)
	return q.journal.Report(since, now)
}

// Entries returns the entries from a time on, with everything that was recorded before the call.
func (q *Queue) Entries(since, now time.Time) []Entry {
	q.Flush(now)
	return q.journal.Entries(since)
}
