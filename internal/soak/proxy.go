package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a listener and can delay, withhold or reset them.
type proxy struct {
	address string
	target  string

	mu        sync.Mutex
	listener  net.Listener  // nil while connections are refused
	accepted  chan struct{} // closed once the listener accepts no more
	changed   chan struct{} // closed when link changes
	link      link
	pairs     map[*pair]bool
	lastFault time.Time // time of the last change of the link or reset
}

// link says how a proxy disturbs the data that it forwards.
type link struct {
	withholdInbound, withholdOutbound bool // withhold data to the listener, data from it
	delay                             time.Duration
}

// pair is an accepted connection and the proxy's connection to the listener.
type pair struct{ caller, callee net.Conn }

const (
	// dialTimeout is the maximum time to connect to the listener, which is on the same machine.
	dialTimeout     = time.Second
	copyBufferBytes = 16 << 10
)

func newProxy(address, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: to, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	p.serve(listener)
	return p, nil
}

// refuse refuses connections, as the machine of a process that has ended does.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		<-p.accepted // the socket stays open as long as it is accepted from
		p.listener = nil
	}
}

// listen accepts connections, also after refuse.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.serve(listener)
	return nil
}

// serve accepts connections from a listener in the background.
func (p *proxy) serve(listener net.Listener) {
	p.listener, p.accepted = listener, make(chan struct{})
	go p.accept(listener, p.accepted)
}

func (p *proxy) accept(listener net.Listener, accepted chan struct{}) {
	defer close(accepted)
	for {
		caller, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(caller)
	}
}

func (p *proxy) forward(caller net.Conn) {
	p.awaitForwarding(func(l link) bool { return l.withholdInbound })
	callee, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		resetConnection(caller)
		return
	}
	c := &pair{caller, callee}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(callee, caller, func(l link) bool { return l.withholdInbound }) })
	both.Go(func() { p.copyDirection(caller, callee, func(l link) bool { return l.withholdOutbound }) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = caller.Close()
	_ = callee.Close()
}

// copyDirection forwards one direction until its end. Like data, the end of a connection is withheld and delayed.
func (p *proxy) copyDirection(to, from net.Conn, withheld func(link) bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		delay := p.awaitForwarding(withheld)
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConnection(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) && half.CloseWrite() == nil {
			return
		}
		resetConnection(to)
		return
	}
}

// awaitForwarding waits while a direction is withheld and returns the delay of the link.
func (p *proxy) awaitForwarding(withheld func(link) bool) time.Duration {
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if !withheld(l) {
			return l.delay
		}
		<-changed
	}
}

// set changes the link and wakes up the withheld directions.
func (p *proxy) set(f func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.link)
	p.lastFault = time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
}

// healthySince reports whether the link has had no fault since a time.
func (p *proxy) healthySince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == link{} && p.lastFault.Before(since)
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFault = time.Now()
	for c := range p.pairs {
		resetConnection(c.caller)
		resetConnection(c.callee)
	}
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	p.refuse()
	p.set(func(l *link) { *l = link{} })
	p.reset()
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails, the connection is closed normally, which is a fault as well
	}
	_ = c.Close()
}
