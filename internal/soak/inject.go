package soak

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/internal/process"
)

// targets names what faults can choose from.
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

// inject brings the faults of a plan about and waits until all have ended.
func (f *fleet) inject(ctx context.Context, list []Fault) {
	begun := time.Now()
	var active sync.WaitGroup
	for _, fault := range list {
		if !process.Sleep(ctx, time.Until(begun.Add(fault.At))) {
			break
		}
		log.WithField("fault", fault.String()).Debug("fault begins")
		f.ledger.count("faults of kind " + string(fault.Kind))
		active.Go(func() { f.bring(ctx, fault) })
	}
	active.Wait()
}

// bring brings one fault about and waits for its end.
func (f *fleet) bring(ctx context.Context, fault Fault) {
	p, proxy := f.byName[fault.Target], f.proxies[fault.Target]
	var target *server
	for _, s := range f.servers {
		if s.name == fault.Target {
			target = s
		}
	}
	// forATime sets something and takes it back.
	forATime := func(set func(on bool)) {
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
		forATime(p.pause)
	case Reset:
		proxy.reset()
	case Silence:
		forATime(func(on bool) { proxy.set(func(l *link) { l.holdTo, l.holdFrom = on, on }) })
	case Deaf:
		forATime(func(on bool) { proxy.set(func(l *link) { l.holdTo = on }) })
	case Mute:
		forATime(func(on bool) { proxy.set(func(l *link) { l.holdFrom = on }) })
	case Delay:
		forATime(func(on bool) {
			proxy.set(func(l *link) {
				if l.delay = 0; on {
					l.delay = mostDelay / 2
				}
			})
		})
	case Crash:
		target.crash()
		f.again(ctx, target)
	case CrashAll:
		var all sync.WaitGroup
		for _, s := range f.servers {
			if s.group == nil {
				s.crash()
				all.Go(func() { f.again(ctx, s) })
			}
		}
		all.Wait()
	case Drain:
		target.drain()
		f.again(ctx, target)
	case Freeze:
		forATime(target.freeze)
	case Damage:
		forATime(target.damaging.Store)
	case HoldBack:
		forATime(target.held.Store)
	case LoseOrders:
		forATime(func(on bool) { target.group.setRank(target.rank, func(r *rankState) { r.loseOrders = on }) })
	}
}

// again starts a server that has ended.
func (f *fleet) again(ctx context.Context, s *server) {
	process.Sleep(ctx, downTime)
	if s.present() != nil || ctx.Err() != nil {
		return // another fault has started it
	}
	if err := s.start(true); err != nil {
		f.ledger.violate("SOAK", "stand-in %s was not started again: %v", s.name, err)
	}
}
