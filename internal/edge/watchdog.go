package edge

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/dispatch"
)

const (
	// hangTimeoutEventGaps is the number of the route's target event gaps without an event after which a server may have
	// hung. Callers give up after eight.
	hangTimeoutEventGaps = 5
	// hangCheckInterval is the interval of checks of a server that is silent, but not for longer than other servers.
	hangCheckInterval = 100 * time.Millisecond
)

// watchdog cancels a stream's attempt if its server hangs, so that another server can resume it before the caller gives
// up.
type watchdog struct {
	call           *call
	attempt        *attempt
	lastEventNanos atomic.Int64 // Unix time in nanoseconds of the last event, or of the start of the attempt
	receivedEvent  atomic.Bool  // at least one event was received
	done           chan struct{}
}

// startWatchdog starts the watchdog of an attempt. It returns nil if the request may not be sent to another server.
func (c *call) startWatchdog(a *attempt) *watchdog {
	if !c.route.Repeatable() || c.countedAttempts+1 >= c.route.MaxAttempts || c.route.Objective <= 0 {
		return nil
	}
	w := &watchdog{call: c, attempt: a, done: make(chan struct{})}
	w.lastEventNanos.Store(a.started.UnixNano())
	go w.run()
	return w
}

// recordEvent records that an event was received. It does nothing on nil.
func (w *watchdog) recordEvent(now time.Time) {
	if w == nil {
		return
	}
	w.lastEventNanos.Store(now.UnixNano())
	w.receivedEvent.Store(true)
}

// stop ends the watchdog. It does nothing on nil.
func (w *watchdog) stop() {
	if w != nil {
		close(w.done)
	}
}

// silenceLimit returns how long the server may send no event before it is checked for a hang, 0 for no limit.
func (w *watchdog) silenceLimit() time.Duration {
	if w.receivedEvent.Load() {
		return hangTimeoutEventGaps * w.call.route.LongestPause
	}
	if w.attempt.choice.Load >= float64(w.attempt.choice.Server.Slots) {
		return 0 // the request may wait for a slot
	}
	slowdown := 1.0
	w.call.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) {
		slowdown = d.Slowdown(now, w.attempt.choice, w.call.route.LongestPause)
	})
	return time.Duration(slowdown * float64(hangTimeoutObjectives*w.call.route.Objective))
}

// run cancels the attempt when the server has hung.
func (w *watchdog) run() {
	timer := time.NewTimer(hangTimeoutObjectives * w.call.route.Objective)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		limit, silence := w.silenceLimit(), time.Since(time.Unix(0, w.lastEventNanos.Load()))
		if limit <= 0 || silence < limit {
			timer.Reset(max(limit-silence, hangCheckInterval))
			continue
		}
		hung := false
		w.call.proxy.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { hung = d.IsHung(now, w.attempt.choice, limit) })
		if !hung {
			timer.Reset(hangCheckInterval)
			continue
		}
		log.WithFields(log.Fields{"request": w.call.id, "server": w.attempt.choice.Server.Server, "silentMs": silence.Milliseconds(),
			"begun": w.receivedEvent.Load()}).Warn("the server has hung while others respond; retrying the stream on another server")
		w.attempt.cancel()
		return
	}
}
