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

// class is a kind of request. send sends one and returns its latency: to the first byte for first-token, else to the end.
type class struct {
	name string
	send func(ctx context.Context, client *http.Client, url string) (time.Duration, error)
}

const completionTokens = 16

var keySequence atomic.Uint64 // makes idempotency keys unique

// classes returns the kinds of request. Engines are called with the same URL path directly and through the entry instance;
// plain services are called directly without the prefix that names the service.
func classes() []class {
	return []class{
		{"lookup", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			return timed(ctx, c, http.MethodGet, servicePath(url, "/prices"), "", nil, false)
		}},
		{"whole", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			return timed(ctx, c, http.MethodPost, url+"/v1/completions", "", completion("corte", completionTokens, false), false)
		}},
		{"first-token", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			return timed(ctx, c, http.MethodPost, url+"/v1/completions", "", completion("corte", completionTokens, true), true)
		}},
		{"order", func(ctx context.Context, c *http.Client, url string) (time.Duration, error) {
			key := fmt.Sprint("key-", keySequence.Add(1))
			return timed(ctx, c, http.MethodPost, servicePath(url, "/orders"), key, map[string]string{"pane": key}, false)
		}},
	}
}

// entryMarker is appended to the URL of an entry instance, to distinguish it from the URL of a stand-in.
const entryMarker = "#entry"

func servicePath(url, path string) string {
	if base, ok := strings.CutSuffix(url, entryMarker); ok {
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
	req, err := http.NewRequestWithContext(ctx, method, strings.Replace(url, entryMarker, "", 1), bytes.NewReader(encoded))
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

// directURL returns the URL of a stand-in that serves the named class.
func (f *testFleet) directURL(name string) string {
	if name == "lookup" || name == "order" {
		return "http://" + f.plan.Service[0]
	}
	return "http://" + f.plan.Engine[0]
}

// BenchmarkAdded measures the latency that entry instance and agent add. It sends one request at a time, alternately to the
// stand-in directly and through the entry instance.
func BenchmarkAdded(b *testing.B) {
	f := startTestFleet(b, plan{Engines: 2, Services: 2})
	f.startServing(b)
	for _, class := range classes() {
		b.Run(class.name, func(b *testing.B) {
			var direct, proxied []time.Duration
			measure := func(url string, latencies *[]time.Duration) {
				d, err := class.send(b.Context(), f.client, url)
				if err != nil {
					b.Fatal(err)
				}
				*latencies = append(*latencies, d)
			}
			for range 20 { // opens connections
				measure(f.directURL(class.name), &direct)
				measure(f.callers+entryMarker, &proxied)
			}
			direct, proxied = nil, nil
			before := map[string]usage{"entry": f.queryUsage(b, "entry", false), "agents": f.queryUsage(b, "agents", false)}
			for b.Loop() {
				measure(f.directURL(class.name), &direct)
				measure(f.callers+entryMarker, &proxied)
			}
			for role, u := range before {
				after := f.queryUsage(b, role, false)
				b.ReportMetric(float64((after.CPU-u.CPU).Microseconds())/float64(len(proxied)), role+"-cpu-µs/request")
				b.ReportMetric(float64(after.Allocated-u.Allocated)/float64(len(proxied)), role+"-B/request")
			}
			slices.Sort(direct)
			slices.Sort(proxied)
			for _, q := range []struct {
				name  string
				share float64
			}{{"p50", 0.5}, {"p99", 0.99}} {
				d, t := quantile(direct, q.share), quantile(proxied, q.share)
				b.ReportMetric(float64(d.Microseconds()), q.name+"-direct-µs")
				b.ReportMetric(float64((t - d).Microseconds()), q.name+"-added-µs")
			}
			f.profileUnderLoad(b, func(ctx context.Context) {
				_, _ = class.send(ctx, f.client, f.callers+entryMarker)
			})
		})
	}
}

// profileSeconds is the duration of a profile.
const profileSeconds = 5

// profileUnderLoad writes profiles while requests are sent, if profilesEnv is set.
func (f *testFleet) profileUnderLoad(b *testing.B, send func(context.Context)) {
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
	f.writeProfiles(b, profileSeconds)
	stop()
	group.Wait()
}

// raiseLimits raises the engines' concurrency limits until their sum is at least sum: first by requests with a slow first
// token, which end the agents' slow start, then by streams of about a second, under which the limits double every 4 s.
func (f *testFleet) raiseLimits(b *testing.B, sum int) {
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
	deadline := time.Now().Add(raiseLimitsTimeout)
	for r := f.queryReadiness(b); r.Limits < sum; r = f.queryReadiness(b) {
		if time.Now().After(deadline) {
			b.Fatalf("the sum of the concurrency limits is %d after the time-out, %d expected", r.Limits, sum)
		}
		time.Sleep(200 * time.Millisecond)
	}
	stop()
	group.Wait()
	time.Sleep(settleTime)
}

const (
	raiseLimitsTimeout = 2 * time.Minute
	settleTime         = time.Second // until the ends of warm-up streams have reached the stand-ins
)

// keepStreamsOpen keeps n streams open until the context ends, and counts their tokens. It returns when all streams have
// received a token; wait returns when all have ended.
func (f *testFleet) keepStreamsOpen(ctx context.Context, b *testing.B, n int, url func(int) string, tokens *atomic.Int64) (wait func()) {
	b.Helper()
	var group, started sync.WaitGroup
	started.Add(n)
	for i := range n {
		group.Go(func() {
			var once sync.Once
			for ctx.Err() == nil {
				if err := f.readStream(ctx, url(i), func() {
					once.Do(started.Done)
					tokens.Add(1)
				}); err != nil && ctx.Err() == nil {
					failedStreams.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
			once.Do(started.Done)
		})
	}
	started.Wait()
	return group.Wait
}

var failedStreams atomic.Int64 // streams that ended before their context

const streamTokens = 1 << 19

// readStream reads one stream and calls token for each of its tokens.
func (f *testFleet) readStream(ctx context.Context, url string, token func()) error {
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

// BenchmarkStreams measures streams through one entry instance: tokens per second, and processor time and allocations per
// token.
func BenchmarkStreams(b *testing.B) {
	const interval = 10 * time.Millisecond
	f := startTestFleet(b, plan{Engines: 32, TokenInterval: interval})
	f.startServing(b)
	counts := []int{50, 200, 600}
	f.raiseLimits(b, slices.Max(counts)*5/4)
	for _, n := range counts {
		b.Run(fmt.Sprint("streams-", n), func(b *testing.B) {
			ctx, stop := context.WithCancel(b.Context())
			var tokens atomic.Int64
			failed := failedStreams.Load()
			wait := f.keepStreamsOpen(ctx, b, n, func(int) string { return f.callers }, &tokens)
			roles := []string{"entry", "agents", "standins"}
			before := make(map[string]usage)
			begun, first := time.Now(), tokens.Load()
			for _, role := range roles {
				before[role] = f.queryUsage(b, role, false)
			}
			for b.Loop() {
				time.Sleep(5 * time.Second)
			}
			elapsed := time.Since(begun)
			count := float64(tokens.Load() - first)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(count/elapsed.Seconds(), "tokens/s")
			for _, role := range roles[:2] {
				after := f.queryUsage(b, role, false)
				b.ReportMetric(float64(after.CPU-before[role].CPU)/count/1000, role+"-cpu-µs/token")
				b.ReportMetric(float64(after.Allocated-before[role].Allocated)/count, role+"-B/token")
			}
			f.writeProfiles(b, profileSeconds)
			stop()
			wait()
			b.ReportMetric(float64(failedStreams.Load()-failed), "failed")
			time.Sleep(settleTime)
		})
	}
}

// BenchmarkMemory measures the memory of an open stream in the process of the entry instance and in that of the agents. The
// stand-ins run in a third process and are not counted.
func BenchmarkMemory(b *testing.B) {
	f := startTestFleet(b, plan{Engines: 128, TokenInterval: 2 * time.Second})
	f.startServing(b)
	counts := []int{1000, 5000}
	f.raiseLimits(b, slices.Max(counts)*21/20)
	for _, n := range counts {
		b.Run(fmt.Sprint("streams-", n), func(b *testing.B) {
			roles := []string{"entry", "agents"}
			f.client.CloseIdleConnections()
			time.Sleep(settleTime)
			before := make(map[string]usage)
			for _, role := range roles {
				before[role] = f.queryUsage(b, role, true)
			}
			ctx, stop := context.WithCancel(b.Context())
			var tokens atomic.Int64
			failed := failedStreams.Load()
			wait := f.keepStreamsOpen(ctx, b, n, func(int) string { return f.callers }, &tokens)
			for b.Loop() {
				time.Sleep(4 * time.Second) // two tokens of each stream
			}
			b.ReportMetric(0, "ns/op")
			for _, role := range roles {
				after := f.queryUsage(b, role, true)
				b.ReportMetric((float64(after.Live)-float64(before[role].Live))/float64(n), role+"-live-B/stream")
				b.ReportMetric((float64(after.Resident)-float64(before[role].Resident))/float64(n), role+"-resident-B/stream")
			}
			if profiling() {
				f.writeHeapProfiles(b)
			}
			stop()
			wait()
			b.ReportMetric(float64(failedStreams.Load()-failed), "failed")
			time.Sleep(settleTime)
		})
	}
}

// maxAddedLatency is the added latency at the 99th percentile up to which an entry instance sustains a rate.
const maxAddedLatency = 10 * time.Millisecond

// BenchmarkRate raises the request rate until the entry instance adds more than maxAddedLatency at the 99th percentile or a
// request fails, and reports the last sustained rate. The same rate is sent to the stand-ins directly for comparison.
func BenchmarkRate(b *testing.B) {
	f := startTestFleet(b, plan{Engines: 16, Services: 16})
	f.startServing(b)
	for _, class := range classes() {
		b.Run(class.name, func(b *testing.B) {
			targets := f.plan.Engine
			if class.name == "lookup" || class.name == "order" {
				targets = f.plan.Service
			}
			var next atomic.Uint64
			direct := func() string { return "http://" + targets[next.Add(1)%uint64(len(targets))] }
			proxied := func() string { return f.callers + entryMarker }
			var sustained float64
			var added time.Duration
			for b.Loop() {
				f.sendAtRate(b, class, 200, 5*time.Second, proxied) // lets the limits rise
				sustained = 0
				for rate := 50.0; rate <= 32_000; rate *= 1.4 {
					directP99, _ := f.sendAtRate(b, class, rate, 2*time.Second, direct)
					proxiedP99, failed := f.sendAtRate(b, class, rate, 2*time.Second, proxied)
					addedP99 := proxiedP99 - directP99
					b.Logf("%s at %.0f/s: p99 direct %v, added %v, %d failed", class.name, rate, directP99, addedP99, failed)
					if addedP99 > maxAddedLatency || failed > 0 {
						break
					}
					sustained, added = rate, addedP99
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(sustained, "requests/s")
			b.ReportMetric(float64(added.Microseconds()), "p99-added-µs")
		})
	}
}

// sendAtRate sends requests at a fixed rate, independent of their answers (open loop), and returns the 99th percentile of
// the latency from the time each was due. Requests above maxOpen in flight count as failed, so that an overload ends soon.
func (f *testFleet) sendAtRate(b *testing.B, class class, rate float64, d time.Duration, url func() string) (p99 time.Duration, failed int) {
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
