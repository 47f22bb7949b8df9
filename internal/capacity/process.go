package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/standin"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// AgentProcess is a running banyanagent beside a stand-in engine, with sessions to entry instances in this process.
type AgentProcess struct {
	command      *exec.Cmd
	entryServers []*httptest.Server
	stop         func() // stops the stand-in engine
}

// BuildAgent builds banyanagent into a folder and returns the path of the binary.
func BuildAgent(folder string) (string, error) {
	binary := filepath.Join(folder, "banyanagent")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/banyanfront/banyanfront/cmd/banyanagent").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return binary, nil
}

// StartAgent starts the binary with sessions to n entry instances and waits until all are open.
func StartAgent(binary, folder string, n int) (*AgentProcess, error) {
	p := &AgentProcess{}
	engine := standin.NewEngine(standin.EngineConfig{Name: "norte-engine-1", Models: []fleet.Model{{Name: ModelName(0), Version: "7"}}})
	backend, stop, err := standin.Start("127.0.0.1:0", engine)
	if err != nil {
		return nil, err
	}
	p.stop = stop
	opened := make(chan transport.Session, n)
	var addresses []string
	for i := range n {
		entryServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = transport.Accept(w, r, sessionConfig, protocol.Hello{Version: protocol.Version, Instance: InstanceID(i)},
				&discardHandler{opened})
		}))
		p.entryServers = append(p.entryServers, entryServer)
		addresses = append(addresses, strings.TrimPrefix(entryServer.URL, "http://"))
	}
	file := filepath.Join(folder, "agent.json")
	data, err := json.Marshal(map[string]any{
		"instance": "norte-engine-1", "dataCentre": dataCentre, "frontAddresses": addresses,
		"fleetKey": string(sessionConfig.FleetKey), "metricsListen": "127.0.0.1:0", "drainTimeout": "1s",
		"backend": map[string]any{"url": "http://" + backend, "kind": "engine", "capacity": 32,
			"models": []map[string]any{{"name": ModelName(0), "version": "7"}}},
	})
	if err == nil {
		err = os.WriteFile(file, data, 0o600)
	}
	if err != nil {
		p.Close()
		return nil, err
	}
	p.command = exec.Command(binary, "serve", "--settings", file)
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		p.command = nil
		p.Close()
		return nil, err
	}
	for i := range n {
		select {
		case <-opened:
		case <-time.After(10 * time.Second):
			p.Close()
			return nil, fmt.Errorf("the agent opened %d of %d sessions within 10 s", i, n)
		}
	}
	return p, nil
}

// ResidentBytes returns the resident memory of the process.
func (p *AgentProcess) ResidentBytes() (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS", p.command.Process.Pid)
}

// ticksPerSec is the unit of the CPU times in /proc, the same for all user programs on Linux.
const ticksPerSec = 100

// CPUTime returns the user and system CPU time of the process since its start.
func (p *AgentProcess) CPUTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSec, err
}

// Close stops the agent, the entry instances and the stand-in engine.
func (p *AgentProcess) Close() {
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGTERM)
		_ = p.command.Wait()
	}
	for _, entryServer := range p.entryServers {
		entryServer.CloseClientConnections()
		entryServer.Close()
	}
	p.stop()
}

// ProcessCPUTime returns the user and system CPU time of this process since its start.
func ProcessCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
