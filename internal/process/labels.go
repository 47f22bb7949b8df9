package process

import "sync"

// otherLabel stands for all values beyond the bound of Labels.
const otherLabel = "other"

// Labels bounds the series of a metric: the first values have series of their own, all others share one.
type Labels struct {
	limit int
	mu    sync.Mutex
	names map[string]bool
}

// NewLabels returns a bound of so many values.
func NewLabels(limit int) *Labels { return &Labels{limit: limit, names: make(map[string]bool)} }

// Label returns the label of a value.
func (l *Labels) Label(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names[value] {
		return value
	}
	if len(l.names) >= l.limit {
		return otherLabel
	}
	l.names[value] = true
	return value
}
