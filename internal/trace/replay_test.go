package trace_test

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/banyanfront/banyanfront/internal/history"
	"github.com/banyanfront/banyanfront/internal/history/world"
	"github.com/banyanfront/banyanfront/internal/trace"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	m.Run()
}

// seed returns the seed of the fleet: 1, or what TRACE_SEED says.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("TRACE_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

func replay(t *testing.T, recorded *trace.Trace) (report *trace.Report) {
	recorded.Complete()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if report, err = trace.Replay(recorded, world.NewReplay(recorded, seed())); err != nil {
			t.Fatal(err)
		}
	})
	return report
}

// Guards against broken guarantees, lost and doubled orders and late answers in whole days of a user: each trace must
// keep its stated outcomes. TRACE_FOLDER names a folder with further traces.
func TestReplay(t *testing.T) {
	paths, _ := filepath.Glob("testdata/*.jsonl")
	if folder := os.Getenv("TRACE_FOLDER"); folder != "" {
		more, _ := filepath.Glob(filepath.Join(folder, "*.jsonl"))
		paths = append(paths, more...)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			file, err := os.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			recorded, err := trace.Read(file)
			if err != nil {
				t.Fatalf("%s: %v", path, err)
			}
			report := replay(t, recorded)
			t.Log(report)
			if !report.Passed() {
				t.Errorf("an outcome does not hold:\n%s", strings.Join(report.Details, "\n"))
			}
		})
	}
}

// Guards against a replay that passes whatever happens: an engine needs 100 ms for its first token, so that 50 ms
// cannot be kept; and an outcome to which nothing applies proves nothing.
func TestReplayFailsWhenAnOutcomeCannotHold(t *testing.T) {
	recorded, err := trace.Read(strings.NewReader(header + request + `
{"type":"outcome","outcome":"answered within","target":"m","share":0.95}
{"type":"outcome","outcome":"answered within","target":"m","share":0.95,"within":50}
{"type":"outcome","outcome":"none lost","target":"m"}
{"type":"outcome","outcome":"nothing new","dc":"norte","within":3000}`[1:]))
	if err != nil {
		t.Fatal(err)
	}
	report := replay(t, recorded)
	var got []bool
	for _, v := range report.Verdicts[9:] { // after the guarantees
		got = append(got, v.Passed)
	}
	if want := []bool{true, false, false, false}; !slices.Equal(got, want) || report.Passed() {
		t.Fatalf("got %v instead of %v:\n%s", got, want, report)
	}
}

// Guards against a judgement that overlooks lost and doubled orders and work in a data centre that is out, since no
// replay shows them.
func TestJudgeSeesBrokenOutcomes(t *testing.T) {
	recorded := &trace.Trace{
		Requests: []trace.Request{{Target: "pedidos", Key: "a"}, {Target: "pedidos", Key: "b"}},
		Outcomes: []trace.Outcome{
			{Kind: trace.NoneLost, Target: "pedidos"}, {Kind: trace.NoneTwice, Target: "pedidos"},
			{Kind: trace.NothingNew, DataCentre: "sur", WithinMS: 3000},
		},
	}
	answers := []trace.Answer{{ID: "a", Result: history.Answered, Complete: true}, {ID: "b", Result: history.Unknown}}
	h := &history.History{
		Requests: []history.Request{{ID: "a", Keyed: true, Result: history.Answered, Complete: true}},
		Runs:     []history.Run{{Request: "a", DataCentre: "sur", Begun: time.Second}, {Request: "a", DataCentre: "sur", Begun: 6 * time.Second}},
		DataCentreChanges:  []history.DataCentreChange{{DataCentre: "sur", Evacuated: true, AcceptedAt: 2 * time.Second}},
		End:      time.Minute,
	}
	for _, v := range trace.Judge(recorded, answers, h).Verdicts {
		broken := !strings.HasPrefix(v.Name, "guarantee") || v.Name == "guarantee G3" || v.Name == "guarantee G6"
		if v.Passed == broken {
			t.Errorf("%s: seen %s, passed %v", v.Name, v.Seen, v.Passed)
		}
	}
}
