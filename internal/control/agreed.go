package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// Agreed is the part of the agreed state that routing needs.
type Agreed struct {
	Revision uint64
	Out      map[fleet.DataCentre]bool // taken out, by the log or by word of other instances
	Config   *release.Config
	Fencing  uint64 // token in force for orders to the servers of the own data centre
}

// config returns the configuration, which is empty before the state has been received.
func (a *Agreed) config() *release.Config {
	if a.Config == nil {
		return &release.Config{}
	}
	return a.Config
}

// excluded returns why the agreed state keeps new work from a server, or "". A server that no note names is served.
func (a *Agreed) excluded(server fleet.ServerID) string {
	if number := a.config().WithdrawnBy(server); number > 0 {
		return fmt.Sprintf("withdrawn by release note %d", number)
	}
	return ""
}

// offered returns the models of an announcement without those that notes have withdrawn.
func (a *Agreed) offered(models []fleet.Model) []fleet.Model {
	config := a.config()
	if len(config.WithdrawnModels) == 0 && len(config.WithdrawnAdapters) == 0 {
		return models
	}
	var kept []fleet.Model
	for _, m := range models {
		if config.TargetWithdrawn(fleet.Target{Kind: fleet.KindEngine, Name: m.Name}) {
			continue
		}
		m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(adapter string) bool {
			return config.TargetWithdrawn(fleet.Target{Kind: fleet.KindEngine, Name: m.Name, Adapter: adapter})
		})
		kept = append(kept, m)
	}
	return kept
}

// SetAgreed puts a newer agreed state in force. An older one changes nothing.
func (l *Loop) SetAgreed(agreed Agreed) {
	l.Post(func(s *state, _ time.Time) {
		if agreed.Revision < s.agreed.Revision {
			return
		}
		s.agreed = agreed
		s.urgent = true
		for _, known := range s.servers {
			s.sendRoster(known)
		}
	})
}
