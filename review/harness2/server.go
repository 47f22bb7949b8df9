//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that reached a backend server.
type run struct {
	id   string
	at   time.Time
	path string
}

// server is a stand-in backend server of a plain service.
type server struct {
	fleet   *fleet
	id      string
	service string
	address string
	zone    string
	slots   int
	born    int64
	work    time.Duration

	sequence atomic.Uint64
	silent   atomic.Bool // sends no heartbeats any more
	leaving  atomic.Bool // says in its answers that it leaves
	// draining makes it say in its heartbeats that it drains.
	draining atomic.Bool
	next     atomic.Uint64
	http     *http.Server
	stop     context.CancelFunc

	mu   sync.Mutex
	runs []run
}

// startServer starts a backend server that announces itself to the control instances in turn.
func (f *fleet) startServer(n int, service string, work time.Duration) (*server, error) {
	s := &server{fleet: f, id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, address: fmt.Sprintf("%s:%d", f.address(serverNet, n), serverPort),
		zone: zones[n%len(zones)], slots: 6, born: time.Now().UnixMilli(), work: work}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.beat(ctx)
	return s, nil
}

func (s *server) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		if !s.silent.Load() {
			s.heartbeat(map[bool]string{false: "ready", true: "draining"}[s.draining.Load()])
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// body is what a server says of itself in heartbeats and in its deregistration.
func (s *server) body(state string) []byte {
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": s.sequence.Add(1), "born": s.born})
	return body
}

// heartbeat calls the next control instance, and another one if it does not acknowledge.
func (s *server) heartbeat(state string) (by *process) {
	first := int(s.next.Add(1))
	body := s.body(state)
	for i := range s.fleet.cores {
		p := s.fleet.cores[(first+i)%len(s.fleet.cores)]
		if post(fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", p.ip, controlPort, s.id), body) == http.StatusOK {
			return p
		}
	}
	return nil
}

// deregister says to a control instance that the server leaves, and reports whether that was acknowledged.
func (s *server) deregister(at *process) bool {
	return post(fmt.Sprintf("http://%s:%d/v1/instances/%s/deregister", at.ip, controlPort, s.id), s.body("draining")) == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/health") {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id, time.Now(), r.URL.Path})
	s.mu.Unlock()
	s.fleet.record.printf("server %s: runs %s %s", s.id, id, r.URL.Path)
	time.Sleep(s.work)
	w.Header().Set("X-Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer to %s, %d bytes\n", id, len(body))
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}

func (s *server) close() {
	s.stop()
	_ = s.http.Close()
}
