//go:build review

package main

import (
	"context"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	leavingFleets = 12
	// successorTime is how long the successor runs before the machine that it replaces leaves: more than catch-up-s, 4 s.
	successorTime = 8 * time.Second
)

// leaving replaces one of three control machines as planned: the new one starts first, then the old one gets SIGTERM and does not come
// back. After that, the machine that acknowledges a change loses its disk right after.
func leaving(rec *recorder) int {
	var group sync.WaitGroup
	results := make([]int, leavingFleets)
	for i := range leavingFleets {
		group.Go(func() { results[i] = leaveOne(rec, i, 200*time.Millisecond+time.Duration(i)*150*time.Millisecond) })
	}
	group.Wait()
	status := held
	for i, result := range results {
		if result == failed {
			return failed
		}
		if result == broken {
			rec.printf("LOST: fleet %d has lost the change that it had acknowledged", i)
			status = broken
		}
	}
	return status
}

// leaveOne has a disk lost a while after the old machine has ended.
func leaveOne(rec *recorder, n int, after time.Duration) int {
	f, err := newFleetOf(rec, 4, 1, 0)
	if err != nil {
		rec.printf("fleet %d: %v", n, err)
		return failed
	}
	defer f.close()
	for _, p := range f.controls {
		p.name = "fleet-" + strconv.Itoa(n) + "-" + p.name
	}
	all := f.controls
	old, successor := all[0], all[3]
	f.controls = all[:3]
	if err := f.start(); err != nil {
		rec.printf("fleet %d: %v", n, err)
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if f.replaceConfiguration(ctx, 3, plainConfiguration(3, routes.Unsafe)) == nil {
		rec.printf("fleet %d: no acknowledgement", n)
		return failed
	}
	time.Sleep(3 * time.Second)
	for _, p := range all {
		p.settings.FirstStart = false
	}
	if err := successor.start(); err != nil {
		return failed
	}
	time.Sleep(successorTime)
	rec.printf("fleet %d: SIGTERM to %s, which leaves", n, old.name)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(grace):
		old.kill()
	}
	rec.printf("fleet %d: %s has ended", n, old.name)
	f.controls = all[1:] // the operator's list
	time.Sleep(after)
	lost := f.replaceConfiguration(ctx, 4, plainConfiguration(4, routes.Unsafe))
	if lost == nil {
		rec.printf("fleet %d: no acknowledgement", n)
		return failed
	}
	if troubled() {
		lost.kill()
		if err := os.RemoveAll(lost.settings.DataFolder); err != nil {
			return failed
		}
		rec.printf("fleet %d: %s has lost its disk", n, lost.name)
		time.Sleep(diskDown)
		if err := lost.start(); err != nil {
			return failed
		}
	}
	read, stop := context.WithTimeout(context.Background(), readPatience)
	defer stop()
	configuration, err := platform.DecodeConfiguration(f.readConfiguration(read))
	if err != nil || configuration.Version < 4 {
		rec.printf("fleet %d: version 4 was acknowledged and cannot be read back at any control instance within %v", n, readPatience)
		return broken
	}
	rec.printf("fleet %d: version %d is read back", n, configuration.Version)
	return held
}
