package agent

import (
	"sync"
	"time"
)

// averageWeight is the weight of a new observation in the moving averages.
const averageWeight = 0.1

// meter computes moving averages of the server's latencies for load reports.
type meter struct {
	mu                sync.Mutex
	firstTokenSeconds float64
	interTokenSeconds float64
}

func newMeter() *meter { return &meter{} }

func (m *meter) observeFirstToken(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstTokenSeconds = movingAverage(m.firstTokenSeconds, d.Seconds())
}

// observeTokens records that tokens arrived together, d after the previous ones.
func (m *meter) observeTokens(d time.Duration, tokens int) {
	if tokens == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.interTokenSeconds = movingAverage(m.interTokenSeconds, d.Seconds()/float64(tokens))
}

func movingAverage(old, observed float64) float64 {
	if old == 0 {
		return observed
	}
	return old + averageWeight*(observed-old)
}

func (m *meter) timeToFirstToken() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.firstTokenSeconds * float64(time.Second))
}

func (m *meter) interTokenLatency() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.interTokenSeconds * float64(time.Second))
}
