package fairness

import (
	"math"
	"time"
)

// meter measures the rate of service while items wait, and the time that a unit of cost takes. It forgets what is older
// than two windows, so that a slow spell does not cause refusals after it has ended.
type meter struct {
	span     time.Duration
	current  sample
	previous sample
	begin    time.Time // begin of the current window
	last     time.Time
	busy     bool
}

// sample is what one window measured.
type sample struct {
	busy     time.Duration // time during which items waited
	cost     float64       // cost that ended during that time
	ended    float64       // cost that ended in all
	time     float64       // slot time in seconds of what ended
	absolute float64       // sum of deviations from the mean, in seconds
}

func newMeter(span time.Duration) meter { return meter{span: span} }

// advance moves the clock; busy tells whether items wait from now on.
func (m *meter) advance(now time.Time, busy bool) {
	if m.last.IsZero() {
		m.begin, m.last = now, now
	}
	if elapsed := now.Sub(m.last); elapsed > 0 {
		if m.busy {
			m.current.busy += elapsed
		}
		m.last = now
	}
	m.busy = busy
	if age := now.Sub(m.begin); age >= m.span {
		m.previous, m.current = m.current, sample{}
		if age >= 2*m.span {
			m.previous = sample{}
		}
		m.begin = now
	}
}

// done records the end of an item.
func (m *meter) done(cost float64, took time.Duration) {
	if m.busy {
		m.current.cost += cost
	}
	if perCost := m.timePerCost(); perCost > 0 {
		m.current.absolute += math.Abs(took.Seconds() - perCost*cost)
	}
	m.current.ended += cost
	m.current.time += took.Seconds()
}

// rate is the cost per second that ended while items waited, 0 if that was not for half a window yet.
func (m *meter) rate() float64 {
	busy := m.current.busy + m.previous.busy
	if busy < m.span/2 {
		return 0
	}
	return (m.current.cost + m.previous.cost) / busy.Seconds()
}

// timePerCost is the slot time in seconds of a unit of cost, 0 if unknown.
func (m *meter) timePerCost() float64 {
	ended := m.current.ended + m.previous.ended
	if ended == 0 {
		return 0
	}
	return (m.current.time + m.previous.time) / ended
}

// expected is the usual slot time of an item.
func (m *meter) expected(cost float64) time.Duration { return seconds(m.timePerCost() * cost) }

// deviations is the margin over the usual slot time, in mean deviations. TCP sets its retransmission timeout with the
// same margin (RFC 6298).
const deviations = 4

// bound is a slot time that few items exceed.
func (m *meter) bound(cost float64) time.Duration {
	ended := m.current.ended + m.previous.ended
	if ended == 0 {
		return 0
	}
	perCost := (m.current.absolute + m.previous.absolute) / ended
	return seconds((m.timePerCost() + deviations*perCost) * cost)
}

// window sums a quantity over the last one to two spans.
type window struct {
	begin             time.Time
	current, previous float64
}

func (w *window) roll(now time.Time, span time.Duration) {
	age := now.Sub(w.begin)
	if age < span {
		return
	}
	w.previous = w.current
	if age >= 2*span {
		w.previous = 0
	}
	w.current, w.begin = 0, now
}

func (w *window) add(now time.Time, span time.Duration, amount float64) {
	w.roll(now, span)
	w.current += amount
}

// perSecond is the rate over the last full span, 0 if there was none.
func (w *window) perSecond(now time.Time, span time.Duration) float64 {
	w.roll(now, span)
	return w.previous / span.Seconds()
}

// seconds converts without overflow.
func seconds(s float64) time.Duration {
	const longest = float64(24 * time.Hour / time.Second)
	return time.Duration(min(max(s, 0), longest) * float64(time.Second))
}
