package directory

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/quarantine"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// partsReceiver is the entry instance's side of its sessions; it counts the messages received, and keeps what they tell.
type partsReceiver struct {
	transport.Handler
	mu       sync.Mutex
	tracker  *quarantine.Tracker
	messages int
}

func (r *partsReceiver) MessageReceived(_ transport.Session, m protocol.Message) {
	if parts, ok := m.(*protocol.PromptParts); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.messages++
		ApplyPromptParts(time.Now(), r.tracker, parts)
	}
}

func (r *partsReceiver) SessionOpened(transport.Session)                 {}
func (r *partsReceiver) StateChanged(transport.Session, transport.State) {}

func (r *partsReceiver) get(part string) (quarantine.Suspicion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Get("s", part)
}

// Guards against entry instances that learn nothing of the engines that ended at others: through any control instance that is
// left, and also those that start later; and against reports that are relayed again and again.
func TestEntryInstancesLearnOfPartsThatEndEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControlFleet(t, 3)
		defer f.stopAll()
		addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
		f.startFounders(addresses...)
		time.Sleep(3 * time.Second)
		connect := func(instance string, to ...string) (*partsReceiver, []transport.Session) {
			r := &partsReceiver{tracker: quarantine.New()}
			var sessions []transport.Session
			for _, address := range to {
				s, err := f.connect(&controlNode{}, address, protocol.Hello{Version: protocol.Version, Instance: "entry"}, r)
				is.NoErr(err)
				sessions = append(sessions, s)
			}
			return r, sessions
		}
		sender, sessions := connect("a", addresses...)
		var others []*partsReceiver
		for range 3 {
			r, _ := connect("b", addresses...)
			others = append(others, r)
		}
		send := func(sessions []transport.Session, m *protocol.PromptParts) {
			for range 2 {
				for _, s := range sessions {
					is.NoErr(s.Send(m))
				}
			}
			time.Sleep(time.Second)
		}
		ended := func(server string) *protocol.PromptParts {
			return &protocol.PromptParts{Service: "s", Ended: &protocol.EndedEngine{Server: server, StartedAtMillis: 1, Parts: []string{"p", "q"}}}
		}
		send(sessions, ended("i-1"))
		for _, r := range others {
			s, suspected := r.get("p")
			is.True(suspected)
			is.Equal(s.Ends, 1)
			is.Equal(r.messages, len(addresses)) // once from each
		}
		is.Equal(sender.messages, 0)
		f.crash(f.nodes[addresses[0]])
		f.crash(f.nodes[addresses[1]])
		send(sessions[2:], ended("i-2"))
		for _, r := range others {
			s, _ := r.get("q")
			is.Equal(len(s.Engines), 2)
		}
		send(sessions[2:], &protocol.PromptParts{Service: "s", Answered: []string{"q"}})
		send(sessions[2:], &protocol.PromptParts{Service: "s", Suspected: []protocol.PartSuspicion{{Part: "p", Ends: 2, RemainingMS: 60_000,
			Quarantines: 1, Engines: []quarantine.Engine{{Server: "i-1", StartedAtMillis: 1}, {Server: "i-2", StartedAtMillis: 1}}}}})
		late, _ := connect("c", addresses[2])
		time.Sleep(time.Second)
		for _, r := range append(others, late) {
			_, suspected := r.get("q")
			is.True(!suspected)
			s, _ := r.get("p")
			is.True(s.InForce(time.Now()))
			is.True(!s.InForce(time.Now().Add(time.Minute)))
		}
	})
}

// Guards against entry instances that do not learn of a quarantine that the control instance has begun: with messages that take
// different times, they may count fewer ends than it does.
func TestEntryInstancesLearnOfQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d := startOneControl(t)
		defer f.stopAll()
		r := &partsReceiver{tracker: quarantine.New()}
		f.connectEntry(d, "a", r)
		sender := f.connectEntry(d, "b", &partsReceiver{tracker: quarantine.New()})
		part := quarantine.RequestPart("d")
		for n := range 3 {
			r.mu.Lock()
			r.tracker = quarantine.New() // has not counted the ends before
			r.mu.Unlock()
			is.NoErr(sender.Send(&protocol.PromptParts{Service: "s", Ended: &protocol.EndedEngine{Server: fmt.Sprint("i-", n), StartedAtMillis: 1, Parts: []string{part}}}))
			time.Sleep(100 * time.Millisecond)
		}
		s, _ := r.get(part)
		is.True(s.InForce(time.Now()))
	})
}

// Guards against suspicions that do not fit into one message: the session would be lost with it.
func TestManySuspicionsFitIntoMessages(t *testing.T) {
	is := is.New(t)
	tracker, now := quarantine.New(), time.Now()
	for n := range 3000 {
		for e := range 16 {
			engine := quarantine.Engine{Server: fmt.Sprint("i-0123456789abcdef", e), StartedAtMillis: now.UnixMilli()}
			tracker.RecordEnd(quarantine.End{At: now, Service: "s", Engine: engine, Parts: []string{fmt.Sprint("part", n)}})
		}
	}
	other, known := quarantine.New(), 0
	for _, m := range EncodePromptParts(now, tracker.Suspicions()) {
		frame, err := protocol.Encode(0, m)
		is.NoErr(err)
		is.True(len(frame) < protocol.MaxMessageBytes/2)
		ApplyPromptParts(now, other, m)
		known += len(m.Suspected)
	}
	is.Equal(known, 3000)
	is.Equal(len(other.Suspicions()), 3000)
}

// Guards against a request that ends a lock-step group a second time because only the instance that saw the first end holds it.
func TestCostlyEndHoldsItsRequestsEverywhere(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	request := quarantine.RequestPart("d1")
	seen, told := quarantine.New(), quarantine.New()
	ended := &protocol.PromptParts{Service: "s", Ended: &protocol.EndedEngine{Server: "i-1", StartedAtMillis: 1, Parts: []string{"p", request}, AtStake: 400}}
	news, held := ApplyPromptParts(now, seen, ended)
	is.Equal(held, []string{request})
	_, held = ApplyPromptParts(now, told, news)
	is.Equal(held, []string{request})
	for _, tracker := range []*quarantine.Tracker{seen, told} {
		part, remaining := tracker.Quarantined(now, "other", []string{"p", request})
		is.Equal(part, request)
		is.True(remaining > 0)
		part, _ = tracker.Quarantined(now, "s", []string{"p"})
		is.Equal(part, "") // other requests have it, too
	}
	started := quarantine.New() // an instance that starts later
	for _, m := range EncodePromptParts(now, seen.Suspicions()) {
		ApplyPromptParts(now, started, m)
	}
	part, _ := started.Quarantined(now, "s", []string{request})
	is.Equal(part, request)
}
