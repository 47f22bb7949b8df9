//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateClients is the number of clients that come at the same time once all machines are in touch: more than the other two servers run at
// once.
const lateClients = 40

// lostDeregistration: a server deregisters first and continues to serve. The control instance that has acknowledged this and one
// entry instance are killed at the same moment, and are back within a second. Once both have been back for longer than the stable
// window, a client sends requests to that entry instance.
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
	time.Sleep(100 * time.Millisecond) // no heartbeat is on its way
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
	for end := acknowledged.Add(drainTime + stableWindow + 1500*time.Millisecond); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		f.fronts[1].send(http.MethodPost, "/orders/other", 4*time.Second)
	}
	for _, p := range []*process{core, front} {
		if p.sinceStart() < stableWindow+time.Second {
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
	}
	clients.Wait()
	late := 0
	for _, run := range leaver.allRuns() {
		if run.at.After(judged) {
			late++
			r.printf("DRAIN: %s reached %s %.1f s after its deregistration was acknowledged; drain-ms is %d", run.id, leaver.id,
				run.at.Sub(acknowledged).Seconds(), drainTime.Milliseconds())
		}
	}
	r.printf("%d of %d requests reached the server that has deregistered", late, lateClients)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
