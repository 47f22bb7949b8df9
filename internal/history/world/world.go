package world

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/history"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/standin"
)

// Phases of a run, in virtual time.
const (
	startTime  = 10 * time.Second // until the first fault
	settleTime = 20 * time.Second // from the last fault to the end of the load
	sampleTime = 500 * time.Millisecond
)

// dataCentres of a run; each has two entry instances, the first of which is a voter.
var dataCentres = []fleet.DataCentre{"norte", "sur", "santa-fe"}

// World is a fleet with callers.
type World struct {
	rng       *rand.Rand
	start     time.Time
	network   *network
	instances []*instance
	servers   []*server
	recorder  history.Recorder
	diskLost  bool   // a voter has lost its disk in this run
	onStart   func() // called when the fleet serves, before the first fault

	mu     sync.Mutex
	deaths map[*instance]chan struct{}
}

// now returns the time since the start of the run.
func (w *World) now() time.Duration { return time.Since(w.start) }

// requestID identifies a request by its body, as the stand-ins record it.
func requestID(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:16])
}

// New returns a fleet that has not started.
func New(seed uint64) *World {
	w := &World{
		rng:     rand.New(rand.NewPCG(seed, 0)),
		start:   time.Now(),
		network: newNetwork(),
		deaths:  make(map[*instance]chan struct{}),
	}
	var voters []settings.Voter
	var addresses []string
	for d, dataCentre := range dataCentres {
		for n := range 2 {
			address := fmt.Sprintf("10.0.%d.%d:7070", d, n+1)
			addresses = append(addresses, address)
			i := &instance{settings: &settings.Front{
				Instance:        fleet.InstanceID(fmt.Sprintf("%s-%d", dataCentre, n+1)),
				DataCentre:      dataCentre,
				InnerAddress:    address,
				FleetKey:        fleetKey,
				DefaultDeadline: 30 * time.Second,
				MaxBodyBytes:    1 << 19,
				QueueMax:        1000,
				RetryBudget:     0.1,
				DrainTimeout:    drainTimeout,
				Organisations:   []settings.Organisation{{Name: "builders", Key: callerKey, Weight: 1}},
			}}
			if n == 0 {
				i.disk = newDisk(rand.New(rand.NewPCG(seed, uint64(d+1))))
				voters = append(voters, settings.Voter{Instance: i.settings.Instance, Address: address})
			}
			w.instances = append(w.instances, i)
		}
	}
	for _, i := range w.instances {
		i.settings.Voters, i.settings.Peers = voters, addresses
	}
	for d, dataCentre := range dataCentres {
		w.servers = append(w.servers, newServers(dataCentre, addresses[2*d:2*d+2])...)
	}
	return w
}

// handlerOf returns the callers' API of an instance, nil while it is down.
func (w *World) handlerOf(i *instance) http.Handler {
	w.mu.Lock()
	defer w.mu.Unlock()
	return i.handler
}

// refuseCallers takes an instance's callers' listener away; requests that it has accepted go on.
func (w *World) refuseCallers(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.handler = nil
}

// deathOf returns a channel that is closed when the instance goes down.
func (w *World) deathOf(i *instance) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deaths[i] == nil {
		w.deaths[i] = make(chan struct{})
	}
	return w.deaths[i]
}

// setDown marks an instance as down and breaks its callers' connections.
func (w *World) setDown(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.core, i.handler = nil, nil
	if ch := w.deaths[i]; ch != nil {
		close(ch)
		delete(w.deaths, i)
	}
}

// Run runs the fleet under load with the given number of random faults, and returns the history.
func (w *World) Run(faults int) (*history.History, error) {
	load := func(ctx context.Context, home, n int, rng *rand.Rand) {
		w.caller(ctx, home, fmt.Sprintf("c%d-%d", home, n), rng)
	}
	return w.run(load, settleTime, func() error { return w.script(faults) })
}

// run runs the fleet while the script runs and for the given time after it. load is one of the callers of an instance.
func (w *World) run(load func(ctx context.Context, home, n int, rng *rand.Rand), after time.Duration, script func() error) (*history.History, error) {
	for _, s := range w.servers {
		s.startServer()
	}
	for _, i := range w.instances {
		if err := w.startInstance(i); err != nil {
			return nil, err
		}
	}
	for _, s := range w.servers {
		if err := w.startAgent(s); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, samplers sync.WaitGroup
	time.Sleep(startTime / 2)
	for home := range w.instances {
		for n := range callersPerInstance {
			rng := rand.New(rand.NewPCG(w.rng.Uint64(), 0))
			callers.Go(func() { load(ctx, home, n, rng) })
		}
	}
	samplers.Go(func() { w.sample(ctx) })
	time.Sleep(startTime / 2)
	if w.onStart != nil {
		w.onStart()
	}
	err := script()
	time.Sleep(after)
	cancel()
	callers.Wait()
	samplers.Wait()
	w.finish()
	return w.recorder.History(), err
}

// sample records which configuration each instance that accepts calls has in force.
func (w *World) sample(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range w.instances {
			w.mu.Lock()
			core := i.core
			w.mu.Unlock()
			if core == nil || core.NotReady() != "" {
				continue
			}
			seen := history.InForce{Instance: i.settings.Instance, Revision: core.Loop.View().Revision, At: w.now()}
			w.recorder.Record(func(h *history.History) { h.InForce = append(h.InForce, seen) })
		}
		time.Sleep(sampleTime)
	}
}

// finish stops everything and adds what the servers recorded.
func (w *World) finish() {
	var group sync.WaitGroup
	for _, s := range w.servers {
		group.Go(func() {
			s.stop()
			<-s.done
			_ = s.http.Close()
		})
	}
	group.Wait()
	for _, i := range w.instances {
		if i.core == nil {
			continue // it could not be started again, which the script reports
		}
		group.Go(func() {
			i.core.Agreement.Close()
			i.stop()
			<-i.done
		})
	}
	group.Wait()
	w.network.closeAll()
	h := w.recorder.History()
	h.End = w.now()
	for _, s := range w.servers {
		w.addRuns(h, s)
	}
}

// addRuns adds a server's own record to the history.
func (w *World) addRuns(h *history.History, s *server) {
	if s.engine != nil {
		h.Starts = append(h.Starts, history.Start{Server: s.id, Falls: s.engine.Stats().Crashes - s.falls})
	}
	for _, e := range s.record().Entries() {
		if e.End == standin.EndRefused || e.Path == "/healthz" || e.Path == "/load" {
			continue
		}
		run := history.Run{
			Request: e.Key, Server: s.id, DataCentre: s.dataCentre, Begun: e.Started.Sub(w.start), Ended: e.Ended.Sub(w.start),
			Cut: e.End == standin.EndAborted,
		}
		switch {
		case strings.HasPrefix(e.Path, "/prices"):
			run.Request = e.Path
		case e.Key == "":
			run.Request = e.Digest
		}
		h.Runs = append(h.Runs, run)
	}
}
