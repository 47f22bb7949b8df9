package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/decide/fleet"
	"github.com/banyanfront/banyanfront/decide/routing"
	"github.com/banyanfront/banyanfront/internal/control"
	"github.com/banyanfront/banyanfront/internal/problem"
)

// Guards against requests that wait where none can be served: in an evacuated data centre that is partitioned from the
// others, or after a spill to a data centre evacuated meanwhile or to an instance that has just started and has no list of
// servers yet. A request that another data centre may accept as soon as it has a free slot continues to wait.
func TestRequestWaitsOnlyWhereItMayBeServed(t *testing.T) {
	target := fleet.Target{Kind: fleet.KindService, Name: "pedidos"}
	served := []fleet.Summary{{DataCentre: "norte", Kind: fleet.KindService, Name: "pedidos"}}
	for name, test := range map[string]struct {
		remote  []fleet.Summary
		spilled bool
		reason  routing.Reason
		waits   bool
	}{
		"partitioned":                            {nil, false, routing.ReasonLocalEvacuated, false},
		"other service only":                     {[]fleet.Summary{{DataCentre: "norte", Kind: fleet.KindService, Name: "other"}}, false, routing.ReasonLocalEvacuated, false},
		"served elsewhere":                       {served, false, routing.ReasonLocalEvacuated, true},
		"spilled to this data centre":            {served, true, routing.ReasonLocalEvacuated, false},
		"spilled to an instance without servers": {served, true, routing.ReasonUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			view := &control.View{Snapshot: (&fleet.Snapshot{Evacuated: test.reason == routing.ReasonLocalEvacuated, RemoteSummaries: test.remote}).Build()}
			w := &waiter{call: &call{target: target, spilled: test.spilled}, enqueuedAt: now}
			err := placementRefusal(w, test.reason, view, now)
			is.Equal(err == nil, test.waits)
			if err != nil {
				is.Equal(problem.KindOf(err), problem.NotRun)
			}
		})
	}
}
