package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	state "github.com/banyanfront/banyanfront/decide/directory"
	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// tickInterval paces expiry and repeated requests for the state.
	tickInterval = 250 * time.Millisecond
	// stateTimeout is how long an answer to a request for the state is awaited before another control instance is asked.
	stateTimeout = 400 * time.Millisecond
	// rememberInstances is how long a higher number of entry instances counts on: one that is cut off still sends.
	rememberInstances = 15 * time.Second
	eventQueue        = 4096
)

// View is what a request is decided by. It is immutable.
type View struct {
	Index     uint64 // of the agreed state
	Table     *routes.Table
	Evacuated []string
	Since     time.Time
}

// knowledge owns what this entry instance knows of the fleet. One goroutine changes it; requests read the view and the
// dispatcher.
type knowledge struct {
	config Config
	view   atomic.Pointer[View]
	pool   *transport.Pool
	events chan func(now time.Time)
	done   chan struct{}

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher

	// Owned by the loop.
	servers   *registry.Registry
	changed   bool                                     // servers differ from what the dispatcher has
	sessions  map[transport.Session]*protocol.Controls // what each control instance has told last
	most      int                                      // entry instances seen within rememberInstances
	mostAt    time.Time
	asked     time.Time // when the state was asked for; zero if no answer is awaited
	newest    uint64    // index that some control instance has told
	newestAt  transport.Session
	sightedAt time.Time
}

func newKnowledge(config Config) *knowledge {
	k := &knowledge{
		config:     config,
		events:     make(chan func(time.Time), eventQueue),
		done:       make(chan struct{}),
		dispatcher: dispatch.New(config.Dispatch),
		servers:    registry.New(directory.MaxMissedAnnouncements * config.Dispatch.AnnounceInterval),
		sessions:   map[transport.Session]*protocol.Controls{},
	}
	k.pool = transport.NewPool(func(address string) transport.ConnectFunc {
		return config.Dial(address, config.Hello, k)
	}, k)
	return k
}

// run follows the control instances until the context ends.
func (k *knowledge) run(ctx context.Context) {
	defer close(k.done)
	k.pool.Set(k.config.Controls)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			k.pool.Close("the entry instance stops")
			return
		case f := <-k.events:
			f(time.Now())
		case now := <-tick.C:
			k.upkeep(now)
		}
		k.publish(time.Now())
	}
}

func (k *knowledge) post(f func(now time.Time)) {
	select {
	case k.events <- f:
	case <-k.done:
	}
}

// SetControls replaces the control instances that the settings name.
func (k *knowledge) SetControls(addresses []string) {
	k.post(func(time.Time) {
		log.WithField("controls", addresses).Info("control instances of the settings have changed")
		k.config.Controls = addresses
		k.pool.Set(k.controls())
	})
}

// upkeep forgets servers, as long as most control instances would tell of them, and repeats unanswered requests.
func (k *knowledge) upkeep(now time.Time) {
	if len(k.sessions)*2 > len(k.controls()) && now.Sub(k.sightedAt) < directory.MaxMissedAnnouncements*k.config.Dispatch.AnnounceInterval/2 {
		for _, id := range k.servers.Expire(now) {
			log.WithField("server", id).Info("a backend server has been silent for too long and is forgotten")
			k.changed = true
		}
	}
	k.pool.Set(k.controls())
	k.countInstances(now)
	k.ask(now)
}

// controls returns the inner addresses of the control instances: those of the settings and those that were told.
func (k *knowledge) controls() []string {
	addresses := slices.Clone(k.config.Controls)
	for _, c := range k.sessions {
		addresses = append(addresses, c.Addresses...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// countInstances takes the highest number that a control instance tells. A fall counts only after a while.
func (k *knowledge) countInstances(now time.Time) {
	n := 1
	for _, c := range k.sessions {
		n = max(n, c.Entries)
	}
	if n >= k.most || now.Sub(k.mostAt) > rememberInstances {
		k.most, k.mostAt = n, now
	}
	k.mu.Lock()
	before := k.dispatcher.Instances()
	k.dispatcher.SetInstances(k.most)
	k.mu.Unlock()
	if before != k.most {
		log.WithFields(log.Fields{"before": before, "now": k.most, "sessions": len(k.sessions)}).
			Info("the number of entry instances that share bounds has changed")
	}
}

// ask requests the state if a newer one is known to exist.
func (k *knowledge) ask(now time.Time) {
	has := uint64(0)
	if view := k.view.Load(); view != nil {
		has = view.Index
		if k.newest <= has {
			return
		}
	}
	if !k.asked.IsZero() && now.Sub(k.asked) < stateTimeout {
		return
	}
	session := k.newestAt
	if _, open := k.sessions[session]; !open || !k.asked.IsZero() {
		session = nil
		for s := range k.sessions { // the iteration order is random: another one is asked each time
			session = s
			break
		}
	}
	if session == nil {
		return
	}
	k.asked = now
	if err := session.Send(&protocol.State{Index: has, Request: true}); err != nil {
		log.WithError(err).WithField("peer", session.Peer().Instance).Debug("the agreed state could not be asked for")
	}
}

// publish gives the dispatcher the servers that have changed.
func (k *knowledge) publish(now time.Time) {
	if !k.changed {
		return
	}
	k.changed = false
	current := k.servers.Current()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dispatcher.SetServers(now, current)
}

// SessionOpened implements transport.Handler.
func (k *knowledge) SessionOpened(s transport.Session) {
	k.post(func(now time.Time) {
		log.WithField("peer", s.Peer().Instance).Info("session with a control instance opened")
		k.sessions[s] = &protocol.Controls{}
		k.ask(now)
	})
}

// StateChanged implements transport.Handler.
func (k *knowledge) StateChanged(s transport.Session, st transport.State) {
	if st != transport.StateClosed {
		return
	}
	k.post(func(time.Time) {
		log.WithField("peer", s.Peer().Instance).Warn("session with a control instance lost")
		delete(k.sessions, s)
	})
}

// StreamOpened implements transport.Handler. Nobody opens streams to an entry instance of this kind.
func (k *knowledge) StreamOpened(st transport.Stream, _ *protocol.Open) {
	st.Close("this entry instance takes no streams")
}

// MessageReceived implements transport.Handler.
func (k *knowledge) MessageReceived(s transport.Session, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Sightings:
		k.post(func(now time.Time) { k.sighted(now, m) })
	case *protocol.Controls:
		k.post(func(now time.Time) {
			if k.sessions[s] != nil {
				k.sessions[s] = m
			}
			k.countInstances(now)
			k.pool.Set(k.controls())
		})
	case *protocol.State:
		if m.Report {
			k.post(func(now time.Time) {
				if m.Index > k.newest {
					k.newest, k.newestAt = m.Index, s
				}
				k.ask(now)
			})
			return
		}
		k.post(func(now time.Time) { k.install(now, m) })
	}
}

func (k *knowledge) sighted(now time.Time, m *protocol.Sightings) {
	k.sightedAt = now
	for i := range m.Servers {
		s := &m.Servers[i]
		directory.Observe(k.servers, now, time.Duration(s.AgeMS)*time.Millisecond, s.Announcement)
		k.changed = true
	}
}

// install puts an agreed state in force. An older one than the present is never taken.
func (k *knowledge) install(now time.Time, m *protocol.State) {
	k.asked = time.Time{}
	before := k.view.Load()
	if before != nil && m.Index <= before.Index {
		return
	}
	decoded, err := directory.DecodeState(m.Snapshot)
	if err == nil && decoded.Configured {
		var view *View
		if view, err = compile(k.config.Decode, before, &decoded, now); err == nil {
			k.view.Store(view)
			k.mu.Lock()
			k.dispatcher.SetTable(view.Table)
			k.dispatcher.SetEvacuated(view.Evacuated)
			k.mu.Unlock()
			log.WithFields(log.Fields{"index": view.Index, "version": view.Table.Version, "evacuated": view.Evacuated}).
				Info("agreed state is in force")
		}
	}
	if err != nil {
		log.WithError(err).WithField("index", m.Index).Error("the agreed state cannot be read and is not in force; run the same version on all instances")
		return
	}
	k.ask(now)
}

// compile builds the view of a state. Routes are compiled again only if the configuration has changed.
func compile(decode func([]byte) (*routes.Configuration, error), before *View, s *state.State, now time.Time) (*View, error) {
	view := &View{Index: s.Index, Evacuated: s.Evacuated, Since: now}
	if before != nil && before.Table.Version == s.Version {
		view.Table = before.Table
		return view, nil
	}
	body, err := directory.Unpack(s.Body)
	if err != nil {
		return nil, err
	}
	configuration, err := decode(body)
	if err != nil {
		return nil, err
	}
	view.Table = routes.Compile(configuration)
	return view, nil
}
