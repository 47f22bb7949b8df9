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

// phaseDuration is the duration of each phase of the demo.
const phaseDuration = 2 * time.Second

// ErrLostOrDuplicated reports that at least one request was lost or duplicated.
var ErrLostOrDuplicated = errors.New("requests were lost or doubled; see the table")

// Run runs the demo and writes a table with the outcomes of all requests. It returns ErrLostOrDuplicated if a request was
// lost or duplicated.
func Run(ctx context.Context, w io.Writer, seed uint64) error {
	f, err := StartFleet(ctx)
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Fprintf(w, "%d entry instances, %d backend servers in %d data centres serve\n",
		len(f.instances), len(f.backends), len(dataCentres))
	l := newLoad(f)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		l.sendUntilDone(loadCtx, seed)
	}()
	err = f.runScenario(ctx, w)
	stopLoad()
	<-loadDone
	if err != nil {
		return err
	}
	return report(w, f, l.outcomes)
}

// runScenario runs the phases of the demo: steady load, a drain, and the evacuation and restoration of a data centre.
func (f *Fleet) runScenario(ctx context.Context, w io.Writer) error {
	pause := func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(phaseDuration):
			return nil
		}
	}
	drained := f.backends[0]
	evacuated := dataCentres[1]
	for _, step := range []struct {
		text string
		do   func() error
	}{
		{"steady load", func() error { return nil }},
		{fmt.Sprintf("draining %s", drained.id), func() error { drained.agent.stopAndWait(); return nil }},
		{fmt.Sprintf("data centre %s out", evacuated), func() error { return f.changeDataCentre(ctx, string(evacuated), "out") }},
		{fmt.Sprintf("data centre %s in", evacuated), func() error { return f.changeDataCentre(ctx, string(evacuated), "in") }},
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

// changeDataCentre evacuates ("out") or restores ("in") a data centre through the operators' API.
func (f *Fleet) changeDataCentre(ctx context.Context, dataCentre, action string) error {
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

// classResult counts the outcomes of one class of requests.
type classResult struct {
	sent, answered, notRun, unknown, other, lost, duplicated int
	latencies                                                []time.Duration // of answered requests; sorted by report
}

// percentileMilliseconds returns a percentile of the latencies, which must be sorted.
func (r *classResult) percentileMilliseconds(percent int) int64 {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[min(len(r.latencies)*percent/100, len(r.latencies)-1)].Milliseconds()
}

// report compares the outcomes with the orders that the stand-ins recorded, and writes the table.
func report(w io.Writer, f *Fleet, outcomes []outcome) error {
	orders := make(map[string]int) // number of orders stored by all stand-ins, by key
	for _, b := range f.backends {
		if b.service == nil {
			continue
		}
		for key, list := range b.service.Orders() {
			orders[key] += len(list)
		}
	}
	rows := make(map[string]*classResult)
	for _, class := range classes {
		rows[class] = &classResult{}
	}
	mayHaveRun := make(map[string]bool) // keys with at least one request that was not refused as not run
	for _, o := range outcomes {
		if o.problemKind != problem.NotRun && o.problemKind != problem.OverShare {
			mayHaveRun[o.key] = true
		}
	}
	for _, o := range outcomes {
		rows[o.class].count(o, orders[o.key] > 0, mayHaveRun[o.key])
	}
	for _, n := range orders {
		if n > 1 {
			rows[classOrder].duplicated += n - 1
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\tanswered\tnot run\tunknown\tother\tlost\tdoubled\tmedian ms\t95 in 100 ms\t")
	lostOrDuplicated := 0
	for _, class := range classes {
		r := rows[class]
		slices.Sort(r.latencies)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			class, r.sent, r.answered, r.notRun, r.unknown, r.other, r.lost, r.duplicated,
			r.percentileMilliseconds(50), r.percentileMilliseconds(95))
		lostOrDuplicated += r.lost + r.duplicated
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, o := range outcomes {
		if o.lostReason != "" {
			fmt.Fprintf(w, "lost: %s: %s\n", o.class, o.lostReason)
		}
	}
	if lostOrDuplicated > 0 {
		return ErrLostOrDuplicated
	}
	return nil
}

// count adds one outcome. A refusal as not run counts as lost if a server has stored the order although every request with
// its key was refused as not run.
func (r *classResult) count(o outcome, orderExists, keyMayHaveRun bool) {
	r.sent++
	switch {
	case o.lostReason != "":
		r.lost++
	case o.problemKind == "":
		r.answered++
		r.latencies = append(r.latencies, o.latency)
		if o.key != "" && !orderExists {
			r.lost++
		}
	case o.problemKind == problem.NotRun, o.problemKind == problem.OverShare:
		r.notRun++
		if orderExists && !keyMayHaveRun {
			r.lost++
		}
	case o.problemKind == problem.OutcomeUnknown:
		r.unknown++
	default:
		r.other++
	}
}
