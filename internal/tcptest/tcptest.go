// Package tcptest starts servers for tests that write the bytes of their responses themselves, and breaks their connections.
package tcptest

import (
	"bufio"
	"net"
	"testing"
	"time"
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

// EndThenReset ends the server's side of a connection in order, and makes its close a reset, after the client has had time to find the end.
func EndThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(5 * time.Millisecond)
	_ = c.SetLinger(0)
}

// EndsDuringUpload are ways in which a server leaves a connection on which a long request still arrives, by name. Start closes it then.
var EndsDuringUpload = map[string]func(c *net.TCPConn, r *bufio.Reader){
	"reset at once":       func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) },
	"closed unread":       func(*net.TCPConn, *bufio.Reader) {},
	"reset after a part":  func(c *net.TCPConn, r *bufio.Reader) { _, _ = r.Discard(1 << 20); _ = c.SetLinger(0) },
	"reset after its end": func(c *net.TCPConn, _ *bufio.Reader) { EndThenReset(c) },
}
