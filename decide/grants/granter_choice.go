package grants

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lostFor is how long a control instance that an entry instance no longer reaches may still grant to others: in a cut between the
	// two, nobody tells it that others are asked instead. Later, they are expected to have noticed that it is gone.
	lostFor = 30 * time.Second
	// deputyRatio is the part of the permits that is granted by an instance in place of one that may still grant.
	deputyRatio = 0.5
)

// Control is a control instance that entry instances may ask for permits.
type Control struct {
	Address string
	LostAt  time.Time // when it was last reached, zero while it is
}

// ChooseGranter returns the address of the control instance to ask for permits of a service, empty if none is in reach, and the number of
// instances that it stands in for: those before it in the order that all entry instances share, which may still grant to others.
func ChooseGranter(now time.Time, service string, controls []Control) (address string, standsInFor int) {
	order := func(c Control) uint64 { return xxhash.Sum64String(service + "/" + c.Address) }
	var granter Control
	for _, c := range controls {
		if c.LostAt.IsZero() && (granter.Address == "" || order(c) < order(granter)) {
			granter = c
		}
	}
	if granter.Address == "" {
		return "", 0
	}
	for _, c := range controls {
		if !c.LostAt.IsZero() && now.Sub(c.LostAt) <= lostFor && order(c) < order(granter) {
			standsInFor++
		}
	}
	return granter.Address, standsInFor
}

// DeputyRatio returns the part of each limit of which an instance grants permits that stands in for a number of others.
func DeputyRatio(standsInFor int) float64 {
	ratio := 1.0
	for range standsInFor {
		ratio *= deputyRatio
	}
	return ratio
}
