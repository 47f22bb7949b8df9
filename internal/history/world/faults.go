package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/history"
)

// faultPause is the mean pause between two faults that do not start together.
const faultPause = 4 * time.Second

// fault is a fault of the fleet. do injects it and returns a function that ends it, nil if there is nothing to undo.
type fault struct {
	name string
	do   func(w *World) (undo func() error, err error)
}

// faults are the faults of the platform that docs/design.md lists.
var faults = []fault{
	{"partition a data centre", func(w *World) (func() error, error) {
		return w.partition(true)
	}},
	{"partition one way", func(w *World) (func() error, error) {
		return w.partition(false)
	}},
	{"silent connections", func(w *World) (func() error, error) {
		x, y := w.instances[w.rng.IntN(len(w.instances))], w.servers[w.rng.IntN(len(w.servers))]
		w.network.stall(string(x.settings.Instance), string(y.id))
		z := w.instances[w.rng.IntN(len(w.instances))]
		w.network.stall(string(x.settings.Instance), string(z.settings.Instance))
		w.recordFault("silent between %s and %s, %s", x.settings.Instance, y.id, z.settings.Instance)
		return nil, nil
	}},
	{"crash an entry instance", func(w *World) (func() error, error) {
		i := w.instances[w.rng.IntN(len(w.instances))]
		if i.core == nil {
			return nil, nil
		}
		w.recordFault("crash of %s", i.settings.Instance)
		w.crash(i)
		return func() error { return w.startInstance(i) }, nil
	}},
	{"loss of a disk", func(w *World) (func() error, error) {
		i := w.instances[2*w.rng.IntN(len(dataCentres))]
		if i.core == nil || w.diskLost {
			return nil, nil // one disk in a run, since a second may be lost only after the first has been repaired
		}
		w.diskLost = true
		w.recordFault("loss of the disk of %s", i.settings.Instance)
		w.crash(i)
		i.disk = newDisk(rand.New(rand.NewPCG(w.rng.Uint64(), 0)))
		return func() error { return w.startInstance(i) }, nil
	}},
	{"planned stop of an entry instance", func(w *World) (func() error, error) {
		i := w.instances[w.rng.IntN(len(w.instances))]
		if i.core == nil {
			return nil, nil
		}
		w.recordFault("stop of %s", i.settings.Instance)
		w.stopInstance(i)
		return func() error { return w.startInstance(i) }, nil
	}},
	{"crash an agent", func(w *World) (func() error, error) {
		return nil, w.crashAgent(w.servers[w.rng.IntN(len(w.servers))], time.Second)
	}},
	{"planned stop of an agent", func(w *World) (func() error, error) {
		return nil, w.stopAgent(w.servers[w.rng.IntN(len(w.servers))], 4*time.Second)
	}},
	{"engine falls over", func(w *World) (func() error, error) {
		s := w.servers[w.rng.IntN(len(w.servers))]
		if s.engine != nil {
			s.injectedCrashes++
			s.engine.Crash()
		}
		return nil, nil
	}},
	{"service runs an order and loses the answer", func(w *World) (func() error, error) {
		if s := w.servers[w.rng.IntN(len(w.servers))]; s.service != nil {
			s.service.AbortNext(2)
		}
		return nil, nil
	}},
	{"data centre out and in", func(w *World) (func() error, error) {
		return w.evacuate()
	}},
	{"release notes with equal numbers", func(w *World) (func() error, error) {
		return nil, w.publishConflictingNotes()
	}},
}

// injectFaults injects the given number of random faults, some of them at the same time, and undoes them all.
func (w *World) injectFaults(count int) error {
	var undos []func() error
	for range count {
		f := faults[w.rng.IntN(len(faults))]
		w.recordFault(f.name)
		undo, err := f.do(w)
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		if undo != nil {
			undos = append(undos, undo)
		}
		if w.rng.IntN(3) > 0 {
			time.Sleep(time.Duration(w.rng.Int64N(int64(2 * faultPause))))
		}
		for len(undos) > w.rng.IntN(3) {
			w.recordFault("end of a fault")
			if err := undos[0](); err != nil {
				return fmt.Errorf("end of fault: %w", err)
			}
			undos = undos[1:]
		}
	}
	for _, undo := range undos {
		if err := undo(); err != nil {
			return fmt.Errorf("end of fault: %w", err)
		}
	}
	return nil
}

func (w *World) recordFault(format string, args ...any) {
	w.recorder.Record(func(h *history.History) {
		h.Faults = append(h.Faults, fmt.Sprintf("%v "+format, append([]any{w.now()}, args...)...))
	})
}

// partition partitions a random data centre from the others, in both directions or only outgoing.
func (w *World) partition(both bool) (func() error, error) {
	isolated := dataCentres[w.rng.IntN(len(dataCentres))]
	w.recordFault("partition of %s", isolated)
	for _, other := range dataCentres {
		if other == isolated {
			continue
		}
		w.network.setBlocked(isolated, other, true)
		if both {
			w.network.setBlocked(other, isolated, true)
		}
	}
	return func() error {
		w.network.heal()
		w.markReachable()
		return nil
	}, nil
}

// markReachable records that all data centres can reach each other again.
func (w *World) markReachable() {
	w.recorder.Record(func(h *history.History) {
		for i := range h.DataCentreChanges {
			if h.DataCentreChanges[i].ReachableAt < 0 {
				h.DataCentreChanges[i].ReachableAt = w.now()
			}
		}
		for i := range h.ConfigurationChanges {
			if h.ConfigurationChanges[i].ReachableAt < 0 {
				h.ConfigurationChanges[i].ReachableAt = w.now()
			}
		}
	})
}

// reachableAt returns the ReachableAt of a change that is accepted now: -1 during a partition.
func (w *World) reachableAt() time.Duration {
	w.network.mu.Lock()
	defer w.network.mu.Unlock()
	for _, blocked := range w.network.blocked {
		if blocked {
			return -1
		}
	}
	return w.now()
}

// evacuate evacuates a random data centre by a command at a random instance, and restores it at the end of the fault.
func (w *World) evacuate() (func() error, error) {
	i := w.instances[w.rng.IntN(len(w.instances))]
	if i.core == nil {
		return nil, nil
	}
	name := dataCentres[w.rng.IntN(len(dataCentres))]
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, logged := i.core.Agreement.Evacuate(ctx, name, "operator", "fault", time.Now())
	w.recordFault("%s out at %s, in the log: %v", name, i.settings.Instance, logged)
	if logged {
		w.recordDataCentreChange(history.DataCentreChange{DataCentre: name, Evacuated: true, AcceptedAt: w.now(), ReachableAt: w.reachableAt()})
	}
	return func() error {
		for range 3 {
			if w.tryRestore(name) {
				return nil
			}
			time.Sleep(time.Second)
		}
		return nil // it stays evacuated, which breaks no guarantee
	}, nil
}

func (w *World) recordDataCentreChange(c history.DataCentreChange) {
	w.recorder.Record(func(h *history.History) { h.DataCentreChanges = append(h.DataCentreChanges, c) })
}

// tryRestore tries to restore a data centre at each instance that is up. It records the time before the command, which may
// take effect before its answer; one without an answer may still be accepted when the group has a majority again.
func (w *World) tryRestore(name fleet.DataCentre) bool {
	for _, i := range w.instances {
		if i.core == nil {
			continue
		}
		at := w.now()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		result, err := i.core.Agreement.Restore(ctx, name, "operator", "", time.Now())
		cancel()
		if err != nil || result.Accepted() {
			w.recordDataCentreChange(history.DataCentreChange{DataCentre: name, AcceptedAt: at, ReachableAt: w.reachableAt()})
		}
		if err == nil && result.Accepted() {
			return true
		}
	}
	return false
}

// publishConflictingNotes publishes two different notes with the same number at the same time. At most one may be accepted.
func (w *World) publishConflictingNotes() error {
	number := uint64(w.now() / time.Millisecond)
	first := w.rng.IntN(len(w.instances))
	accepted := make(chan uint64, 2)
	for n := range 2 {
		i := w.instances[(first+n)%len(w.instances)]
		if i.core == nil {
			accepted <- 0
			continue
		}
		core := i.core
		note := release.Note{Number: number, Author: fmt.Sprintf("operator-%d", n),
			Calls: []release.CallRule{{Service: serviceName, PathPrefix: fmt.Sprintf("/unused-%d-%d", number, n), Idempotent: true}}}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			result, err := core.Agreement.Propose(ctx, "note/"+note.Digest().String(), &statemachine.PublishNote{Note: note, At: time.Now().Unix()})
			if err == nil && result.Accepted() {
				w.recorder.Record(func(h *history.History) {
					h.ConfigurationChanges = append(h.ConfigurationChanges,
						history.ConfigurationChange{Revision: result.Index, At: w.now(), ReachableAt: w.reachableAt()})
				})
				accepted <- result.Index
				return
			}
			accepted <- 0
		}()
	}
	if a, b := <-accepted, <-accepted; a > 0 && b > 0 {
		return fmt.Errorf("two notes with number %d were accepted, at %d and %d", number, a, b)
	}
	return nil
}
