package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
)

const (
	// useInterval is the least time between two proposals of uses.
	useInterval = time.Minute
	// useRefresh is how old a recorded time must be before a later use of the same kind is proposed.
	useRefresh = 10 * time.Minute
	// maxProposedUses bounds a proposal. 330 instances propose at most 5.5 commands with 88 uses and 6.6 KB a second,
	// whatever the traffic, and a leader sends that to four voters within its 28 KB/s. With 64 uses it would be 26 KB/s to
	// each. New uses go first.
	maxProposedUses = 16
	// maxUses bounds the uses that are remembered: 300 servers and 210 organisations give 63,000, about 10 MB.
	maxUses    = 1 << 16
	useTimeout = 10 * time.Second
)

// useKey is what one use is about.
type useKey struct {
	server       fleet.ServerID
	organisation fleet.Organisation
	kind         fleet.Kind
	name         string
	adapter      string
}

// useTimes are Unix seconds.
type useTimes struct {
	last     int64
	recorded int64 // that the group has accepted from here, 0 if it has none
}

// useBook remembers which organisation used what on which server, until the agreement group has recorded it.
type useBook struct {
	dataCentre fleet.DataCentre

	mu    sync.Mutex
	times map[useKey]useTimes
}

func newUseBook(id identity) *useBook {
	return &useBook{dataCentre: id.dataCentre, times: make(map[useKey]useTimes)}
}

// used notes a use.
func (b *useBook) used(now time.Time, key useKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	times, known := b.times[key]
	if !known && len(b.times) >= maxUses && !b.forgetOne() {
		return
	}
	times.last = now.Unix()
	b.times[key] = times
}

// forgetOne makes room by forgetting a use that is recorded; its next occurrence counts as new. It looks at a few only.
func (b *useBook) forgetOne() bool {
	looked := 0
	for key, times := range b.times {
		if times.recorded == times.last {
			delete(b.times, key)
			return true
		}
		if looked++; looked == 8 {
			break
		}
	}
	return false
}

// due returns the uses to propose: new ones first, then those whose recorded time is oldest.
func (b *useBook) due() []useKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []useKey
	for key, times := range b.times {
		if times.recorded == 0 || times.last-times.recorded >= int64(useRefresh/time.Second) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y useKey) int {
		return cmp.Or(cmp.Compare(b.times[x].recorded, b.times[y].recorded), cmp.Compare(b.times[x].last, b.times[y].last),
			cmp.Compare(x.server, y.server), cmp.Compare(x.organisation, y.organisation), cmp.Compare(x.name, y.name))
	})
	return keys[:min(len(keys), maxProposedUses)]
}

// propose proposes what is due. What the group does not accept is due again.
func (b *useBook) propose(ctx context.Context, now time.Time, propose func(context.Context, string, agreed.Command) (*agreed.Result, error)) {
	keys := b.due()
	if len(keys) == 0 {
		return
	}
	command := &agreed.RegisterUses{At: now.Unix()}
	b.mu.Lock()
	for _, key := range keys {
		command.Uses = append(command.Uses, release.Use{
			Server: key.server, DataCentre: b.dataCentre, Organisation: key.organisation,
			Kind: key.kind, Name: key.name, Adapter: key.adapter, Last: b.times[key].last,
		})
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, useTimeout)
	defer cancel()
	result, err := propose(ctx, "uses/"+rand.Text(), command)
	if err != nil {
		log.WithError(err).WithField("uses", len(keys)).Debug("uses not recorded; the next try follows in a minute")
		return
	}
	if result.UsesDropped > 0 {
		log.WithField("uses", result.UsesDropped).Warn(result.Detail)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, key := range keys {
		if times, known := b.times[key]; known {
			times.recorded = command.Uses[i].Last
			b.times[key] = times
		}
	}
}

// run proposes uses until the context ends. Instances begin at different times, so that their proposals spread.
func (b *useBook) run(ctx context.Context, boot fleet.Incarnation, propose func(context.Context, string, agreed.Command) (*agreed.Result, error)) {
	timer := time.NewTimer(time.Duration(uint64(boot) % uint64(useInterval)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			b.propose(ctx, now, propose)
			timer.Reset(useInterval)
		}
	}
}
