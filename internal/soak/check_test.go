package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

// rules returns the rules that a ledger has seen broken.
func rules(l *ledger) string {
	var names []string
	for _, v := range l.violations {
		names = append(names, v.Rule)
	}
	return strings.Join(names, " ")
}

// Guards against checks of requests that cannot fail: each case breaks one promise, or just keeps it.
func TestRequestChecks(t *testing.T) {
	unsafe := route("unsafe", "/unsafe/", plainService, routes.Unsafe)
	safe := route("safe", "/safe/", plainService, routes.Safe)
	for _, c := range []struct {
		name  string
		play  func(l *ledger)
		rules string
	}{
		{"one run of an unsafe request", func(l *ledger) { played(l, &unsafe, 1, answered) }, ""},
		{"two runs of an unsafe request", func(l *ledger) { played(l, &unsafe, 2, answered) }, "TWICE"},
		{"two runs of a safe request", func(l *ledger) { played(l, &safe, 2, answered) }, ""},
		{"an unsafe request refused after its run", func(l *ledger) { played(l, &unsafe, 1, refused) }, "REFUSED"},
		{"an unsafe request failed after its run", func(l *ledger) { played(l, &unsafe, 1, failed) }, ""},
		{"an answer lost under faults", func(l *ledger) { l.enter(faults); played(l, &safe, 1, cutOff) }, ""},
		{"an answer lost in a planned stop", func(l *ledger) { l.enter(rolling); played(l, &safe, 1, cutOff) }, "LOST"},
		{"a request that nobody sent", func(l *ledger) { l.arrived("x", "s-1")(true) }, "UNASKED"},
		{"more servers than the route allows", func(l *ledger) {
			for range mostTried + 1 {
				played(l, &safe, 3, answered)
			}
		}, "BUDGET"},
		{"work after the callers have left", func(l *ledger) {
			l.enter(calm)
			for range 2 {
				r := played(l, &safe, 1, abandoned)
				r.lastWork = r.ended.Add(leftWorkBound + time.Millisecond)
			}
		}, "GONE"},
		{"as many repeats as the budget allows", func(l *ledger) { repeated(l, 14) }, ""},
		{"more repeats than the budget allows", func(l *ledger) { repeated(l, 15) }, "BUDGET"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			c.play(l)
			l.check(0.2, 10, time.Minute)
			is.New(t).Equal(rules(l), c.rules)
		})
	}
}

// played records a request with a number of runs, each on another server.
func played(l *ledger, route *routes.Route, runs int, o outcome) *request {
	r := &request{id: route.Name + time.Now().String(), route: route}
	l.sending(r)
	for range runs {
		l.arrived(r.id, "s-1")(true)
	}
	l.ending(r, o, 0)
	return r
}

// repeated records 20 requests, some of which reach a second server.
func repeated(l *ledger, repeats int) {
	safe := route("safe", "/safe/", plainService, routes.Safe)
	for n := range 20 {
		runs := 1
		if n < repeats {
			runs = 2
		}
		played(l, &safe, runs, answered)
	}
}

// Guards against a check of expert maps that cannot fail: one rank switches a pass before the other.
func TestPassOnTwoMapsIsSeen(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	g := newGroup("g", 2, 1, l)
	for rank := range 2 {
		g.restarted(rank)
	}
	now := time.Now()
	g.pass(now)
	g.pass(now.Add(formTime))
	is.True(g.open)
	g.enter()
	next := experts.RankLists{{{0, 2, 4, 6, 1}, {1, 3, 5, 7}}, {{0, 2, 4, 6}, {1, 3, 5, 7}}}
	for rank, r := range g.ranks {
		is.Equal(g.carryOut(experts.RankOrder{Operation: experts.OrderPrepare, Version: 2, Epoch: g.epoch, Map: next}, rank), experts.OrderAccepted)
		r.copying, r.prepared, r.preparedLists = 0, 2, next
		is.Equal(g.carryOut(experts.RankOrder{Operation: experts.OrderArm, Version: 2, Step: g.step + 2, Epoch: g.epoch}, rank), experts.OrderAccepted)
	}
	g.pass(now)
	g.pass(now)
	is.Equal(rules(l), "")
	is.Equal(g.ranks[1].inUse, uint64(2))
	for rank, r := range g.ranks {
		r.prepared, r.preparedLists = 4, firstMap(2)
		is.Equal(g.carryOut(experts.RankOrder{Operation: experts.OrderArm, Version: 4, Step: g.step + 1 + uint64(rank), Epoch: g.epoch}, rank),
			experts.OrderAccepted)
	}
	g.pass(now)
	is.Equal(rules(l), "MAP")
}

// Guards against a held step that does not keep the group from passing, which would hide a broken change of map.
func TestHeldStepKeepsTheGroup(t *testing.T) {
	is := is.New(t)
	g := newGroup("g", 2, 1, newLedger())
	for rank := range 2 {
		g.restarted(rank)
	}
	now := time.Now()
	g.pass(now)
	g.pass(now.Add(formTime))
	g.enter()
	hold := experts.RankOrder{Operation: experts.OrderHold, Step: g.step + 1, Epoch: g.epoch}
	is.Equal(g.carryOut(hold, 1), experts.OrderAccepted)
	before := g.step
	g.pass(now)
	is.Equal(g.step, before)
	hold.Operation = experts.OrderRelease
	is.Equal(g.carryOut(hold, 1), experts.OrderAccepted)
	g.pass(now)
	is.Equal(g.step, before+1)
}

// entryThat is a process whose listener answers as a test wants.
func entryThat(t *testing.T, answer http.HandlerFunc) *instance {
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	return &instance{settings: platform.Settings{Instance: "entry-1", CallersListen: strings.TrimPrefix(server.URL, "http://")}}
}

// Guards against a caller that takes a wrong answer for a right one.
func TestCallerSeesWrongAnswers(t *testing.T) {
	stream := route("once", streamPrefix+"/once/", plainService, routes.Stream)
	plain := route("unsafe", "/unsafe/", plainService, routes.Unsafe)
	events := func(id string, numbers ...int) string {
		text := ""
		for _, n := range numbers {
			text += eventOf(id, n)
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
			entry := entryThat(t, func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(platform.HeaderRequestID)
				w.Header().Set(platform.HeaderSeal, "seal-"+id)
				_, _ = io.WriteString(w, c.body(id))
			})
			(&caller{name: "c", random: rand.New(rand.NewPCG(1, 1)), ledger: l, routes: []*routes.Route{c.route}}).request(t.Context(), http.DefaultClient, entry)
			is.New(t).Equal(rules(l), c.rules)
		})
	}
}

// Guards against an operator that misses an older configuration, a changed one, or a process that goes back.
func TestOperatorSeesOlderConfigurations(t *testing.T) {
	is := is.New(t)
	shown := uint64(3)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, err := platform.EncodeConfiguration(configuration(shown))
		is.NoErr(err)
		_, _ = w.Write(body)
	}))
	defer control.Close()
	l := newLedger()
	known := true
	entry := entryThat(t, func(w http.ResponseWriter, r *http.Request) {
		if !known || !strings.HasPrefix(r.URL.Path, addedPath(3)) {
			w.WriteHeader(http.StatusNotFound)
		}
	})
	o := newOperator(1, l, []string{strings.TrimPrefix(control.URL, "http://")}, []*instance{entry})
	o.acked, o.ackedAt[3] = 3, time.Now().Add(-time.Minute)
	is.Equal(o.read(t.Context()), uint64(3))
	o.probe(t.Context(), entry)
	is.Equal(rules(l), "")
	is.Equal(o.seen[entry.life()].version, uint64(3))
	shown = 2
	o.read(t.Context())
	is.Equal(rules(l), "CONFIG")
	is.True(o.readBack(t.Context(), changeRetry) != nil)

	l.violations = nil
	known = false
	o.seen[entry.life()] = seen{3, time.Now().Add(-time.Second)}
	o.probe(t.Context(), entry)
	is.Equal(rules(l), "CONFIG")

	l.violations = nil
	delete(o.seen, entry.life())
	o.probe(t.Context(), entry)
	is.Equal(rules(l), "") // nothing is known of this life, and faults may keep it from learning
	l.enter(calm)
	o.probe(t.Context(), entry)
	is.Equal(rules(l), "CONFIG")
}

// Guards against a bound for cold servers that no load can pass.
func TestColdServerCountsItsRequests(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	p, err := newProxy(netip.AddrPortFrom(netip.IPv4Unspecified(), 0).String(), "")
	is.NoErr(err)
	defer p.close()
	begun := time.Now()
	s := &server{name: "s", ledger: l, proxy: p, lives: []*life{{born: begun}}}
	s.lives[0].server = s
	for range int(coldRate*coldMultiplier) + coldSlack {
		s.lives[0].arrivals = append(s.lives[0].arrivals, begun)
	}
	s.checkCold()
	is.Equal(rules(l), "")
	s.lives[0].arrivals = append(s.lives[0].arrivals, begun)
	s.checkCold()
	is.Equal(rules(l), "FAILBACK")
}

// withheldFor is how long a test waits for what must not come.
const withheldFor = 50 * time.Millisecond

// Guards against a proxy that passes what it should withhold, or loses what it withheld.
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
	for _, hold := range []func(*link){func(l *link) { l.holdTo = true }, func(l *link) { l.holdFrom = true }} {
		p.set(hold)
		done := make(chan error, 1)
		go func() { done <- ask(t.Context()) }()
		select {
		case <-done:
			t.Fatal("a withheld request was answered")
		case <-time.After(withheldFor):
		}
		p.set(func(l *link) { *l = link{} })
		is.NoErr(<-done)
	}
	p.reset()
	is.True(!p.soundSince(time.Now().Add(-time.Minute)))
}

// Guards against a process that counts as too slow to stop for the time in which another fault kept it from running (seed 329
// with 20 s of faults), and against one that is never too slow.
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
