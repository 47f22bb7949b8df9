//go:build review

package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/banyanfront/banyanfront/decide/grants"
)

const (
	copiesFronts  = 4
	copiesEngines = 12
	// freezeTime is how long one control instance stands still: the longest freeze of a core machine in the site file.
	freezeTime = 7900 * time.Millisecond
	// afterFreeze is when the copies come again: the core is stable, and the entry instances are in touch, stable-window-ms after the
	// freeze has begun.
	afterFreeze = stableWindow + 400*time.Millisecond
)

// granterOf returns the control instance that is asked for permits of the request to a path: all entry instances ask the same.
func (f *fleet) granterOf(path string) *process {
	hash := hmac.New(sha256.New, []byte("banyanfront-on-the-platform"))
	for _, field := range []string{"hule930", http.MethodPost, host, path} {
		_, _ = fmt.Fprintf(hash, "%d:%s,", len(field), field)
	}
	_, _ = hash.Write([]byte(harmfulBody))
	var controls []grants.Control
	for _, p := range f.cores {
		controls = append(controls, grants.Control{Address: p.ip + ":7340"})
	}
	address, _ := grants.ChooseGranter(time.Now(), "trial:request:"+hex.EncodeToString(hash.Sum(nil)[:12]), controls)
	for _, p := range f.cores {
		if p.ip+":7340" == address {
			return p
		}
	}
	return f.cores[0]
}

// copiesOfSuspectedRequest: copies of one request that crashes the engines that run it come at all entry instances at once. They come
// again later than the stable window after that, while one control instance is frozen.
func copiesOfSuspectedRequest(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, copiesFronts, 3)
	if err != nil {
		return noTrial, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return noTrial, err
	}
	seen := &harmfulLog{}
	for n := range copiesEngines {
		e := &engine{fleet: f, n: n, address: fmt.Sprintf("%s:%d", f.address(serverNet, n), serverPort), log: seen, harmful: true}
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
	const path = "/draft/harmful"
	sendCopies := func() {
		var clients sync.WaitGroup
		for _, p := range f.fronts {
			clients.Go(func() {
				id, status, events, _ := p.stream(path, harmfulBody, "5c1e07a2:40,e4402b7d:674")
				r.printf("client: the harmful request as %s at %s: status %d, %d events", id, p.name, status, events)
			})
		}
		clients.Wait()
	}
	for n := range 8 { // sound requests are answered
		f.fronts[n%len(f.fronts)].stream("/draft/sound", fmt.Sprint("draft: pane ", n), fmt.Sprintf("5c1e07a2:40,%x:674", 100+n))
	}
	sendCopies()
	seen.mu.Lock()
	ends := len(seen.ends)
	seen.mu.Unlock()
	if ends < crashesBefore {
		return noTrial, fmt.Errorf("only %d engines have crashed", ends)
	}
	time.Sleep(time.Second)
	granter := f.granterOf(path)
	if trouble {
		r.printf("trouble: %s is frozen for %v", granter.name, freezeTime)
		granter.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { granter.signal(syscall.SIGCONT) })
	}
	time.Sleep(afterFreeze)
	sendCopies()
	for n := range 8 {
		f.fronts[n%len(f.fronts)].stream("/draft/sound", fmt.Sprint("draft: pane again ", n), fmt.Sprintf("5c1e07a2:40,%x:674", 200+n))
	}
	time.Sleep(freezeTime - afterFreeze + time.Second)
	return seen.judge(r, crashesBefore), nil
}
