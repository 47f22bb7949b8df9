package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// cluster runs entry instances over in-memory sessions, within a testing/synctest bubble.
type cluster struct {
	t      *testing.T
	paused map[string]bool // instances that neither send nor receive
	mu     sync.Mutex
	nodes  map[string]*testNode // by inner address
	disk   *faultfs.FS          // of the voter
	files  account.Files        // of the voter's account
	voters []settings.Voter
}

type testNode struct {
	*Core
	name    string
	links   []*transport.Faults
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// newCluster returns a cluster without instances. Its only voter is "norte-1".
func newCluster(t *testing.T) *cluster {
	log.SetHandler(discard.Default)
	return &cluster{t: t, paused: make(map[string]bool), nodes: make(map[string]*testNode), disk: faultfs.New(rand.New(rand.NewPCG(1, 1))),
		voters: []settings.Voter{{Instance: "norte-1", Address: "norte-1"}}}
}

const testKey = "test-fleet-key-0123456789"

// start starts an instance. Its name is also its address. Its settings contain the voter and the given peers.
func (c *cluster) start(name string, peers ...string) *testNode {
	s := &settings.Front{Instance: fleet.InstanceID(name), DataCentre: "norte", InnerAddress: name, FleetKey: testKey,
		DefaultDeadline: time.Second, MaxBodyBytes: 1 << 16, QueueMax: 10, DrainTimeout: time.Second, Peers: peers, Voters: c.voters,
		Organisations: []settings.Organisation{{Name: "builders", Key: "builders-key", Weight: 1}}}
	n := &testNode{name: name}
	environment := Environment{Connector: c.connector(n)}
	if name == "norte-1" {
		environment.Folder, environment.Account = c.disk, c.files
	}
	core, err := NewCore(s, fleet.Incarnation(time.Now().UnixMilli()), environment)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.Core, n.cancel = core, cancel
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	n.running.Go(func() { core.Run(ctx) })
	return n
}

func (c *cluster) connector(from *testNode) func(string, func() protocol.Hello, transport.Handler) transport.ConnectFunc {
	return func(address string, hello func() protocol.Hello, _ transport.Handler) transport.ConnectFunc {
		return func(_ context.Context, h transport.Handler) (transport.Session, error) {
			c.mu.Lock()
			to, paused := c.nodes[address], c.paused[address] || c.paused[from.name]
			c.mu.Unlock()
			if to == nil || paused {
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

// stop stops an instance. A planned stop drains it first; otherwise its connections break.
func (c *cluster) stop(name string, planned bool) {
	c.mu.Lock()
	n := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	if planned {
		if err := n.Drain(context.Background()); err != nil {
			c.t.Error(err)
		}
		time.Sleep(readinessGracePeriod)
	} else {
		n.Agreement.Close()
	}
	n.cancel()
	n.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range n.links {
		link.Reset()
	}
}

// pause blocks all messages to and from an instance for a duration. Connections to and from it fail.
func (c *cluster) pause(name string, duration time.Duration) {
	setPaused := func(on bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.paused[name] = on
		for _, link := range c.nodes[name].links {
			link.Stall(transport.AToB, on)
			link.Stall(transport.BToA, on)
		}
	}
	setPaused(true)
	time.Sleep(duration)
	setPaused(false)
}

func (c *cluster) stopAll() {
	for name := range c.nodes {
		c.stop(name, true)
	}
}

// sendOperatorRequest sends a request to the operators' handler, decodes the answer and returns the status code.
func (n *testNode) sendOperatorRequest(t *testing.T, method, path, body string, answer any) int {
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

// accountPage returns the account page of the last hour.
func (n *testNode) accountPage(t *testing.T) string {
	t.Helper()
	var answer AccountAnswer
	if code := n.sendOperatorRequest(t, http.MethodGet, "/v1/account?since=1h", "", &answer); code != http.StatusOK {
		t.Fatalf("account answered %d", code)
	}
	return answer.Page
}

// convergedCluster starts n instances whose settings contain only the voter, and checks that each discovers all others.
func convergedCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := newCluster(t)
	for i := range n {
		c.start(fmt.Sprintf("norte-%d", i+1))
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	for name, node := range c.nodes {
		if found := node.Loop.View().Instances; found != n {
			t.Errorf("%s counts %d instances of %d", name, found, n)
		}
	}
	return c
}

// Guards against ignoring an instance that is not in the settings of any other: the others would take too large shares of
// the limits and open no session to it, and agents would not discover it.
func TestInstanceNotInSettingsIsDiscovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := convergedCluster(t, 5)
		for name, node := range c.nodes {
			peers := make(map[fleet.InstanceID]bool)
			for _, session := range node.Loop.View().Peers("norte") {
				peers[session.Peer().Instance] = true
			}
			if len(peers) != 4 {
				t.Errorf("%s has sessions to %v", name, peers)
			}
		}
		c.start("norte-6")
		time.Sleep(10 * time.Second)
		for _, node := range c.nodes {
			is.Equal(node.Loop.View().Instances, 6)
		}
		c.stopAll()
	})
}

// Guards against removal of an instance after a pause of a few seconds: its share would be lost and assigned twice.
func TestShortPauseRemovesNoInstance(t *testing.T) {
	for _, paused := range []string{"norte-1", "norte-3"} {
		synctest.Test(t, func(t *testing.T) {
			c := convergedCluster(t, 4)
			end := time.Now().Add(30 * time.Second)
			go c.pause(paused, 5*time.Second)
			for time.Now().Before(end) {
				for name, node := range c.nodes {
					if found := node.Loop.View().Instances; found != 4 {
						t.Fatalf("%s counts %d instances after a pause of %s", name, found, paused)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			c.stopAll()
		})
	}
}

// Guards against a crashed instance that keeps its share of the limits, a planned stop that is treated as a crash, and a
// returned instance that is not counted again.
func TestSharesFollowMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := convergedCluster(t, 4)
		instances := func() (counts []int) {
			for _, node := range c.nodes {
				counts = append(counts, node.Loop.View().Instances)
			}
			return counts
		}
		c.stop("norte-2", true)
		time.Sleep(3 * time.Second) // the session timeout; a planned stop needs no failure detection
		is.Equal(instances(), []int{3, 3, 3})
		c.stop("norte-3", false)
		time.Sleep(31 * time.Second) // as the design note on membership states
		is.Equal(instances(), []int{2, 2})
		page := c.nodes["norte-1"].accountPage(t)
		is.True(strings.Contains(page, "graceful stop ended: norte-2 - the instance has stopped as planned"))
		is.True(strings.Contains(page, "entry instance lost: norte-3"))
		is.True(strings.Contains(page, "One thing is still not right."))
		c.start("norte-3")
		time.Sleep(15 * time.Second)
		is.Equal(instances(), []int{3, 3, 3})
		is.True(strings.Contains(c.nodes["norte-1"].accountPage(t), "Everything is right."))
		c.stopAll()
	})
}

// Guards against an instance that is not rediscovered after a partition that was long enough for it to count as lost.
func TestInstanceReturnsAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := convergedCluster(t, 4)
		go c.pause("norte-3", time.Minute)
		time.Sleep(time.Minute - time.Second)
		is.Equal(c.nodes["norte-4"].Loop.View().Instances, 3)
		is.Equal(c.nodes["norte-3"].Loop.View().Instances, 1)
		time.Sleep(2 * time.Minute) // as the design note on membership states
		for _, node := range c.nodes {
			is.Equal(node.Loop.View().Instances, 4)
		}
		page := c.nodes["norte-1"].accountPage(t)
		is.True(strings.Contains(page, "entry instance returned: norte-3"))
		is.True(strings.Contains(page, "Everything is right."))
		c.stopAll()
	})
}
