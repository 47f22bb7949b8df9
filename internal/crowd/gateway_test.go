package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// gatewayBodyBytes is just below the largest body of an entry instance with agents.
const gatewayBodyBytes = 900 << 10

// gatewayCrowd clients send bodies of that size.
const gatewayCrowd = 250

// startGateway starts an entry instance, an agent and a service that serve. The instance takes the place of the fleet's entry and control
// instance.
func startGateway(t *testing.T, memory string) *fleet {
	f := &fleet{t: t, network: 20 + rand.IntN(200)}
	listener, err := net.Listen("tcp", f.ip(5)+":9001")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	inner := f.ip(2) + ":7070"
	settings := map[string]any{"instance": "norte-1", "dataCentre": "norte", "callersListen": f.entryAddress(), "innerListen": inner,
		"operatorsListen": f.controlAddress(), "dataFolder": t.TempDir(), "voters": []any{map[string]any{"instance": "norte-1", "address": inner}},
		"fleetKey": fleetKey, "organisations": []any{map[string]any{"name": "crowd", "key": crowdKey}, map[string]any{"name": "ordinary", "key": ordinaryKey}}}
	if memory != "" {
		settings["memory"] = memory
	}
	f.entry = f.startWith("banyanfront", settings)
	f.control = f.entry
	f.startWith("banyanagent", map[string]any{"instance": "pedidos-1", "dataCentre": "norte", "frontAddresses": []string{inner}, "fleetKey": fleetKey,
		"metricsListen": f.ip(5) + ":7073", "backend": map[string]any{"url": "http://" + f.ip(5) + ":9001", "kind": "service", "service": "pedidos", "capacity": 16}})
	f.ordinaryGatewayRequest()
	return f
}

// startWith starts a program with settings in JSON and at most maxDescriptors descriptors.
func (f *fleet) startWith(name string, settings map[string]any) *process {
	folder := f.t.TempDir()
	text, err := json.Marshal(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	limited := fmt.Sprintf(`ulimit -n %d; exec "$@"`, maxDescriptors)
	return f.launch(exec.Command("sh", "-c", limited, "sh", filepath.Join(filepath.Dir(program), name), "serve", "--settings", file), folder)
}

// ordinaryGatewayRequest sends a request of 1 KiB, again after each refusal, until it is answered.
func (f *fleet) ordinaryGatewayRequest() {
	f.t.Helper()
	f.await("an ordinary request is answered", func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.entryAddress()+"/services/pedidos/status", strings.NewReader(strings.Repeat("x", 1<<10)))
		if err != nil {
			f.t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+ordinaryKey)
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
}

// sendGatewayHead sends the head of a request to the service.
func sendGatewayHead(c net.Conn, framing string) error {
	_, err := fmt.Fprintf(c, "POST /services/pedidos/status HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", host, crowdKey, framing)
	return err
}

// Guards against clients that end an entry instance with agents by what they send or hold open.
func TestGatewayCrowd(t *testing.T) {
	pieces := func(c net.Conn, _ int) error {
		if err := sendGatewayHead(c, fmt.Sprintf("Content-Length: %d", gatewayBodyBytes)); err != nil {
			return err
		}
		return sendPieces(c, gatewayBodyBytes-1, 16<<10)
	}
	chunks := func(c net.Conn, _ int) error {
		if err := sendGatewayHead(c, "Transfer-Encoding: chunked"); err != nil {
			return err
		}
		for range gatewayBodyBytes / (10 << 10) {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", 10<<10, strings.Repeat("x", 10<<10)); err != nil {
				return err
			}
		}
		return nil
	}
	note := func(c net.Conn, _ int) error {
		if _, err := fmt.Fprintf(c, "POST /v1/notes/check HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", host, gatewayBodyBytes); err != nil {
			return err
		}
		return sendPieces(c, gatewayBodyBytes-1, 16<<10)
	}
	for _, c := range []struct {
		name    string
		address func(*fleet) string
		size    int
		send    form
	}{
		{"legal length piece by piece", (*fleet).entryAddress, gatewayCrowd, pieces},
		{"chunks", (*fleet).entryAddress, gatewayCrowd, chunks},
		{"heads without end", (*fleet).entryAddress, connectionCrowd, endlessHead},
		{"idle connections", (*fleet).entryAddress, connectionCrowd, idle},
		{"notes piece by piece", (*fleet).controlAddress, gatewayCrowd, note},
		{"idle connections to the operators' listener", (*fleet).controlAddress, connectionCrowd, idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startGateway(t, gatewayMemory)
			disperse := f.gather(c.address(f), c.size, c.send)
			defer disperse()
			f.entry.check(t, "entry instance")
			f.ordinaryGatewayRequest()
			disperse()
			f.ordinaryGatewayRequest()
			f.entry.check(t, "entry instance")
		})
	}
}

// gatewayMemory is the setting "memory" of the instance.
var gatewayMemory = fmt.Sprintf("%dMiB", memoryMB)
