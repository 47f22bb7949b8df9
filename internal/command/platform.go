package command

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// fleetKeyVariable is the environment variable with the secret that all processes of the system share.
const fleetKeyVariable = "BANYANFRONT_FLEET_KEY"

// memoryShare is the part of a machine's memory that the Go runtime aims to stay below; the rest is for the stacks of the C
// library, buffers of the kernel and short peaks.
const memoryShare = 0.6

// role is a process on the users' platform.
type role struct {
	name, help string
	listens    bool // for sessions of other processes
	serve      func(ctx context.Context, s *platform.Settings, link *process.Link, reloads <-chan *platform.Settings) error
}

// platformCommand returns the command that runs a role until SIGINT or SIGTERM.
func platformCommand(program string, r role) *ff.Command {
	flags := ff.NewFlagSet(r.name)
	port := flags.IntLong("metrics", 0, "`PORT` of the instance's address that shows /metrics; 0 for none")
	level := flags.StringLong("log", "info", "least severe `LEVEL` that is logged: debug, info, warn or error")
	options, inner := " [--log LEVEL] [--metrics PORT]", new(string)
	if r.listens {
		inner = flags.StringLong("inner-listen", "", "listen for sessions at `IP:PORT`, where others reach this instance's address through a proxy")
		options += " [--inner-listen IP:PORT]"
	}
	return &ff.Command{
		Name:      r.name,
		Usage:     program + " " + r.name + options,
		ShortHelp: r.help,
		LongHelp:  "The settings file is named by " + platform.SettingsVariable + ", the fleet key stands in " + fleetKeyVariable + ".",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			parsed, err := log.ParseLevel(*level)
			if err != nil {
				return usage("log level %q: use debug, info, warn or error", *level)
			}
			queue := process.NewLogQueue(os.Stdout)
			defer queue.Close()
			log.SetLevel(parsed)
			log.SetHandler(queue)
			settings, unknown, err := platform.LoadSettings()
			if err != nil {
				return usage("%v", err)
			}
			if len(unknown) > 0 {
				log.WithField("fields", unknown).Info("settings that this version does not know are passed over")
			}
			key := os.Getenv(fleetKeyVariable)
			if len(key) < transport.MinFleetKeyBytes {
				return usage("%s: give the fleet key, at least %d characters", fleetKeyVariable, transport.MinFleetKeyBytes)
			}
			debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
			// Unlike at a terminal, a second signal does not end the process: stops may overlap, and each one leaves it its
			// grace period.
			ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer cancel()
			if *port > 0 {
				status := chi.NewRouter()
				process.StatusRoutes(status, func() string { return "" })
				server, err := process.Listen("--metrics", netip.AddrPortFrom(settings.IP, uint16(*port)).String(), status, nil)
				if err != nil {
					return err
				}
				go server.Serve()
				defer server.Close()
			}
			link := process.NewLink(transport.Config{FleetKey: []byte(key), AllowPlaintext: true})
			link.ListenAddress = *inner
			return r.serve(ctx, settings, link, reloads(ctx, settings))
		},
	}
}

// reloads hands out the settings each time they have changed. A file that cannot be read changes nothing.
func reloads(ctx context.Context, present *platform.Settings) <-chan *platform.Settings {
	changed := make(chan *platform.Settings, 1)
	process.StartReloading(ctx, func(signalled bool) {
		next, _, err := platform.LoadSettings()
		if err != nil {
			log.WithError(err).Error("settings not reloaded; the present ones stay in force")
			return
		}
		same := reflect.DeepEqual(next, present)
		if signalled || !same {
			log.WithFields(log.Fields{"signalled": signalled, "changed": !same}).Info("settings reloaded")
		}
		if same {
			return
		}
		present = next
		select {
		case <-changed: // not taken yet and replaced
		default:
		}
		changed <- next
	})
	return changed
}
