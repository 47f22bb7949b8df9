package agreed

import (
	"fmt"
	"testing"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// protocol is one way to run a keyed request at most once.
type protocol struct {
	name          string
	intent        bool // the agent's start is forced into the log before it runs the request
	forcedOutcome bool // the outcome is forced into the log before the caller is answered
}

var protocols = []protocol{
	{"presumed abort", false, false},
	{"intent first", true, false},
	{"forced outcome", false, true},
}

// fate is what happens to the first sending of a request.
type fate int

const (
	normal        fate = iota
	diesBefore         // the agent dies after the claim, before it starts
	diesRunning        // the agent dies after the server received the request
	diesAfter          // agent and entry instance die after the answer, before a batched outcome was in the log
	answerIsLost       // the entry instance dies after the server finished
	dispatchLost       // the entry instance dies after the claim, before the dispatch
	numberOfFates      // keep last
)

// outcomeBatch is the number of outcomes in one entry of the log, at ten batches and 300 orders a second.
const outcomeBatch = 30

// trial counts what one request costs and remembers how often it ran.
type trial struct {
	state            *State
	voters           int
	messages, forced float64
	waits            int // log round trips that the caller waits for
	runs             int
	boot             fleet.Boot
	known            map[Attempt]bool // attempts that the agent's present boot has run
}

// propose adds a command to the log: to the leader and back, and from the leader to the other voters and back. Each
// voter forces one write, which a batch shares.
func (t *trial) propose(c Command, wait bool, share float64) Result {
	t.messages += (2 + 2*float64(t.voters-1)) * share
	t.forced += float64(t.voters) * share
	if wait {
		t.waits++
	}
	return t.state.Apply(t.state.Index()+1, c)
}

func (t *trial) run(a Attempt) {
	t.runs++
	t.known[a] = true
}

func (t *trial) restart() {
	t.boot++
	t.known = make(map[Attempt]bool)
}

func (t *trial) claim(a Attempt) Claim {
	return Claim{Organisation: "windows", Key: "order", Attempt: a, Server: "pedidos-1", Boot: t.boot}
}

func (t *trial) outcome(p protocol, a Attempt, o Outcome) {
	share := 1.0 / outcomeBatch
	if p.forcedOutcome {
		share = 1
	}
	t.propose(&RecordOutcomes{[]AttemptOutcome{{"windows", "order", a, o, 201}}}, p.forcedOutcome, share)
}

// started is the attempt that stands in the log once the agent has told that it starts (intent first).
func started(a Attempt) Attempt { a[15] = 1; return a }

// send is one sending of the request whose claim is made. It returns the attempt as it stands in the log.
func (t *trial) send(p protocol, a Attempt, f fate) {
	if f == dispatchLost {
		return
	}
	t.messages++ // open
	if f == diesBefore {
		t.restart()
		return
	}
	if p.intent {
		t.messages += 2 // from the agent through its entry instance and back
		t.propose(&ReplaceClaim{a, t.claim(started(a)), 0}, true, 1)
		a = started(a)
	}
	t.run(a)
	if f == diesRunning {
		t.restart()
		return
	}
	t.messages++ // end
	if f == answerIsLost {
		return
	}
	if f == diesAfter && !p.forcedOutcome {
		t.restart()
		return
	}
	t.outcome(p, a, Done)
	if f == diesAfter {
		t.restart()
	}
}

// repeat is the caller's second sending of the request, and returns what it is told.
func (t *trial) repeat(p protocol) string {
	r := t.propose(&ClaimKey{t.claim(attempt(99)), 1}, true, 1)
	if r.Code == OK {
		t.send(p, attempt(99), normal)
		return "done"
	}
	held := r.Claim
	switch {
	case held.Outcome == Done:
		return "done"
	case held.Boot == t.boot:
		t.messages += 2 // inquiry
		if t.known[held.Attempt] {
			return "done"
		}
	case !p.intent || held.Attempt == started(held.Attempt):
		return "unknown"
	}
	t.propose(&ReplaceClaim{held.Attempt, t.claim(attempt(98)), 1}, true, 1) // proved not run
	t.send(p, attempt(98), normal)
	return "done"
}

func newTrial(voters int) *trial {
	return &trial{state: New(Limits{}), voters: voters, boot: 1, known: make(map[Attempt]bool)}
}

// Guards against a protocol that runs an order twice, or that answers done although it did not run, whatever dies.
func TestOrdersRunAtMostOnce(t *testing.T) {
	want := map[string][numberOfFates]string{
		"presumed abort": {"done", "unknown", "unknown", "unknown", "done", "done"},
		"intent first":   {"done", "done", "unknown", "unknown", "done", "done"},
		"forced outcome": {"done", "unknown", "unknown", "done", "done", "done"},
	}
	for _, p := range protocols {
		for f := range numberOfFates {
			x := newTrial(3)
			first := attempt(1)
			x.propose(&ClaimKey{x.claim(first), 0}, true, 1)
			x.send(p, first, f)
			told := x.repeat(p)
			if told != want[p.name][f] {
				t.Errorf("%s, fate %d: the repeated request is told %s, want %s", p.name, f, told, want[p.name][f])
			}
			if x.runs > 1 || (told == "done" && x.runs != 1) {
				t.Errorf("%s, fate %d: told %s after %d runs", p.name, f, told, x.runs)
			}
		}
	}
}

// BenchmarkAtMostOnce reports what one undisturbed order costs: messages, forced writes over all voters, and log round
// trips that the caller waits for.
func BenchmarkAtMostOnce(b *testing.B) {
	for _, p := range protocols {
		for _, voters := range []int{3, 5} {
			b.Run(fmt.Sprintf("%s/%d", p.name, voters), func(b *testing.B) {
				for b.Loop() {
					x := newTrial(voters)
					x.propose(&ClaimKey{x.claim(attempt(1)), 0}, true, 1)
					x.send(p, attempt(1), normal)
					b.ReportMetric(x.messages, "messages")
					b.ReportMetric(x.forced, "forced-writes")
					b.ReportMetric(float64(x.waits), "round-trips")
				}
			})
		}
	}
}
