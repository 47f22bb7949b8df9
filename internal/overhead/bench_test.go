package overhead

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// class is a kind of request. send sends one and returns the time that counts.
type class struct {
	name string
	send func(ctx context.Context, client *http.Client, url string) (time.Duration, error)
}

const wholeTokens = 16

var serial atomic.Uint64 // makes idempotency keys unique

// classes returns the kinds of request. Engines are called by the same path with and without the entry instance,
// plain services without the prefix that names the service.
func classes() []class {
	return []class{
		{"lookup", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			return timed(ctx, c, http.MethodGet, servicePath(url, "/prices"), "", nil, false)
		}},
		{"whole", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			return timed(ctx, c, http.MethodPost, url+"/v1/completions", "", completion("corte", wholeTokens, false), false)
		}},
		{"first-token", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			return timed(ctx, c, http.MethodPost, url+"/v1/completions", "", completion("corte", wholeTokens, true), true)
		}},
		{"order", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			key := fmt.Sprint("key-", serial.Add(1))
			return timed(ctx, c, http.MethodPost, servicePath(url, "/orders"), key, map[string]string{"pane": key}, false)
		}},
	}
}

// entryMark is appended to the URL of an entry instance, to tell it from a stand-in's.
const entryMark = "#entry"

func servicePath(url, path string) string {
	if base, ok := strings.CutSuffix(url, entryMark); ok {
		return base + "/services/" + service + path
	}
	return url + path
}

func completion(prompt string, tokens int, stream bool) map[string]any {
	return map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
}

func request(ctx context.Context, c *http.Client, method, url, key string, body any) (*http.Response, error) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.Replace(url, entryMark, "", 1), bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+organisationKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		_ = res.Body.Close()
		return nil, fmt.Errorf("status %d: %s", res.StatusCode, text)
	}
	return res, nil
}

// timed sends a request and returns the time to the end of its answer, or to the first byte of the answer's body.
func timed(ctx context.Context, c *http.Client, method, url, key string, body any, first bool) (time.Duration, error) {
	begun := time.Now()
	res, err := request(ctx, c, method, url, key, body)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var elapsed time.Duration
	if first {
		var b [1]byte
		if _, err := io.ReadFull(res.Body, b[:]); err != nil {
			return 0, err
		}
		elapsed = time.Since(begun)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	if !first {
		elapsed = time.Since(begun)
	}
	return elapsed, nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// direct returns the URL of a stand-in that serves the class.
func (f *path) direct(name string) string {
	if name == "lookup" || name == "order" {
		return "http://" + f.plan.Service[0]
	}
	return "http://" + f.plan.Engine[0]
}

// BenchmarkAdded measures the time that entry instance and agent add, by requests one at a time that go alternately to
// the stand-in and through the path.
func BenchmarkAdded(b *testing.B) {
	f := startPath(b, plan{Engines: 2, Services: 2})
	f.serve(b)
	for _, class := range classes() {
		b.Run(class.name, func(b *testing.B) {
			var direct, through []time.Duration
			once := func(url string, into *[]time.Duration) {
				d, err := class.send(b.Context(), f.client, url)
				if err != nil {
					b.Fatal(err)
				}
				*into = append(*into, d)
			}
			for range 20 { // opens connections
				once(f.direct(class.name), &direct)
				once(f.callers+entryMark, &through)
			}
			direct, through = nil, nil
			before := map[string]usage{"entry": f.usage(b, "entry", false), "agents": f.usage(b, "agents", false)}
			for b.Loop() {
				once(f.direct(class.name), &direct)
				once(f.callers+entryMark, &through)
			}
			for role, u := range before {
				after := f.usage(b, role, false)
				b.ReportMetric(float64((after.CPU-u.CPU).Microseconds())/float64(len(through)), role+"-cpu-µs/request")
				b.ReportMetric(float64(after.Allocated-u.Allocated)/float64(len(through)), role+"-B/request")
			}
			slices.Sort(direct)
			slices.Sort(through)
			for _, q := range []struct {
				name  string
				share float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				d, t := quantile(direct, q.share), quantile(through, q.share)
				b.ReportMetric(float64(d.Microseconds()), q.name+"-direct-µs")
				b.ReportMetric(float64((t - d).Microseconds()), q.name+"-added-µs")
			}
			f.profileWith(b, func(ctx context.Context) {
				_, _ = class.send(ctx, f.client, f.callers+entryMark)
			})
		})
	}
}

// profileSeconds is the length of a profile.
const profileSeconds = 5

// profileWith profiles the path, if that is asked for, while requests are sent.
func (f *path) profileWith(b *testing.B, send func(context.Context)) {
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	var group sync.WaitGroup
	if profiling() {
		for range 4 {
			group.Go(func() {
				for ctx.Err() == nil {
					send(ctx)
				}
			})
		}
	}
	f.profile(b, profileSeconds)
	stop()
	group.Wait()
}

// grow raises the engines' limits until their sum is at least the given one: first by slow first tokens, which end the
// agents' slow start, then by streams that last for a while, which let the limits double every 4 s.
func (f *path) grow(b *testing.B, sum int) {
	b.Helper()
	long := strings.Repeat("vidrio ", 650) // 1 ms of prefill for each token
	var group sync.WaitGroup
	for range 2 * f.plan.Engines {
		group.Go(func() {
			_, _ = timed(b.Context(), f.client, http.MethodPost, f.callers+"/v1/completions", "", completion(long, 1, true), true)
		})
	}
	group.Wait()
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	tokens := 2
	if f.plan.TokenInterval < time.Second {
		tokens = int(time.Second / max(f.plan.TokenInterval, time.Millisecond))
	}
	for range sum {
		group.Go(func() {
			for ctx.Err() == nil {
				if _, err := timed(ctx, f.client, http.MethodPost, f.callers+"/v1/completions", "", completion("corte", tokens, true), true); err != nil {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	deadline := time.Now().Add(growTimeout)
	for r := f.ready(b); r.Limits < sum; r = f.ready(b) {
		if time.Now().After(deadline) {
			b.Fatalf("the limits grew to %d only, %d wanted", r.Limits, sum)
		}
		time.Sleep(200 * time.Millisecond)
	}
	stop()
	group.Wait()
	time.Sleep(settleTime)
}

const (
	growTimeout = 2 * time.Minute
	settleTime  = time.Second // for the ends of warm-up streams to reach the stand-ins
)

// streams keeps n streams open until the context ends, and counts their tokens. It returns once all have had a token.
func (f *path) streams(ctx context.Context, b *testing.B, n int, url func(int) string, tokens *atomic.Int64) (wait func()) {
	b.Helper()
	var group, begun sync.WaitGroup
	begun.Add(n)
	for i := range n {
		group.Go(func() {
			var once sync.Once
			for ctx.Err() == nil {
				if err := f.stream(ctx, url(i), func() {
					once.Do(begun.Done)
					tokens.Add(1)
				}); err != nil && ctx.Err() == nil {
					failures.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
			once.Do(begun.Done)
		})
	}
	begun.Wait()
	return group.Wait
}

var failures atomic.Int64 // streams that did not end by the context

const streamTokens = 1 << 19

// stream reads one stream and reports each token.
func (f *path) stream(ctx context.Context, url string, token func()) error {
	res, err := request(ctx, f.client, http.MethodPost, url+"/v1/completions", "", completion("corte", streamTokens, true))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	lines := bufio.NewReaderSize(res.Body, 1024)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		if bytes.HasPrefix(line, []byte("data: {")) {
			token()
		}
	}
}

// BenchmarkStreams measures streamed tokens through one entry instance: how many, and what each costs.
func BenchmarkStreams(b *testing.B) {
	const interval = 10 * time.Millisecond
	f := startPath(b, plan{Engines: 32, TokenInterval: interval})
	f.serve(b)
	counts := []int{50, 200, 600}
	f.grow(b, slices.Max(counts)*5/4)
	for _, n := range counts {
		b.Run(fmt.Sprint("streams-", n), func(b *testing.B) {
			ctx, stop := context.WithCancel(b.Context())
			var tokens atomic.Int64
			failed := failures.Load()
			wait := f.streams(ctx, b, n, func(int) string { return f.callers }, &tokens)
			roles := []string{"entry", "agents", "standins"}
			before := make(map[string]usage)
			begun, first := time.Now(), tokens.Load()
			for _, role := range roles {
				before[role] = f.usage(b, role, false)
			}
			for b.Loop() {
				time.Sleep(5 * time.Second)
			}
			elapsed := time.Since(begun)
			count := float64(tokens.Load() - first)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(count/elapsed.Seconds(), "tokens/s")
			for _, role := range roles[:2] {
				after := f.usage(b, role, false)
				b.ReportMetric(float64(after.CPU-before[role].CPU)/count/1000, role+"-cpu-µs/token")
				b.ReportMetric(float64(after.Allocated-before[role].Allocated)/count, role+"-B/token")
			}
			f.profile(b, profileSeconds)
			stop()
			wait()
			b.ReportMetric(float64(failures.Load()-failed), "failed")
			time.Sleep(settleTime)
		})
	}
}

// BenchmarkMemory measures what an open stream takes in the entry instance and in the agents, which share a process of
// their own; the stand-ins are in another one and are not counted.
func BenchmarkMemory(b *testing.B) {
	f := startPath(b, plan{Engines: 128, TokenInterval: 2 * time.Second})
	f.serve(b)
	counts := []int{1000, 5000}
	f.grow(b, slices.Max(counts)*21/20)
	for _, n := range counts {
		b.Run(fmt.Sprint("streams-", n), func(b *testing.B) {
			roles := []string{"entry", "agents"}
			f.client.CloseIdleConnections()
			time.Sleep(settleTime)
			before := make(map[string]usage)
			for _, role := range roles {
				before[role] = f.usage(b, role, true)
			}
			ctx, stop := context.WithCancel(b.Context())
			var tokens atomic.Int64
			failed := failures.Load()
			wait := f.streams(ctx, b, n, func(int) string { return f.callers }, &tokens)
			for b.Loop() {
				time.Sleep(4 * time.Second) // two tokens of each stream
			}
			b.ReportMetric(0, "ns/op")
			for _, role := range roles {
				after := f.usage(b, role, true)
				b.ReportMetric((float64(after.Live)-float64(before[role].Live))/float64(n), role+"-live-B/stream")
				b.ReportMetric((float64(after.Resident)-float64(before[role].Resident))/float64(n), role+"-resident-B/stream")
			}
			if profiling() {
				f.heap(b)
			}
			stop()
			wait()
			b.ReportMetric(float64(failures.Load()-failed), "failed")
			time.Sleep(settleTime)
		})
	}
}

// addedBound is the added time at the 99th percentile up to which an entry instance is said to carry a rate.
const addedBound = 10 * time.Millisecond

// BenchmarkRate raises the rate of requests until the entry instance adds more than addedBound at the 99th percentile,
// and reports the last rate below. The same rate is sent to the stand-ins directly for comparison.
func BenchmarkRate(b *testing.B) {
	f := startPath(b, plan{Engines: 16, Services: 16})
	f.serve(b)
	for _, class := range classes() {
		b.Run(class.name, func(b *testing.B) {
			targets := f.plan.Engine
			if class.name == "lookup" || class.name == "order" {
				targets = f.plan.Service
			}
			var next atomic.Uint64
			direct := func() string { return "http://" + targets[next.Add(1)%uint64(len(targets))] }
			through := func() string { return f.callers + entryMark }
			var carried float64
			var added time.Duration
			for b.Loop() {
				f.atRate(b, class, 200, 5*time.Second, through) // lets the limits grow
				carried = 0
				for rate := 50.0; rate <= 32_000; rate *= 1.4 {
					plain, _ := f.atRate(b, class, rate, 2*time.Second, direct)
					measured, failed := f.atRate(b, class, rate, 2*time.Second, through)
					over := measured - plain
					b.Logf("%s at %.0f/s: p99 direct %v, added %v, %d failed", class.name, rate, plain, over, failed)
					if over > addedBound || failed > 0 {
						break
					}
					carried, added = rate, over
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(carried, "requests/s")
			b.ReportMetric(float64(added.Microseconds()), "p99-added-µs")
		})
	}
}

// atRate sends requests at a fixed rate whatever becomes of them, and returns the 99th percentile of the time from when
// each was due. Requests above maxOpen are counted as failed, so that an overload ends soon.
func (f *path) atRate(b *testing.B, class class, rate float64, d time.Duration, url func() string) (p99 time.Duration, failed int) {
	const maxOpen = 4096
	var mu sync.Mutex
	var times []time.Duration
	var group sync.WaitGroup
	open := make(chan struct{}, maxOpen)
	begun := time.Now()
	for n := range int(rate * d.Seconds()) {
		due := begun.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		late := time.Since(due)
		select {
		case open <- struct{}{}:
		default:
			mu.Lock()
			failed++
			mu.Unlock()
			continue
		}
		group.Go(func() {
			elapsed, err := class.send(b.Context(), f.client, url())
			<-open
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if failed++; failed == 1 {
					b.Log(err)
				}
				return
			}
			times = append(times, elapsed+late)
		})
	}
	group.Wait()
	if len(times) == 0 {
		return 0, failed
	}
	slices.Sort(times)
	return quantile(times, 0.99), failed
}
