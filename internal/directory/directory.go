// Package directory runs a control instance of a fleet without agents. It replicates the routing configuration and the set
// of evacuated data centres among the control instances, receives the announcements of backend servers, and publishes all
// of this to the entry instances.
package directory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/controlstate"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/groupmember"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// upkeepInterval is the interval for founding, joining and maintaining the agreement group.
	upkeepInterval = 500 * time.Millisecond
	// announcementInterval is the minimum interval between messages about announcements that change nothing.
	announcementInterval = 500 * time.Millisecond
	// rosterInterval is the interval of checks whether this instance has become the leader or no longer leads.
	rosterInterval = 50 * time.Millisecond
	// stateInterval is the minimum interval between messages about new state, so that a burst of changes is sent once.
	stateInterval = 100 * time.Millisecond
	// stateRepeatInterval is the interval of messages about a state that has not changed: one that was dropped, because a session
	// took no more, must not leave an entry instance behind until the next change.
	stateRepeatInterval = time.Second
	// maxAnnouncementsBytes limits the estimated size of one message with announcements.
	maxAnnouncementsBytes = protocol.MaxMessageBytes / 4
	// announcementBytes is an upper bound of the encoded size of an announcement without its texts.
	announcementBytes = 150
	eventQueueLength  = 4096
)

// Config configures a control instance.
type Config struct {
	Instance     string
	Address      string // inner address of this instance
	Founders     []string
	MayBootstrap bool
	// Voters is the number of control instances that vote: 2n+1 to tolerate n simultaneous losses. The others are learners.
	Voters int
	// AnnounceInterval is the interval between two announcements of a server.
	AnnounceInterval time.Duration
	Consensus        consensus.Config
	// Decode parses a configuration. Order sends an order directly to an engine, bypassing its rank process.
	Decode func(body []byte) (*routes.Configuration, error)
	Order  func(ctx context.Context, address string, o experts.RankOrder) (experts.OrderResult, error)
	Dial   func(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc
	Hello  func() protocol.Hello
}

// ErrNotReady is returned while no majority can confirm the state.
var ErrNotReady = errors.New("the control instances have no majority in reach; ask another one or come back")

// Directory is a control instance without its listeners.
type Directory struct {
	config       Config
	member       *groupmember.Member
	stateMachine *stateMachine
	seeds        []string // inner addresses of control instances from the settings; owned by the loop
	pool         *transport.Pool
	events       chan func(now time.Time)
	done         chan struct{}
	groups       *groups // lock-step groups, with a loop of their own
	quarantines  *quarantineKeeper
	// dataCentres holds the data centres of the other control instances by address. It is replaced as a whole.
	dataCentres    atomic.Pointer[map[string]string]
	entryInstances atomic.Int64 // sessions with entry instances
	statePending   atomic.Bool  // a change that the entry instances have not been told of

	// Owned by the loop.
	servers             *registry.Registry
	promptParts         *quarantine.Tracker             // kept for entry instances that start, and to relay each report once
	serverLimits        map[string]protocol.ServerLimit // by server; kept like promptParts
	grants              map[string]*serviceGrants
	unsent              map[string]bool // servers with an announcement not yet sent to the entry instances
	unsentChange        bool            // one of those changes the server's recorded state
	entrySessions       map[transport.Session]bool
	rankSessions        map[transport.Session]bool     // sessions from rank processes, which run beside the ranks of a group
	controlSessions     map[transport.Session]string   // sessions with control instances, with their inner addresses
	reportedAddresses   map[transport.Session][]string // control instances that the other side of a session knows
	departuresMerged    uint64                         // log index up to which agreed departures are part of servers
	announcementsSentAt time.Time
	stateSentAt         time.Time
	sentRoster          *protocol.ControlInstances
	redundancyLostAt    time.Time // when this instance, as leader, found fewer voters answering than configured; zero if none
}

// New returns a control instance with the given data folder.
func New(config Config, folder storage.FS) (*Directory, error) {
	d := &Directory{
		config:          config,
		seeds:           config.Founders,
		events:          make(chan func(time.Time), eventQueueLength),
		done:            make(chan struct{}),
		servers:         registry.New(MaxMissedAnnouncements * config.AnnounceInterval),
		promptParts:     quarantine.New(),
		serverLimits:    map[string]protocol.ServerLimit{},
		grants:          map[string]*serviceGrants{},
		unsent:          map[string]bool{},
		entrySessions:   map[transport.Session]bool{},
		rankSessions:    map[transport.Session]bool{},
		controlSessions: map[transport.Session]string{},

		reportedAddresses: map[transport.Session][]string{},
	}
	d.groups = newGroups(d)
	d.quarantines = newQuarantineKeeper(folder)
	now := time.Now()
	for _, s := range readQuarantines(now, folder) {
		d.promptParts.Merge(now, s)
	}
	d.stateMachine = newStateMachine(d.stateChanged)
	d.pool = transport.NewPool(func(address string) transport.ConnectFunc {
		return config.Dial(address, config.Hello, d)
	}, d)
	founders := make([]groupmember.Voter, 0, len(config.Founders))
	for _, address := range config.Founders {
		founders = append(founders, groupmember.Voter{Instance: instanceAt(address), Address: address})
	}
	agreement := config.Consensus
	agreement.ToleratedLosses = (config.Voters - 1) / 2
	var err error
	d.member, err = groupmember.New(groupmember.Config{
		Instance:     instanceAt(config.Address),
		Address:      config.Address,
		Voters:       founders,
		MayBootstrap: config.MayBootstrap,
		StateMachine: d.stateMachine,
		Admit:        d.admit,
		Contacts:     d.dialAddresses,
		Consensus:    agreement,
	}, folder, d.pool)
	return d, err
}

// MaxMissedAnnouncements is the number of missed announcements after which control and entry instances drop a server.
const MaxMissedAnnouncements = 12

// Run serves until the context ends.
func (d *Directory) Run(ctx context.Context) {
	defer close(d.done)
	d.pool.Set(d.dialAddresses())
	upkeep := time.NewTicker(upkeepInterval)
	defer upkeep.Stop()
	flush := time.NewTicker(stateInterval)
	defer flush.Stop()
	rosterTick := time.NewTicker(rosterInterval)
	defer rosterTick.Stop()
	go d.quarantines.run(ctx) // is not waited for: a stalled disk must not delay the stop
	var groups sync.WaitGroup
	groups.Go(func() { d.groups.run(ctx) })
	defer groups.Wait()
	for {
		select {
		case <-ctx.Done():
			d.pool.Close("the control instance stops")
			return
		case f := <-d.events:
			f(time.Now())
		case due := <-upkeep.C:
			now := time.Now()
			loopLag("announcements").Update(now.Sub(due).Seconds())
			d.upkeep(now)
			continue
		case <-flush.C:
		case <-rosterTick.C:
			if _, leads := d.member.Leads(); d.sentRoster != nil && leads != d.sentRoster.Leader {
				d.broadcastRoster()
			}
			continue
		}
		d.sendUpdates(time.Now())
	}
}

// loopLag is the histogram of the delay with which the loop of a duty runs its regular work.
func loopLag(duty string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(`banyanfront_control_loop_lag_seconds{duty=%q}`, duty))
}

// post queues an event for the loop. It drops the event once the loop has ended.
func (d *Directory) post(f func(now time.Time)) {
	select {
	case d.events <- f:
	case <-d.done:
	}
}

// Close hands over the vote and the leadership of this instance's member of the agreement group, and stops it. Sessions to
// the other control instances must still be open.
func (d *Directory) Close() {
	d.member.HandOverVote()
	d.member.Close()
}

// upkeep advances founding and joining, expires servers, and updates sessions, voters and the roster.
func (d *Directory) upkeep(now time.Time) {
	d.member.Tick(now)
	d.pool.Set(d.dialAddresses())
	for _, id := range d.servers.Expire(now) {
		log.WithField("server", id).Info("backend server dropped: too many announcements missed")
	}
	d.mergeDepartures(now)
	ExpirePromptParts(now, d.promptParts)
	d.quarantines.keep(now, d.promptParts.Quarantines())
	d.expireServerLimits(now)
	d.maintainVoters(now)
	d.reportRedundancy(now)
	dataCentres := map[string]string{d.config.Address: string(d.config.Hello().DataCentre)}
	for session, address := range d.controlSessions {
		dataCentres[address] = string(session.Peer().DataCentre)
	}
	d.dataCentres.Store(&dataCentres)
	d.entryInstances.Store(int64(len(d.entrySessions)))
	d.broadcastRoster()
}

// SessionOpened implements transport.Handler.
func (d *Directory) SessionOpened(s transport.Session) {
	d.post(func(now time.Time) {
		hello := s.Peer()
		log.WithFields(log.Fields{"peer": hello.Instance, "address": hello.Address}).Info("session opened")
		if hello.Address != "" {
			d.controlSessions[s] = hello.Address
			transport.TrySend(s, d.roster())
			return
		}
		if hello.Rank {
			d.rankSessions[s] = true
			transport.TrySend(s, d.roster())
			return
		}
		d.entrySessions[s] = true
		var all []string
		for _, known := range d.servers.All() {
			all = append(all, known.Server)
		}
		d.sendAnnouncements(now, all, []transport.Session{s})
		transport.TrySend(s, d.roster())
		transport.TrySend(s, d.stateIndex())
		for _, m := range EncodePromptParts(now, d.promptParts.Suspicions()) {
			transport.TrySend(s, m)
		}
		d.sendServerLimits(s)
	})
}

// StateChanged implements transport.Handler.
func (d *Directory) StateChanged(s transport.Session, state transport.State) {
	if state != transport.StateClosed {
		return
	}
	d.post(func(time.Time) {
		log.WithFields(transport.EndFields(s)).Info("session closed")
		delete(d.entrySessions, s)
		delete(d.controlSessions, s)
		delete(d.reportedAddresses, s)
		delete(d.rankSessions, s)
	})
}

// StreamOpened implements transport.Handler. It closes the stream: these control instances serve no requests.
func (d *Directory) StreamOpened(st transport.Stream, _ *protocol.Open) {
	st.Close("control instances take no requests")
}

// MessageReceived implements transport.Handler.
func (d *Directory) MessageReceived(s transport.Session, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Consensus, *protocol.Founding, *protocol.Join:
		d.member.HandleMessage(s, m)
	case *protocol.ControlInstances:
		d.post(func(time.Time) {
			if _, open := d.controlSessions[s]; open {
				d.reportedAddresses[s] = m.Addresses
			}
		})
	case *protocol.Rank:
		d.groups.postReport(func(now time.Time) { d.groups.handleReport(now, s, m) })
	case *protocol.RankDone:
		d.groups.postReport(func(now time.Time) { d.groups.handleRankDone(now, m) })
	case *protocol.PromptParts:
		d.post(func(now time.Time) { d.relayPromptParts(now, s, m) })
	case *protocol.ServerLimits:
		d.post(func(time.Time) { d.relayServerLimits(s, m) })
	case *protocol.PermitRequest:
		d.post(func(now time.Time) { d.grantPermits(now, s, m) })
	case *protocol.State:
		if m.Request {
			go d.sendState(s, m.Index, m.Confirm)
		}
	}
}

// stateIndex returns a message with the index of the state applied here.
func (d *Directory) stateIndex() *protocol.State {
	return &protocol.State{Index: d.stateMachine.state.Load().Index, Report: true}
}

// sendState sends the state to an entry instance if it is newer than knownIndex. An entry instance without any state
// (index 0), or one that asks for a confirmation, gets only state that a majority has confirmed. confirm is the number of its
// question, 0 for none.
func (d *Directory) sendState(s transport.Session, knownIndex, confirm uint64) {
	if knownIndex == 0 || confirm != 0 {
		if err := d.readBarrier(context.Background()); err != nil {
			log.WithError(err).WithField("peer", s.Peer().Instance).Debug("state not sent to an entry instance that needs a confirmed one: no majority has confirmed it")
			return
		}
	}
	state := d.stateMachine.state.Load()
	if state.Index <= knownIndex {
		if confirm != 0 {
			transport.TrySend(s, &protocol.State{Index: state.Index, Report: true, Confirm: confirm})
		}
		return
	}
	data, err := EncodeState(state.ForEntryInstances())
	if err != nil {
		log.WithError(err).Error("the agreed state could not be encoded")
		return
	}
	transport.TrySend(s, &protocol.State{Index: state.Index, Snapshot: data, Confirm: confirm})
}

// readBarrierTimeout limits the wait for a majority: callers try another control instance after a second.
const readBarrierTimeout = 900 * time.Millisecond

// readBarrier returns once all changes acknowledged before the call are applied here. It returns ErrNotReady if no
// majority confirms that within readBarrierTimeout.
func (d *Directory) readBarrier(ctx context.Context) error {
	r := d.member.Replica()
	if r == nil {
		return ErrNotReady
	}
	ctx, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	if err := r.ReadBarrier(ctx); err != nil {
		return errors.Join(ErrNotReady, err)
	}
	return nil
}

// stateChanged schedules a message about the new state, whatever the loop is busy with. The replica's goroutine calls it.
func (d *Directory) stateChanged(s controlstate.State) {
	log.WithFields(log.Fields{"index": s.Index, "version": s.Version, "evacuated": s.Evacuated, "coordinators": s.Coordinators}).
		Info("agreed state changed")
	d.statePending.Store(true)
	select {
	case d.events <- d.applyState:
	default: // the loop is far behind, and does so when it gets there
	}
}

// applyState tells of changed coordinators of groups, and takes over agreed departures of servers. It does nothing without either.
func (d *Directory) applyState(now time.Time) {
	d.broadcastRoster()
	d.mergeDepartures(now)
}

// mergeDepartures takes over the departures of servers that other control instances have acknowledged, or this one before a restart.
func (d *Directory) mergeDepartures(now time.Time) {
	for _, departure := range d.State().DeparturesAfter(d.departuresMerged) {
		d.recordAnnouncement(now, departure.Announcement)
		d.departuresMerged = departure.Index
	}
}

// sendUpdates sends new state and announcements to the entry instances, at most once per interval.
func (d *Directory) sendUpdates(now time.Time) {
	if now.Sub(d.stateSentAt) >= stateInterval && d.statePending.Swap(false) || now.Sub(d.stateSentAt) >= stateRepeatInterval {
		d.stateSentAt = now
		d.broadcast(d.stateIndex())
		d.broadcastRoster()
	}
	if len(d.unsent) == 0 || !d.unsentChange && now.Sub(d.announcementsSentAt) < announcementInterval {
		return
	}
	d.unsentChange, d.announcementsSentAt = false, now
	d.sendAnnouncements(now, slices.Sorted(maps.Keys(d.unsent)), slices.Collect(maps.Keys(d.entrySessions)))
	clear(d.unsent)
}

func (d *Directory) broadcast(m protocol.Message) {
	for session := range d.entrySessions {
		transport.TrySend(session, m)
	}
}

// sendAnnouncements sends the newest announcements of the servers, in messages that are far below the size limit whatever
// texts the servers announce.
func (d *Directory) sendAnnouncements(now time.Time, servers []string, to []transport.Session) {
	message, size := &protocol.RelayedAnnouncements{}, 0
	flush := func() {
		for _, session := range to {
			transport.TrySend(session, message)
		}
		message, size = &protocol.RelayedAnnouncements{}, 0
	}
	for _, id := range servers {
		known := d.servers.Get(id)
		if known == nil {
			continue
		}
		message.Servers = append(message.Servers, protocol.RelayedAnnouncement{Announcement: known.Announcement,
			AgeMS: now.Sub(known.ReceivedAt).Milliseconds()})
		if size += announcementBytes + known.TextBytes(); size > maxAnnouncementsBytes {
			flush()
		}
	}
	if len(message.Servers) > 0 {
		flush()
	}
}

// RecordAnnouncement records an announcement received age ago. It reports whether the announcement changes the recorded
// state of its server, and logs such a change.
func RecordAnnouncement(servers *registry.Registry, now time.Time, age time.Duration, a registry.Announcement) bool {
	known := servers.Get(a.Server) != nil
	if !servers.Observe(now.Add(-age), a) {
		return false
	}
	log.WithFields(log.Fields{"server": a.Server, "service": a.Service, "address": a.Address, "state": int(a.State), "born": a.StartedAtMillis,
		"sequence": a.Sequence, "ageMs": age.Milliseconds(), "known": known, "cold": a.ColdRemaining.String()}).
		Info("announcement changes what is known of a backend server")
	return true
}

// HandleAnnouncement records an announcement of a backend server and schedules it for the entry instances.
func (d *Directory) HandleAnnouncement(a registry.Announcement) {
	d.post(func(now time.Time) { d.recordAnnouncement(now, a) })
}

// startOf returns the start of the process of a server, as far as it has announced it here, 0 if it has not.
func (d *Directory) startOf(server string) int64 {
	started := make(chan int64, 1)
	d.post(func(time.Time) {
		if known := d.servers.Get(server); known != nil {
			started <- known.StartedAtMillis
		} else {
			started <- 0
		}
	})
	select {
	case at := <-started:
		return at
	case <-d.done:
		return 0
	}
}

func (d *Directory) recordAnnouncement(now time.Time, a registry.Announcement) {
	if RecordAnnouncement(d.servers, now, 0, a) {
		d.unsentChange = true
	}
	d.unsent[a.Server] = true
}

// proposeTimeout limits the wait until a change is committed.
const proposeTimeout = 3 * time.Second

// ErrOvertaken reports an order that has no effect because another one for the same data centre came first.
var ErrOvertaken = errors.New("another order for this data centre came first; send the order again if it is still wanted")

// Propose proposes a command and waits until it is applied here. Repeated proposals with the same id take effect once.
func (d *Directory) Propose(ctx context.Context, id string, c controlstate.Command) error {
	r := d.member.Replica()
	if r == nil {
		return ErrNotReady
	}
	data, err := encodeCommand(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, result, err := r.Propose(ctx, id, data)
	if err == nil && bytes.Equal(result, overtakenResult) {
		return ErrOvertaken
	}
	return err
}

// AwaitDurable returns once the state that is applied here survives the tolerated losses.
func (d *Directory) AwaitDurable(ctx context.Context) error {
	r := d.member.Replica()
	if r == nil {
		return ErrNotReady
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.AwaitDurable(ctx)
}

// State returns the agreed state applied here, which may be outdated.
func (d *Directory) State() controlstate.State { return *d.stateMachine.state.Load() }

// ConfirmedState returns the agreed state once a majority has confirmed that it is the newest, and ErrNotReady otherwise.
func (d *Directory) ConfirmedState(ctx context.Context) (controlstate.State, error) {
	if err := d.readBarrier(ctx); err != nil {
		return controlstate.State{}, err
	}
	return d.State(), nil
}
