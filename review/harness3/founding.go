//go:build review

package main

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

// firstConfiguration is what the operator sends to a system that starts for the first time.
func firstConfiguration() []byte {
	body, err := platform.EncodeConfiguration(&routes.Configuration{Version: 3,
		Routes: []routes.Route{{Name: "r-1", Host: "orders.example", PathPrefix: "/place/", Kind: routes.Unsafe, Timeout: 4 * time.Second,
			Objective: 300 * time.Millisecond, MaxAttempts: 1, Targets: []routes.Target{{Service: "pedidos", Weight: 1}}}},
		Services: []routes.Service{{Name: "pedidos", HealthPath: "/health", MaxConnections: 96}},
		Limits:   routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}})
	if err != nil {
		panic(err)
	}
	return body
}

const (
	// foundingFleets are started at once; in each, the control processes are killed at another moment of the first start.
	foundingFleets = 16
	firstKill      = 900 * time.Millisecond
	killStep       = 50 * time.Millisecond
	// downTime is within the second in which all processes of the core are back.
	downTime = 300 * time.Millisecond
	// foundingPatience is how long after the return of the control processes the configuration must be acknowledged and read back:
	// more than twice recovery-s.
	foundingPatience = 30 * time.Second
)

// founding kills all control processes of a system that starts for the first time, and starts them again with their disks.
func founding(rec *recorder) int {
	var group sync.WaitGroup
	results := make([]int, foundingFleets)
	for i := range foundingFleets {
		group.Go(func() { results[i] = foundOne(rec, i, firstKill+time.Duration(i)*killStep) })
	}
	group.Wait()
	status := held
	for i, result := range results {
		if result == failed {
			return failed
		}
		if result == broken {
			rec.printf("CONFIG: the configuration of fleet %d doesn't come", i)
			status = broken
		}
	}
	return status
}

func foundOne(rec *recorder, n int, killAt time.Duration) int {
	f, err := newFleet(rec, 0)
	if err != nil {
		rec.printf("fleet %d: %v", n, err)
		return failed
	}
	defer f.close()
	for _, p := range f.controls {
		p.name = "fleet-" + strconv.Itoa(n) + "-" + p.name
	}
	if err := f.start(); err != nil {
		rec.printf("fleet %d: %v", n, err)
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), killAt+downTime+foundingPatience)
	defer cancel()
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- f.replaceConfiguration(ctx, 3, firstConfiguration()) }()
	time.Sleep(killAt)
	if troubled() {
		rec.printf("fleet %d: SIGKILL to all control processes %v after their start", n, killAt)
		for _, p := range f.controls {
			p.kill()
		}
		time.Sleep(downTime)
		for _, p := range f.controls {
			if err := p.start(); err != nil {
				rec.printf("fleet %d: %v", n, err)
				return failed
			}
		}
	}
	back := time.Now()
	if !<-acknowledged {
		rec.printf("fleet %d: the first configuration has had no acknowledgement %v after the processes were back", n, time.Since(back).Round(time.Second))
	} else {
		rec.printf("fleet %d: acknowledged %v after the kill", n, time.Since(back).Round(time.Millisecond))
	}
	read, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	if f.readConfiguration(read) == nil {
		rec.printf("fleet %d: the configuration cannot be read back", n)
		return broken
	}
	return held
}
