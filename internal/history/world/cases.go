package world

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/history"
)

// Phases of a data centre case, in virtual time.
const (
	// baselineTime is the time before the fault from which the median latencies are computed.
	baselineTime = 5 * time.Second
	// faultTime is the duration of a fault. It is longer than the time-out of a session (5 s).
	faultTime = 12 * time.Second
	// evacuationTime is the time between an evacuation and the loss of power: 3 s in which work may still be sent there, and
	// 2 s for that work to end.
	evacuationTime = 5 * time.Second
	// crashDelay is the time from the start of the fault to the crash of an entry instance.
	crashDelay = 4 * time.Second
	// restartDelay is the time from the crash of the instance to its restart.
	restartDelay = 5 * time.Second
	// flapInterval is the time that a flapping link stays up or down.
	flapInterval = 2 * time.Second
	// recoveryTime is the duration of the load after the last fault. It is longer than the slow start of a cold data centre.
	recoveryTime = 20 * time.Second
	// delayBound is how far a latency may exceed the median before the answer counts as delayed: the bound of the time to first
	// token.
	delayBound = 1100 * time.Millisecond
	// evacuationTimeout is the time that an operator's command waits for the log.
	evacuationTimeout = 2 * time.Second
	// retryInterval is the pause between the tries of a caller.
	retryInterval = 500 * time.Millisecond
)

// affectedDataCentre is the data centre that is evacuated, lost or partitioned in all cases.
var affectedDataCentre = fleet.DataCentre("santa-fe")

// Loss is an additional fault in the middle of a case.
type Loss string

// Losses. The lost instances are in a data centre without other faults.
const (
	LossNone     Loss = "none"
	LossInstance Loss = "entry instance" // without a disk
	LossVoter    Loss = "voter"          // an entry instance that is also one of the three voters
)

// instanceIndex returns the index of the instance to crash, -1 for none.
func (l Loss) instanceIndex() int {
	switch l {
	case LossInstance:
		return 1
	case LossVoter:
		return 0
	default:
		return -1
	}
}

// Case is a scenario in which a data centre becomes unavailable and returns. run returns when the data centre is restored;
// it must call ended when the last fault has ended.
type Case struct {
	Name    string
	Planned bool // if set, no request may be lost
	run     func(w *World, ended func()) error
}

// Cases are all cases. The one named "baseline" is case 1 without evacuation and restoration.
var Cases = []Case{
	{"1 planned out and in", true, func(w *World, ended func()) error {
		w.evacuateAt(w.instances[2], affectedDataCentre)
		time.Sleep(evacuationTime)
		if err := w.powerCycleServers(affectedDataCentre, faultTime-evacuationTime); err != nil {
			return err
		}
		ended()
		return w.restore(affectedDataCentre)
	}},
	{"baseline: servers lost, not taken out", false, func(w *World, ended func()) error {
		time.Sleep(evacuationTime)
		defer ended()
		return w.powerCycleServers(affectedDataCentre, faultTime-evacuationTime)
	}},
	{"2 sudden loss, cold return", false, func(w *World, ended func()) error {
		defer ended()
		return w.powerCycleDataCentre(affectedDataCentre, faultTime)
	}},
	{"3 partition in two", false, func(w *World, ended func()) error {
		w.blockTraffic(affectedDataCentre, "norte", true)
		w.blockTraffic(affectedDataCentre, "sur", true)
		time.Sleep(faultTime)
		w.network.heal()
		ended()
		return nil
	}},
	{"4 partition in three", false, func(w *World, ended func()) error {
		w.blockTraffic(affectedDataCentre, "norte", true)
		w.blockTraffic(affectedDataCentre, "sur", true)
		w.blockTraffic("norte", "sur", true)
		time.Sleep(faultTime)
		w.network.heal()
		ended()
		return nil
	}},
	{"5 flapping link", false, func(w *World, ended func()) error {
		for range faultTime / (2 * flapInterval) {
			w.blockTraffic(affectedDataCentre, "norte", true)
			w.blockTraffic(affectedDataCentre, "sur", true)
			time.Sleep(flapInterval)
			w.network.heal()
			time.Sleep(flapInterval)
		}
		ended()
		return nil
	}},
	{"6 one-way link", false, func(w *World, ended func()) error {
		w.blockTraffic(affectedDataCentre, "norte", false)
		w.blockTraffic(affectedDataCentre, "sur", false)
		time.Sleep(faultTime)
		w.network.heal()
		ended()
		return nil
	}},
	{"7 planned out during a partition", true, func(w *World, ended func()) error {
		w.blockTraffic(affectedDataCentre, "norte", true)
		w.blockTraffic(affectedDataCentre, "sur", true)
		time.Sleep(faultTime / 4)
		// The servers of the data centre are reachable only from within it.
		w.evacuateAt(w.instances[4], affectedDataCentre)
		time.Sleep(3*faultTime/4 - evacuationTimeout) // the agreement group is unreachable, so the command took that long
		w.network.heal()
		ended()
		time.Sleep(evacuationTime)
		return w.restore(affectedDataCentre)
	}},
}

// blockTraffic blocks the traffic from one data centre to another, and also the reverse direction if both is set.
func (w *World) blockTraffic(from, to fleet.DataCentre, both bool) {
	w.network.setBlocked(from, to, true)
	if both {
		w.network.setBlocked(to, from, true)
	}
}

// evacuateAt evacuates a data centre by a command at an instance. Every instance that can send work there must be reachable
// from it: the bound holds from the time of the command, even if the log does not contain the evacuation yet.
func (w *World) evacuateAt(i *instance, name fleet.DataCentre) {
	at := w.now()
	ctx, cancel := context.WithTimeout(context.Background(), evacuationTimeout)
	defer cancel()
	i.core.Agreement.Evacuate(ctx, name, "operator", "data centre case", time.Now())
	w.recordDataCentreChange(history.DataCentreChange{DataCentre: name, Evacuated: true, AcceptedAt: at, ReachableAt: at})
}

// restore restores a data centre, as an operator who repeats the command until it is accepted.
func (w *World) restore(name fleet.DataCentre) error {
	for range 20 {
		if w.tryRestore(name) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s could not be restored", name)
}

// powerCycleServers stops the servers and agents of a data centre at once and restarts them after a pause. They return
// cold.
func (w *World) powerCycleServers(name fleet.DataCentre, pause time.Duration) error {
	var stopped []*server
	for _, s := range w.servers {
		if s.dataCentre == name {
			stopped = append(stopped, s)
			w.network.remove("", s.node)
			s.listener.Close()
			_ = s.http.Close() // breaks the connections between agent and server
			s.stop()
		}
	}
	time.Sleep(pause)
	for _, s := range stopped {
		<-s.done
		if s.engine != nil {
			s.engine.MakeCold()
		}
		s.startServer()
		if err := w.startAgent(s); err != nil {
			return err
		}
	}
	return nil
}

// powerCycleDataCentre stops all processes of a data centre at once and restarts them after a pause.
func (w *World) powerCycleDataCentre(name fleet.DataCentre, pause time.Duration) error {
	var crashed []*instance
	for _, i := range w.instances {
		if i.settings.DataCentre == name {
			crashed = append(crashed, i)
			w.crash(i)
		}
	}
	if err := w.powerCycleServers(name, pause); err != nil {
		return err
	}
	for _, i := range crashed {
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// CaseResult is the result of a case, as measured at callers and servers.
type CaseResult struct {
	Sent             int // requests; a request and its retries count as one
	Retries          int // tries after the first of each request
	Answered         int
	NotRun           int // the last try was refused as not run
	Unknown          int // the last try was refused without that guarantee
	Lost             int // the last try got no answer, or no instance accepted the connection
	RanTwice         int // non-idempotent requests that ran twice
	IdempotentReruns int // idempotent requests that ran more than once
	Delayed          int // answered with a latency above the median of their class plus delayBound
	Aborted          int // executions whose connection closed before they ended
	// LongestGaps is the longest time without an answer for the callers of a data centre, by class of request.
	LongestGaps map[CallerGroup]time.Duration
	// Recovery is the time from the end of the last fault to the start of the last request that was delayed or not answered
	// at its first try, 0 if there is none.
	Recovery time.Duration
	// ReturnTime is the time from the end of the last fault to the first execution in the affected data centre.
	ReturnTime time.Duration
	// NotRunBy counts the tries since the start of the fault that were refused as not run, by the data centre of the instance.
	NotRunBy map[fleet.DataCentre]int
	// Reasons counts the tries since the start of the fault that were not answered, by the result and detail the caller got.
	Reasons map[string]int

	Violations []history.Violation
}

// Classes of requests.
const (
	classOrder      = "order"
	classCompletion = "completion"
	classLookup     = "lookup"
)

// CallerGroup identifies the callers in a data centre that send requests of one class.
type CallerGroup struct {
	DataCentre fleet.DataCentre
	Class      string
}

// requestOutcome is the outcome of one request after all its tries.
type requestOutcome struct {
	class        string
	home         fleet.DataCentre
	begun, ended time.Duration
	tries        int
	result       history.Result
}

// RunCase runs a case and returns its measurements.
func RunCase(c Case, loss Loss, seed uint64) (*CaseResult, error) {
	w := New(seed)
	var (
		mu       sync.Mutex
		outcomes []requestOutcome
	)
	var begun, ended time.Duration
	load := func(ctx context.Context, home, caller int, rng *rand.Rand) {
		for n := 0; ctx.Err() == nil; n++ {
			outcome := w.sendWithRetries(home, newRequest(caller, fmt.Sprintf("c%d-%d-%d", home, caller, n)), rng)
			mu.Lock()
			outcomes = append(outcomes, outcome)
			mu.Unlock()
			time.Sleep(callPause + time.Duration(rng.Int64N(int64(callPause))))
		}
	}
	h, err := w.run(load, recoveryTime, func() error {
		time.Sleep(baselineTime)
		begun = w.now()
		var crash sync.WaitGroup
		var lossErr error
		if n := loss.instanceIndex(); n >= 0 {
			crash.Go(func() {
				time.Sleep(crashDelay)
				w.crash(w.instances[n])
				time.Sleep(restartDelay)
				lossErr = w.startInstance(w.instances[n])
			})
		}
		err := c.run(w, func() { ended = w.now() })
		crash.Wait()
		w.markReachable()
		return cmp.Or(err, lossErr)
	})
	if err != nil {
		return nil, fmt.Errorf("%s, loss of %s: %w", c.Name, loss, err)
	}
	s := measure(h, outcomes, begun, ended)
	s.Violations = history.Check(h)
	return s, nil
}

// sendWithRetries sends one request and repeats it until it is answered or maxTries is reached. The first try goes to the
// caller's own instance, each further one to a random instance that was not tried yet.
func (w *World) sendWithRetries(home int, request request, rng *rand.Rand) requestOutcome {
	outcome := requestOutcome{class: request.class, home: w.instances[home].settings.DataCentre, begun: w.now()}
	order := rng.Perm(len(w.instances))
	order = slices.Insert(slices.DeleteFunc(order, func(n int) bool { return n == home }), 0, home)
	for outcome.tries < maxTries {
		i := w.instances[order[outcome.tries]]
		r := history.Request{ID: request.id, Keyed: request.key != "", Instance: i.settings.Instance, Begun: w.now()}
		status, answer, err := w.call(i, request.method, request.path, request.key, request.body)
		r.Crashed = errors.Is(err, errCrashed)
		r.Result, r.Complete, r.Detail = classify(status, answer, err, request.check)
		w.recordRequest(r)
		outcome.tries++
		outcome.result, outcome.ended = r.Result, w.now()
		if r.Result == history.Answered {
			break
		}
		time.Sleep(retryInterval)
	}
	return outcome
}

// request is a request of a caller, the same at each try.
type request struct {
	id, class, method, path, key string
	body                         []byte
	check                        func([]byte) string
}

// newRequest returns a request of the caller's class. Each caller sends requests of one class only: otherwise a caller that
// waits for an order would cause a gap in the answers to lookups.
func newRequest(caller int, id string) request {
	switch caller % callersPerInstance {
	case 0:
		return request{id, classOrder, http.MethodPost, "/services/" + serviceName + "/orders", id, []byte(`{"pane":"` + id + `"}`),
			func(answer []byte) string {
				var created struct {
					ID string `json:"id"`
				}
				if json.Unmarshal(answer, &created) != nil || created.ID == "" {
					return fmt.Sprintf("no order in %q", answer)
				}
				return ""
			}}
	case 1, 2:
		prompt, stream := "prompt "+id, caller == 1
		body, _ := json.Marshal(map[string]any{"model": modelName, "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
		return request{requestID(body), classCompletion, http.MethodPost, "/v1/completions", "", body, func(answer []byte) string {
			return checkCompletion(modelName, prompt, maxTokens, stream, answer)
		}}
	default:
		path := "/prices?request=" + id
		return request{path, classLookup, http.MethodGet, "/services/" + serviceName + path, "", nil, func([]byte) string { return "" }}
	}
}

// measure computes the result of a case from the records of callers and servers. The faults lasted from begun to ended.
func measure(h *history.History, outcomes []requestOutcome, begun, ended time.Duration) *CaseResult {
	s := &CaseResult{LongestGaps: make(map[CallerGroup]time.Duration), NotRunBy: make(map[fleet.DataCentre]int), Reasons: make(map[string]int)}
	medians := baselineMedians(outcomes, begun)
	answers := make(map[CallerGroup][]time.Duration)
	for _, r := range outcomes {
		s.Sent++
		s.Retries += r.tries - 1
		delayed := r.ended-r.begun > medians[r.class]+delayBound
		switch r.result {
		case history.Answered:
			s.Answered++
			group := CallerGroup{r.home, r.class}
			answers[group] = append(answers[group], r.ended)
			if delayed {
				s.Delayed++
			}
		case history.NotRun:
			s.NotRun++
		case history.Unknown:
			s.Unknown++
		default:
			s.Lost++
		}
		if r.begun > ended && (delayed || r.tries > 1 || r.result != history.Answered) {
			s.Recovery = max(s.Recovery, r.begun-ended)
		}
	}
	for group, times := range answers {
		slices.Sort(times)
		for i := range times[1:] {
			s.LongestGaps[group] = max(s.LongestGaps[group], times[i+1]-times[i])
		}
	}
	s.addRefusals(h, begun)
	s.addRuns(h, ended)
	return s
}

// baselineMedians returns the median latency of each class of request before the fault.
func baselineMedians(outcomes []requestOutcome, begun time.Duration) map[string]time.Duration {
	latencies := make(map[string][]time.Duration)
	for _, r := range outcomes {
		if r.ended < begun && r.begun >= begun-baselineTime {
			latencies[r.class] = append(latencies[r.class], r.ended-r.begun)
		}
	}
	medians := make(map[string]time.Duration)
	for class, all := range latencies {
		slices.Sort(all)
		medians[class] = all[len(all)/2]
	}
	return medians
}

// addRefusals counts the unanswered tries since the start of the fault.
func (s *CaseResult) addRefusals(h *history.History, begun time.Duration) {
	for _, r := range h.Requests {
		if r.Result == history.Answered || r.Begun < begun {
			continue
		}
		s.Reasons[fmt.Sprintf("%s: %s", r.Result, r.Detail)]++
		for _, d := range dataCentres {
			if r.Result == history.NotRun && strings.HasPrefix(string(r.Instance), string(d)+"-") {
				s.NotRunBy[d]++
			}
		}
	}
}

// addRuns counts the executions that the servers recorded.
func (s *CaseResult) addRuns(h *history.History, ended time.Duration) {
	keyed := make(map[string]bool)
	for _, r := range h.Requests {
		keyed[r.ID] = r.Keyed
	}
	runs := make(map[string]int)
	for _, r := range h.Runs {
		runs[r.Request]++
		if r.Aborted {
			s.Aborted++
		}
		if r.DataCentre == affectedDataCentre && r.Begun >= ended && (s.ReturnTime == 0 || r.Begun-ended < s.ReturnTime) {
			s.ReturnTime = r.Begun - ended
		}
	}
	for id, n := range runs {
		switch {
		case n > 1 && keyed[id]:
			s.RanTwice++
		case n > 1:
			s.IdempotentReruns++
		}
	}
}
