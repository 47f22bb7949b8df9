package registry

import (
	"fmt"
	"time"
	"unicode/utf8"
)

// maxTextBytes limits each text of an announcement, so that a message with many announcements stays below its size limit.
const maxTextBytes = 256

// Limits of the numbers of an announcement. Ranks are kept in lists as long as their group is large.
const (
	MaxGroupSize     = 4096
	maxSlots         = 1 << 20
	maxColdRemaining = 24 * time.Hour
)

// InvalidError reports an announcement that describes no usable server.
type InvalidError struct {
	Field  string
	Remedy string
}

// Error implements error.
func (e *InvalidError) Error() string { return "announcement: " + e.Field + ": " + e.Remedy }

// Validate returns nil if other instances can read the announcement, otherwise an *InvalidError with the first problem.
func (a *Announcement) Validate() error {
	for _, text := range []struct{ field, value string }{
		{"identifier", a.Server}, {"service", a.Service}, {"address", a.Address}, {"data centre", a.DataCentre}, {"group", a.Group.Name},
	} {
		if len(text.value) > maxTextBytes {
			return &InvalidError{text.field, fmt.Sprintf("has %d bytes; send at most %d", len(text.value), maxTextBytes)}
		}
		if !utf8.ValidString(text.value) {
			return &InvalidError{text.field, "is not UTF-8; encode it"}
		}
	}
	if a.Server == "" {
		return &InvalidError{"identifier", "is missing; send it in the path"}
	}
	switch g := a.Group; {
	case a.Slots < 0 || a.Slots > maxSlots:
		return &InvalidError{"slots", fmt.Sprintf("%d is out of range; send 0 to %d", a.Slots, maxSlots)}
	case a.ColdRemaining < 0 || a.ColdRemaining > maxColdRemaining:
		return &InvalidError{"remaining cold time", fmt.Sprintf("%v is out of range; send at most %v", a.ColdRemaining, maxColdRemaining)}
	case a.StartedAtMillis <= 0 && a.State != Deregistered:
		return &InvalidError{"start of the process", "is missing; send it, so that the newest announcement can be told"}
	case g.Name != "" && !ValidRank(g.Rank, g.Size):
		return &InvalidError{"group", fmt.Sprintf("rank %d of %d is out of range; send at most %d ranks, the first one as 0", g.Rank, g.Size, MaxGroupSize)}
	}
	return nil
}

// ValidRank reports whether a group of the size may exist and has the rank. A size of 0 is unknown.
func ValidRank(rank, size int) bool {
	return rank >= 0 && size >= 0 && size <= MaxGroupSize && rank < MaxGroupSize && (rank < size || size == 0)
}

// TextBytes returns the length of all texts together.
func (a *Announcement) TextBytes() int {
	return len(a.Server) + len(a.Service) + len(a.Address) + len(a.DataCentre) + len(a.Group.Name)
}
