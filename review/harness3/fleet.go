//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

// Ports of all processes; each has a loopback address of its own.
const (
	callersPort = 8227
	readyPort   = 8220
	controlPort = 8229
	innerPort   = 7340
	serverPort  = 9000
)

// Times of the deployments of the sites vcl-banyan and khadag-lend.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second
	stableWindow      = 3 * time.Second
	grace             = 8 * time.Second
	fleetKey          = "banyanfront-on-the-platform"
)

var zones = []string{"rosario-norte", "rosario-sur", "santa-fe"}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// proc is one process of the system.
type proc struct {
	name     string
	args     []string // after the program's path
	settings platform.Settings
	folder   string
	rec      *recorder

	mu      sync.Mutex
	child   *exec.Cmd
	exited  chan struct{}
	started time.Time
}

// fleet is a small deployment on a loopback network of its own.
type fleet struct {
	network  byte
	folder   string
	rec      *recorder
	lock     net.Listener
	controls []*proc
	entries  []*proc
}

// reserveNetwork returns the second byte of a free loopback network.
func reserveNetwork() (byte, net.Listener, error) {
	for range 200 {
		n := byte(20 + rand.IntN(220))
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:7399", n)); err == nil {
			return n, l, nil
		}
	}
	return 0, nil, errors.New("no free loopback network")
}

func (f *fleet) ip(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(kind), byte(n + 1)})
}

const (
	entryNet = iota + 1
	controlNet
	serverNet
)

// newFleet prepares a deployment with three control instances, one in each zone, and a number of entry instances.
func newFleet(rec *recorder, entries int) (*fleet, error) {
	return newFleetOf(rec, 3, 1, entries)
}

// newFleetOf prepares a deployment with a number of control instances, of which some may lose their disks at once.
func newFleetOf(rec *recorder, controls, tolerated, entries int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, rec: rec}
	if f.network, f.lock, err = reserveNetwork(); err != nil {
		return nil, err
	}
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, netip.AddrPortFrom(f.ip(controlNet, i), controlPort))
	}
	settings := func(class string, kind, n int) platform.Settings {
		s := platform.Settings{Instance: fmt.Sprintf("%s-%s-%d", class, zones[n%3], n/3+1), DataCentre: zones[n%3], DataCentres: map[string]string{},
			IP: f.ip(kind, n), InnerPorts: [2]uint16{innerPort, innerPort + 15}, Seeds: seeds, FirstStart: true, MemoryBytes: 284 << 20,
			AnnounceInterval: heartbeatInterval, StopGrace: grace, RetryRatio: 0.2, RetrySlack: 88, RetryWindow: 10 * time.Second, ToleratedDiskLosses: tolerated}
		for _, z := range zones {
			s.DataCentres[z] = "litoral"
		}
		return s
	}
	for i := range controls {
		s := settings("core", controlNet, i)
		s.ControlListen = netip.AddrPortFrom(s.IP, controlPort).String()
		s.DataFolder = filepath.Join(folder, s.Instance)
		f.controls = append(f.controls, &proc{name: s.Instance, args: []string{"control", "--metrics", "9464"}, settings: s, folder: folder, rec: rec})
	}
	for i := range entries {
		s := settings("front", entryNet, i)
		s.CallersListen, s.ReadyListen = netip.AddrPortFrom(s.IP, callersPort).String(), netip.AddrPortFrom(s.IP, readyPort).String()
		f.entries = append(f.entries, &proc{name: s.Instance, args: []string{"entry", "--metrics", "9464"}, settings: s, folder: folder, rec: rec})
	}
	return f, nil
}

// start starts all processes at the same time, one after the other.
func (f *fleet) start() error {
	for _, p := range slices.Concat(f.startOrder(), f.entries) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// startOrder returns the control instances, the last one first.
func (f *fleet) startOrder() []*proc {
	order := slices.Clone(f.controls)
	slices.Reverse(order)
	return order
}

// close ends all processes and removes the temporary folder, which KEEP=1 keeps.
func (f *fleet) close() {
	for _, p := range slices.Concat(f.controls, f.entries) {
		p.kill()
	}
	_ = f.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return err
		}
	}
	file := filepath.Join(p.folder, p.name+".conf")
	text := append(p.settings.Text(), []byte(fmt.Sprintf("bounds.drain-ms=%d\nlimits.max-fds=4200\n", drainTime.Milliseconds()))...)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	child := exec.Command("target/banyanfront", p.args...)
	child.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + file, "BANYANFRONT_FLEET_KEY=" + fleetKey,
		"GOMAXPROCS=1"}
	child.Stdout, child.Stderr = output, output
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := child.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = child.Wait(); close(exited) }()
	p.child, p.exited, p.started = child, exited, time.Now()
	p.rec.printf("start %s, bootstrap=%v", p.name, p.settings.FirstStart)
	return nil
}

// signal sends a signal to the process.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.child != nil {
		_ = p.child.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a body and returns the status of the answer, 0 if there was none.
func post(url string, body []byte) int {
	response, err := shortClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// controlURL returns the address of a control instance for operators and servers.
func (f *fleet) controlURL(n int) string { return "http://" + f.controls[n].settings.ControlListen }

// replaceConfiguration sends a configuration to the control instances in turn until one acknowledges it or the context ends. It returns that
// one, or nil.
func (f *fleet) replaceConfiguration(ctx context.Context, version uint64, body []byte) *proc {
	for n := rand.IntN(len(f.controls)); ctx.Err() == nil; n++ {
		status := post(f.controlURL(n%len(f.controls))+platform.ReplaceConfigurationPath, body)
		f.rec.printf("operator sends configuration %d to %s: answer %d", version, f.controls[n%len(f.controls)].name, status)
		if status == http.StatusOK {
			f.rec.printf("configuration %d acknowledged by %s", version, f.controls[n%len(f.controls)].name)
			return f.controls[n%len(f.controls)]
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// readConfiguration reads the configuration from the control instances in turn until one returns it or the context ends.
func (f *fleet) readConfiguration(ctx context.Context) []byte {
	for n := rand.IntN(len(f.controls)); ctx.Err() == nil; n++ {
		response, err := shortClient.Get(f.controlURL(n%len(f.controls)) + platform.ReadConfigurationPath)
		if err != nil {
			f.rec.printf("operator reads at %s: no answer", f.controls[n%len(f.controls)].name)
		} else {
			f.rec.printf("operator reads at %s: answer %d", f.controls[n%len(f.controls)].name, response.StatusCode)
			body, readErr := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if readErr == nil && response.StatusCode == http.StatusOK {
				return body
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
	return nil
}

// awaitReady waits until an entry instance says that it is ready.
func (f *fleet) awaitReady(ctx context.Context, p *proc) bool {
	for ctx.Err() == nil {
		response, err := shortClient.Get("http://" + p.settings.ReadyListen + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// troubled reports whether the run has its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// Signals that freeze a process and wake it again.
const (
	signalStop     = syscall.SIGSTOP
	signalContinue = syscall.SIGCONT
)
