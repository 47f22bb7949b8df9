package process

import "sync"

// otherLabel replaces all values beyond the limit of a LabelLimiter.
const otherLabel = "other"

// LabelLimiter limits the number of series of a metric: the first values have series of their own, all others share one.
type LabelLimiter struct {
	limit  int
	mu     sync.Mutex
	values map[string]bool
}

// NewLabelLimiter returns a limiter that allows up to limit values with series of their own.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, values: make(map[string]bool)}
}

// Label returns the label for a value: the value itself, or "other" if it is beyond the limit.
func (l *LabelLimiter) Label(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values[value] {
		return value
	}
	if len(l.values) >= l.limit {
		return otherLabel
	}
	l.values[value] = true
	return value
}
