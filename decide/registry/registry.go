// Package registry holds the backend servers whose announcements a process has received. Announcements may arrive late,
// repeatedly and through several control instances; merging them in any order gives the same servers.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is the lifecycle state that a server announces.
type State uint8

// States, in the order in which a server passes through them.
const (
	Ready State = iota
	Draining
	Deregistered
)

// Group describes a rank's membership of its lock-step group. Name is empty for other servers.
type Group struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Epoch  uint64 `cbor:"2,keyasint,omitempty"`
	Rank   int    `cbor:"3,keyasint,omitempty"`
	Size   int    `cbor:"4,keyasint,omitempty"`
	Broken bool   `cbor:"5,keyasint,omitempty"`
}

// Announcement is the announced state of a server.
type Announcement struct {
	Server          string        `cbor:"1,keyasint"`
	Service         string        `cbor:"2,keyasint,omitempty"`
	Address         string        `cbor:"3,keyasint,omitempty"`
	DataCentre      string        `cbor:"4,keyasint,omitempty"`
	StartedAtMillis int64         `cbor:"5,keyasint,omitempty"` // start of the server's process, Unix time; 0 if unknown
	Sequence        uint64        `cbor:"6,keyasint,omitempty"` // increases within one incarnation of the process
	State           State         `cbor:"7,keyasint,omitempty"`
	Slots           int           `cbor:"8,keyasint,omitempty"`
	ColdRemaining   time.Duration `cbor:"9,keyasint,omitempty"` // remaining warm-up time at the time of the announcement
	Group           Group         `cbor:"10,keyasint,omitempty"`
}

// Supersedes reports whether the announcement is newer than another one of the same server. Deregistered is final within
// one incarnation; a Deregistered announcement without StartedAtMillis ends the recorded incarnation.
func (a *Announcement) Supersedes(old *Announcement) bool {
	if a.StartedAtMillis != old.StartedAtMillis && a.StartedAtMillis != 0 && old.StartedAtMillis != 0 {
		return a.StartedAtMillis > old.StartedAtMillis
	}
	if a.State == Deregistered || old.State == Deregistered {
		return a.State == Deregistered && old.State != Deregistered
	}
	return a.Sequence > old.Sequence
}

// Record is the newest announcement of a server and the time at which it was received.
type Record struct {
	Announcement
	ReceivedAt time.Time
}

// Registry is a set of servers. It is not safe for concurrent use.
type Registry struct {
	// servers includes those that are Deregistered, so that a late announcement of the same incarnation does not restore them.
	servers     map[string]*Record
	expireAfter time.Duration
}

// New returns an empty registry. Expire deletes servers without an announcement for longer than expireAfter.
func New(expireAfter time.Duration) *Registry {
	return &Registry{servers: map[string]*Record{}, expireAfter: expireAfter}
}

// Observe merges an announcement received at now. It reports whether the server's state has changed in more than
// sequence number, remaining warm-up time and time of receipt.
func (r *Registry) Observe(now time.Time, a Announcement) bool {
	record, ok := r.servers[a.Server]
	if !ok {
		r.servers[a.Server] = &Record{a, now}
		return true
	}
	if !a.Supersedes(&record.Announcement) {
		return false
	}
	if a.State == Deregistered { // keep address and data centre for clients that still have connections to the server
		merged := record.Announcement
		merged.State, merged.Sequence = Deregistered, max(a.Sequence, merged.Sequence)
		if a.StartedAtMillis != 0 {
			merged.StartedAtMillis = a.StartedAtMillis
		}
		a = merged
	}
	changed := !equalExceptTiming(&record.Announcement, &a)
	record.Announcement, record.ReceivedAt = a, now
	return changed
}

func equalExceptTiming(a, b *Announcement) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	x.ColdRemaining, y.ColdRemaining = 0, 0
	return x == y && (a.ColdRemaining > 0) == (b.ColdRemaining > 0)
}

// Expire deletes servers without an announcement for longer than expireAfter and returns their identifiers, sorted.
func (r *Registry) Expire(now time.Time) (expired []string) {
	for id, record := range r.servers {
		if now.Sub(record.ReceivedAt) > r.expireAfter {
			delete(r.servers, id)
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Get returns the record of a server, or nil if there is none.
func (r *Registry) Get(server string) *Record { return r.servers[server] }

// All returns the records of all servers, including those that are Deregistered, sorted by identifier.
func (r *Registry) All() []*Record {
	return slices.SortedFunc(maps.Values(r.servers), func(a, b *Record) int { return strings.Compare(a.Server, b.Server) })
}

// Current returns the servers that are not Deregistered, sorted by identifier. Of several servers at one address only
// the one started last is considered, since the others must have ended.
func (r *Registry) Current() []*Record {
	newest := make(map[string]*Record, len(r.servers))
	for _, record := range r.servers {
		if other, ok := newest[record.Address]; !ok || startedAfter(record, other) {
			newest[record.Address] = record
		}
	}
	var current []*Record
	for _, record := range newest {
		if record.State != Deregistered {
			current = append(current, record)
		}
	}
	slices.SortFunc(current, func(a, b *Record) int { return strings.Compare(a.Server, b.Server) })
	return current
}

// startedAfter reports whether a was started after b. Ties are broken by time of receipt and identifier.
func startedAfter(a, b *Record) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis > b.StartedAtMillis
	}
	if !a.ReceivedAt.Equal(b.ReceivedAt) {
		return a.ReceivedAt.After(b.ReceivedAt)
	}
	return a.Server > b.Server
}
