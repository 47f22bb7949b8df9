package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/process"
)

// defaultMaxTokens is the length of an answer if the request does not say.
const defaultMaxTokens = 16

// maxTokensLimit bounds the length of an answer.
const maxTokensLimit = 1 << 20

// completionRequest is the part of a completions request that the stand-in reads.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority fleet.Priority
	ready    chan struct{}
}

// ParsePriority reads the Banyan-Priority header; anything unknown is normal.
func ParsePriority(s string) fleet.Priority {
	switch s {
	case "high":
		return fleet.PriorityHigh
	case "low":
		return fleet.PriorityLow
	}
	return fleet.PriorityNormal
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body cannot be read: "+err.Error())
		return
	}
	sequence := e.record.begin(r, digestOf(body))
	refuse := func(status int, message string) {
		e.record.end(sequence, status, EndRefused, 0)
		writeError(w, status, message)
	}
	chat := r.URL.Path == "/v1/chat/completions"
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		refuse(http.StatusBadRequest, "body is not a completions request: "+err.Error())
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxTokensLimit {
		refuse(http.StatusBadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", maxTokensLimit))
		return
	}
	prompt := req.Prompt
	if chat {
		prompt = ChatPrompt(req.Messages)
	}
	from, err := resumeFrom(r, req.MaxTokens)
	if err != nil {
		refuse(http.StatusBadRequest, err.Error())
		return
	}
	if from > 0 {
		e.record.update(sequence, func(entry *Entry) { entry.ResumeFrom = from })
	}

	ctx, status, message := e.admit(r, req.Model)
	if status != 0 {
		refuse(status, message)
		return
	}
	defer e.leave()
	run := &run{e: e, ctx: r.Context(), fallen: ctx, w: w, begun: begun, req: req, chat: chat, from: from,
		id: "cmpl-" + strconv.FormatUint(sequence, 10), answer: newAnswer(req.Model, prompt)}
	sent, end := run.serve(prompt)
	e.record.end(sequence, http.StatusOK, end, sent)
	if end != EndFinished {
		panic(http.ErrAbortHandler) // breaks the connection
	}
}

// resumeFrom reads the headers of a resumed stream.
func resumeFrom(r *http.Request, maxTokens int) (int, error) {
	if r.Header.Get("X-Resume-Request") == "" {
		return 0, nil
	}
	from, err := strconv.Atoi(r.Header.Get("X-Resume-From"))
	if err != nil || from < 0 || from > maxTokens {
		return 0, fmt.Errorf("X-Resume-From %q must be a number from 0 to max_tokens", r.Header.Get("X-Resume-From"))
	}
	return from, nil
}

// admit waits for a slot. It returns the context that ends when the engine falls over, or a status and message.
func (e *Engine) admit(r *http.Request, model string) (fallen context.Context, status int, message string) {
	e.mu.Lock()
	now := time.Now()
	if now.Before(e.downUntil) {
		e.mu.Unlock()
		return nil, http.StatusServiceUnavailable, "engine is restarting"
	}
	if !e.serves(model) {
		e.mu.Unlock()
		return nil, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", model)
	}
	if now.Before(e.coldUntil) && e.running >= e.cfg.ColdSlots {
		e.fallOver()
		e.mu.Unlock()
		return nil, http.StatusServiceUnavailable, "engine fell over: it is cold and had too much load"
	}
	fallen = e.fallen
	if e.running < e.cfg.Slots {
		e.running++
		e.mu.Unlock()
		return fallen, 0, ""
	}
	self := &waiter{ParsePriority(r.Header.Get("Banyan-Priority")), make(chan struct{})}
	// The first waiter with a lower priority marks the place, so that equal priorities keep their order.
	at := len(e.waiting)
	for i, other := range e.waiting {
		if other.priority < self.priority {
			at = i
			break
		}
	}
	e.waiting = slices.Insert(e.waiting, at, self)
	e.mu.Unlock()
	select {
	case <-self.ready:
		return fallen, 0, ""
	case <-r.Context().Done():
		status, message = 499, "caller left while waiting"
	case <-fallen.Done():
		status, message = http.StatusServiceUnavailable, "engine fell over"
	}
	e.mu.Lock()
	i := slices.Index(e.waiting, self)
	if i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	e.mu.Unlock()
	if i < 0 {
		e.leave() // the slot was given at the same moment
	}
	return nil, status, message
}

// leave gives the slot to the first waiter.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 && e.running <= e.cfg.Slots {
		close(e.waiting[0].ready)
		e.waiting = slices.Delete(e.waiting, 0, 1)
		return
	}
	e.running--
}

// serves reports whether the model, or one of its adapters, is loaded. The caller holds e.mu.
func (e *Engine) serves(name string) bool {
	return slices.ContainsFunc(e.models, func(m fleet.Model) bool {
		return m.Name == name || slices.Contains(m.Adapters, name)
	})
}

// run is one completion.
type run struct {
	e      *Engine
	ctx    context.Context // ends when the caller leaves
	fallen context.Context // ends when the engine falls over
	w      http.ResponseWriter
	begun  time.Time
	req    completionRequest
	chat   bool
	from   int
	id     string
	answer answer
}

// serve runs prefill and decode and returns the number of tokens sent.
func (r *run) serve(prompt string) (sent int, end End) {
	e := r.e
	e.mu.Lock()
	missing := e.cache.fill(r.req.Model, prompt)
	prefill := time.Duration(float64(e.cfg.Prefill+time.Duration(missing)*e.cfg.PrefillPerToken) * e.slow)
	e.mu.Unlock()
	if end := r.wait(prefill); end != EndFinished {
		return 0, end
	}
	e.mu.Lock()
	e.firstToken = time.Since(r.begun)
	e.mu.Unlock()
	flusher, _ := r.w.(http.Flusher)
	if r.req.Stream {
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-cache")
	}
	var whole []byte
	for i := r.from; i < r.req.MaxTokens; i++ {
		if i > r.from {
			e.mu.Lock()
			e.interval = e.step()
			step := e.interval
			e.mu.Unlock()
			if end := r.wait(step); end != EndFinished {
				return sent, end
			}
		}
		token := r.answer.token(i)
		if r.req.Stream {
			if _, err := r.w.Write(r.event(token, i == r.req.MaxTokens-1)); err != nil {
				return sent, EndCut
			}
			if flusher != nil {
				flusher.Flush()
			}
		} else {
			whole = append(whole, token...)
		}
		sent++
		e.mu.Lock()
		e.tokens++
		e.mu.Unlock()
	}
	if r.req.Stream {
		_, _ = io.WriteString(r.w, "data: [DONE]\n\n")
	} else {
		r.whole(string(whole), countTokens(prompt), sent)
	}
	return sent, EndFinished
}

// wait waits for d and tells whether the caller left or the engine fell over meanwhile.
func (r *run) wait(d time.Duration) End {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stop := context.AfterFunc(r.fallen, cancel)
	defer stop()
	switch ok := process.Sleep(ctx, d); {
	case r.fallen.Err() != nil:
		return EndFailed
	case !ok:
		return EndCut
	}
	return EndFinished
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

var finishLength = "length"

// event returns one token as a server-sent event. Each event carries exactly one token.
func (r *run) event(token string, last bool) []byte {
	c := completion{ID: r.id, Object: "text_completion", Created: r.begun.Unix(), Model: r.req.Model, Choices: []choice{{Text: token}}}
	if r.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0] = choice{Delta: &ChatMessage{Role: "assistant", Content: token}}
	}
	if last {
		c.Choices[0].FinishReason = &finishLength
	}
	b, _ := json.Marshal(c)
	return append(append([]byte("data: "), b...), "\n\n"...)
}

func (r *run) whole(text string, promptTokens, tokens int) {
	c := completion{ID: r.id, Object: "text_completion", Created: r.begun.Unix(), Model: r.req.Model,
		Choices: []choice{{Text: text, FinishReason: &finishLength}},
		Usage:   &usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens}}
	if r.chat {
		c.Object = "chat.completion"
		c.Choices[0] = choice{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: &finishLength}
	}
	writeJSON(r.w, http.StatusOK, c)
}

func cloneModels(models []fleet.Model) []fleet.Model {
	out := slices.Clone(models)
	for i := range out {
		out[i].Adapters = slices.Clone(out[i].Adapters)
	}
	slices.SortFunc(out, func(a, b fleet.Model) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
