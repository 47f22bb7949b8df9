package edge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/grants"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// harmfulPart is the part of prompts that ends engineFleet's engines.
	harmfulPart = "bad0"
	// harmfulPath is the path of a plain request that ends them as they begin to run it.
	harmfulPath = "/safe/bad"
	// lateHarmfulPath is the path of a stream that ends them after the first event of each answer, and lateHarmfulPart the part of
	// prompts that does.
	lateHarmfulPath = "/stream/bad"
	lateHarmfulPart = "bad1"
	// unluckyPath is the path of a plain request under which the first engine ends that has it, by accident.
	unluckyPath = "/safe/unlucky"
)

// engineFleet is a service of engines, each of which ends when it begins an answer on harmfulPart and starts again at
// another address, as another server.
type engineFleet struct {
	t       *testing.T
	proxies []*Proxy
	mu      sync.Mutex
	engines []*fleetEngine
	started int
	ends    int
	reading atomic.Int32 // requests that have arrived and are never answered
	// crashAfter is the time, in nanoseconds, for which a request for harmfulPath runs before its engine ends, and fixed makes it a sound one.
	crashAfter atomic.Int64
	fixed      atomic.Bool
}

// harmfulRequest returns what stands for a request for harmfulPath, as send sends it.
func harmfulRequest(p *Proxy) []string {
	r := httptest.NewRequest(http.MethodPost, harmfulPath, nil)
	r.Host = "h.example"
	return []string{quarantine.RequestPart((&call{proxy: p, r: r, organisation: "o", body: &intake.Body{Pieces: [][]byte{[]byte("body")}}}).digest())}
}

type fleetEngine struct {
	*httptest.Server
	id string
}

func startEngineFleet(t *testing.T, engines int, proxies ...*Proxy) *engineFleet {
	f := &engineFleet{t: t, proxies: proxies}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range f.engines {
			e.CloseClientConnections()
			e.Close()
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for range engines {
		f.start()
	}
	f.announce()
	return f
}

// start starts an engine. The lock is held.
func (f *engineFleet) start() {
	f.started++
	e := &fleetEngine{id: fmt.Sprint("i", f.started)}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(e, w, r) }))
	f.engines = append(f.engines, e)
}

// announce passes the engines to the proxies. The lock is held.
func (f *engineFleet) announce() {
	for _, p := range f.proxies {
		var known []*registry.Record
		for _, e := range f.engines {
			known = append(known, &registry.Record{ReceivedAt: time.Now(), Announcement: registry.Announcement{Server: e.id, Service: "s",
				Address: strings.TrimPrefix(e.URL, "http://"), DataCentre: "z", Slots: 8}})
		}
		p.withDispatcher(func(now time.Time, d *dispatch.Dispatcher) { d.SetServers(now, known) })
	}
}

func (f *engineFleet) serve(e *fleetEngine, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSeal, "seal")
	if r.URL.Path == harmfulPath && !f.fixed.Load() {
		time.Sleep(time.Duration(f.crashAfter.Load()))
		f.end(e)
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == unluckyPath && f.endCount() == 0 {
		go f.end(e)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == lateHarmfulPath || strings.Contains(r.Header.Get(platform.HeaderPrompt), lateHarmfulPart) {
		last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
		events(w, last+1, last+1)
		time.Sleep(20 * time.Millisecond)
		f.end(e)
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/safe/") {
		_, _ = io.WriteString(w, "ok")
		return
	}
	if !strings.Contains(r.Header.Get(platform.HeaderPrompt), harmfulPart) {
		if strings.Contains(r.Header.Get(platform.HeaderPrompt), "slow") {
			f.reading.Add(1)
			<-r.Context().Done() // still reads its prompt when the engine ends
			return
		}
		events(w, 1, 3)
		return
	}
	_ = http.NewResponseController(w).Flush()
	f.end(e)
	panic(http.ErrAbortHandler)
}

// end ends an engine, and starts another one.
func (f *engineFleet) end(e *fleetEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends++
	for i, other := range f.engines {
		if other == e {
			f.engines = append(f.engines[:i], f.engines[i+1:]...)
			break
		}
	}
	_ = e.Listener.Close() // from here on, connections are refused
	go e.CloseClientConnections()
	f.start()
	f.announce()
}

func (f *engineFleet) endCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends
}

// prompt returns the header of a request with the given shared parts, and a part of its own.
func prompt(n int, parts ...string) []string {
	text := ""
	for _, part := range parts {
		text += part + ":100,"
	}
	return []string{platform.HeaderPrompt, fmt.Sprintf("%sffff%d:30", text, n), platform.HeaderRequestID, fmt.Sprint("r", n)}
}

// Guards against requests with one part of a prompt, under which engine after engine has ended, being sent on: engines end
// twice at most, requests that share caller and other parts are served, and those refused are told when to come back.
func TestRequestsWithAPartThatEndsEnginesAreRefused(t *testing.T) {
	is := is.New(t)
	proxy, url := startProxy(t)
	f := startEngineFleet(t, 6, proxy)
	refused := 0
	for n := range 12 {
		status, header, _, _ := send(t, url, "/stream/x", prompt(2*n, "a0", harmfulPart)...)
		if status == http.StatusServiceUnavailable {
			refused++
			is.True(header.Get(platform.HeaderRetryAfter) != "")
		}
		time.Sleep(300 * time.Millisecond) // the engine that ended is no longer avoided, and another one has been announced
		status, _, body, err := send(t, url, "/stream/x", prompt(2*n+1, "a0", "c0")...)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, eventsText(1, 3))
		time.Sleep(300 * time.Millisecond)
	}
	is.True(f.endCount() <= 4) // those within a second of each other count once
	is.True(refused >= 8)
}

// relaySession is a session with a control instance that passes what it gets on to the other entry instances, and grants permits.
type relaySession struct {
	transport.Session
	from    *Proxy
	all     *[]*Proxy
	granter *relayGranter
}

// relayGranter grants permits for all servers whose limits it was told, and for one trial.
type relayGranter struct {
	mu     sync.Mutex
	limits map[string]grants.Limit
	grants *grants.Granter
	trials *grants.Granter
}

func (s *relaySession) Peer() protocol.Hello { return protocol.Hello{Instance: "control"} }

func (s *relaySession) Send(m protocol.Message) error {
	switch m := m.(type) {
	case *protocol.PromptParts:
	case *protocol.ServerLimits:
		s.granter.mu.Lock()
		for _, l := range m.Limits {
			s.granter.limits[l.Server] = grants.Limit{Server: l.Server, RequestsPerSecond: l.RequestsPerSecond}
		}
		s.granter.mu.Unlock()
	case *protocol.PermitRequest:
		s.granter.mu.Lock()
		defer s.granter.mu.Unlock()
		g := s.granter.grants
		if quarantine.IsTrial(m.Service) {
			if s.granter.trials == nil {
				s.granter.trials = grants.NewTrials(time.Now(), m.Service, 1)
			}
			g = s.granter.trials
		} else {
			g.Update(time.Now(), slices.Collect(maps.Values(s.granter.limits)))
		}
		servers, retryAfter := g.Grant(time.Now(), m.Wanted)
		go s.from.MessageReceived(s, &protocol.Permits{Service: m.Service, Servers: servers, RetryAfterMS: retryAfter.Milliseconds()})
		return nil
	default:
		return nil
	}
	for _, p := range *s.all {
		if p != s.from {
			p.MessageReceived(nil, m)
		}
	}
	return nil
}

// startRelayedProxies starts entry instances that tell each other of parts of prompts and of limits of servers.
func startRelayedProxies(t *testing.T, n int) (proxies []*Proxy, urls []string) {
	for range n {
		p, url := startProxy(t)
		proxies, urls = append(proxies, p), append(urls, url)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	granter := &relayGranter{limits: map[string]grants.Limit{}, grants: grants.New()}
	for _, p := range proxies {
		running.Go(func() { p.run(ctx) })
		session := &relaySession{from: p, all: &proxies, granter: granter}
		p.SessionOpened(session)
		p.MessageReceived(session, &protocol.ControlInstances{EntryInstances: n})
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return proxies, urls
}

// Guards against entry instances that each have to see the engines end themselves: requests with the part come at any of them.
func TestEntryInstancesTellEachOtherOfPartsThatEndEngines(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 4)
	f := startEngineFleet(t, 8, proxies...)
	for n := range 12 {
		_, _, _, _ = send(t, urls[n%4], "/stream/x", prompt(100+n, "a0", harmfulPart)...)
		time.Sleep(500 * time.Millisecond)
		for i := range urls {
			_, _, body, err := send(t, urls[i], "/stream/x", prompt(10*n+i, "a0", "c0")...)
			is.NoErr(err)
			is.Equal(body, eventsText(1, 3))
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.True(f.endCount() <= 4)
	for _, p := range proxies {
		refusal := func(parts ...string) *dispatch.Refusal {
			return p.quarantineRefusal(&call{service: "s", promptParts: parts, parts: func() []string { return parts }})
		}
		is.True(refusal("a0", harmfulPart) != nil)
		is.True(refusal("a0", "c0") == nil)
	}
}

// Guards against a request that ends each server which begins to run it, comes again at any entry instance and is sent on each time:
// four servers end at most, and requests of the same caller to the same servers are served.
func TestRequestThatEndsServersIsRefused(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 4)
	f := startEngineFleet(t, 6, proxies...)
	refused := 0
	for n := range 12 {
		status, header, _, _ := send(t, urls[n%4], harmfulPath)
		if status == http.StatusServiceUnavailable {
			refused++
			is.True(header.Get(platform.HeaderRetryAfter) != "")
		}
		time.Sleep(300 * time.Millisecond) // the server that ended is no longer avoided, and another one has been announced
		for i := range urls {
			status, _, body, err := send(t, urls[i], fmt.Sprint("/safe/ok", n))
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "ok")
		}
	}
	is.True(f.endCount() <= 4)
	is.True(refused >= 8)
}

// Guards against requests that are sent on without end since they crash their servers after the first event: that event was taken for
// the proof that the request, or the part of its prompt, is sound. Each client attempt ends two servers, as the stream is resumed.
func TestRequestsThatEndServersAfterTheirFirstEventAreRefused(t *testing.T) {
	for _, harmful := range []struct{ path, part string }{{lateHarmfulPath, "own0"}, {"/stream/x", lateHarmfulPart}} {
		is := is.New(t)
		proxies, urls := startRelayedProxies(t, 2)
		f := startEngineFleet(t, 6, proxies...)
		refused := 0
		for n := range 10 {
			status, header, _, _ := send(t, urls[n%2], harmful.path, prompt(1, "a0", harmful.part)...)
			if status == http.StatusServiceUnavailable {
				refused++
				is.True(header.Get(platform.HeaderRetryAfter) != "")
			}
			time.Sleep(300 * time.Millisecond) // the server that ended is no longer avoided, and another one has been announced
			status, _, body, err := send(t, urls[n%2], "/stream/x", prompt(100+n, "a0", "c0")...)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, eventsText(1, 3))
			time.Sleep(300 * time.Millisecond)
		}
		is.True(f.endCount() <= 6)
		is.True(refused >= 6)
	}
}

// Guards against copies of a request that come at all entry instances at once, after copies that were open together have ended their
// servers: these ends may have a common cause, so the request is not in quarantine, and each copy would end another server. Once an answer
// to one has begun, all are served.
func TestCopiesOfASuspectedRequestAreSentOneAtATime(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 4)
	f := startEngineFleet(t, 12, proxies...)
	f.crashAfter.Store(int64(100 * time.Millisecond))
	sendCopies := func(n int) (statuses []int) {
		var sending sync.WaitGroup
		statuses = make([]int, n)
		for i := range n {
			sending.Go(func() {
				status, header, _, _ := send(t, urls[i%4], harmfulPath)
				if statuses[i] = status; status == http.StatusServiceUnavailable && header.Get(platform.HeaderRetryAfter) == "" {
					t.Error("refused without a Retry-After")
				}
			})
		}
		sending.Wait()
		return statuses
	}
	sendCopies(8)
	first := f.endCount()
	is.True(first >= 3)
	time.Sleep(1200 * time.Millisecond)
	statuses := sendCopies(12)
	is.True(f.endCount()-first <= 3)
	is.True(slices.Contains(statuses, http.StatusServiceUnavailable))
}

// Guards against requests with a part under which engines end that come many a second: ends within a second of each other count as one,
// so that each would end an engine until then.
func TestRequestsWithASuspectedPartAreSentOneAtATime(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 4)
	f := startEngineFleet(t, 12, proxies...)
	for _, p := range proxies {
		for n := range 400 {
			p.parts.recordRequest(&call{arrived: time.Now(), service: "s", promptParts: []string{"a0", fmt.Sprint("own", n)}})
		}
	}
	refused := 0
	for n := range 40 {
		status, header, _, _ := send(t, urls[n%4], "/stream/x", prompt(n, "a0", harmfulPart)...)
		if status == http.StatusServiceUnavailable {
			refused++
			is.True(header.Get(platform.HeaderRetryAfter) != "")
		}
		status, _, body, err := send(t, urls[n%4], "/stream/x", prompt(100+n, "a0", fmt.Sprint("c", n))...)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, eventsText(1, 3))
		time.Sleep(30 * time.Millisecond)
	}
	is.True(f.endCount() <= 5)
	is.True(refused >= 30)
}

// Guards against a sound request that is refused for long because its copies were open at servers that ended together.
func TestSuspectedRequestIsServedOnceItIsAnswered(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 2)
	f := startEngineFleet(t, 4, proxies...)
	f.fixed.Store(true)
	part := harmfulRequest(proxies[0])[0]
	for _, p := range proxies {
		p.MessageReceived(nil, &protocol.PromptParts{Service: "s", Suspected: []protocol.PartSuspicion{{Part: part, Ends: 1, UnansweredEnds: 1,
			Engines: []quarantine.Engine{{Server: "x"}, {Server: "y"}, {Server: "z"}}}}})
	}
	awaitSuspicions := func(suspected bool) {
		for _, p := range proxies {
			for {
				p.parts.mu.Lock()
				has := p.parts.tracker.HasSuspicions()
				p.parts.mu.Unlock()
				if has == suspected {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
	awaitSuspicions(true)
	for n := range 4 {
		status, _, _, err := send(t, urls[n%2], harmfulPath)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		awaitSuspicions(false)
	}
}

// Guards against a sound request that is refused while no control instance permits it.
func TestSuspectedRequestIsServedWhileNoControlInstanceAnswers(t *testing.T) {
	is := is.New(t)
	p, url := startProxy(t)
	running := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { defer close(running); p.run(ctx) }()
	defer func() { cancel(); <-running }()
	f := startEngineFleet(t, 2, p)
	f.fixed.Store(true)
	p.applyPromptParts(time.Now(), &protocol.PromptParts{Service: "s", Suspected: []protocol.PartSuspicion{{Part: harmfulRequest(p)[0], Ends: 1,
		UnansweredEnds: 1, Engines: []quarantine.Engine{{Server: "x"}, {Server: "y"}, {Server: "z"}}}}}, false)
	status, _, _, err := send(t, url, harmfulPath)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// Guards against a sound request that fails since it was open at a server which ended for another reason: it is sent on.
func TestSoundRequestIsSentOnWhenItsServerEnds(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 1)
	f := startEngineFleet(t, 3, proxies...)
	status, _, _, err := send(t, urls[0], unluckyPath)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(f.endCount(), 1)
}

// Guards against repeats that are not recognised, and against others that are taken for them: a digest depends on caller, method,
// target, body and key, and not on the identifier.
func TestDigestOfARequest(t *testing.T) {
	is := is.New(t)
	digest := func(key, organisation, method, target, id, body string) string {
		r := httptest.NewRequest(method, target, nil)
		r.RequestURI = target
		r.Header.Set(platform.HeaderRequestID, id)
		proxy := &Proxy{fleetState: &fleetState{config: Config{DigestKey: []byte(key)}}}
		return (&call{proxy: proxy, r: r, organisation: organisation, body: &intake.Body{Pieces: [][]byte{[]byte(body)}}}).digest()
	}
	base := digest("k", "o", "POST", "/safe/x?a=1", "r1", "body")
	is.Equal(digest("k", "o", "POST", "/safe/x?a=1", "r2", "body"), base)
	for _, other := range []string{digest("other", "o", "POST", "/safe/x?a=1", "r1", "body"), digest("k", "p", "POST", "/safe/x?a=1", "r1", "body"),
		digest("k", "o", "PUT", "/safe/x?a=1", "r1", "body"), digest("k", "o", "POST", "/safe/x?a=2", "r1", "body"), digest("k", "o", "POST", "/safe/x?a=1", "r1", "bodY")} {
		is.True(other != base)
	}
}

// Guards against a request that is sent to the next engine although its own prompt may have ended the first one, and against
// one that waits for an engine when a part of its prompt is quarantined: it would end that engine too.
func TestSuspectedRequestIsNotSentOn(t *testing.T) {
	is := is.New(t)
	proxies, urls := startRelayedProxies(t, 1)
	f := startEngineFleet(t, 4, proxies...)
	status, header, _, err := send(t, urls[0], "/stream/x", prompt(1, harmfulPart)...)
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway) // it may have run
	is.Equal(header.Get(platform.HeaderRetryAfter), "")
	is.Equal(f.endCount(), 1)
	statuses := make(chan int)
	go func() {
		status, _, _, _ := send(t, urls[0], "/stream/x", prompt(2, "slow", harmfulPart[:3])...)
		statuses <- status
	}()
	for f.reading.Load() == 0 { // before an engine has it, it would be refused as not run
		time.Sleep(time.Millisecond)
	}
	proxies[0].MessageReceived(nil, &protocol.PromptParts{Service: "s", Suspected: []protocol.PartSuspicion{{Part: harmfulPart[:3], Ends: 2,
		RemainingMS: 60_000, Quarantines: 1, Engines: []quarantine.Engine{{Server: "x"}, {Server: "y"}}}}})
	is.Equal(<-statuses, http.StatusBadGateway)
	is.Equal(f.endCount(), 1)
}

// Guards against a connection that breaks, or an engine that is out of reach, being taken for an engine that has ended.
func TestBrokenConnectionSuspectsNoPart(t *testing.T) {
	is := is.New(t)
	respond := func(w http.ResponseWriter, _ *http.Request, _ int) { abort(w) }
	proxy, url := startProxy(t, startBackend(t, respond), startBackend(t, respond))
	for n := range 4 {
		_, _, _, _ = send(t, url, "/stream/x", prompt(n, "p")...)
		time.Sleep(300 * time.Millisecond)
	}
	is.Equal(len(proxy.parts.tracker.Suspicions()), 0)
	is.Equal(len(proxy.parts.waiting), 0)
}

// Guards against callers who name so many or so long parts of their prompt that each end of an engine under them costs seconds of
// processor time, or messages that cannot be encoded or decoded.
func TestPartsOfAnyPromptAreBoundAndRelayed(t *testing.T) {
	const headerBytes = 60 << 10 // about what an entry instance accepts
	var many, long strings.Builder
	for i := 0; many.Len() < headerBytes; i++ {
		fmt.Fprintf(&many, "%x:,", i)
	}
	for i := 0; long.Len() < headerBytes; i++ {
		fmt.Fprintf(&long, "%d%s:1,", i, strings.Repeat("x", 1<<10))
	}
	for name, prompt := range map[string]string{"many": many.String() + "own:1", "long": long.String() + "own:1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, func(w http.ResponseWriter, _ *http.Request, _ int) {})
			proxy, _ := startProxy(t, b)
			r := httptest.NewRequest(http.MethodPost, "/stream/x", strings.NewReader("body"))
			r.Host = "h.example"
			r.Header.Set(platform.HeaderKey, "key")
			r.Header.Set(platform.HeaderPrompt, prompt)
			c := &call{proxy: proxy, w: httptest.NewRecorder(), r: r, view: proxy.view.Load(), arrived: time.Now()}
			is.True(c.admit())
			size := 0
			for _, part := range c.parts() {
				size += len(part)
			}
			is.True(len(c.parts()) <= quarantine.MaxPartsPerRequest+1) // and the request itself
			is.True(size <= headerBytes/8)
			tracker := quarantine.New()
			for engine := range 5 {
				m := &protocol.PromptParts{Service: "s", Ended: &protocol.EndedEngine{Server: fmt.Sprint("i", engine), StartedAtMillis: 1, Parts: c.parts()}}
				for _, m := range append(proxy.applyPromptParts(time.Now(), m, true), directory.EncodePromptParts(time.Now(), tracker.Suspicions())...) {
					frame, err := protocol.Encode(0, m)
					is.NoErr(err)
					_, decoded, err := protocol.Decode(frame)
					is.NoErr(err)
					directory.ApplyPromptParts(time.Now(), tracker, decoded.(*protocol.PromptParts))
				}
			}
			is.True(len(tracker.Suspicions()) > 0)
		})
	}
}
