//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the streaming stand-in.
const (
	streamEvents  = 12
	eventGap      = 40 * time.Millisecond
	engineBackIn  = 2 * time.Second // "some seconds" after a crash
	harmfulPause  = 1500 * time.Millisecond
	harmfulFor    = 30 * time.Second
	soundPause    = 150 * time.Millisecond
	maxLate       = 3 // retries that may reach engines later than the stable window after the third crash
	crashesBefore = 3
	harmfulBody   = "draft: the request under which servers end"
)

// engine is a stand-in server of a stream service at one address: one incarnation follows another.
type engine struct {
	fleet   *fleet
	n       int
	address string
	log     *harmfulLog
	// eventsBefore is how many events of the harmful request are written before the crash.
	eventsBefore int
	harmful      bool

	mu           sync.Mutex
	incarnations int
	id           string
	born         int64
	sequence     uint64
	http         *http.Server
	beats        context.CancelFunc
	closed       bool
}

// harmfulLog records the arrivals of the harmful request and the ends of engines.
type harmfulLog struct {
	mu       sync.Mutex
	arrivals []run
	ends     []time.Time
}

func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnations++
	e.id, e.born, e.sequence = fmt.Sprintf("i-model-%d-%d", e.n+1, e.incarnations), time.Now().UnixMilli(), 0
	e.http = &http.Server{Handler: e}
	server := e.http
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.beats = cancel
	go e.beat(ctx)
	return nil
}

func (e *engine) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for call := e.n; ; call++ {
		e.mu.Lock()
		e.sequence++
		id, body := e.id, fmt.Sprintf(`{"service":"model","address":%q,"zone":%q,"version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"sequence":%d,"born":%d}`,
			e.address, zones[e.n%len(zones)], e.sequence, e.born)
		e.mu.Unlock()
		for i := range e.fleet.cores {
			p := e.fleet.cores[(call+i)%len(e.fleet.cores)]
			if post(fmt.Sprintf("http://%s:%d/v1/instances/%s/heartbeat", p.ip, controlPort, id), []byte(body)) == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// crash ends the incarnation: its address refuses connections and those that are open are closed. Another one starts after some seconds.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.http
	if server == nil {
		e.mu.Unlock()
		return
	}
	e.http = nil
	e.beats()
	closed := e.closed
	id := e.id
	e.mu.Unlock()
	_ = server.Close()
	if closed {
		return
	}
	e.log.mu.Lock()
	e.log.ends = append(e.log.ends, time.Now())
	n := len(e.log.ends)
	e.log.mu.Unlock()
	e.fleet.record.printf("engine %s crashes (crash %d)", id, n)
	time.AfterFunc(engineBackIn, func() {
		if err := e.start(); err != nil {
			e.fleet.record.printf("engine %d was not started again: %v", e.n+1, err)
		}
	})
}

func (e *engine) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.crash()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	self := e.id
	e.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != self {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	harmful := string(body) == harmfulBody || sharesPart(r.Header.Get("X-Prompt-Prefix"), harmfulPart)
	if harmful {
		e.log.mu.Lock()
		e.log.arrivals = append(e.log.arrivals, run{id: id, at: time.Now()})
		e.log.mu.Unlock()
		e.fleet.record.printf("engine %s: begins to run the harmful request as %s, Last-Event-Id %q", self, id, r.Header.Get("Last-Event-Id"))
	}
	w.Header().Set("X-Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(eventGap):
		}
		if harmful && e.harmful && n > last+e.eventsBefore {
			go e.crash()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// streamRoute is a route like those of the deployment's streams.
func streamRoute() map[string]any {
	return map[string]any{"name": "r-draft", "host": host, "path-prefix": "/draft/", "kind": "stream", "timeout-ms": 8000, "target-latency-ms": 500,
		"priority": 1, "service": "model", "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 120}
}

// stream sends a request on the stream route and reads the events. It returns their number, and whether the stream is complete.
func (p *process) stream(path, body, prompt string) (id string, status, events int, complete bool) {
	id = fmt.Sprintf("c%07d", requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, path), strings.NewReader(body))
	if err != nil {
		return id, 0, 0, false
	}
	request.Host = host
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "8000", "X-Key": key, "X-Model": "m", "X-Token-Counts": "714,96",
		"X-Prompt-Prefix": prompt} {
		request.Header.Set(name, value)
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return id, 0, 0, false
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return id, response.StatusCode, events, lines.Err() == nil && events == streamEvents
}

// crashingRequest: one request crashes each engine that begins to run it, after eventsBefore events. It comes again at both entry
// instances, between sound ones.
func crashingRequest(eventsBefore int) func(r *record, trouble bool) (int, error) {
	return func(r *record, trouble bool) (int, error) {
		f, err := newFleet(r, 2, 3)
		if err != nil {
			return noTrial, err
		}
		defer f.close()
		if err := f.startAll(); err != nil {
			return noTrial, err
		}
		seen := &harmfulLog{}
		for n := range 6 {
			e := &engine{fleet: f, n: n, address: fmt.Sprintf("%s:%d", f.address(serverNet, n), serverPort), log: seen, eventsBefore: eventsBefore, harmful: trouble}
			if err := e.start(); err != nil {
				return noTrial, err
			}
			defer e.close()
		}
		c := configuration(7, streamRoute())
		c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "model", "health-path": "/health", "max-conns": 278,
			"protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0})
		if err := f.configure(c, 20*time.Second); err != nil {
			return noTrial, err
		}
		if err := f.awaitReady(20 * time.Second); err != nil {
			return noTrial, err
		}
		time.Sleep(4 * time.Second) // all machines are in touch, and all servers are known
		var clients sync.WaitGroup
		end := time.Now().Add(harmfulFor)
		var sound, soundComplete atomic.Int64
		for i, p := range f.fronts {
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					clients.Go(func() {
						_, _, _, complete := p.stream("/draft/sound", fmt.Sprintf("draft: pane %d of client %d", n, i), fmt.Sprintf("5c1e07a2:40,%x%04x:674", i+10, n))
						sound.Add(1)
						if complete {
							soundComplete.Add(1)
						}
					})
					time.Sleep(soundPause)
				}
			})
		}
		for n := 0; time.Now().Before(end); n++ {
			p := f.fronts[n%len(f.fronts)]
			id, status, events, complete := p.stream("/draft/harmful", harmfulBody, "5c1e07a2:40,e4402b7d:674")
			r.printf("client: the harmful request as %s at %s: status %d, %d events, complete %v", id, p.name, status, events, complete)
			time.Sleep(harmfulPause)
		}
		clients.Wait()
		r.printf("%d sound requests, %d answered completely", sound.Load(), soundComplete.Load())
		return seen.judge(r, crashesBefore), nil
	}
}

// judge counts the requests that reached engines later than the stable window after a number of crashes.
func (l *harmfulLog) judge(r *record, crashes int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.printf("harmful requests reached engines %d times and ended %d of them", len(l.arrivals), len(l.ends))
	if len(l.ends) < crashes {
		return held
	}
	from := l.ends[crashes-1].Add(stableWindow)
	late := map[string]bool{}
	for _, a := range l.arrivals {
		if a.at.After(from) {
			late[a.id] = true
		}
	}
	r.printf("%d of them reached engines later than the stable window after crash %d; %d may", len(late), crashes, maxLate)
	if len(late) > maxLate {
		r.printf("BUDGET: what crashes the engines that run it was passed on")
		return broken
	}
	return held
}
