package soak

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/platform"
)

const (
	// serverLimit is the limit that a server in need names, in requests a second from all entry instances together.
	serverLimit = 4.0
	// In limitWindow it may get limitTolerance times that, and limitSlackRequests, from those that it told limitNoticeTime ago.
	limitWindow        = 4 * time.Second
	limitTolerance     = 1.5
	limitSlackRequests = 5
	limitNoticeTime    = 500 * time.Millisecond
)

// limitRecord records what an incarnation gets that names a limit.
type limitRecord struct {
	mu       sync.Mutex
	firstAt  time.Time            // when the limit was first named
	told     map[string]time.Time // when each entry instance was first told since it started
	arrivals []time.Time          // without a fault, from instances that knew
}

// name names the limit in an answer to a request from an entry instance.
func (r *limitRecord) name(header http.Header, entry string, startedAt, now time.Time) {
	header.Set(platform.HeaderRateLimit, strconv.FormatFloat(serverLimit, 'f', -1, 64))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told == nil {
		r.firstAt, r.told = now, map[string]time.Time{}
	}
	if at, ok := r.told[entry]; !ok || at.Before(startedAt) {
		r.told[entry] = now
	}
}

// recordArrival records a request from an entry instance that started at a time.
func (r *limitRecord) recordArrival(entry string, startedAt, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, told := r.told[entry]
	if told && !at.Before(startedAt) && now.Sub(at) >= limitNoticeTime && now.Sub(r.firstAt) >= stableWindow {
		r.arrivals = append(r.arrivals, now)
	}
}

// check returns the largest number of requests in limitWindow, and whether that is too many.
func (r *limitRecord) check() (most int, exceeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, from := range r.arrivals {
		end, _ := slices.BinarySearchFunc(r.arrivals, from.Add(limitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most, float64(most) > limitTolerance*limitWindow.Seconds()*serverLimit+limitSlackRequests
}

// senderOf returns the entry instance that a request was sent to, and when that last started.
func (l *ledger) senderOf(id string) (entry string, startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return "", time.Time{}
	}
	return r.entry, l.startedAt[r.entry]
}

// recordStart records that a process starts.
func (l *ledger) recordStart(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedAt[instance] = time.Now()
}
