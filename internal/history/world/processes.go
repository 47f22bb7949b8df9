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
	// coldSlots is the load that a cold engine bears: the start of the limiter's slow start.
	coldSlots = 2
)

// instance is an entry instance, running or not.
type instance struct {
	settings *settings.Front
	disk     *faultfs.FS // nil without a data folder
	node     *node
	core     *entry.Core // nil while it is down
	handler  http.Handler
	stop     context.CancelFunc
	done     chan struct{}
}

// startInstance starts an entry instance.
func (w *World) startInstance(i *instance) error {
	i.node = &node{name: string(i.settings.Instance), dataCentre: i.settings.DataCentre}
	surroundings := entry.Environment{
		Connector: func(address string, _ func() protocol.Hello, _ transport.Handler) transport.ConnectFunc {
			return w.network.connect(i.node, address)
		},
	}
	if i.disk != nil {
		surroundings.Folder = storage.FS(i.disk)
	}
	core, err := entry.NewCore(i.settings, process.NewIncarnation(), surroundings)
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

// crash kills an entry instance: its connections break, and its disk keeps what was synced and any part of the rest.
func (w *World) crash(i *instance) {
	core := i.core
	w.setDown(i)
	if i.disk != nil {
		i.disk.Restart()
	}
	w.network.leave(i.settings.InnerAddress, i.node)
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
	w.refuseCallers(i)
	time.Sleep(time.Second) // the refusals of the last callers are on their way
	w.setDown(i)
	w.network.leave(i.settings.InnerAddress, i.node)
	i.stop()
	<-i.done
	w.recorder.Record(func(h *history.History) {
		h.Stops = append(h.Stops, history.Stop{Instance: i.settings.Instance, From: from, To: w.now()})
	})
}

// server is a backend server with the agent beside it.
type server struct {
	id         fleet.ServerID
	dataCentre fleet.DataCentre
	seeds      []string
	engine     *standin.Engine
	service    *standin.Service
	listener   *pipeListener
	http       *http.Server
	node       *node // of the agent, nil while it is down
	stop       context.CancelFunc
	done       chan struct{}
	falls      int // that the run caused itself
}

func (s *server) record() *standin.Record {
	if s.engine != nil {
		return s.engine.Record()
	}
	return s.service.Record()
}

// startServer starts a stand-in.
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
	boot := process.NewIncarnation()
	announcement := fleet.Announcement{Server: s.id, Incarnation: boot, DataCentre: s.dataCentre, Capacity: 16}
	if s.engine != nil {
		announcement.Models = []fleet.Model{{Name: modelName}}
		announcement.Resumes = true
	} else {
		announcement.Kind, announcement.Service = fleet.KindService, serviceName
	}
	return s.runAgent(w.network, announcement)
}

// runAgent runs the agent beside a server until stop.
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
		greeting := hello
		greeting.Revision = a.Revision()
		return greeting
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

// stopAgent stops an agent as planned and starts the next one after a pause.
func (w *World) stopAgent(s *server, pause time.Duration) error {
	from := w.now()
	s.stop()
	<-s.done
	to := w.now()
	time.Sleep(pause)
	w.recorder.Record(func(h *history.History) {
		h.Stops = append(h.Stops, history.Stop{Server: s.id, From: from, To: to})
		h.Leaves = append(h.Leaves, history.Leave{Server: s.id, At: from, Until: w.now()})
	})
	return w.startAgent(s)
}

// crashAgent kills an agent; its attempts break, and nothing remains of its memory.
func (w *World) crashAgent(s *server, pause time.Duration) error {
	w.network.leave("", s.node)
	s.listener.Close()
	_ = s.http.Close() // breaks the connections between agent and server
	s.stop()
	<-s.done
	time.Sleep(pause)
	s.startServer()
	return w.startAgent(s)
}

// newServers returns engines and a service for a data centre.
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
				Restart:       2 * time.Second,
			}),
		})
	}
	return append(servers, &server{
		id: fleet.ServerID(string(dataCentre) + "-service"), dataCentre: dataCentre, seeds: seeds,
		service: standin.NewService(standin.ServiceConfig{Name: "service", Delay: 30 * time.Millisecond}),
	})
}

// newDisk returns a disk whose syncs take a while, so that crashes meet unsynced data.
func newDisk(rng *rand.Rand) *faultfs.FS {
	disk := faultfs.New(rng)
	disk.SyncDelay = 2 * time.Millisecond
	return disk
}
