package control

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// fakeSession is a session whose state the test sets.
type fakeSession struct {
	transport.Session
	state transport.State
}

func (s *fakeSession) State() transport.State { return s.state }

// Guards against a server that is excluded from or returned to service without an entry in the account, and against a
// graceful stop or a withdrawal that the page lists as a problem.
func TestAccountRecordsServerStatusChanges(t *testing.T) {
	is := is.New(t)
	journal := account.NewQueue(account.New("norte-1", 0))
	s := newState(Config{Account: journal})
	now := time.Unix(1e9, 0)
	sessions := make(map[fleet.ServerID]*fakeSession)
	for _, id := range []fleet.ServerID{"crashed", "stopped", "withdrawn", "down"} {
		sessions[id] = &fakeSession{state: transport.StateLive}
		s.servers[id] = &server{announcement: fleet.Announcement{Server: id, Incarnation: 1}, load: fleet.Load{Sequence: 1, Limit: 2},
			sessions: []transport.Session{sessions[id]}}
	}
	step := func(change func()) {
		change()
		now = now.Add(2 * time.Minute)
		s.recordServerStatuses(now)
		s.recordServerStatuses(now) // no change, no entry
	}
	step(func() {})
	step(func() { sessions["crashed"].state = transport.StateClosed })
	step(func() { s.servers["down"].load.Limit = 0 })
	step(func() { s.servers["stopped"].load.Phase = fleet.PhaseDraining })
	step(func() { sessions["stopped"].state = transport.StateClosed })
	step(func() {
		s.agreed.Config = &release.Config{WithdrawnServers: []release.Withdrawal{{Server: "withdrawn", Note: 9}}}
	})
	step(func() { sessions["withdrawn"].state = transport.StateClosed })

	page := journal.Report(time.Unix(1e9, 0), now)
	for _, want := range []string{
		"server announced itself, 4 times",
		"server lost: crashed - no live session to its agent",
		"server lost: down - its agent reports that the server does not answer",
		"graceful stop started: stopped",
		"graceful stop ended: stopped",
		"server withdrawn: withdrawn - withdrawn by release note 9",
		"2 things are still not right", // crashed and down
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q:\n%s", want, page)
		}
	}
	step(func() {
		s.servers["crashed"].announcement.Incarnation = 2
		sessions["crashed"].state = transport.StateLive
	})
	step(func() { s.servers["down"].load.Limit = 1 })
	page = journal.Report(time.Unix(1e9, 0), now)
	is.True(strings.Contains(page, "server returned: crashed - its agent has started again"))
	is.True(strings.Contains(page, "server returned: down - its agent answers again"))
	is.True(strings.Contains(page, "Everything is right."))
}
