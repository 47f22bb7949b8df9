package trace

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanfront/banyanfront/internal/history"
)

// Answer is what the caller of a request of the trace saw in the end.
type Answer struct {
	ID         string // of the request in the history
	Result     history.Result
	Complete   bool          // the answer is the whole answer to this request
	FirstToken time.Duration // until the first byte of the answer, 0 without one
	Took       time.Duration // until the end
	Detail     string
}

// Fleet is what a trace is replayed against.
type Fleet interface {
	// Start starts the fleet and returns when it takes requests.
	Start() error
	// Call sends the request with the number and returns what its caller got. A keyed request that is not answered is sent
	// again with the same key.
	Call(number int, r *Request) Answer
	// Apply makes an event happen.
	Apply(e *Event) error
	// Stop ends everything and returns what callers and servers recorded.
	Stop() *history.History
}

// Verdict is the judgement of one outcome.
type Verdict struct {
	Name   string
	Bound  string
	Seen   string
	Passed bool
}

// Report is the result of a replay.
type Report struct {
	Trace    string
	Verdicts []Verdict
	Details  []string // broken guarantees and what happened to the fleet
}

// Passed reports whether all outcomes hold.
func (r *Report) Passed() bool {
	for _, v := range r.Verdicts {
		if !v.Passed {
			return false
		}
	}
	return true
}

// String returns a line for each outcome.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "trace %s\n", r.Trace)
	for _, v := range r.Verdicts {
		word := "pass"
		if !v.Passed {
			word = "FAIL"
		}
		fmt.Fprintf(&b, "%s  %-64s bound %-14s seen %s\n", word, v.Name, v.Bound, v.Seen)
	}
	return b.String()
}

// Replay sends the requests of a trace to a fleet at their times, makes its events happen, and judges the outcomes.
func Replay(t *Trace, fleet Fleet) (*Report, error) {
	if err := fleet.Start(); err != nil {
		return nil, err
	}
	start := time.Now()
	until := func(atMS int64) { time.Sleep(time.Until(start.Add(time.Duration(atMS) * time.Millisecond))) }
	answers := make([]Answer, len(t.Requests))
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := range t.Events {
		// Each event has its own goroutine: a planned stop takes as long as its requests.
		group.Go(func() {
			until(t.Events[i].AtMS)
			if err := fleet.Apply(&t.Events[i]); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = fmt.Errorf("event %s at %d ms: %w", t.Events[i].Kind, t.Events[i].AtMS, err)
			}
		})
	}
	for i := range t.Requests {
		until(t.Requests[i].AtMS)
		group.Go(func() { answers[i] = fleet.Call(i, &t.Requests[i]) })
	}
	group.Wait()
	h := fleet.Stop()
	if failed != nil {
		return nil, failed
	}
	return Judge(t, answers, h), nil
}

// Judge judges the guarantees and the stated outcomes of a trace.
func Judge(t *Trace, answers []Answer, h *history.History) *Report {
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
		report.Verdicts = append(report.Verdicts, t.judge(&t.Outcomes[i], answers, h, report))
	}
	report.Details = append(report.Details, h.Faults...)
	return report
}

// judge judges one stated outcome. An outcome to which nothing in the trace applies does not hold, since it would prove
// nothing.
func (t *Trace) judge(o *Outcome, answers []Answer, h *history.History, report *Report) Verdict {
	switch o.Kind {
	case NoneLost:
		return t.noneLost(o, answers, report)
	case NoneTwice:
		return t.noneTwice(o, answers, h)
	case NothingNew:
		return nothingNew(o, h)
	}
	return t.share(o, answers, report)
}

// maxDetails bounds the requests that a report names for one outcome.
const maxDetails = 5

func (t *Trace) noneLost(o *Outcome, answers []Answer, report *Report) Verdict {
	count, lost := 0, 0
	for i, r := range t.Requests {
		if r.Key == "" || r.Target != o.Target || o.excepts(r.AtMS) {
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

func (t *Trace) noneTwice(o *Outcome, answers []Answer, h *history.History) Verdict {
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

func nothingNew(o *Outcome, h *history.History) Verdict {
	within := time.Duration(o.WithinMS) * time.Millisecond
	outs, late, last := 0, 0, time.Duration(0)
	for i, out := range h.DataCentreChanges {
		if !out.Evacuated || string(out.DataCentre) != o.DataCentre {
			continue
		}
		outs++
		until := h.End
		for _, in := range h.DataCentreChanges[i+1:] {
			if in.DataCentre == out.DataCentre && !in.Evacuated {
				until = in.AcceptedAt
				break
			}
		}
		for _, run := range h.Runs {
			if run.DataCentre == out.DataCentre && run.Begun > out.AcceptedAt && run.Begun < until {
				last = max(last, run.Begun-out.AcceptedAt)
				if run.Begun > out.AcceptedAt+within {
					late++
				}
			}
		}
	}
	return Verdict{
		fmt.Sprintf("nothing new in %s from %v after its out", o.DataCentre, within), "0",
		fmt.Sprintf("%d, the last new request %v after the out", late, last), outs > 0 && late == 0,
	}
}

// excepts reports whether a request sent at the time is left out.
func (o *Outcome) excepts(atMS int64) bool {
	return slices.ContainsFunc(o.Except, func(w Window) bool { return atMS >= w.FromMS && atMS < w.ToMS })
}

// share judges outcomes that a share of the requests must meet.
func (t *Trace) share(o *Outcome, answers []Answer, report *Report) Verdict {
	within := time.Duration(o.WithinMS) * time.Millisecond
	count, met := 0, 0
	for i, r := range t.Requests {
		if r.Target != o.Target || o.excepts(r.AtMS) {
			continue
		}
		a := answers[i]
		whole := a.Result == history.Answered && a.Complete
		var ok bool
		switch o.Kind {
		case FirstToken:
			if !r.Stream {
				continue
			}
			ok = a.FirstToken > 0 && a.FirstToken <= within
		case TokenInterval:
			if !r.Stream || !whole || r.Tokens < 2 {
				continue
			}
			ok = (a.Took-a.FirstToken)/time.Duration(r.Tokens-1) <= within
		default:
			ok = whole && (within == 0 || a.Took <= within)
		}
		count++
		if ok {
			met++
		} else if count-met <= maxDetails {
			report.Details = append(report.Details, fmt.Sprintf("not %s: request %d at %d ms from %s: %s after %v, first token after %v %s",
				o.Kind, i, r.AtMS, r.DataCentre, a.Result, a.Took, a.FirstToken, a.Detail))
		}
	}
	name := fmt.Sprintf("%s: %s %v", o.Target, o.Kind, within)
	if within == 0 {
		name = o.Target + ": answered within their deadline"
	}
	if len(o.Except) > 0 {
		name += fmt.Sprintf(", %d windows left out", len(o.Except))
	}
	seen := fmt.Sprintf("%.2f %% (%d of %d)", 100*float64(met)/float64(max(count, 1)), met, count)
	return Verdict{name, fmt.Sprintf(">= %.4g %%", 100*o.Share), seen, count > 0 && float64(met) >= o.Share*float64(count)}
}
