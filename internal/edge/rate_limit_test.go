package edge

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/platform"
)

// limitedService is a set of servers that name a limit in each answer, and record when requests arrive.
type limitedService struct {
	limit    atomic.Int64 // requests a second, 0 for none
	backends []*backend
	mu       sync.Mutex
	arrivals map[*backend][]time.Time
}

func startLimitedService(t *testing.T, servers int, limit int64) *limitedService {
	s := &limitedService{arrivals: map[*backend][]time.Time{}}
	s.limit.Store(limit)
	for i := range servers {
		s.backends = append(s.backends, startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
			s.mu.Lock()
			s.arrivals[s.backends[i]] = append(s.arrivals[s.backends[i]], time.Now())
			s.mu.Unlock()
			if limit := s.limit.Load(); limit > 0 {
				w.Header().Set(platform.HeaderRateLimit, strconv.FormatInt(limit, 10)+".0")
			}
			respondSealed(w, http.StatusOK, "ok")
		}))
	}
	return s
}

// announceTo passes the servers to entry instances.
func (s *limitedService) announceTo(proxies ...*Proxy) {
	for _, p := range proxies {
		p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) {
			d.SetServers(now, announced("z", s.backends...))
		})
	}
}

// most returns the largest number of requests that one of the servers got in a window, from a time on.
func (s *limitedService) most(from time.Time, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, arrivals := range s.arrivals {
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Before(first.Add(window)) {
					n++
				}
			}
			if !first.Before(from) {
				most = max(most, n)
			}
		}
	}
	return most
}

// press sends requests to all instances for a time, and returns how many were answered and how many were refused with a
// Retry-After.
func press(t *testing.T, urls []string, d time.Duration) (answered, refused int64) {
	var pressing sync.WaitGroup
	var answers, refusals atomic.Int64
	for _, url := range urls {
		pressing.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				switch status, header, _, _ := send(t, url, "/safe/x"); {
				case status == http.StatusOK:
					answers.Add(1)
				case status == http.StatusServiceUnavailable && header.Get(platform.HeaderRetryAfter) != "":
					refusals.Add(1)
				}
			}
		})
	}
	pressing.Wait()
	return answers.Load(), refusals.Load()
}

// Guards against a server that gets more requests from all entry instances together than the limit that it names in its
// answers.
func TestInstancesTogetherKeepTheLimitOfAServer(t *testing.T) {
	is := is.New(t)
	const limit = 20
	proxies, urls := startRelayedProxies(t, 4)
	s := startLimitedService(t, 2, limit)
	s.announceTo(proxies...)
	press(t, urls, 200*time.Millisecond) // each instance learns the limit
	from := time.Now()
	answered, refused := press(t, urls, 2*time.Second)
	is.True(s.most(from, time.Second) <= limit*3/2+5)
	is.True(answered > limit) // the limit is used
	is.True(refused > 0)      // the rest is refused at once
}
