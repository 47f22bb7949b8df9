package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// cluster runs entry instances over in-memory sessions, for a testing/synctest bubble.
type cluster struct {
	t      *testing.T
	mu     sync.Mutex
	nodes  map[string]*testNode // by inner address
	disk   *faultfs.FS          // of the voter
	files  account.Files        // of the voter's account
	voters []settings.Voter
}

type testNode struct {
	*Core
	links  []*transport.Faults
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// newCluster returns a cluster without instances. Its only voter will be "norte-1".
func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, nodes: make(map[string]*testNode), disk: faultfs.New(rand.New(rand.NewPCG(1, 1))),
		voters: []settings.Voter{{Instance: "norte-1", Address: "norte-1"}}}
}

const testKey = "test-fleet-key-0123456789"

// start starts an instance, whose name is also its address. Its settings name the voter and the peers.
func (c *cluster) start(name string, peers ...string) *testNode {
	s := &settings.Front{Instance: fleet.InstanceID(name), DataCentre: "norte", InnerAddress: name, FleetKey: testKey,
		DefaultDeadline: time.Second, MaxBodyBytes: 1 << 16, QueueMax: 10, DrainTimeout: time.Second, Peers: peers, Voters: c.voters,
		Organisations: []settings.Organisation{{Name: "builders", Key: "builders-key", Weight: 1}}}
	n := new(testNode)
	surroundings := Surroundings{Connector: c.connector(n)}
	if name == "norte-1" {
		surroundings.Folder, surroundings.Account = c.disk, c.files
	}
	core, err := NewCore(s, fleet.Boot(time.Now().UnixMilli()), surroundings)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.Core, n.cancel = core, cancel
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	n.ended.Go(func() { core.Run(ctx) })
	return n
}

func (c *cluster) connector(from *testNode) func(string, func() protocol.Hello, transport.Handler) transport.ConnectFunc {
	return func(address string, hello func() protocol.Hello, _ transport.Handler) transport.ConnectFunc {
		return func(_ context.Context, h transport.Handler) (transport.Session, error) {
			c.mu.Lock()
			to := c.nodes[address]
			c.mu.Unlock()
			if to == nil {
				return nil, errors.New("the address is out of reach")
			}
			config := transport.Config{FleetKey: []byte(testKey)}
			a, _, faults, err := transport.Pipe(config, hello(), h, config, to.Hello(), to.Loop)
			if err != nil {
				return nil, err
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			from.links, to.links = append(from.links, faults), append(to.links, faults)
			return a, nil
		}
	}
}

// stop ends an instance. A planned stop drains it before; otherwise its connections break.
func (c *cluster) stop(name string, planned bool) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	if planned {
		if err := n.Drain(context.Background()); err != nil {
			c.t.Error(err)
		}
	} else {
		n.Agreement.Close()
	}
	n.cancel()
	n.ended.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range n.links {
		link.Cut()
	}
}

func (c *cluster) stopAll() {
	for name := range c.nodes {
		c.stop(name, true)
	}
}

// operate sends a request to the operators' listener and decodes the answer.
func (n *testNode) operate(t *testing.T, method, path, body string, answer any) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	(&operators{core: n.Core}).handler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
	if w.Code == http.StatusOK && answer != nil {
		if err := json.Unmarshal(w.Body.Bytes(), answer); err != nil {
			t.Fatal(err)
		}
	}
	return w.Code
}

// page returns the account page of the last hour.
func (n *testNode) page(t *testing.T) string {
	t.Helper()
	var answer AccountAnswer
	if code := n.operate(t, http.MethodGet, "/v1/account?since=1h", "", &answer); code != http.StatusOK {
		t.Fatalf("account answered %d", code)
	}
	return answer.Page
}
