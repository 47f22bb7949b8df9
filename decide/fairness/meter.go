package fairness

import (
	"math"
	"time"
)

// meter measures the service rate while items wait, and the slot time of a unit of cost. It drops measurements older than
// two windows, so that a period of slow service does not cause refusals after it has ended.
type meter struct {
	windowLength time.Duration
	current      sample
	previous     sample
	windowStart  time.Time
	lastAdvance  time.Time
	backlogged   bool
}

// sample holds the measurements of one window.
type sample struct {
	backloggedTime   time.Duration // time during which items waited for a slot
	backloggedCost   float64       // cost of the items that ended during that time
	endedCost        float64       // cost of all items that ended
	slotSeconds      float64       // slot time of all items that ended
	deviationSeconds float64       // sum of absolute deviations of slot times from the mean for their cost
}

func newMeter(windowLength time.Duration) meter { return meter{windowLength: windowLength} }

// advance records the time until now; backlogged reports whether items wait from now on.
func (m *meter) advance(now time.Time, backlogged bool) {
	if m.lastAdvance.IsZero() {
		m.windowStart, m.lastAdvance = now, now
	}
	if elapsed := now.Sub(m.lastAdvance); elapsed > 0 {
		if m.backlogged {
			m.current.backloggedTime += elapsed
		}
		m.lastAdvance = now
	}
	m.backlogged = backlogged
	if age := now.Sub(m.windowStart); age >= m.windowLength {
		m.previous, m.current = m.current, sample{}
		if age >= 2*m.windowLength {
			m.previous = sample{}
		}
		m.windowStart = now
	}
}

// recordEnd records the end of an item and its slot time.
func (m *meter) recordEnd(cost float64, slotTime time.Duration) {
	if m.backlogged {
		m.current.backloggedCost += cost
	}
	if perCost := m.secondsPerCost(); perCost > 0 {
		m.current.deviationSeconds += math.Abs(slotTime.Seconds() - perCost*cost)
	}
	m.current.endedCost += cost
	m.current.slotSeconds += slotTime.Seconds()
}

// serviceRate returns the cost per second that ended while items waited, 0 if items have waited for less than half a
// window.
func (m *meter) serviceRate() float64 {
	backloggedTime := m.current.backloggedTime + m.previous.backloggedTime
	if backloggedTime < m.windowLength/2 {
		return 0
	}
	return (m.current.backloggedCost + m.previous.backloggedCost) / backloggedTime.Seconds()
}

// secondsPerCost returns the mean slot time in seconds of a unit of cost, 0 if unknown.
func (m *meter) secondsPerCost() float64 {
	ended := m.current.endedCost + m.previous.endedCost
	if ended == 0 {
		return 0
	}
	return (m.current.slotSeconds + m.previous.slotSeconds) / ended
}

// expectedSlotTime returns the mean slot time of items of the given cost.
func (m *meter) expectedSlotTime(cost float64) time.Duration {
	return secondsToDuration(m.secondsPerCost() * cost)
}

// boundDeviations is the margin of slotTimeBound over the mean slot time, in mean deviations. TCP sets its retransmission
// timeout with the same margin (RFC 6298).
const boundDeviations = 4

// slotTimeBound returns a slot time that few items of the given cost exceed, 0 if unknown.
func (m *meter) slotTimeBound(cost float64) time.Duration {
	ended := m.current.endedCost + m.previous.endedCost
	if ended == 0 {
		return 0
	}
	deviationPerCost := (m.current.deviationSeconds + m.previous.deviationSeconds) / ended
	return secondsToDuration((m.secondsPerCost() + boundDeviations*deviationPerCost) * cost)
}

// window sums a quantity over the current and the previous window.
type window struct {
	start             time.Time
	current, previous float64
}

func (w *window) roll(now time.Time, length time.Duration) {
	age := now.Sub(w.start)
	if age < length {
		return
	}
	w.previous = w.current
	if age >= 2*length {
		w.previous = 0
	}
	w.current, w.start = 0, now
}

func (w *window) add(now time.Time, length time.Duration, amount float64) {
	w.roll(now, length)
	w.current += amount
}

// perSecond returns the rate over the previous window, 0 if there was none.
func (w *window) perSecond(now time.Time, length time.Duration) float64 {
	w.roll(now, length)
	return w.previous / length.Seconds()
}

// secondsToDuration converts seconds to a duration, bounded to the range from 0 to 24 h so that it can't overflow.
func secondsToDuration(s float64) time.Duration {
	const longest = float64(24 * time.Hour / time.Second)
	return time.Duration(min(max(s, 0), longest) * float64(time.Second))
}
