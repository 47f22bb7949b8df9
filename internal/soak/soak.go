// Package soak runs the real programs as separate processes on one machine, brings faults about from outside, by signals,
// by a proxy before listeners and by stand-in backend servers, and checks the system's promises from what callers, operators
// and backend servers see. All addresses are loopback addresses. The faults of a seed are the same in each run; what they
// meet differs, so a run checks only what holds in every order of events.
package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/process"
)

// Config sets a soak.
type Config struct {
	// Seed decides the faults and the load.
	Seed uint64
	// Faults is how long faults overlap.
	Faults time.Duration
	// Front and Agent are the paths of the two programs.
	Front, Agent string
	// Folder gets the logs and the data of the processes.
	Folder string
	// Scale multiplies the size of the deployment, 1 for the usual one of nine processes.
	Scale int
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64
	Requests   int
	Outcomes   [outcomes]int
	Counts     map[string]int
	Faults     []Fault
	Violations []Violation
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	text := fmt.Sprintf("seed %d: %d requests", r.Seed, r.Requests)
	for o := answered; o < outcomes; o++ {
		text += fmt.Sprintf(", %d %s", r.Outcomes[o], outcomeNames[o])
	}
	text += fmt.Sprintf("; %d faults", len(r.Faults))
	for _, event := range slices.Sorted(maps.Keys(r.Counts)) {
		text += fmt.Sprintf("; %s %d", event, r.Counts[event])
	}
	text += "\n"
	for _, v := range r.Violations {
		text += "  " + v.String() + "\n"
	}
	_, err := io.WriteString(w, text)
	return err
}

// Times of a soak.
const (
	// recovery is the time in which a system without faults serves again.
	recovery = 12 * time.Second
	// steadyTime is how long nearly all requests must be answered for a system to count as recovered.
	steadyTime = time.Second
	// servedShare is the part of the requests that a system without faults answers.
	servedShare = 0.9
	// calmTime is how long the calm after recovery lasts.
	calmTime = 3 * time.Second
	// startBound is the time from the first start to the first configuration in force.
	startBound = 20 * time.Second
	poll       = 100 * time.Millisecond
)

// Run plays one soak. It returns an error only if the soak itself could not be played.
func Run(ctx context.Context, c Config) (*Report, error) {
	c.Scale = max(1, c.Scale)
	f := &fleet{config: c, ledger: newLedger(), proxies: map[string]*proxy{}, byName: map[string]*instance{},
		random: rand.New(rand.NewPCG(c.Seed, 0xf1ee))}
	network, release, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	defer release()
	if err := f.build(network); err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer func() {
		stop()
		f.end()
		background.Wait()
	}()
	if err := f.start(); err != nil {
		return nil, err
	}
	for _, g := range f.groups {
		background.Go(func() { g.run(running) })
	}
	background.Go(func() { f.balancer.run(running) })
	faultList := f.play(running, &background)
	stop()
	f.end()
	background.Wait()
	return f.report(faultList), ctx.Err()
}

// play goes through the phases of a soak.
func (f *fleet) play(ctx context.Context, background *sync.WaitGroup) []Fault {
	begun, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	if !f.operator.change(begun) {
		f.ledger.violate("START", "the first configuration was not acknowledged within %v", startBound)
		return nil
	}
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	f.startCallers(load, background)
	f.recovered(ctx, "START", startBound)
	background.Go(func() { f.operator.run(load) })
	background.Go(func() { f.operator.watch(load) })

	f.ledger.enter(faults)
	list := plan(f.config.Seed, f.config.Faults, f.targets())
	f.inject(ctx, list)
	f.recovered(ctx, "RECOVER", recovery)
	f.calmly(ctx)
	f.roll(ctx)
	f.finalFault(ctx)
	return list
}

// startCallers lets all callers send requests until the context ends.
func (f *fleet) startCallers(ctx context.Context, background *sync.WaitGroup) {
	base := baseRoutes()
	for i := range callersPerScale * f.config.Scale {
		c := &caller{name: fmt.Sprintf("caller%d", i), random: rand.New(rand.NewPCG(f.config.Seed, uint64(i))), ledger: f.ledger, balancer: f.balancer}
		for r := range base {
			c.routes = append(c.routes, &base[r])
			if !base[r].Repeatable() { // what may run once shows most
				c.routes = append(c.routes, &base[r])
			}
		}
		background.Go(func() { c.run(ctx) })
	}
}

// recovered waits until nearly all requests are answered, and records a violation if that takes too long.
func (f *fleet) recovered(ctx context.Context, rule string, within time.Duration) {
	begun := time.Now()
	var ended, served int
	for time.Since(begun) < within+steadyTime {
		if !process.Sleep(ctx, poll) {
			return
		}
		if time.Since(begun) < steadyTime {
			continue
		}
		if ended, served = f.ledger.recent(time.Now().Add(-steadyTime)); served > 0 && float64(served) >= servedShare*float64(ended) {
			return
		}
	}
	f.ledger.violate(rule, "%v without a fault, only %d of the last %d requests were answered", within, served, ended)
}

// calmly checks what holds without faults.
func (f *fleet) calmly(ctx context.Context) {
	f.ledger.enter(calm)
	begun := time.Now()
	process.Sleep(ctx, calmTime)
	if ended, served := f.ledger.recent(begun); float64(served) < servedShare*float64(ended) && ctx.Err() == nil {
		f.ledger.violate("RECOVER", "without a fault, only %d of %d requests were answered", served, ended)
	}
	if err := f.operator.readBack(ctx, ackBound); err != nil && ctx.Err() == nil {
		f.ledger.violate("CONFIG", "%v", err)
	}
}

// roll stops the entry instances one by one and lets each come back.
func (f *fleet) roll(ctx context.Context) {
	f.ledger.enter(rolling)
	for _, p := range f.entries {
		if ctx.Err() != nil {
			return
		}
		p.stop()
		f.recovered(ctx, "RECOVER", recovery)
	}
}

// finalFault kills the control instances, or all processes, right after a change was acknowledged; one disk may be lost.
func (f *fleet) finalFault(ctx context.Context) {
	f.ledger.enter(aftermath)
	if !f.operator.change(ctx) {
		return
	}
	struck := f.controls
	if f.random.IntN(2) == 0 {
		struck = slices.Concat(f.controls, f.entries, f.ranks)
	}
	lost := f.random.IntN(2 * len(f.controls)) // half of the time none
	for i, p := range struck {
		if i == lost && i < len(f.controls) {
			p.loseDisk()
			continue
		}
		p.kill()
	}
	if err := f.operator.readBack(ctx, recovery); err != nil && ctx.Err() == nil {
		f.ledger.violate("LOST", "after the final fault: %v", err)
	}
	f.recovered(ctx, "RECOVER", recovery)
}

// report checks all requests and puts the report together.
func (f *fleet) report(list []Fault) *Report {
	for _, s := range f.servers {
		s.checkCold()
	}
	f.ledger.check(retryRatio, retrySlack, retryWindow)
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{Seed: f.config.Seed, Requests: len(l.requests), Counts: l.counts, Faults: list, Violations: l.violations}
	for _, q := range l.requests {
		r.Outcomes[q.outcome]++
	}
	return r
}
