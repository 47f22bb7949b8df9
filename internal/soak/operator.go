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
	// streamPrefix is the prefix of paths that backend servers answer with a stream.
	streamPrefix = "/stream"
	// addedRoutePrefix is the path prefix of routes that later configurations add.
	addedRoutePrefix = "/added/"

	// maxApplyTime is the time in which an acknowledged configuration must be applied on all instances.
	maxApplyTime = 2 * time.Second
	// rollbackSlack is the time within which two answers of one process may arrive in reverse order.
	rollbackSlack = 250 * time.Millisecond
	// changePause is the mean pause between two changes of the configuration.
	changePause = 500 * time.Millisecond
	// changeRetryPause is the pause before a change that was not acknowledged is sent again.
	changeRetryPause = 100 * time.Millisecond
	probePause       = 300 * time.Millisecond
	// maxAddedRoutes is the maximum number of added routes in a configuration, the most recent ones.
	maxAddedRoutes = 200
	maxAnswerBytes = 4 << 20
)

// operator changes the configuration and checks that instances apply it.
type operator struct {
	ledger   *ledger
	controls []string // addresses of the control instances
	entries  []*instance
	client   *http.Client

	mu           sync.Mutex
	random       *rand.Rand
	lastVersion  uint64 // last version sent
	highestAcked uint64 // highest acknowledged version
	ackedAt      map[uint64]time.Time
	observed     map[string]observedVersion // by incarnation of an entry instance
}

// observedVersion is the newest version that an incarnation of an entry instance was observed to use.
type observedVersion struct {
	version uint64
	at      time.Time
}

func newOperator(seed uint64, l *ledger, controls []string, entries []*instance) *operator {
	return &operator{ledger: l, controls: controls, entries: entries, random: rand.New(rand.NewPCG(seed, 0x0be4)),
		client:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		ackedAt: map[uint64]time.Time{}, observed: map[string]observedVersion{}}
}

// newRoute returns a route with the settings that all routes share.
func newRoute(name, prefix, service string, kind routes.Kind) routes.Route {
	return routes.Route{Name: name, Host: host, PathPrefix: prefix, Kind: kind, Timeout: requestTimeout, Objective: 500 * time.Millisecond,
		LongestPause: 200 * time.Millisecond, MaxAttempts: 2, Targets: []routes.Target{{Service: service, Weight: 1}}}
}

// baseRoutes returns the routes that every configuration has.
func baseRoutes() []routes.Route {
	resumable := newRoute("resumable", streamPrefix+"/group/", groupService, routes.Stream)
	resumable.Resumable = true
	plainResumable := newRoute("plain-resumable", streamPrefix+"/again/", plainService, routes.Stream)
	plainResumable.Resumable = true
	return []routes.Route{newRoute("safe", "/safe/", plainService, routes.Safe), newRoute("unsafe", "/unsafe/", plainService, routes.Unsafe),
		newRoute("once", streamPrefix+"/once/", plainService, routes.Stream), plainResumable, resumable}
}

// configuration returns the configuration of a version. Each version adds one route; the last maxAddedRoutes are kept.
func configuration(version uint64) *routes.Configuration {
	c := &routes.Configuration{
		Version: version,
		Routes:  baseRoutes(),
		Services: []routes.Service{
			{Name: plainService, HealthPath: "/health", MaxConnections: 400, ColdStart: coldTime, ColdRate: coldRequestsPerSecond},
			{Name: groupService, HealthPath: "/health", MaxConnections: 400, ColdStart: coldTime, ColdRate: coldRequestsPerSecond,
				Engine: &routes.Engine{Slots: serverSlots, FormTime: formTime, StepTime: stepTime, ReadRate: 60_000, Stride: 1,
					UsualPrompt: 100, UsualAnswer: streamEvents, Sets: groupSets, Experts: groupExperts, MaxPlacements: groupMaxPlacements,
					Spare: groupMaxAddedExperts, ExpertCopyTime: copyTime}},
		},
		Organisations: []routes.Organisation{{Name: "soak", Keys: []string{callerKey}}},
		Limits:        routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for v := version - min(version, maxAddedRoutes) + 1; v <= version; v++ {
		c.Routes = append(c.Routes, newRoute(fmt.Sprint("added-", v), addedPath(v), plainService, routes.Safe))
	}
	return c
}

func addedPath(version uint64) string { return fmt.Sprintf("%s%d/", addedRoutePrefix, version) }

// changeConfiguration sends the next configuration until it is acknowledged or the context ends. It reports whether it was
// acknowledged.
func (o *operator) changeConfiguration(ctx context.Context) bool {
	o.mu.Lock()
	o.lastVersion++
	version := o.lastVersion
	o.mu.Unlock()
	body, err := platform.EncodeConfiguration(configuration(version))
	if err != nil {
		o.ledger.recordViolation("SOAK", "a configuration cannot be written: %v", err)
		return false
	}
	start, faultFreeBefore := time.Now(), o.faultFree()
	for ctx.Err() == nil {
		status := post(ctx, "http://"+o.anyControl()+platform.ReplaceConfigurationPath, body)
		if status == http.StatusOK {
			o.mu.Lock()
			o.highestAcked = max(o.highestAcked, version)
			o.ackedAt[version] = time.Now()
			o.mu.Unlock()
			o.ledger.count("configurations acknowledged")
			if waited := time.Since(start); faultFreeBefore && o.faultFree() && waited > maxAckTime {
				o.ledger.recordViolation("ACKS", "version %d was acknowledged after %v", version, waited)
			}
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			o.ledger.recordViolation("CONFIG", "version %d is valid and was refused with %d", version, status)
			return false
		}
		process.Sleep(ctx, changeRetryPause)
	}
	return false
}

// maxAckTime is the time in which a change must be acknowledged in phases without faults.
const maxAckTime = 4 * time.Second

func (o *operator) faultFree() bool { return o.ledger.inPhase(faultFree, rollingRestart) }

// anyControl returns the address of a random control instance.
func (o *operator) anyControl() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controls[o.random.IntN(len(o.controls))]
}

// ackedBefore returns the highest version that was acknowledged before a time.
func (o *operator) ackedBefore(before time.Time) uint64 {
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

// run changes the configuration at random intervals until the context ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.changeConfiguration(ctx)
		o.mu.Lock()
		pause := time.Duration(o.random.ExpFloat64() * float64(changePause))
		o.mu.Unlock()
		process.Sleep(ctx, pause)
	}
}

// readConfiguration reads the configuration from a random control instance and checks its content, and that it is not older
// than a version acknowledged more than maxApplyTime before. It returns the version, 0 if there was no answer.
func (o *operator) readConfiguration(ctx context.Context) uint64 {
	control, sent := o.anyControl(), time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+platform.ReadConfigurationPath, nil)
	if err != nil {
		o.ledger.recordViolation("SOAK", "a read cannot be built: %v", err)
		return 0
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return 0
	}
	read, err := platform.DecodeConfiguration(body)
	if err != nil {
		o.ledger.recordViolation("CONFIG", "%s answers a read with an invalid configuration: %v", control, err)
		return 0
	}
	if acked := o.ackedBefore(sent.Add(-maxApplyTime)); read.Version < acked {
		o.ledger.recordViolation("CONFIG", "%s answers a read with version %d, though version %d was acknowledged more than %v before", control,
			read.Version, acked, maxApplyTime)
	}
	if expected, err := platform.EncodeConfiguration(configuration(read.Version)); err != nil || string(expected) != string(body) {
		o.ledger.recordViolation("CONFIG", "%s answers a read of version %d with content that differs from what was sent", control, read.Version)
	}
	o.ledger.count("configurations read")
	return read.Version
}

// watch reads the configuration and probes the entry instances until the context ends.
func (o *operator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		o.readConfiguration(ctx)
		for _, e := range o.entries {
			o.probe(ctx, e)
		}
		process.Sleep(ctx, probePause)
	}
}

// probe requests the newest acknowledged route from an entry instance, and one that no version has. It checks that an
// incarnation never reverts to an older version, and that it never denies a route that was acknowledged more than
// maxApplyTime before.
func (o *operator) probe(ctx context.Context, e *instance) {
	sent := time.Now()
	incarnation := e.incarnation()
	o.mu.Lock()
	version, before := o.highestAcked, o.observed[incarnation]
	o.mu.Unlock()
	if version == 0 {
		return
	}
	status := o.sendProbe(ctx, e, addedPath(version))
	if e.incarnation() != incarnation {
		return
	}
	switch {
	case status == http.StatusOK:
		o.mu.Lock()
		if o.observed[incarnation].version < version {
			o.observed[incarnation] = observedVersion{version, time.Now()}
		}
		o.mu.Unlock()
	case status != http.StatusNotFound:
	case before.version >= version && sent.Sub(before.at) > rollbackSlack:
		o.ledger.recordViolation("CONFIG", "%s had applied version %d and answers 404 for its route", incarnation, before.version)
	case o.ackedBefore(sent.Add(-maxApplyTime)) >= version: // under faults too: an instance out of touch answers 503
		o.ledger.recordViolation("CONFIG", "%s answers 404 for the route of version %d, acknowledged before", incarnation, version)
	}
	if status := o.sendProbe(ctx, e, addedPath(version+1<<32)); status == http.StatusOK {
		o.ledger.recordViolation("CONFIG", "%s answers a path that no version has", incarnation)
	}
}

// sendProbe sends a probe and returns the status, 0 if there was no answer.
func (o *operator) sendProbe(ctx context.Context, e *instance, path string) int {
	id := fmt.Sprintf("probe-%d", time.Now().UnixNano())
	r := newRoute("probe", addedRoutePrefix, plainService, routes.Safe)
	record := &request{id: id, route: &r, entry: e.settings.Instance}
	httpRequest, err := newHTTPRequest(ctx, e, path+"x", id, "probe")
	if err != nil {
		o.ledger.recordViolation("SOAK", "a probe cannot be built: %v", err)
		return 0
	}
	o.ledger.recordSent(record)
	response, err := o.client.Do(httpRequest)
	if err != nil {
		o.ledger.recordEnd(record, abandoned, 0)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status is needed
	_ = response.Body.Close()
	o.ledger.recordEnd(record, abandoned, response.StatusCode)
	return response.StatusCode
}

// errNotReadBack means that the newest acknowledged configuration was not read back in time.
var errNotReadBack = errors.New("the newest acknowledged configuration was not read back in time")

// awaitReadBack reads the configuration until it is the newest acknowledged version or a later one. It returns
// errNotReadBack if that takes longer than within.
func (o *operator) awaitReadBack(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for ctx.Err() == nil {
		o.mu.Lock()
		newest := o.highestAcked
		o.mu.Unlock()
		if o.readConfiguration(ctx) >= newest {
			return nil
		}
		process.Sleep(ctx, changeRetryPause)
	}
	return errNotReadBack
}
