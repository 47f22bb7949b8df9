package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// balancerGrace is how long a stopping instance goes on accepting: the platform's balancer asks every second, and takes an
	// instance out after two misses.
	balancerGrace = 2500 * time.Millisecond
	// stopMargin is the end of the grace period that is left for closing.
	stopMargin = 300 * time.Millisecond
	// idleSweep paces the closing of idle connections to servers.
	idleSweep = time.Second
)

// Serve runs an entry instance until the context ends, then finishes the open requests.
func Serve(ctx context.Context, s *platform.Settings, link *process.Link, reloads <-chan *platform.Settings) error {
	gate := New(Config{
		Instance: s.Instance,
		Controls: s.SeedControls(),
		Dispatch: dispatch.Config{
			DataCentre:       s.DataCentre,
			AnnounceInterval: s.AnnounceEvery,
			RetryRatio:       s.RetryRatio,
			RetrySlack:       s.RetrySlack,
			RetryWindow:      s.RetryWindow,
		},
		Decode: platform.DecodeConfiguration,
		Dial:   link.Dial,
		Hello:  link.Hello(s.Instance, s.DataCentre, ""),
	})
	callers, err := process.Listen("listen.front", s.CallersListen, gate, nil)
	if err != nil {
		return err
	}
	status := chi.NewRouter()
	status.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !gate.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ready, err := process.Listen("listen.ready", s.ReadyListen, status, nil)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { gate.Run(running) })
	group.Go(func() { sweep(running, gate) })
	group.Go(callers.Serve)
	group.Go(ready.Serve)
	log.WithFields(log.Fields{"instance": s.Instance, "callers": s.CallersListen, "ready": s.ReadyListen, "seeds": s.SeedControls()}).
		Info("entry instance serves")
	process.ForEachChange(ctx, reloads, func(next *platform.Settings) { gate.SetControls(next.SeedControls()) })
	deadline := time.Now().Add(s.StopGrace - stopMargin)
	gate.Stop()
	log.WithFields(log.Fields{"instance": s.Instance, "open": gate.Open()}).Info("entry instance stops and finishes its open requests")
	time.Sleep(balancerGrace)
	shutdown, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if callers.Shutdown(shutdown) != nil {
		log.WithField("open", gate.Open()).Error("the grace period is over: open requests are cut")
		callers.Close()
	}
	stop()
	ready.Close()
	group.Wait()
	log.WithField("instance", s.Instance).Info("entry instance has stopped")
	return nil
}

func sweep(ctx context.Context, gate *Gate) {
	tick := time.NewTicker(idleSweep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			gate.CloseIdle(now)
		}
	}
}
