package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

// brokenRules returns the rules of all violations in a ledger.
func brokenRules(l *ledger) string {
	var names []string
	for _, v := range l.violations {
		names = append(names, v.Rule)
	}
	return strings.Join(names, " ")
}

// Guards against a report that changes after it was made: timers and handlers of stand-ins may still record events then.
func TestReportIsACopy(t *testing.T) {
	is := is.New(t)
	f := &fleet{ledger: newLedger()}
	f.ledger.count("event")
	f.ledger.recordViolation("RULE", "first")
	report := f.report(nil)
	f.ledger.count("event")
	f.ledger.violations[0].Detail = "second"
	is.Equal(report.Counts["event"], 1)
	is.Equal(report.Violations[0].Detail, "first")
}

// Guards against checks of requests that cannot fail: each case violates one guarantee or narrowly meets it.
func TestRequestChecks(t *testing.T) {
	unsafe := newRoute("unsafe", "/unsafe/", plainService, routes.Unsafe)
	safe := newRoute("safe", "/safe/", plainService, routes.Safe)
	for _, c := range []struct {
		name   string
		record func(l *ledger)
		rules  string
	}{
		{"one run of an unsafe request", func(l *ledger) { recordRequest(l, &unsafe, 1, answered) }, ""},
		{"two runs of an unsafe request", func(l *ledger) { recordRequest(l, &unsafe, 2, answered) }, "TWICE"},
		{"two runs of a safe request", func(l *ledger) { recordRequest(l, &safe, 2, answered) }, ""},
		{"an unsafe request refused after its run", func(l *ledger) { recordRequest(l, &unsafe, 1, refused) }, "REFUSED"},
		{"an unsafe request failed after its run", func(l *ledger) { recordRequest(l, &unsafe, 1, failed) }, ""},
		{"an answer lost under faults", func(l *ledger) { l.enterPhase(underFaults); recordRequest(l, &safe, 1, cutOff) }, ""},
		{"an answer lost in a planned stop", func(l *ledger) { l.enterPhase(rollingRestart); recordRequest(l, &safe, 1, cutOff) }, "LOST"},
		{"a request that nobody sent", func(l *ledger) { l.recordArrival("x", "s-1")(true) }, "UNASKED"},
		{"more servers than the route allows", func(l *ledger) {
			for range maxOverAttempted + 1 {
				recordRequest(l, &safe, 3, answered)
			}
		}, "BUDGET"},
		{"work after the callers have left", func(l *ledger) {
			l.enterPhase(faultFree)
			for range 2 {
				r := recordRequest(l, &safe, 1, abandoned)
				r.lastWork = r.ended.Add(maxWorkAfterAbandon + time.Millisecond)
			}
		}, "GONE"},
		{"requests with a harmful part at engines, as many as allowed", func(l *ledger) { recordHarmful(l, maxLateArrivals, 2*stableWindow, faultFree) }, ""},
		{"more requests with a harmful part at engines", func(l *ledger) { recordHarmful(l, maxLateArrivals+1, 2*stableWindow, faultFree) }, "BUDGET"},
		{"requests with a harmful part soon after the ends", func(l *ledger) { recordHarmful(l, maxLateArrivals+1, stableWindow/2, rollingRestart) }, ""},
		{"requests with a harmful part under faults", func(l *ledger) { recordHarmful(l, maxLateArrivals+1, 2*stableWindow, underFaults) }, ""},
		{"requests with a harmful part at engines after the final fault", func(l *ledger) { recordHarmful(l, maxLateArrivals+1, 2*stableWindow, afterFinalFault) }, "BUDGET"},
		{"a harmful request at servers, as often as allowed", func(l *ledger) { recordHarmfulRequest(l, maxRequestEnds, maxLateArrivals) }, ""},
		{"a harmful request at servers more often", func(l *ledger) { recordHarmfulRequest(l, maxRequestEnds, maxLateArrivals+1) }, "BUDGET"},
		{"a harmful request at servers before the third end", func(l *ledger) { recordHarmfulRequest(l, maxRequestEnds-1, maxLateArrivals+1) }, ""},
		{"as many repeats as the budget allows", func(l *ledger) { recordRepeats(l, 14) }, ""},
		{"more repeats than the budget allows", func(l *ledger) { recordRepeats(l, 15) }, "BUDGET"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			c.record(l)
			l.checkRequests(0.2, 10, time.Minute)
			is.New(t).Equal(brokenRules(l), c.rules)
		})
	}
}

// recordRequest records a request with a number of runs at backend servers.
func recordRequest(l *ledger, route *routes.Route, runs int, o outcome) *request {
	r := &request{id: route.Name + time.Now().String(), route: route}
	l.recordSent(r)
	for range runs {
		l.recordArrival(r.id, "s-1")(true)
	}
	l.recordEnd(r, o, 0)
	return r
}

// recordHarmful records as many ends of engines as suffice, a time ago, and arrivals of requests with the part in a phase.
func recordHarmful(l *ledger, arrivals int, ago time.Duration, p phase) {
	l.addHarmfulPart()
	part := l.harmfulPartIn("a0:40," + l.harmfulPart() + ":50,own:30")
	for range maxHarmfulEnds {
		l.recordHarmfulEnd(part)
	}
	for i := range l.parts[0].ends {
		l.parts[0].ends[i] = l.parts[0].ends[i].Add(-ago)
	}
	l.enterPhase(p)
	for range arrivals {
		l.recordHarmfulArrival(part)
	}
}

// recordHarmfulRequest records ends of servers under a request, some time ago, and later arrivals without a fault.
func recordHarmfulRequest(l *ledger, ends, arrivals int) {
	l.addHarmfulRequest()
	for range ends {
		l.recordHarmfulEnd(harmfulRequest)
	}
	for i := range l.parts[0].ends {
		l.parts[0].ends[i] = l.parts[0].ends[i].Add(-2 * stableWindow)
	}
	l.enterPhase(rollingRestart)
	for range arrivals {
		l.recordHarmfulArrival(harmfulRequest)
	}
}

// recordRepeats records 20 requests, of which the first repeats reach a server twice.
func recordRepeats(l *ledger, repeats int) {
	safe := newRoute("safe", "/safe/", plainService, routes.Safe)
	for n := range 20 {
		runs := 1
		if n < repeats {
			runs = 2
		}
		recordRequest(l, &safe, runs, answered)
	}
}

// Guards against a check of expert maps that cannot fail: one rank switches to a map one step before the other.
func TestStepOnTwoMapsIsDetected(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	g := newGroup("g", 2, 1, l)
	for rank := range 2 {
		g.resetRank(rank)
	}
	now := time.Now()
	g.runStep(now)
	g.runStep(now.Add(formTime))
	is.True(g.open)
	g.addRequest()
	next := experts.RankLists{{{0, 2, 4, 6, 1}, {1, 3, 5, 7}}, {{0, 2, 4, 6}, {1, 3, 5, 7}}}
	for rank, r := range g.ranks {
		is.Equal(g.execute(experts.RankOrder{Operation: experts.OrderPrepare, Version: 2, Epoch: g.epoch, Map: next}, rank), experts.OrderAccepted)
		g.mu.Lock() // the copy that the order has begun ends later
		r.copyingVersion, r.preparedVersion, r.preparedLists = 0, 2, next
		g.mu.Unlock()
		is.Equal(g.execute(experts.RankOrder{Operation: experts.OrderArm, Version: 2, Step: g.step + 2, Epoch: g.epoch}, rank), experts.OrderAccepted)
	}
	g.runStep(now)
	g.runStep(now)
	is.Equal(brokenRules(l), "")
	is.Equal(g.ranks[1].mapVersion, uint64(2))
	for rank, r := range g.ranks {
		g.mu.Lock()
		r.preparedVersion, r.preparedLists = 4, initialMap(2)
		g.mu.Unlock()
		is.Equal(g.execute(experts.RankOrder{Operation: experts.OrderArm, Version: 4, Step: g.step + 1 + uint64(rank), Epoch: g.epoch}, rank),
			experts.OrderAccepted)
	}
	g.runStep(now)
	is.Equal(brokenRules(l), "MAP")
}

// Guards against a stand-in group that runs a held step, which would hide faults of map changes.
func TestHeldStepStopsTheGroup(t *testing.T) {
	is := is.New(t)
	g := newGroup("g", 2, 1, newLedger())
	for rank := range 2 {
		g.resetRank(rank)
	}
	now := time.Now()
	g.runStep(now)
	g.runStep(now.Add(formTime))
	g.addRequest()
	hold := experts.RankOrder{Operation: experts.OrderHold, Step: g.step + 1, Epoch: g.epoch}
	is.Equal(g.execute(hold, 1), experts.OrderAccepted)
	before := g.step
	g.runStep(now)
	is.Equal(g.step, before)
	hold.Operation = experts.OrderRelease
	is.Equal(g.execute(hold, 1), experts.OrderAccepted)
	g.runStep(now)
	is.Equal(g.step, before+1)
}

// entryAnswering returns an entry instance whose listener answers with the handler of a test.
func entryAnswering(t *testing.T, answer http.HandlerFunc) *instance {
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	return &instance{settings: platform.Settings{Instance: "entry-1", CallersListen: strings.TrimPrefix(server.URL, "http://")}}
}

// Guards against a caller that accepts a wrong answer as correct.
func TestCallerDetectsWrongAnswers(t *testing.T) {
	stream := newRoute("once", streamPrefix+"/once/", plainService, routes.Stream)
	plain := newRoute("unsafe", "/unsafe/", plainService, routes.Unsafe)
	events := func(id string, numbers ...int) string {
		text := ""
		for _, n := range numbers {
			text += streamEvent(id, n)
		}
		return text
	}
	for _, c := range []struct {
		name  string
		route *routes.Route
		body  func(id string) string
		rules string
	}{
		{"the right answer", &plain, func(id string) string { return plainAnswer(id, []byte("body of "+id)) }, ""},
		{"an answer to another request", &plain, func(string) string { return plainAnswer("other", []byte("body of other")) }, "MIXED"},
		{"half an answer", &plain, func(id string) string { return plainAnswer(id, nil)[:5] }, "MIXED"},
		{"the right stream", &stream, func(id string) string { return events(id, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12) }, ""},
		{"a missing event", &stream, func(id string) string { return events(id, 1, 3) }, "ORDER"},
		{"a doubled event", &stream, func(id string) string { return events(id, 1, 1) }, "ORDER"},
		{"an early end", &stream, func(id string) string { return events(id, 1, 2) }, "ORDER"},
		{"an event of another stream", &stream, func(id string) string { return events(id, 1) + events("other", 2) }, "ORDER"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			entry := entryAnswering(t, func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(platform.HeaderRequestID)
				w.Header().Set(platform.HeaderSeal, "seal-"+id)
				_, _ = io.WriteString(w, c.body(id))
			})
			(&caller{name: "c", random: rand.New(rand.NewPCG(1, 1)), ledger: l, routes: []*routes.Route{c.route}}).sendRequest(t.Context(), http.DefaultClient, entry)
			is.New(t).Equal(brokenRules(l), c.rules)
		})
	}
}

// Guards against an operator that does not detect an older configuration, a changed one, or a process that reverts to an
// older one.
func TestOperatorDetectsOlderConfigurations(t *testing.T) {
	is := is.New(t)
	servedVersion := uint64(3)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, err := platform.EncodeConfiguration(configuration(servedVersion))
		is.NoErr(err)
		_, _ = w.Write(body)
	}))
	defer control.Close()
	l := newLedger()
	hasRoute := true
	entry := entryAnswering(t, func(w http.ResponseWriter, r *http.Request) {
		if !hasRoute || !strings.HasPrefix(r.URL.Path, addedPath(3)) {
			w.WriteHeader(http.StatusNotFound)
		}
	})
	o := newOperator(1, l, []string{strings.TrimPrefix(control.URL, "http://")}, []*instance{entry})
	o.highestAcked, o.ackedAt[3] = 3, time.Now().Add(-time.Minute)
	is.Equal(o.readConfiguration(t.Context()), uint64(3))
	o.probe(t.Context(), entry)
	is.Equal(brokenRules(l), "")
	is.Equal(o.observed[entry.incarnation()].version, uint64(3))
	servedVersion = 2
	o.readConfiguration(t.Context())
	is.Equal(brokenRules(l), "CONFIG")
	is.True(o.awaitReadBack(t.Context(), changeRetryPause) != nil)

	l.violations = nil
	hasRoute = false
	o.observed[entry.incarnation()] = observedVersion{3, time.Now().Add(-time.Second)}
	o.probe(t.Context(), entry)
	is.Equal(brokenRules(l), "CONFIG")

	l.violations = nil
	delete(o.observed, entry.incarnation())
	o.ackedAt[3] = time.Now()
	o.probe(t.Context(), entry)
	is.Equal(brokenRules(l), "") // no version was observed for this incarnation, and the change may not have reached it yet
	o.ackedAt[3] = time.Now().Add(-time.Minute)
	o.probe(t.Context(), entry)
	is.Equal(brokenRules(l), "CONFIG") // whatever the phase
	l.violations = nil
	l.enterPhase(faultFree)
	o.probe(t.Context(), entry)
	is.Equal(brokenRules(l), "CONFIG")
}

// Guards against a limit for cold servers that no load can exceed.
func TestOverloadOfColdServerIsDetected(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	p, err := newProxy(netip.AddrPortFrom(netip.IPv4Unspecified(), 0).String(), "")
	is.NoErr(err)
	defer p.close()
	start := time.Now()
	s := &server{name: "s", ledger: l, proxy: p, incarnations: []*incarnation{{started: start}}}
	s.incarnations[0].server = s
	for range int(coldRequestsPerSecond*coldMultiplier) + coldSlackRequests {
		s.incarnations[0].arrivals = append(s.incarnations[0].arrivals, start)
	}
	s.checkRates()
	is.Equal(brokenRules(l), "")
	s.incarnations[0].arrivals = append(s.incarnations[0].arrivals, start)
	s.checkRates()
	is.Equal(brokenRules(l), "FAILBACK")
}

// withheldWait is how long a test waits for an answer that must not arrive.
const withheldWait = 50 * time.Millisecond

// Guards against a proxy that forwards data that it should withhold, or loses withheld data.
func TestProxyWithholdsAndResets(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	p, err := newProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer p.close()
	client := &http.Client{Transport: &http.Transport{}}
	ask := func(ctx context.Context) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.listener.Addr().String(), strings.NewReader("x"))
		is.NoErr(err)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		is.Equal(string(body), "ok")
		return err
	}
	is.NoErr(ask(t.Context()))
	for _, hold := range []func(*link){func(l *link) { l.withholdInbound = true }, func(l *link) { l.withholdOutbound = true }} {
		p.set(hold)
		done := make(chan error, 1)
		go func() { done <- ask(t.Context()) }()
		select {
		case <-done:
			t.Fatal("a withheld request was answered")
		case <-time.After(withheldWait):
		}
		p.set(func(l *link) { *l = link{} })
		is.NoErr(<-done)
	}
	p.reset()
	is.True(!p.healthySince(time.Now().Add(-time.Minute)))
}

// Guards against a violation of STOP that counts the time for which another fault suspended the process (seed 329 with 20 s
// of faults), and against a stop that is never too slow.
func TestPausesAddUp(t *testing.T) {
	is := is.New(t)
	var p pauses
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	is.Equal(p.total(at(5)), time.Duration(0))
	p.set(at(5), true)
	p.set(at(6), true) // a second fault of the same kind
	is.Equal(p.total(at(8)), 3*time.Second)
	p.set(at(9), false)
	p.set(at(10), false)
	is.Equal(p.total(at(20)), 4*time.Second)
}

// Guards against a check of LIMIT that cannot fail, and against one that counts requests of instances that were not told, were
// told just now or have started since.
func TestExceededLimitIsDetected(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	const tolerated = int(limitTolerance*4*serverLimit) + limitSlackRequests
	for _, c := range []struct {
		name      string
		told      time.Duration // before the arrivals
		startedAt time.Time     // of the instance, at the arrivals
		arrivals  int
		exceeded  bool
	}{
		{"as many as tolerated", 4 * time.Second, start, tolerated, false},
		{"one more", 4 * time.Second, start, tolerated + 1, true},
		{"soon after the first answer with the limit", stableWindow / 2, start, tolerated + 1, false},
		{"after a restart", 4 * time.Second, start.Add(time.Hour), tolerated + 1, false},
	} {
		var r limitRecord
		now := start.Add(time.Minute)
		header := http.Header{}
		r.name(header, "e", start, now.Add(-c.told))
		is.Equal(header.Get(platform.HeaderRateLimit), "4")
		for range c.arrivals {
			r.recordArrival("e", c.startedAt, now)
			r.recordArrival("other", start, now)
		}
		if _, exceeded := r.check(); exceeded != c.exceeded {
			t.Errorf("%s: exceeded is %v", c.name, exceeded)
		}
	}
}

// Guards against a proxy that closes its listener to open it again: the address may still be in use.
func TestProxyRefusesAndListensAgain(t *testing.T) {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = target.Close() }()
	p, err := newProxy("127.0.0.1:0", target.Addr().String())
	is.NoErr(err)
	defer p.close()
	for range 200 {
		is.NoErr(p.listen())
	}
	for range 3 {
		p.refuse()
		_, err = net.Dial("tcp", p.address)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.NoErr(p.listen())
		c, err := net.Dial("tcp", p.address)
		is.NoErr(err)
		is.NoErr(c.Close())
	}
}

// Guards against a soak that does not notice requests to a server that leaves or has asked for quiet, or that blames an instance which
// was restarted since, or was not told.
func TestUnheededWishesAreDetected(t *testing.T) {
	start := time.Now()
	l := newLedger()
	ids := 0
	from := func(entry string, startedAt time.Time, after time.Duration, o outcome) exchange {
		ids++
		r := &request{id: fmt.Sprint(ids), route: &routes.Route{}, entry: entry, sent: start.Add(after), ended: start.Add(after), outcome: o}
		l.requests[r.id] = r
		return exchange{request: r.id, entry: entry, entryStartedAt: startedAt, at: start.Add(after)}
	}
	check := func(told exchange, quiet bool, arrivals ...exchange) (late, mostInQuiet int) {
		var r wishRecord
		header := http.Header{}
		if quiet {
			r.askForQuiet(header, told)
		} else {
			r.sayLeaving(header, told)
		}
		is.New(t).Equal(len(header), 1)
		for _, a := range arrivals {
			r.recordArrival(a)
		}
		return r.check(l.passedOn)
	}
	is := is.New(t)
	late, _ := check(from("e", start, 0, answered), false, from("e", start, drainTime, answered), from("e", start, drainTime+time.Second, answered),
		from("other", start, drainTime+time.Second, answered), from("e", start.Add(1), drainTime+time.Second, answered))
	is.Equal(late, 1)
	late, _ = check(from("e", start, 0, cutOff), false, from("e", start, drainTime+time.Second, answered))
	is.Equal(late, 0) // the answer was not passed on
	_, most := check(from("e", start, 0, refused), true, from("e", start, quietNoticeTime-1, answered), from("e", start, quietNoticeTime, answered),
		from("e", start, quietTime-1, answered), from("e", start, quietTime, answered), from("other", start, quietNoticeTime, answered),
		from("e", start.Add(1), quietNoticeTime, answered))
	is.Equal(most, 2)
}
