// Package intake limits what clients can make a process hold: connections, heads, bodies on their way in and answers that they do not
// read. Package memory decides who is admitted; this package applies that to listeners and bodies.
package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/memory"
)

const (
	// patience is how long a body, a head or a reader may make no progress before it is given up for others, if memory is short.
	patience = time.Second
	// roomWait limits the wait of a body for memory. Clients give up a request that is not read within a second.
	roomWait = 500 * time.Millisecond
	// RetryAfter is when a refused client should come back: by then, transfers without progress have been given up.
	RetryAfter = patience
	// defaultIdleTimeout is how long a client may send nothing of a body, or read nothing of an answer.
	defaultIdleTimeout = 15 * time.Second
	// shortageLogInterval is the interval between two log lines on short memory.
	shortageLogInterval = 5 * time.Second
)

// Reasons why a transfer ended before its end; also the values of the label of banyanfront_intake_refused_total.
var (
	// ErrNoRoom reports that the memory for transfers is used up. Nothing has run; the client may come back after RetryAfter.
	ErrNoRoom = errors.New("the memory for the bodies of all clients is used up; send the request again later")
	// ErrTooLong reports a body over its limit.
	ErrTooLong = errors.New("the body is longer than the limit; send less")
	// ErrTooSlow reports a body that did not arrive in time.
	ErrTooSlow = errors.New("the body did not arrive in time; send it without pauses")
	// ErrIncomplete reports a body that the client broke off.
	ErrIncomplete = errors.New("the client broke off the body")
)

// Gate applies one memory budget to all listeners and bodies of a process. It is safe for concurrent use.
type Gate struct {
	idleTimeout atomic.Int64

	memory      int64
	descriptors int

	mu       sync.Mutex
	budget   *memory.Budget
	entries  map[*memory.Holder]*Transfer
	loggedAt time.Time
}

// NewGate returns the gate of a process on a machine with an amount of memory, in bytes, and of descriptors.
func NewGate(memoryBytes int64, descriptors int) *Gate {
	g := &Gate{memory: memoryBytes, descriptors: descriptors, entries: map[*memory.Holder]*Transfer{},
		budget: memory.New(memory.Config{Total: memory.TransferBytes(memoryBytes), Patience: patience})}
	g.SetIdleTimeout(0)
	metrics.GetOrCreateGauge("banyanfront_intake_held_bytes", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.budget.Held())
	})
	metrics.GetOrCreateGauge("banyanfront_intake_budget_bytes", func() float64 { return float64(g.budget.Total()) })
	return g
}

// SetIdleTimeout sets how long a client may send nothing of a body, or read nothing of an answer. 0 stands for the default of 15 s.
func (g *Gate) SetIdleTimeout(d time.Duration) {
	if d <= 0 {
		d = defaultIdleTimeout
	}
	g.idleTimeout.Store(int64(d))
}

// idle returns the timeout of SetIdleTimeout.
func (g *Gate) idle() time.Duration { return time.Duration(g.idleTimeout.Load()) }

// Connections returns the limit for a listener that may use a share of the process's sockets.
func (g *Gate) Connections(share float64) int {
	return memory.Connections(g.memory, g.descriptors, share)
}

// Transfer is a body, a head or an answer for which bytes are held.
type Transfer struct {
	gate    *Gate
	holder  *memory.Holder
	stop    func()        // makes the owner of the transfer end it
	granted chan struct{} // receives once a wait ends with the bytes
	givenUp atomic.Bool
}

// Open starts a transfer of an organisation or address. stop is called if it has to end; it must not block.
func (g *Gate) Open(owner string, stop func()) *Transfer {
	t := &Transfer{gate: g, stop: stop, granted: make(chan struct{}, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	t.holder = g.budget.Open(time.Now(), owner)
	g.entries[t.holder] = t
	return t
}

// TakeNow takes n bytes if there is room for them.
func (t *Transfer) TakeNow(n int64) bool {
	g := t.gate
	g.mu.Lock()
	granted, givenUp := g.budget.RequestNow(time.Now(), t.holder, n)
	g.finish(givenUp)
	return granted
}

// Take takes n bytes, and waits for them a moment if there is no room. It returns ErrNoRoom if there is none.
func (t *Transfer) Take(ctx context.Context, n int64) error {
	g := t.gate
	g.mu.Lock()
	answer, givenUp := g.budget.Request(time.Now(), t.holder, n)
	g.finish(givenUp)
	switch answer {
	case memory.Granted:
		return nil
	case memory.Refused:
		return ErrNoRoom
	}
	timer := time.NewTimer(roomWait)
	defer timer.Stop()
	select {
	case <-t.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget.Withdraw(t.holder) {
		return ErrNoRoom
	}
	<-t.granted // granted meanwhile
	return nil
}

// finish unlocks the gate and ends the transfers that were given up.
func (g *Gate) finish(givenUp []*memory.Holder) {
	var ended []*Transfer
	for _, h := range givenUp {
		ended = append(ended, g.entries[h])
	}
	note := len(ended) > 0 && time.Since(g.loggedAt) >= shortageLogInterval
	if note {
		g.loggedAt = time.Now()
	}
	held, total := g.budget.Held(), g.budget.Total()
	g.mu.Unlock()
	for _, t := range ended {
		count("given_up")
		t.givenUp.Store(true)
		t.stop()
	}
	if note {
		log.WithFields(log.Fields{"heldBytes": held, "budgetBytes": total, "givenUp": len(ended)}).
			Warn("the memory for clients' transfers is used up: those without progress are given up")
	}
}

// Arrived states that the transfer no longer depends on its client, so that it is not given up any more.
func (t *Transfer) Arrived() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.budget.Arrived(t.holder)
}

// Shrink returns all but n bytes. It may be called on nil.
func (t *Transfer) Shrink(n int64) {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.budget.Shrink(t.holder, max(0, t.holder.Held()-n)))
}

// Close ends the transfer and returns its bytes. It may be called more than once, and on nil.
func (t *Transfer) Close() {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.entries, t.holder)
	g.wake(g.budget.Close(t.holder))
}

// stopped reports whether the transfer was given up for others.
func (t *Transfer) stopped() bool { return t != nil && t.givenUp.Load() }

func (g *Gate) wake(granted []*memory.Holder) {
	for _, h := range granted {
		if t := g.entries[h]; t != nil {
			t.granted <- struct{}{}
		}
	}
}

// count counts a transfer or a connection that was refused or ended.
func count(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_intake_refused_total{reason=%q}`, reason)).Inc()
}
