package agreement

import (
	"time"

	"github.com/apex/log"

	"github.com/banyanfront/banyanfront/decide/agreed"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

const (
	// maxRecent bounds the changes kept for followers that lag behind: a quarter of a day at the target's 4,300 a day.
	maxRecent = 1024
	// watcherTimeout is after how long without a request a follower gets no more changes.
	watcherTimeout = 5 * time.Second
	// maxChanges bounds the changes in one message.
	maxChanges = 256
)

// follow asks for changes after the view held here, unless a member runs here.
func (s *Service) follow(_ time.Time) {
	if r := s.replica(); r != nil && r.Status().Failure == nil {
		return
	}
	if source := s.source(); source != nil {
		_ = source.Send(&protocol.State{Request: true, Index: s.View().Revision})
	}
}

// source returns the session to follow. In each data centre one instance follows a voter, and the others follow it, so
// that a voter serves one follower for each data centre.
func (s *Service) source() transport.Session {
	if newest, revision := s.loop.View().NewestPeer(); revision > s.View().Revision {
		return newest // the usual source may be on the wrong side of a partition
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
	start := int(s.config.Boot % 1024)
	for n := range s.config.Voters {
		voter := s.config.Voters[(start+n)%len(s.config.Voters)]
		session := s.sessions.Session(voter.Address)
		if session != nil && session.State() == transport.StateLive {
			return session
		}
	}
	return nil
}

// stateReceived serves a follower's request, or takes over what this instance asked for.
func (s *Service) stateReceived(session transport.Session, m *protocol.State) {
	if m.Report {
		s.revisionReported(session, m.Index, time.Now())
		return
	}
	if m.Request {
		s.serveFollower(session, m.Index)
		return
	}
	view, changes, err := s.advance(m)
	if err != nil {
		log.WithError(err).Warn("state update not applied; the next request fetches the whole state")
		_ = session.Send(&protocol.State{Request: true})
		return
	}
	s.install(view, changes...)
	if view.Revision >= m.Index {
		s.setConfirmed() // only an instance that is confirmed itself answers
	}
}

// advance returns the view after an update, and the changes in it.
func (s *Service) advance(m *protocol.State) (*agreed.View, []*agreed.Change, error) {
	view := s.View()
	if m.Snapshot != nil {
		whole, err := protocol.DecodeView(m.Snapshot)
		if err != nil {
			return nil, nil, err
		}
		return view.Newer(whole), nil, nil
	}
	var changes []*agreed.Change
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

// serveFollower answers a request for what follows an index, and remembers the follower for later changes. An instance
// whose own state may be out of date says nothing: the follower would take silence for news otherwise.
func (s *Service) serveFollower(session transport.Session, index uint64) {
	s.mu.Lock()
	s.watchers[session] = time.Now()
	view, confirmed := s.view, s.confirmed
	var changes []*agreed.Change
	for _, change := range s.recent {
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

// sendChanges sends changes to a follower. What is lost is made up for by the follower's next request.
func (s *Service) sendChanges(session transport.Session, from uint64, changes ...*agreed.Change) {
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

// activeWatchers returns the sessions that asked lately. The caller holds the lock.
func (s *Service) activeWatchers(now time.Time) []transport.Session {
	var active []transport.Session
	for session, asked := range s.watchers {
		if now.Sub(asked) > watcherTimeout || session.State() == transport.StateClosed {
			delete(s.watchers, session)
			continue
		}
		active = append(active, session)
	}
	return active
}
