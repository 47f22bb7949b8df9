// Package world runs the production code of entry instances and agents over an in-memory network and disk, with stand-in
// backend servers, for history checks in virtual time. It is meant to run in a testing/synctest bubble.
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

// link is one connection between two processes, dialled by a.
type link struct {
	a, b     *node
	faults   *transport.Faults
	sessions [2]transport.Session
}

// network connects processes by in-memory sessions, and partitions, stalls or breaks them.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node // by inner address
	links []*link
	// stalledLinks are the links that stay stalled until the end of the run.
	stalledLinks []*link
	blocked      map[[2]fleet.DataCentre]bool // by source and destination
}

func newNetwork() *network {
	return &network{nodes: make(map[string]*node), blocked: make(map[[2]fleet.DataCentre]bool)}
}

func (n *network) register(address string, process *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = process
}

var errUnreachable = errors.New("the address is out of reach")

// connect returns the function that opens sessions from a process to an address.
func (n *network) connect(from *node, address string) transport.ConnectFunc {
	return func(ctx context.Context, h transport.Handler) (transport.Session, error) {
		n.mu.Lock()
		to := n.nodes[address]
		unreachable := to == nil || n.blockedLocked(from, to) || n.blockedLocked(to, from)
		n.mu.Unlock()
		if unreachable {
			return nil, errUnreachable
		}
		config := transport.Config{FleetKey: []byte(fleetKey)}
		a, b, faults, err := transport.Pipe(config, from.hello(), h, config, to.hello(), to.handler)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		l := &link{a: from, b: to, faults: faults, sessions: [2]transport.Session{a, b}}
		n.links = append(n.links, l)
		if n.nodes[address] != to {
			faults.Reset() // the process went down in the meantime
		}
		n.applyBlocks(l)
		return a, nil
	}
}

func (n *network) blockedLocked(from, to *node) bool {
	return n.blocked[[2]fleet.DataCentre{from.dataCentre, to.dataCentre}]
}

// applyBlocks stalls each direction of a link that is blocked, and resumes the others.
func (n *network) applyBlocks(l *link) {
	l.faults.Stall(transport.AToB, n.blockedLocked(l.a, l.b))
	l.faults.Stall(transport.BToA, n.blockedLocked(l.b, l.a))
}

// setBlocked stalls all traffic from one data centre to another without an error on either side, or resumes it.
func (n *network) setBlocked(from, to fleet.DataCentre, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]fleet.DataCentre{from, to}] = blocked
	for _, l := range n.links {
		n.applyBlocks(l)
	}
}

// heal ends all partitions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	for _, l := range n.links {
		n.applyBlocks(l)
	}
}

// stall stalls all traffic on the existing links of two processes until the end of the run, as when a device between
// them has lost its connection state. New links work.
func (n *network) stall(x, y string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept := n.links[:0]
	for _, l := range n.links {
		if (l.a.name == x && l.b.name == y) || (l.a.name == y && l.b.name == x) {
			l.faults.Stall(transport.AToB, true)
			l.faults.Stall(transport.BToA, true)
			n.stalledLinks = append(n.stalledLinks, l)
			continue // heal must not end the stall
		}
		kept = append(kept, l)
	}
	n.links = kept
}

// remove removes a process that went down from the network and breaks its links.
func (n *network) remove(address string, process *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != "" && n.nodes[address] == process {
		delete(n.nodes, address)
	}
	kept := n.links[:0]
	for _, l := range n.links {
		if l.a == process || l.b == process {
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
	for _, l := range slices.Concat(n.links, n.stalledLinks) {
		l.faults.Reset()
		l.sessions[0].Close("the run has ended")
		l.sessions[1].Close("the run has ended")
	}
	n.links, n.stalledLinks = nil, nil
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
