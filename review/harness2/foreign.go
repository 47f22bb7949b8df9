//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// quietOrders is the pause between the orders to one entry instance, ordersAtOnce how many come together.
	quietOrders  = 4 * time.Second
	ordersAtOnce = 3
	// drainFor is how long the leaving server serves on after the acknowledgement: "at times many seconds".
	drainFor = 9 * time.Second
)

// foreignHeartbeat is a heartbeat of another writer for a server, with a field missing.
func foreignHeartbeat(s *server, missing string) []byte {
	fields := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": time.Now().UnixMilli(), "born": s.born}
	delete(fields, missing)
	body, _ := json.Marshal(fields)
	return body
}

// foreignWriter: another writer sends heartbeats for a server that lack a field. The server reports that it drains, which is
// acknowledged, and serves on for some seconds.
func foreignWriter(r *record, trouble bool) (int, error) {
	missing := "cold-remaining-ms"
	if field := os.Getenv("FIELD"); field != "" {
		missing = field
	}
	f, err := newFleet(r, 3, 3)
	if err != nil {
		return noTrial, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return noTrial, err
	}
	var servers []*server
	for n := range 3 {
		s, err := f.startServer(n, "desk", 60*time.Millisecond)
		if err != nil {
			return noTrial, err
		}
		defer s.close()
		servers = append(servers, s)
	}
	if err := f.configure(configuration(7), 20*time.Second); err != nil {
		return noTrial, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return noTrial, err
	}
	time.Sleep(4 * time.Second)
	leaver := servers[0]
	writing, stop := context.WithCancel(context.Background())
	defer stop()
	if trouble {
		go func() {
			for n := 0; writing.Err() == nil; n++ {
				p := f.cores[n%len(f.cores)]
				status := post(fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", p.ip, controlPort, leaver.id), foreignHeartbeat(leaver, missing))
				r.printf("another writer: heartbeat for %s without %s to %s: status %d", leaver.id, missing, p.name, status)
				time.Sleep(heartbeatInterval)
			}
		}()
	}
	time.Sleep(3 * heartbeatInterval)
	for _, p := range f.fronts {
		if a := p.send(http.MethodPost, "/orders/calm", 4*time.Second); a.status != http.StatusOK {
			return noTrial, fmt.Errorf("request %s got status %d (%v)", a.id, a.status, a.err)
		}
	}
	leaver.draining.Store(true)
	leaver.leaving.Store(true)
	by := leaver.heartbeat("draining")
	if by == nil {
		return noTrial, fmt.Errorf("the draining was not acknowledged")
	}
	acknowledged := time.Now()
	r.printf("server %s: draining acknowledged by %s; it continues to serve", leaver.id, by.name)
	time.Sleep(drainTime + 200*time.Millisecond)
	judged := time.Now()
	for time.Since(acknowledged) < drainFor {
		var clients sync.WaitGroup
		for _, p := range f.fronts {
			for range ordersAtOnce {
				clients.Go(func() { p.send(http.MethodPost, "/orders/later", 4*time.Second) })
			}
		}
		clients.Wait()
		time.Sleep(quietOrders)
	}
	reached := 0
	for _, run := range leaver.allRuns() {
		if run.at.After(judged) {
			reached++
			r.printf("DRAIN: %s reached %s %.1f s after its draining was acknowledged; drain-ms is %d", run.id, leaver.id,
				run.at.Sub(acknowledged).Seconds(), drainTime.Milliseconds())
		}
	}
	r.printf("%d requests reached the server later than drain-ms", reached)
	if reached > 0 {
		return broken, nil
	}
	return held, nil
}
