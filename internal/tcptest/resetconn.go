package tcptest

import (
	"io"
	"net"
	"strings"
	"syscall"
)

// ResetConn is a client's connection that is reset while a long request is written. The server has sent a response before that. The error is
// reported to the second write only, and only after a read has found the end.
type ResetConn struct {
	net.Conn  // nil
	response  io.Reader
	requested chan struct{} // closed with the first write
	ended     chan struct{} // closed with the first read that finds the end
	closed    chan struct{}
}

// NewResetConn returns a connection on which a server has sent response.
func NewResetConn(response string) *ResetConn {
	return &ResetConn{response: strings.NewReader(response), requested: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{})}
}

// Read implements net.Conn. It returns nothing before the first write.
func (c *ResetConn) Read(p []byte) (int, error) {
	select {
	case <-c.requested:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	n, err := c.response.Read(p)
	if err == io.EOF {
		close(c.ended)
	}
	return n, err
}

// Write implements net.Conn.
func (c *ResetConn) Write(p []byte) (int, error) {
	select {
	case <-c.requested:
	default:
		close(c.requested)
		return len(p), nil
	}
	select {
	case <-c.ended:
		return 0, syscall.ECONNRESET
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *ResetConn) Close() error {
	close(c.closed)
	return nil
}
