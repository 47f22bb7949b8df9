package world

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/history"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/settings"
	"github.com/banyanfront/banyanfront/internal/standin"
	"github.com/banyanfront/banyanfront/internal/trace"
)

const (
	// keyedRetryInterval is the pause between two tries of a keyed request.
	keyedRetryInterval = 500 * time.Millisecond
	// keyedRetryTimeout is the time for which a caller repeats a keyed request: the default deadline of design.md, section 8.
	keyedRetryTimeout = 30 * time.Second
	// commandTries is the maximum number of tries, one per second, of an operator's command.
	commandTries = 30
	engineCold   = 4 * time.Second
)

// Replay is the fleet against which a trace is replayed.
type Replay struct {
	*World
	trace        *trace.Trace
	targets      map[*server]string // name of the model or service
	stopSampling context.CancelFunc
	samplers     sync.WaitGroup
	callers      sync.WaitGroup // handlers that may still run after their instance went down
	// semaphores serialise the events of each server and instance, by name. They are channels, since a goroutine that waits
	// for a mutex stops the virtual time of a testing/synctest bubble.
	semaphores map[string]chan struct{}
}

var _ trace.Fleet = (*Replay)(nil)

// NewReplay returns the fleet described in the header of a trace. The first entry instance of each of up to three data
// centres is a voter.
func NewReplay(t *trace.Trace, seed uint64) *Replay {
	w := &World{
		rng: rand.New(rand.NewPCG(seed, 0)), start: time.Now(), network: newNetwork(), downSignals: make(map[*instance]chan struct{}),
	}
	r := &Replay{World: w, trace: t, targets: make(map[*server]string), semaphores: make(map[string]chan struct{})}
	organisations := r.organisations()
	voterDataCentres := min(len(t.Header.Fleet), 3)
	if voterDataCentres == 2 {
		voterDataCentres = 1 // settings allow 1, 3 or 5 voters
	}
	var voters []settings.Voter
	var addresses []string
	for d := range t.Header.Fleet {
		dataCentre := &t.Header.Fleet[d]
		var seeds []string
		for n, name := range dataCentre.Instances() {
			address := fmt.Sprintf("10.%d.%d.%d:7070", d, n/250, n%250+1)
			seeds = append(seeds, address)
			i := &instance{settings: &settings.Front{
				Instance: fleet.InstanceID(name), DataCentre: fleet.DataCentre(dataCentre.Name), InnerAddress: address,
				FleetKey: fleetKey, DefaultDeadline: 30 * time.Second, MaxBodyBytes: 1 << 19, QueueMax: 1000,
				RetryBudget: 0.1, DrainTimeout: drainTimeout, Organisations: organisations,
			}}
			if n == 0 && d < voterDataCentres {
				i.disk = newDisk(rand.New(rand.NewPCG(seed, uint64(d+1))))
				voters = append(voters, settings.Voter{Instance: i.settings.Instance, Address: address})
			}
			w.instances = append(w.instances, i)
		}
		addresses = append(addresses, seeds...)
		r.addServers(dataCentre, seeds)
	}
	for _, i := range w.instances {
		i.settings.Voters, i.settings.Peers = voters, addresses
		r.semaphores[string(i.settings.Instance)] = make(chan struct{}, 1)
	}
	for _, s := range w.servers {
		r.semaphores[string(s.id)] = make(chan struct{}, 1)
	}
	return r
}

func organisationKey(name string) string { return callerKey + "-" + name }

// organisations returns the organisations of the trace, with equal weights.
func (r *Replay) organisations() []settings.Organisation {
	var names []string
	for i := range r.trace.Requests {
		names = append(names, r.trace.Requests[i].Organisation)
	}
	slices.Sort(names)
	var organisations []settings.Organisation
	for _, name := range slices.Compact(names) {
		organisations = append(organisations, settings.Organisation{Name: fleet.Organisation(name), Key: organisationKey(name), Weight: 1})
	}
	return organisations
}

// addServers adds the engines and plain services of a data centre.
func (r *Replay) addServers(d *trace.DataCentre, seeds []string) {
	for n, name := range d.Servers() {
		s := &server{id: fleet.ServerID(name), dataCentre: fleet.DataCentre(d.Name), seeds: seeds}
		if n < d.Engines {
			s.engine = standin.NewEngine(standin.EngineConfig{
				Name: name, Models: []fleet.Model{{Name: d.Model}}, Prefill: 100 * time.Millisecond,
				TokenInterval: 20 * time.Millisecond, Cold: engineCold, ColdSlots: coldSlots, RestartTime: 2 * time.Second,
			})
			r.targets[s] = d.Model
		} else {
			s.service = standin.NewService(standin.ServiceConfig{Name: name, Delay: 30 * time.Millisecond})
			r.targets[s] = d.Service
		}
		r.servers = append(r.servers, s)
	}
}

// startAgentOf starts the agent beside a server of the trace.
func (r *Replay) startAgentOf(s *server) error {
	incarnation := process.NewIncarnation()
	announcement := fleet.Announcement{Server: s.id, Incarnation: incarnation, DataCentre: s.dataCentre, Capacity: 16}
	if s.engine != nil {
		announcement.Models, announcement.Resumes = []fleet.Model{{Name: r.targets[s]}}, true
	} else {
		announcement.Kind, announcement.Service = fleet.KindService, r.targets[s]
	}
	return s.runAgent(r.network, announcement)
}

// Start implements trace.Fleet.
func (r *Replay) Start() error {
	for _, s := range r.servers {
		s.startServer()
	}
	for _, i := range r.instances {
		if err := r.startInstance(i); err != nil {
			return err
		}
	}
	for _, s := range r.servers {
		if err := r.startAgentOf(s); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stopSampling = cancel
	r.samplers.Go(func() { r.sampleRevisions(ctx) })
	time.Sleep(startPeriod)
	return nil
}

// Stop implements trace.Fleet.
func (r *Replay) Stop() *history.History {
	r.stopSampling()
	r.samplers.Wait()
	r.callers.Wait()
	r.instances = slices.DeleteFunc(r.instances, func(i *instance) bool { return i.core == nil })
	r.stopAll()
	return r.recorder.History()
}

// readyInstances returns the entry instances to which the platform's load balancer sends a caller of a data centre: the
// ready ones of that data centre or, if there are none, all ready ones. The load balancer learns readiness without delay.
func (r *Replay) readyInstances(dataCentre string) []*instance {
	var local, others []*instance
	for _, i := range r.instances {
		r.mu.Lock()
		core := i.core
		r.mu.Unlock()
		switch {
		case core == nil || core.NotReady() != "":
		case string(i.settings.DataCentre) == dataCentre:
			local = append(local, i)
		default:
			others = append(others, i)
		}
	}
	if len(local) > 0 {
		return local
	}
	return others
}

// Call implements trace.Fleet.
func (r *Replay) Call(number int, req *trace.Request) trace.Answer {
	begun := time.Now()
	random := rand.New(rand.NewPCG(uint64(number), 1))
	dataCentre := req.DataCentre
	for {
		answer := r.sendOnce(number, req, dataCentre, random)
		if req.Key == "" || answer.Result == history.Answered || time.Since(begun) > keyedRetryTimeout {
			answer.Duration = time.Since(begun)
			return answer
		}
		time.Sleep(keyedRetryInterval)
		// A caller whose order was not answered retries at a random data centre, as the cause is unknown to it.
		dataCentre = r.trace.Header.Fleet[random.IntN(len(r.trace.Header.Fleet))].Name
	}
}

// sendOnce sends a request once and records its result.
func (r *Replay) sendOnce(number int, req *trace.Request, dataCentre string, random *rand.Rand) trace.Answer {
	path, body, check := r.buildRequest(number, req)
	id := requestID(body)
	switch {
	case req.Key != "":
		id = req.Key
	case body == nil:
		id = strings.TrimPrefix(path, "/services/"+req.Target) // as the servers record it
	}
	record := history.Request{ID: id, Keyed: req.Key != "", Begun: r.now(), Result: history.Unreachable}
	var first time.Duration
	if ready := r.readyInstances(dataCentre); len(ready) > 0 {
		i := ready[random.IntN(len(ready))]
		record.Instance = i.settings.Instance
		status, answer, firstByte, err := r.send(i, req, path, body)
		first = firstByte
		record.Crashed = errors.Is(err, errCrashed)
		record.Result, record.Complete, record.Detail = classify(status, answer, err, check)
	}
	r.recordRequest(record)
	return trace.Answer{ID: record.ID, Result: record.Result, Complete: record.Complete, TimeToFirstToken: first, Detail: record.Detail}
}

// buildRequest generates what the trace does not contain: a prompt or body of the recorded length that is the same for all
// tries with one key, and different for all other requests. check returns a description of the error in an answer, or "".
func (r *Replay) buildRequest(number int, req *trace.Request) (path string, body []byte, check func([]byte) string) {
	name := "request " + strconv.Itoa(number)
	if req.Key != "" {
		name = "key " + req.Key
	}
	check = func([]byte) string { return "" }
	switch {
	case req.Path == "/v1/completions" || req.Path == "/v1/chat/completions":
		prompt := name + strings.Repeat(" pane", max(req.PromptBytes-len(name), 0)/5)
		tokens := max(req.MaxTokens, 1)
		body, _ = json.Marshal(map[string]any{"model": req.Target, "prompt": prompt, "max_tokens": tokens, "stream": req.Stream})
		return "/v1/completions", body, func(answer []byte) string {
			return checkCompletion(req.Target, prompt, tokens, req.Stream, answer)
		}
	case req.Method == http.MethodGet || req.Method == http.MethodHead:
		return req.Path + "?request=" + strconv.Itoa(number), nil, check
	}
	body, _ = json.Marshal(map[string]any{"name": name, "content": strings.Repeat("x", req.PromptBytes)})
	return req.Path, body, func(answer []byte) string {
		var created struct{ ID, Path string }
		if json.Unmarshal(answer, &created) != nil || (created.ID == "" && created.Path == "") {
			return fmt.Sprintf("no order in %q", answer)
		}
		return ""
	}
}

// firstByteRecorder records a response and the time to its first byte.
type firstByteRecorder struct {
	lockedRecorder
	begun time.Time
	first time.Duration
}

// Write implements http.ResponseWriter.
func (f *firstByteRecorder) Write(data []byte) (int, error) {
	f.mu.Lock()
	if f.first == 0 {
		f.first = time.Since(f.begun)
	}
	f.mu.Unlock()
	return f.lockedRecorder.Write(data)
}

// send sends a request to an instance and returns the response with the time to its first byte.
func (r *Replay) send(i *instance, req *trace.Request, path string, body []byte) (status int, answer []byte, first time.Duration, err error) {
	handler := r.callerHandler(i)
	if handler == nil {
		return 0, nil, 0, errUnreachable
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, req.Method, path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+organisationKey(req.Organisation))
	if req.DeadlineMS > 0 {
		request.Header.Set("Banyan-Deadline-Ms", strconv.FormatInt(req.DeadlineMS, 10))
	}
	if req.Key != "" {
		request.Header.Set("Idempotency-Key", req.Key)
	}
	recorder := &firstByteRecorder{lockedRecorder: lockedRecorder{ResponseRecorder: httptest.NewRecorder()}, begun: time.Now()}
	err = serveUntilDown(r.downSignal(i), handler, recorder, request, r.callers.Go)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.Code, bytes.Clone(recorder.Body.Bytes()), recorder.first, err
}
