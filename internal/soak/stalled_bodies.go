package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// stalledClients clients hold a body open at the same time, each of stalledBodyBytes.
	stalledClients   = 24
	stalledBodyBytes = 1 << 20
)

// stallBodies has clients send bodies to an entry instance that stop short of their end, until the context ends. None of them is a
// request: a server that runs one breaks a guarantee.
func (f *fleet) stallBodies(ctx context.Context, entry *instance) {
	var open []net.Conn
	for n := range stalledClients {
		c, err := (&net.Dialer{Timeout: callTimeout}).DialContext(ctx, "tcp", entry.settings.CallersListen)
		if err != nil {
			continue // another fault has stopped the instance
		}
		open = append(open, c)
		go func() {
			_, err := fmt.Fprintf(c, "POST %sstalled HTTP/1.1\r\nHost: %s\r\n%s: stalled-%d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", baseRoutes()[0].PathPrefix, host,
				platform.HeaderRequestID, n, platform.HeaderKey, callerKey, stalledBodyBytes)
			if err == nil {
				_, _ = io.WriteString(c, strings.Repeat("x", stalledBodyBytes-1)) // refused or cut off, as may be
			}
		}()
	}
	f.ledger.count("bodies that stop short of their end")
	process.Sleep(ctx, maxFaultTime)
	for _, c := range open {
		_ = c.Close()
	}
}
