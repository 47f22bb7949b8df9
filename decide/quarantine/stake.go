package quarantine

import (
	"slices"
	"time"
)

// harmfulRatio is the probability that a request which was open at the end of a server, before its answer began, has caused it. Most
// servers end for other reasons, and several requests are open at each.
const harmfulRatio = 0.02

// WeighEnd puts the whole requests that were open at an end into quarantine if sending one of them once more is expected to cost more
// than it earns: atStake requests with the probability that it is at fault, against one that is served. It returns the parts
// that this puts into quarantine. The parts of the prompt are not concerned: other requests share them.
func (t *Tracker) WeighEnd(at time.Time, service string, parts []string, atStake float64) (quarantined []string) {
	if atStake*harmfulRatio < 1 {
		return nil
	}
	if t.endedTogether(at) {
		t.releaseWeighed(at)
		return nil
	}
	for _, part := range parts {
		s := t.find(Key{service, part})
		if !isRequest(part) || s == nil || s.InForce(at) {
			continue
		}
		t.quarantine(at, s)
		s.weighedAt = at
		quarantined = append(quarantined, part)
	}
	return quarantined
}

// commonEnds is the number of servers that have a common cause, such as a data centre that is cut off or loses power, if they end within
// minEndsApart.
const commonEnds = 3

// serverEnd is the end of a server.
type serverEnd struct {
	engine Engine
	at     time.Time
}

// noteEnd records the end of a server, whichever request was open there.
func (t *Tracker) noteEnd(at time.Time, engine Engine) {
	t.ends = slices.DeleteFunc(t.ends, func(e serverEnd) bool { return e.engine == engine || at.Sub(e.at) > endsKeptFor })
	if len(t.ends) < maxExplained {
		t.ends = append(t.ends, serverEnd{engine, at})
	}
}

// endsKeptFor is how long the end of a server is remembered: reports of others come by the control instances.
const endsKeptFor = 5 * time.Second

// endedTogether reports whether the server that ended at a time did so with others.
func (t *Tracker) endedTogether(at time.Time) bool {
	n := 0
	for _, e := range t.ends {
		if at.Sub(e.at).Abs() <= minEndsApart {
			n++
		}
	}
	return n >= commonEnds
}

// mergeWeighed recognises a quarantine of another process that one end has begun, and ends it if the server did not end alone.
func (t *Tracker) mergeWeighed(now time.Time, s *Suspicion) {
	if !s.InForce(now) || s.Quarantines != 1 || s.Ends > 1 || s.UnansweredEnds > 1 {
		return
	}
	s.weighedAt = s.LastEndAt
	if t.endedTogether(s.LastEndAt) {
		t.releaseWeighed(s.LastEndAt)
	}
}

// releaseWeighed ends the quarantines that the first ends of a common cause have begun.
func (t *Tracker) releaseWeighed(at time.Time) {
	for _, s := range t.suspicions {
		if !s.weighedAt.IsZero() && at.Sub(s.weighedAt).Abs() <= minEndsApart && s.Quarantines == 1 {
			s.QuarantinedUntil, s.weighedAt, s.Quarantines = time.Time{}, time.Time{}, 0
		}
	}
}
