package edge

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/platform"
)

// competing makes the callers of a proxy compete.
func competing(p *Proxy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.Dispatch.CompetingCallers = true
}

// awaitWaiting waits until a number of calls wait for the service s.
func awaitWaiting(t *testing.T, p *Proxy, calls int) {
	t.Helper()
	for range 500 {
		p.mu.Lock()
		room := p.rooms["s"]
		n := 0
		if room != nil {
			n = room.queue.Len()
		}
		p.mu.Unlock()
		if n == calls {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d calls never wait", calls)
}

// Guards against callers who are refused during an outage that ends before their deadline.
func TestCallsWaitForAServer(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) { respondSealed(w, http.StatusOK, "ok") })
	proxy, url := startProxy(t)
	competing(proxy)
	status := make(chan int)
	go func() {
		s, _, _, _ := send(t, url, "/unsafe/x")
		status <- s
	}()
	awaitWaiting(t, proxy, 1)
	proxy.mu.Lock()
	proxy.dispatcher.SetServers(time.Now(), announced("z", b))
	proxy.serveAllWaitingLocked()
	proxy.mu.Unlock()
	is.Equal(<-status, http.StatusOK)
	awaitWaiting(t, proxy, 0)
}

// Guards against calls that wait for longer than their callers, and against a refusal that comes back too late for an answer.
func TestWaitEndsBeforeTheDeadline(t *testing.T) {
	is := is.New(t)
	proxy, url := startProxyWith(t, 100*time.Millisecond, 0)
	competing(proxy)
	started := time.Now()
	status, header, _, err := send(t, url, "/unsafe/x", platform.HeaderDeadline, "600")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable) // true: it has not run
	is.True(time.Since(started) >= 400*time.Millisecond)
	retryAfter, err := strconv.ParseFloat(header.Get(platform.HeaderRetryAfter), 64)
	is.NoErr(err)
	is.True(retryAfter <= 0.2) // a third of what is left
}

// Guards against calls that take a freed slot before more urgent ones that wait.
func TestUrgentCallsAreServedFirst(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var mu sync.Mutex
	var order []string
	b := startBackend(t, func(w http.ResponseWriter, r *http.Request, n int) {
		mu.Lock()
		order = append(order, r.URL.Path)
		mu.Unlock()
		<-release
		respondSealed(w, http.StatusOK, "ok")
	})
	proxy, url := startProxyWith(t, 4*time.Second, 0, b)
	competing(proxy)
	proxy.view.Load().Table.Route("h.example", "/once/x").Priority = 2
	records := announced("z", b)
	records[0].Slots = 1
	proxy.mu.Lock()
	proxy.dispatcher.SetServers(time.Now(), records)
	proxy.mu.Unlock()
	var calls sync.WaitGroup
	call := func(path string) {
		calls.Go(func() {
			status, _, _, err := send(t, url, path, platform.HeaderRequestID, path)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
	call("/once/first")
	call("/once/queued") // one waits at the server
	for b.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	call("/once/patient")
	awaitWaiting(t, proxy, 1)
	call("/unsafe/urgent")
	awaitWaiting(t, proxy, 2)
	release <- struct{}{}
	for b.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	calls.Wait()
	is.Equal(order[2:], []string{"/unsafe/urgent", "/once/patient"})
}

// Guards against a slot that stays in use after its call has been cancelled while it waited.
func TestCancelledCallLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	proxy, url := startProxy(t)
	competing(proxy)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _, _ = send(t, url, "/unsafe/x")
	}()
	awaitWaiting(t, proxy, 1)
	proxy.EndCalls()
	<-done
	awaitWaiting(t, proxy, 0)
	is.Equal(proxy.InFlight(), int64(0))
}
