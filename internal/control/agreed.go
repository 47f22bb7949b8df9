package control

import (
	"strings"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Agreed is the part of the agreed state that routing needs.
type Agreed struct {
	Revision  uint64
	Out       map[fleet.DataCentre]bool
	Withdrawn map[fleet.ServerID]bool
	Calls     []CallRule
}

// CallRule marks calls of a plain service as idempotent or not.
type CallRule struct {
	Service    string
	Method     string // empty for any
	PathPrefix string
	Repeatable bool
}

// excluded returns why the agreed state keeps new work from a server, or "".
func (a *Agreed) excluded(server fleet.ServerID) string {
	if a.Withdrawn[server] {
		return "withdrawn by a release note"
	}
	return ""
}

// repeatable applies the rule with the longest matching path.
func (a *Agreed) repeatable(service, method, path string) (repeat, known bool) {
	longest := -1
	for _, rule := range a.Calls {
		if rule.Service != service || (rule.Method != "" && rule.Method != method) ||
			!strings.HasPrefix(path, rule.PathPrefix) || len(rule.PathPrefix) <= longest {
			continue
		}
		longest = len(rule.PathPrefix)
		repeat, known = rule.Repeatable, true
	}
	return repeat, known
}

// SetAgreed puts a newer agreed state in force. An older one changes nothing.
func (l *Loop) SetAgreed(agreed Agreed) {
	l.Post(func(s *state, _ time.Time) {
		if agreed.Revision < s.agreed.Revision {
			return
		}
		s.agreed = agreed
		s.urgent = true
	})
}
