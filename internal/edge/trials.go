package edge

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// Servers that end together do not put the requests that were open there, or parts of their prompts, into quarantine: they may have had
// another cause in common. Until the next end or answer decides, all entry instances together send one copy of such a request, or one request
// with such a part, at a time. Each needs a permit of a control instance.

// trial is a request for a permit to send a suspected request.
type trial struct {
	answered   chan struct{} // closed once the permit is granted or refused
	permits    int
	retryAfter time.Duration
}

// awaitTrial waits until the call may be sent if requests like it are sent one at a time. It returns a refusal if another one is sent first.
func (c *call) awaitTrial() *dispatch.Refusal {
	p, key := c.proxy, ""
	p.parts.withSuspicions(c, func(now time.Time, t *quarantine.Tracker, parts []string) { key = t.Trial(now, c.service, parts) })
	if key == "" {
		return nil
	}
	t, first := p.openTrial(key)
	if first {
		p.requestPermits(key, 1, 0)
	}
	timer := time.NewTimer(dispatch.PermitTimeout)
	defer timer.Stop()
	select {
	case <-t.answered:
	case <-timer.C:
	case <-c.ctx.Done():
	}
	permitted, retryAfter := p.takeTrial(key, t, first)
	if permitted {
		return nil
	}
	c.lastError = "servers have ended with requests like this one, which are sent one at a time: " + key
	return &dispatch.Refusal{Reason: dispatch.Suspected, RetryAfter: max(retryAfter, grants.TrialInterval)}
}

// openTrial returns the open trial under a key, and whether it is new.
func (f *fleetState) openTrial(key string) (t *trial, isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t = f.trials[key]; t != nil {
		return t, false
	}
	t = &trial{answered: make(chan struct{})}
	f.trials[key] = t
	return t, true
}

// takeTrial reports whether a call may be sent: it has got the permit, or has asked for it first while no control instance answers.
// Otherwise it returns the time until the next permit, 0 if unknown.
func (f *fleetState) takeTrial(key string, t *trial, first bool) (permitted bool, retryAfter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-t.answered:
	default:
		if first {
			delete(f.trials, key)
		}
		return first, 0
	}
	if t.permits == 0 {
		return false, t.retryAfter
	}
	t.permits--
	return true, 0
}

// answerTrial passes the answer of a control instance to the calls that wait for it. The lock is held.
func (f *fleetState) answerTrial(m *protocol.Permits) {
	t := f.trials[m.Service]
	if t == nil {
		return
	}
	t.permits, t.retryAfter = len(m.Servers), time.Duration(m.RetryAfterMS)*time.Millisecond
	close(t.answered)
	delete(f.trials, m.Service)
}
