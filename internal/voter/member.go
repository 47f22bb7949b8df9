// Package voter runs one member of an agreement group: it founds the group at the first start of the system, joins it with
// a new data folder, and drives the replicated log over sessions between control instances.
package voter

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/founding"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// joinTimeout bounds the wait for one change of the group's members.
const joinTimeout = 10 * time.Second

// Sessions finds sessions to control instances.
type Sessions interface {
	// Session returns the session in use to an inner address, or nil.
	Session(address string) transport.Session
}

// Voter is an initial member of the agreement group.
type Voter struct {
	Instance fleet.InstanceID
	Address  string
}

// Config holds what a member needs to know. All fields but Consensus and Admitted are required.
type Config struct {
	Instance fleet.InstanceID
	Address  string
	// Voters found the group; they are told about this member's folder, and asked when it joins.
	Voters []Voter
	// Contacts returns further inner addresses of control instances, which are asked too when this member joins. Optional.
	Contacts func() []string
	// MayDecide allows this instance to write the founding members.
	MayDecide bool
	Machine   replica.StateMachine
	// Admit decides whether the leader takes a joiner in. silent holds the members that have not been heard from, with the
	// time since then.
	Admit func(joiner founding.Member, members consensus.Members, silent map[consensus.ID]time.Duration) Admission
	// Admitted is called after the leader has taken a joiner in.
	Admitted func(joiner founding.Member, replaces consensus.ID)
	// Consensus sets the times of the log; zero fields take the defaults.
	Consensus consensus.Config
}

// Admission says how a joiner is taken in.
type Admission struct {
	Refuse   bool
	Learner  bool         // receives the log, and does not vote
	Replaces consensus.ID // the voter that leaves when the joiner has caught up, 0 for none
}

// Member is this instance's member of the agreement group.
type Member struct {
	config   Config
	sessions Sessions
	fs       storage.FS
	started  time.Time
	id       atomic.Uint64 // consensus.ID of the folder
	replica  atomic.Pointer[replica.Replica]

	reports  chan founding.Report // from other voters
	removals chan uint64          // identifiers that the leader says are removed
	// heardFrom holds how each member was heard last, by consensus.ID.
	heardFrom sync.Map
	// admitting is set while a change of the group's members for a joiner is under way.
	admitting atomic.Bool

	// life holds one token, which start and close take, so that no replica is opened after close. A lock would hold up
	// others while the folder is read.
	life   chan struct{}
	closed bool

	// Only Tick touches these.
	voter   *founding.Voter   // nil once the folder belongs to a group
	members []founding.Member // founding members, once known
}

// heard is the last message of another member.
type heard struct {
	session transport.Session
	at      time.Time
}

// maxReports bounds the queued reports of other voters; they are repeated each tick.
const maxReports = 64

// New returns the member whose data folder is given.
func New(config Config, folder storage.FS, sessions Sessions) (*Member, error) {
	m := &Member{
		config:   config,
		sessions: sessions,
		fs:       folder,
		started:  time.Now(),
		reports:  make(chan founding.Report, maxReports),
		removals: make(chan uint64, 1),
		life:     make(chan struct{}, 1),
	}
	if err := m.openFolder(); err != nil {
		return nil, err
	}
	return m, nil
}

// openFolder starts the member if its folder belongs to a group; otherwise it prepares to found or join one.
func (m *Member) openFolder() error {
	founded, err := belongsToGroup(m.fs)
	if err != nil {
		return err
	}
	if founded {
		return m.start()
	}
	return m.renew()
}

// belongsToGroup reports whether the folder holds a log or snapshot.
func belongsToGroup(fs storage.FS) (bool, error) {
	store, contents, err := storage.Open(fs, storage.Options{})
	if storage.KindOf(err) == storage.NoFolder {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer store.Close()
	return len(contents.Records) > 0 || contents.SnapshotIndex > 0, nil
}

// renew gives a folder without a log a fresh member identifier.
func (m *Member) renew() error {
	names, err := m.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := m.fs.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	id, err := replica.Prepare(m.fs)
	if err != nil {
		return err
	}
	m.id.Store(uint64(id))
	if !slices.ContainsFunc(m.config.Voters, func(v Voter) bool { return v.Address == m.config.Address }) {
		return m.start() // not a founder: the replica waits until the group takes it in
	}
	instances := make([]fleet.InstanceID, 0, len(m.config.Voters))
	for _, v := range m.config.Voters {
		instances = append(instances, v.Instance)
	}
	m.voter = founding.NewVoter(m.self(), instances)
	return nil
}

func (m *Member) self() founding.Member {
	return founding.Member{Instance: m.config.Instance, ID: m.id.Load(), Address: m.config.Address}
}

// start opens the replica.
func (m *Member) start() error {
	m.life <- struct{}{}
	defer func() { <-m.life }()
	if m.closed {
		return nil
	}
	r, err := replica.Open(replica.Options{
		FS:           m.fs,
		StateMachine: m.config.Machine,
		Transport:    m,
		Consensus:    m.config.Consensus,
		Logf:         log.Warnf,
	})
	if err != nil {
		return err
	}
	m.voter = nil
	m.id.Store(uint64(r.Status().ID))
	m.replica.Store(r)
	log.WithField("member", m.id.Load()).Info("member of the agreement group started")
	return nil
}

// Send implements replica.Transport.
func (m *Member) Send(to consensus.Member, message []byte) {
	session := m.sessions.Session(to.Address)
	if session == nil {
		// A new member has no configuration yet, so it knows no addresses and answers where it was asked.
		if last, ok := m.heardFrom.Load(to.ID); ok {
			session = last.(heard).session
		}
	}
	if session != nil {
		_ = session.Send(&protocol.Consensus{Payload: message, From: m.id.Load()})
	}
}

var _ replica.Transport = (*Member)(nil)

// Tick takes the next step of founding or joining.
func (m *Member) Tick(now time.Time) {
	m.hear(now)
	if err := m.leave(); err != nil {
		log.WithError(err).Error("the data folder of a removed member could not be renewed; empty it and restart the process")
	}
	if m.voter != nil {
		step, members := m.voter.NextStep(now)
		if err := m.take(step, members); err != nil {
			log.WithError(err).Error("the agreement group could not be founded or joined; check the data folder")
		}
	}
	m.tellVoters()
	if r := m.replica.Load(); r != nil && r.Status().Members.Find(consensus.ID(m.id.Load())) == nil {
		m.askToJoin()
	}
}

// leave begins anew under another identifier once the group has removed this member: it was silent for too long, and what
// its folder holds counts no more.
func (m *Member) leave() error {
	select {
	case id := <-m.removals:
		if id != m.id.Load() {
			return nil
		}
	default:
		return nil
	}
	log.WithField("member", m.id.Load()).Warn("the group has removed this member; it joins again with an empty data folder")
	if r := m.replica.Swap(nil); r != nil {
		if err := r.Close(); err != nil {
			return err
		}
	}
	return m.renew()
}

// hear takes in the reports of other voters.
func (m *Member) hear(now time.Time) {
	for {
		select {
		case report := <-m.reports:
			if m.voter != nil {
				m.voter.ReceiveReport(now, report)
			}
		default:
			return
		}
	}
}

func (m *Member) take(step founding.Step, members []founding.Member) error {
	switch step {
	case founding.FormGroup:
		if !m.config.MayDecide && members[0] == m.self() {
			return nil // a group may exist that is out of reach
		}
		list := make([]consensus.Member, 0, len(members))
		for _, f := range members {
			list = append(list, consensus.Member{ID: consensus.ID(f.ID), Address: f.Address})
		}
		if err := replica.Found(m.fs, list); err != nil {
			return err
		}
		m.members = members
		return m.start()
	case founding.JoinGroup:
		return m.start()
	case founding.RenewID:
		return m.renew()
	}
	return nil
}

// tellVoters tells the other voters about this member's folder.
func (m *Member) tellVoters() {
	report := founding.Report{Self: m.self(), Founded: true, Members: m.members}
	if m.voter != nil {
		report = m.voter.Report()
	}
	message := &protocol.Founding{
		Self:    protocol.Member(report.Self),
		Founded: report.Founded,
		Pledge:  report.Pledge,
	}
	for _, f := range report.Members {
		message.Members = append(message.Members, protocol.Member(f))
	}
	for _, v := range m.config.Voters {
		if session := m.sessions.Session(v.Address); session != nil && v.Instance != m.config.Instance {
			_ = session.Send(message)
		}
	}
}

func (m *Member) askToJoin() {
	addresses := map[string]bool{}
	for _, v := range m.config.Voters {
		addresses[v.Address] = true
	}
	if m.config.Contacts != nil {
		for _, address := range m.config.Contacts() {
			addresses[address] = true
		}
	}
	delete(addresses, m.config.Address)
	for address := range addresses {
		if session := m.sessions.Session(address); session != nil {
			_ = session.Send(&protocol.Join{Member: protocol.Member(m.self())}) // asked again at the next tick
		}
	}
}

// Received takes a message of another member.
func (m *Member) Received(session transport.Session, message protocol.Message) {
	switch message := message.(type) {
	case *protocol.Consensus:
		if message.From != 0 {
			m.heardFrom.Store(consensus.ID(message.From), heard{session, time.Now()})
		}
		if r := m.replica.Load(); r != nil {
			r.Receive(message.Payload)
		}
	case *protocol.Founding:
		report := founding.Report{Self: founding.Member(message.Self), Founded: message.Founded, Pledge: message.Pledge}
		for _, f := range message.Members {
			report.Members = append(report.Members, founding.Member(f))
		}
		select {
		case m.reports <- report:
		default:
		}
	case *protocol.Join:
		if message.Removed {
			select {
			case m.removals <- message.Member.ID:
			default: // told again when it asks again
			}
			return
		}
		go m.admit(session, founding.Member(message.Member))
	}
}

// admit takes in a voter whose data folder is new. Only the leader does.
func (m *Member) admit(session transport.Session, joiner founding.Member) {
	r := m.replica.Load()
	if _, leads := m.Leads(); !leads {
		return
	}
	if !m.admitting.CompareAndSwap(false, true) {
		return
	}
	defer m.admitting.Store(false)
	status := r.Status()
	members := status.Members
	if members.Find(consensus.ID(joiner.ID)) != nil {
		return
	}
	if slices.Contains(members.Removed, consensus.ID(joiner.ID)) {
		if status.Commit == status.Last { // the removal is certain
			_ = session.Send(&protocol.Join{Member: protocol.Member(joiner), Removed: true}) // it asks again
		}
		return
	}
	admission := m.config.Admit(joiner, members, m.Silent(time.Now()))
	if admission.Refuse {
		return
	}
	added := consensus.Member{ID: consensus.ID(joiner.ID), Address: joiner.Address, Promote: !admission.Learner, Replaces: admission.Replaces}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := r.ChangeMembers(ctx, consensus.Change{Add: &added}); err != nil {
		log.WithError(err).WithField("joiner", joiner.Instance).Warn("new voter not taken in yet; it asks again")
		return
	}
	log.WithFields(log.Fields{"joiner": joiner.Instance, "member": joiner.ID, "replaces": added.Replaces}).
		Warn("a voter with a new data folder is taken in; it votes once it has caught up")
	if m.config.Admitted != nil {
		m.config.Admitted(joiner, admission.Replaces)
	}
}

// AtAddress returns the member that has the joiner's address, 0 if there is none: a member that lost its folder comes back
// under another identifier.
func AtAddress(joiner founding.Member, members consensus.Members) consensus.ID {
	for i := range members.List {
		if members.List[i].Address == joiner.Address {
			return members.List[i].ID
		}
	}
	return 0
}

// Silent returns how long each other member has not been heard from; members that were never heard from count from the
// start of this process.
func (m *Member) Silent(now time.Time) map[consensus.ID]time.Duration {
	silent := make(map[consensus.ID]time.Duration)
	r := m.replica.Load()
	if r == nil {
		return silent
	}
	for _, member := range r.Status().Members.List {
		if uint64(member.ID) == m.id.Load() {
			continue
		}
		last := m.started
		if h, ok := m.heardFrom.Load(member.ID); ok {
			last = h.(heard).at
		}
		silent[member.ID] = now.Sub(last)
	}
	return silent
}

// Replica returns the running replica, nil before the folder belongs to a group.
func (m *Member) Replica() *replica.Replica { return m.replica.Load() }

// Leads reports whether this member leads the group, and the term that it knows.
func (m *Member) Leads() (term uint64, leads bool) {
	r := m.replica.Load()
	if r == nil {
		return 0, false
	}
	status := r.Status()
	return status.Term, status.Leader != 0 && status.Leader == status.ID
}

// ID returns the identifier of the folder.
func (m *Member) ID() consensus.ID { return consensus.ID(m.id.Load()) }

// Close leaves the group in an orderly way.
func (m *Member) Close() {
	m.life <- struct{}{}
	defer func() { <-m.life }()
	m.closed = true
	if r := m.replica.Load(); r != nil {
		if err := r.Close(); err != nil {
			log.WithError(err).Warn("the member of the agreement group did not close cleanly")
		}
	}
}
