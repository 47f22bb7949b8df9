package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func engine(n int) Engine { return Engine{Server: fmt.Sprint("i-", n), StartedAtMillis: 1} }

// end records an end of an engine and returns the parts that it puts into quarantine.
func end(t *Tracker, seconds float64, n int, parts ...string) []string {
	_, quarantined := t.RecordEnd(End{At: at(seconds), Service: "s", Engine: engine(n), Parts: parts})
	return quarantined
}

func answered(t *Tracker, seconds float64, parts ...string) { t.RecordAnswer(at(seconds), "s", parts) }

func quarantined(t *Tracker, seconds float64, parts ...string) string {
	return quarantinedAt(t, seconds, "s", parts...)
}

func quarantinedAt(t *Tracker, seconds float64, service string, parts ...string) string {
	part, _ := t.Quarantined(at(seconds), service, parts)
	return part
}

// Guards against requests with a part that ends each engine being sent to more and more engines.
func TestPartThatEndsEnginesIsQuarantined(t *testing.T) {
	is := is.New(t)
	tracker := New()
	is.Equal(len(end(tracker, 0, 1, "bad", "neighbour")), 0)
	answered(tracker, 3, "neighbour")
	is.Equal(end(tracker, 4, 2, "bad", "another"), []string{"bad"})
	is.Equal(quarantined(tracker, 5, "first", "bad"), "bad")
	is.Equal(quarantined(tracker, 5, "first", "neighbour", "another"), "")
	is.Equal(quarantined(tracker, 4+firstQuarantine.Seconds()-1, "bad"), "bad")
}

// Guards against parts that are quarantined since many engines end together: a data centre loses power, or a lock-step group
// ends as a whole.
func TestEnginesThatEndTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for n := range 12 {
		answered(tracker, float64(n)*0.05, "elsewhere")
		is.Equal(len(end(tracker, float64(n)*0.05+0.01, n, "p", "q")), 0)
	}
}

// Guards against parts that are quarantined, all of them in the end, since engines crash while none answers anything.
func TestEndsWithoutAnyAnswerBetweenCountOnce(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for n := range 40 {
		is.Equal(len(end(tracker, float64(n)*2, n, "p", "q")), 0)
	}
}

// Guards against engines that go on ending under one part while no answer of the service begins in between, as in a lock-step group
// that ends as soon as it has opened; and against the quarantine of parts that many requests have, which are open at each end
// anyway.
func TestRarePartIsQuarantinedThoughNothingIsAnswered(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for n := range 400 {
		tracker.RecordRequest(at(float64(n)*0.05), "s", []string{"system", fmt.Sprint("subject", n%40)})
	}
	tracker.RecordRequest(at(20), "s", []string{"system", "bad"})
	for n := range 8 {
		quarantined := end(tracker, 20+5*float64(n), n, "system", "bad", fmt.Sprint("subject", n))
		is.Equal(len(quarantined) > 0, n == endsToQuarantine+moreEndsUnanswered-1)
	}
	is.Equal(quarantined(tracker, 60, "system", "bad"), "bad")
	is.Equal(quarantined(tracker, 60, "system", "subject1", "subject2"), "")
}

// Guards against a harmful part that ends an engine with each request until the next sound answer, in a quiet hour or when most requests
// have it: that the part stands out among many requests, or that something is answered between the ends, cannot be waited for.
func TestPartIsQuarantinedInAQuietHour(t *testing.T) {
	for _, pause := range []float64{1.5, 60} { // seconds between the requests with the part
		for _, requests := range []int{0, 200} { // more of them, which have waited without being sent to an engine
			is := is.New(t)
			tracker := New()
			answered(tracker, 0, "shared")
			seconds, ends := 1.0, 0
			for ; ends < 20 && quarantined(tracker, seconds+1, "shared", "bad") == ""; ends++ {
				for range 1 + requests {
					tracker.RecordRequest(at(seconds), "s", []string{"shared", "bad"})
				}
				end(tracker, seconds, ends, "shared", "bad")
				if quarantined(tracker, seconds+1, "shared", "bad") == "" {
					seconds += pause
				}
			}
			is.Equal(ends, endsToQuarantine+moreEndsUnanswered)
			is.Equal(quarantined(tracker, seconds+1, "shared", "other"), "") // sound requests share the other part
			released := seconds + firstCommonQuarantine.Seconds() + 1
			is.Equal(quarantined(tracker, released, "shared", "bad"), "") // tried again after a minute
			tracker.Expire(at(released))
			end(tracker, released, ends, "shared", "bad")
			is.Equal(quarantined(tracker, released+2*firstCommonQuarantine.Seconds()-1, "bad"), "bad") // and one more end suffices
		}
	}
}

// Guards against a part that stays quarantined, or keeps its suspicion, although it was answered.
func TestAnswerLiftsAQuarantineOfAQuietHour(t *testing.T) {
	is := is.New(t)
	tracker := New()
	answered(tracker, 0, "elsewhere")
	for n := range endsToQuarantine + moreEndsUnanswered {
		end(tracker, 10+20*float64(n), n, "new")
	}
	is.Equal(quarantined(tracker, 60, "new"), "new")
	answered(tracker, 61, "new")
	is.Equal(quarantined(tracker, 62, "new"), "")
	for n := range 8 {
		is.Equal(len(end(tracker, 70+20*float64(n), 10+n, "new")), 0) // it was answered before
	}
}

// Guards against a report that counts twice: several entry instances see the same end, and each control instance relays it.
func TestRepeatedReportsOfAnEndCountOnce(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for n := range 8 {
		is.Equal(len(end(tracker, float64(n)*2, 1, "p")), 0)
		answered(tracker, float64(n)*2+1, "elsewhere")
	}
}

// Guards against sound parts that are quarantined with the one at fault, as their requests share prompts with it.
func TestPartsThatShareAPromptWithTheOneAtFaultAreCleared(t *testing.T) {
	is := is.New(t)
	tracker := New()
	answered(tracker, 0, "shared")
	for n := range 2 {
		end(tracker, 5+5*float64(n), n, "shared", "bad", fmt.Sprint("own", n))
		answered(tracker, 9+5*float64(n), "elsewhere") // no answer on the shared part
	}
	is.Equal(quarantined(tracker, 20, "bad"), "bad")
	for n := range 20 { // requests with the part that were on their way
		end(tracker, 20+5*float64(n), 10+n, "shared", "bad")
		answered(tracker, 21+5*float64(n), "elsewhere")
		is.Equal(quarantined(tracker, 22+5*float64(n), "shared", "own0", "own1"), "")
	}
}

// Guards against a sound part that is refused for as long as the one at fault, as all requests with either that were seen so
// far had both and no answer ever began on them.
func TestPartsSuspectedTogetherAreToldApart(t *testing.T) {
	is := is.New(t)
	suspected := func() *Tracker {
		tracker := New()
		end(tracker, 0, 1, "a", "b")
		answered(tracker, 1, "elsewhere")
		end(tracker, 2, 2, "a", "b")
		is.True(quarantined(tracker, 3, "a", "b") != "")
		is.Equal(quarantined(tracker, 3, "a", "own"), "")
		is.Equal(quarantined(tracker, 3, "b"), "")
		return tracker
	}
	tracker := suspected()
	answered(tracker, 4, "a")
	is.Equal(quarantined(tracker, 5, "a"), "")
	is.Equal(quarantined(tracker, 5, "b"), "b")
	tracker = suspected()
	is.Equal(end(tracker, 4, 3, "a", "c"), []string{"a"})
	is.Equal(quarantined(tracker, 5, "b", "c"), "")
	is.Equal(quarantined(tracker, 5, "a"), "a")
	started := New()
	for _, s := range suspected().Suspicions() {
		started.Merge(at(3), s)
	}
	is.Equal(quarantined(started, 4, "a"), "")
	is.True(quarantined(started, 4, "a", "b") != "")
	s, _ := tracker.Get("s", "a")
	news, _ := started.Merge(at(5), s)
	is.True(news)
	is.Equal(quarantined(started, 5, "a"), "a")
	is.Equal(quarantined(started, 5, "b"), "")
}

// Guards against a part that was sound and has become harmful, for instance with other weights, being sent on for ever.
func TestPartThatWasSoundIsQuarantinedAfterMoreEnds(t *testing.T) {
	is := is.New(t)
	tracker := New()
	answered(tracker, 0, "p")
	for n := range endsIfAnswered {
		answered(tracker, 9+float64(n)*10, "elsewhere")
		is.Equal(len(end(tracker, 10+float64(n)*10, n, "p")) > 0, n == endsIfAnswered-1)
	}
}

// Guards against a quarantine that outlives its cause, and against one that ends for good while the cause lasts: after each
// quarantine one end suffices for the next, which is longer.
func TestQuarantineEndsAndIsRenewed(t *testing.T) {
	is := is.New(t)
	tracker := New()
	end(tracker, 0, 0, "bad")
	answered(tracker, 1, "elsewhere")
	end(tracker, 2, 1, "bad")
	now, duration := 2.0, firstQuarantine.Seconds()
	for n := range 6 {
		is.Equal(quarantined(tracker, now+duration-1, "bad"), "bad")
		now += duration + 1
		is.Equal(len(tracker.Expire(at(now))), 1)
		is.Equal(quarantined(tracker, now, "bad"), "")
		answered(tracker, now, "elsewhere")
		is.Equal(end(tracker, now+1, 10+n, "bad"), []string{"bad"})
		now, duration = now+1, min(2*duration, maxQuarantine.Seconds())
	}
	now += duration + 1
	tracker.Expire(at(now))
	answered(tracker, now, "bad")
	is.Equal(len(tracker.Suspicions()), 0)
	is.True(tracker.IsSound(at(now), "s", []string{"bad"}))
}

// Guards against a part of one service that is refused for another one, and against suspicions without bound.
func TestPartsAreKeptByServiceAndBounded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for n := range 2 * maxParts {
		tracker.RecordEnd(End{At: at(float64(n)), Service: "s", Engine: engine(n), Parts: []string{fmt.Sprint(n)}})
		answered(tracker, float64(n), fmt.Sprint("sound", n))
	}
	is.Equal(len(tracker.Suspicions()), maxParts)
	is.True(len(tracker.sound)+len(tracker.soundBefore) <= 2*maxSound)
	end(tracker, 20000, 1, "p")
	answered(tracker, 20001, "elsewhere")
	end(tracker, 20002, 2, "p")
	is.Equal(quarantined(tracker, 20003, "p"), "p")
	var many []string
	for n := range 2 * maxParts {
		many = append(many, fmt.Sprint("many", n))
	}
	end(tracker, 20003, 3, many...)
	is.Equal(len(tracker.Suspicions()), maxParts)
	is.Equal(quarantined(tracker, 20003, "p"), "p")
	part, _ := tracker.Quarantined(at(20003), "other", []string{"p"})
	is.Equal(part, "")
	tracker.Expire(at(40000)) // ends the quarantine
	tracker.Expire(at(40000))
	is.Equal(len(tracker.Suspicions()), 0)
}

// Guards against a started process that does not know what the others have found out.
func TestStartedProcessTakesOverSuspicions(t *testing.T) {
	is := is.New(t)
	old, started := New(), New()
	end(old, 0, 1, "bad")
	end(old, 0, 1, "half")
	answered(old, 1, "elsewhere")
	end(old, 2, 2, "bad")
	for _, s := range old.Suspicions() {
		news, _ := started.Merge(at(3), s)
		is.True(news)
		news, _ = started.Merge(at(3), s)
		is.True(!news)
	}
	is.Equal(quarantined(started, 4, "bad"), "bad")
	is.Equal(quarantined(started, 4, "half"), "")
	lifted := started.RecordAnswer(at(5), "s", []string{"bad"})
	is.Equal(len(lifted), 1)
	is.Equal(lifted[0].Part, "bad")
	news, inForce := started.Merge(at(6), old.Suspicions()[0])
	is.True(!news && !inForce) // older than the answer
}

// Guards against ends that do not add up where the instances that saw them were cut off from each other meanwhile, and against
// ends that both know being added up.
func TestEndsSeenOnBothSidesOfACutAddUp(t *testing.T) {
	is := is.New(t)
	left, right := New(), New()
	end(left, 0, 1, "bad")
	answered(left, 1, "elsewhere")
	answered(right, 1, "elsewhere")
	end(right, 4, 2, "bad")
	s, _ := left.Get("s", "bad")
	_, inForce := right.Merge(at(5), s)
	is.True(inForce)
	is.Equal(quarantined(right, 6, "bad"), "bad")

	left, right = New(), New()
	for _, tracker := range []*Tracker{left, right} {
		end(tracker, 0, 1, "bad")
		answered(tracker, 1, "elsewhere")
	}
	s, _ = left.Get("s", "bad")
	_, inForce = right.Merge(at(5), s)
	is.True(!inForce)
}

// fleet is a model of entry instances whose requests share the engines of a service. Reports reach the other instances late,
// in any order, and some twice.
type fleet struct {
	random    *rand.Rand
	instances []*Tracker
	pending   []report
	ends      int
	refused   int // sound requests that were refused
}

type report struct {
	due    float64
	to     int
	engine Engine
	at     float64
	parts  []string // of an end, or of an answer if engine is empty
}

func (f *fleet) broadcast(from int, now float64, e Engine, parts []string) {
	for to := range f.instances {
		for range 1 + f.random.IntN(2) {
			if to != from {
				f.pending = append(f.pending, report{now + f.random.Float64()*0.3, to, e, now, parts})
			}
		}
	}
}

func (f *fleet) deliver(now float64) {
	f.pending = slices.DeleteFunc(f.pending, func(r report) bool {
		if r.due > now {
			return false
		}
		if r.engine.Server == "" {
			f.instances[r.to].RecordAnswer(at(r.due), "s", r.parts)
		} else {
			f.instances[r.to].RecordEnd(End{At: at(r.at), Service: "s", Engine: r.engine, Parts: r.parts})
		}
		return true
	})
}

// Guards against a harmful part that ends more than five engines, and against sound parts that are refused: through kills that
// have nothing to do with it, engines that end together, and reports that are late, repeated and in any order.
func TestFleetFindsTheHarmfulPart(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), instances: make([]*Tracker, 2+int(seed%9))}
		for i := range f.instances {
			f.instances[i] = New()
		}
		sound := 0
		closedUntil, engines := 0.0, 0
		for now := 0.0; now < 120; now += 0.05 {
			f.deliver(now)
			i := f.random.IntN(len(f.instances))
			parts := []string{"first", fmt.Sprint("subject", int(40*f.random.Float64()*f.random.Float64()))}
			harmful := now > 10 && f.random.IntN(80) == 0
			if harmful {
				parts = append(parts, "bad")
			}
			if part := quarantined(f.instances[i], now, parts...); part != "" || now < closedUntil {
				if part != "" && !harmful {
					f.refused++
				}
				continue
			}
			if !harmful && f.random.IntN(400) > 0 { // else it is killed by accident
				sound++
				if lifted := f.instances[i].RecordAnswer(at(now), "s", parts); len(lifted) > 0 {
					var sound []string
					for _, s := range lifted {
						sound = append(sound, s.Part)
					}
					f.broadcast(i, now, Engine{}, sound)
				}
				continue
			}
			engines++
			if harmful {
				f.ends++
				parts = append(parts, fmt.Sprint("subject", f.random.IntN(40))) // of a neighbour at the same engine
			}
			e := engine(engines)
			if news, _ := f.instances[i].RecordEnd(End{At: at(now), Service: "s", Engine: e, Parts: parts}); len(news) > 0 {
				f.broadcast(i, now, e, news)
			}
			if seed%2 == 0 {
				closedUntil = now + 4 // one lock-step group
			}
		}
		is.True(f.ends >= 2)
		if f.ends > 5 {
			t.Fatalf("seed %d: %d engines ended", seed, f.ends)
		}
		if f.refused*100 > sound {
			t.Fatalf("seed %d: %d sound requests refused, %d answered", seed, f.refused, sound)
		}
	}
}
