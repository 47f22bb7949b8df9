// Package responseend tells a response that ends with its connection from one that was broken off. The end of a connection, io.EOF, is not
// always the end that the server meant:
//   - The kernel reports a reset to one call only. If that is a write of the request, a read finds the end of the connection.
//   - A server that closes the connection before it has received the whole request ends it in order, and resets it only when more of the
//     request arrives.
package responseend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// ErrBrokenOff reports a connection whose end does not show that the response on it is complete.
var ErrBrokenOff = errors.New("the connection broke before the server had received the whole request, so that its response without a length " +
	"may be incomplete; check the server, or let it send a length or chunks")

// brokenOff returns an ErrBrokenOff with its cause, and counts it unless this process has closed the connection. The label says what showed it.
func brokenOff(shownBy string, cause error) error {
	if !errors.Is(cause, net.ErrClosed) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_broken_response_ends_total{shown_by=%q}`, shownBy)).Inc()
	}
	return fmt.Errorf("%w: %w", ErrBrokenOff, cause)
}

// Upload is the sending of a request, which may go on while its response is read.
type Upload struct {
	once    sync.Once
	written chan struct{} // closed when no more is written
	err     error
}

// NewUpload returns an upload that is not finished.
func NewUpload() *Upload { return &Upload{written: make(chan struct{})} }

// Finish states that the whole request was written to the connection, or the error that prevented it. Only the first call counts.
func (u *Upload) Finish(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.written)
	})
}

// Written reports whether the whole request was written.
func (u *Upload) Written() bool {
	select {
	case <-u.written:
		return u.err == nil
	default:
		return false
	}
}

// Framed reports whether a response tells the end of its body by a length or chunks. The body of any other ends with its connection.
func Framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// CheckEnd is called when a read of the connection has returned io.EOF within a response that is not framed. It waits until the server has
// received the whole request, and returns io.EOF, or an ErrBrokenOff if that does not happen. Closing the connection ends the wait.
func (u *Upload) CheckEnd(c net.Conn) error {
	<-u.written
	if u.err != nil {
		return brokenOff("write", u.err)
	}
	if err := awaitReceipt(c); err != nil {
		return brokenOff("socket", err)
	}
	return io.EOF
}

// Intervals of the questions whether the peer has acknowledged all data; the kernel sends no notice of it.
const (
	firstReceiptInterval = time.Millisecond
	maxReceiptInterval   = 16 * time.Millisecond
)

// awaitReceipt waits until the peer has acknowledged all data that was written to c. It returns nil without a wait if c is no TCP
// connection.
func awaitReceipt(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	for interval := firstReceiptInterval; ; interval = min(2*interval, maxReceiptInterval) {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		switch {
		case err != nil: // closed meanwhile
			return err
		case infoErr != nil:
			return nil
		case info.State == unix.BPF_TCP_CLOSE: // reset, or given up by the kernel
			return syscall.ECONNRESET
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		time.Sleep(interval)
	}
}
