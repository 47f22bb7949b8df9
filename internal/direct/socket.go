package direct

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 18

// limitUnacked bounds how long sent data may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(err, set)
}

// reset closes a connection so that the server's side drops what it has not read yet. After an ordinary close, a server that
// stood still would find a request whose caller has left.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is an ordinary one
	}
	_ = c.Close() // nothing is expected from the connection any more
}

// quiet reports whether nothing has arrived on an idle connection. Data there belongs to no request, and an end or an error
// means that the server has closed it.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
