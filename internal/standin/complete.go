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

// defaultMaxTokens is the length of an answer if the request does not set max_tokens.
const defaultMaxTokens = 16

// maxAnswerTokens is the upper limit of max_tokens.
const maxAnswerTokens = 1 << 20

// completionRequest has the fields of a completions request that the stand-in uses.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// waiter is a queued request.
type waiter struct {
	priority fleet.Priority
	ready    chan struct{} // closed when the request gets a slot
}

// ParsePriority parses a value of the Banyan-Priority header. An unknown value means normal priority.
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
	started := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	if req.MaxTokens < 0 || req.MaxTokens > maxAnswerTokens {
		refuse(http.StatusBadRequest, fmt.Sprintf("max_tokens must be from 1 to %d", maxAnswerTokens))
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
	defer e.releaseSlot()
	run := &completionRun{engine: e, ctx: r.Context(), crashed: ctx, w: w, started: started, req: req, chat: chat, firstIndex: from,
		id: "cmpl-" + strconv.FormatUint(sequence, 10), answer: newAnswer(req.Model, prompt)}
	sent, end := run.serve(prompt)
	e.record.end(sequence, http.StatusOK, end, sent)
	if end != EndFinished {
		panic(http.ErrAbortHandler) // aborts the connection
	}
}

// resumeFrom returns the index of the first token to send, from the headers of a resumed stream; 0 for a new request.
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

// admit waits for a slot. It returns the context that is cancelled when the engine crashes, or the HTTP status and message of
// a refusal.
func (e *Engine) admit(r *http.Request, model string) (crashed context.Context, status int, message string) {
	e.mu.Lock()
	now := time.Now()
	if now.Before(e.downUntil) {
		e.mu.Unlock()
		return nil, http.StatusServiceUnavailable, "engine is restarting"
	}
	if !e.hasModel(model) {
		e.mu.Unlock()
		return nil, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", model)
	}
	if now.Before(e.coldUntil) && e.running >= e.cfg.ColdSlots {
		e.crash()
		e.mu.Unlock()
		return nil, http.StatusServiceUnavailable, "engine fell over: it is cold and had too much load"
	}
	crashed = e.crashed
	if e.running < e.cfg.Slots {
		e.running++
		e.mu.Unlock()
		return crashed, 0, ""
	}
	queued := &waiter{ParsePriority(r.Header.Get("Banyan-Priority")), make(chan struct{})}
	// Insert before the first waiter with a lower priority: requests of equal priority stay in order of arrival.
	at := len(e.waiting)
	for i, other := range e.waiting {
		if other.priority < queued.priority {
			at = i
			break
		}
	}
	e.waiting = slices.Insert(e.waiting, at, queued)
	e.mu.Unlock()
	select {
	case <-queued.ready:
		return crashed, 0, ""
	case <-r.Context().Done():
		status, message = 499, "caller left while waiting"
	case <-crashed.Done():
		status, message = http.StatusServiceUnavailable, "engine fell over"
	}
	e.mu.Lock()
	i := slices.Index(e.waiting, queued)
	if i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	e.mu.Unlock()
	if i < 0 {
		e.releaseSlot() // the slot was granted concurrently
	}
	return nil, status, message
}

// releaseSlot gives the slot of a finished request to the first waiter, or frees it.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 && e.running <= e.cfg.Slots {
		close(e.waiting[0].ready)
		e.waiting = slices.Delete(e.waiting, 0, 1)
		return
	}
	e.running--
}

// hasModel reports whether a model or adapter of that name is loaded. e.mu must be held.
func (e *Engine) hasModel(name string) bool {
	return slices.ContainsFunc(e.models, func(m fleet.Model) bool {
		return m.Name == name || slices.Contains(m.Adapters, name)
	})
}

// completionRun is one admitted completion request.
type completionRun struct {
	engine     *Engine
	ctx        context.Context // cancelled when the caller disconnects
	crashed    context.Context // cancelled when the engine crashes
	w          http.ResponseWriter
	started    time.Time
	req        completionRequest
	chat       bool
	firstIndex int
	id         string
	answer     answer
}

// serve simulates prefill and decode, writes the answer and returns the number of tokens sent.
func (r *completionRun) serve(prompt string) (sent int, end End) {
	e := r.engine
	e.mu.Lock()
	uncached := e.cache.add(r.req.Model, prompt)
	prefill := time.Duration(float64(e.cfg.Prefill+time.Duration(uncached)*e.cfg.PrefillPerToken) * e.slowdown)
	e.mu.Unlock()
	if end := r.wait(prefill); end != EndFinished {
		return 0, end
	}
	e.mu.Lock()
	e.lastFirstToken = time.Since(r.started)
	e.mu.Unlock()
	flusher, _ := r.w.(http.Flusher)
	if r.req.Stream {
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-cache")
	}
	var answerText []byte
	for i := r.firstIndex; i < r.req.MaxTokens; i++ {
		if i > r.firstIndex {
			e.mu.Lock()
			e.lastInterval = e.stepTime()
			step := e.lastInterval
			e.mu.Unlock()
			if end := r.wait(step); end != EndFinished {
				return sent, end
			}
		}
		token := r.answer.token(i)
		if r.req.Stream {
			if _, err := r.w.Write(r.event(token, i == r.req.MaxTokens-1)); err != nil {
				return sent, EndAborted
			}
			if flusher != nil {
				flusher.Flush()
			}
		} else {
			answerText = append(answerText, token...)
		}
		sent++
		e.mu.Lock()
		e.tokensSent++
		e.mu.Unlock()
	}
	if r.req.Stream {
		_, _ = io.WriteString(r.w, "data: [DONE]\n\n")
	} else {
		r.writeWhole(string(answerText), countTokens(prompt), sent)
	}
	return sent, EndFinished
}

// wait waits for d. It returns EndAborted if the caller disconnected meanwhile, EndFailed if the engine crashed, and otherwise
// EndFinished.
func (r *completionRun) wait(d time.Duration) End {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stop := context.AfterFunc(r.crashed, cancel)
	defer stop()
	switch ok := process.Sleep(ctx, d); {
	case r.crashed.Err() != nil:
		return EndFailed
	case !ok:
		return EndAborted
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

// event encodes one token as a server-sent event. Each event contains exactly one token.
func (r *completionRun) event(token string, last bool) []byte {
	c := completion{ID: r.id, Object: "text_completion", Created: r.started.Unix(), Model: r.req.Model, Choices: []choice{{Text: token}}}
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

// writeWhole writes the answer to a request that is not streamed.
func (r *completionRun) writeWhole(text string, promptTokens, tokens int) {
	c := completion{ID: r.id, Object: "text_completion", Created: r.started.Unix(), Model: r.req.Model,
		Choices: []choice{{Text: text, FinishReason: &finishLength}},
		Usage:   &usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens}}
	if r.chat {
		c.Object = "chat.completion"
		c.Choices[0] = choice{Message: &ChatMessage{Role: "assistant", Content: text}, FinishReason: &finishLength}
	}
	writeJSON(r.w, http.StatusOK, c)
}

// cloneModels returns a deep copy, sorted by name.
func cloneModels(models []fleet.Model) []fleet.Model {
	out := slices.Clone(models)
	for i := range out {
		out[i].Adapters = slices.Clone(out[i].Adapters)
	}
	slices.SortFunc(out, func(a, b fleet.Model) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
