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
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

// Dimensions and times of the stand-in backend servers.
const (
	announceInterval = 600 * time.Millisecond
	callTimeout      = time.Second
	serverSlots      = 8
	// minWorkTime and maxWorkTime limit the time that a plain request takes.
	minWorkTime  = 10 * time.Millisecond
	maxWorkTime  = 400 * time.Millisecond
	streamEvents = 12
	eventGap     = 25 * time.Millisecond
	// A server is cold for coldTime after its start. Its service allows coldRequestsPerSecond to a cold server.
	coldTime              = 2 * time.Second
	coldRequestsPerSecond = 6.0
	// downTime is the time from the end of a server to its restart.
	downTime = 700 * time.Millisecond
	// drainTime is how long a draining server still serves after its announcement was acknowledged.
	drainTime = 2500 * time.Millisecond
	// freezePollInterval is the interval at which a frozen server checks whether the fault has ended.
	freezePollInterval = 20 * time.Millisecond
	// intactOneIn makes a server that damages answers leave one in this many intact.
	intactOneIn = 3
	// unframedOneIn makes a server send one in this many answers without a length.
	unframedOneIn = 4
)

// server is a stand-in backend server: a fixed address at which one incarnation follows another.
type server struct {
	name       string
	dataCentre string
	service    string
	address    string // where it listens
	proxy      *proxy // at whose address others reach it
	group      *group // nil for plain servers
	rank       int
	ledger     *ledger
	controls   []string // addresses of the control instances

	frozen, damaging, announcementsHeld, limited, quiet atomic.Bool

	running  context.Context // ends with the soak
	starting sync.Mutex      // held by restart

	mu           sync.Mutex
	incarnations []*incarnation
	current      *incarnation // nil while the server is down
}

// incarnation is one run of a server from its start to its end.
type incarnation struct {
	server   *server
	id       string
	started  time.Time
	http     *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	slots    chan struct{}
	sequence atomic.Uint64
	draining atomic.Bool
	leaving  atomic.Bool // says so in its answers
	wishes   wishRecord
	arrivals []time.Time // of requests that were not misdirected, while cold; checked against the limit of a cold server
	mu       sync.Mutex
	limit    limitRecord
}

// start starts a new incarnation, without a cold start unless cold is set.
func (s *server) start(cold bool) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	if err := s.proxy.listen(); err != nil {
		return errors.Join(err, listener.Close())
	}
	s.mu.Lock()
	ctx, cancel := context.WithCancel(context.Background())
	inc := &incarnation{server: s, id: fmt.Sprintf("%s-%d", s.name, len(s.incarnations)+1), started: time.Now(), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, serverSlots)}
	if !cold {
		inc.started = inc.started.Add(-coldTime)
	}
	inc.http = &http.Server{Handler: inc, ReadHeaderTimeout: callTimeout}
	s.current = inc
	s.incarnations = append(s.incarnations, inc)
	s.mu.Unlock()
	if s.group != nil {
		s.group.resetRank(s.rank)
	}
	go func() { _ = inc.http.Serve(listener) }() // returns when the incarnation ends
	go inc.announce()
	return nil
}

// crash ends the current incarnation at once.
func (s *server) crash() {
	s.mu.Lock()
	inc := s.current
	s.current = nil
	s.mu.Unlock()
	if inc == nil {
		return
	}
	if s.group != nil {
		s.group.setRank(s.rank, func(r *rankState) { r.alive = false })
	}
	s.proxy.refuse()
	inc.cancel()
	_ = inc.http.Close()
}

// restart starts the server after downTime, unless the soak ends or another fault has started it.
func (s *server) restart() {
	process.Sleep(s.running, downTime)
	s.starting.Lock()
	defer s.starting.Unlock()
	if s.currentIncarnation() != nil || s.running.Err() != nil {
		return
	}
	if err := s.start(true); err != nil {
		s.ledger.recordViolation("SOAK", "stand-in %s was not started again: %v", s.name, err)
	}
}

// currentIncarnation returns the current incarnation, nil if the server is down.
func (s *server) currentIncarnation() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// setFrozen makes the server accept requests without working on them, or continue.
func (s *server) setFrozen(on bool) {
	s.frozen.Store(on)
	if s.group != nil {
		s.group.setRank(s.rank, func(r *rankState) { r.frozen = on })
	}
}

// drain announces that the current incarnation drains, serves for drainTime, deregisters it and ends it.
func (s *server) drain() {
	inc := s.currentIncarnation()
	if inc == nil || inc.draining.Swap(true) {
		return
	}
	if inc.sendAnnouncement() {
		time.Sleep(drainTime)
	}
	inc.postToControl(platform.DeregisterPathOf(inc.id), nil)
	s.crash()
}

// coldRemaining returns how much longer the server is cold.
func (inc *incarnation) coldRemaining() time.Duration {
	return max(0, coldTime-time.Since(inc.started))
}

// announce sends announcements to the control instances until the incarnation ends.
func (inc *incarnation) announce() {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		if !inc.server.announcementsHeld.Load() {
			inc.sendAnnouncement()
		}
		select {
		case <-inc.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendAnnouncement sends one announcement and reports whether it was acknowledged.
func (inc *incarnation) sendAnnouncement() bool {
	s := inc.server
	a := registry.Announcement{Server: inc.id, Service: s.service, Address: s.proxy.address, DataCentre: s.dataCentre,
		Slots: serverSlots, ColdRemaining: inc.coldRemaining(), Sequence: inc.sequence.Add(1), StartedAtMillis: inc.started.UnixMilli()}
	if inc.draining.Load() {
		a.State = registry.Draining
	}
	if s.group != nil {
		r := s.group.report(s.rank)
		a.Group = registry.Group{Name: s.group.name, Epoch: r.Epoch, Rank: s.rank, Size: len(s.group.ranks), Broken: !r.Open}
	}
	body, err := platform.EncodeAnnouncement(a)
	if err != nil {
		s.ledger.recordViolation("SOAK", "an announcement cannot be written: %v", err)
		return false
	}
	return inc.postToControl(platform.AnnouncePathOf(inc.id), body)
}

// postToControl sends a body to the control instances in turn until one acknowledges it, and reports whether one did.
func (inc *incarnation) postToControl(path string, body []byte) bool {
	first := rand.IntN(len(inc.server.controls))
	for i := range inc.server.controls {
		if post(inc.ctx, "http://"+inc.server.controls[(first+i)%len(inc.server.controls)]+path, body) == http.StatusOK {
			return true
		}
	}
	return false
}

// post sends a body and returns the status of the answer, 0 if there was no answer.
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
	defer func() { _ = response.Body.Close() }() // only the status is needed
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// ServeHTTP implements http.Handler.
func (inc *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !inc.awaitThaw() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case platform.EngineReportPath, platform.EngineExpertCountsPath, platform.EngineOrderPath:
		inc.serveEngine(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if expected := r.Header.Get(platform.HeaderExpectServer); expected != "" && expected != inc.id {
		rejectAsNotRun(w, id, http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(platform.HeaderKey) != "" {
		inc.server.ledger.recordViolation("UNASKED", "the caller's key of request %s was forwarded to a server", id)
	}
	recordRun := inc.server.ledger.recordArrival(id, inc.id)
	entry, entryStartedAt := inc.server.ledger.senderOf(id)
	if inc.server.ledger.inPhase(faultFree, rollingRestart) {
		inc.limit.recordArrival(entry, entryStartedAt, time.Now())
	}
	if inc.coldRemaining() > 0 {
		inc.mu.Lock()
		inc.arrivals = append(inc.arrivals, time.Now())
		inc.mu.Unlock()
	}
	from := exchange{request: id, entry: entry, entryStartedAt: entryStartedAt, at: time.Now()}
	inc.wishes.recordArrival(from)
	if inc.leaving.Load() {
		inc.wishes.sayLeaving(w.Header(), from)
	}
	if inc.server.quiet.Load() && rand.IntN(quietOneIn) == 0 {
		recordRun(false)
		inc.wishes.askForQuiet(w.Header(), from)
		rejectAsNotRun(w, id, http.StatusServiceUnavailable)
		return
	}
	select {
	case inc.slots <- struct{}{}:
		defer func() { <-inc.slots }()
	default:
		recordRun(false)
		rejectAsNotRun(w, id, http.StatusServiceUnavailable)
		return
	}
	recordRun(true)
	if string(body) == harmfulRequestBody && inc.server.ledger.hasHarmfulRequest() {
		inc.server.ledger.recordHarmfulArrival(harmfulRequest)
		inc.workFor(r.Context(), id, minWorkTime)
		inc.endFor(harmfulRequest, w)
	}
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSeal, "seal-"+id)
	if inc.server.limited.Load() {
		inc.limit.name(w.Header(), entry, entryStartedAt, time.Now())
	}
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,0,%d", len(inc.slots), serverSlots))
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		inc.serveStream(w, r, id)
		return
	}
	if !inc.workFor(r.Context(), id, minWorkTime+rand.N(maxWorkTime-minWorkTime)) {
		panic(http.ErrAbortHandler)
	}
	inc.writeAnswer(w, id, plainAnswer(id, body))
}

// plainAnswer returns the correct answer to a plain request.
func plainAnswer(id string, body []byte) string {
	return "answer to " + id + ": " + string(body) + "\n"
}

// streamEvent returns event n, counted from 1, of the correct answer to a stream.
func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// rejectAsNotRun answers that the request has not run.
func rejectAsNotRun(w http.ResponseWriter, id string, status int) {
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

// workFor simulates work on a request for a time. It returns false if the request is cancelled or the server ends.
func (inc *incarnation) workFor(ctx context.Context, id string, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-inc.ctx.Done():
		return false
	case <-time.After(d):
	}
	if !inc.awaitThaw() {
		return false
	}
	inc.server.ledger.recordWork(id)
	return true
}

// awaitThaw waits while the server is frozen. It returns false if the server ends before.
func (inc *incarnation) awaitThaw() bool {
	for inc.server.frozen.Load() {
		select {
		case <-inc.ctx.Done():
			return false
		case <-time.After(freezePollInterval):
		}
	}
	return true
}

// writeAnswer writes a plain answer. While the server damages answers, some are truncated, some are followed by an extra one or
// come after an earlier refusal, and some have a head without end.
func (inc *incarnation) writeAnswer(w http.ResponseWriter, id, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !inc.server.damaging.Load() || rand.IntN(intactOneIn) == 0 {
		if rand.IntN(unframedOneIn) == 0 {
			unframed := newUnframedWriter(w)
			defer unframed.end()
			w = unframed
		}
		_, _ = io.WriteString(w, body) // the caller records failures
		return
	}
	damage := rand.IntN(4)
	if damage == 0 {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	if damage == 1 {
		writeEndlessHead(connection)
		return
	}
	raw := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderRequestID, id,
			platform.HeaderSeal, id, len(body), body)
	}
	if damage == 2 { // an earlier refusal, once more and without the identifier of its request
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Busy\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", platform.HeaderNotRun)
	}
	_, _ = io.WriteString(connection, raw(id, body)+raw("nobody", "an answer that nobody has asked for\n"))
	time.Sleep(minWorkTime) // so that the data is sent before the connection is closed
}

// endlessBlockBytes is the size of one write of a head without end.
const endlessBlockBytes = 32 << 10

// writeEndlessHead writes a header line without end, until the peer closes the connection.
func writeEndlessHead(connection net.Conn) {
	_, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Endless: ")
	for block := bytes.Repeat([]byte("x"), endlessBlockBytes); err == nil; {
		_, err = connection.Write(block)
	}
}

// serveStream writes the events of an answer, starting after the one that HeaderLastEvent names.
func (inc *incarnation) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	last, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	if err != nil {
		last = 0 // a new stream
	}
	if last > 0 && rand.IntN(2) == 0 {
		last-- // a resumed stream may repeat the last event
	}
	s := inc.server
	part := s.ledger.harmfulPartIn(r.Header.Get(platform.HeaderPrompt))
	if part != "" {
		s.ledger.recordHarmfulArrival(part)
	}
	started := false
	work := func() error {
		if !inc.workFor(r.Context(), id, eventGap) {
			return context.Canceled
		}
		return nil
	}
	if s.group != nil {
		s.group.addRequest()
		defer s.group.removeRequest()
		work = func() error {
			err := s.group.awaitSteps(r.Context(), 1)
			inc.server.ledger.recordWork(id)
			return err
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if rand.IntN(unframedOneIn) == 0 {
		unframed := newUnframedWriter(w)
		defer unframed.end()
		w = unframed
	}
	for n := last + 1; n <= streamEvents; n++ {
		if err := work(); err != nil || inc.ctx.Err() != nil {
			if errors.Is(err, errGroupBroken) && !started {
				http.Error(w, "the group is broken", http.StatusInternalServerError)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if part != "" {
			inc.endFor(part, w)
		}
		event := streamEvent(id, n)
		if s.damaging.Load() && rand.IntN(streamEvents) == 0 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		started = true
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// endFor ends the incarnation under a harmful request or part of a prompt, and starts the next one later.
func (inc *incarnation) endFor(part string, w http.ResponseWriter) {
	if part != harmfulRequest {
		_ = http.NewResponseController(w).Flush() // it ends as it begins to write an answer
	}
	if s := inc.server; s.currentIncarnation() == inc {
		s.ledger.recordHarmfulEnd(part)
		s.crash()
		go s.restart()
	}
	panic(http.ErrAbortHandler)
}

// unframedWriter writes an answer with neither a length nor chunks, which ends with its connection. A panic of the handler
// resets the connection.
type unframedWriter struct {
	net.Conn
	header      http.Header
	wroteHeader bool
}

func newUnframedWriter(w http.ResponseWriter) *unframedWriter {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &unframedWriter{Conn: connection, header: w.Header().Clone()}
}

// end ends the answer. It is deferred.
func (u *unframedWriter) end() {
	if recover() != nil {
		resetConnection(u.Conn)
		return
	}
	_ = u.Close()
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *unframedWriter) WriteHeader(status int) {
	if u.wroteHeader {
		return
	}
	u.wroteHeader = true
	u.header.Del("Content-Length")
	_, _ = fmt.Fprintf(u.Conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // the caller records failures
	_ = u.header.Write(u.Conn)
	_, _ = io.WriteString(u.Conn, "\r\n")
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(p []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.Conn.Write(p)
}

// Flush implements http.Flusher.
func (u *unframedWriter) Flush() { u.WriteHeader(http.StatusOK) }

// serveEngine answers requests to the engine API.
func (inc *incarnation) serveEngine(w http.ResponseWriter, r *http.Request) {
	g, rank := inc.server.group, inc.server.rank
	if g == nil {
		http.NotFound(w, r)
		return
	}
	var body []byte
	var err error
	switch r.URL.Path {
	case platform.EngineReportPath:
		report := platform.EngineReport{Born: inc.started.UnixMilli(), Running: len(inc.slots), Group: g.name, Size: len(g.ranks),
			RankReport: g.report(rank)}
		body, err = platform.EncodeReport(&report)
	case platform.EngineExpertCountsPath:
		if r.URL.Query().Has(platform.EngineHeldExpertsQuery) {
			body, err = platform.EncodeHeldExperts(g.heldExperts(rank))
			break
		}
		body, err = platform.EncodeExpertCounts(g.expertCounts(rank))
	case platform.EngineOrderPath:
		inc.serveOrder(w, r)
		return
	}
	if err != nil {
		inc.server.ledger.recordViolation("SOAK", "an engine's answer cannot be written: %v", err)
	}
	_, _ = w.Write(body) // a caller without an answer asks again
}

func (inc *incarnation) serveOrder(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	order, err := platform.DecodeOrder(text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, answerLost := inc.server.group.handleOrder(order, inc.server.rank)
	switch {
	case answerLost:
		panic(http.ErrAbortHandler)
	case result == experts.OrderRefused:
		w.WriteHeader(http.StatusConflict)
	case result == experts.OrderAccepted:
		w.WriteHeader(http.StatusAccepted)
	}
}

// checkRates checks the rates of requests to all incarnations of the server.
func (s *server) checkRates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, inc := range s.incarnations {
		inc.checkCold()
		inc.checkWishes()
		if most, exceeded := inc.limit.check(); exceeded {
			s.ledger.recordViolation("LIMIT", "the server %s got %d requests in %v, with a limit of %.1f a second", inc.id, most, limitWindow, serverLimit)
		}
	}
}

// checkCold compares the number of requests to a cold server in any second with its limit.
func (inc *incarnation) checkCold() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if !inc.server.proxy.healthySince(inc.started) {
		return // withheld requests arrive all at once
	}
	const bound = int(coldRequestsPerSecond*coldMultiplier) + coldSlackRequests
	for i := range inc.arrivals {
		if i >= bound && inc.arrivals[i].Sub(inc.arrivals[i-bound]) < time.Second {
			inc.server.ledger.recordViolation("FAILBACK", "the cold server %s got %d requests in one second", inc.id, bound+1)
			return
		}
	}
}
