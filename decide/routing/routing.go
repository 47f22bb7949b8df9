// Package routing chooses the backend server for one request, or the data centre to spill over to. A decision reads an
// immutable fleet.Snapshot, filters the servers that can serve the request, scores them by their estimated load and picks
// one at random among the least loaded. It allocates nothing.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// Request is the input of a decision.
type Request struct {
	Target           fleet.Target
	Role             fleet.Role // RolePrefill or RoleDecode for one phase only, RoleMixed for both
	Priority         fleet.Priority
	Prefix           []uint64           // chained hashes of the prompt's blocks, see AppendPrefix; empty if unknown
	TriedServers     []fleet.ServerID   // servers already tried; not chosen again
	TriedDataCentres []fleet.DataCentre // data centres already tried; not chosen again
	Spilled          bool               // forwarded by another data centre, must not be forwarded again
	Now              time.Time
}

// Reason says why a decision has no backend server.
type Reason uint8

// Reasons, in the order in which the filters apply. A decision without a server gives the reason of the last filter
// that any server reached.
const (
	ReasonChosen         Reason = iota // a server or a remote data centre was chosen
	ReasonUnknown                      // no server has the target's name
	ReasonVersion                      // no server has the adapter and version
	ReasonRole                         // no server accepts the request's role
	ReasonNotServing                   // no server is serving or starting
	ReasonExcluded                     // all servers are excluded from new requests, see fleet.Server.ExclusionReason
	ReasonTried                        // all servers were already tried for this request
	ReasonNoHeadroom                   // all servers are at their concurrency limit
	ReasonLocalEvacuated               // the local data centre is evacuated
	numReasons           = iota
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

// Explain holds the figures behind a decision, for the account.
type Explain struct {
	Dropped     [numReasons]uint16 // servers dropped by each filter
	Considered  uint16             // servers that passed the filters
	Sampled     uint16             // not recorded, always 0
	Implausible uint16             // servers whose load report had impossible figures
	Holders     uint16             // servers that may hold a part of the prompt's prefix
	Blocks      uint16             // prefix blocks that the chosen server may hold
	Load        float32            // estimated load of the chosen server; 1 is its concurrency limit
	OverShare   bool               // the request takes a slot beyond this instance's share
}

// Policy chooses a backend server. Pick must be safe for concurrent use; each goroutine passes its own rng.
type Policy interface {
	Pick(s *fleet.Snapshot, r *Request, rng *rand.Rand) Decision
}

func noServer(reason Reason) Decision { return Decision{Server: -1, Reason: reason} }
