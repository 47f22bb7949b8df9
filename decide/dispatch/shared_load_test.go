package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
)

// modelFleet is a fleet of engines in lock-step groups behind many entry instances, each of which sees a small part of the
// requests.
type modelFleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*Dispatcher
	running   [][]*modelRequest // by engine
	waiting   [][]*modelRequest
	reports   [][]int // loads of all engines, one reading an interval, the oldest first
	finished  []*modelRequest
	refused   int
}

type modelRequest struct {
	choice  *Choice
	by      *Dispatcher
	remains time.Duration
	sentAt  time.Time
	waited  time.Duration
}

// Dimensions and times of the model fleet.
const (
	fleetInstances = 58
	fleetGroups    = 3
	fleetRanks     = 64 // of each group
	fleetSlots     = 6
	fleetTick      = 10 * time.Millisecond
	// fleetReportInterval is the interval of the readings, and fleetReportLag the number of readings by which they lag.
	fleetReportInterval = 100 * time.Millisecond
	fleetReportLag      = 1
	fleetObjective      = 600 * time.Millisecond
)

var fleetDataCentres = []string{"a", "b", "c", "d", "e"}

func newModelFleet(seed uint64) *modelFleet {
	engines := fleetGroups * fleetRanks
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, running: make([][]*modelRequest, engines), waiting: make([][]*modelRequest, engines)}
	table := routes.Compile(&routes.Configuration{Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: fleetSlots, Stride: 6,
		StepTime: 4550 * time.Microsecond, StepTimePerRequest: 1990 * time.Microsecond, UsualAnswer: 90, Sets: 12, FormTime: 600 * time.Millisecond}}}})
	var known []*registry.Record
	for i := range engines {
		known = append(known, &registry.Record{ReceivedAt: start, Announcement: registry.Announcement{Server: fmt.Sprint("i", i), Service: "s",
			Address: fmt.Sprint("10.0.0.1:", i+1), DataCentre: fleetDataCentres[i%len(fleetDataCentres)], Slots: fleetSlots,
			Group: registry.Group{Name: fmt.Sprint("g", i/fleetRanks), Rank: i % fleetRanks, Size: fleetRanks}}})
	}
	for i := range fleetInstances {
		c := config()
		c.DataCentre, c.Seed = fleetDataCentres[i%len(fleetDataCentres)], seed<<8+uint64(i)
		d := New(c)
		d.SetTable(table)
		d.SetInstances(fleetInstances)
		d.SetServers(start, known)
		f.instances = append(f.instances, d)
	}
	return f
}

// run plays the fleet under a load of perSecond requests. Each engine has as many requests in progress as it has slots, and
// the others wait.
func (f *modelFleet) run(duration time.Duration, perSecond float64, meanRun time.Duration) {
	ticks := 0
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		if ticks%int(time.Second/fleetTick) == 0 {
			f.announce()
		}
		if ticks%int(fleetReportInterval/fleetTick) == 0 {
			f.report()
		}
		ticks++
		for range f.arrivals(perSecond * fleetTick.Seconds()) {
			f.send(time.Duration(float64(meanRun) * (0.5 + f.random.Float64())))
		}
		for engine := range f.running {
			f.advance(engine)
		}
	}
}

// announce passes an announcement of each engine to all instances.
func (f *modelFleet) announce() {
	for _, d := range f.instances {
		for _, s := range d.servers {
			s.announcedAt = f.now
		}
	}
}

// arrivals draws the number of requests of one tick.
func (f *modelFleet) arrivals(mean float64) int {
	n := 0
	for left := f.random.ExpFloat64(); left < mean; left += f.random.ExpFloat64() {
		n++
	}
	return n
}

func (f *modelFleet) send(run time.Duration) {
	d := f.instances[f.random.IntN(len(f.instances))]
	choice, refusal := d.Pick(f.now, Request{Service: "s"})
	if refusal != nil {
		f.refused++
		return
	}
	rank := choice.Server.Group.Rank
	var group int
	fmt.Sscanf(choice.Server.Group.Name, "g%d", &group)
	engine := group*fleetRanks + rank
	f.waiting[engine] = append(f.waiting[engine], &modelRequest{choice: choice, by: d, remains: run, sentAt: f.now})
}

// advance runs the requests of an engine for one tick.
func (f *modelFleet) advance(engine int) {
	rest := f.running[engine][:0]
	for _, r := range f.running[engine] {
		if r.remains -= fleetTick; r.remains > 0 {
			rest = append(rest, r)
			continue
		}
		r.choice.Release()
		f.finished = append(f.finished, r)
	}
	f.running[engine] = rest
	for len(f.running[engine]) < fleetSlots && len(f.waiting[engine]) > 0 {
		r := f.waiting[engine][0]
		f.waiting[engine] = f.waiting[engine][1:]
		r.waited = f.now.Sub(r.sentAt)
		f.running[engine] = append(f.running[engine], r)
		r.by.RecordLoad(f.now, r.choice, len(f.running[engine]), len(f.waiting[engine]), fleetSlots)
	}
}

// report passes the loads of the engines to all instances, as the coordinators of the groups do.
func (f *modelFleet) report() {
	loads := make([]int, len(f.running))
	for engine := range loads {
		loads[engine] = len(f.running[engine]) + len(f.waiting[engine])
	}
	f.reports = append(f.reports, loads)
	if len(f.reports) <= fleetReportLag {
		return
	}
	loads = f.reports[len(f.reports)-1-fleetReportLag]
	for _, d := range f.instances {
		for group := range fleetGroups {
			d.RecordGroupLoads(f.now, "s", fmt.Sprint("g", group), loads[group*fleetRanks:(group+1)*fleetRanks])
		}
	}
}

// Guards against requests that wait at busy engines while others have free slots: of 58 entry instances each sees so few
// responses that it knows the load of no engine, and their shared readings are some hundred milliseconds old, so that all
// of them would choose the few engines that were idle then. At three quarters of the fleet's slots, 95 of 100 requests
// start within half of their objective.
func TestManyInstancesKnowTheLoadOfEngines(t *testing.T) {
	is := is.New(t)
	const meanRun = 1600 * time.Millisecond
	perSecond := 0.75 * fleetGroups * fleetRanks * fleetSlots / meanRun.Seconds()
	for seed := range uint64(4) {
		f := newModelFleet(seed)
		f.run(12*time.Second, perSecond, meanRun)
		late, total := f.refused, f.refused
		for _, r := range f.finished {
			if r.sentAt.Before(start.Add(3 * time.Second)) {
				continue // the fleet fills
			}
			total++
			if r.waited > fleetObjective/2 {
				late++
			}
		}
		t.Logf("seed %d: %d of %d requests were refused or waited longer than half of their objective", seed, late, total)
		is.True(total > 1000)
		is.True(late*20 <= total)
	}
}

// Guards against loads that are known only from responses: an entry instance that has sent no request to an engine knows
// from the group's readings that it is full.
func TestFullEngineIsKnownWithoutAResponse(t *testing.T) {
	is := is.New(t)
	d := dispatcher(2, true)
	d.RecordGroupLoads(start, "s", "g", []int{30, 0})
	for range 8 {
		c, refusal := d.Pick(start, Request{Service: "s"})
		is.Equal(refusal, nil)
		is.Equal(c.Server.Server, "i1")
	}
	d.RecordGroupLoads(start, "s", "g", []int{30, 30})
	_, refusal := d.Pick(start, Request{Service: "s"})
	is.Equal(refusal.Reason, Full)
}

// Guards against a reading that counts an instance's own requests twice, and against one that lacks a rank or names a group
// that is not known.
func TestReadingIncludesOwnRequests(t *testing.T) {
	is := is.New(t)
	d := dispatcher(1, true)
	for range 4 {
		_, refusal := d.Pick(start, Request{Service: "s"})
		is.Equal(refusal, nil)
	}
	d.RecordGroupLoads(start, "s", "g", []int{6})
	is.Equal(d.load(start, d.servers["i0"]), 6.0)
	d.RecordGroupLoads(start, "s", "g", []int{UnknownLoad})
	d.RecordGroupLoads(start, "s", "g", nil)
	d.RecordGroupLoads(start, "s", "other", []int{9})
	is.Equal(d.load(start, d.servers["i0"]), 6.0)
}

// Guards against ranks whose processes do not report yet, as after the cut of a data centre: taken for idle by all instances, each would get
// requests until its callers lose patience.
func TestRankWithoutReportIsNotTakenForIdle(t *testing.T) {
	is := is.New(t)
	f := newModelFleet(3)
	d := f.instances[0]
	now := start.Add(2 * loadDecayAfter)
	loads := make([]int, fleetRanks)
	for rank := range loads {
		loads[rank] = 4
	}
	loads[7] = UnknownLoad
	d.RecordGroupLoads(now, "s", "g0", loads)
	silent := d.servers["i7"]
	is.Equal(d.load(now, silent), 4.0)
	now = now.Add(100 * time.Millisecond)
	loads[7] = 1 // it reports again
	d.RecordGroupLoads(now, "s", "g0", loads)
	is.Equal(d.load(now, silent), 1.0)
	for rank := range loads {
		loads[rank] = UnknownLoad
	}
	d.RecordGroupLoads(now.Add(3*loadDecayAfter), "s", "g0", loads) // nothing is known of any
	is.True(d.load(now.Add(3*loadDecayAfter), silent) < 1)
}
