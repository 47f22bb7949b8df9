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
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/banyanfront/banyanfront/platform"
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

// Size of the usual deployment.
const (
	entriesPerScale  = 3
	controlInstances = 4
	plainServers     = 4
	ranksPerGroup    = 2
	groupsPerScale   = 2
	callersPerScale  = 24
	// disksLostTogether is the number of control instances whose disk may be lost at once.
	disksLostTogether = 1
	memoryBytes       = 256 << 20
	retryRatio        = 0.2
	retrySlack        = 88
	retryWindow       = 10 * time.Second
)

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

var dataCentres = []string{"norte", "sur"}

// fleet is a running deployment.
type fleet struct {
	config   Config
	ledger   *ledger
	entries  []*process
	controls []*process
	ranks    []*process
	servers  []*server
	groups   []*group
	proxies  map[string]*proxy // before the control instances and the servers, by name
	byName   map[string]*process
	operator *operator
	balancer *balancer
	random   *rand.Rand
}

// Run plays one soak. It returns an error only if the soak itself could not be played.
func Run(ctx context.Context, c Config) (*Report, error) {
	c.Scale = max(1, c.Scale)
	f := &fleet{config: c, ledger: newLedger(), proxies: map[string]*proxy{}, byName: map[string]*process{},
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

// claimNetwork returns the first two bytes of loopback addresses that no other soak uses.
func claimNetwork() (byte, func(), error) {
	const first, last, lockPort = 16, 250, 7399
	for range last - first {
		n := byte(first + rand.IntN(last-first))
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", n, lockPort))
		if err == nil {
			return n, func() { _ = lock.Close() }, nil
		}
	}
	return 0, nil, eris.New("no free loopback network 127.16 to 127.250: end other soaks, or give the loopback interface 127.0.0.0/8")
}

// Third byte of the addresses, by what has them.
const (
	entryNetwork = iota + 1
	controlNetwork
	controlProxyNetwork
	rankNetwork
	serverNetwork
	serverProxyNetwork
)

// Ports, which are the same on all addresses.
const (
	callersPort = 8227
	readyPort   = 8220
	controlPort = 8229
	innerPort   = 7340
	serverPort  = 9000
)

// build makes all parts without starting them.
func (f *fleet) build(network byte) error {
	ip := func(kind, n int) netip.Addr { return netip.AddrFrom4([4]byte{127, network, byte(kind), byte(n + 1)}) }
	at := func(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }
	var seeds []netip.AddrPort
	var controlAddresses []string
	for i := range controlInstances {
		controlAddresses = append(controlAddresses, at(ip(controlNetwork, i), controlPort))
		if i < 3 {
			seeds = append(seeds, netip.AddrPortFrom(ip(controlProxyNetwork, i), controlPort))
		}
	}
	settings := func(role string, n int) platform.Settings {
		s := platform.Settings{Instance: fmt.Sprintf("%s-%d", role, n+1), DataCentre: dataCentres[n%len(dataCentres)], DataCentres: map[string]string{},
			InnerPorts: [2]uint16{innerPort, innerPort + 15}, Seeds: seeds, FirstStart: true, MemoryBytes: memoryBytes, AnnounceEvery: announceEvery,
			StopGrace: stopGrace, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow, DisksLostTogether: disksLostTogether}
		for _, dc := range dataCentres {
			s.DataCentres[dc] = "region"
		}
		return s
	}
	add := func(s platform.Settings, command ...string) *process {
		p := &process{settings: s, command: command, folder: f.config.Folder, ledger: f.ledger}
		f.byName[s.Instance] = p
		return p
	}
	for i := range controlInstances {
		s := settings("control", i)
		s.IP, s.ControlListen = ip(controlProxyNetwork, i), controlAddresses[i]
		s.DataFolder = filepath.Join(f.config.Folder, s.Instance)
		inner := at(ip(controlNetwork, i), innerPort)
		p, err := newProxy(at(s.IP, innerPort), inner)
		if err != nil {
			return eris.Wrap(err, "proxy before a control instance")
		}
		f.proxies[s.Instance] = p
		f.controls = append(f.controls, add(s, f.config.Front, "control", "--inner-listen", inner))
	}
	for i := range entriesPerScale * f.config.Scale {
		s := settings("entry", i)
		s.IP = ip(entryNetwork, i)
		s.CallersListen, s.ReadyListen = at(s.IP, callersPort), at(s.IP, readyPort)
		f.entries = append(f.entries, add(s, f.config.Front, "entry"))
	}
	addServer := func(n int, name, service string, g *group, rank int) error {
		address := at(ip(serverNetwork, n), serverPort)
		p, err := newProxy(at(ip(serverProxyNetwork, n), serverPort), address)
		if err != nil {
			return eris.Wrap(err, "proxy before a backend server")
		}
		f.proxies[name] = p
		f.servers = append(f.servers, &server{name: name, dataCentre: dataCentres[n%len(dataCentres)], service: service, address: address,
			proxy: p, group: g, rank: rank, ledger: f.ledger, controls: controlAddresses})
		return nil
	}
	for i := range plainServers * f.config.Scale {
		if err := addServer(i, fmt.Sprintf("server-%d", i+1), plainService, nil, 0); err != nil {
			return err
		}
	}
	for i := range groupsPerScale * f.config.Scale {
		g := newGroup(fmt.Sprintf("group-%d", i+1), ranksPerGroup, f.config.Seed+uint64(i), f.ledger)
		f.groups = append(f.groups, g)
		for rank := range ranksPerGroup {
			n := len(f.servers)
			name := fmt.Sprintf("engine-%d.%d", i+1, rank)
			if err := addServer(n, name, groupService, g, rank); err != nil {
				return err
			}
			s := settings("rank", len(f.ranks))
			s.IP, s.BackendServer, s.Service = ip(rankNetwork, len(f.ranks)), f.servers[n].address, groupService
			f.ranks = append(f.ranks, add(s, f.config.Agent, "rank"))
		}
	}
	f.operator = newOperator(f.config.Seed, f.ledger, controlAddresses, f.entries)
	f.balancer = &balancer{entries: f.entries, misses: map[*process]int{}}
	return nil
}

// start starts backend servers and processes.
func (f *fleet) start() error {
	for _, s := range f.servers {
		if err := s.start(false); err != nil {
			return eris.Wrapf(err, "stand-in %s", s.name)
		}
	}
	for _, p := range slices.Concat(f.controls, f.entries, f.ranks) {
		if err := p.start(); err != nil {
			return eris.Wrapf(err, "process %s", p.settings.Instance)
		}
	}
	return nil
}

// end ends everything.
func (f *fleet) end() {
	var group sync.WaitGroup
	for _, p := range f.byName {
		if p.gone != nil {
			group.Go(p.retire)
		}
	}
	group.Wait()
	for _, s := range f.servers {
		s.crash()
	}
	for _, p := range f.proxies {
		p.close()
	}
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
	base := baseRoutes()
	for i := range callersPerScale * f.config.Scale {
		c := &caller{name: fmt.Sprintf("caller%d", i), random: rand.New(rand.NewPCG(f.config.Seed, uint64(i))), ledger: f.ledger, balancer: f.balancer}
		for r := range base {
			c.routes = append(c.routes, &base[r])
			if !base[r].Repeatable() { // what may run once shows most
				c.routes = append(c.routes, &base[r])
			}
		}
		background.Go(func() { c.run(load) })
	}
	f.recovered(ctx, "START", startBound)
	background.Go(func() { f.operator.run(load) })
	background.Go(func() { f.operator.watch(load) })

	f.ledger.enter(faults)
	names := targets{}
	for _, p := range f.entries {
		names.entries = append(names.entries, p.settings.Instance)
	}
	for _, p := range f.controls {
		names.controls = append(names.controls, p.settings.Instance)
	}
	for _, p := range f.ranks {
		names.ranks = append(names.ranks, p.settings.Instance)
	}
	for _, s := range f.servers {
		if s.group != nil {
			names.engines = append(names.engines, s.name)
		} else {
			names.servers = append(names.servers, s.name)
		}
	}
	list := plan(f.config.Seed, f.config.Faults, names)
	f.inject(ctx, list)
	f.recovered(ctx, "RECOVER", recovery)
	f.calmly(ctx)
	f.roll(ctx)
	f.finalFault(ctx)
	return list
}

// inject brings the faults of a plan about and waits until all have ended.
func (f *fleet) inject(ctx context.Context, list []Fault) {
	begun := time.Now()
	var active sync.WaitGroup
	for _, fault := range list {
		if !sleep(ctx, time.Until(begun.Add(fault.At))) {
			break
		}
		log.WithField("fault", fault.String()).Debug("fault begins")
		f.ledger.count("faults of kind " + string(fault.Kind))
		active.Go(func() { f.bring(ctx, fault) })
	}
	active.Wait()
}

// bring brings one fault about and waits for its end.
func (f *fleet) bring(ctx context.Context, fault Fault) {
	process, proxy := f.byName[fault.Target], f.proxies[fault.Target]
	var target *server
	for _, s := range f.servers {
		if s.name == fault.Target {
			target = s
		}
	}
	// forATime sets something and takes it back.
	forATime := func(set func(on bool)) {
		set(true)
		sleep(ctx, fault.For)
		set(false)
	}
	switch fault.Kind {
	case Kill:
		process.kill()
	case LoseDisk:
		process.loseDisk()
	case KillControl:
		for _, p := range f.controls {
			p.kill()
		}
	case Stop:
		process.stop()
	case Reload:
		process.signal(signalReload, false)
	case Pause:
		forATime(process.pause)
	case Reset:
		proxy.reset()
	case Silence:
		forATime(func(on bool) { proxy.set(func(l *link) { l.holdTo, l.holdFrom = on, on }) })
	case Deaf:
		forATime(func(on bool) { proxy.set(func(l *link) { l.holdTo = on }) })
	case Mute:
		forATime(func(on bool) { proxy.set(func(l *link) { l.holdFrom = on }) })
	case Delay:
		forATime(func(on bool) {
			proxy.set(func(l *link) {
				if l.delay = 0; on {
					l.delay = mostDelay / 2
				}
			})
		})
	case Crash:
		target.crash()
		f.again(ctx, target)
	case CrashAll:
		var all sync.WaitGroup
		for _, s := range f.servers {
			if s.group == nil {
				s.crash()
				all.Go(func() { f.again(ctx, s) })
			}
		}
		all.Wait()
	case Drain:
		target.drain()
		f.again(ctx, target)
	case Freeze:
		forATime(target.freeze)
	case Damage:
		forATime(target.damaging.Store)
	case HoldBack:
		forATime(target.held.Store)
	case LoseOrders:
		forATime(func(on bool) { target.group.setRank(target.rank, func(r *rankState) { r.loseOrders = on }) })
	}
}

// again starts a server that has ended.
func (f *fleet) again(ctx context.Context, s *server) {
	sleep(ctx, downTime)
	if s.present() != nil || ctx.Err() != nil {
		return // another fault has started it
	}
	if err := s.start(true); err != nil {
		f.ledger.violate("SOAK", "stand-in %s was not started again: %v", s.name, err)
	}
}

// recovered waits until nearly all requests are answered, and records a violation if that takes too long.
func (f *fleet) recovered(ctx context.Context, rule string, within time.Duration) {
	begun := time.Now()
	var ended, served int
	for time.Since(begun) < within+steadyTime {
		if !sleep(ctx, poll) {
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
	sleep(ctx, calmTime)
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
