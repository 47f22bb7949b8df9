//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	firstAckFleets = 24
	// diskDown is the time from the loss of a disk to the restart of its machine.
	diskDown = time.Second
	// readPatience is more than the longest recovery-s of the sites, 15 s.
	readPatience = 20 * time.Second
)

// firstAck starts systems with six control machines, of which two may be lost at once. In each, the machine that
// acknowledges the first configuration, and one more by lot, lose their disks right after.
func firstAck(rec *recorder) int {
	var group sync.WaitGroup
	results := make([]int, firstAckFleets)
	for i := range firstAckFleets {
		group.Go(func() { results[i] = firstAckOne(rec, i) })
	}
	group.Wait()
	status := held
	for i, result := range results {
		if result == failed {
			return failed
		}
		if result == broken {
			rec.printf("LOST: fleet %d has lost the configuration that it had acknowledged", i)
			status = broken
		}
	}
	return status
}

func firstAckOne(rec *recorder, n int) int {
	f, err := newFleetOf(rec, 6, 2, 0)
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
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	acker := f.replaceConfiguration(ctx, 3, plainConfiguration(3, routes.Unsafe))
	if acker == nil {
		rec.printf("fleet %d: no acknowledgement", n)
		return failed
	}
	if troubled() {
		others := slices.DeleteFunc(slices.Clone(f.controls), func(p *proc) bool { return p == acker })
		lost := []*proc{acker, others[rand.IntN(len(others))]}
		for _, p := range lost {
			p.kill()
			if err := os.RemoveAll(p.settings.DataFolder); err != nil {
				return failed
			}
		}
		rec.printf("fleet %d: %s and %s have lost their disks", n, lost[0].name, lost[1].name)
		time.Sleep(diskDown)
		for _, p := range lost {
			p.settings.FirstStart = false
			if err := p.start(); err != nil {
				return failed
			}
		}
	}
	read, stop := context.WithTimeout(context.Background(), readPatience)
	defer stop()
	configuration, err := platform.DecodeConfiguration(f.readConfiguration(read))
	if err != nil || configuration.Version < 3 {
		rec.printf("fleet %d: the acknowledged configuration cannot be read back at any control instance within %v", n, readPatience)
		return broken
	}
	rec.printf("fleet %d: version %d is read back", n, configuration.Version)
	return held
}
