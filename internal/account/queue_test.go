package account

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// hungFiles is a disk that does not answer until it is released.
type hungFiles struct {
	failingFiles
	release chan struct{}
}

func (f *hungFiles) Append(string, []byte) error {
	<-f.release
	return nil
}

// Guards against a hung disk that holds up decisions, and against entries that are dropped without a word.
func TestHungDiskHoldsUpNoDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		files := &hungFiles{release: make(chan struct{})}
		j, _, err := Open("norte-1", 0, files, 0)
		is.NoErr(err)
		q := NewQueue(j)
		ctx, cancel := context.WithCancel(t.Context())
		go q.Run(ctx)
		q.Record(Entry{Time: time.Now(), Kind: CentreOut, Subject: "santa-fe"})
		synctest.Wait()
		for i := range maxQueued + 10 {
			q.Record(Entry{Time: time.Now(), Kind: ServerAnnounced, Subject: fmt.Sprint(i)})
		}
		close(files.release)
		page := q.Report(time.Now().Add(-time.Minute), time.Now())
		is.True(strings.Contains(page, "data centre taken out: santa-fe"))
		is.True(strings.Contains(page, "the disk was too slow, 10 times"))
		cancel()
	})
}

// Guards against refused requests that push decisions out of the journal: one entry for each minute, organisation and
// reason, whatever the number of requests and of different reasons.
func TestCountsAreBounded(t *testing.T) {
	is := is.New(t)
	q := NewQueue(New("norte-1", 0))
	for i := range 120_000 { // 1,000 a second for two minutes
		q.Count(night.Add(time.Duration(i)*time.Millisecond), RequestsRefused, "builders", "no server was free")
	}
	for i := range 2 * maxTallied {
		q.Count(at(10), RequestsRefused, fmt.Sprint("organisation-", i), "no server was free")
	}
	entries := q.Entries(night, at(11))
	is.True(len(entries) <= 2+maxTallied+1)
	total := 0
	for _, entry := range entries {
		total += entry.Count
	}
	is.Equal(total, 120_000+2*maxTallied)
}
