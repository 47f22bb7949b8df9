// Package rollout plans the commands that bring engines to what the release notes expect of them: models and adapters to
// load, and withdrawn ones to unload. It loads on few engines at a time, because the weight store is rate-limited, and
// first what the fewest servers have, because users wait for that.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Actions of a command, as engines know them.
const (
	Load   = "load"
	Unload = "unload"
)

// Config bounds a planner. Zero fields take the default.
type Config struct {
	MaxLoading int           // engines of the data centre that load at a time, default 2
	Resend     time.Duration // time after which a command without an answer is sent again, default 30 s
	Pause      time.Duration // time for which a server that refused gets no command, default 1 min
}

// Command tells one engine to load or unload something. Sending it again with the same ID is harmless.
type Command struct {
	ID      string
	Server  fleet.ServerID
	Action  string
	Model   string
	Version string
	Adapter string
}

// pending is a command that was sent and not answered.
type pending struct {
	command Command
	sent    time.Time
}

// Planner plans the commands of one data centre. It is a state machine without locks.
type Planner struct {
	config  Config
	pending map[fleet.ServerID]pending
	paused  map[fleet.ServerID]time.Time
}

// NewPlanner returns a planner that has sent nothing.
func NewPlanner(config Config) *Planner {
	config.MaxLoading = cmp.Or(config.MaxLoading, 2)
	config.Resend = cmp.Or(config.Resend, 30*time.Second)
	config.Pause = cmp.Or(config.Pause, time.Minute)
	return &Planner{
		config:  config,
		pending: make(map[fleet.ServerID]pending),
		paused:  make(map[fleet.ServerID]time.Time),
	}
}

// Plan returns the commands to send now. servers are those that can be reached; a server that no note names gets none.
func (p *Planner) Plan(now time.Time, servers []fleet.Server, notes *release.Config) []Command {
	var commands []Command
	reachable := make(map[fleet.ServerID]bool, len(servers))
	for i := range servers {
		reachable[servers[i].Server] = true
	}
	loading := 0
	for id, sent := range p.pending { // the order does not matter: each entry is judged by itself
		switch {
		case !reachable[id]:
			delete(p.pending, id)
			continue
		case now.Sub(sent.sent) >= p.config.Resend:
			sent.sent = now
			p.pending[id] = sent
			commands = append(commands, sent.command)
		}
		if sent.command.Action == Load {
			loading++
		}
	}
	slices.SortFunc(commands, func(a, b Command) int { return cmp.Compare(a.Server, b.Server) })
	for _, c := range p.wanted(now, servers, notes) {
		if _, busy := p.pending[c.Server]; busy {
			continue
		}
		if c.Action == Load {
			if loading >= p.config.MaxLoading {
				continue
			}
			loading++
		}
		p.pending[c.Server] = pending{c, now}
		commands = append(commands, c)
	}
	return commands
}

// wanted returns what servers lack or must drop, the most urgent first.
func (p *Planner) wanted(now time.Time, servers []fleet.Server, notes *release.Config) []Command {
	type candidate struct {
		Command
		serving int
	}
	var all []candidate
	for i := range servers {
		server := &servers[i]
		if server.Kind != fleet.KindEngine || now.Before(p.paused[server.Server]) {
			continue
		}
		for _, c := range missing(server, notes) {
			t := fleet.Target{Kind: fleet.KindEngine, Name: c.Model, Version: c.Version, Adapter: c.Adapter}
			all = append(all, candidate{c, serving(servers, t)})
		}
		// A withdrawn model gets no new work; it is dropped when the engine has finished what it runs.
		if server.Load.Running == 0 && server.Load.Sequence > 0 {
			for _, c := range surplus(server, notes) {
				all = append(all, candidate{c, len(servers)})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.serving, b.serving), cmp.Compare(a.Server, b.Server))
	})
	commands := make([]Command, 0, len(all))
	for _, c := range all {
		commands = append(commands, c.Command)
	}
	return commands
}

// missing returns what the notes expect of a server and it has not announced.
func missing(server *fleet.Server, notes *release.Config) []Command {
	want := notes.ExpectedServer(server.Server)
	if want == nil || notes.WithdrawnBy(server.Server) > 0 {
		return nil
	}
	var commands []Command
	for i := range want.Models {
		m := &want.Models[i]
		for _, adapter := range append([]string{""}, m.Adapters...) {
			t := fleet.Target{Kind: fleet.KindEngine, Name: m.Name, Version: m.Version, Adapter: adapter}
			if !server.Serves(t) && !notes.TargetWithdrawn(t) {
				commands = append(commands, command(server, notes, Load, t))
			}
		}
	}
	return commands
}

// surplus returns what a server has announced although the notes have withdrawn it by name.
func surplus(server *fleet.Server, notes *release.Config) []Command {
	var commands []Command
	for i := range server.Models {
		m := &server.Models[i]
		t := fleet.Target{Kind: fleet.KindEngine, Name: m.Name}
		if notes.TargetWithdrawn(t) {
			t.Version = m.Version
			commands = append(commands, command(server, notes, Unload, t))
			continue
		}
		for _, adapter := range m.Adapters {
			t.Adapter = adapter
			if notes.TargetWithdrawn(t) {
				commands = append(commands, command(server, notes, Unload, t))
			}
		}
	}
	return commands
}

func command(server *fleet.Server, notes *release.Config, action string, t fleet.Target) Command {
	return Command{
		ID:     fmt.Sprintf("%d/%s/%d/%s/%s/%s/%s", notes.Number, server.Server, server.Incarnation, action, t.Name, t.Version, t.Adapter),
		Server: server.Server, Action: action, Model: t.Name, Version: t.Version, Adapter: t.Adapter,
	}
}

func serving(servers []fleet.Server, t fleet.Target) int {
	n := 0
	for i := range servers {
		if servers[i].ExclusionReason == "" && servers[i].Serves(t) {
			n++
		}
	}
	return n
}

// Done ends a command. refused says why the engine did not carry it out, empty if it did.
func (p *Planner) Done(now time.Time, id string, refused string) {
	for server, sent := range p.pending {
		if sent.command.ID != id {
			continue
		}
		delete(p.pending, server)
		if refused != "" {
			p.paused[server] = now.Add(p.config.Pause)
		}
	}
}

// Reset forgets what was sent, when another instance has taken over: commands carry the fencing token of their sender.
func (p *Planner) Reset() {
	clear(p.pending)
	clear(p.paused)
}
