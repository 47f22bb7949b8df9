package world

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/banyanfront/banyanfront/internal/history"
)

// caseSeed seeds the callers and disks of the cases. HISTORY_FIRST replaces it.
const caseSeed = 1

// The test crashes only a voter, the worse of the two losses, as a voter is also an entry instance; the benchmark crashes
// either.
var (
	testedLosses   = []Loss{LossNone, LossVoter}
	measuredLosses = []Loss{LossNone, LossInstance, LossVoter}
)

func seedOfCases() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("HISTORY_FIRST"), 10, 64); err == nil {
		return n
	}
	return caseSeed
}

// Guards against broken guarantees, requests that are lost in a planned evacuation, and orders that run twice, while a data
// centre becomes unavailable and returns, with and without the crash of an entry instance in between.
func TestServiceWhileDataCentreLeavesAndReturns(t *testing.T) {
	log.SetHandler(discard.Default)
	for _, c := range Cases {
		for _, loss := range testedLosses {
			t.Run(fmt.Sprintf("%s, loss of %s", c.Name, loss), func(t *testing.T) {
				parallel(t)
				synctest.Test(t, func(t *testing.T) {
					s, err := RunCase(c, loss, seedOfCases())
					if err != nil {
						t.Fatal(err)
					}
					for _, v := range s.Violations {
						t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
					}
					if s.RanTwice > 0 {
						t.Errorf("%d orders ran twice", s.RanTwice)
					}
					if c.Planned && s.Lost > 0 {
						t.Errorf("%d requests got no answer although the data centre was evacuated as planned", s.Lost)
					}
					if s.Answered*2 < s.Sent {
						t.Errorf("only %d of %d requests were answered: the run proves nothing", s.Answered, s.Sent)
					}
				})
			})
		}
	}
}

// Guards against measurements that count a refused, lost, late or repeated request as a good one.
func TestMeasureCounts(t *testing.T) {
	const s = time.Second
	h := &history.History{
		Requests: []history.Request{
			{ID: "twice", Keyed: true, Result: history.Answered}, {ID: "again", Result: history.Answered},
			{ID: "refused", Instance: "sur-1", Result: history.NotRun, Begun: 11 * s},
		},
		Runs: []history.Run{
			{Request: "twice"}, {Request: "twice", Aborted: true}, {Request: "again"}, {Request: "again"},
			{Request: "late", DataCentre: affectedDataCentre, Begun: 24 * s}, {Request: "later", DataCentre: affectedDataCentre, Begun: 27 * s},
		},
	}
	got := measure(h, []requestOutcome{
		{class: "order", home: "sur", begun: 6 * s, ended: 7 * s, tries: 1, result: history.Answered},
		{class: "order", home: "sur", begun: 7 * s, ended: 8 * s, tries: 1, result: history.Answered},
		{class: "order", home: "sur", begun: 11 * s, ended: 15 * s, tries: 3, result: history.Answered},
		{class: "order", home: "sur", begun: 12 * s, ended: 13 * s, tries: 1, result: history.NotRun},
		{class: "order", home: "sur", begun: 12 * s, ended: 13 * s, tries: 1, result: history.Unknown},
		{class: "order", home: "sur", begun: 12 * s, ended: 13 * s, tries: 1, result: history.NoAnswer},
		{class: "order", home: "sur", begun: 22 * s, ended: 23 * s, tries: 2, result: history.Answered},
		{class: "order", home: "sur", begun: 25 * s, ended: 26 * s, tries: 1, result: history.Answered},
	}, 10*s, 20*s)
	got.Reasons = nil
	want := &CaseResult{
		Sent: 8, Retries: 3, Answered: 5, NotRun: 1, Unknown: 1, Lost: 1, RanTwice: 1, IdempotentReruns: 1, Delayed: 1, Aborted: 1,
		Recovery: 2 * s, ReturnTime: 4 * s,
	}
	if got.LongestGaps[CallerGroup{"sur", "order"}] != 8*s || got.NotRunBy["sur"] != 1 {
		t.Errorf("gap %v, refused %v", got.LongestGaps, got.NotRunBy)
	}
	got.LongestGaps, got.NotRunBy = nil, nil
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// BenchmarkDataCentreCases prints the table of docs/notes/data-centre-service.md.
func BenchmarkDataCentreCases(b *testing.B) {
	log.SetHandler(discard.Default)
	for range b.N {
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
		fmt.Fprintf(table, "seed %d\ncase\t| loss\t| sent\t| answered\t| not run\t| unknown\t| lost\t| doubled\t| delayed\t"+
			"| tries again\t| repeated\t| cut\t| order gap\t| lookup gap\t| completion gap\t| recovery\t| back at work\t| broken\n", seedOfCases())
		for _, c := range Cases {
			for _, loss := range measuredLosses {
				printCase(b, table, c, loss)
			}
		}
		_ = table.Flush()
	}
}

// gaps formats the longest times without an answer for the callers of each data centre, in seconds.
func gaps(s *CaseResult, class string) string {
	var all []string
	for _, d := range dataCentres {
		all = append(all, fmt.Sprintf("%.1f", s.LongestGaps[CallerGroup{d, class}].Seconds()))
	}
	return strings.Join(all, " ")
}

func printCase(b *testing.B, table io.Writer, c Case, loss Loss) {
	var s *CaseResult
	var err error
	// A bubble needs a *testing.T, so each case runs as a test of its own.
	testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: c.Name, F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { s, err = RunCase(c, loss, seedOfCases()) }) },
	}})
	if err != nil {
		b.Error(err)
		return
	}
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }
	fmt.Fprintf(table, "%s\t| %s\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %s\t| %s\t| %s\t| %s\t| %s\t| %d\n",
		c.Name, loss, s.Sent, s.Answered, s.NotRun, s.Unknown, s.Lost, s.RanTwice, s.Delayed, s.Retries, s.IdempotentReruns, s.Aborted,
		gaps(s, classOrder), gaps(s, classLookup), gaps(s, classCompletion), seconds(s.Recovery),
		seconds(s.ReturnTime), len(s.Violations))
	if os.Getenv("HISTORY_REASONS") != "" {
		reasons := slices.SortedFunc(maps.Keys(s.Reasons), func(x, y string) int { return cmp.Compare(s.Reasons[y], s.Reasons[x]) })
		fmt.Fprintf(os.Stderr, "%s, loss of %s; refused as not run at %v\n", c.Name, loss, s.NotRunBy)
		for _, reason := range reasons[:min(len(reasons), 8)] {
			fmt.Fprintf(os.Stderr, "  %5d %s\n", s.Reasons[reason], reason)
		}
		for _, v := range s.Violations[:min(len(s.Violations), 4)] {
			fmt.Fprintf(os.Stderr, "  %s broken: %s\n", v.Guarantee, v.Detail)
		}
	}
}
