package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a denial by a state that is older than what was agreed on before the request arrived.
func TestOnlyAConfirmedStateIsCurrent(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	is.True(!tracker.Current(at(0), 7)) // nothing confirmed yet
	number, ask := tracker.Ask(at(0), true)
	is.True(ask)
	is.True(!tracker.Current(at(0), 7))
	tracker.Answer(number+1, 7) // of no question
	is.True(!tracker.Current(at(0), 7))
	tracker.Answer(number, 7)
	is.True(tracker.Current(at(-time.Second), 7)) // the request arrived before the question
	is.True(tracker.Current(at(Tolerance), 7))
	is.True(!tracker.Current(at(Tolerance+1), 7))
	is.True(!tracker.Current(at(0), 6)) // an older state than the confirmed one
	is.True(tracker.Current(at(0), 8))  // installed since
}

// Guards against an answer that counts from its arrival, not from its question: a change may have been agreed on in between.
func TestLateAnswerCountsFromItsQuestion(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	first, _ := tracker.Ask(at(0), true)
	second, ask := tracker.Ask(at(RepeatAfter), true)
	is.True(ask)
	tracker.Answer(second, 9)
	tracker.Answer(first, 8) // an answer that was overtaken
	is.True(!tracker.Current(at(0), 8))
	is.True(tracker.Current(at(RepeatAfter+Tolerance), 9))
	is.True(!tracker.Current(at(RepeatAfter+Tolerance+1), 9))
	_, ask = tracker.Ask(at(RepeatAfter), true) // none is open
	is.True(ask)
}

// Guards against a machine that was suspended and takes what was confirmed before for fresh, as its steady clock stood still.
func TestSuspensionEndsAConfirmation(t *testing.T) {
	is := is.New(t)
	is.Equal(longer(time.Millisecond, 5*time.Second), 5*time.Second)  // suspended, or the time of day was set forward
	is.Equal(longer(time.Millisecond, -5*time.Second), 5*time.Second) // set back
	is.Equal(longer(5*time.Second, time.Millisecond), 5*time.Second)
	var tracker Tracker
	now := time.Now()
	number, _ := tracker.Ask(now, true)
	tracker.Answer(number, 7)
	is.True(tracker.Current(now.Add(time.Millisecond), 7))
	is.True(!tracker.Current(now.Add(5*time.Second).Round(0), 7)) // only the time of day is known
}

// Guards against questions without a bound, and against requests that wait though nobody has answered for long.
func TestQuestionsAreBoundAndWaitsEnd(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	asked := 0
	for ms := range 10_000 {
		if _, ask := tracker.Ask(at(time.Duration(ms)*time.Millisecond), true); ask {
			asked++
		}
	}
	is.True(asked <= 1+10_000/int(RepeatAfter.Milliseconds()))
	is.True(len(tracker.open) <= maxOpenQuestions)
	is.True(!tracker.MayWait(at(10 * time.Second)))
	tracker.Answer(tracker.newest, 1)
	is.True(tracker.MayWait(at(10 * time.Second)))

	var alone Tracker
	_, ask := alone.Ask(at(0), false)
	is.True(!ask)
	is.True(alone.MayWait(at(Patience - 1))) // a session may be opened
	is.True(!alone.MayWait(at(Patience)))
}
