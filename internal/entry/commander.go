package entry

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/rollout"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

const (
	commandInterval = time.Second
	fencingTimeout  = 2 * time.Second
)

// commander sends commands to the engines of the data centre, so that they load the models and adapters that the release
// notes expect and unload withdrawn ones. Only the representative of the data centre sends them, with a fencing token from
// the agreed state: agents refuse commands of an instance that was partitioned and has been replaced.
type commander struct {
	identity  identity
	loop      *control.Loop
	agreement *agreement.Service

	mu      sync.Mutex
	planner *rollout.Planner
}

func newCommander(id identity, loop *control.Loop, a *agreement.Service) *commander {
	return &commander{identity: id, loop: loop, agreement: a, planner: rollout.NewPlanner(rollout.Config{})}
}

// run plans and sends commands until the context ends.
func (c *commander) run(ctx context.Context) {
	tick := time.NewTicker(commandInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			c.planAndSend(ctx, now)
		}
	}
}

// planAndSend sends the commands that are due if this instance is the ready representative of the data centre.
func (c *commander) planAndSend(ctx context.Context, now time.Time) {
	view := c.loop.View()
	if !view.Representative || c.agreement.NotReady() != "" {
		return
	}
	var reachable []fleet.Server
	for i := range view.Servers {
		server := view.Servers[i]
		if view.Session(server.Server) != nil {
			server.Models = view.AnnouncedModels(server.Server) // the view omits models that notes have withdrawn
			reachable = append(reachable, server)
		}
	}
	agreedView := c.agreement.View()
	c.mu.Lock()
	commands := c.planner.Plan(now, reachable, agreedView.Config)
	c.mu.Unlock()
	if len(commands) == 0 {
		return
	}
	token, ok := c.fencingToken(ctx, agreedView)
	if !ok {
		c.mu.Lock()
		c.planner.Reset() // nothing was sent
		c.mu.Unlock()
		return
	}
	for i := range commands {
		c.send(view, &commands[i], token)
	}
}

// fencingToken returns this instance's token for the scope of the data centre. If another incarnation or instance has the
// token, it first requests a new one from the agreement group.
func (c *commander) fencingToken(ctx context.Context, view *statemachine.View) (uint64, bool) {
	scope := agreement.OrderScope(c.identity.dataCentre)
	previousToken := uint64(0)
	for _, record := range view.Fencing {
		if record.Scope != scope {
			continue
		}
		if record.Holder == c.identity.instance && record.Incarnation == c.identity.incarnation {
			return record.Token, true
		}
		previousToken = record.Token
	}
	ctx, cancel := context.WithTimeout(ctx, fencingTimeout)
	defer cancel()
	result, err := c.agreement.Propose(ctx, rand.Text(), &statemachine.GrantFencing{
		Scope: scope, Holder: c.identity.instance, Incarnation: c.identity.incarnation, Replaces: previousToken,
	})
	if err != nil || !result.Accepted() || result.Fencing == nil {
		log.WithField("scope", scope).Warn("no fencing token granted; engines receive no commands until the agreement group answers")
		return 0, false
	}
	return result.Fencing.Token, true
}

func (c *commander) send(view *control.View, command *rollout.Command, token uint64) {
	session := view.Session(command.Server)
	if session == nil {
		return // the planner sends it again later
	}
	err := session.Send(&protocol.Order{
		ID: command.ID, Fencing: token, Action: command.Action,
		Model: command.Model, Version: command.Version, Adapter: command.Adapter,
	})
	if err == nil {
		log.WithFields(log.Fields{"server": command.Server, "action": command.Action, "model": command.Model, "version": command.Version}).
			Info("command sent to engine")
	}
}

// orderDone processes an agent's answer to a command.
func (c *commander) orderDone(m *protocol.OrderDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.RefusalReason != "" {
		log.WithFields(log.Fields{"command": m.ID, "reason": m.RefusalReason}).Warn("engine did not carry out a command; retrying in a minute")
	}
	c.planner.CommandDone(time.Now(), m.ID, m.RefusalReason)
}
