package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

// AgreedState is the part of the agreed state that routing needs.
type AgreedState struct {
	Revision  uint64
	Evacuated map[fleet.DataCentre]bool // by a record in the log or by gossip
	Config    *release.Config
	Fencing   uint64 // current fencing token for orders to the servers of the local data centre
}

// config returns the configuration, which is empty before the state has been received.
func (a *AgreedState) config() *release.Config {
	if a.Config == nil {
		return &release.Config{}
	}
	return a.Config
}

// exclusionReason returns why the agreed state excludes a server from new work, or "". A server that no note names is not
// excluded.
func (a *AgreedState) exclusionReason(server fleet.ServerID) string {
	if number := a.config().WithdrawnBy(server); number > 0 {
		return fmt.Sprintf("withdrawn by release note %d", number)
	}
	return ""
}

// offeredModels returns the models of an announcement without the models and adapters that release notes have withdrawn.
func (a *AgreedState) offeredModels(models []fleet.Model) []fleet.Model {
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

// SetAgreedState replaces the agreed state, unless the given one has a lower revision.
func (l *Loop) SetAgreedState(agreed AgreedState) {
	l.Post(func(s *state, _ time.Time) {
		if agreed.Revision < s.agreed.Revision {
			return
		}
		s.agreed = agreed
		s.publishNow = true
		for _, srv := range s.servers {
			s.sendRoster(srv)
		}
	})
}
