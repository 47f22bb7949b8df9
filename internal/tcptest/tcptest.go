// Package tcptest starts servers for tests that write the bytes of their responses themselves.
package tcptest

import (
	"net"
	"testing"
)

// Start starts a server that passes each connection to serve, which runs in a goroutine of its own, and closes it afterwards. It returns
// the address. The test stops the server at its end.
func Start(t testing.TB, serve func(c *net.TCPConn)) string {
	t.Helper()
	return StartWith(t, &net.ListenConfig{}, serve)
}

// StartWith is Start with the options of the listener.
func StartWith(t testing.TB, config *net.ListenConfig, serve func(c *net.TCPConn)) string {
	t.Helper()
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}
