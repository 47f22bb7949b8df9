package edge

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
)

const (
	// silentPauses is the number of longest pauses between two events after which a server may have hung. Callers leave after
	// eight.
	silentPauses = 5
	// hungCheck is the pause between two looks at a server that is silent, but no more so than others.
	hungCheck = 100 * time.Millisecond
)

// watch ends a stream's attempt at a server that has hung, so that it can go on elsewhere before the caller leaves.
type watch struct {
	call    *call
	attempt *attempt
	heard   atomic.Int64 // when something came for the request last, Unix nanoseconds
	begun   atomic.Bool  // the first event has come
	done    chan struct{}
}

// watchFor returns a watch over an attempt, nil if the request may not be sent elsewhere.
func (c *call) watchFor(a *attempt) *watch {
	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts || c.route.Objective <= 0 {
		return nil
	}
	w := &watch{call: c, attempt: a, done: make(chan struct{})}
	w.heard.Store(a.started.UnixNano())
	go w.run()
	return w
}

// event notes that an event has come.
func (w *watch) event(now time.Time) {
	if w == nil {
		return
	}
	w.heard.Store(now.UnixNano())
	w.begun.Store(true)
}

func (w *watch) stop() {
	if w != nil {
		close(w.done)
	}
}

// patience returns how long the server may be silent, 0 for any time.
func (w *watch) patience() time.Duration {
	if w.begun.Load() {
		return silentPauses * w.call.route.LongestPause
	}
	if w.attempt.choice.Load >= float64(w.attempt.choice.Server.Slots) {
		return 0 // the request may wait for a slot
	}
	return silentObjectives * w.call.route.Objective
}

func (w *watch) run() {
	timer := time.NewTimer(silentObjectives * w.call.route.Objective)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		patience, silence := w.patience(), time.Since(time.Unix(0, w.heard.Load()))
		if patience <= 0 || silence < patience {
			timer.Reset(max(patience-silence, hungCheck))
			continue
		}
		hung := false
		w.call.gate.with(func(now time.Time, d *dispatch.Dispatcher) { hung = d.IsHung(now, w.attempt.choice, patience) })
		if !hung {
			timer.Reset(hungCheck)
			continue
		}
		log.WithFields(log.Fields{"request": w.call.id, "server": w.attempt.choice.Server.Server, "silentMs": silence.Milliseconds(),
			"begun": w.begun.Load()}).Warn("the server has hung while others go on; the stream is sent elsewhere")
		w.attempt.cancel()
		return
	}
}
