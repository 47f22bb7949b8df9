package edge

import (
	"context"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/freshness"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// confirmations keeps which agreed state has been confirmed as the newest, for calls that wait to be denied by it.
type confirmations struct {
	mu      sync.Mutex
	tracker freshness.Tracker
	changed chan struct{} // closed at the next answer; nil if nobody waits
}

// unanswered reports whether a confirmation was asked for in vain.
func (c *confirmations) unanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Silent()
}

// answer records a message of a control instance that may answer a question. The state that it bears is installed already.
func (c *confirmations) answer(m *protocol.State) {
	if m.Confirm == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Answer(m.Confirm, m.Index)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// age returns the time since a state was confirmed last, false if none was.
func (c *confirmations) age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Age(now)
}

// check reports whether the state of an index is confirmed for a call that arrived at the time. If it is not, answered is closed
// with the next answer, or nil if none can be expected soon.
func (c *confirmations) check(now, arrived time.Time, index uint64) (current bool, answered <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.Current(arrived, index) {
		return true, nil
	}
	if !c.tracker.MayWait(now) {
		return false, nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return false, c.changed
}

// askForConfirmation asks a control instance whether there is a newer state, unless that was asked recently. Only the goroutine
// of run calls it.
func (f *fleetState) askForConfirmation(now time.Time) {
	var session transport.Session
	for s := range f.sessions { // the random iteration order asks another one after an unanswered question
		if session = s; s.State() == transport.StateLive {
			break
		}
	}
	f.confirmations.mu.Lock()
	number, ask := f.confirmations.tracker.Ask(now, session != nil)
	f.confirmations.mu.Unlock()
	if !ask {
		return
	}
	index := uint64(0)
	if view := f.view.Load(); view != nil {
		index = view.Index
	}
	transport.TrySend(session, &protocol.State{Index: index, Request: true, Confirm: number})
}

// awaitConfirmation waits until a call that arrived at the time and that the view does not allow may be denied. It returns true if the
// view is confirmed as the newest one, a newer view if there is one, and neither if no control instance confirms anything in
// time: the call may be allowed by a change that this instance has not heard of.
func (f *fleetState) awaitConfirmation(ctx context.Context, view *View, arrived time.Time) (newer *View, confirmed bool) {
	patience := time.NewTimer(freshness.Patience)
	defer patience.Stop()
	for {
		if current := f.view.Load(); current != view {
			return current, false
		}
		confirmed, answered := f.confirmations.check(time.Now(), arrived, view.Index)
		if confirmed {
			return nil, true
		}
		f.post(f.askForConfirmation)
		if answered == nil {
			return nil, false
		}
		select {
		case <-answered:
		case <-patience.C:
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}
