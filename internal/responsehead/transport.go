package responsehead

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/banyanfront/banyanfront/internal/responseend"
)

// Transport is an http.Transport that returns an Error in place of a response with an invalid head. The body of a response without a length
// fails with responseend.ErrBrokenOff where the end of its connection does not show that it is complete.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport over base, which must not be used otherwise. Over TLS no Scanner is used, as only net/http sees
// the bytes of the heads, and an end that the server announces with close_notify is not checked.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: c}, nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interims := 0
	var connection atomic.Pointer[scannedConn] // http.Transport may change it before it returns the response
	trace := &httptrace.ClientTrace{
		// Called before the request is written, so that no byte of its response has been read.
		GotConn: func(info httptrace.GotConnInfo) {
			raw, encrypted := info.Conn, false
			if c, ok := info.Conn.(*tls.Conn); ok {
				raw, encrypted = c.NetConn(), true
			}
			if c, ok := raw.(*scannedConn); ok {
				c.beginRequest(!encrypted)
				connection.Store(c)
			}
		},
		// Called from the goroutine that writes. After an error http.Transport closes the connection; else it only flushes a request that
		// fits in its buffer.
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := connection.Load(); c != nil && info.Err == nil {
				c.finishUpload(nil)
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interims++; interims > MaxInterim { // http.Transport limits them only without this function
				return newError("interim", "more than %d interim responses", MaxInterim)
			}
			return CheckNames(http.Header(header))
		},
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err = CheckFinal(response.StatusCode); err == nil {
		err = CheckNames(response.Header)
	}
	if err != nil {
		_ = response.Body.Close()
		t.base.CloseIdleConnections() // the connection is among them if the response had no body
		return nil, err
	}
	if c := connection.Load(); c != nil && !responseend.Framed(response) {
		c.expectEnd()
	}
	CheckTrailer(response, t.base.CloseIdleConnections) // its connection is among them by the end of the body
	return response, nil
}

// CloseIdleConnections closes the idle connections; http.Client looks for this method.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// scannedConn is a connection to a server that fails where a Scanner refuses a head, and at an end that does not show that the response is
// complete.
type scannedConn struct {
	net.Conn
	mu          sync.Mutex // net/http reads and writes from goroutines of its own
	scanner     Scanner
	invalid     error
	upload      *responseend.Upload // of the latest request, nil before it
	endsMessage bool                // the end of the connection is that of the response
}

// beginRequest begins the upload of a new request. If expectHead is set, the next bytes are those of a head.
func (c *scannedConn) beginRequest(expectHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if expectHead {
		c.scanner.Begin()
	}
	c.upload, c.endsMessage = responseend.NewUpload(), false
}

// expectEnd makes Read check the end of the connection. net/http does not read it before RoundTrip returns.
func (c *scannedConn) expectEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsMessage = true
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if sound, invalid := c.scan(p[:n]); invalid != nil {
		return sound, invalid
	}
	if err == io.EOF {
		if upload := c.uploadToCheck(); upload != nil {
			err = upload.CheckEnd(c.Conn)
		}
	}
	return n, err
}

// scan passes what was read to the scanner. After an error it returns that again, and that nothing is sound.
func (c *scannedConn) scan(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid != nil {
		return 0, c.invalid
	}
	sound, err := c.scanner.Scan(b)
	c.invalid = err
	return sound, err
}

// uploadToCheck returns the upload of the latest request if its response ends with the connection.
func (c *scannedConn) uploadToCheck() *responseend.Upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endsMessage {
		return nil
	}
	return c.upload
}

// Write implements net.Conn.
func (c *scannedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.finishUpload(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *scannedConn) Close() error {
	c.finishUpload(net.ErrClosed)
	return c.Conn.Close()
}

// finishUpload ends the upload of the latest request, unless it has ended. err is nil if the request was written to its end.
func (c *scannedConn) finishUpload(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upload != nil {
		c.upload.Finish(err)
	}
}
