package routing

import (
	"slices"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// filter returns ReasonChosen if the server may take the request, else the reason of the filter that dropped it. Free
// slots are not examined.
func filter(server *fleet.Server, r *Request) Reason {
	switch {
	case !server.Serves(r.Target):
		return ReasonVersion
	case !takes(server.Role, r.Role):
		return ReasonRole
	case server.Load.Phase > fleet.PhaseServing:
		return ReasonNotServing
	case server.ExclusionReason != "":
		return ReasonExcluded
	case len(r.Exclude) > 0 && slices.Contains(r.Exclude, server.Server):
		return ReasonTried
	}
	return ReasonChosen
}

// takes reports whether a server with the role has takes the work of a request with the role wants.
func takes(has, wants fleet.Role) bool { return has == fleet.RoleMixed || has == wants }

// lastReason returns the reason of the last filter that any server reached.
func lastReason(dropped *[numReasons]uint16) Reason {
	for reason := Reason(numReasons - 1); reason > ReasonUnknown; reason-- {
		if dropped[reason] > 0 {
			return reason
		}
	}
	return ReasonUnknown
}
