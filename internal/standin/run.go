package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds how long a client may take to send its request headers.
const headerTimeout = 10 * time.Second

// Start serves a stand-in on a TCP address such as 127.0.0.1:0 and returns the address it listens on. stop closes all
// connections at once, as when a server process crashes, and waits until the server has ended.
func Start(address string, h http.Handler) (listenAddress string, stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), func() {
		_ = server.Close()
		<-done
	}, nil
}

// Run serves a stand-in on a TCP address until the context ends.
func Run(ctx context.Context, address string, h http.Handler) error {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
