package account

import (
	"context"
	"sync/atomic"
	"time"
)

// Recorder accepts entries. Record never waits for a disk.
type Recorder interface {
	Record(entry Entry)
}

// maxQueuedEntries bounds the entries that wait for the journal. While a disk hangs, the first thousands of decisions fill
// the queue; further entries are dropped and counted.
const maxQueuedEntries = 4096

// Queue passes entries to a journal on a separate goroutine, so that a slow disk delays no decision. A nil queue drops all
// entries.
type Queue struct {
	journal            *Journal
	entries            chan Entry
	dropped            atomic.Int64
	counter            eventCounter
	openAtStart        map[condition]bool // conditions that were open when the queue was created
	lastSubjectAtStart map[Kind]string    // subject of the newest entry of each kind when the queue was created
}

var _ Recorder = (*Queue)(nil)

// NewQueue returns a queue to a journal. Entries reach the journal only while Run is active, or at a Flush.
func NewQueue(j *Journal) *Queue {
	q := &Queue{journal: j, entries: make(chan Entry, maxQueuedEntries), openAtStart: make(map[condition]bool),
		lastSubjectAtStart: make(map[Kind]string)}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for c := range j.openConditions {
		q.openAtStart[c] = true
	}
	for i := range j.entries {
		q.lastSubjectAtStart[j.entries[i].Kind] = j.entries[i].Subject
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

// Count adds one occurrence of a frequent event. All occurrences within repeatInterval become one entry.
func (q *Queue) Count(now time.Time, kind Kind, subject, reason string) {
	if q == nil {
		return
	}
	for _, entry := range q.counter.add(now, repeatKey{kind, subject, reason}) {
		q.Record(entry)
	}
}

// WasOpen reports whether a condition was open when the queue was created, according to the files of earlier incarnations.
func (q *Queue) WasOpen(kind Kind, subject string) bool {
	return q != nil && q.openAtStart[condition{kind, subject}]
}

// LastSubject returns the subject that the newest entry of a kind had when the queue was created, empty if there was none.
func (q *Queue) LastSubject(kind Kind) string {
	if q == nil {
		return ""
	}
	return q.lastSubjectAtStart[kind]
}

// Run passes entries to the journal until the context ends, then closes the journal.
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
			_ = q.journal.Close(now) // the journal has an entry for a failed write already
			return
		}
	}
}

// Flush passes all counted and queued entries to the journal.
func (q *Queue) Flush(now time.Time) {
	for _, entry := range q.counter.flush() {
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

// Report returns the account page, including all entries recorded before the call.
func (q *Queue) Report(since, now time.Time) string {
	q.Flush(now)
	return q.journal.Report(since, now)
}

// Entries returns the entries at or after since, including all entries recorded before the call.
func (q *Queue) Entries(since, now time.Time) []Entry {
	q.Flush(now)
	return q.journal.Entries(since)
}
