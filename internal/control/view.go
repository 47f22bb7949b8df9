package control

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// View is what traffic goroutines know of the fleet. It is immutable.
type View struct {
	*fleet.Snapshot
	Agreed Agreed
	// Representative tells that this instance speaks for its data centre. For a moment two instances may.
	Representative bool
	// AgentRevision is the newest agreed state that an agent of the data centre has heard of.
	AgentRevision uint64
	sessions      map[fleet.ServerID]transport.Session
	announced     map[fleet.ServerID][]fleet.Model
	peers         map[fleet.DataCentre][]transport.Session
	known         map[target]bool
}

// Known reports whether any data centre has had servers for the target lately.
func (v *View) Known(t fleet.Target) bool { return v.known[target{t.Kind, t.Name}] }

// Session returns a live session to the server's agent, or nil.
func (v *View) Session(id fleet.ServerID) transport.Session { return v.sessions[id] }

// Announced returns the models that a server has announced, also those that release notes have withdrawn.
func (v *View) Announced(id fleet.ServerID) []fleet.Model { return v.announced[id] }

// Peers returns live sessions to entry instances of another data centre.
func (v *View) Peers(dataCentre fleet.DataCentre) []transport.Session { return v.peers[dataCentre] }

// AllPeers returns a live session to each known entry instance, by data centre.
func (v *View) AllPeers() map[fleet.DataCentre][]transport.Session { return v.peers }

// NewestPeer returns a session to the entry instance that had the newest agreed state in force when its session began,
// and that state's revision. The session is nil if no entry instance is in reach.
func (v *View) NewestPeer() (transport.Session, uint64) {
	var newest transport.Session
	for _, sessions := range v.peers {
		for _, session := range sessions {
			if newest == nil || session.Peer().Revision > newest.Peer().Revision {
				newest = session
			}
		}
	}
	if newest == nil {
		return nil, 0
	}
	return newest, newest.Peer().Revision
}

// Repeatable tells whether a call of a plain service may be repeated, if the release note in force says so.
func (v *View) Repeatable(service, method, path string) (repeat, known bool) {
	return v.Agreed.config().CallIdempotency(service, method, path)
}

// Version returns the version of a model that callers get when they name none, empty for any.
func (v *View) Version(model string) string {
	for _, m := range v.Agreed.config().Models {
		if m.Name == model && v.serves(fleet.Target{Kind: fleet.KindEngine, Name: model, Version: m.Version}) {
			return m.Version
		}
	}
	return ""
}

// serves reports whether any server that takes work has the target. During a change of versions, the old one goes on
// until the new one is loaded somewhere.
func (v *View) serves(target fleet.Target) bool {
	for _, i := range v.Candidates(target) {
		if server := &v.Servers[i]; server.ExclusionReason == "" && server.Serves(target) {
			return true
		}
	}
	return false
}

// Reasons why a server receives no new work, beside those of the release notes.
const (
	reasonNoSession = "no live session to its agent"
	reasonLeaving   = "leaving"
)

// excluded returns why a server receives no new work, or "".
func (s *state) excluded(known *server) string {
	if best(known.sessions) == nil {
		return reasonNoSession
	}
	if known.load.Phase == fleet.PhaseDraining {
		return reasonLeaving
	}
	return s.agreed.excluded(known.announcement.Server)
}

// view builds the view from the control state.
func (s *state) view(now time.Time) *View {
	s.changed, s.urgent = false, false
	v := &View{
		Agreed: s.agreed,

		AgentRevision:  s.agentRevision,
		Representative: s.members.detector.Representative() == s.config.Instance,

		sessions:  make(map[fleet.ServerID]transport.Session, len(s.servers)),
		announced: make(map[fleet.ServerID][]fleet.Model, len(s.servers)),
		peers:     make(map[fleet.DataCentre][]transport.Session),
		known:     make(map[target]bool, len(s.known)),
	}
	snapshot := &fleet.Snapshot{
		Revision:   s.agreed.Revision,
		DataCentre: s.config.DataCentre,
		Evacuated:  s.agreed.Out[s.config.DataCentre],
		Instances:  s.members.detector.InstanceCount(),
		Servers:    make([]fleet.Server, 0, len(s.servers)),
	}
	for t := range s.known {
		v.known[t] = true
	}
	for id, known := range s.servers {
		if session := best(known.sessions); session != nil {
			v.sessions[id] = session
		}
		announcement := known.announcement
		v.announced[id] = announcement.Models
		announcement.Models = s.agreed.offered(announcement.Models)
		snapshot.Servers = append(snapshot.Servers, fleet.Server{
			Announcement:    announcement,
			Load:            known.load,
			ExclusionReason: s.excluded(known),
			Weight:          s.weight(&announcement),
			Counter:         known.counter,
		})
	}
	for _, p := range s.peers {
		session := best(p.sessions)
		if session == nil {
			continue
		}
		dataCentre := p.hello.DataCentre
		v.peers[dataCentre] = append(v.peers[dataCentre], session)
		if now.Sub(p.heard) <= summaryMaxAge && !s.agreed.Out[dataCentre] {
			snapshot.RemoteSummaries = append(snapshot.RemoteSummaries, p.summary...)
		}
	}
	v.Snapshot = snapshot.Build()
	return v
}
