//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// serverLimit: servers name a limit; control instances are killed and frozen meanwhile.
func serverLimit(r *record, trouble bool) (int, error) {
	limit := 5.0
	if v, err := strconv.ParseFloat(os.Getenv("LIMIT"), 64); err == nil {
		limit = v
	}
	f, err := newFleet(r, 4, 3)
	if err != nil {
		return noTrial, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return noTrial, err
	}
	var servers []*server
	for n := range 3 {
		s, err := f.startServer(n, "desk", 30*time.Millisecond)
		if err != nil {
			return noTrial, err
		}
		defer s.close()
		servers = append(servers, s)
	}
	if err := f.configure(configuration(7), 20*time.Second); err != nil {
		return noTrial, err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return noTrial, err
	}
	time.Sleep(4 * time.Second)
	for _, s := range servers {
		s.limit = limit
	}
	named := time.Now()
	end := named.Add(80 * time.Second)
	var clients sync.WaitGroup
	for _, p := range f.fronts {
		clients.Go(func() {
			for time.Now().Before(end) {
				clients.Go(func() { p.send(http.MethodPost, "/orders/x", 4*time.Second) })
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	if trouble {
		time.Sleep(12 * time.Second)
		r.printf("trouble: all core killed")
		for _, p := range f.cores {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(12 * time.Second)
		for _, p := range f.cores {
			r.printf("trouble: %s frozen for 7.9 s", p.name)
			p.signal(syscall.SIGSTOP)
			time.Sleep(7900 * time.Millisecond)
			p.signal(syscall.SIGCONT)
			time.Sleep(7 * time.Second)
		}
	}
	clients.Wait()
	status := held
	for _, s := range servers {
		runs := s.allRuns()
		most, at := 0, time.Duration(0)
		for i, a := range runs {
			if a.at.Before(named.Add(stableWindow)) {
				continue
			}
			n := 0
			for _, b := range runs[i:] {
				if b.at.Sub(a.at) < 4*time.Second {
					n++
				}
			}
			if n > most {
				most, at = n, a.at.Sub(named)
			}
		}
		r.printf("server %s: at most %d in 4 s (at %v), allowed %.1f", s.id, most, at, 1.5*4*limit+5)
		if float64(most) > 1.5*4*limit+5 {
			status = broken
		}
	}
	_ = fmt.Sprint()
	return status, nil
}
