package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/limits"
)

// Figures of the model server. It warms up by working, its time to first token rises steeply near what it bears, and it
// dies when it has had clearly more than that for a while.
const (
	rampTick       = 20 * time.Millisecond
	rampEnd        = 10 * time.Minute
	rampFull       = 64 // requests at a time that the warm server bears
	rampCold       = 6  // and the cold one
	rampFirstToken = 250 * time.Millisecond
	rampSteepness  = 2.4 // at what it bears, the first token takes 1+rampSteepness times as long
	rampOverload   = 1.3 // times what it bears is more than it stands
	rampStands     = 5 * time.Second
	rampDown       = 5 * time.Second
	rampWork       = 4 * time.Second // after the first token
	rampLongPrompt = 0.01            // share of requests whose first token takes three times as long
	rampWindow     = 10 * time.Second
	rampDrain      = 15 * time.Second // for the requests in flight to end when the load stops
)

// rampStart is the time at which each run starts.
var rampStart = time.Unix(1_700_000_000, 0)

// rampCase is one scenario.
type rampCase struct {
	name     string
	announce int           // announced capacity
	warmUp   time.Duration // work until the server is warm
	coldAt   time.Duration // when the warm server turns cold without warning, 0 if never
	failures float64       // share of requests that fail for reasons of their own
	idle     time.Duration // time without load before it turns cold
	silent   bool          // the time to first token does not rise before the server dies
}

var rampCases = []rampCase{
	{name: "cold start, announces what it bears", announce: rampFull, warmUp: time.Minute},
	{name: "cold start, announces ten times what it bears", announce: 10 * rampFull, warmUp: time.Minute},
	{name: "slow cold start", announce: rampFull, warmUp: 4 * time.Minute},
	{name: "turns cold after 3 minutes without warning", announce: rampFull, warmUp: 30 * time.Second, coldAt: 3 * time.Minute},
	{name: "one request in 500 fails by itself", announce: rampFull, warmUp: time.Minute, failures: 0.002},
	{name: "idle for 30 minutes after 3 minutes, then cold", announce: rampFull, warmUp: time.Minute, coldAt: 3 * time.Minute, idle: 30 * time.Minute},
	{name: "dies without a slower first token", announce: rampFull, warmUp: time.Minute, silent: true},
}

// admission is a way to decide how much a server gets.
type admission interface {
	admit(now time.Time) (limits.Ticket, bool)
	firstToken(now time.Time, t *limits.Ticket, d time.Duration)
	finished(now time.Time, t *limits.Ticket, o limits.Outcome)
	reset(now time.Time, boot fleet.Incarnation)
}

// Ramping compares the learned limit with a fixed ramp and no ramp at a server that falls over under full load while
// it is cold. The load is unlimited: a refused request is replaced at once.
func Ramping() Experiment {
	return Experiment{Name: "ramping", Run: func(seed uint64) []Result {
		var results []Result
		for _, c := range rampCases {
			results = append(results, rampCompare(c, seed))
		}
		return results
	}}
}

func rampCompare(c rampCase, seed uint64) Result {
	result := Result{
		Name: "ramping",
		Load: fmt.Sprintf("%s; warm server bears %d, cold %d, warm-up %s, unlimited load for %s", c.name, rampFull, rampCold, c.warmUp, rampEnd),
		Seed: seed,
		Columns: []string{"requests failed", "deaths", "time to full rate (s), -1 never", "highest in flight over bearable",
			"answers/s", "first token p95 (ms)"},
	}
	policies := []struct {
		name      string
		admission admission
	}{
		{"banyanfront", &learned{limits.New(limits.Config{Capacity: c.announce}, rampStart, 1)}},
		{"fixed ramp of 60 s", &fixedRamp{announce: c.announce, over: time.Minute, since: rampStart}},
		{"no ramp", &fixedRamp{announce: c.announce, since: rampStart}},
	}
	for _, p := range policies {
		result.Rows = append(result.Rows, Row{Policy: p.name, Values: rampPlay(c, seed, p.admission)})
	}
	return result
}

// rampPlay runs one scenario with one admission and returns the figures.
func rampPlay(c rampCase, seed uint64, a admission) []float64 {
	run := rampRun{rampCase: c, admission: a, boot: 1, rng: rand.New(rand.NewPCG(seed, 1)), fullAt: -1}
	return run.play()
}

// learned is the system's limiter.
type learned struct{ *limits.Limiter }

func (l *learned) admit(now time.Time) (limits.Ticket, bool) {
	t, refusal := l.Admit(now)
	return t, refusal == limits.Admitted
}
func (l *learned) firstToken(now time.Time, t *limits.Ticket, d time.Duration) {
	l.FirstToken(now, t, d)
}
func (l *learned) finished(now time.Time, t *limits.Ticket, o limits.Outcome) {
	l.Finished(now, t, o, 0)
}
func (l *learned) reset(now time.Time, boot fleet.Incarnation) { l.Reset(now, boot) }

// fixedRamp admits a share of the announced capacity that grows from the start of the server.
type fixedRamp struct {
	announce int
	over     time.Duration // 0 for no ramp
	since    time.Time
	inFlight int
}

func (f *fixedRamp) admit(now time.Time) (limits.Ticket, bool) {
	limit := f.announce
	if age := now.Sub(f.since); age < f.over {
		limit = max(int(float64(f.announce)*float64(age)/float64(f.over)), 1)
	}
	if f.inFlight >= limit {
		return limits.Ticket{}, false
	}
	f.inFlight++
	return limits.Ticket{}, true
}
func (f *fixedRamp) firstToken(time.Time, *limits.Ticket, time.Duration) {}
func (f *fixedRamp) finished(time.Time, *limits.Ticket, limits.Outcome)  { f.inFlight-- }
func (f *fixedRamp) reset(now time.Time, _ fleet.Incarnation)            { f.since = now }

type rampRequest struct {
	ticket     limits.Ticket
	admitted   time.Duration
	firstToken time.Duration // at
	end        time.Duration // at
	answered   bool
	fails      bool
}

type rampRun struct {
	rampCase
	admission admission
	boot      fleet.Incarnation
	rng       *rand.Rand

	now        time.Duration
	warmth     float64 // 0 cold, 1 warm
	overSince  time.Duration
	over       bool
	downTill   time.Duration
	inFlight   []*rampRequest
	done       []time.Duration // ends of answers within the last window
	turnedCold bool
	skipped    time.Duration // idle time that was skipped

	failed, deaths, answers int
	fullAt                  time.Duration
	highest                 float64
	firstTokens             []time.Duration
}

func (r *rampRun) bears() float64 { return rampCold + (rampFull-rampCold)*r.warmth }

// clock returns the time at which the admission sees an event.
func (r *rampRun) clock() time.Time { return rampStart.Add(r.now + r.skipped) }

// play runs the model in ticks and returns the figures.
func (r *rampRun) play() []float64 {
	for ; r.now < rampEnd; r.now += rampTick {
		if r.coldAt > 0 && r.now >= r.coldAt && !r.turnedCold {
			r.warmth, r.turnedCold, r.fullAt, r.skipped = 0, true, -1, r.idle
		}
		if r.now < r.downTill {
			continue
		}
		r.progress()
		for !r.stopped() && r.admitOne() {
		}
		r.wear()
	}
	full := -1.0
	if r.fullAt >= 0 {
		full = r.fullAt.Seconds()
		if r.turnedCold {
			full -= r.coldAt.Seconds()
		}
	}
	return []float64{float64(r.failed), float64(r.deaths), full, r.highest, float64(r.answers) / rampEnd.Seconds(),
		quantileMS(r.firstTokens, 0.95)}
}

// stopped reports whether the load has stopped before the idle time.
func (r *rampRun) stopped() bool {
	return r.idle > 0 && r.now >= r.coldAt-rampDrain && r.now < r.coldAt
}

// admitOne forwards one request if the admission allows it.
func (r *rampRun) admitOne() bool {
	ticket, ok := r.admission.admit(r.clock())
	if !ok {
		return false
	}
	q := &rampRequest{ticket: ticket, admitted: r.now, fails: r.rng.Float64() < r.failures}
	x := float64(len(r.inFlight)+1) / r.bears()
	if r.silent {
		x = 0
	}
	wait := float64(rampFirstToken) * (1 + rampSteepness*min(x*x*x*x, 10)) * (0.85 + 0.3*r.rng.Float64())
	if r.rng.Float64() < rampLongPrompt {
		wait *= 3
	}
	q.firstToken = r.now + time.Duration(wait)
	q.end = q.firstToken + time.Duration(float64(rampWork)*(0.5+r.rng.Float64()))
	r.inFlight = append(r.inFlight, q)
	return true
}

// progress reports first tokens and ends.
func (r *rampRun) progress() {
	now := r.clock()
	kept := r.inFlight[:0]
	for _, q := range r.inFlight {
		if !q.answered && r.now >= q.firstToken {
			q.answered = true
			r.firstTokens = append(r.firstTokens, q.firstToken-q.admitted)
			r.admission.firstToken(now, &q.ticket, q.firstToken-q.admitted)
		}
		switch {
		case r.now < q.end:
			kept = append(kept, q)
		case q.fails:
			r.failed++
			r.admission.finished(now, &q.ticket, limits.Failed)
		default:
			r.answers++
			r.done = append(r.done, r.now)
			r.admission.finished(now, &q.ticket, limits.Done)
		}
	}
	r.inFlight = kept
	for len(r.done) > 0 && r.done[0] <= r.now-rampWindow {
		r.done = r.done[1:]
	}
	// At full rate, each request takes the first token at the server's full load and the work after it.
	fullRate := rampFull / (rampFirstToken.Seconds()*(1+rampSteepness) + rampWork.Seconds())
	if r.fullAt < 0 && float64(len(r.done)) >= 0.9*fullRate*rampWindow.Seconds() && (!r.turnedCold || r.now > r.coldAt+rampWindow) {
		r.fullAt = r.now
	}
}

// wear warms the server up, and lets it die after too long an overload.
func (r *rampRun) wear() {
	if len(r.inFlight) > 0 {
		r.warmth = min(r.warmth+float64(rampTick)/float64(r.warmUp), 1)
	}
	x := float64(len(r.inFlight)) / r.bears()
	r.highest = max(r.highest, x)
	if x <= rampOverload {
		r.over = false
		return
	}
	if !r.over {
		r.over, r.overSince = true, r.now
	}
	if r.now-r.overSince < rampStands {
		return
	}
	now := r.clock()
	for _, q := range r.inFlight {
		r.admission.finished(now, &q.ticket, limits.Failed)
	}
	r.failed += len(r.inFlight)
	r.inFlight = nil
	r.deaths++
	r.boot++
	r.warmth, r.over = 0, false
	r.downTill = r.now + rampDown
	r.admission.reset(now.Add(rampDown), r.boot)
}
