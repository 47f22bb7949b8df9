package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

var testModels = []fleet.Model{{Name: "m", Version: "1"}}

// call serves one request in process and returns its status and body. The status is 0 if the handler aborted the connection.
func call(h http.Handler, r *http.Request) (status int, body string) {
	w := httptest.NewRecorder()
	defer func() {
		if cut := recover(); cut != nil {
			status, body = 0, w.Body.String()
		}
	}()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func post(path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// streamed returns the text and the number of events of a streamed chat answer.
func streamed(t *testing.T, body string) (text string, events int) {
	t.Helper()
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		text += c.Choices[0].Delta.Content
		events++
	}
	return text, events
}

const chatBody = `{"model":"m","max_tokens":20,"stream":true,"messages":[{"role":"user","content":"cut a pane"}]}`

// Guards against answers that differ from Answer, and against a resumed stream that repeats or skips a token.
func TestAnswerAndResume(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineConfig{Models: testModels})
	want := Answer("m", ChatPrompt([]ChatMessage{{Role: "user", Content: "cut a pane"}}), 20)
	status, body := call(e, post("/v1/chat/completions", chatBody, "X-Attempt", "1"))
	is.Equal(status, http.StatusOK)
	text, events := streamed(t, body)
	is.Equal(text, want)
	is.Equal(events, 20) // one token per event
	is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))

	_, body = call(e, post("/v1/chat/completions", chatBody, "X-Resume-Request", "1", "X-Resume-From", "7"))
	rest, events := streamed(t, body)
	is.Equal(events, 13)
	is.Equal(strings.Join(strings.SplitAfter(want, " ")[:7], "")+rest, want)

	_, body = call(e, post("/v1/completions", `{"model":"m","max_tokens":3,"prompt":"p"}`))
	var whole completion
	is.NoErr(json.Unmarshal([]byte(body), &whole))
	is.Equal(whole.Choices[0].Text, Answer("m", "p", 3))
	entries := e.Record().Entries()
	is.Equal(len(entries), 3)
	is.Equal(entries[0].Attempt, "1")
	is.Equal(entries[1].ResumeFrom, 7)
	is.Equal(entries[2].End, EndFinished)
}

// Guards against a cold engine that serves full load, or that does not recover after a crash.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{Models: testModels, Cold: time.Minute, ColdSlots: 1, TokenInterval: time.Second})
		first := make(chan int)
		go func() {
			status, _ := call(e, post("/v1/chat/completions", chatBody))
			first <- status
		}()
		time.Sleep(time.Second)
		status, _ := call(e, post("/v1/chat/completions", chatBody))
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(<-first, 0) // the running request is aborted
		is.Equal(e.Stats().Crashes, 1)
		is.Equal(e.Record().Entries()[0].End, EndFailed)
		time.Sleep(3 * time.Minute)
		status, _ = call(e, post("/v1/chat/completions", chatBody))
		is.Equal(status, http.StatusOK)
	})
}

// Guards against a queue that ignores priorities or leaks a slot when a queued caller disconnects.
func TestPriorityAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{Models: testModels, Slots: 1, Prefill: time.Second})
		done := make(chan string)
		request := func(name, priority string, ctx context.Context) {
			go func() {
				call(e, post("/v1/chat/completions", chatBody, "Banyan-Priority", priority).WithContext(ctx))
				done <- name
			}()
			synctest.Wait()
		}
		disconnectingCtx, disconnect := context.WithCancel(context.Background())
		request("running", "normal", context.Background())
		request("low", "low", context.Background())
		request("leaves", "high", disconnectingCtx)
		request("high", "high", context.Background())
		disconnect()
		for _, name := range []string{"leaves", "running", "high", "low"} {
			is.Equal(<-done, name)
		}
		is.Equal(e.Load().Running, 0)
	})
}

// Guards against an engine that accepts an old fencing token although ChecksFencing is set, or refuses it although it is not.
func TestFencing(t *testing.T) {
	is := is.New(t)
	for _, checks := range []bool{true, false} {
		e := NewEngine(EngineConfig{ChecksFencing: checks})
		status, _ := call(e, post("/orders", `{"id":"1","fencing":5,"action":"load","model":"a","version":"2"}`))
		is.Equal(status, http.StatusOK)
		status, _ = call(e, post("/orders", `{"id":"2","fencing":4,"action":"unload","model":"a"}`))
		is.Equal(status == http.StatusConflict, checks)
		is.Equal(len(e.Load().Models) == 1, checks)
		is.True(e.Orders()[1].Stale)
	}
}

// Guards against a service that hides duplicate orders, or does not record a request that ran before its connection was
// aborted.
func TestServiceShowsDuplicates(t *testing.T) {
	is := is.New(t)
	s := NewService(ServiceConfig{})
	s.AbortNext(1)
	status, _ := call(s, post("/orders", `{"pane":1}`, "Idempotency-Key", "k"))
	is.Equal(status, 0)
	status, body := call(s, post("/orders", `{"pane":1}`, "Idempotency-Key", "k"))
	is.Equal(status, http.StatusCreated)
	is.Equal(s.Created(), 2)
	is.Equal(len(s.Orders()["k"]), 2)
	var order Order
	is.NoErr(json.Unmarshal([]byte(body), &order))
	status, body = call(s, httptest.NewRequest(http.MethodGet, "/orders/"+order.ID, nil))
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"pane":1`))
	is.Equal(s.Record().Entries()[0].End, EndAborted)
	status, _ = call(s, httptest.NewRequest(http.MethodDelete, "/anything/else", nil))
	is.Equal(status, http.StatusOK)
}

// Guards against a record that lacks the number of tokens sent by an aborted stream, or that grows without bound.
func TestRecordOfAbortedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := NewEngine(EngineConfig{Models: testModels, TokenInterval: time.Second, RecordEntries: 2})
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 4500*time.Millisecond)
			call(e, post("/v1/chat/completions", chatBody).WithContext(ctx))
			cancel()
		}
		entries := e.Record().Entries()
		is.Equal(len(entries), 2)
		is.Equal(e.Record().Count(), uint64(3))
		is.Equal(entries[1].End, EndAborted)
		is.Equal(entries[1].Tokens, 5)
		is.Equal(entries[1].Ended.Sub(entries[1].Started), 4500*time.Millisecond)
	})
}

// Guards against a prefix cache without effect or limit, and against a rank that does not wait for the slowest one.
func TestPrefillAndSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := NewGroup(2)
		cfg := EngineConfig{Models: testModels, PrefillPerToken: time.Second, TokenInterval: time.Millisecond, CacheTokens: 64, Group: group}
		fast := NewEngine(cfg)
		cfg.Rank = 1
		slow := NewEngine(cfg)
		slow.SetSlowdown(50)
		is.Equal(slow.Load().StepTime, 50*time.Millisecond)
		request := func(prompt string) time.Duration {
			started := time.Now()
			call(fast, post("/v1/completions", `{"model":"m","max_tokens":3,"prompt":"`+prompt+`"}`))
			return time.Since(started)
		}
		long := strings.Repeat("w ", 64)
		is.Equal(request(long), 64*time.Second+100*time.Millisecond) // two steps of the slow rank
		is.Equal(request(long), 100*time.Millisecond)
		is.Equal(request(long[:64]+"other"), time.Second+100*time.Millisecond) // the common prefix is cached
		request(strings.Repeat("x ", 64))
		is.Equal(request(long), 64*time.Second+100*time.Millisecond) // evicted by the other prompt
		is.True(fast.Load().KVUsed <= 1)
	})
}

// Guards against a server that still answers after stop.
func TestStart(t *testing.T) {
	is := is.New(t)
	address, stop, err := Start("127.0.0.1:0", NewService(ServiceConfig{}))
	is.NoErr(err)
	response, err := http.Get("http://" + address + "/healthz")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	stop()
	_, err = http.Get("http://" + address + "/healthz")
	is.True(err != nil)
}
