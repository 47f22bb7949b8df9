// Package backendhttp sends requests to backend servers without agents, over pooled HTTP/1.1 connections. It reports for
// each failed attempt whether the request can have run, and never returns the response to another request.
package backendhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanfront/banyanfront/internal/responseend"
	"github.com/banyanfront/banyanfront/internal/responsehead"
)

const (
	// dialTimeout is shorter than the second after which the kernel retransmits a lost SYN, so that another server is tried
	// before that.
	dialTimeout = 500 * time.Millisecond
	// idleTimeoutRatio is the share of a server's idle timeout after which a connection is no longer reused.
	idleTimeoutRatio = 0.7
	// defaultIdleTimeout applies if the server announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout is the idle timeout from which on a server's value is ignored.
	maxIdleTimeout = time.Hour
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 32
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel aborts the connection. Without it, a
	// connection whose peer has become unreachable reports no error.
	unackedTimeout = 1500 * time.Millisecond
	// maxSkippedResponses is the maximum number of responses to other requests that are skipped on one connection.
	maxSkippedResponses = 2
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 1 << 20
	readBufferBytes = 4 << 10
	// maxHeadBytes limits what is read up to the end of a response head, interim responses included: twice the 64 KiB that
	// servers send at most.
	maxHeadBytes = 128 << 10
)

// Errors of a server that sends more than any response needs, possibly without end. The connection is closed.
var (
	ErrHeadTooLong     = errors.New("the response head is longer than 128 KiB")
	ErrInterimTooMany  = errors.New("received more than 5 interim responses")
	ErrSkippedTooLong  = errors.New("received a response to another request that was truncated or too long to skip")
	ErrSkippedTooOften = errors.New("received only responses to other requests")
)

// Client pools the connections of one entry instance to all backend servers. It is safe for concurrent use.
type Client struct {
	// RequestIDHeader is the response header in which a server repeats the identifier of the request.
	RequestIDHeader string

	mu    sync.Mutex
	pools map[string]*pool // by address and server name, so that a reused address gets new connections
}

// pool holds the connections to one server.
type pool struct {
	idle []*conn // the most recently used one is last
	open int     // idle connections and those in use
}

// conn is one connection. Only one request uses it at a time.
type conn struct {
	net.Conn
	key         string
	r           *bufio.Reader // reads from limit
	limit       *headLimit
	reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

// headLimit reads from a connection and, while a head is expected, fails once more than remaining bytes were read, or where the
// scanner refuses it.
type headLimit struct {
	source    io.Reader
	active    bool
	remaining int
	scanner   responsehead.Scanner
	invalid   error
}

// begin expects a head, which starts with the bytes that were read before and are still buffered.
func (l *headLimit) begin(buffered []byte) {
	l.active, l.remaining = true, maxHeadBytes
	l.scanner.Begin()
	_, l.invalid = l.scanner.Scan(buffered)
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	if l.invalid != nil {
		return 0, l.invalid
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if sound, invalid := l.scanner.Scan(p[:n]); invalid != nil {
		l.invalid = invalid
		return sound, invalid
	}
	return n, err
}

// newConn returns a connection without responses.
func newConn(raw net.Conn, key string) *conn {
	limit := &headLimit{source: raw}
	return &conn{Conn: raw, key: key, r: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// Request is a request to a backend server.
type Request struct {
	ID     string
	Method string
	Target string // path and query, unchanged from the caller's request line
	Host   string
	Header http.Header
	Body   [][]byte // in pieces
	Stream bool     // unused
}

// Failure is the error of an attempt that received no response.
type Failure struct {
	// Sent is false only if no byte of the request was written, so that it cannot have run.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	if f.Sent {
		return "request sent, but no complete response received: " + f.Err.Error()
	}
	return "request not sent: " + f.Err.Error()
}

// Unreachable reports whether the server's machine gave no answer: it accepted no connection in time, did not acknowledge
// what was sent, or no path leads there.
func (f *Failure) Unreachable() bool {
	var timeout net.Error
	return errors.As(f.Err, &timeout) && timeout.Timeout() || errors.Is(f.Err, syscall.EHOSTUNREACH) || errors.Is(f.Err, syscall.ENETUNREACH)
}

// Unwrap returns the cause of the failure.
func (f *Failure) Unwrap() error { return f.Err }

// Response is the head of a response; the body is read from Body. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Length int64 // of the body in bytes, -1 if unknown
	// Framed is false if the body extends to the end of the connection.
	Framed bool
	Reused bool // the request was sent on a pooled connection
	// Identified states that the response names the request. One that does not is a failure, and proves nothing: a faulty server may
	// have written it for another request.
	Identified bool

	client          *Client
	conn            *conn
	detach          func() bool // detaches the connection from the context; false if the context has ended
	upload          *responseend.Upload
	closeConnection bool // the connection must not be reused
	closed          bool
}

// ErrTooManyConnections is the cause of a Failure if the limit of open connections to the server is reached.
var ErrTooManyConnections = errors.New("connection limit of this instance for the server reached")

// NewClient returns a client without connections.
func NewClient(requestIDHeader string) *Client {
	return &Client{RequestIDHeader: requestIDHeader, pools: map[string]*pool{}}
}

// Do sends a request to a server and returns the head of its response. The end of the context aborts the exchange at any
// time, also while the body is read. maxConnections limits the open connections to the server, 0 means no limit.
func (c *Client) Do(ctx context.Context, server, address string, maxConnections int, request *Request) (*Response, *Failure) {
	connection, failure := c.connect(ctx, server, address, maxConnections)
	if failure != nil {
		return nil, failure
	}
	detach := context.AfterFunc(ctx, func() { reset(connection.Conn) })
	response, failure := c.exchange(connection, request)
	if failure != nil {
		countExcess(failure.Err)
		detach()
		if ctx.Err() != nil {
			reset(connection.Conn)
			failure.Err = ctx.Err()
		}
		c.discard(connection)
		return nil, failure
	}
	response.detach = detach
	return response, nil
}

// countExcess counts a server that exceeded a limit.
func countExcess(err error) {
	for limit, excess := range map[string]error{"head": ErrHeadTooLong, "interim": ErrInterimTooMany, "skipped": ErrSkippedTooLong,
		"responses": ErrSkippedTooOften} {
		if errors.Is(err, excess) {
			metrics.GetOrCreateCounter(fmt.Sprintf(`banyanfront_backend_excess_total{limit=%q}`, limit)).Inc()
		}
	}
}

// exchange writes the request and reads response heads until the one that answers it.
func (c *Client) exchange(connection *conn, request *Request) (*Response, *Failure) {
	upload, failure := connection.write(request)
	if failure != nil {
		return nil, failure
	}
	response := &Response{client: c, conn: connection, Reused: connection.reused, upload: upload}
	for skipped := 0; ; skipped++ {
		httpResponse, err := connection.readHead(request.Method)
		if err != nil {
			return nil, &Failure{Sent: true, Err: err}
		}
		echoed := httpResponse.Header.Get(c.RequestIDHeader)
		// A failure that names no request answers this one if the connection has had no other.
		unnamed := echoed == "" && httpResponse.StatusCode >= 300 && !connection.reused && skipped == 0
		if echoed == request.ID || unnamed {
			response.Identified = echoed != ""
			response.Status, response.Header, response.Body = httpResponse.StatusCode, httpResponse.Header, httpResponse.Body
			if response.Length = httpResponse.ContentLength; request.Method == http.MethodHead {
				response.Length = -1 // it is the length of another response's body
			}
			response.Framed = responseend.Framed(httpResponse)
			if !response.Framed && httpResponse.Body != http.NoBody {
				response.Body = &unframedBody{r: httpResponse.Body, conn: connection.Conn, upload: upload}
			}
			response.closeConnection = response.closeConnection || httpResponse.Close || !response.Framed || !response.Identified
			connection.idleTimeout = idleTimeout(httpResponse.Header)
			return response, nil
		}
		if skipped >= maxSkippedResponses {
			return nil, &Failure{Sent: true, Err: ErrSkippedTooOften}
		}
		// A response to another request. The expected one may follow; the connection is not reused.
		response.closeConnection = true
		if n, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
			return nil, &Failure{Sent: true, Err: fmt.Errorf("request %.64q: %w", echoed, ErrSkippedTooLong)}
		}
	}
}

// unframedBody is a body that extends to the end of its connection, and fails where that end does not show that it is complete.
type unframedBody struct {
	r      io.Reader
	conn   net.Conn
	upload *responseend.Upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		err = b.upload.CheckEnd(b.conn)
	}
	return n, err
}

// idleTimeout returns how long an idle connection may still be reused, with a margin to the server's own timeout.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 && seconds < maxIdleTimeout.Seconds() {
			return time.Duration(idleTimeoutRatio * seconds * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// hopByHopHeaders contains the canonical names of hop-by-hop headers.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// EndToEnd returns the headers without those that apply to a single connection.
func EndToEnd(header http.Header) http.Header {
	out := make(http.Header, len(header))
	var named []string
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range header {
		if !hopByHopHeaders[name] {
			out[name] = values
		}
	}
	for _, name := range named {
		delete(out, name)
	}
	return out
}

// maxInlineBodyBytes is the largest body that is written together with the head. A larger one is written while the response
// is read, because a server may respond before it has read the whole body.
const maxInlineBodyBytes = 32 << 10

// headBytes is the initial size of the buffer for a request head.
const headBytes = 1 << 10

// write sends the request. The returned upload of a long body goes on after the return.
func (c *conn) write(r *Request) (*responseend.Upload, *Failure) {
	length := 0
	for _, piece := range r.Body {
		length += len(piece)
	}
	inline := length <= maxInlineBodyBytes
	size := headBytes
	if inline {
		size += length
	}
	head := make([]byte, 0, size)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, value := range values {
			head = fmt.Appendf(head, "%s: %s\r\n", name, value)
		}
	}
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", length)
	}
	head = append(head, "\r\n"...)
	if inline {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
	}
	if n, err := c.Write(head); err != nil {
		return nil, &Failure{Sent: n > 0, Err: err}
	}
	upload := responseend.NewUpload()
	if inline {
		upload.Finish(nil)
		return upload, nil
	}
	go func() {
		for _, piece := range r.Body {
			if _, err := c.Write(piece); err != nil {
				upload.Finish(err)
				return
			}
		}
		upload.Finish(nil)
	}()
	return upload, nil
}

// readHead reads the head of the next final response and skips interim ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.r.Peek(c.r.Buffered())
	c.limit.begin(buffered)
	defer func() { c.limit.active = false }()
	for range responsehead.MaxInterim + 1 {
		response, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil && c.limit.remaining <= 0 {
			return nil, ErrHeadTooLong // the parser reports the cut line as malformed
		}
		if c.limit.invalid != nil {
			return nil, c.limit.invalid
		}
		if err != nil {
			return nil, err
		}
		if err := responsehead.CheckNames(response.Header); err != nil {
			return nil, err
		}
		if !responsehead.IsInterim(response.StatusCode) {
			responsehead.CheckTrailer(response, nil) // the connection of a response that was not read to its end is closed
			return response, responsehead.CheckFinal(response.StatusCode)
		}
	}
	return nil, ErrInterimTooMany
}

// Close ends the exchange. complete states that the body was read to its end; the connection is reused only then, and only
// if no data followed the response.
func (r *Response) Close(complete bool) {
	if r.closed {
		return
	}
	r.closed = true
	detached := r.detach() // false once the context has ended
	if !detached {
		reset(r.conn.Conn)
	}
	if !detached || !complete || !r.upload.Written() || r.closeConnection || r.conn.r.Buffered() > 0 {
		r.client.discard(r.conn)
		return
	}
	r.client.putIdle(r.conn)
}

// Connect opens a connection to a server for a later request.
func (c *Client) Connect(ctx context.Context, server, address string, maxConnections int) error {
	connection, err := c.dial(ctx, address+" "+server, address, maxConnections)
	if err != nil {
		return err
	}
	connection.idleTimeout = defaultIdleTimeout
	c.putIdle(connection)
	return nil
}

// dial opens a connection and counts it.
func (c *Client) dial(ctx context.Context, key, address string, maxConnections int) (*conn, error) {
	if !c.reserve(key, maxConnections) {
		return nil, ErrTooManyConnections
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.release(key)
		return nil, err
	}
	return newConn(raw, key), nil
}

// connect returns an idle connection that can still be reused, or else a new one.
func (c *Client) connect(ctx context.Context, server, address string, maxConnections int) (*conn, *Failure) {
	key := address + " " + server
	for {
		idle := c.takeIdle(key)
		if idle == nil {
			break
		}
		if time.Since(idle.idleSince) < idle.idleTimeout && idleAndOpen(idle.Conn) {
			idle.reused = true
			return idle, nil
		}
		c.discard(idle)
	}
	connection, err := c.dial(ctx, key, address, maxConnections)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	return connection, nil
}

// takeIdle removes the most recently used idle connection from the pool and returns it, nil if there is none.
func (c *Client) takeIdle(key string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return last
}

// reserve counts a connection that is about to be opened. It reports false if that would exceed
// limit; 0 means no limit.
func (c *Client) reserve(key string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{}
		c.pools[key] = p
	}
	if limit > 0 && p.open >= limit {
		return false
	}
	p.open++
	return true
}

// release undoes reserve.
func (c *Client) release(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p.open--; p.open == 0 {
		delete(c.pools, key)
	}
}

// discard closes a connection and no longer counts it as open.
func (c *Client) discard(connection *conn) {
	_ = connection.Close() // the exchange has its result already
	c.release(connection.key)
}

// putIdle returns a connection to the pool, or closes it if the pool is full.
func (c *Client) putIdle(connection *conn) {
	c.mu.Lock()
	p := c.pools[connection.key]
	full := len(p.idle) >= maxIdlePerServer
	if !full {
		connection.idleSince = time.Now()
		p.idle = append(p.idle, connection)
	}
	c.mu.Unlock()
	if full {
		c.discard(connection)
	}
}

// CloseAfterUse makes the connection of the response unusable for further requests, and closes the idle ones to its server.
func (r *Response) CloseAfterUse() {
	r.closeConnection = true
	r.client.closeIdleTo(r.conn.key)
}

func (c *Client) closeIdleTo(key string) {
	c.mu.Lock()
	var idle []*conn
	if p := c.pools[key]; p != nil {
		idle, p.idle = p.idle, nil
	}
	c.mu.Unlock()
	for _, connection := range idle {
		c.discard(connection)
	}
}

// CloseIdle closes connections that have been idle for too long to be reused.
func (c *Client) CloseIdle(now time.Time) {
	var stale []*conn
	c.mu.Lock()
	for _, p := range c.pools {
		kept := p.idle[:0]
		for _, idle := range p.idle {
			if now.Sub(idle.idleSince) < idle.idleTimeout {
				kept = append(kept, idle)
			} else {
				stale = append(stale, idle)
			}
		}
		p.idle = kept
	}
	c.mu.Unlock()
	for _, idle := range stale {
		c.discard(idle)
	}
}
