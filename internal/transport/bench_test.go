package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

// tokenEvent has about the size of the server-sent event of one token.
var tokenEvent = []byte(strings.Repeat("x", 120))

// socketPair returns the two sides of a session over WebSocket on loopback: near dialled, far accepted. counted is the
// number of bytes that the dialling side has read and written.
func socketPair(b *testing.B, serve func(st Stream, open *protocol.Open)) (near, far Session, counted *atomic.Int64) {
	b.Helper()
	counted = new(atomic.Int64)
	cfg := Config{FleetKey: testKey, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return &countingConn{c, counted}, err
	}}
	accepted := make(chan Session, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s, err := Accept(w, r, cfg, protocol.Hello{}, &recorder{serve: serve}); err == nil {
			accepted <- s
		}
	}))
	b.Cleanup(server.Close)
	near, err := Dial(context.Background(), server.URL, cfg, protocol.Hello{}, &recorder{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { near.Close("benchmark is over") })
	return near, <-accepted, counted
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c *countingConn) Read(p []byte) (n int, err error) {
	defer func() { c.n.Add(int64(n)) }()
	return c.Conn.Read(p)
}

func (c *countingConn) Write(p []byte) (n int, err error) {
	defer func() { c.n.Add(int64(n)) }()
	return c.Conn.Write(p)
}

// BenchmarkStreams measures the throughput of token events through one session, from the accepting to the dialling side.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1, 100, 1000, 5000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			perStream := b.N/streams + 1
			near, _, _ := socketPair(b, func(st Stream, _ *protocol.Open) {
				ctx := context.Background()
				for i := range perStream {
					if err := st.Send(ctx, &protocol.Data{Offset: uint64(i), Payload: tokenEvent, Tokens: 1}); err != nil {
						return
					}
				}
				_ = st.Send(ctx, &protocol.End{Outcome: protocol.OutcomeDone})
			})
			b.ReportAllocs()
			b.ResetTimer()
			var group sync.WaitGroup
			for range streams {
				group.Go(func() {
					st, err := near.Open(context.Background(), &protocol.Open{Attempt: "a"})
					if err != nil {
						b.Error(err)
						return
					}
					if n, err := readAll(st); n != perStream || err != io.EOF {
						b.Errorf("%d messages, %v", n, err)
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(perStream*streams)/b.Elapsed().Seconds(), "msg/s")
		})
	}
}

// BenchmarkOpenStreams measures the memory per open, idle stream, both sides together. The stack of the goroutine in which
// the accepting side handles each stream is reported separately from the heap.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{1000, 5000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			var opened sync.WaitGroup
			near, _, _ := socketPair(b, func(st Stream, _ *protocol.Open) {
				opened.Done()
				_, _ = st.Receive(context.Background())
			})
			for b.Loop() {
				before := memory()
				list := make([]Stream, streams)
				opened.Add(streams)
				for i := range list {
					st, err := near.Open(context.Background(), &protocol.Open{Attempt: "a"})
					if err != nil {
						b.Fatal(err)
					}
					list[i] = st
				}
				opened.Wait()
				after := memory()
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(streams), "heapB/stream")
				b.ReportMetric(float64(after.StackInuse-before.StackInuse)/float64(streams), "stackB/stream")
				for _, st := range list {
					st.Close("benchmark")
				}
			}
		})
	}
}

func memory() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

// BenchmarkIdleSession measures the traffic of an idle session, both directions together. One iteration takes 10 s.
func BenchmarkIdleSession(b *testing.B) {
	_, _, counted := socketPair(b, nil)
	time.Sleep(2 * time.Second)
	before, started := counted.Load(), time.Now()
	for b.Loop() {
		time.Sleep(10 * time.Second)
	}
	b.ReportMetric(float64(counted.Load()-before)/time.Since(started).Seconds(), "B/s")
}
