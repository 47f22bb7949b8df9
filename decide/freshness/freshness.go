// Package freshness decides whether an instance may deny a request because its copy of the agreed state does not allow it: only
// if a majority has confirmed that nothing newer had been agreed on when the request arrived. An instance that is out of
// touch, or has just woken up, does not know that.
package freshness

import "time"

const (
	// Tolerance is how long after the question a confirmation applies to requests that arrive. It is far below the time in which
	// a change must be in force, and bounds the questions of an instance that denies many requests.
	Tolerance = 250 * time.Millisecond
	// RepeatAfter is the time after which an unanswered question is repeated, to another instance.
	RepeatAfter = 150 * time.Millisecond
	// Patience is the time that a request waits for a confirmation. Once questions have been unanswered for as long, requests do
	// not wait.
	Patience = 500 * time.Millisecond
	// maxOpenQuestions limits the questions whose answers are still accepted.
	maxOpenQuestions = 16
)

// Tracker keeps what has been confirmed. It is not safe for concurrent use.
type Tracker struct {
	newest     uint64               // number of the newest question
	open       map[uint64]time.Time // when the unanswered questions were asked
	askedAt    time.Time            // of the newest question
	silentFrom time.Time            // when the first question since the last answer was due, zero if none

	confirmed      bool
	confirmedAt    time.Time // when the question was asked that has been answered
	confirmedIndex uint64    // newest index at that time
}

// elapsed returns the time between two moments by the steady clock or by the time of day, whichever says more.
func elapsed(from, to time.Time) time.Duration {
	return longer(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// longer returns the longer of two measurements of a time. The steady clock does not count the time for which a machine was
// suspended, and the time of day may be set forward or back.
func longer(steady, timeOfDay time.Duration) time.Duration { return max(steady, timeOfDay, -timeOfDay) }

// Current reports whether the state of the index is confirmed as the newest for a request that arrived at the time.
func (t *Tracker) Current(arrived time.Time, index uint64) bool {
	if !t.confirmed || t.confirmedIndex > index {
		return false
	}
	return arrived.Before(t.confirmedAt) || elapsed(t.confirmedAt, arrived) <= Tolerance
}

// MayWait reports whether an answer can still be expected soon.
func (t *Tracker) MayWait(now time.Time) bool {
	return t.silentFrom.IsZero() || now.Sub(t.silentFrom) < Patience
}

// Silent reports whether a question is due or open.
func (t *Tracker) Silent() bool { return !t.silentFrom.IsZero() }

// Ask returns the number of the question to ask now, false if the last one is recent. reached states that there is an instance to
// ask; without one nothing is asked, but the time counts as unanswered.
func (t *Tracker) Ask(now time.Time, reached bool) (number uint64, ask bool) {
	if t.silentFrom.IsZero() {
		t.silentFrom = now
	}
	if !reached || len(t.open) > 0 && now.Sub(t.askedAt) < RepeatAfter {
		return 0, false
	}
	if len(t.open) >= maxOpenQuestions || t.open == nil {
		t.open = map[uint64]time.Time{}
	}
	t.newest++
	t.open[t.newest] = now
	t.askedAt = now
	return t.newest, true
}

// Answer records the answer to a question: the newest index that a majority had agreed on, asked after the question.
func (t *Tracker) Answer(number, index uint64) {
	askedAt, open := t.open[number]
	if !open {
		return
	}
	for other, at := range t.open {
		if !at.After(askedAt) {
			delete(t.open, other)
		}
	}
	t.silentFrom = time.Time{}
	if t.confirmed && askedAt.Before(t.confirmedAt) {
		return
	}
	t.confirmed, t.confirmedAt, t.confirmedIndex = true, askedAt, max(index, t.confirmedIndex)
}

// Age returns the time since the question that was answered last, false if none was.
func (t *Tracker) Age(now time.Time) (time.Duration, bool) {
	return elapsed(t.confirmedAt, now), t.confirmed
}
