package quarantine

import (
	"strings"
	"time"
)

// Trial returns the key under which requests with the parts are sent one at a time by all processes together, empty if they are not limited.
// That is so if as many servers have ended with one of the parts as put it into quarantine, but too close to each other: they may have
// had another cause in common, or crashed under several of these requests. A part that was answered before is not limited, nor one that
// many requests have in a service that answers nothing: it was open at servers that ended for another reason, too.
func (t *Tracker) Trial(now time.Time, service string, parts []string) string {
	if len(t.suspicions) == 0 {
		return ""
	}
	for _, part := range parts {
		key := Key{service, part}
		s := t.find(key)
		if s == nil || s.InForce(now) {
			continue
		}
		switch {
		case isRequest(part) && len(s.Engines) >= s.endsNeeded()+moreEndsUnanswered:
			return trialPrefix + part
		case !isRequest(part) && !s.AnsweredBefore && len(s.Engines) >= s.endsNeeded() && t.standsOut(now, s):
			return trialPrefix + service + "/" + part
		}
	}
	return ""
}

// trialPrefix distinguishes the keys of trials from the names of services.
const trialPrefix = "trial:"

// IsTrial reports whether a key comes from Tracker.Trial.
func IsTrial(key string) bool { return strings.HasPrefix(key, trialPrefix) }
