package account

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func at(minutes int) time.Time { return startTime.Add(time.Duration(minutes) * time.Minute) }

// Guards against an account page that omits events, actions or open conditions.
func TestReportShowsEventsActionsAndOpenConditions(t *testing.T) {
	is := is.New(t)
	j := New("norte-1", 0)
	j.Record(Entry{Time: at(-300), Kind: ServerLost, Subject: "engine-9", Reason: "agent silent"})
	j.Record(Entry{Time: at(5), Kind: ServerLost, Subject: "pedidos-2", Reason: "agent silent", Figures: map[string]float64{"in_flight": 3}})
	j.Record(Entry{Time: at(5), Kind: ServerLost, Subject: "pedidos-3", Reason: "agent silent", Figures: map[string]float64{"in_flight": 1}})
	j.Record(Entry{Time: at(6), Kind: RequestsRetried, Subject: "pedidos", Reason: "server lost", Figures: map[string]float64{"requests": 4}})
	j.Record(Entry{Time: at(90), Kind: ServerReturned, Subject: "pedidos-3", Reason: "new incarnation"})
	j.Record(Entry{Time: at(100), Kind: DataCentreEvacuated, Subject: "santa-fe", Reason: "cooling"})
	j.Record(Entry{Time: at(200), Kind: DataCentreRestored, Subject: "santa-fe"})
	want := `Account of norte-1 from 2026-12-03 22:00 to 2026-12-04 07:00 (UTC)
2 things are still not right.

What happened
  Dec 03 22:05  server lost, 2 times: pedidos-2, pedidos-3 - agent silent (in_flight 4)
  Dec 03 23:30  server returned: pedidos-3 - new incarnation
  Dec 03 23:40  data centre taken out: santa-fe - cooling
  Dec 04 01:20  data centre brought back: santa-fe

What the system did
  Dec 03 22:06  requests retried elsewhere: pedidos - server lost (requests 4)

Still not right, and the next step
  since Dec 03 17:00 (14 h 0 min)  server lost: engine-9 - agent silent
      next: look at its instance; if it is not to come back, withdraw it in a release note
  since Dec 03 22:05 (8 h 55 min)  server lost: pedidos-2 - agent silent (in_flight 3)
      next: look at its instance; if it is not to come back, withdraw it in a release note
`
	is.Equal(j.Report(startTime, at(540)), want)
	is.True(strings.Contains(New("x", 0).Report(startTime, at(1)), "Everything is right."))
}

// Guards against kinds without a title and conditions that no kind closes.
func TestEveryConditionCanEnd(t *testing.T) {
	closed := make(map[Kind]bool)
	for _, d := range descriptions {
		closed[d.closes] = true
	}
	for kind, d := range descriptions {
		if d.title == "" || (d.nextStep != "" && !closed[kind]) || (d.closes != "" && descriptions[d.closes].nextStep == "") {
			t.Errorf("%s: %+v", kind, d)
		}
	}
}

// Guards against a flapping server that fills the journal, and against unbounded growth of the journal.
func TestJournalIsBounded(t *testing.T) {
	is := is.New(t)
	j := New("x", 100)
	for i := range 6000 { // one entry each 100 ms for ten minutes
		j.Record(Entry{Time: startTime.Add(time.Duration(i) * 100 * time.Millisecond), Kind: ServerCold, Subject: "engine-1",
			Reason: strings.Repeat("é", 1000), Figures: map[string]float64{"nan": math.NaN(), "requests": 1}})
	}
	j.Flush(at(11))
	count := 0
	for _, e := range j.Entries(startTime) {
		count += max(e.Count, 1)
		is.True(len(e.Reason) <= maxReasonBytes)
	}
	is.Equal(count, 6000) // every occurrence is counted
	is.True(len(j.entries) <= 25)
	for i := range 10000 {
		j.Record(Entry{Time: at(20 + i), Kind: ServerAnnounced, Subject: fmt.Sprint(i)})
	}
	is.True(len(j.Entries(startTime)) <= 125)
	is.True(strings.Contains(j.Report(startTime, at(20000)), "are no longer in memory"))
	is.True(len(j.repeats) <= 2)
}

// Guards against loss of the account at a restart, unbounded growth on disk, and an account that is unreadable after a
// crash truncated a line.
func TestFilesSurviveRestart(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	open := func() (*Journal, int) {
		files, err := Folder(path)
		is.NoErr(err)
		j, skipped, err := Open("norte-1", 0, files, 10_000)
		is.NoErr(err)
		return j, skipped
	}
	j, _ := open()
	j.Record(Entry{Time: at(0), Kind: DiskFailed, Subject: "norte-2"})
	for i := range 100 {
		j.Record(Entry{Time: at(i), Kind: ServerAnnounced, Subject: fmt.Sprint("engine-", i)})
	}
	is.NoErr(j.Close(at(100)))
	file, err := os.OpenFile(filepath.Join(path, "account.jsonl"), os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = file.WriteString(`{"time":"2026-12-0`)
	is.NoErr(err)
	is.NoErr(file.Close())
	for round := range 3 {
		j, skipped := open()
		is.Equal(skipped, 1)
		is.Equal(len(j.Entries(startTime)), 101+round)
		j.Record(Entry{Time: at(150 + round), Kind: ServerAnnounced, Subject: "after the crash"})
		is.True(strings.Contains(j.Report(startTime, at(200)), "disk failed: norte-2"))
		is.NoErr(j.Close(at(200)))
	}
	j, _ = open()
	for i := range 2000 {
		j.Record(Entry{Time: at(300 + i), Kind: ServerAnnounced, Subject: fmt.Sprint("engine-", i)})
	}
	names, err := filepath.Glob(filepath.Join(path, "*"))
	is.NoErr(err)
	is.Equal(len(names), maxFiles)
	for _, name := range names {
		info, err := os.Stat(name)
		is.NoErr(err)
		is.True(info.Size() <= 10_000)
	}
}

type failingFiles struct{ fail bool }

func (f *failingFiles) Append(string, []byte) error {
	if f.fail {
		return errors.New("no space left on device")
	}
	return nil
}
func (f *failingFiles) Read(string) ([]byte, error) { return nil, fs.ErrNotExist }
func (f *failingFiles) Rename(string, string) error { return nil }
func (f *failingFiles) Close() error                { return nil }

// Guards against a full disk that stops the account in memory or is not reported.
func TestFullDiskIsReported(t *testing.T) {
	is := is.New(t)
	files := &failingFiles{fail: true}
	j, _, err := Open("norte-1", 0, files, 0)
	is.NoErr(err)
	j.Record(Entry{Time: at(1), Kind: DataCentreEvacuated, Subject: "santa-fe"})
	page := j.Report(startTime, at(2))
	is.True(strings.Contains(page, "data centre taken out: santa-fe"))
	is.True(strings.Contains(page, "account not written to disk: norte-1 - no space left on device"))
	files.fail = false
	j.Record(Entry{Time: at(3), Kind: DataCentreRestored, Subject: "santa-fe"})
	is.True(strings.Contains(j.Report(startTime, at(4)), "Everything is right."))
}
