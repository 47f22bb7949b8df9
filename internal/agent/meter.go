package agent

import (
	"sync"
	"time"
)

// meterWeight is the weight of a new observation in the moving averages.
const meterWeight = 0.1

// meter keeps moving averages of the server's times for load reports.
type meter struct {
	mu       sync.Mutex
	first    float64 // seconds to first token
	interval float64 // seconds between tokens
}

func newMeter() *meter { return &meter{} }

func (m *meter) observeFirst(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.first = average(m.first, d.Seconds())
}

// observeTokens notes that tokens arrived together after d.
func (m *meter) observeTokens(d time.Duration, tokens int) {
	if tokens == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interval = average(m.interval, d.Seconds()/float64(tokens))
}

func average(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + meterWeight*(observed-old)
}

func (m *meter) firstTokenTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.first * float64(time.Second))
}

func (m *meter) tokenInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.interval * float64(time.Second))
}
