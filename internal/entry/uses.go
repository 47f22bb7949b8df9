package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
)

const (
	// useProposalInterval is the minimum time between two proposals of uses.
	useProposalInterval = time.Minute
	// useRefreshAge is how much later than the recorded time a use must be for its time to be proposed again.
	useRefreshAge = 10 * time.Minute
	// maxProposedUses bounds the uses in one proposal, in which new uses have precedence. 330 instances together propose at
	// most 5.5 commands with 88 uses (6.6 KB) per second, regardless of the traffic, which a leader sends to four voters
	// within its budget of 28 KB/s. With 64 uses per proposal it would send 26 KB/s to each.
	maxProposedUses = 16
	// maxTrackedUses bounds the uses in memory: 300 servers and 210 organisations make 63,000 uses, about 10 MB.
	maxTrackedUses     = 1 << 16
	useProposalTimeout = 10 * time.Second
)

// useKey identifies a use: who used what on which server.
type useKey struct {
	server       fleet.ServerID
	organisation fleet.Organisation
	kind         fleet.Kind
	name         string
	adapter      string
}

// useTimes are the times of a use in Unix seconds.
type useTimes struct {
	lastUsed     int64
	lastRecorded int64 // last time that the group accepted from this instance, 0 if none
}

// useTracker tracks which organisation used what on which server, and proposes these uses to the agreement group.
type useTracker struct {
	dataCentre fleet.DataCentre

	mu    sync.Mutex
	times map[useKey]useTimes
}

func newUseTracker(id identity) *useTracker {
	return &useTracker{dataCentre: id.dataCentre, times: make(map[useKey]useTimes)}
}

// record records a use. If the tracker is full and no use can be evicted, a new one is dropped.
func (t *useTracker) record(now time.Time, key useKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times, known := t.times[key]
	if !known && len(t.times) >= maxTrackedUses && !t.evictRecorded() {
		return
	}
	times.lastUsed = now.Unix()
	t.times[key] = times
}

// evictRecorded evicts a use whose latest time the group has recorded; its next occurrence counts as new. It examines at
// most 8 uses.
func (t *useTracker) evictRecorded() bool {
	examined := 0
	for key, times := range t.times {
		if times.lastRecorded == times.lastUsed {
			delete(t.times, key)
			return true
		}
		if examined++; examined == 8 {
			break
		}
	}
	return false
}

// dueUses returns the uses to propose: new ones first, then those with the oldest recorded time.
func (t *useTracker) dueUses() []useKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []useKey
	for key, times := range t.times {
		if times.lastRecorded == 0 || times.lastUsed-times.lastRecorded >= int64(useRefreshAge/time.Second) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y useKey) int {
		return cmp.Or(cmp.Compare(t.times[x].lastRecorded, t.times[y].lastRecorded), cmp.Compare(t.times[x].lastUsed, t.times[y].lastUsed),
			cmp.Compare(x.server, y.server), cmp.Compare(x.organisation, y.organisation), cmp.Compare(x.name, y.name))
	})
	return keys[:min(len(keys), maxProposedUses)]
}

// propose proposes the due uses. If the group does not accept them, they remain due.
func (t *useTracker) propose(ctx context.Context, now time.Time, propose func(context.Context, string, statemachine.Command) (*statemachine.Result, error)) {
	keys := t.dueUses()
	if len(keys) == 0 {
		return
	}
	command := &statemachine.RegisterUses{At: now.Unix()}
	t.mu.Lock()
	for _, key := range keys {
		command.Uses = append(command.Uses, release.Use{
			Server: key.server, DataCentre: t.dataCentre, Organisation: key.organisation,
			Kind: key.kind, Name: key.name, Adapter: key.adapter, Last: t.times[key].lastUsed,
		})
	}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, useProposalTimeout)
	defer cancel()
	result, err := propose(ctx, "uses/"+rand.Text(), command)
	if err != nil {
		log.WithError(err).WithField("uses", len(keys)).Debug("uses not recorded; retrying in a minute")
		return
	}
	if result.UsesDropped > 0 {
		log.WithField("uses", result.UsesDropped).Warn(result.Detail)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, key := range keys {
		if times, known := t.times[key]; known {
			times.lastRecorded = command.Uses[i].Last
			t.times[key] = times
		}
	}
}

// run proposes uses until the context ends. The start depends on the incarnation, which spreads the proposals of instances.
func (t *useTracker) run(ctx context.Context, incarnation fleet.Incarnation, propose func(context.Context, string, statemachine.Command) (*statemachine.Result, error)) {
	timer := time.NewTimer(time.Duration(uint64(incarnation) % uint64(useProposalInterval)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			t.propose(ctx, now, propose)
			timer.Reset(useProposalInterval)
		}
	}
}
