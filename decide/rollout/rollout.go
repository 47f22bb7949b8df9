// Package rollout plans the commands that make engines conform to the release notes: load the expected models and adapters,
// unload withdrawn ones. Only a few engines load at a time, because the weight store is rate-limited. Models that the fewest
// servers have are loaded first, because their users are waiting.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Actions of a command, as sent to engines.
const (
	Load   = "load"
	Unload = "unload"
)

// Config configures a Planner. Zero fields take the default.
type Config struct {
	MaxLoading     int           // engines of the data centre that load concurrently, default 2
	ResendAfter    time.Duration // time after which an unanswered command is sent again, default 30 s
	RefusalBackoff time.Duration // time without commands for a server that refused one, default 1 min
}

// Command orders one engine to load or unload a model or adapter. It is idempotent: sending it again with the same ID has
// no further effect.
type Command struct {
	ID      string
	Server  fleet.ServerID
	Action  string
	Model   string
	Version string
	Adapter string
}

// pending is an unanswered command.
type pending struct {
	command Command
	sentAt  time.Time
}

// Planner plans the commands of one data centre. It is a state machine without locks.
type Planner struct {
	config       Config
	pending      map[fleet.ServerID]pending
	backoffUntil map[fleet.ServerID]time.Time
}

// NewPlanner returns a planner without pending commands.
func NewPlanner(config Config) *Planner {
	config.MaxLoading = cmp.Or(config.MaxLoading, 2)
	config.ResendAfter = cmp.Or(config.ResendAfter, 30*time.Second)
	config.RefusalBackoff = cmp.Or(config.RefusalBackoff, time.Minute)
	return &Planner{
		config:       config,
		pending:      make(map[fleet.ServerID]pending),
		backoffUntil: make(map[fleet.ServerID]time.Time),
	}
}

// Plan returns the commands to send now. servers are the reachable servers; a server that no release note lists gets no
// load commands.
func (p *Planner) Plan(now time.Time, servers []fleet.Server, notes *release.Config) []Command {
	var commands []Command
	reachable := make(map[fleet.ServerID]bool, len(servers))
	for i := range servers {
		reachable[servers[i].Server] = true
	}
	loading := 0
	for id, entry := range p.pending { // the order does not matter: entries are independent
		switch {
		case !reachable[id]:
			delete(p.pending, id)
			continue
		case now.Sub(entry.sentAt) >= p.config.ResendAfter:
			entry.sentAt = now
			p.pending[id] = entry
			commands = append(commands, entry.command)
		}
		if entry.command.Action == Load {
			loading++
		}
	}
	slices.SortFunc(commands, func(a, b Command) int { return cmp.Compare(a.Server, b.Server) })
	for _, c := range p.candidates(now, servers, notes) {
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

// candidates returns the commands that servers need to conform to the notes, the most urgent first.
func (p *Planner) candidates(now time.Time, servers []fleet.Server, notes *release.Config) []Command {
	type candidate struct {
		Command
		serving int
	}
	var candidates []candidate
	for i := range servers {
		server := &servers[i]
		if server.Kind != fleet.KindEngine || now.Before(p.backoffUntil[server.Server]) {
			continue
		}
		for _, c := range loadCommands(server, notes) {
			t := fleet.Target{Kind: fleet.KindEngine, Name: c.Model, Version: c.Version, Adapter: c.Adapter}
			candidates = append(candidates, candidate{c, servingCount(servers, t)})
		}
		// A withdrawn model gets no new requests; it is unloaded once the engine has no running requests.
		if server.Load.Running == 0 && server.Load.Sequence > 0 {
			for _, c := range unloadCommands(server, notes) {
				candidates = append(candidates, candidate{c, len(servers)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.serving, b.serving), cmp.Compare(a.Server, b.Server))
	})
	commands := make([]Command, 0, len(candidates))
	for _, c := range candidates {
		commands = append(commands, c.Command)
	}
	return commands
}

// loadCommands returns commands for the models and adapters that the notes expect of a server but it has not announced.
func loadCommands(server *fleet.Server, notes *release.Config) []Command {
	expected := notes.ExpectedServer(server.Server)
	if expected == nil || notes.WithdrawnBy(server.Server) > 0 {
		return nil
	}
	var commands []Command
	for i := range expected.Models {
		m := &expected.Models[i]
		for _, adapter := range append([]string{""}, m.Adapters...) {
			t := fleet.Target{Kind: fleet.KindEngine, Name: m.Name, Version: m.Version, Adapter: adapter}
			if !server.Serves(t) && !notes.TargetWithdrawn(t) {
				commands = append(commands, newCommand(server, notes, Load, t))
			}
		}
	}
	return commands
}

// unloadCommands returns commands for the models and adapters that a server has announced although the notes withdraw them
// by name.
func unloadCommands(server *fleet.Server, notes *release.Config) []Command {
	var commands []Command
	for i := range server.Models {
		m := &server.Models[i]
		t := fleet.Target{Kind: fleet.KindEngine, Name: m.Name}
		if notes.TargetWithdrawn(t) {
			t.Version = m.Version
			commands = append(commands, newCommand(server, notes, Unload, t))
			continue
		}
		for _, adapter := range m.Adapters {
			t.Adapter = adapter
			if notes.TargetWithdrawn(t) {
				commands = append(commands, newCommand(server, notes, Unload, t))
			}
		}
	}
	return commands
}

func newCommand(server *fleet.Server, notes *release.Config, action string, t fleet.Target) Command {
	return Command{
		ID:     fmt.Sprintf("%d/%s/%d/%s/%s/%s/%s", notes.Number, server.Server, server.Incarnation, action, t.Name, t.Version, t.Adapter),
		Server: server.Server, Action: action, Model: t.Name, Version: t.Version, Adapter: t.Adapter,
	}
}

func servingCount(servers []fleet.Server, t fleet.Target) int {
	n := 0
	for i := range servers {
		if servers[i].ExclusionReason == "" && servers[i].Serves(t) {
			n++
		}
	}
	return n
}

// CommandDone records the answer to a command. refusal is the engine's reason for not executing it, empty if it did.
func (p *Planner) CommandDone(now time.Time, id string, refusal string) {
	for server, entry := range p.pending {
		if entry.command.ID != id {
			continue
		}
		delete(p.pending, server)
		if refusal != "" {
			p.backoffUntil[server] = now.Add(p.config.RefusalBackoff)
		}
	}
}

// Reset discards all pending commands and backoffs. It is called when another instance has taken over, because commands
// contain the fencing token of their sender.
func (p *Planner) Reset() {
	clear(p.pending)
	clear(p.backoffUntil)
}
