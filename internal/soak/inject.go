package soak

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/internal/process"
)

// targets returns the names that faults can choose from.
func (f *fleet) targets() targets {
	var names targets
	for _, p := range f.entries {
		names.entries = append(names.entries, p.settings.Instance)
	}
	for _, p := range f.controls {
		names.controls = append(names.controls, p.settings.Instance)
	}
	for _, p := range f.ranks {
		names.ranks = append(names.ranks, p.settings.Instance)
	}
	for _, s := range f.servers {
		if s.group != nil {
			names.engines = append(names.engines, s.name)
		} else {
			names.servers = append(names.servers, s.name)
		}
	}
	return names
}

// inject injects the faults of a plan at their times and waits until all have ended.
func (f *fleet) inject(ctx context.Context, list []Fault) {
	start := time.Now()
	var active sync.WaitGroup
	for _, fault := range list {
		if !process.Sleep(ctx, time.Until(start.Add(fault.At))) {
			break
		}
		log.WithField("fault", fault.String()).Debug("fault begins")
		f.ledger.count("faults of kind " + string(fault.Kind))
		active.Go(func() { f.injectFault(ctx, fault) })
	}
	active.Wait()
}

// injectFault injects one fault and waits for its end.
func (f *fleet) injectFault(ctx context.Context, fault Fault) {
	p, proxy := f.byName[fault.Target], f.proxies[fault.Target]
	var target *server
	for _, s := range f.servers {
		if s.name == fault.Target {
			target = s
		}
	}
	// forDuration calls set(true) and, after the duration of the fault, set(false).
	forDuration := func(set func(on bool)) {
		set(true)
		process.Sleep(ctx, fault.For)
		set(false)
	}
	switch fault.Kind {
	case Kill:
		p.kill()
	case LoseDisk:
		p.loseDisk()
	case KillControl:
		for _, p := range f.controls {
			p.kill()
		}
	case Stop:
		p.stop()
	case Reload:
		p.signal(signalReload, false)
	case Pause:
		forDuration(p.setPaused)
	case Reset:
		proxy.reset()
	case BlockBoth:
		forDuration(func(on bool) { proxy.set(func(l *link) { l.withholdInbound, l.withholdOutbound = on, on }) })
	case BlockInbound:
		forDuration(func(on bool) { proxy.set(func(l *link) { l.withholdInbound = on }) })
	case BlockOutbound:
		forDuration(func(on bool) { proxy.set(func(l *link) { l.withholdOutbound = on }) })
	case Delay:
		forDuration(func(on bool) {
			proxy.set(func(l *link) {
				if l.delay = 0; on {
					l.delay = maxDelay / 2
				}
			})
		})
	case Crash:
		target.crash()
		target.restart()
	case CrashAll:
		var all sync.WaitGroup
		for _, s := range f.servers {
			if s.group == nil {
				s.crash()
				all.Go(func() { s.restart() })
			}
		}
		all.Wait()
	case Drain:
		target.drain()
		target.restart()
	case Leave:
		target.leave()
		target.restart()
	case AskForQuiet:
		forDuration(target.quiet.Store)
	case OddHeartbeats:
		odd, end := context.WithTimeout(ctx, fault.For)
		f.sendOddHeartbeats(odd)
		end()
	case StallBodies:
		stalled, end := context.WithTimeout(ctx, fault.For)
		f.stallBodies(stalled, p)
		end()
	case HarmfulRequest:
		f.ledger.addHarmfulRequest()
	case NameLimit:
		target.limited.Store(true)
	case HarmfulPart:
		f.ledger.addHarmfulPart()
	case Freeze:
		forDuration(target.setFrozen)
	case DamageAnswers:
		forDuration(target.damaging.Store)
	case HoldAnnouncements:
		forDuration(target.announcementsHeld.Store)
	case LoseOrders:
		forDuration(func(on bool) { target.group.setRank(target.rank, func(r *rankState) { r.loseOrders = on }) })
	}
}
