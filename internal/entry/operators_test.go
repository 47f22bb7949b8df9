package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/release"
	"github.com/banyanfront/banyanfront/decide/statemachine"
	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

const testNote = `{"number": 7, "author": "marta", "models": {"add": [{"name": "modelo-vidrio", "version": "7"}]}}`

// Guards against decisions and disk failures that are missing in the account, and against a restart that replays the log
// into the account a second time.
func TestAccountListsDecisions(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		var err error
		c.files, err = account.Folder(folder)
		is.NoErr(err)
		n := c.start("norte-1")
		time.Sleep(10 * time.Second)
		is.Equal(n.NotReady(), "")
		var answer NoteAnswer
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/notes", testNote, &answer), http.StatusOK)
		is.True(answer.Accepted)
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/notes", strings.Replace(testNote, "marta", "jorge", 1), nil), http.StatusOK)
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/datacentres/norte/out", `{"author":"marta","reason":"cooling"}`, nil), http.StatusOK)
		is.NoErr(n.Gateway.Drain(t.Context()))
		for i := range 30 {
			call := httptest.NewRequest(http.MethodGet, "/services/pedidos/"+strconv.Itoa(i), nil)
			call.Header.Set("Authorization", "Bearer builders-key")
			n.Gateway.Handler().ServeHTTP(httptest.NewRecorder(), call)
			n.observer.CallEnded("builders", problem.New(problem.OutcomeUnknown, "the agent has restarted (boot %d): ask", i))
		}
		time.Sleep(2 * time.Second)
		c.disk.FailAt(1, faultfs.NoSpace)
		n.sendOperatorRequest(t, http.MethodPost, "/v1/notes", strings.Replace(testNote, "7", "8", 1), nil)
		time.Sleep(2 * time.Second)
		page := n.accountPage(t)
		for _, want := range []string{
			"release note accepted: note 7 - by marta, digest ",
			"release note refused: note 7 - by jorge: note 7 by marta",
			"data centre taken out: norte - by marta, term 1: cooling",
			"requests refused as not run, 30 times: builders - this entry instance is stopping",
			"outcome of requests unknown, 30 times: builders - the agent has restarted",
			"disk failed: norte-1 - ",
		} {
			if !strings.Contains(page, want) {
				t.Errorf("the page lacks %q:\n%s", want, page)
			}
		}
		is.Equal(n.sendOperatorRequest(t, http.MethodGet, "/v1/account?since=yesterday", "", nil), http.StatusBadRequest)

		c.stop("norte-1", false)
		c.disk.Restart()
		n = c.start("norte-1")
		time.Sleep(10 * time.Second)
		is.Equal(n.NotReady(), "")
		page = n.accountPage(t)
		is.True(strings.Contains(page, "disk works again: norte-1"))
		is.Equal(strings.Count(page, "release note accepted: note 7"), 1)
		is.Equal(strings.Count(page, "data centre taken out"), 2) // as an event and as an open condition
		c.stopAll()
	})
}

// Guards against a log record for each request, new uses that queue behind known ones, and uses that are lost when the
// group does not answer.
func TestUseProposalsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := newUseTracker(identity{dataCentre: "norte"})
	proposed, unavailable := [][]release.Use{}, false
	propose := func(_ context.Context, _ string, c statemachine.Command) (*statemachine.Result, error) {
		if unavailable {
			return nil, errors.New("no majority")
		}
		data, err := protocol.EncodeCommand(c)
		is.NoErr(err)
		is.True(len(data)*330/60*4 < 28<<10) // bytes per second that a leader sends to four other voters for 330 instances
		proposed = append(proposed, c.(*statemachine.RegisterUses).Uses)
		return &statemachine.Result{}, nil
	}
	now := time.Unix(1e9, 0)
	useForMinute := func(servers ...string) {
		for range 100 {
			for _, server := range servers {
				tracker.record(now, useKey{server: fleet.ServerID(server), organisation: "builders", name: "modelo-vidrio"})
			}
		}
		tracker.propose(t.Context(), now, propose)
		now = now.Add(time.Minute)
	}
	for range 25 {
		useForMinute("a")
	}
	is.Equal(len(proposed), 3) // at the start, after 10 and after 20 minutes
	is.Equal(proposed[1][0].Last-proposed[0][0].Last, int64(useRefreshAge/time.Second))

	unavailable = true
	useForMinute("b")
	unavailable = false
	useForMinute()
	is.Equal(len(proposed), 4)
	is.Equal(proposed[3][0].Server, fleet.ServerID("b"))

	now = now.Add(time.Hour)
	servers := []string{"a", "b"}
	for i := range maxProposedUses {
		servers = append(servers, fmt.Sprint("new-engine-with-a-long-name-", i))
	}
	useForMinute(servers...)
	is.Equal(len(proposed[4]), maxProposedUses)
	for _, use := range proposed[4] {
		is.True(use.Server != "a" && use.Server != "b")
	}
	for i := range 2 * maxTrackedUses {
		tracker.record(now, useKey{server: fleet.ServerID(fmt.Sprint(i))})
	}
	is.True(len(tracker.times) <= maxTrackedUses)
}

// Guards against dependents that are hidden from operators: recorded uses must be in the answer, in the impact of a note and
// cause the refusal of an outage, and an instance without the records must name one that has them.
func TestDependentsShowInImpact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("norte-1")
		other := c.start("norte-2")
		time.Sleep(10 * time.Second)
		const added = `{"number": 1, "author": "marta", "models": {"add": [{"name": "modelo-vidrio"}]}, "servers": {"add": [
			{"server": "engine-1", "dataCentre": "norte", "kind": "engine", "models": [{"name": "modelo-vidrio"}]}]}}`
		const withdrawn = `{"number": 2, "author": "marta", "servers": {"withdraw": ["engine-1"]}}`
		var answer NoteAnswer
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/notes", added, &answer), http.StatusOK)
		is.True(answer.Accepted)
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/notes/check", withdrawn, &answer), http.StatusOK)
		is.True(slices.ContainsFunc(answer.Findings, func(f release.Finding) bool { return f.Code == release.ShortRecord }))
		other.observer.ServerUsed("builders", fleet.Target{Name: "modelo-vidrio", Version: "7"}, "engine-1")
		time.Sleep(2 * useProposalInterval)

		var dependents Dependents
		is.Equal(n.sendOperatorRequest(t, http.MethodGet, "/v1/dependents/engine-1", "", &dependents), http.StatusOK)
		is.Equal(len(dependents.Uses), 1)
		is.Equal(dependents.Uses[0].Organisation, fleet.Organisation("builders"))
		is.True(!dependents.RecordedSince.IsZero())
		is.Equal(other.sendOperatorRequest(t, http.MethodGet, "/v1/dependents/engine-1", "", nil), http.StatusBadRequest)
		is.Equal((&operators{core: other.Core}).missingRecordsDetail(),
			"this instance holds no records of uses and notes: ask norte-1 with --operators")

		answer = NoteAnswer{}
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/notes/check", withdrawn, &answer), http.StatusOK)
		is.True(!answer.Accepted) // the model is used and would have no server
		is.Equal(len(answer.Impact.Cuts[0].Uses), 1)
		answer = NoteAnswer{}
		is.Equal(other.sendOperatorRequest(t, http.MethodPost, "/v1/notes/check", withdrawn, &answer), http.StatusOK)
		is.True(answer.Detail != "") // this instance has no records of uses
		is.Equal(len(answer.Findings), 0)
		c.stopAll()
	})
}

// Guards against a status with revisions from the start of a session: an instance that missed a change would appear up to
// date, or one that applied it outdated. Also guards against loss of the note history at a restart.
func TestStatusShowsAppliedRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		n := c.start("norte-1")
		c.start("norte-2")
		c.start("norte-3")
		time.Sleep(10 * time.Second)
		go c.pause("norte-3", 20*time.Second)
		synctest.Wait()
		is.Equal(n.sendOperatorRequest(t, http.MethodPost, "/v1/notes", testNote, nil), http.StatusOK)
		time.Sleep(13 * time.Second) // the maximum time until all instances have applied a change
		newest := func() map[fleet.InstanceID]bool {
			var status Status
			is.Equal(n.sendOperatorRequest(t, http.MethodGet, "/v1/status", "", &status), http.StatusOK)
			result := make(map[fleet.InstanceID]bool)
			for _, r := range status.Instances {
				result[r.Instance] = r.Newest
			}
			return result
		}
		is.Equal(newest(), map[fleet.InstanceID]bool{"norte-1": true, "norte-2": true, "norte-3": false})
		time.Sleep(20 * time.Second) // the pause has ended 13 s before
		is.Equal(newest(), map[fleet.InstanceID]bool{"norte-1": true, "norte-2": true, "norte-3": true})

		c.stop("norte-1", true)
		c.disk.Restart()
		n = c.start("norte-1")
		time.Sleep(10 * time.Second)
		var lines []NoteLine
		is.Equal(n.sendOperatorRequest(t, http.MethodGet, "/v1/notes/history", "", &lines), http.StatusOK)
		is.Equal(len(lines), 1)
		is.Equal(lines[0].Number, uint64(7))
		is.Equal(lines[0].Author, "marta")
		c.stopAll()
	})
}
