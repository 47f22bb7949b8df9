package capacity

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/protocol"
	"github.com/banyanfront/banyanfront/internal/transport"
)

// Guards against a wrong least-squares fit, on which the extrapolated figures are based.
func TestFitLine(t *testing.T) {
	is := is.New(t)
	fit := FitLine([]float64{0, 1, 2, 3}, []float64{10, 13, 15, 19})
	is.True(math.Abs(fit.Slope-2.9) < 1e-9)
	is.True(math.Abs(fit.Intercept-9.9) < 1e-9)
	is.True(math.Abs(fit.Residual-0.7) < 1e-9)
	is.True(math.Abs(fit.At(10)-38.9) < 1e-9)
}

// Guards against missing overhead for masked, medium or long messages. The sizes follow RFC 6455, RFC 8446 and RFC 7323.
func TestWire(t *testing.T) {
	for _, c := range []struct {
		payload int
		masked  bool
		want    int
	}{
		{60, false, 5 + 60 + 2 + 22 + 52},
		{60, true, 5 + 60 + 6 + 22 + 52},
		{121, false, 5 + 121 + 4 + 22 + 52},
		{2000, false, 5 + 2000 + 4 + 22 + 2*52},
	} {
		is.New(t).Equal(WireBytes(c.payload, c.masked), c.want)
	}
}

// Guards against messages larger than the sizes from which the design page derives its budget: 300 bytes for an
// announcement, and 20 bytes each for a ping and a pong.
func TestEncodedSizes(t *testing.T) {
	is := is.New(t)
	is.True(FrameBytes(&protocol.Announce{Announcement: Announcement(4199)}) <= 300)
	is.True(FrameBytes(&protocol.Ping{Sequence: math.MaxUint32, SilenceMS: 5000}) <= 20)
	is.True(FrameBytes(&protocol.Pong{Sequence: math.MaxUint32}) <= 20)
	view, err := protocol.EncodeView(View(Engines))
	is.NoErr(err)
	is.True(len(view) <= protocol.MaxMessageBytes) // a view is sent in one message
}

// Guards against control traffic above the budget at the target size. It computes the traffic of the instance with the
// lowest identifier, which all others of its data centre follow and which exchanges summaries, at the report rate of engines
// that are nearly full. Heartbeats are not part of the budget; see docs/CAPACITY.md.
func TestControlTrafficWithinBudget(t *testing.T) {
	is := is.New(t)
	for _, capacity := range []int{16, 32} {
		reports, _ := ReportRate(targetRate, capacity, 1)
		flows, err := InstanceFlows(reports)
		is.NoErr(err)
		source, err := SourceFlow(LocalInstances - 1)
		is.NoErr(err)
		sum := Total(append(flows, source, SummaryFlow())...)
		t.Logf("capacity %d: %.0f B/s", capacity, sum.Wire)
		is.True(sum.Wire <= BudgetBytesPerSec)
	}
}

// Guards against an overhead model that omits bytes a session adds to a message, as it once omitted the batch prefix. The
// test compares the model with the byte counts of a real session.
func TestSessionAddsPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hello := protocol.Hello{Version: protocol.Version}
		dialling, _, _, err := transport.Pipe(sessionConfig, hello, &discardHandler{}, sessionConfig, hello, &discardHandler{})
		is.NoErr(err)
		synctest.Wait()
		before := sentTraffic(dialling, true)
		report := &protocol.Load{Load: Load(1, 1)}
		is.NoErr(dialling.Send(report))
		synctest.Wait()
		added := sentTraffic(dialling, true).Plus(before.Times(-1))
		is.Equal(added.Payload, float64(PrefixBytes+FrameBytes(report)))
		is.Equal(added.Wire, float64(WireBytes(FrameBytes(report), true)))
		dialling.Close("the test is over")
		time.Sleep(transport.DefaultGiveUpAfter)
	})
}

// Guards against sending a full roster to each agent after each agreed change: an agent that is not affected receives only
// the revision, without the addresses of 24 instances.
func TestChangeSendsNoRosterToOthers(t *testing.T) {
	is := is.New(t)
	loop := NewControlLoop(12)
	defer loop.Close()
	before := loop.RostersSent()
	loop.PublishState()
	added := loop.RostersSent().Plus(before.Times(-1))
	is.True(added.Messages <= 12)
	is.True(added.Payload <= 12*16)
}

var (
	commandPattern   = regexp.MustCompile(`go test -run xxx -bench (\S+).*? \./(\S+?)[\s` + "`" + `]`)
	benchmarkPattern = regexp.MustCompile(`(?m)^func (Benchmark\w+)\(b \*testing\.B\)`)
)

// Guards against figures in docs/CAPACITY.md that no benchmark produces any more: each alternative of the pattern of each
// command must match at least one benchmark.
func TestCommandsOnPageExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	commands := commandPattern.FindAllStringSubmatch(string(page), -1)
	is.True(len(commands) > 0)
	for _, c := range commands {
		files, err := filepath.Glob("../../" + c[2] + "/*_test.go")
		is.NoErr(err)
		var names []string
		for _, file := range files {
			code, err := os.ReadFile(file)
			is.NoErr(err)
			for _, f := range benchmarkPattern.FindAllStringSubmatch(string(code), -1) {
				names = append(names, f[1])
			}
		}
		patterns := strings.ReplaceAll(strings.Trim(c[1], "'"), `\|`, "|") // Markdown tables escape the vertical bar
		for alternative := range strings.SplitSeq(patterns, "|") {
			pattern, err := regexp.Compile(alternative)
			is.NoErr(err)
			found := false
			for _, name := range names {
				found = found || pattern.MatchString(name)
			}
			if !found {
				t.Errorf("%s: no benchmark of %s matches %q", c[0], c[2], alternative)
			}
		}
	}
}
