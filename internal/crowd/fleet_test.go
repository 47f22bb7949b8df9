// Package crowd tests the real programs on loopback addresses against many clients that stay open, send too much or do not read.
// The verdicts are life, memory, descriptors and one ordinary request; none depends on the speed of the machine.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

// Limits of each process under test, lowered so that a small crowd is enough, and names and ports of the deployment.
const (
	memoryMB       = 96
	maxDescriptors = 1024
	maxBodyBytes   = 4 << 20

	callersPort = 8227
	readyPort   = 8220
	controlPort = 8229
	innerPort   = 7340
	metricsPort = 9464
	enginePort  = 8080

	host        = "ficu95.example"
	service     = "pedidos"
	crowdKey    = "n2ctnfzs989anu6wsjnb"
	ordinaryKey = "anfqasnmgkcuyj8pjbvk"
	fleetKey    = "banyanfront-on-the-platform"
	// hangGuard ends a test whose process no longer answers; it is no bound on the time of an answer.
	hangGuard = 90 * time.Second
	// longAnswerPath is answered with longAnswerBytes.
	longAnswerPath  = "/orders/long"
	longAnswerBytes = 4 << 20
	// heldPath is answered after heldFor, so that many requests are open at once.
	heldPath = "/orders/held"
	heldFor  = 2 * time.Second
)

// program is the path of banyanfront, built by TestMain.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "banyanfront")
	if output, err := exec.Command("go", "build", "-o", folder, "github.com/banyanfront/banyanfront/cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, output)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// process is one process of the system.
type process struct {
	cmd         *exec.Cmd
	ended       chan struct{}
	log         string
	descriptors int // most that were seen open
}

// fleet is one control instance, one entry instance and one engine.
type fleet struct {
	t              *testing.T
	network        int
	control, entry *process
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("127.%d.1.%d", f.network, n) }

func (f *fleet) controlAddress() string { return fmt.Sprintf("%s:%d", f.ip(1), controlPort) }

func (f *fleet) entryAddress() string { return fmt.Sprintf("%s:%d", f.ip(2), callersPort) }

func (f *fleet) readyAddress() string { return fmt.Sprintf("%s:%d", f.ip(2), readyPort) }

func (f *fleet) metricsAddress() string { return fmt.Sprintf("%s:%d", f.ip(2), metricsPort) }

// startFleet starts a fleet that serves.
func startFleet(t *testing.T) *fleet {
	f := &fleet{t: t, network: 20 + rand.IntN(200)}
	settings := func(name string, n int) *platform.Settings {
		return &platform.Settings{Instance: name, DataCentre: "norte", DataCentres: map[string]string{"norte": "litoral"},
			IP: netip.MustParseAddr(f.ip(n)), InnerPorts: [2]uint16{innerPort, innerPort + 15},
			Seeds: []netip.AddrPort{netip.MustParseAddrPort(f.controlAddress())}, FirstStart: true, MemoryBytes: memoryMB << 20,
			AnnounceInterval: time.Second, StopGrace: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 88, RetryWindow: 10 * time.Second}
	}
	control := settings("core-1", 1)
	control.ControlListen, control.DataFolder = f.controlAddress(), t.TempDir()
	f.control = f.start(control, "control")
	entry := settings("front-1", 2)
	entry.CallersListen, entry.ReadyListen = f.entryAddress(), f.readyAddress()
	f.entry = f.start(entry, "entry")
	f.startEngine()
	body, err := platform.EncodeConfiguration(f.configuration(1))
	if err != nil {
		t.Fatal(err)
	}
	f.await("the configuration is accepted", func() bool {
		return f.post(f.controlAddress()+platform.ReplaceConfigurationPath, body) == http.StatusOK
	})
	f.ordinaryRequest()
	return f
}

func (f *fleet) configuration(version uint64) *routes.Configuration {
	route := func(name, prefix string, kind routes.Kind) routes.Route {
		return routes.Route{Name: name, Host: host, PathPrefix: prefix, Kind: kind, Timeout: 8 * time.Second, Objective: 300 * time.Millisecond,
			MaxAttempts: 2, Targets: []routes.Target{{Service: service, Weight: 1}}}
	}
	return &routes.Configuration{Version: version, Routes: []routes.Route{route("orders", "/orders/", routes.Unsafe), route("status", "/status/", routes.Safe)},
		Services:      []routes.Service{{Name: service, HealthPath: "/health", MaxConnections: 600}},
		Organisations: []routes.Organisation{{Name: "crowd", Keys: []string{crowdKey}}, {Name: "ordinary", Keys: []string{ordinaryKey}}},
		Limits:        routes.Limits{HeaderBytes: 16 << 10, BodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
}

// start starts a process; it ends with the test.
func (f *fleet) start(s *platform.Settings, role string) *process {
	folder := f.t.TempDir()
	file := filepath.Join(folder, "settings.conf")
	text := append(s.Text(), fmt.Sprintf("limits.max-fds=%d\n", maxDescriptors)...)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(program, role, "--metrics", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file, "BANYANFRONT_FLEET_KEY="+fleetKey)
	return f.launch(cmd, folder)
}

// launch starts a process that ends with the test, with a log in a folder.
func (f *fleet) launch(cmd *exec.Cmd, folder string) *process {
	p := &process{cmd: cmd, ended: make(chan struct{}), log: filepath.Join(folder, "log")}
	output, err := os.Create(p.log)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// startEngine starts an engine of the service, which ends with the test. It runs any number of requests at once.
func (f *fleet) startEngine() {
	address := fmt.Sprintf("%s:%d", f.ip(5), enginePort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(serveEngine)}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	started := time.Now().UnixMilli()
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			body, err := platform.EncodeAnnouncement(registry.Announcement{Server: "i-1", Service: service, Address: address, DataCentre: "norte", Slots: 600,
				Sequence: sequence, StartedAtMillis: started})
			if err == nil {
				f.post(f.controlAddress()+platform.AnnouncePathOf("i-1"), body)
			}
			time.Sleep(time.Second)
		}
	}()
}

func serveEngine(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSeal, "seal."+id)
	switch r.URL.Path {
	case longAnswerPath:
		w.Header().Set("Content-Length", strconv.Itoa(longAnswerBytes))
		_, _ = w.Write(make([]byte, longAnswerBytes))
	case heldPath:
		time.Sleep(heldFor)
	default:
		_, _ = io.WriteString(w, "done")
	}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

// post sends a body to a control instance and returns the status of the answer, 0 if there was none.
func (f *fleet) post(url string, body []byte) int {
	response, err := client.Post("http://"+url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// await waits until a condition holds.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(hangGuard); !holds(); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("never: %s", what)
		}
	}
}

// ordinaryRequest sends a request of 1 KiB, again after each refusal, until it is answered.
func (f *fleet) ordinaryRequest() {
	f.t.Helper()
	f.await("an ordinary request is answered", func() bool {
		return f.request("/status/1", strings.NewReader(strings.Repeat("x", 1<<10))) == http.StatusOK
	})
}

// request sends one request of an ordinary client and returns the status of the answer, 0 if there was none.
func (f *fleet) request(path string, body io.Reader) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entryAddress()+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set(platform.HeaderDeadline, "8000")
	request.Header.Set(platform.HeaderKey, ordinaryKey)
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

// alive reports whether the process still runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// sample counts the open descriptors.
func (p *process) sample() {
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		p.descriptors = max(p.descriptors, len(entries))
	}
}

// peakMB returns the largest resident memory so far, in MiB.
func (p *process) peakMB(t *testing.T) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kib >> 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// check fails the test if the process has ended, or used more memory or descriptors than its machine has.
func (p *process) check(t *testing.T, name string) {
	t.Helper()
	if !p.alive() {
		text, _ := os.ReadFile(p.log)
		t.Fatalf("%s has ended: %s", name, text[max(0, len(text)-2000):])
	}
	peak := p.peakMB(t)
	t.Logf("%s: peak memory %d of %d MiB, at most %d of %d descriptors", name, peak, memoryMB, p.descriptors, maxDescriptors)
	if peak > memoryMB {
		t.Errorf("%s used %d MiB; its machine has %d", name, peak, memoryMB)
	}
	if p.descriptors > maxDescriptors {
		t.Errorf("%s had %d descriptors open; it may have %d", name, p.descriptors, maxDescriptors)
	}
}
