package directory

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/platform"
)

// heartbeat returns the body of an announcement.
func heartbeat(state string, sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":%q,"sequence":%d,"born":7}`, state, sequence)
}

// knownState returns the state of a server by the registry of an instance, and false if it does not know the server.
func knownState(n *controlNode, server string) (state registry.State, known bool) {
	done := make(chan struct{})
	n.post(func(time.Time) {
		if record := n.servers.Get(server); record != nil {
			state, known = record.State, true
		}
		close(done)
	})
	<-done
	return state, known
}

// Guards against an acknowledged departure that is lost with the control instance that took it, or when all lose power: a late
// announcement from before it then brings the server back, which says nothing more.
func TestAcknowledgedDepartureOutlivesItsControlInstance(t *testing.T) {
	for _, dark := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			seeds := []string{"a", "b", "c"}
			f := startControls(t, 3, seeds...)
			defer f.stopAll()
			announce := func(at, server, body string) int {
				return post(t, newAPI(f.nodes[at].Directory, nil, testGate).handler(), platform.AnnouncePath, server, body)
			}
			for _, at := range seeds {
				for _, server := range []string{"gone", "drains", "stays"} {
					is.Equal(announce(at, server, heartbeat("ready", 4)), http.StatusOK)
				}
			}
			handler := newAPI(f.nodes["a"].Directory, nil, testGate).handler()
			is.Equal(post(t, handler, platform.DeregisterPath, "gone", ""), http.StatusOK)
			is.Equal(announce("a", "drains", heartbeat("draining", 9)), http.StatusOK)
			is.Equal(announce("a", "drains", heartbeat("draining", 10)), http.StatusOK) // goes on to say so
			lost := []string{"a"}
			if dark {
				lost = seeds
			}
			for _, address := range lost {
				n := f.nodes[address]
				f.crash(n)
				f.start(address, n.disk, false, seeds...)
			}
			time.Sleep(5 * time.Second)
			for _, at := range seeds {
				for _, server := range []string{"gone", "drains", "stays"} {
					is.Equal(announce(at, server, heartbeat("ready", 5)), http.StatusOK) // late
				}
				state, known := knownState(f.nodes[at], "gone")
				is.True(known && state == registry.Deregistered)
				state, known = knownState(f.nodes[at], "drains")
				is.True(known && state == registry.Draining)
				state, known = knownState(f.nodes[at], "stays")
				is.True(known && state == registry.Ready)
			}
		})
	}
}

// Guards against a departure that is acknowledged although only this instance knows of it: no majority has it.
func TestDepartureWithoutMajorityIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startControls(t, 3, "a", "b", "c")
		defer f.stopAll()
		f.crash(f.nodes["b"])
		f.crash(f.nodes["c"])
		handler := newAPI(f.nodes["a"].Directory, nil, testGate).handler()
		is.Equal(post(t, handler, platform.AnnouncePath, "gone", heartbeat("ready", 4)), http.StatusOK) // promises nothing
		is.Equal(post(t, handler, platform.DeregisterPath, "gone", ""), http.StatusServiceUnavailable)
		state, _ := knownState(f.nodes["a"], "gone")
		is.Equal(state, registry.Deregistered) // it is used no more all the same
	})
}
