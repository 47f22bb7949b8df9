//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeatDelay is how late the last heartbeat of the leaving server arrives: "seconds".
	heartbeatDelay = 3 * time.Second
	// The orders of the deployment: about 8 a second, here to one entry instance.
	lateClients = 16
	clientPause = 125 * time.Millisecond
)

// lostDeregistration: a server deregisters first and continues to serve; the heartbeat that it had sent before arrives late. The control
// instance that has acknowledged the deregistration and one entry instance are killed at the same moment, and are back within a second.
// Once both have been back for longer than the stable window, clients send requests to that entry instance.
func lostDeregistration(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, 2, 3)
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
	time.Sleep(5 * time.Second) // each server has sent heartbeats to all control instances
	for _, p := range f.fronts {
		for range 6 {
			if a := p.send(http.MethodPost, "/orders/calm", 4*time.Second); a.status != http.StatusOK {
				return noTrial, fmt.Errorf("request %s got status %d (%v) before the trouble", a.id, a.status, a.err)
			}
		}
	}

	leaver, core, front := servers[0], f.cores[0], f.fronts[0]
	leaver.silent.Store(true)
	leaver.leaving.Store(true)
	last := leaver.body("ready") // on its way from now on
	var late sync.WaitGroup
	late.Go(func() {
		time.Sleep(heartbeatDelay)
		p := f.cores[1]
		status := post(fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", p.ip, controlPort, leaver.id), last)
		r.printf("server %s: its last heartbeat arrives at %s, %.1f s late: status %d", leaver.id, p.name, heartbeatDelay.Seconds(), status)
	})
	defer late.Wait()
	time.Sleep(200 * time.Millisecond)
	if !leaver.deregister(core) {
		return noTrial, fmt.Errorf("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	r.printf("server %s: deregistration acknowledged by %s; it continues to serve", leaver.id, core.name)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		r.printf("trouble: %s and %s are killed", core.name, front.name)
		a, b := core.signal(syscall.SIGKILL), front.signal(syscall.SIGKILL)
		<-a
		<-b
	}
	// The other entry instance serves meanwhile.
	for end := acknowledged.Add(500*time.Millisecond + restartDelay + stableWindow + 500*time.Millisecond); time.Now().Before(end); time.Sleep(clientPause) {
		f.fronts[1].send(http.MethodPost, "/orders/other", 4*time.Second)
	}
	for _, p := range []*process{core, front} {
		if p.sinceStart() < stableWindow+200*time.Millisecond {
			return noTrial, fmt.Errorf("%s has run for %v only", p.name, p.sinceStart())
		}
	}
	if !front.ready() {
		return noTrial, fmt.Errorf("%s is not ready", front.name)
	}
	judged := time.Now()
	r.printf("judged from here: %.1f s after the acknowledgement, all processes have run for longer than the stable window", judged.Sub(acknowledged).Seconds())
	var clients sync.WaitGroup
	for range lateClients {
		clients.Go(func() { front.send(http.MethodPost, "/orders/later", 4*time.Second) })
		time.Sleep(clientPause)
	}
	clients.Wait()
	reached := 0
	for _, run := range leaver.allRuns() {
		if run.at.After(judged) {
			reached++
			r.printf("DRAIN: %s reached %s %.1f s after its deregistration was acknowledged; drain-ms is %d", run.id, leaver.id,
				run.at.Sub(acknowledged).Seconds(), drainTime.Milliseconds())
		}
	}
	r.printf("%d of %d requests reached the server that has deregistered", reached, lateClients)
	if reached > 0 {
		return broken, nil
	}
	return held, nil
}
