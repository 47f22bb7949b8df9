package trace

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/history"
)

// Answer is the final answer to a request of the trace, as its caller received it.
type Answer struct {
	ID               string // of the request in the history
	Result           history.Result
	Complete         bool          // the answer belongs to this request and is not truncated
	TimeToFirstToken time.Duration // until the first byte of the answer; 0 if none was received
	Duration         time.Duration // from the first attempt to the end of the answer
	Detail           string
}

// Fleet is a fleet that a trace is replayed against.
type Fleet interface {
	// Start starts the fleet and returns when it accepts requests.
	Start() error
	// Call sends a request, given with its index in the trace, and returns its answer. A keyed request that is not answered
	// is retried with the same key.
	Call(index int, r *Request) Answer
	// Apply applies an event to the fleet.
	Apply(e *Event) error
	// Stop stops the fleet and returns the history that callers and servers have recorded.
	Stop() *history.History
}

// Verdict is the result of checking one guarantee or outcome.
type Verdict struct {
	Name     string
	Bound    string
	Measured string
	Passed   bool
}

// Report is the result of a replay.
type Report struct {
	Trace    string
	Verdicts []Verdict
	Details  []string // violations of guarantees, requests that miss an outcome, and events of the fleet
}

// Passed reports whether all guarantees and outcomes were met.
func (r *Report) Passed() bool {
	for _, v := range r.Verdicts {
		if !v.Passed {
			return false
		}
	}
	return true
}

// String returns a line for the trace and one for each verdict.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "trace %s\n", r.Trace)
	for _, v := range r.Verdicts {
		verdict := "pass"
		if !v.Passed {
			verdict = "FAIL"
		}
		fmt.Fprintf(&b, "%s  %-64s bound %-14s seen %s\n", verdict, v.Name, v.Bound, v.Measured)
	}
	return b.String()
}

// Replay sends the requests of a trace to a fleet and applies the events, each at its time, and checks the outcomes.
func Replay(t *Trace, fleet Fleet) (*Report, error) {
	if err := fleet.Start(); err != nil {
		return nil, err
	}
	start := time.Now()
	sleepUntil := func(atMS int64) { time.Sleep(time.Until(start.Add(time.Duration(atMS) * time.Millisecond))) }
	answers := make([]Answer, len(t.Requests))
	var group sync.WaitGroup
	var mu sync.Mutex
	var eventErr error
	for i := range t.Events {
		// Each event has its own goroutine, since a graceful stop lasts until the requests in flight end.
		group.Go(func() {
			sleepUntil(t.Events[i].AtMS)
			if err := fleet.Apply(&t.Events[i]); err != nil {
				mu.Lock()
				defer mu.Unlock()
				eventErr = fmt.Errorf("event %s at %d ms: %w", t.Events[i].Kind, t.Events[i].AtMS, err)
			}
		})
	}
	for i := range t.Requests {
		sleepUntil(t.Requests[i].AtMS)
		group.Go(func() { answers[i] = fleet.Call(i, &t.Requests[i]) })
	}
	group.Wait()
	h := fleet.Stop()
	if eventErr != nil {
		return nil, eventErr
	}
	return Evaluate(t, answers, h), nil
}

// Evaluate checks the guarantees and the outcomes of a trace.
func Evaluate(t *Trace, answers []Answer, h *history.History) *Report {
	report := &Report{Trace: t.Header.Name}
	broken := make(map[string]int)
	for _, v := range history.Check(h) {
		broken[v.Guarantee]++
		report.Details = append(report.Details, v.Guarantee+": "+v.Detail)
	}
	for n := 1; n <= 9; n++ {
		name := fmt.Sprintf("G%d", n)
		report.Verdicts = append(report.Verdicts, Verdict{"guarantee " + name, "0 broken", fmt.Sprintf("%d broken", broken[name]), broken[name] == 0})
	}
	for i := range t.Outcomes {
		report.Verdicts = append(report.Verdicts, t.evaluate(&t.Outcomes[i], answers, h, report))
	}
	report.Details = append(report.Details, h.Faults...)
	return report
}

// evaluate checks one outcome. An outcome that applies to nothing in the trace fails, since it would prove nothing.
func (t *Trace) evaluate(o *Outcome, answers []Answer, h *history.History, report *Report) Verdict {
	switch o.Kind {
	case NoLostRequests:
		return t.evaluateNoLostRequests(o, answers, report)
	case NoDuplicateRuns:
		return t.evaluateNoDuplicateRuns(o, answers, h)
	case NoNewRequests:
		return evaluateNoNewRequests(o, h)
	}
	return t.evaluateShare(o, answers, report)
}

// maxDetails limits the requests that a report lists for one outcome.
const maxDetails = 5

func (t *Trace) evaluateNoLostRequests(o *Outcome, answers []Answer, report *Report) Verdict {
	count, lost := 0, 0
	for i, r := range t.Requests {
		if r.Key == "" || r.Target != o.Target || o.excludes(r.AtMS) {
			continue
		}
		count++
		if a := answers[i]; a.Result != history.Answered || !a.Complete {
			if lost++; lost <= maxDetails {
				report.Details = append(report.Details, fmt.Sprintf("lost: request %d at %d ms from %s: %s %s", i, r.AtMS, r.DataCentre, a.Result, a.Detail))
			}
		}
	}
	return Verdict{"no keyed request to " + o.Target + " lost", "0", fmt.Sprintf("%d of %d", lost, count), lost == 0 && count > 0}
}

func (t *Trace) evaluateNoDuplicateRuns(o *Outcome, answers []Answer, h *history.History) Verdict {
	runs := make(map[string]int)
	for i, r := range t.Requests {
		if r.Key != "" && r.Target == o.Target {
			runs[answers[i].ID] = 0
		}
	}
	twice := 0
	for _, run := range h.Runs {
		if count, ok := runs[run.Request]; ok {
			runs[run.Request] = count + 1
			if count == 1 {
				twice++
			}
		}
	}
	return Verdict{"no keyed request to " + o.Target + " run twice", "0", fmt.Sprintf("%d of %d", twice, len(runs)), twice == 0 && len(runs) > 0}
}

func evaluateNoNewRequests(o *Outcome, h *history.History) Verdict {
	within := time.Duration(o.WithinMS) * time.Millisecond
	evacuations, late, lastDelay := 0, 0, time.Duration(0)
	for i, evacuated := range h.DataCentreChanges {
		if !evacuated.Evacuated || string(evacuated.DataCentre) != o.DataCentre {
			continue
		}
		evacuations++
		until := h.End
		for _, restored := range h.DataCentreChanges[i+1:] {
			if restored.DataCentre == evacuated.DataCentre && !restored.Evacuated {
				until = restored.AcceptedAt
				break
			}
		}
		for _, run := range h.Runs {
			if run.DataCentre == evacuated.DataCentre && run.Begun > evacuated.AcceptedAt && run.Begun < until {
				lastDelay = max(lastDelay, run.Begun-evacuated.AcceptedAt)
				if run.Begun > evacuated.AcceptedAt+within {
					late++
				}
			}
		}
	}
	return Verdict{
		fmt.Sprintf("nothing new in %s from %v after its out", o.DataCentre, within), "0",
		fmt.Sprintf("%d, the last new request %v after the out", late, lastDelay), evacuations > 0 && late == 0,
	}
}

// excludes reports whether a request that is sent at atMS is in one of the excepted windows.
func (o *Outcome) excludes(atMS int64) bool {
	return slices.ContainsFunc(o.Except, func(w Window) bool { return atMS >= w.FromMS && atMS < w.ToMS })
}

// evaluateShare checks an outcome that a share of the requests must meet.
func (t *Trace) evaluateShare(o *Outcome, answers []Answer, report *Report) Verdict {
	within := time.Duration(o.WithinMS) * time.Millisecond
	count, met := 0, 0
	for i, r := range t.Requests {
		if r.Target != o.Target || o.excludes(r.AtMS) {
			continue
		}
		a := answers[i]
		answered := a.Result == history.Answered && a.Complete
		var metBound bool
		switch o.Kind {
		case TimeToFirstToken:
			if !r.Stream {
				continue
			}
			metBound = a.TimeToFirstToken > 0 && a.TimeToFirstToken <= within
		case InterTokenLatency:
			if !r.Stream || !answered || r.MaxTokens < 2 {
				continue
			}
			metBound = (a.Duration-a.TimeToFirstToken)/time.Duration(r.MaxTokens-1) <= within
		default:
			metBound = answered && (within == 0 || a.Duration <= within)
		}
		count++
		if metBound {
			met++
		} else if count-met <= maxDetails {
			report.Details = append(report.Details, fmt.Sprintf("not %s: request %d at %d ms from %s: %s after %v, first token after %v %s",
				o.Kind, i, r.AtMS, r.DataCentre, a.Result, a.Duration, a.TimeToFirstToken, a.Detail))
		}
	}
	name := fmt.Sprintf("%s: %s %v", o.Target, o.Kind, within)
	if within == 0 {
		name = o.Target + ": answered within their deadline"
	}
	if len(o.Except) > 0 {
		name += fmt.Sprintf(", %d windows left out", len(o.Except))
	}
	measured := fmt.Sprintf("%.2f %% (%d of %d)", 100*float64(met)/float64(max(count, 1)), met, count)
	return Verdict{name, fmt.Sprintf(">= %.4g %%", 100*o.Share), measured, count > 0 && float64(met) >= o.Share*float64(count)}
}
