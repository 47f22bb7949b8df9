//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

// Names, ports and bounds of a small deployment, as on the users' pages.
const (
	callersPort = 8227
	readyPort   = 8220
	controlPort = 8229
	innerPort   = 7340
	metricsPort = 9464
	enginePort  = 8080

	announceInterval = 1200 * time.Millisecond
	configApply      = 2 * time.Second // config-apply-ms
	stableWindow     = 3 * time.Second // stable-window-ms
	drain            = 2 * time.Second // drain-ms
	evacuationBound  = 5 * time.Second // evacuation-deadline-ms
	maxStretch       = 5 * time.Second // max-stretch-ms
	operatorPatience = time.Second     // a caller of control moves on after a second without a response
	fleetKey         = "banyanfront-on-the-platform"
	host             = "ficu95.example"
	service          = "pedidos"
	callerKey        = "n2ctnfzs989anu6wsjnb"
)

var zones = []string{"rosario-norte", "rosario-sur", "santa-fe"}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	w       io.Writer
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the system under test.
type process struct {
	name     string
	settings platform.Settings
	command  []string
	cmd      *exec.Cmd
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// fleet is a small deployment: three control instances, three entry instances and the stand-ins.
type fleet struct {
	*record
	folder    string
	network   byte
	lock      net.Listener
	processes []*process
	controls  []*process
	engines   []*engine
}

// couldNotRun ends the case with the status for a case that could not run.
type couldNotRun struct{ reason string }

func abort(format string, args ...any) { panic(couldNotRun{fmt.Sprintf(format, args...)}) }

func (f *fleet) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, kind, n+1) }

func (f *fleet) controlAddress(n int) string { return fmt.Sprintf("%s:%d", f.ip(2, n), controlPort) }

func (f *fleet) entryAddress(n int) string { return fmt.Sprintf("%s:%d", f.ip(1, n), callersPort) }

func (f *fleet) readyAddress(n int) string { return fmt.Sprintf("%s:%d", f.ip(1, n), readyPort) }

// reserve claims a loopback network that no other run uses.
func (f *fleet) reserve() {
	for range 200 {
		f.network = byte(20 + rand.IntN(200))
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(255, 0), 7399))
		if err == nil {
			f.lock = lock
			return
		}
	}
	abort("no free loopback network")
}

// newFleet starts the processes with the commands of the deploy file.
func newFleet(r *record) *fleet {
	f := &fleet{record: r}
	folder, err := os.MkdirTemp("", "banyanfront-review-")
	if err != nil {
		abort("%v", err)
	}
	f.folder = folder
	f.reserve()
	var seeds []netip.AddrPort
	for i := range zones {
		seeds = append(seeds, netip.MustParseAddrPort(f.controlAddress(i)))
	}
	settings := func(name string, zone int) platform.Settings {
		s := platform.Settings{Instance: name, DataCentre: zones[zone], DataCentres: map[string]string{}, InnerPorts: [2]uint16{innerPort, innerPort + 15},
			Seeds: seeds, FirstStart: true, MemoryBytes: 284 << 20, AnnounceInterval: announceInterval, StopGrace: 8 * time.Second,
			RetryRatio: 0.2, RetrySlack: 88, RetryWindow: 10 * time.Second, ToleratedDiskLosses: 1}
		for _, z := range zones {
			s.DataCentres[z] = "litoral"
		}
		return s
	}
	for i := range zones {
		s := settings(fmt.Sprintf("core-%s-1", zones[i]), i)
		s.IP, s.ControlListen, s.DataFolder = netip.MustParseAddr(f.ip(2, i)), f.controlAddress(i), filepath.Join(folder, s.Instance)
		if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
			abort("%v", err)
		}
		f.controls = append(f.controls, f.launch(s, "target/banyanfront", "control", "--metrics", fmt.Sprint(metricsPort)))
	}
	for i := range zones {
		s := settings(fmt.Sprintf("front-%s-1", zones[i]), i)
		s.IP, s.CallersListen, s.ReadyListen = netip.MustParseAddr(f.ip(1, i)), f.entryAddress(i), f.readyAddress(i)
		f.launch(s, "target/banyanfront", "entry", "--metrics", fmt.Sprint(metricsPort))
	}
	return f
}

// launch starts a process with a settings file.
func (f *fleet) launch(s platform.Settings, command ...string) *process {
	p := &process{name: s.Instance, settings: s, command: command}
	f.start(p)
	f.processes = append(f.processes, p)
	return p
}

func (f *fleet) start(p *process) {
	file := filepath.Join(f.folder, p.name+".conf")
	if err := os.WriteFile(file, p.settings.Text(), 0o600); err != nil {
		abort("%v", err)
	}
	output, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		abort("%v", err)
	}
	defer func() { _ = output.Close() }()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + file, "BANYANFRONT_FLEET_KEY=" + fleetKey}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		abort("%s does not start: %v; run the build line of deploy/system.toml", p.name, err)
	}
	f.add("process %s starts: %s", p.name, strings.Join(p.command, " "))
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	for _, e := range f.engines {
		e.cancel()
		_ = e.http.Close()
	}
	if f.lock != nil {
		_ = f.lock.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// engine is a stand-in for an engine of the order desk service.
type engine struct {
	fleet    *fleet
	id       string
	zone     string
	address  string
	started  time.Time
	http     *http.Server
	cancel   context.CancelFunc
	mu       sync.Mutex
	sequence uint64
	draining bool
	runs     []run
}

// run is a request that an engine began to work on.
type run struct {
	at     time.Time
	path   string
	id     string
	answer string
}

// addEngine starts an engine. answer writes its answer to a request that runs.
func (f *fleet) addEngine(n int, answer func(e *engine, w http.ResponseWriter, r *http.Request, body []byte) string) *engine {
	e := &engine{fleet: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zones[n%len(zones)], address: fmt.Sprintf("%s:%d", f.ip(5, n), enginePort), started: time.Now()}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		abort("%v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		id := r.Header.Get(platform.HeaderRequestID)
		w.Header().Set(platform.HeaderRequestID, id)
		if expected := r.Header.Get(platform.HeaderExpectServer); expected != "" && expected != e.id {
			w.Header().Set(platform.HeaderNotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		e.runs = append(e.runs, run{at: time.Now(), path: r.URL.Path, id: id})
		n := len(e.runs) - 1
		e.mu.Unlock()
		f.add("engine %s (%s) runs request %s %s %s", e.id, e.zone, id, r.Method, r.URL.Path)
		told := answer(e, w, r, body)
		f.add("engine %s has answered request %s: %s", e.id, id, told)
		e.mu.Lock()
		e.runs[n].answer = told
		e.mu.Unlock()
	})}
	go func() { _ = e.http.Serve(listener) }()
	go e.announce(ctx)
	f.engines = append(f.engines, e)
	return e
}

// soundAnswer is the complete, sealed answer of a sound engine.
func soundAnswer(e *engine, w http.ResponseWriter, r *http.Request, _ []byte) string {
	w.Header().Set(platform.HeaderSeal, "seal."+r.Header.Get(platform.HeaderRequestID)+"."+e.id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "order of "+r.Header.Get(platform.HeaderRequestID)+"\n")
	return "200, sealed and whole"
}

// announce sends heartbeats until the engine ends.
func (e *engine) announce(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		e.sendHeartbeat()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (e *engine) sendHeartbeat() bool {
	e.mu.Lock()
	e.sequence++
	a := registry.Announcement{Server: e.id, Service: service, Address: e.address, DataCentre: e.zone, Slots: 6, Sequence: e.sequence, StartedAtMillis: e.started.UnixMilli()}
	if e.draining {
		a.State = registry.Draining
	}
	e.mu.Unlock()
	body, err := platform.EncodeAnnouncement(a)
	if err != nil {
		return false
	}
	_, ok := e.fleet.postToControl(platform.AnnouncePathOf(e.id), body)
	return ok
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// post sends a body and returns the status of the answer, 0 if none came within the patience of a caller of control.
func post(url string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// postToControl sends a heartbeat to the control instances in turn, from a random one on, until one acknowledges it.
func (f *fleet) postToControl(path string, body []byte) (control int, ok bool) {
	first := rand.IntN(len(zones))
	for i := range zones {
		n := (first + i) % len(zones)
		if status := post("http://"+f.controlAddress(n)+path, body); status >= 200 && status < 300 {
			return n, true
		}
	}
	return 0, false
}

// order sends an order of the operator to the control instances in the given order, again and again, until one acknowledges it.
func (f *fleet) order(what, path string, body []byte, first int, patience time.Duration) time.Time {
	deadline := time.Now().Add(patience)
	for i := first; time.Now().Before(deadline); i++ {
		n := i % len(zones)
		f.add("operator sends %s to %s", what, f.controls[n].name)
		status := post("http://"+f.controlAddress(n)+path, body)
		if status >= 200 && status < 300 {
			f.add("%s is acknowledged by %s with %d", what, f.controls[n].name, status)
			return time.Now()
		}
		f.add("%s: %s gives status %d (0: no answer within 1 s)", what, f.controls[n].name, status)
		time.Sleep(100 * time.Millisecond)
	}
	abort("%s was not acknowledged within %v", what, patience)
	return time.Time{}
}

// route returns a route to the order desk service, with the figures of the site's sheet.
func route(name, prefix string, kind routes.Kind, attempts int) routes.Route {
	return routes.Route{Name: name, Host: host, PathPrefix: prefix, Kind: kind, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond,
		Priority: 2, MaxAttempts: attempts, Targets: []routes.Target{{Service: service, Weight: 1}}}
}

// configure sends a configuration until it is acknowledged, and returns the time of the acknowledgement.
func (f *fleet) configure(version uint64, patience time.Duration, list ...routes.Route) time.Time {
	body, err := platform.EncodeConfiguration(&routes.Configuration{Version: version, Routes: list,
		Services:      []routes.Service{{Name: service, HealthPath: "/health", MaxConnections: 96}},
		Organisations: []routes.Organisation{{Name: "hule930", Keys: []string{callerKey}}},
		Limits:        routes.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}})
	if err != nil {
		abort("%v", err)
	}
	return f.order(fmt.Sprintf("configuration %d", version), platform.ReplaceConfigurationPath, body, rand.IntN(len(zones)), patience)
}

// answer is what a caller has received.
type answer struct {
	id     string
	status int // 0 if there was none
	sealed bool
	body   int
	whole  bool
	err    error
}

// call sends a request of a caller to an entry instance.
func (f *fleet) call(entry int, method, path, body string, deadline time.Duration) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.entryAddress(entry)+path, strings.NewReader(body))
	if err != nil {
		abort("%v", err)
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set(platform.HeaderKey, callerKey)
	a := answer{id: id}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		f.add("request %s %s %s to front %d: no answer (%v)", id, method, path, entry, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	a.status, a.sealed, a.body, a.whole, a.err = response.StatusCode, response.Header.Get(platform.HeaderSeal) != "", int(n), err == nil, err
	f.add("request %s %s %s to front %d: status %d, sealed %v, %d bytes, whole %v", id, method, path, entry, a.status, a.sealed, a.body, a.whole)
	return a
}

// awaitService waits until all entry instances are ready and serve a path.
func (f *fleet) awaitService(path string) {
	deadline := time.Now().Add(20 * time.Second)
	for i := range zones {
		for {
			if time.Now().After(deadline) {
				abort("the system does not serve within 20 s")
			}
			if response, err := client.Get("http://" + f.readyAddress(i) + "/v1/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK && f.call(i, http.MethodGet, path, "", 4*time.Second).status == http.StatusOK {
					break
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.add("all entry instances serve")
}

// heartbeat returns the body of a heartbeat.
func heartbeat(fields map[string]any) []byte {
	body, err := json.Marshal(fields)
	if err != nil {
		abort("%v", err)
	}
	return body
}
