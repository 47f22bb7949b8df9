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

// hungFiles blocks each Append until release is closed.
type hungFiles struct {
	failingFiles
	release chan struct{}
}

func (f *hungFiles) Append(string, []byte) error {
	<-f.release
	return nil
}

// Guards against a hung disk that blocks decisions, and against dropped entries that the account does not mention.
func TestHungDiskDoesNotBlockRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		files := &hungFiles{release: make(chan struct{})}
		j, _, err := Open("norte-1", 0, files, 0)
		is.NoErr(err)
		q := NewQueue(j)
		ctx, cancel := context.WithCancel(t.Context())
		go q.Run(ctx)
		q.Record(Entry{Time: time.Now(), Kind: DataCentreEvacuated, Subject: "santa-fe"})
		synctest.Wait()
		for i := range maxQueuedEntries + 10 {
			q.Record(Entry{Time: time.Now(), Kind: ServerAnnounced, Subject: fmt.Sprint(i)})
		}
		close(files.release)
		page := q.Report(time.Now().Add(-time.Minute), time.Now())
		is.True(strings.Contains(page, "data centre taken out: santa-fe"))
		is.True(strings.Contains(page, "the disk was too slow, 10 times"))
		cancel()
	})
}

// Guards against refused requests that evict decisions from the journal: there is one entry for each minute, organisation
// and reason, regardless of the number of requests and of different reasons.
func TestFrequentEventsBecomeFewEntries(t *testing.T) {
	is := is.New(t)
	q := NewQueue(New("norte-1", 0))
	for i := range 120_000 { // 1,000 a second for two minutes
		q.Count(startTime.Add(time.Duration(i)*time.Millisecond), RequestsRefused, "builders", "no server was free")
	}
	for i := range 2 * maxCountedEvents {
		q.Count(at(10), RequestsRefused, fmt.Sprint("organisation-", i), "no server was free")
	}
	entries := q.Entries(startTime, at(11))
	is.True(len(entries) <= 2+maxCountedEvents+1)
	total := 0
	for _, entry := range entries {
		total += entry.Count
	}
	is.Equal(total, 120_000+2*maxCountedEvents)
}
