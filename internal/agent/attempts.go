package agent

import (
	"container/list"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Bounds of the attempt table.
const (
	// recordRetention is as long as the agreed state keeps a key record, so that a key that is still known never meets
	// an agent that has forgotten its attempt.
	recordRetention = 24 * time.Hour
	// barRetention covers an open message that is still under way when its attempt is barred: sessions are given up
	// after seconds.
	barRetention = 10 * time.Minute
	// maxRecords bounds the memory of records without answers to about 40 MB.
	maxRecords = 200_000
)

// attempt is what the agent knows of one attempt.
type attempt struct {
	id       string
	keyed    bool
	outcome  protocol.Outcome
	barred   bool
	answer   answer
	ended    time.Time
	position *list.Element // in answers while the answer is kept
}

// answer is what the backend server answered.
type answer struct {
	status  int
	headers []protocol.Header
	body    []byte
	kept    bool // body holds the whole answer
}

// attemptTable makes sure that an attempt runs at most once in this boot, and keeps recent answers to keyed requests
// within a byte bound.
type attemptTable struct {
	mu        sync.Mutex
	byID      map[string]*attempt
	finished  *list.List // of *attempt, oldest end first
	answers   *list.List // of *attempt that hold an answer, oldest first
	bytes     int
	maxBytes  int
	keepFor   time.Duration
	maxCount  int
	forgotten bool // a record of a keyed attempt was evicted before its retention ended
}

func newAttemptTable(maxBytes int, keepFor time.Duration) *attemptTable {
	return &attemptTable{
		byID:     make(map[string]*attempt),
		finished: list.New(),
		answers:  list.New(),
		maxBytes: maxBytes,
		keepFor:  keepFor,
		maxCount: maxRecords,
	}
}

// begin registers an attempt as running. It returns false, and what is known, if the attempt was seen or barred before.
func (t *attemptTable) begin(id string, keyed bool, now time.Time) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	if known, ok := t.byID[id]; ok {
		return known, false
	}
	a := &attempt{id: id, keyed: keyed, outcome: protocol.OutcomeRunning}
	t.byID[id] = a
	return a, true
}

// finish records the end of an attempt. Attempts of idempotent requests and refused ones leave no record, except that a
// refused keyed attempt stays known as not run.
func (t *attemptTable) finish(a *attempt, outcome protocol.Outcome, got answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcome = outcome
	a.ended = now
	if !a.keyed {
		delete(t.byID, a.id)
		return
	}
	t.finished.PushBack(a)
	a.answer.status = got.status
	if got.kept && outcome == protocol.OutcomeDone {
		a.answer = got
		a.position = t.answers.PushBack(a)
		t.bytes += len(got.body)
	}
	t.evict(now)
}

// inquire returns what became of an attempt. An attempt without a record is barred from running later and reported as
// not run, unless records have been evicted early: then nothing is proved.
func (t *attemptTable) inquire(id string, withAnswer bool, now time.Time) protocol.Inquiry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	a, ok := t.byID[id]
	if !ok {
		outcome := protocol.OutcomeNotRun
		if t.forgotten {
			outcome = protocol.OutcomeUnknown
		}
		a = &attempt{id: id, keyed: true, barred: true, outcome: outcome, ended: now}
		t.byID[id] = a
		t.finished.PushBack(a)
	}
	result := protocol.Inquiry{Attempt: id, Outcome: a.outcome, Status: a.answer.status}
	if withAnswer && a.answer.kept {
		result.Headers, result.Body, result.Kept = a.answer.headers, a.answer.body, true
	}
	return result
}

// evict drops answers beyond the byte bound or older than keepFor, and records beyond their retention or count.
func (t *attemptTable) evict(now time.Time) {
	for e := t.answers.Front(); e != nil; e = t.answers.Front() {
		a := e.Value.(*attempt)
		if t.bytes <= t.maxBytes && now.Sub(a.ended) < t.keepFor {
			break
		}
		t.dropAnswer(a)
	}
	for e := t.finished.Front(); e != nil; e = t.finished.Front() {
		a := e.Value.(*attempt)
		retention := recordRetention
		if a.barred {
			retention = barRetention
		}
		expired := now.Sub(a.ended) >= retention
		if !expired && t.finished.Len() <= t.maxCount {
			break
		}
		if !expired {
			t.forgotten = true
		}
		if a.answer.kept {
			t.dropAnswer(a)
		}
		t.finished.Remove(e)
		delete(t.byID, a.id)
	}
}

// dropAnswer forgets a kept answer but not the outcome.
func (t *attemptTable) dropAnswer(a *attempt) {
	t.bytes -= len(a.answer.body)
	t.answers.Remove(a.position)
	a.answer = answer{status: a.answer.status}
	a.position = nil
}

// running returns the number of attempts that have not ended.
func (t *attemptTable) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID) - t.finished.Len()
}
