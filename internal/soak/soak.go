// Package soak runs the real programs as separate processes on one machine, injects faults from outside with signals,
// proxies in front of listeners and stand-in backend servers, and checks the system's guarantees from what callers,
// operators and backend servers observe. All addresses are loopback addresses. A seed determines the faults, but not the
// state of the system when they happen, so a run checks only what is guaranteed for every order of events.
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

// Config configures a soak.
type Config struct {
	// Seed determines the faults and the load.
	Seed uint64
	// Faults is the duration of the phase with overlapping faults.
	Faults time.Duration
	// Front and Agent are the paths of the programs banyanfront and banyanagent.
	Front, Agent string
	// Folder is the folder for the logs and data of the processes.
	Folder string
	// Scale multiplies the size of the deployment, except for the control instances; 1 gives eleven processes.
	Scale int
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64
	Requests   int
	Outcomes   [outcomeCount]int
	Counts     map[string]int
	Faults     []Fault
	Violations []Violation
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	text := fmt.Sprintf("seed %d: %d requests", r.Seed, r.Requests)
	for o := answered; o < outcomeCount; o++ {
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

// Times and limits of a soak.
const (
	// maxRecoveryTime is the time in which the system must recover after the last fault.
	maxRecoveryTime = 12 * time.Second
	// steadyTime is the period in which minServedRatio of the requests must be answered for the system to count as recovered.
	steadyTime = time.Second
	// minServedRatio is the ratio of requests that the system must answer without faults.
	minServedRatio = 0.9
	// faultFreeTime is the duration of the fault-free phase after the recovery.
	faultFreeTime = 3 * time.Second
	// maxStartTime is the time from the start of the processes in which the first configuration must be acknowledged, and then
	// the time in which requests must be answered.
	maxStartTime = 20 * time.Second
	pollInterval = 100 * time.Millisecond
)

// Run runs one soak. It returns an error only if the soak itself could not run; violations are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	c.Scale = max(1, c.Scale)
	f := &fleet{config: c, ledger: newLedger(), proxies: map[string]*proxy{}, byName: map[string]*instance{},
		random: rand.New(rand.NewPCG(c.Seed, 0xf1ee))}
	network, release, err := reserveNetwork()
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
		f.shutdown()
		background.Wait()
	}()
	if err := f.start(running); err != nil {
		return nil, err
	}
	for _, g := range f.groups {
		background.Go(func() { g.run(running) })
	}
	background.Go(func() { f.balancer.run(running) })
	faultList := f.runPhases(running, &background)
	stop()
	f.shutdown()
	background.Wait()
	return f.report(faultList), ctx.Err()
}

// runPhases runs the phases of a soak and returns the injected faults.
func (f *fleet) runPhases(ctx context.Context, background *sync.WaitGroup) []Fault {
	startup, cancel := context.WithTimeout(ctx, maxStartTime)
	defer cancel()
	if !f.operator.changeConfiguration(startup) {
		f.ledger.recordViolation("START", "the first configuration was not acknowledged within %v", maxStartTime)
		return nil
	}
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	f.startCallers(load, background)
	f.awaitRecovery(ctx, "START", maxStartTime)
	background.Go(func() { f.operator.run(load) })
	background.Go(func() { f.operator.watch(load) })

	f.ledger.enterPhase(underFaults)
	list := plan(f.config.Seed, f.config.Faults, f.targets())
	f.inject(ctx, list)
	f.awaitCalm(ctx)
	f.awaitRecovery(ctx, "RECOVER", maxRecoveryTime)
	f.checkFaultFree(ctx)
	f.restartEntries(ctx)
	f.finalFault(ctx)
	return list
}

// startCallers starts all callers, which send requests until the context ends.
func (f *fleet) startCallers(ctx context.Context, background *sync.WaitGroup) {
	base := baseRoutes()
	for i := range callersPerScale * f.config.Scale {
		c := &caller{name: fmt.Sprintf("caller%d", i), random: rand.New(rand.NewPCG(f.config.Seed, uint64(i))), ledger: f.ledger, balancer: f.balancer}
		for r := range base {
			c.routes = append(c.routes, &base[r])
			if !base[r].Repeatable() { // twice as often, since it must not run twice
				c.routes = append(c.routes, &base[r])
			}
		}
		background.Go(func() { c.run(ctx) })
	}
}

// awaitRecovery waits until minServedRatio of the requests of the last steadyTime were answered, and records a violation of
// rule if that takes longer than within.
func (f *fleet) awaitRecovery(ctx context.Context, rule string, within time.Duration) {
	start := time.Now()
	var ended, served int
	for time.Since(start) < within+steadyTime {
		if !process.Sleep(ctx, pollInterval) {
			return
		}
		if time.Since(start) < steadyTime {
			continue
		}
		if ended, served = f.ledger.endedSince(time.Now().Add(-steadyTime)); served > 0 && float64(served) >= minServedRatio*float64(ended) {
			return
		}
	}
	f.ledger.recordViolation(rule, "%v without a fault, only %d of the last %d requests were answered", within, served, ended)
}

// harmfulEffectTime is the time from the end of a server until it bears its share of the requests again.
const harmfulEffectTime = downTime + coldTime

// awaitCalm waits until no server has ended under a harmful request or part for some time, but not for long: BUDGET limits them.
func (f *fleet) awaitCalm(ctx context.Context) {
	for start := time.Now(); time.Since(start) < maxRecoveryTime && f.ledger.harmfulEndSince(time.Now().Add(-harmfulEffectTime)); {
		if !process.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// checkFaultFree checks the guarantees for a time without faults.
func (f *fleet) checkFaultFree(ctx context.Context) {
	f.ledger.enterPhase(faultFree)
	start := time.Now()
	process.Sleep(ctx, faultFreeTime)
	disturbed := f.ledger.harmfulEndSince(start.Add(-harmfulEffectTime)) // the other servers may not bear the load
	if ended, served := f.ledger.endedSince(start); float64(served) < minServedRatio*float64(ended) && ctx.Err() == nil && !disturbed {
		f.ledger.recordViolation("RECOVER", "without a fault, only %d of %d requests were answered", served, ended)
	}
	if err := f.operator.awaitReadBack(ctx, maxAckTime); err != nil && ctx.Err() == nil {
		f.ledger.recordViolation("CONFIG", "%v", err)
	}
}

// restartEntries restarts the entry instances gracefully, one by one, and waits for the recovery after each.
func (f *fleet) restartEntries(ctx context.Context) {
	f.ledger.enterPhase(rollingRestart)
	for _, p := range f.entries {
		if ctx.Err() != nil {
			return
		}
		p.stop()
		f.awaitRecovery(ctx, "RECOVER", maxRecoveryTime)
	}
}

// finalFault kills the control instances, or all processes, right after a change was acknowledged, and checks that the
// change is not lost. One control instance may lose its disk.
func (f *fleet) finalFault(ctx context.Context) {
	f.ledger.enterPhase(afterFinalFault)
	if !f.operator.changeConfiguration(ctx) {
		return
	}
	killed := f.controls
	if f.random.IntN(2) == 0 {
		killed = slices.Concat(f.controls, f.entries, f.ranks)
	}
	lostDisk := f.random.IntN(2 * len(f.controls)) // in half of the runs no disk is lost
	for i, p := range killed {
		if i == lostDisk && i < len(f.controls) {
			p.loseDisk()
			continue
		}
		p.kill()
	}
	if err := f.operator.awaitReadBack(ctx, maxRecoveryTime); err != nil && ctx.Err() == nil {
		f.ledger.recordViolation("LOST", "after the final fault: %v", err)
	}
	f.awaitRecovery(ctx, "RECOVER", maxRecoveryTime)
}

// report checks all requests and returns the report.
func (f *fleet) report(list []Fault) *Report {
	for _, s := range f.servers {
		s.checkRates()
	}
	f.ledger.checkRequests(retryRatio, retrySlackRequests, retryWindow)
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{Seed: f.config.Seed, Requests: len(l.requests), Counts: maps.Clone(l.counts), Faults: list,
		Violations: slices.Clone(l.violations)}
	for _, q := range l.requests {
		r.Outcomes[q.outcome]++
	}
	return r
}
