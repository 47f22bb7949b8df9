package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/banyanfront/banyanfront/internal/problem"
)

// phaseTime is how long the demo stays in each phase.
const phaseTime = 2 * time.Second

// ErrBroken says that a request was lost or doubled.
var ErrBroken = errors.New("requests were lost or doubled; see the table")

// Run runs the demo and writes a table of what callers got. It returns ErrBroken if a request was lost or doubled.
func Run(ctx context.Context, w io.Writer, seed uint64) error {
	f, err := StartFleet(ctx)
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Fprintf(w, "%d entry instances, %d backend servers in %d data centres serve\n",
		len(f.instances), len(f.backends), len(dataCentres))
	l := newLoad(f)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(sending, seed)
	}()
	err = f.script(ctx, w)
	stopSending()
	<-done
	if err != nil {
		return err
	}
	return report(w, f, l.outcomes)
}

// script is what happens to the fleet under load.
func (f *Fleet) script(ctx context.Context, w io.Writer) error {
	pause := func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(phaseTime):
			return nil
		}
	}
	drained := f.backends[0]
	out := dataCentres[1]
	for _, step := range []struct {
		text string
		do   func() error
	}{
		{"steady load", func() error { return nil }},
		{fmt.Sprintf("draining %s", drained.id), func() error { drained.agent.end(); return nil }},
		{fmt.Sprintf("data centre %s out", out), func() error { return f.operate(ctx, string(out), "out") }},
		{fmt.Sprintf("data centre %s in", out), func() error { return f.operate(ctx, string(out), "in") }},
	} {
		fmt.Fprintln(w, step.text)
		if err := step.do(); err != nil {
			return err
		}
		if err := pause(); err != nil {
			return err
		}
	}
	return nil
}

// operate takes a data centre out or brings it back, as an operator does.
func (f *Fleet) operate(ctx context.Context, dataCentre, action string) error {
	url := "http://" + f.instances[0].OperatorsAddress() + "/v1/datacentres/" + dataCentre + "/" + action
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"author":"demo"}`))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 512))
		return fmt.Errorf("data centre %s not taken %s: %s", dataCentre, action, text)
	}
	return nil
}

// tally is the row of one class of requests.
type tally struct {
	sent, answered, notRun, unknown, other, lost, doubled int
	took                                                  []time.Duration // until an answer, sorted in the report
}

// quantile returns how many milliseconds so many in 100 answers took at most.
func (t *tally) quantile(percent int) int64 {
	if len(t.took) == 0 {
		return 0
	}
	return t.took[min(len(t.took)*percent/100, len(t.took)-1)].Milliseconds()
}

// report prints what callers got, beside what the stand-ins' own records say.
func report(w io.Writer, f *Fleet, outcomes []outcome) error {
	orders := make(map[string]int) // orders in the books of all stand-ins, by key
	for _, b := range f.backends {
		if b.service == nil {
			continue
		}
		for key, list := range b.service.Orders() {
			orders[key] += len(list)
		}
	}
	rows := make(map[string]*tally)
	for _, class := range classes {
		rows[class] = &tally{}
	}
	explained := make(map[string]bool) // keys with a request that was not refused as not run
	for _, o := range outcomes {
		if o.kind != problem.NotRun && o.kind != problem.OverShare {
			explained[o.key] = true
		}
	}
	for _, o := range outcomes {
		rows[o.class].count(o, orders[o.key] > 0, explained[o.key])
	}
	for _, n := range orders {
		if n > 1 {
			rows[classOrder].doubled += n - 1
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\tanswered\tnot run\tunknown\tother\tlost\tdoubled\tmedian ms\t95 in 100 ms\t")
	broken := 0
	for _, class := range classes {
		r := rows[class]
		slices.Sort(r.took)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			class, r.sent, r.answered, r.notRun, r.unknown, r.other, r.lost, r.doubled, r.quantile(50), r.quantile(95))
		broken += r.lost + r.doubled
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, o := range outcomes {
		if o.lost != "" {
			fmt.Fprintf(w, "lost: %s: %s\n", o.class, o.lost)
		}
	}
	if broken > 0 {
		return ErrBroken
	}
	return nil
}

// count adds one outcome. A refusal as not run is false, and counts as lost, if a server has the order and no other
// request with the key accounts for it.
func (t *tally) count(o outcome, ran, explained bool) {
	t.sent++
	switch {
	case o.lost != "":
		t.lost++
	case o.kind == "":
		t.answered++
		t.took = append(t.took, o.elapsed)
		if o.key != "" && !ran {
			t.lost++
		}
	case o.kind == problem.NotRun, o.kind == problem.OverShare:
		t.notRun++
		if ran && !explained {
			t.lost++
		}
	case o.kind == problem.OutcomeUnknown:
		t.unknown++
	default:
		t.other++
	}
}
