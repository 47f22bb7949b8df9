package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands before a listener and delays, withholds or resets what passes.
type proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	changed chan struct{} // closed when link changes
	link    link
	pairs   map[*pair]bool
	faulty  time.Time // when the last fault of the link ended; now while one lasts
}

// link is what a proxy does to what passes.
type link struct {
	holdTo, holdFrom bool // withhold what goes to the listener, what comes from it
	delay            time.Duration
}

// pair is a caller's connection with the one to the listener.
type pair struct{ caller, callee net.Conn }

const (
	// dialTimeout bounds the proxy's own connections, which stay on this machine.
	dialTimeout = time.Second
	copyBuffer  = 16 << 10
)

func newProxy(address, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.pass(caller)
	}
}

func (p *proxy) pass(caller net.Conn) {
	p.await(func(l link) bool { return l.holdTo })
	callee, err := net.DialTimeout("tcp", p.to, dialTimeout)
	if err != nil {
		abort(caller)
		return
	}
	c := &pair{caller, callee}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(callee, caller, func(l link) bool { return l.holdTo }) })
	both.Go(func() { p.copy(caller, callee, func(l link) bool { return l.holdFrom }) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = caller.Close()
	_ = callee.Close()
}

// copy passes one direction on until its end. An end is withheld and delayed like bytes.
func (p *proxy) copy(to, from net.Conn, held func(link) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		delay := p.await(held)
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && half.CloseWrite() == nil {
			return
		}
		abort(to)
		return
	}
}

// await waits while a direction is withheld and returns the delay of what passes then.
func (p *proxy) await(held func(link) bool) time.Duration {
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if !held(l) {
			return l.delay
		}
		<-changed
	}
}

// set changes the link.
func (p *proxy) set(f func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.link)
	p.faulty = time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
}

// soundSince reports whether the link has passed everything at once since a moment.
func (p *proxy) soundSince(moment time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == link{} && p.faulty.Before(moment)
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulty = time.Now()
	for c := range p.pairs {
		abort(c.caller)
		abort(c.callee)
	}
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(func(l *link) { *l = link{} })
	p.reset()
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is an ordinary one, which is a fault as well
	}
	_ = c.Close()
}
