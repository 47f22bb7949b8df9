package grants

import (
	"math"
	"strconv"
	"time"
)

// MinLimit is used for a server that names a lower limit, in requests a second: without a request, nothing would show that the
// limit has ended.
const MinLimit = 0.2

// ParseLimit returns the requests a second that a server names in a response, MinLimit at least. It reports false for a text that is no
// such number.
func ParseLimit(text string) (requestsPerSecond float64, ok bool) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, false
	}
	return max(n, MinLimit), true
}

// NamedLimit is the limit that a server names in its responses, kept by the one process through which all requests to it pass. The zero
// value is no limit.
type NamedLimit struct {
	granter *Granter // nil for no limit
	namedAt time.Time
}

// Record records that a response to a request sent at a time named a limit, 0 for none. It reports whether the server has begun to name
// one, or has ceased to.
func (l *NamedLimit) Record(now, sentAt time.Time, requestsPerSecond float64) (changed bool) {
	if requestsPerSecond <= 0 {
		if l.granter == nil || !sentAt.After(l.namedAt) {
			return false // the response may be older than the one with the limit
		}
		l.granter = nil
		return true
	}
	l.namedAt = now
	if changed = l.granter == nil; changed {
		l.granter = New()
	}
	l.granter.Update(now, []Limit{{RequestsPerSecond: requestsPerSecond}})
	return changed
}

// Admit takes a permit for a request that is sent now. Without one, it returns the time in which the requests that were not admitted can
// be served.
func (l *NamedLimit) Admit(now time.Time) (admitted bool, retryAfter time.Duration) {
	if l.granter == nil {
		return true, 0
	}
	permits, retryAfter := l.granter.Grant(now, 1)
	return len(permits) == 1, retryAfter
}
