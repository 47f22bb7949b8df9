// Package agreement maintains the copy of the agreed state on an entry instance and proposes changes to it. On an instance
// with a data folder it runs a member of the agreement group; elsewhere it fetches the state from a member or a peer, and
// forwards proposals to a voter.
package agreement

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/bootstrap"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/groupmember"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// startGracePeriod is how long an instance that has just started waits for its sessions. A voter that was partitioned
	// may answer first with an old state; the hellos of the other sessions then show that there is a newer one.
	startGracePeriod = time.Second
	// tickInterval is how often followers request changes and voters exchange messages to bootstrap the agreement group.
	tickInterval = 500 * time.Millisecond
	// expireInterval is how often the leader removes key records past their retention.
	expireInterval = time.Minute
)

// Voter is an initial member of the agreement group.
type Voter = groupmember.Voter

// Config describes the instance that the service runs on.
type Config struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentre
	Address     string
	Voters      []Voter
	Account     *account.Queue
}

// Sessions finds sessions to entry instances.
type Sessions = groupmember.Sessions

// Service maintains this instance's copy of the agreed state. Its methods may be called from any goroutine.
type Service struct {
	config    Config
	sessions  Sessions
	loop      *control.Loop
	member    *groupmember.Member // nil on instances without a data folder
	machine   *machine            // nil without a member
	proposals proposals

	mu            sync.Mutex
	view          *statemachine.View
	recentChanges []*statemachine.Change // latest changes of the view, oldest first
	gossipRecords []statemachine.DataCentreRecord
	followers     map[transport.Session]time.Time // last request for changes, by session
	// confirmed is set once the view has contained everything that the group had accepted by then. The log on disk does not
	// show what was accepted while the instance was down.
	confirmed bool
	started   time.Time
	// requiredRevision is the revision that must be applied before the instance serves.
	requiredRevision  uint64
	recorded          recordedEvents
	instanceRevisions map[fleet.InstanceID]InstanceRevision // reported by other instances

	sentReports map[fleet.InstanceID]sentReport // to each voter; only the goroutine of Run uses it
}

// New returns a service with an empty agreed state. folder is nil on instances without a data folder.
func New(config Config, folder storage.FS, sessions Sessions, loop *control.Loop) (*Service, error) {
	s := &Service{
		config:            config,
		sessions:          sessions,
		loop:              loop,
		proposals:         proposals{answers: make(map[string]chan *protocol.Proposed)},
		view:              statemachine.EmptyView(),
		started:           time.Now(),
		followers:         make(map[transport.Session]time.Time),
		recorded:          newRecordedEvents(config.Account),
		instanceRevisions: make(map[fleet.InstanceID]InstanceRevision),
		sentReports:       make(map[fleet.InstanceID]sentReport),
	}
	if folder == nil {
		return s, nil
	}
	s.machine = newMachine(s.install)
	m, err := groupmember.New(groupmember.Config{
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

// admit admits only voters that the settings name. They replace the member that had the address.
func (s *Service) admit(joiner bootstrap.Member, members consensus.Members, _ map[consensus.ID]time.Duration) groupmember.Admission {
	if !slices.Contains(s.config.Voters, Voter{Instance: joiner.Instance, Address: joiner.Address}) {
		return groupmember.Admission{Refuse: true}
	}
	return groupmember.Admission{Replaces: groupmember.MemberAtAddress(joiner, members)}
}

func (s *Service) admitted(joiner bootstrap.Member, replaces consensus.ID) {
	s.config.Account.Record(account.Entry{Time: time.Now(), Kind: account.VoterAdmitted, Subject: string(joiner.Instance),
		Reason: fmt.Sprintf("its data folder is new; member %x in place of member %x", joiner.ID, uint64(replaces))})
}

// Run keeps the copy up to date until the context ends.
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
			s.requestChanges(now)
			s.reportRevision(now)
			s.gossipUnlogged(ctx)
			if now.After(nextExpiry) && s.isLeader() {
				nextExpiry = now.Add(expireInterval)
				go s.expire(ctx, now)
			}
		}
	}
}

// Close stops the local member of the agreement group, if there is one.
func (s *Service) Close() {
	if s.member != nil {
		s.member.Close()
	}
}

// isLeader reports whether this instance is the leader of the agreement group.
func (s *Service) isLeader() bool {
	if s.member == nil {
		return false
	}
	_, isLeader := s.member.Leads()
	return isLeader
}

func (s *Service) replica() *replica.Replica {
	if s.member == nil {
		return nil
	}
	return s.member.Replica()
}

func (s *Service) expire(ctx context.Context, now time.Time) {
	if _, err := s.Propose(ctx, rand.Text(), &statemachine.ExpireKeys{Now: now.Unix()}); err != nil {
		log.WithError(err).Debug("key records not expired; retrying after the interval")
	}
}

// View returns the local copy of the agreed state.
func (s *Service) View() *statemachine.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// NotReady returns why this instance must not serve yet, or "". An instance that has just started must not route by a
// state older than one that its data centre has already applied.
func (s *Service) NotReady() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed {
		return "the agreed state has not been received yet: check the sessions to the voters"
	}
	if time.Since(s.started) < startGracePeriod {
		return "sessions to the other entry instances are being opened"
	}
	view := s.loop.View()
	if _, revision := view.NewestPeer(); view.Revision < max(s.requiredRevision, revision, view.AgentRevision) {
		return "an instance or agent in reach knows a newer agreed state than this one: check the sessions to the voters"
	}
	return ""
}

// install replaces the view with a newer one and forwards the changes between them to the followers. There are none if the
// whole view was fetched.
func (s *Service) install(view *statemachine.View, changes ...*statemachine.Change) {
	s.mu.Lock()
	if view.Revision < s.view.Revision {
		s.mu.Unlock()
		return
	}
	from := s.view.Revision
	changes = slices.DeleteFunc(changes, func(c *statemachine.Change) bool { return c.Index <= from })
	s.view = view
	if len(changes) > 0 {
		s.recentChanges = append(s.recentChanges, changes...)
		if len(s.recentChanges) > maxRecentChanges {
			s.recentChanges = slices.Clone(s.recentChanges[len(s.recentChanges)-maxRecentChanges/2:])
		}
	}
	now := time.Now()
	followers := s.activeFollowers(now)
	s.recordNotes(now, changes)
	s.publishToLoop()
	s.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	for _, session := range followers {
		s.sendChanges(session, from, changes...)
	}
}

// confirm checks with the group that the state of the local member is up to date, until that has succeeded once.
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
			log.WithError(err).Debug("the agreement group has not confirmed the local state yet")
			return
		}
		s.setConfirmed()
	}()
}

// setConfirmed records that the view is as new as the group's state.
func (s *Service) setConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed {
		s.confirmed, s.requiredRevision = true, s.view.Revision
	}
}

// OrderScope returns the fencing scope of orders to the backend servers of a data centre.
func OrderScope(dataCentre fleet.DataCentre) string { return "orders/" + string(dataCentre) }

// publishToLoop passes the part of the agreed state that routing needs to the control loop. The caller holds the lock.
func (s *Service) publishToLoop() {
	evacuated := make(map[fleet.DataCentre]bool)
	dataCentres := statemachine.MergeDataCentres(s.view.DataCentres, s.gossipRecords)
	s.recordDataCentres(time.Now(), dataCentres)
	for _, record := range dataCentres {
		evacuated[record.Name] = record.Out
	}
	s.loop.SetAgreedState(control.AgreedState{
		Revision:  s.view.Revision,
		Evacuated: evacuated,
		Config:    s.view.Config,
		Fencing:   s.view.Token(OrderScope(s.config.DataCentre)),
	})
}

// MessageReceived handles the messages of this package. It reports whether the message was one of them.
func (s *Service) MessageReceived(session transport.Session, m protocol.Message) bool {
	switch message := m.(type) {
	case *protocol.State:
		s.stateReceived(session, message)
	case *protocol.Propose:
		go s.proposeForPeer(session, message)
	case *protocol.Proposed:
		s.proposals.deliver(message)
	case *protocol.DataCentres:
		s.dataCentresReceived(message)
	case *protocol.Consensus, *protocol.Founding, *protocol.Join:
		if s.member != nil {
			s.member.HandleMessage(session, m)
		}
	default:
		return false
	}
	return true
}

// Group is the state of the agreement group as observed by the local member.
type Group struct {
	Member  uint64   `json:"member"`
	Leader  uint64   `json:"leader"`
	Voters  int      `json:"voters"`
	Applied uint64   `json:"applied"`
	Failure string   `json:"failure,omitempty"` // why this member has stopped voting
	Members []string `json:"members"`
}

// Group returns the state of the group, or nil on instances without a member.
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
