// Package process contains the parts that both programs share: logging, listeners, TLS and shutdown by signal.
package process

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rotisserie/eris"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/intake"
)

// Timeouts and header limit of HTTP servers. Package intake limits the size of bodies and the time to read them: a read timeout of
// the server would also cancel answers that are streamed for longer.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
)

// StatusConnections is the connection limit of a listener for the ready check or the metrics.
const StatusConnections = 64

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation() fleet.Incarnation { return fleet.Incarnation(time.Now().UnixNano()) }

// SetLogging sets level ("debug", "info", "warn", "error") and format ("text", "json") of the log on standard error.
func SetLogging(level, format string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return eris.Wrapf(err, "log level %q: use debug, info, warn or error", level)
	}
	log.SetLevel(parsed)
	if format == "json" {
		log.SetHandler(json.New(os.Stderr))
		return nil
	}
	log.SetHandler(text.New(os.Stderr))
	return nil
}

// SignalContext returns a context that ends at the first SIGINT or SIGTERM. A second signal ends the process at once.
func SignalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ctx.Done()
		cancel() // restores the default action of the signals
	}()
	return ctx, cancel
}

// ServerTLS loads the certificate of a listener. It returns nil if certFile is empty.
func ServerTLS(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "certificate %s with key %s: give a matching pair in PEM form", certFile, keyFile)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// ClientTLS loads the certificate authority that verifies servers. If caFile is empty, the system's authorities do.
func ClientTLS(caFile string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrapf(err, "certificate authority %s: make the file readable", caFile)
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("certificate authority %s holds no certificate: give one in PEM form", caFile)
	}
	return config, nil
}

// Server is an HTTP server on a listener of its own.
type Server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Listen opens a listener and returns a server on it, with TLS if config is not nil. name is the setting of the address, guard limits
// what the clients can make the process hold.
func Listen(name, address string, handler http.Handler, config *tls.Config, guard *intake.Guard) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "%s: choose a free address", name)
	}
	listener = guard.Listener(listener)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	guard.Configure(server)
	return &Server{name: name, server: server, listener: listener}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve() {
	err := s.server.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).WithField("listener", s.name).Error("listener failed; restart the process")
	}
}

// Shutdown stops listening and waits for open requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close ends all connections.
func (s *Server) Close() { _ = s.server.Close() }
