//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

// arrival is a request that has reached a server and was not misdirected.
type arrival struct {
	request string
	at      time.Time
}

// server is a stand-in for an engine of a service without groups.
type server struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	work    time.Duration
	// serve answers a request that has a slot; nil for a plain answer after work.
	serve func(s *server, w http.ResponseWriter, r *http.Request, id string)

	born     time.Time
	sequence atomic.Uint64
	running  chan struct{} // a place for each slot
	inside   atomic.Int64  // running and waiting
	leaving  atomic.Bool
	silent   atomic.Bool // sends no heartbeats
	http     *http.Server
	done     chan struct{}
	once     sync.Once

	mu       sync.Mutex
	arrivals []arrival
}

func (f *fleet) newServer(n int, service, zone string, slots int, work time.Duration) *server {
	s := &server{fleet: f, id: fmt.Sprintf("i-%02x%06x", n, time.Now().UnixNano()&0xffffff), service: service, zone: zone, slots: slots, queue: 4 * slots, work: work,
		address: netip.AddrPortFrom(f.ip(serverNet, n), serverPort).String(), born: time.Now(), running: make(chan struct{}, slots), done: make(chan struct{})}
	return s
}

// start begins to serve and to send heartbeats, to the control instances in turn.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		for n := 0; ; n++ {
			if !s.silent.Load() {
				s.heartbeat(n)
			}
			select {
			case <-s.done:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return nil
}

// exit ends the server.
func (s *server) exit() {
	s.once.Do(func() { close(s.done); _ = s.http.Close() })
}

func (s *server) statement() []byte {
	body, err := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": s.sequence.Add(1), "born": s.born.UnixMilli()})
	if err != nil {
		panic(err)
	}
	return body
}

// heartbeat sends one heartbeat to the control instance whose turn it is, or to the next ones if it does not answer.
func (s *server) heartbeat(n int) {
	body := s.statement()
	for i := range 3 {
		if post(s.fleet.controlURL((n+i)%3)+platform.AnnouncePathOf(s.id), body) == http.StatusOK {
			return
		}
	}
}

// deregister says that the server leaves, and returns the number of the control instance that has acknowledged it, -1 if none has.
func (s *server) deregister(first int) int {
	s.silent.Store(true)
	s.leaving.Store(true)
	body := s.statement()
	for i := range 3 {
		if n := (first + i) % 3; post(s.fleet.controlURL(n)+platform.DeregisterPathOf(s.id), body) == http.StatusOK {
			return n
		}
	}
	return -1
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	if s.leaving.Load() {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	if expected := r.Header.Get(platform.HeaderExpectServer); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, at})
	s.mu.Unlock()
	defer s.inside.Add(-1)
	if inside := s.inside.Add(1); inside > int64(s.slots+s.queue) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.running <- struct{}{}:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-s.running }()
	s.fleet.rec.printf("server %s runs %s", s.id, id)
	w.Header().Set(platform.HeaderSeal, "seal-"+id)
	if s.serve != nil {
		s.serve(s, w, r, id)
		return
	}
	time.Sleep(s.work)
	running := len(s.running)
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", running, max(0, int(s.inside.Load())-running), s.slots))
	_, _ = fmt.Fprintf(w, "answer to %s\n", id)
}

func (s *server) takeArrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
