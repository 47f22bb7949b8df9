package experts

import (
	"math"
	"time"
)

// A step is held until all ranks are armed, and the whole group waits meanwhile. Each order may get no answer, and is then sent
// again. The more of them are lost, the longer the slowest of many ranks takes, so that a map change can cost more than it gains.

const (
	// maxExpectedHold is the longest hold that a change may be expected to cause, 99 times in 100: less than the time after
	// which engines cut off the work that depends on a lost rank.
	maxExpectedHold = time.Second
	// answerHalfLife is the time after which an order counts half in the ratio of answers.
	answerHalfLife = 2 * time.Second
	// assumedAnswers is the number of answered orders that the ratio starts from. Once what was seen has faded, the next
	// preparation, for which no step is held, shows whether orders are still lost.
	assumedAnswers = 2
	// holdQuantile is the part of the holds that last longer than expected.
	holdQuantile = 0.01
)

// answerRatio is the ratio of orders that are answered, the recent ones weighted more.
type answerRatio struct {
	sent, answered float64
	at             time.Time
}

func (a *answerRatio) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(a.at)) / float64(answerHalfLife))
	a.sent, a.answered, a.at = a.sent*factor, a.answered*factor, now
}

func (a *answerRatio) recordOrder(now time.Time) {
	a.decay(now)
	a.sent++
}

func (a *answerRatio) recordAnswer(now time.Time) {
	a.decay(now)
	a.answered++
}

// value returns the ratio at a time, between 0 and 1.
func (a *answerRatio) value(now time.Time) float64 {
	a.decay(now)
	return min(1, (a.answered+assumedAnswers)/(a.sent+assumedAnswers))
}

// expectedHold returns how long a group may have to wait at a held step: until each rank has answered an order to arm, and the
// holder one to release the step.
func (s *Switchover) expectedHold(now time.Time) time.Duration {
	lost := 1 - s.answers.value(now)
	if lost <= 0 {
		return 0
	}
	repeats := (math.Log(float64(s.config.Ranks)/holdQuantile) + math.Log(1/holdQuantile)) / -math.Log(lost)
	return time.Duration(repeats * float64(s.config.HeldResendInterval))
}
