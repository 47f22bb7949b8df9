//go:build review

// Command harness2 runs the script cases of the second independent review: real banyanfront processes on loopback
// addresses, with small stand-ins for the platform, the backend servers, the operator and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all addresses, and the third byte of the addresses of each kind of process.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	serverPort  = 9000
	metricsPort = "9464"

	frontNet   = 1
	coreNet    = 2
	serverNet  = 3
	reserveNet = 255
)

// Bounds of the deployment, as in the settings of DEPLOY.md.
const (
	heartbeatInterval = 1200 * time.Millisecond
	stableWindow      = 3 * time.Second
	drainTime         = 2 * time.Second
	restartDelay      = 400 * time.Millisecond
)

var zones = []string{"rosario-norte", "rosario-sur", "santa-fe"}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// fleet is a small deployment.
type fleet struct {
	record  *record
	network byte
	folder  string
	fronts  []*process
	cores   []*process
	lock    net.Listener
}

// process is one process of the system, restarted when it ends.
type process struct {
	fleet   *fleet
	name    string
	command []string
	ip      string
	conf    string
	dataDir string
	zone    string
	front   bool

	mu      sync.Mutex
	child   *exec.Cmd
	starts  int
	closing bool
	exited  chan struct{}
	started time.Time // start of the present incarnation
}

// newFleet reserves a loopback network and writes the settings of the processes without starting them.
func newFleet(r *record, fronts, cores int) (*fleet, error) {
	f := &fleet{record: r}
	for range 200 {
		f.network = byte(16 + rand.IntN(230))
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:7399", f.network, reserveNet))
		if err == nil {
			f.lock = lock
			break
		}
	}
	if f.lock == nil {
		return nil, errors.New("no free loopback network")
	}
	var err error
	if f.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	for i := range cores {
		p := &process{fleet: f, name: fmt.Sprintf("core-%d", i+1), ip: f.address(coreNet, i), zone: zones[i%len(zones)],
			command: []string{"target/banyanfront", "control", "--metrics", metricsPort}}
		p.dataDir = filepath.Join(f.folder, p.name)
		f.cores = append(f.cores, p)
	}
	for i := range fronts {
		f.fronts = append(f.fronts, &process{fleet: f, name: fmt.Sprintf("front-%d", i+1), ip: f.address(frontNet, i), zone: zones[i%len(zones)],
			front: true, command: []string{"target/banyanfront", "entry", "--metrics", metricsPort}})
	}
	return f, nil
}

func (f *fleet) address(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, kind, n+1) }

func (f *fleet) controls() (addresses []string) {
	for _, p := range f.cores {
		addresses = append(addresses, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return addresses
}

// settings returns the settings file of a process.
func (p *process) settings(firstStart bool) string {
	var b strings.Builder
	row := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	class, serves := "core", "control"
	if p.front {
		class, serves = "front", "front"
	}
	row("node-name", p.name)
	row("role", p.command[1])
	row("machine-class", class)
	row("serves", serves)
	row("ip", p.ip)
	row("zone", p.zone)
	row("region", "litoral")
	for _, z := range zones {
		row("zones."+z, "litoral")
	}
	if p.front {
		row("listen.front", fmt.Sprintf("%s:%d", p.ip, frontPort))
		row("listen.ready", fmt.Sprintf("%s:%d", p.ip, readyPort))
	} else {
		row("listen.control", fmt.Sprintf("%s:%d", p.ip, controlPort))
		row("data-dir", p.dataDir)
	}
	row("internal-ports", "7340,7355")
	row("seeds", strings.Join(p.fleet.controls()[:min(3, len(p.fleet.cores))], ","))
	row("bootstrap", firstStart)
	row("counts-as-loss", !p.front)
	row("limits.cpu-share", 1)
	row("limits.cores", 1)
	row("limits.memory-mb", 284)
	row("limits.max-fds", 4096)
	row("limits.link-mbps", "1000.0")
	row("limits.disk-mb", 128)
	row("discovery", "registry")
	row("entry", "vip")
	row("heartbeat-interval-ms", heartbeatInterval.Milliseconds())
	row("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,places,experts")
	row("fault-tolerance.machines", 1)
	row("fault-tolerance.zones", 1)
	row("fault-tolerance.regions", 0)
	for _, bound := range []string{"seed-lag-s=3", "reuse-after-s=2", "stable-window-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000",
		"grace-s=8", "loss-slack-ms=200", "config-apply-ms=2000", "rollback-slack-ms=250", "max-stretch-ms=5000", "strict-revoke=false",
		"revoke-ms=5000", "retry-budget-ratio=0.2", "budget-window-s=10", "budget-slack=88", "cold-multiplier=1.5", "cold-slack=5",
		"evacuation-deadline-ms=5000", "recovery-s=12", "pass-ms=120", "retry-after-s=0", "stall_ms=1500", "require-fencing=false"} {
		b.WriteString("bounds." + bound + "\n")
	}
	row("config-mode", "highest")
	return b.String()
}

// start starts the process and supervises it: one that ends is started again after a short delay.
func (p *process) start() error {
	if p.dataDir != "" {
		if err := os.MkdirAll(p.dataDir, 0o700); err != nil {
			return err
		}
	}
	if err := p.launch(); err != nil {
		return err
	}
	go func() {
		for {
			p.mu.Lock()
			child, exited := p.child, p.exited
			p.mu.Unlock()
			err := child.Wait()
			p.fleet.record.printf("%s has ended: %v", p.name, err)
			close(exited)
			time.Sleep(restartDelay)
			p.mu.Lock()
			closing := p.closing
			p.mu.Unlock()
			if closing {
				return
			}
			if err := p.launch(); err != nil {
				p.fleet.record.printf("%s was not started again: %v", p.name, err)
				return
			}
		}
	}()
	return nil
}

func (p *process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return nil
	}
	p.conf = filepath.Join(p.fleet.folder, p.name+".conf")
	if err := os.WriteFile(p.conf, []byte(p.settings(p.starts == 0 || os.Getenv("BOOTSTRAP_AGAIN") == "1")), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	child := exec.Command(p.command[0], p.command[1:]...)
	child.Env = append(os.Environ(), "BANYANFRONT_SETTINGS="+p.conf, "BANYANFRONT_FLEET_KEY=banyanfront-on-the-platform", "GOMAXPROCS=1")
	child.Stdout, child.Stderr = output, output
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := child.Start(); err != nil {
		return err
	}
	p.child, p.exited, p.started = child, make(chan struct{}), time.Now()
	p.starts++
	p.fleet.record.printf("%s started (start %d, bootstrap=%v)", p.name, p.starts, p.starts == 1)
	return nil
}

// signal sends a signal to the present incarnation and returns a channel that is closed when it ends.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.child.Process.Signal(s)
	return p.exited
}

// sinceStart returns the time since the start of the present incarnation.
func (p *process) sinceStart() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// startAll starts all processes.
func (f *fleet) startAll() error {
	for _, p := range append(append([]*process{}, f.cores...), f.fronts...) {
		if err := p.start(); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// close ends all processes that were started and removes the folder.
func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.cores...), f.fronts...) {
		p.mu.Lock()
		p.closing = true
		started := p.child != nil
		p.mu.Unlock()
		if started {
			p.signal(syscall.SIGCONT)
			exited := p.signal(syscall.SIGKILL)
			select {
			case <-exited:
			case <-time.After(3 * time.Second):
			}
		}
	}
	_ = f.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// plainClient makes one connection a call.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a body and returns the status of the answer, 0 if there was none within a second.
func post(url string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// configure sends a configuration to one control instance after the other until one acknowledges it, as the operator does.
func (f *fleet) configure(c map[string]any, patience time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	calls, last := 0, 0
	for end := time.Now().Add(patience); time.Now().Before(end); calls++ {
		last = post("http://"+f.controls()[calls%len(f.cores)]+"/v1/config/replace", body)
		if last == http.StatusOK {
			f.record.printf("operator: configuration %v acknowledged after %d calls", c["version"], calls+1)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %v was not acknowledged in %v (%d calls, last status %d)", c["version"], patience, calls, last)
}

// ready reports whether an entry instance says that it is ready.
func (p *process) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", p.ip, readyPort), nil)
	response, err := plainClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entry instances are ready.
func (f *fleet) awaitReady(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range f.fronts {
			all = all && p.ready()
		}
		if all {
			return nil
		}
	}
	return errors.New("not all entry instances became ready")
}
