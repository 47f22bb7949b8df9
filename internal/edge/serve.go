package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/platform"
)

const (
	// deregistrationDelay is how long a stopping instance continues to accept connections: the platform's balancer checks
	// readiness every second, and removes an instance after two failed checks.
	deregistrationDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left when the open requests are ended.
	stopMargin = 300 * time.Millisecond
	// endTime is how long the requests that are ended have to send their final responses, before their connections are closed.
	endTime = 150 * time.Millisecond
	// callersShare is the share of the process's sockets for callers. The rest is for backend servers and sessions.
	callersShare = 0.5
	// idleSweepInterval is the interval at which idle connections to servers are closed.
	idleSweepInterval = time.Second
)

// Serve runs an entry instance until the context ends, then drains it.
func Serve(ctx context.Context, s *platform.Settings, link *process.Link, gate *intake.Gate, reloads <-chan *platform.Settings) error {
	proxy := New(Config{
		Instance: s.Instance,
		Seeds:    s.SeedControlAddresses(),
		Dispatch: dispatch.Config{
			DataCentre:          s.DataCentre,
			Seed:                rand.Uint64(),
			AnnounceInterval:    s.AnnounceInterval,
			DeregistrationDelay: deregistrationDelay,
			DrainTime:           s.DrainTime,
			RetryRatio:          s.RetryRatio,
			RetrySlack:          s.RetrySlack,
			RetryWindow:         s.RetryWindow,
			CompetingCallers:    s.CompetingCallers,
		},
		Decode: platform.DecodeConfiguration,
		Dial:   link.Dial,
		Hello:  link.Hello(s.Instance, s.DataCentre, ""),

		DigestKey: link.Config.FleetKey,
		Gate:      gate,
	})
	callers, err := process.Listen("listen.front", s.CallersListen, proxy, nil, gate.Guard(gate.Connections(callersShare)))
	if err != nil {
		return err
	}
	status := chi.NewRouter()
	status.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !proxy.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ready, err := process.Listen("listen.ready", s.ReadyListen, status, nil, gate.Guard(process.StatusConnections))
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { proxy.Run(running) })
	group.Go(func() { sweepIdle(running, proxy) })
	group.Go(callers.Serve)
	group.Go(ready.Serve)
	log.WithFields(log.Fields{"instance": s.Instance, "callers": s.CallersListen, "ready": s.ReadyListen, "seeds": s.SeedControlAddresses()}).
		Info("entry instance serves")
	process.ForEachChange(ctx, reloads, func(next *platform.Settings) { proxy.SetSeeds(next.SeedControlAddresses()) })
	stopped := time.Now()
	end := stopped.Add(s.StopGrace - stopMargin)
	proxy.Stop(stopped.Add(deregistrationDelay), end)
	log.WithFields(log.Fields{"instance": s.Instance, "open": proxy.InFlight()}).Info("entry instance drains its open requests")
	time.Sleep(deregistrationDelay)
	shutdown, cancel := context.WithDeadline(context.Background(), end.Add(endTime))
	defer cancel()
	defer time.AfterFunc(time.Until(end), func() {
		log.WithField("open", proxy.InFlight()).Error("grace period expired: open requests are ended")
		proxy.EndCalls()
	}).Stop()
	if callers.Shutdown(shutdown) != nil {
		callers.Close()
	}
	stop()
	ready.Close()
	group.Wait()
	log.WithField("instance", s.Instance).Info("entry instance has stopped")
	return nil
}

// sweepIdle closes idle connections periodically until the context ends.
func sweepIdle(ctx context.Context, proxy *Proxy) {
	tick := time.NewTicker(idleSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			proxy.CloseIdle(now)
		}
	}
}
