//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/platform"
)

func streamConfiguration(version uint64) []byte {
	body, err := platform.EncodeConfiguration(&routes.Configuration{Version: version,
		Routes: []routes.Route{{Name: "r-1", Host: callersHost, PathPrefix: "/sheet/", Kind: routes.Stream, Timeout: 8 * time.Second, Resumable: true,
			Objective: 500 * time.Millisecond, LongestPause: 120 * time.Millisecond, MaxAttempts: 2, Targets: []routes.Target{{Service: "modelo", Weight: 1}}}},
		Services: []routes.Service{{Name: "modelo", HealthPath: "/health", MaxConnections: 278}},
		Limits:   routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}})
	if err != nil {
		panic(err)
	}
	return body
}

const sheetEvents = 24

// sheetEvent is event n of the stream of a request: a list of panes as one line of text.
func sheetEvent(id string, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "id: %d\ndata: sheet %s part %d%s", n, id, n, strings.Repeat(".", n))
	for pane := 10; pane < 410; pane++ {
		fmt.Fprintf(&b, " id: %02d;", pane%100)
	}
	b.WriteString("\n\n")
	return b.String()
}

// events breaks off the streams of one server and checks that each client gets every event once.
func events(rec *recorder) int {
	f, err := newFleet(rec, 1)
	if err != nil {
		return failed
	}
	defer f.close()
	if f.start() != nil {
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	entry := f.entries[0]
	var crashed atomic.Bool
	var servers []*server
	for i := range 6 { // one of six is within the 0.17 of the site file
		s := f.newServer(i, "modelo", zones[i%3], 12, 0)
		crashes := i == 0
		s.serve = func(s *server, w http.ResponseWriter, r *http.Request, id string) {
			first := 1
			if last, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent)); err == nil {
				first = last + 1
			}
			s.fleet.rec.printf("server %s begins %s at event %d, Last-Event-Id %.40q", s.id, id, first, r.Header.Get(platform.HeaderLastEvent))
			w.Header().Set("Content-Type", "text/event-stream")
			for n := first; n <= sheetEvents; n++ {
				if crashes && crashed.Load() {
					panic(http.ErrAbortHandler)
				}
				if _, err := io.WriteString(w, sheetEvent(id, n)); err != nil || http.NewResponseController(w).Flush() != nil {
					return
				}
				time.Sleep(60 * time.Millisecond)
			}
		}
		if s.start() != nil {
			return failed
		}
		defer s.exit()
		servers = append(servers, s)
	}
	if f.replaceConfiguration(ctx, 3, streamConfiguration(3)) == nil || !f.awaitReady(ctx, entry) {
		return failed
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	var wrong atomic.Int64
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 128}}
	for i := range 72 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			id := fmt.Sprintf("%016x", i+1)
			request, _ := http.NewRequest(http.MethodPost, "http://"+entry.settings.CallersListen+"/sheet/1", strings.NewReader("measurements"))
			request.Host = callersHost
			request.Header.Set(platform.HeaderRequestID, id)
			request.Header.Set(platform.HeaderDeadline, "8000")
			response, err := client.Do(request)
			if err != nil {
				rec.printf("client has no answer to %s: %v", id, err)
				return
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				rec.printf("client has %d to %s", response.StatusCode, id)
				return
			}
			reader := bufio.NewReader(response.Body)
			var numbers []int
			exact := true
			var event strings.Builder
			for {
				line, err := reader.ReadString('\n')
				event.WriteString(line)
				if line == "\n" {
					text := event.String()
					event.Reset()
					head, _, _ := strings.Cut(text, "\n")
					n, _ := strconv.Atoi(strings.TrimPrefix(head, "id: "))
					numbers = append(numbers, n)
					exact = exact && text == sheetEvent(id, n)
				}
				if err != nil {
					if err == io.EOF {
						err = nil
					}
					ordered := true
					for k, n := range numbers {
						ordered = ordered && n == k+1
					}
					complete := err == nil
					rec.printf("client has %d of %s: events %v, exact %v, complete %v", response.StatusCode, id, numbers, exact, complete)
					if !ordered || !exact || complete && len(numbers) != sheetEvents {
						wrong.Add(1)
						rec.printf("ORDER: %s", id)
					}
					return
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if troubled() {
		rec.printf("server %s crashes", servers[0].id)
		crashed.Store(true)
		servers[0].exit()
	}
	group.Wait()
	if wrong.Load() > 0 {
		return broken
	}
	return held
}
