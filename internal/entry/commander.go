package entry

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/rollout"
	"github.com/banyanfront/banyanfront/internal/agreement"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/protocol"
)

const (
	commandInterval = time.Second
	fencingTimeout  = 2 * time.Second
)

// commander sends commands to the engines of the data centre, so that they load what the release notes expect and drop
// what these have withdrawn. Only the representative of the data centre does, under a fencing token from the agreed
// state: agents refuse the commands of an instance that was cut off and has been replaced meanwhile.
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

// run plans and sends until the context ends.
func (c *commander) run(ctx context.Context) {
	tick := time.NewTicker(commandInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			c.step(ctx, now)
		}
	}
}

func (c *commander) step(ctx context.Context, now time.Time) {
	view := c.loop.View()
	if !view.Representative || c.agreement.NotReady() != "" {
		return
	}
	var reachable []fleet.Server
	for i := range view.Servers {
		server := view.Servers[i]
		if view.Session(server.Server) != nil {
			server.Models = view.Announced(server.Server) // the view leaves out what notes have withdrawn
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
	token, ok := c.fencing(ctx, agreedView)
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

// fencing returns the token of this instance for the data centre's scope, after taking it over if another holds it.
func (c *commander) fencing(ctx context.Context, view *agreed.View) (uint64, bool) {
	scope := agreement.OrderScope(c.identity.dataCentre)
	held := uint64(0)
	for _, record := range view.Fencing {
		if record.Scope != scope {
			continue
		}
		if record.Holder == c.identity.instance && record.Incarnation == c.identity.boot {
			return record.Token, true
		}
		held = record.Token
	}
	ctx, cancel := context.WithTimeout(ctx, fencingTimeout)
	defer cancel()
	result, err := c.agreement.Propose(ctx, rand.Text(), &agreed.GrantFencing{
		Scope: scope, Holder: c.identity.instance, Incarnation: c.identity.boot, Replaces: held,
	})
	if err != nil || !result.Accepted() || result.Fencing == nil {
		log.WithField("scope", scope).Warn("no fencing token granted; engines get no commands until the agreement group answers")
		return 0, false
	}
	return result.Fencing.Token, true
}

func (c *commander) send(view *control.View, command *rollout.Command, token uint64) {
	session := view.Session(command.Server)
	if session == nil {
		return // sent again later
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

// done takes an agent's answer.
func (c *commander) done(m *protocol.OrderDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.RefusalReason != "" {
		log.WithFields(log.Fields{"command": m.ID, "reason": m.RefusalReason}).Warn("engine did not carry out a command; it is tried again in a minute")
	}
	c.planner.CommandDone(time.Now(), m.ID, m.RefusalReason)
}
