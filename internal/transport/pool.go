package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
)

// ConnectFunc opens a session whose events go to the handler.
type ConnectFunc = func(ctx context.Context, h Handler) (Session, error)

// maxPoolBackoff bounds the wait between two tries to connect: what operators have taken out must be known everywhere 3 s
// after a partition has ended, and 5 s passed until the next try.
const maxPoolBackoff = time.Second

// Pool keeps one session to each of a changing set of addresses.
type Pool struct {
	connect func(address string) ConnectFunc
	handler Handler

	mu      sync.Mutex
	keepers map[string]*Keeper
	closed  bool
}

// NewPool returns a pool without addresses. connect returns the function that opens a session to an address.
func NewPool(connect func(address string) ConnectFunc, h Handler) *Pool {
	return &Pool{connect: connect, handler: h, keepers: make(map[string]*Keeper)}
}

// Set replaces the addresses. Sessions to addresses that are no longer named are closed.
func (p *Pool) Set(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for _, address := range addresses {
		if _, ok := p.keepers[address]; !ok {
			p.keepers[address] = p.keep(address)
		}
	}
	for address, keeper := range p.keepers {
		if !slices.Contains(addresses, address) {
			delete(p.keepers, address)
			go keeper.Close("the address is no longer named")
		}
	}
}

func (p *Pool) keep(address string) *Keeper {
	return NewKeeper(KeeperConfig{
		MaxBackoff: maxPoolBackoff,
		Connect:    p.connect(address),
		Handler:    p.handler,
		Failed: func(err error, retry time.Duration) {
			log.WithError(err).WithField("address", address).WithField("retry", retry).Debug("session not opened")
		},
	})
}

// Each calls f for each session in use.
func (p *Pool) Each(f func(Session)) {
	for _, keeper := range p.snapshot() {
		if s := keeper.Session(); s != nil {
			f(s)
		}
	}
}

// Session returns the session in use to an address, or nil.
func (p *Pool) Session(address string) Session {
	p.mu.Lock()
	keeper := p.keepers[address]
	p.mu.Unlock()
	if keeper == nil {
		return nil
	}
	return keeper.Session()
}

func (p *Pool) snapshot() []*Keeper {
	p.mu.Lock()
	defer p.mu.Unlock()
	keepers := make([]*Keeper, 0, len(p.keepers))
	for _, keeper := range p.keepers {
		keepers = append(keepers, keeper)
	}
	return keepers
}

// Close ends all sessions; the pool takes no more addresses.
func (p *Pool) Close(reason string) {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, keeper := range p.snapshot() {
		keeper.Close(reason)
	}
}
