package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/agent"
	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/history"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/standin"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	modelName    = "modelo-vidrio"
	serviceName  = "pedidos"
	callerKey    = "world-organisation-key-0123456789"
	drainTimeout = 30 * time.Second
	// coldSlots is the number of requests above which a cold engine crashes. It equals the initial limit of the agents' slow
	// start.
	coldSlots = 2
)

// instance is an entry instance, running or not.
type instance struct {
	settings *settings.Front
	disk     *faultfs.FS // nil if it has no data folder
	node     *node
	core     *entry.Core // nil while it is down
	handler  http.Handler
	stop     context.CancelFunc
	done     chan struct{}
}

// startInstance starts an entry instance.
func (w *World) startInstance(i *instance) error {
	i.node = &node{name: string(i.settings.Instance), dataCentre: i.settings.DataCentre}
	environment := entry.Environment{
		Connector: func(address string, _ func() protocol.Hello, _ transport.Handler) transport.ConnectFunc {
			return w.network.connect(i.node, address)
		},
	}
	if i.disk != nil {
		environment.Folder = storage.FS(i.disk)
	}
	core, err := entry.NewCore(i.settings, process.NewIncarnation(), environment)
	if err != nil {
		return fmt.Errorf("instance %s: %w", i.settings.Instance, err)
	}
	i.node.hello, i.node.handler = core.Hello, core.Loop
	ctx, cancel := context.WithCancel(context.Background())
	i.stop, i.done = cancel, make(chan struct{})
	w.mu.Lock()
	i.core, i.handler = core, core.Gateway.Handler()
	w.mu.Unlock()
	w.network.register(i.settings.InnerAddress, i.node)
	done := i.done
	go func() {
		defer close(done)
		core.Run(ctx)
	}()
	return nil
}

// crash kills an entry instance: its connections break, and its disk keeps the synced data and a random part of the rest.
func (w *World) crash(i *instance) {
	core := i.core
	w.markDown(i)
	if i.disk != nil {
		i.disk.Restart()
	}
	w.network.remove(i.settings.InnerAddress, i.node)
	i.stop()
	core.Agreement.Close()
	<-i.done
}

// stopInstance stops an entry instance as planned.
func (w *World) stopInstance(i *instance) {
	from := w.now()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	core := i.core
	_ = core.Drain(ctx)
	w.closeCallerListener(i)
	time.Sleep(time.Second) // lets the last callers receive their refusals
	w.markDown(i)
	w.network.remove(i.settings.InnerAddress, i.node)
	i.stop()
	<-i.done
	w.recorder.Record(func(h *history.History) {
		h.Stops = append(h.Stops, history.Stop{Instance: i.settings.Instance, From: from, To: w.now()})
	})
}

// server is a backend server with the agent beside it.
type server struct {
	id              fleet.ServerID
	dataCentre      fleet.DataCentre
	seeds           []string
	engine          *standin.Engine
	service         *standin.Service
	listener        *pipeListener
	http            *http.Server
	node            *node // the agent on the network, nil while it is down
	stop            context.CancelFunc
	done            chan struct{}
	injectedCrashes int // crashes injected by the run, which do not break G2
}

func (s *server) record() *standin.Record {
	if s.engine != nil {
		return s.engine.Record()
	}
	return s.service.Record()
}

// startServer starts the HTTP server of a stand-in.
func (s *server) startServer() {
	s.listener = newPipeListener()
	s.http = &http.Server{}
	if s.engine != nil {
		s.http.Handler = s.engine
	} else {
		s.http.Handler = s.service
	}
	go func() { _ = s.http.Serve(s.listener) }()
}

// startAgent starts the agent beside a server.
func (w *World) startAgent(s *server) error {
	incarnation := process.NewIncarnation()
	announcement := fleet.Announcement{Server: s.id, Incarnation: incarnation, DataCentre: s.dataCentre, Capacity: 16}
	if s.engine != nil {
		announcement.Models = []fleet.Model{{Name: modelName}}
		announcement.Resumes = true
	} else {
		announcement.Kind, announcement.Service = fleet.KindService, serviceName
	}
	return s.runAgent(w.network, announcement)
}

// runAgent starts the agent beside a server; s.stop stops it.
func (s *server) runAgent(network *network, announcement fleet.Announcement) error {
	a, err := agent.New(agent.Config{
		Announcement:        announcement,
		BackendURL:          "http://" + string(s.id),
		FirstTokenBound:     1100 * time.Millisecond,
		MaxKeptAnswersBytes: 16 << 20,
		AnswerRetention:     10 * time.Minute,
		ReportInterval:      2 * time.Second,
		Dial:                s.listener.dial,
	})
	if err != nil {
		return err
	}
	n := &node{name: string(s.id), dataCentre: s.dataCentre, handler: a}
	hello := protocol.Hello{Instance: fleet.InstanceID(s.id), Incarnation: announcement.Incarnation, DataCentre: s.dataCentre, Agent: true}
	n.hello = func() protocol.Hello {
		current := hello
		current.Revision = a.Revision()
		return current
	}
	pool := transport.NewPool(func(address string) transport.ConnectFunc { return network.connect(n, address) }, a)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.node, s.stop, s.done = n, cancel, done
	go func() {
		defer close(done)
		a.Run(ctx, pool, s.seeds, drainTimeout)
	}()
	return nil
}

// stopAgent stops an agent as planned and starts a new one after a pause.
func (w *World) stopAgent(s *server, pause time.Duration) error {
	from := w.now()
	s.stop()
	<-s.done
	to := w.now()
	time.Sleep(pause)
	w.recorder.Record(func(h *history.History) {
		h.Stops = append(h.Stops, history.Stop{Server: s.id, From: from, To: to})
		h.Departures = append(h.Departures, history.Departure{Server: s.id, At: from, Until: w.now()})
	})
	return w.startAgent(s)
}

// crashAgent kills an agent, which breaks its attempts and loses its state, and starts a new one after a pause.
func (w *World) crashAgent(s *server, pause time.Duration) error {
	w.network.remove("", s.node)
	s.listener.Close()
	_ = s.http.Close() // breaks the connections between agent and server
	s.stop()
	<-s.done
	time.Sleep(pause)
	s.startServer()
	return w.startAgent(s)
}

// newServers returns the two engines and the plain service of a data centre.
func newServers(dataCentre fleet.DataCentre, seeds []string) []*server {
	var servers []*server
	for n := range 2 {
		servers = append(servers, &server{
			id: fleet.ServerID(fmt.Sprintf("%s-engine-%d", dataCentre, n)), dataCentre: dataCentre, seeds: seeds,
			engine: standin.NewEngine(standin.EngineConfig{
				Name:          "engine",
				Models:        []fleet.Model{{Name: modelName}},
				Prefill:       100 * time.Millisecond,
				TokenInterval: 20 * time.Millisecond,
				Cold:          4 * time.Second,
				ColdSlots:     coldSlots,
				RestartTime:   2 * time.Second,
			}),
		})
	}
	return append(servers, &server{
		id: fleet.ServerID(string(dataCentre) + "-service"), dataCentre: dataCentre, seeds: seeds,
		service: standin.NewService(standin.ServiceConfig{Name: "service", Delay: 30 * time.Millisecond}),
	})
}

// newDisk returns a disk with slow syncs, so that crashes hit unsynced data.
func newDisk(rng *rand.Rand) *faultfs.FS {
	disk := faultfs.New(rng)
	disk.SyncDelay = 2 * time.Millisecond
	return disk
}
