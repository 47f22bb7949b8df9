package transport

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// health tracks for how long nothing has arrived in either direction of a session. Times are nanoseconds since base, so
// that they come from the monotonic clock.
type health struct {
	cfg           *Config
	pingFactor    float64 // multiplies the ping interval
	withAgent     bool    // one side is an agent: the idle limits may apply
	base          time.Time
	lastReceived  atomic.Int64
	lastSent      atomic.Int64
	writeStart    atomic.Int64 // when the write in progress began, 0 if none is
	peerSilence   atomic.Int64 // time without a frame from this side, as the peer last reported it
	peerSilenceAt atomic.Int64 // when the peer reported it
	suspect       atomic.Bool
	activeSince   atomic.Int64  // when the session last changed from idle to active
	activeUntil   atomic.Int64  // the session is idle from then on
	wake          chan struct{} // makes monitorHealth check again
}

// acceptorPingFactor lengthens the accepting side's ping interval by a tenth, so that on an idle session the dialling
// side pings and the accepting side only answers. With equal intervals both would ping at once, doubling the traffic.
const acceptorPingFactor = 1.1

func (h *health) init(cfg *Config, dialler bool) {
	h.cfg = cfg
	h.pingFactor = 1
	if !dialler {
		h.pingFactor = acceptorPingFactor
	}
	h.base = time.Now()
	h.wake = make(chan struct{}, 1)
}

func (h *health) now() int64 { return int64(time.Since(h.base)) }

// silenceLimits are the times without a frame after which to ping, suspect the session and close it.
type silenceLimits struct {
	ping, suspect, giveUp time.Duration
}

func (h *health) limits() silenceLimits {
	l := silenceLimits{h.cfg.PingInterval, h.cfg.SuspectAfter, h.cfg.GiveUpAfter}
	if h.withAgent && h.now() >= h.activeUntil.Load() {
		l = silenceLimits{h.cfg.IdlePingInterval, h.cfg.IdleSuspectAfter, h.cfg.IdleGiveUpAfter}
	}
	l.ping = time.Duration(h.pingFactor * float64(l.ping))
	return l
}

// markActive records that an answer of the peer is awaited. Silence before the session became active does not count.
func (h *health) markActive() {
	if !h.withAgent {
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

// markReceived records the arrival of a batch.
func (h *health) markReceived() {
	h.lastReceived.Store(h.now())
	if h.suspect.Load() {
		signal(h.wake)
	}
}

// recordPeerSilence records the silence that the peer reported in a Ping.
func (h *health) recordPeerSilence(silence time.Duration) {
	h.peerSilenceAt.Store(h.now())
	previous := time.Duration(h.peerSilence.Swap(int64(silence)))
	if silence >= h.cfg.SuspectAfter || previous >= h.cfg.SuspectAfter {
		signal(h.wake)
	}
}

// markWriting records the start or the end of a write.
func (h *health) markWriting(active bool) {
	if active {
		h.writeStart.Store(max(h.now(), 1))
		return
	}
	h.writeStart.Store(0)
	h.lastSent.Store(h.now())
}

// silence returns the longest of the time since the last frame from the peer, the silence that the peer reports and the
// time that a write has been blocked, and which of them it is.
func (h *health) silence() (d time.Duration, cause string) {
	now := h.now()
	since := now // upper bound of the silence: on a session that was idle, only the time since it became active counts
	if h.withAgent && now < h.activeUntil.Load() {
		since -= h.activeSince.Load()
	}
	d, cause = time.Duration(min(since, now-h.lastReceived.Load())), "nothing received from the peer"
	if reported := time.Duration(h.peerSilence.Load()); reported >= h.limits().suspect {
		// A peer that has reported a long silence also reports its end, so the silence lasts until that report.
		if reported = min(reported+time.Duration(now-h.peerSilenceAt.Load()), time.Duration(since)); reported > d {
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

// monitorHealth sends pings, sets the session to suspect or live, closes it after giveUp, and reports each change of
// state to the handler.
func (s *session) monitorHealth() {
	h := &s.health
	defer s.handler.StateChanged(s, StateClosed)
	timer := time.NewTimer(h.limits().ping)
	defer timer.Stop()
	var sequence uint64
	var lastPing, reportedSilence time.Duration
	for {
		select {
		case <-s.done:
			return
		case <-h.wake:
		case <-timer.C:
		}
		if s.openStreams() > 0 {
			h.markActive()
		}
		limits := h.limits()
		silence, cause := h.silence()
		if silence >= limits.giveUp {
			s.fail(silenceReason(silence, cause))
			continue
		}
		suspect := silence >= limits.suspect
		changed := suspect != h.suspect.Load()
		if changed {
			h.suspect.Store(suspect)
			s.handler.StateChanged(s, h.state())
		}
		now := time.Duration(h.now())
		sinceReceived := now - time.Duration(h.lastReceived.Load())
		sinceSent := now - time.Duration(h.lastSent.Load())
		pingDue := max(sinceReceived, sinceSent) >= limits.ping && now-lastPing >= limits.ping
		// The start and the end of a long silence are reported to the peer at once.
		silenceChanged := changed && suspect || reportedSilence >= h.cfg.SuspectAfter && sinceReceived < reportedSilence
		if pingDue || silenceChanged {
			sequence++
			lastPing, reportedSilence = now, sinceReceived
			s.sendUrgent(0, &protocol.Ping{Sequence: sequence, SilenceMS: sinceReceived.Milliseconds()})
		}
		timer.Reset(h.untilNextCheck(now, lastPing, silence, limits))
	}
}

// untilNextCheck returns the time until the next ping or change of state is due, at least 1 ms.
func (h *health) untilNextCheck(now, lastPing, silence time.Duration, limits silenceLimits) time.Duration {
	lastFrame := time.Duration(min(h.lastReceived.Load(), h.lastSent.Load()))
	next := max(lastFrame, lastPing) + limits.ping - now
	if silence < limits.suspect {
		next = min(next, limits.suspect-silence)
	}
	next = min(next, limits.giveUp-silence)
	return max(next, time.Millisecond)
}
