package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// recordingSession is a session that records the messages sent.
type recordingSession struct {
	hello           protocol.Hello
	queueFull       bool // Send fails
	sent            []protocol.Message
	revisionUpdates []uint64 // of rosters without addresses
}

var _ transport.Session = (*recordingSession)(nil)

func (session *recordingSession) Peer() protocol.Hello   { return session.hello }
func (session *recordingSession) State() transport.State { return transport.StateLive }
func (session *recordingSession) GoAway(string)          {}
func (session *recordingSession) Close(string)           {}
func (session *recordingSession) Done() <-chan struct{}  { return nil }
func (session *recordingSession) Open(context.Context, *protocol.Open) (transport.Stream, error) {
	return nil, errors.New("no streams")
}
func (session *recordingSession) Send(m protocol.Message) error {
	if session.queueFull {
		return errors.New("the queue is full")
	}
	session.sent = append(session.sent, m)
	return nil
}

// rosters returns the rosters with addresses that were sent since the last call. Rosters without addresses only report a
// newer revision, which is added to revisionUpdates.
func (session *recordingSession) rosters() (rosters []*protocol.Roster) {
	for _, m := range session.sent {
		r, ok := m.(*protocol.Roster)
		switch {
		case ok && len(r.Addresses) > 0:
			rosters = append(rosters, r)
		case ok:
			session.revisionUpdates = append(session.revisionUpdates, r.Revision)
		}
	}
	session.sent = nil
	return rosters
}

// harness runs a control state in virtual time.
type harness struct {
	*state
	now    time.Time
	agents []*recordingSession
}

func newHarness(agents int) *harness {
	h := &harness{state: newState(Config{Instance: "norte-1", DataCentre: "norte", Address: "10.0.0.1:7070"}), now: time.Now()} // start of the virtual time; the failure detector reads the clock for its own
	for i := range agents {
		id := fmt.Sprintf("engine-%d", i)
		session := &recordingSession{hello: protocol.Hello{Instance: fleet.InstanceID(id), Agent: true}}
		h.agents = append(h.agents, session)
		h.announce(session)
		h.applyLoad(fleet.Load{Server: fleet.ServerID(id), Incarnation: 1, Sequence: 1, Limit: 32, Running: 8, Phase: fleet.PhaseServing}, h.now)
	}
	return h
}

func (h *harness) announce(session *recordingSession) {
	h.applyAnnouncement(session, fleet.Announcement{Server: fleet.ServerID(session.hello.Instance), Incarnation: 1, DataCentre: "norte", Capacity: 32,
		Models: []fleet.Model{{Name: "model"}}}, h.now)
}

// peer opens a session to another entry instance.
func (h *harness) peer(id fleet.InstanceID, dataCentre fleet.DataCentre) *recordingSession {
	session := &recordingSession{hello: protocol.Hello{Instance: id, DataCentre: dataCentre, Address: string(id) + ":7070"}}
	h.sessionOpened(session, h.now)
	return session
}

// takeOver advances the time until the instance represents its data centre.
func (h *harness) takeOver(t *testing.T) {
	for range 100 {
		if h.members.detector.Representative() == "norte-1" {
			return
		}
		h.run(tickInterval)
	}
	t.Fatal("the instance has not become the representative of its data centre")
}

func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tickInterval)
		h.tick(h.now)
		h.tickMembers(h.now, nil)
	}
}

// setAgreedState applies an agreed state as Loop.SetAgreedState does.
func (h *harness) setAgreedState(agreed AgreedState) {
	h.agreed = agreed
	for _, srv := range h.servers {
		h.sendRoster(srv)
	}
}

// Guards against resending unchanged rosters, which used 40 % of an entry instance's budget at 4,300 changes a day, and
// against agents that get no repeated roster.
func TestUnchangedRosterIsNotSent(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.run(time.Second)
	h.agents[0].rosters()
	for revision := range uint64(100) {
		h.setAgreedState(AgreedState{Revision: revision + 1})
		h.run(time.Second)
	}
	is.Equal(len(h.agents[0].rosters()), 0)
	is.Equal(len(h.agents[0].revisionUpdates), 100) // the only instance reports each revision to the agent, without addresses
	is.Equal(h.agents[0].revisionUpdates[99], uint64(100))
	h.run(rosterInterval)
	repeated := h.agents[0].rosters()
	is.Equal(len(repeated), 1)
	is.Equal(repeated[0].Revision, uint64(100))
}

// Guards against an agent that does not receive a change at once: the withdrawal or return of its server, a newer fencing
// token, or an added or removed entry instance.
func TestRosterChangeIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.run(time.Second)
	h.agents[0].rosters()
	h.agents[1].rosters()

	withdrawn := &release.Config{WithdrawnServers: []release.Withdrawal{{Server: "engine-0", Note: 3}}}
	h.setAgreedState(AgreedState{Revision: 7, Config: withdrawn})
	sent := h.agents[0].rosters()
	is.Equal(len(sent), 1)
	is.True(sent[0].Draining)
	is.Equal(sent[0].Revision, uint64(7))
	is.Equal(len(h.agents[1].rosters()), 0)

	h.setAgreedState(AgreedState{Revision: 8})
	sent = h.agents[0].rosters()
	is.Equal(len(sent), 1)
	is.True(!sent[0].Draining)

	h.setAgreedState(AgreedState{Revision: 9, Fencing: 5})
	is.Equal(len(h.agents[1].rosters()), 1)

	other := h.peer("norte-2", "norte")
	h.run(tickInterval)
	sent = h.agents[1].rosters()
	is.Equal(len(sent), 1)
	is.Equal(len(sent[0].Addresses), 2)
	h.sessionChanged(other, transport.StateClosed, h.now)
	h.run(15 * time.Second) // membership removes the instance after 3 s of suspicion and 8 s more
	sent = h.agents[1].rosters()
	is.Equal(len(sent), 1)
	is.Equal(len(sent[0].Addresses), 1)
}

// Guards against an agent that does not get the current roster because its queue was full or it has opened another
// session.
func TestMissedRosterIsRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.run(time.Second)
	agent := h.agents[0]
	agent.rosters()
	agent.queueFull = true
	h.setAgreedState(AgreedState{Revision: 2, Fencing: 5})
	h.run(time.Second)
	agent.queueFull = false
	h.run(tickInterval)
	sent := agent.rosters()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Fencing, uint64(5))
	h.run(time.Second)
	is.Equal(len(agent.rosters()), 0)

	second := &recordingSession{hello: agent.hello}
	h.announce(second)
	is.Equal(len(second.rosters()), 1)
}

// summaries returns the summaries that were sent since the last call.
func (session *recordingSession) summaries() (summaries []*protocol.Summary) {
	for _, m := range session.sent {
		if summary, ok := m.(*protocol.Summary); ok {
			summaries = append(summaries, summary)
		}
	}
	session.sent = nil
	return summaries
}

// load applies a load report of an agent's server.
func (h *harness) load(agent int, sequence uint64, running int, phase fleet.Phase) {
	h.applyLoad(fleet.Load{Server: fleet.ServerID(h.agents[agent].hello.Instance), Incarnation: 1, Sequence: sequence, Limit: 32,
		Running: running, Phase: phase}, h.now)
}

// Guards against resending unchanged summaries every second, which cost the sender a third of its budget, and against a
// data centre whose summary expires although nothing has failed.
func TestUnchangedSummaryIsRefreshed(t *testing.T) {
	is := is.New(t)
	h := newHarness(10)
	remote := h.peer("sur-1", "sur")
	h.run(2 * time.Second)
	remote.summaries()
	h.run(60 * time.Second)
	is.Equal(len(remote.summaries()), int(60*time.Second/summaryRefresh))
	is.True(summaryMaxAge > 3*summaryRefresh) // two summaries may be lost
}

// Guards against changes that other data centres receive too late: fewer free slots, a draining server, no free slot
// left. Also guards against an instance that gets no summary when it has just connected.
func TestSummaryChangeIsSentWithinASecond(t *testing.T) {
	is := is.New(t)
	h := newHarness(10) // 240 free slots
	remote := h.peer("sur-1", "sur")
	h.run(5 * time.Second)
	remote.summaries()
	sentWithinInterval := func() []*protocol.Summary {
		h.run(summaryInterval)
		return remote.summaries()
	}

	h.load(0, 2, 32, fleet.PhaseServing) // 24 of 240 slots fewer: less than a step
	is.Equal(len(sentWithinInterval()), 0)
	h.load(1, 2, 16, fleet.PhaseServing)
	sent := sentWithinInterval()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Targets[0].Free, 208)
	h.load(1, 3, 16, fleet.PhaseDraining)
	sent = sentWithinInterval()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Targets[0].Servers, 9)
	for i := range h.agents {
		h.load(i, 9, 32, fleet.PhaseServing)
	}
	sent = sentWithinInterval()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Targets[0].Free, 0)
	h.load(3, 10, 31, fleet.PhaseServing)
	is.Equal(sentWithinInterval()[0].Targets[0].Free, 1)

	newPeer := h.peer("este-1", "este")
	h.run(summaryInterval)
	is.Equal(len(newPeer.summaries()), 1)
}

// Guards against an instance that takes over from the representative of its data centre and sends no summary until its
// first refresh, and against other data centres that count the free slots of both in the meantime.
func TestSummaryIsSentAfterTakeover(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	remote := h.peer("sur-1", "sur")
	lower := h.peer("norte-0", "norte")
	h.run(3 * time.Second)
	is.Equal(len(remote.summaries()), 0)
	h.sessionChanged(lower, transport.StateClosed, h.now)
	h.takeOver(t)
	h.run(summaryInterval)
	is.Equal(len(remote.summaries()), 1)
	lower = &recordingSession{hello: protocol.Hello{Instance: "norte-0", DataCentre: "norte", Address: "norte-0:7070", Incarnation: 1}}
	h.sessionOpened(lower, h.now)
	h.run(summaryInterval)
	remote.summaries()
	h.sessionChanged(lower, transport.StateClosed, h.now)
	h.takeOver(t)
	h.run(summaryInterval)
	is.Equal(len(remote.summaries()), 1)

	next := h.peer("sur-2", "sur")
	targets := []fleet.Summary{{DataCentre: "sur", Name: "model", Servers: 1, Free: 10}}
	h.applySummary(remote, &protocol.Summary{Targets: targets}, h.now)
	h.applySummary(next, &protocol.Summary{Targets: targets}, h.now)
	is.Equal(h.view(h.now).RemoteSummaries, targets)
}

// Guards against agents to which every instance of the data centre reports each revision, and against ones to which none
// does.
func TestOneInstanceInformsEachAgent(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.peer("norte-2", "norte")
	other := newState(Config{Instance: "norte-2", DataCentre: "norte", Address: "norte-2:7070"})
	first := &recordingSession{hello: protocol.Hello{Instance: "norte-1", DataCentre: "norte", Address: "10.0.0.1:7070"}}
	other.sessionOpened(first, h.now)
	is.Equal(other.localAddresses(), h.localAddresses())
	count := 0
	for n := range 100 {
		id := fleet.ServerID(fmt.Sprintf("engine-%d", n))
		is.True(h.informsAgent(id, h.localAddresses()) != other.informsAgent(id, other.localAddresses()))
		if h.informsAgent(id, h.localAddresses()) {
			count++
		}
	}
	is.True(count > 30 && count < 70)
}
