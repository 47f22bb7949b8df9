package directory

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/registry"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// updatesReceiver is the entry instance's side of its sessions; it keeps what the control instances send.
type updatesReceiver struct {
	transport.Handler
	mu      sync.Mutex
	states  []*protocol.State
	servers map[string]bool
}

func (r *updatesReceiver) MessageReceived(_ transport.Session, m protocol.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := m.(type) {
	case *protocol.State:
		r.states = append(r.states, m)
	case *protocol.RelayedAnnouncements:
		for _, s := range m.Servers {
			r.servers[s.Announcement.Server] = true
		}
	}
}

func (r *updatesReceiver) SessionOpened(transport.Session)                 {}
func (r *updatesReceiver) StateChanged(transport.Session, transport.State) {}

// answer returns the answer to a question, or nil.
func (r *updatesReceiver) answer(question uint64) *protocol.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.states {
		if s.Confirm == question {
			return s
		}
	}
	return nil
}

func (r *updatesReceiver) newestIndex() (newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.states {
		newest = max(newest, s.Index)
	}
	return newest
}

func (r *updatesReceiver) countServers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.servers)
}

// Guards against a control instance that confirms a state as the newest one though a majority may have agreed on another: an entry
// instance denies requests on its word.
func TestOnlyAMajorityConfirmsAState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newControlFleet(t, 3)
		defer f.stopAll()
		f.startFounders("a", "b", "c")
		time.Sleep(5 * time.Second)
		is.NoErr(f.commit(1))
		r := &updatesReceiver{servers: map[string]bool{}}
		survivor := f.connectEntry(f.nodes["a"], "entry", r)
		ask := func(question, index uint64) *protocol.State {
			is.NoErr(survivor.Send(&protocol.State{Index: index, Request: true, Confirm: question}))
			time.Sleep(2 * time.Second)
			return r.answer(question)
		}
		answer := ask(1, 0)
		is.True(answer != nil && len(answer.Snapshot) > 0)
		first := answer.Index
		answer = ask(2, first)
		is.True(answer != nil && answer.Report && answer.Index == first)
		is.NoErr(f.commit(2))
		answer = ask(3, first)
		is.True(answer != nil && answer.Index > first && len(answer.Snapshot) > 0)
		f.crash(f.nodes["b"])
		f.crash(f.nodes["c"])
		is.Equal(ask(4, answer.Index), nil)
	})
}

// Guards against an entry instance that is never told of a change because the one message about it was dropped under load.
func TestDroppedNoticeOfAStateIsMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, n := startOneControl(t)
		defer f.stopAll()
		r := &updatesReceiver{servers: map[string]bool{}}
		f.connectEntry(n, "entry", r)
		time.Sleep(time.Second)
		n.post(func(time.Time) { time.Sleep(2 * time.Second) }) // the loop is busy
		time.Sleep(time.Millisecond)
		for range eventQueueLength {
			n.post(func(time.Time) {})
		}
		is.NoErr(f.commit(1))
		index := n.State().Index
		is.True(r.newestIndex() < index)
		time.Sleep(4 * time.Second)
		is.Equal(r.newestIndex(), index)
	})
}

// Guards against servers that stay unknown to an entry instance because the announcements of some have long texts, so that all of
// them together do not fit into one message.
func TestManyLongAnnouncementsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, n := startOneControl(t)
		defer f.stopAll()
		const servers = 1200
		long := strings.Repeat("n", 240)
		for i := range servers {
			a := registry.Announcement{Server: fmt.Sprint("i-", i, long), Service: "s" + long, Address: "a" + long, DataCentre: "z" + long, Slots: 1,
				StartedAtMillis: 1, Sequence: 1, Group: registry.Group{Name: "g" + long, Size: 1}}
			is.NoErr(a.Validate())
			n.HandleAnnouncement(a)
		}
		before := &updatesReceiver{servers: map[string]bool{}}
		f.connectEntry(n, "entry", before)
		time.Sleep(2 * time.Second)
		is.Equal(before.countServers(), servers)
		for i := range servers {
			n.HandleAnnouncement(registry.Announcement{Server: fmt.Sprint("j-", i, long), Service: "s" + long, Address: "b" + long, DataCentre: "z" + long,
				Slots: 1, StartedAtMillis: 1, Sequence: 1, Group: registry.Group{Name: "g" + long, Size: 1}})
		}
		time.Sleep(2 * time.Second)
		is.Equal(before.countServers(), 2*servers)
	})
}
