package directory

import (
	"bytes"
	"time"

	"github.com/banyanfront/banyanfront/internal/protocol"
)

const (
	// minLoadsInterval is the minimum interval at which a coordinator sends the loads of a group to the entry instances: rank
	// processes report every 120 ms.
	minLoadsInterval = 100 * time.Millisecond
	// loadsRate limits what the loads of one group cost its coordinator, in bytes a second to all entry instances: 7 times the
	// budget of a usual daemon. Larger fleets get the loads less often.
	loadsRate = 200_000
	// loadsOverhead is the size of a message of loads without the loads, and of its packet.
	loadsOverhead = 130
	// loadsRepeatInterval is the interval at which unchanged loads are sent again: entry instances give loads less weight after
	// a second.
	loadsRepeatInterval = 800 * time.Millisecond
	// maxLoadAge is the age of a rank's report beyond which its load is sent as unknown.
	maxLoadAge = time.Second
)

// loadsInterval returns the interval at which the loads of a group are sent.
func loadsInterval(ranks, entryInstances int) time.Duration {
	bytesPerInterval := entryInstances * (ranks + loadsOverhead)
	return max(minLoadsInterval, time.Duration(bytesPerInterval)*time.Second/loadsRate)
}

// sendLoads sends the loads of a group that this instance coordinates to the entry instances. Each of these sees few of the
// requests and knows the loads of few engines by itself.
func (gs *groups) sendLoads(now time.Time, g *group) {
	hasOpened := g.openEpoch > g.openEpochSent // callers wait for it
	if g.role != coordinator || !hasOpened && now.Sub(g.loadsSentAt) < loadsInterval(g.size, int(gs.directory.entryInstances.Load())) {
		return
	}
	loads := g.loads(now)
	if !hasOpened && bytes.Equal(loads, g.loadsSent) && now.Sub(g.loadsSentAt) < loadsRepeatInterval {
		return
	}
	g.loadsSent, g.loadsSentAt, g.openEpochSent = loads, now, g.openEpoch
	message := &protocol.GroupLoads{Service: g.service, Group: g.name, Requests: loads, OpenEpoch: g.openEpoch}
	gs.directory.post(func(time.Time) { gs.directory.broadcast(message) })
}

// loads returns the loads of the ranks in the encoding of protocol.GroupLoads.
func (g *group) loads(now time.Time) []byte {
	loads := make([]byte, g.size)
	for rank := range loads {
		loads[rank] = protocol.UnknownGroupLoad
		if r := g.ranks[rank]; r != nil && now.Sub(r.reportedAt) <= maxLoadAge {
			loads[rank] = byte(min(max(r.requests, 0), protocol.MaxGroupLoad))
		}
	}
	return loads
}
