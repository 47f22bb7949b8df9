//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	callersHost = "orders.example"
	// downTime is the time from the kill of a process to its restart.
	downTime = 300 * time.Millisecond
	// lateTime is how late the last heartbeat of the server that leaves arrives; the pages say "seconds late".
	lateTime = 3500 * time.Millisecond
)

// plainConfiguration has one route of a kind to the service pedidos.
func plainConfiguration(version uint64, kind routes.Kind) []byte {
	body, err := platform.EncodeConfiguration(&routes.Configuration{Version: version,
		Routes: []routes.Route{{Name: "r-1", Host: callersHost, PathPrefix: "/place/", Kind: kind, Timeout: 4 * time.Second,
			Objective: 300 * time.Millisecond, MaxAttempts: 1, Targets: []routes.Target{{Service: "pedidos", Weight: 1}}}},
		Services: []routes.Service{{Name: "pedidos", HealthPath: "/health", MaxConnections: 96}},
		Limits:   routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}})
	if err != nil {
		panic(err)
	}
	return body
}

// caller sends requests to one entry instance.
type caller struct {
	rec    *recorder
	client *http.Client
	sent   atomic.Int64
	mu     sync.Mutex
	sentAt map[string]time.Time
}

func newCaller(rec *recorder) *caller {
	return &caller{rec: rec, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, sentAt: map[string]time.Time{}}
}

// place sends an order and returns the status of the answer, 0 if there was none.
func (c *caller) place(entry *proc) int {
	id := fmt.Sprintf("%016x", c.sent.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.settings.CallersListen+"/place/order", nil)
	if err != nil {
		panic(err)
	}
	request.Host = callersHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "4000")
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	c.rec.printf("client sends %s to %s", id, entry.name)
	response, err := c.client.Do(request)
	if err != nil {
		c.rec.printf("client has no answer to %s: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	c.rec.printf("client has the answer %d to %s", response.StatusCode, id)
	return response.StatusCode
}

// draining checks that a server that has deregistered gets no more requests, though the control instance that has acknowledged it
// and the entry instance are killed and started again.
func draining(rec *recorder) int {
	f, err := newFleet(rec, 1)
	if err != nil {
		rec.printf("%v", err)
		return failed
	}
	defer f.close()
	if err := f.start(); err != nil {
		rec.printf("%v", err)
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	entry := f.entries[0]
	var servers []*server
	for i, zone := range zones {
		s := f.newServer(i, "pedidos", zone, 6, 60*time.Millisecond)
		if err := s.start(); err != nil {
			rec.printf("%v", err)
			return failed
		}
		defer s.exit()
		servers = append(servers, s)
	}
	if f.replaceConfiguration(ctx, 3, plainConfiguration(3, routes.Unsafe)) == nil || !f.awaitReady(ctx, entry) {
		rec.printf("the system has not come up")
		return failed
	}
	c := newCaller(rec)
	quiet, endQuiet := context.WithCancel(ctx)
	defer endQuiet()
	var group sync.WaitGroup
	group.Go(func() { // few orders, one after the other
		for quiet.Err() == nil {
			c.place(entry)
			time.Sleep(300 * time.Millisecond)
		}
	})
	time.Sleep(6 * time.Second)
	leaver := servers[1]
	late := leaver.statement() // a heartbeat that is on its way for lateTime
	acked := leaver.deregister(1)
	ackedAt := time.Now()
	if acked < 0 {
		rec.printf("the deregistration was not acknowledged")
		return failed
	}
	rec.printf("%s acknowledges that %s is gone; it serves for %v and some seconds more", f.controls[acked].name, leaver.id, drainTime)
	group.Go(func() {
		time.Sleep(lateTime)
		n := (acked + 1) % 3
		rec.printf("the last heartbeat of %s reaches %s: answer %d", leaver.id, f.controls[n].name, post(f.controlURL(n)+platform.AnnouncePathOf(leaver.id), late))
	})
	time.Sleep(300 * time.Millisecond)
	if troubled() {
		rec.printf("SIGKILL to %s and %s", f.controls[acked].name, entry.name)
		f.controls[acked].kill()
		entry.kill()
		time.Sleep(downTime)
		if f.controls[acked].start() != nil || entry.start() != nil {
			return failed
		}
	}
	if !f.awaitReady(ctx, entry) {
		return failed
	}
	back := time.Now()
	// From here on all instances have been in touch for the whole stable window.
	time.Sleep(time.Until(back.Add(stableWindow + 200*time.Millisecond)))
	inTouchAt := time.Now()
	endQuiet()
	group.Wait()
	rec.printf("two clients at a time")
	for range 10 {
		for range 2 {
			group.Go(func() { c.place(entry) })
		}
		group.Wait()
		time.Sleep(100 * time.Millisecond)
	}
	tooLate := 0
	for _, a := range leaver.takeArrivals() {
		c.mu.Lock()
		sentAt := c.sentAt[a.request]
		c.mu.Unlock()
		if sentAt.After(inTouchAt) && a.at.After(ackedAt.Add(drainTime)) {
			tooLate++
			rec.printf("DRAIN: %s reached %s %v after the acknowledgement", a.request, leaver.id, a.at.Sub(ackedAt).Round(time.Millisecond))
		}
	}
	if tooLate > 0 {
		return broken
	}
	return held
}
