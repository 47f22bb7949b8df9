package limits

import "time"

// maxWaitingRequests bounds the memory if a caller never reports the end of requests. The oldest request is then dropped.
const maxWaitingRequests = 4096

// waitQueue holds the requests that wait for their first token in the order of their admission.
type waitQueue struct {
	requests    []waitingRequest
	firstNumber uint64 // number of requests[0]
	nextOverdue int    // index of the first request not yet checked by takeOverdue
	count       int    // requests that wait for their first token
}

type waitingRequest struct {
	admittedAt     time.Time
	epoch          uint64
	done           bool
	countedOverdue bool
}

// add appends a request and returns its number.
func (w *waitQueue) add(now time.Time, epoch uint64) uint64 {
	if len(w.requests) >= maxWaitingRequests {
		w.remove(w.firstNumber)
	}
	w.requests = append(w.requests, waitingRequest{admittedAt: now, epoch: epoch})
	w.count++
	return w.firstNumber + uint64(len(w.requests)-1)
}

// remove removes a request and reports whether it was counted as overdue. An unknown or removed number has no effect.
func (w *waitQueue) remove(number uint64) bool {
	if number < w.firstNumber || number-w.firstNumber >= uint64(len(w.requests)) || w.requests[number-w.firstNumber].done {
		return false
	}
	e := &w.requests[number-w.firstNumber]
	e.done = true
	w.count--
	counted := e.countedOverdue
	done := 0
	for done < len(w.requests) && w.requests[done].done {
		done++
	}
	// Moves the remaining requests to the front instead of reslicing, so that the memory is reused.
	w.requests = w.requests[:copy(w.requests, w.requests[done:])]
	w.firstNumber += uint64(done)
	w.nextOverdue = max(w.nextOverdue-done, 0)
	return counted
}

// takeOverdue returns the epoch of the next request that was admitted before the given time and still waits for its first
// token. It returns each request once and marks it as overdue.
func (w *waitQueue) takeOverdue(before time.Time) (epoch uint64, ok bool) {
	for w.nextOverdue < len(w.requests) && (w.requests[w.nextOverdue].done ||
		w.requests[w.nextOverdue].admittedAt.Before(before)) {
		e := &w.requests[w.nextOverdue]
		w.nextOverdue++
		if !e.done {
			e.countedOverdue = true
			return e.epoch, true
		}
	}
	return 0, false
}

// clear removes all requests; their numbers are not reused.
func (w *waitQueue) clear() {
	w.firstNumber += uint64(len(w.requests))
	w.requests, w.nextOverdue, w.count = w.requests[:0], 0, 0
}
