package world

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/entry"
	"github.com/banyanfront/banyanfront/internal/history"
	"github.com/banyanfront/banyanfront/internal/trace"
)

// Apply implements trace.Fleet.
func (r *Replay) Apply(e *trace.Event) error {
	for _, name := range []string{e.Instance, e.Server} {
		if semaphore := r.semaphores[name]; semaphore != nil && e.Kind != trace.Silent {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
		}
	}
	r.recordFault("%s %s%s %s", e.Kind, e.DataCentre, e.Instance, e.Server)
	var s *server
	if at := slices.IndexFunc(r.servers, func(s *server) bool { return string(s.id) == e.Server }); at >= 0 {
		s = r.servers[at]
	}
	var i *instance
	if at := slices.IndexFunc(r.instances, func(i *instance) bool { return string(i.settings.Instance) == e.Instance }); at >= 0 {
		i = r.instances[at]
	}
	switch e.Kind {
	case trace.Evacuate, trace.Restore:
		return r.runCommand(e)
	case trace.Crash:
		if i.core == nil {
			return errors.New("the instance is down")
		}
		r.crash(i)
	case trace.Restart:
		if i.core != nil {
			return errors.New("the instance is up")
		}
		return r.startInstance(i)
	case trace.Partition:
		for _, other := range r.trace.Header.Fleet {
			if other.Name != e.DataCentre {
				r.network.setBlocked(fleet.DataCentre(e.DataCentre), fleet.DataCentre(other.Name), true)
				r.network.setBlocked(fleet.DataCentre(other.Name), fleet.DataCentre(e.DataCentre), true)
			}
		}
	case trace.Heal:
		r.network.heal()
		r.markReachable()
	case trace.Silent:
		r.network.stall(e.Instance, e.Server)
	case trace.Slow:
		if s.engine == nil {
			return errors.New("only engines can be slow")
		}
		s.engine.SetSlowdown(e.Factor)
	case trace.Cold:
		return r.turnCold(s)
	case trace.Drain:
		return r.drainServer(s)
	case trace.Down:
		return r.killServer(s)
	case trace.Up:
		return r.restartServer(s)
	}
	return nil
}

// runCommand evacuates or restores a data centre, trying one instance after the other.
func (r *Replay) runCommand(e *trace.Event) error {
	for range commandTries {
		for _, i := range r.instances {
			r.mu.Lock()
			core := i.core
			r.mu.Unlock()
			if core != nil && r.runCommandAt(core, e) {
				return nil
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("no instance accepted the command in %d tries", commandTries)
}

// runCommandAt sends a command to one instance and reports whether the log contains it. An evacuation is recorded with the
// time of its answer and a restoration with the time before the command, as either may take effect before the answer.
func (r *Replay) runCommandAt(core *entry.Core, e *trace.Event) bool {
	name := fleet.DataCentre(e.DataCentre)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if e.Kind == trace.Evacuate {
		_, logged := core.Agreement.Evacuate(ctx, name, "operator", "trace", time.Now())
		if logged {
			r.recordDataCentreChange(history.DataCentreChange{DataCentre: name, Evacuated: true, AcceptedAt: r.now(), ReachableAt: r.reachableAt()})
		}
		return logged
	}
	at := r.now()
	result, err := core.Agreement.Restore(ctx, name, "operator", "trace", time.Now())
	if err != nil || !result.Accepted() {
		return false
	}
	r.recordDataCentreChange(history.DataCentreChange{DataCentre: name, AcceptedAt: at, ReachableAt: r.reachableAt()})
	return true
}

// turnCold turns an engine cold without notice. One crash within its cold time is attributed to the event: more requests
// than a cold engine's limit may be running already, and the agent has not been notified. Any further crash breaks G2.
func (r *Replay) turnCold(s *server) error {
	if s.engine == nil {
		return errors.New("only engines turn cold")
	}
	before := s.engine.Stats().Crashes
	s.engine.MakeCold()
	time.Sleep(engineCold)
	if crashes := s.engine.Stats().Crashes - before; crashes > 0 {
		s.injectedCrashes++
		r.recordFault("%s crashed %d times in the %v after it had turned cold", s.id, crashes, engineCold)
	}
	return nil
}

// drainServer stops the agent of a server as planned.
func (r *Replay) drainServer(s *server) error {
	if s.node == nil {
		return errors.New("the server is down")
	}
	from := r.now()
	s.node = nil
	s.stop()
	<-s.done
	r.recorder.Record(func(h *history.History) {
		h.Stops = append(h.Stops, history.Stop{Server: s.id, From: from, To: r.now()})
		h.Departures = append(h.Departures, history.Departure{Server: s.id, At: from})
	})
	return nil
}

// killServer kills a server and its agent.
func (r *Replay) killServer(s *server) error {
	if s.node == nil {
		return errors.New("the server is down")
	}
	r.network.remove("", s.node)
	s.node = nil
	s.listener.Close()
	_ = s.http.Close()
	s.stop()
	<-s.done
	if s.engine != nil {
		s.injectedCrashes++
		s.engine.Crash() // a new process has a new incarnation and is cold
	}
	return nil
}

// restartServer restarts a server that was drained or killed.
func (r *Replay) restartServer(s *server) error {
	if s.node != nil {
		return errors.New("the server is up")
	}
	r.recorder.Record(func(h *history.History) {
		for i := range h.Departures {
			if h.Departures[i].Server == s.id && h.Departures[i].Until == 0 {
				h.Departures[i].Until = r.now()
			}
		}
	})
	s.listener.Close()
	_ = s.http.Close()
	s.startServer()
	return r.startAgentOf(s)
}
