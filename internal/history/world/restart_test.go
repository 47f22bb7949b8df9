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

// Guards against an entry instance that starts while its data centre is evacuated, and sends work there before it has
// received the agreed state.
func TestStartingInstanceKeepsDataCentreOut(t *testing.T) {
	checkStarts(t, func(w *World) error {
		w.evacuateAt(w.instances[2], affectedDataCentre)
		time.Sleep(evacuationTime)
		return w.restart(w.instances[4:], 2)
	})
}

// Guards against an entry instance that starts in a data centre which was evacuated on the minority side of a partition,
// and sends work there because the evacuation is not in the log yet.
func TestStartingInstanceKeepsUnloggedOut(t *testing.T) {
	checkStarts(t, func(w *World) error {
		w.blockTraffic(affectedDataCentre, "norte", true)
		w.blockTraffic(affectedDataCentre, "sur", true)
		time.Sleep(evacuationTime)
		w.evacuateAt(w.instances[4], affectedDataCentre)
		time.Sleep(evacuationTime)
		err := w.restart(w.instances[5:], 3)
		w.network.heal()
		return err
	})
}

// restart crashes and restarts each instance in turn, the given number of times.
func (w *World) restart(instances []*instance, times int) error {
	for range times {
		for _, i := range instances {
			w.crash(i)
			time.Sleep(time.Second)
			if err := w.startInstance(i); err != nil {
				return err
			}
			time.Sleep(evacuationTime)
		}
	}
	return nil
}

// checkStarts checks the guarantees while a script restarts instances of the affected data centre, under the load of the
// callers there.
func checkStarts(t *testing.T, script func(w *World) error) {
	log.SetHandler(discard.Default)
	parallel(t)
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		load := func(ctx context.Context, home, caller int, _ *rand.Rand) {
			i := w.instances[home]
			for n := 0; ctx.Err() == nil && i.settings.DataCentre == affectedDataCentre; n++ {
				request := newRequest(caller, fmt.Sprintf("c%d-%d-%d", home, caller, n))
				r := history.Request{ID: request.id, Keyed: request.key != "", Instance: i.settings.Instance, Begun: w.now()}
				status, answer, err := w.call(i, request.method, request.path, request.key, request.body)
				r.Crashed = errors.Is(err, errCrashed)
				r.Result, r.Complete, r.Detail = classify(status, answer, err, request.check)
				w.recordRequest(r)
				time.Sleep(callPause / 10)
			}
		}
		h, err := w.run(load, evacuationTime, func() error { return script(w) })
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range history.Check(h) {
			t.Errorf("%s broken: %s", v.Guarantee, v.Detail)
		}
		if !slices.ContainsFunc(h.Requests, func(r history.Request) bool { return r.Result == history.NotRun }) {
			t.Error("no request reached an instance that had just started: the run proves nothing")
		}
	})
}
