// Command generate writes the traces of internal/trace/testdata. An hour of the users' day lasts 5 s in them.
//
// The stated outcomes come from docs/design.md: guarantees G3 and G6 (section 2), a first token within 1.1 s and 32 ms
// between tokens for 95 % (section 1), and bounds of recovery (sections 5 to 7): 3 s for an election, 5 s for a silent
// connection.
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
	seed          = 20
	hourMS        = 5_000
	firstTokenMS  = 1100
	intervalMS    = 32
	targetShare   = 0.95
	stopMS        = 3000 // G3
	electionMS    = 3000
	silentMS      = 5000 // until a silent session is given up
	openMS        = 3000 // a request open for longer than this is rare: 60 tokens of 32 ms and a first token of 1.1 s
	organisations = 10
	repeatedShare = 0.03 // of orders that are sent twice with one key
	deadlineMS    = 30_000
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

// house is what differs between the two users.
type house struct {
	model, service, order string
	dataCentres           []string
	shares                []float64 // of the callers, by data centre
}

var (
	rosario  = house{"modelo-vidrio", "pedidos", "orders", []string{"rosario-norte", "rosario-sur", "santa-fe"}, []float64{0.5, 0.3, 0.2}}
	tengerin = house{"sutra-model", "lending-desk", "orders", []string{"ub-north", "ub-east", "ub-south"}, []float64{0.4, 0.35, 0.25}}
)

// fleet returns today's fleet: 12 engines, 3 plain services and 4 entry instances.
func (h *house) fleet() []trace.DataCentre {
	var fleet []trace.DataCentre
	for d, name := range h.dataCentres {
		entries := 1
		if d == 0 {
			entries = 2
		}
		fleet = append(fleet, trace.DataCentre{Name: name, Entries: entries, Model: h.model, Engines: 4, Service: h.service, Services: 1})
	}
	return fleet
}

// traffic adds requests from one time to another, at a number a second that may change with time. shares are those of
// the data centres' callers at a time between 0 and 1.
func (h *house) traffic(t *trace.Trace, rng *rand.Rand, fromMS, toMS int64, perSecond func(part float64) float64, shares func(part float64) []float64) {
	for at := float64(fromMS); ; {
		part := (at - float64(fromMS)) / float64(toMS-fromMS)
		at += rng.ExpFloat64() * 1000 / perSecond(part)
		if at >= float64(toMS) {
			return
		}
		n := len(t.Requests)
		r := trace.Request{
			AtMS: int64(at), Organisation: fmt.Sprintf("org-%d", min(int(rng.ExpFloat64()*2.5), organisations-1)),
			DeadlineMS: deadlineMS, DataCentre: h.dataCentres[pick(rng, shares(part))],
		}
		switch kind := rng.Float64(); {
		case kind < 0.25:
			r.Target, r.Method, r.Path = h.service, "POST", "/services/"+h.service+"/"+h.order
			r.Key, r.Prompt = fmt.Sprintf("k%d", n), 100+rng.IntN(400)
		case kind < 0.4:
			r.Target, r.Method, r.Path = h.service, "GET", "/services/"+h.service+"/prices"
		default:
			r.Target, r.Method, r.Path = h.model, "POST", "/v1/completions"
			r.Stream, r.Prompt, r.Tokens = rng.IntN(3) > 0, 200+rng.IntN(1500), 12+rng.IntN(48)
		}
		t.Requests = append(t.Requests, r)
		if r.Key != "" && rng.Float64() < repeatedShare {
			r.AtMS += rng.Int64N(2000)
			t.Requests = append(t.Requests, r)
		}
	}
}

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (t scenario) finish() *trace.Trace {
	slices.SortStableFunc(t.Requests, func(a, b trace.Request) int { return int(a.AtMS - b.AtMS) })
	slices.SortStableFunc(t.Events, func(a, b trace.Event) int { return int(a.AtMS - b.AtMS) })
	return t.Trace
}

type scenario struct{ *trace.Trace }

func newScenario(name string, h *house, outcomes ...trace.Outcome) scenario {
	outcomes = append([]trace.Outcome{
		{Kind: trace.NoneLost, Target: h.service},
		{Kind: trace.NoneTwice, Target: h.service},
	}, outcomes...)
	return scenario{&trace.Trace{Header: trace.Header{Version: trace.Version, Name: name, Fleet: h.fleet()}, Outcomes: outcomes}}
}

// rosarioDay is a day shift from 6 to 18 h. The largest data centre is taken out at noon and comes back at 14 h.
func rosarioDay() *trace.Trace {
	h := &rosario
	t := newScenario("rosario-day-shift", h,
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.model, Share: 1},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.service, Share: 1},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.model, Share: targetShare, WithinMS: firstTokenMS + 60*intervalMS},
		trace.Outcome{Kind: trace.FirstToken, Target: h.model, Share: targetShare, WithinMS: firstTokenMS},
		trace.Outcome{Kind: trace.TokenInterval, Target: h.model, Share: targetShare, WithinMS: intervalMS},
		trace.Outcome{Kind: trace.NothingNew, DataCentre: "rosario-norte", WithinMS: stopMS},
	)
	t.Events = []trace.Event{
		{AtMS: 6 * hourMS, Kind: trace.Out, DataCentre: "rosario-norte"},
		{AtMS: 8 * hourMS, Kind: trace.In, DataCentre: "rosario-norte"},
	}
	h.traffic(t.Trace, rand.New(rand.NewPCG(seed, 1)), 0, 12*hourMS,
		func(part float64) float64 { return 6 + 10*part*(1-part)*4*0.75 },
		func(float64) []float64 { return h.shares })
	return t.finish()
}

// tengerinNight is a night from 20 to 8 h. The load drifts from one data centre to another, one engine is slow for
// three hours, and a server is drained and comes back.
func tengerinNight() *trace.Trace {
	h := &tengerin
	t := newScenario("tengerin-night", h,
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.model, Share: 1},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.service, Share: 1},
		trace.Outcome{Kind: trace.FirstToken, Target: h.model, Share: targetShare, WithinMS: firstTokenMS},
		trace.Outcome{Kind: trace.TokenInterval, Target: h.model, Share: targetShare, WithinMS: intervalMS},
	)
	t.Events = []trace.Event{
		{AtMS: 3 * hourMS, Kind: trace.Slow, Server: "ub-east-sutra-model-2", Factor: 5},
		{AtMS: 6 * hourMS, Kind: trace.Slow, Server: "ub-east-sutra-model-2", Factor: 1},
		{AtMS: 7 * hourMS, Kind: trace.Drain, Server: "ub-south-sutra-model-1"},
		{AtMS: 9 * hourMS, Kind: trace.Up, Server: "ub-south-sutra-model-1"},
	}
	h.traffic(t.Trace, rand.New(rand.NewPCG(seed, 2)), 0, 12*hourMS,
		func(part float64) float64 { return 12 - 6*part },
		func(part float64) []float64 { return []float64{0.6 - 0.4*part, 0.2 + 0.2*part, 0.2 + 0.2*part} })
	return t.finish()
}

// rosarioUnattended is a night full of faults and the morning after it.
func rosarioUnattended() *trace.Trace {
	const (
		crash, restart          = 10_000, 18_000
		partition, heal         = 24_000, 36_000
		silent                  = 44_000
		busy, cold, calm        = 52_000, 54_000, 56_000
		secondCrash, repaired   = 62_000, 70_000
		thirdCrash, lastRestart = 71_000, 78_000
		morning, end            = 76_000, 96_000
	)
	h := &rosario
	around := func(at int64) trace.Window { return trace.Window{FromMS: at - openMS, ToMS: at + electionMS} }
	except := []trace.Window{
		around(crash), around(secondCrash), around(thirdCrash),
		{FromMS: partition - openMS, ToMS: partition + silentMS}, {FromMS: heal - openMS, ToMS: heal + silentMS},
		{FromMS: silent - openMS, ToMS: silent + silentMS}, {FromMS: cold - openMS, ToMS: cold + silentMS},
	}
	t := newScenario("rosario-unattended-night", h,
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.model, Share: targetShare, WithinMS: firstTokenMS + 60*intervalMS, Except: except},
		trace.Outcome{Kind: trace.FirstToken, Target: h.model, Share: targetShare, WithinMS: firstTokenMS, Except: except},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.model, Share: 1,
			Except: []trace.Window{{FromMS: 0, ToMS: lastRestart + silentMS}}},
		trace.Outcome{Kind: trace.AnsweredWithin, Target: h.service, Share: 1,
			Except: []trace.Window{{FromMS: 0, ToMS: lastRestart + silentMS}}},
	)
	t.Events = []trace.Event{
		{AtMS: crash, Kind: trace.Crash, Instance: "rosario-norte-entry-1"},
		{AtMS: restart, Kind: trace.Restart, Instance: "rosario-norte-entry-1"},
		{AtMS: partition, Kind: trace.Partition, DataCentre: "santa-fe"},
		{AtMS: heal, Kind: trace.Heal},
		{AtMS: silent, Kind: trace.Silent, Instance: "rosario-norte-entry-2", Server: "rosario-norte-modelo-vidrio-1"},
		{AtMS: silent, Kind: trace.Silent, Instance: "rosario-norte-entry-2", Server: "rosario-norte-pedidos-1"},
		{AtMS: cold, Kind: trace.Cold, Server: "rosario-sur-modelo-vidrio-1"},
		{AtMS: secondCrash, Kind: trace.Crash, Instance: "rosario-sur-entry-1"},
		{AtMS: repaired, Kind: trace.Restart, Instance: "rosario-sur-entry-1"},
		{AtMS: thirdCrash, Kind: trace.Crash, Instance: "santa-fe-entry-1"},
		{AtMS: lastRestart, Kind: trace.Restart, Instance: "santa-fe-entry-1"},
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	usual := func(float64) []float64 { return h.shares }
	h.traffic(t.Trace, rng, 0, busy, func(float64) float64 { return 7 }, usual)
	// The engine turns cold while its data centre is busy, so that it has more work than a cold engine bears.
	h.traffic(t.Trace, rng, busy, calm, func(float64) float64 { return 55 }, func(float64) []float64 { return []float64{0.05, 0.9, 0.05} })
	h.traffic(t.Trace, rng, calm, morning, func(float64) float64 { return 7 }, usual)
	h.traffic(t.Trace, rng, morning, end, func(float64) float64 { return 14 }, usual)
	return t.finish()
}
