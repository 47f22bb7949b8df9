package limits

import "time"

// maxWaiting bounds the memory if a caller never reports how a request went. The oldest is then forgotten.
const maxWaiting = 4096

// waiting keeps the requests that wait for their first token in the order of their admission.
type waiting struct {
	queue []wait
	first uint64 // number of queue[0]
	next  int    // first element of the queue that was not counted as overdue
	count int    // requests that wait
}

type wait struct {
	at      time.Time
	epoch   uint64
	done    bool
	counted bool // as overdue
}

// add enters a request and returns its number.
func (w *waiting) add(now time.Time, epoch uint64) uint64 {
	if len(w.queue) >= maxWaiting {
		w.remove(w.first)
	}
	w.queue = append(w.queue, wait{at: now, epoch: epoch})
	w.count++
	return w.first + uint64(len(w.queue)-1)
}

// remove ends the wait of a request and reports whether it was counted as overdue.
func (w *waiting) remove(number uint64) bool {
	if number < w.first || number-w.first >= uint64(len(w.queue)) || w.queue[number-w.first].done {
		return false
	}
	e := &w.queue[number-w.first]
	e.done = true
	w.count--
	counted := e.counted
	done := 0
	for done < len(w.queue) && w.queue[done].done {
		done++
	}
	// Moves the rest to the front instead of slicing, so that the memory is reused.
	w.queue = w.queue[:copy(w.queue, w.queue[done:])]
	w.first += uint64(done)
	w.next = max(w.next-done, 0)
	return counted
}

// overdue returns the epoch of the next request that was admitted before the time and still waits, each once.
func (w *waiting) overdue(before time.Time) (epoch uint64, ok bool) {
	for w.next < len(w.queue) && (w.queue[w.next].done || w.queue[w.next].at.Before(before)) {
		e := &w.queue[w.next]
		w.next++
		if !e.done {
			e.counted = true
			return e.epoch, true
		}
	}
	return 0, false
}

// clear forgets all requests; their numbers are not used again.
func (w *waiting) clear() {
	w.first += uint64(len(w.queue))
	w.queue, w.next, w.count = w.queue[:0], 0, 0
}
