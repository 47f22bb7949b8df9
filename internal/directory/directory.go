// Package directory runs a control instance of a fleet without agents. It agrees with the other control instances on the
// routing configuration and on the data centres that are taken out, takes the announcements of backend servers, and
// tells all of it to the entry instances.
package directory

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/directory"
	"github.com/banyanfront/banyanfront/decide/experts"
	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/decide/routes"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/internal/voter"
)

const (
	// tickInterval paces founding, joining and the upkeep of the group.
	tickInterval = 500 * time.Millisecond
	// tellInterval bounds how often entry instances are told of announcements that say nothing new.
	tellInterval = 500 * time.Millisecond
	// stateInterval bounds how often entry instances are told of a new state: a quick series of changes is sent once.
	stateInterval = 100 * time.Millisecond
	// sightingsInMessage bounds one message to an entry instance: 300 bytes each stay far below the message limit.
	sightingsInMessage = 1000
	eventQueue         = 4096
)

// Config holds what a control instance needs to know.
type Config struct {
	Instance  string
	Address   string // inner address of this instance
	Founders  []string
	MayDecide bool
	// Voters is how many control instances vote: twice the losses to be borne at once, and one. The others are learners.
	Voters int
	// AnnounceEvery is the pause between two announcements of a server.
	AnnounceEvery time.Duration
	Consensus     consensus.Config
	// Decode reads a configuration; Order gives an order to an engine without the process beside it.
	Decode func(body []byte) (*routes.Configuration, error)
	Order  func(ctx context.Context, address string, o experts.RankOrder) (experts.OrderResult, error)
	Dial   func(address string, hello func() protocol.Hello, h transport.Handler) transport.ConnectFunc
	Hello  func() protocol.Hello
}

// ErrNotReady is returned while the state cannot be confirmed.
var ErrNotReady = errors.New("the control instances have no majority in reach; ask another one or come back")

// Directory is a control instance without its listeners.
type Directory struct {
	config  Config
	member  *voter.Member
	machine *machine
	seeds   []string // inner addresses of control instances that the settings name; owned by the loop
	pool    *transport.Pool
	events  chan func(now time.Time)
	done    chan struct{}

	// Owned by the loop.
	servers    *registry.Registry
	fresh      map[string]bool // servers to tell the entry instances of
	urgent     bool
	watchers   map[transport.Session]bool // entry instances
	ranks      map[transport.Session]bool // processes beside ranks
	groups     *groups
	peers      map[transport.Session]string // sessions from control instances, with their inner address
	lastTold   time.Time
	lastState  time.Time
	stateDue   bool
	lastRoster *protocol.Controls
}

// New returns a control instance whose data folder is given.
func New(config Config, folder storage.FS) (*Directory, error) {
	d := &Directory{
		config:   config,
		seeds:    config.Founders,
		events:   make(chan func(time.Time), eventQueue),
		done:     make(chan struct{}),
		servers:  registry.New(ForgetAnnouncements * config.AnnounceEvery),
		fresh:    map[string]bool{},
		watchers: map[transport.Session]bool{},
		ranks:    map[transport.Session]bool{},
		peers:    map[transport.Session]string{},
	}
	d.groups = newGroups(d)
	d.machine = newMachine(d.stateChanged)
	d.pool = transport.NewPool(func(address string) transport.ConnectFunc {
		return config.Dial(address, config.Hello, d)
	}, d)
	founders := make([]voter.Voter, 0, len(config.Founders))
	for _, address := range config.Founders {
		founders = append(founders, voter.Voter{Instance: instanceAt(address), Address: address})
	}
	var err error
	d.member, err = voter.New(voter.Config{
		Instance:  instanceAt(config.Address),
		Address:   config.Address,
		Voters:    founders,
		MayDecide: config.MayDecide,
		Machine:   d.machine,
		Admit:     d.admit,
		Contacts:  d.controls,
		Consensus: config.Consensus,
	}, folder, d.pool)
	return d, err
}

// ForgetAnnouncements is the number of missed announcements after which a server is forgotten, here and by entry instances.
const ForgetAnnouncements = 12

// Run serves until the context ends.
func (d *Directory) Run(ctx context.Context) {
	defer close(d.done)
	d.pool.Set(d.controls())
	upkeep := time.NewTicker(tickInterval)
	defer upkeep.Stop()
	flush := time.NewTicker(stateInterval)
	defer flush.Stop()
	orders := time.NewTicker(groupTick)
	defer orders.Stop()
	for {
		select {
		case <-ctx.Done():
			d.pool.Close("the control instance stops")
			return
		case f := <-d.events:
			f(time.Now())
		case now := <-upkeep.C:
			d.upkeep(now)
			continue
		case <-flush.C:
		case now := <-orders.C:
			if _, leads := d.member.Leads(); d.lastRoster != nil && leads != d.lastRoster.Leader {
				d.tellRoster()
			}
			d.groups.tick(now)
			continue
		}
		d.tell(time.Now())
	}
}

// post hands an event to the loop. It drops the event once the loop has ended.
func (d *Directory) post(f func(now time.Time)) {
	select {
	case d.events <- f:
	case <-d.done:
	}
}

// Close leaves the agreement group in an orderly way.
func (d *Directory) Close() { d.member.Close() }

// upkeep runs founding and joining, and keeps sessions and members in step.
func (d *Directory) upkeep(now time.Time) {
	d.member.Tick(now)
	d.pool.Set(d.controls())
	for _, id := range d.servers.Expire(now) {
		log.WithField("server", id).Info("a backend server has been silent for too long and is forgotten")
	}
	d.keepVoters(now)
	d.tellRoster()
}

// SessionOpened implements transport.Handler.
func (d *Directory) SessionOpened(s transport.Session) {
	d.post(func(now time.Time) {
		hello := s.Peer()
		log.WithFields(log.Fields{"peer": hello.Instance, "address": hello.Address}).Info("session opened")
		if hello.Address != "" {
			d.peers[s] = hello.Address
			return
		}
		if hello.Rank {
			d.ranks[s] = true
			d.send(s, d.roster())
			return
		}
		d.watchers[s] = true
		var all []string
		for _, known := range d.servers.All() {
			all = append(all, known.Server)
		}
		d.sendSightings(now, all, []transport.Session{s})
		d.send(s, d.roster())
		d.send(s, d.index())
	})
}

// StateChanged implements transport.Handler.
func (d *Directory) StateChanged(s transport.Session, state transport.State) {
	if state != transport.StateClosed {
		return
	}
	d.post(func(time.Time) {
		log.WithField("peer", s.Peer().Instance).Info("session closed")
		delete(d.watchers, s)
		delete(d.peers, s)
		delete(d.ranks, s)
	})
}

// StreamOpened implements transport.Handler. Nobody opens streams to a control instance of this kind.
func (d *Directory) StreamOpened(st transport.Stream, _ *protocol.Open) {
	st.Close("control instances take no requests")
}

// MessageReceived implements transport.Handler.
func (d *Directory) MessageReceived(s transport.Session, m protocol.Message) {
	switch m := m.(type) {
	case *protocol.Consensus, *protocol.Founding, *protocol.Join:
		d.member.Received(s, m)
	case *protocol.Rank:
		d.post(func(now time.Time) { d.groups.heard(now, s, m) })
	case *protocol.RankDone:
		d.post(func(now time.Time) { d.groups.done(now, m) })
	case *protocol.State:
		if m.Request {
			go d.answerState(s, m.Index)
		}
	}
}

// index tells an entry instance how new the state here is.
func (d *Directory) index() *protocol.State {
	return &protocol.State{Index: d.machine.state.Load().Index, Report: true}
}

// answerState sends the state to an entry instance. One that knows none yet gets only what the group confirms.
func (d *Directory) answerState(s transport.Session, has uint64) {
	if has == 0 {
		if err := d.confirm(context.Background()); err != nil {
			log.WithError(err).WithField("peer", s.Peer().Instance).Debug("no confirmed state for a starting entry instance")
			return
		}
	}
	state := d.machine.state.Load()
	if state.Index <= has {
		return
	}
	data, err := EncodeState(*state)
	if err != nil {
		log.WithError(err).Error("the agreed state could not be encoded")
		return
	}
	d.send(s, &protocol.State{Index: state.Index, Snapshot: data})
}

// confirmTimeout bounds the wait for a majority: callers try another control instance after a second.
const confirmTimeout = 900 * time.Millisecond

// confirm returns once the state here is at least as new as all that was acknowledged before the call.
func (d *Directory) confirm(ctx context.Context) error {
	r := d.member.Replica()
	if r == nil {
		return ErrNotReady
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.ReadBarrier(ctx); err != nil {
		return errors.Join(ErrNotReady, err)
	}
	return nil
}

func (d *Directory) send(s transport.Session, m protocol.Message) {
	if err := s.Send(m); err != nil {
		log.WithError(err).WithField("peer", s.Peer().Instance).Debug("message not sent; the session is lost or does not keep up")
	}
}

// stateChanged is called by the replica's goroutine.
func (d *Directory) stateChanged(s directory.State) {
	log.WithFields(log.Fields{"index": s.Index, "version": s.Version, "evacuated": s.Evacuated}).Info("agreed state changed")
	select {
	case d.events <- func(time.Time) { d.stateDue = true }:
	default:
		// The loop is far behind, or does not run yet. The next flush after the next event tells the newest state, and a
		// new session is told it at once.
		log.Warn("event queue is full; entry instances learn of the new state with the next change")
	}
}

// tell sends what is new to the entry instances.
func (d *Directory) tell(now time.Time) {
	if d.stateDue && now.Sub(d.lastState) >= stateInterval {
		d.stateDue, d.lastState = false, now
		d.broadcast(d.index())
	}
	if len(d.fresh) == 0 || !d.urgent && now.Sub(d.lastTold) < tellInterval {
		return
	}
	d.urgent, d.lastTold = false, now
	d.sendSightings(now, slices.Sorted(maps.Keys(d.fresh)), slices.Collect(maps.Keys(d.watchers)))
	clear(d.fresh)
}

func (d *Directory) broadcast(m protocol.Message) {
	for session := range d.watchers {
		d.send(session, m)
	}
}

func (d *Directory) sendSightings(now time.Time, servers []string, to []transport.Session) {
	for chunk := range slices.Chunk(servers, sightingsInMessage) {
		message := &protocol.Sightings{}
		for _, id := range chunk {
			if known := d.servers.Get(id); known != nil {
				message.Servers = append(message.Servers, protocol.Sighting{Announcement: known.Announcement,
					AgeMS: now.Sub(known.ReceivedAt).Milliseconds()})
			}
		}
		for _, session := range to {
			d.send(session, message)
		}
	}
}

// Observe takes in an announcement of some age, and logs it if it changes what is known of its server. It reports whether
// it does.
func Observe(servers *registry.Registry, now time.Time, age time.Duration, a registry.Announcement) bool {
	known := servers.Get(a.Server) != nil
	if !servers.Observe(now.Add(-age), a) {
		return false
	}
	log.WithFields(log.Fields{"server": a.Server, "service": a.Service, "address": a.Address, "state": int(a.State), "born": a.StartedAtMillis,
		"sequence": a.Sequence, "ageMs": age.Milliseconds(), "known": known, "cold": a.ColdRemaining.String()}).
		Info("announcement changes what is known of a backend server")
	return true
}

// Announced takes in an announcement of a backend server.
func (d *Directory) Announced(a registry.Announcement) {
	d.post(func(now time.Time) {
		if Observe(d.servers, now, 0, a) {
			d.urgent = true
		}
		d.fresh[a.Server] = true
	})
}

// proposeTimeout bounds the wait for the agreement of one change.
const proposeTimeout = 3 * time.Second

// Propose has a command agreed on. id makes repetitions harmless.
func (d *Directory) Propose(ctx context.Context, id string, c directory.Command) error {
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
	_, _, err = r.Propose(ctx, id, data)
	return err
}

// State returns the agreed state that is applied here.
func (d *Directory) State() directory.State { return *d.machine.state.Load() }

// Confirmed returns the agreed state after a majority has confirmed that it is the newest.
func (d *Directory) Confirmed(ctx context.Context) (directory.State, error) {
	if err := d.confirm(ctx); err != nil {
		return directory.State{}, err
	}
	return d.State(), nil
}
