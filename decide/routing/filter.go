package routing

import (
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// filterReason returns ReasonChosen if the server passes all filters, else the reason of the filter that dropped it. Free
// slots are not examined.
func filterReason(server *fleet.Server, r *Request) Reason {
	switch {
	case !server.Serves(r.Target):
		return ReasonVersion
	case !roleMatches(server.Role, r.Role):
		return ReasonRole
	case server.Load.Phase > fleet.PhaseServing:
		return ReasonNotServing
	case server.ExclusionReason != "":
		return ReasonExcluded
	case len(r.TriedServers) > 0 && slices.Contains(r.TriedServers, server.Server):
		return ReasonTried
	}
	return ReasonChosen
}

// roleMatches reports whether a server of the given role accepts requests of the role requested.
func roleMatches(server, requested fleet.Role) bool {
	return server == fleet.RoleMixed || server == requested
}

// lastDropReason returns the reason of the last filter that any server reached.
func lastDropReason(dropped *[numReasons]uint16) Reason {
	for reason := Reason(numReasons - 1); reason > ReasonUnknown; reason-- {
		if dropped[reason] > 0 {
			return reason
		}
	}
	return ReasonUnknown
}
