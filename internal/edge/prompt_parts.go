package edge

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

// This file keeps requests that crash servers, or whose prompt has a part that does, from the next server; package quarantine says
// how they are found. The entry instances tell each other through the control instances what they have seen.

// endCheckTimeout limits the check whether an engine has ended. The machine of a process that has ended refuses connections at
// once; one that is out of reach is no sign of a crash.
const endCheckTimeout = 250 * time.Millisecond

// promptParts holds what is known of the parts of prompts, and the attempts whose answer has not begun.
type promptParts struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	waiting map[*attempt]*call
	checks  singleflight.Group // of engines that may have ended, by server
}

// recordRequest counts a request by the parts of its prompt.
func (p *promptParts) recordRequest(c *call) {
	if len(c.promptParts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordRequest(c.arrived, c.service, c.promptParts)
}

// suspectParts returns the parts of a call by which it may be suspected: while nothing is suspected, only those of its prompt, which
// saves the digest of the request.
func (p *promptParts) suspectParts(c *call) []string {
	p.mu.Lock()
	suspicions := p.tracker.HasSuspicions()
	p.mu.Unlock()
	if !suspicions {
		return c.promptParts
	}
	return c.parts()
}

// withSuspicions calls f with the parts of a call while holding the lock, unless nothing is suspected.
func (p *promptParts) withSuspicions(c *call, f func(now time.Time, t *quarantine.Tracker, parts []string)) {
	p.mu.Lock()
	suspicions := p.tracker.HasSuspicions()
	p.mu.Unlock()
	if !suspicions {
		return
	}
	parts := c.parts() // may digest the request
	p.mu.Lock()
	defer p.mu.Unlock()
	f(time.Now(), p.tracker, parts)
}

// quarantineRefusal returns the refusal of a call with a quarantined part, nil if it has none.
func (p *Proxy) quarantineRefusal(c *call) *dispatch.Refusal {
	part, remaining := "", time.Duration(0)
	p.parts.withSuspicions(c, func(now time.Time, t *quarantine.Tracker, parts []string) {
		part, remaining = t.Quarantined(now, c.service, parts)
	})
	if part == "" {
		return nil
	}
	c.lastError = "servers end under " + part + ", a part of the prompt or the whole request"
	return &dispatch.Refusal{Reason: dispatch.Quarantined, RetryAfter: remaining}
}

// digest identifies what the repeats of a request have in common: caller, method, target and body. It has a key, so that it tells
// nothing of the body in a log.
func (c *call) digest() string {
	hash := hmac.New(sha256.New, c.proxy.config.DigestKey)
	for _, field := range []string{c.organisation, c.r.Method, c.r.Host, c.r.RequestURI} {
		_, _ = fmt.Fprintf(hash, "%d:%s,", len(field), field) // a hash returns no error
	}
	for _, piece := range c.body.Pieces {
		_, _ = hash.Write(piece)
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// digestBytes is the length of a digest: two of the requests under suspicion have the same one by chance in no likely time.
const digestBytes = 12

// await adds an attempt to those whose answer has not begun, until forget.
func (p *promptParts) await(a *attempt, c *call) {
	if c.answerBegun {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[a] = c
}

// forget ends await.
func (p *promptParts) forget(a *attempt, c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, a)
}

// recordAnswering records that an event of an answer was forwarded. Once the answer has gone on for long enough, it vouches for the parts
// of the prompt.
func (c *call) recordAnswering(a *attempt) {
	now := time.Now()
	if a.answeringSince.IsZero() {
		a.answeringSince, c.answerBegun = now, true
		c.proxy.parts.forget(a, c)
	}
	if !a.vouches && now.Sub(a.answeringSince) >= quarantine.SoundAfter {
		a.vouches = true
		c.recordVouched(now, c.promptParts)
	}
}

// recordAnswered records that the answer to the call is complete, which vouches for the request and all parts of its prompt.
func (c *call) recordAnswered() {
	c.answerBegun = true
	c.recordVouched(time.Now(), c.proxy.parts.suspectParts(c))
}

// recordVouched lifts the suspicion from parts of the call, and tells the others if there was one.
func (c *call) recordVouched(now time.Time, parts []string) {
	p := c.proxy
	p.parts.mu.Lock()
	lifted := directory.LiftedParts(now, p.parts.tracker.RecordAnswer(now, c.service, parts))
	p.parts.mu.Unlock()
	if len(lifted) > 0 {
		p.sendPromptParts(&protocol.PromptParts{Service: c.service, Answered: lifted})
	}
}

// checkEngineEnd finds out whether the server of a broken attempt has ended, and records it for the call and those parts of its prompt
// for which the answer does not vouch. A call whose answer had not begun is not sent on to the next server then if it may be the
// reason: an earlier server has ended under it, or no answer is known to vouch for one of its parts. A stream that had begun is
// resumed at once: it is open for long, so one end says little.
func (c *call) checkEngineEnd(a *attempt) {
	if a.cancelled {
		return
	}
	end := engineEnd{attempt: a, at: time.Now(), service: c.service, request: c.id, answering: c.answerBegun, parts: c.parts()}
	if a.vouches {
		end.parts = slices.DeleteFunc(slices.Clone(end.parts), func(part string) bool { return slices.Contains(c.promptParts, part) })
	}
	p, engine := c.proxy, a.choice.Server
	p.parts.mu.Lock()
	sound := p.parts.tracker.IsSound(time.Now(), end.service, end.parts)
	p.parts.mu.Unlock()
	limit := p.connectionLimit(c.view, end.service)
	check := func() bool {
		ended, _, _ := p.parts.checks.Do(engine.Server, func() (any, error) { return p.hasEnded(engine, limit), nil })
		if ended == true {
			p.recordEngineEnd(end)
		}
		return ended == true
	}
	if sound || end.answering {
		go check()
		return
	}
	c.endedEngine = check()
}

// engineEnd is the end of the server of an attempt while the request was open there.
type engineEnd struct {
	attempt   *attempt
	at        time.Time
	service   string
	request   string // its identifier, for the log
	answering bool   // events of the answer had come, from this server or an earlier one
	parts     []string
}

// hasEnded reports whether the process of an engine has ended: its machine refuses connections. An accepted connection is kept
// for a request.
func (p *Proxy) hasEnded(engine registry.Announcement, maxConnections int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	return errors.Is(p.client.Connect(ctx, engine.Server, engine.Address, maxConnections), syscall.ECONNREFUSED)
}

// recordEngineEnd records the end of a server, and tells the others. What is at stake counts only before the answer: a stream that was
// being answered shares the server with many others, any of which may be the reason.
func (p *Proxy) recordEngineEnd(end engineEnd) {
	engine, atStake := end.attempt.choice.Server, 0.0
	if !end.answering {
		p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { atStake = d.AtStake(now, end.attempt.choice) })
	}
	ended := &protocol.PromptParts{Service: end.service, Ended: &protocol.EndedEngine{Server: engine.Server,
		StartedAtMillis: engine.StartedAtMillis, Parts: end.parts, AgeMS: inMilliseconds(time.Since(end.at)),
		OpenMS: inMilliseconds(end.at.Sub(end.attempt.started)), AtStake: atStake, Answering: end.answering}}
	metrics.GetOrCreateCounter(`banyanfront_edge_engine_ends_total`).Inc()
	log.WithFields(log.Fields{"request": end.request, "server": engine.Server, "parts": end.parts, "answering": end.answering,
		"atStake": math.Round(atStake)}).Warn("engine ended before an answer to the request was complete; the request and the parts of its prompt are suspected")
	p.sendPromptParts(p.applyPromptParts(time.Now(), ended, true)...)
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// applyPromptParts records what this instance, or another one, has learned about parts of prompts. It returns the messages that
// tell the others what they do not know: what this one has seen itself, the parts that it puts into quarantine, and those that
// it knows to have been answered before.
func (f *fleetState) applyPromptParts(now time.Time, m *protocol.PromptParts, own bool) (messages []*protocol.PromptParts) {
	f.parts.mu.Lock()
	defer f.parts.mu.Unlock()
	news, quarantined := directory.ApplyPromptParts(now, f.parts.tracker, m)
	if len(quarantined) > 0 {
		f.parts.withdraw(now)
	}
	if news == nil {
		return nil
	}
	if own {
		messages = append(messages, news)
	}
	parts := quarantined
	if news.Ended != nil {
		parts = slices.Concat(parts, news.Ended.Parts)
	}
	slices.Sort(parts)
	var tell []quarantine.Suspicion
	for _, part := range slices.Compact(parts) {
		if s, ok := f.parts.tracker.Get(m.Service, part); ok && (s.AnsweredBefore || s.InForce(now)) {
			tell = append(tell, s)
		}
	}
	return append(messages, directory.EncodePromptParts(now, tell)...)
}

// withdraw cancels the attempts with a quarantined part whose answer has not begun: each would end another engine. The lock
// is held.
func (p *promptParts) withdraw(now time.Time) {
	for a, c := range p.waiting {
		if part, _ := p.tracker.Quarantined(now, c.service, c.parts()); part != "" {
			a.withdrawn.Store(true)
			a.cancel()
		}
	}
}

// sendPromptParts sends messages to all control instances.
func (f *fleetState) sendPromptParts(messages ...*protocol.PromptParts) {
	f.post(func(time.Time) { broadcast(f, messages...) })
}
