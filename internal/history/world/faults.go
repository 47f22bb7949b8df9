package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/history"
)

// faultPause lies between the begin of one fault and the next.
const faultPause = 4 * time.Second

// fault is something that happens to the fleet. It returns how to undo it, nil if there is nothing to undo.
type fault struct {
	name string
	do   func(w *World) (undo func() error, err error)
}

// faults are what the platform does to us, as docs/design.md lists it.
var faults = []fault{
	{"partition a data centre", func(w *World) (func() error, error) {
		return w.partition(true)
	}},
	{"partition one way", func(w *World) (func() error, error) {
		return w.partition(false)
	}},
	{"silent connections", func(w *World) (func() error, error) {
		x, y := w.instances[w.rng.IntN(len(w.instances))], w.servers[w.rng.IntN(len(w.servers))]
		w.network.silence(string(x.settings.Instance), string(y.id))
		z := w.instances[w.rng.IntN(len(w.instances))]
		w.network.silence(string(x.settings.Instance), string(z.settings.Instance))
		w.noteFault("silent between %s and %s, %s", x.settings.Instance, y.id, z.settings.Instance)
		return nil, nil
	}},
	{"crash an entry instance", func(w *World) (func() error, error) {
		i := w.instances[w.rng.IntN(len(w.instances))]
		if i.core == nil {
			return nil, nil
		}
		w.noteFault("crash of %s", i.settings.Instance)
		w.crash(i)
		return func() error { return w.startInstance(i) }, nil
	}},
	{"loss of a disk", func(w *World) (func() error, error) {
		i := w.instances[2*w.rng.IntN(len(dataCentres))]
		if i.core == nil || w.diskLost {
			return nil, nil // a second disk may be lost only after the first has been made up for
		}
		w.diskLost = true
		w.noteFault("loss of the disk of %s", i.settings.Instance)
		w.crash(i)
		i.disk = newDisk(rand.New(rand.NewPCG(w.rng.Uint64(), 0)))
		return func() error { return w.startInstance(i) }, nil
	}},
	{"planned stop of an entry instance", func(w *World) (func() error, error) {
		i := w.instances[w.rng.IntN(len(w.instances))]
		if i.core == nil {
			return nil, nil
		}
		w.noteFault("stop of %s", i.settings.Instance)
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
			s.falls++
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
		return w.takeOut()
	}},
	{"release notes with equal numbers", func(w *World) (func() error, error) {
		return nil, w.publish()
	}},
}

// script makes the given number of faults happen, some of them together, and undoes them all.
func (w *World) script(count int) error {
	var undos []func() error
	for range count {
		f := faults[w.rng.IntN(len(faults))]
		w.noteFault(f.name)
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
			w.noteFault("end of a fault")
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

func (w *World) noteFault(format string, args ...any) {
	w.recorder.Record(func(h *history.History) {
		h.Faults = append(h.Faults, fmt.Sprintf("%v "+format, append([]any{w.now()}, args...)...))
	})
}

// partition cuts a data centre off from the others, in both directions or in one.
func (w *World) partition(both bool) (func() error, error) {
	cut := dataCentres[w.rng.IntN(len(dataCentres))]
	w.noteFault("partition of %s", cut)
	for _, other := range dataCentres {
		if other == cut {
			continue
		}
		w.network.block(cut, other, true)
		if both {
			w.network.block(other, cut, true)
		}
	}
	return func() error {
		w.network.heal()
		w.reached()
		return nil
	}, nil
}

// reached notes that all data centres can reach each other again.
func (w *World) reached() {
	w.recorder.Record(func(h *history.History) {
		for i := range h.Centres {
			if h.Centres[i].Reached < 0 {
				h.Centres[i].Reached = w.now()
			}
		}
		for i := range h.Accepts {
			if h.Accepts[i].Reached < 0 {
				h.Accepts[i].Reached = w.now()
			}
		}
	})
}

// reachable returns the time to note for a change that is accepted now: -1 while a partition lasts.
func (w *World) reachable() time.Duration {
	w.network.mu.Lock()
	defer w.network.mu.Unlock()
	for _, on := range w.network.blocked {
		if on {
			return -1
		}
	}
	return w.now()
}

// takeOut takes a data centre out at a random instance and brings it back at the end of the fault.
func (w *World) takeOut() (func() error, error) {
	i := w.instances[w.rng.IntN(len(w.instances))]
	if i.core == nil {
		return nil, nil
	}
	name := dataCentres[w.rng.IntN(len(dataCentres))]
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, logged := i.core.Agreement.Evacuate(ctx, name, "operator", "fault", time.Now())
	w.noteFault("%s out at %s, in the log: %v", name, i.settings.Instance, logged)
	if logged {
		w.noteCentre(history.Centre{DataCentre: name, Out: true, Accepted: w.now(), Reached: w.reachable()})
	}
	return func() error {
		for range 3 {
			if w.bringIn(name) {
				return nil
			}
			time.Sleep(time.Second)
		}
		return nil // stays out, which is the safe side
	}, nil
}

func (w *World) noteCentre(c history.Centre) {
	w.recorder.Record(func(h *history.History) { h.Centres = append(h.Centres, c) })
}

// bringIn tries to bring a data centre back. It notes the time before the command: it may be in force at once, and a
// command without an answer may still be accepted when the group has a majority again.
func (w *World) bringIn(name fleet.DataCentre) bool {
	for _, i := range w.instances {
		if i.core == nil {
			continue
		}
		at := w.now()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		result, err := i.core.Agreement.Restore(ctx, name, "operator", "", time.Now())
		cancel()
		if err != nil || result.Accepted() {
			w.noteCentre(history.Centre{DataCentre: name, Accepted: at, Reached: w.reachable()})
		}
		if err == nil && result.Accepted() {
			return true
		}
	}
	return false
}

// publish lets two operators publish notes with the same number at the same time.
func (w *World) publish() error {
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
			result, err := core.Agreement.Propose(ctx, "note/"+note.Digest().String(), &agreed.PublishNote{Note: note, At: time.Now().Unix()})
			if err == nil && result.Accepted() {
				w.recorder.Record(func(h *history.History) {
					h.Accepts = append(h.Accepts, history.Accept{Revision: result.Index, At: w.now(), Reached: w.reachable()})
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
