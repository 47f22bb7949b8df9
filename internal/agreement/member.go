package agreement

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/decide/consensus"
	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/founding"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/replica"
	"github.com/banyanfront/banyanfront/internal/storage"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// joinTimeout bounds the wait for one change of the group's members.
const joinTimeout = 10 * time.Second

// member runs this instance's member of the agreement group.
type member struct {
	config   Config
	sessions Sessions
	fs       storage.FS
	id       atomic.Uint64 // consensus.ID of the folder
	replica  atomic.Pointer[replica.Replica]
	machine  *machine

	reports chan founding.Report // from other voters
	// heardFrom holds the session over which each member was heard last, by consensus.ID.
	heardFrom sync.Map
	// admitting is set while a change of the group's members for a joiner is under way.
	admitting atomic.Bool

	// life holds one token, which start and close take, so that no replica is opened after close. A lock would hold up
	// others while the folder is read.
	life   chan struct{}
	closed bool

	// Only tick touches these.
	voter   *founding.Voter   // nil once the folder belongs to a group
	members []founding.Member // founding members, once known
}

// maxReports bounds the queued reports of other voters; they are repeated each tick.
const maxReports = 64

func newMember(config Config, folder storage.FS, sessions Sessions, install func(*agreed.View, ...*agreed.Change)) (*member, error) {
	m := &member{
		config:   config,
		sessions: sessions,
		fs:       folder,
		machine:  newMachine(install),
		reports:  make(chan founding.Report, maxReports),
		life:     make(chan struct{}, 1),
	}
	if err := m.openFolder(); err != nil {
		return nil, err
	}
	return m, nil
}

// openFolder starts the member if its folder belongs to a group; otherwise it prepares to found or join one.
func (m *member) openFolder() error {
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
func (m *member) renew() error {
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
	instances := make([]fleet.InstanceID, 0, len(m.config.Voters))
	for _, v := range m.config.Voters {
		instances = append(instances, v.Instance)
	}
	m.voter = founding.NewVoter(m.self(), instances)
	return nil
}

func (m *member) self() founding.Member {
	return founding.Member{Instance: m.config.Instance, ID: m.id.Load(), Address: m.config.Address}
}

// start opens the replica.
func (m *member) start() error {
	m.life <- struct{}{}
	defer func() { <-m.life }()
	if m.closed {
		return nil
	}
	r, err := replica.Open(replica.Options{
		FS:           m.fs,
		StateMachine: m.machine,
		Transport:    m,
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
func (m *member) Send(to consensus.Member, message []byte) {
	session := m.sessions.Session(to.Address)
	if session == nil {
		// A new member has no configuration yet, so it knows no addresses and answers where it was asked.
		if heard, ok := m.heardFrom.Load(to.ID); ok {
			session = heard.(transport.Session)
		}
	}
	if session != nil {
		_ = session.Send(&protocol.Consensus{Payload: message, From: m.id.Load()})
	}
}

var _ replica.Transport = (*member)(nil)

// tick takes the next step of founding or joining.
func (m *member) tick(now time.Time) {
	m.hear(now)
	if m.voter != nil {
		step, members := m.voter.Next(now)
		if err := m.take(step, members); err != nil {
			log.WithError(err).Error("the agreement group could not be founded or joined; check the data folder")
		}
	}
	m.tellVoters()
	if r := m.replica.Load(); r != nil && r.Status().Members.Find(consensus.ID(m.id.Load())) == nil {
		m.askToJoin()
	}
}

// hear takes in the reports of other voters.
func (m *member) hear(now time.Time) {
	for {
		select {
		case report := <-m.reports:
			if m.voter != nil {
				m.voter.Heard(now, report)
			}
		default:
			return
		}
	}
}

func (m *member) take(step founding.Step, members []founding.Member) error {
	switch step {
	case founding.Found:
		list := make([]consensus.Member, 0, len(members))
		for _, f := range members {
			list = append(list, consensus.Member{ID: consensus.ID(f.ID), Address: f.Address})
		}
		if err := replica.Found(m.fs, list); err != nil {
			return err
		}
		m.members = members
		return m.start()
	case founding.Join:
		return m.start()
	case founding.Renew:
		return m.renew()
	}
	return nil
}

// tellVoters tells the other voters about this member's folder.
func (m *member) tellVoters() {
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

func (m *member) askToJoin() {
	for _, v := range m.config.Voters {
		if session := m.sessions.Session(v.Address); session != nil && v.Instance != m.config.Instance {
			_ = session.Send(&protocol.Join{Member: protocol.Member(m.self())})
		}
	}
}

// received takes a message of another member.
func (m *member) received(session transport.Session, message protocol.Message) {
	switch message := message.(type) {
	case *protocol.Consensus:
		if message.From != 0 {
			m.heardFrom.Store(consensus.ID(message.From), session)
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
		go m.admit(founding.Member(message.Member))
	}
}

// admit takes in a voter whose data folder is new, in place of the member that had its address. Only the leader does.
func (m *member) admit(joiner founding.Member) {
	r := m.replica.Load()
	if r == nil || r.Status().Leader != r.Status().ID || !m.isVoter(joiner) {
		return
	}
	if !m.admitting.CompareAndSwap(false, true) {
		return
	}
	defer m.admitting.Store(false)
	members := r.Status().Members
	if members.Find(consensus.ID(joiner.ID)) != nil {
		return
	}
	added := consensus.Member{ID: consensus.ID(joiner.ID), Address: joiner.Address, Promote: true}
	for i := range members.List {
		if members.List[i].Address == joiner.Address {
			added.Replaces = members.List[i].ID
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := r.ChangeMembers(ctx, consensus.Change{Add: &added}); err != nil {
		log.WithError(err).WithField("joiner", joiner.Instance).Warn("new voter not taken in yet; it asks again")
		return
	}
	log.WithFields(log.Fields{"joiner": joiner.Instance, "member": joiner.ID, "replaces": added.Replaces}).
		Warn("a voter with a new data folder is taken in; it votes once it has caught up")
	m.config.Account.Record(account.Entry{Time: time.Now(), Kind: account.VoterAdmitted, Subject: string(joiner.Instance),
		Reason: fmt.Sprintf("its data folder is new; member %x in place of member %x", joiner.ID, uint64(added.Replaces))})
}

// isVoter reports whether the settings name the joiner with its address.
func (m *member) isVoter(joiner founding.Member) bool {
	for _, v := range m.config.Voters {
		if v.Instance == joiner.Instance && v.Address == joiner.Address {
			return true
		}
	}
	return false
}

func (m *member) close() {
	m.life <- struct{}{}
	defer func() { <-m.life }()
	m.closed = true
	if r := m.replica.Load(); r != nil {
		if err := r.Close(); err != nil {
			log.WithError(err).Warn("the member of the agreement group did not close cleanly")
		}
	}
}
