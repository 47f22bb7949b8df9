package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// ConnectFunc opens a session whose events are delivered to the handler.
type ConnectFunc = func(ctx context.Context, h Handler) (Session, error)

// maxPoolBackoff bounds the wait between two connection attempts. An evacuation must reach all instances within 3 s of the
// end of a partition; with the default bound of a Reconnector, up to 5 s would pass before the next attempt.
const maxPoolBackoff = time.Second

// Pool maintains one session to each of a changing set of addresses.
type Pool struct {
	connect func(address string) ConnectFunc
	handler Handler

	mu           sync.Mutex
	reconnectors map[string]*Reconnector
	closed       bool
}

// NewPool returns a pool without addresses. connect returns the function that opens a session to an address.
func NewPool(connect func(address string) ConnectFunc, h Handler) *Pool {
	return &Pool{connect: connect, handler: h, reconnectors: make(map[string]*Reconnector)}
}

// Set replaces the set of addresses. Sessions to addresses no longer in it are closed.
func (p *Pool) Set(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, address := range addresses {
		if _, ok := p.reconnectors[address]; !ok {
			p.reconnectors[address] = p.newReconnector(address)
		}
	}
	for address, reconnector := range p.reconnectors {
		if !slices.Contains(addresses, address) {
			delete(p.reconnectors, address)
			go reconnector.Close("the address is no longer named")
		}
	}
}

func (p *Pool) newReconnector(address string) *Reconnector {
	return NewReconnector(ReconnectorConfig{
		MaxBackoff: maxPoolBackoff,
		Connect:    p.connect(address),
		Handler:    p.handler,
		ConnectFailed: func(err error, retry time.Duration) {
			log.WithError(err).WithField("address", address).WithField("retry", retry).Debug("session not opened")
		},
		EndsEarly: func(reason string, times int) {
			metrics.GetOrCreateCounter(`banyanfront_sessions_ended_early_total`).Inc()
			entry := log.WithFields(log.Fields{"address": address, "reason": reason, "times": times})
			if times&(times-1) == 0 {
				entry.Error("sessions with this address end again and again soon after they were opened; see the reason")
				return
			}
			entry.Debug("another session ended soon after it was opened")
		},
	})
}

// Each calls f for the current session of each connected address.
func (p *Pool) Each(f func(Session)) {
	for _, reconnector := range p.snapshot() {
		if s := reconnector.Session(); s != nil {
			f(s)
		}
	}
}

// Session returns the current session to an address, or nil.
func (p *Pool) Session(address string) Session {
	p.mu.Lock()
	reconnector := p.reconnectors[address]
	p.mu.Unlock()
	if reconnector == nil {
		return nil
	}
	return reconnector.Session()
}

func (p *Pool) snapshot() []*Reconnector {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Reconnector, 0, len(p.reconnectors))
	for _, reconnector := range p.reconnectors {
		list = append(list, reconnector)
	}
	return list
}

// Close closes all sessions; later calls of Set have no effect.
func (p *Pool) Close(reason string) {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, reconnector := range p.snapshot() {
		reconnector.Close(reason)
	}
}
