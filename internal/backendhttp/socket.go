package backendhttp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout limits how long sent data may stay unacknowledged. It is a net.Dialer.Control function.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(err, setErr)
}

// reset closes a connection with a TCP RST, so that the server's kernel drops data that the server has not read yet. After
// an ordinary close, a stalled server would still read and run a request whose caller has disconnected.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure it becomes an ordinary close
	}
	_ = c.Close() // the connection is not used any more
}

// idleAndOpen reports whether an idle connection is still open and has no unread data. Unread data belongs to no request,
// and an EOF or error means that the server has closed the connection.
func idleAndOpen(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
