package directory

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// Shares of the process's sockets for the sessions of other processes, and for operators and backend servers. The rest is for the
// sessions that it opens itself.
const (
	innerShare   = 0.5
	controlShare = 0.25
)

// closeTimeout limits the wait for open calls during a graceful stop.
const closeTimeout = time.Second

// Serve runs a control instance until the context ends.
func Serve(ctx context.Context, s *platform.Settings, link *process.Link, gate *intake.Gate, reloads <-chan *platform.Settings) error {
	folder, err := storage.OS(s.DataFolder)
	if err != nil {
		return err
	}
	hello := link.Hello(s.Instance, s.DataCentre, s.InnerAddress(s.IP))
	d, err := New(Config{
		Instance:         s.Instance,
		Address:          s.InnerAddress(s.IP),
		Founders:         s.SeedControlAddresses(),
		MayBootstrap:     s.FirstStart,
		Voters:           2*s.ToleratedDiskLosses + 1,
		AnnounceInterval: s.AnnounceInterval,
		Decode:           platform.DecodeConfiguration,
		Order: func(ctx context.Context, address string, o experts.RankOrder) (experts.OrderResult, error) {
			return platform.NewEngineClient(address).Order(ctx, o)
		},
		Dial:  link.Dial,
		Hello: hello,
	}, folder)
	if err != nil {
		return err
	}
	inner := chi.NewRouter()
	inner.Get(transport.SessionPath, transport.AcceptSessions(link.Config, hello, d))
	innerServer, err := process.Listen("internal-ports", cmp.Or(link.ListenAddress, s.InnerAddress(s.IP)), inner, nil,
		gate.Guard(gate.Connections(innerShare)))
	if err != nil {
		return err
	}
	control, err := process.Listen("listen.control", s.ControlListen, newAPI(d, s.DataCentres, gate).handler(), nil,
		gate.Guard(gate.Connections(controlShare)))
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.Run(running) })
	group.Go(innerServer.Serve)
	group.Go(control.Serve)
	log.WithFields(log.Fields{"instance": s.Instance, "control": s.ControlListen, "inner": s.InnerAddress(s.IP),
		"seeds": s.SeedControlAddresses(), "firstStart": s.FirstStart}).Info("control instance serves")
	process.ForEachChange(ctx, reloads, func(next *platform.Settings) { d.SetSeeds(next.SeedControlAddresses()) })
	d.Close()
	shutdown, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if control.Shutdown(shutdown) != nil {
		control.Close()
	}
	stop()
	innerServer.Close()
	group.Wait()
	log.WithField("instance", s.Instance).Info("control instance has stopped")
	return nil
}

var _ transport.Handler = (*Directory)(nil)
