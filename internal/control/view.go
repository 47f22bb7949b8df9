package control

import (
	"time"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// View is a snapshot of the control state for traffic goroutines. It is immutable.
type View struct {
	*fleet.Snapshot
	Agreed AgreedState
	// Representative is true if this instance represents its data centre. During a takeover two instances may.
	Representative bool
	// AgentRevision is the newest revision of the agreed state that an agent of the data centre has received.
	AgentRevision   uint64
	sessions        map[fleet.ServerID]transport.Session
	announcedModels map[fleet.ServerID][]fleet.Model
	peers           map[fleet.DataCentre][]transport.Session
	remoteTargets   map[target]bool
}

// HasRemoteTarget reports whether another data centre has listed the target in its summary within retentionTime.
func (v *View) HasRemoteTarget(t fleet.Target) bool { return v.remoteTargets[target{t.Kind, t.Name}] }

// Session returns a live session to the server's agent, or nil.
func (v *View) Session(id fleet.ServerID) transport.Session { return v.sessions[id] }

// AnnouncedModels returns the models that a server has announced, including those that release notes have withdrawn.
func (v *View) AnnouncedModels(id fleet.ServerID) []fleet.Model { return v.announcedModels[id] }

// Peers returns live sessions to the other entry instances of a data centre.
func (v *View) Peers(dataCentre fleet.DataCentre) []transport.Session { return v.peers[dataCentre] }

// AllPeers returns a live session to each known entry instance, by data centre.
func (v *View) AllPeers() map[fleet.DataCentre][]transport.Session { return v.peers }

// NewestPeer returns a session to the entry instance that had the newest agreed state when its session opened, and the
// revision of that state. The session is nil if no entry instance is reachable.
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

// Repeatable reports whether a call of a plain service may be repeated. known is false if no release note in the agreed
// state says so.
func (v *View) Repeatable(service, method, path string) (repeatable, known bool) {
	return v.Agreed.config().CallIdempotency(service, method, path)
}

// DefaultVersion returns the version of a model for requests that name none, or "" if any version will do.
func (v *View) DefaultVersion(model string) string {
	for _, m := range v.Agreed.config().Models {
		if m.Name == model && v.serves(fleet.Target{Kind: fleet.KindEngine, Name: model, Version: m.Version}) {
			return m.Version
		}
	}
	return ""
}

// serves reports whether any server that accepts new work has the target. During a change of version, the old one stays
// in use until a server has loaded the new one.
func (v *View) serves(target fleet.Target) bool {
	for _, i := range v.Candidates(target) {
		if server := &v.Servers[i]; server.ExclusionReason == "" && server.Serves(target) {
			return true
		}
	}
	return false
}

// Reasons why a server receives no new work, besides its withdrawal by a release note.
const (
	reasonNoSession = "no live session to its agent"
	reasonDraining  = "leaving"
)

// exclusionReason returns why a server receives no new work, or "".
func (s *state) exclusionReason(srv *server) string {
	if newestLive(srv.sessions) == nil {
		return reasonNoSession
	}
	if srv.load.Phase == fleet.PhaseDraining {
		return reasonDraining
	}
	return s.agreed.exclusionReason(srv.announcement.Server)
}

// view builds the view from the control state.
func (s *state) view(now time.Time) *View {
	s.changed, s.publishNow = false, false
	v := &View{
		Agreed: s.agreed,

		AgentRevision:  s.agentRevision,
		Representative: s.members.detector.Representative() == s.config.Instance,

		sessions:        make(map[fleet.ServerID]transport.Session, len(s.servers)),
		announcedModels: make(map[fleet.ServerID][]fleet.Model, len(s.servers)),
		peers:           make(map[fleet.DataCentre][]transport.Session),
		remoteTargets:   make(map[target]bool, len(s.remoteTargets)),
	}
	snapshot := &fleet.Snapshot{
		Revision:   s.agreed.Revision,
		DataCentre: s.config.DataCentre,
		Evacuated:  s.agreed.Evacuated[s.config.DataCentre],
		Instances:  s.members.detector.InstanceCount(),
		Servers:    make([]fleet.Server, 0, len(s.servers)),
	}
	for t := range s.remoteTargets {
		v.remoteTargets[t] = true
	}
	for id, srv := range s.servers {
		if session := newestLive(srv.sessions); session != nil {
			v.sessions[id] = session
		}
		announcement := srv.announcement
		v.announcedModels[id] = announcement.Models
		announcement.Models = s.agreed.offeredModels(announcement.Models)
		snapshot.Servers = append(snapshot.Servers, fleet.Server{
			Announcement:    announcement,
			Load:            srv.load,
			ExclusionReason: s.exclusionReason(srv),
			Weight:          s.weight(&announcement),
			Counter:         srv.counter,
		})
	}
	for _, p := range s.peers {
		session := newestLive(p.sessions)
		if session == nil {
			continue
		}
		dataCentre := p.hello.DataCentre
		v.peers[dataCentre] = append(v.peers[dataCentre], session)
		if now.Sub(p.summaryReceivedAt) <= summaryMaxAge && !s.agreed.Evacuated[dataCentre] {
			snapshot.RemoteSummaries = append(snapshot.RemoteSummaries, p.summary...)
		}
	}
	v.Snapshot = snapshot.Build()
	return v
}
