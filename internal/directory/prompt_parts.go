package directory

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// ApplyPromptParts records what another process has learned about parts of prompts. It returns what is news, nil if nothing is,
// and the parts that this puts into quarantine.
func ApplyPromptParts(now time.Time, t *quarantine.Tracker, m *protocol.PromptParts) (news *protocol.PromptParts, quarantined []string) {
	news = &protocol.PromptParts{Service: m.Service}
	if e := m.Ended; e != nil {
		engine := quarantine.Engine{Server: e.Server, StartedAtMillis: e.StartedAtMillis}
		var parts []string
		endedAt := now.Add(-time.Duration(e.AgeMS * float64(time.Millisecond)))
		parts, quarantined = t.RecordEnd(quarantine.End{At: endedAt, OpenFor: time.Duration(e.OpenMS * float64(time.Millisecond)), Service: m.Service,
			Engine: engine, Parts: e.Parts, Answering: e.Answering})
		quarantined = append(quarantined, t.WeighEnd(endedAt, m.Service, parts, e.AtStake)...)
		if len(parts) > 0 {
			ended := *e
			ended.Parts = parts
			news.Ended = &ended
		}
	}
	for _, s := range m.Suspected {
		isNew, inForce := t.Merge(now, decodeSuspicion(now, m.Service, s))
		if isNew {
			news.Suspected = append(news.Suspected, s)
		}
		if inForce {
			quarantined = append(quarantined, s.Part)
		}
	}
	if len(m.Answered) > 0 {
		news.Answered = LiftedParts(now, t.RecordAnswer(now, m.Service, m.Answered))
	}
	logQuarantined(now, t, m.Service, quarantined)
	if news.Ended == nil && len(news.Suspected) == 0 && len(news.Answered) == 0 {
		return nil, quarantined
	}
	return news, quarantined
}

// logQuarantined logs parts that were put into quarantine.
func logQuarantined(now time.Time, t *quarantine.Tracker, service string, parts []string) {
	for _, part := range parts {
		if s, ok := t.Get(service, part); ok {
			engines := make([]string, 0, len(s.Engines))
			for _, e := range s.Engines {
				engines = append(engines, e.Server)
			}
			log.WithFields(log.Fields{"service": service, "part": part, "ends": s.Ends, "engines": engines, "quarantines": s.Quarantines, "with": s.With,
				"forMs": s.QuarantinedUntil.Sub(now).Milliseconds()}).
				Warn("part of prompts quarantined: engines end under it; requests with it are refused")
		}
	}
}

// LiftedParts returns the parts of suspicions that an answer has lifted, and logs them.
func LiftedParts(now time.Time, lifted []quarantine.Suspicion) []string {
	parts := make([]string, 0, len(lifted))
	for _, s := range lifted {
		parts = append(parts, s.Part)
		if s.InForce(now) { // others are suspected for a moment at each end of an engine
			log.WithFields(log.Fields{"service": s.Service, "part": s.Part, "ends": s.Ends}).
				Warn("quarantine of a part of prompts is lifted: an answer vouches for it")
		}
	}
	return parts
}

// ExpirePromptParts ends quarantines and suspicions that are due, and updates their metrics.
func ExpirePromptParts(now time.Time, t *quarantine.Tracker) {
	for _, key := range t.Expire(now) {
		log.WithFields(log.Fields{"service": key.Service, "part": key.Part}).
			Warn("quarantine of a part of prompts has ended: requests with it are sent to engines again")
	}
	suspected, quarantined := t.Counts(now)
	metrics.GetOrCreateGauge(`banyanfront_prompt_parts{state="suspected"}`, nil).Set(float64(suspected))
	metrics.GetOrCreateGauge(`banyanfront_prompt_parts{state="quarantined"}`, nil).Set(float64(quarantined))
}

// maxSuspicionsPerMessage keeps a message far below the size limit: a suspicion names up to 16 engines.
const maxSuspicionsPerMessage = 500

// EncodePromptParts returns messages with suspicions, each of one service.
func EncodePromptParts(now time.Time, suspicions []quarantine.Suspicion) []*protocol.PromptParts {
	byService := map[string]*protocol.PromptParts{}
	var messages []*protocol.PromptParts
	for _, s := range suspicions {
		m := byService[s.Service]
		if m == nil || len(m.Suspected) == maxSuspicionsPerMessage {
			m = &protocol.PromptParts{Service: s.Service}
			byService[s.Service] = m
			messages = append(messages, m)
		}
		m.Suspected = append(m.Suspected, protocol.PartSuspicion{Part: s.Part, Ends: s.Ends, UnansweredEnds: s.UnansweredEnds, LastEndAgeMS: now.Sub(s.LastEndAt).Milliseconds(),
			RemainingMS: max(0, s.QuarantinedUntil.Sub(now).Milliseconds()), Quarantines: s.Quarantines, AnsweredBefore: s.AnsweredBefore,
			Engines: s.Engines, With: s.With})
	}
	return messages
}

// decodeSuspicion is the inverse of EncodePromptParts for one part.
func decodeSuspicion(now time.Time, service string, s protocol.PartSuspicion) quarantine.Suspicion {
	out := quarantine.Suspicion{Key: quarantine.Key{Service: service, Part: s.Part}, Ends: s.Ends, UnansweredEnds: s.UnansweredEnds, Quarantines: s.Quarantines,
		LastEndAt: now.Add(-time.Duration(s.LastEndAgeMS) * time.Millisecond), AnsweredBefore: s.AnsweredBefore, Engines: s.Engines, With: s.With}
	if s.RemainingMS > 0 {
		out.QuarantinedUntil = now.Add(time.Duration(s.RemainingMS) * time.Millisecond)
	}
	return out
}

// relayPromptParts records what an entry instance has learned about parts of prompts, and sends the news to the others.
func (d *Directory) relayPromptParts(now time.Time, from transport.Session, m *protocol.PromptParts) {
	news, quarantined := ApplyPromptParts(now, d.promptParts, m)
	if news != nil {
		d.relay(from, news)
	}
	if len(quarantined) > 0 {
		d.quarantines.keep(now, d.promptParts.Quarantines())
	}
	if m.Ended == nil {
		return
	}
	// The entry instances may have counted fewer ends, as messages take different times.
	var begun []quarantine.Suspicion
	for _, part := range quarantined {
		if s, ok := d.promptParts.Get(m.Service, part); ok {
			begun = append(begun, s)
		}
	}
	for _, m := range EncodePromptParts(now, begun) {
		d.broadcast(m)
	}
}

// relay sends what one entry instance has told to the others.
func (d *Directory) relay(from transport.Session, m protocol.Message) {
	for session := range d.entrySessions {
		if session != from {
			transport.TrySend(session, m)
		}
	}
}
