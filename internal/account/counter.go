package account

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxCountedEvents bounds the different events that are counted in one minute: 210 organisations with two reasons each.
// Further events are counted per kind, under the subject "others".
const maxCountedEvents = 512

// eventCounter counts frequent events by kind, subject and reason. The zero value is ready for use.
type eventCounter struct {
	mutex  sync.Mutex
	since  time.Time // time of the first occurrence
	counts map[repeatKey]int
}

// add counts one occurrence. If repeatInterval has passed, it first ends the count and returns its entries.
func (c *eventCounter) add(now time.Time, event repeatKey) []Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var entries []Entry
	if len(c.counts) > 0 && now.Sub(c.since) >= repeatInterval {
		entries = c.collect()
	}
	if len(c.counts) == 0 {
		c.since, c.counts = now, make(map[repeatKey]int)
	}
	if _, known := c.counts[event]; !known && len(c.counts) >= maxCountedEvents {
		event = repeatKey{event.kind, "others", ""}
	}
	c.counts[event]++
	return entries
}

// flush ends the count and returns its entries.
func (c *eventCounter) flush() []Entry {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.collect()
}

// collect returns the counted events as entries and resets the counts. The caller holds the lock.
func (c *eventCounter) collect() []Entry {
	entries := make([]Entry, 0, len(c.counts))
	for event, count := range c.counts {
		entries = append(entries, Entry{Time: c.since, Kind: event.kind, Subject: event.subject, Reason: event.reason, Count: count})
	}
	c.counts = nil
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Reason, b.Reason))
	})
	return entries
}
