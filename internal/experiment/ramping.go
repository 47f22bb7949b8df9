package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/limits"
)

// Parameters of the simulated server. It warms up while it serves requests, its time to first token rises steeply near
// its capacity, and it crashes when the load stays above rampOverloadRatio of the capacity for rampOverloadTolerance.
const (
	rampTick              = 20 * time.Millisecond
	rampDuration          = 10 * time.Minute
	rampWarmRequests      = 64 // concurrent requests that the warm server can serve
	rampColdRequests      = 6  // concurrent requests that the cold server can serve
	rampFirstToken        = 250 * time.Millisecond
	rampSteepness         = 2.4 // at capacity, the time to first token is 1+rampSteepness times rampFirstToken
	rampOverloadRatio     = 1.3 // load relative to the capacity above which the server is overloaded
	rampOverloadTolerance = 5 * time.Second
	rampRestartTime       = 5 * time.Second
	rampDecodeTime        = 4 * time.Second // mean, from the first token to the end
	rampLongPromptRatio   = 0.01            // share of requests with three times the time to first token
	rampRateWindow        = 10 * time.Second
	rampDrainTime         = 15 * time.Second // from the end of the load until all requests in flight have ended
)

// rampStart is the start of virtual time.
var rampStart = time.Unix(1_700_000_000, 0)

// rampCase is one scenario.
type rampCase struct {
	name               string
	announcedCapacity  int           // concurrent requests
	warmUp             time.Duration // time under load until the server is warm
	coldAt             time.Duration // when the warm server becomes cold without notice, 0 if never
	failureRatio       float64       // share of requests that fail independently of the load
	idleTime           time.Duration // time without load before the server becomes cold
	constantFirstToken bool          // the time to first token does not rise under load, so that nothing precedes a crash
}

var rampCases = []rampCase{
	{name: "cold start, announces what it bears", announcedCapacity: rampWarmRequests, warmUp: time.Minute},
	{name: "cold start, announces ten times what it bears", announcedCapacity: 10 * rampWarmRequests, warmUp: time.Minute},
	{name: "slow cold start", announcedCapacity: rampWarmRequests, warmUp: 4 * time.Minute},
	{name: "turns cold after 3 minutes without warning", announcedCapacity: rampWarmRequests, warmUp: 30 * time.Second, coldAt: 3 * time.Minute},
	{name: "one request in 500 fails by itself", announcedCapacity: rampWarmRequests, warmUp: time.Minute, failureRatio: 0.002},
	{name: "idle for 30 minutes after 3 minutes, then cold", announcedCapacity: rampWarmRequests, warmUp: time.Minute, coldAt: 3 * time.Minute, idleTime: 30 * time.Minute},
	{name: "dies without a slower first token", announcedCapacity: rampWarmRequests, warmUp: time.Minute, constantFirstToken: true},
}

// admission is an admission policy for one server.
type admission interface {
	admit(now time.Time) (limits.Ticket, bool)
	firstToken(now time.Time, t *limits.Ticket, d time.Duration)
	finished(now time.Time, t *limits.Ticket, o limits.Outcome)
	reset(now time.Time, incarnation fleet.Incarnation)
}

// Ramping compares the adaptive concurrency limit with a fixed ramp and no ramp at a server that crashes under full load
// while it is cold. The offered load is unlimited: a refused request is replaced at once.
func Ramping() Experiment {
	return Experiment{Name: "ramping", Run: func(seed uint64) []Result {
		var results []Result
		for _, c := range rampCases {
			results = append(results, compareRamp(c, seed))
		}
		return results
	}}
}

func compareRamp(c rampCase, seed uint64) Result {
	result := Result{
		Name: "ramping",
		Load: fmt.Sprintf("%s; warm server bears %d, cold %d, warm-up %s, unlimited load for %s", c.name, rampWarmRequests, rampColdRequests, c.warmUp, rampDuration),
		Seed: seed,
		Columns: []string{"requests failed", "deaths", "time to full rate (s), -1 never", "highest in flight over bearable",
			"answers/s", "first token p95 (ms)"},
	}
	policies := []struct {
		name      string
		admission admission
	}{
		{"banyanfront", &adaptiveLimit{limits.New(limits.Config{Capacity: c.announcedCapacity}, rampStart, 1)}},
		{"fixed ramp of 60 s", &fixedRamp{announcedCapacity: c.announcedCapacity, rampTime: time.Minute, startedAt: rampStart}},
		{"no ramp", &fixedRamp{announcedCapacity: c.announcedCapacity, startedAt: rampStart}},
	}
	for _, p := range policies {
		result.Rows = append(result.Rows, Row{Policy: p.name, Values: runRamp(c, seed, p.admission)})
	}
	return result
}

// runRamp runs one scenario with one admission policy and returns the figures.
func runRamp(c rampCase, seed uint64, a admission) []float64 {
	run := rampRun{rampCase: c, admission: a, incarnation: 1, rng: rand.New(rand.NewPCG(seed, 1)), fullRateAt: -1}
	return run.run()
}

// adaptiveLimit adapts limits.Limiter, the limiter of the system.
type adaptiveLimit struct{ *limits.Limiter }

func (l *adaptiveLimit) admit(now time.Time) (limits.Ticket, bool) {
	t, refusal := l.Admit(now)
	return t, refusal == limits.Admitted
}
func (l *adaptiveLimit) firstToken(now time.Time, t *limits.Ticket, d time.Duration) {
	l.FirstToken(now, t, d)
}
func (l *adaptiveLimit) finished(now time.Time, t *limits.Ticket, o limits.Outcome) {
	l.Finished(now, t, o, 0)
}
func (l *adaptiveLimit) reset(now time.Time, incarnation fleet.Incarnation) {
	l.Reset(now, incarnation)
}

// fixedRamp is a baseline: its limit grows linearly to the announced capacity after each start of the server.
type fixedRamp struct {
	announcedCapacity int
	rampTime          time.Duration // 0 for no ramp
	startedAt         time.Time
	inFlight          int
}

func (f *fixedRamp) admit(now time.Time) (limits.Ticket, bool) {
	limit := f.announcedCapacity
	if age := now.Sub(f.startedAt); age < f.rampTime {
		limit = max(int(float64(f.announcedCapacity)*float64(age)/float64(f.rampTime)), 1)
	}
	if f.inFlight >= limit {
		return limits.Ticket{}, false
	}
	f.inFlight++
	return limits.Ticket{}, true
}
func (f *fixedRamp) firstToken(time.Time, *limits.Ticket, time.Duration) {}
func (f *fixedRamp) finished(time.Time, *limits.Ticket, limits.Outcome)  { f.inFlight-- }
func (f *fixedRamp) reset(now time.Time, _ fleet.Incarnation)            { f.startedAt = now }

type rampRequest struct {
	ticket     limits.Ticket
	admitted   time.Duration
	firstToken time.Duration // time of the first token
	endsAt     time.Duration
	answered   bool
	fails      bool
}

type rampRun struct {
	rampCase
	admission   admission
	incarnation fleet.Incarnation
	rng         *rand.Rand

	now             time.Duration
	warmth          float64 // 0 cold, 1 warm
	overloadedSince time.Duration
	overloaded      bool
	downUntil       time.Duration
	inFlight        []*rampRequest
	answerTimes     []time.Duration // when the answers of the last rampRateWindow ended
	turnedCold      bool
	skippedTime     time.Duration // idle time that the simulation skipped

	failed, crashes, answers int
	fullRateAt               time.Duration
	highestLoadRatio         float64
	firstTokens              []time.Duration
}

func (r *rampRun) capacity() float64 {
	return rampColdRequests + (rampWarmRequests-rampColdRequests)*r.warmth
}

// clock returns the virtual time that is passed to the admission policy.
func (r *rampRun) clock() time.Time { return rampStart.Add(r.now + r.skippedTime) }

// run simulates the server in ticks and returns the figures.
func (r *rampRun) run() []float64 {
	for ; r.now < rampDuration; r.now += rampTick {
		if r.coldAt > 0 && r.now >= r.coldAt && !r.turnedCold {
			r.warmth, r.turnedCold, r.fullRateAt, r.skippedTime = 0, true, -1, r.idleTime
		}
		if r.now < r.downUntil {
			continue
		}
		r.reportProgress()
		for !r.loadPaused() && r.admitOne() {
		}
		r.updateServer()
	}
	timeToFullRate := -1.0
	if r.fullRateAt >= 0 {
		timeToFullRate = r.fullRateAt.Seconds()
		if r.turnedCold {
			timeToFullRate -= r.coldAt.Seconds()
		}
	}
	return []float64{float64(r.failed), float64(r.crashes), timeToFullRate, r.highestLoadRatio,
		float64(r.answers) / rampDuration.Seconds(), quantileMS(r.firstTokens, 0.95)}
}

// loadPaused reports whether the load has stopped ahead of the idle time.
func (r *rampRun) loadPaused() bool {
	return r.idleTime > 0 && r.now >= r.coldAt-rampDrainTime && r.now < r.coldAt
}

// admitOne starts one request if the admission policy admits it.
func (r *rampRun) admitOne() bool {
	ticket, ok := r.admission.admit(r.clock())
	if !ok {
		return false
	}
	q := &rampRequest{ticket: ticket, admitted: r.now, fails: r.rng.Float64() < r.failureRatio}
	loadRatio := float64(len(r.inFlight)+1) / r.capacity()
	if r.constantFirstToken {
		loadRatio = 0
	}
	wait := float64(rampFirstToken) * (1 + rampSteepness*min(loadRatio*loadRatio*loadRatio*loadRatio, 10)) * (0.85 + 0.3*r.rng.Float64())
	if r.rng.Float64() < rampLongPromptRatio {
		wait *= 3
	}
	q.firstToken = r.now + time.Duration(wait)
	q.endsAt = q.firstToken + time.Duration(float64(rampDecodeTime)*(0.5+r.rng.Float64()))
	r.inFlight = append(r.inFlight, q)
	return true
}

// reportProgress reports first tokens and completed requests to the admission policy.
func (r *rampRun) reportProgress() {
	now := r.clock()
	kept := r.inFlight[:0]
	for _, q := range r.inFlight {
		if !q.answered && r.now >= q.firstToken {
			q.answered = true
			r.firstTokens = append(r.firstTokens, q.firstToken-q.admitted)
			r.admission.firstToken(now, &q.ticket, q.firstToken-q.admitted)
		}
		switch {
		case r.now < q.endsAt:
			kept = append(kept, q)
		case q.fails:
			r.failed++
			r.admission.finished(now, &q.ticket, limits.Failed)
		default:
			r.answers++
			r.answerTimes = append(r.answerTimes, r.now)
			r.admission.finished(now, &q.ticket, limits.Done)
		}
	}
	r.inFlight = kept
	for len(r.answerTimes) > 0 && r.answerTimes[0] <= r.now-rampRateWindow {
		r.answerTimes = r.answerTimes[1:]
	}
	// At the full rate, a request takes the time to first token at capacity plus the mean decode time.
	fullRate := rampWarmRequests / (rampFirstToken.Seconds()*(1+rampSteepness) + rampDecodeTime.Seconds())
	if r.fullRateAt < 0 && float64(len(r.answerTimes)) >= 0.9*fullRate*rampRateWindow.Seconds() && (!r.turnedCold || r.now > r.coldAt+rampRateWindow) {
		r.fullRateAt = r.now
	}
}

// updateServer warms the server up, and crashes it after an overload of rampOverloadTolerance.
func (r *rampRun) updateServer() {
	if len(r.inFlight) > 0 {
		r.warmth = min(r.warmth+float64(rampTick)/float64(r.warmUp), 1)
	}
	loadRatio := float64(len(r.inFlight)) / r.capacity()
	r.highestLoadRatio = max(r.highestLoadRatio, loadRatio)
	if loadRatio <= rampOverloadRatio {
		r.overloaded = false
		return
	}
	if !r.overloaded {
		r.overloaded, r.overloadedSince = true, r.now
	}
	if r.now-r.overloadedSince < rampOverloadTolerance {
		return
	}
	now := r.clock()
	for _, q := range r.inFlight {
		r.admission.finished(now, &q.ticket, limits.Failed)
	}
	r.failed += len(r.inFlight)
	r.inFlight = nil
	r.crashes++
	r.incarnation++
	r.warmth, r.overloaded = 0, false
	r.downUntil = r.now + rampRestartTime
	r.admission.reset(now.Add(rampRestartTime), r.incarnation)
}
