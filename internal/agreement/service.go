// Package agreement gives an entry instance its copy of the agreed state and the means to change it. On an instance with
// a data folder it runs a member of the agreement group; elsewhere it follows a member or a peer, and hands proposals to
// a voter.
package agreement

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/founding"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
	"github.com/banyanfront/banyanfront/internal/voter"
)

const (
	// startGrace is how long an instance that has just started waits for its sessions. A voter that was cut off may answer
	// first with an old state; the others then tell that there is a newer one.
	startGrace = time.Second
	// tickInterval is how often followers ask for changes and founding voters tell each other about themselves.
	tickInterval = 500 * time.Millisecond
	// expireInterval is how often the leader drops key records that are past their retention.
	expireInterval = time.Minute
)

// Voter is an initial member of the agreement group.
type Voter = voter.Voter

// Config holds what the service needs to know of its instance.
type Config struct {
	Instance   fleet.InstanceID
	Boot       fleet.Incarnation
	DataCentre fleet.DataCentre
	Address    string
	Voters     []Voter
	Account    *account.Queue
}

// Sessions finds sessions to entry instances.
type Sessions = voter.Sessions

// Service holds this instance's copy of the agreed state. Its methods may be called from any goroutine.
type Service struct {
	config   Config
	sessions Sessions
	loop     *control.Loop
	member   *voter.Member // nil on instances without a data folder
	machine  *machine      // nil without a member
	waiting  proposals

	mu       sync.Mutex
	view     *agreed.View
	recent   []*agreed.Change // newest changes of the view, oldest first
	heard    []agreed.DataCentreRecord
	watchers map[transport.Session]time.Time // who asked for changes, and when last
	// confirmed is set once the view was at least as new as anything that the group had accepted by then. A log on disk does
	// not show what was accepted while the instance was down.
	confirmed bool
	started   time.Time
	// needed is the revision that must be in force before the instance serves.
	needed   uint64
	recorded recorded
	inForce  map[fleet.InstanceID]InForce // reports of other instances

	reported map[fleet.InstanceID]report // what each voter was told; only Run touches it
}

// New returns a service that has not heard of the group yet. folder is nil on instances without a disk.
func New(config Config, folder storage.FS, sessions Sessions, loop *control.Loop) (*Service, error) {
	s := &Service{
		config:   config,
		sessions: sessions,
		loop:     loop,
		waiting:  proposals{waiting: make(map[string]chan *protocol.Proposed)},
		view:     agreed.EmptyView(),
		started:  time.Now(),
		watchers: make(map[transport.Session]time.Time),
		recorded: newRecorded(config.Account),
		inForce:  make(map[fleet.InstanceID]InForce),
		reported: make(map[fleet.InstanceID]report),
	}
	if folder == nil {
		return s, nil
	}
	s.machine = newMachine(s.install)
	m, err := voter.New(voter.Config{
		Instance:     config.Instance,
		Address:      config.Address,
		Voters:       config.Voters,
		MayBootstrap: true,
		StateMachine: s.machine,
		Admit:        s.admit,
		Admitted:     s.admitted,
	}, folder, sessions)
	if err != nil {
		return nil, err
	}
	s.member = m
	return s, nil
}

// admit takes in only voters that the settings name, in place of the member that had the address.
func (s *Service) admit(joiner founding.Member, members consensus.Members, _ map[consensus.ID]time.Duration) voter.Admission {
	if !slices.Contains(s.config.Voters, Voter{Instance: joiner.Instance, Address: joiner.Address}) {
		return voter.Admission{Refuse: true}
	}
	return voter.Admission{Replaces: voter.MemberAtAddress(joiner, members)}
}

func (s *Service) admitted(joiner founding.Member, replaces consensus.ID) {
	s.config.Account.Record(account.Entry{Time: time.Now(), Kind: account.VoterAdmitted, Subject: string(joiner.Instance),
		Reason: fmt.Sprintf("its data folder is new; member %x in place of member %x", joiner.ID, uint64(replaces))})
}

// Run follows the group until the context ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	nextExpiry := time.Now().Add(expireInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if s.member != nil {
				s.member.Tick(now)
				s.confirm(ctx)
				s.recordDisk(now)
			}
			s.follow(now)
			s.reportRevision(now)
			s.gossip(ctx)
			if now.After(nextExpiry) && s.leads() {
				nextExpiry = now.Add(expireInterval)
				go s.expire(ctx, now)
			}
		}
	}
}

// Close leaves the group in an orderly way.
func (s *Service) Close() {
	if s.member != nil {
		s.member.Close()
	}
}

// leads reports whether this instance leads the group.
func (s *Service) leads() bool {
	if s.member == nil {
		return false
	}
	_, leads := s.member.Leads()
	return leads
}

func (s *Service) replica() *replica.Replica {
	if s.member == nil {
		return nil
	}
	return s.member.Replica()
}

func (s *Service) expire(ctx context.Context, now time.Time) {
	if _, err := s.Propose(ctx, rand.Text(), &agreed.ExpireKeys{Now: now.Unix()}); err != nil {
		log.WithError(err).Debug("key records not expired; the next try follows")
	}
}

// View returns the agreed state that is in force here.
func (s *Service) View() *agreed.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// NotReady returns why this instance must not serve yet, or "". An instance that has just started must not route by an
// older state than its data centre has seen.
func (s *Service) NotReady() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed {
		return "the agreed state has not been received yet: check the sessions to the voters"
	}
	if time.Since(s.started) < startGrace {
		return "sessions to the other entry instances are being opened"
	}
	view := s.loop.View()
	if _, revision := view.NewestPeer(); view.Revision < max(s.needed, revision, view.AgentRevision) {
		return "an instance or agent in reach knows a newer agreed state than this one: check the sessions to the voters"
	}
	return ""
}

// install puts a newer view in force and passes the changes that led to it on. There are none if the whole view was
// fetched.
func (s *Service) install(view *agreed.View, changes ...*agreed.Change) {
	s.mu.Lock()
	if view.Revision < s.view.Revision {
		s.mu.Unlock()
		return
	}
	from := s.view.Revision
	changes = slices.DeleteFunc(changes, func(c *agreed.Change) bool { return c.Index <= from })
	s.view = view
	if len(changes) > 0 {
		s.recent = append(s.recent, changes...)
		if len(s.recent) > maxRecent {
			s.recent = slices.Clone(s.recent[len(s.recent)-maxRecent/2:])
		}
	}
	now := time.Now()
	watchers := s.activeWatchers(now)
	s.recordNotes(now, changes)
	s.publish()
	s.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	for _, session := range watchers {
		s.sendChanges(session, from, changes...)
	}
}

// confirm asks the group whether the state of the member here is the newest one, until it is known once.
func (s *Service) confirm(ctx context.Context) {
	r := s.replica()
	s.mu.Lock()
	confirmed := s.confirmed
	s.mu.Unlock()
	if r == nil || confirmed {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tickInterval)
		defer cancel()
		if err := r.ReadBarrier(ctx); err != nil {
			log.WithError(err).Debug("the agreement group does not answer yet")
			return
		}
		s.setConfirmed()
	}()
}

// setConfirmed notes that the view held here is as new as the group's.
func (s *Service) setConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed {
		s.confirmed, s.needed = true, s.view.Revision
	}
}

// OrderScope names the fencing scope of orders to the backend servers of a data centre.
func OrderScope(dataCentre fleet.DataCentre) string { return "orders/" + string(dataCentre) }

// publish gives the control loop what routing needs. The caller holds the lock.
func (s *Service) publish() {
	out := make(map[fleet.DataCentre]bool)
	centres := agreed.MergeDataCentres(s.view.DataCentres, s.heard)
	s.recordCentres(time.Now(), centres)
	for _, record := range centres {
		out[record.Name] = record.Out
	}
	s.loop.SetAgreed(control.Agreed{
		Revision: s.view.Revision,
		Out:      out,
		Config:   s.view.Config,
		Fencing:  s.view.Token(OrderScope(s.config.DataCentre)),
	})
}

// MessageReceived takes the messages of the agreement. It reports whether the message was one of these.
func (s *Service) MessageReceived(session transport.Session, m protocol.Message) bool {
	switch message := m.(type) {
	case *protocol.State:
		s.stateReceived(session, message)
	case *protocol.Propose:
		go s.proposeFor(session, message)
	case *protocol.Proposed:
		s.waiting.deliver(message)
	case *protocol.DataCentres:
		s.centresReceived(message)
	case *protocol.Consensus, *protocol.Founding, *protocol.Join:
		if s.member != nil {
			s.member.HandleMessage(session, m)
		}
	default:
		return false
	}
	return true
}

// Group is the state of the agreement group as this member knows it.
type Group struct {
	Member  uint64   `json:"member"`
	Leader  uint64   `json:"leader"`
	Voters  int      `json:"voters"`
	Applied uint64   `json:"applied"`
	Failure string   `json:"failure,omitempty"` // why this member promises nothing more
	Members []string `json:"members"`
}

// Group returns the state of the group, nil where no member runs.
func (s *Service) Group() *Group {
	r := s.replica()
	if r == nil {
		return nil
	}
	status := r.Status()
	g := &Group{
		Member: uint64(status.ID), Leader: uint64(status.Leader), Voters: status.Members.Voters(), Applied: status.Applied,
	}
	for _, m := range status.Members.List {
		g.Members = append(g.Members, m.Address)
	}
	if status.Failure != nil {
		g.Failure = status.Failure.Error()
	}
	return g
}
