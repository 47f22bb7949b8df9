package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/apex/log"
	"github.com/coder/websocket"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// maxCloseReasonBytes is the maximum length of the reason in a WebSocket close frame.
const maxCloseReasonBytes = 123

// socket is a conn over WebSocket.
type socket struct {
	ws *websocket.Conn
}

var _ conn = (*socket)(nil)

func newSocket(ws *websocket.Conn) *socket {
	c := &socket{ws: ws}
	c.setLimit(maxGreetingBytes)
	return c
}

func (c *socket) setLimit(n int) { c.ws.SetReadLimit(int64(n)) }

func (c *socket) read() (*[]byte, error) {
	kind, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return nil, closeReason(err)
	}
	if kind != websocket.MessageBinary {
		return nil, errors.New("peer sent a text message: only binary messages are allowed")
	}
	b := getBatch()
	for {
		if len(*b) == cap(*b) {
			*b = append(*b, 0)[:len(*b)]
		}
		n, err := r.Read((*b)[len(*b):cap(*b)])
		*b = (*b)[:len(*b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			putBatch(b)
			return nil, closeReason(err)
		}
	}
}

// closeReason converts a WebSocket error to the session's error, such as peerClosed.
func closeReason(err error) error {
	var closed websocket.CloseError
	if errors.As(err, &closed) {
		return &peerClosed{closed.Reason}
	}
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return fmt.Errorf("peer sent a batch above the limit: check the peer's version: %w", err)
	}
	return err
}

func (c *socket) write(batch []byte) error {
	return c.ws.Write(context.Background(), websocket.MessageBinary, batch)
}

func (c *socket) close(reason string) {
	if len(reason) > maxCloseReasonBytes {
		reason = reason[:maxCloseReasonBytes]
	}
	_ = c.ws.Close(websocket.StatusNormalClosure, reason)
}

func (c *socket) abort() { _ = c.ws.CloseNow() }

// AcceptSessions returns the HTTP handler for SessionPath. hello is called for each new session.
func AcceptSessions(cfg Config, hello func() protocol.Hello, h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := Accept(w, r, cfg, hello(), h); err != nil {
			log.WithError(err).WithField("from", r.RemoteAddr).Warn("session refused")
		}
	}
}

// Accept upgrades an HTTP request to a session and authenticates the peer. The session outlives the HTTP handler. On error
// the response has been written.
func Accept(w http.ResponseWriter, r *http.Request, cfg Config, hello protocol.Hello, h Handler) (Session, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		http.Error(w, "session settings are invalid", http.StatusInternalServerError)
		return nil, err
	}
	if r.TLS == nil && !cfg.AllowPlaintext && !isLoopback(r.RemoteAddr) {
		http.Error(w, "TLS is required", http.StatusUpgradeRequired)
		return nil, &HandshakeError{Kind: HandshakePlaintext,
			Detail: fmt.Sprintf("peer %s connected without TLS: use a wss address or allow plaintext in the settings", r.RemoteAddr)}
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, &HandshakeError{Kind: HandshakeConnection, Detail: "WebSocket upgrade from " + r.RemoteAddr, Err: err}
	}
	return open(newSocket(ws), cfg, hello, h, false)
}

// Dial opens a session to a ws or wss URL and authenticates both sides. The context bounds connecting and the handshake
// only.
func Dial(ctx context.Context, address string, cfg Config, hello protocol.Hello, h Handler) (Session, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	u, err := url.Parse(address)
	if err != nil {
		return nil, &HandshakeError{Kind: HandshakeConnection, Detail: "address is not a URL", Err: err}
	}
	if (u.Scheme == "ws" || u.Scheme == "http") && !cfg.AllowPlaintext && !isLoopback(u.Host) {
		return nil, &HandshakeError{Kind: HandshakePlaintext,
			Detail: fmt.Sprintf("address %s has no TLS: use a wss address or allow plaintext in the settings", address)}
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.HandshakeTimeout)
	defer cancel()
	transport := &http.Transport{
		DialContext:         cfg.DialContext,
		TLSClientConfig:     cfg.TLS.Clone(),
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{}, // a WebSocket upgrade needs HTTP/1.1
		TLSHandshakeTimeout: cfg.HandshakeTimeout,
		DisableKeepAlives:   true,
	}
	ws, _, err := websocket.Dial(ctx, address, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, &HandshakeError{Kind: HandshakeConnection, Detail: "connecting to " + address, Err: err}
	}
	c := newSocket(ws)
	stop := context.AfterFunc(ctx, c.abort)
	s, err := open(c, cfg, hello, h, true)
	if !stop() && err == nil {
		s.Close("dialling was abandoned")
		return nil, &HandshakeError{Kind: HandshakeConnection, Detail: "connecting to " + address, Err: ctx.Err()}
	}
	return s, err
}

// isLoopback reports whether an address of the form host, host:port or [host]:port is a loopback address or localhost.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	if host == "localhost" {
		return true
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.Unmap().IsLoopback()
}
