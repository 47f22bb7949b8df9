package overhead

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	_ "net/http/pprof" // serves profiles of the processes
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/agent"
	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/standin"
)

const (
	fleetKey        = "overhead-fleet-key-0123456789"
	organisationKey = "overhead-organisation-key-0123456789"
	model           = "modelo-vidrio"
	service         = "pedidos"
	// roleEnv makes the test binary run one part of the fleet instead of tests, so that processor time and memory can be
	// measured for each part.
	roleEnv = "BANYANFRONT_OVERHEAD_ROLE"
)

// plan describes the fleet. All agents are in the data centre of the first entry instance; the other two entry instances,
// each in a data centre of its own, serve as voters only.
type plan struct {
	Folder        string
	Engines       int
	Services      int
	TokenInterval time.Duration
	Inner         []string // inner addresses of the entry instances
	Engine        []string // addresses of the stand-ins
	Service       []string
}

// processInfo is what the process of a role writes to standard output when it is running.
type processInfo struct {
	Control string // address of /usage, /ready and /debug/pprof
	Callers string
	Engine  []string
	Service []string
}

func TestMain(m *testing.M) {
	role := os.Getenv(roleEnv)
	if role == "" {
		os.Exit(m.Run())
	}
	log.SetLevel(log.ErrorLevel)
	if err := runRole(role); err != nil {
		fmt.Fprintln(os.Stderr, role, err)
		os.Exit(1)
	}
}

// runRole runs one part of the fleet until standard input ends. Its first line is the plan.
func runRole(role string) error {
	in := bufio.NewReader(os.Stdin)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return err
	}
	var p plan
	if err := json.Unmarshal(line, &p); err != nil {
		return err
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	out := processInfo{Control: control.Addr().String()}
	http.HandleFunc("/usage", serveUsage)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	switch role {
	case "standins":
		err = p.startStandins(&out)
	case "agents":
		p.startAgents(ctx)
	case "entry":
		err = p.startEntry(ctx, 0, &out)
	case "voters":
		if err = p.startEntry(ctx, 1, &out); err == nil {
			err = p.startEntry(ctx, 2, &out)
		}
	}
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(control, nil) }()
	if err := json.NewEncoder(os.Stdout).Encode(out); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, in)
	return nil
}

func (p *plan) startStandins(out *processInfo) error {
	for n := range p.Engines {
		address, _, err := standin.Start("127.0.0.1:0", standin.NewEngine(standin.EngineConfig{
			Name:            fmt.Sprint("engine-", n),
			Models:          []fleet.Model{{Name: model, Version: "1"}},
			Slots:           4096,
			PrefillPerToken: time.Millisecond,
			TokenInterval:   p.TokenInterval,
			RecordEntries:   1024,
		}))
		if err != nil {
			return err
		}
		out.Engine = append(out.Engine, address)
	}
	for n := range p.Services {
		address, _, err := standin.Start("127.0.0.1:0", standin.NewService(standin.ServiceConfig{
			Name: fmt.Sprint("service-", n), Orders: 1024, RecordEntries: 1024,
		}))
		if err != nil {
			return err
		}
		out.Service = append(out.Service, address)
	}
	return nil
}

func (p *plan) startAgents(ctx context.Context) {
	run := func(id, address string, b settings.Backend) {
		b.URL, b.Capacity = "http://"+address, 512
		go func() {
			err := agent.Serve(ctx, &settings.Agent{
				Instance:        fleet.InstanceID(id),
				Server:          fleet.ServerID(id),
				DataCentre:      "centre-0",
				FrontAddresses:  p.Inner[:1],
				FleetKey:        fleetKey,
				Backend:         b,
				FirstTokenBound: 1100 * time.Millisecond,
				KeepAnswers:     1 << 20,
				KeepAnswersFor:  time.Minute,
				ReportInterval:  2 * time.Second,
				MetricsListen:   "127.0.0.1:0",
			})
			if err != nil {
				fmt.Fprintln(os.Stderr, id, err)
			}
		}()
	}
	for n, address := range p.Engine {
		run(fmt.Sprint("engine-", n), address, settings.Backend{
			Kind: settings.KindEngine, Models: []settings.BackendModel{{Name: model, Version: "1"}}, Resumes: true,
		})
	}
	for n, address := range p.Service {
		run(fmt.Sprint("service-", n), address, settings.Backend{Kind: settings.KindService, Service: service})
	}
}

func (p *plan) startEntry(ctx context.Context, n int, out *processInfo) error {
	name := func(n int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("entry-", n)) }
	front := &settings.Front{
		Instance:        name(n),
		DataCentre:      fleet.DataCentre(fmt.Sprint("centre-", n)),
		CallersListen:   "127.0.0.1:0",
		InnerListen:     p.Inner[n],
		InnerAddress:    p.Inner[n],
		OperatorsListen: "127.0.0.1:0",
		FleetKey:        fleetKey,
		DefaultDeadline: 30 * time.Minute,
		MaxBodyBytes:    960 << 10,
		QueueMax:        100_000,
		RetryBudget:     0.1,
		DrainTimeout:    time.Second,
		Peers:           p.Inner,
		DataFolder:      filepath.Join(p.Folder, string(name(n))),
		Organisations:   []settings.Organisation{{Name: "taller", Key: organisationKey, Weight: 1}},
	}
	for i, address := range p.Inner {
		front.Voters = append(front.Voters, settings.Voter{Instance: name(i), Address: address})
	}
	instance, err := entry.New(front)
	if err != nil {
		return err
	}
	go func() { _ = instance.Run(ctx) }()
	if n == 0 {
		out.Callers = "http://" + instance.CallersAddress()
		http.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
			r := readiness{Reason: instance.NotReady(), Live: instance.LiveServers()}
			view := instance.Loop.View()
			for i := range view.Servers {
				if view.Servers[i].Service == "" {
					r.Limits += view.Servers[i].Load.Limit
				}
			}
			_ = json.NewEncoder(w).Encode(r)
		})
	}
	return nil
}

// readiness is the state of the fleet at the entry instance.
type readiness struct {
	Reason string
	Live   int
	Limits int // sum of the engines' concurrency limits
}

// usage is the resource usage of a process: processor time and allocations since its start, and its current memory.
type usage struct {
	CPU       time.Duration // user and system, since the start
	Allocated uint64        // bytes since the start
	Live      uint64        // bytes of heap objects and stacks; only live objects after a collection
	Resident  uint64        // bytes
}

// serveUsage serves the usage; with ?collect=1 after a garbage collection that returns memory to the operating system.
func serveUsage(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("collect") != "" {
		runtime.GC()
		debug.FreeOSMemory()
	}
	_ = json.NewEncoder(w).Encode(currentUsage())
}

func currentUsage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	u := usage{
		CPU:       time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		Allocated: m.TotalAlloc,
		Live:      m.HeapAlloc + m.StackInuse,
	}
	if statm, err := os.ReadFile("/proc/self/statm"); err == nil {
		if fields := strings.Fields(string(statm)); len(fields) > 1 {
			pages, _ := strconv.ParseUint(fields[1], 10, 64)
			u.Resident = pages * uint64(os.Getpagesize())
		}
	}
	return u
}

// testFleet is a running fleet of four processes: stand-ins, agents, entry instance, and the other two voters.
type testFleet struct {
	plan     plan
	controls map[string]string // control addresses by role
	callers  string            // URL of the entry instance
	client   *http.Client
}

// startTestFleet starts the stand-ins of a fleet; startServing starts the rest. The fleet stops at the end of the benchmark.
func startTestFleet(b *testing.B, p plan) *testFleet {
	b.Helper()
	p.Folder = b.TempDir()
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		p.Inner = append(p.Inner, l.Addr().String())
		defer l.Close()
	}
	f := &testFleet{controls: make(map[string]string), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 8192, DisableCompression: true},
	}}
	out := startProcess(b, "standins", p)
	f.controls["standins"] = out.Control
	p.Engine, p.Service = out.Engine, out.Service
	f.plan = p
	return f
}

// startProcess runs one part of the fleet in a process that stops at the end of the benchmark.
func startProcess(b *testing.B, role string, p plan) processInfo {
	b.Helper()
	self, err := os.Executable()
	if err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleEnv+"="+role)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close() // ends the process
		_ = cmd.Wait()
	})
	if err := json.NewEncoder(in).Encode(p); err != nil {
		b.Fatal(err)
	}
	var s processInfo
	if err := json.NewDecoder(out).Decode(&s); err != nil {
		b.Fatalf("%s did not start: %v", role, err)
	}
	return s
}

// startTimeout is the time limit for the start of the fleet: election, sessions and announcements.
const startTimeout = 60 * time.Second

// startServing starts the rest of the fleet and waits until it serves requests.
func (f *testFleet) startServing(b *testing.B) {
	b.Helper()
	out := startProcess(b, "entry", f.plan)
	f.controls["entry"], f.callers = out.Control, out.Callers
	f.controls["voters"] = startProcess(b, "voters", f.plan).Control
	f.controls["agents"] = startProcess(b, "agents", f.plan).Control
	deadline := time.Now().Add(startTimeout)
	for {
		r := f.queryReadiness(b)
		if r.Reason == "" && r.Live == f.plan.Engines+f.plan.Services {
			return
		}
		if time.Now().After(deadline) {
			b.Fatalf("the fleet did not start in %v: %+v", startTimeout, r)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *testFleet) queryReadiness(b *testing.B) readiness {
	var r readiness
	f.queryProcess(b, "entry", "/ready", &r)
	return r
}

func (f *testFleet) queryUsage(b *testing.B, role string, collect bool) usage {
	var u usage
	query := "/usage"
	if collect {
		query += "?collect=1"
	}
	f.queryProcess(b, role, query, &u)
	return u
}

func (f *testFleet) queryProcess(b *testing.B, role, query string, into any) {
	b.Helper()
	res, err := http.Get("http://" + f.controls[role] + query)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		b.Fatal(err)
	}
}

// writeProfiles writes CPU and allocation profiles of the entry instance, the agents and the voters to the folder named by
// profilesEnv, if it is set. It returns when they are complete.
func (f *testFleet) writeProfiles(b *testing.B, seconds int) {
	if !profiling() {
		return
	}
	var group sync.WaitGroup
	for _, role := range []string{"entry", "agents", "voters"} {
		group.Go(func() { f.writeProfile(b, role, "cpu", fmt.Sprint("profile?seconds=", seconds)) })
		group.Go(func() { f.writeProfile(b, role, "allocs", fmt.Sprint("allocs?seconds=", seconds)) })
	}
	group.Wait()
}

// writeHeapProfiles writes heap profiles of the entry instance and the agents.
func (f *testFleet) writeHeapProfiles(b *testing.B) {
	for _, role := range []string{"entry", "agents"} {
		f.writeProfile(b, role, "heap", "heap?gc=1")
	}
}

// profilesEnv is the environment variable that names the folder for profiles; without it none are written.
const profilesEnv = "BANYANFRONT_OVERHEAD_PROFILES"

func profiling() bool { return os.Getenv(profilesEnv) != "" }

// writeProfile writes one profile of the process of a role to a file.
func (f *testFleet) writeProfile(b *testing.B, role, name, query string) {
	res, err := http.Get("http://" + f.controls[role] + "/debug/pprof/" + query)
	if err != nil {
		b.Error(err)
		return
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	file := strings.ReplaceAll(b.Name(), "/", "-") + "." + role + "." + name
	if err := os.WriteFile(filepath.Join(os.Getenv(profilesEnv), file), data, 0o600); err != nil {
		b.Error(err)
	}
}
