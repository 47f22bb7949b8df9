package agent

import (
	"container/list"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Bounds of the attempt table.
const (
	// recordRetention equals the retention of key records in the agreed state, so that while a key record exists, the
	// agent has not evicted the record of its attempt.
	recordRetention = 24 * time.Hour
	// barRetention covers an Open message that is still in flight when its attempt is barred: dead sessions are closed
	// within seconds.
	barRetention = 10 * time.Minute
	// maxRecords bounds the memory of records without answers to about 40 MB.
	maxRecords = 200_000
)

// attemptRecord is the state of one attempt, running or ended.
type attemptRecord struct {
	id            string
	keyed         bool
	outcome       protocol.Outcome
	barred        bool // inquired about before it arrived, so it must not run
	answer        answer
	ended         time.Time
	answerElement *list.Element // in attemptTable.answers, while the answer is kept
}

// answer is the backend server's response.
type answer struct {
	status  int
	headers []protocol.Header
	body    []byte
	kept    bool // body is the complete answer
}

// attemptTable ensures that an attempt runs at most once in this incarnation, and keeps recent answers to keyed requests
// within a byte limit.
type attemptTable struct {
	mu              sync.Mutex
	byID            map[string]*attemptRecord
	finished        *list.List // of *attemptRecord, in the order of their ends
	answers         *list.List // of *attemptRecord with a kept answer, oldest first
	answerBytes     int
	maxAnswerBytes  int
	answerRetention time.Duration
	maxFinished     int
	evictedEarly    bool // a record of a keyed attempt was evicted before its retention ended
}

func newAttemptTable(maxAnswerBytes int, answerRetention time.Duration) *attemptTable {
	return &attemptTable{
		byID:            make(map[string]*attemptRecord),
		finished:        list.New(),
		answers:         list.New(),
		maxAnswerBytes:  maxAnswerBytes,
		answerRetention: answerRetention,
		maxFinished:     maxRecords,
	}
}

// begin registers an attempt as running. If the attempt was received or barred before, it returns the existing record and
// false.
func (t *attemptTable) begin(id string, keyed bool, now time.Time) (*attemptRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	if existing, ok := t.byID[id]; ok {
		return existing, false
	}
	a := &attemptRecord{id: id, keyed: keyed, outcome: protocol.OutcomeRunning}
	t.byID[id] = a
	return a, true
}

// finish records the end of an attempt. Records of keyed attempts are kept, also of refused ones, which did not
// run; the others are deleted.
func (t *attemptTable) finish(a *attemptRecord, outcome protocol.Outcome, received answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcome = outcome
	a.ended = now
	if !a.keyed {
		delete(t.byID, a.id)
		return
	}
	t.finished.PushBack(a)
	a.answer.status = received.status
	if received.kept && outcome == protocol.OutcomeDone {
		a.answer = received
		a.answerElement = t.answers.PushBack(a)
		t.answerBytes += len(received.body)
	}
	t.evict(now)
}

// inquire returns the outcome of an attempt. An attempt without a record is barred from running later and reported as
// not run, or as unknown if records have been evicted early: then the absence of a record proves nothing.
func (t *attemptTable) inquire(id string, withAnswer bool, now time.Time) protocol.InquiryResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	a, ok := t.byID[id]
	if !ok {
		outcome := protocol.OutcomeNotRun
		if t.evictedEarly {
			outcome = protocol.OutcomeUnknown
		}
		a = &attemptRecord{id: id, keyed: true, barred: true, outcome: outcome, ended: now}
		t.byID[id] = a
		t.finished.PushBack(a)
	}
	result := protocol.InquiryResult{Attempt: id, Outcome: a.outcome, Status: a.answer.status}
	if withAnswer && a.answer.kept {
		result.Headers, result.Body, result.HasAnswer = a.answer.headers, a.answer.body, true
	}
	return result
}

// evict drops answers beyond the byte limit or older than answerRetention, and records beyond their retention or count.
func (t *attemptTable) evict(now time.Time) {
	for e := t.answers.Front(); e != nil; e = t.answers.Front() {
		a := e.Value.(*attemptRecord)
		if t.answerBytes <= t.maxAnswerBytes && now.Sub(a.ended) < t.answerRetention {
			break
		}
		t.evictAnswer(a)
	}
	for e := t.finished.Front(); e != nil; e = t.finished.Front() {
		a := e.Value.(*attemptRecord)
		retention := recordRetention
		if a.barred {
			retention = barRetention
		}
		expired := now.Sub(a.ended) >= retention
		if !expired && t.finished.Len() <= t.maxFinished {
			break
		}
		if !expired {
			t.evictedEarly = true
		}
		if a.answer.kept {
			t.evictAnswer(a)
		}
		t.finished.Remove(e)
		delete(t.byID, a.id)
	}
}

// evictAnswer drops a kept answer; the outcome and status stay.
func (t *attemptTable) evictAnswer(a *attemptRecord) {
	t.answerBytes -= len(a.answer.body)
	t.answers.Remove(a.answerElement)
	a.answer = answer{status: a.answer.status}
	a.answerElement = nil
}

// running returns the number of attempts that have not ended.
func (t *attemptTable) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID) - t.finished.Len()
}
