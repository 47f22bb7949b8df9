//go:build review

package main

import (
	"context"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

// replacing adds a fourth control machine to three, of which one may be lost at once. Later the one that has acknowledged last freezes, and
// another one loses its disk right after it has acknowledged a change: in each fleet, at another moment of the freeze.
func replacing(rec *recorder) int {
	const fleets = 32
	var group sync.WaitGroup
	results := make([]int, fleets)
	for i := range fleets {
		group.Go(func() { results[i] = replaceOne(rec, i, 2550*time.Millisecond+time.Duration(i)*20*time.Millisecond) })
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

// freezeTime is the largest dose of node_freeze in the site file.
const freezeTime = 4 * time.Second

func replaceOne(rec *recorder, n int, lossAt time.Duration) int {
	f, err := newFleetOf(rec, 4, 1, 0)
	if err != nil {
		rec.printf("fleet %d: %v", n, err)
		return failed
	}
	defer f.close()
	for _, p := range f.controls {
		p.name = "fleet-" + strconv.Itoa(n) + "-" + p.name
	}
	added := f.controls[3]
	f.controls = f.controls[:3]
	if err := f.start(); err != nil {
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	if f.replaceConfiguration(ctx, 3, plainConfiguration(3, routes.Unsafe)) == nil {
		return failed
	}
	time.Sleep(3 * time.Second)
	f.controls = append(f.controls, added)
	for _, p := range f.controls {
		p.settings.FirstStart = false
	}
	if added.start() != nil {
		return failed
	}
	time.Sleep(6 * time.Second)
	frozen := f.replaceConfiguration(ctx, 4, plainConfiguration(4, routes.Unsafe))
	if frozen == nil {
		return failed
	}
	if troubled() {
		rec.printf("fleet %d: %s freezes", n, frozen.name)
		frozen.signal(signalStop)
		time.AfterFunc(freezeTime, func() {
			frozen.signal(signalContinue)
			rec.printf("fleet %d: %s wakes", n, frozen.name)
		})
	}
	time.Sleep(lossAt)
	lost := f.replaceConfiguration(ctx, 5, plainConfiguration(5, routes.Unsafe))
	if lost == nil {
		return failed
	}
	if troubled() && lost != frozen { // it may have acknowledged as it woke up
		lost.kill()
		if err := os.RemoveAll(lost.settings.DataFolder); err != nil {
			return failed
		}
		rec.printf("fleet %d: %s loses its disk %v after the freeze, or later", n, lost.name, lossAt)
		time.Sleep(diskDown)
		if lost.start() != nil {
			return failed
		}
	}
	time.Sleep(freezeTime)
	read, stop := context.WithTimeout(context.Background(), readPatience)
	defer stop()
	configuration, err := platform.DecodeConfiguration(f.readConfiguration(read))
	if err != nil || configuration.Version < 5 {
		rec.printf("fleet %d: version 5 was acknowledged and cannot be read back at any control instance within %v", n, readPatience)
		return broken
	}
	rec.printf("fleet %d: version %d is read back", n, configuration.Version)
	return held
}
