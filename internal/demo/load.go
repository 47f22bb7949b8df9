package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/standin"
)

// Classes of requests that the demo sends.
const (
	classStream = "model, streamed"
	classWhole  = "model, whole"
	classOrder  = "order, keyed"
	classLookup = "lookup"
)

var classes = []string{classStream, classWhole, classOrder, classLookup}

const (
	maxTokens          = 40
	callerTimeout      = 25 * time.Second
	workersPerInstance = 6
	repeatedShare      = 0.2 // of orders are sent a second time with the same key, at another instance
)

// outcome is what one caller got.
type outcome struct {
	class   string
	key     string
	order   string       // identifier in the answer to an order
	kind    problem.Kind // of a refusal
	lost    string       // why the caller has no definite outcome, or a wrong answer
	elapsed time.Duration
}

// load sends requests until the context ends and collects what callers got.
type load struct {
	client  *http.Client
	targets []string // URLs of entry instances

	mu       sync.Mutex
	outcomes []outcome
}

func newLoad(f *Fleet) *load {
	l := &load{client: &http.Client{
		Timeout:   callerTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
	for _, instance := range f.instances {
		l.targets = append(l.targets, "http://"+instance.CallersAddress())
	}
	return l
}

// run sends the load until the context ends, and waits for the open requests.
func (l *load) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for target := range l.targets {
		for worker := range workersPerInstance {
			rng := rand.New(rand.NewPCG(seed, uint64(target*workersPerInstance+worker)))
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					l.one(target, fmt.Sprintf("%d-%d-%d", target, worker, n), rng)
					time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
}

func (l *load) one(target int, id string, rng *rand.Rand) {
	organisation := rng.IntN(organisations)
	switch rng.IntN(4) {
	case 0:
		l.add(l.complete(target, organisation, "prompt "+id, true))
	case 1:
		l.add(l.complete(target, organisation, "prompt "+id, false))
	case 2:
		l.add(l.order(target, organisation, "key-"+id))
		if rng.Float64() < repeatedShare {
			l.add(l.order((target+1)%len(l.targets), organisation, "key-"+id))
		}
	default:
		l.add(l.lookup(target, organisation))
	}
}

func (l *load) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// send sends one request and returns the whole answer.
func (l *load) send(target, organisation int, method, path, key string, body any) (int, []byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequest(method, l.targets[target]+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil // the client must not send a keyed request again by itself
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+fmt.Sprintf(organisationKey, organisation))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// refused fills in the outcome of a request that was not answered by a server. It reports whether that was the case.
func (o *outcome) refused(status int, data []byte, err error) bool {
	if err != nil {
		o.lost = err.Error()
		return true
	}
	if status < http.StatusBadRequest {
		return false
	}
	var document struct {
		Kind problem.Kind `json:"kind"`
	}
	if json.Unmarshal(data, &document) != nil || document.Kind == "" {
		o.lost = fmt.Sprintf("status %d without a problem document", status)
		return true
	}
	o.kind = document.Kind
	return true
}

func (l *load) complete(target, organisation int, prompt string, stream bool) outcome {
	o := outcome{class: classWhole}
	if stream {
		o.class = classStream
	}
	begun := time.Now()
	status, data, err := l.send(target, organisation, http.MethodPost, "/v1/completions", "", map[string]any{
		"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": stream,
	})
	o.elapsed = time.Since(begun)
	if o.refused(status, data, err) {
		return o
	}
	text, err := standin.CompletionText(data, stream)
	if err != nil {
		o.lost = err.Error()
	} else if want := standin.Answer(model, prompt, maxTokens); text != want {
		o.lost = fmt.Sprintf("answer has %d bytes, %d expected", len(text), len(want))
	}
	return o
}

func (l *load) order(target, organisation int, key string) outcome {
	o := outcome{class: classOrder, key: key}
	begun := time.Now()
	status, data, err := l.send(target, organisation, http.MethodPost, "/services/"+service+"/orders", key, map[string]string{
		"pane": key,
	})
	o.elapsed = time.Since(begun)
	if o.refused(status, data, err) {
		return o
	}
	var created struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &created) != nil || created.ID == "" {
		o.lost = fmt.Sprintf("no order in the answer %q", data)
	}
	o.order = created.ID
	return o
}

func (l *load) lookup(target, organisation int) outcome {
	o := outcome{class: classLookup}
	begun := time.Now()
	status, data, err := l.send(target, organisation, http.MethodGet, "/services/"+service+"/prices", "", nil)
	o.elapsed = time.Since(begun)
	o.refused(status, data, err)
	return o
}
