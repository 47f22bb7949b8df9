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
	// usualTime is observed before the fault, to learn what is usual.
	usualTime = 5 * time.Second
	// absence is how long a fault lasts. It is longer than a session takes to be given up (5 s).
	absence = 12 * time.Second
	// quietTime lies between an out and the loss of power: 3 s in which work may still be sent there, and 2 s for that
	// work to end.
	quietTime = 5 * time.Second
	// lossAfter lies between the begin of the fault and the crash of an entry instance.
	lossAfter = 4 * time.Second
	// lossTime is how long the crashed instance is away.
	lossTime = 5 * time.Second
	// flapTime is how long a flapping link stays up or down.
	flapTime = 2 * time.Second
	// afterTime is the load after the last fault. It is longer than the slow start of a cold data centre.
	afterTime = 20 * time.Second
	// lateBound is how much longer than usual an answer may take before it counts as delayed: the bound of the time to
	// first token.
	lateBound = 1100 * time.Millisecond
	// outTimeout is how long an operator's command waits for the log.
	outTimeout = 2 * time.Second
	// retryPause lies between the tries of a caller.
	retryPause = 500 * time.Millisecond
)

// leaving is the data centre that leaves in all cases.
var leaving = fleet.DataCentre("santa-fe")

// Loss is what is lost in the middle of a case besides the data centre.
type Loss string

// Losses. Both are in a data centre that stays.
const (
	LossNone     Loss = "none"
	LossInstance Loss = "entry instance" // without a disk
	LossVoter    Loss = "voter"          // an entry instance that is also one of the three voters
)

// victim returns the index of the instance that a loss crashes, -1 for none.
func (l Loss) victim() int {
	switch l {
	case LossInstance:
		return 1
	case LossVoter:
		return 0
	default:
		return -1
	}
}

// Case is a way for a data centre to leave and return. run returns when the data centre is back; ended must be called
// when the last fault has ended.
type Case struct {
	Name    string
	Planned bool // no request may be lost
	run     func(w *World, ended func()) error
}

// Cases are the measured cases. The one named "baseline" is case 1 without the out and the in.
var Cases = []Case{
	{"1 planned out and in", true, func(w *World, ended func()) error {
		w.takeOutAt(w.instances[2], leaving)
		time.Sleep(quietTime)
		if err := w.withoutServers(leaving, absence-quietTime); err != nil {
			return err
		}
		ended()
		return w.bringBack(leaving)
	}},
	{"baseline: servers lost, not taken out", false, func(w *World, ended func()) error {
		time.Sleep(quietTime)
		defer ended()
		return w.withoutServers(leaving, absence-quietTime)
	}},
	{"2 sudden loss, cold return", false, func(w *World, ended func()) error {
		defer ended()
		return w.withoutCentre(leaving, absence)
	}},
	{"3 partition in two", false, func(w *World, ended func()) error {
		w.separate(leaving, "norte", true)
		w.separate(leaving, "sur", true)
		time.Sleep(absence)
		w.network.heal()
		ended()
		return nil
	}},
	{"4 partition in three", false, func(w *World, ended func()) error {
		w.separate(leaving, "norte", true)
		w.separate(leaving, "sur", true)
		w.separate("norte", "sur", true)
		time.Sleep(absence)
		w.network.heal()
		ended()
		return nil
	}},
	{"5 flapping link", false, func(w *World, ended func()) error {
		for range absence / (2 * flapTime) {
			w.separate(leaving, "norte", true)
			w.separate(leaving, "sur", true)
			time.Sleep(flapTime)
			w.network.heal()
			time.Sleep(flapTime)
		}
		ended()
		return nil
	}},
	{"6 one-way link", false, func(w *World, ended func()) error {
		w.separate(leaving, "norte", false)
		w.separate(leaving, "sur", false)
		time.Sleep(absence)
		w.network.heal()
		ended()
		return nil
	}},
	{"7 planned out during a partition", true, func(w *World, ended func()) error {
		w.separate(leaving, "norte", true)
		w.separate(leaving, "sur", true)
		time.Sleep(absence / 4)
		// The servers of the data centre can be reached only from its own side.
		w.takeOutAt(w.instances[4], leaving)
		time.Sleep(3*absence/4 - outTimeout) // the group is out of reach, so the command takes that long
		w.network.heal()
		ended()
		time.Sleep(quietTime)
		return w.bringBack(leaving)
	}},
}

// separate cuts the way from one data centre to another, and back if both is set.
func (w *World) separate(from, to fleet.DataCentre, both bool) {
	w.network.block(from, to, true)
	if both {
		w.network.block(to, from, true)
	}
}

// takeOutAt takes a data centre out at an instance. Every instance that can send work there must be in reach of it: the
// bound holds from the command on, even if the log does not hold the out yet.
func (w *World) takeOutAt(i *instance, name fleet.DataCentre) {
	at := w.now()
	ctx, cancel := context.WithTimeout(context.Background(), outTimeout)
	defer cancel()
	i.core.Agreement.Evacuate(ctx, name, "operator", "data centre case", time.Now())
	w.noteCentre(history.Centre{DataCentre: name, Out: true, Accepted: at, Reached: at})
}

// bringBack brings a data centre back, as an operator who repeats the command until it is accepted.
func (w *World) bringBack(name fleet.DataCentre) error {
	for range 20 {
		if w.bringIn(name) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s could not be brought back", name)
}

// withoutServers takes the power from the servers and agents of a data centre for a while. They return cold.
func (w *World) withoutServers(name fleet.DataCentre, pause time.Duration) error {
	var gone []*server
	for _, s := range w.servers {
		if s.dataCentre == name {
			gone = append(gone, s)
			w.network.leave("", s.node)
			s.listener.Close()
			_ = s.http.Close() // breaks the connections between agent and server
			s.stop()
		}
	}
	time.Sleep(pause)
	for _, s := range gone {
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

// withoutCentre takes the power from a whole data centre for a while.
func (w *World) withoutCentre(name fleet.DataCentre, pause time.Duration) error {
	var gone []*instance
	for _, i := range w.instances {
		if i.settings.DataCentre == name {
			gone = append(gone, i)
			w.crash(i)
		}
	}
	if err := w.withoutServers(name, pause); err != nil {
		return err
	}
	for _, i := range gone {
		if err := w.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// Service is how callers fared in a case.
type Service struct {
	Sent     int // requests, each of them with all its tries
	Tries    int // further tries
	Answered int
	NotRun   int // the last try was refused as not run
	Unknown  int // the last try was refused without a promise
	Lost     int // the last try got no answer at all, or no instance accepted the connection
	Doubled  int // non-idempotent requests that ran twice
	Repeated int // idempotent requests that ran more than once
	Delayed  int // answered later than the usual time of their class plus lateBound
	Cut      int // executions that were cut off at the server
	// Gaps is the longest time without an answer for the callers of a data centre, by class of request.
	Gaps map[Callers]time.Duration
	// Recovery is the time from the end of the last fault to the begin of the last request that was not answered in its
	// usual time at its first try, 0 if there is none.
	Recovery time.Duration
	// BackAtWork is the time from the end of the last fault to the first execution in the data centre that left.
	BackAtWork time.Duration
	// RefusedAt counts the tries since the begin of the fault that were refused as not run, by the data centre that refused.
	RefusedAt map[fleet.DataCentre]int
	// Reasons counts the tries since the begin of the fault that were not answered, by what the caller was told.
	Reasons map[string]int

	Violations []history.Violation
}

// Classes of requests.
const (
	classOrder      = "order"
	classCompletion = "completion"
	classLookup     = "lookup"
)

// Callers are the callers of a data centre that send requests of a class.
type Callers struct {
	Home  fleet.DataCentre
	Class string
}

// attempted is one request of a caller with all its tries.
type attempted struct {
	class        string
	home         fleet.DataCentre
	begun, ended time.Duration
	tries        int
	result       history.Result
}

// RunCase runs a case and measures it.
func RunCase(c Case, loss Loss, seed uint64) (*Service, error) {
	w := New(seed)
	var (
		mu       sync.Mutex
		requests []attempted
	)
	var begun, ended time.Duration
	load := func(ctx context.Context, home, caller int, rng *rand.Rand) {
		for n := 0; ctx.Err() == nil; n++ {
			done := w.persist(home, newRequest(caller, fmt.Sprintf("c%d-%d-%d", home, caller, n)), rng)
			mu.Lock()
			requests = append(requests, done)
			mu.Unlock()
			time.Sleep(callPause + time.Duration(rng.Int64N(int64(callPause))))
		}
	}
	h, err := w.run(load, afterTime, func() error {
		time.Sleep(usualTime)
		begun = w.now()
		var crash sync.WaitGroup
		var lossErr error
		if n := loss.victim(); n >= 0 {
			crash.Go(func() {
				time.Sleep(lossAfter)
				w.crash(w.instances[n])
				time.Sleep(lossTime)
				lossErr = w.startInstance(w.instances[n])
			})
		}
		err := c.run(w, func() { ended = w.now() })
		crash.Wait()
		w.reached()
		return cmp.Or(err, lossErr)
	})
	if err != nil {
		return nil, fmt.Errorf("%s, loss of %s: %w", c.Name, loss, err)
	}
	s := measure(h, requests, begun, ended)
	s.Violations = history.Check(h)
	return s, nil
}

// persist sends one request, and again at other instances until it is answered or the tries are used up. The first try
// goes to the caller's own instance, each further one to an instance that was not tried yet.
func (w *World) persist(home int, request request, rng *rand.Rand) attempted {
	done := attempted{class: request.class, home: w.instances[home].settings.DataCentre, begun: w.now()}
	order := rng.Perm(len(w.instances))
	order = slices.Insert(slices.DeleteFunc(order, func(n int) bool { return n == home }), 0, home)
	for done.tries < maxTries {
		i := w.instances[order[done.tries]]
		r := history.Request{ID: request.id, Keyed: request.key != "", Instance: i.settings.Instance, Begun: w.now()}
		status, answer, err := w.call(i, request.method, request.path, request.key, request.body)
		r.Crashed = errors.Is(err, errCrashed)
		r.Result, r.Complete, r.Detail = result(status, answer, err, request.check)
		w.note(r)
		done.tries++
		done.result, done.ended = r.Result, w.now()
		if r.Result == history.Answered {
			break
		}
		time.Sleep(retryPause)
	}
	return done
}

// request is what a caller sends at each try.
type request struct {
	id, class, method, path, key string
	body                         []byte
	check                        func([]byte) string
}

// newRequest returns a request of the class that a caller sends. Each caller keeps to one class: otherwise a caller that
// waits for an order would seem to wait for a lookup.
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
		body, _ := json.Marshal(map[string]any{"model": modelName, "prompt": prompt, "max_tokens": tokens, "stream": stream})
		return request{requestID(body), classCompletion, http.MethodPost, "/v1/completions", "", body, func(answer []byte) string {
			return wrongCompletion(modelName, prompt, tokens, stream, answer)
		}}
	default:
		path := "/prices?request=" + id
		return request{path, classLookup, http.MethodGet, "/services/" + serviceName + path, "", nil, func([]byte) string { return "" }}
	}
}

// measure derives the figures of a case from the records of callers and servers.
func measure(h *history.History, requests []attempted, begun, ended time.Duration) *Service {
	s := &Service{Gaps: make(map[Callers]time.Duration), RefusedAt: make(map[fleet.DataCentre]int), Reasons: make(map[string]int)}
	usual := usualTimes(requests, begun)
	answers := make(map[Callers][]time.Duration)
	for _, r := range requests {
		s.Sent++
		s.Tries += r.tries - 1
		late := r.ended-r.begun > usual[r.class]+lateBound
		switch r.result {
		case history.Answered:
			s.Answered++
			from := Callers{r.home, r.class}
			answers[from] = append(answers[from], r.ended)
			if late {
				s.Delayed++
			}
		case history.NotRun:
			s.NotRun++
		case history.Unknown:
			s.Unknown++
		default:
			s.Lost++
		}
		if r.begun > ended && (late || r.tries > 1 || r.result != history.Answered) {
			s.Recovery = max(s.Recovery, r.begun-ended)
		}
	}
	for from, times := range answers {
		slices.Sort(times)
		for i := range times[1:] {
			s.Gaps[from] = max(s.Gaps[from], times[i+1]-times[i])
		}
	}
	s.addRefusals(h, begun)
	s.addRuns(h, ended)
	return s
}

// usualTimes returns the median time of each class of request before the fault.
func usualTimes(requests []attempted, begun time.Duration) map[string]time.Duration {
	times := make(map[string][]time.Duration)
	for _, r := range requests {
		if r.ended < begun && r.begun >= begun-usualTime {
			times[r.class] = append(times[r.class], r.ended-r.begun)
		}
	}
	medians := make(map[string]time.Duration)
	for class, all := range times {
		slices.Sort(all)
		medians[class] = all[len(all)/2]
	}
	return medians
}

// addRefusals counts the tries that were refused as not run since the fault began.
func (s *Service) addRefusals(h *history.History, begun time.Duration) {
	for _, r := range h.Requests {
		if r.Result == history.Answered || r.Begun < begun {
			continue
		}
		s.Reasons[fmt.Sprintf("%s: %s", r.Result, r.Detail)]++
		for _, d := range dataCentres {
			if r.Result == history.NotRun && strings.HasPrefix(string(r.Instance), string(d)+"-") {
				s.RefusedAt[d]++
			}
		}
	}
}

// addRuns counts executions by the servers' own records.
func (s *Service) addRuns(h *history.History, ended time.Duration) {
	keyed := make(map[string]bool)
	for _, r := range h.Requests {
		keyed[r.ID] = r.Keyed
	}
	runs := make(map[string]int)
	for _, r := range h.Runs {
		runs[r.Request]++
		if r.Cut {
			s.Cut++
		}
		if r.DataCentre == leaving && r.Begun >= ended && (s.BackAtWork == 0 || r.Begun-ended < s.BackAtWork) {
			s.BackAtWork = r.Begun - ended
		}
	}
	for id, n := range runs {
		switch {
		case n > 1 && keyed[id]:
			s.Doubled++
		case n > 1:
			s.Repeated++
		}
	}
}
