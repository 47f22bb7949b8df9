// Package quarantine finds the parts of prompts, and the whole requests, that crash servers, and keeps them from the next one.
//
// An engine that crashes ends all requests that are open there, so a single end says little: the part at fault is one of
// those in a request whose answer had not begun, or only just. Two facts tell it from the others. It was open at each end, while
// others meet an engine's end by chance; and no answer on it ever goes on, while an answer on any other part that does, or is
// complete, lifts the suspicion from it. The first event alone proves nothing: an engine may crash right after it. So a part is
// quarantined once engines have ended twice with it, without an answer on it in between. The ends that it explains then no longer
// count against other parts.
//
// Where nothing of the service is answered between two ends, as nothing is while a lock-step group is closed, the second fact
// says nothing. A part that few requests have is then quarantined by the first fact alone, after one end more. In a quiet hour the
// next answer may be a minute away, and most requests may have the part at fault. So the same holds for a part on which no answer has
// ever gone on, provided that the service has answered other requests lately: one that is broken as a whole would put all parts into
// quarantine. Such a quarantine is short at first, as it may hit a part that many sound requests have.
//
// A whole request that comes again is a part of its own, which RequestPart names by a digest. Other requests do not share it, so a
// wrong guess costs less than with a part of prompts, and less evidence suffices: three ends count, however soon they follow one
// another, if the request was sent to each server after the end before. Ends count however far the answer had come, and only a
// complete answer lifts the suspicion. Nothing is kept of requests under which no server has ended.
//
// A Tracker is merged with those of other processes: reports may arrive late, repeatedly and in any order.
package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// endsToQuarantine is the number of separate ends after which a part is quarantined for which no answer is known to
	// vouch, and endsIfAnswered that for other parts. Those share prompts with the part at fault more often than they have
	// turned harmful themselves.
	endsToQuarantine = 2
	endsIfAnswered   = 4
	// moreEndsUnanswered is the number of ends more if no answer of the service began in between, and maxRareRatio the part of
	// the service's recent requests that have a part which is then quarantined at all: of one that many have, it is no surprise
	// that it was open at each end. minRequests is the number of requests below which that is not known.
	moreEndsUnanswered = 1
	maxRareRatio       = 0.05
	minRequests        = 40
	// requestWindow is the time over which requests are counted, twice at most.
	requestWindow = 30 * time.Second
	// minEndsApart is the minimum time between two ends that are counted separately. Engines that end together, such as those
	// of a data centre that loses power, have a common cause.
	minEndsApart = time.Second
	// firstQuarantine is the duration of a part's first quarantine. Each further one takes twice as long, up to maxQuarantine.
	// After it, requests with the part are sent to engines again, and one more end suffices for the next quarantine: the
	// price of a trial is an engine, and for some seconds its lock-step group.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = 2 * time.Hour
	// firstRequestQuarantine is firstQuarantine for whole requests: few callers are affected by a trial, and by a wrong guess.
	firstRequestQuarantine = time.Minute
	// firstCommonQuarantine is firstQuarantine for parts that many requests have, found without answers between the ends.
	firstCommonQuarantine = time.Minute
	// answersFor is how long an answer shows that the service answers requests without a part.
	answersFor = 10 * time.Minute
	// forgetAfter is the time without a report after which a suspicion is dropped.
	forgetAfter = 10 * time.Minute
	// soundFor is how long an answer on a part vouches for it.
	soundFor = 10 * time.Minute
	// SoundAfter is how long an answer has to go on after its first event to vouch for the parts of its prompt.
	SoundAfter = time.Second
	// maxParts limits the suspected parts, and maxSound twice the sound ones, of all services together.
	maxParts = 4096
	maxSound = 8192
	// maxEngines limits the engines that are recorded for one part, and maxExplained those whose end is explained.
	maxEngines   = 16
	maxExplained = 4096
)

// Engine identifies one incarnation of an engine.
type Engine struct {
	Server          string `cbor:"1,keyasint"`
	StartedAtMillis int64  `cbor:"2,keyasint"`
}

// Key identifies a part of prompts at the engines of one service. For a whole request, which is known by its digest whatever service it
// is sent to, Service is the last one whose server ended.
type Key struct {
	Service string
	Part    string
}

// index returns the key by which a tracker finds what it knows of a part: a route may split its traffic among services, and a request
// that crashes the servers of one is kept from those of the others.
func (k Key) index() Key {
	if isRequest(k.Part) {
		k.Service = ""
	}
	return k
}

// requestPrefix distinguishes whole requests from parts of prompts, whose names are hexadecimal.
const requestPrefix = "request:"

// RequestPart returns the part that stands for all repeats of a request, given a digest of what they have in common.
func RequestPart(digest string) string { return requestPrefix + digest }

// isRequest reports whether a part stands for a whole request.
func isRequest(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// Suspicion is what is known of a suspected part.
type Suspicion struct {
	Key
	Ends             int       // counted separate ends
	LastEndAt        time.Time // of the last one counted
	UnansweredEnds   int       // counted without regard to answers of the service in between
	LastUnansweredAt time.Time // of the last one of these
	QuarantinedUntil time.Time // zero if never quarantined
	Quarantines      int
	weighedAt        time.Time // of the end that has put it into quarantine because much was at stake; zero if another reason has
	recurred         bool      // an end came minEndsApart after the one before, or later
	AnsweredBefore   bool      // an answer vouched for the part before the first of these ends
	// With holds other parts of the same requests that are suspected to the same degree. While there are any, only requests with
	// all of them are in quarantine: one with fewer shows which part it is.
	With    []string
	Engines []Engine // that ended with the part, the last maxEngines
}

// clone returns a copy that shares no memory with the tracker.
func (s *Suspicion) clone() Suspicion {
	c := *s
	c.Engines, c.With = slices.Clone(s.Engines), slices.Clone(s.With)
	return c
}

// endsNeeded returns the number of separate ends that puts the part into quarantine.
func (s *Suspicion) endsNeeded() int {
	if s.AnsweredBefore {
		return endsIfAnswered
	}
	return endsToQuarantine
}

// InForce reports whether the part is quarantined at a time.
func (s *Suspicion) InForce(now time.Time) bool { return now.Before(s.QuarantinedUntil) }

// Tracker holds the suspected and the sound parts. It is not safe for concurrent use.
type Tracker struct {
	suspicions map[Key]*Suspicion   // by Key.index
	answeredAt map[string]time.Time // newest answer that vouches for any part, by service
	// sound holds when an answer has last vouched for a part; soundBefore is the generation before it, dropped as a whole.
	sound, soundBefore map[Key]time.Time
	explained          map[Engine]bool // engines that ended with a part that is quarantined by now
	requests           map[string]*requestCounts
	ends               []serverEnd // recent ones
}

// requestCounts counts the recent requests of a service by part, in this and the previous window.
type requestCounts struct {
	since                time.Time
	total, totalBefore   int
	byPart, byPartBefore map[string]int
}

// New returns a tracker without suspicions.
func New() *Tracker {
	return &Tracker{suspicions: map[Key]*Suspicion{}, answeredAt: map[string]time.Time{}, sound: map[Key]time.Time{},
		soundBefore: map[Key]time.Time{}, explained: map[Engine]bool{}, requests: map[string]*requestCounts{}}
}

// RecordRequest counts a request, also one that is refused.
func (t *Tracker) RecordRequest(now time.Time, service string, parts []string) {
	c := t.requests[service]
	if c == nil || now.Sub(c.since) >= requestWindow || len(c.byPart) >= maxSound {
		next := &requestCounts{since: now, byPart: map[string]int{}}
		if c != nil && now.Sub(c.since) < 2*requestWindow {
			next.totalBefore, next.byPartBefore = c.total, c.byPart
		}
		c = next
		t.requests[service] = c
	}
	c.total++
	for _, part := range parts {
		if !isRequest(part) {
			c.byPart[part]++
		}
	}
}

// isRare reports whether few of the service's recent requests have a part.
func (t *Tracker) isRare(key Key) bool {
	c := t.requests[key.Service]
	if c == nil || c.total+c.totalBefore < minRequests {
		return false
	}
	return float64(c.byPart[key.Part]+c.byPartBefore[key.Part]) <= maxRareRatio*float64(c.total+c.totalBefore)
}

// standsOut reports whether a part distinguishes requests with it although nothing was answered between the ends of engines: few
// requests have it, or the service answers others and has never answered one with it.
func (t *Tracker) standsOut(at time.Time, s *Suspicion) bool {
	answered := t.answeredAt[s.Service]
	return t.isRare(s.Key) || !s.AnsweredBefore && !answered.IsZero() && at.Sub(answered) <= answersFor
}

// End is the end of an engine at which a request was open.
type End struct {
	At      time.Time
	OpenFor time.Duration // since the request was sent to the engine
	Service string
	Engine  Engine
	Parts   []string // of the request, without those for which its answer vouches already
	// Answering is set if events of the answer had come, from this engine or an earlier one.
	Answering bool
}

// RecordEnd records the end of an engine. It returns those of the request's parts for which this is news, and those that it puts into
// quarantine.
func (t *Tracker) RecordEnd(end End) (news, quarantined []string) {
	at, service, engine, parts := end.At, end.Service, end.Engine, end.Parts
	t.noteEnd(at, engine)
	var together []string // put into quarantine by the same end
	for _, part := range parts {
		key := Key{service, part}
		s := t.find(key)
		if s != nil && s.InForce(at) && containsAll(parts, s.With) {
			t.explain(s, engine)
		}
		if s != nil && slices.Contains(s.Engines, engine) || at.Before(t.soundAt(key)) || t.explained[engine] {
			continue
		}
		s = t.suspicion(key)
		s.Service = service
		news = append(news, part)
		s.addEngine(engine)
		if s.InForce(at) { // without those of With: this part alone is at fault
			t.clearPartners(s)
			quarantined = append(quarantined, part)
			continue
		}
		if t.countEnd(&end, s) {
			t.quarantine(at, s)
			together = append(together, part)
		}
	}
	for _, part := range together {
		t.find(Key{service, part}).With = slices.DeleteFunc(slices.Clone(together), func(other string) bool { return other == part })
	}
	quarantined = append(quarantined, together...)
	for _, part := range quarantined {
		s := t.find(Key{service, part})
		t.explain(s, s.Engines...)
	}
	return news, quarantined
}

// countEnd counts an end if it is separate from those before, and reports whether that suffices for a quarantine.
func (t *Tracker) countEnd(end *End, s *Suspicion) bool {
	at, sentAt := end.At, end.At.Add(-end.OpenFor)
	// While the service answers nothing, nothing distinguishes a part from the others: engines that crash as they start, or a
	// group that is broken again and again, would put all parts into quarantine.
	// Answers in between say little, too, if the ends are close: other servers answer while some crash together.
	// A stream that is being answered is open for long, and two engines may end in that time by chance.
	separate := s.Ends == 0 || s.isApart(at, sentAt, s.LastEndAt) && at.Sub(s.LastEndAt) >= minEndsApart &&
		t.answeredAt[s.Service].After(s.LastEndAt) && !(end.Answering && isRequest(s.Part))
	if separate {
		s.Ends++
		s.LastEndAt = at
	}
	enough := separate && s.Ends >= s.endsNeeded()
	needed := s.endsNeeded() + moreEndsUnanswered
	if s.UnansweredEnds == 0 || s.isApart(at, sentAt, s.LastUnansweredAt) {
		s.recurred = s.recurred || s.UnansweredEnds > 0 && at.Sub(s.LastUnansweredAt) >= minEndsApart
		s.UnansweredEnds++
		s.LastUnansweredAt = at
		enough = enough || s.UnansweredEnds >= needed && (isRequest(s.Part) || t.standsOut(at, s))
	}
	if isRequest(s.Part) && s.recurred && len(s.Engines) >= needed { // copies of it were open at ends that count as one
		s.UnansweredEnds = max(s.UnansweredEnds, needed)
		return true
	}
	return enough
}

// isApart reports whether an end has another cause than an earlier one, unless both are due to the part. Engines that fail together
// have a common cause, but not if the request was sent to the second one after the end of the first.
func (s *Suspicion) isApart(at, sentAt, earlier time.Time) bool {
	if isRequest(s.Part) {
		return sentAt.After(earlier)
	}
	return at.Sub(earlier) >= minEndsApart
}

// quarantine begins the next quarantine of the part.
func (t *Tracker) quarantine(at time.Time, s *Suspicion) {
	first := firstQuarantine
	switch {
	case isRequest(s.Part):
		first = firstRequestQuarantine
	case s.Ends < s.endsNeeded() && !t.isRare(s.Key):
		first = firstCommonQuarantine
	}
	s.QuarantinedUntil = at.Add(min(first<<min(s.Quarantines, 16), maxQuarantine))
	s.Quarantines++
}

// containsAll reports whether parts contains all of others.
func containsAll(parts, others []string) bool {
	return !slices.ContainsFunc(others, func(other string) bool { return !slices.Contains(parts, other) })
}

// clearPartners lifts the suspicion from the parts that were suspected together with one that is now known to be at fault.
func (t *Tracker) clearPartners(s *Suspicion) {
	for _, partner := range s.With {
		delete(t.suspicions, Key{s.Service, partner}.index())
	}
	s.With = nil
}

// find returns the suspicion of a part, nil if there is none.
func (t *Tracker) find(key Key) *Suspicion { return t.suspicions[key.index()] }

// suspicion returns the suspicion of a part, a new one if there is none.
func (t *Tracker) suspicion(key Key) *Suspicion {
	s := t.find(key)
	if s == nil {
		if len(t.suspicions) >= maxParts {
			t.dropOldest()
		}
		s = &Suspicion{Key: key, AnsweredBefore: !t.soundAt(key).IsZero()}
		t.suspicions[key.index()] = s
	}
	return s
}

func (s *Suspicion) addEngine(engine Engine) {
	s.Engines = append(s.Engines, engine)
	s.Engines = s.Engines[max(0, len(s.Engines)-maxEngines):]
}

// explain records that engines ended because of a quarantined part, and clears the other parts of these ends. A whole request
// explains nothing: a sound one that was sent from engine to engine together with the one at fault would clear that.
func (t *Tracker) explain(cause *Suspicion, engines ...Engine) {
	if isRequest(cause.Part) {
		return
	}
	if len(t.explained) >= maxExplained {
		clear(t.explained)
	}
	for _, engine := range engines {
		t.explained[engine] = true
	}
	for key, s := range t.suspicions {
		if s == cause || s.Service != cause.Service || s.Quarantines > 0 {
			continue
		}
		s.Engines = slices.DeleteFunc(s.Engines, func(e Engine) bool { return t.explained[e] })
		s.Ends, s.UnansweredEnds = min(s.Ends, len(s.Engines)), min(s.UnansweredEnds, len(s.Engines))
		if len(s.Engines) == 0 {
			delete(t.suspicions, key)
		}
	}
}

// RecordAnswer records that an answer vouches for all of the parts: it is complete, or has gone on for SoundAfter if the parts are only
// those of a prompt. It returns the suspicions that this lifts.
func (t *Tracker) RecordAnswer(at time.Time, service string, parts []string) (lifted []Suspicion) {
	if at.After(t.answeredAt[service]) {
		t.answeredAt[service] = at
	}
	for _, part := range parts {
		if s := t.lift(at, Key{service, part}); s != nil {
			lifted = append(lifted, *s)
		}
	}
	return lifted
}

// lift records that a part is sound. It returns the suspicion that there was, nil if there was none.
func (t *Tracker) lift(at time.Time, key Key) *Suspicion {
	s := t.find(key)
	if s == nil && isRequest(key.Part) {
		return nil
	}
	if len(t.sound) >= maxSound {
		t.sound, t.soundBefore = make(map[Key]time.Time, maxSound), t.sound
	}
	t.sound[key.index()] = at
	if s == nil {
		return nil
	}
	delete(t.suspicions, key.index())
	for _, partner := range s.With {
		if other := t.find(Key{s.Service, partner}); other != nil {
			other.With = slices.DeleteFunc(slices.Clone(other.With), func(part string) bool { return part == key.Part })
		}
	}
	return s
}

// soundAt returns when an answer has last vouched for a part, the zero time if none is recorded.
func (t *Tracker) soundAt(key Key) time.Time {
	if at, ok := t.sound[key.index()]; ok {
		return at
	}
	return t.soundBefore[key.index()]
}

// IsSound reports whether answers have vouched for all of the parts lately, other than the whole request, and none is suspected.
func (t *Tracker) IsSound(now time.Time, service string, parts []string) bool {
	for _, part := range parts {
		key := Key{service, part}
		if t.find(key) != nil {
			return false
		}
		if at := t.soundAt(key); !isRequest(part) && (at.IsZero() || now.Sub(at) > soundFor) {
			return false
		}
	}
	return true
}

// HasSuspicions reports whether any part is suspected.
func (t *Tracker) HasSuspicions() bool { return len(t.suspicions) > 0 }

// Quarantined returns the first of the parts that is in quarantine, and the time until it ends. The part is empty if there is
// none.
func (t *Tracker) Quarantined(now time.Time, service string, parts []string) (part string, remaining time.Duration) {
	if len(t.suspicions) == 0 {
		return "", 0
	}
	for _, part := range parts {
		if s := t.find(Key{service, part}); s != nil && s.InForce(now) && containsAll(parts, s.With) {
			return part, s.QuarantinedUntil.Sub(now)
		}
	}
	return "", 0
}

// Merge adds a suspicion of another process. It reports whether that is news, and whether it puts the part into quarantine.
func (t *Tracker) Merge(now time.Time, other Suspicion) (news, quarantined bool) {
	explained := !other.InForce(now) && !slices.ContainsFunc(other.Engines, func(e Engine) bool { return !t.explained[e] })
	if explained || other.LastEndAt.Before(t.soundAt(other.Key)) {
		return false, false
	}
	s := t.suspicion(other.Key)
	before, inForce := s.Ends, s.InForce(now)
	news = other.AnsweredBefore && !s.AnsweredBefore
	if t.isDistinct(s, &other) {
		s.Ends += other.Ends
	} else {
		s.Ends = max(s.Ends, other.Ends)
	}
	news = news || s.Ends > before
	s.Quarantines, s.UnansweredEnds = max(s.Quarantines, other.Quarantines), max(s.UnansweredEnds, other.UnansweredEnds, s.Ends)
	s.AnsweredBefore = s.AnsweredBefore || other.AnsweredBefore
	for _, engine := range other.Engines {
		if !slices.Contains(s.Engines, engine) {
			news = true
			s.addEngine(engine)
		}
	}
	if other.LastEndAt.After(s.LastEndAt) {
		s.LastEndAt = other.LastEndAt
	}
	if inForce && other.InForce(now) && len(other.With) < len(s.With) {
		t.clearPartners(s)
		news = true
	}
	if !inForce {
		s.With = slices.Clone(other.With)
	}
	if other.QuarantinedUntil.After(s.QuarantinedUntil) {
		s.QuarantinedUntil = other.QuarantinedUntil
	}
	t.mergeWeighed(now, s)
	if !s.InForce(now) && s.Ends > before && s.Ends >= s.endsNeeded() {
		t.quarantine(now, s)
	}
	if !inForce && s.InForce(now) {
		t.explain(s, s.Engines...)
		return true, true
	}
	return news, false
}

// isDistinct reports whether another process has counted ends of which none is known here, as after a cut between the two, and
// which are separate from those known here.
func (t *Tracker) isDistinct(s, other *Suspicion) bool {
	if s.Ends == 0 || slices.ContainsFunc(other.Engines, func(e Engine) bool { return slices.Contains(s.Engines, e) }) {
		return false
	}
	apart, earlier := other.LastEndAt.Sub(s.LastEndAt).Abs(), s.LastEndAt
	if other.LastEndAt.Before(earlier) {
		earlier = other.LastEndAt
	}
	return apart >= minEndsApart && t.answeredAt[s.Service].After(earlier)
}

// Counts returns the number of parts under suspicion, and of those in quarantine.
func (t *Tracker) Counts(now time.Time) (suspected, quarantined int) {
	for _, s := range t.suspicions {
		if s.InForce(now) {
			quarantined++
		}
	}
	return len(t.suspicions), quarantined
}

// Suspicions returns a copy of all suspicions, for a process that has none yet.
func (t *Tracker) Suspicions() []Suspicion {
	all := make([]Suspicion, 0, len(t.suspicions))
	for _, s := range t.suspicions {
		all = append(all, s.clone())
	}
	return all
}

// Quarantines returns a copy of the suspicions of parts that are or were in quarantine.
func (t *Tracker) Quarantines() []Suspicion {
	var quarantined []Suspicion
	for _, s := range t.suspicions {
		if s.Quarantines > 0 {
			quarantined = append(quarantined, s.clone())
		}
	}
	return quarantined
}

// Get returns a copy of the suspicion of a part.
func (t *Tracker) Get(service, part string) (Suspicion, bool) {
	s := t.find(Key{service, part})
	if s == nil {
		return Suspicion{}, false
	}
	return s.clone(), true
}

// Expire drops suspicions without a report for too long, and makes one more end suffice for parts whose quarantine is over.
// It returns the parts of the latter.
func (t *Tracker) Expire(now time.Time) (released []Key) {
	for key, s := range t.suspicions {
		switch {
		case s.InForce(now):
		case s.Quarantines > 0 && (s.Ends >= s.endsNeeded() || s.UnansweredEnds > s.endsNeeded()):
			s.Ends, s.UnansweredEnds = s.endsNeeded()-1, s.endsNeeded()
			released = append(released, s.Key)
		case now.Sub(latest(s.LastEndAt, s.LastUnansweredAt)) > forgetAfter && now.Sub(s.QuarantinedUntil) > maxQuarantine:
			delete(t.suspicions, key)
		}
	}
	return released
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropOldest drops the suspicion whose last end is the oldest, if possible of a part that was never quarantined: one prompt of
// many parts must not end the quarantine of another.
func (t *Tracker) dropOldest() {
	var oldest *Suspicion
	for _, s := range t.suspicions {
		if oldest == nil || cmp.Or(cmp.Compare(min(s.Quarantines, 1), min(oldest.Quarantines, 1)), s.LastEndAt.Compare(oldest.LastEndAt)) < 0 {
			oldest = s
		}
	}
	if oldest != nil {
		delete(t.suspicions, oldest.index())
	}
}
