package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	state "github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/dispatch"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/directory"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// tickInterval is the interval of server expiry and of repeated requests for the state.
	tickInterval = 250 * time.Millisecond
	// stateTimeout is the time after which an unanswered request for the state is repeated to another control instance.
	stateTimeout = 400 * time.Millisecond
	// instanceCountHold is how long a higher number of entry instances continues to be used after it was last reported: a
	// partitioned instance still sends requests to servers.
	instanceCountHold = 15 * time.Second
	// loadsMissingAfter is the time without loads of a lock-step group after which that is logged: coordinators send them at
	// least every 0.8 s, and another one takes over after about 1.5 s.
	loadsMissingAfter = 3 * time.Second
	eventQueueLength  = 4096
)

// View is the part of the agreed state that requests are routed by. It is immutable.
type View struct {
	Index       uint64 // of the agreed state
	Table       *routes.Table
	Evacuated   []string
	InstalledAt time.Time
}

// fleetState receives the agreed state and the servers from the control instances. One goroutine updates it; requests use
// the view and the dispatcher.
type fleetState struct {
	config Config
	view   atomic.Pointer[View]
	pool   *transport.Pool
	events chan func(now time.Time) // run by the goroutine of run
	done   chan struct{}

	confirmations confirmations

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// permitsAnswered is closed when a request for permits of a service is answered.
	permitsAnswered map[string]chan struct{}
	trials          map[string]*trial // open ones, by the key of quarantine.Tracker.Trial
	parts           promptParts
	rooms           map[string]*waitingRoom // of calls that wait for a server, by service

	// Accessed only by the goroutine of run.
	servers             *registry.Registry
	serversChanged      bool                                             // servers differ from those of the dispatcher
	sessions            map[transport.Session]*protocol.ControlInstances // last ControlInstances message of each control instance
	instanceCount       int                                              // highest number of entry instances within instanceCountHold
	instanceCountAt     time.Time
	stateRequestedAt    time.Time         // time of the last state request; zero if none is outstanding
	newestIndex         uint64            // highest index that a control instance has reported
	newestSession       transport.Session // session that reported newestIndex
	lastAnnouncementsAt time.Time
	limitsSentAt        time.Time            // to a control instance that lacked some
	controlsKnownAt     map[string]time.Time // since when the addresses of control instances are known
	lostControls        map[string]time.Time // control instances without a session, by address, with the time at which it was lost
	loadsReceivedAt     map[string]time.Time // last loads of each lock-step group, by controlstate.GroupKey
}

func newFleetState(config Config) *fleetState {
	f := &fleetState{
		config:     config,
		events:     make(chan func(time.Time), eventQueueLength),
		done:       make(chan struct{}),
		dispatcher: dispatch.New(config.Dispatch),
		parts:      promptParts{tracker: quarantine.New(), waiting: map[*attempt]*call{}},
		servers:    registry.New(directory.MaxMissedAnnouncements * config.Dispatch.AnnounceInterval),
		sessions:   map[transport.Session]*protocol.ControlInstances{},

		loadsReceivedAt: map[string]time.Time{},
		controlsKnownAt: map[string]time.Time{},
		lostControls:    map[string]time.Time{},
		permitsAnswered: map[string]chan struct{}{},
		trials:          map[string]*trial{},
		rooms:           map[string]*waitingRoom{},
	}
	f.pool = transport.NewPool(func(address string) transport.ConnectFunc {
		return config.Dial(address, config.Hello, f)
	}, f)
	return f
}

// run connects to the control instances and applies their messages until the context ends.
func (f *fleetState) run(ctx context.Context) {
	defer close(f.done)
	f.pool.Set(f.config.Seeds)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			f.pool.Close("the entry instance stops")
			return
		case apply := <-f.events:
			apply(time.Now())
		case now := <-tick.C:
			f.tick(now)
		}
		f.publishServers(time.Now())
	}
}

// post queues apply for the goroutine of run.
func (f *fleetState) post(apply func(now time.Time)) {
	select {
	case f.events <- apply:
	case <-f.done:
	}
}

// SetSeeds replaces the inner addresses of control instances after a change of the settings.
func (f *fleetState) SetSeeds(addresses []string) {
	f.post(func(time.Time) {
		log.WithField("controls", addresses).Info("control instances of the settings have changed")
		f.config.Seeds = addresses
		f.pool.Set(f.controlAddresses())
	})
}

// tick expires servers, but only while most control instances are connected and announcements arrive, so that missing
// announcements can be attributed to the servers. It also repeats unanswered requests for the state.
func (f *fleetState) tick(now time.Time) {
	if len(f.sessions)*2 > len(f.controlAddresses()) && now.Sub(f.lastAnnouncementsAt) < directory.MaxMissedAnnouncements*f.config.Dispatch.AnnounceInterval/2 {
		for _, id := range f.servers.Expire(now) {
			log.WithField("server", id).Info("backend server expired: no announcement received for too long")
			f.serversChanged = true
		}
	}
	f.pool.Set(f.controlAddresses())
	f.recordUnreached(now)
	f.updateInstanceCount(now)
	f.requestState(now)
	if f.confirmations.unanswered() {
		f.askForConfirmation(now)
	}
	f.parts.mu.Lock()
	directory.ExpirePromptParts(now, f.parts.tracker)
	f.parts.mu.Unlock()
	f.countServerLimits()
	for group, at := range f.loadsReceivedAt {
		if now.Sub(at) > loadsMissingAfter {
			log.WithField("group", group).Warn("the loads of a lock-step group are no longer received; they are estimated from responses")
			delete(f.loadsReceivedAt, group)
		}
	}
}

// controlAddresses returns the inner addresses of the control instances, from the settings and from received rosters.
func (f *fleetState) controlAddresses() []string {
	addresses := slices.Clone(f.config.Seeds)
	for _, c := range f.sessions {
		addresses = append(addresses, c.Addresses...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// updateInstanceCount applies the highest number of entry instances that a control instance reports. A decrease is applied
// only after instanceCountHold.
func (f *fleetState) updateInstanceCount(now time.Time) {
	n := 1
	for _, c := range f.sessions {
		n = max(n, c.EntryInstances)
	}
	if n >= f.instanceCount || now.Sub(f.instanceCountAt) > instanceCountHold {
		f.instanceCount, f.instanceCountAt = n, now
	}
	f.mu.Lock()
	before := f.dispatcher.Instances()
	f.dispatcher.SetInstances(f.instanceCount)
	f.mu.Unlock()
	if before != f.instanceCount {
		log.WithFields(log.Fields{"before": before, "now": f.instanceCount, "sessions": len(f.sessions)}).
			Info("number of entry instances that share the limits has changed")
	}
}

// requestState requests the agreed state if there is none yet or a newer one has been reported.
func (f *fleetState) requestState(now time.Time) {
	currentIndex := uint64(0)
	if view := f.view.Load(); view != nil {
		currentIndex = view.Index
		if f.newestIndex <= currentIndex {
			return
		}
	}
	if !f.stateRequestedAt.IsZero() && now.Sub(f.stateRequestedAt) < stateTimeout {
		return
	}
	session := f.newestSession
	if _, open := f.sessions[session]; !open || !f.stateRequestedAt.IsZero() {
		session = nil
		for s := range f.sessions { // the random iteration order spreads the requests over the sessions
			session = s
			break
		}
	}
	if session == nil {
		return
	}
	f.stateRequestedAt = now
	transport.TrySend(session, &protocol.State{Index: currentIndex, Request: true})
}

// publishServers passes the servers to the dispatcher if they have changed.
func (f *fleetState) publishServers(now time.Time) {
	if !f.serversChanged {
		return
	}
	f.serversChanged = false
	current := f.servers.Current()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.SetServers(now, current)
	f.serveAllWaitingLocked()
}

// broadcast sends messages to all control instances. Only the goroutine of run calls it.
func broadcast[M protocol.Message](f *fleetState, messages ...M) {
	for session := range f.sessions {
		for _, m := range messages {
			transport.TrySend(session, m)
		}
	}
}

// SessionOpened implements transport.Handler.
func (f *fleetState) SessionOpened(s transport.Session) {
	f.post(func(now time.Time) {
		log.WithField("peer", s.Peer().Instance).Info("session with a control instance opened")
		f.sessions[s] = &protocol.ControlInstances{}
		f.recordControl(now, s, true)
		f.updateGranting()
		f.requestState(now)
		f.parts.mu.Lock()
		suspicions := f.parts.tracker.Suspicions()
		f.parts.mu.Unlock()
		for _, m := range directory.EncodePromptParts(now, suspicions) {
			transport.TrySend(s, m) // the control instance may have started without them
		}
		f.sendServerLimits(s)
	})
}

// StateChanged implements transport.Handler.
func (f *fleetState) StateChanged(s transport.Session, st transport.State) {
	if st != transport.StateClosed {
		return
	}
	f.post(func(now time.Time) {
		log.WithFields(transport.EndFields(s)).Warn("session with a control instance lost")
		delete(f.sessions, s)
		f.recordControl(now, s, false)
		f.updateGranting()
	})
}

// StreamOpened implements transport.Handler. It rejects streams, as an entry instance of this kind serves none.
func (f *fleetState) StreamOpened(st transport.Stream, _ *protocol.Open) {
	st.Close("this entry instance takes no streams")
}

// MessageReceived implements transport.Handler.
func (f *fleetState) MessageReceived(s transport.Session, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.RelayedAnnouncements:
		f.post(func(now time.Time) { f.applyAnnouncements(now, m) })
	case *protocol.ControlInstances:
		f.post(func(now time.Time) {
			if f.sessions[s] != nil {
				f.sessions[s] = m
			}
			f.updateInstanceCount(now)
			f.pool.Set(f.controlAddresses())
		})
	case *protocol.GroupLoads:
		f.post(func(now time.Time) { f.applyLoads(now, m) })
	case *protocol.PromptParts:
		f.post(func(now time.Time) { broadcast(f, f.applyPromptParts(now, m, false)...) })
	case *protocol.ServerLimits:
		f.post(func(now time.Time) { f.applyServerLimits(now, m) })
	case *protocol.Permits:
		f.post(func(now time.Time) { f.applyPermits(now, s, m) })
	case *protocol.State:
		f.post(func(now time.Time) {
			if m.Report {
				if m.Index > f.newestIndex {
					f.newestIndex, f.newestSession = m.Index, s
				}
				f.requestState(now)
			} else {
				f.installState(now, m)
			}
			f.confirmations.answer(m)
		})
	}
}

// applyAnnouncements updates the servers from the announcements that a control instance has received.
func (f *fleetState) applyAnnouncements(now time.Time, m *protocol.RelayedAnnouncements) {
	f.lastAnnouncementsAt = now
	for i := range m.Servers {
		s := &m.Servers[i]
		directory.RecordAnnouncement(f.servers, now, time.Duration(s.AgeMS)*time.Millisecond, s.Announcement)
		f.serversChanged = true
	}
}

// applyLoads passes the loads of a lock-step group to the dispatcher.
func (f *fleetState) applyLoads(now time.Time, m *protocol.GroupLoads) {
	loads := make([]int, len(m.Requests))
	for rank, requests := range m.Requests {
		loads[rank] = int(requests)
		if requests == protocol.UnknownGroupLoad {
			loads[rank] = dispatch.UnknownLoad
		}
	}
	group := state.GroupKey(m.Service, m.Group)
	if _, known := f.loadsReceivedAt[group]; !known {
		log.WithField("group", group).Info("the loads of a lock-step group are received")
	}
	f.loadsReceivedAt[group] = now
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.RecordGroupLoads(now, m.Service, m.Group, loads)
	f.dispatcher.RecordGroupOpen(now, m.Service, m.Group, m.OpenEpoch)
	f.serveWaitingLocked(m.Service)
}

// installState decodes an agreed state and applies it. States not newer than the current one are ignored.
func (f *fleetState) installState(now time.Time, m *protocol.State) {
	f.stateRequestedAt = time.Time{}
	before := f.view.Load()
	if before != nil && m.Index <= before.Index {
		return
	}
	decoded, err := directory.DecodeState(m.Snapshot)
	if err == nil && decoded.Configured {
		var view *View
		if view, err = compileView(f.config.Decode, before, &decoded, now); err == nil {
			f.view.Store(view)
			f.mu.Lock()
			f.dispatcher.SetTable(view.Table)
			f.config.Gate.SetIdleTimeout(view.Table.Limits.IdleTimeout)
			f.dispatcher.SetEvacuated(view.Evacuated)
			f.mu.Unlock()
			log.WithFields(log.Fields{"index": view.Index, "version": view.Table.Version, "evacuated": view.Evacuated}).
				Info("agreed state is in force")
		}
	}
	if err != nil {
		log.WithError(err).WithField("index", m.Index).Error("the agreed state could not be decoded and was not applied; run the same version on all instances")
		return
	}
	f.requestState(now)
}

// compileView builds the view of a state. The routes are compiled only if the configuration version has changed.
func compileView(decode func([]byte) (*routes.Configuration, error), before *View, s *state.State, now time.Time) (*View, error) {
	view := &View{Index: s.Index, Evacuated: s.Evacuated, InstalledAt: now}
	if before != nil && before.Table.Version == s.Version {
		view.Table = before.Table
		return view, nil
	}
	body, err := directory.UnpackConfiguration(s.Body)
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
