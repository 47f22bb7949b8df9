// Command generate writes the traces of internal/trace/testdata, in which 5 s stand for an hour of real time.
//
// The outcomes come from docs/design.md: guarantees G3 and G6 (section 2), a time to first token of 1.1 s and an
// inter-token latency of 32 ms for 95 % (section 1), and recovery times (sections 5 to 7): 3 s for an election, 5 s for a
// silent connection.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/banyanfront/banyanfront/internal/trace"
)

const (
	seed               = 20
	hourMS             = 5_000
	firstTokenBoundMS  = 1100
	tokenIntervalMS    = 32
	latencyShare       = 0.95
	evacuationBoundMS  = 3000 // G3
	electionBoundMS    = 3000
	silenceTimeoutMS   = 5000 // until a silent session is closed
	longestRequestMS   = 3000 // few requests take longer: 1.1 s to the first token and 60 tokens of 32 ms
	organisationCount  = 10
	repeatedOrderRatio = 0.03 // of orders that are sent twice with the same key
	deadlineMS         = 30_000
)

//go:generate go run . ../testdata

func main() {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	for _, t := range All() {
		file, err := os.Create(filepath.Join(folder, t.Header.Name+".jsonl"))
		if err == nil {
			err = trace.Write(file, t)
		}
		if err == nil {
			err = file.Close()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// All returns the traces.
func All() []*trace.Trace {
	return []*trace.Trace{rosarioDay(), tengerinNight(), rosarioUnattended()}
}

// deployment describes one of the two deployments that the traces are generated for.
type deployment struct {
	model, service, orderPath string
	dataCentres               []string
	callerShares              []float64 // by data centre; they sum to 1
}

var (
	rosario  = deployment{"modelo-vidrio", "pedidos", "orders", []string{"rosario-norte", "rosario-sur", "santa-fe"}, []float64{0.5, 0.3, 0.2}}
	tengerin = deployment{"sutra-model", "lending-desk", "orders", []string{"ub-north", "ub-east", "ub-south"}, []float64{0.4, 0.35, 0.25}}
)

// fleet returns the current fleet: 12 engines, 3 plain services and 4 entry instances.
func (dep *deployment) fleet() []trace.DataCentre {
	var fleet []trace.DataCentre
	for d, name := range dep.dataCentres {
		entries := 1
		if d == 0 {
			entries = 2
		}
		fleet = append(fleet, trace.DataCentre{Name: name, EntryInstances: entries, Model: dep.model, Engines: 4, Service: dep.service, Services: 1})
	}
	return fleet
}

// addTraffic adds requests between two times. The request rate and the share of callers of each data centre are functions
// of progress, the elapsed part of that period from 0 to 1.
func (dep *deployment) addTraffic(t *trace.Trace, rng *rand.Rand, fromMS, toMS int64, requestsPerSecond func(progress float64) float64, shares func(progress float64) []float64) {
	for at := float64(fromMS); ; {
		progress := (at - float64(fromMS)) / float64(toMS-fromMS)
		at += rng.ExpFloat64() * 1000 / requestsPerSecond(progress)
		if at >= float64(toMS) {
			return
		}
		n := len(t.Requests)
		r := trace.Request{
			AtMS: int64(at), Organisation: fmt.Sprintf("org-%d", min(int(rng.ExpFloat64()*2.5), organisationCount-1)),
			DeadlineMS: deadlineMS, DataCentre: dep.dataCentres[pickWeighted(rng, shares(progress))],
		}
		switch kind := rng.Float64(); {
		case kind < 0.25:
			r.Target, r.Method, r.Path = dep.service, "POST", "/services/"+dep.service+"/"+dep.orderPath
			r.Key, r.PromptBytes = fmt.Sprintf("k%d", n), 100+rng.IntN(400)
		case kind < 0.4:
			r.Target, r.Method, r.Path = dep.service, "GET", "/services/"+dep.service+"/prices"
		default:
			r.Target, r.Method, r.Path = dep.model, "POST", "/v1/completions"
			r.Stream, r.PromptBytes, r.MaxTokens = rng.IntN(3) > 0, 200+rng.IntN(1500), 12+rng.IntN(48)
		}
		t.Requests = append(t.Requests, r)
		if r.Key != "" && rng.Float64() < repeatedOrderRatio {
			r.AtMS += rng.Int64N(2000)
			t.Requests = append(t.Requests, r)
		}
	}
}

func pickWeighted(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (t scenario) sorted() *trace.Trace {
	slices.SortStableFunc(t.Requests, func(a, b trace.Request) int { return int(a.AtMS - b.AtMS) })
	slices.SortStableFunc(t.Events, func(a, b trace.Event) int { return int(a.AtMS - b.AtMS) })
	return t.Trace
}

type scenario struct{ *trace.Trace }

func newScenario(name string, dep *deployment, outcomes ...trace.Outcome) scenario {
	outcomes = append([]trace.Outcome{
		{Kind: trace.NoLostRequests, Target: dep.service},
		{Kind: trace.NoDuplicateRuns, Target: dep.service},
	}, outcomes...)
	return scenario{&trace.Trace{Header: trace.Header{Version: trace.Version, Name: name, Fleet: dep.fleet()}, Outcomes: outcomes}}
}

// rosarioDay returns a day shift from 06:00 to 18:00. The largest data centre is evacuated at 12:00 and restored at 14:00.
func rosarioDay() *trace.Trace {
	dep := &rosario
	t := newScenario("rosario-day-shift", dep,
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.model, Share: 1},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.service, Share: 1},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.model, Share: latencyShare, WithinMS: firstTokenBoundMS + 60*tokenIntervalMS},
		trace.Outcome{Kind: trace.TimeToFirstToken, Target: dep.model, Share: latencyShare, WithinMS: firstTokenBoundMS},
		trace.Outcome{Kind: trace.InterTokenLatency, Target: dep.model, Share: latencyShare, WithinMS: tokenIntervalMS},
		trace.Outcome{Kind: trace.NoNewRequests, DataCentre: "rosario-norte", WithinMS: evacuationBoundMS},
	)
	t.Events = []trace.Event{
		{AtMS: 6 * hourMS, Kind: trace.Evacuate, DataCentre: "rosario-norte"},
		{AtMS: 8 * hourMS, Kind: trace.Restore, DataCentre: "rosario-norte"},
	}
	dep.addTraffic(t.Trace, rand.New(rand.NewPCG(seed, 1)), 0, 12*hourMS,
		func(progress float64) float64 { return 6 + 10*progress*(1-progress)*4*0.75 },
		func(float64) []float64 { return dep.callerShares })
	return t.sorted()
}

// tengerinNight returns a night from 20:00 to 08:00. The load shifts from one data centre to the others, one engine is
// slow for three hours, and a server is drained and started again.
func tengerinNight() *trace.Trace {
	dep := &tengerin
	t := newScenario("tengerin-night", dep,
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.model, Share: 1},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.service, Share: 1},
		trace.Outcome{Kind: trace.TimeToFirstToken, Target: dep.model, Share: latencyShare, WithinMS: firstTokenBoundMS},
		trace.Outcome{Kind: trace.InterTokenLatency, Target: dep.model, Share: latencyShare, WithinMS: tokenIntervalMS},
	)
	t.Events = []trace.Event{
		{AtMS: 3 * hourMS, Kind: trace.Slow, Server: "ub-east-sutra-model-2", Factor: 5},
		{AtMS: 6 * hourMS, Kind: trace.Slow, Server: "ub-east-sutra-model-2", Factor: 1},
		{AtMS: 7 * hourMS, Kind: trace.Drain, Server: "ub-south-sutra-model-1"},
		{AtMS: 9 * hourMS, Kind: trace.Up, Server: "ub-south-sutra-model-1"},
	}
	dep.addTraffic(t.Trace, rand.New(rand.NewPCG(seed, 2)), 0, 12*hourMS,
		func(progress float64) float64 { return 12 - 6*progress },
		func(progress float64) []float64 {
			return []float64{0.6 - 0.4*progress, 0.2 + 0.2*progress, 0.2 + 0.2*progress}
		})
	return t.sorted()
}

// rosarioUnattended returns a night with many faults and the morning after it.
func rosarioUnattended() *trace.Trace {
	const (
		crashMS, restartMS             = 10_000, 18_000
		partitionMS, healMS            = 24_000, 36_000
		silentMS                       = 44_000
		busyMS, coldMS, busyEndMS      = 52_000, 54_000, 56_000
		secondCrashMS, secondRestartMS = 62_000, 70_000
		thirdCrashMS, lastRestartMS    = 71_000, 78_000
		morningMS, endMS               = 76_000, 96_000
	)
	dep := &rosario
	around := func(at int64) trace.Window {
		return trace.Window{FromMS: at - longestRequestMS, ToMS: at + electionBoundMS}
	}
	except := []trace.Window{
		around(crashMS), around(secondCrashMS), around(thirdCrashMS),
		{FromMS: partitionMS - longestRequestMS, ToMS: partitionMS + silenceTimeoutMS}, {FromMS: healMS - longestRequestMS, ToMS: healMS + silenceTimeoutMS},
		{FromMS: silentMS - longestRequestMS, ToMS: silentMS + silenceTimeoutMS}, {FromMS: coldMS - longestRequestMS, ToMS: coldMS + silenceTimeoutMS},
	}
	t := newScenario("rosario-unattended-night", dep,
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.model, Share: latencyShare, WithinMS: firstTokenBoundMS + 60*tokenIntervalMS, Except: except},
		trace.Outcome{Kind: trace.TimeToFirstToken, Target: dep.model, Share: latencyShare, WithinMS: firstTokenBoundMS, Except: except},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.model, Share: 1,
			Except: []trace.Window{{FromMS: 0, ToMS: lastRestartMS + silenceTimeoutMS}}},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: dep.service, Share: 1,
			Except: []trace.Window{{FromMS: 0, ToMS: lastRestartMS + silenceTimeoutMS}}},
	)
	t.Events = []trace.Event{
		{AtMS: crashMS, Kind: trace.Crash, Instance: "rosario-norte-entry-1"},
		{AtMS: restartMS, Kind: trace.Restart, Instance: "rosario-norte-entry-1"},
		{AtMS: partitionMS, Kind: trace.Partition, DataCentre: "santa-fe"},
		{AtMS: healMS, Kind: trace.Heal},
		{AtMS: silentMS, Kind: trace.Silent, Instance: "rosario-norte-entry-2", Server: "rosario-norte-modelo-vidrio-1"},
		{AtMS: silentMS, Kind: trace.Silent, Instance: "rosario-norte-entry-2", Server: "rosario-norte-pedidos-1"},
		{AtMS: coldMS, Kind: trace.Cold, Server: "rosario-sur-modelo-vidrio-1"},
		{AtMS: secondCrashMS, Kind: trace.Crash, Instance: "rosario-sur-entry-1"},
		{AtMS: secondRestartMS, Kind: trace.Restart, Instance: "rosario-sur-entry-1"},
		{AtMS: thirdCrashMS, Kind: trace.Crash, Instance: "santa-fe-entry-1"},
		{AtMS: lastRestartMS, Kind: trace.Restart, Instance: "santa-fe-entry-1"},
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	normalShares := func(float64) []float64 { return dep.callerShares }
	dep.addTraffic(t.Trace, rng, 0, busyMS, func(float64) float64 { return 7 }, normalShares)
	// The engine becomes cold while its data centre is busy, so that its load exceeds the capacity of a cold engine.
	dep.addTraffic(t.Trace, rng, busyMS, busyEndMS, func(float64) float64 { return 55 }, func(float64) []float64 { return []float64{0.05, 0.9, 0.05} })
	dep.addTraffic(t.Trace, rng, busyEndMS, morningMS, func(float64) float64 { return 7 }, normalShares)
	dep.addTraffic(t.Trace, rng, morningMS, endMS, func(float64) float64 { return 14 }, normalShares)
	return t.sorted()
}
