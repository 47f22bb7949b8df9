package statemachine

import (
	"fmt"
	"testing"

	"github.com/banyanfront/banyanfront/decide/fleet"
)

// protocol is one variant of at-most-once execution of a keyed request.
type protocol struct {
	name          string
	intent        bool // the agent logs its start and waits for the commit before it runs the request
	forcedOutcome bool // the outcome is committed to the log before the caller is answered
}

var protocols = []protocol{
	{"presumed abort", false, false},
	{"intent first", true, false},
	{"forced outcome", false, true},
}

// failure is the fault injected while a request is sent for the first time.
type failure int

const (
	noFailure                  failure = iota
	agentCrashesBeforeStart            // after the claim
	agentCrashesWhileRunning           // after the server received the request
	bothCrashAfterAnswer               // agent and entry instance crash before a batched outcome is in the log
	entryCrashesBeforeAnswer           // after the server finished
	entryCrashesBeforeDispatch         // after the claim
	failureCount                       // keep last
)

// outcomeBatch is the number of outcomes per log entry, at ten batches and 300 requests per second.
const outcomeBatch = 30

// simulation counts the messages, writes and round trips of one request and how often it ran.
type simulation struct {
	state                  *State
	voters                 int
	messages, forcedWrites float64
	roundTrips             int // log round trips on the caller's critical path
	runs                   int
	incarnation            fleet.Incarnation
	ran                    map[AttemptID]bool // attempts run by the agent's current incarnation
}

// propose adds a command to the log: one round trip to the leader and one from the leader to each other voter. Each voter
// syncs one write to disk. share is the command's fraction of a batch.
func (t *simulation) propose(c Command, wait bool, share float64) Result {
	t.messages += (2 + 2*float64(t.voters-1)) * share
	t.forcedWrites += float64(t.voters) * share
	if wait {
		t.roundTrips++
	}
	return t.state.Apply(t.state.Index()+1, c)
}

func (t *simulation) run(a AttemptID) {
	t.runs++
	t.ran[a] = true
}

func (t *simulation) restartAgent() {
	t.incarnation++
	t.ran = make(map[AttemptID]bool)
}

func (t *simulation) claim(a AttemptID) Claim {
	return Claim{Organisation: "windows", Key: "order", Attempt: a, Server: "pedidos-1", Incarnation: t.incarnation}
}

func (t *simulation) recordOutcome(p protocol, a AttemptID, o Outcome) {
	share := 1.0 / outcomeBatch
	if p.forcedOutcome {
		share = 1
	}
	t.propose(&RecordOutcomes{[]AttemptOutcome{{"windows", "order", a, o, 201}}}, p.forcedOutcome, share)
}

// startedAttempt returns the attempt recorded in the log once the agent has reported its start (intent first).
func startedAttempt(a AttemptID) AttemptID { a[15] = 1; return a }

// send dispatches the claimed request once, with the given failure.
func (t *simulation) send(p protocol, a AttemptID, f failure) {
	if f == entryCrashesBeforeDispatch {
		return
	}
	t.messages++ // open the stream
	if f == agentCrashesBeforeStart {
		t.restartAgent()
		return
	}
	if p.intent {
		t.messages += 2 // round trip between the agent and its entry instance
		t.propose(&ReplaceClaim{a, t.claim(startedAttempt(a)), 0}, true, 1)
		a = startedAttempt(a)
	}
	t.run(a)
	if f == agentCrashesWhileRunning {
		t.restartAgent()
		return
	}
	t.messages++ // end of the stream
	if f == entryCrashesBeforeAnswer {
		return
	}
	if f == bothCrashAfterAnswer && !p.forcedOutcome {
		t.restartAgent()
		return
	}
	t.recordOutcome(p, a, Done)
	if f == bothCrashAfterAnswer {
		t.restartAgent()
	}
}

// resend sends the caller's request a second time and returns the answer.
func (t *simulation) resend(p protocol) string {
	r := t.propose(&ClaimKey{t.claim(attempt(99)), 1}, true, 1)
	if r.Code == OK {
		t.send(p, attempt(99), noFailure)
		return "done"
	}
	existing := r.Claim
	switch {
	case existing.Outcome == Done:
		return "done"
	case existing.Incarnation == t.incarnation:
		t.messages += 2 // inquiry
		if t.ran[existing.Attempt] {
			return "done"
		}
	case !p.intent || existing.Attempt == startedAttempt(existing.Attempt):
		return "unknown"
	}
	t.propose(&ReplaceClaim{existing.Attempt, t.claim(attempt(98)), 1}, true, 1) // proven not run
	t.send(p, attempt(98), noFailure)
	return "done"
}

func newSimulation(voters int) *simulation {
	return &simulation{state: New(Limits{}), voters: voters, incarnation: 1, ran: make(map[AttemptID]bool)}
}

// Guards against a protocol that runs a request twice, or answers "done" for one that did not run, after any failure.
func TestOrdersRunAtMostOnce(t *testing.T) {
	want := map[string][failureCount]string{
		"presumed abort": {"done", "unknown", "unknown", "unknown", "done", "done"},
		"intent first":   {"done", "done", "unknown", "unknown", "done", "done"},
		"forced outcome": {"done", "unknown", "unknown", "done", "done", "done"},
	}
	for _, p := range protocols {
		for f := range failureCount {
			x := newSimulation(3)
			first := attempt(1)
			x.propose(&ClaimKey{x.claim(first), 0}, true, 1)
			x.send(p, first, f)
			answer := x.resend(p)
			if answer != want[p.name][f] {
				t.Errorf("%s, failure %d: the resent request is answered %s, want %s", p.name, f, answer, want[p.name][f])
			}
			if x.runs > 1 || (answer == "done" && x.runs != 1) {
				t.Errorf("%s, failure %d: answered %s after %d runs", p.name, f, answer, x.runs)
			}
		}
	}
}

// BenchmarkAtMostOnce reports the cost of one request without failure: messages, disk syncs on all voters, and log round
// trips on the caller's critical path.
func BenchmarkAtMostOnce(b *testing.B) {
	for _, p := range protocols {
		for _, voters := range []int{3, 5} {
			b.Run(fmt.Sprintf("%s/%d", p.name, voters), func(b *testing.B) {
				for b.Loop() {
					x := newSimulation(voters)
					x.propose(&ClaimKey{x.claim(attempt(1)), 0}, true, 1)
					x.send(p, attempt(1), noFailure)
					b.ReportMetric(x.messages, "messages")
					b.ReportMetric(x.forcedWrites, "forced-writes")
					b.ReportMetric(float64(x.roundTrips), "round-trips")
				}
			})
		}
	}
}
