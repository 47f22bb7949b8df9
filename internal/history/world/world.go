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
	startPeriod    = 10 * time.Second // before the first fault
	settlePeriod   = 20 * time.Second // from the last fault to the end of the load
	sampleInterval = 500 * time.Millisecond
)

// dataCentres of a run; each has two entry instances, the first of which is a voter.
var dataCentres = []fleet.DataCentre{"norte", "sur", "santa-fe"}

// World is a fleet of entry instances, agents and stand-in backend servers, with callers.
type World struct {
	rng       *rand.Rand
	start     time.Time
	network   *network
	instances []*instance
	servers   []*server
	recorder  history.Recorder
	diskLost  bool   // a voter has lost its disk in this run
	onReady   func() // called when the fleet serves requests, before the first fault

	mu          sync.Mutex
	downSignals map[*instance]chan struct{}
}

// now returns the time since the start of the run.
func (w *World) now() time.Duration { return time.Since(w.start) }

// requestID returns the digest of a body, by which the stand-ins record a request without a key.
func requestID(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:16])
}

// New returns a fleet that is not started yet. The seed determines its faults, its disks and its callers.
func New(seed uint64) *World {
	w := &World{
		rng:         rand.New(rand.NewPCG(seed, 0)),
		start:       time.Now(),
		network:     newNetwork(),
		downSignals: make(map[*instance]chan struct{}),
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

// callerHandler returns the handler of the callers' API of an instance, nil while it is down.
func (w *World) callerHandler(i *instance) http.Handler {
	w.mu.Lock()
	defer w.mu.Unlock()
	return i.handler
}

// closeCallerListener makes an instance unreachable for callers; accepted requests continue.
func (w *World) closeCallerListener(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.handler = nil
}

// downSignal returns a channel that is closed when the instance goes down.
func (w *World) downSignal(i *instance) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.downSignals[i] == nil {
		w.downSignals[i] = make(chan struct{})
	}
	return w.downSignals[i]
}

// markDown marks an instance as down and breaks its callers' connections.
func (w *World) markDown(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i.core, i.handler = nil, nil
	if signal := w.downSignals[i]; signal != nil {
		close(signal)
		delete(w.downSignals, i)
	}
}

// Run runs the fleet under load with the given number of random faults, and returns the history.
func (w *World) Run(faults int) (*history.History, error) {
	load := func(ctx context.Context, home, n int, rng *rand.Rand) {
		w.caller(ctx, home, fmt.Sprintf("c%d-%d", home, n), rng)
	}
	return w.run(load, settlePeriod, func() error { return w.injectFaults(faults) })
}

// run runs the fleet until the script has returned and the settle time has passed. load runs caller n of instance home until
// the context ends.
func (w *World) run(load func(ctx context.Context, home, n int, rng *rand.Rand), settle time.Duration, script func() error) (*history.History, error) {
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
	time.Sleep(startPeriod / 2)
	for home := range w.instances {
		for n := range callersPerInstance {
			rng := rand.New(rand.NewPCG(w.rng.Uint64(), 0))
			callers.Go(func() { load(ctx, home, n, rng) })
		}
	}
	samplers.Go(func() { w.sampleRevisions(ctx) })
	time.Sleep(startPeriod / 2)
	if w.onReady != nil {
		w.onReady()
	}
	err := script()
	time.Sleep(settle)
	cancel()
	callers.Wait()
	samplers.Wait()
	w.stopAll()
	return w.recorder.History(), err
}

// sampleRevisions records the active configuration of each ready instance until the context ends.
func (w *World) sampleRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range w.instances {
			w.mu.Lock()
			core := i.core
			w.mu.Unlock()
			if core == nil || core.NotReady() != "" {
				continue
			}
			sample := history.RevisionSample{Instance: i.settings.Instance, Revision: core.Loop.View().Revision, At: w.now()}
			w.recorder.Record(func(h *history.History) { h.RevisionSamples = append(h.RevisionSamples, sample) })
		}
		time.Sleep(sampleInterval)
	}
}

// stopAll stops all processes and adds the servers' records to the history.
func (w *World) stopAll() {
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
			continue // restarting it failed, which the script reports
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

// addRuns adds the executions that a server recorded to the history.
func (w *World) addRuns(h *history.History, s *server) {
	if s.engine != nil {
		h.Starts = append(h.Starts, history.Start{Server: s.id, ColdCrashes: s.engine.Stats().Crashes - s.injectedCrashes})
	}
	for _, e := range s.record().Entries() {
		if e.End == standin.EndRefused || e.Path == "/healthz" || e.Path == "/load" {
			continue
		}
		run := history.Run{
			Request: e.Key, Server: s.id, DataCentre: s.dataCentre, Begun: e.Started.Sub(w.start), Ended: e.Ended.Sub(w.start),
			Aborted: e.End == standin.EndAborted,
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
