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

// Guards against callers who wait where nothing can serve them: in a data centre that is out and cut off from the others,
// or passed to one that was taken out meanwhile, or to an instance that has just started and knows no server. A request that another data centre may take as soon as it has a free
// slot goes on waiting.
func TestOnlyUsefulWaitsInDataCentreThatIsOut(t *testing.T) {
	target := fleet.Target{Kind: fleet.KindService, Name: "pedidos"}
	served := []fleet.Summary{{DataCentre: "norte", Kind: fleet.KindService, Name: "pedidos"}}
	for name, test := range map[string]struct {
		remote  []fleet.Summary
		spilled bool
		reason  routing.Reason
		waits   bool
	}{
		"cut off":                               {nil, false, routing.ReasonLocalEvacuated, false},
		"other service only":                    {[]fleet.Summary{{DataCentre: "norte", Kind: fleet.KindService, Name: "other"}}, false, routing.ReasonLocalEvacuated, false},
		"served elsewhere":                      {served, false, routing.ReasonLocalEvacuated, true},
		"passed to this centre":                 {served, true, routing.ReasonLocalEvacuated, false},
		"passed to an instance without servers": {served, true, routing.ReasonUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			view := &control.View{Snapshot: (&fleet.Snapshot{Evacuated: test.reason == routing.ReasonLocalEvacuated, RemoteSummaries: test.remote}).Build()}
			w := &waiter{call: &call{target: target, spilled: test.spilled}, begun: now}
			err := unplaced(w, test.reason, view, now)
			is.Equal(err == nil, test.waits)
			if err != nil {
				is.Equal(problem.KindOf(err), problem.NotRun)
			}
		})
	}
}
