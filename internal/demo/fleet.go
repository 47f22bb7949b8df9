// Package demo runs a small fleet in one process: entry instances, agents, stand-in engines and a plain service in two
// data centres. It sends load from a fixed number of workers, drains a server, evacuates and restores a data centre, and
// compares the answers with the records of the stand-ins to count lost and duplicated requests.
package demo

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/agent"
	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/standin"
)

const (
	fleetKey               = "demo-fleet-key-0123456789"
	organisationKey        = "demo-organisation-key-%d-0123456789"
	model                  = "modelo-vidrio"
	service                = "pedidos"
	organisations          = 3
	enginesPerDataCentre   = 3
	instancesPerDataCentre = 2
)

// dataCentres are the data centres of the demo. The first has two voters, the second one.
var dataCentres = []fleet.DataCentre{"rosario-norte", "rosario-sur"}

// process is an entry instance or agent, which runs in a goroutine.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startProcess calls run in a goroutine. Its context is cancelled by stopAndWait.
func startProcess(run func(context.Context)) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		run(ctx)
	}()
	return p
}

// stopAndWait stops the process gracefully and waits until it has ended.
func (p *process) stopAndWait() {
	p.cancel()
	<-p.done
}

// backend is a stand-in with its agent.
type backend struct {
	id         fleet.ServerID
	dataCentre fleet.DataCentre
	engine     *standin.Engine
	service    *standin.Service
	agent      *process
	stopServer func()
}

// Fleet is a fleet that runs in this process.
type Fleet struct {
	folder            string
	instances         []*entry.Instance
	instanceProcesses []*process
	backends          []*backend
}

// freeAddresses returns loopback addresses with ports that were free during the call; another process may take them before
// they are used.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// StartFleet starts the fleet and waits until it is ready.
func StartFleet(ctx context.Context) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "banyanfront-demo-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{folder: dir}
	if err := f.startInstances(); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.startBackends(); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startInstances() error {
	addresses, err := freeAddresses(len(dataCentres) * instancesPerDataCentre)
	if err != nil {
		return err
	}
	var fronts []*settings.Front
	var voters []settings.Voter
	for i, address := range addresses {
		dataCentre := dataCentres[i/instancesPerDataCentre]
		front := &settings.Front{
			Instance:        fleet.InstanceID(fmt.Sprintf("%s-%d", dataCentre, i%instancesPerDataCentre+1)),
			DataCentre:      dataCentre,
			CallersListen:   "127.0.0.1:0",
			InnerListen:     address,
			InnerAddress:    address,
			OperatorsListen: "127.0.0.1:0",
			FleetKey:        fleetKey,
			DefaultDeadline: 20 * time.Second,
			MaxBodyBytes:    960 << 10,
			QueueMax:        1000,
			RetryBudget:     0.1,
			DrainTimeout:    20 * time.Second,
			Peers:           addresses,
		}
		for n := range organisations {
			front.Organisations = append(front.Organisations, settings.Organisation{
				Name: fleet.Organisation(fmt.Sprintf("organisation-%d", n)), Key: fmt.Sprintf(organisationKey, n), Weight: 1,
			})
		}
		if i < 3 {
			front.DataFolder = filepath.Join(f.folder, string(front.Instance))
			voters = append(voters, settings.Voter{Instance: front.Instance, Address: address})
		}
		fronts = append(fronts, front)
	}
	for _, front := range fronts {
		front.Voters = voters
		instance, err := entry.New(front)
		if err != nil {
			return err
		}
		f.instances = append(f.instances, instance)
		f.instanceProcesses = append(f.instanceProcesses, startProcess(func(ctx context.Context) { _ = instance.Run(ctx) }))
	}
	return nil
}

func (f *Fleet) startBackends() error {
	for d, dataCentre := range dataCentres {
		for n := range enginesPerDataCentre {
			b := &backend{
				id:         fleet.ServerID(fmt.Sprintf("%s-engine-%d", dataCentre, n+1)),
				dataCentre: dataCentre,
			}
			b.engine = standin.NewEngine(standin.EngineConfig{
				Name:          string(b.id),
				Models:        []fleet.Model{{Name: model, Version: "1"}},
				Prefill:       20 * time.Millisecond,
				TokenInterval: 5 * time.Millisecond,
			})
			if err := f.startBackend(b, d, settings.Backend{
				Kind: settings.KindEngine, Models: []settings.BackendModel{{Name: model, Version: "1"}},
				Capacity: 16, Resumes: true,
			}); err != nil {
				return err
			}
		}
	}
	for d, dataCentre := range dataCentres {
		b := &backend{id: fleet.ServerID(string(dataCentre) + "-service"), dataCentre: dataCentre}
		b.service = standin.NewService(standin.ServiceConfig{Name: string(b.id), Delay: 5 * time.Millisecond})
		if err := f.startBackend(b, d, settings.Backend{Kind: settings.KindService, Service: service, Capacity: 16}); err != nil {
			return err
		}
	}
	return nil
}

// startBackend starts a stand-in and its agent. dataCentre is the index in dataCentres.
func (f *Fleet) startBackend(b *backend, dataCentre int, backendSettings settings.Backend) error {
	var err error
	var address string
	if b.engine != nil {
		address, b.stopServer, err = standin.Start("127.0.0.1:0", b.engine)
	} else {
		address, b.stopServer, err = standin.Start("127.0.0.1:0", b.service)
	}
	if err != nil {
		return err
	}
	backendSettings.URL = "http://" + address
	config := &settings.Agent{
		Instance:        fleet.InstanceID(b.id),
		Server:          b.id,
		DataCentre:      b.dataCentre,
		FrontAddresses:  []string{f.instances[dataCentre*instancesPerDataCentre].InnerAddress()},
		FleetKey:        fleetKey,
		Backend:         backendSettings,
		FirstTokenBound: 1100 * time.Millisecond,
		KeepAnswers:     1 << 20,
		KeepAnswersFor:  time.Minute,
		ReportInterval:  500 * time.Millisecond,
		MetricsListen:   "127.0.0.1:0",
		DrainTimeout:    20 * time.Second,
	}
	b.agent = startProcess(func(ctx context.Context) { _ = agent.Serve(ctx, config) })
	f.backends = append(f.backends, b)
	return nil
}

// readyTimeout limits the time until the fleet is ready: leader election, sessions and the first announcements.
const readyTimeout = 10 * time.Second

// awaitReady waits until each instance is ready and has received the announcements of all servers of a data centre.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		notReady := ""
		for _, instance := range f.instances {
			if reason := instance.NotReady(); reason != "" {
				notReady = reason
			}
			if n := instance.LiveServers(); n < enginesPerDataCentre+1 {
				notReady = fmt.Sprintf("%d of %d servers announced", n, enginesPerDataCentre+1)
			}
		}
		if notReady == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the fleet did not start in %v: %s", readyTimeout, notReady)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Stop stops all processes gracefully and removes the data folders.
func (f *Fleet) Stop() {
	var group sync.WaitGroup
	for _, p := range f.instanceProcesses {
		group.Go(p.stopAndWait)
	}
	for _, b := range f.backends {
		group.Go(func() {
			b.agent.stopAndWait()
			b.stopServer()
		})
	}
	group.Wait()
	_ = os.RemoveAll(f.folder)
}
