// Package world runs the real shells of entry instances and agents over an in-memory network and disk, with stand-in
// backend servers, for history checks in virtual time. It is meant for use in a testing/synctest bubble.
package world

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const fleetKey = "world-fleet-key-0123456789"

// node is a process on the network.
type node struct {
	name       string
	dataCentre fleet.DataCentre
	hello      func() protocol.Hello
	handler    transport.Handler
}

// link is one connection between two processes. a has dialled.
type link struct {
	a, b   *node
	faults *transport.Faults
	ends   [2]transport.Session
}

// network joins processes by in-memory sessions and breaks them on demand.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node // by inner address
	links []*link
	// silenced are the links that have gone silent for good.
	silenced []*link
	blocked  map[[2]fleet.DataCentre]bool // from, to
}

func newNetwork() *network {
	return &network{nodes: make(map[string]*node), blocked: make(map[[2]fleet.DataCentre]bool)}
}

func (n *network) register(address string, as *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = as
}

var errUnreachable = errors.New("the address is out of reach")

// connect returns the function that opens sessions from a process to an address.
func (n *network) connect(from *node, address string) transport.ConnectFunc {
	return func(ctx context.Context, h transport.Handler) (transport.Session, error) {
		n.mu.Lock()
		to := n.nodes[address]
		cut := to == nil || n.cutLocked(from, to) || n.cutLocked(to, from)
		n.mu.Unlock()
		if cut {
			return nil, errUnreachable
		}
		config := transport.Config{FleetKey: []byte(fleetKey)}
		a, b, faults, err := transport.Pipe(config, from.hello(), h, config, to.hello(), to.handler)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l := &link{a: from, b: to, faults: faults, ends: [2]transport.Session{a, b}}
		n.links = append(n.links, l)
		if n.nodes[address] != to {
			faults.Reset() // the process has died meanwhile
		}
		n.apply(l)
		return a, nil
	}
}

func (n *network) cutLocked(from, to *node) bool {
	return n.blocked[[2]fleet.DataCentre{from.dataCentre, to.dataCentre}]
}

// apply silences a link as the partitions demand.
func (n *network) apply(l *link) {
	l.faults.Stall(transport.AToB, n.cutLocked(l.a, l.b))
	l.faults.Stall(transport.BToA, n.cutLocked(l.b, l.a))
}

// block silences all traffic from one data centre to another, or ends the silence.
func (n *network) block(from, to fleet.DataCentre, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]fleet.DataCentre{from, to}] = on
	for _, l := range n.links {
		n.apply(l)
	}
}

// heal ends all partitions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	for _, l := range n.links {
		n.apply(l)
	}
}

// silence makes all present links of two processes go silent for good, as when something between them has lost track
// of the connections. New links work.
func (n *network) silence(x, y string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.links[:0]
	for _, l := range n.links {
		if (l.a.name == x && l.b.name == y) || (l.a.name == y && l.b.name == x) {
			l.faults.Stall(transport.AToB, true)
			l.faults.Stall(transport.BToA, true)
			n.silenced = append(n.silenced, l)
			continue // no partition's end brings it back
		}
		kept = append(kept, l)
	}
	n.links = kept
}

// leave takes a dead process off the network and breaks its links.
func (n *network) leave(address string, gone *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" && n.nodes[address] == gone {
		delete(n.nodes, address)
	}
	kept := n.links[:0]
	for _, l := range n.links {
		if l.a == gone || l.b == gone {
			l.faults.Reset()
			continue
		}
		kept = append(kept, l)
	}
	n.links = kept
}

// closeAll breaks all links.
func (n *network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range slices.Concat(n.links, n.silenced) {
		l.faults.Reset()
		l.ends[0].Close("the run has ended")
		l.ends[1].Close("the run has ended")
	}
	n.links, n.silenced = nil, nil
}

// pipeListener hands in-memory connections to an HTTP server.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// dial connects to the listener.
func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
