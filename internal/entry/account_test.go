package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/account"
	"github.com/banyanfront/banyanfront/internal/problem"
	"github.com/banyanfront/banyanfront/internal/storage/faultfs"
)

const testNote = `{"number": 7, "author": "marta", "models": {"add": [{"name": "modelo-vidrio", "version": "7"}]}}`

// Guards against decisions that leave no trace in the account, against a restart that replays the log into the account a
// second time, and against a disk failure that operators do not see.
func TestAccountHoldsDecisions(t *testing.T) {
	log.SetHandler(discard.Default)
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
		is.Equal(n.operate(t, http.MethodPost, "/v1/notes", testNote, &answer), http.StatusOK)
		is.True(answer.Accepted)
		is.Equal(n.operate(t, http.MethodPost, "/v1/notes", strings.Replace(testNote, "marta", "jorge", 1), nil), http.StatusOK)
		is.Equal(n.operate(t, http.MethodPost, "/v1/datacentres/norte/out", `{"author":"marta","reason":"cooling"}`, nil), http.StatusOK)
		is.NoErr(n.Gateway.Drain(t.Context()))
		for i := range 30 {
			call := httptest.NewRequest(http.MethodGet, "/services/pedidos/"+strconv.Itoa(i), nil)
			call.Header.Set("Authorization", "Bearer builders-key")
			n.Gateway.Handler().ServeHTTP(httptest.NewRecorder(), call)
			n.observer.CallEnded("builders", problem.New(problem.OutcomeUnknown, "the agent has restarted (boot %d): ask", i))
		}
		time.Sleep(2 * time.Second)
		c.disk.FailAt(1, faultfs.NoSpace)
		n.operate(t, http.MethodPost, "/v1/notes", strings.Replace(testNote, "7", "8", 1), nil)
		time.Sleep(2 * time.Second)
		page := n.page(t)
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
		is.Equal(n.operate(t, http.MethodGet, "/v1/account?since=yesterday", "", nil), http.StatusBadRequest)

		c.stop("norte-1", false)
		c.disk.Restart()
		n = c.start("norte-1")
		time.Sleep(10 * time.Second)
		is.Equal(n.NotReady(), "")
		page = n.page(t)
		is.True(strings.Contains(page, "disk works again: norte-1"))
		is.Equal(strings.Count(page, "release note accepted: note 7"), 1)
		is.Equal(strings.Count(page, "data centre taken out"), 2) // what happened, and what is still not right
		c.stopAll()
	})
}
