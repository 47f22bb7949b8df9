package transport

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// health tracks the silence of a session in both directions. Times are nanoseconds since base, so that they come from
// the monotonic clock.
type health struct {
	cfg          *Config
	late         float64 // factor on the intervals between pings
	mayIdle      bool    // the session is with an agent
	base         time.Time
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	writeStart   atomic.Int64 // when the write in progress began, 0 if none is
	peerSilence  atomic.Int64 // how long the peer had heard nothing when it last said so
	peerSaid     atomic.Int64 // when it said so
	suspect      atomic.Bool
	activeSince  atomic.Int64  // when the session was last idle and something began to wait for an answer
	activeUntil  atomic.Int64  // from when on it counts as idle
	wake         chan struct{} // tells the watcher to look again
}

// lateFactor delays the pings of the accepting side by a tenth, so that on an idle session the dialling side pings and
// the accepting side only answers. With equal intervals both ping at the same moment, at twice the cost.
const lateFactor = 1.1

func (h *health) init(cfg *Config, dialler bool) {
	h.cfg = cfg
	h.late = 1
	if !dialler {
		h.late = lateFactor
	}
	h.base = time.Now()
	h.wake = make(chan struct{}, 1)
}

func (h *health) now() int64 { return int64(time.Since(h.base)) }

// limits are the times after which silence has consequences.
type limits struct {
	ping, suspect, giveUp time.Duration
}

func (h *health) limits() limits {
	l := limits{h.cfg.PingInterval, h.cfg.SuspectAfter, h.cfg.GiveUpAfter}
	if h.mayIdle && h.now() >= h.activeUntil.Load() {
		l = limits{h.cfg.IdlePingInterval, h.cfg.IdleSuspectAfter, h.cfg.IdleGiveUpAfter}
	}
	l.ping = time.Duration(h.late * float64(l.ping))
	return l
}

// activate notes that something waits for an answer of the peer. Silence before that does not count.
func (h *health) activate() {
	if !h.mayIdle {
		return
	}
	now := h.now()
	if now >= h.activeUntil.Load() {
		h.activeSince.Store(now)
		signal(h.wake)
	}
	h.activeUntil.Store(now + int64(h.cfg.GiveUpAfter))
}

func (h *health) state() State {
	if h.suspect.Load() {
		return StateSuspect
	}
	return StateLive
}

// received notes that a batch arrived.
func (h *health) received() {
	h.lastReceived.Store(h.now())
	if h.suspect.Load() {
		signal(h.wake)
	}
}

// peerHeard notes the silence figure of a Ping.
func (h *health) peerHeard(silence time.Duration) {
	h.peerSaid.Store(h.now())
	old := time.Duration(h.peerSilence.Swap(int64(silence)))
	if silence >= h.cfg.SuspectAfter || old >= h.cfg.SuspectAfter {
		signal(h.wake)
	}
}

// writing notes the begin and the end of a write.
func (h *health) writing(begin bool) {
	if begin {
		h.writeStart.Store(max(h.now(), 1))
		return
	}
	h.writeStart.Store(0)
	h.lastSent.Store(h.now())
}

// silence returns the longest of: time since the last frame from the peer, the silence that the peer reports, and the
// time that a write has been blocked.
func (h *health) silence() (d time.Duration, cause string) {
	now := h.now()
	since := now // time that counts: on an idle session that has just become active, the silence before was no sign
	if h.mayIdle && now < h.activeUntil.Load() {
		since -= h.activeSince.Load()
	}
	d, cause = time.Duration(min(since, now-h.lastReceived.Load())), "nothing received from the peer"
	if reported := time.Duration(h.peerSilence.Load()); reported >= h.limits().suspect {
		// A peer that has reported a long silence reports its end as well, so until then it goes on.
		if reported = min(reported+time.Duration(now-h.peerSaid.Load()), time.Duration(since)); reported > d {
			d, cause = reported, "peer receives nothing"
		}
	}
	if start := h.writeStart.Load(); start > 0 && time.Duration(now-start) > d {
		d, cause = time.Duration(now-start), "peer takes no data"
	}
	return d, cause
}

func silenceReason(silence time.Duration, cause string) string {
	return fmt.Sprintf("%s for %v", cause, silence.Round(time.Millisecond))
}

// watch sends pings, moves the session between live and suspect, gives it up, and reports each change to the handler.
func (s *session) watch() {
	h := &s.health
	defer s.handler.StateChanged(s, StateClosed)
	timer := time.NewTimer(h.limits().ping)
	defer timer.Stop()
	var sequence uint64
	var lastPing, reported time.Duration
	for {
		select {
		case <-s.done:
			return
		case <-h.wake:
		case <-timer.C:
		}
		if s.openStreams() > 0 {
			h.activate()
		}
		limits := h.limits()
		silence, cause := h.silence()
		if silence >= limits.giveUp {
			s.lose(silenceReason(silence, cause))
			continue
		}
		suspect := silence >= limits.suspect
		changed := suspect != h.suspect.Load()
		if changed {
			h.suspect.Store(suspect)
			s.handler.StateChanged(s, h.state())
		}
		now := time.Duration(h.now())
		unheard := now - time.Duration(h.lastReceived.Load())
		unsaid := now - time.Duration(h.lastSent.Load())
		quiet := max(unheard, unsaid) >= limits.ping && now-lastPing >= limits.ping
		// The peer has to learn of a long silence at once, and of its end.
		news := changed && suspect || reported >= h.cfg.SuspectAfter && unheard < reported
		if quiet || news {
			sequence++
			lastPing, reported = now, unheard
			s.sendUrgent(0, &protocol.Ping{Sequence: sequence, SilenceMS: unheard.Milliseconds()})
		}
		timer.Reset(h.untilNext(now, lastPing, silence, limits))
	}
}

// untilNext returns when the watcher has to look again: at the next ping or at the next change of state.
func (h *health) untilNext(now, lastPing, silence time.Duration, limits limits) time.Duration {
	quiet := time.Duration(min(h.lastReceived.Load(), h.lastSent.Load()))
	next := max(quiet, lastPing) + limits.ping - now
	if silence < limits.suspect {
		next = min(next, limits.suspect-silence)
	}
	next = min(next, limits.giveUp-silence)
	return max(next, time.Millisecond)
}
