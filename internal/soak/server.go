package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/platform"
)

// Shape and pace of the stand-in backend servers.
const (
	announceEvery = 600 * time.Millisecond
	callTimeout   = time.Second
	serverSlots   = 8
	// shortestWork and longestWork bound the time that a plain request takes.
	shortestWork = 10 * time.Millisecond
	longestWork  = 400 * time.Millisecond
	streamEvents = 12
	eventPause   = 25 * time.Millisecond
	// coldFor and coldRate describe a server that has just started.
	coldFor  = 2 * time.Second
	coldRate = 6.0
	// downTime is how long a crashed server is down.
	downTime = 700 * time.Millisecond
	// drainTime is how long a leaving server serves after its announcement was acknowledged.
	drainTime = 2500 * time.Millisecond
	// freezePoll paces the look whether a frozen server goes on.
	freezePoll = 20 * time.Millisecond
	// damagedShare is one in so many answers of a damaging server that is left whole.
	damagedShare = 3
)

// server is a stand-in backend server: an address at which one life follows another.
type server struct {
	name       string
	dataCentre string
	service    string
	address    string // where it listens
	proxy      *proxy // where others reach it
	group      *group // nil for plain servers
	rank       int
	ledger     *ledger
	controls   []string // addresses of the control instances

	frozen, damaging, held atomic.Bool

	mu    sync.Mutex
	lives []*life
	life  *life // the present one, nil while the server is down
}

// life is one run of a server from its start to its end.
type life struct {
	server   *server
	id       string
	born     time.Time
	http     *http.Server
	ctx      context.Context
	end      context.CancelFunc
	slots    chan struct{}
	sequence atomic.Uint64
	draining atomic.Bool
	arrivals []time.Time // requests that were not misdirected, for the bound of a cold server
	mu       sync.Mutex
}

// start begins a new life.
func (s *server) start(cold bool) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{server: s, id: fmt.Sprintf("%s-%d", s.name, len(s.lives)+1), born: time.Now(), ctx: ctx, end: cancel,
		slots: make(chan struct{}, serverSlots)}
	if !cold {
		l.born = l.born.Add(-coldFor)
	}
	l.http = &http.Server{Handler: l, ReadHeaderTimeout: callTimeout}
	s.life = l
	s.lives = append(s.lives, l)
	s.mu.Unlock()
	if s.group != nil {
		s.group.restarted(s.rank)
	}
	go func() { _ = l.http.Serve(listener) }() // ends with the life
	go l.announce()
	return nil
}

// crash ends the present life at once.
func (s *server) crash() {
	s.mu.Lock()
	l := s.life
	s.life = nil
	s.mu.Unlock()
	if l == nil {
		return
	}
	if s.group != nil {
		s.group.setRank(s.rank, func(r *rankState) { r.alive = false })
	}
	l.end()
	_ = l.http.Close()
}

// present returns the present life, nil if the server is down.
func (s *server) present() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// freeze lets the server take requests and do nothing, or go on.
func (s *server) freeze(on bool) {
	s.frozen.Store(on)
	if s.group != nil {
		s.group.setRank(s.rank, func(r *rankState) { r.frozen = on })
	}
}

// drain lets the present life leave as announced.
func (s *server) drain() {
	l := s.present()
	if l == nil || l.draining.Swap(true) {
		return
	}
	if l.tell() {
		time.Sleep(drainTime)
	}
	l.call(platform.DeregisterPathOf(l.id), nil)
	s.crash()
}

// coldLeft returns how much longer the server is cold.
func (l *life) coldLeft() time.Duration { return max(0, coldFor-time.Since(l.born)) }

// announce tells the control instances of the server until its end.
func (l *life) announce() {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		if !l.server.held.Load() {
			l.tell()
		}
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tell sends one announcement and reports whether it was acknowledged.
func (l *life) tell() bool {
	s := l.server
	a := registry.Announcement{Server: l.id, Service: s.service, Address: s.proxy.listener.Addr().String(), DataCentre: s.dataCentre,
		Slots: serverSlots, ColdRemaining: l.coldLeft(), Sequence: l.sequence.Add(1), StartedAtMillis: l.born.UnixMilli()}
	if l.draining.Load() {
		a.State = registry.Draining
	}
	if s.group != nil {
		r := s.group.report(s.rank)
		a.Group = registry.Group{Name: s.group.name, Epoch: r.Epoch, Rank: s.rank, Size: len(s.group.ranks), Broken: !r.Open}
	}
	body, err := platform.EncodeAnnouncement(a)
	if err != nil {
		s.ledger.violate("SOAK", "an announcement cannot be written: %v", err)
		return false
	}
	return l.call(platform.AnnouncePathOf(l.id), body)
}

// call sends a body to one control instance after the other until one acknowledges it.
func (l *life) call(path string, body []byte) bool {
	first := rand.IntN(len(l.server.controls))
	for i := range l.server.controls {
		if post(l.ctx, "http://"+l.server.controls[(first+i)%len(l.server.controls)]+path, body) == http.StatusOK {
			return true
		}
	}
	return false
}

// post sends a body and returns the status of the answer, 0 if there is none.
func post(ctx context.Context, url string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // the status is all that counts
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// ServeHTTP implements http.Handler.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.thawed() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case platform.EngineReportPath, platform.EngineExpertCountsPath, platform.EngineOrderPath:
		l.serveEngine(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if expected := r.Header.Get(platform.HeaderExpectServer); expected != "" && expected != l.id {
		notRun(w, id, http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(platform.HeaderKey) != "" {
		l.server.ledger.violate("UNASKED", "the key of request %s was passed on", id)
	}
	became := l.server.ledger.arrived(id, l.id)
	if l.coldLeft() > 0 {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		l.mu.Unlock()
	}
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		became(false)
		notRun(w, id, http.StatusServiceUnavailable)
		return
	}
	became(true)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSeal, "seal-"+id)
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,0,%d", len(l.slots), serverSlots))
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		l.stream(w, r, id)
		return
	}
	if !l.pause(r.Context(), id, shortestWork+rand.N(longestWork-shortestWork)) {
		panic(http.ErrAbortHandler)
	}
	l.answer(w, id, plainAnswer(id, body))
}

// plainAnswer is the right answer to a plain request.
func plainAnswer(id string, body []byte) string {
	return "answer to " + id + ": " + string(body) + "\n"
}

// eventOf is an event of the right answer to a stream.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// notRun answers that the request has not run.
func notRun(w http.ResponseWriter, id string, status int) {
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

// pause works on a request for some time. It reports false if the caller or the server has gone.
func (l *life) pause(ctx context.Context, id string, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
	}
	if !l.thawed() {
		return false
	}
	l.server.ledger.working(id)
	return true
}

// thawed waits while the server is frozen. It reports false if the server ends meanwhile.
func (l *life) thawed() bool {
	for l.server.frozen.Load() {
		select {
		case <-l.ctx.Done():
			return false
		case <-time.After(freezePoll):
		}
	}
	return true
}

// answer writes a plain answer, damaged if the server damages.
func (l *life) answer(w http.ResponseWriter, id, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !l.server.damaging.Load() || rand.IntN(damagedShare) == 0 {
		_, _ = io.WriteString(w, body) // a caller that has left is seen from its side
		return
	}
	if rand.IntN(2) == 0 {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	raw := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRequestID, id,
			platform.HeaderSeal, id, len(body), body)
	}
	_, _ = io.WriteString(connection, raw(id, body)+raw("nobody", "an answer that nobody has asked for\n"))
	time.Sleep(shortestWork) // so that the bytes leave before the end of the connection
}

// stream writes the events of an answer, from the one after the last that the caller has.
func (l *life) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	if err != nil {
		last = 0 // a new stream
	}
	if last > 0 && rand.IntN(2) == 0 {
		last-- // a resumed stream may begin with an event that the caller has
	}
	s := l.server
	begun := false
	work := func() error {
		if !l.pause(r.Context(), id, eventPause) {
			return context.Canceled
		}
		return nil
	}
	if s.group != nil {
		s.group.enter()
		defer s.group.leave()
		work = func() error {
			err := s.group.work(r.Context(), 1)
			l.server.ledger.working(id)
			return err
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= streamEvents; n++ {
		if err := work(); err != nil || l.ctx.Err() != nil {
			if errors.Is(err, errGroupBroken) && !begun {
				http.Error(w, "the group is broken", http.StatusInternalServerError)
				return
			}
			panic(http.ErrAbortHandler)
		}
		event := eventOf(id, n)
		if s.damaging.Load() && rand.IntN(streamEvents) == 0 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		begun = true
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// serveEngine answers the calls of an engine's own interface.
func (l *life) serveEngine(w http.ResponseWriter, r *http.Request) {
	g, rank := l.server.group, l.server.rank
	if g == nil {
		http.NotFound(w, r)
		return
	}
	var body []byte
	var err error
	switch r.URL.Path {
	case platform.EngineReportPath:
		report := platform.EngineReport{Born: l.born.UnixMilli(), Running: len(l.slots), Group: g.name, Size: len(g.ranks),
			RankReport: g.report(rank)}
		body, err = platform.EncodeReport(&report)
	case platform.EngineExpertCountsPath:
		if r.URL.Query().Has(platform.EngineHeldExpertsQuery) {
			body, err = platform.EncodeHeldExperts(g.holding(rank))
			break
		}
		body, err = platform.EncodeExpertCounts(g.demand(rank))
	case platform.EngineOrderPath:
		l.serveOrder(w, r)
		return
	}
	if err != nil {
		l.server.ledger.violate("SOAK", "an engine's answer cannot be written: %v", err)
	}
	_, _ = w.Write(body) // a caller that has left asks again
}

func (l *life) serveOrder(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	order, err := platform.DecodeOrder(text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, lost := l.server.group.order(order, l.server.rank)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case result == experts.OrderRefused:
		w.WriteHeader(http.StatusConflict)
	case result == experts.OrderAccepted:
		w.WriteHeader(http.StatusAccepted)
	}
}

// checkCold checks all lives of the server.
func (s *server) checkCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lives {
		l.checkCold()
	}
}

// checkCold compares what a cold server got in any second with the bound.
func (l *life) checkCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.server.proxy.soundSince(l.born) {
		return // what was held back arrives at once
	}
	const bound = int(coldRate*coldMultiplier) + coldSlack
	for i := range l.arrivals {
		if i >= bound && l.arrivals[i].Sub(l.arrivals[i-bound]) < time.Second {
			l.server.ledger.violate("FAILBACK", "the cold server %s got %d requests in one second", l.id, bound+1)
			return
		}
	}
}
