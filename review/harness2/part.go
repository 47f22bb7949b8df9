//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// harmfulPart crashes each engine that begins to write an answer on it.
	harmfulPart = "91bd3f06"
	// crashesByPart is the number of crashes after which requests with the part are counted.
	crashesByPart = 5
	// In a quiet hour, a request with the part comes every 1.5 s, and a sound one every 20 s.
	partPause  = 1500 * time.Millisecond
	quietPause = 20 * time.Second
	quietFor   = 36 * time.Second
)

// sharesPart reports whether a prompt has a part that other requests may share: all but the last.
func sharesPart(prompt, part string) bool {
	entries := strings.Split(prompt, ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// harmfulPartInQuietHour: few requests come, and most of them have a part in their prompt that crashes each engine which begins to write
// an answer on it. No two are alike.
func harmfulPartInQuietHour(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, 2, 3)
	if err != nil {
		return noTrial, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return noTrial, err
	}
	seen := &harmfulLog{}
	for n := range 8 {
		e := &engine{fleet: f, n: n, address: fmt.Sprintf("%s:%d", f.address(serverNet, n), serverPort), log: seen, harmful: trouble}
		if err := e.start(); err != nil {
			return noTrial, err
		}
		defer e.close()
	}
	c := configuration(7, streamRoute())
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "model", "health-path": "/health", "max-conns": 278,
		"protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0})
	if err := f.configure(c, 20*time.Second); err != nil {
		return noTrial, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return noTrial, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	end := time.Now().Add(quietFor)
	clients.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			p := f.fronts[n%len(f.fronts)]
			id, status, events, complete := p.stream("/draft/sound", fmt.Sprint("draft: pane ", n), fmt.Sprintf("5c1e07a2:40,%x:674", 100+n))
			r.printf("client: a sound request as %s at %s: status %d, %d events, complete %v", id, p.name, status, events, complete)
			time.Sleep(quietPause)
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(partPause)
		p := f.fronts[n%len(f.fronts)]
		id, status, events, complete := p.stream("/draft/part", fmt.Sprint("draft: sheet ", n), fmt.Sprintf("5c1e07a2:40,%s:410,%x:250", harmfulPart, 5000+n))
		r.printf("client: a request with the part as %s at %s: status %d, %d events, complete %v", id, p.name, status, events, complete)
	}
	clients.Wait()
	return seen.judge(r, crashesByPart), nil
}
