package world

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/history"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/standin"
)

const (
	callersPerInstance = 4
	maxTries           = 5 // of a request that its caller retries
	deadlineMS         = "8000"
	callPause          = 150 * time.Millisecond // minimum time between the requests of a caller; the maximum is twice that
	maxTokens          = 12
)

// call sends one request to an instance and returns the response.
func (w *World) call(i *instance, method, path, key string, body []byte) (status int, answer []byte, err error) {
	handler := w.callerHandler(i)
	if handler == nil {
		return 0, nil, errUnreachable
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req := httptest.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Banyan-Deadline-Ms", deadlineMS)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	recorder := &lockedRecorder{ResponseRecorder: httptest.NewRecorder()}
	err = serveUntilDown(w.downSignal(i), handler, recorder, req, func(f func()) { go f() })
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.Code, recorder.Body.Bytes(), err
}

// serveUntilDown serves a request in a goroutine started by spawn. It returns when the request is answered, or with
// errCrashed when down is closed.
func serveUntilDown(down <-chan struct{}, handler http.Handler, w http.ResponseWriter, req *http.Request, spawn func(func())) error {
	finished := make(chan error, 1)
	spawn(func() {
		defer func() {
			if recover() != nil {
				finished <- io.ErrUnexpectedEOF // the handler aborted the response
			}
		}()
		handler.ServeHTTP(w, req)
		finished <- nil
	})
	select {
	case err := <-finished:
		return err
	case <-down:
		return errCrashed
	}
}

var errCrashed = errors.New("the instance went down while it answered")

// lockedRecorder records a response. A caller may read it while the handler of an instance that went down still writes.
type lockedRecorder struct {
	mu sync.Mutex
	*httptest.ResponseRecorder
}

// Write implements http.ResponseWriter.
func (r *lockedRecorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ResponseRecorder.Write(data)
}

// WriteHeader implements http.ResponseWriter.
func (r *lockedRecorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ResponseRecorder.WriteHeader(status)
}

// Flush implements http.Flusher.
func (r *lockedRecorder) Flush() {}

// classify returns the result of a request, whether its answer is complete, and a detail. check returns a description of the
// error in an answer, or "".
func classify(status int, answer []byte, err error, check func([]byte) string) (history.Result, bool, string) {
	if errors.Is(err, errUnreachable) {
		return history.Unreachable, false, ""
	}
	if err != nil {
		return history.NoAnswer, false, err.Error()
	}
	if status < http.StatusBadRequest {
		defect := check(answer)
		return history.Answered, defect == "", defect
	}
	var document struct {
		Kind   problem.Kind `json:"kind"`
		Detail string       `json:"detail"`
		Ran    *bool        `json:"ran"`
	}
	if json.Unmarshal(answer, &document) != nil || document.Kind == "" {
		return history.Unknown, false, fmt.Sprintf("status %d", status)
	}
	detail := string(document.Kind) + ": " + document.Detail
	if document.Ran != nil && !*document.Ran {
		return history.NotRun, false, detail
	}
	return history.Unknown, false, detail
}

// caller sends requests of all classes until the context ends.
func (w *World) caller(ctx context.Context, home int, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		switch rng.IntN(5) {
		case 0, 1:
			w.placeOrder(home, id, rng)
		case 2:
			w.requestCompletion(home, id, true)
		case 3:
			w.requestCompletion(home, id, false)
		default:
			w.lookUpPrice(home, id)
		}
		time.Sleep(callPause + time.Duration(rng.Int64N(int64(callPause))))
	}
}

func (w *World) recordRequest(r history.Request) {
	r.Ended = w.now()
	w.recorder.Record(func(h *history.History) { h.Requests = append(h.Requests, r) })
}

// placeOrder sends a keyed request, and retries it with the same key at random instances until it is answered, at most
// maxTries times in all.
func (w *World) placeOrder(home int, id string, rng *rand.Rand) {
	for range maxTries {
		i := w.instances[home]
		r := history.Request{ID: id, Keyed: true, Instance: i.settings.Instance, Begun: w.now()}
		status, answer, err := w.call(i, http.MethodPost, "/services/"+serviceName+"/orders", id, []byte(`{"pane":"`+id+`"}`))
		r.Crashed = errors.Is(err, errCrashed)
		r.Result, r.Complete, r.Detail = classify(status, answer, err, func(body []byte) string {
			var created struct {
				ID string `json:"id"`
			}
			if json.Unmarshal(body, &created) != nil || created.ID == "" {
				return fmt.Sprintf("no order in %q", body)
			}
			return ""
		})
		w.recordRequest(r)
		if r.Result == history.Answered {
			return
		}
		home = rng.IntN(len(w.instances))
		time.Sleep(500 * time.Millisecond)
	}
}

func (w *World) requestCompletion(home int, id string, stream bool) {
	i := w.instances[home]
	prompt := "prompt " + id
	body, _ := json.Marshal(map[string]any{"model": modelName, "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
	r := history.Request{ID: requestID(body), Instance: i.settings.Instance, Begun: w.now()}
	status, answer, err := w.call(i, http.MethodPost, "/v1/completions", "", body)
	r.Crashed = errors.Is(err, errCrashed)
	r.Result, r.Complete, r.Detail = classify(status, answer, err, func(body []byte) string {
		return checkCompletion(modelName, prompt, maxTokens, stream, body)
	})
	w.recordRequest(r)
}

func (w *World) lookUpPrice(home int, id string) {
	i := w.instances[home]
	path := "/prices?request=" + id
	r := history.Request{ID: path, Instance: i.settings.Instance, Begun: w.now()}
	status, answer, err := w.call(i, http.MethodGet, "/services/"+serviceName+path, "", nil)
	r.Crashed = errors.Is(err, errCrashed)
	r.Result, r.Complete, r.Detail = classify(status, answer, err, func([]byte) string { return "" })
	w.recordRequest(r)
}

// checkCompletion returns a description of the error in the answer to a completion, or "".
func checkCompletion(model, prompt string, tokens int, stream bool, answer []byte) string {
	want := standin.Answer(model, prompt, tokens)
	if got, err := standin.CompletionText(answer, stream); got != want {
		return fmt.Sprintf("%q (%v) instead of %q in %q", got, err, want, answer)
	}
	return ""
}
