package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport is an http.Transport that returns an Error in place of a response with an invalid head.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport over base, which must not be used otherwise. Over TLS no Scanner is used, as only net/http sees
// the bytes of the heads.
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
	trace := &httptrace.ClientTrace{
		// Called before the request is written, so that no byte of its response has been read.
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*scannedConn); ok {
				c.expectHead()
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
	return response, nil
}

// CloseIdleConnections closes the idle connections; http.Client looks for this method.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// scannedConn is a connection to a server that fails where a Scanner refuses a head.
type scannedConn struct {
	net.Conn
	mu      sync.Mutex // net/http reads from a goroutine of its own
	scanner Scanner
	invalid error
}

// expectHead makes the next bytes those of a head.
func (c *scannedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin()
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid != nil {
		return 0, c.invalid
	}
	if sound, invalid := c.scanner.Scan(p[:n]); invalid != nil {
		c.invalid = invalid
		return sound, invalid
	}
	return n, err
}
