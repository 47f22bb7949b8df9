package command

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"github.com/peterbourgon/ff/v4"

	"github.com/banyanfront/banyanfront/internal/intake"
	"github.com/banyanfront/banyanfront/internal/process"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/platform"
)

// fleetKeyVariable is the environment variable with the secret that all processes of the system share.
const fleetKeyVariable = "BANYANFRONT_FLEET_KEY"

// role is a process on the users' platform.
type role struct {
	name, help string
	listens    bool // accepts sessions of other processes, so that --inner-listen applies
	serve      func(ctx context.Context, s *platform.Settings, link *process.Link, gate *intake.Gate, reloads <-chan *platform.Settings) error
}

// platformCommand returns the command that runs a role until SIGINT or SIGTERM.
func platformCommand(program string, r role) *ff.Command {
	flags := ff.NewFlagSet(r.name)
	port := flags.IntLong("metrics", 0, "`PORT` of the instance's address that shows /metrics; 0 for none")
	level := flags.StringLong("log", "info", "least severe `LEVEL` that is logged: debug, info, warn or error")
	flagsUsage, innerListen := " [--log LEVEL] [--metrics PORT]", new(string)
	if r.listens {
		innerListen = flags.StringLong("inner-listen", "", "listen for sessions at `IP:PORT`, where others reach this instance's address through a proxy")
		flagsUsage += " [--inner-listen IP:PORT]"
	}
	return &ff.Command{
		Name:      r.name,
		Usage:     program + " " + r.name + flagsUsage,
		ShortHelp: r.help,
		LongHelp:  "The settings file is named by " + platform.SettingsVariable + ", the fleet key stands in " + fleetKeyVariable + ".",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			parsed, err := log.ParseLevel(*level)
			if err != nil {
				return usageErrorf("log level %q: use debug, info, warn or error", *level)
			}
			queue := process.NewLogQueue(os.Stdout)
			defer queue.Close()
			log.SetLevel(parsed)
			log.SetHandler(queue)
			settings, unknown, err := platform.LoadSettings()
			if err != nil {
				return usageErrorf("%v", err)
			}
			if len(unknown) > 0 {
				log.WithField("fields", unknown).Info("ignoring settings unknown to this version")
			}
			key := os.Getenv(fleetKeyVariable)
			if len(key) < transport.MinFleetKeyBytes {
				return usageErrorf("%s: give the fleet key, at least %d characters", fleetKeyVariable, transport.MinFleetKeyBytes)
			}
			process.LimitMemory(settings.MemoryBytes)
			// A second signal does not end the process at once: stop requests may overlap, and each of them allows the
			// process its full grace period.
			ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer cancel()
			gate := intake.NewGate(settings.MemoryBytes, settings.Descriptors)
			if *port > 0 {
				status := chi.NewRouter()
				process.StatusRoutes(status, func() string { return "" })
				server, err := process.Listen("--metrics", netip.AddrPortFrom(settings.IP, uint16(*port)).String(), status, nil,
					gate.Guard(process.StatusConnections))
				if err != nil {
					return err
				}
				go server.Serve()
				defer server.Close()
			}
			link := process.NewLink(transport.Config{FleetKey: []byte(key), AllowPlaintext: true})
			link.ListenAddress = *innerListen
			return r.serve(ctx, settings, link, gate, watchSettings(ctx, settings))
		},
	}
}

// watchSettings returns a channel that delivers the latest settings after each change. If the settings cannot be loaded, the
// current ones remain in effect.
func watchSettings(ctx context.Context, current *platform.Settings) <-chan *platform.Settings {
	changed := make(chan *platform.Settings, 1)
	process.StartReloading(ctx, func(signalled bool) {
		next, _, err := platform.LoadSettings()
		if err != nil {
			log.WithError(err).Error("settings not reloaded; the current ones remain in effect")
			return
		}
		unchanged := reflect.DeepEqual(next, current)
		if signalled || !unchanged {
			log.WithFields(log.Fields{"signalled": signalled, "changed": !unchanged}).Info("settings reloaded")
		}
		if unchanged {
			return
		}
		current = next
		select {
		case <-changed: // replaces settings that have not been received yet
		default:
		}
		changed <- next
	})
	return changed
}
