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
		if busy := r.busy[name]; busy != nil && e.Kind != trace.Silent {
			busy <- struct{}{}
			defer func() { <-busy }()
		}
	}
	r.noteFault("%s %s%s %s", e.Kind, e.DataCentre, e.Instance, e.Server)
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
		return r.command(e)
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
				r.network.block(fleet.DataCentre(e.DataCentre), fleet.DataCentre(other.Name), true)
				r.network.block(fleet.DataCentre(other.Name), fleet.DataCentre(e.DataCentre), true)
			}
		}
	case trace.Heal:
		r.network.heal()
		r.reached()
	case trace.Silent:
		r.network.silence(e.Instance, e.Server)
	case trace.Slow:
		if s.engine == nil {
			return errors.New("only engines can be slow")
		}
		s.engine.SetSlow(e.Factor)
	case trace.Cold:
		return r.turnCold(s)
	case trace.Drain:
		return r.drainServer(s)
	case trace.Down:
		return r.killServer(s)
	case trace.Up:
		return r.startAgain(s)
	}
	return nil
}

// command lets operators take a data centre out or bring it back, trying one instance after the other.
func (r *Replay) command(e *trace.Event) error {
	for range operatorTries {
		for _, i := range r.instances {
			r.mu.Lock()
			core := i.core
			r.mu.Unlock()
			if core != nil && r.commandAt(core, e) {
				return nil
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("no instance accepted the command in %d tries", operatorTries)
}

// commandAt gives a command to one instance and reports whether the log holds it. An out is recorded with the time of
// its answer and an in with the time before, as each may be in force at once.
func (r *Replay) commandAt(core *entry.Core, e *trace.Event) bool {
	name := fleet.DataCentre(e.DataCentre)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if e.Kind == trace.Evacuate {
		_, logged := core.Agreement.Evacuate(ctx, name, "operator", "trace", time.Now())
		if logged {
			r.noteCentre(history.Centre{DataCentre: name, Out: true, Accepted: r.now(), Reached: r.reachable()})
		}
		return logged
	}
	at := r.now()
	result, err := core.Agreement.Restore(ctx, name, "operator", "trace", time.Now())
	if err != nil || !result.Accepted() {
		return false
	}
	r.noteCentre(history.Centre{DataCentre: name, Accepted: at, Reached: r.reachable()})
	return true
}

// turnCold turns an engine cold without warning. One fall within its cold time is the event's own: requests above what
// it bears may be running already, and nothing has told the agent. Any further fall breaks G2.
func (r *Replay) turnCold(s *server) error {
	if s.engine == nil {
		return errors.New("only engines turn cold")
	}
	before := s.engine.Stats().Falls
	s.engine.TurnCold()
	time.Sleep(engineCold)
	if falls := s.engine.Stats().Falls - before; falls > 0 {
		s.falls++
		r.noteFault("%s fell over %d times in the %v after it had turned cold", s.id, falls, engineCold)
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
		h.Leaves = append(h.Leaves, history.Leave{Server: s.id, At: from})
	})
	return nil
}

// killServer kills a server and its agent.
func (r *Replay) killServer(s *server) error {
	if s.node == nil {
		return errors.New("the server is down")
	}
	r.network.leave("", s.node)
	s.node = nil
	s.listener.Close()
	_ = s.http.Close()
	s.stop()
	<-s.done
	if s.engine != nil {
		s.falls++
		s.engine.FallOver() // a new process has a new boot number and is cold
	}
	return nil
}

// startAgain starts a server that was drained or killed.
func (r *Replay) startAgain(s *server) error {
	if s.node != nil {
		return errors.New("the server is up")
	}
	r.recorder.Record(func(h *history.History) {
		for i := range h.Leaves {
			if h.Leaves[i].Server == s.id && h.Leaves[i].Until == 0 {
				h.Leaves[i].Until = r.now()
			}
		}
	})
	s.listener.Close()
	_ = s.http.Close()
	s.startServer()
	return r.startAgentOf(s)
}
