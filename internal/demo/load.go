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
	repeatedOrderRatio = 0.2 // share of orders sent a second time with the same key, to another instance
)

// outcome is the result of one request, as its caller observed it.
type outcome struct {
	class       string
	key         string
	order       string       // ID in the answer to an order
	problemKind problem.Kind // of a refusal; otherwise empty
	lostReason  string       // why there is no definite outcome, or the answer is wrong; otherwise empty
	latency     time.Duration
}

// load sends requests and collects their outcomes.
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

// sendUntilDone sends random requests until the context ends, and waits for those in flight.
func (l *load) sendUntilDone(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for target := range l.targets {
		for worker := range workersPerInstance {
			rng := rand.New(rand.NewPCG(seed, uint64(target*workersPerInstance+worker)))
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					l.sendRandom(target, fmt.Sprintf("%d-%d-%d", target, worker, n), rng)
					time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
}

// sendRandom sends one request of a random class and organisation; an order may be followed by a repeat.
func (l *load) sendRandom(target int, id string, rng *rand.Rand) {
	organisation := rng.IntN(organisations)
	switch rng.IntN(4) {
	case 0:
		l.add(l.complete(target, organisation, "prompt "+id, true))
	case 1:
		l.add(l.complete(target, organisation, "prompt "+id, false))
	case 2:
		l.add(l.order(target, organisation, "key-"+id))
		if rng.Float64() < repeatedOrderRatio {
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

// send sends one request and returns status and body of the answer.
func (l *load) send(target, organisation int, method, path, key string, body any) (int, []byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequest(method, l.targets[target]+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil // prevents net/http from resending a keyed request
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

// recordFailure sets the outcome of a request that was refused or failed, and reports whether it was.
func (o *outcome) recordFailure(status int, data []byte, err error) bool {
	if err != nil {
		o.lostReason = err.Error()
		return true
	}
	if status < http.StatusBadRequest {
		return false
	}
	var document struct {
		Kind problem.Kind `json:"kind"`
	}
	if json.Unmarshal(data, &document) != nil || document.Kind == "" {
		o.lostReason = fmt.Sprintf("status %d without a problem document", status)
		return true
	}
	o.problemKind = document.Kind
	return true
}

func (l *load) complete(target, organisation int, prompt string, stream bool) outcome {
	o := outcome{class: classWhole}
	if stream {
		o.class = classStream
	}
	started := time.Now()
	status, data, err := l.send(target, organisation, http.MethodPost, "/v1/completions", "", map[string]any{
		"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": stream,
	})
	o.latency = time.Since(started)
	if o.recordFailure(status, data, err) {
		return o
	}
	text, err := standin.CompletionText(data, stream)
	if err != nil {
		o.lostReason = err.Error()
	} else if want := standin.Answer(model, prompt, maxTokens); text != want {
		o.lostReason = fmt.Sprintf("answer has %d bytes, %d expected", len(text), len(want))
	}
	return o
}

func (l *load) order(target, organisation int, key string) outcome {
	o := outcome{class: classOrder, key: key}
	started := time.Now()
	status, data, err := l.send(target, organisation, http.MethodPost, "/services/"+service+"/orders", key, map[string]string{
		"pane": key,
	})
	o.latency = time.Since(started)
	if o.recordFailure(status, data, err) {
		return o
	}
	var created struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &created) != nil || created.ID == "" {
		o.lostReason = fmt.Sprintf("no order in the answer %q", data)
	}
	o.order = created.ID
	return o
}

func (l *load) lookup(target, organisation int) outcome {
	o := outcome{class: classLookup}
	started := time.Now()
	status, data, err := l.send(target, organisation, http.MethodGet, "/services/"+service+"/prices", "", nil)
	o.latency = time.Since(started)
	o.recordFailure(status, data, err)
	return o
}
