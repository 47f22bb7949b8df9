// Package groupmember runs one member of an agreement group: it founds the group at the first start of the system, joins
// an existing group with a new data folder, and transports the messages of the replicated log over sessions between
// control instances.
package groupmember

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/bootstrap"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// joinTimeout limits the wait until a membership change for a joiner is committed.
	joinTimeout = 10 * time.Second
	// leaveTimeout limits how long a stop waits until a learner has taken over this member's vote.
	leaveTimeout = 3 * time.Second
	// leavePollInterval is the interval at which a stopping member looks whether it still is a voter.
	leavePollInterval = 10 * time.Millisecond
)

// Sessions looks up sessions to control instances.
type Sessions interface {
	// Session returns the current session to an inner address, or nil.
	Session(address string) transport.Session
}

// Voter is an initial voting member of the agreement group.
type Voter struct {
	Instance fleet.InstanceID
	Address  string
}

// Config configures a member. All fields except Contacts, Admitted and Consensus are required.
type Config struct {
	Instance fleet.InstanceID
	Address  string
	// Voters are the initial voting members, which form the group. This member reports its folder to them, and sends them
	// its join requests.
	Voters []Voter
	// Contacts returns the inner addresses of further control instances that receive join requests. Optional.
	Contacts func() []string
	// MayBootstrap allows this instance to form a new group as the coordinator of package bootstrap.
	MayBootstrap bool
	StateMachine replica.StateMachine
	// Admit decides on the leader whether and how a joiner is added. silence is the result of Member.Silence.
	Admit func(joiner bootstrap.Member, members consensus.Members, silence map[consensus.ID]time.Duration) Admission
	// Admitted is called on the leader after it has added a joiner. Optional.
	Admitted func(joiner bootstrap.Member, replaces consensus.ID)
	// Consensus sets the timing of the replicated log; zero fields take the defaults. Optional.
	Consensus consensus.Config
}

// Admission is the decision whether and how a joiner is added to the group.
type Admission struct {
	Refuse   bool
	Learner  bool         // receives the log but does not vote
	Replaces consensus.ID // the voter that is removed once the joiner votes, or a learner that is removed at once; 0 for none
}

// Member is this instance as a member of the agreement group.
type Member struct {
	config   Config
	sessions Sessions
	fs       storage.FS
	started  time.Time
	id       atomic.Uint64 // consensus.ID of the data folder
	replica  atomic.Pointer[replica.Replica]

	reports  chan bootstrap.Report // received from other voters
	removals chan uint64           // member identifiers that the leader reports as removed
	// lastMessages holds the lastMessage of each other member, by consensus.ID.
	lastMessages sync.Map
	// admitting is set while a membership change for a joiner is in progress.
	admitting atomic.Bool

	// lifecycle is a semaphore of one that start and Close acquire, so that no replica is opened after Close. A mutex would
	// block others while the folder is read.
	lifecycle chan struct{}
	closed    bool

	// Accessed only by New and Tick.
	foundingVoter  *bootstrap.Voter   // nil unless the group may still be founded
	mustReset      bool               // the group has removed this member, whose folder has not been reset yet
	initialMembers []bootstrap.Member // set when this process founds the group
}

// lastMessage records when the last message of another member was received, and over which session.
type lastMessage struct {
	session transport.Session
	at      time.Time
}

// maxReports limits the queue of reports from other voters. Excess reports are dropped, as they are repeated each tick.
const maxReports = 64

// New returns a member with the given data folder, and starts its replica unless the group may have to be founded first.
func New(config Config, folder storage.FS, sessions Sessions) (*Member, error) {
	m := &Member{
		config:    config,
		sessions:  sessions,
		fs:        folder,
		started:   time.Now(),
		reports:   make(chan bootstrap.Report, maxReports),
		removals:  make(chan uint64, 1),
		lifecycle: make(chan struct{}, 1),
	}
	if err := m.openFolder(); err != nil {
		return nil, err
	}
	return m, nil
}

// openFolder starts the replica if the folder belongs to a group, and otherwise prepares to found or join one.
func (m *Member) openFolder() error {
	founded, err := belongsToGroup(m.fs)
	if err != nil {
		return err
	}
	if founded {
		return m.start()
	}
	return m.resetFolder()
}

// belongsToGroup reports whether the folder contains log records or a snapshot.
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

// resetFolder empties the folder, except for files beside the log, and prepares it under a new random member identifier, to found or
// join a group.
func (m *Member) resetFolder() error {
	if err := storage.Clear(m.fs); err != nil {
		return err
	}
	id, err := replica.Prepare(m.fs)
	if err != nil {
		return err
	}
	m.id.Store(uint64(id))
	if !slices.ContainsFunc(m.config.Voters, func(v Voter) bool { return v.Address == m.config.Address }) {
		return m.start() // not a founder: the replica waits until the group adds it
	}
	instances := make([]fleet.InstanceID, 0, len(m.config.Voters))
	for _, v := range m.config.Voters {
		instances = append(instances, v.Instance)
	}
	m.foundingVoter = bootstrap.NewVoter(m.self(), instances)
	return nil
}

func (m *Member) self() bootstrap.Member {
	return bootstrap.Member{Instance: m.config.Instance, ID: m.id.Load(), Address: m.config.Address}
}

// start opens the replica.
func (m *Member) start() error {
	m.lifecycle <- struct{}{}
	defer func() { <-m.lifecycle }()
	if m.closed {
		return nil
	}
	r, err := replica.Open(replica.Options{
		FS:           m.fs,
		StateMachine: m.config.StateMachine,
		Transport:    m,
		Consensus:    m.config.Consensus,
		Logf:         log.Warnf,
	})
	if err != nil {
		return err
	}
	m.foundingVoter = nil
	m.id.Store(uint64(r.Status().ID))
	m.replica.Store(r)
	log.WithField("member", m.id.Load()).Info("member of the agreement group started")
	return nil
}

// Send implements replica.Transport.
func (m *Member) Send(to consensus.Member, message []byte) {
	session := m.sessions.Session(to.Address)
	if session == nil {
		// A new member has no configuration yet and so no addresses: reply on the session of the last message.
		if last, ok := m.lastMessages.Load(to.ID); ok {
			session = last.(lastMessage).session
		}
	}
	if session != nil {
		_ = session.Send(&protocol.Consensus{Payload: message, From: m.id.Load()})
	}
}

var _ replica.Transport = (*Member)(nil)

// Tick performs the next step of founding or joining, and repeats the messages to other voters.
func (m *Member) Tick(now time.Time) {
	m.receiveReports(now)
	if err := m.rejoinIfRemoved(); err != nil {
		log.WithError(err).Error("the data folder of a removed member could not be reset; free space or check the disk, it is tried again")
	}
	if m.foundingVoter != nil {
		step, members := m.foundingVoter.NextStep(now)
		if err := m.applyStep(step, members); err != nil {
			log.WithError(err).Error("the agreement group could not be founded or joined; check the data folder")
		}
	}
	m.sendReports()
	if r := m.replica.Load(); r != nil {
		// The log of a member that was away may be older than its removal, which only the others can tell it then.
		status := r.Status()
		inGroup := status.Members.Find(consensus.ID(m.id.Load())) != nil
		if !inGroup || status.Leader == 0 {
			m.requestJoin(inGroup)
		}
	}
}

// rejoinIfRemoved resets the folder once the group has removed this member, which was silent for too long. Its log is no
// longer valid, so it joins again under a new identifier.
func (m *Member) rejoinIfRemoved() error {
	select {
	case id := <-m.removals:
		if id != m.id.Load() || m.mustReset {
			break
		}
		log.WithField("member", id).Warn("the group has removed this member; it joins again with an empty data folder")
		m.mustReset = true
		if r := m.replica.Swap(nil); r != nil {
			if err := r.Close(); err != nil {
				log.WithError(err).Warn("the removed member did not close cleanly")
			}
		}
	default:
	}
	if !m.mustReset {
		return nil
	}
	err := m.resetFolder() // tried again at the next tick if it fails
	m.mustReset = err != nil
	return err
}

// receiveReports processes the queued reports of other voters.
func (m *Member) receiveReports(now time.Time) {
	for {
		select {
		case report := <-m.reports:
			if m.foundingVoter != nil {
				m.foundingVoter.ReceiveReport(now, report)
			}
		default:
			return
		}
	}
}

func (m *Member) applyStep(step bootstrap.Step, members []bootstrap.Member) error {
	switch step {
	case bootstrap.FormGroup:
		if !m.config.MayBootstrap && members[0] == m.self() {
			return nil // a group may exist that is unreachable
		}
		list := make([]consensus.Member, 0, len(members))
		for _, f := range members {
			list = append(list, consensus.Member{ID: consensus.ID(f.ID), Address: f.Address})
		}
		// An earlier attempt may have written the group and failed after that.
		founded, err := belongsToGroup(m.fs)
		if err == nil && !founded {
			err = replica.Bootstrap(m.fs, list)
		}
		if err != nil {
			return err
		}
		m.initialMembers = members
		return m.start()
	case bootstrap.JoinGroup:
		return m.start()
	case bootstrap.RenewID:
		return m.resetFolder()
	}
	return nil
}

// report returns the state of this member's folder.
func (m *Member) report() bootstrap.Report {
	if m.foundingVoter != nil {
		return m.foundingVoter.Report()
	}
	return bootstrap.Report{Self: m.self(), Founded: m.inGroup(), Members: m.initialMembers}
}

// inGroup reports whether the running replica has the members of a group. A new folder has none until a leader has
// added it.
func (m *Member) inGroup() bool {
	r := m.replica.Load()
	return r != nil && len(r.Status().Members.List) > 0
}

// encodeReport returns the message with a report.
func encodeReport(report bootstrap.Report) *protocol.Founding {
	message := &protocol.Founding{Self: protocol.Member(report.Self), Founded: report.Founded, Pledge: report.Pledge}
	for _, f := range report.Members {
		message.Members = append(message.Members, protocol.Member(f))
	}
	return message
}

// sendReports sends the state of this member's folder to the initial voters, and while it belongs to no group also to the
// other known control instances: the settings may list only voters that no longer exist.
func (m *Member) sendReports() {
	report := m.report()
	addresses := map[string]bool{}
	for _, v := range m.config.Voters {
		addresses[v.Address] = true
	}
	if !report.Founded {
		m.addContacts(addresses)
	}
	delete(addresses, m.config.Address)
	message := encodeReport(report)
	for address := range addresses {
		if session := m.sessions.Session(address); session != nil {
			_ = session.Send(message) // repeated at the next tick
		}
	}
}

func (m *Member) addContacts(addresses map[string]bool) {
	if m.config.Contacts != nil {
		for _, address := range m.config.Contacts() {
			addresses[address] = true
		}
	}
}

// requestJoin asks the leader to admit this member or, if it is in the group by its own log, whether the group has removed it.
func (m *Member) requestJoin(inGroup bool) {
	addresses := map[string]bool{}
	for _, v := range m.config.Voters {
		addresses[v.Address] = true
	}
	m.addContacts(addresses)
	delete(addresses, m.config.Address)
	for address := range addresses {
		if session := m.sessions.Session(address); session != nil {
			_ = session.Send(&protocol.Join{Member: protocol.Member(m.self()), InGroup: inGroup}) // repeated at the next tick
		}
	}
}

// HandleMessage processes a message of another control instance.
func (m *Member) HandleMessage(session transport.Session, message protocol.Message) {
	switch message := message.(type) {
	case *protocol.Consensus:
		if message.From != 0 {
			m.lastMessages.Store(consensus.ID(message.From), lastMessage{session, time.Now()})
		}
		if r := m.replica.Load(); r != nil {
			r.Receive(message.Payload)
		}
	case *protocol.Founding:
		report := bootstrap.Report{Self: bootstrap.Member(message.Self), Founded: message.Founded, Pledge: message.Pledge}
		for _, f := range message.Members {
			report.Members = append(report.Members, bootstrap.Member(f))
		}
		select {
		case m.reports <- report:
		default:
		}
		if !report.Founded && m.inGroup() {
			// The sender may have lost its folder, and need not be a voter in this member's settings.
			_ = session.Send(&protocol.Founding{Self: protocol.Member(m.self()), Founded: true})
		}
	case *protocol.Join:
		if message.Removed {
			select {
			case m.removals <- message.Member.ID:
			default: // repeated in reply to the next join request
			}
			return
		}
		go m.answerJoin(session, message)
	}
}

// answerJoin adds a joiner, whose data folder is new, or tells it that the group has removed it. It does nothing unless this member
// leads.
func (m *Member) answerJoin(session transport.Session, request *protocol.Join) {
	joiner := bootstrap.Member(request.Member)
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
		if status.Commit == status.Last { // the removal is committed
			_ = session.Send(&protocol.Join{Member: request.Member, Removed: true}) // repeated with each join request
		}
		return
	}
	if request.InGroup {
		return // this member's view may be the older one
	}
	admission := m.config.Admit(joiner, members, m.Silence(time.Now()))
	if admission.Refuse {
		return
	}
	added := consensus.Member{ID: consensus.ID(joiner.ID), Address: joiner.Address, Promote: !admission.Learner, Replaces: admission.Replaces}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := r.ChangeMembers(ctx, consensus.Change{Add: &added}); err != nil {
		log.WithError(err).WithField("joiner", joiner.Instance).Warn("joiner not added to the agreement group; it will retry")
		return
	}
	log.WithFields(log.Fields{"joiner": joiner.Instance, "member": joiner.ID, "replaces": added.Replaces}).
		Warn("joiner with a new data folder added; unless it is a learner, it votes once it has caught up")
	if m.config.Admitted != nil {
		m.config.Admitted(joiner, admission.Replaces)
	}
}

// MemberAtAddress returns the identifier of the member that has the joiner's address, 0 if there is none. A member that
// lost its folder rejoins from the same address under another identifier.
func MemberAtAddress(joiner bootstrap.Member, members consensus.Members) consensus.ID {
	for i := range members.List {
		if members.List[i].Address == joiner.Address {
			return members.List[i].ID
		}
	}
	return 0
}

// Silence returns the time since the last message of each other member, or since the start of this process if it has sent
// none.
func (m *Member) Silence(now time.Time) map[consensus.ID]time.Duration {
	silence := make(map[consensus.ID]time.Duration)
	r := m.replica.Load()
	if r == nil {
		return silence
	}
	for _, member := range r.Status().Members.List {
		if uint64(member.ID) == m.id.Load() {
			continue
		}
		last := m.started
		if message, ok := m.lastMessages.Load(member.ID); ok {
			last = message.(lastMessage).at
		}
		silence[member.ID] = now.Sub(last)
	}
	return silence
}

// Replica returns the running replica, nil while none is running.
func (m *Member) Replica() *replica.Replica { return m.replica.Load() }

// Leads returns the term known to this member, and whether it leads the group.
func (m *Member) Leads() (term uint64, leads bool) {
	r := m.replica.Load()
	if r == nil {
		return 0, false
	}
	status := r.Status()
	return status.Term, status.Leader != 0 && status.Leader == status.ID
}

// ID returns the member identifier of the data folder.
func (m *Member) ID() consensus.ID { return consensus.ID(m.id.Load()) }

// HandOverVote makes a learner that has caught up a voter in this member's place, if there is one: whether a stopped
// process comes back is unknown, and without its successor's vote the group would bear one loss less. The member stays
// in the group as a learner, so a restart in the same place costs nothing.
func (m *Member) HandOverVote() {
	r := m.replica.Load()
	if r == nil {
		return
	}
	self := m.ID()
	status := r.Status()
	if !status.Members.IsVoter(self) || !slices.ContainsFunc(status.Members.List, func(x consensus.Member) bool { return x.Learner }) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if status.Leader == self && r.TransferLeadership(ctx, 0) == nil {
		m.waitFor(ctx, func(s replica.Status) bool { return s.Leader != 0 && s.Leader != self })
	}
	if err := r.ChangeMembers(ctx, consensus.Change{Retire: self}); err != nil {
		log.WithError(err).Info("this member stops as a voter")
		return
	}
	if m.waitFor(ctx, func(s replica.Status) bool { return !s.Members.IsVoter(self) && s.Commit == s.Last }) {
		log.WithField("member", uint64(self)).Info("a learner has taken over the vote of this member, which stops")
	} else {
		log.WithField("member", uint64(self)).Warn("no learner took over the vote of this member in time; it stops as a voter")
	}
}

// waitFor returns once the condition holds for this member's status, and false if the context ends before.
func (m *Member) waitFor(ctx context.Context, condition func(replica.Status) bool) bool {
	poll := time.NewTicker(leavePollInterval)
	defer poll.Stop()
	for {
		r := m.replica.Load()
		if r == nil {
			return false
		}
		if condition(r.Status()) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-poll.C:
		}
	}
}

// Close hands leadership over and stops the replica. The member remains in the group.
func (m *Member) Close() {
	m.lifecycle <- struct{}{}
	defer func() { <-m.lifecycle }()
	m.closed = true
	if r := m.replica.Load(); r != nil {
		if err := r.Close(); err != nil {
			log.WithError(err).Warn("the member of the agreement group did not close cleanly")
		}
	}
}
