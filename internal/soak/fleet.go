package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/banyanfront/banyanfront/platform"
)

// Size and settings of the deployment. Numbers per scale are multiplied by Config.Scale.
const (
	entriesPerScale  = 3
	controlInstances = 4
	plainServers     = 4
	ranksPerGroup    = 2
	groupsPerScale   = 2
	callersPerScale  = 24
	// toleratedDiskLosses is the number of control instances that may lose their disk at the same time.
	toleratedDiskLosses = 1
	memoryBytes         = 256 << 20
	retryRatio          = 0.2
	retrySlackRequests  = 88
	retryWindow         = 10 * time.Second
)

var dataCentres = []string{"norte", "sur"}

// fleet is a deployment under test.
type fleet struct {
	config   Config
	ledger   *ledger
	entries  []*instance
	controls []*instance
	ranks    []*instance
	servers  []*server
	groups   []*group
	proxies  map[string]*proxy // in front of the control instances and the servers, by name
	byName   map[string]*instance
	operator *operator
	balancer *balancer
	random   *rand.Rand
}

// reserveNetwork returns the second byte of a loopback network that no other soak uses, and a function that releases it.
func reserveNetwork() (byte, func(), error) {
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

// Third byte of the addresses of each kind of process or listener.
const (
	entryNetwork = iota + 1
	controlNetwork
	controlProxyNetwork
	rankNetwork
	serverNetwork
	serverProxyNetwork
)

// Ports, the same on all addresses.
const (
	callersPort = 8227
	readyPort   = 8220
	controlPort = 8229
	innerPort   = 7340
	serverPort  = 9000
)

// build creates all parts of the deployment without starting them; only the proxies already listen.
func (f *fleet) build(network byte) error {
	ip := func(kind, n int) netip.Addr { return netip.AddrFrom4([4]byte{127, network, byte(kind), byte(n + 1)}) }
	addrPort := func(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }
	var seeds []netip.AddrPort
	var controlAddresses []string
	for i := range controlInstances {
		controlAddresses = append(controlAddresses, addrPort(ip(controlNetwork, i), controlPort))
		if i < 3 {
			seeds = append(seeds, netip.AddrPortFrom(ip(controlProxyNetwork, i), controlPort))
		}
	}
	settings := func(role string, n int) platform.Settings {
		s := platform.Settings{Instance: fmt.Sprintf("%s-%d", role, n+1), DataCentre: dataCentres[n%len(dataCentres)], DataCentres: map[string]string{},
			InnerPorts: [2]uint16{innerPort, innerPort + 15}, Seeds: seeds, FirstStart: true, MemoryBytes: memoryBytes, AnnounceInterval: announceInterval,
			StopGrace: stopGrace, RetryRatio: retryRatio, RetrySlack: retrySlackRequests, RetryWindow: retryWindow, ToleratedDiskLosses: toleratedDiskLosses}
		for _, dc := range dataCentres {
			s.DataCentres[dc] = "region"
		}
		return s
	}
	add := func(s platform.Settings, command ...string) *instance {
		p := &instance{settings: s, command: command, folder: f.config.Folder, ledger: f.ledger}
		f.byName[s.Instance] = p
		return p
	}
	for i := range controlInstances {
		s := settings("control", i)
		s.IP, s.ControlListen = ip(controlProxyNetwork, i), controlAddresses[i]
		s.DataFolder = filepath.Join(f.config.Folder, s.Instance)
		inner := addrPort(ip(controlNetwork, i), innerPort)
		p, err := newProxy(addrPort(s.IP, innerPort), inner)
		if err != nil {
			return eris.Wrap(err, "proxy before a control instance")
		}
		f.proxies[s.Instance] = p
		f.controls = append(f.controls, add(s, f.config.Front, "control", "--inner-listen", inner))
	}
	for i := range entriesPerScale * f.config.Scale {
		s := settings("entry", i)
		s.IP = ip(entryNetwork, i)
		s.CallersListen, s.ReadyListen = addrPort(s.IP, callersPort), addrPort(s.IP, readyPort)
		f.entries = append(f.entries, add(s, f.config.Front, "entry"))
	}
	addServer := func(n int, name, service string, g *group, rank int) error {
		address := addrPort(ip(serverNetwork, n), serverPort)
		p, err := newProxy(addrPort(ip(serverProxyNetwork, n), serverPort), address)
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
	f.balancer = &balancer{entries: f.entries, failures: map[*instance]int{}}
	return nil
}

// start starts the backend servers, which are restarted until the context ends, and all processes.
func (f *fleet) start(running context.Context) error {
	for _, s := range f.servers {
		s.running = running
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

// shutdown ends all processes, backend servers and proxies.
func (f *fleet) shutdown() {
	var group sync.WaitGroup
	for _, p := range f.byName {
		if p.stopped != nil {
			group.Go(p.shutDown)
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
