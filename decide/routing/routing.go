// Package routing chooses the backend server, or the data centre to spill over to, for one request. A decision reads an
// immutable fleet.Snapshot, filters the servers that may take the request, scores them by their estimated load and
// picks one at random among the best few. It allocates nothing.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Request is what a decision needs to know about one request.
type Request struct {
	Target   fleet.Target
	Role     fleet.Role // RolePrefill or RoleDecode for one half of the work, RoleMixed for all of it
	Priority fleet.Priority
	Prefix   []uint64           // chained hashes of the prompt's blocks, see AppendPrefix; empty if unknown
	Exclude  []fleet.ServerID   // servers that were already tried
	Avoid    []fleet.DataCentre // data centres that were already tried
	Spilled  bool               // came from another data centre, must not be passed on to a third one
	Now      time.Time
}

// Reason says why a decision names no backend server.
type Reason uint8

// Reasons, in the order in which the filters apply. A decision without a server gives the reason of the last filter
// that any server reached.
const (
	ReasonChosen     Reason = iota // a server or a remote data centre was chosen
	ReasonUnknown                  // no server has the target's name
	ReasonVersion                  // none has the adapter and version
	ReasonRole                     // none takes the request's role
	ReasonNotServing               // none is serving or starting
	ReasonExcluded                 // all receive no new work, see fleet.Server.ExclusionReason
	ReasonTried                    // all were tried by this request
	ReasonNoHeadroom               // all are at their limit
	ReasonLocalOut                 // the own data centre is taken out
	numReasons       = iota
)

var reasonNames = [numReasons]string{
	"chosen", "unknown target", "no such adapter or version", "no server for this role", "no server is serving",
	"all servers are excluded", "all servers were tried", "no free slot", "the data centre is out",
}

// String returns the reason in words.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown reason"
}

// Decision is the outcome of Pick: a server, a remote data centre or a reason.
type Decision struct {
	Server     int              // position in Snapshot.Servers, -1 if none
	DataCentre fleet.DataCentre // data centre to spill over to, empty if none
	Reason     Reason           // ReasonChosen if Server or DataCentre is set
	Explain    Explain
}

// Explain holds the figures behind a decision, for the account journal.
type Explain struct {
	Dropped    [numReasons]uint16 // servers dropped by each filter
	Considered uint16             // servers that passed the filters
	Few        uint16             // servers among which the random choice was made
	Distrusted uint16             // servers whose load report had impossible figures
	Holders    uint16             // servers that may hold a part of the prompt's prefix
	Blocks     uint16             // prefix blocks that the chosen server may hold
	Load       float32            // estimated load of the chosen server, 1 is its limit
	OverShare  bool               // the chosen server's free slots are used beyond this instance's share
}

// Policy chooses a backend server. Implementations may be called by many goroutines, each with its own rng.
type Policy interface {
	Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision
}

func none(reason Reason) Decision { return Decision{Server: -1, Reason: reason} }
