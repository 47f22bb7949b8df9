//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// configuration returns a version with one unsafe route and one safe route to a plain service.
func configuration(version int, extra ...map[string]any) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 4000, "target-latency-ms": 300,
			"priority": 2, "service": "desk", "max-attempts": 2, "public": false, "sticky": false, "resumable": false}
	}
	routes := []map[string]any{route("r-orders", "/orders/", "unsafe"), route("r-status", "/status/", "safe")}
	return map[string]any{"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api-keys": []string{key}, "priority": 1}}}
}

var requests atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int // 0 if the connection ended without an answer
	err    error
}

// send sends one request of a client to an entry instance, on a new connection.
func (p *process) send(method, path string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("c%07d", requests.Add(1)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, path), strings.NewReader("panes=80x120"))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Key", key)
	p.fleet.record.printf("client: sends %s %s %s to %s", a.id, method, path, p.name)
	response, err := plainClient.Do(request)
	if err == nil {
		a.status = response.StatusCode
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.err = err
	p.fleet.record.printf("client: %s ends with status %d, error %v, after %d ms", a.id, a.status, err, time.Since(a.sent).Milliseconds())
	return a
}
