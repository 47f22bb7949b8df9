package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	callerKey    = "key-of-the-callers"
	host         = "soak.example"
	plainService = "desk"
	groupService = "model"
	// streamPrefix begins the paths on which backend servers answer with a stream.
	streamPrefix = "/stream"
	// addedPrefix begins the paths of routes that later configurations add.
	addedPrefix = "/added/"

	// applyBound is the time in which an acknowledged configuration is in force everywhere.
	applyBound = 2 * time.Second
	// rollbackSlack is the time between two answers of one process that may have crossed.
	rollbackSlack = 250 * time.Millisecond
	// changePause is the mean pause between two changes of the configuration.
	changePause = 500 * time.Millisecond
	// changeRetry is the pause before a change without a clear answer is sent again.
	changeRetry = 100 * time.Millisecond
	probePause  = 300 * time.Millisecond
	// addedRoutes is how many of the routes that were added last a configuration holds.
	addedRoutes = 200
	maxAnswer   = 4 << 20
)

// operator changes the configuration and reads it back.
type operator struct {
	ledger   *ledger
	controls []string // addresses of the control instances
	entries  []*instance
	client   *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	version uint64 // sent last
	acked   uint64 // highest version that was acknowledged
	ackedAt map[uint64]time.Time
	seen    map[string]seen // by life of an entry instance
}

// seen is the newest version that a life of an entry instance has shown.
type seen struct {
	version uint64
	at      time.Time
}

func newOperator(seed uint64, l *ledger, controls []string, entries []*instance) *operator {
	return &operator{ledger: l, controls: controls, entries: entries, random: rand.New(rand.NewPCG(seed, 0x0be4)),
		client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		ackedAt: map[uint64]time.Time{}, seen: map[string]seen{}}
}

// route returns a route of every configuration.
func route(name, prefix, service string, kind routes.Kind) routes.Route {
	return routes.Route{Name: name, Host: host, PathPrefix: prefix, Kind: kind, Timeout: callerPatience, Objective: 500 * time.Millisecond,
		LongestPause: 200 * time.Millisecond, MaxAttempts: 2, Targets: []routes.Target{{Service: service, Weight: 1}}}
}

// baseRoutes are in every configuration.
func baseRoutes() []routes.Route {
	resumable := route("resumable", streamPrefix+"/group/", groupService, routes.Stream)
	resumable.Resumable = true
	again := route("plain-resumable", streamPrefix+"/again/", plainService, routes.Stream)
	again.Resumable = true
	return []routes.Route{route("safe", "/safe/", plainService, routes.Safe), route("unsafe", "/unsafe/", plainService, routes.Unsafe),
		route("once", streamPrefix+"/once/", plainService, routes.Stream), again, resumable}
}

// configuration returns the configuration of a version. Each version up to it has added a route.
func configuration(version uint64) *routes.Configuration {
	c := &routes.Configuration{
		Version: version,
		Routes:  baseRoutes(),
		Services: []routes.Service{
			{Name: plainService, HealthPath: "/health", MaxConnections: 400, ColdStart: coldFor, ColdRate: coldRate},
			{Name: groupService, HealthPath: "/health", MaxConnections: 400, ColdStart: coldFor, ColdRate: coldRate,
				Engine: &routes.Engine{Slots: serverSlots, FormTime: formTime, StepTime: passTime, ReadRate: 60_000, Stride: 1,
					UsualPrompt: 100, UsualAnswer: streamEvents, Sets: groupSets, Experts: groupExperts, MaxPlacements: groupPlacements,
					Spare: groupSpare, ExpertCopyTime: copyTime}},
		},
		Organisations: []routes.Organisation{{Name: "soak", Keys: []string{callerKey}}},
		Limits:        routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for v := version - min(version, addedRoutes) + 1; v <= version; v++ {
		c.Routes = append(c.Routes, route(fmt.Sprint("added-", v), addedPath(v), plainService, routes.Safe))
	}
	return c
}

func addedPath(version uint64) string { return fmt.Sprintf("%s%d/", addedPrefix, version) }

// change sends the next configuration until it is acknowledged or the context ends. It reports whether it was.
func (o *operator) change(ctx context.Context) bool {
	o.mu.Lock()
	o.version++
	version := o.version
	o.mu.Unlock()
	body, err := platform.EncodeConfiguration(configuration(version))
	if err != nil {
		o.ledger.violate("SOAK", "a configuration cannot be written: %v", err)
		return false
	}
	begun, calmBefore := time.Now(), o.calm()
	for ctx.Err() == nil {
		status := post(ctx, "http://"+o.control()+platform.ReplaceConfigurationPath, body)
		if status == http.StatusOK {
			o.mu.Lock()
			o.acked = max(o.acked, version)
			o.ackedAt[version] = time.Now()
			o.mu.Unlock()
			o.ledger.count("configurations acknowledged")
			if waited := time.Since(begun); calmBefore && o.calm() && waited > ackBound {
				o.ledger.violate("ACKS", "version %d was acknowledged after %v", version, waited)
			}
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			o.ledger.violate("CONFIG", "version %d is valid and was refused with %d", version, status)
			return false
		}
		process.Sleep(ctx, changeRetry)
	}
	return false
}

// ackBound is the time in which a change is acknowledged while nothing is at fault.
const ackBound = 4 * time.Second

func (o *operator) calm() bool { return o.ledger.in(calm, rolling) }

// control returns the address of some control instance.
func (o *operator) control() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controls[o.random.IntN(len(o.controls))]
}

// certain returns the highest version that was acknowledged before a moment.
func (o *operator) certain(before time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var highest uint64
	for version, at := range o.ackedAt {
		if at.Before(before) {
			highest = max(highest, version)
		}
	}
	return highest
}

// run changes the configuration now and then until the context ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.change(ctx)
		o.mu.Lock()
		pause := time.Duration(o.random.ExpFloat64() * float64(changePause))
		o.mu.Unlock()
		process.Sleep(ctx, pause)
	}
}

// read reads the configuration at some control instance and checks that it is not older than what is certain. It returns
// the version, 0 if there was no answer.
func (o *operator) read(ctx context.Context) uint64 {
	control, sent := o.control(), time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+platform.ReadConfigurationPath, nil)
	if err != nil {
		o.ledger.violate("SOAK", "a read cannot be built: %v", err)
		return 0
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // it was read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil || response.StatusCode != http.StatusOK {
		return 0
	}
	read, err := platform.DecodeConfiguration(body)
	if err != nil {
		o.ledger.violate("CONFIG", "%s answers a read with what is no configuration: %v", control, err)
		return 0
	}
	if known := o.certain(sent.Add(-applyBound)); read.Version < known {
		o.ledger.violate("CONFIG", "%s answers a read with version %d, though version %d was acknowledged more than %v before", control,
			read.Version, known, applyBound)
	}
	if expected, err := platform.EncodeConfiguration(configuration(read.Version)); err != nil || string(expected) != string(body) {
		o.ledger.violate("CONFIG", "%s answers a read of version %d with other content than was sent", control, read.Version)
	}
	o.ledger.count("configurations read")
	return read.Version
}

// watch reads the configuration and probes the entry instances until the context ends.
func (o *operator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		o.read(ctx)
		for _, e := range o.entries {
			o.probe(ctx, e)
		}
		process.Sleep(ctx, probePause)
	}
}

// probe asks an entry instance for a route of the newest acknowledged version and for one that no version has. It checks
// that one life of an instance never goes back, and, while nothing is at fault, that it has what is certain.
func (o *operator) probe(ctx context.Context, e *instance) {
	sent := time.Now()
	life, wasCalm := e.life(), o.calm()
	o.mu.Lock()
	version, before := o.acked, o.seen[life]
	o.mu.Unlock()
	if version == 0 {
		return
	}
	status := o.ask(ctx, e, addedPath(version))
	if e.life() != life {
		return
	}
	switch {
	case status == http.StatusOK:
		o.mu.Lock()
		if o.seen[life].version < version {
			o.seen[life] = seen{version, time.Now()}
		}
		o.mu.Unlock()
	case status != http.StatusNotFound:
	case before.version >= version && sent.Sub(before.at) > rollbackSlack:
		o.ledger.violate("CONFIG", "%s knew version %d and answers 404 for its route", life, before.version)
	case wasCalm && o.calm() && o.certain(sent.Add(-applyBound)) >= version:
		o.ledger.violate("CONFIG", "%s answers 404 for the route of version %d, acknowledged before", life, version)
	}
	if status := o.ask(ctx, e, addedPath(version+1<<32)); status == http.StatusOK {
		o.ledger.violate("CONFIG", "%s answers a path that no version has", life)
	}
}

// ask sends a probe and returns the status, 0 if there is none.
func (o *operator) ask(ctx context.Context, e *instance, path string) int {
	id := fmt.Sprintf("probe-%d", time.Now().UnixNano())
	r := route("probe", addedPrefix, plainService, routes.Safe)
	record := &request{id: id, route: &r, entry: e.settings.Instance}
	message, err := newMessage(ctx, e, path, id, "probe")
	if err != nil {
		o.ledger.violate("SOAK", "a probe cannot be built: %v", err)
		return 0
	}
	o.ledger.sending(record)
	response, err := o.client.Do(message)
	if err != nil {
		o.ledger.ending(record, abandoned, 0)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status is all that counts
	_ = response.Body.Close()
	o.ledger.ending(record, abandoned, response.StatusCode)
	return response.StatusCode
}

// errNotReadBack says that the newest configuration was not read back in time.
var errNotReadBack = errors.New("the newest acknowledged configuration was not read back in time")

// readBack reads until the newest acknowledged version or a later one comes.
func (o *operator) readBack(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for ctx.Err() == nil {
		o.mu.Lock()
		newest := o.acked
		o.mu.Unlock()
		if o.read(ctx) >= newest {
			return nil
		}
		process.Sleep(ctx, changeRetry)
	}
	return errNotReadBack
}
