package agreement

import (
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// maxRecentChanges bounds the changes kept for lagging followers: a quarter of a day at the target's 4,300 a day.
	maxRecentChanges = 1024
	// followerTimeout is how long after its last request a follower is sent changes.
	followerTimeout = 5 * time.Second
	// maxChanges bounds the changes in one message.
	maxChanges = 256
)

// requestChanges requests the changes after the local view, unless a working member of the agreement group runs here.
func (s *Service) requestChanges(_ time.Time) {
	if r := s.replica(); r != nil && r.Status().Failure == nil {
		return
	}
	if source := s.updateSource(); source != nil {
		_ = source.Send(&protocol.State{Request: true, Index: s.View().Revision})
	}
}

// updateSource returns the session to request changes from. In each data centre one instance follows a voter and the others
// follow that instance, so that each data centre adds one follower to the voters.
func (s *Service) updateSource() transport.Session {
	if newest, revision := s.loop.View().NewestPeer(); revision > s.View().Revision {
		return newest // the usual source may be on the minority side of a partition
	}
	var lowest transport.Session
	for _, session := range s.loop.View().Peers(s.config.DataCentre) {
		if id := session.Peer().Instance; id < s.config.Instance && (lowest == nil || id < lowest.Peer().Instance) {
			lowest = session
		}
	}
	if lowest != nil {
		return lowest
	}
	start := int(s.config.Incarnation % 1024)
	for n := range s.config.Voters {
		voter := s.config.Voters[(start+n)%len(s.config.Voters)]
		session := s.sessions.Session(voter.Address)
		if session != nil && session.State() == transport.StateLive {
			return session
		}
	}
	return nil
}

// stateReceived handles a report of a revision, a follower's request, or an update that this instance requested.
func (s *Service) stateReceived(session transport.Session, m *protocol.State) {
	if m.Report {
		s.revisionReceived(session, m.Index, time.Now())
		return
	}
	if m.Request {
		s.serveFollower(session, m.Index)
		return
	}
	view, changes, err := s.updatedView(m)
	if err != nil {
		log.WithError(err).Warn("state update not applied; fetching the whole state")
		_ = session.Send(&protocol.State{Request: true})
		return
	}
	s.install(view, changes...)
	if view.Revision >= m.Index {
		s.setConfirmed() // only confirmed instances answer
	}
}

// updatedView returns the view after an update, and the changes in it.
func (s *Service) updatedView(m *protocol.State) (*statemachine.View, []*statemachine.Change, error) {
	view := s.View()
	if m.Snapshot != nil {
		decoded, err := protocol.DecodeView(m.Snapshot)
		if err != nil {
			return nil, nil, err
		}
		return view.Newer(decoded), nil, nil
	}
	var changes []*statemachine.Change
	for _, encoded := range m.Entries {
		change, err := protocol.DecodeChange(encoded)
		if err != nil {
			return nil, nil, err
		}
		if view, err = view.Apply(change); err != nil {
			return nil, nil, err
		}
		changes = append(changes, change)
	}
	return view, changes, nil
}

// serveFollower answers a request for the changes after an index, and registers the follower for later changes. An instance
// whose own state may be outdated does not answer, as the follower would take the answer as confirmation.
func (s *Service) serveFollower(session transport.Session, index uint64) {
	s.mu.Lock()
	s.followers[session] = time.Now()
	view, confirmed := s.view, s.confirmed
	var changes []*statemachine.Change
	for _, change := range s.recentChanges {
		if change.Index > index {
			changes = append(changes, change)
		}
	}
	s.mu.Unlock()
	switch {
	case !confirmed:
	case index >= view.Revision:
		_ = session.Send(&protocol.State{From: index, Index: view.Revision})
	case len(changes) > 0 && len(changes) <= maxChanges && changes[0].Previous <= index:
		s.sendChanges(session, index, changes...)
	default:
		data, err := protocol.EncodeView(view)
		if err != nil {
			log.WithError(err).Error("the agreed state could not be encoded for a follower")
			return
		}
		_ = session.Send(&protocol.State{Index: view.Revision, Snapshot: data})
	}
}

// sendChanges sends changes to a follower. If they are lost, the follower's next request fetches them.
func (s *Service) sendChanges(session transport.Session, from uint64, changes ...*statemachine.Change) {
	update := &protocol.State{From: from}
	for _, change := range changes {
		if change == nil {
			return
		}
		data, err := protocol.EncodeChange(change)
		if err != nil {
			log.WithError(err).Error("a change could not be encoded for a follower")
			return
		}
		update.Entries = append(update.Entries, data)
		update.Index = change.Index
	}
	_ = session.Send(update)
}

// activeFollowers returns the sessions with a request within followerTimeout, and drops the others. The caller holds the
// lock.
func (s *Service) activeFollowers(now time.Time) []transport.Session {
	var active []transport.Session
	for session, lastRequest := range s.followers {
		if now.Sub(lastRequest) > followerTimeout || session.State() == transport.StateClosed {
			delete(s.followers, session)
			continue
		}
		active = append(active, session)
	}
	return active
}
