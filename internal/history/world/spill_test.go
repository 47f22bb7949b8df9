package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/banyanfront/banyanfront/internal/history"
)

// Guards against an order that is refused as not run although it was forwarded to another data centre and ran there, and
// only the answer was lost.
func TestLostSpilledOrderIsNotRefusedAsNotRun(t *testing.T) {
	log.SetHandler(discard.Default)
	parallel(t)
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		load := func(ctx context.Context, home, caller int, _ *rand.Rand) {
			i := w.instances[home]
			for n := 0; ctx.Err() == nil && i.settings.DataCentre == affectedDataCentre; n++ {
				request := newRequest(0, fmt.Sprintf("c%d-%d-%d", home, caller, n))
				r := history.Request{ID: request.id, Keyed: true, Instance: i.settings.Instance, Begun: w.now()}
				status, answer, err := w.call(i, request.method, request.path, request.key, request.body)
				r.Crashed = errors.Is(err, errCrashed)
				r.Result, r.Complete, r.Detail = classify(status, answer, err, request.check)
				w.recordRequest(r)
				time.Sleep(callPause / 10)
			}
		}
		h, err := w.run(load, recoveryTime, func() error {
			w.evacuateAt(w.instances[2], affectedDataCentre)
			for range 2 {
				time.Sleep(evacuationTime)
				w.blockTraffic(affectedDataCentre, "norte", true)
				w.blockTraffic(affectedDataCentre, "sur", true)
				time.Sleep(faultTime)
				w.network.heal()
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(h.Requests, func(r history.Request) bool { return r.Result == history.Unknown }) {
			t.Error("no order was in flight to another data centre when the sessions were lost: the run proves nothing")
		}
		for _, v := range history.Check(h) {
			t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
		}
	})
}
