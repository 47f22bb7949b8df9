package account

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxTallied bounds the different events that are counted in one minute: 210 organisations with two reasons each. What
// exceeds it is counted under its kind without a subject.
const maxTallied = 512

// tally counts frequent events by kind, subject and reason. The zero value is ready for use.
type tally struct {
	mutex  sync.Mutex
	since  time.Time // of the first occurrence
	counts map[repeat]int
}

// add counts one occurrence. It returns the entries of the previous minute when that has passed.
func (t *tally) add(now time.Time, event repeat) []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ended []Entry
	if len(t.counts) > 0 && now.Sub(t.since) >= repeatInterval {
		ended = t.take()
	}
	if len(t.counts) == 0 {
		t.since, t.counts = now, make(map[repeat]int)
	}
	if _, known := t.counts[event]; !known && len(t.counts) >= maxTallied {
		event = repeat{event.kind, "others", ""}
	}
	t.counts[event]++
	return ended
}

// end returns the entries of what was counted.
func (t *tally) end() []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.take()
}

func (t *tally) take() []Entry {
	entries := make([]Entry, 0, len(t.counts))
	for event, count := range t.counts {
		entries = append(entries, Entry{Time: t.since, Kind: event.kind, Subject: event.subject, Reason: event.reason, Count: count})
	}
	t.counts = nil
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Reason, b.Reason))
	})
	return entries
}
